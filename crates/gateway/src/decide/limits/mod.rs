//! Rate limits that targets report in their responses; each applies to all instances together.

mod report;
mod request_rate;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bluebellstage_core::{Rate, TargetId, Time, Tokens};

pub use self::report::LimitReport;
pub use self::request_rate::{BadRequestRate, RequestRate};
use super::config::{Quota, QuotaUnit};

/// Quota units per request: rates are counted in thousandths of a request.
pub const UNITS_PER_REQUEST: u64 = 1_000;
/// Minimum rate at which a target receives requests, in thousandths of a request per second. A target that
/// takes nothing is still probed occasionally to find out whether its limit was lifted.
const MIN_RATE: u64 = 250;
/// Minimum burst for an idle target, in thousandths of a request.
const MIN_BURST: u64 = 2 * UNITS_PER_REQUEST;
/// Time in which the rate fills the burst of a target with a high limit.
const BURST_WINDOW: Duration = Duration::from_millis(500);
/// Time since the last report of a limit after which its target is preferred up to the limit, as the limit
/// may have been lifted.
const PROBE_DELAY: Duration = Duration::from_secs(1);
/// Number of rounds in which a report is sent.
const SEND_ROUNDS: u32 = 2;

/// What a target's response reports about its limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportedLimit {
    /// The target has no limit.
    #[default]
    Unlimited,
    /// The target takes at most this many requests per second.
    Limit(RequestRate),
    /// The header is not a valid rate.
    Malformed,
}

/// How a report changed the known limit of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The limit is unchanged.
    Unchanged,
    /// The target reports a new or different limit.
    Limited(RequestRate),
    /// The target no longer reports a limit.
    Lifted,
}

/// The latest report on a target.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    /// `None` if the limit was lifted.
    limit: Option<RequestRate>,
    /// When the report was received.
    reported_at: Time,
}

/// Limits by target.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<TargetId, KnownLimit>,
    /// Targets whose limits are to be sent to all instances, with the rounds that remain.
    local_rounds: BTreeMap<TargetId, u32>,
    /// Targets whose limits, received from other instances, are to be sent to this instance's subscribers
    /// only. Relays that sent them to each other would take them for new each time.
    relay_rounds: BTreeMap<TargetId, u32>,
}

/// Returns the targets that are due and decrements the remaining rounds of each.
fn take_due(rounds: &mut BTreeMap<TargetId, u32>) -> Vec<TargetId> {
    let due = rounds.keys().cloned().collect();
    for rounds_left in rounds.values_mut() {
        *rounds_left -= 1;
    }
    rounds.retain(|_, rounds_left| *rounds_left > 0);
    due
}

/// Returns the quota that a limit allows all instances together.
#[must_use]
pub fn budget(rate: RequestRate) -> Quota {
    let milli = u64::from(rate.milli()).max(MIN_RATE);
    let in_window =
        milli * u64::try_from(BURST_WINDOW.as_millis()).unwrap_or(0) / UNITS_PER_REQUEST;
    Quota {
        unit: QuotaUnit::Requests,
        rate: Rate(milli),
        burst: Tokens(in_window.max(MIN_BURST)),
    }
}

impl Limits {
    /// Processes the limit in a response to a request that was sent at `sent_at`. A response to a request
    /// sent before the last report on the target does not lift its limit: the request was in flight when the
    /// limit was reported.
    pub fn record_response(
        &mut self,
        target: &TargetId,
        reported: ReportedLimit,
        sent_at: Time,
        now: Time,
    ) -> Change {
        let known = self.known.get(target).copied();
        let limit = known.and_then(|known| known.limit);
        match (reported, limit) {
            (ReportedLimit::Malformed, _) | (ReportedLimit::Unlimited, None) => Change::Unchanged,
            (ReportedLimit::Unlimited, Some(_)) => {
                if known.is_some_and(|known| sent_at < known.reported_at) {
                    return Change::Unchanged;
                }
                self.set(target, None, now);
                Change::Lifted
            }
            (ReportedLimit::Limit(rate), before) => {
                self.set(target, Some(rate), now);
                if before == Some(rate) {
                    Change::Unchanged
                } else {
                    Change::Limited(rate)
                }
            }
        }
    }

    fn set(&mut self, target: &TargetId, limit: Option<RequestRate>, reported_at: Time) {
        self.known
            .insert(target.clone(), KnownLimit { limit, reported_at });
        self.local_rounds.insert(target.clone(), SEND_ROUNDS);
    }

    /// Applies a report of another instance. Returns the change, or `None` if a newer report is known.
    pub fn apply(&mut self, report: &LimitReport, now: Time) -> Option<Change> {
        let reported_at = now - report.age();
        let known = self.known.get(&report.target).copied();
        if known.is_some_and(|known| known.reported_at >= reported_at) {
            return None;
        }
        let before = known.and_then(|known| known.limit);
        let limit = report.limit;
        self.known
            .insert(report.target.clone(), KnownLimit { limit, reported_at });
        Some(match (before, limit) {
            (before, after) if before == after => Change::Unchanged,
            (_, Some(rate)) => Change::Limited(rate),
            (_, None) => Change::Lifted,
        })
    }

    /// Queues limits received from another instance to be sent to subscribers.
    pub fn queue_relay(&mut self, targets: Vec<TargetId>) {
        let targets = targets.into_iter().map(|target| (target, SEND_ROUNDS));
        self.relay_rounds.extend(targets);
    }

    /// Returns this instance's own reports for all other instances in this round.
    pub fn reports_for_round(&mut self, now: Time) -> Vec<LimitReport> {
        let due = take_due(&mut self.local_rounds);
        self.reports(due, now)
    }

    /// Returns reports of other instances for this instance's subscribers in this round.
    pub fn relayed_reports_for_round(&mut self, now: Time) -> Vec<LimitReport> {
        let due = take_due(&mut self.relay_rounds);
        self.reports(due, now)
    }

    fn reports(&self, targets: Vec<TargetId>, now: Time) -> Vec<LimitReport> {
        let reports = targets.into_iter().filter_map(|target| {
            let known = self.known.get(&target)?;
            let age = now.since(known.reported_at).as_millis();
            Some(LimitReport {
                target,
                limit: known.limit,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            })
        });
        reports.collect()
    }

    /// Returns whether no target has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.values().all(|known| known.limit.is_none())
    }

    /// Returns whether the last report of a target's limit is so old that the limit may have been lifted.
    #[must_use]
    pub fn may_be_lifted(&self, target: &TargetId, now: Time) -> bool {
        let known = self.known.get(target);
        known.is_some_and(|known| now.since(known.reported_at) >= PROBE_DELAY)
    }

    /// Returns the limit of a target.
    #[must_use]
    pub fn get(&self, target: &TargetId) -> Option<RequestRate> {
        self.known.get(target)?.limit
    }

    /// Returns the targets that have a limit.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetId, RequestRate)> {
        let known = self.known.iter();
        known.filter_map(|(target, known)| Some((target, known.limit?)))
    }

    /// Removes the targets for which `is_gone` returns true; returns those that had a limit.
    pub fn remove_gone(&mut self, is_gone: impl Fn(&TargetId) -> bool) -> Vec<TargetId> {
        let limited = self.iter().map(|(target, _)| target);
        let limited = limited.filter(|target| is_gone(target)).cloned();
        let limited = limited.collect();
        self.known.retain(|target, _| !is_gone(target));
        limited
    }
}
