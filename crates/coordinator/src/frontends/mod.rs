//! Frontends: the client protocols, without I/O.
//!
//! A [`Frontend`] turns each HTTP request into a [`FrontendAction`]; a [`ResponseWriter`] serializes the response to one request.
//! [`platform`] implements the platform's protocol, [`clickhouse`] the ClickHouse HTTP interface.

pub mod clickhouse;
pub mod platform;

use driftfront_clickhouse::body_budget::Reservation;
use driftfront_core::{EngineId, Micros, ParsedRequest, ResponseChunk, SettledOutcome};
use driftfront_http::{response, HttpError, Request, RequestLimits};
use std::rc::Rc;

/// What to do with a client's request.
pub enum FrontendAction {
    /// Send these bytes as the response.
    Reply(Vec<u8>),
    /// Reject the request: send these bytes and delay the client's next request.
    RejectBadRequest(Vec<u8>),
    /// Respond according to whether the coordinator is ready.
    ReportReadiness {
        /// The response if the coordinator is ready.
        ready: Vec<u8>,
        /// The response if the coordinator is not ready.
        not_ready: Vec<u8>,
    },
    /// Respond with the counters.
    ReportCounters,
    /// Accept the request; the writer serializes its response.
    Accept(ParsedRequest, Box<dyn ResponseWriter>),
    /// Kill queries on every engine that runs them.
    Kill(Box<KillRequest>),
    /// Cancel the client's request with this id.
    CancelRequest {
        /// The id of the request.
        request_id: Rc<str>,
        /// The response.
        reply: Vec<u8>,
    },
}

/// Builds the request that kills a query on one engine, given the query's id on that engine.
pub type KillRequestBuilder = Box<dyn Fn(EngineId, &str) -> ParsedRequest>;

/// A client's request to kill queries.
pub struct KillRequest {
    /// The ids of the queries.
    pub query_ids: Vec<String>,
    /// Only check whether the queries can be killed (`TEST`).
    pub is_test: bool,
    /// The error message for the clients of the killed queries.
    pub message: String,
    /// The response if none of the queries is running.
    pub none_running_response: Vec<u8>,
    /// Builds the request for one engine.
    pub request_for: KillRequestBuilder,
    /// Serializes the response.
    pub writer: Box<dyn ResponseWriter>,
}

/// What to do with a client's connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Keep it open for the next request.
    KeepOpen,
    /// Close it.
    Close,
    /// Reset it: after a normal close an incomplete result would look complete.
    Reset,
}

/// Serializes the response to one request.
pub trait ResponseWriter {
    /// Writes a chunk of the result.
    fn write_chunk(&mut self, chunk: &ResponseChunk, out: &mut Vec<u8>);
    /// Writes the end of a complete result.
    fn finish(&mut self, out: &mut Vec<u8>) -> ConnectionAction;
    /// Writes that the request was rejected and can safely be retried after `retry_after`. `message` is the last engine's error, if
    /// there is one.
    fn reject(&mut self, retry_after: Micros, message: Option<&str>, out: &mut Vec<u8>);
    /// Writes that the request failed before any chunk was written.
    fn fail(&mut self, message: Option<&str>, out: &mut Vec<u8>);
    /// Aborts a result after a chunk, in a way that the client can detect.
    fn abort(&mut self, message: Option<&str>, out: &mut Vec<u8>) -> ConnectionAction;
}

/// Parses client requests.
pub trait Frontend {
    /// Parses a request. `reserved_bytes` is the part of the body budget that its body has reserved.
    fn parse_request(
        &mut self,
        request: Request,
        now: Micros,
        reserved_bytes: usize,
    ) -> FrontendAction;
    /// Limits on requests.
    fn request_limits(&self) -> RequestLimits;
    /// Grows the reservation of a request from `reserved_bytes` to fit `size` bytes. `None` if the frontend has no body budget.
    fn reserve_body(&mut self, _reserved_bytes: usize, _size: usize) -> Option<Reservation> {
        None
    }
    /// Releases a request's reservation.
    fn release_body(&mut self, _reserved_bytes: usize) {}
    /// Called once no attempt of the request with this ticket is in flight any more.
    fn settle_request(&mut self, _now: Micros, _ticket: u64, _outcome: SettledOutcome) {}
    /// Called when an engine stops accepting attempts or has been replaced.
    fn remove_engine(&mut self, _engine: EngineId) {}
    /// The response to a request whose id is already in use by an open request; with `None` it is accepted, and fails in the core.
    fn duplicate_id_response(&mut self, _now: Micros, _request: &ParsedRequest) -> Option<Vec<u8>> {
        None
    }
    /// Whether clients send one request at a time on a connection, so that a lot of pipelined input is misuse.
    fn is_sequential(&self) -> bool {
        false
    }
    /// Whether a read is cancelled on its engine when its client disconnects.
    fn cancels_reads_on_disconnect(&self) -> bool {
        false
    }
    /// How long an engine may take after the end of a streamed body.
    fn timeout_after_body(&self, _request: &ParsedRequest) -> Option<Micros> {
        None
    }
    /// The response to a malformed request; the connection is closed after it.
    fn error_response(&self, error: HttpError) -> Vec<u8> {
        response(error.status(), &[], b"", true)
    }
    /// The response to an incomplete request for which there is no memory; the connection is closed after it.
    fn overload_response(&self) -> Vec<u8>;
    /// The frontend's counters, one per line.
    fn counters(&self) -> String {
        String::new()
    }
    /// Number of sessions, and how many of them are stateful; empty if the frontend has no sessions.
    fn session_counts(&self) -> Vec<u64> {
        Vec::new()
    }
    /// Removes expired sessions.
    fn expire_sessions(&mut self, _now: Micros) {}
}

/// The query classes, by the names that clients use.
#[derive(Clone)]
pub struct QueryClasses {
    /// Names by class index.
    pub names: Rc<[String]>,
    /// Default client timeouts by class index.
    pub default_timeouts: Rc<[Micros]>,
}

impl QueryClasses {
    /// The name of a class; empty for an unknown index.
    pub fn name(&self, class: u16) -> &str {
        self.names
            .get(usize::from(class))
            .map_or("", String::as_str)
    }

    /// The default client timeout of a class; `None` for an unknown index.
    pub fn timeout(&self, class: u16) -> Option<Micros> {
        self.default_timeouts.get(usize::from(class)).copied()
    }

    /// The index of a class.
    pub fn index(&self, name: &str) -> Option<u16> {
        let index = self.names.iter().position(|n| n == name)?;
        u16::try_from(index).ok()
    }
}
