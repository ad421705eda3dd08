//! The memory budget for buffered request bodies. A buffered body allows a query to be retried on another engine.
//!
//! A body that is buffered in full may be sent again if the retry rules allow it. Any other body is streamed to one
//! engine as it arrives and can't be sent again. The first [`UNBUDGETED_BYTES`] of each body are always buffered; bytes
//! beyond that are reserved from a budget shared by all bodies.

/// Bytes of each body that don't count against the budget. Typical statements are smaller, and with the maximum number
/// of client connections these bytes fit the memory of the smallest machine.
pub const UNBUDGETED_BYTES: usize = 32 * 1024;
/// Maximum size of a body that is buffered in full.
pub const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Counters since the start of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyCounters {
    /// Bodies not buffered in full because of their size.
    pub too_large: u64,
    /// Bodies not buffered in full because the budget was exhausted.
    pub over_budget: u64,
    /// Highest number of bytes reserved at one time.
    pub peak_reserved_bytes: usize,
}

/// One body's share of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Bytes of the budget reserved for the body.
    pub reserved_bytes: usize,
    /// Size up to which the body is buffered; beyond it, the body is streamed as it arrives.
    pub max_body_bytes: usize,
}

/// The budget shared by all bodies.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    total_bytes: usize,
    max_buffered_bytes: usize,
    total_reserved_bytes: usize,
    counters: BodyCounters,
}

impl BodyBudget {
    /// Creates a budget of `total_bytes` for what bodies buffer beyond [`UNBUDGETED_BYTES`] each.
    pub fn new(total_bytes: usize) -> BodyBudget {
        BodyBudget {
            total_bytes,
            max_buffered_bytes: MAX_BUFFERED_BYTES.min(total_bytes / 2 + UNBUDGETED_BYTES),
            total_reserved_bytes: 0,
            counters: BodyCounters::default(),
        }
    }

    /// Grows a reservation of `reserved_bytes` to fit a body of `body_bytes`. If the budget does not allow that, the
    /// reservation is returned unchanged, with a `max_body_bytes` below `body_bytes`.
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

    /// Releases a body's reservation.
    pub fn release(&mut self, reserved_bytes: usize) {
        debug_assert!(reserved_bytes <= self.total_reserved_bytes);
        self.total_reserved_bytes = self.total_reserved_bytes.saturating_sub(reserved_bytes);
    }

    /// Number of bytes reserved now.
    pub fn total_reserved_bytes(&self) -> usize {
        self.total_reserved_bytes
    }

    /// The current counters.
    pub fn counters(&self) -> BodyCounters {
        self.counters
    }
}
