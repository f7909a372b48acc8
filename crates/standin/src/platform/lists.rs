//! Pods, and the past in which the lagging list still lives.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Pod;

/// Past lists kept; enough for any lag that a test sets.
const KEPT_SNAPSHOTS: usize = 10_000;

type Snapshot = Arc<BTreeMap<String, Pod>>;

#[derive(Debug)]
pub(super) struct Lists {
    pub(super) lag: Duration,
    now: Snapshot,
    past: Vec<(Instant, Snapshot)>,
}

impl Lists {
    pub(super) fn new(lag: Duration) -> Self {
        let now = Snapshot::default();
        Self {
            lag,
            past: vec![(Instant::now(), Arc::clone(&now))],
            now,
        }
    }

    /// Pods now.
    pub(super) fn current(&self) -> impl Iterator<Item = &Pod> {
        self.now.values()
    }

    pub(super) fn contains(&self, name: &str) -> bool {
        self.now.contains_key(name)
    }

    pub(super) fn change(&mut self, change: impl FnOnce(&mut BTreeMap<String, Pod>)) {
        let mut pods = BTreeMap::clone(&self.now);
        change(&mut pods);
        self.now = Arc::new(pods);
        if self.past.len() >= KEPT_SNAPSHOTS {
            self.past.remove(0);
        }
        self.past.push((Instant::now(), Arc::clone(&self.now)));
    }

    /// The pods with a label, as they were `lag` ago.
    pub(super) fn lagging(&self, label: &str, value: &str) -> Vec<Pod> {
        let at = Instant::now().checked_sub(self.lag);
        let seen = self
            .past
            .iter()
            .rev()
            .find(|(since, _)| at.is_some_and(|at| *since <= at))
            .or_else(|| self.past.first());
        let Some((_, pods)) = seen else {
            return Vec::new();
        };
        let selected = |pod: &&Pod| {
            pod.metadata
                .labels
                .get(label)
                .is_some_and(|has| has == value)
        };
        pods.values().filter(selected).cloned().collect()
    }
}
