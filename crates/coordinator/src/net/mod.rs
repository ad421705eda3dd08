//! Shared connection code: buffered non-blocking streams, and rules for silent connections and for eviction.

mod buffered_stream;
pub mod eviction;
pub mod silence;

pub use buffered_stream::{connect, is_out_of_descriptors, BufferedStream, ReadOutcome};
pub use driftfront_engine_registry::fnv1a_64;
