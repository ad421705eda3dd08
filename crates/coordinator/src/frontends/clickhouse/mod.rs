//! ClickHouse's HTTP interface towards clients, on the language in `driftfront_clickhouse`.
//!
//! | module | job |
//! | --- | --- |
//! | `query` | makes the core's request of a query, with its session and its order |
//! | `kill` | KILL QUERY |
//! | `replies` | responses that need no engine: exceptions, pings, readiness |
//! | `response` | results as they come |

mod kill;
mod query;
mod replies;
mod response;

use super::{Frontend, FrontendAction, QueryClasses};
use driftfront_clickhouse::body_budget::{BodyBudget, Reservation, UNBUDGETED_BYTES};
use driftfront_clickhouse::exception::Exception;
use driftfront_clickhouse::keyed_hash::keyed_hash;
use driftfront_clickhouse::request::{self, ClientRequest};
use driftfront_clickhouse::session::{QueryOutcome, SessionKey, SessionTable};
use driftfront_core::{EngineId, Micros, ParsedRequest, SettledOutcome};
use driftfront_http::{HttpError, Request, RequestLimits};
use std::collections::HashMap;
use std::fmt::Write as _;

/// Longest head accepted, the URL with it. What is longer than usual shares the budget for bodies.
pub const MAX_HEAD_BYTES: usize = 256 * 1024;
/// How long a client waits where its class does not say.
const DEFAULT_TIMEOUT: Micros = 30_000_000;

/// ClickHouse's codes of the exceptions that this frontend words itself.
mod codes {
    pub(super) const BAD_ARGUMENTS: u32 = 36;
    pub(super) const NOT_IMPLEMENTED: u32 = 48;
    pub(super) const QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING: u32 = 216;
    pub(super) const SESSION_NOT_FOUND: u32 = 372;
    pub(super) const QUERY_WAS_CANCELLED: u32 = 394;
}

/// What the operator's file says of this frontend.
#[derive(Clone, Copy, Debug)]
pub struct ClickHouseConfig {
    /// Class of statements that only read, where the client names none.
    pub read_class: u16,
    /// Class of the others, where the client names none.
    pub write_class: u16,
    /// Class of inserts with a deduplication token: only where all engines honour that.
    pub deduplicated_class: Option<u16>,
    /// Time beyond the class's own for a body that is streamed as it comes.
    pub upload_timeout: Micros,
    /// Bytes that bodies may hold, beside the small part of each.
    pub body_budget_bytes: usize,
}

/// Reads ClickHouse clients' requests.
pub struct ClickHouse {
    classes: QueryClasses,
    config: ClickHouseConfig,
    seed: u64,
    /// The last query named here, and the last ticket.
    last_number: u64,
    sessions: SessionTable<EngineId>,
    budget: BodyBudget,
    /// What is held for requests that are not settled, by ticket.
    open: HashMap<u64, OpenQuery>,
    kill_count: u64,
}

/// What is held for a query until nothing of it is in flight.
#[derive(Clone, Copy)]
struct OpenQuery {
    session: Option<SessionKey>,
    reserved_bytes: usize,
}

impl ClickHouse {
    /// A frontend with no sessions yet.
    pub fn new(classes: QueryClasses, config: ClickHouseConfig, seed: u64) -> ClickHouse {
        ClickHouse {
            classes,
            config,
            seed,
            last_number: 0,
            sessions: SessionTable::new(seed),
            budget: BodyBudget::new(config.body_budget_bytes),
            open: HashMap::new(),
            kill_count: 0,
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// An id for a query that its client gave none: it differs from those of other coordinators and earlier processes.
    fn generate_id(&mut self, now: Micros) -> String {
        let random = keyed_hash(self.seed, &now.to_le_bytes());
        format!("{random:016x}{:016x}", self.next_number())
    }

    fn timeout(&self, class: u16) -> Micros {
        self.classes.timeout(class).unwrap_or(DEFAULT_TIMEOUT)
    }
}

impl Frontend for ClickHouse {
    fn request_limits(&self) -> RequestLimits {
        RequestLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: UNBUDGETED_BYTES,
            streams_larger_bodies: true,
        }
    }

    fn reserve_body(&mut self, reserved_bytes: usize, size: usize) -> Option<Reservation> {
        Some(self.budget.reserve(reserved_bytes, size))
    }

    fn release_body(&mut self, reserved_bytes: usize) {
        self.budget.release(reserved_bytes);
    }

    fn parse_request(
        &mut self,
        request: Request,
        now: Micros,
        reserved_bytes: usize,
    ) -> FrontendAction {
        let head_only = request.method == "HEAD";
        let action = match request::parse(&request) {
            Ok(ClientRequest::Query(query)) => self
                .parse_query(&query, &request, now, reserved_bytes)
                .unwrap_or_else(FrontendAction::RejectBadRequest),
            Ok(other) => replies::reply_to(&other, head_only),
            Err(e) => FrontendAction::RejectBadRequest(replies::exception(&e.into(), head_only)),
        };
        // What is accepted holds its part until it is settled.
        if !matches!(action, FrontendAction::Accept(..)) {
            self.budget.release(reserved_bytes);
        }
        action
    }

    fn settle_request(&mut self, now: Micros, ticket: u64, outcome: SettledOutcome) {
        let Some(open) = self.open.remove(&ticket) else {
            return;
        };
        self.budget.release(open.reserved_bytes);
        if let Some(session) = open.session {
            let query_outcome = match outcome {
                SettledOutcome::NeverRan => QueryOutcome::NeverRan,
                SettledOutcome::Ran(engine, succeeded) => QueryOutcome::Ran { engine, succeeded },
                SettledOutcome::Unknown(engine) => QueryOutcome::Unknown { engine },
            };
            self.sessions.end_query(now, session, query_outcome);
        }
    }

    fn remove_engine(&mut self, engine: EngineId) {
        self.sessions.remove_engine(engine);
    }

    fn duplicate_id_response(&mut self, now: Micros, request: &ParsedRequest) -> Option<Vec<u8>> {
        self.settle_request(now, request.ticket, SettledOutcome::NeverRan);
        let text = format!("Query with id = {} is already running", request.name);
        let e = Exception::new(codes::QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING, &text);
        Some(replies::exception(&e, false))
    }

    fn cancels_reads_on_disconnect(&self) -> bool {
        true
    }

    fn timeout_after_body(&self, request: &ParsedRequest) -> Option<Micros> {
        Some(self.timeout(request.class))
    }

    fn error_response(&self, error: HttpError) -> Vec<u8> {
        replies::http_error(error)
    }

    fn counters(&self) -> String {
        let (held, sessions) = (self.sessions.held(), self.sessions.counters());
        let bodies = self.budget.counters();
        let mut text = String::new();
        for (name, count) in [
            ("sessions_held", held.total as u64),
            ("sessions_tied", held.stateful as u64),
            ("sessions_begun", sessions.begun),
            ("sessions_expired", sessions.expired),
            ("sessions_displaced", sessions.evicted),
            ("sessions_turned_away", sessions.rejected),
            ("sessions_lost", sessions.lost),
            ("sessions_moved", sessions.migrated),
            (
                "bodies_held_bytes",
                self.budget.total_reserved_bytes() as u64,
            ),
            ("bodies_held_bytes_most", bodies.peak_reserved_bytes as u64),
            ("bodies_too_large_to_keep", bodies.too_large),
            ("bodies_without_room", bodies.over_budget),
            ("kills_asked", self.kill_count),
        ] {
            let _ = writeln!(text, "{name} {count}");
        }
        text
    }

    fn session_counts(&self) -> Vec<u64> {
        let held = self.sessions.held();
        vec![held.total as u64, held.stateful as u64]
    }

    fn expire_sessions(&mut self, now: Micros) {
        self.sessions.expire(now);
    }
}
