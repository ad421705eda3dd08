//! Backends: the protocols spoken with engines, without their sockets.
//!
//! A backend is an [`EngineSession`]: it encodes attempts and probes for one connection and decodes what the engine sends back into
//! [`EngineEvent`]s. [`engine_protocol`] is the platform's line protocol, [`clickhouse`] the ClickHouse HTTP interface.

pub mod clickhouse;
pub mod engine_protocol;

use driftfront_core::{
    AttemptKey, AttemptReport, Cause, Micros, Outcome, ParsedRequest, ProgressReport, ResponseChunk,
};

/// What an engine's connection has brought.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A progress report of an attempt.
    ProgressReported(AttemptKey, ProgressReport),
    /// The response has begun.
    ResponseStarted(AttemptKey),
    /// A chunk of the response, to be forwarded.
    ResponseChunk(AttemptKey, ResponseChunk),
    /// What a response reported of the engine and the query; comes before the attempt's end.
    AttemptReport(AttemptKey, AttemptReport),
    /// The response is complete.
    Served(AttemptKey),
    /// The attempt ended without a usable response.
    Failed(AttemptKey, Cause),
    /// A probe's tag, its outcome and the engine's load report.
    ProbeEnded(u64, Outcome, Vec<f64>),
}

/// An attempt to be written.
pub struct AttemptRequest<'a> {
    /// Which attempt.
    pub key: AttemptKey,
    /// The request.
    pub request: &'a ParsedRequest,
    /// The name of its class.
    pub class: &'a str,
    /// Its name on the engine: the request's own, unless an earlier attempt may still run under that.
    pub name: &'a str,
    /// How long the coordinator will wait.
    pub timeout: Micros,
    /// Memory granted, MB; 0 leaves it to the engine.
    pub grant_mb: f64,
    /// How often the engine should report progress; `None` where that is not wanted.
    pub progress_interval: Option<Micros>,
}

/// Why nothing more can be decoded on a connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The platform's line protocol was violated.
    #[error(transparent)]
    Line(#[from] engine_protocol::LineError),
    /// The ClickHouse interface was violated.
    #[error(transparent)]
    ClickHouse(#[from] clickhouse::ClickHouseError),
}

/// The protocol state of one connection to an engine.
pub trait EngineSession {
    /// Attempts that may be in flight on it at once.
    fn max_attempts(&self) -> usize;
    /// Attempts in flight on it.
    fn open_attempts(&self) -> Vec<AttemptKey>;
    /// Whether this attempt is in flight on it.
    fn has_attempt(&self, key: AttemptKey) -> bool {
        self.open_attempts().contains(&key)
    }
    /// How many attempts are in flight on it.
    fn attempt_count(&self) -> usize {
        self.open_attempts().len()
    }
    /// Whether progress reports come as long as work is in flight, so that their absence means silence.
    fn reports_progress(&self) -> bool {
        true
    }
    /// Whether what is in flight may say nothing for as long as it likes, so that only a probe shows that the engine lives.
    fn needs_liveness_probes(&self) -> bool {
        false
    }
    /// Whether a response has begun that comes as it is made.
    fn is_streaming(&self) -> bool {
        false
    }
    /// Writes more of the body of the attempt in flight, where that is streamed.
    fn write_body_chunk(&mut self, _bytes: &[u8], _out: &mut Vec<u8>) {}
    /// Writes the end of that body.
    fn finish_body(&mut self, _out: &mut Vec<u8>) {}
    /// Whether it can take an attempt of the request of this id now.
    fn can_start(&self, request_id: &str) -> bool;
    /// Whether nothing is in flight on it, probes included.
    fn is_idle(&self) -> bool;
    /// Writes an attempt.
    fn start_attempt(&mut self, attempt: &AttemptRequest, out: &mut Vec<u8>);
    /// Gives an attempt up; false if only closing the connection does that.
    fn stop_attempt(&mut self, key: AttemptKey, out: &mut Vec<u8>) -> bool;
    /// Writes a probe.
    fn write_probe(&mut self, tag: u64, out: &mut Vec<u8>);
    /// Tags of the probes in flight on it.
    fn open_probes(&self) -> Vec<u64>;
    /// Decodes received bytes, in pieces of any size, into events; replies go to `out`.
    ///
    /// # Errors
    ///
    /// Where the engine violates the protocol: the connection can't be used any more.
    fn decode(
        &mut self,
        now: Micros,
        input: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), SessionError>;
    /// Asks again for what is overdue, or gives it up.
    ///
    /// # Errors
    ///
    /// Where a response stopped short and blocks all behind it: the connection can't be used any more.
    fn check_timeouts(
        &mut self,
        _now: Micros,
        _out: &mut Vec<u8>,
        _events: &mut Vec<EngineEvent>,
    ) -> Result<(), SessionError> {
        Ok(())
    }
    /// Takes note that the engine has ended its side, which may complete a response.
    fn handle_eof(&mut self, events: &mut Vec<EngineEvent>);
    /// Whether the connection can't be used again.
    fn must_close(&self) -> bool;
}
