//! Columns and the expressions that compute their values.

use super::{syntax_error, Scope};
use crate::engine::exception::{code, Exception};

/// The default number of repetitions of [`Expression::Repeated`].
const DEFAULT_REPETITIONS: usize = 10;

/// A value of a result.
#[derive(Clone, Debug, PartialEq)]
pub(in super::super) enum Value {
    /// `UInt64`
    Number(u64),
    /// `String`
    Text(String),
}

/// A column of a result.
#[derive(Clone, Debug)]
pub(in super::super) struct Column {
    pub(in super::super) name: String,
    /// ClickHouse's name of the column's type.
    pub(in super::super) kind: &'static str,
    expression: Expression,
}

impl Column {
    pub(in super::super) fn new(name: String, expression: Expression) -> Column {
        let kind = match &expression {
            Expression::Constant(Value::Text(_)) | Expression::Repeated(_) => "String",
            _ => "UInt64",
        };
        Column {
            name,
            kind,
            expression,
        }
    }

    /// Computes the value in a row, numbered from 0.
    pub(super) fn value(&self, row: u64) -> Result<Value, Exception> {
        match &self.expression {
            Expression::Constant(value) => Ok(value.clone()),
            Expression::RowNumber => Ok(Value::Number(row)),
            Expression::Repeated(times) => Ok(Value::Text(row.to_string().repeat(*times))),
            Expression::ThrowAt(at) if *at == row => Err(Exception::new(
                code::THROW_IF,
                "Value passed to 'throwIf' function is non-zero: while executing",
            )),
            Expression::ThrowAt(_) => Ok(Value::Number(0)),
        }
    }
}

/// An expression that computes a column's value in each row.
#[derive(Clone, Debug)]
pub(in super::super) enum Expression {
    Constant(Value),
    /// The row's number.
    RowNumber,
    /// The row's number as a string, repeated this many times.
    Repeated(usize),
    /// Throws at this row; 0 in all others.
    ThrowAt(u64),
}

impl Expression {
    /// Parses an expression. The seconds that it sleeps are added to `sleep`.
    pub(super) fn parse(
        text: &str,
        scope: &Scope,
        sleep: &mut f64,
    ) -> Result<Expression, Exception> {
        if let Ok(number) = text.parse() {
            return Ok(Expression::Constant(Value::Number(number)));
        }
        if let Some(literal) = strip_delimiters(text, '\'', '\'') {
            return Ok(constant_text(literal));
        }
        if let Some(parameter) = strip_delimiters(text, '{', '}') {
            let (name, kind) = parameter
                .split_once(':')
                .ok_or_else(|| syntax_error(text))?;
            return parse_parameter(name.trim(), kind, scope);
        }
        let Some((function, arguments)) = text.split_once('(') else {
            if text.eq_ignore_ascii_case("number") {
                return Ok(Expression::RowNumber);
            }
            let message = format!("Missing columns: '{text}' while processing query");
            return Err(Exception::new(code::UNKNOWN_IDENTIFIER, message));
        };
        let arguments = arguments.strip_suffix(')');
        let arguments = arguments.ok_or_else(|| syntax_error(text))?.trim();
        parse_function(function.trim(), arguments, scope, sleep)
    }
}

fn parse_parameter(name: &str, kind: &str, scope: &Scope) -> Result<Expression, Exception> {
    let value = scope.params.get(name).ok_or_else(|| {
        let message = format!("Substitution `{name}` is not set");
        Exception::new(code::UNKNOWN_PARAMETER, message)
    })?;
    if !kind.trim().starts_with("UInt") {
        return Ok(constant_text(value));
    }
    let number = value.parse().map_err(|_| {
        let message =
            format!("Value {value} cannot be parsed as {kind} for query parameter '{name}'");
        Exception::new(code::BAD_PARAMETER, message)
    })?;
    Ok(Expression::Constant(Value::Number(number)))
}

fn parse_function(
    function: &str,
    arguments: &str,
    scope: &Scope,
    sleep: &mut f64,
) -> Result<Expression, Exception> {
    Ok(match function {
        "version" => constant_text("24.8.4.13"),
        "hostName" => constant_text("standin"),
        "queryID" | "query_id" => constant_text(scope.id),
        "currentDatabase" | "database" => constant_text(scope.database),
        "timezone" => constant_text("UTC"),
        "getSetting" => {
            let name = arguments.trim_matches('\'');
            let value = scope.settings.get(name).ok_or_else(|| {
                Exception::new(code::UNKNOWN_SETTING, format!("Unknown setting '{name}'"))
            })?;
            constant_text(value)
        }
        "sleep" | "sleepEachRow" => {
            *sleep += arguments
                .parse::<f64>()
                .map_err(|_| syntax_error(arguments))?;
            Expression::Constant(Value::Number(0))
        }
        "throwIf" => {
            let row = arguments.split('=').nth(1);
            let row = row.and_then(|row| row.trim().parse().ok());
            Expression::ThrowAt(row.unwrap_or(0))
        }
        "wide" => Expression::Repeated(arguments.parse().unwrap_or(DEFAULT_REPETITIONS)),
        "count" | "sum" => Expression::RowNumber,
        "toString" | "toUInt64" | "toUInt8" | "toUInt32" => {
            return Expression::parse(arguments, scope, sleep);
        }
        other => {
            let message = format!("Unknown function {other}");
            return Err(Exception::new(code::UNKNOWN_FUNCTION, message));
        }
    })
}

fn constant_text(text: &str) -> Expression {
    Expression::Constant(Value::Text(text.into()))
}

fn strip_delimiters(text: &str, start: char, end: char) -> Option<&str> {
    text.strip_prefix(start)?.strip_suffix(end)
}
