//! Fronts: what is spoken with clients, without their sockets.

pub mod clickhouse;
pub mod platform;

use driftfront_core::{EngineId, Micros, ParsedRequest, RequestFate, ResponseChunk};
use driftfront_http::{response, HttpError, Request, RequestLimits};
use std::rc::Rc;

/// What a front makes of a request.
pub enum Intake {
    /// Answer it at once with these bytes.
    Reply(Vec<u8>),
    /// It can't be taken: say so with these bytes, and let it wait before it asks anew.
    Bad(Vec<u8>),
    /// It asks whether the coordinator is ready: what to say if it is, and if not.
    Ready(Vec<u8>, Vec<u8>),
    /// It asks for the counters.
    Counters,
    /// Take it in; the answer is written with this writer.
    Take(ParsedRequest, Box<dyn ResponseWriter>),
    /// End the queries of these names, wherever they run.
    Kill(Box<KillRequest>),
    /// Its client takes the request of this name back; what to say then.
    Withdraw(Rc<str>, Vec<u8>),
}

/// Makes a request for one engine, about the query of this name there.
pub type ForEngine = Box<dyn Fn(EngineId, &str) -> ParsedRequest>;

/// A client's wish to end queries.
pub struct KillRequest {
    /// Their names.
    pub names: Vec<String>,
    /// Only try whether that could be done.
    pub test: bool,
    /// What their clients are told.
    pub words: String,
    /// The answer where none of them runs.
    pub none: Vec<u8>,
    /// The statement for one engine, for the query of this name there.
    pub for_engine: ForEngine,
    /// Writes the answer.
    pub writer: Box<dyn ResponseWriter>,
}

/// What becomes of a client's connection behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It may carry the next request.
    KeepOpen,
    /// It closes in order.
    Close,
    /// It is reset: an orderly close would make what was cut look whole.
    Reset,
}

/// Writes one request's answer in the client's form.
pub trait ResponseWriter {
    /// A piece of the result.
    fn write_chunk(&mut self, piece: &ResponseChunk, out: &mut Vec<u8>);
    /// The result is whole.
    fn finish(&mut self, out: &mut Vec<u8>) -> ConnectionAction;
    /// Refused: harmless to try again after this time. The last engine's words, if it erred.
    fn reject(&mut self, after: Micros, words: Option<&str>, out: &mut Vec<u8>);
    /// Failed before any piece.
    fn fail(&mut self, words: Option<&str>, out: &mut Vec<u8>);
    /// Failed after a piece: the client must see it.
    fn abort(&mut self, words: Option<&str>, out: &mut Vec<u8>) -> ConnectionAction;
}

/// Reads clients' requests.
pub trait Frontend {
    /// What to do with one. `kept`: what its body holds of the budget for bodies.
    fn parse_request(&mut self, request: Request, now: Micros, kept: usize) -> Intake;
    /// What a reader of requests takes.
    fn request_limits(&self) -> RequestLimits;
    /// A request that holds `kept` of the budget has grown to `size`: what it holds then, and how long its body may
    /// become before it is passed on as it comes.
    fn reserve_body(&mut self, _kept: usize, _size: usize) -> Option<(usize, usize)> {
        None
    }
    /// What a request held of the budget is let go.
    fn release_body(&mut self, _kept: usize) {}
    /// Nothing of the request under this ticket is out any more.
    fn settle_request(&mut self, _now: Micros, _ticket: u64, _fate: RequestFate) {}
    /// An engine takes nothing new, or has been replaced.
    fn engine_left(&mut self, _engine: EngineId) {}
    /// The answer to a request whose name an open one has; `None` lets it in, to fail.
    fn duplicate_id_response(&mut self, _now: Micros, _ask: &ParsedRequest) -> Option<Vec<u8>> {
        None
    }
    /// Whether a client makes one call at a time on a connection: what it sends far ahead is no use of its own then.
    fn is_sequential(&self) -> bool {
        false
    }
    /// Whether a read is ended on its engine when its client leaves.
    fn cancels_reads_of_gone_clients(&self) -> bool {
        false
    }
    /// How long an engine may take once the whole body of a request is there that was passed on as it came.
    fn timeout_after_body(&self, _ask: &ParsedRequest) -> Option<Micros> {
        None
    }
    /// Why a request can't be read; the connection closes behind it.
    fn error_response(&self, fault: HttpError) -> Vec<u8> {
        response(fault.status(), &[], b"", true)
    }
    /// Counts of its own, a line each.
    fn counters(&self) -> String {
        String::new()
    }
    /// Sessions held and, of these, tied; empty where there are none.
    fn session_counts(&self) -> Vec<u64> {
        Vec::new()
    }
    /// Time has passed.
    fn expire_sessions(&mut self, _now: Micros) {}
}

/// The classes as clients name them.
#[derive(Clone)]
pub struct QueryClasses {
    /// Names, by place.
    pub names: Rc<[String]>,
    /// How long a client waits that does not say, by place.
    pub patience: Rc<[Micros]>,
}

impl QueryClasses {
    /// A class's name; empty for one that there is not.
    pub fn name(&self, class: u16) -> &str {
        self.names
            .get(usize::from(class))
            .map_or("", String::as_str)
    }

    /// A class's place.
    pub fn place(&self, name: &str) -> Option<u16> {
        self.names.iter().position(|n| n == name).map(|n| n as u16)
    }
}
