//! Probe budget: how many health checks the accepted queries pay for.
//!
//! Input: queries accepted, zones lost, probes sent. Output: how many probes may go out. Bound: one probe for each engine.

use crate::candidates::{AFFINITY_ENGINES, DRAWN_ENGINES};
use crate::gossip::GOSSIP_INTERVAL;
use crate::settings::Settings;
use crate::types::TICK_INTERVAL;

/// Share of the result spent on probes, at most.
const PROBE_SPEND: f64 = 0.001;
/// The same where nothing else brings reports to a few coordinators.
const PROBE_SPEND_FOR_REPORTS: f64 = 10.0 * PROBE_SPEND;
/// Probes a query pays for, at most.
const MAX_PROBES_PER_QUERY: f64 = 1.0;
/// Probes that a query's candidates take, where they are asked first.
pub(crate) const PROBES_PER_QUERY: f64 = (AFFINITY_ENGINES + DRAWN_ENGINES) as f64;

/// Probes that may go out.
pub(crate) struct ProbeBudget {
    credit: f64,
    per_query: f64,
}

impl ProbeBudget {
    /// Without credit. `uses_subset`: this coordinator has a small part of each engine.
    pub(crate) fn new(settings: &Settings, uses_subset: bool) -> ProbeBudget {
        let spend = if settings.report_on_probe && !uses_subset {
            PROBE_SPEND_FOR_REPORTS
        } else {
            PROBE_SPEND
        };
        ProbeBudget {
            credit: 0.0,
            per_query: (spend / settings.probe_cost.max(1e-9)).min(MAX_PROBES_PER_QUERY),
        }
    }

    /// Adds what an accepted query pays for.
    pub(crate) fn record_query(&mut self, engines: usize) {
        self.credit = (self.credit + self.per_query).min(engines as f64);
    }

    /// Adds a probe a second for each zone that may be lost, once a tick.
    pub(crate) fn record_silent_zones(&mut self, zones: usize) {
        self.credit += zones as f64 * TICK_INTERVAL as f64 / GOSSIP_INTERVAL as f64;
    }

    /// Counts probes that go out.
    pub(crate) fn spend(&mut self, probes: usize) {
        self.credit -= probes as f64;
    }

    /// Probes that may go out now.
    pub(crate) fn credit(&self) -> f64 {
        self.credit
    }
}
