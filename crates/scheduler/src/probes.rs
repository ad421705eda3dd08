//! Probe budget: limits probes in proportion to the accepted queries.
//!
//! Input: accepted queries, silent zones, and probes sent. Output: number of probes that may be
//! sent. Bound: credit for at most one probe per engine from queries.

use crate::candidates::{AFFINITY_ENGINES, DRAWN_ENGINES};
use crate::gossip::GOSSIP_INTERVAL;
use crate::settings::Settings;
use crate::types::TICK_INTERVAL;

/// Maximum fraction of the overall result spent on probes.
const PROBE_SPEND: f64 = 0.001;
/// The same if probes are the only source of load reports for a few coordinators.
const PROBE_SPEND_FOR_REPORTS: f64 = 10.0 * PROBE_SPEND;
/// Maximum credit that one query adds, in probes.
const MAX_PROBES_PER_QUERY: f64 = 1.0;
/// Number of probes for a query that probes its candidates first.
pub(crate) const PROBES_PER_QUERY: f64 = (AFFINITY_ENGINES + DRAWN_ENGINES) as f64;

/// Credit for probes.
pub(crate) struct ProbeBudget {
    credit: f64,
    per_query: f64,
}

impl ProbeBudget {
    /// A budget without credit. `uses_subset`: this coordinator has a small share of each engine.
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

    /// Adds the credit of an accepted query.
    pub(crate) fn record_query(&mut self, engines: usize) {
        self.credit = (self.credit + self.per_query).min(engines as f64);
    }

    /// Adds credit for one probe per second for each silent zone. Called once per tick.
    pub(crate) fn add_silent_zone_credit(&mut self, zones: usize) {
        self.credit += zones as f64 * TICK_INTERVAL as f64 / GOSSIP_INTERVAL as f64;
    }

    /// Deducts probes that are sent.
    pub(crate) fn spend(&mut self, probes: usize) {
        self.credit -= probes as f64;
    }

    /// Number of probes that may be sent.
    pub(crate) fn credit(&self) -> f64 {
        self.credit
    }
}
