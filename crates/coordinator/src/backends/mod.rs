//! Back ends: what is spoken on engines' connections, without their sockets.

pub mod clickhouse;
pub mod engine_protocol;

use driftfront_core::{
    AttemptKey, AttemptReport, Cause, Micros, Outcome, ParsedRequest, ProgressReport, ResponseChunk,
};

/// What an engine's connection has brought.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// Word on an attempt.
    ProgressReported(AttemptKey, ProgressReport),
    /// The answer has begun.
    Begun(AttemptKey),
    /// A piece of the answer, to be passed on.
    ResponseChunk(AttemptKey, ResponseChunk),
    /// What an answer told of the engine and the query; comes before the attempt's end.
    AttemptReport(AttemptKey, AttemptReport),
    /// The answer is whole.
    Served(AttemptKey),
    /// The attempt ended without serving.
    Failed(AttemptKey, Cause),
    /// A probe's result.
    ProbeEnded(u64, Outcome, Vec<f64>),
}

/// An attempt to be written.
pub struct AttemptRequest<'a> {
    /// Which.
    pub key: AttemptKey,
    /// The request.
    pub ask: &'a ParsedRequest,
    /// The name of its class.
    pub class: &'a str,
    /// Its name on the engine: the request's own, unless an earlier attempt may still run under that.
    pub name: &'a str,
    /// How long the coordinator will wait.
    pub patience: Micros,
    /// Memory granted, MB; 0 leaves it to the engine.
    pub grant_mb: f64,
    /// How often it should tell of its progress; `None` where that is not wanted.
    pub progress_interval: Option<Micros>,
}

/// One connection's conversation.
pub trait EngineSession {
    /// Attempts that may be out on it at once.
    fn most(&self) -> usize;
    /// Attempts out on it.
    fn open(&self) -> Vec<AttemptKey>;
    /// Whether this attempt is out on it.
    fn has(&self, key: AttemptKey) -> bool {
        self.open().contains(&key)
    }
    /// How many attempts are out on it.
    fn load(&self) -> usize {
        self.open().len()
    }
    /// Whether notes come as long as work is out, so that their want means silence.
    fn tells_notes(&self) -> bool {
        true
    }
    /// Whether what is out says nothing for as long as it likes, so that only a probe shows that the engine lives.
    fn wants_checks(&self) -> bool {
        false
    }
    /// Whether an answer has begun that comes as it is made.
    fn is_streaming(&self) -> bool {
        false
    }
    /// Writes more of the body of what is out, where that is passed on as it comes.
    fn more(&mut self, _bytes: &[u8], _out: &mut Vec<u8>) {}
    /// That body is over.
    fn no_more(&mut self, _out: &mut Vec<u8>) {}
    /// Whether it may take a request of this name now.
    fn takes(&self, call: &str) -> bool;
    /// Whether anything is out on it, probes too.
    fn is_idle(&self) -> bool;
    /// Writes an attempt.
    fn start(&mut self, start: &AttemptRequest, out: &mut Vec<u8>);
    /// Gives an attempt up; false if only closing the connection does that.
    fn stop(&mut self, key: AttemptKey, out: &mut Vec<u8>) -> bool;
    /// Writes a probe.
    fn probe(&mut self, tag: u64, out: &mut Vec<u8>);
    /// Probes out on it.
    fn probes(&self) -> Vec<u64>;
    /// Bytes have come; an error ends the connection.
    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        out: &mut Vec<u8>,
        seen: &mut Vec<EngineEvent>,
    ) -> Result<(), String>;
    /// Time has passed: what should have come by now is asked for again or ended.
    fn tend(
        &mut self,
        _now: Micros,
        _out: &mut Vec<u8>,
        _seen: &mut Vec<EngineEvent>,
    ) -> Result<(), String> {
        Ok(())
    }
    /// The engine has ended its side.
    fn ended(&mut self, seen: &mut Vec<EngineEvent>);
    /// Whether the connection can't be used again.
    fn is_spent(&self) -> bool;
}
