//! A fleet's own time, by which its members are doubted.
//!
//! A process that was stopped, starved or whose clock jumped knows nothing of what others said meanwhile: the words lie
//! unread in its socket. Were its timers to run by the clock it would wake, find every probe overdue and accuse all that
//! it knows. So this time goes on by small steps only, and slower still for a while after it stumbled: who is late doubts
//! itself first (the lesson of Lifeguard). Answers to others' probes are given at once, whatever this says.

use crate::Micros;

/// One look moves the time on by this at most. Looks come each 25 ms; later ones mean that the process was held up.
const STEP_MOST: Micros = 100_000;
/// Held up for longer than this it doubts itself.
const LATE: Micros = 250_000;
/// Doubt grows by one with each, up to so much, and shrinks by one in so long.
const DOUBT_MOST: u32 = 7;
const CALM: Micros = 2_000_000;

/// The time, and how far it can be trusted.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    last: Option<Micros>,
    now: Micros,
    doubt: u32,
    since: Micros,
    /// How often it was held up.
    pub stalls: u64,
}

impl RateLimit {
    /// The clock shows this now; the fleet's time.
    pub fn look(&mut self, clock: Micros) -> Micros {
        let Some(last) = self.last.replace(clock) else {
            self.since = clock;
            return self.now;
        };
        // A clock that was set back stands still until the next look.
        let passed = clock.saturating_sub(last);
        if passed > LATE || clock < last {
            self.stumble(clock);
        }
        if clock < self.since {
            self.since = clock;
        }
        if self.doubt > 0 && clock > self.since + CALM {
            (self.doubt, self.since) = (self.doubt - 1, clock);
        }
        self.now += passed.min(STEP_MOST) / u64::from(1 + self.doubt);
        self.now
    }

    fn stumble(&mut self, clock: Micros) {
        self.stalls += 1;
        (self.doubt, self.since) = ((self.doubt + 1).min(DOUBT_MOST), clock);
    }

    /// The clock at which to look next, for this time of the fleet's: when it comes, but soon enough that a look which
    /// comes late shows that the process was held up, not that nobody wanted to look.
    pub fn clock_at(&self, time: Micros) -> Option<Micros> {
        let after = time.saturating_sub(self.now) * u64::from(1 + self.doubt);
        Some(self.last? + after.min(STEP_MOST / 2))
    }

    /// The fleet's time at the last look.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Others said that it was gone while it was there: it is slow, or hard to reach.
    pub fn accused(&mut self) {
        self.stumble(self.last.unwrap_or(0));
    }

    /// How many times slower than the clock it goes now, less one.
    pub fn doubt(&self) -> u32 {
        self.doubt
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_process_that_was_held_up_goes_on_slowly_and_trusts_itself_again() {
        let mut pace = RateLimit::default();
        let mut clock = 1_000_000_000;
        pace.look(clock);
        for _ in 0..40 {
            clock += 25_000;
            pace.look(clock);
        }
        assert_eq!((pace.now(), pace.doubt()), (1_000_000, 0));
        // Stopped for 8 s.
        clock += 8_000_000;
        assert_eq!(pace.look(clock), 1_050_000);
        assert_eq!((pace.doubt(), pace.stalls), (1, 1));
        clock += 25_000;
        assert_eq!(pace.look(clock), 1_062_500);
        assert_eq!(pace.clock_at(1_072_500), Some(clock + 20_000));
        assert_eq!(pace.clock_at(9_000_000), Some(clock + 50_000));
        for _ in 0..100 {
            clock += 25_000;
            pace.look(clock);
        }
        assert_eq!(pace.doubt(), 0);
    }

    #[test]
    fn a_clock_that_jumps_either_way_moves_it_by_a_step_at_most() {
        let mut pace = RateLimit::default();
        pace.look(5_000_000_000);
        assert_eq!(pace.look(8_600_000_000), 50_000);
        let before = pace.now();
        assert_eq!(pace.look(1_000_000_000), before);
        assert!(pace.look(1_000_025_000) > before);
        for n in 0..1000 {
            pace.accused();
            pace.look(1_000_050_000 + n);
        }
        assert_eq!(pace.doubt(), DOUBT_MOST);
    }
}
