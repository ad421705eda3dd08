//! ClickHouse's HTTP interface towards clients, on the language in `driftfront_clickhouse`.

use super::{ConnectionAction, Frontend, Intake, KillRequest, QueryClasses, ResponseWriter};
use crate::backends::clickhouse::{COMPRESSED_BLOCKS, REQUEST_HEADERS, URL_PARAMETERS};
use crate::net::fnv1a_64;
use driftfront_clickhouse::exception::{marker, Exception, NETWORK_ERROR, TOO_MANY_QUERIES};
use driftfront_clickhouse::keep::{Keep, SMALL};
use driftfront_clickhouse::request::{self, Asked, Query};
use driftfront_clickhouse::session::{self, keyed, Book, Name};
use driftfront_core::{EngineId, Micros, ParsedRequest, RequestFate, ResponseChunk, StickySession};
use driftfront_http::{
    chunk, response, response_head, BodyFraming, HttpError, Request, RequestLimits, LAST_CHUNK,
};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::rc::Rc;

/// Longest head taken, the URL with it. What is longer than usual shares the budget for bodies.
pub const MAX_HEAD_BYTES: usize = 256 * 1024;
const NOT_IMPLEMENTED: u32 = 48;
const UNKNOWN_CLASS: u32 = 36;
const SAME_ID: u32 = 216;
const CANCELLED: u32 = 394;
const SESSION_NOT_FOUND: u32 = 372;
const OVERLOADED: &str = "Overloaded, try again later";
const DEFAULT_PATIENCE: Micros = 30_000_000;

/// What the operator's file says of this front.
#[derive(Clone, Copy, Debug)]
pub struct ClassRules {
    /// Class of statements that only read, and of the others, if the client names none.
    pub read: u16,
    /// See `read`.
    pub write: u16,
    /// Class of inserts with a deduplication token: only where all engines honour that.
    pub deduplicated: Option<u16>,
    /// Time beyond the class's own for a body that is passed on as it comes.
    pub upload: Micros,
    /// Bytes that bodies may hold, beside the small part of each.
    pub keep: usize,
}

/// Reads ClickHouse clients' requests.
pub struct ClickHouse {
    classes: QueryClasses,
    rules: ClassRules,
    seed: u64,
    /// The last query named here, and the last ticket.
    last: u64,
    sessions: Book<EngineId>,
    keep: Keep,
    /// What is held for requests that are not over, by ticket.
    open: HashMap<u64, Open>,
    kills: u64,
}

#[derive(Clone, Copy)]
struct Open {
    session: Option<Name>,
    kept: usize,
}

impl ClickHouse {
    /// A front with no sessions yet.
    pub fn new(classes: QueryClasses, rules: ClassRules, seed: u64) -> ClickHouse {
        ClickHouse {
            classes,
            rules,
            seed,
            last: 0,
            sessions: Book::new(seed),
            keep: Keep::new(rules.keep),
            open: HashMap::new(),
            kills: 0,
        }
    }

    /// A name for a query that its client gave none: it differs from those of other coordinators and lives.
    fn name(&mut self, now: Micros) -> String {
        self.last += 1;
        format!(
            "{:016x}{:016x}",
            keyed(self.seed, &now.to_le_bytes()),
            self.last
        )
    }

    fn class(&self, query: &Query) -> Result<u16, Vec<u8>> {
        let shape = &query.shape;
        match &query.class {
            Some(name) => self.classes.place(name).ok_or_else(|| {
                let e = Exception::new(UNKNOWN_CLASS, &format!("There is no class {name}"));
                reply(404, &e, &[], query.head_only)
            }),
            None if shape.harmless => Ok(self.rules.read),
            None if shape.inserts && query.token.is_some() => {
                Ok(self.rules.deduplicated.unwrap_or(self.rules.write))
            }
            None => Ok(self.rules.write),
        }
    }

    fn patience(&self, class: u16) -> Micros {
        self.classes
            .patience
            .get(usize::from(class))
            .copied()
            .unwrap_or(DEFAULT_PATIENCE)
    }

    fn take(
        &mut self,
        query: Query,
        request: Request,
        now: Micros,
        kept: usize,
    ) -> Result<Intake, Vec<u8>> {
        let class = self.class(&query)?;
        let say = |e: Exception| reply(e.status(), &e, &[], query.head_only);
        let call = match &query.id {
            Some(id) => id.clone(),
            None => self.name(now),
        };
        let writer = Box::new(Stream::new(&query, &call));
        if let Some(kill) = &query.shape.kill {
            let Some(names) = kill.ids.clone() else {
                let words =
                    "KILL QUERY is carried out by query_id alone here: WHERE query_id = '...', or \
                             query_id IN ('...')";
                return Err(say(Exception::new(NOT_IMPLEMENTED, words)));
            };
            let behind = kill.behind.clone();
            self.kills += 1;
            return Ok(self.kill(&query, names, &behind, class, writer));
        }
        let key = match &query.key {
            Some(key) => Some(fnv1a_64(key.as_bytes())),
            // Batches into one table stay in order.
            None => query
                .shape
                .writes
                .as_ref()
                .map(|table| fnv1a_64(table.as_bytes())),
        };
        let most = self.patience(class);
        let budget = query.wanted_within.map_or(most, |told| told.min(most));
        let budget = if request.has_more_body {
            budget + self.rules.upload
        } else {
            budget
        };
        let (mut pin, mut session) = (None, None);
        let mut target = query.target.clone();
        if let Some(told) = &query.session {
            let user = query.credentials.user.as_deref().unwrap_or_default();
            let name = self.sessions.name(user, &told.id);
            let home = self
                .sessions
                .begin(now, name, told.check, told.timeout, query.shape.leaves())
                .map_err(say)?;
            session = Some(name);
            pin = home.map(|h| StickySession {
                engine: h.engine,
                only: h.tied,
            });
            if home.is_some_and(|h| h.tied) {
                // An engine that restarted unnoticed must say so, and not run this without what was set.
                target.push_str("&session_check=1");
            }
        }
        self.last += 1;
        let ticket = self.last;
        self.open.insert(ticket, Open { session, kept });
        let lost = pin.filter(|p| p.only).map(|_| {
            let words =
                "Session not found: the engine that holds it takes nothing more, and what was set or \
                         created in the session is lost with it. Begin a new session and create that anew";
            Exception::new(SESSION_NOT_FOUND, words).text.into()
        });
        let ask = ParsedRequest {
            call: call.into(),
            class,
            tables: query.shape.tables,
            key,
            token: query.token.as_deref().map(Rc::from),
            budget,
            about: about(&query, target),
            statement: Rc::from(request.body),
            pin,
            lost,
            once: request.has_more_body,
            ticket,
            ..ParsedRequest::default()
        };
        Ok(Intake::Take(ask, writer))
    }

    fn kill(
        &self,
        query: &Query,
        names: Vec<String>,
        behind: &str,
        class: u16,
        writer: Box<Stream>,
    ) -> Intake {
        let (about, behind) = (about(query, query.target.clone()), behind.to_string());
        let (budget, tables) = (self.patience(class), query.shape.tables);
        let head = [("Content-Type", "text/tab-separated-values; charset=UTF-8")];
        let none = response(200, &head, b"", false);
        let test = behind.to_ascii_lowercase().starts_with("test");
        let seed = keyed(self.seed, &self.kills.to_le_bytes());
        let for_engine = move |engine: EngineId, name: &str| {
            let name_there = name.replace('\\', "\\\\").replace('\'', "\\'");
            let statement = format!("KILL QUERY WHERE query_id = '{name_there}' {behind}");
            ParsedRequest {
                call: format!(
                    "kill-{seed:016x}-{}-{:08x}",
                    engine.0,
                    fnv1a_64(name.as_bytes()) as u32
                )
                .into(),
                class,
                budget,
                tables,
                about: about.clone(),
                statement: Rc::from(statement.trim_end().as_bytes()),
                pin: Some(StickySession { engine, only: true }),
                lost: Some(
                    Exception::new(
                        NETWORK_ERROR,
                        "The query's engine takes nothing more: it drains",
                    )
                    .text
                    .into(),
                ),
                ..ParsedRequest::default()
            }
        };
        let words = Exception::new(CANCELLED, "Query was cancelled by KILL QUERY").text;
        Intake::Kill(Box::new(KillRequest {
            names,
            test,
            words,
            none,
            for_engine: Box::new(for_engine),
            writer,
        }))
    }
}

/// What the back end is told.
fn about(query: &Query, target: String) -> Rc<[(String, String)]> {
    let mut about = vec![
        (URL_PARAMETERS.to_string(), target),
        (REQUEST_HEADERS.to_string(), query.headers.0.clone()),
    ];
    if query.frames {
        about.push((COMPRESSED_BLOCKS.into(), String::new()));
    }
    about.into()
}

/// An exception as a whole response.
fn reply(status: u16, e: &Exception, more: &[(&str, &str)], head_only: bool) -> Vec<u8> {
    let code = e.code.to_string();
    let mut headers = vec![
        ("Content-Type", "text/plain; charset=UTF-8"),
        ("X-ClickHouse-Exception-Code", code.as_str()),
    ];
    headers.extend(more);
    whole(status, &headers, &format!("{e}\n"), head_only)
}

/// A whole response, or its head alone.
fn whole(status: u16, headers: &[(&str, &str)], body: &str, head_only: bool) -> Vec<u8> {
    let mut bytes = response_head(status, headers, BodyFraming::Length(body.len()), false);
    if !head_only {
        bytes.extend(body.bytes());
    }
    bytes
}

impl Frontend for ClickHouse {
    fn request_limits(&self) -> RequestLimits {
        RequestLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: SMALL,
            has_more_body: true,
        }
    }

    fn reserve_body(&mut self, kept: usize, size: usize) -> Option<(usize, usize)> {
        Some(self.keep.grow(kept, size))
    }

    fn release_body(&mut self, kept: usize) {
        self.keep.release(kept);
    }

    fn parse_request(&mut self, request: Request, now: Micros, kept: usize) -> Intake {
        let head_only = request.method == "HEAD";
        let asked = match request::read(&request) {
            Ok(Asked::Query(query)) => {
                let taken = self.take(*query, request, now, kept);
                if !matches!(taken, Ok(Intake::Take(..))) {
                    self.keep.release(kept);
                }
                return taken.unwrap_or_else(Intake::Bad);
            }
            other => other,
        };
        self.keep.release(kept);
        let plain = |status: u16, body: &str| {
            whole(
                status,
                &[("Content-Type", "text/html; charset=UTF-8")],
                body,
                head_only,
            )
        };
        match asked {
            Ok(Asked::Ping) => Intake::Reply(plain(200, "Ok.\n")),
            Ok(Asked::ReplicasStatus) => Intake::Ready(
                plain(200, "Ok.\n"),
                plain(503, "No engine takes queries now.\n"),
            ),
            Ok(Asked::Alive) => Intake::Ready(plain(200, ""), plain(503, "")),
            Ok(Asked::Counters) => Intake::Counters,
            Ok(Asked::Options) => {
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
                Intake::Reply(response(204, &headers, b"", false))
            }
            Ok(Asked::NoMethod) => Intake::Bad(plain(405, "")),
            Ok(Asked::NoPath) => Intake::Bad(plain(404, "There is no such path here.\n")),
            Ok(Asked::Query(_)) => Intake::Bad(plain(500, "")),
            Err(e) => Intake::Bad(reply(e.status(), &e, &[], head_only)),
        }
    }

    fn settle_request(&mut self, now: Micros, ticket: u64, fate: RequestFate) {
        let Some(open) = self.open.remove(&ticket) else {
            return;
        };
        self.keep.release(open.kept);
        if let Some(name) = open.session {
            let fate = match fate {
                RequestFate::NeverRan => session::Fate::NeverRan,
                RequestFate::Ran(engine, well) => session::Fate::Ran(engine, well),
                RequestFate::Unknown(engine) => session::Fate::Unknown(engine),
            };
            self.sessions.over(now, name, fate);
        }
    }

    fn engine_left(&mut self, engine: EngineId) {
        self.sessions.engine_left(engine);
    }

    fn duplicate_id_response(&mut self, now: Micros, ask: &ParsedRequest) -> Option<Vec<u8>> {
        self.settle_request(now, ask.ticket, RequestFate::NeverRan);
        let e = Exception::new(
            SAME_ID,
            &format!("Query with id = {} is already running", ask.call),
        );
        Some(reply(e.status(), &e, &[], false))
    }

    fn cancels_reads_of_gone_clients(&self) -> bool {
        true
    }

    fn timeout_after_body(&self, ask: &ParsedRequest) -> Option<Micros> {
        Some(self.patience(ask.class))
    }

    fn error_response(&self, fault: HttpError) -> Vec<u8> {
        let words = match fault {
            HttpError::Malformed => "The request can't be read as HTTP",
            HttpError::BodyTooLarge => "The body is too large",
            HttpError::HeadTooLarge => {
                "The URL and headers are too long, or there is no room for them now"
            }
        };
        let e = Exception::new(UNKNOWN_CLASS, words);
        let code = e.code.to_string();
        let headers = [
            ("Content-Type", "text/plain; charset=UTF-8"),
            ("X-ClickHouse-Exception-Code", &code),
        ];
        response(fault.status(), &headers, format!("{e}\n").as_bytes(), true)
    }

    fn counters(&self) -> String {
        let (held, tied) = self.sessions.held();
        let (s, k) = (self.sessions.counts(), self.keep.counts());
        let mut text = String::new();
        for (name, count) in [
            ("sessions_held", held as u64),
            ("sessions_tied", tied as u64),
            ("sessions_begun", s.begun),
            ("sessions_expired", s.expired),
            ("sessions_displaced", s.displaced),
            ("sessions_turned_away", s.turned_away),
            ("sessions_lost", s.lost),
            ("sessions_moved", s.moved),
            ("bodies_held_bytes", self.keep.held() as u64),
            ("bodies_held_bytes_most", k.most_held as u64),
            ("bodies_too_large_to_keep", k.too_large),
            ("bodies_without_room", k.no_room),
            ("kills_asked", self.kills),
        ] {
            let _ = writeln!(text, "{name} {count}");
        }
        text
    }

    fn session_counts(&self) -> Vec<u64> {
        let (held, tied) = self.sessions.held();
        vec![held as u64, tied as u64]
    }

    fn expire_sessions(&mut self, now: Micros) {
        self.sessions.expire(now);
    }
}

/// Writes a result as it comes, in chunks where the client knows them.
struct Stream {
    call: String,
    begun: bool,
    /// The body's length was told: it is whole with its only piece.
    counted: bool,
    chunks: bool,
    head_only: bool,
    progress: bool,
    /// The tag that the client was told, where it reads the result as text.
    tag: Option<String>,
    packed: bool,
}

impl Stream {
    fn new(query: &Query, call: &str) -> Stream {
        Stream {
            call: call.into(),
            begun: false,
            counted: false,
            chunks: query.chunks,
            head_only: query.head_only,
            progress: query.progress,
            tag: None,
            packed: query.frames,
        }
    }

    /// An exception, with the query's name where its client knows it.
    fn reply(&self, status: u16, e: &Exception, more: &[(&str, &str)]) -> Vec<u8> {
        let mut headers = vec![("X-ClickHouse-Query-Id", self.call.as_str())];
        headers.extend(more);
        reply(status, e, &headers, self.head_only)
    }

    fn end(&self) -> ConnectionAction {
        if self.chunks || self.counted || self.head_only {
            ConnectionAction::KeepOpen
        } else {
            ConnectionAction::Close
        }
    }
}

impl ResponseWriter for Stream {
    fn write_chunk(&mut self, piece: &ResponseChunk, out: &mut Vec<u8>) {
        if !std::mem::replace(&mut self.begun, true) {
            let about = piece.about.iter().filter(|(name, _)| {
                // Engines are asked for progress for our own sake; only who asked for it is told.
                self.progress || !name.eq_ignore_ascii_case("X-ClickHouse-Progress")
            });
            let about: Vec<_> = about.map(|(n, v)| (n.as_str(), v.as_str())).collect();
            let told = |name: &str| {
                about
                    .iter()
                    .find(|h| h.0.eq_ignore_ascii_case(name))
                    .map(|h| h.1)
            };
            self.tag = told("X-ClickHouse-Exception-Tag").map(String::from);
            self.packed |= told("Content-Encoding").is_some();
            self.counted = piece.whole;
            let ends = match () {
                () if piece.whole => BodyFraming::Length(piece.rows.len()),
                () if self.chunks => BodyFraming::Chunked,
                () => BodyFraming::UntilClose,
            };
            out.extend(response_head(200, &about, ends, false));
        }
        if self.head_only {
        } else if self.chunks && !self.counted {
            out.extend(chunk(&piece.rows));
        } else {
            out.extend_from_slice(&piece.rows);
        }
    }
    fn finish(&mut self, out: &mut Vec<u8>) -> ConnectionAction {
        if self.chunks && !self.counted && !self.head_only {
            out.extend_from_slice(LAST_CHUNK);
        }
        self.end()
    }
    fn reject(&mut self, after: Micros, words: Option<&str>, out: &mut Vec<u8>) {
        let (ms, s) = (
            after.div_ceil(1000).to_string(),
            after.div_ceil(1_000_000).max(1).to_string(),
        );
        let more = [("X-Come-Back-Ms", ms.as_str()), ("Retry-After", s.as_str())];
        // Where an engine erred on it, that is what its client wants to know.
        match words.and_then(Exception::of_text) {
            Some(e) => out.extend(self.reply(e.status(), &e, &more)),
            None => {
                out.extend(self.reply(429, &Exception::new(TOO_MANY_QUERIES, OVERLOADED), &more))
            }
        }
    }
    fn fail(&mut self, words: Option<&str>, out: &mut Vec<u8>) {
        let e = words.and_then(Exception::of_text).unwrap_or_else(|| {
            Exception::new(
                NETWORK_ERROR,
                "The query failed, or its time ran out; it may have run",
            )
        });
        out.extend(self.reply(e.status(), &e, &[]));
    }
    fn abort(&mut self, words: Option<&str>, out: &mut Vec<u8>) -> ConnectionAction {
        if self.chunks && !self.head_only {
            // Who was told a tag looks for the reason behind it. No last chunk follows: no client takes that for a
            // whole result.
            if let Some(tag) = self.tag.as_ref().filter(|_| !self.packed) {
                let broken = Exception::new(
                    NETWORK_ERROR,
                    "The result breaks off here: its engine was lost",
                );
                out.extend(chunk(marker(tag, words.unwrap_or(&broken.text)).as_bytes()));
            }
            return ConnectionAction::Close;
        }
        // Without chunks a close is how a whole result ends.
        ConnectionAction::Reset
    }
}
