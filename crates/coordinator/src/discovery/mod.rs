//! Discovery: who the engines are, where, and in which phase. Sources: the platform's event stream, an operator's file, or etcd's
//! watch API. The sources speak without sockets or clocks.
//!
//! Every source gives updates of the platform's form, which [`read`] turns into an [`EngineListUpdate`].

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

/// A list that is watched over one connection, which may be opened again and again.
pub trait EngineListWatch {
    /// The request to write on a new connection.
    fn open_request(&mut self) -> Vec<u8>;
    /// Decodes received bytes, in pieces of any size, into updates of the list; further requests go to `out`.
    ///
    /// # Errors
    ///
    /// Where nothing more can be read on the connection.
    fn decode(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
        updates: &mut Vec<JsonValue>,
    ) -> Result<(), DiscoveryError>;
    /// A connection on which nothing comes for this long is broken.
    fn silence_timeout(&self) -> Micros;
    /// The same list is served at another address from now on: what was read stays read.
    fn set_host(&mut self, host: String);
}
