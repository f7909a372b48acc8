//! Paths to targets, as connections that this instance opens and answers on any connection show them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use super::health::MAX_SILENCE;
use super::rendezvous::weight;

/// Age from which a failed connection no longer shows that the path is lost.
const FAILURE_TTL: Duration = Duration::from_secs(2);
/// Age from which a result no longer counts when it is decided whether paths are back.
const RESULT_TTL: Duration = Duration::from_secs(1);
/// Age up to which an answer shows that a path works now. Answers are recorded at [`ANSWER_INTERVAL`].
const RECENT_ANSWER: Duration = Duration::from_millis(200);
/// Interval at which the events of a stream are recorded as answers.
pub const ANSWER_INTERVAL: Duration = Duration::from_millis(100);
/// One in this number of targets, of a service that has many, must be probed in vain before their paths count as
/// lost.
const TARGETS_PER_PROBE: usize = 8;
/// Minimum number of such probes.
const MIN_PROBES: usize = 6;
/// Maximum number of such probes: so many targets fail by chance only if nearly all are down.
const MAX_PROBES: usize = 16;
/// Number of targets that must be reached, of a service that has more, before paths count as back.
const MIN_REACHED: usize = 2;

/// Result of opening a connection to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectOutcome {
    /// It was opened.
    Opened,
    /// It was refused.
    Refused,
    /// There was no response in time.
    TimedOut,
}

/// The latest results of opening connections to a target.
#[derive(Clone, Copy, Debug, Default)]
struct Path {
    opened_at: Option<Time>,
    /// When an answer or an event last arrived, on any connection.
    answered_at: Option<Time>,
    failed_at: Option<Time>,
    /// When the first connection failed after the last one that was opened.
    failing_since: Option<Time>,
    /// Whether the last connection was refused.
    is_refusing: bool,
}

impl Path {
    /// Whether connections have failed in a way that a sound target's do not: they were refused, or there was no
    /// response for longer than a sound target may be silent.
    fn is_down(&self, now: Time) -> bool {
        let silent_since = self.failing_since.max(self.reached_at());
        let silence = silent_since.filter(|_| !self.is_reached());
        let silence = silence.map(|since| now.since(since));
        silence.is_some_and(|silence| self.is_refusing || silence >= MAX_SILENCE)
    }

    /// When the target was last reached. An answer of a target that refuses new connections does not count: it
    /// says nothing of other targets.
    fn reached_at(&self) -> Option<Time> {
        let refuses = self.failing_since.is_some() && self.is_refusing;
        let answered_at = self.answered_at.filter(|_| !refuses);
        self.opened_at.max(answered_at)
    }

    fn tested_at(&self) -> Option<Time> {
        self.reached_at().max(self.failed_at)
    }

    fn is_reached(&self) -> bool {
        self.failing_since.is_none() || self.reached_at() > self.failed_at
    }
}

/// Returns the number of targets, of a service that has `targets`, that must be probed in vain before their paths
/// count as lost.
#[must_use]
pub fn probes_required(targets: usize) -> usize {
    (targets / TARGETS_PER_PROBE).clamp(MIN_PROBES, MAX_PROBES)
}

/// Paths of this instance to targets.
#[derive(Debug, Default)]
pub struct Paths {
    by_target: HashMap<TargetId, Path>,
}

impl Paths {
    /// Records the result of opening a connection.
    pub fn record(&mut self, target: &TargetId, outcome: ConnectOutcome, now: Time) {
        let path = self.by_target.entry(target.clone()).or_default();
        match outcome {
            ConnectOutcome::Opened => {
                path.opened_at = Some(now);
                path.failing_since = None;
            }
            ConnectOutcome::Refused | ConnectOutcome::TimedOut => {
                path.is_refusing = outcome == ConnectOutcome::Refused;
                path.failed_at = Some(now);
                path.failing_since.get_or_insert(now);
            }
        }
    }

    /// Records that an answer or an event arrived from a target, on any connection.
    pub fn record_answer(&mut self, target: &TargetId, now: Time) {
        let path = self.by_target.entry(target.clone()).or_default();
        path.answered_at = Some(now);
    }

    fn of<'a>(&'a self, targets: &'a [TargetId]) -> impl Iterator<Item = (&'a TargetId, &'a Path)> {
        let known = targets.iter();
        known.filter_map(|target| Some((target, self.by_target.get(target)?)))
    }

    /// Returns when one of these targets was last reached.
    #[must_use]
    pub fn last_reached(&self, targets: &[TargetId]) -> Option<Time> {
        let reached = self.of(targets).filter_map(|(_, path)| path.reached_at());
        reached.max()
    }

    /// Whether one of these targets was reached after `since`, or just before it.
    #[must_use]
    pub fn are_reached_since(&self, targets: &[TargetId], since: Time, now: Time) -> bool {
        let max_age = now.since(since).max(RECENT_ANSWER);
        let last_reached = self.last_reached(targets);
        last_reached.is_some_and(|at| now.since(at) <= max_age)
    }

    /// Those of these targets whose connections failed lately and after the last one was reached.
    fn failed_last<'a>(
        &'a self,
        targets: &'a [TargetId],
        now: Time,
    ) -> BTreeMap<&'a TargetId, &'a Path> {
        let last_reached = self.last_reached(targets);
        let failed = self.of(targets).filter(|(_, path)| {
            let is_recent = |at: Time| now.since(at) < FAILURE_TTL && last_reached < Some(at);
            path.failed_at.is_some_and(is_recent)
        });
        failed.collect()
    }

    /// Returns when connections to the first of these targets began to fail, if the paths to all of them look
    /// lost: none was reached after connections to all of them failed, or to as many of those that were `probed`
    /// as their number calls for.
    #[must_use]
    pub fn lost_since(&self, targets: &[TargetId], probed: &[TargetId], now: Time) -> Option<Time> {
        let failed = self.failed_last(targets, now);
        let is_lost = match failed.len() {
            0 => false,
            1 if targets.len() == 1 => failed.values().all(|path| path.is_down(now)),
            count if count == targets.len() => true,
            _ => {
                let is_checked = probed.len() >= probes_required(targets.len());
                is_checked && probed.iter().all(|target| failed.contains_key(target))
            }
        };
        let last_reached = self.last_reached(targets);
        let since = failed.values();
        let since = since.map(|path| path.failing_since.max(last_reached));
        is_lost.then(|| since.flatten().min()).flatten()
    }

    /// Whether connections to all of the `probed` targets failed lately, and none of `targets` was reached since.
    #[must_use]
    pub fn have_failed(&self, probed: &[TargetId], targets: &[TargetId], now: Time) -> bool {
        let failed = self.failed_last(targets, now);
        probed.iter().all(|target| failed.contains_key(target))
    }

    /// Whether a connection to one of these targets failed lately, and none was reached since.
    #[must_use]
    pub fn has_failed_last(&self, targets: &[TargetId], now: Time) -> bool {
        let failed = self.of(targets).filter_map(|(_, path)| path.failed_at);
        let last_failed = failed.max();
        let is_recent = last_failed.is_some_and(|at| now.since(at) < FAILURE_TTL);
        is_recent && self.last_reached(targets) < last_failed
    }

    /// Whether one of these targets was reached lately.
    #[must_use]
    pub fn are_fresh(&self, targets: &[TargetId], now: Time) -> bool {
        let last_reached = self.last_reached(targets);
        last_reached.is_some_and(|at| now.since(at) < RESULT_TTL)
    }

    /// Returns whether lost paths to these targets are back: most of those that were tried lately were reached.
    #[must_use]
    pub fn are_back(&self, targets: &[TargetId], now: Time) -> bool {
        let is_recent = |path: &&Path| {
            path.tested_at()
                .is_some_and(|at| now.since(at) < RESULT_TTL)
        };
        let recent = self.of(targets).map(|(_, path)| path).filter(is_recent);
        let recent = recent.collect::<Vec<_>>();
        let reached = recent.iter().filter(|path| path.is_reached()).count();
        reached >= targets.len().clamp(1, MIN_REACHED) && reached * 2 > recent.len()
    }

    /// Returns up to `count` of these targets whose paths were tested least recently, without those that were
    /// `probed`. Each `key` orders targets that were not tested in its own way.
    #[must_use]
    pub fn least_recently_tested(
        &self,
        targets: &[TargetId],
        probed: &[TargetId],
        count: usize,
        key: u64,
    ) -> Vec<TargetId> {
        let targets = targets.iter().filter(|target| !probed.contains(target));
        let mut targets = targets.cloned().collect::<Vec<_>>();
        targets.sort_by_cached_key(|target| {
            let tested_at = self.by_target.get(target).and_then(Path::tested_at);
            (tested_at, weight(key, target.as_str()))
        });
        targets.truncate(count);
        targets
    }

    /// Returns when the first connection failed after the last one that was opened; `None` if the last one was
    /// opened, or none was tried.
    #[must_use]
    pub fn failing_since(&self, target: &TargetId) -> Option<Time> {
        self.by_target.get(target)?.failing_since
    }

    /// Returns the number of targets to which the last connection failed.
    #[must_use]
    pub fn failing_count(&self) -> usize {
        let paths = self.by_target.values();
        paths.filter(|path| path.failing_since.is_some()).count()
    }

    /// Removes targets that no longer exist.
    pub fn retain_targets(&mut self, is_present: impl Fn(&TargetId) -> bool) {
        self.by_target.retain(|target, _| is_present(target));
    }
}
