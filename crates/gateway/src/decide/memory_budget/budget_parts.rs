//! Parts of the memory limit.

use super::mark::Mark;
use super::memory_limit::MemoryLimit;

/// Divisor of the part for the process itself: its code and tables, the kernel's buffers of its sockets, and what the
/// allocator keeps of freed memory.
const PROCESS_DIVISOR: u64 = 3;
/// Least part for the process itself, in bytes.
const MIN_PROCESS_BYTES: u64 = 36 * 1_000_000;
/// The first mark in eighths of the budget: what is held beyond it is divided.
const FIRST_MARK_EIGHTHS: u64 = 4;
/// The last mark in eighths of the budget. The rest is for what can't be refused: events and responses that targets
/// have sent already.
const LAST_MARK_EIGHTHS: u64 = 6;
/// How far below a mark the held bytes must fall before it counts as left, in eighths of the budget, so that a
/// mark is not reported again and again.
const HYSTERESIS_EIGHTHS: u64 = 1;

/// The budget and its marks, in bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct BudgetParts {
    pub(super) budget: u64,
    pub(super) first_mark: u64,
    pub(super) last_mark: u64,
}

impl BudgetParts {
    pub(super) const fn of(limit: MemoryLimit) -> Self {
        let third = limit.bytes() / PROCESS_DIVISOR;
        let process = if third < MIN_PROCESS_BYTES {
            MIN_PROCESS_BYTES
        } else {
            third
        };
        Self::of_budget(limit.bytes() - process)
    }

    /// Returns the marks of a budget in bytes.
    pub(super) const fn of_budget(budget: u64) -> Self {
        Self {
            budget,
            first_mark: budget / 8 * FIRST_MARK_EIGHTHS,
            last_mark: budget / 8 * LAST_MARK_EIGHTHS,
        }
    }

    /// Returns the mark that `held` bytes reach, if `before` was the last one.
    pub(super) fn mark(&self, held: u64, before: Mark) -> Mark {
        let with_margin = held + self.budget / 8 * HYSTERESIS_EIGHTHS;
        self.reached(held)
            .max(self.reached(with_margin).min(before))
    }

    const fn reached(&self, held: u64) -> Mark {
        if held >= self.last_mark {
            Mark::Last
        } else if held > self.first_mark {
            Mark::First
        } else {
            Mark::Below
        }
    }
}
