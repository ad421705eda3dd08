//! Figures of the whole cluster, as this coordinator believes them; they are brought up to date with each tick.

use crate::types::TICK_INTERVAL;

/// Weight of one tick in the smoothed demand: some five seconds.
const DEMAND_WEIGHT: f64 = 0.01;
/// The same where this coordinator has a small part of each engine, and few queries of its own: four times as long.
const SUBSET_DEMAND_WEIGHT: f64 = DEMAND_WEIGHT / 4.0;

/// Load and capacity of the cluster.
pub(crate) struct ClusterLoad {
    /// This coordinator's demand, µs of work per µs, smoothed.
    pub demand: f64,
    /// Work that arrived since the last tick, µs.
    new_work: f64,
    /// This coordinator's part of the cluster's demand.
    pub share: f64,
    /// Cores of the ready engines, as far as they are warm.
    pub cores: f64,
    /// This coordinator's own threads, over all engines.
    pub threads: f64,
    /// Work still to come from those, as of the last tick.
    pub remaining_work: f64,
    /// How much longer queries run lately than alone, over all engines.
    pub slowdown: f64,
    /// The cluster as a whole is under pressure, as of the last tick.
    pub is_overloaded: bool,
}

impl ClusterLoad {
    /// Before anything is known: an equal part for each coordinator.
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

    /// Counts the work of a query that arrives.
    pub(crate) fn record_arrival(&mut self, work: f64) {
        self.new_work += work;
    }

    /// Takes the work of the last tick into the demand.
    pub(crate) fn update_demand(&mut self, uses_subset: bool) {
        let work = std::mem::take(&mut self.new_work) / TICK_INTERVAL as f64;
        let weight = if uses_subset {
            SUBSET_DEMAND_WEIGHT
        } else {
            DEMAND_WEIGHT
        };
        self.demand += weight * (work - self.demand);
    }

    /// Counts the threads of an attempt that goes out.
    pub(crate) fn record_start(&mut self, threads: f64) {
        self.threads += threads;
    }

    /// Counts the threads of an attempt that has ended.
    pub(crate) fn record_end(&mut self, threads: f64) {
        self.threads = (self.threads - threads).max(0.0);
    }
}
