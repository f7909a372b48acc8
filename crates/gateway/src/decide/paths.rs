//! Paths to targets, as the connections that this instance opens show them.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use super::health::MAX_SILENCE;

/// Age from which a failed connection no longer shows that the path is lost.
const FAILURE_TTL: Duration = Duration::from_secs(2);
/// Age from which a result no longer counts when it is decided whether paths are back.
const RESULT_TTL: Duration = Duration::from_secs(1);
/// Number of targets that must fail, of a service that has more, before their paths count as lost.
const MIN_FAILED: usize = 4;
/// Number of targets that must be connected, of a service that has more, before paths count as back.
const MIN_OPENED: usize = 2;

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
        let silence = self.failing_since.map(|since| now.since(since));
        silence.is_some_and(|silence| self.is_refusing || silence >= MAX_SILENCE)
    }

    fn tested_at(&self) -> Option<Time> {
        self.opened_at.max(self.failed_at)
    }
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

    fn of<'a>(&'a self, targets: &'a [TargetId]) -> impl Iterator<Item = (&'a TargetId, &'a Path)> {
        let known = targets.iter();
        known.filter_map(|target| Some((target, self.by_target.get(target)?)))
    }

    /// Returns when a connection to one of these targets was last opened.
    #[must_use]
    pub fn last_opened(&self, targets: &[TargetId]) -> Option<Time> {
        let opened = self.of(targets).filter_map(|(_, path)| path.opened_at);
        opened.max()
    }

    /// Returns when connections to the first of these targets began to fail, if the paths to all of them look
    /// lost: several were tried lately, and none was opened after the others had failed.
    #[must_use]
    pub fn lost_since(&self, targets: &[TargetId], now: Time) -> Option<Time> {
        let last_opened = self.last_opened(targets);
        let failed = self.of(targets).filter(|(_, path)| {
            let is_recent = |at: &Time| now.since(*at) < FAILURE_TTL && last_opened < Some(*at);
            path.failed_at.as_ref().is_some_and(is_recent)
        });
        let failed = failed.map(|(_, path)| path).collect::<Vec<_>>();
        let is_lost = match failed[..] {
            [] => false,
            [path] => targets.len() == 1 && path.is_down(now),
            _ => failed.len() >= targets.len().min(MIN_FAILED),
        };
        let since = failed
            .iter()
            .map(|path| path.failing_since.max(last_opened));
        is_lost.then(|| since.flatten().min()).flatten()
    }

    /// Whether a connection to one of these targets failed lately, and none was opened since.
    #[must_use]
    pub fn has_failed_last(&self, targets: &[TargetId], now: Time) -> bool {
        let failed = self.of(targets).filter_map(|(_, path)| path.failed_at);
        let last_failed = failed.max();
        let is_recent = last_failed.is_some_and(|at| now.since(at) < FAILURE_TTL);
        is_recent && self.last_opened(targets) < last_failed
    }

    /// Whether a connection to one of these targets was opened lately.
    #[must_use]
    pub fn are_fresh(&self, targets: &[TargetId], now: Time) -> bool {
        let last_opened = self.last_opened(targets);
        last_opened.is_some_and(|at| now.since(at) < RESULT_TTL)
    }

    /// Returns whether lost paths to these targets are back: most of those that were tried lately were connected.
    #[must_use]
    pub fn are_back(&self, targets: &[TargetId], now: Time) -> bool {
        let is_recent = |path: &&Path| {
            path.tested_at()
                .is_some_and(|at| now.since(at) < RESULT_TTL)
        };
        let recent = self.of(targets).map(|(_, path)| path).filter(is_recent);
        let recent = recent.collect::<Vec<_>>();
        let opened = recent.iter().filter(|path| path.failing_since.is_none());
        let opened = opened.count();
        opened >= targets.len().clamp(1, MIN_OPENED) && opened * 2 > recent.len()
    }

    /// Returns up to `count` of these targets whose paths were tested least recently.
    #[must_use]
    pub fn least_recently_tested(&self, targets: &[TargetId], count: usize) -> Vec<TargetId> {
        let mut targets = targets.to_vec();
        targets.sort_by_key(|target| self.by_target.get(target).and_then(Path::tested_at));
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
