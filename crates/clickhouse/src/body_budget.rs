//! How much of a request's body is kept, so that it may be sent again: one budget for all of them.
//!
//! A body that is kept whole may go to another engine where the rules allow it. One that is not is streamed as it comes, once, and
//! never again. Small bodies always find room; larger ones share what the budget holds.

/// Bytes of each body that are held outside the budget: usual statements are smaller, and with every descriptor that clients may
/// have at once they fit the smallest machine.
pub const UNBUDGETED_BYTES: usize = 32 * 1024;
/// Bytes of one body that are kept at most.
pub const MAX_KEPT_BYTES: usize = 1024 * 1024;

/// Counts, for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bodies that were not kept whole: too large for one.
    pub too_large: u64,
    /// Bodies that were not kept whole since the budget was used up by others.
    pub no_room: u64,
    /// Most bytes ever held.
    pub max_held: usize,
}

/// What one body holds of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Bytes of the budget that it holds.
    pub reserved_bytes: usize,
    /// How long it may become before it has to be streamed as it comes.
    pub max_body_bytes: usize,
}

/// The budget.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    total: usize,
    max_kept: usize,
    held: usize,
    counts: Counts,
}

impl BodyBudget {
    /// A budget of so many bytes for what bodies hold beyond [`UNBUDGETED_BYTES`].
    pub fn new(total: usize) -> BodyBudget {
        BodyBudget {
            total,
            max_kept: MAX_KEPT_BYTES.min(total / 2 + UNBUDGETED_BYTES),
            held: 0,
            counts: Counts::default(),
        }
    }

    /// A body that holds `reserved` bytes of the budget grows to `size`: what it holds then.
    pub fn reserve(&mut self, reserved: usize, size: usize) -> Reservation {
        let wanted = size.saturating_sub(UNBUDGETED_BYTES);
        if wanted <= reserved {
            return Reservation {
                reserved_bytes: reserved,
                max_body_bytes: self.max_kept,
            };
        }
        let full = Reservation {
            reserved_bytes: reserved,
            max_body_bytes: UNBUDGETED_BYTES + reserved,
        };
        if size > self.max_kept {
            self.counts.too_large += 1;
            return full;
        }
        if self.held + wanted - reserved > self.total {
            self.counts.no_room += 1;
            return full;
        }
        self.held += wanted - reserved;
        self.counts.max_held = self.counts.max_held.max(self.held);
        Reservation {
            reserved_bytes: wanted,
            max_body_bytes: self.max_kept,
        }
    }

    /// What a body held is released.
    pub fn release(&mut self, reserved: usize) {
        debug_assert!(reserved <= self.held);
        self.held = self.held.saturating_sub(reserved);
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.held
    }

    /// The counts so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }
}
