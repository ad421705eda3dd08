//! The memory budget for request bodies that are kept, so that a query can be sent to another engine.
//!
//! A body that is kept in full may be sent again where the rules allow it. Any other is streamed to one engine as it
//! arrives, and never sent again. The first [`UNBUDGETED_BYTES`] of each body are always kept; what exceeds them is
//! reserved from a budget that all bodies share.

/// Bytes of each body that are held outside the budget. Usual statements are smaller, and with every descriptor that
/// clients may have at once they fit the smallest machine.
pub const UNBUDGETED_BYTES: usize = 32 * 1024;
/// Largest body that is kept in full.
pub const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Counters since the start of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyCounters {
    /// Bodies not kept in full since they were too large.
    pub too_large: u64,
    /// Bodies not kept in full since others had used up the budget.
    pub over_budget: u64,
    /// Most bytes of the budget ever reserved.
    pub peak_reserved_bytes: usize,
}

/// What one body has of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Bytes of the budget that are reserved for it.
    pub reserved_bytes: usize,
    /// Size up to which it is kept; beyond, it is streamed as it arrives.
    pub max_body_bytes: usize,
}

/// The budget that all bodies share.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    total_bytes: usize,
    max_buffered_bytes: usize,
    total_reserved_bytes: usize,
    counters: BodyCounters,
}

impl BodyBudget {
    /// A budget of `total_bytes` for what bodies hold beyond [`UNBUDGETED_BYTES`] each.
    pub fn new(total_bytes: usize) -> BodyBudget {
        BodyBudget {
            total_bytes,
            max_buffered_bytes: MAX_BUFFERED_BYTES.min(total_bytes / 2 + UNBUDGETED_BYTES),
            total_reserved_bytes: 0,
            counters: BodyCounters::default(),
        }
    }

    /// Grows the reservation of a body that has `reserved_bytes` to a size of `body_bytes`. Where there is no room the
    /// reservation stays as it is, and its bound on the body is below `body_bytes`.
    pub fn reserve(&mut self, reserved_bytes: usize, body_bytes: usize) -> Reservation {
        let wanted_bytes = body_bytes.saturating_sub(UNBUDGETED_BYTES);
        if wanted_bytes <= reserved_bytes {
            return Reservation {
                reserved_bytes,
                max_body_bytes: self.max_buffered_bytes,
            };
        }
        let unchanged = Reservation {
            reserved_bytes,
            max_body_bytes: UNBUDGETED_BYTES + reserved_bytes,
        };
        if body_bytes > self.max_buffered_bytes {
            self.counters.too_large += 1;
            return unchanged;
        }
        let total_reserved_bytes = self.total_reserved_bytes + wanted_bytes - reserved_bytes;
        if total_reserved_bytes > self.total_bytes {
            self.counters.over_budget += 1;
            return unchanged;
        }
        self.total_reserved_bytes = total_reserved_bytes;
        self.counters.peak_reserved_bytes =
            self.counters.peak_reserved_bytes.max(total_reserved_bytes);
        Reservation {
            reserved_bytes: wanted_bytes,
            max_body_bytes: self.max_buffered_bytes,
        }
    }

    /// Releases the reservation of a body.
    pub fn release(&mut self, reserved_bytes: usize) {
        debug_assert!(reserved_bytes <= self.total_reserved_bytes);
        self.total_reserved_bytes = self.total_reserved_bytes.saturating_sub(reserved_bytes);
    }

    /// Bytes reserved now.
    pub fn total_reserved_bytes(&self) -> usize {
        self.total_reserved_bytes
    }

    /// The counters so far.
    pub fn counters(&self) -> BodyCounters {
        self.counters
    }
}
