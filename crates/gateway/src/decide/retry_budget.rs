//! Limits how often requests are sent again, over all instances together.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::{ServiceId, Time};
use serde::{Deserialize, Serialize};

/// The budget as the deployment sets it.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct RetryBudget {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Repeats allowed beside the ratio in one window, over all instances.
    pub slack: f64,
}

/// Part of the budget that is used; the rest covers repeats that are counted in another window at
/// the target than here.
const USED_PART: f64 = 0.7;

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

/// Counts of requests and repeats for each service.
#[derive(Debug, Default)]
pub struct RetryCounts {
    services: HashMap<ServiceId, Counts>,
}

fn forget(times: &mut VecDeque<Time>, window: Duration, now: Time) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of one window are small")]
fn number(count: usize) -> f64 {
    count as f64
}

impl RetryCounts {
    /// Counts a caller's request.
    pub fn request(&mut self, service: &ServiceId, now: Time) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
    }

    /// Takes one repeat out of the budget; false if there is none left. The slack is divided by
    /// the `instances` that share it.
    pub fn take(
        &mut self,
        service: &ServiceId,
        budget: RetryBudget,
        instances: usize,
        now: Time,
    ) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        forget(&mut counts.requests, budget.window, now);
        forget(&mut counts.repeats, budget.window, now);
        let slack = budget.slack / number(instances.max(1));
        let allowed = (budget.ratio * number(counts.requests.len()) + slack) * USED_PART;
        if number(counts.repeats.len()) + 1.0 > allowed {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }

    /// Drops counts that have left the window; called now and then so that memory stays small.
    pub fn prune(&mut self, window: Duration, now: Time) {
        for counts in self.services.values_mut() {
            forget(&mut counts.requests, window, now);
            forget(&mut counts.repeats, window, now);
        }
    }
}
