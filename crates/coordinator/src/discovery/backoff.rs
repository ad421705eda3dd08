//! When a source of engine lists that broke off is called again. No I/O; the time is an argument.

use crate::net::fnv1a_64;
use driftfront_core::Micros;

/// Wait before a new connection, doubled with each failure: 2 s after a break all counts as told.
const AGAIN: Micros = 25_000;
const AGAIN_MOST: Micros = 400_000;
/// Only a connection that has told something for this long counts as a success: a source that takes calls and breaks
/// them off would else be called by the whole fleet without a pause.
const STEADY: Micros = 1_000_000;

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
    up: Option<Micros>,
}

impl Backoff {
    /// With this seed for the spread.
    pub fn new(seed: u64) -> Backoff {
        Backoff {
            seed,
            calls: 0,
            failures: 0,
            up: None,
        }
    }

    /// Another source is called: what the last one did says nothing of it.
    pub fn anew(&self) -> Backoff {
        Backoff::new(self.seed)
    }

    /// Something has come on the connection.
    pub fn heard(&mut self, now: Micros) {
        if now >= *self.up.get_or_insert(now) + STEADY {
            self.failures = 0;
        }
    }

    /// The connection has ended: when the next may be opened.
    pub fn again(&mut self, now: Micros, why: Disconnect) -> Micros {
        let wait = (AGAIN << self.failures.min(8)).min(AGAIN_MOST);
        (self.failures, self.up, self.calls) = (self.failures + 1, None, self.calls + 1);
        let (least, most) = if why == Disconnect::Silent {
            (0, AGAIN_MOST)
        } else {
            (wait / 2, wait)
        };
        let draw = fnv1a_64(&[self.seed.to_be_bytes(), self.calls.to_be_bytes()].concat());
        now + least + draw % (most - least + 1)
    }
}

#[cfg(test)]
mod tests {
    use super::{Backoff, Disconnect, AGAIN, AGAIN_MOST};

    /// Calls of a fleet in the fullest 10 ms, where each is broken off this long after it was made.
    fn crowd(why: Disconnect, after: u64) -> usize {
        let mut calls = std::collections::BTreeMap::<u64, usize>::new();
        for seed in 0..100 {
            let (mut backoff, mut now) = (Backoff::new(seed), 0);
            while now < 4_000_000 {
                backoff.heard(now);
                now = backoff.again(now + after, why);
                *calls.entry(now / 10_000).or_default() += 1;
            }
        }
        calls.into_values().max().unwrap()
    }

    #[test]
    fn a_source_that_fails_for_all_at_once_is_not_called_by_all_at_once() {
        assert!(
            crowd(Disconnect::Silent, 2_000_000) < 15,
            "{}",
            crowd(Disconnect::Silent, 2_000_000)
        );
    }

    #[test]
    fn a_source_that_takes_calls_and_breaks_them_off_is_called_less_and_less() {
        let mut backoff = Backoff::new(7);
        let mut now = 0;
        for _ in 0..12 {
            backoff.heard(now);
            now = backoff.again(now + 1_000, Disconnect::Closed);
        }
        assert!(now > 6 * AGAIN_MOST / 2, "twelve calls within {now} µs");
        // One that has told something for long is called at once again.
        backoff.heard(now);
        backoff.heard(now + 2_000_000);
        assert!(backoff.again(now + 2_000_000, Disconnect::Closed) <= now + 2_000_000 + AGAIN);
    }
}
