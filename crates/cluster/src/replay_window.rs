//! Replay protection: each datagram of a session is accepted once.

/// Datagrams of one session may be reordered by up to this many.
pub const REPLAY_WINDOW: u64 = 128;

/// The datagram counts of one session that were accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    /// Bit n: `highest - n` was accepted.
    accepted: u128,
}

impl ReplayWindow {
    /// Accepts a count once; false if it was accepted before, or is older than the window.
    pub fn accept(&mut self, count: u64) -> bool {
        if count > self.highest {
            let ahead = count - self.highest;
            let shifted = match ahead >= REPLAY_WINDOW {
                true => 0,
                false => self.accepted << ahead,
            };
            self.highest = count;
            self.accepted = shifted | 1;
            return true;
        }
        let behind = self.highest - count;
        if behind >= REPLAY_WINDOW || self.accepted >> behind & 1 == 1 {
            return false;
        }
        self.accepted |= 1 << behind;
        true
    }

    /// The highest accepted count.
    pub fn highest(&self) -> u64 {
        self.highest
    }
}
