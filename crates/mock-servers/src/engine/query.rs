//! Reads queries from requests, logs and admits them, and runs them.

use super::connection::{After, Connection, FIRST_BODY_BYTES};
use super::exception::{code, Exception, QueryError};
use super::faults::Faults;
use super::insert::decompress_blocks;
use super::sql;
use super::state::{Session, State};
use driftfront_clickhouse::coding::{self, Coding};
use driftfront_clickhouse::credentials::Credentials;
use driftfront_clickhouse::multipart;
use driftfront_clickhouse::params::Params;
use driftfront_http::{header, Request};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The default timeout of a session.
const DEFAULT_SESSION_TIMEOUT_S: u64 = 60;

/// A query.
pub(super) struct Query {
    pub(super) request: Rc<Request>,
    pub(super) params: Params,
    pub(super) id: String,
    /// The statement from a form, the URL or the start of the body.
    pub(super) statement: String,
    /// Whether the statement is in the body, followed by the rows of an insert.
    pub(super) is_in_body: bool,
    pub(super) faults: Faults,
    /// The user and the id of the session.
    pub(super) session: Option<String>,
    /// The index of the log entry.
    pub(super) entry: usize,
    /// Set to cancel the query.
    pub(super) cancelled: Arc<AtomicBool>,
}

/// A statement, and whether it comes from the body.
struct StatementText {
    text: String,
    is_in_body: bool,
}

impl Connection<'_> {
    /// Runs a query and writes its result. An exception is returned before any part of the result is written.
    pub(super) fn run_query(
        &mut self,
        request: &Rc<Request>,
        params: Params,
        id: &str,
    ) -> Result<After, QueryError> {
        let statement = read_statement(request, &params)?;
        // Holds the lock across both calls, so that a query in the log is also in the list of running queries.
        let mut state = self.shared.state();
        let query = self.start_query(request.clone(), params, id, statement);
        let admitted = self.admit(&mut state, &query);
        drop(state);
        if let Err(error) = admitted {
            let has_run = match &error {
                QueryError::Exception(exception) => exception.code != code::QUERY_ID_IN_USE,
                QueryError::Rejected(_) | QueryError::Io(_) => false,
            };
            self.shared.log.end(query.entry, has_run);
            return Err(error);
        }
        let result = self.execute(&query);
        self.release(&query);
        self.shared.log.end(query.entry, true);
        result
    }

    /// Logs the start of a query.
    fn start_query(
        &self,
        request: Rc<Request>,
        params: Params,
        id: &str,
        statement: StatementText,
    ) -> Query {
        let log = &self.shared.log;
        let StatementText { text, is_in_body } = statement;
        let mut faults = Faults::parse(&text);
        if faults.has("first") && log.has_started(&text) {
            faults = Faults::default();
        }
        let credentials = Credentials::parse(&params, &request.headers).ok();
        let user = credentials.and_then(|credentials| credentials.user);
        let user = user.unwrap_or_default();
        let session = params.non_empty("session_id");
        let session = session.map(|session| format!("{user}/{session}"));
        let name = &self.shared.options.name;
        let entry = log.begin(name, id, &text, session.as_deref());
        Query {
            request,
            params,
            id: id.into(),
            statement: text,
            is_in_body,
            faults,
            session,
            entry,
            cancelled: Arc::default(),
        }
    }

    /// Checks the user, the limit of statements and the query id, and locks the session.
    fn admit(&self, state: &mut State, query: &Query) -> Result<(), QueryError> {
        self.authenticate(query)?;
        let is_full = state.running.len() >= self.shared.options.max_statements;
        if query.faults.has("full") || is_full {
            return Err(QueryError::Rejected(Exception::new(
                code::TOO_MANY_QUERIES,
                "Too many simultaneous queries. Maximum: 0",
            )));
        }
        let is_read_only = matches!(query.request.method.as_str(), "GET" | "HEAD");
        if is_read_only && !sql::is_read_only(&query.statement) {
            return Err(Exception::new(
                code::READONLY,
                "Cannot execute query in readonly mode. For queries over HTTP, method GET implies readonly. You \
                 should use method POST for modifying queries",
            )
            .into());
        }
        if state.running.contains_key(&query.id) {
            let message = format!("Query with id = {} is already running", query.id);
            return Err(Exception::new(code::QUERY_ID_IN_USE, message).into());
        }
        if let Some(session) = &query.session {
            lock_session(state, session, &query.params)?;
        }
        let cancelled = query.cancelled.clone();
        state.running.insert(query.id.clone(), cancelled);
        Ok(())
    }

    fn authenticate(&self, query: &Query) -> Result<(), Exception> {
        let Some((user, key)) = &self.shared.options.user else {
            return Ok(());
        };
        let credentials = Credentials::parse(&query.params, &query.request.headers).ok();
        let is_valid = credentials.is_some_and(|credentials| {
            let headers: BTreeMap<&str, &str> = credentials.headers().collect();
            headers.get("X-ClickHouse-User") == Some(&user.as_str())
                && headers.get("X-ClickHouse-Key") == Some(&key.as_str())
        });
        is_valid.then_some(()).ok_or_else(|| {
            let message = "Authentication failed: password is incorrect";
            Exception::new(code::AUTHENTICATION_FAILED, message)
        })
    }

    /// Releases the id and the session of a query that has ended.
    fn release(&self, query: &Query) {
        let mut state = self.shared.state();
        state.running.remove(&query.id);
        let session = query.session.as_ref();
        if let Some(session) = session.and_then(|id| state.sessions.get_mut(id)) {
            session.is_locked = false;
            session.expires_at = Instant::now() + session.timeout;
        }
    }
}

/// Locks a session for a query, and creates the session if it is new.
fn lock_session(state: &mut State, id: &str, params: &Params) -> Result<(), Exception> {
    let now = Instant::now();
    state
        .sessions
        .retain(|_, session| session.is_locked || session.expires_at > now);
    let timeout = params.non_empty("session_timeout");
    let timeout = timeout.and_then(|text| text.parse().ok());
    let timeout = Duration::from_secs(timeout.unwrap_or(DEFAULT_SESSION_TIMEOUT_S));
    match state.sessions.get_mut(id) {
        Some(session) if session.is_locked => {
            let message = "Session is locked by a concurrent client";
            Err(Exception::new(code::SESSION_IS_LOCKED, message))
        }
        Some(session) => {
            (session.is_locked, session.timeout) = (true, timeout);
            Ok(())
        }
        None if params.is_on("session_check") => {
            Err(Exception::new(code::SESSION_NOT_FOUND, "Session not found"))
        }
        None => {
            let session = Session {
                settings: BTreeMap::new(),
                database: "default".into(),
                tables: HashMap::new(),
                is_locked: true,
                timeout,
                expires_at: now + timeout,
            };
            state.sessions.insert(id.into(), session);
            Ok(())
        }
    }
}

/// Reads the statement of a request from a form's field, the URL, the start of the body, or both the URL and the body, between
/// which the server inserts a line feed.
fn read_statement(request: &Request, params: &Params) -> Result<StatementText, Exception> {
    let form = read_form(request)?;
    let in_url = params.get("query").unwrap_or_default();
    let has_rows_in_body = is_form(request) || sql::inserted_table(in_url).is_some();
    let continues_in_body = !request.body.is_empty() && !has_rows_in_body;
    let is_in_body = form.is_empty() && (in_url.trim().is_empty() || continues_in_body);
    let text = if !form.is_empty() {
        form
    } else if is_in_body {
        format!("{in_url}\n{}", read_body_start(request, params)?)
    } else {
        in_url.to_string()
    };
    if sql::is_empty(&text) {
        return Err(Exception::new(code::SYNTAX_ERROR, "Empty query"));
    }
    let text = text.trim_start().to_string();
    Ok(StatementText { text, is_in_body })
}

fn is_form(request: &Request) -> bool {
    header(&request.headers, "content-type").is_some_and(multipart::is_form)
}

/// Reads the field `query` of a form. The result is empty if there is none.
fn read_form(request: &Request) -> Result<String, Exception> {
    if !is_form(request) {
        return Ok(String::new());
    }
    let content_type = header(&request.headers, "content-type").unwrap_or_default();
    let malformed =
        |reason: String| Exception::new(code::BAD_ARGUMENTS, format!("multipart: {reason}"));
    let boundary =
        multipart::parse_boundary(content_type).ok_or_else(|| malformed("no boundary".into()))?;
    let parts = multipart::parse(&request.body, &boundary).map_err(|e| malformed(e.to_string()))?;
    let field = parts
        .iter()
        .find(|part| part.name == "query" && part.file_name.is_none());
    Ok(field.map_or(String::new(), |part| {
        String::from_utf8_lossy(&request.body[part.content.clone()]).into_owned()
    }))
}

/// Reads the start of a body, decompressed.
fn read_body_start(request: &Request, params: &Params) -> Result<String, Exception> {
    let mut body = request.body.clone();
    let content_coding = header(&request.headers, "content-encoding").and_then(Coding::from_name);
    if let Some(content_coding) = content_coding {
        body = coding::decompress_prefix(content_coding, &body, FIRST_BODY_BYTES);
    }
    if params.is_on("decompress") {
        body = decompress_blocks(&body)?;
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}
