//! The process's memory, counted by its allocator, and the budget for it.
//!
//! The count covers all that peers can make the process hold, whichever buffer or table holds it.

use cap::Cap;
use std::alloc::System;

/// Counts allocated bytes; it never refuses an allocation.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Percentage of the memory limit that the process may allocate. The rest is for the allocator's overhead, the program itself and
/// the start of a successor.
const PERCENT_ALONE: usize = 40;
/// The percentage while another process of this coordinator runs, as both count against one limit.
const PERCENT_WHILE_SHARED: usize = 20;

/// How much memory the process may allocate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    limit_bytes: usize,
}

impl MemoryBudget {
    /// The budget under the limit of the settings, which holds for all processes of the coordinator together.
    pub fn new(limit_bytes: usize) -> MemoryBudget {
        MemoryBudget { limit_bytes }
    }

    /// The bytes that this process may allocate. `is_shared`: another process of this coordinator is running.
    fn budget_bytes(&self, is_shared: bool) -> usize {
        let percent = if is_shared {
            PERCENT_WHILE_SHARED
        } else {
            PERCENT_ALONE
        };
        self.limit_bytes / 100 * percent
    }

    /// Whether the process has allocated more than its budget.
    pub fn is_exceeded(&self, is_shared: bool) -> bool {
        allocated_bytes() > self.budget_bytes(is_shared)
    }
}

/// The bytes that the process has allocated now.
fn allocated_bytes() -> usize {
    ALLOCATOR.allocated()
}
