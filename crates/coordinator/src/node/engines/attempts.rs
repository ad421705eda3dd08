//! Queues attempts and probes of the core on engine connections, and stops attempts. Reports to the core attempts that failed
//! because they could not be queued or lost their connection.

use super::connection::{QueuedWrite, StopOutcome};
use super::liveness::LIVENESS_PROBE_TAG;
use super::pool::ConnectionRequest;
use crate::node::{ConnectionId, Node};
use driftfront_core::{AttemptKey, Cause, EngineId, Micros, Outcome};
use driftfront_scheduler::Idempotency;

impl Node {
    /// Queues an attempt on a connection to its engine; if that is not possible, the attempt fails at once.
    pub(in crate::node) fn queue_attempt(
        &mut self,
        now: Micros,
        key: AttemptKey,
        engine: EngineId,
        requeues: u8,
    ) {
        let Some(request) = self.core.accepted(key.request).map(|a| a.request) else {
            return;
        };
        let request_id = request.name.clone();
        let is_exclusive = self.idempotency(request) == Some(Idempotency::NotIdempotent);
        let wanted = ConnectionRequest {
            engine,
            request_id: Some(&request_id),
            is_exclusive,
        };
        match self.engine_connection(now, wanted) {
            Ok(id) => {
                if let Some(conn) = self.engines.get_mut(id) {
                    conn.set_exclusive(is_exclusive);
                }
                self.queue_write(now, id, QueuedWrite::Attempt { key, requeues });
            }
            Err(cause) => self.attempt_failed(now, key, cause),
        }
    }

    /// Queues a probe of the core.
    pub(in crate::node) fn queue_probe(&mut self, now: Micros, engine: EngineId, tag: u64) {
        match self.engine_connection(now, ConnectionRequest::for_probe(engine)) {
            Ok(id) => self.queue_write(now, id, QueuedWrite::Probe { tag }),
            Err(Cause::Rejected) => self.core.record_probe(now, tag, Outcome::Superseded, &[]),
            Err(_) => self.core.record_probe(now, tag, Outcome::Unreachable, &[]),
        }
    }

    /// Queues work on a connection, and writes as much as possible.
    pub(super) fn queue_write(&mut self, now: Micros, id: ConnectionId, work: QueuedWrite) {
        let Some(conn) = self.engines.get_mut(id) else {
            return;
        };
        match conn.enqueue(work) {
            Ok(()) => self.write_to_engine(now, id),
            Err(QueuedWrite::Attempt { key, .. }) => {
                self.attempt_failed(now, key, Cause::Rejected);
            }
            Err(QueuedWrite::Probe { tag }) if tag == LIVENESS_PROBE_TAG => {}
            Err(QueuedWrite::Probe { tag }) => {
                self.core.record_probe(now, tag, Outcome::Superseded, &[]);
            }
        }
    }

    /// Stops an attempt on whichever connection it is queued or in flight.
    pub(in crate::node) fn abandon_attempt(
        &mut self,
        now: Micros,
        key: AttemptKey,
        engine: EngineId,
    ) {
        let connections = self.engines.connections_to(engine);
        let ids: Vec<ConnectionId> = connections.map(|(id, _)| id).collect();
        for id in ids {
            let Some(conn) = self.engines.get_mut(id) else {
                continue;
            };
            match conn.stop_attempt(key) {
                StopOutcome::NotInFlight => {}
                StopOutcome::Stopped => self.write_to_engine(now, id),
                StopOutcome::NeedsClose => {
                    self.close_engine_connection(now, id, "attempt abandoned")
                }
            }
        }
    }

    /// Reports to the core that an attempt failed.
    pub(super) fn attempt_failed(&mut self, now: Micros, key: AttemptKey, cause: Cause) {
        let engine = self
            .core
            .attempt_engine(key)
            .and_then(|(engine, _)| self.registry.name(engine))
            .map(String::from);
        if let Some(error) = self.core.attempt_failed(now, key, cause) {
            tracing::debug!(
                request = key.request.0,
                attempt = key.number,
                engine,
                "{error}"
            );
        }
    }
}
