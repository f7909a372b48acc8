//! Limits how often requests are retried, over all instances together.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::{ServiceId, Time};
use serde::{Deserialize, Serialize};

/// Retry budget, as set by the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct RetryBudget {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed in one window in addition to the ratio, over all instances.
    pub slack: f64,
}

/// Fraction of the budget that is used. The rest covers retries that fall into different windows here and at
/// the target.
const USED_FRACTION: f64 = 0.7;

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// Counts of requests and retries for each service.
#[derive(Debug, Default)]
pub struct RetryCounts {
    services: HashMap<ServiceId, Counts>,
}

fn remove_expired(times: &mut VecDeque<Time>, window: Duration, now: Time) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of one window are small")]
fn to_f64(count: usize) -> f64 {
    count as f64
}

impl RetryCounts {
    /// Records a caller's request.
    pub fn record_request(&mut self, service: &ServiceId, now: Time) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
    }

    /// Forgets the last request that was recorded: another instance sends it to targets and records it.
    pub fn forget_request(&mut self, service: &ServiceId) {
        if let Some(counts) = self.services.get_mut(service) {
            counts.requests.pop_back();
        }
    }

    /// Takes one retry out of the budget; returns false if the budget is used up. The slack is divided by the
    /// number of `instances` that share it.
    pub fn take_retry(
        &mut self,
        service: &ServiceId,
        budget: RetryBudget,
        instances: usize,
        now: Time,
    ) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        remove_expired(&mut counts.requests, budget.window, now);
        remove_expired(&mut counts.retries, budget.window, now);
        let slack = budget.slack / to_f64(instances.max(1));
        let allowed = (budget.ratio * to_f64(counts.requests.len()) + slack) * USED_FRACTION;
        if to_f64(counts.retries.len()) + 1.0 > allowed {
            return false;
        }
        counts.retries.push_back(now);
        true
    }

    /// Removes counts that are older than the window; called periodically to bound memory use.
    pub fn prune(&mut self, window: Duration, now: Time) {
        for counts in self.services.values_mut() {
            remove_expired(&mut counts.requests, window, now);
            remove_expired(&mut counts.retries, window, now);
        }
    }
}
