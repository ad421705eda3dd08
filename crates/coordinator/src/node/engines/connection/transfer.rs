//! Input and output of an engine connection: encodes probes, attempts and bodies into the output, and decodes received bytes into
//! [`EngineEvent`]s.

use super::{AttemptSpan, EngineConnection, QueuedWrite};
use crate::backends::{AttemptRequest, EngineEvent, SessionError};
use crate::net::ReadOutcome;
use driftfront_core::{AttemptKey, Core, Micros, Progress};
use std::io;

/// Buffer capacity for the framing of a body chunk.
const CHUNK_FRAMING_BYTES: usize = 16;

/// The result of stopping an attempt.
pub(in crate::node::engines) enum StopOutcome {
    /// It was not in flight on this connection.
    NotInFlight,
    /// A message to the engine stops it.
    Stopped,
    /// Only closing the connection stops it.
    NeedsClose,
}

impl EngineConnection {
    /// Adds a probe to the output.
    pub(in crate::node::engines) fn write_probe(&mut self, now: Micros, tag: u64) {
        let was_idle = self.session.is_idle();
        let mut out = Vec::new();
        self.session.write_probe(tag, &mut out);
        self.push_work(now, &out, was_idle);
    }

    /// Adds an attempt to the output. A streamed one is incomplete until [`EngineConnection::finish_body`].
    pub(in crate::node::engines) fn start_attempt(
        &mut self,
        now: Micros,
        attempt: &AttemptRequest,
    ) {
        // The time of this attempt's first report does not depend on a probe in flight.
        let was_idle = self.session.attempt_count() == 0;
        let mut out = Vec::new();
        let bytes_without_effect = self.session.start_attempt(attempt, &mut out);
        let begin = self.stream.queued();
        let mut span = AttemptSpan {
            key: attempt.key,
            begin,
            without_effect: begin + bytes_without_effect as u64,
            end: begin + out.len() as u64,
        };
        if attempt.request.is_body_streamed {
            self.upload = Some(attempt.key);
            span.end = u64::MAX;
        }
        self.spans.push_back(span);
        self.push_work(now, &out, was_idle);
    }

    /// Adds bytes of new work to the output. `was_idle`: no response was awaited before, so silence is measured from now.
    fn push_work(&mut self, now: Micros, bytes: &[u8], was_idle: bool) {
        self.stream.push(bytes);
        if was_idle {
            self.silent_since = now;
        }
        self.last_used = now;
    }

    /// Adds a chunk of the streamed body to the output.
    pub(in crate::node::engines) fn write_body_chunk(&mut self, now: Micros, bytes: &[u8]) {
        let mut out = Vec::with_capacity(bytes.len() + CHUNK_FRAMING_BYTES);
        self.session.write_body_chunk(bytes, &mut out);
        self.stream.push(&out);
        self.last_used = now;
    }

    /// Adds the end of the streamed body to the output; silence is measured from now on, as the engine's response is awaited.
    pub(in crate::node::engines) fn finish_body(&mut self, now: Micros, key: AttemptKey) {
        let mut out = Vec::new();
        self.session.finish_body(&mut out);
        self.stream.push(&out);
        self.upload = None;
        if let Some(span) = self.spans.iter_mut().find(|span| span.key == key) {
            span.end = self.stream.queued();
        }
        self.silent_since = now;
    }

    /// Removes an attempt from the queue, or stops it if it is in flight.
    pub(in crate::node::engines) fn stop_attempt(&mut self, key: AttemptKey) -> StopOutcome {
        self.queue
            .retain(|w| !matches!(w, QueuedWrite::Attempt { key: queued, .. } if *queued == key));
        if !self.session.has_attempt(key) {
            return StopOutcome::NotInFlight;
        }
        let mut out = Vec::new();
        let is_stopped = self.session.stop_attempt(key, &mut out);
        self.stream.push(&out);
        if is_stopped {
            StopOutcome::Stopped
        } else {
            StopOutcome::NeedsClose
        }
    }

    /// Writes output to the socket, and reports the progress of attempts to the core; true once no output is left.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub(in crate::node::engines) fn flush(&mut self, core: &mut Core) -> io::Result<bool> {
        let flushed = self.stream.flush();
        self.report_written(core);
        flushed
    }

    fn report_written(&mut self, core: &mut Core) {
        let written = self.stream.written();
        while let Some(span) = self.spans.front() {
            if written > span.without_effect {
                core.record_progress(span.key, Progress::FullyWritten);
            } else if written > span.begin {
                core.record_progress(span.key, Progress::PartiallyWritten);
            }
            if written < span.end {
                return;
            }
            self.spans.pop_front();
        }
    }

    /// Appends up to `max_bytes` received bytes to `into`.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub(in crate::node::engines) fn read(
        &mut self,
        into: &mut Vec<u8>,
        max_bytes: usize,
    ) -> io::Result<ReadOutcome> {
        self.stream.read(into, max_bytes)
    }

    /// Decodes received bytes, and a close by the engine, into `events`.
    ///
    /// # Errors
    ///
    /// The engine violates the protocol; events before the violation are in `events`.
    pub(in crate::node::engines) fn decode(
        &mut self,
        now: Micros,
        bytes: &[u8],
        outcome: ReadOutcome,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), SessionError> {
        let mut decoded = Ok(());
        if !bytes.is_empty() {
            (self.silent_since, self.last_received, self.last_used) = (now, now, now);
            let mut out = Vec::new();
            decoded = self.session.decode(now, bytes, &mut out, events);
            self.stream.push(&out);
        }
        if outcome == ReadOutcome::Closed {
            self.session.handle_eof(events);
        }
        decoded
    }

    /// Reads and decodes once on a connection that can no longer be written; true if there may be more to read.
    pub(in crate::node::engines) fn read_remaining(
        &mut self,
        now: Micros,
        max_bytes: usize,
        events: &mut Vec<EngineEvent>,
    ) -> bool {
        let mut bytes = Vec::new();
        let outcome = self.stream.read(&mut bytes, max_bytes);
        let decoded = self.session.decode(now, &bytes, &mut Vec::new(), events);
        decoded.is_ok() && matches!(outcome, Ok(ReadOutcome::LimitReached))
    }

    /// Pauses or resumes reading.
    pub(in crate::node::engines) fn set_paused(&mut self, now: Micros, is_paused: bool) {
        if self.is_paused && !is_paused {
            // Nothing was received because reading was paused.
            self.silent_since = now;
        }
        self.is_paused = is_paused;
    }

    /// Lets the session repeat or abandon overdue exchanges; true if that added to the output.
    ///
    /// # Errors
    ///
    /// A response is incomplete, so the connection cannot be used any more.
    pub(in crate::node::engines) fn check_timeouts(
        &mut self,
        now: Micros,
        events: &mut Vec<EngineEvent>,
    ) -> Result<bool, SessionError> {
        let mut out = Vec::new();
        let checked = self.session.check_timeouts(now, &mut out, events);
        self.stream.push(&out);
        checked.map(|()| !out.is_empty())
    }
}
