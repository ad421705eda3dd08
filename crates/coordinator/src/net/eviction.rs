//! Which connection goes where descriptors are short. Free of sockets and clocks.

use driftfront_core::Micros;

/// A connection that never brought a whole request counts as idle for this many times as long.
const FRESH_WEIGHT: Micros = 8;

/// The higher, the sooner a connection goes. Those that are closing go first, then the longest idle. One that never brought a
/// whole request (`fresh`) counts as idle for longer, but is not always first: else those that asked once and stay would fill
/// all places, and each newcomer would be shut out by the next before it has said a word.
pub fn rank(closing: bool, fresh: bool, idle: Micros) -> Micros {
    match (closing, fresh) {
        (true, _) => Micros::MAX,
        (false, true) => idle.saturating_mul(FRESH_WEIGHT),
        (false, false) => idle,
    }
}
