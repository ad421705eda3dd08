//! How engines' connections end, and what is owed then: each attempt on one ends as far as it had come, and what was queued for it
//! goes by another. The moments stand in `docs/endings.md`.

use super::connection::{EngineConnection, QueuedWrite};
use super::liveness::LIVENESS_PROBE_TAG;
use crate::node::{ConnectionId, Node};
use driftfront_core::{Cause, EngineId, Micros, Outcome};

/// Connections that may break under an attempt before a byte of it was written.
const MAX_REQUEUES: u8 = 2;
/// Idle timeout while a successor serves: idle connections are its share of the descriptors.
const IDLE_TIMEOUT_AFTER_HANDOVER: Micros = 200_000;

impl Node {
    /// We close a connection; each attempt on it ends as far as it had come, once the engine can know.
    pub(in crate::node) fn drop_engine(&mut self, now: Micros, id: ConnectionId, reason: &str) {
        self.end_engine(now, id, &Cause::Closed(reason.into()));
    }

    /// A connection has ended; each attempt on it with it.
    pub(super) fn lose_engine(&mut self, now: Micros, id: ConnectionId, reason: &str) {
        self.end_engine(now, id, &Cause::Connection(reason.into()));
    }

    fn end_engine(&mut self, now: Micros, id: ConnectionId, cause: &Cause) {
        let Some(mut conn) = self.engines.connections.remove(&id) else {
            return;
        };
        self.unregister(conn.registration.take());
        self.engines.paused -= usize::from(conn.is_paused);
        if let Some(key) = conn.upload {
            self.engines.uploads.remove(&key.request);
        }
        self.log_engine_end(&conn, cause);
        for key in conn.session.open_attempts() {
            self.attempt_failed(now, key, cause.clone());
        }
        for tag in conn.session.open_probes() {
            if tag != LIVENESS_PROBE_TAG {
                self.core.record_probe(now, tag, Outcome::Reset, &[]);
            }
        }
        self.requeue_unwritten(now, conn, cause);
        self.execute_commands();
    }

    /// Queues anew what was not written on a connection that came up and broke: that says nothing of the engine, another one may
    /// do. Elsewhere, or too often, it fails.
    fn requeue_unwritten(&mut self, now: Micros, conn: EngineConnection, cause: &Cause) {
        for work in conn.queue {
            match work {
                QueuedWrite::Attempt { key, requeues } if conn.is_up && requeues < MAX_REQUEUES => {
                    self.queue_attempt(now, key, conn.engine, requeues + 1);
                }
                QueuedWrite::Attempt { key, .. } => self.attempt_failed(now, key, cause.clone()),
                QueuedWrite::Probe { tag } if tag == LIVENESS_PROBE_TAG => {}
                QueuedWrite::Probe { tag } => {
                    self.core.record_probe(now, tag, Outcome::Unreachable, &[]);
                }
            }
        }
    }

    /// Logs why a connection ended that something was in flight on.
    fn log_engine_end(&self, conn: &EngineConnection, cause: &Cause) {
        if conn.is_idle() {
            return;
        }
        let engine = self.registry.name(conn.engine);
        let (open, waiting) = (conn.session.attempt_count(), conn.queue.len());
        match cause {
            Cause::Closed(why) if open > 0 => {
                tracing::info!(engine, open, waiting, why, "connection to an engine closed");
            }
            _ => tracing::debug!(
                engine,
                open,
                waiting,
                ?cause,
                "connection to an engine lost"
            ),
        }
    }

    /// Keeps new work off an engine's connections: they lead to an earlier process, or elsewhere.
    pub(in crate::node) fn retire_connections(&mut self, engine: EngineId) {
        for conn in self
            .engines
            .connections
            .values_mut()
            .filter(|c| c.engine == engine)
        {
            conn.is_retired = true;
        }
    }

    /// The engine is gone from the list: what is in flight on it may still end.
    pub(in crate::node) fn forget_engine(&mut self, now: Micros, engine: EngineId) {
        self.retire_connections(engine);
        self.registry.forget_engine(engine);
        self.forget_engine_window(engine);
        self.engines.checks.remove(&engine);
        self.sweep_engines(now);
    }

    /// Ends connections that are silent, stuck or unused, probes silent engines, and reads on where clients have caught up.
    pub(in crate::node) fn sweep_engines(&mut self, now: Micros) {
        self.probe_silent_engines(now);
        self.engines.streaming = self
            .engines
            .connections
            .values()
            .filter(|c| c.session.is_streaming())
            .count();
        let idle_timeout = self.engine_idle_timeout();
        let ends: Vec<(ConnectionId, &str)> = self
            .engines
            .connections
            .iter()
            .filter_map(|(&id, c)| Some((id, self.reason_to_end(now, c, idle_timeout)?)))
            .collect();
        for (id, reason) in ends {
            self.drop_engine(now, id, reason);
        }
        let ids: Vec<ConnectionId> = self.engines.connections.keys().copied().collect();
        for id in ids {
            self.check_session_timeouts(now, id);
        }
        self.resume_engines(now);
    }

    fn engine_idle_timeout(&self) -> Micros {
        if self.lifecycle.has_successor() {
            self.config
                .engine_idle_timeout
                .min(IDLE_TIMEOUT_AFTER_HANDOVER)
        } else {
            self.config.engine_idle_timeout
        }
    }

    /// Why a connection should end now, if it should.
    fn reason_to_end(
        &self,
        now: Micros,
        conn: &EngineConnection,
        idle_timeout: Micros,
    ) -> Option<&'static str> {
        if !conn.is_up {
            return (now > conn.connect_deadline).then_some("connect timed out");
        }
        if self.is_lost_to_silence(now, conn) {
            return Some("silent");
        }
        let is_streaming = conn.session.is_streaming() && !conn.is_paused;
        if is_streaming && now > conn.silent_since + self.config.result_stall_timeout {
            return Some("its result stands still");
        }
        let is_over =
            conn.is_retired || conn.session.is_spent() || conn.is_stale(now, idle_timeout);
        (conn.is_idle() && is_over).then_some("no longer used")
    }

    /// Whether what is in flight on a silent connection is given up: it ends, to be tried elsewhere, but for what must not run
    /// twice, which may still be answered once the engine can be reached again. A probe that no answer comes to must not hold its
    /// connection for ever.
    fn is_lost_to_silence(&self, now: Micros, conn: &EngineConnection) -> bool {
        // Idle ones, nearly all in a large cluster, owe no word: who else is heard is not looked up for them.
        if conn.session.is_idle() {
            return false;
        }
        let report_interval = self.report_interval(now, conn.engine);
        let engine_heard = self.engine_last_heard(conn.engine);
        let has_only_probes = conn.session.attempt_count() == 0 && conn.queue.is_empty();
        conn.is_silent(now, report_interval, engine_heard)
            && (has_only_probes || !conn.is_exclusive)
    }
}
