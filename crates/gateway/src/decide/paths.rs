//! Paths to targets, as the connections that this instance opens show them.

use std::collections::HashMap;

use bluebellstage_core::{TargetId, Time};

/// Result of opening a connection to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectOutcome {
    /// It was opened.
    Opened,
    /// It was refused, or there was no response in time.
    Failed,
}

/// The latest results of opening connections to a target.
#[derive(Clone, Copy, Debug, Default)]
struct Path {
    opened_at: Option<Time>,
    /// When the first connection failed after the last one that was opened.
    failing_since: Option<Time>,
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
            ConnectOutcome::Failed => {
                path.failing_since.get_or_insert(now);
            }
        }
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
