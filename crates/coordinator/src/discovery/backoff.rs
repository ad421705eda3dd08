//! Delays between connections to a source of the engine list. No I/O; the time is an argument.

use crate::net::fnv1a_64;
use driftfront_core::Micros;

/// Maximum delay before a new connection after the first failure; each further failure doubles it. Every event counts as
/// delivered to this coordinator 2 s after a disconnect.
pub const BASE_DELAY: Micros = 25_000;
/// Maximum delay before a new connection.
pub const MAX_DELAY: Micros = 400_000;
/// A connection counts as a success only once it has received data for this long. Otherwise the whole cluster would reconnect
/// without a delay to a source that accepts connections and closes them.
const STEADY_TIME: Micros = 1_000_000;
/// Limits the exponent; the delay reaches [`MAX_DELAY`] at fewer doublings.
const MAX_DOUBLINGS: u32 = 8;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// It was closed, refused or broken.
    Closed,
    /// Nothing was received. A source falls silent for all coordinators at once, and all of them notice it at the same time.
    Silent,
}

/// Exponential backoff with jitter, so that the coordinators of a cluster don't reconnect at the same time.
pub struct Backoff {
    seed: u64,
    calls: u64,
    failures: u32,
    /// When the current connection first received data.
    heard_since: Option<Micros>,
}

impl Backoff {
    /// Creates a backoff whose jitter is derived from this seed.
    pub fn new(seed: u64) -> Backoff {
        Backoff {
            seed,
            calls: 0,
            failures: 0,
            heard_since: None,
        }
    }

    /// Creates a backoff for another source, without the failures of this one.
    pub fn for_new_source(&self) -> Backoff {
        Backoff::new(self.seed)
    }

    /// Records that the connection has received data.
    pub fn record_heard(&mut self, now: Micros) {
        if now >= *self.heard_since.get_or_insert(now) + STEADY_TIME {
            self.failures = 0;
        }
    }

    /// Records that the connection has ended, and returns when the next one may be opened.
    pub fn next_attempt_at(&mut self, now: Micros, reason: Disconnect) -> Micros {
        let delay = (BASE_DELAY << self.failures.min(MAX_DOUBLINGS)).min(MAX_DELAY);
        self.failures += 1;
        self.calls += 1;
        self.heard_since = None;
        let (min, max) = match reason {
            Disconnect::Silent => (0, MAX_DELAY),
            Disconnect::Closed => (delay / 2, delay),
        };
        let draw = fnv1a_64(&[self.seed.to_be_bytes(), self.calls.to_be_bytes()].concat());
        now + min + draw % (max - min + 1)
    }
}
