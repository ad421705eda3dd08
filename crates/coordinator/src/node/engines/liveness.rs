//! When an engine was last heard, when it should have been, and probes where nothing else shows that it lives.

use super::connection::{EngineConnection, QueuedWrite};
use crate::net::silence::{tolerated_interval, REPORT_OVERDUE_AFTER};
use crate::node::{ConnectionId, Node};
use driftfront_core::{EngineId, Micros};
use std::collections::BTreeMap;

/// An engine that says nothing by itself while it works is probed after this long without a word.
pub(super) const LIVENESS_PROBE_INTERVAL: Micros = 1_000_000;
/// The tag of such probes; the core's are never 0.
pub(super) const LIVENESS_PROBE_TAG: u64 = 0;

impl Node {
    /// When anything was last received from an engine, on whatever connection.
    pub(super) fn engine_last_heard(&self, engine: EngineId) -> Micros {
        self.engines
            .connections
            .values()
            .filter(|c| c.engine == engine)
            .map(|c| c.last_read)
            .max()
            .unwrap_or(0)
    }

    /// How often progress reports of what is in flight on an engine are due, where engines send them.
    pub(super) fn report_interval(&self, now: Micros, engine: EngineId) -> Option<Micros> {
        let interval = self.config.settings.progress_interval?;
        let connections = || {
            self.engines
                .connections
                .values()
                .filter(|c| c.engine == engine)
        };
        let zone = connections().find_map(|c| c.zone);
        let zone_heard_at = self
            .engines
            .connections
            .values()
            .filter(|c| c.zone == zone && c.engine != engine)
            .map(|c| c.last_read)
            .max();
        let is_zone_heard =
            zone_heard_at.is_some_and(|at| now < at + interval + REPORT_OVERDUE_AFTER);
        let load = connections().map(EngineConnection::load).sum();
        Some(tolerated_interval(interval, load, is_zone_heard))
    }

    /// Probes engines that have said nothing for a while and report nothing by themselves: one that answers lives, however long
    /// its queries take; one that does not is silent, and its reads are lost.
    pub(super) fn probe_silent_engines(&mut self, now: Micros) {
        for (engine, heard_at) in self.engines_without_reports() {
            let heard_at = self.engine_last_heard(engine).max(heard_at);
            let probed_at = self.engines.checks.get(&engine).copied().unwrap_or(0);
            if now < heard_at.max(probed_at) + LIVENESS_PROBE_INTERVAL {
                continue;
            }
            self.engines.checks.insert(engine, now);
            if let Ok(id) = self.engine_connection(now, engine, None, false) {
                self.queue_write(now, id, QueuedWrite::LIVENESS_PROBE);
            }
        }
    }

    /// Engines whose work in flight reports nothing, and since when the longest silent of their connections is.
    fn engines_without_reports(&self) -> BTreeMap<EngineId, Micros> {
        let mut silent_since: BTreeMap<EngineId, Micros> = BTreeMap::new();
        for conn in self.engines.connections.values() {
            if conn.is_up && !conn.is_paused && conn.session.needs_liveness_probes() {
                let since = silent_since.entry(conn.engine).or_insert(conn.silent_since);
                *since = (*since).min(conn.silent_since);
            }
        }
        silent_since
    }

    /// Lets a connection's session ask again for what is overdue, or give it up.
    pub(super) fn check_session_timeouts(&mut self, now: Micros, id: ConnectionId) {
        let Some(conn) = self.engines.connections.get_mut(&id) else {
            return;
        };
        let (mut out, mut events) = (Vec::new(), Vec::new());
        let checked = conn.session.check_timeouts(now, &mut out, &mut events);
        conn.stream.push(&out);
        self.apply_engine_events(now, events);
        match checked {
            Err(e) => self.drop_engine(now, id, &e.to_string()),
            Ok(()) if !out.is_empty() => self.write_to_engine(now, id),
            Ok(()) => {}
        }
    }
}
