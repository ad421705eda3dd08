//! The fleet's units by hundreds on virtual time, in one process and from one seed, under scripts of faults: the same
//! scripts that `rig` plays with processes of the real program.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod script;
pub mod storm;
pub mod world;

pub use script::{Deed, Group, Link, Script};
pub use world::World;
