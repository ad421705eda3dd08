//! The cluster's state machines by hundreds on virtual time, in one process and from one seed, under fault scripts: the same
//! scripts that `driftfront-cluster-harness` plays with processes of the real program.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`script`] | fault scripts, as data and as KDL |
//! | [`fault_scenario`] | random fault scripts |
//! | [`world`] | plays a script over simulated members |
//! | [`lease_workload`] | members that request leases, and the check that none is held twice |
//! | [`model`] | a model of the lease protocol for exhaustive checking |
#![forbid(unsafe_code)]

pub mod fault_scenario;
pub mod lease_workload;
pub mod model;
pub mod script;
pub mod world;

pub use script::{
    Directions, FaultAction, Group, Link, Links, Script, ScriptError, ScriptProblem, TimedAction,
};
pub use world::World;

use driftfront_cluster::Micros;

/// The quantile of a sorted list (nearest rank), in seconds; NaN where the list is empty.
pub fn percentile(sorted: &[Micros], quantile: f64) -> f64 {
    #[allow(
        clippy::cast_possible_truncation,
        reason = "a rank between 0 and the list's length"
    )]
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    let index = rank.clamp(1, sorted.len().max(1)) - 1;
    sorted
        .get(index)
        .map_or(f64::NAN, |&micros| micros as f64 / 1e6)
}
