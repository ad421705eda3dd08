//! A member's local time, which drives its failure detector.
//!
//! After a process was stopped or starved, or its clock jumped, the datagrams of its peers are still unread in its socket. If
//! its timers followed the host's clock, every probe would be overdue and it would suspect all of its peers. Local time
//! therefore advances in small steps only, and more slowly for a while after a stall: a late process suspects itself first
//! (Lifeguard's local health). Probes of other members are answered at once, regardless of local time.

use crate::Micros;

/// The most that one update advances local time. Updates come every 25 ms; a later one means that the process was stalled.
const MAX_STEP: Micros = 100_000;
/// A gap between updates that is longer than this counts as a stall.
const STALL_TIME: Micros = 250_000;
/// Upper bound of the self-suspicion, which grows by one with each stall.
pub const MAX_SELF_SUSPICION: u32 = 7;
/// The self-suspicion shrinks by one after this long without a stall.
const RECOVERY_TIME: Micros = 2_000_000;

/// A member's local time and its self-suspicion.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalClock {
    /// The host's clock at the last update.
    host_clock: Option<Micros>,
    now: Micros,
    self_suspicion: u32,
    /// When the self-suspicion last changed, by the host's clock.
    changed_at: Micros,
    /// How often the process was stalled.
    pub stalls: u64,
}

impl LocalClock {
    /// Advances local time according to the host's clock, and returns it.
    pub fn update(&mut self, host_clock: Micros) -> Micros {
        let Some(last) = self.host_clock.replace(host_clock) else {
            self.changed_at = host_clock;
            return self.now;
        };
        // If the host's clock was set back, local time stands still until the next update.
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

    /// The factor by which local time is slower than the host's clock.
    fn slowdown(&self) -> Micros {
        u64::from(1 + self.self_suspicion)
    }

    /// The host's clock at which to update for local `time`. It is capped so that a late update always means a stall, and
    /// not merely that no timer was due. `None` before the first update.
    pub fn host_clock_at(&self, time: Micros) -> Option<Micros> {
        let after = time.saturating_sub(self.now) * self.slowdown();
        Some(self.host_clock? + after.min(MAX_STEP / 2))
    }

    /// Local time at the last update.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Records that other members declared this one down although it runs: it is slow or hard to reach. Counts as a stall.
    pub fn record_accusation(&mut self) {
        self.record_stall(self.host_clock.unwrap_or(0));
    }

    /// The self-suspicion, from 0 to [`MAX_SELF_SUSPICION`].
    pub fn self_suspicion(&self) -> u32 {
        self.self_suspicion
    }
}
