//! Scans statements, just far enough to route them: their kind, the tables they name, what they leave in a session.
//!
//! This is no SQL parser: it reads the tokens of the first [`MAX_SCANNED_BYTES`] and knows the keywords that
//! statements begin with. A statement that it does not recognise counts as one that writes and must not run twice.
//!
//! | module | job |
//! | --- | --- |
//! | `tokenizer` | splits a statement into tokens |
//! | `tables` | the tables that a statement names |
//! | `kill` | KILL QUERY and its condition |

mod kill;
mod tables;
mod tokenizer;

pub use kill::KillQuery;

use crate::session::SessionEffect;
use tokenizer::{tokenize, Token};

/// Bytes of a statement that are scanned. What follows are rows, or a query larger than the server's default bound.
pub const MAX_SCANNED_BYTES: usize = 16 * 1024;

const READ_KEYWORDS: &[&str] = &[
    "select", "with", "show", "describe", "desc", "exists", "explain", "check",
];
const SET_KEYWORDS: &[&str] = &["set", "use"];
const CREATE_KEYWORDS: &[&str] = &["create", "replace"];
const TRANSACTION_KEYWORDS: &[&str] = &["begin", "commit", "rollback"];
/// Tokens behind CREATE among which TEMPORARY may be: `CREATE OR REPLACE TEMPORARY TABLE`.
const TEMPORARY_OFFSETS: std::ops::Range<usize> = 1..4;

/// What routing needs to know of a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// It only reads.
    pub is_read: bool,
    /// Running it twice is the same as running it once: it reads, sets something or kills queries.
    pub is_idempotent: bool,
    /// It is an INSERT.
    pub is_insert: bool,
    /// What it leaves in its session.
    pub session_effect: SessionEffect,
    /// The table that it writes, with the database if that is named.
    pub written_table: Option<String>,
    /// The number of the table group that it names; 0 if none. See [`table_group`].
    pub table_group: u32,
    /// It is a KILL QUERY.
    pub kill: Option<KillQuery>,
    /// It has no tokens.
    pub is_empty: bool,
}

impl Statement {
    /// Scans a statement, or the beginning of one.
    pub fn scan(text: &str) -> Statement {
        let text = scanned_part(text);
        let tokens = tokenize(text);
        let Some(first) = tokens.iter().position(|t| matches!(t, Token::Name(_))) else {
            return Statement {
                is_empty: tokens.is_empty(),
                ..Statement::default()
            };
        };
        let tokens_from_first = &tokens[first..];
        let has_keyword = |offset: usize, keywords: &[&str]| {
            let token = tokens_from_first.get(offset);
            token.is_some_and(|t| t.is_keyword(keywords))
        };
        let is_read = has_keyword(0, READ_KEYWORDS);
        let is_set = has_keyword(0, SET_KEYWORDS);
        let is_kill = has_keyword(0, &["kill"]) && has_keyword(1, &["query"]);
        let is_temporary = |offset| has_keyword(offset, &["temporary"]);
        let creates_temporary =
            has_keyword(0, CREATE_KEYWORDS) && TEMPORARY_OFFSETS.into_iter().any(is_temporary);
        let leaves_state = is_set || creates_temporary || has_keyword(0, TRANSACTION_KEYWORDS);
        Statement {
            is_read,
            is_idempotent: is_read || is_set || is_kill,
            is_insert: has_keyword(0, &["insert"]),
            session_effect: if leaves_state {
                SessionEffect::LeavesState
            } else {
                SessionEffect::None
            },
            written_table: if is_read {
                None
            } else {
                tables::written_table(&tokens)
            },
            table_group: tables::table_group(&tokens),
            kill: is_kill.then(|| KillQuery::parse(text, tokens_from_first)),
            is_empty: false,
        }
    }
}

/// The first [`MAX_SCANNED_BYTES`], or a few less so that no character is split.
fn scanned_part(text: &str) -> &str {
    let mut end = text.len().min(MAX_SCANNED_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// The number of the table group that a statement names, 0 if none: `4` for a table in the database `sales_4`.
pub fn table_group(statement: &str) -> u32 {
    tables::table_group(&tokenize(statement))
}
