//! A member's own time, by which it suspects others.
//!
//! A process that was stopped, starved or whose clock jumped knows nothing of what others said meanwhile: their datagrams lie
//! unread in its socket. Were its timers to run by the clock it would wake, find every probe overdue and accuse all that
//! it knows. So this time goes on by small steps only, and slower still for a while after a stall: who is late suspects
//! itself first (Lifeguard's local health). Answers to others' probes are sent at once, whatever this says.

use crate::Micros;

/// One look moves the time on by this at most. Looks come each 25 ms; later ones mean that the process was held up.
const MAX_STEP: Micros = 100_000;
/// A process that was held up for longer than this suspects itself.
const STALL_TIME: Micros = 250_000;
/// The self-suspicion grows by one with each stall, up to so much.
pub const MAX_SELF_SUSPICION: u32 = 7;
/// It shrinks by one in so long without a stall.
const RECOVERY_TIME: Micros = 2_000_000;

/// A member's own time, and how far it can be trusted.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalClock {
    /// What the host's clock showed last.
    host_clock: Option<Micros>,
    now: Micros,
    self_suspicion: u32,
    /// When the self-suspicion changed last, by the host's clock.
    changed_at: Micros,
    /// How often the process was held up.
    pub stalls: u64,
}

impl LocalClock {
    /// Takes what the host's clock shows; the member's time.
    pub fn update(&mut self, host_clock: Micros) -> Micros {
        let Some(last) = self.host_clock.replace(host_clock) else {
            self.changed_at = host_clock;
            return self.now;
        };
        // A clock that was set back stands still until the next look.
        let passed = host_clock.saturating_sub(last);
        if passed > STALL_TIME || host_clock < last {
            self.record_stall(host_clock);
        }
        self.changed_at = self.changed_at.min(host_clock);
        if self.self_suspicion > 0 && host_clock > self.changed_at + RECOVERY_TIME {
            self.self_suspicion -= 1;
            self.changed_at = host_clock;
        }
        self.now += passed.min(MAX_STEP) / self.slowdown();
        self.now
    }

    fn record_stall(&mut self, host_clock: Micros) {
        self.stalls += 1;
        self.self_suspicion = (self.self_suspicion + 1).min(MAX_SELF_SUSPICION);
        self.changed_at = host_clock;
    }

    /// How many times slower than the host's clock this time goes.
    fn slowdown(&self) -> Micros {
        u64::from(1 + self.self_suspicion)
    }

    /// What the host's clock shows when this time comes, but soon enough that a look which comes late shows that the process
    /// was held up, not that nobody wanted to look. `None` before the first look.
    pub fn host_clock_at(&self, time: Micros) -> Option<Micros> {
        let after = time.saturating_sub(self.now) * self.slowdown();
        Some(self.host_clock? + after.min(MAX_STEP / 2))
    }

    /// The member's time at the last look.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Others said that this member was gone while it was there: it is slow, or hard to reach.
    pub fn record_accusation(&mut self) {
        self.record_stall(self.host_clock.unwrap_or(0));
    }

    /// How far this process suspects itself, from 0: see [`MAX_SELF_SUSPICION`].
    pub fn self_suspicion(&self) -> u32 {
        self.self_suspicion
    }
}
