//! Tracks the health of targets from the outcomes of requests; a passing health check alone is not
//! sufficient.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use serde::{Deserialize, Serialize};

/// Outcome of a request at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetOutcome {
    /// A response, or the first event of a stream, after this time.
    Answer(Duration),
    /// A failure of the target: an interrupted response, wrong bytes, or an error that callers
    /// can't provoke.
    Failure,
    /// No response in time to a request that was sent then.
    Silent(Time),
    /// No connection could be opened.
    Unreachable,
}

/// How long a sound target is usually silent at most. From then on its silence counts as a failure, and another target is
/// looked for besides. Callers leave a stream after two seconds without an event.
pub const MAX_SILENCE: Duration = Duration::from_millis(1_400);

/// How long a target counts as silent that gets no requests and so can't be heard.
const SILENCE_RETENTION: Duration = Duration::from_secs(4);

/// Failure rate, as a moving average, above which a target is ejected.
///
/// Healthy targets may fail one read in seven; a failing target fails two in five or more.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Weight of the newest outcome in the moving average.
const NEWEST_WEIGHT: f64 = 0.2;
/// Minimum number of outcomes before a target can be ejected for its failure rate.
const MIN_OUTCOMES: u32 = 5;
/// Duration of the first ejection.
const INITIAL_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection; a repaired target is tried again after at most this time.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Duration of an ejection of a target that accepts no connections.
const UNREACHABLE_EJECTION: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct Record {
    outcomes: u32,
    failure_rate: f64,
    latency: f64,
    ejected_until: Time,
    ejections: u32,
    trial_in_progress: bool,
    last_answer: Time,
    /// When the first request without a response was sent after the last answer.
    silent_since: Option<Time>,
    /// When the last request had no response in time.
    last_silence: Time,
    /// Failure rate before it fell silent.
    rate_before_silence: f64,
    /// Whether its last ejection is for its silence.
    is_ejected_for_silence: bool,
    /// When it was heard after nothing at all had been heard from it.
    heard_again: Option<Time>,
}

/// What a request without a response in time shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Silence {
    /// Nothing yet: a sound target may be silent for so long.
    Short,
    /// The target answers others, but not this request.
    OfRequest,
    /// Nothing has been heard from the target for too long.
    OfTarget,
}

impl Record {
    /// Returns what it shows that a request has no response that was sent then.
    fn silence(&mut self, sent: Time, now: Time) -> Silence {
        if sent < self.last_answer {
            return Silence::OfRequest;
        }
        self.last_silence = now;
        if self.silent_since.is_none() {
            self.rate_before_silence = self.failure_rate;
        }
        let since = *self.silent_since.get_or_insert(sent);
        if now.since(since) < MAX_SILENCE {
            return Silence::Short;
        }
        Silence::OfTarget
    }

    /// Ends an ejection for silence. Returns `false` if the target had failed before it fell silent.
    fn readmit(&mut self) -> bool {
        self.is_ejected_for_silence = false;
        self.failure_rate = self.rate_before_silence;
        if self.failure_rate > MAX_FAILURE_RATE {
            return false;
        }
        self.ejected_until = Time::default();
        self.ejections = self.ejections.saturating_sub(1);
        true
    }
}

/// Health records of all targets.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<TargetId, Record>,
}

/// Whether a target may receive requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// Receives requests normally.
    Good,
    /// Receives one request as a trial.
    Trial,
    /// Receives no requests for now.
    Ejected,
}

impl Health {
    /// Records an outcome. Returns `true` if it ejects the target.
    pub fn record_outcome(&mut self, target: &TargetId, outcome: TargetOutcome, now: Time) -> bool {
        let record = self.records.entry(target.clone()).or_default();
        let silence = match outcome {
            TargetOutcome::Silent(sent) => Some(record.silence(sent, now)),
            _ => None,
        };
        if silence == Some(Silence::Short) {
            record.trial_in_progress = false;
            return false;
        }
        let was_trial = std::mem::take(&mut record.trial_in_progress);
        record.outcomes = record.outcomes.saturating_add(1);
        let failed = if matches!(outcome, TargetOutcome::Answer(_)) {
            0.0
        } else {
            1.0
        };
        record.failure_rate += NEWEST_WEIGHT * (failed - record.failure_rate);
        match outcome {
            TargetOutcome::Answer(elapsed) => {
                record.last_answer = now;
                record.silent_since = None;
                let elapsed = elapsed.as_secs_f64();
                record.latency += NEWEST_WEIGHT * (elapsed - record.latency);
                if was_trial {
                    record.failure_rate = 0.0;
                    record.ejections = record.ejections.saturating_sub(1);
                }
                false
            }
            TargetOutcome::Unreachable => {
                record.ejected_until = now + UNREACHABLE_EJECTION;
                record.is_ejected_for_silence = false;
                true
            }
            TargetOutcome::Failure | TargetOutcome::Silent(_) => {
                let exceeds_failure_rate =
                    record.outcomes >= MIN_OUTCOMES && record.failure_rate > MAX_FAILURE_RATE;
                if exceeds_failure_rate || was_trial {
                    let duration = INITIAL_EJECTION * 2_u32.pow(record.ejections.min(2));
                    record.ejected_until = now + duration.min(MAX_EJECTION);
                    record.ejections += 1;
                    record.is_ejected_for_silence = silence == Some(Silence::OfTarget);
                }
                exceeds_failure_rate || was_trial
            }
        }
    }

    /// Returns whether `target` may receive requests.
    #[must_use]
    pub fn state(&self, target: &TargetId, now: Time) -> HealthState {
        let Some(record) = self.records.get(target) else {
            return HealthState::Good;
        };
        if record.ejected_until == Time::default() {
            return HealthState::Good;
        }
        if now < record.ejected_until {
            return HealthState::Ejected;
        }
        match (
            record.failure_rate > MAX_FAILURE_RATE,
            record.trial_in_progress,
        ) {
            (false, _) => HealthState::Good,
            (true, false) => HealthState::Trial,
            (true, true) => HealthState::Ejected,
        }
    }

    /// Forgets the outcomes of requests at a target.
    pub fn reset(&mut self, target: &TargetId) {
        self.records.remove(target);
    }

    /// Records that a trial has been sent.
    pub fn start_trial(&mut self, target: &TargetId) {
        if let Some(record) = self.records.get_mut(target) {
            record.trial_in_progress = true;
        }
    }

    /// Records that a trial ended without an outcome, for example because its caller disconnected.
    pub fn cancel_trial(&mut self, target: &TargetId) {
        if let Some(record) = self.records.get_mut(target) {
            record.trial_in_progress = false;
        }
    }

    /// Returns the targets that have not been heard since a request to them had no response in time.
    pub fn silent(&self, now: Time) -> impl Iterator<Item = &TargetId> {
        let silent = self.records.iter().filter(move |(_, record)| {
            record.silent_since.is_some() && now.since(record.last_silence) < SILENCE_RETENTION
        });
        silent.map(|(target, _)| target)
    }

    /// Records that something arrived from a target, which is not silent then. Returns whether that ends an ejection.
    pub fn record_heard(&mut self, target: &TargetId, now: Time) -> bool {
        let Some(record) = self.records.get_mut(target) else {
            return false;
        };
        record.last_answer = now;
        if record.silent_since.take().is_some() {
            record.heard_again = Some(now);
        }
        record.is_ejected_for_silence && record.readmit()
    }

    /// Returns when a target was last heard after nothing at all had been heard from it.
    #[must_use]
    pub fn heard_again(&self, target: &TargetId) -> Option<Time> {
        self.records.get(target)?.heard_again
    }

    /// Returns the moving average of the response time, in seconds; zero before the first response.
    #[must_use]
    pub fn latency(&self, target: &TargetId) -> f64 {
        self.records
            .get(target)
            .map_or(0.0, |record| record.latency)
    }

    /// Removes targets that no longer exist.
    pub fn retain_targets(&mut self, is_present: impl Fn(&TargetId) -> bool) {
        self.records.retain(|target, _| is_present(target));
    }
}
