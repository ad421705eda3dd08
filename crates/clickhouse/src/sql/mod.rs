//! Scans statements as far as routing needs: their kind, the tables that they name, and their effect on a session.
//!
//! This is not an SQL parser: it tokenizes a statement's first part and recognizes the keywords that statements start with, or that
//! follow their WITH clause. An unrecognized statement is treated as a write that must not run twice, and so is one whose end was
//! not scanned.
//!
//! | module | purpose |
//! | --- | --- |
//! | `tokenizer` | splits a statement into tokens |
//! | `verb` | what a statement does, by its first keywords |
//! | `with_clause` | the statement after a WITH clause |
//! | `tables` | the tables that a statement names |
//! | `compound` | whether the text contains more than one statement |
//! | `kill` | KILL QUERY |

mod compound;
mod kill;
mod tables;
mod tokenizer;
mod verb;
mod with_clause;

pub use kill::KillQuery;

use crate::session::SessionEffect;
use std::borrow::Cow;
use tokenizer::{tokenize, Token};
use verb::Verb;

/// Number of bytes of a statement that are scanned first. Longer text is usually rows.
pub const USUAL_SCANNED_BYTES: usize = 16 * 1024;
/// Number of bytes that are scanned if the first part does not show what a statement does: the server's default limit on the size
/// of a statement without its rows (`max_query_size`).
pub const MAX_SCANNED_BYTES: usize = 256 * 1024;
/// Number of tokens from the keyword that decides what a statement does up to which others may change its meaning, as in
/// `CREATE OR REPLACE TEMPORARY TABLE`.
const DECIDING_TOKENS: usize = 5;

/// Settings that change how inserts are deduplicated.
const DEDUPLICATION_SETTINGS: &[&str] = &[
    "insert_deduplicate",
    "insert_deduplication_token",
    "async_insert",
    "async_insert_deduplicate",
];

/// Keywords before the rows of an INSERT.
const ROWS_KEYWORDS: &[&str] = &["values", "format"];

/// The properties of a statement that routing needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// The statement only reads.
    pub is_read: bool,
    /// Running the statement twice has the same effect as running it once: it reads, sets something or kills queries.
    pub is_idempotent: bool,
    /// The statement is an INSERT.
    pub is_insert: bool,
    /// The statement names a setting that changes how inserts are deduplicated, or may do so in a part that is not scanned.
    pub may_set_deduplication: bool,
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
    /// The scanned part does not show what the statement does; a longer part may.
    pub is_undecided: bool,
}

/// The start of a statement's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementStart<'a> {
    /// The text.
    pub text: Cow<'a, str>,
    /// Whether this is the complete text.
    pub is_complete: bool,
}

impl StatementStart<'_> {
    /// At most `max_bytes` of a complete text, rounded down to a character boundary.
    pub fn of(text: &str, max_bytes: usize) -> StatementStart<'_> {
        let mut end = text.len().min(max_bytes);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        StatementStart {
            text: Cow::Borrowed(&text[..end]),
            is_complete: end == text.len(),
        }
    }
}

impl Statement {
    /// Scans a complete statement, up to [`MAX_SCANNED_BYTES`].
    pub fn scan(text: &str) -> Statement {
        let statement = Statement::scan_start(&StatementStart::of(text, USUAL_SCANNED_BYTES));
        if statement.is_undecided {
            Statement::scan_start(&StatementStart::of(text, MAX_SCANNED_BYTES))
        } else {
            statement
        }
    }

    /// Scans the start of a statement.
    pub fn scan_start(start: &StatementStart) -> Statement {
        let tokens = tokenize(&start.text);
        let Some(main) = MainKeyword::find(&tokens) else {
            return Statement {
                is_empty: tokens.is_empty() && start.is_complete,
                is_undecided: !start.is_complete,
                table_group: tables::table_group(&tokens),
                ..Statement::default()
            };
        };
        let tokens_from_main = &tokens[main.index..];
        let verb = Verb::parse(tokens_from_main, main.is_after_with);
        let is_compound = compound::has_parallel_statement(tokens_from_main)
            || verb.is_idempotent() && compound::has_next_statement(tokens_from_main);
        // The part that is not scanned, or not understood, could begin another statement.
        let is_understood = !tokens.contains(&Token::Unterminated);
        let is_single = start.is_complete && is_understood && !is_compound;
        let is_short = tokens_from_main.len() < DECIDING_TOKENS;
        let may_be_idempotent = verb.is_idempotent() && !is_compound;
        Statement {
            is_read: verb == Verb::Read && is_single,
            is_idempotent: verb.is_idempotent() && is_single,
            is_insert: verb == Verb::Insert && !is_compound,
            may_set_deduplication: may_set_deduplication(&tokens, start.is_complete),
            session_effect: if verb.leaves_state() || is_compound {
                SessionEffect::LeavesState
            } else {
                SessionEffect::None
            },
            written_table: if verb == Verb::Read {
                None
            } else {
                tables::written_table(tokens_from_main)
            },
            table_group: tables::table_group(&tokens),
            kill: (verb == Verb::Kill).then(|| {
                let kill = KillQuery::parse(&start.text, tokens_from_main);
                kill.supported_if(is_single)
            }),
            is_empty: false,
            is_undecided: !start.is_complete && (is_short || may_be_idempotent),
        }
    }
}

/// Whether a statement names a setting for deduplication, or may do so in a part that is not scanned. Only rows follow VALUES and
/// FORMAT.
fn may_set_deduplication(tokens: &[Token], is_complete: bool) -> bool {
    let has_keyword = |keywords| tokens.iter().any(|token| token.is_keyword(keywords));
    has_keyword(DEDUPLICATION_SETTINGS) || !is_complete && !has_keyword(ROWS_KEYWORDS)
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

/// The number of the table group that a statement names: 4 for a table in the database `sales_4`, 0 if there is none.
pub fn table_group(statement: &str) -> u32 {
    tables::table_group(&tokenize(statement))
}
