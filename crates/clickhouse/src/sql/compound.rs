//! Recognizes that a text contains more than one statement, of which only the first keyword says what the first one does.

use super::tokenizer::Token;

/// Keywords after WITH that modify a clause of the same statement, in which `parallel` is a name: `GROUP BY parallel WITH TOTALS`.
const MODIFIER_KEYWORDS: &[&str] = &["totals", "rollup", "cube", "ties", "fill"];

/// Whether another statement runs in parallel with the first: `statement PARALLEL WITH statement`.
pub(super) fn has_parallel_statement(tokens: &[Token]) -> bool {
    tokens.windows(2).enumerate().any(|(index, pair)| {
        let is_modifier = |token: &Token| token.is_keyword(MODIFIER_KEYWORDS);
        pair[0].is_keyword(&["parallel"])
            && pair[1].is_keyword(&["with"])
            && !tokens.get(index + 2).is_some_and(is_modifier)
    })
}

/// Whether anything follows a semicolon. Servers refuse that over HTTP, but not the rows of an INSERT.
pub(super) fn has_next_statement(tokens: &[Token]) -> bool {
    let semicolon = Token::Sign(';');
    let mut after_first = tokens.iter().skip_while(|token| **token != semicolon);
    after_first.any(|token| *token != semicolon)
}
