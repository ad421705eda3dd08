//! Estimated load and capacity of the whole cluster, updated with each tick.

use crate::types::TICK_INTERVAL;

/// Weight of one tick in the smoothed demand: a time constant of about five seconds.
const DEMAND_WEIGHT: f64 = 0.01;
/// The same for a coordinator with a small share of each engine, which has few queries: four times
/// as long.
const SUBSET_DEMAND_WEIGHT: f64 = DEMAND_WEIGHT / 4.0;

/// Load and capacity of the cluster.
pub(crate) struct ClusterLoad {
    /// This coordinator's demand, µs of work per µs, smoothed.
    pub demand: f64,
    /// Work that arrived since the last tick, µs.
    new_work: f64,
    /// This coordinator's share of the cluster's demand.
    pub share: f64,
    /// Cores of the ready engines, each scaled by its warm-up.
    pub cores: f64,
    /// Threads of this coordinator's attempts on all engines.
    pub threads: f64,
    /// Remaining work of those attempts as of the last tick, µs.
    pub remaining_work: f64,
    /// Recent mean slowdown of queries on all engines.
    pub slowdown: f64,
    /// Whether the cluster as a whole was under pressure at the last tick.
    pub is_overloaded: bool,
}

impl ClusterLoad {
    /// Initial state: an equal share for each coordinator.
    pub(crate) fn new(coordinators: u32) -> ClusterLoad {
        ClusterLoad {
            demand: 0.0,
            new_work: 0.0,
            share: 1.0 / f64::from(coordinators.max(1)),
            cores: 0.0,
            threads: 0.0,
            remaining_work: 0.0,
            slowdown: 1.0,
            is_overloaded: false,
        }
    }

    /// Adds the work of an arriving query.
    pub(crate) fn record_arrival(&mut self, work: f64) {
        self.new_work += work;
    }

    /// Adds the work that arrived in the last tick to the smoothed demand.
    pub(crate) fn update_demand(&mut self, uses_subset: bool) {
        let work = std::mem::take(&mut self.new_work) / TICK_INTERVAL as f64;
        let weight = if uses_subset {
            SUBSET_DEMAND_WEIGHT
        } else {
            DEMAND_WEIGHT
        };
        self.demand += weight * (work - self.demand);
    }

    /// Adds the threads of an attempt that starts.
    pub(crate) fn record_start(&mut self, threads: f64) {
        self.threads += threads;
    }

    /// Removes the threads of an attempt that has ended.
    pub(crate) fn record_end(&mut self, threads: f64) {
        self.threads = (self.threads - threads).max(0.0);
    }
}
