//! What every connection here shares: buffered non-blocking bytes and names' numbers.

pub mod eviction;
mod link;
pub mod silence;

pub use driftfront_engine_registry::fnv1a_64;
pub use link::{connect, is_out_of_descriptors, BufferedStream, ReadOutcome};
