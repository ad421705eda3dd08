//! What the connections share: buffered non-blocking streams, and when one is silent or may be closed for another.

mod buffered_stream;
pub mod eviction;
pub mod silence;

pub use buffered_stream::{connect, is_out_of_descriptors, BufferedStream, ReadOutcome};
pub use driftfront_engine_registry::fnv1a_64;
