//! What a statement does, by the keywords that it starts with or that follow its WITH clause.

use super::tokenizer::Token;

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

/// What a statement does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verb {
    /// Only reads.
    Read,
    /// SET or USE.
    Set,
    /// KILL QUERY.
    Kill,
    Insert,
    CreateTemporary,
    /// Begins or ends a transaction.
    Transaction,
    /// Anything else, which must not run twice.
    Other,
}

impl Verb {
    /// Recognizes a statement by its tokens from its first keyword, or from the one after its WITH clause.
    pub(super) fn parse(tokens: &[Token], is_after_with: bool) -> Verb {
        let has_keyword = |offset: usize, keywords: &[&str]| {
            let token = tokens.get(offset);
            token.is_some_and(|t| t.is_keyword(keywords))
        };
        let is_temporary = |offset| has_keyword(offset, &["temporary"]);
        let read_keywords = if is_after_with {
            READ_KEYWORDS_AFTER_WITH
        } else {
            READ_KEYWORDS
        };
        if has_keyword(0, read_keywords) {
            Verb::Read
        } else if has_keyword(0, &["insert"]) {
            Verb::Insert
        } else if has_keyword(0, SET_KEYWORDS) {
            Verb::Set
        } else if has_keyword(0, &["kill"]) && has_keyword(1, &["query"]) {
            Verb::Kill
        } else if has_keyword(0, CREATE_KEYWORDS) && TEMPORARY_OFFSETS.into_iter().any(is_temporary)
        {
            Verb::CreateTemporary
        } else if has_keyword(0, TRANSACTION_KEYWORDS) {
            Verb::Transaction
        } else {
            Verb::Other
        }
    }

    /// Whether running the statement twice has the same effect as running it once.
    pub(super) fn is_idempotent(self) -> bool {
        matches!(self, Verb::Read | Verb::Set | Verb::Kill)
    }

    /// Whether the statement leaves state in its session.
    pub(super) fn leaves_state(self) -> bool {
        matches!(self, Verb::Set | Verb::CreateTemporary | Verb::Transaction)
    }
}
