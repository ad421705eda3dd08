//! Backends: the engine protocols, without I/O.
//!
//! A backend is an [`EngineSession`]: it encodes attempts and probes for one connection and decodes the engine's responses into
//! [`EngineEvent`]s. [`engine_protocol`] is the platform's line protocol, [`clickhouse`] the ClickHouse HTTP interface.

pub mod clickhouse;
pub mod engine_protocol;

use driftfront_core::{
    AttemptKey, AttemptReport, Cause, Micros, Outcome, ParsedRequest, ProgressReport, ResponseChunk,
};

/// An event decoded from an engine's connection.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A progress report of an attempt.
    ProgressReported(AttemptKey, ProgressReport),
    /// The response has started. May be repeated while the response arrives.
    ResponseStarted(AttemptKey),
    /// A chunk of the response, to be forwarded.
    ResponseChunk(AttemptKey, ResponseChunk),
    /// What a response reported about the engine and the query; precedes the end of the attempt.
    AttemptReport(AttemptKey, AttemptReport),
    /// The response is complete.
    Served(AttemptKey),
    /// The attempt ended without a usable response.
    Failed(AttemptKey, Cause),
    /// A probe's tag, its outcome and the engine's load report.
    ProbeEnded(u64, Outcome, Vec<f64>),
}

/// An attempt to send.
pub struct AttemptRequest<'a> {
    /// The key of the attempt.
    pub key: AttemptKey,
    /// The request.
    pub request: &'a ParsedRequest,
    /// The name of the request's class.
    pub class: &'a str,
    /// The query id on the engine: the request's own, unless an earlier attempt may still be running under it.
    pub name: &'a str,
    /// How long the coordinator waits for the response.
    pub timeout: Micros,
    /// Granted memory in MB; with 0 the engine decides.
    pub grant_mb: f64,
    /// How often the engine should report progress; `None` for no reports.
    pub progress_interval: Option<Micros>,
}

/// Why a connection can't be decoded any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// A violation of the platform's line protocol.
    #[error(transparent)]
    Line(#[from] engine_protocol::LineError),
    /// A violation of the ClickHouse interface.
    #[error(transparent)]
    ClickHouse(#[from] clickhouse::ClickHouseError),
}

/// The protocol state of one connection to an engine.
pub trait EngineSession {
    /// Maximum number of attempts in flight on the connection.
    fn max_attempts(&self) -> usize;
    /// The attempts in flight on the connection.
    fn open_attempts(&self) -> Vec<AttemptKey>;
    /// Whether this attempt is in flight on the connection.
    fn has_attempt(&self, key: AttemptKey) -> bool {
        self.open_attempts().contains(&key)
    }
    /// Number of attempts in flight on the connection.
    fn attempt_count(&self) -> usize {
        self.open_attempts().len()
    }
    /// Whether the engine sends progress reports as long as an attempt is in flight, so that their absence means silence.
    fn reports_progress(&self) -> bool {
        true
    }
    /// Whether an attempt in flight may be silent for any length of time, so that only a probe shows that the engine is alive.
    fn needs_liveness_probes(&self) -> bool {
        false
    }
    /// Whether a streamed response has started.
    fn is_streaming(&self) -> bool {
        false
    }
    /// Writes a chunk of the streamed body of the attempt in flight.
    fn write_body_chunk(&mut self, _bytes: &[u8], _out: &mut Vec<u8>) {}
    /// Writes the end of the streamed body.
    fn finish_body(&mut self, _out: &mut Vec<u8>) {}
    /// Whether an attempt of the request with this id can be started now.
    fn can_start(&self, request_id: &str) -> bool;
    /// Whether neither attempts nor probes are in flight on the connection.
    fn is_idle(&self) -> bool;
    /// Writes an attempt. Returns the number of its bytes with which an engine can't have begun to run it: an attempt of which more
    /// is written may have run in part, even if the rest is never written.
    fn start_attempt(&mut self, attempt: &AttemptRequest, out: &mut Vec<u8>) -> usize;
    /// Stops an attempt; returns false if that requires closing the connection.
    fn stop_attempt(&mut self, key: AttemptKey, out: &mut Vec<u8>) -> bool;
    /// Writes a probe.
    fn write_probe(&mut self, tag: u64, out: &mut Vec<u8>);
    /// Tags of the probes in flight on the connection.
    fn open_probes(&self) -> Vec<u64>;
    /// Decodes received bytes, which may be split anywhere, into events; messages to the engine are written to `out`.
    ///
    /// # Errors
    ///
    /// If the engine violates the protocol; the connection can't be used any more.
    fn decode(
        &mut self,
        now: Micros,
        input: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), SessionError>;
    /// Retries or fails whatever is overdue.
    ///
    /// # Errors
    ///
    /// If an incomplete response blocks the connection; the connection can't be used any more.
    fn check_timeouts(
        &mut self,
        _now: Micros,
        _out: &mut Vec<u8>,
        _events: &mut Vec<EngineEvent>,
    ) -> Result<(), SessionError> {
        Ok(())
    }
    /// Handles the engine's close of the connection, which may complete a response.
    fn handle_eof(&mut self, events: &mut Vec<EngineEvent>);
    /// Whether the connection can't be reused and must be closed.
    fn must_close(&self) -> bool;
}
