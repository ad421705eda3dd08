//! The simulator's wire: batches of records in, a reply of actions out, around [`driftfront_scheduler::Controller`].
//!
//! All numbers are big endian. A batch is the length of its body (4 bytes), its clock (8 bytes, microseconds) and its records;
//! a record is its code (1 byte), its length (4 bytes) and its fields. A reply is the number of its actions, the length of
//! what follows (4 bytes each) and the actions, which have the form of records. [`Host`] keeps the controllers of many
//! instances apart; records name theirs, but for lists of engines, which all instances share.
//!
//! Records of unknown codes are passed over. A malformed record ends the program: framing may be lost. Settings that can't be
//! read, and a panic in a controller, end that instance alone.
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
