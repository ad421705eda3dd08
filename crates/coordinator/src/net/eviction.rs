//! Chooses the connection to close when file descriptors run short. Uses neither sockets nor clocks.

use driftfront_core::Micros;

/// The idle time of a connection that has not sent a complete request yet is multiplied by this.
const FIRST_REQUEST_IDLE_FACTOR: Micros = 8;

/// Ranks a connection for eviction; the highest rank is closed first. Closing connections rank highest, the others by idle
/// time. A connection without a complete request counts as idle for longer, but does not always rank first: otherwise idle
/// keep-alive connections would fill all slots, and each new connection would be evicted for the next one before it could send
/// its first request.
pub fn rank(closing: bool, awaits_first_request: bool, idle: Micros) -> Micros {
    match (closing, awaits_first_request) {
        (true, _) => Micros::MAX,
        (false, true) => idle.saturating_mul(FIRST_REQUEST_IDLE_FACTOR),
        (false, false) => idle,
    }
}
