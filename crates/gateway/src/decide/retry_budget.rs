//! Limits how often requests are retried, over all instances together.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::{ServiceId, Time};
use serde::{Deserialize, Serialize};

use super::dump::RetryDump;

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

/// Why a request is sent once more.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryCause {
    /// The target did not run it.
    #[default]
    NotRun,
    /// The attempt failed.
    Failed,
    /// Nothing is heard of the attempt.
    Silent,
    /// A kept connection ended when the request was in transit.
    Ended,
    /// The peer that it was forwarded to did not serve it.
    Peer,
    /// Its stream goes on elsewhere.
    Resumed,
}

impl RetryCause {
    /// Short name for metrics and the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Silent => "silent",
            Self::Ended => "ended",
            Self::Peer => "peer",
            Self::Resumed => "resumed",
        }
    }
}

/// Fraction of the budget that a process uses. The rest is for the process that follows it, and for retries that
/// fall into different windows here and at the target.
const USED_FRACTION: f64 = 0.7;
/// The same for a process that is younger than the window and follows another one, which may have used its fraction
/// just before it ended.
const NEW_PROCESS_USED_FRACTION: f64 = 0.25;

/// What an instance's part of the budget depends on.
#[derive(Clone, Copy, Debug)]
pub struct RetryShare {
    /// Number of instances that share the slack.
    pub instances: usize,
    /// Time for which the process has earned its part: since its start, or the whole window if no other process ran
    /// before it.
    pub earned_for: Duration,
}

impl RetryShare {
    /// Returns how many retries may be sent in a window in which the instance received so many requests.
    ///
    /// A new process earns its part of the slack over the window, so that processes which are killed one after the other
    /// earn no more than one that keeps running.
    fn allowed(self, budget: RetryBudget, requests: usize) -> f64 {
        let slack = budget.slack / to_f64(self.instances.max(1));
        let earned = self.earned_for.as_secs_f64() / budget.window.as_secs_f64();
        let used = if earned < 1.0 {
            NEW_PROCESS_USED_FRACTION
        } else {
            USED_FRACTION
        };
        (budget.ratio * to_f64(requests) + slack * earned.min(1.0)) * used
    }
}

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

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "what is left of a budget is a small number"
)]
fn to_u32(left: f64) -> u32 {
    left.max(0.0) as u32
}

fn count_recent(times: &VecDeque<Time>, window: Duration, now: Time) -> usize {
    let recent = times.iter().filter(|at| now.since(**at) <= window);
    recent.count()
}

impl RetryCounts {
    /// Records a caller's request.
    pub fn record_request(&mut self, service: &ServiceId, now: Time) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
    }

    /// Forgets a request that was recorded at `recorded_at`: the peer that it is forwarded to records it.
    pub fn forget_request(&mut self, service: &ServiceId, recorded_at: Time) {
        let Some(counts) = self.services.get_mut(service) else {
            return;
        };
        let idx = counts.requests.iter().rposition(|at| *at == recorded_at);
        idx.and_then(|idx| counts.requests.remove(idx));
    }

    /// Takes one retry out of the budget; returns false if the instance's share is used up.
    pub fn take_retry(
        &mut self,
        service: &ServiceId,
        budget: RetryBudget,
        share: RetryShare,
        now: Time,
    ) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        remove_expired(&mut counts.requests, budget.window, now);
        remove_expired(&mut counts.retries, budget.window, now);
        let allowed = share.allowed(budget, counts.requests.len());
        if to_f64(counts.retries.len()) + 1.0 > allowed {
            return false;
        }
        counts.retries.push_back(now);
        true
    }

    /// Returns the counts of each service within the window: requests, retries, and retries that are left.
    pub fn dump(
        &self,
        budget: RetryBudget,
        share: RetryShare,
        now: Time,
    ) -> impl Iterator<Item = RetryDump> {
        self.services.iter().map(move |(service, counts)| {
            let [requests, retries] = [&counts.requests, &counts.retries]
                .map(|times| count_recent(times, budget.window, now));
            let left = share.allowed(budget, requests) - to_f64(retries);
            RetryDump {
                service: service.clone(),
                requests,
                retries,
                left: to_u32(left),
            }
        })
    }

    /// Removes counts that are older than the window; called periodically to bound memory use.
    pub fn prune(&mut self, window: Duration, now: Time) {
        for counts in self.services.values_mut() {
            remove_expired(&mut counts.requests, window, now);
            remove_expired(&mut counts.retries, window, now);
        }
    }
}
