//! What the host observes of the cluster, for one step of a rolling restart.

use super::{WaitReason, MIN_CAPACITY_MARGIN};
use crate::Micros;

/// The cluster at one moment.
#[derive(Clone, Debug, Default)]
pub struct ObservedState {
    /// The engines of the rolling restart, and all others that take work.
    pub engines: Vec<EngineSnapshot>,
    /// Share of the priority weight asked for that was served lately; `None` where nothing was asked.
    pub service_level: Option<f64>,
    /// Share of all engines' capacity that the load has used lately.
    pub load: f64,
}

/// One engine at that moment.
#[derive(Clone, Debug)]
pub struct EngineSnapshot {
    /// Its name.
    pub name: String,
    /// It takes work.
    pub is_ready: bool,
    /// An operator's drain holds.
    pub is_drained: bool,
    /// Attempts that run there.
    pub running_queries: usize,
    /// Imports among them, which are never sent again.
    pub running_imports: usize,
    /// When it last started, in microseconds, if that is known.
    pub started_at: Option<Micros>,
    /// It answers.
    pub is_reachable: bool,
    /// Its zone (a building), by index in the settings.
    pub zone: u16,
    /// Its share of all engines' capacity.
    pub capacity_share: f64,
}

impl ObservedState {
    /// The engine of this name.
    pub(super) fn engine(&self, name: &str) -> Option<&EngineSnapshot> {
        self.engines.iter().find(|engine| engine.name == name)
    }

    /// Why this engine can't be taken out now, if it can't.
    pub(super) fn blocked_by(&self, engine: &EngineSnapshot) -> Option<WaitReason> {
        let others = || {
            self.engines
                .iter()
                .filter(|other| other.name != engine.name)
        };
        // One that is out already, by whomever, is waited for: never two at once.
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
