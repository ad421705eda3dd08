//! When a source of engine lists that broke off is called again. No I/O; the time is an argument.

use crate::net::fnv1a_64;
use driftfront_core::Micros;

/// Longest wait before a new connection after a first failure, doubled with each further one: 2 s after a break all counts as told.
pub const BASE_DELAY: Micros = 25_000;
/// Longest wait before a new connection.
pub const MAX_DELAY: Micros = 400_000;
/// Only a connection that has brought something for this long counts as a success: a source that takes calls and breaks them off
/// would else be called by the whole cluster without a pause.
const STEADY_TIME: Micros = 1_000_000;
/// Doublings beyond which the delay is at its bound in any case.
const MAX_DOUBLINGS: u32 = 8;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// It was closed, refused, or broke.
    Closed,
    /// Nothing came on it. A source falls silent for all coordinators at one moment, and all notice it at one.
    Silent,
}

/// One coordinator's part in not calling a source in step with all the others.
pub struct Backoff {
    seed: u64,
    calls: u64,
    failures: u32,
    /// When something first came on the connection that is up.
    heard_since: Option<Micros>,
}

impl Backoff {
    /// With this seed for the spread.
    pub fn new(seed: u64) -> Backoff {
        Backoff {
            seed,
            calls: 0,
            failures: 0,
            heard_since: None,
        }
    }

    /// A backoff for another source: what the last one did says nothing of it.
    pub fn for_new_source(&self) -> Backoff {
        Backoff::new(self.seed)
    }

    /// Something has come on the connection.
    pub fn record_heard(&mut self, now: Micros) {
        if now >= *self.heard_since.get_or_insert(now) + STEADY_TIME {
            self.failures = 0;
        }
    }

    /// The connection has ended: when the next may be opened.
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
