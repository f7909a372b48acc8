//! One central bucket with one queue: obviously right, and what the fleet is compared with.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bluebellstage_core::RequestId;
use bluebellstage_core::rates::Limits;

/// The bucket; times in microseconds, level in microtokens.
pub struct Central {
    limits: Limits,
    patience: Duration,
    level: u64,
    at: u64,
    queue: VecDeque<(u64, RequestId, u64)>,
    pub admitted: BTreeSet<RequestId>,
}

impl Central {
    pub const fn new(limits: Limits, now: u64, patience: Duration) -> Self {
        Self {
            limits,
            patience,
            level: limits.burst.0 * 1_000_000,
            at: now,
            queue: VecDeque::new(),
            admitted: BTreeSet::new(),
        }
    }

    pub fn request(&mut self, now: u64, request: RequestId, charge: u64) {
        self.queue.push_back((now, request, charge * 1_000_000));
        self.run(now);
    }

    /// Admits in order what fits, and gives up who waited too long.
    pub fn run(&mut self, now: u64) {
        let accrued = (now - self.at) * self.limits.rate.0;
        self.at = now;
        self.level = (self.level + accrued).min(self.limits.burst.0 * 1_000_000);
        while let Some((since, request, charge)) = self.queue.front().copied() {
            if charge <= self.level {
                self.level -= charge;
                self.admitted.insert(request);
            } else if Duration::from_micros(now - since) < self.patience {
                return;
            }
            self.queue.pop_front();
        }
    }
}
