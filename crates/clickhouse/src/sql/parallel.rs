//! Recognizes `statement PARALLEL WITH statement`, of which only the first keyword says what the first statement does.

use super::tokenizer::Token;

/// Keywords after WITH that modify a clause of the same statement, in which `parallel` is a name: `GROUP BY parallel WITH TOTALS`.
const MODIFIER_KEYWORDS: &[&str] = &["totals", "rollup", "cube", "ties", "fill"];

/// Whether another statement runs in parallel with the first.
pub(super) fn has_parallel_statements(tokens: &[Token]) -> bool {
    tokens.windows(2).enumerate().any(|(index, pair)| {
        let is_modifier = |token: &Token| token.is_keyword(MODIFIER_KEYWORDS);
        pair[0].is_keyword(&["parallel"])
            && pair[1].is_keyword(&["with"])
            && !tokens.get(index + 2).is_some_and(is_modifier)
    })
}
