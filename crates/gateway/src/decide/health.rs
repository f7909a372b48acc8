//! Judges targets by what requests met there; a good health check alone proves little.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use serde::{Deserialize, Serialize};

/// What a request met at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Met {
    /// An answer, or the first event of a stream, after this long.
    Answer(Duration),
    /// A failure of the target: broken off, wrong bytes, an error beyond what callers provoke.
    Failure,
    /// No connection.
    Unreachable,
}

/// Share of failures, in the recent average, beyond which a target is left alone for a while.
///
/// Targets may fail one read in seven of their own accord; a failing one fails 2 in 5 and more.
const EJECT_ABOVE: f64 = 0.5;
/// Weight of the newest outcome in the average.
const NEWEST: f64 = 0.2;
/// Outcomes that are needed before a target is judged.
const LEAST_OUTCOMES: u32 = 5;
/// First ejection.
const EJECT_FIRST: Duration = Duration::from_secs(1);
/// Longest ejection; a target that was repaired is tried this much later at the latest.
const EJECT_MOST: Duration = Duration::from_secs(4);
/// Ejection of a target that takes no connection.
const EJECT_UNREACHABLE: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct Record {
    outcomes: u32,
    failing: f64,
    latency: f64,
    ejected_until: Time,
    ejections: u32,
    probing: bool,
}

/// Records of all targets.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<TargetId, Record>,
}

/// Whether a target may get a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Like any other.
    Good,
    /// One request, as a trial.
    Trial,
    /// Not now.
    Ejected,
}

impl Health {
    /// Takes in an outcome; true if the target is ejected by it.
    pub fn met(&mut self, target: &TargetId, met: Met, now: Time) -> bool {
        let record = self.records.entry(target.clone()).or_default();
        let was_trial = std::mem::take(&mut record.probing);
        record.outcomes = record.outcomes.saturating_add(1);
        let failed = if matches!(met, Met::Answer(_)) {
            0.0
        } else {
            1.0
        };
        record.failing += NEWEST * (failed - record.failing);
        match met {
            Met::Answer(after) => {
                let after = after.as_secs_f64();
                record.latency += NEWEST * (after - record.latency);
                if was_trial {
                    record.failing = 0.0;
                    record.ejections = record.ejections.saturating_sub(1);
                }
                false
            }
            Met::Unreachable => {
                record.ejected_until = now + EJECT_UNREACHABLE;
                true
            }
            Met::Failure => {
                let judged = record.outcomes >= LEAST_OUTCOMES && record.failing > EJECT_ABOVE;
                if judged || was_trial {
                    let length = EJECT_FIRST * 2_u32.pow(record.ejections.min(2));
                    record.ejected_until = now + length.min(EJECT_MOST);
                    record.ejections += 1;
                }
                judged || was_trial
            }
        }
    }

    /// Whether `target` may get a request.
    #[must_use]
    pub fn standing(&self, target: &TargetId, now: Time) -> Standing {
        let Some(record) = self.records.get(target) else {
            return Standing::Good;
        };
        if record.ejected_until == Time::default() {
            return Standing::Good;
        }
        if now < record.ejected_until {
            return Standing::Ejected;
        }
        match (record.failing > EJECT_ABOVE, record.probing) {
            (false, _) => Standing::Good,
            (true, false) => Standing::Trial,
            (true, true) => Standing::Ejected,
        }
    }

    /// Notes that a trial is on its way.
    pub fn trial(&mut self, target: &TargetId) {
        if let Some(record) = self.records.get_mut(target) {
            record.probing = true;
        }
    }

    /// A trial ended without telling anything, as when its caller left.
    pub fn trial_void(&mut self, target: &TargetId) {
        if let Some(record) = self.records.get_mut(target) {
            record.probing = false;
        }
    }

    /// Recent time to an answer, in seconds; zero before the first.
    #[must_use]
    pub fn latency(&self, target: &TargetId) -> f64 {
        self.records
            .get(target)
            .map_or(0.0, |record| record.latency)
    }

    /// Forgets targets that are gone.
    pub fn keep(&mut self, present: impl Fn(&TargetId) -> bool) {
        self.records.retain(|target, _| present(target));
    }
}
