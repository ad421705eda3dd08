//! The host's observations of the cluster, the input to one step of a rolling restart.

use super::{WaitReason, MIN_CAPACITY_MARGIN};
use crate::Micros;

/// The observed state of the cluster.
#[derive(Clone, Debug, Default)]
pub struct ObservedState {
    /// The engines of the rolling restart, and all others that take work.
    pub engines: Vec<EngineSnapshot>,
    /// Share of the recently requested priority weight that was served; `None` if there were no requests.
    pub service_level: Option<f64>,
    /// Share of the total capacity of all engines that was recently in use.
    pub load: f64,
}

/// The observed state of one engine.
#[derive(Clone, Debug)]
pub struct EngineSnapshot {
    /// The name.
    pub name: String,
    /// Whether it takes work.
    pub is_ready: bool,
    /// Whether it is drained by an operator's order.
    pub is_drained: bool,
    /// Number of attempts that run there.
    pub running_queries: usize,
    /// Number of imports among them. Imports are never retried.
    pub running_imports: usize,
    /// When it last started, in microseconds, if known.
    pub started_at: Option<Micros>,
    /// Whether it answers.
    pub is_reachable: bool,
    /// The zone (a building), as an index into the settings.
    pub zone: u16,
    /// Its share of the total capacity of all engines.
    pub capacity_share: f64,
}

impl ObservedState {
    /// Looks up an engine by name.
    pub(super) fn engine(&self, name: &str) -> Option<&EngineSnapshot> {
        self.engines.iter().find(|engine| engine.name == name)
    }

    /// Why the engine can't be drained now; `None` if it can.
    pub(super) fn blocked_by(&self, engine: &EngineSnapshot) -> Option<WaitReason> {
        let others = || {
            self.engines
                .iter()
                .filter(|other| other.name != engine.name)
        };
        // At most one engine may be out at a time, whoever drained it.
        if let Some(out) = others().find(|other| other.is_drained || !other.is_ready) {
            return Some(WaitReason::EngineOut {
                engine: out.name.clone(),
                is_same_zone: out.zone == engine.zone,
            });
        }
        let ready = others().filter(|other| other.is_ready);
        let capacity: f64 = ready.map(|other| other.capacity_share).sum();
        if capacity <= 0.0 {
            return Some(WaitReason::LastReady(engine.name.clone()));
        }
        let load = self.load;
        (load * MIN_CAPACITY_MARGIN > capacity)
            .then_some(WaitReason::LoadTooHigh { load, capacity })
    }
}
