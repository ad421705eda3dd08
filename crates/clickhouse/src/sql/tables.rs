//! The tables that a statement names.

use super::tokenizer::Token;

/// Keywords that a table's name follows.
const TABLE_KEYWORDS: &[&str] = &["from", "join", "into", "update", "table", "only"];
/// Keywords that the name of a table to be written follows.
const WRITE_KEYWORDS: &[&str] = &["into", "table", "update"];
/// A database of this name is no table group, whatever its number.
const STAGING: &str = "staging";

/// The table that a statement writes, with the database if that is named.
pub(super) fn written_table(tokens: &[Token]) -> Option<String> {
    let keyword = tokens.iter().position(|t| t.is_keyword(WRITE_KEYWORDS))?;
    let target = match &tokens[keyword + 1..] {
        // INSERT INTO TABLE name
        [table, target @ ..] if table.is_keyword(&["table"]) => target,
        target => target,
    };
    match target {
        [Token::Name(database), Token::Dot, Token::Name(table), ..] => {
            Some(format!("{database}.{table}"))
        }
        [Token::Name(table), ..] => Some(table.clone()),
        _ => None,
    }
}

/// The number of the first table group that a table is named in; 0 if none. A name behind one of [`TABLE_KEYWORDS`]
/// takes precedence: elsewhere `alias_2.column` looks the same.
pub(super) fn table_group(tokens: &[Token]) -> u32 {
    let mut fallback = 0;
    for (index, window) in tokens.windows(3).enumerate() {
        let [Token::Name(database), Token::Dot, Token::Name(_)] = window else {
            continue;
        };
        let Some(group) = group_number(database) else {
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

/// The number at the end of a database's name: 4 for `sales_4`.
fn group_number(database: &str) -> Option<u32> {
    let (name, number) = database.rsplit_once('_')?;
    let is_number = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit());
    if !is_number || name.eq_ignore_ascii_case(STAGING) {
        return None;
    }
    number.parse().ok()
}
