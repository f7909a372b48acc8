//! Start times that targets have told themselves, where their registration still has that of a former process.
//!
//! A process serves before its registration is seen here. Whether an answer without a length is whole is judged by the start
//! time of its process: by the registered one, sound answers of the next process would be broken off at their ends.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bluebellstage_core::TargetId;

/// A start time that a target has told.
#[derive(Clone, Copy, Debug)]
struct ToldStart {
    /// The start time that was registered then. What was told counts until another one is.
    registered: u64,
    told: u64,
}

/// Start times that targets have told.
#[derive(Debug, Default)]
pub(super) struct ToldStarts {
    by_target: Mutex<HashMap<TargetId, ToldStart>>,
}

impl ToldStarts {
    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, ToldStart>> {
        self.by_target
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what a target told while a start time was registered.
    pub(super) fn record(&self, target: &TargetId, registered: u64, told: u64) {
        let mut by_target = self.lock();
        if told == registered {
            by_target.remove(target);
        } else {
            by_target.insert(target.clone(), ToldStart { registered, told });
        }
    }

    /// Returns the newest known start time. A connection that is opened from now on leads to that process or to a later one.
    pub(super) fn current(&self, target: &TargetId, registered: u64) -> u64 {
        let by_target = self.lock();
        let told = by_target.get(target);
        let told = told.filter(|known| known.registered == registered);
        told.map_or(registered, |known| known.told)
    }

    /// Removes those of which the registrations tell by now.
    pub(super) fn sweep(&self, registered: impl Fn(&TargetId) -> Option<u64>) {
        self.lock()
            .retain(|target, known| registered(target) == Some(known.registered));
    }
}
