//! Finds the statement after a WITH clause.
//!
//! A WITH clause may be followed by INSERT as well as by SELECT, so the keyword after it decides what the statement does. Each
//! element of the clause ends in one of the two published forms: `expression AS name` and `name AS (subquery)`. A keyword in any
//! other position may be a name, and does not count.

use super::tokenizer::Token;

/// The keywords that may follow a WITH clause; FROM precedes SELECT in some statements.
const STATEMENT_KEYWORDS: &[&str] = &["select", "from", "insert"];

/// The index of the keyword after a WITH clause, given the tokens after WITH; `None` if it is not certain where the clause ends.
pub(super) fn statement_keyword(tokens: &[Token]) -> Option<usize> {
    let mut index = 0;
    while index < tokens.len() {
        if !is_alias_keyword(tokens, index) {
            index = next_token(tokens, index)?;
            continue;
        }
        let end = alias_end(tokens, index + 1)?;
        if tokens.get(end)?.is_keyword(STATEMENT_KEYWORDS) {
            return Some(end);
        }
        index = end;
    }
    None
}

/// Whether the token is the keyword AS rather than a name: it follows the end of an expression or a name.
fn is_alias_keyword(tokens: &[Token], index: usize) -> bool {
    let Some(previous) = index.checked_sub(1).map(|before| &tokens[before]) else {
        return false;
    };
    let ends_expression = match previous {
        Token::Name(_) | Token::QuotedName(_) | Token::String(_) => true,
        Token::Sign(sign) => [')', ']', '}'].contains(sign),
        Token::Dot | Token::Unterminated => false,
    };
    ends_expression && tokens[index].is_keyword(&["as"])
}

/// The index after an alias: a name, or a subquery with an optional `MATERIALIZED` or `NOT MATERIALIZED` before it.
fn alias_end(tokens: &[Token], alias: usize) -> Option<usize> {
    let subquery = match &tokens[alias..] {
        [not, materialized, Token::Sign('('), ..]
            if not.is_keyword(&["not"]) && materialized.is_keyword(&["materialized"]) =>
        {
            alias + 2
        }
        [materialized, Token::Sign('('), ..] if materialized.is_keyword(&["materialized"]) => {
            alias + 1
        }
        _ => alias,
    };
    match tokens.get(subquery)? {
        Token::Name(_) | Token::QuotedName(_) | Token::Sign('(') => next_token(tokens, subquery),
        _ => None,
    }
}

/// The index after a token, or after the closing bracket if the token is an opening one; `None` if that bracket is missing, or if
/// a server may split the text differently.
fn next_token(tokens: &[Token], index: usize) -> Option<usize> {
    let mut depth = 0_usize;
    for (offset, token) in tokens[index..].iter().enumerate() {
        match token {
            Token::Sign('(' | '[' | '{') => depth += 1,
            Token::Sign(')' | ']' | '}') => depth = depth.checked_sub(1)?,
            Token::Sign(sign) if !is_operator(*sign) => return None,
            Token::Unterminated => return None,
            _ => {}
        }
        if depth == 0 {
            return Some(index + offset + 1);
        }
    }
    None
}

/// Whether a character is part of an operator or separates expressions. Others begin a comment or literal on some servers only.
fn is_operator(sign: char) -> bool {
    "+-*/%=<>!|?:,;^@&~".contains(sign)
}
