//! The description of one engine.

use crate::Micros;
use driftfront_scheduler::Phase;
use std::net::SocketAddr;

/// An engine as described by a source, or by the operator who adds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineDescription {
    /// The name: 1 to [`MAX_NAME_BYTES`](crate::MAX_NAME_BYTES) bytes, no control characters.
    pub name: String,
    /// The address it listens on; `None` keeps the known address.
    pub addr: Option<SocketAddr>,
    /// The zone, as an index into the settings.
    pub zone: u16,
    /// The machine kind, as an index into the settings.
    pub kind: u16,
    /// The cell.
    pub cell: u16,
    /// When it last started, in microseconds, if that was recent.
    pub started_at: Option<Micros>,
    /// The phase; ignored when an operator adds the engine.
    pub phase: Phase,
}
