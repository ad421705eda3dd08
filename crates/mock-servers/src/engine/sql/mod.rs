//! Parses the subset of SQL that the engine supports.

mod expression;
mod select;
mod text;

pub(super) use expression::{Column, Expression, Value};

use super::exception::{code, Exception};
use std::collections::BTreeMap;
use text::{find_keyword, name, split_first_token, strip_keywords, without_comments};

/// Maximum length of the statement's text in a syntax error, in characters.
const MAX_SHOWN_CHARS: usize = 30;
/// The first keywords of statements that only read, unless an insert follows the WITH clause.
const READ_VERBS: &[&str] = &[
    "select", "with", "show", "describe", "desc", "exists", "explain", "check",
];

/// The result of a SELECT: its columns and the number of rows.
#[derive(Clone, Debug)]
pub(super) struct Rows {
    pub(super) columns: Vec<Column>,
    pub(super) count: u64,
}

impl Rows {
    /// Creates a result of one row with one value.
    pub(super) fn one(name: &str, value: Value) -> Rows {
        Rows {
            columns: vec![Column::new(name.into(), Expression::Constant(value))],
            count: 1,
        }
    }

    /// Computes the values of a row, numbered from 0. Fails if an expression throws on this row.
    pub(super) fn row(&self, number: u64) -> Result<Vec<Value>, Exception> {
        let columns = self.columns.iter();
        columns.map(|column| column.value(number)).collect()
    }
}

/// A statement.
#[derive(Clone, Debug)]
pub(super) enum Statement {
    /// Returns computed rows after sleeping for some seconds.
    Select { rows: Rows, sleep: f64 },
    /// Returns the bytes that were inserted into a table.
    Echo(String),
    /// Returns the number of rows in a table.
    Count(String),
    /// Inserts rows into a table; `inline` is the data in the statement itself.
    Insert { table: String, inline: String },
    /// Creates a table of the engine, or a temporary one of the session.
    Create { table: String, temporary: bool },
    /// Drops a table.
    Drop(String),
    /// Changes a setting of the session.
    Set(String, String),
    /// Changes the database of the session.
    Use(String),
    /// Cancels the queries with these ids.
    Kill(Vec<String>),
    /// Returns the ids of the running queries.
    Processes,
    /// Returns the names of the tables.
    ShowTables,
    /// Returns 1 if a table exists, otherwise 0.
    Exists(String),
}

/// The values that a statement can refer to.
pub(super) struct Scope<'a> {
    /// Query parameters, without the prefix `param_`.
    pub(super) params: &'a BTreeMap<String, String>,
    /// Effective settings.
    pub(super) settings: &'a BTreeMap<String, String>,
    /// The current database.
    pub(super) database: &'a str,
    /// The query's id.
    pub(super) id: &'a str,
}

/// A statement and the format in its FORMAT clause.
pub(super) struct Parsed {
    pub(super) statement: Statement,
    pub(super) format: Option<String>,
}

/// Parses a statement. Comments, settings and a semicolon at the end are ignored.
pub(super) fn parse(text: &str, scope: &Scope) -> Result<Parsed, Exception> {
    let text = without_comments(text);
    let text = text.trim().trim_end_matches(';').trim();
    if let Some(insert) = after_insert_into(text) {
        return Ok(parse_insert(insert));
    }
    let (text, format) = match find_keyword(text, "format") {
        Some(at) => {
            let format = name(&text[at + "format".len()..]);
            (text[..at].trim(), Some(format))
        }
        None => (text, None),
    };
    let text = find_keyword(text, "settings").map_or(text, |at| text[..at].trim());
    let statement = parse_statement(text, scope)?;
    Ok(Parsed { statement, format })
}

/// Returns what follows `INSERT INTO` in an insert without comments, which may start with a WITH clause.
fn after_insert_into(text: &str) -> Option<&str> {
    let text = text.trim_start();
    let insert = match strip_keywords(text, &["with"]) {
        Some(_) => &text[find_keyword(text, "insert")?..],
        None => text,
    };
    strip_keywords(insert, &["insert", "into"])
}

/// Whether a statement consists of comments and white space.
pub(super) fn is_empty(text: &str) -> bool {
    without_comments(text).trim().is_empty()
}

/// Whether a statement may run in read-only mode. This check shares no code with the coordinator's.
pub(super) fn is_read_only(text: &str) -> bool {
    let text = without_comments(text);
    let (verb, _) =
        split_first_token(text.trim_start_matches(|c: char| c == '(' || c.is_whitespace()));
    let is_read_verb = READ_VERBS.iter().any(|v| v.eq_ignore_ascii_case(verb));
    is_read_verb && after_insert_into(&text).is_none()
}

/// The table that an insert writes.
pub(crate) fn inserted_table(statement: &str) -> Option<String> {
    let text = without_comments(statement);
    let target = after_insert_into(&text)?;
    Some(name(strip_keywords(target, &["table"]).unwrap_or(target)))
}

/// Parses what follows `INSERT INTO`.
fn parse_insert(text: &str) -> Parsed {
    let text = strip_keywords(text, &["table"]).unwrap_or(text);
    let (_, rest) = split_first_token(text);
    let format =
        find_keyword(rest, "format").map(|at| split_first_token(&rest[at + "format".len()..]));
    let values = find_keyword(rest, "values").map(|at| &rest[at + "values".len()..]);
    let inline = format.map(|(_, inline)| inline).or(values);
    let format = format
        .map(|(format, _)| format)
        .or(values.map(|_| "Values"));
    Parsed {
        statement: Statement::Insert {
            table: name(text),
            inline: inline.unwrap_or_default().trim_start().into(),
        },
        format: format.map(String::from),
    }
}

fn parse_statement(text: &str, scope: &Scope) -> Result<Statement, Exception> {
    let (verb, rest) = split_first_token(text);
    match verb.to_ascii_lowercase().as_str() {
        "select" | "with" => select::parse(rest, scope),
        "create" => parse_create(rest).ok_or_else(|| syntax_error(text)),
        "drop" => {
            let rest = strip_keywords(rest, &["table"]).ok_or_else(|| syntax_error(text))?;
            let rest = strip_keywords(rest, &["if", "exists"]).unwrap_or(rest);
            Ok(Statement::Drop(name(rest)))
        }
        "set" => {
            let (name, value) = rest.split_once('=').ok_or_else(|| syntax_error(text))?;
            let value = value.trim().trim_matches('\'');
            Ok(Statement::Set(name.trim().into(), value.into()))
        }
        "use" => Ok(Statement::Use(name(rest))),
        "show" if strip_keywords(rest, &["tables"]).is_some() => Ok(Statement::ShowTables),
        "show" if strip_keywords(rest, &["processlist"]).is_some() => Ok(Statement::Processes),
        "exists" => {
            let rest = strip_keywords(rest, &["table"]).unwrap_or(rest);
            Ok(Statement::Exists(name(rest)))
        }
        "kill" => {
            // The ids are the quoted strings.
            let ids = rest.split('\'').skip(1).step_by(2);
            Ok(Statement::Kill(ids.map(String::from).collect()))
        }
        _ => Err(syntax_error(text)),
    }
}

/// Parses what follows `CREATE`.
fn parse_create(text: &str) -> Option<Statement> {
    let text = strip_keywords(text, &["or", "replace"]).unwrap_or(text);
    let temporary = strip_keywords(text, &["temporary"]);
    let text = strip_keywords(temporary.unwrap_or(text), &["table"])?;
    let text = strip_keywords(text, &["if", "not", "exists"]).unwrap_or(text);
    Some(Statement::Create {
        table: name(text),
        temporary: temporary.is_some(),
    })
}

fn syntax_error(near: &str) -> Exception {
    let near: String = near.chars().take(MAX_SHOWN_CHARS).collect();
    Exception::new(
        code::SYNTAX_ERROR,
        format!("Syntax error: failed at position 1 ({near}): {near}. Expected one of: SELECT query, INSERT query"),
    )
}
