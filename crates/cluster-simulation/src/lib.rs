//! Deterministic simulation of clusters with up to hundreds of members. The real state machines run in one process on virtual
//! time, with all random draws from one seed, under the same fault scripts that `driftfront-cluster-harness` applies to real
//! processes.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`script`] | fault scripts and their KDL format |
//! | [`fault_scenario`] | generates random fault scripts |
//! | [`world`] | simulates members and the network under a script |
//! | [`lease_workload`] | makes members request leases, and checks that no lease has two holders |
//! | [`model`] | a model of the lease protocol for model checking |
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

/// Returns a quantile of a sorted list (nearest rank), converted to seconds, or NaN if the list is empty.
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
