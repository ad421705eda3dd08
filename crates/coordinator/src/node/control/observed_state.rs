//! The state of engines and service that the rolling restart observes.

use super::snapshot::EngineLoad;
use crate::node::Node;
use driftfront_core::{Micros, Phase};
use driftfront_engine_registry::rolling_restart::{EngineSnapshot, ObservedState};
use driftfront_engine_registry::{EngineState, Order as EngineOrder};

/// The number of cores assumed if the machine kind does not specify it.
const DEFAULT_CORES: f64 = 8.0;

impl Node {
    /// The state of engines and service for the rolling restart.
    pub(super) fn observed_state(&self, now: Micros) -> ObservedState {
        let load = self.engine_load();
        let engines = self.registry.engines();
        let present = || engines.iter().filter(|engine| engine.phase != Phase::Gone);
        let all_cores: f64 = present().map(|engine| self.cores(engine.kind)).sum();
        let all_cores = all_cores.max(1.0);
        let threads: f64 = self
            .core
            .attempts_in_flight()
            .map(|(class, ..)| self.threads(class))
            .sum();
        let observed = present().map(|engine| {
            let load = load.get(&engine.id).copied().unwrap_or_default();
            self.observed_engine(engine, load, all_cores)
        });
        ObservedState {
            engines: observed.collect(),
            service_level: self.weighted_service_level(now),
            load: threads / all_cores,
        }
    }

    fn observed_engine(
        &self,
        engine: &EngineState,
        load: EngineLoad,
        all_cores: f64,
    ) -> EngineSnapshot {
        let order = engine
            .active_order
            .as_ref()
            .map(|active_order| active_order.order);
        EngineSnapshot {
            name: engine.name.clone(),
            is_ready: engine.phase == Phase::Ready,
            is_drained: order == Some(EngineOrder::Drain),
            running_queries: load.queries,
            running_imports: load.single_shot,
            started_at: engine.started_at,
            is_reachable: engine.phase == Phase::Draining
                || self.engines.is_connected_to(engine.id),
            zone: engine.zone,
            capacity_share: self.cores(engine.kind) / all_cores,
        }
    }

    fn cores(&self, kind: u16) -> f64 {
        let kind = self.config.settings.kinds.get(usize::from(kind));
        kind.and_then(|kind| kind.cores).unwrap_or(DEFAULT_CORES)
    }

    fn threads(&self, class: u16) -> f64 {
        let class = self.config.settings.classes.get(usize::from(class));
        class.map_or(1.0, |class| class.threads)
    }

    /// The fraction of the last minute's requests that were served in time, weighted by the priorities of their classes.
    fn weighted_service_level(&self, now: Micros) -> Option<f64> {
        let class_weight = |class: usize| {
            let class = self.config.settings.classes.get(class);
            class.map_or(1.0, |class| class.priority_weight)
        };
        let control = self.control.as_ref()?;
        control.service.weighted_service_level(now, class_weight)
    }
}
