//! The simulator's wire protocol: decodes batches of records, passes them to [`driftfront_scheduler::Controller`] and encodes
//! the resulting actions as a reply.
//!
//! All integers are big endian. A batch consists of the length of its body (4 bytes), its clock (8 bytes, microseconds) and its
//! records; a record consists of its code (1 byte), its length (4 bytes) and its fields. A reply consists of the number of
//! actions, the length of their encoding (4 bytes each) and the actions, which are encoded like records. [`Host`] runs one
//! isolated controller per instance; every record names its instance, except catalogs of engines, which all instances share.
//!
//! Records with unknown codes are ignored. A malformed record ends the program, because framing may be lost. Invalid settings
//! and a panic in a controller end only the affected instance.
#![forbid(unsafe_code)]

mod batch;
mod error;
mod fields;
mod host;
mod record;
mod reply;

pub use batch::read_batch;
pub use driftfront_settings::parse_settings;
pub use error::WireError;
pub use host::Host;
