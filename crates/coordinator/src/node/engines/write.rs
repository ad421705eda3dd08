//! Writes queued probes and attempts to engines. The core decides whether an attempt may still be written just before its first
//! byte.

use super::connection::{EngineConnection, QueuedWrite};
use super::liveness::LIVENESS_PROBE_TAG;
use crate::backends::AttemptRequest;
use crate::config::{Config, Protocol};
use crate::node::{ConnectionId, EventSource, Node};
use driftfront_core::{AttemptKey, Cause, Core, Micros, Outcome, ParsedRequest, Phase, Progress};
use driftfront_scheduler::Idempotency;
use std::borrow::Cow;

/// Writes on one connection per turn, so that the others are served too.
const MAX_WRITES_PER_TURN: usize = 64;

impl Node {
    /// Writes queued work to one connection until the socket would block or the turn is over.
    ///
    /// Work is added to the output only when that is empty, and is checked again at that moment: its engine may have begun to
    /// drain in the meantime.
    pub(in crate::node) fn write_to_engine(&mut self, now: Micros, id: ConnectionId) {
        for _ in 0..MAX_WRITES_PER_TURN {
            if !self.flush_engine(now, id) {
                return;
            }
            let upload = self.engines.get(id).and_then(EngineConnection::upload);
            let has_progressed = match upload {
                Some(key) => self.write_upload_chunk(now, id, key),
                None => self.write_next_queued(now, id),
            };
            if !has_progressed {
                return;
            }
        }
        self.deferred.push(EventSource::Engine(id));
    }

    /// Writes output to the socket; true once none is left. If the connection fails, its remaining input is read before it ends, so
    /// that a response that has arrived is not lost.
    fn flush_engine(&mut self, now: Micros, id: ConnectionId) -> bool {
        let Some(conn) = self.engines.get_mut(id).filter(|c| c.is_connected()) else {
            return false;
        };
        conn.flush(&mut self.core).unwrap_or_else(|e| {
            self.read_remaining(now, id);
            self.on_engine_connection_lost(now, id, &e.to_string());
            false
        })
    }

    /// Writes the first entry of the queue; false if the queue is empty.
    fn write_next_queued(&mut self, now: Micros, id: ConnectionId) -> bool {
        let next = self.engines.get(id).and_then(EngineConnection::next_queued);
        if let Some(&QueuedWrite::Attempt { key, .. }) = next {
            self.check_requester(now, key.request);
        }
        let conn = self.engines.get_mut(id);
        match conn.and_then(EngineConnection::pop_queued) {
            Some(QueuedWrite::Probe { tag }) => self.write_probe(now, id, tag),
            Some(QueuedWrite::Attempt { key, .. }) => self.write_attempt(now, id, key),
            None => return false,
        }
        true
    }

    /// Writes a probe, unless its engine is no longer ready: an engine may leave service while its connection is being established.
    fn write_probe(&mut self, now: Micros, id: ConnectionId, tag: u64) {
        let Some(conn) = self.engines.get_mut(id) else {
            return;
        };
        let is_ready = || self.core.engine_phase(conn.engine()) == Some(Phase::Ready);
        if tag != LIVENESS_PROBE_TAG && !is_ready() {
            return self.core.record_probe(now, tag, Outcome::Superseded, &[]);
        }
        conn.write_probe(now, tag);
    }

    /// Writes an attempt, if the core still allows it.
    fn write_attempt(&mut self, now: Micros, id: ConnectionId, key: AttemptKey) {
        let Some(conn) = self.engines.get(id) else {
            return;
        };
        let engine = self.registry.name(conn.engine());
        tracing::debug!(
            request = key.request.0,
            attempt = key.number,
            engine,
            "sent"
        );
        self.core.record_progress(key, Progress::Connected);
        let Some(timeout) = self.core.may_write_attempt(now, key) else {
            return;
        };
        let Some(request) = self.core.accepted(key.request).map(|a| a.request) else {
            return;
        };
        if !conn.session().can_start(&request.name) {
            // Another request with the same id was accepted while the connection was being established.
            return self.attempt_failed(now, key, Cause::Rejected);
        }
        let attempt = AttemptRequest {
            key,
            request,
            class: self.config.classes.name(request.class),
            name: &name_on_engine(&self.config, &self.core, key, &request.name),
            timeout,
            grant_mb: self.core.grant_mb(key),
            progress_interval: progress_interval(&self.config, request),
        };
        self.engines.start_attempt(now, id, &attempt);
    }
}

/// The name of an attempt on its engine. In the platform's protocol this is the request's own name.
fn name_on_engine<'a>(
    config: &Config,
    core: &'a Core,
    key: AttemptKey,
    request_id: &'a str,
) -> Cow<'a, str> {
    match config.protocol {
        Protocol::Platform => Cow::Borrowed(request_id),
        Protocol::ClickHouse => core.name_on_engine(key),
    }
}

/// The interval of progress reports for a request. Only idempotent ones have one, as only they can run again elsewhere.
fn progress_interval(config: &Config, request: &ParsedRequest) -> Option<Micros> {
    let class = config.settings.classes.get(usize::from(request.class))?;
    config
        .settings
        .progress_interval
        .filter(|_| request.idempotency(class.idempotency) == Idempotency::Idempotent)
}
