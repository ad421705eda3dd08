//! What is known of one engine.

use crate::Micros;
use driftfront_scheduler::Phase;
use std::net::SocketAddr;

/// What a source, or an operator who adds it, says of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineDescription {
    /// Its name: 1 to [`MAX_NAME_BYTES`](crate::MAX_NAME_BYTES) bytes, no control characters.
    pub name: String,
    /// Where it listens; `None` leaves the address as it is known.
    pub addr: Option<SocketAddr>,
    /// Its zone, by index in the settings.
    pub zone: u16,
    /// Its machine kind, by index in the settings.
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// When it last started, in microseconds, if that was lately.
    pub started_at: Option<Micros>,
    /// Its phase. Ignored where an operator adds the engine.
    pub phase: Phase,
}
