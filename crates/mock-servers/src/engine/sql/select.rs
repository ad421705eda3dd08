//! Parses SELECT statements.

use super::expression::{Column, Expression, Value};
use super::text::{find_keyword, name, split, split_first_token};
use super::{syntax_error, Rows, Scope, Statement};
use crate::engine::exception::Exception;

/// Parses what follows `SELECT`.
pub(super) fn parse(text: &str, scope: &Scope) -> Result<Statement, Exception> {
    let (expressions, from) = match find_keyword(text, "from") {
        Some(at) => (&text[..at], Some(text[at + "from".len()..].trim())),
        None => (text, None),
    };
    let count = match from {
        None => 1,
        Some(from) => match parse_source(from, expressions.trim())? {
            Source::Numbers(count) => count,
            Source::Table(statement) => return Ok(statement),
        },
    };
    let mut sleep = 0.0;
    let mut columns = Vec::new();
    for column in split(expressions, ',') {
        let (text, alias) = match find_keyword(column, "as") {
            Some(at) => (&column[..at], Some(name(&column[at + "as".len()..]))),
            None => (column, None),
        };
        let text = text.trim();
        let column_name = alias.unwrap_or_else(|| text.to_string());
        let expression = Expression::parse(text, scope, &mut sleep)?;
        // An aggregate returns a single row.
        if let Some(total) = aggregate(text, count) {
            let rows = Rows::one(&column_name, Value::Number(total));
            return Ok(Statement::Select { rows, sleep });
        }
        columns.push(Column::new(column_name, expression));
    }
    let rows = Rows { columns, count };
    Ok(Statement::Select { rows, sleep })
}

/// The source of a SELECT's rows.
enum Source {
    /// The numbers from 0 up to this bound, exclusive.
    Numbers(u64),
    /// A table; holds the statement that returns its content.
    Table(Statement),
}

/// Parses what follows `FROM`.
fn parse_source(from: &str, expressions: &str) -> Result<Source, Exception> {
    let limit = find_keyword(from, "limit").map(|at| name(&from[at + "limit".len()..]));
    let limit = limit
        .map(|limit| limit.parse::<u64>().map_err(|_| syntax_error(from)))
        .transpose()?;
    let (source, rest) = split_first_token(from);
    let source = source.trim_matches('`');
    let argument = rest.trim_start().strip_prefix('(');
    Ok(match source.to_ascii_lowercase().as_str() {
        "numbers" | "numbers_mt" if argument.is_some() => {
            let argument = argument.and_then(|text| text.split(')').next());
            let argument = argument.unwrap_or_default();
            let count: u64 = argument
                .trim()
                .parse()
                .map_err(|_| syntax_error(argument))?;
            Source::Numbers(count.min(limit.unwrap_or(count)))
        }
        "system.numbers" | "system.numbers_mt" => Source::Numbers(limit.unwrap_or(u64::MAX)),
        "system.one" => Source::Numbers(1),
        "system.processes" => Source::Table(Statement::Processes),
        _ if expressions.eq_ignore_ascii_case("count()") || expressions == "count(*)" => {
            Source::Table(Statement::Count(source.into()))
        }
        _ => Source::Table(Statement::Echo(source.into())),
    })
}

/// Computes `count(...)` or `sum(...)` over the first `count` numbers from 0.
fn aggregate(expression: &str, count: u64) -> Option<u64> {
    let expression = expression.to_ascii_lowercase();
    if expression.starts_with("count(") {
        Some(count)
    } else if expression.starts_with("sum(") {
        Some(count * (count.max(1) - 1) / 2)
    } else {
        None
    }
}
