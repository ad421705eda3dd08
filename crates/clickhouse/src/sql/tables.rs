//! Extraction of table names from statements.

use super::tokenizer::Token;

/// Keywords that precede a table name.
const TABLE_KEYWORDS: &[&str] = &["from", "join", "into", "update", "table", "only"];
/// Keywords that precede the name of a table that is written.
const WRITE_KEYWORDS: &[&str] = &["into", "table", "update"];
/// Databases with this name and a number are not table groups.
const STAGING: &str = "staging";

/// The table that a statement writes, with the database if the statement names it; `tokens` start with the keyword that decides
/// what the statement does.
pub(super) fn written_table(tokens: &[Token]) -> Option<String> {
    let keyword = tokens.iter().position(|t| t.is_keyword(WRITE_KEYWORDS))?;
    let target = match &tokens[keyword + 1..] {
        // INSERT INTO TABLE name
        [table, target @ ..] if table.is_keyword(&["table"]) => target,
        target => target,
    };
    match target {
        [database, Token::Dot, table, ..] => {
            Some(format!("{}.{}", database.name()?, table.name()?))
        }
        [table, ..] => table.name().map(String::from),
        [] => None,
    }
}

/// The number of the first table group that a table name refers to; 0 if there is none. A name after one of
/// [`TABLE_KEYWORDS`] takes precedence, because elsewhere `alias_2.column` looks the same.
pub(super) fn table_group(tokens: &[Token]) -> u32 {
    let mut fallback = 0;
    for (index, window) in tokens.windows(3).enumerate() {
        let [database, Token::Dot, table] = window else {
            continue;
        };
        let database = database.name().filter(|_| table.name().is_some());
        let Some(group) = database.and_then(group_number) else {
            continue;
        };
        if index > 0 && tokens[index - 1].is_keyword(TABLE_KEYWORDS) {
            return group;
        }
        if fallback == 0 {
            fallback = group;
        }
    }
    fallback
}

/// The number at the end of a database name: 4 for `sales_4`.
fn group_number(database: &str) -> Option<u32> {
    let (name, number) = database.rsplit_once('_')?;
    let is_number = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit());
    if !is_number || name.eq_ignore_ascii_case(STAGING) {
        return None;
    }
    number.parse().ok()
}
