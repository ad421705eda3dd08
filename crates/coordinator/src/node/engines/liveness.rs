//! Detects silent engines, and probes those that send nothing by themselves while they work.
//!
//! [`Engines`] determines silence over all connections to an engine; the periodic check sends the probes that are due.

use super::connection::{EngineConnection, QueuedWrite};
use super::pool::ConnectionRequest;
use super::state::Engines;
use crate::net::silence::{tolerated_interval, REPORT_OVERDUE_AFTER};
use crate::node::Node;
use driftfront_core::{EngineId, Micros};
use std::collections::BTreeMap;

/// Silence after which an engine that sends no progress reports is probed.
pub(super) const LIVENESS_PROBE_INTERVAL: Micros = 1_000_000;
/// The tag of liveness probes; tags of the core's probes are never 0.
pub(super) const LIVENESS_PROBE_TAG: u64 = 0;

/// When silent engines were last probed for liveness.
#[derive(Default)]
pub(super) struct LivenessProbes {
    probed_at: BTreeMap<EngineId, Micros>,
}

impl LivenessProbes {
    /// Whether a probe of the engine is due, if bytes were last received at `received_at`; if so, it is recorded as sent now.
    fn start_if_due(&mut self, now: Micros, engine: EngineId, received_at: Micros) -> bool {
        let probed_at = self.probed_at.get(&engine).copied().unwrap_or(0);
        if now < received_at.max(probed_at) + LIVENESS_PROBE_INTERVAL {
            return false;
        }
        self.probed_at.insert(engine, now);
        true
    }

    /// Removes an engine that is no longer listed.
    pub(super) fn forget_engine(&mut self, engine: EngineId) {
        self.probed_at.remove(&engine);
    }
}

impl Engines {
    /// When bytes were last received from an engine on any of its connections; 0 if never.
    pub(super) fn last_received(&self, engine: EngineId) -> Micros {
        let times = self.connections_to(engine).map(|(_, c)| c.last_received());
        times.max().unwrap_or(0)
    }

    /// The tolerated interval of an engine's progress reports, if engines send them every `progress_interval`.
    pub(super) fn report_interval(
        &self,
        now: Micros,
        engine: EngineId,
        progress_interval: Option<Micros>,
    ) -> Option<Micros> {
        let interval = progress_interval?;
        let zone = self.connections_to(engine).find_map(|(_, c)| c.zone());
        let others_in_zone = self
            .iter()
            .filter(|(_, c)| c.zone() == zone && c.engine() != engine);
        let zone_received_at = others_in_zone.map(|(_, c)| c.last_received()).max();
        let is_zone_alive =
            zone_received_at.is_some_and(|at| now < at + interval + REPORT_OVERDUE_AFTER);
        let load = self.connections_to(engine).map(|(_, c)| c.load()).sum();
        Some(tolerated_interval(interval, load, is_zone_alive))
    }

    /// Whether a connection is silent and should be closed, so that its attempts may run elsewhere. A connection with a
    /// non-idempotent attempt is kept, since the attempt may still be answered once the engine is reachable again. A connection
    /// with probes only is closed, as an unanswered probe must not hold it forever.
    pub(super) fn is_presumed_lost(
        &self,
        now: Micros,
        conn: &EngineConnection,
        progress_interval: Option<Micros>,
    ) -> bool {
        // Idle connections await nothing. In a large cluster nearly all are idle; returning here avoids a scan of all connections
        // for each of them.
        if conn.session().is_idle() {
            return false;
        }
        let report_interval = self.report_interval(now, conn.engine(), progress_interval);
        let engine_received_at = self.last_received(conn.engine());
        let has_only_probes = conn.session().attempt_count() == 0 && conn.queue_length() == 0;
        conn.is_silent(now, report_interval, engine_received_at)
            && (has_only_probes || !conn.is_exclusive())
    }

    /// Engines that send no progress reports for work in flight, each with the time since which its longest-silent connection has
    /// been silent.
    fn engines_needing_probes(&self) -> BTreeMap<EngineId, Micros> {
        let mut silent_since: BTreeMap<EngineId, Micros> = BTreeMap::new();
        for (_, conn) in self.iter() {
            if conn.is_connected() && !conn.is_paused() && conn.session().needs_liveness_probes() {
                let since = silent_since
                    .entry(conn.engine())
                    .or_insert(conn.silent_since());
                *since = (*since).min(conn.silent_since());
            }
        }
        silent_since
    }

    /// Whether a liveness probe of an engine without progress reports is due; if so, it is recorded as sent now.
    fn start_liveness_probe_if_due(
        &mut self,
        now: Micros,
        engine: EngineId,
        silent_since: Micros,
    ) -> bool {
        let received_at = self.last_received(engine).max(silent_since);
        self.liveness_probes.start_if_due(now, engine, received_at)
    }
}

impl Node {
    /// Probes silent engines that send no progress reports. An engine that answers is alive, however long its queries run; one that
    /// does not counts as silent, and its idempotent attempts are abandoned.
    pub(super) fn probe_silent_engines(&mut self, now: Micros) {
        for (engine, silent_since) in self.engines.engines_needing_probes() {
            if !self
                .engines
                .start_liveness_probe_if_due(now, engine, silent_since)
            {
                continue;
            }
            if let Ok(id) = self.engine_connection(now, ConnectionRequest::for_probe(engine)) {
                self.queue_write(now, id, QueuedWrite::LIVENESS_PROBE);
            }
        }
    }
}
