//! Scans statements as far as routing needs: their kind, the tables that they name, and their effect on a session.
//!
//! This is not an SQL parser: it tokenizes the first [`MAX_SCANNED_BYTES`] and recognizes the keywords that statements
//! start with. An unrecognized statement is treated as a write that must not run twice.
//!
//! | module | purpose |
//! | --- | --- |
//! | `tokenizer` | splits a statement into tokens |
//! | `tables` | the tables that a statement names |
//! | `kill` | KILL QUERY |

mod kill;
mod tables;
mod tokenizer;

pub use kill::KillQuery;

use crate::session::SessionEffect;
use tokenizer::{tokenize, Token};

/// Number of bytes of a statement that are scanned. Longer text contains rows, or exceeds the server's default limit on
/// the size of a query.
pub const MAX_SCANNED_BYTES: usize = 16 * 1024;

const READ_KEYWORDS: &[&str] = &[
    "select", "with", "show", "describe", "desc", "exists", "explain", "check",
];
const SET_KEYWORDS: &[&str] = &["set", "use"];
const CREATE_KEYWORDS: &[&str] = &["create", "replace"];
const TRANSACTION_KEYWORDS: &[&str] = &["begin", "commit", "rollback"];
/// Token offsets from CREATE at which TEMPORARY may occur: `CREATE OR REPLACE TEMPORARY TABLE`.
const TEMPORARY_OFFSETS: std::ops::Range<usize> = 1..4;

/// The properties of a statement that routing needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// The statement only reads.
    pub is_read: bool,
    /// Running the statement twice has the same effect as running it once: it reads, sets something or kills queries.
    pub is_idempotent: bool,
    /// The statement is an INSERT.
    pub is_insert: bool,
    /// The effect on the session.
    pub session_effect: SessionEffect,
    /// The table that is written, with the database if the statement names it.
    pub written_table: Option<String>,
    /// The number of the table group; 0 if there is none. See [`table_group`].
    pub table_group: u32,
    /// The parsed KILL QUERY, if the statement is one.
    pub kill: Option<KillQuery>,
    /// The statement has no tokens.
    pub is_empty: bool,
}

impl Statement {
    /// Scans a statement or the first part of one.
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

/// The first [`MAX_SCANNED_BYTES`], rounded down to a character boundary.
fn scanned_part(text: &str) -> &str {
    let mut end = text.len().min(MAX_SCANNED_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// The number of the table group that a statement names: 4 for a table in the database `sales_4`, 0 if there is none.
pub fn table_group(statement: &str) -> u32 {
    tables::table_group(&tokenize(statement))
}
