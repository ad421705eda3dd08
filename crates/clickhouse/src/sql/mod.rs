//! Scans statements as far as routing needs: their kind, the tables that they name, and their effect on a session.
//!
//! This is not an SQL parser: it tokenizes the first [`MAX_SCANNED_BYTES`] and recognizes the keywords that statements
//! start with, or that follow their WITH clause. An unrecognized statement is treated as a write that must not run twice.
//!
//! | module | purpose |
//! | --- | --- |
//! | `tokenizer` | splits a statement into tokens |
//! | `with_clause` | the statement after a WITH clause |
//! | `tables` | the tables that a statement names |
//! | `kill` | KILL QUERY |

mod kill;
mod tables;
mod tokenizer;
mod with_clause;

pub use kill::KillQuery;

use crate::session::SessionEffect;
use tokenizer::{tokenize, Token};

/// Number of bytes of a statement that are scanned. Longer text contains rows, or exceeds the server's default limit on
/// the size of a query.
pub const MAX_SCANNED_BYTES: usize = 16 * 1024;

const READ_KEYWORDS: &[&str] = &[
    "select", "show", "describe", "desc", "exists", "explain", "check",
];
/// Keywords of reads after a WITH clause.
const READ_KEYWORDS_AFTER_WITH: &[&str] = &["select", "from"];
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
        let Some(main) = MainKeyword::find(&tokens) else {
            return Statement {
                is_empty: tokens.is_empty(),
                table_group: tables::table_group(&tokens),
                ..Statement::default()
            };
        };
        let tokens_from_main = &tokens[main.index..];
        let has_keyword = |offset: usize, keywords: &[&str]| {
            let token = tokens_from_main.get(offset);
            token.is_some_and(|t| t.is_keyword(keywords))
        };
        let is_read = if main.is_after_with {
            has_keyword(0, READ_KEYWORDS_AFTER_WITH)
        } else {
            has_keyword(0, READ_KEYWORDS)
        };
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
                tables::written_table(tokens_from_main)
            },
            table_group: tables::table_group(&tokens),
            kill: is_kill.then(|| KillQuery::parse(text, tokens_from_main)),
            is_empty: false,
        }
    }
}

/// The keyword that decides what a statement does.
struct MainKeyword {
    /// The index of its token.
    index: usize,
    /// Whether it follows a WITH clause.
    is_after_with: bool,
}

impl MainKeyword {
    /// Finds the first word of a statement, or the keyword after its WITH clause. `None` if there is no word, or if it is not
    /// certain where the WITH clause ends.
    fn find(tokens: &[Token]) -> Option<MainKeyword> {
        let first = tokens.iter().position(|token| token.name().is_some())?;
        if !tokens[first].is_keyword(&["with"]) {
            return Some(MainKeyword {
                index: first,
                is_after_with: false,
            });
        }
        let after_with = first + 1;
        let offset = with_clause::statement_keyword(&tokens[after_with..])?;
        Some(MainKeyword {
            index: after_with + offset,
            is_after_with: true,
        })
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
