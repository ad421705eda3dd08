//! What every connection here shares: buffered non-blocking bytes, the clock and names' numbers.

pub mod eviction;
mod link;
pub mod silence;

pub use driftfront_roster::hash;
pub use link::{connect, out_of_descriptors, Link, ReadEnd};

use driftfront_core::Micros;
use std::time::{SystemTime, UNIX_EPOCH};

/// The system's Unix clock.
pub fn unix_now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}
