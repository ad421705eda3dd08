//! The few statements that the stand-in understands, and the results that it computes.

use std::collections::BTreeMap;

/// A value of a result.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// `UInt64`
    Number(u64),
    /// `String`
    Text(String),
}

/// A column's name, its type, and how its values are made.
#[derive(Clone, Debug)]
pub struct Column {
    /// Its name.
    pub name: String,
    /// Its type.
    pub kind: &'static str,
    expr: Expr,
}

#[derive(Clone, Debug)]
enum Expr {
    Constant(Value),
    /// The row's number.
    Row,
    /// The row's number as text, repeated.
    Wide(usize),
    /// Fails at this row.
    Throw(u64),
}

/// What a SELECT gives: its columns, and how many rows.
#[derive(Clone, Debug)]
pub struct Rows {
    /// The columns.
    pub columns: Vec<Column>,
    /// How many rows.
    pub count: u64,
}

impl Rows {
    /// One row of one value.
    pub fn one(name: &str, value: Value) -> Rows {
        Rows {
            columns: vec![column(name.into(), Expr::Constant(value))],
            count: 1,
        }
    }

    /// Rows of text, each of one value a column.
    pub fn row(&self, n: u64) -> Result<Vec<Value>, (u32, String)> {
        let value = |c: &Column| match &c.expr {
            Expr::Constant(value) => Ok(value.clone()),
            Expr::Row => Ok(Value::Number(n)),
            Expr::Wide(times) => Ok(Value::Text(n.to_string().repeat(*times))),
            Expr::Throw(at) if *at == n => Err((
                395,
                "Value passed to 'throwIf' function is non-zero: while executing".into(),
            )),
            Expr::Throw(_) => Ok(Value::Number(0)),
        };
        self.columns.iter().map(value).collect()
    }
}

fn column(name: String, expr: Expr) -> Column {
    let kind = match &expr {
        Expr::Constant(Value::Text(_)) | Expr::Wide(_) => "String",
        _ => "UInt64",
    };
    Column { name, kind, expr }
}

/// A statement, read.
#[derive(Clone, Debug)]
pub enum Statement {
    /// Rows that are computed.
    Select {
        /// The rows.
        rows: Rows,
        /// Seconds that it sleeps first.
        sleep: f64,
    },
    /// What was put into a table, as it came.
    Echo(String),
    /// The number of rows in a table.
    Count(String),
    /// Rows into a table; the data in the statement itself, if there are any.
    Insert {
        /// The table.
        table: String,
        /// Data behind the statement.
        inline: String,
    },
    /// A new table.
    Create {
        /// Its name.
        table: String,
        /// It lives in the session.
        temporary: bool,
    },
    /// A table goes.
    Drop(String),
    /// A setting of the session.
    Set(String, String),
    /// The database of the session.
    Use(String),
    /// The end of other queries.
    Kill(Vec<String>),
    /// The names of the queries that run.
    Processes,
    /// Names of tables.
    ShowTables,
    /// One row, 1 or 0.
    Exists(String),
}

/// What a statement may refer to.
pub struct Scope<'a> {
    /// Query parameters, `param_x` as `x`.
    pub params: &'a BTreeMap<String, String>,
    /// Settings in force.
    pub settings: &'a BTreeMap<String, String>,
    /// The database in force.
    pub database: &'a str,
    /// The query's name.
    pub id: &'a str,
}

/// A statement without comments, its FORMAT, and what stands behind that.
pub struct Parsed {
    /// The statement.
    pub statement: Statement,
    /// The format that it names.
    pub format: Option<String>,
}

type Failed = (u32, String);

fn syntax(near: &str) -> Failed {
    let near: String = near.chars().take(30).collect();
    (62, format!("Syntax error: failed at position 1 ({near}): {near}. Expected one of: SELECT query, INSERT query"))
}

/// Leaves comments out; strings stay as they are.
pub fn plain(text: &str) -> String {
    let (mut out, mut rest) = (String::new(), text);
    while let Some(c) = rest.chars().next() {
        if let Some(behind) = rest.strip_prefix("/*") {
            rest = behind.find("*/").map_or("", |at| &behind[at + 2..]);
            out.push(' ');
        } else if rest.starts_with("--") {
            rest = rest.find('\n').map_or("", |at| &rest[at..]);
        } else if c == '\'' {
            let end = rest[1..].find('\'').map_or(rest.len(), |at| at + 2);
            out.push_str(&rest[..end]);
            rest = &rest[end..];
        } else {
            out.push(c);
            rest = &rest[c.len_utf8()..];
        }
    }
    out
}

fn word(text: &str) -> (&str, &str) {
    let text = text.trim_start();
    let end = text
        .find(|c: char| c.is_whitespace() || c == '(')
        .unwrap_or(text.len());
    text.split_at(end)
}

fn follows<'a>(text: &'a str, words: &[&str]) -> Option<&'a str> {
    let mut rest = text;
    for w in words {
        let (first, behind) = word(rest);
        if !first.eq_ignore_ascii_case(w) {
            return None;
        }
        rest = behind;
    }
    Some(rest)
}

fn named(text: &str) -> String {
    word(text).0.trim_matches(['`', '"', ';']).to_string()
}

/// Splits at commas outside brackets and strings.
fn split(text: &str, at: char) -> Vec<&str> {
    let (mut parts, mut begin, mut depth, mut quoted) = (Vec::new(), 0, 0, false);
    for (n, c) in text.char_indices() {
        match c {
            '\'' => quoted = !quoted,
            '(' | '{' if !quoted => depth += 1,
            ')' | '}' if !quoted => depth -= 1,
            c if c == at && depth == 0 && !quoted => {
                parts.push(&text[begin..n]);
                begin = n + c.len_utf8();
            }
            _ => {}
        }
    }
    parts.push(&text[begin..]);
    parts
}

/// Where a word stands outside brackets and strings.
fn find_word(text: &str, wanted: &str) -> Option<usize> {
    let lower = text.to_ascii_lowercase();
    let (mut depth, mut quoted) = (0, false);
    for (n, c) in text.char_indices() {
        match c {
            '\'' => quoted = !quoted,
            '(' if !quoted => depth += 1,
            ')' if !quoted => depth -= 1,
            _ => {}
        }
        let boundary = n == 0 || !text[..n].ends_with(|c: char| c.is_alphanumeric() || c == '_');
        if depth == 0 && !quoted && boundary && lower[n..].starts_with(wanted) {
            let behind = lower[n + wanted.len()..].chars().next();
            if behind.is_none_or(|c| !c.is_alphanumeric() && c != '_') {
                return Some(n);
            }
        }
    }
    None
}

/// Reads a statement. `body` is what an INSERT finds behind it.
pub fn parse(text: &str, scope: &Scope) -> Result<Parsed, Failed> {
    let text = plain(text);
    let text = text.trim().trim_end_matches(';').trim();
    if let Some(rest) = follows(text, &["insert", "into"]) {
        let rest = follows(rest, &["table"]).unwrap_or(rest);
        let (_, behind) = word(rest);
        let format = find_word(behind, "format").map(|at| word(&behind[at + 6..]));
        let values = find_word(behind, "values").map(|at| &behind[at + 6..]);
        let inline = format.map(|f| f.1).or(values).unwrap_or_default();
        let format = format
            .map(|f| f.0.to_string())
            .or(values.map(|_| "Values".into()));
        let statement = Statement::Insert {
            table: named(rest),
            inline: inline.trim_start().into(),
        };
        return Ok(Parsed { statement, format });
    }
    let (text, format) = match find_word(text, "format") {
        Some(at) => (text[..at].trim(), Some(named(&text[at + 6..]))),
        None => (text, None),
    };
    let text = find_word(text, "settings").map_or(text, |at| text[..at].trim());
    Ok(Parsed {
        statement: read(text, scope)?,
        format,
    })
}

fn read(text: &str, scope: &Scope) -> Result<Statement, Failed> {
    let (first, rest) = word(text);
    match first.to_ascii_lowercase().as_str() {
        "select" | "with" => select(rest, scope),
        "create" => {
            let rest = follows(rest, &["or", "replace"]).unwrap_or(rest);
            let temporary = follows(rest, &["temporary"]);
            let rest =
                follows(temporary.unwrap_or(rest), &["table"]).ok_or_else(|| syntax(text))?;
            let rest = follows(rest, &["if", "not", "exists"]).unwrap_or(rest);
            Ok(Statement::Create {
                table: named(rest),
                temporary: temporary.is_some(),
            })
        }
        "drop" => {
            let rest = follows(rest, &["table"]).ok_or_else(|| syntax(text))?;
            Ok(Statement::Drop(named(
                follows(rest, &["if", "exists"]).unwrap_or(rest),
            )))
        }
        "set" => {
            let (name, value) = rest.split_once('=').ok_or_else(|| syntax(text))?;
            Ok(Statement::Set(
                name.trim().into(),
                value.trim().trim_matches('\'').into(),
            ))
        }
        "use" => Ok(Statement::Use(named(rest))),
        "show" if follows(rest, &["tables"]).is_some() => Ok(Statement::ShowTables),
        "show" if follows(rest, &["processlist"]).is_some() => Ok(Statement::Processes),
        "exists" => Ok(Statement::Exists(named(
            follows(rest, &["table"]).unwrap_or(rest),
        ))),
        "kill" => {
            let ids = rest
                .split('\'')
                .skip(1)
                .step_by(2)
                .map(String::from)
                .collect();
            Ok(Statement::Kill(ids))
        }
        _ => Err(syntax(text)),
    }
}

fn select(rest: &str, scope: &Scope) -> Result<Statement, Failed> {
    let (exprs, from) = match find_word(rest, "from") {
        Some(at) => (&rest[..at], Some(rest[at + 4..].trim())),
        None => (rest, None),
    };
    let mut count = 1;
    if let Some(from) = from {
        let limit = find_word(from, "limit").map(|at| named(&from[at + 5..]));
        let limit = limit
            .map(|l| l.parse::<u64>().map_err(|_| syntax(from)))
            .transpose()?;
        let (source, behind) = word(from);
        let source = source.trim_matches('`');
        match source.to_ascii_lowercase().as_str() {
            "numbers" | "numbers_mt" if behind.trim_start().starts_with('(') => {
                let inside = behind.trim_start()[1..]
                    .split(')')
                    .next()
                    .unwrap_or_default();
                let n: u64 = inside.trim().parse().map_err(|_| syntax(inside))?;
                count = n.min(limit.unwrap_or(n));
            }
            "system.numbers" | "system.numbers_mt" => count = limit.unwrap_or(u64::MAX),
            "system.one" => {}
            "system.processes" => return Ok(Statement::Processes),
            _ if exprs.trim().eq_ignore_ascii_case("count()") || exprs.trim() == "count(*)" => {
                return Ok(Statement::Count(source.into()));
            }
            _ => return Ok(Statement::Echo(source.into())),
        }
    }
    let mut sleep = 0.0;
    let mut columns = Vec::new();
    for each in split(exprs, ',') {
        let (expr, alias) = match find_word(each, "as") {
            Some(at) => (each[..at].trim(), Some(named(&each[at + 2..]))),
            None => (each.trim(), None),
        };
        let name = alias.unwrap_or_else(|| expr.to_string());
        let made = expression(expr, scope, &mut sleep)?;
        // Over all rows there is one number.
        if expr.to_ascii_lowercase().starts_with("count(")
            || expr.to_ascii_lowercase().starts_with("sum(")
        {
            let sum = if expr.starts_with(['c', 'C']) {
                count
            } else {
                count * (count.max(1) - 1) / 2
            };
            return Ok(Statement::Select {
                rows: Rows::one(&name, Value::Number(sum)),
                sleep,
            });
        }
        columns.push(column(name, made));
    }
    Ok(Statement::Select {
        rows: Rows { columns, count },
        sleep,
    })
}

fn expression(expr: &str, scope: &Scope, sleep: &mut f64) -> Result<Expr, Failed> {
    let text = |s: &str| Ok(Expr::Constant(Value::Text(s.into())));
    if let Ok(n) = expr.parse::<u64>() {
        return Ok(Expr::Constant(Value::Number(n)));
    }
    if let Some(inner) = expr.strip_prefix('\'').and_then(|e| e.strip_suffix('\'')) {
        return text(inner);
    }
    if let Some(inner) = expr.strip_prefix('{').and_then(|e| e.strip_suffix('}')) {
        let (name, kind) = inner.split_once(':').ok_or_else(|| syntax(expr))?;
        let missing = || (456, format!("Substitution `{}` is not set", name.trim()));
        let value = scope.params.get(name.trim()).ok_or_else(missing)?;
        return match kind.trim().starts_with("UInt") {
            true => value
                .parse()
                .map(|n| Expr::Constant(Value::Number(n)))
                .map_err(|_| {
                    (
                        457,
                        format!(
                            "Value {value} cannot be parsed as {kind} for query parameter '{}'",
                            name.trim()
                        ),
                    )
                }),
            false => text(value),
        };
    }
    let (function, arguments) = match expr.split_once('(') {
        Some((f, rest)) => (
            f.trim(),
            rest.strip_suffix(')').ok_or_else(|| syntax(expr))?.trim(),
        ),
        None if expr.eq_ignore_ascii_case("number") => return Ok(Expr::Row),
        None => {
            return Err((
                47,
                format!("Missing columns: '{expr}' while processing query"),
            ))
        }
    };
    match function {
        "version" => text("24.8.4.13"),
        "hostName" => text("standin"),
        "queryID" | "query_id" => text(scope.id),
        "currentDatabase" | "database" => text(scope.database),
        "timezone" => text("UTC"),
        "getSetting" => {
            let name = arguments.trim_matches('\'');
            let unknown = || (115, format!("Unknown setting '{name}'"));
            text(scope.settings.get(name).ok_or_else(unknown)?)
        }
        "sleep" | "sleepEachRow" => {
            *sleep += arguments.parse::<f64>().map_err(|_| syntax(arguments))?;
            Ok(Expr::Constant(Value::Number(0)))
        }
        "throwIf" => {
            let at = arguments
                .split('=')
                .nth(1)
                .and_then(|n| n.trim().parse().ok());
            Ok(Expr::Throw(at.unwrap_or(0)))
        }
        "wide" => Ok(Expr::Wide(arguments.parse().unwrap_or(10))),
        "count" | "sum" => Ok(Expr::Row),
        "toString" => expression(arguments, scope, sleep),
        "toUInt64" | "toUInt8" | "toUInt32" => expression(arguments, scope, sleep),
        other => Err((46, format!("Unknown function {other}"))),
    }
}
