//! One connection: requests in, answers out, and the faults that were asked for.

use super::output::{content_type, Body, Chunks, Writer, FORMATS};
use super::sql::{parse, Rows, Scope, Statement, Value};
use super::{Session, Shared, Table};
use driftfront_clickhouse::block::{self, Method};
use driftfront_clickhouse::coding::{Coding, Unpacker};
use driftfront_clickhouse::credentials::Credentials;
use driftfront_clickhouse::exception::{marker, name, status};
use driftfront_clickhouse::params::Params;
use driftfront_clickhouse::{multipart, sql::Shape};
use driftfront_http::{
    header, response, response_head, BodyFraming, Request, RequestLimits, RequestReader,
};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes of a body that are read before the statement is looked at.
const FIRST: usize = 64 * 1024;
/// Bytes of a packed body that are taken apart.
const PACKED_MOST: usize = 64 * 1024 * 1024;

/// The connection goes on, or ends here.
enum After {
    Next,
    End,
}

/// What a statement asks to go wrong.
#[derive(Debug, Default)]
struct Faults(BTreeMap<String, String>);

impl Faults {
    fn of(statement: &str) -> Faults {
        let text = statement
            .split("/* standin:")
            .nth(1)
            .and_then(|t| t.split("*/").next())
            .unwrap_or_default();
        let each = text
            .split_whitespace()
            .map(|w| w.split_once('=').unwrap_or((w, "")));
        Faults(each.map(|(n, v)| (n.to_string(), v.to_string())).collect())
    }
    fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }
    fn number(&self, name: &str) -> Option<u64> {
        self.0.get(name)?.parse().ok()
    }
}

/// An exception that a query ends with.
struct Failed {
    code: u32,
    words: String,
    /// It was turned away before it began.
    unseen: bool,
}

impl From<(u32, String)> for Failed {
    fn from((code, words): (u32, String)) -> Failed {
        Failed {
            code,
            words,
            unseen: false,
        }
    }
}

impl Failed {
    fn text(&self) -> String {
        let name = name(self.code).unwrap_or("UNKNOWN");
        format!(
            "Code: {}. DB::Exception: {}. ({name}) (version 24.8.4.13 (official build))",
            self.code, self.words
        )
    }
}

/// Serves a connection until it ends.
pub(super) fn serve(shared: &Arc<Shared>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut connection = Connection {
        shared,
        stream,
        reader: RequestReader::with_limits(RequestLimits {
            max_head_bytes: 1024 * 1024,
            max_body_bytes: FIRST,
            has_more_body: true,
        }),
    };
    while let Ok(Some(request)) = connection.next_request() {
        match connection.answer(request) {
            Ok(After::Next) => {}
            Ok(After::End) | Err(_) => break,
        }
    }
    let _ = connection.stream.shutdown(std::net::Shutdown::Both);
}

struct Connection<'a> {
    shared: &'a Arc<Shared>,
    stream: TcpStream,
    reader: RequestReader,
}

/// A query as it came.
struct Query {
    request: Rc<Request>,
    params: Params,
    id: String,
    /// The statement: from the URL, or the body's beginning.
    statement: String,
    /// The statement stands in the body, rows behind it.
    in_body: bool,
}

impl Connection<'_> {
    fn read(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 64 * 1024];
        loop {
            match self.stream.read(&mut bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                read => {
                    let n = read?;
                    self.reader.push(&bytes[..n]);
                    return Ok(n > 0);
                }
            }
        }
    }

    fn next_request(&mut self) -> io::Result<Option<Request>> {
        loop {
            match self.reader.next_request() {
                Ok(Some(request)) => return Ok(Some(request)),
                Ok(None) => {}
                Err(fault) => {
                    let _ = self
                        .stream
                        .write_all(&response(fault.status(), &[], b"", true));
                    return Err(ErrorKind::InvalidData.into());
                }
            }
            if self.reader.expects_continue() {
                self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
            }
            if !self.read()? {
                return Ok(None);
            }
        }
    }

    fn reply(
        &mut self,
        request: &Request,
        status: u16,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<After> {
        let mut bytes = response_head(
            status,
            headers,
            BodyFraming::Length(body.len()),
            request.close,
        );
        if request.method != "HEAD" {
            bytes.extend(body.bytes());
        }
        self.stream.write_all(&bytes)?;
        Ok(if request.close {
            After::End
        } else {
            After::Next
        })
    }

    fn answer(&mut self, request: Request) -> io::Result<After> {
        let request = Rc::new(request);
        if !self.shared.speaks() {
            return Ok(After::End);
        }
        let (path, in_url) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let fetch = matches!(request.method.as_str(), "GET" | "HEAD");
        let html = [("Content-Type", "text/html; charset=UTF-8")];
        match (request.method.as_str(), path) {
            ("GET" | "HEAD", "/ping") => return self.reply(&request, 200, &html, "Ok.\n"),
            ("GET" | "HEAD", "/replicas_status") => {
                return self.reply(&request, 200, &html, "Ok.\n")
            }
            ("GET" | "HEAD", "/") if in_url.is_empty() => {
                return self.reply(&request, 200, &html, "Ok.\n")
            }
            ("OPTIONS", _) => {
                let headers = [
                    ("Access-Control-Allow-Origin", "*"),
                    ("Access-Control-Allow-Methods", "POST, GET, OPTIONS"),
                    (
                        "Access-Control-Allow-Headers",
                        "origin, x-requested-with, x-clickhouse-format, x-clickhouse-user, x-clickhouse-key, \
                         Authorization",
                    ),
                    ("Access-Control-Max-Age", "86400"),
                ];
                return self.reply(&request, 204, &headers, "");
            }
            (_, "/" | "/query") if fetch || request.method == "POST" => {}
            (_, "/") => return self.reply(&request, 405, &html, ""),
            _ => return self.reply(&request, 404, &html, "There is no such path here.\n"),
        }
        let params = Params::parse(in_url).unwrap_or_default();
        let told =
            header(&request.headers, "X-ClickHouse-Query-Id").or(params.non_empty("query_id"));
        let id = told.map_or_else(|| format!("standin-{}", self.shared.next()), String::from);
        match self.query(request.clone(), params, &id) {
            Ok(after) => after,
            Err(failed) => {
                let code = failed.code.to_string();
                let text = failed.text() + "\n";
                let headers = [
                    ("Content-Type", "text/plain; charset=UTF-8"),
                    ("X-ClickHouse-Query-Id", id.as_str()),
                    ("X-ClickHouse-Exception-Code", code.as_str()),
                ];
                let status = if failed.unseen {
                    503
                } else {
                    status(failed.code)
                };
                // What of the body has not been read would be taken for the next request.
                let rest = self.reader.is_body_open();
                let after = self.reply(&request, status, &headers, &text)?;
                if rest {
                    // Unread bytes would reset the connection, and take the answer with them.
                    let _ = self.stream.shutdown(std::net::Shutdown::Write);
                    let _ = self.stream.set_read_timeout(Some(Duration::from_secs(1)));
                    while self.stream.read(&mut [0; 65536]).is_ok_and(|n| n > 0) {}
                    return Ok(After::End);
                }
                Ok(after)
            }
        }
    }

    /// Reads the statement and whatever goes with it.
    fn read_query(
        &mut self,
        request: Rc<Request>,
        params: Params,
        id: &str,
    ) -> Result<Query, Failed> {
        let fail = |code: u32, words: &str| Failed {
            code,
            words: words.into(),
            unseen: false,
        };
        let content_type = header(&request.headers, "content-type")
            .unwrap_or_default()
            .to_string();
        let in_url = params.get("query").unwrap_or_default().to_string();
        let mut form = String::new();
        if multipart::is_form(&content_type) {
            let parts = multipart::boundary(&content_type).ok_or("no boundary");
            match parts.and_then(|b| multipart::parse(&request.body, &b)) {
                Err(why) => return Err(fail(36, &format!("multipart: {why}"))),
                Ok(parts) => {
                    let field = parts.iter().find(|p| p.name == "query" && p.file.is_none());
                    form = field.map_or(String::new(), |p| {
                        String::from_utf8_lossy(&request.body[p.data.clone()]).into_owned()
                    });
                }
            }
        }
        let in_body = in_url.trim().is_empty() && form.is_empty();
        let statement = match () {
            () if !form.is_empty() => form,
            () if !in_body => in_url,
            () => {
                let mut first = request.body.clone();
                if let Some(coding) =
                    header(&request.headers, "content-encoding").and_then(Coding::of)
                {
                    first = driftfront_clickhouse::coding::beginning(coding, &first, FIRST);
                }
                if params.is_on("decompress") {
                    first = frames(&first).map_err(|e| fail(271, &e))?;
                }
                String::from_utf8_lossy(&first).into_owned()
            }
        };
        if Shape::of(&statement).empty {
            return Err(fail(62, "Empty query"));
        }
        Ok(Query {
            request,
            params,
            id: id.into(),
            statement,
            in_body,
        })
    }

    fn query(
        &mut self,
        request: Rc<Request>,
        params: Params,
        id: &str,
    ) -> Result<io::Result<After>, Failed> {
        let query = self.read_query(request, params, id)?;
        let faults = Faults::of(&query.statement);
        let user = Credentials::read(&query.params, &query.request.headers)
            .ok()
            .and_then(|c| c.user);
        let session = query
            .params
            .non_empty("session_id")
            .map(|s| format!("{}/{s}", user.unwrap_or_default()));
        let user = self.authenticate(&query);
        let again = faults.has("first") && self.shared.ledger.knows(&query.statement);
        let faults = if again { Faults::default() } else { faults };
        let entry = self.shared.ledger.begin(
            &self.shared.options.name,
            id,
            &query.statement,
            session.as_deref(),
        );
        let cancelled = Arc::new(AtomicBool::new(false));
        let begun = user.and_then(|()| self.begin(&query, &faults, session.as_deref(), &cancelled));
        let done = match begun {
            Err(failed) => {
                self.shared
                    .ledger
                    .end(entry, !failed.unseen && failed.code != 216);
                return Err(failed);
            }
            Ok(()) => self.run(&query, &faults, session.as_deref(), entry, &cancelled),
        };
        self.shared.held().running.remove(id);
        if let Some(session) = &session {
            if let Some(s) = self.shared.held().sessions.get_mut(session) {
                (s.locked, s.ends) = (false, Instant::now() + s.timeout);
            }
        }
        match done {
            Ok(after) => {
                self.shared.ledger.end(entry, true);
                Ok(after)
            }
            Err(failed) => {
                self.shared.ledger.end(entry, true);
                Err(failed)
            }
        }
    }

    fn authenticate(&self, query: &Query) -> Result<(), Failed> {
        let Some((user, key)) = &self.shared.options.user else {
            return Ok(());
        };
        let wrong = || Failed {
            code: 516,
            words: "Authentication failed: password is incorrect".into(),
            unseen: false,
        };
        let told = Credentials::read(&query.params, &query.request.headers).map_err(|_| wrong())?;
        let told: BTreeMap<&str, &str> = told.headers().collect();
        let fits = told.get("X-ClickHouse-User") == Some(&user.as_str())
            && told.get("X-ClickHouse-Key") == Some(&key.as_str());
        fits.then_some(()).ok_or_else(wrong)
    }

    /// All that comes before a statement runs.
    fn begin(
        &self,
        query: &Query,
        faults: &Faults,
        session: Option<&str>,
        cancelled: &Arc<AtomicBool>,
    ) -> Result<(), Failed> {
        let fail = |code: u32, words: String| {
            Err(Failed {
                code,
                words,
                unseen: code == 202,
            })
        };
        let mut held = self.shared.held();
        if faults.has("full") || held.running.len() >= self.shared.options.most {
            return fail(202, "Too many simultaneous queries. Maximum: 0".into());
        }
        let fetch = matches!(query.request.method.as_str(), "GET" | "HEAD");
        if fetch && !Shape::of(&query.statement).reads {
            return fail(
                164,
                "Cannot execute query in readonly mode. For queries over HTTP, method GET implies readonly. You \
                 should use method POST for modifying queries"
                    .into(),
            );
        }
        if held.running.contains_key(&query.id) {
            return fail(
                216,
                format!("Query with id = {} is already running", query.id),
            );
        }
        if let Some(id) = session {
            let now = Instant::now();
            held.sessions.retain(|_, s| s.locked || s.ends > now);
            let timeout = query
                .params
                .non_empty("session_timeout")
                .and_then(|t| t.parse().ok())
                .unwrap_or(60);
            let timeout = Duration::from_secs(timeout);
            match held.sessions.get_mut(id) {
                Some(s) if s.locked => {
                    return fail(373, "Session is locked by a concurrent client".into())
                }
                Some(s) => (s.locked, s.timeout) = (true, timeout),
                None if query.params.is_on("session_check") => {
                    return fail(372, "Session not found".into())
                }
                None => {
                    let (settings, tables) = Default::default();
                    let ends = now + timeout;
                    let new = Session {
                        settings,
                        database: "default".into(),
                        tables,
                        locked: true,
                        timeout,
                        ends,
                    };
                    held.sessions.insert(id.into(), new);
                }
            }
        }
        held.running.insert(query.id.clone(), cancelled.clone());
        Ok(())
    }

    /// Whether the client has left.
    fn has_left(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let seen = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        matches!(seen, Ok(0)) || seen.is_err_and(|e| e.kind() != ErrorKind::WouldBlock)
    }

    /// Takes its time; an error if the query is killed, out of time, or its client leaves meanwhile.
    fn sleep(
        &mut self,
        seconds: f64,
        query: &Query,
        entry: usize,
        cancelled: &AtomicBool,
    ) -> Result<bool, Failed> {
        let begin = Instant::now();
        let limit = query
            .params
            .non_empty("max_execution_time")
            .and_then(|t| t.parse::<f64>().ok());
        let every = query
            .params
            .non_empty("http_headers_progress_interval_ms")
            .and_then(|t| t.parse().ok());
        let every = Duration::from_millis(every.unwrap_or(100u64).max(1));
        let tells = query.params.is_on("send_progress_in_http_headers");
        let mut told = false;
        let mut next = every;
        loop {
            let spent = begin.elapsed();
            if spent.as_secs_f64() >= seconds {
                return Ok(told);
            }
            if cancelled.load(Ordering::SeqCst) {
                return Err(Failed {
                    code: 394,
                    words: "Query was cancelled".into(),
                    unseen: false,
                });
            }
            if limit.is_some_and(|l| l > 0.0 && spent.as_secs_f64() > l) {
                let words = format!(
                    "Timeout exceeded: elapsed {:.2} seconds, maximum: {}",
                    spent.as_secs_f64(),
                    1
                );
                return Err(Failed {
                    code: 159,
                    words,
                    unseen: false,
                });
            }
            if self.has_left() {
                self.shared.ledger.note(entry, |e| e.left = true);
                return Err(Failed {
                    code: 210,
                    words: "Client has left".into(),
                    unseen: false,
                });
            }
            if tells && spent >= next && self.shared.speaks() {
                next = spent + every;
                let share = (spent.as_secs_f64() / seconds * 1e6) as u64;
                let line = format!(
                    "X-ClickHouse-Progress: {{\"read_rows\":\"{share}\",\"read_bytes\":\"{share}\",\
                     \"total_rows_to_read\":\"1000000\"}}\r\n"
                );
                let first = if told { "" } else { "HTTP/1.1 200 OK\r\n" };
                let _ = self.stream.write_all(format!("{first}{line}").as_bytes());
                told = true;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Nothing more until the client closes.
    fn silence(&mut self, entry: usize) -> io::Result<After> {
        let mut bytes = [0; 4096];
        while self.stream.read(&mut bytes).is_ok_and(|n| n > 0) {}
        self.shared.ledger.note(entry, |e| e.left = true);
        Ok(After::End)
    }

    fn run(
        &mut self,
        query: &Query,
        faults: &Faults,
        session: Option<&str>,
        entry: usize,
        cancelled: &AtomicBool,
    ) -> Result<io::Result<After>, Failed> {
        if let Some(code) = faults.number("error") {
            return Err(Failed {
                code: code as u32,
                words: "As was asked for".into(),
                unseen: false,
            });
        }
        if faults.has("cut") {
            if let Some(ms) = faults.number("sleep_ms") {
                self.sleep(ms as f64 / 1000.0, query, entry, cancelled)?;
            }
            return Ok(Ok(After::End));
        }
        if faults.has("silent") {
            return Ok(self.silence(entry));
        }
        let (mut settings, mut database) = (BTreeMap::new(), "default".to_string());
        if let Some(s) =
            session.and_then(|id| self.shared.held().sessions.get(id).map(Session::scope))
        {
            (settings, database) = s;
        }
        let mut given = BTreeMap::new();
        for (name, value) in query.params.iter() {
            match name.strip_prefix("param_") {
                Some(name) => drop(given.insert(name.to_string(), value.to_string())),
                None => drop(settings.insert(name.to_string(), value.to_string())),
            }
        }
        let told = header(&query.request.headers, "X-ClickHouse-Database")
            .or(query.params.non_empty("database"));
        let database = told.map_or(database, String::from);
        let scope = Scope {
            params: &given,
            settings: &settings,
            database: &database,
            id: &query.id,
        };
        let parsed = parse(&query.statement, &scope)?;
        let default = query
            .params
            .non_empty("default_format")
            .or(header(&query.request.headers, "X-ClickHouse-Format"));
        let format = parsed
            .format
            .clone()
            .or(default.map(String::from))
            .unwrap_or("TabSeparated".into());
        if !FORMATS.contains(&format.as_str()) {
            return Err(Failed {
                code: 73,
                words: format!("Unknown format {format}"),
                unseen: false,
            });
        }
        let none = Rows {
            columns: Vec::new(),
            count: 0,
        };
        let one = |name: &str, value: Value| Rows::one(name, value);
        let (rows, mut sleep, echo) = match parsed.statement {
            Statement::Select { rows, sleep } => (rows, sleep, None),
            Statement::Echo(table) => (none, 0.0, Some(self.table(session, &table)?.data)),
            Statement::Count(table) => (
                one("count()", Value::Number(self.table(session, &table)?.rows)),
                0.0,
                None,
            ),
            Statement::Exists(table) => {
                let there = self.table(session, &table).is_ok();
                (one("result", Value::Number(u64::from(there))), 0.0, None)
            }
            Statement::ShowTables => {
                let mut names: Vec<String> = self.shared.held().tables.keys().cloned().collect();
                names.sort();
                (
                    none,
                    0.0,
                    Some(
                        names
                            .into_iter()
                            .map(|n| n + "\n")
                            .collect::<String>()
                            .into_bytes(),
                    ),
                )
            }
            Statement::Processes => {
                let mut ids: Vec<String> = self.shared.held().running.keys().cloned().collect();
                ids.sort();
                (
                    none,
                    0.0,
                    Some(
                        ids.into_iter()
                            .map(|n| n + "\n")
                            .collect::<String>()
                            .into_bytes(),
                    ),
                )
            }
            Statement::Kill(ids) => {
                let mut text = String::new();
                let held = self.shared.held();
                for id in ids {
                    if let Some(cancelled) = held.running.get(&id) {
                        cancelled.store(true, Ordering::SeqCst);
                        text += &format!("waiting\t{id}\tdefault\t\n");
                    }
                }
                (none, 0.0, Some(text.into_bytes()))
            }
            Statement::Create { table, temporary } => {
                let mut held = self.shared.held();
                match (session.filter(|_| temporary), temporary) {
                    (Some(id), _) => {
                        if let Some(s) = held.sessions.get_mut(id) {
                            s.tables.insert(table, Table::default());
                        }
                    }
                    (None, true) => {}
                    (None, false) => drop(held.tables.insert(table, Table::default())),
                }
                (none, 0.0, Some(Vec::new()))
            }
            Statement::Drop(table) => {
                self.shared.held().tables.remove(&table);
                (none, 0.0, Some(Vec::new()))
            }
            Statement::Set(name, value) => {
                if let Some(id) = session {
                    if let Some(s) = self.shared.held().sessions.get_mut(id) {
                        s.settings.insert(name, value);
                    }
                }
                (none, 0.0, Some(Vec::new()))
            }
            Statement::Use(name) => {
                if let Some(id) = session {
                    if let Some(s) = self.shared.held().sessions.get_mut(id) {
                        s.database = name;
                    }
                }
                (none, 0.0, Some(Vec::new()))
            }
            Statement::Insert { table, inline } => {
                self.insert(query, session, &table, &inline, faults, entry)?;
                (none, 0.0, Some(Vec::new()))
            }
        };
        sleep += faults
            .number("sleep_ms")
            .map_or(0.0, |ms| ms as f64 / 1000.0);
        let told = if sleep > 0.0 {
            self.sleep(sleep, query, entry, cancelled)?
        } else {
            false
        };
        if !self.shared.speaks() {
            return Ok(Ok(After::End));
        }
        Ok(self.write(query, faults, &format, &rows, echo.as_deref(), told, entry))
    }

    fn table(&self, session: Option<&str>, table: &str) -> Result<Table, Failed> {
        let held = self.shared.held();
        let temporary = session
            .and_then(|id| held.sessions.get(id))
            .and_then(|s| s.tables.get(table));
        let unknown = || Failed {
            code: 60,
            words: format!("Unknown table expression identifier '{table}'"),
            unseen: false,
        };
        temporary
            .or(held.tables.get(table))
            .cloned()
            .ok_or_else(unknown)
    }

    /// Takes rows in: those behind the statement, and the rest of the body.
    fn insert(
        &mut self,
        query: &Query,
        session: Option<&str>,
        table: &str,
        inline: &str,
        faults: &Faults,
        entry: usize,
    ) -> Result<(), Failed> {
        let fail = |code: u32, words: String| Failed {
            code,
            words,
            unseen: false,
        };
        let mut rows = Table::default();
        let packed = header(&query.request.headers, "content-encoding").and_then(Coding::of);
        let framed = query.params.is_on("decompress");
        let slow = faults.number("slow_ms").map(Duration::from_millis);
        let mut bytes = query.request.body.len() as u64;
        if packed.is_some() || framed {
            let mut all = query.request.body.clone();
            while self.more(&mut all)? {
                if all.len() > PACKED_MOST {
                    return Err(fail(
                        241,
                        "The body is too large to be unpacked here".into(),
                    ));
                }
            }
            bytes = all.len() as u64;
            if let Some(coding) = packed {
                let mut unpacker =
                    Unpacker::new(coding, Vec::new()).map_err(|e| fail(354, e.to_string()))?;
                unpacker
                    .push(&all)
                    .and_then(|()| unpacker.may_end())
                    .map_err(|e| fail(354, e.to_string()))?;
                all = unpacker.get_ref().clone();
            }
            if framed {
                all = frames(&all).map_err(|e| fail(271, e))?;
            }
            // The statement may stand at its beginning.
            let data = if query.in_body {
                behind_statement(&all)
            } else {
                &all
            };
            rows.push(data);
        } else {
            if !query.in_body {
                rows.push(inline.as_bytes());
                rows.push(&query.request.body);
            } else if query.request.has_more_body || !inline.is_empty() {
                rows.push(behind_statement(&query.request.body));
            }
            let mut body = Vec::new();
            loop {
                if let Some(slow) = slow {
                    std::thread::sleep(slow);
                }
                let more = self.more(&mut body)?;
                bytes += body.len() as u64;
                rows.push(&body);
                body.clear();
                if faults
                    .number("error_after")
                    .is_some_and(|most| rows.bytes > most)
                {
                    return Err(fail(
                        241,
                        "Memory limit exceeded in the middle of an insert".into(),
                    ));
                }
                if !more {
                    break;
                }
            }
        }
        self.shared.ledger.note(entry, |e| e.bytes = bytes);
        let mut held = self.shared.held();
        let temporary = session
            .and_then(|id| held.sessions.get_mut(id))
            .and_then(|s| s.tables.get_mut(table));
        let into = match temporary {
            Some(t) => t,
            None => held.tables.entry(table.into()).or_default(),
        };
        let data = std::mem::take(&mut rows.data);
        if into.bytes == 0 {
            (*into, into.data) = (rows, data);
        } else {
            into.rows += rows.rows;
            into.bytes += rows.bytes;
            into.data.extend(data);
        }
        Ok(())
    }

    /// More of a body that goes on; false once it is over.
    fn more(&mut self, body: &mut Vec<u8>) -> Result<bool, Failed> {
        let broken = |words: &str| Failed {
            code: 210,
            words: words.into(),
            unseen: false,
        };
        if !self.reader.is_body_open() {
            return Ok(false);
        }
        if !self.read().map_err(|e| broken(&e.to_string()))? {
            return Err(broken("The body breaks off"));
        }
        let over = self
            .reader
            .more_body(body)
            .map_err(|_| broken("The body can't be read"))?;
        Ok(!over)
    }

    #[allow(clippy::too_many_arguments)]
    fn write(
        &mut self,
        query: &Query,
        faults: &Faults,
        format: &str,
        rows: &Rows,
        echo: Option<&[u8]>,
        head_begun: bool,
        entry: usize,
    ) -> io::Result<After> {
        let request = &query.request;
        let accept = header(&request.headers, "accept-encoding").unwrap_or_default();
        let coding =
            Coding::negotiate(accept).filter(|_| query.params.is_on("enable_http_compression"));
        let frames = query.params.is_on("compress").then_some(
            match query.params.get("network_compression_method") {
                Some(m) if m.eq_ignore_ascii_case("zstd") => Method::Zstd,
                _ => Method::Lz4,
            },
        );
        let tag = format!("tag{:013x}", super::fnv(7, query.id.as_bytes()) >> 12);
        let summary = format!(
            "{{\"read_rows\":\"{0}\",\"read_bytes\":\"{0}\",\"written_rows\":\"0\",\"written_bytes\":\"0\",\
             \"total_rows_to_read\":\"{0}\",\"result_rows\":\"{0}\",\"result_bytes\":\"0\"}}",
            rows.count
        );
        let lies = format!("{}-of-another", query.id);
        let mut headers = vec![
            ("Content-Type", content_type(format)),
            ("X-ClickHouse-Server-Display-Name", "standin"),
            (
                "X-ClickHouse-Query-Id",
                if faults.has("lie") {
                    lies.as_str()
                } else {
                    query.id.as_str()
                },
            ),
            ("X-ClickHouse-Format", format),
            ("X-ClickHouse-Timezone", "UTC"),
            ("X-ClickHouse-Summary", &summary),
        ];
        if self.shared.options.tags {
            headers.push(("X-ClickHouse-Exception-Tag", &tag));
        }
        if let Some(coding) = coding {
            headers.push(("Content-Encoding", coding.name()));
        }
        if query.params.is_on("add_http_cors_header")
            && header(&request.headers, "origin").is_some()
        {
            headers.push(("Access-Control-Allow-Origin", "*"));
        }
        let ends = if request.version_1_1 {
            BodyFraming::Chunked
        } else {
            BodyFraming::UntilClose
        };
        let head = response_head(200, &headers, ends, request.close);
        // The status line may be out already, with progress behind it.
        let from = if head_begun {
            head.iter().position(|&b| b == b'\n').map_or(0, |at| at + 1)
        } else {
            0
        };
        if ["lie", "bad_block", "bad_block_after"]
            .iter()
            .any(|f| faults.has(f))
        {
            // It is given up as soon as that is seen, which its engine can't know.
            self.shared.ledger.note(entry, |e| e.left = true);
        }
        let copies = if faults.has("twice") { 2 } else { 1 };
        for copy in 0..copies {
            self.stream
                .write_all(&head[if copy == 0 { from } else { 0 }..])?;
            let chunks = Chunks::new(self.stream.try_clone()?, !request.version_1_1);
            if request.method == "HEAD" {
                return Ok(if request.version_1_1 {
                    After::Next
                } else {
                    After::End
                });
            }
            let mut body = Body::new(chunks, coding, frames)?;
            match self.rows(query, faults, format, rows, echo, &tag, &mut body, entry)? {
                Rest::Whole => {
                    // Told before its last byte: who reads that may begin the next thing at once.
                    self.shared.ledger.end(entry, true);
                    let mut chunks = body.end()?;
                    chunks.finish()?;
                }
                // Servers end the connection behind an exception that came too late.
                Rest::Cut => {
                    body.flush()?;
                    return Ok(After::End);
                }
                Rest::Silent => {
                    body.flush()?;
                    return self.silence(entry);
                }
            }
        }
        Ok(if request.close || !request.version_1_1 {
            After::End
        } else {
            After::Next
        })
    }

    #[allow(clippy::too_many_arguments)]
    fn rows(
        &mut self,
        query: &Query,
        faults: &Faults,
        format: &str,
        rows: &Rows,
        echo: Option<&[u8]>,
        tag: &str,
        body: &mut Body,
        entry: usize,
    ) -> io::Result<Rest> {
        let mut writer = Writer::new(format, &rows.columns);
        let mut out = Vec::new();
        if let Some(echo) = echo {
            body.push(echo)?;
            return Ok(Rest::Whole);
        }
        writer.begin(&mut out);
        let (mut written, mut failed) = (0u64, None);
        let after = |name: &str| faults.number(name);
        for n in 0..rows.count {
            match rows.row(n) {
                Ok(row) => writer.row(&row, &mut out),
                Err((code, words)) => {
                    failed = Some(Failed {
                        code,
                        words,
                        unseen: false,
                    });
                    break;
                }
            }
            if out.len() >= 32 * 1024 {
                written += out.len() as u64;
                body.push(&out)?;
                out.clear();
                if let Some(ms) = after("crawl_ms") {
                    body.flush()?;
                    std::thread::sleep(Duration::from_millis(ms));
                }
                if !self.shared.speaks() {
                    return Ok(Rest::Cut);
                }
                if n % 64 == 0 && self.has_left() {
                    self.shared.ledger.note(entry, |e| e.left = true);
                    return Ok(Rest::Cut);
                }
            }
            let reached =
                |name: &str| after(name).is_some_and(|most| written + out.len() as u64 >= most);
            if reached("silent_after") {
                body.push(&out)?;
                return Ok(Rest::Silent);
            }
            if reached("cut_after") {
                body.push(&out)?;
                return Ok(Rest::Cut);
            }
            if reached("bad_block_after") {
                body.push(&out)?;
                body.flush()?;
                body.spoil = true;
                body.push(b"1\n")?;
                return Ok(Rest::Whole);
            }
        }
        if faults.has("bad_block") {
            body.spoil = true;
        }
        if let Some(code) = faults.number("late") {
            failed = Some(Failed {
                code: code as u32,
                words: "As was asked for".into(),
                unseen: false,
            });
        }
        let Some(failed) = failed else {
            writer.end(None, &mut out);
            body.push(&out)?;
            return Ok(Rest::Whole);
        };
        let text = failed.text();
        // The key of JSON formats, where the client asked for it: such a result ends well.
        if query.params.is_on("http_write_exception_in_output_format") && format.starts_with("JSON")
        {
            self.shared.ledger.end(entry, true);
            writer.end(Some(&text), &mut out);
            body.push(&out)?;
            return Ok(Rest::Whole);
        }
        self.shared.ledger.end(entry, true);
        body.push(&out)?;
        let text = if self.shared.options.tags {
            marker(tag, &text)
        } else {
            format!("{text}\n")
        };
        body.push(text.as_bytes())?;
        Ok(if faults.has("whole") {
            Rest::Whole
        } else {
            Rest::Cut
        })
    }
}

/// How a result ends.
enum Rest {
    Whole,
    Cut,
    Silent,
}

/// All blocks of a body.
fn frames(body: &[u8]) -> Result<Vec<u8>, String> {
    let (out, used) = block::unpack_prefix(body, usize::MAX).map_err(|e| e.to_string())?;
    if used == body.len() {
        Ok(out)
    } else {
        Err("a block is cut".into())
    }
}

/// The rows behind `INSERT ... FORMAT name` or `VALUES` in a body.
fn behind_statement(body: &[u8]) -> &[u8] {
    let text = String::from_utf8_lossy(&body[..body.len().min(FIRST)]).to_ascii_lowercase();
    let behind = |word: &str| text.find(word).map(|at| at + word.len());
    let format = behind(" format ").map(|at| {
        let name = text[at..].trim_start();
        let skipped = text.len() - name.len();
        skipped + name.find(|c: char| c.is_whitespace()).unwrap_or(name.len())
    });
    let Some(at) = format.or_else(|| behind("values")) else {
        return &[];
    };
    let rest = &body[at.min(body.len())..];
    let blank = rest.iter().take_while(|b| b.is_ascii_whitespace()).count();
    &rest[blank..]
}
