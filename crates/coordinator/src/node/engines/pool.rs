//! Chooses or opens a connection for an attempt or a probe, and takes attempts back.

use super::connection::{EngineConnection, QueuedWrite};
use super::liveness::LIVENESS_PROBE_TAG;
use crate::backends::EngineSession;
use crate::net::{connect, is_out_of_descriptors, BufferedStream};
use crate::node::{ConnectionId, EventSource, Node};
use driftfront_core::{AttemptKey, Cause, EngineId, Micros, Outcome};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Attempts in flight on one engine that its connections should carry together.
const ATTEMPTS_PER_ENGINE: usize = 512;
/// Bounds on the number of connections to one engine, which follows from how many attempts one carries.
const MIN_CONNECTION_LIMIT: usize = 16;
/// See [`MIN_CONNECTION_LIMIT`].
const MAX_CONNECTION_LIMIT: usize = 64;
/// Attempts that share a connection while others may be opened: a malformed response ends all on it.
const MAX_SHARED_ATTEMPTS: usize = 4;
/// One descriptor in so many may be a connection to an engine.
const DESCRIPTORS_PER_ENGINE_CONNECTION: usize = 3;

/// How well a connection suits; the least is the best.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Fitness {
    /// Others would share its fate.
    is_crowded: bool,
    is_connecting: bool,
    load: usize,
    id: ConnectionId,
}

impl Node {
    /// Queues an attempt on a connection to its engine; one that can't be queued fails at once.
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
        let is_exclusive = self.is_single_shot(request.class);
        match self.engine_connection(now, engine, Some(&request_id), is_exclusive) {
            Ok(id) => {
                if let Some(conn) = self.engines.connections.get_mut(&id) {
                    conn.is_exclusive = is_exclusive;
                }
                self.queue_write(now, id, QueuedWrite::Attempt { key, requeues });
            }
            Err(cause) => self.attempt_failed(now, key, cause),
        }
    }

    /// Queues a probe of the core's.
    pub(in crate::node) fn queue_probe(&mut self, now: Micros, engine: EngineId, tag: u64) {
        match self.engine_connection(now, engine, None, false) {
            Ok(id) => self.queue_write(now, id, QueuedWrite::Probe { tag }),
            Err(Cause::Rejected) => self.core.record_probe(now, tag, Outcome::Superseded, &[]),
            Err(_) => self.core.record_probe(now, tag, Outcome::Unreachable, &[]),
        }
    }

    /// Queues work on a connection and writes what may be written.
    pub(super) fn queue_write(&mut self, now: Micros, id: ConnectionId, work: QueuedWrite) {
        let Some(conn) = self.engines.connections.get_mut(&id) else {
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

    /// Stops waiting for an attempt, wherever it is.
    pub(in crate::node) fn abandon_attempt(
        &mut self,
        now: Micros,
        key: AttemptKey,
        engine: EngineId,
    ) {
        let ids: Vec<ConnectionId> = self
            .engines
            .connections
            .iter()
            .filter(|(_, c)| c.engine == engine)
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            self.abandon_attempt_on(now, id, key);
        }
    }

    fn abandon_attempt_on(&mut self, now: Micros, id: ConnectionId, key: AttemptKey) {
        let Some(conn) = self.engines.connections.get_mut(&id) else {
            return;
        };
        conn.queue
            .retain(|w| !matches!(w, QueuedWrite::Attempt { key: queued, .. } if *queued == key));
        if !conn.session.has_attempt(key) {
            return;
        }
        let mut out = Vec::new();
        let is_stopped = conn.session.stop_attempt(key, &mut out);
        conn.stream.push(&out);
        if is_stopped {
            self.write_to_engine(now, id);
        } else {
            self.drop_engine(now, id, "an attempt was given up");
        }
    }

    /// Tells the core that an attempt failed.
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

    /// A connection with capacity, the least loaded one; else a new one. What must not run twice goes alone (`is_exclusive`), so
    /// that no response to another request can spoil it.
    ///
    /// `request_id`: the request's own id where the connection is for an attempt.
    pub(super) fn engine_connection(
        &mut self,
        now: Micros,
        engine: EngineId,
        request_id: Option<&str>,
        is_exclusive: bool,
    ) -> Result<ConnectionId, Cause> {
        let best = self.best_connection(now, engine, request_id, is_exclusive);
        if let Some(best) = best.as_ref().filter(|best| !best.is_crowded) {
            return Ok(best.id);
        }
        let address = self
            .addr(engine)
            .ok_or(Cause::Connection("no address known".into()))?;
        let session = self.session(address);
        if !self.may_connect(engine, session.max_attempts()) {
            // Rather than wait without bound for a place, the attempt goes elsewhere; the engine is well.
            return best.map(|best| best.id).ok_or(Cause::Rejected);
        }
        let stream = self.connect_to_engine(now, address)?;
        self.add_engine_connection(now, engine, stream, session)
    }

    fn best_connection(
        &self,
        now: Micros,
        engine: EngineId,
        request_id: Option<&str>,
        is_exclusive: bool,
    ) -> Option<Fitness> {
        let idle_timeout = self.config.engine_idle_timeout;
        let report_interval = self.report_interval(now, engine);
        let heard = self.engine_last_heard(engine);
        let is_usable = |c: &EngineConnection| {
            c.engine == engine
                && !c.is_retired
                && !c.session.is_spent()
                && !c.is_silent(now, report_interval, heard)
                && !c.is_stale(now, idle_timeout)
                && c.load() < c.session.max_attempts()
                && request_id.is_none_or(|id| c.session.can_start(id))
        };
        let fitness = |(&id, c): (&ConnectionId, &EngineConnection)| {
            let may_share = !c.is_exclusive && !is_exclusive && c.load() < MAX_SHARED_ATTEMPTS;
            Fitness {
                is_crowded: c.load() > 0 && !may_share,
                is_connecting: !c.is_up,
                load: c.load(),
                id,
            }
        };
        self.engines
            .connections
            .iter()
            .filter(|(_, c)| is_usable(c))
            .map(fitness)
            .min()
    }

    /// Whether another connection to an engine may be opened, where each carries at most `max_attempts`.
    fn may_connect(&self, engine: EngineId, max_attempts: usize) -> bool {
        let limit =
            (ATTEMPTS_PER_ENGINE / max_attempts).clamp(MIN_CONNECTION_LIMIT, MAX_CONNECTION_LIMIT);
        let count = self
            .engines
            .connections
            .values()
            .filter(|c| c.engine == engine && !c.is_retired)
            .count();
        count < limit
            && self.engines.connections.len() < self.sockets() / DESCRIPTORS_PER_ENGINE_CONNECTION
    }

    /// Begins a connect. Out of descriptors, an idle client's is worth less; our own want says nothing of the engine.
    fn connect_to_engine(
        &mut self,
        now: Micros,
        address: SocketAddr,
    ) -> Result<Rc<TcpStream>, Cause> {
        let stream = match connect(address) {
            Err(e) if is_out_of_descriptors(&e) && self.evict_client(now) => connect(address),
            other => other,
        };
        stream.map_err(|e| {
            if is_out_of_descriptors(&e) {
                Cause::Rejected
            } else {
                Cause::Connection(e.to_string())
            }
        })
    }

    fn add_engine_connection(
        &mut self,
        now: Micros,
        engine: EngineId,
        stream: Rc<TcpStream>,
        session: Box<dyn EngineSession>,
    ) -> Result<ConnectionId, Cause> {
        let id = self.next_connection_id();
        let registration = self
            .register_source(stream.clone(), EventSource::Engine(id))
            .map_err(|_| Cause::Rejected)?;
        let conn = EngineConnection::connecting(
            now,
            engine,
            self.registry.zone(engine),
            BufferedStream::new(stream),
            registration,
            session,
            now + self.config.connect_timeout,
        );
        self.engines.connections.insert(id, conn);
        Ok(id)
    }
}
