//! Tracks which requests were on crashed targets, and tests whether coincidence explains it.

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::Time;

use super::fingerprint::Fingerprint;
use super::message::Crash;
use crate::decide::rendezvous::ShortHash;

/// Minimum number of crashes for a refusal, however improbable a coincidence is.
const MIN_CRASHES: usize = 2;
/// Number of crashes that suffices for a refusal, however probable a coincidence is: no caller retries one
/// request this often.
const CERTAIN_CRASHES: usize = 5;
/// Decimal digits of significance that a refusal needs: the probability that any suspect was in its crashes
/// as a bystander must be below 1e-7.
const MIN_SIGNIFICANCE_DIGITS: f64 = 7.0;
/// Decimal digits by which the cause must exceed every other request that was on the same targets.
const MIN_LEAD_DIGITS: f64 = 2.0;
/// Lower bound for run times; shorter runs count as this long.
pub(super) const MIN_RUN_TIME: Duration = Duration::from_millis(20);
/// Window over which the crash rate is computed.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// How long a crashed target is remembered.
pub(super) const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of crashed targets remembered; the oldest is evicted first.
pub(super) const MAX_CRASHES: usize = 256;
/// Maximum number of runs remembered per crashed target.
const MAX_RUNS_PER_CRASH: usize = 512;

#[derive(Debug)]
struct CrashedTarget {
    at: Time,
    /// Crashes per second and target around that time.
    rate: f64,
    /// Whether a request is known to be the cause.
    explained: bool,
    /// How long each request had run.
    run_times: BTreeMap<Fingerprint, Duration>,
}

/// Evidence against a request.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    /// Number of crashed targets that ran the request one after the other.
    crashes: usize,
    /// Number of those crashes that no other request explains.
    unexplained: usize,
    /// Decimal digits of significance: the negative logarithm of the probability that a bystander was in
    /// these crashes.
    significance_digits: f64,
}

/// Computes the evidence against a request that was on all these targets. Runs that overlapped in time count
/// as one piece of evidence, as an outage interrupts them all at once.
fn evidence_against(request: Fingerprint, crashes: &[&CrashedTarget]) -> Evidence {
    let mut evidence = Evidence::default();
    let mut last_crash_at = None;
    for crash in crashes {
        let Some(run_time) = crash.run_times.get(&request) else {
            continue;
        };
        if last_crash_at.is_some_and(|last_crash_at| crash.at - *run_time < last_crash_at) {
            continue;
        }
        last_crash_at = Some(crash.at);
        evidence.crashes += 1;
        if crash.explained {
            continue;
        }
        let probability = crash.rate * (*run_time).max(MIN_RUN_TIME).as_secs_f64();
        evidence.unexplained += 1;
        evidence.significance_digits -= probability.min(1.0).log10();
    }
    evidence
}

/// Returns whether the evidence against a request clearly exceeds that against every other request on the
/// same targets.
fn exceeds_rivals(request: Fingerprint, evidence: Evidence, crashes: &[&CrashedTarget]) -> bool {
    let unexplained = crashes.iter().filter(|crash| !crash.explained);
    let unexplained = unexplained.copied().collect::<Vec<_>>();
    let Some(first) = unexplained.first() else {
        return false;
    };
    let on_all = |rival: &Fingerprint| {
        let mut others = unexplained.iter();
        others.all(|crash| crash.run_times.contains_key(rival))
    };
    let rivals = first.run_times.keys().copied();
    let mut rivals = rivals.filter(|rival| *rival != request && on_all(rival));
    rivals.all(|rival| {
        evidence_against(rival, &unexplained).significance_digits + MIN_LEAD_DIGITS
            <= evidence.significance_digits
    })
}

/// Crashed targets and the requests that they interrupted.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    crashes: BTreeMap<ShortHash, CrashedTarget>,
    /// Number of crashed targets that each request was on.
    counts: BTreeMap<Fingerprint, usize>,
}

#[expect(
    clippy::cast_precision_loss,
    reason = "at most a few hundred targets are counted"
)]
pub(super) fn to_f64(count: usize) -> f64 {
    count as f64
}

impl Suspects {
    /// Records a crashed target, or further runs on a known one; returns false if all of them are known.
    pub(super) fn record(&mut self, report: &Crash, now: Time) -> bool {
        let at = now - Duration::from_millis(u64::from(report.age_ms));
        if !self.crashes.contains_key(&report.incarnation) {
            self.evict_oldest_if_full();
            let rate = self.crash_rate_including(report.targets, at);
            let crash = CrashedTarget {
                at,
                rate,
                explained: false,
                run_times: BTreeMap::new(),
            };
            self.crashes.insert(report.incarnation, crash);
        }
        let Some(crash) = self.crashes.get_mut(&report.incarnation) else {
            return false;
        };
        let mut is_new = false;
        for run in &report.interrupted {
            if crash.run_times.len() < MAX_RUNS_PER_CRASH
                && !crash.run_times.contains_key(&run.request)
            {
                crash.run_times.insert(run.request, run.run_time());
                *self.counts.entry(run.request).or_default() += 1;
                is_new = true;
            }
        }
        is_new
    }

    /// Returns the crash rate per second and target, including a crash at `at`.
    fn crash_rate_including(&self, targets: u32, at: Time) -> f64 {
        let is_near =
            |crash: &&CrashedTarget| crash.at.since(at).max(at.since(crash.at)) < RATE_WINDOW;
        let crash_count = 1 + self.crashes.values().filter(is_near).count();
        to_f64(crash_count) / (f64::from(targets.max(1)) * RATE_WINDOW.as_secs_f64())
    }

    fn evict_oldest_if_full(&mut self) {
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
        if let Some(incarnation) = oldest.map(|(incarnation, _)| *incarnation) {
            self.remove_crash(incarnation);
        }
    }

    fn remove_crash(&mut self, incarnation: ShortHash) {
        let Some(crash) = self.crashes.remove(&incarnation) else {
            return;
        };
        for request in crash.run_times.into_keys() {
            self.decrement_count(request);
        }
    }

    fn decrement_count(&mut self, request: Fingerprint) {
        if let Some(count) = self.counts.get_mut(&request) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&request);
            }
        }
    }

    /// Removes a request that was cleared of suspicion; returns false if it was no suspect.
    pub(super) fn remove(&mut self, request: Fingerprint) -> bool {
        if self.counts.remove(&request).is_none() {
            return false;
        }
        for crash in self.crashes.values_mut() {
            crash.run_times.remove(&request);
        }
        true
    }

    /// Marks the crashes of a known cause as explained: other requests on the same targets are bystanders.
    pub(super) fn mark_explained(&mut self, cause: Fingerprint) {
        let crashes = self.crashes.values_mut();
        for crash in crashes.filter(|crash| crash.run_times.contains_key(&cause)) {
            crash.explained = true;
        }
    }

    /// Marks crashes as explained: the requests on these targets are bystanders.
    pub(super) fn mark_crashes_explained(&mut self, incarnations: &[ShortHash]) {
        for incarnation in incarnations {
            if let Some(crash) = self.crashes.get_mut(incarnation) {
                crash.explained = true;
            }
        }
    }

    /// Returns the crash rate per second and target around the time of a crash.
    pub(super) fn crash_rate_at(&self, incarnation: ShortHash) -> f64 {
        let crash = self.crashes.get(&incarnation);
        crash.map_or(0.0, |crash| crash.rate)
    }

    /// Returns requests that were on crashed targets, with the number of these targets.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        self.counts
            .iter()
            .map(|(request, count)| (*request, *count))
    }

    /// Returns whether this incarnation of a target is known to have crashed.
    pub(super) fn has_crashed(&self, incarnation: ShortHash) -> bool {
        self.crashes.contains_key(&incarnation)
    }

    /// Returns how many crashed targets a request was on.
    pub(super) fn crash_count(&self, request: Fingerprint) -> usize {
        self.counts.get(&request).copied().unwrap_or(0)
    }

    /// Returns whether targets crash because of a request, as coincidence alone does not explain its
    /// presence.
    ///
    /// The probability that a run of a bystander is interrupted is the crash rate times the run time. The
    /// cause is interrupted each time, soon after it starts. If two requests were on the same crashed
    /// targets, neither is known to be the cause unless the evidence against one clearly exceeds that against
    /// the other.
    pub(super) fn is_cause(&self, request: Fingerprint) -> bool {
        let crashes = self.crashes_of(request);
        let evidence = evidence_against(request, &crashes);
        if evidence.crashes >= CERTAIN_CRASHES {
            return true;
        }
        let suspects = to_f64(self.counts.len().max(1));
        let needed = MIN_SIGNIFICANCE_DIGITS + suspects.log10();
        let is_significant =
            evidence.unexplained >= MIN_CRASHES && evidence.significance_digits >= needed;
        is_significant && exceeds_rivals(request, evidence, &crashes)
    }

    /// Returns the crashed targets that a request was on, in order of time.
    fn crashes_of(&self, request: Fingerprint) -> Vec<&CrashedTarget> {
        let crashes = self.crashes.values();
        let crashes = crashes.filter(|crash| crash.run_times.contains_key(&request));
        let mut crashes = crashes.collect::<Vec<_>>();
        crashes.sort_by_key(|crash| crash.at);
        crashes
    }

    /// Removes expired crashes.
    pub(super) fn sweep(&mut self, now: Time) {
        let expired = self.crashes.iter();
        let expired = expired.filter(|(_, crash)| now.since(crash.at) > CRASH_RETENTION);
        let incarnations = expired
            .map(|(incarnation, _)| *incarnation)
            .collect::<Vec<_>>();
        for incarnation in incarnations {
            self.remove_crash(incarnation);
        }
    }
}
