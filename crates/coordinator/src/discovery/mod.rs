//! Discovery: the names, addresses and phases of the engines, from the platform's event stream, an operator's file, or etcd's
//! watch API. The stream and etcd are implemented without sockets or clocks.
//!
//! All sources produce updates in the platform's JSON format, which [`read`] parses into an [`EngineListUpdate`].

pub mod backoff;
mod error;
pub mod etcd;
pub mod file;
pub mod stream;
mod update;

pub use error::{DiscoveryError, EntryError};
pub use update::{read, EngineListUpdate};

use driftfront_core::Micros;
use tinyjson::JsonValue;

/// An engine list that is watched over a connection, which is reopened whenever it ends.
pub trait EngineListWatch {
    /// Returns the request to send on a new connection.
    fn open_request(&mut self) -> Vec<u8>;
    /// Decodes received bytes, in chunks of any size, into updates of the list. Further requests are appended to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the connection must be closed.
    fn decode(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
        updates: &mut Vec<JsonValue>,
    ) -> Result<(), DiscoveryError>;
    /// The time without received bytes after which a connection is considered broken.
    fn silence_timeout(&self) -> Micros;
    /// Changes the address that serves the list; the position in the list is kept.
    fn set_host(&mut self, host: String);
}
