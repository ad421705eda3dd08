//! Frontends: the protocols spoken with clients, without their sockets.
//!
//! A [`Frontend`] turns each HTTP request into a [`FrontendAction`]; a [`ResponseWriter`] writes one request's response in the
//! client's form. [`platform`] is the platform's protocol, [`clickhouse`] the ClickHouse HTTP interface.

pub mod clickhouse;
pub mod platform;

use driftfront_clickhouse::body_budget::Reservation;
use driftfront_core::{EngineId, Micros, ParsedRequest, ResponseChunk, SettledOutcome};
use driftfront_http::{response, HttpError, Request, RequestLimits};
use std::rc::Rc;

/// What is to be done with a client's request.
pub enum FrontendAction {
    /// Reply at once with these bytes.
    Reply(Vec<u8>),
    /// It can't be accepted: reply with these bytes, and let the client wait before its next request.
    RejectBadRequest(Vec<u8>),
    /// Reply whether the coordinator is ready.
    ReportReadiness {
        /// The reply if it is.
        ready: Vec<u8>,
        /// The reply if it is not.
        not_ready: Vec<u8>,
    },
    /// Reply with the counters.
    ReportCounters,
    /// Accept the request; its response is written with this writer.
    Accept(ParsedRequest, Box<dyn ResponseWriter>),
    /// End queries, wherever they run.
    Kill(Box<KillRequest>),
    /// The client takes its request of this id back.
    CancelRequest {
        /// The request's id.
        request_id: Rc<str>,
        /// The reply.
        reply: Vec<u8>,
    },
}

/// Makes the request that ends a query on one engine, by the query's name there.
pub type KillRequestFor = Box<dyn Fn(EngineId, &str) -> ParsedRequest>;

/// A client's order to end queries.
pub struct KillRequest {
    /// Their names.
    pub query_ids: Vec<String>,
    /// Only try whether that could be done.
    pub is_test: bool,
    /// The message that their clients get.
    pub message: String,
    /// The reply where none of them runs.
    pub none_running_response: Vec<u8>,
    /// The request for one engine.
    pub request_for: KillRequestFor,
    /// Writes the response.
    pub writer: Box<dyn ResponseWriter>,
}

/// What becomes of a client's connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It may carry the next request.
    KeepOpen,
    /// It closes in order.
    Close,
    /// It is reset: an orderly close would make what was cut look complete.
    Reset,
}

/// Writes one request's response in the client's form.
pub trait ResponseWriter {
    /// Writes a chunk of the result.
    fn write_chunk(&mut self, chunk: &ResponseChunk, out: &mut Vec<u8>);
    /// Ends a complete result.
    fn finish(&mut self, out: &mut Vec<u8>) -> ConnectionAction;
    /// Writes that the request was rejected: harmless to try again after this time. `message`: the last engine's error, if any.
    fn reject(&mut self, retry_after: Micros, message: Option<&str>, out: &mut Vec<u8>);
    /// Writes that the request failed before any chunk.
    fn fail(&mut self, message: Option<&str>, out: &mut Vec<u8>);
    /// Breaks a result off after a chunk: the client must see it.
    fn abort(&mut self, message: Option<&str>, out: &mut Vec<u8>) -> ConnectionAction;
}

/// Reads clients' requests.
pub trait Frontend {
    /// What is to be done with a request. `reserved_bytes`: what its body holds of the budget for bodies.
    fn parse_request(
        &mut self,
        request: Request,
        now: Micros,
        reserved_bytes: usize,
    ) -> FrontendAction;
    /// Bounds of the requests that are read.
    fn request_limits(&self) -> RequestLimits;
    /// A request that holds `reserved_bytes` of the budget has grown to `size`: what it holds then. `None` where there is no budget.
    fn reserve_body(&mut self, _reserved_bytes: usize, _size: usize) -> Option<Reservation> {
        None
    }
    /// Releases what a request held of the budget.
    fn release_body(&mut self, _reserved_bytes: usize) {}
    /// Nothing of the request of this ticket is in flight any more.
    fn settle_request(&mut self, _now: Micros, _ticket: u64, _outcome: SettledOutcome) {}
    /// An engine takes nothing new, or has been replaced.
    fn remove_engine(&mut self, _engine: EngineId) {}
    /// The reply to a request whose id an open one has; `None` accepts it, to fail.
    fn duplicate_id_response(&mut self, _now: Micros, _request: &ParsedRequest) -> Option<Vec<u8>> {
        None
    }
    /// Whether a client makes one call at a time on a connection: what it sends far ahead is no use of its own then.
    fn is_sequential(&self) -> bool {
        false
    }
    /// Whether a read is ended on its engine when its client leaves.
    fn cancels_reads_on_disconnect(&self) -> bool {
        false
    }
    /// How long an engine may take once the whole of a streamed body is there.
    fn timeout_after_body(&self, _request: &ParsedRequest) -> Option<Micros> {
        None
    }
    /// The response to what can't be read as a request; the connection closes behind it.
    fn error_response(&self, error: HttpError) -> Vec<u8> {
        response(error.status(), &[], b"", true)
    }
    /// Counters of its own, a line each.
    fn counters(&self) -> String {
        String::new()
    }
    /// Sessions held and, of these, those bound to their engine; empty where there are none.
    fn session_counts(&self) -> Vec<u64> {
        Vec::new()
    }
    /// Ends sessions whose time is over.
    fn expire_sessions(&mut self, _now: Micros) {}
}

/// The query classes as clients name them.
#[derive(Clone)]
pub struct QueryClasses {
    /// Names, by index.
    pub names: Rc<[String]>,
    /// How long a client waits that does not say, by index.
    pub default_timeouts: Rc<[Micros]>,
}

impl QueryClasses {
    /// A class's name; empty for an index that there is not.
    pub fn name(&self, class: u16) -> &str {
        self.names
            .get(usize::from(class))
            .map_or("", String::as_str)
    }

    /// How long a client of a class waits that does not say; `None` for an index that there is not.
    pub fn timeout(&self, class: u16) -> Option<Micros> {
        self.default_timeouts.get(usize::from(class)).copied()
    }

    /// A class's index.
    pub fn index(&self, name: &str) -> Option<u16> {
        let index = self.names.iter().position(|n| n == name)?;
        u16::try_from(index).ok()
    }
}
