//! How much of a request's body is kept, so that it may be sent again: a budget for all of them together.
//!
//! A body that is kept whole may go to another engine where the rules allow it. One that is not is passed on as it
//! comes, once, and never again. Small bodies always find room; larger ones share what the budget holds.

/// Counts, for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bodies that were not kept whole: too large for one.
    pub too_large: u64,
    /// Bodies that were not kept whole since the budget was used up by others.
    pub no_room: u64,
    /// Most bytes ever held.
    pub most_held: usize,
}

/// The budget.
#[derive(Clone, Debug)]
pub struct Keep {
    total: usize,
    item: usize,
    held: usize,
    counts: Counts,
}

/// Bytes of each body that are held outside the budget: usual statements are smaller, and with every descriptor that
/// clients may have at once they fit the smallest machine.
pub const SMALL: usize = 32 * 1024;
/// Bytes of one body that are kept at most.
pub const ITEM: usize = 1024 * 1024;

impl Keep {
    /// A budget of so many bytes for what bodies hold beyond [`SMALL`].
    pub fn new(total: usize) -> Keep {
        Keep {
            total,
            item: ITEM.min(total / 2 + SMALL),
            held: 0,
            counts: Counts::default(),
        }
    }

    /// A body that holds `reserved` bytes of the budget grows to `size`: how much it holds then, and how long it may
    /// become before it has to be passed on as it comes.
    pub fn grow(&mut self, reserved: usize, size: usize) -> (usize, usize) {
        let wanted = size.saturating_sub(SMALL);
        if wanted <= reserved {
            return (reserved, self.item);
        }
        if size > self.item {
            self.counts.too_large += 1;
            return (reserved, SMALL + reserved);
        }
        if self.held + wanted - reserved > self.total {
            self.counts.no_room += 1;
            return (reserved, SMALL + reserved);
        }
        self.held += wanted - reserved;
        self.counts.most_held = self.counts.most_held.max(self.held);
        (wanted, self.item)
    }

    /// What a body held is let go.
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn small_bodies_always_find_room_and_large_ones_share_the_budget() {
        let mut keep = Keep::new(3 * ITEM);
        let mut held = Vec::new();
        // Each grows by 64 KB until it must be passed on.
        let mut most = ITEM;
        for _ in 0..10 {
            let (mut reserved, mut size) = (0, 0);
            while size < ITEM {
                size += 64 * 1024;
                (reserved, most) = keep.grow(reserved, size);
                if size > most {
                    break;
                }
            }
            held.push(reserved);
        }
        assert!(keep.held() <= 3 * ITEM && keep.held() > 2 * ITEM && most < ITEM);
        assert_eq!(keep.grow(0, SMALL), (0, ITEM));
        assert!(keep.counts().no_room > 0);
        held.into_iter().for_each(|r| keep.release(r));
        assert_eq!(keep.held(), 0);
    }

    #[test]
    fn a_body_over_the_bound_for_one_is_passed_on_with_what_it_holds() {
        let mut keep = Keep::new(64 * ITEM);
        let (reserved, most) = keep.grow(0, ITEM);
        assert_eq!((reserved, most), (ITEM - SMALL, ITEM));
        assert_eq!(keep.grow(reserved, ITEM + 1), (reserved, ITEM));
        assert_eq!(keep.counts().too_large, 1);
    }
}
