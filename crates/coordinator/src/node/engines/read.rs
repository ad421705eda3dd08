//! Reads from engines: decodes input into [`EngineEvent`]s, and notifies the core of them.

use super::liveness::LIVENESS_PROBE_TAG;
use super::state::Engines;
use crate::backends::EngineEvent;
use crate::net::ReadOutcome;
use crate::node::{ConnectionId, EventSource, Node};
use driftfront_core::{AttemptKey, Micros, Progress, RequestId};
use std::io;

/// Reads on one connection per turn, so that the others are served too.
const MAX_READS_PER_TURN: usize = 16;
/// Maximum bytes per read.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Number of concurrently streamed results above which reads are smaller, as input is held in memory.
const MANY_STREAMS: usize = 32;
/// Maximum bytes per read with more than [`MANY_STREAMS`].
const MAX_READ_BYTES_MANY_STREAMS: usize = MAX_READ_BYTES / 4;
/// Maximum bytes per read while memory is short.
const MAX_READ_BYTES_WHEN_SHORT: usize = 4 * 1024;
/// Upper bound of the unread output per client, which applies while few clients are slow.
const MAX_CLIENT_BACKLOG_BYTES: usize = 256 * 1024;
/// Lower bound of the unread output per client, which applies while many clients are slow.
const MIN_CLIENT_BACKLOG_BYTES: usize = 16 * 1024;

impl Engines {
    /// Maximum bytes per read, given the memory and the number of streamed results.
    fn max_read_bytes(&self, is_memory_short: bool) -> usize {
        if is_memory_short {
            MAX_READ_BYTES_WHEN_SHORT
        } else if self.streaming_count() > MANY_STREAMS {
            MAX_READ_BYTES_MANY_STREAMS
        } else {
            MAX_READ_BYTES
        }
    }

    /// Whether a client of a result streamed on this connection is too slow. Reading pauses then, which bounds the memory for unread
    /// output. `max_unread_bytes` bounds the unread output of all clients, and none is allowed while memory is short; `client_backlog`
    /// returns that of one request's client.
    fn has_slow_client(
        &self,
        id: ConnectionId,
        max_unread_bytes: usize,
        is_memory_short: bool,
        client_backlog: impl Fn(RequestId) -> usize,
    ) -> bool {
        let Some(conn) = self.get(id).filter(|c| c.session().is_streaming()) else {
            return false;
        };
        // All slow clients share one bound.
        let share = max_unread_bytes / self.streaming_count().max(self.paused_count() + 1);
        let max_backlog = if is_memory_short {
            0
        } else {
            share.clamp(MIN_CLIENT_BACKLOG_BYTES, MAX_CLIENT_BACKLOG_BYTES)
        };
        let attempts = conn.session().open_attempts();
        attempts
            .iter()
            .any(|key| client_backlog(key.request) > max_backlog)
    }

    /// Connections whose reading is paused for a slow client.
    fn paused_connections(&self) -> Vec<ConnectionId> {
        let paused = self.iter().filter(|(_, c)| c.is_paused());
        paused.map(|(id, _)| id).collect()
    }
}

impl Node {
    /// Handles a readiness event of a connection.
    pub(in crate::node) fn on_engine_ready(&mut self, now: Micros, id: ConnectionId) {
        let Some(conn) = self.engines.get_mut(id) else {
            return;
        };
        match conn.poll_connected(now) {
            Ok(true) => {}
            Ok(false) => return,
            Err(e) => return self.on_engine_connection_lost(now, id, &e.to_string()),
        }
        if conn.upload().is_some() {
            // An engine that answers before the end of the body may close after that: its response is read before a write fails.
            self.read_from_engine(now, id);
        }
        self.write_to_engine(now, id);
        self.read_from_engine(now, id);
    }

    /// Reads until no input is left, a client is too slow, or the turn is over.
    pub(in crate::node) fn read_from_engine(&mut self, now: Micros, id: ConnectionId) {
        for _ in 0..MAX_READS_PER_TURN {
            if self.update_pause(now, id) {
                return;
            }
            let is_memory_short = self.relieve_memory(now);
            let max_bytes = self.engines.max_read_bytes(is_memory_short);
            let Some(conn) = self.engines.get_mut(id) else {
                return;
            };
            let mut bytes = Vec::new();
            let may_have_more = match conn.read(&mut bytes, max_bytes) {
                Ok(outcome) => self.on_engine_bytes(now, id, &bytes, outcome),
                Err(e) => return self.on_engine_read_error(now, id, &e),
            };
            if !may_have_more {
                return;
            }
        }
        self.deferred.push(EventSource::Engine(id));
    }

    /// Pauses or resumes reading, depending on the clients' unread output; true while it is paused.
    fn update_pause(&mut self, now: Micros, id: ConnectionId) -> bool {
        let (max_unread_bytes, is_memory_short) =
            (self.config.max_unread_bytes, self.is_memory_short());
        let has_slow_client =
            self.engines
                .has_slow_client(id, max_unread_bytes, is_memory_short, |request| {
                    self.clients.backlog(request)
                });
        self.engines.set_paused(now, id, has_slow_client)
    }

    /// Decodes input; true if there may be more to read.
    fn on_engine_bytes(
        &mut self,
        now: Micros,
        id: ConnectionId,
        bytes: &[u8],
        outcome: ReadOutcome,
    ) -> bool {
        let Some(conn) = self.engines.get_mut(id) else {
            return false;
        };
        let mut events = Vec::new();
        let decoded = conn.decode(now, bytes, outcome, &mut events);
        self.apply_engine_events(now, events);
        if self.close_if_answered_early(now, id) {
            return false;
        }
        match (decoded, outcome) {
            (Err(e), _) => self.close_engine_connection(now, id, &e.to_string()),
            (Ok(()), ReadOutcome::Closed) => {
                self.on_engine_connection_lost(now, id, "closed by the engine")
            }
            (Ok(()), ReadOutcome::WouldBlock) => self.write_to_engine(now, id),
            (Ok(()), ReadOutcome::LimitReached) => return true,
        }
        false
    }

    /// Handles the failure of a connection. If it was idle and the engine has no other established connection, this is the only sign
    /// that the engine's process may have ended.
    fn on_engine_read_error(&mut self, now: Micros, id: ConnectionId, error: &io::Error) {
        let Some(conn) = self.engines.get(id) else {
            return;
        };
        let (engine, was_idle) = (conn.engine(), conn.is_idle());
        self.on_engine_connection_lost(now, id, &error.to_string());
        if was_idle && !self.engines.is_connected_to(engine) {
            self.core.suspect_engine(now, engine);
            self.execute_commands();
        }
    }

    /// Reads the remaining input of a connection that can no longer be written.
    pub(super) fn read_remaining(&mut self, now: Micros, id: ConnectionId) {
        for _ in 0..MAX_READS_PER_TURN {
            let conn = self.engines.get_mut(id);
            let Some(conn) = conn.filter(|c| !c.is_paused()) else {
                return;
            };
            let mut events = Vec::new();
            let may_have_more = conn.read_remaining(now, MAX_READ_BYTES, &mut events);
            self.apply_engine_events(now, events);
            if !may_have_more {
                return;
            }
        }
    }

    /// Resumes reading on paused connections whose clients have caught up.
    pub(in crate::node) fn resume_engines(&mut self, now: Micros) {
        for id in self.engines.paused_connections() {
            self.read_from_engine(now, id);
        }
    }

    /// Lets a connection's session repeat or abandon overdue exchanges.
    pub(super) fn check_session_timeouts(&mut self, now: Micros, id: ConnectionId) {
        let Some(conn) = self.engines.get_mut(id) else {
            return;
        };
        let mut events = Vec::new();
        let checked = conn.check_timeouts(now, &mut events);
        self.apply_engine_events(now, events);
        match checked {
            Err(e) => self.close_engine_connection(now, id, &e.to_string()),
            Ok(true) => self.write_to_engine(now, id),
            Ok(false) => {}
        }
    }

    /// Notifies the core of a connection's events in order.
    pub(super) fn apply_engine_events(&mut self, now: Micros, events: Vec<EngineEvent>) {
        for event in events {
            match event {
                EngineEvent::ProgressReported(key, report) => {
                    self.core.record_progress_report(now, key, report);
                }
                EngineEvent::ResponseStarted(key) => {
                    self.core.record_progress(key, Progress::ResponseStarted)
                }
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
