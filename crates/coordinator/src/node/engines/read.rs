//! Reads from engines: readiness of a connection becomes [`EngineEvent`]s, and these become notifications to the core.

use super::liveness::LIVENESS_PROBE_TAG;
use super::state::Engines;
use crate::backends::EngineEvent;
use crate::net::ReadOutcome;
use crate::node::{ConnectionId, EventSource, Node};
use driftfront_core::{AttemptKey, Micros, Progress, RequestId};
use std::io;

/// Reads on one connection before the others have their turn.
const MAX_READS_PER_TURN: usize = 16;
/// Bytes of one read.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Streamed results at once beyond which each is read in smaller pieces: what was read has to be held.
const MANY_STREAMS: usize = 32;
/// Bytes of one read then.
const MAX_READ_BYTES_MANY_STREAMS: usize = MAX_READ_BYTES / 4;
/// Bytes forwarded that a client may leave unread, where few clients do.
const MAX_CLIENT_BACKLOG_BYTES: usize = 256 * 1024;
/// The same where many clients are slow.
const MIN_CLIENT_BACKLOG_BYTES: usize = 16 * 1024;

impl Engines {
    /// Bytes of one read, by how many results are streamed.
    fn max_read_bytes(&self) -> usize {
        if self.streaming_count() > MANY_STREAMS {
            MAX_READ_BYTES_MANY_STREAMS
        } else {
            MAX_READ_BYTES
        }
    }

    /// Whether a client of what is streamed on a connection is far behind: nothing more is read for it then, so that a slow client
    /// does not fill the memory. `max_unread_bytes` bounds what all clients together leave unread; `client_backlog` is what one has.
    fn has_slow_client(
        &self,
        id: ConnectionId,
        max_unread_bytes: usize,
        client_backlog: impl Fn(RequestId) -> usize,
    ) -> bool {
        let Some(conn) = self.get(id).filter(|c| c.session().is_streaming()) else {
            return false;
        };
        // Few slow clients may leave much, many only little each: together they share one bound.
        let share = max_unread_bytes / self.streaming_count().max(self.paused_count() + 1);
        let max_backlog = share.clamp(MIN_CLIENT_BACKLOG_BYTES, MAX_CLIENT_BACKLOG_BYTES);
        let attempts = conn.session().open_attempts();
        attempts
            .iter()
            .any(|key| client_backlog(key.request) > max_backlog)
    }

    /// Connections whose reading waits for a slow client.
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
            // An engine that answers before the body is over may close behind that: its response is read first.
            self.read_from_engine(now, id);
        }
        self.write_to_engine(now, id);
        self.read_from_engine(now, id);
    }

    /// Reads until nothing more has come, its clients are too far behind, or its turn is over.
    pub(in crate::node) fn read_from_engine(&mut self, now: Micros, id: ConnectionId) {
        for _ in 0..MAX_READS_PER_TURN {
            if self.update_pause(now, id) {
                return;
            }
            let max_bytes = self.engines.max_read_bytes();
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

    /// Pauses or resumes reading by how far the clients of what is streamed here are behind; true while it is paused.
    fn update_pause(&mut self, now: Micros, id: ConnectionId) -> bool {
        let has_slow_client =
            self.engines
                .has_slow_client(id, self.config.max_unread_bytes, |request| {
                    self.clients.backlog(request)
                });
        self.engines.set_paused(now, id, has_slow_client)
    }

    /// Decodes what was read; true if there may be more to read.
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

    /// Ends a connection that failed. Where nothing was in flight and no other is up, only this shows that the engine's process
    /// may have ended.
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

    /// Reads what has come on a connection that nothing can be written to any more.
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

    /// Reads on where a client has caught up.
    pub(in crate::node) fn resume_engines(&mut self, now: Micros) {
        for id in self.engines.paused_connections() {
            self.read_from_engine(now, id);
        }
    }

    /// Lets a connection's session ask again for what is overdue, or give it up.
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

    /// Notifies the core of a connection's events, in order.
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
