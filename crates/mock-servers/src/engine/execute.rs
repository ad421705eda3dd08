//! Executes statements.

use super::connection::{After, Connection};
use super::exception::{code, Exception, QueryError};
use super::output::FORMATS;
use super::query::Query;
use super::result::QueryResult;
use super::sql::{parse, Rows, Scope, Statement, Value};
use super::state::Table;
use driftfront_http::header;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Interval of progress headers, unless the query sets another.
const DEFAULT_PROGRESS_MILLIS: u64 = 100;
/// Interval at which a sleeping query checks for cancellation, timeout and a disconnected client.
const WAIT_STEP: Duration = Duration::from_millis(2);
/// The total number of rows in the progress headers of a sleeping query.
const PROGRESS_TOTAL_ROWS: f64 = 1e6;

/// The settings, query parameters and database of a statement.
struct Context {
    params: BTreeMap<String, String>,
    settings: BTreeMap<String, String>,
    database: String,
}

impl Connection<'_> {
    /// Executes an admitted query and writes its result.
    pub(super) fn execute(&mut self, query: &Query) -> Result<After, QueryError> {
        if let Some(code) = query.faults.number("error") {
            return Err(Exception::requested(code).into());
        }
        if let Some(code) = query.faults.number("remote_error") {
            return Err(Exception::remote(code).into());
        }
        if query.faults.has("cut") {
            self.wait(requested_sleep(query), query)?;
            return Ok(After::Close);
        }
        if query.faults.has("silent") {
            return Ok(self.stay_silent(query));
        }
        let context = self.context(query);
        let scope = Scope {
            params: &context.params,
            settings: &context.settings,
            database: &context.database,
            id: &query.id,
        };
        let parsed = parse(&query.statement, &scope)?;
        let format = parsed.format.or_else(|| default_format(query));
        let format = format.unwrap_or_else(|| "TabSeparated".into());
        if !FORMATS.contains(&format.as_str()) {
            let message = format!("Unknown format {format}");
            return Err(Exception::new(code::UNKNOWN_FORMAT, message).into());
        }
        let (result, sleep_seconds) = self.execute_statement(query, parsed.statement)?;
        let is_head_begun = self.wait(sleep_seconds + requested_sleep(query), query)?;
        if !self.shared.wait_while_mute() {
            return Ok(After::Close);
        }
        Ok(self.write_result(query, &format, &result, is_head_begun)?)
    }

    /// Collects the settings and the database of the session, overridden by those of the request.
    fn context(&self, query: &Query) -> Context {
        let mut context = Context {
            params: BTreeMap::new(),
            settings: BTreeMap::new(),
            database: "default".into(),
        };
        let state = self.shared.state();
        let session = query.session.as_ref();
        if let Some(session) = session.and_then(|id| state.sessions.get(id)) {
            context.settings = session.settings.clone();
            context.database = session.database.clone();
        }
        for (name, value) in query.params.iter() {
            let (values, name) = match name.strip_prefix("param_") {
                Some(name) => (&mut context.params, name),
                None => (&mut context.settings, name),
            };
            values.insert(name.to_string(), value.to_string());
        }
        let database = header(&query.request.headers, "X-ClickHouse-Database");
        if let Some(database) = database.or(query.params.non_empty("database")) {
            context.database = database.into();
        }
        context
    }

    /// Executes a statement. Returns its result and how many seconds it sleeps first.
    fn execute_statement(
        &mut self,
        query: &Query,
        statement: Statement,
    ) -> Result<(QueryResult, f64), Exception> {
        let session = query.session.as_deref();
        let one_number = |name: &str, number| Rows::one(name, Value::Number(number));
        let result = match statement {
            Statement::Select { rows, sleep } => return Ok((QueryResult::Rows(rows), sleep)),
            Statement::Echo(table) => QueryResult::Raw(self.table(session, &table)?.data),
            Statement::Count(table) => {
                let count = self.table(session, &table)?.rows;
                QueryResult::Rows(one_number("count()", count))
            }
            Statement::Exists(table) => {
                let exists = self.table(session, &table).is_ok();
                QueryResult::Rows(one_number("result", u64::from(exists)))
            }
            Statement::ShowTables => {
                let state = self.shared.state();
                QueryResult::Raw(sorted_lines(state.tables.keys()))
            }
            Statement::Processes => {
                let state = self.shared.state();
                QueryResult::Raw(sorted_lines(state.running.keys()))
            }
            Statement::Kill(ids) => QueryResult::Raw(self.cancel_queries(&ids)),
            Statement::Create { table, temporary } => {
                self.create_table(session, table, temporary);
                QueryResult::empty()
            }
            Statement::Drop(table) => {
                self.shared.state().tables.remove(&table);
                QueryResult::empty()
            }
            Statement::Set(name, value) => {
                let mut state = self.shared.state();
                if let Some(session) = session.and_then(|id| state.sessions.get_mut(id)) {
                    session.settings.insert(name, value);
                }
                QueryResult::empty()
            }
            Statement::Use(database) => {
                let mut state = self.shared.state();
                if let Some(session) = session.and_then(|id| state.sessions.get_mut(id)) {
                    session.database = database;
                }
                QueryResult::empty()
            }
            Statement::Insert { table, inline } => {
                self.insert(query, &table, &inline)?;
                QueryResult::empty()
            }
        };
        Ok((result, 0.0))
    }

    /// Finds a temporary table of the session or a table of the engine.
    fn table(&self, session: Option<&str>, table: &str) -> Result<Table, Exception> {
        let state = self.shared.state();
        let temporary = session
            .and_then(|id| state.sessions.get(id))
            .and_then(|session| session.tables.get(table));
        let found = temporary.or(state.tables.get(table)).cloned();
        found.ok_or_else(|| {
            let message = format!("Unknown table expression identifier '{table}'");
            Exception::new(code::UNKNOWN_TABLE, message)
        })
    }

    /// Creates a table. A temporary table without a session is discarded.
    fn create_table(&self, session: Option<&str>, table: String, is_temporary: bool) {
        let mut state = self.shared.state();
        if !is_temporary {
            state.tables.insert(table, Table::default());
        } else if let Some(session) = session.and_then(|id| state.sessions.get_mut(id)) {
            session.tables.insert(table, Table::default());
        }
    }

    /// Cancels queries. Returns a line for each that is running.
    fn cancel_queries(&self, ids: &[String]) -> Vec<u8> {
        let state = self.shared.state();
        let mut text = String::new();
        for id in ids {
            if let Some(cancelled) = state.running.get(id) {
                cancelled.store(true, Ordering::SeqCst);
                text += &format!("waiting\t{id}\tdefault\t\n");
            }
        }
        text.into_bytes()
    }

    /// Sleeps to simulate a long-running query and sends progress headers if the client requests them. Returns whether the
    /// response's head has been started by them. Fails if the query is cancelled or times out, or its client disconnects.
    fn wait(&mut self, seconds: f64, query: &Query) -> Result<bool, Exception> {
        let params = &query.params;
        let time_limit = params.non_empty("max_execution_time");
        let time_limit = time_limit.and_then(|text| text.parse::<f64>().ok());
        let time_limit = time_limit.filter(|&limit| limit > 0.0);
        let interval = params.non_empty("http_headers_progress_interval_ms");
        let interval = interval.and_then(|text| text.parse().ok());
        let interval = interval.unwrap_or(DEFAULT_PROGRESS_MILLIS).max(1);
        let interval = Duration::from_millis(interval);
        let sends_progress = params.is_on("send_progress_in_http_headers");
        let start = Instant::now();
        let mut next_progress = interval;
        let mut is_head_begun = false;
        loop {
            let elapsed = start.elapsed();
            if elapsed.as_secs_f64() >= seconds {
                return Ok(is_head_begun);
            }
            self.check_interrupted(query, elapsed, time_limit)?;
            if sends_progress && elapsed >= next_progress && self.shared.wait_while_mute() {
                next_progress = elapsed + interval;
                let share = elapsed.as_secs_f64() / seconds;
                let _ = self.write_progress(share, is_head_begun);
                is_head_begun = true;
            }
            std::thread::sleep(WAIT_STEP);
        }
    }

    fn check_interrupted(
        &self,
        query: &Query,
        elapsed: Duration,
        time_limit: Option<f64>,
    ) -> Result<(), Exception> {
        if query.cancelled.load(Ordering::SeqCst) {
            let message = "Query was cancelled";
            return Err(Exception::new(code::QUERY_WAS_CANCELLED, message));
        }
        let elapsed = elapsed.as_secs_f64();
        if time_limit.is_some_and(|limit| elapsed > limit) {
            let message = format!("Timeout exceeded: elapsed {elapsed:.2} seconds, maximum: 1");
            return Err(Exception::new(code::TIMEOUT_EXCEEDED, message));
        }
        if self.has_client_left() {
            self.shared
                .log
                .update(query.entry, |entry| entry.client_left = true);
            return Err(Exception::new(code::NETWORK_ERROR, "Client has left"));
        }
        Ok(())
    }

    #[allow(clippy::cast_possible_truncation, reason = "a share of a million rows")]
    fn write_progress(&mut self, share: f64, is_head_begun: bool) -> io::Result<()> {
        let rows = (share * PROGRESS_TOTAL_ROWS) as u64;
        let status_line = if is_head_begun {
            ""
        } else {
            "HTTP/1.1 200 OK\r\n"
        };
        let head = format!(
            "{status_line}X-ClickHouse-Progress: {{\"read_rows\":\"{rows}\",\"read_bytes\":\"{rows}\",\
             \"total_rows_to_read\":\"{PROGRESS_TOTAL_ROWS}\"}}\r\n"
        );
        self.stream.write_all(head.as_bytes())
    }

    /// Sends nothing more and waits until the client closes the connection.
    pub(super) fn stay_silent(&mut self, query: &Query) -> After {
        let mut bytes = [0; 4096];
        while self.stream.read(&mut bytes).is_ok_and(|n| n > 0) {}
        self.shared
            .log
            .update(query.entry, |entry| entry.client_left = true);
        After::Close
    }
}

/// The seconds of sleep that a fault requests.
fn requested_sleep(query: &Query) -> f64 {
    let millis: Option<u64> = query.faults.number("sleep_ms");
    millis.map_or(0.0, |millis| millis as f64 / 1000.0)
}

/// The format that a request sets outside its statement.
fn default_format(query: &Query) -> Option<String> {
    let format = query.params.non_empty("default_format");
    let format = format.or(header(&query.request.headers, "X-ClickHouse-Format"));
    format.map(String::from)
}

fn sorted_lines<'a>(names: impl Iterator<Item = &'a String>) -> Vec<u8> {
    let mut names: Vec<&String> = names.collect();
    names.sort();
    let lines: String = names.into_iter().map(|name| format!("{name}\n")).collect();
    lines.into_bytes()
}
