//! Closing of engine connections: attempts in flight end according to their progress, and queued work moves to another
//! connection. `docs/endings.md` lists the cases.

use super::connection::{EngineConnection, QueuedWrite};
use super::liveness::LIVENESS_PROBE_TAG;
use super::state::Engines;
use crate::node::{ConnectionId, Node};
use driftfront_core::{Cause, EngineId, Micros, Outcome};

/// How often an attempt may be requeued after its connection failed before a byte of it was written.
const MAX_REQUEUES: u8 = 2;
/// Idle timeout while a successor serves, which needs the descriptors of idle connections.
const IDLE_TIMEOUT_AFTER_HANDOVER: Micros = 200_000;

/// Timeouts of engine connections.
struct ConnectionTimeouts {
    idle: Micros,
    result_stall: Micros,
    /// Interval of progress reports, from engines that send them; see [`Engines::is_presumed_lost`].
    progress_interval: Option<Micros>,
}

/// Why a connection should be closed.
#[derive(Clone, Copy)]
enum CloseReason {
    ConnectTimedOut,
    Silent,
    ResultStalled,
    Unused,
}

impl CloseReason {
    /// The reason as it is logged.
    fn message(self) -> &'static str {
        match self {
            CloseReason::ConnectTimedOut => "connect timed out",
            CloseReason::Silent => "silent",
            CloseReason::ResultStalled => "result stalled",
            CloseReason::Unused => "unused",
        }
    }
}

impl Engines {
    /// Connections that should be closed now, each with the reason.
    fn connections_to_close(
        &self,
        now: Micros,
        timeouts: &ConnectionTimeouts,
    ) -> Vec<(ConnectionId, CloseReason)> {
        self.iter()
            .filter_map(|(id, c)| Some((id, self.close_reason(now, c, timeouts)?)))
            .collect()
    }

    fn close_reason(
        &self,
        now: Micros,
        conn: &EngineConnection,
        timeouts: &ConnectionTimeouts,
    ) -> Option<CloseReason> {
        if !conn.is_connected() {
            let is_overdue = conn.is_connect_overdue(now);
            return is_overdue.then_some(CloseReason::ConnectTimedOut);
        }
        if self.is_presumed_lost(now, conn, timeouts.progress_interval) {
            return Some(CloseReason::Silent);
        }
        if conn.has_stalled_result(now, timeouts.result_stall) {
            return Some(CloseReason::ResultStalled);
        }
        let is_disposable =
            conn.is_retired() || conn.session().must_close() || conn.is_stale(now, timeouts.idle);
        (conn.is_idle() && is_disposable).then_some(CloseReason::Unused)
    }

    fn connection_ids(&self) -> Vec<ConnectionId> {
        self.iter().map(|(id, _)| id).collect()
    }
}

impl Node {
    /// Closes a connection. Each attempt on it ends according to its progress, once the engine has had time to notice the close.
    pub(in crate::node) fn close_engine_connection(
        &mut self,
        now: Micros,
        id: ConnectionId,
        reason: &str,
    ) {
        self.end_engine_connection(now, id, &Cause::Closed(reason.into()));
    }

    /// Handles the loss of a connection. Each attempt on it ends according to its progress.
    pub(super) fn on_engine_connection_lost(
        &mut self,
        now: Micros,
        id: ConnectionId,
        reason: &str,
    ) {
        self.end_engine_connection(now, id, &Cause::Connection(reason.into()));
    }

    fn end_engine_connection(&mut self, now: Micros, id: ConnectionId, cause: &Cause) {
        let Some(mut conn) = self.engines.remove(id) else {
            return;
        };
        self.unregister(conn.take_registration());
        self.log_connection_end(&conn, cause);
        for key in conn.session().open_attempts() {
            self.attempt_failed(now, key, cause.clone());
        }
        for tag in conn.session().open_probes() {
            if tag != LIVENESS_PROBE_TAG {
                self.core.record_probe(now, tag, Outcome::Reset, &[]);
            }
        }
        self.requeue_unwritten(now, conn, cause);
        self.execute_commands();
    }

    /// Requeues work that was not written before an established connection failed: such a failure says nothing about the engine's
    /// health, and another connection may work. An attempt fails if its connection was never established or it was requeued too
    /// often.
    fn requeue_unwritten(&mut self, now: Micros, mut conn: EngineConnection, cause: &Cause) {
        let (engine, was_connected) = (conn.engine(), conn.is_connected());
        for work in conn.take_queue() {
            match work {
                QueuedWrite::Attempt { key, requeues }
                    if was_connected && requeues < MAX_REQUEUES =>
                {
                    self.queue_attempt(now, key, engine, requeues + 1);
                }
                QueuedWrite::Attempt { key, .. } => self.attempt_failed(now, key, cause.clone()),
                QueuedWrite::Probe { tag } if tag == LIVENESS_PROBE_TAG => {}
                QueuedWrite::Probe { tag } => {
                    self.core.record_probe(now, tag, Outcome::Unreachable, &[]);
                }
            }
        }
    }

    /// Logs why a connection ended, unless it was idle.
    fn log_connection_end(&self, conn: &EngineConnection, cause: &Cause) {
        if conn.is_idle() {
            return;
        }
        let engine = self.registry.name(conn.engine());
        let (open, waiting) = (conn.session().attempt_count(), conn.queue_length());
        match cause {
            Cause::Closed(why) if open > 0 => {
                tracing::info!(engine, open, waiting, why, "engine connection closed");
            }
            _ => tracing::debug!(engine, open, waiting, ?cause, "engine connection lost"),
        }
    }

    /// Removes an engine that is no longer listed; attempts in flight on it may still complete.
    pub(in crate::node) fn forget_engine(&mut self, now: Micros, engine: EngineId) {
        self.engines.forget_engine(engine);
        self.registry.forget_engine(engine);
        self.forget_engine_window(engine);
        self.sweep_engines(now);
    }

    /// Periodic check: probes silent engines, closes connections that are silent, stalled or unused, and resumes reading where
    /// clients have caught up.
    pub(in crate::node) fn sweep_engines(&mut self, now: Micros) {
        self.probe_silent_engines(now);
        self.engines.count_streaming();
        let timeouts = self.engine_connection_timeouts();
        for (id, reason) in self.engines.connections_to_close(now, &timeouts) {
            self.close_engine_connection(now, id, reason.message());
        }
        for id in self.engines.connection_ids() {
            self.check_session_timeouts(now, id);
        }
        self.resume_engines(now);
    }

    fn engine_connection_timeouts(&self) -> ConnectionTimeouts {
        let configured = self.config.engine_idle_timeout;
        ConnectionTimeouts {
            idle: if self.lifecycle.has_successor() {
                configured.min(IDLE_TIMEOUT_AFTER_HANDOVER)
            } else {
                configured
            },
            result_stall: self.config.result_stall_timeout,
            progress_interval: self.config.settings.progress_interval,
        }
    }
}
