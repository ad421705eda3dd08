//! Reads from engines, and tells the core what has come.

use super::liveness::LIVENESS_PROBE_TAG;
use crate::backends::EngineEvent;
use crate::net::ReadOutcome;
use crate::node::{ConnectionId, EventSource, Node};
use driftfront_core::{AttemptKey, Micros, Progress};
use std::io::{self, ErrorKind};

/// Reads on one connection before the others have their turn.
const MAX_READS_PER_TURN: usize = 16;
/// Bytes of one read.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Streamed results at once beyond which each is read in smaller pieces: what was read has to be held.
const MANY_STREAMS: usize = 32;
/// Bytes of one read then.
const MAX_READ_BYTES_OF_MANY: usize = MAX_READ_BYTES / 4;
/// Bytes forwarded that a client may leave unread, where few clients do.
const MAX_CLIENT_BACKLOG_BYTES: usize = 256 * 1024;
/// The same where many clients are slow.
const MIN_CLIENT_BACKLOG_BYTES: usize = 16 * 1024;

impl Node {
    /// Handles a readiness event of a connection.
    pub(in crate::node) fn on_engine_ready(&mut self, now: Micros, id: ConnectionId) {
        if !self.is_engine_up(now, id) {
            return;
        }
        if self
            .engines
            .connections
            .get(&id)
            .is_some_and(|c| c.upload.is_some())
        {
            // An engine that answers before the body is over may close behind that: its response is read first.
            self.read_from_engine(now, id);
        }
        self.write_to_engine(now, id);
        self.read_from_engine(now, id);
    }

    /// Whether a connection is up, or has just come up. One whose connect failed ends.
    fn is_engine_up(&mut self, now: Micros, id: ConnectionId) -> bool {
        let Some(conn) = self.engines.connections.get_mut(&id) else {
            return false;
        };
        if conn.is_up {
            return true;
        }
        match conn.stream.poll_connected() {
            Ok(true) => {
                (conn.is_up, conn.silent_since, conn.last_used) = (true, now, now);
                true
            }
            Ok(false) => false,
            Err(e) => {
                // Reset, not refused: it had come up, so there is somebody.
                conn.is_up = e.kind() == ErrorKind::ConnectionReset;
                self.lose_engine(now, id, &e.to_string());
                false
            }
        }
    }

    /// Reads until nothing more has come, its clients are too far behind, or its turn is over.
    pub(in crate::node) fn read_from_engine(&mut self, now: Micros, id: ConnectionId) {
        for _ in 0..MAX_READS_PER_TURN {
            if self.update_pause(now, id) {
                return;
            }
            let max_bytes = if self.engines.streaming > MANY_STREAMS {
                MAX_READ_BYTES_OF_MANY
            } else {
                MAX_READ_BYTES
            };
            let Some(conn) = self.engines.connections.get_mut(&id) else {
                return;
            };
            let mut bytes = Vec::new();
            let may_have_more = match conn.stream.read(&mut bytes, max_bytes) {
                Ok(outcome) => self.on_engine_bytes(now, id, &bytes, outcome),
                Err(e) => return self.on_engine_read_error(now, id, &e),
            };
            if !may_have_more {
                return;
            }
        }
        self.deferred.push(EventSource::Engine(id));
    }

    /// Pauses or resumes reading by how far the clients of what streams here are behind; true while it is paused.
    fn update_pause(&mut self, now: Micros, id: ConnectionId) -> bool {
        let is_paused = self.is_ahead_of_clients(id);
        let Some(conn) = self.engines.connections.get_mut(&id) else {
            return true;
        };
        match (conn.is_paused, is_paused) {
            (false, true) => self.engines.paused += 1,
            (true, false) => {
                self.engines.paused -= 1;
                // Its silence was our own.
                conn.silent_since = now;
            }
            _ => {}
        }
        conn.is_paused = is_paused;
        is_paused
    }

    /// Whether the client of what streams here is far behind: nothing more is read for it then, so that a slow client does not
    /// fill the memory.
    fn is_ahead_of_clients(&self, id: ConnectionId) -> bool {
        let Some(conn) = self
            .engines
            .connections
            .get(&id)
            .filter(|c| c.session.is_streaming())
        else {
            return false;
        };
        // Few slow clients may leave much, many only little each: together they share one bound.
        let share =
            self.config.max_unread_bytes / self.engines.streaming.max(self.engines.paused + 1);
        let max_backlog = share.clamp(MIN_CLIENT_BACKLOG_BYTES, MAX_CLIENT_BACKLOG_BYTES);
        conn.session
            .open_attempts()
            .iter()
            .any(|key| self.client_backlog(key.request) > max_backlog)
    }

    /// Decodes what was read; true if there may be more to read.
    fn on_engine_bytes(
        &mut self,
        now: Micros,
        id: ConnectionId,
        bytes: &[u8],
        outcome: ReadOutcome,
    ) -> bool {
        let Some(conn) = self.engines.connections.get_mut(&id) else {
            return false;
        };
        let (mut out, mut events) = (Vec::new(), Vec::new());
        let mut decoded = Ok(());
        if !bytes.is_empty() {
            (conn.silent_since, conn.last_read, conn.last_used) = (now, now, now);
            decoded = conn.session.decode(now, bytes, &mut out, &mut events);
            conn.stream.push(&out);
        }
        if outcome == ReadOutcome::Closed {
            conn.session.decode_close(&mut events);
        }
        self.apply_engine_events(now, events);
        if self.ends_with_answered_upload(now, id) {
            return false;
        }
        match (decoded, outcome) {
            (Err(e), _) => self.drop_engine(now, id, &e.to_string()),
            (Ok(()), ReadOutcome::Closed) => self.lose_engine(now, id, "closed by the engine"),
            (Ok(()), ReadOutcome::WouldBlock) => self.write_to_engine(now, id),
            (Ok(()), ReadOutcome::LimitReached) => return true,
        }
        false
    }

    /// Ends a connection that failed. Where nothing was in flight and no other is up, only this shows that the engine's process
    /// may have ended.
    fn on_engine_read_error(&mut self, now: Micros, id: ConnectionId, error: &io::Error) {
        let Some(conn) = self.engines.connections.get(&id) else {
            return;
        };
        let (engine, was_idle) = (conn.engine, conn.is_idle());
        self.lose_engine(now, id, &error.to_string());
        if was_idle
            && !self
                .engines
                .connections
                .values()
                .any(|c| c.is_up_on(engine))
        {
            self.core.suspect_engine(now, engine);
            self.execute_commands();
        }
    }

    /// Reads what has come on a connection that nothing can be written to any more.
    pub(super) fn read_remaining(&mut self, now: Micros, id: ConnectionId) {
        for _ in 0..MAX_READS_PER_TURN {
            let Some(conn) = self
                .engines
                .connections
                .get_mut(&id)
                .filter(|c| !c.is_paused)
            else {
                return;
            };
            let (mut bytes, mut events) = (Vec::new(), Vec::new());
            let outcome = conn.stream.read(&mut bytes, MAX_READ_BYTES);
            let decoded = conn
                .session
                .decode(now, &bytes, &mut Vec::new(), &mut events);
            self.apply_engine_events(now, events);
            if decoded.is_err() || !matches!(outcome, Ok(ReadOutcome::LimitReached)) {
                return;
            }
        }
    }

    /// Reads on where a client has caught up.
    pub(in crate::node) fn resume_engines(&mut self, now: Micros) {
        let paused: Vec<ConnectionId> = self
            .engines
            .connections
            .iter()
            .filter(|(_, c)| c.is_paused)
            .map(|(&id, _)| id)
            .collect();
        for id in paused {
            self.read_from_engine(now, id);
        }
    }

    /// Tells the core what a connection has brought, in order.
    pub(super) fn apply_engine_events(&mut self, now: Micros, events: Vec<EngineEvent>) {
        for event in events {
            match event {
                EngineEvent::ProgressReported(key, report) => {
                    self.core.record_progress_report(now, key, report);
                }
                EngineEvent::Begun(key) => self.core.record_progress(key, Progress::AnswerBegun),
                EngineEvent::ResponseChunk(key, chunk) => self.core.forward_chunk(key, chunk),
                EngineEvent::AttemptReport(key, report) => {
                    self.core.record_attempt_report(key, report);
                }
                EngineEvent::Served(key) => self.on_attempt_served(now, key),
                EngineEvent::Failed(key, cause) => self.attempt_failed(now, key, cause),
                EngineEvent::ProbeEnded(LIVENESS_PROBE_TAG, ..) => {}
                EngineEvent::ProbeEnded(tag, outcome, report) => {
                    self.core.record_probe(now, tag, outcome, &report);
                }
            }
        }
        self.execute_commands();
    }

    fn on_attempt_served(&mut self, now: Micros, key: AttemptKey) {
        if self.control.is_some() {
            if let Some((engine, sent_at)) = self.core.attempt_engine(key) {
                self.record_engine_success(now, engine, now.saturating_sub(sent_at));
            }
        }
        self.core.complete_attempt(now, key);
    }
}
