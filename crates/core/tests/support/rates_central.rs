//! Reference model: one central bucket with one queue, which is easy to verify.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bluebellstage_core::RequestId;
use bluebellstage_core::rates::Limits;

/// Central token bucket. Times are in microseconds, the level in microtokens.
pub struct CentralBucket {
    limits: Limits,
    max_wait: Duration,
    level: u64,
    updated_at: u64,
    queue: VecDeque<(u64, RequestId, u64)>,
    pub admitted: BTreeSet<RequestId>,
}

impl CentralBucket {
    pub const fn new(limits: Limits, now: u64, max_wait: Duration) -> Self {
        Self {
            limits,
            max_wait,
            level: limits.burst.0 * 1_000_000,
            updated_at: now,
            queue: VecDeque::new(),
            admitted: BTreeSet::new(),
        }
    }

    pub fn request(&mut self, now: u64, request: RequestId, charge: u64) {
        self.queue.push_back((now, request, charge * 1_000_000));
        self.run(now);
    }

    /// Admits requests in order as far as tokens are available, and drops those that waited too
    /// long.
    pub fn run(&mut self, now: u64) {
        let accrued = (now - self.updated_at) * self.limits.rate.0;
        self.updated_at = now;
        self.level = (self.level + accrued).min(self.limits.burst.0 * 1_000_000);
        while let Some((arrived_at, request, charge)) = self.queue.front().copied() {
            if charge <= self.level {
                self.level -= charge;
                self.admitted.insert(request);
            } else if Duration::from_micros(now - arrived_at) < self.max_wait {
                return;
            }
            self.queue.pop_front();
        }
    }
}
