//! The fleet's units by hundreds on virtual time, in one process and from one seed, under scripts of faults: the same
//! scripts that `rig` plays with processes of the real program.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod fault_scenario;
pub mod model;
pub mod rights;
pub mod script;
pub mod world;

pub use script::{FaultAction, Group, Link, Links, Script, ScriptError};
pub use world::World;

use driftfront_cluster::Micros;

/// The time, in seconds, that this part of a sorted list does not pass; no number where it is empty.
pub fn percentile(sorted: &[Micros], part: f64) -> f64 {
    let place = ((sorted.len() as f64 * part).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(place).map_or(f64::NAN, |&t| t as f64 / 1e6)
}
