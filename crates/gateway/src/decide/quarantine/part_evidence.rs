//! Evidence against prompt parts from the crashes that they were in.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bluebellstage_core::Time;

use super::message::{Crash, InterruptedPart};
use super::prompt_part::PromptPart;
use super::suspects::{MIN_RUN_TIME, to_f64};
use crate::decide::rendezvous::ShortHash;

/// Crashes that are closer in time are one outage and one piece of evidence.
const OUTAGE_GAP: Duration = Duration::from_millis(10);
/// Minimum number of other targets whose runs tell how widespread a part is.
const MIN_SAMPLED_TARGETS: u32 = 3;
/// Time by which another target must have been running a part for longer than the crashed one: a part does not crash
/// all targets equally soon.
const MIN_LONGER: Duration = Duration::from_millis(100);
/// Maximum number of instances whose reports of a part at a crashed target are kept.
const MAX_REPORTS_PER_PART: usize = 16;
/// Maximum number of instances that are counted as having had requests at a crashed target.
const MAX_REPORTERS: usize = 128;
/// Shortest time over which the rate of crashes without a part is computed.
const MIN_RATE_WINDOW: Duration = Duration::from_millis(500);

/// What all instances report of a part at a crashed target.
#[derive(Clone, Debug, Default)]
pub(super) struct PartAtCrash {
    /// Each report with the number of other targets whose runs were compared.
    reports: BTreeMap<ShortHash, (InterruptedPart, u16)>,
    /// All reports together.
    merged: Option<InterruptedPart>,
    /// How often instances had been running the part for longer at other targets.
    elsewhere: Comparison,
}

impl PartAtCrash {
    /// Adds a report, which replaces an earlier one of the same instance; returns false if it is known.
    pub(super) fn add(&mut self, report: &Crash, part: &InterruptedPart) -> bool {
        let is_full = self.reports.len() >= MAX_REPORTS_PER_PART;
        let new = (part.clone(), report.sampled_targets);
        let known = self.reports.get(&report.reporter);
        if known == Some(&new) || (known.is_none() && is_full) {
            return false;
        }
        self.reports.insert(report.reporter, new);
        let parts = self.reports.values().map(|(part, _)| part.clone());
        self.merged = parts.reduce(|mut merged, part| {
            merged.merge(&part);
            merged
        });
        self.elsewhere = self.compare_elsewhere();
        true
    }

    /// Compares the part's longest run here with those of the same instances at other targets.
    fn compare_elsewhere(&self) -> Comparison {
        let reports = self.reports.values();
        let sampled = reports.clone().map(|(_, sampled)| u32::from(*sampled));
        let longest_here = self.merged.as_ref().map(InterruptedPart::run_time);
        let least = longest_here.unwrap_or_default() + MIN_LONGER;
        let elsewhere = reports.clone().flat_map(|(part, _)| &part.elsewhere_ms);
        let longer = elsewhere.filter(|run_ms| Duration::from_millis(u64::from(**run_ms)) > least);
        Comparison {
            longer: longer.count(),
            sampled: sampled.sum(),
        }
    }
}

/// Comparison of a part's run at a crashed target with runs at other targets. An instance compares its own requests
/// only.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    /// Number of targets where an instance had been running the part for longer.
    longer: usize,
    /// Number of targets that were compared.
    sampled: u32,
}

impl Comparison {
    fn add(self, other: Self) -> Self {
        Self {
            longer: self.longer + other.longer,
            sampled: self.sampled.saturating_add(other.sampled),
        }
    }

    /// Returns the fraction of targets where the run was longer, or zero if too few were compared.
    fn fraction(self) -> f64 {
        if self.sampled < MIN_SAMPLED_TARGETS {
            return 0.0;
        }
        to_f64(self.longer) / f64::from(self.sampled)
    }
}

/// A crashed target and the shared parts of the prompts that it ran.
#[derive(Debug)]
pub(super) struct PartCrash {
    pub(super) at: Time,
    /// Crashes per second and target around that time.
    pub(super) rate: f64,
    /// Number of targets at that time.
    pub(super) targets: u32,
    /// Whether a part is known to be the cause.
    pub(super) explained: bool,
    pub(super) parts: BTreeMap<PromptPart, PartAtCrash>,
    /// Instances whose requests there had shared parts.
    pub(super) reporters: BTreeSet<ShortHash>,
}

impl PartCrash {
    /// Records that an instance had requests with shared parts there.
    pub(super) fn add_reporter(&mut self, reporter: ShortHash) {
        if self.reporters.len() < MAX_REPORTERS {
            self.reporters.insert(reporter);
        }
    }

    /// Returns the probability that a target runs a part for longer on behalf of any of as many instances as had
    /// requests at the crashed one.
    fn longer_at_another_target(&self, at_crash: &PartAtCrash, longer: f64) -> f64 {
        let reporters = i32::try_from(self.reporters.len()).unwrap_or(i32::MAX);
        1.0 - (1.0 - at_crash.elsewhere.fraction().max(longer)).powi(reporters.max(1))
    }

    /// Returns the probability that a part was there by coincidence, where crashes that it was not in happen at
    /// `other_rate` per second and target, and one instance runs the part for longer at this fraction of targets.
    pub(super) fn coincidence(&self, part: PromptPart, other_rate: f64, longer: f64) -> f64 {
        let Some(at_crash) = self.parts.get(&part) else {
            return 1.0;
        };
        let merged = at_crash.merged.as_ref();
        let total_ms = merged.map_or(0, |part| part.total_ms);
        let run_time = Duration::from_millis(u64::from(total_ms)).max(MIN_RUN_TIME);
        let interrupted = self.rate.max(other_rate) * run_time.as_secs_f64();
        interrupted
            .max(self.longer_at_another_target(at_crash, longer))
            .min(1.0)
    }

    /// Returns what all instances together report of a part.
    pub(super) fn merged(&self, part: PromptPart) -> Option<&InterruptedPart> {
        self.parts.get(&part)?.merged.as_ref()
    }

    pub(super) fn has_begun(&self, part: PromptPart) -> bool {
        self.merged(part).is_some_and(|part| part.has_begun)
    }

    /// Returns the requests that had a part in their prompts.
    fn requests(&self, part: PromptPart) -> &[u64] {
        self.merged(part).map_or(&[], |part| &part.requests)
    }
}

/// Evidence against a part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartEvidence {
    /// Number of crashes that no other part explains.
    pub crashes: usize,
    /// Decimal digits of significance.
    pub digits: f64,
    /// Decimal digits without the crashes of the part's most frequent request.
    pub(super) independent_digits: f64,
}

impl PartEvidence {
    /// Returns the significance in tenths of decimal digits.
    #[must_use]
    pub fn decidigits(self) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the negative logarithm of a probability is positive and small"
        )]
        let decidigits = (self.digits * 10.0).round() as u64;
        decidigits
    }
}

/// Leaves one of the crashes that were close in time.
pub(super) fn separate_outages(mut crashes: Vec<&PartCrash>) -> Vec<&PartCrash> {
    crashes.sort_by_key(|crash| crash.at);
    crashes.dedup_by(|later, earlier| later.at.since(earlier.at) < OUTAGE_GAP);
    crashes
}

/// Returns the decimal digits of significance that crashes give against a part, of `all` crashes in that time. Bounds
/// the probability that it was in so many of them by coincidence.
fn significance(part: PromptPart, crashes: &[&PartCrash], all: usize) -> f64 {
    if crashes.is_empty() {
        return 0.0;
    }
    let count = to_f64(crashes.len());
    let other_rate = rate_of_others(crashes, all);
    let coincidences = crashes.iter();
    // At one crash the samples of a large fleet are too few to show a run that is longer.
    let longer = longer_elsewhere(part, crashes).fraction();
    let coincidences = coincidences.map(|crash| crash.coincidence(part, other_rate, longer));
    // The part may have met each of the other crashes as well.
    let expected = coincidences.sum::<f64>() * to_f64(all.max(crashes.len())) / count;
    if expected >= count {
        return 0.0;
    }
    // The Chernoff bound on the tail of a sum of independent events.
    let nats = count * (count / expected).ln() - (count - expected);
    nats / std::f64::consts::LN_10
}

/// Returns the comparisons at all these crashes together.
fn longer_elsewhere(part: PromptPart, crashes: &[&PartCrash]) -> Comparison {
    let at_crashes = crashes.iter();
    let at_crashes = at_crashes.filter_map(|crash| crash.parts.get(&part));
    at_crashes.fold(Comparison::default(), |sum, at_crash| {
        sum.add(at_crash.elsewhere)
    })
}

/// Returns the rate per second and target of the crashes, of `all` in that time, that are not among those given, which
/// are in order of time. If many targets crash within a moment, it is far above the rate over a longer time.
fn rate_of_others(crashes: &[&PartCrash], all: usize) -> f64 {
    let [Some(first), Some(last)] = [crashes.first(), crashes.last()] else {
        return 0.0;
    };
    let window = last.at.since(first.at).max(MIN_RATE_WINDOW);
    let others = to_f64(all.saturating_sub(crashes.len()));
    others / window.as_secs_f64() / f64::from(first.targets.max(1))
}

pub(super) fn evidence_against(
    part: PromptPart,
    crashes: &[&PartCrash],
    all: usize,
) -> PartEvidence {
    let most_frequent = most_frequent_request(part, crashes);
    let of_others = crashes.iter().copied();
    let of_others = of_others
        .filter(|crash| !most_frequent.is_some_and(|req| crash.requests(part).contains(&req)));
    let of_others = of_others.collect::<Vec<_>>();
    let all_of_others = all.saturating_sub(crashes.len() - of_others.len());
    PartEvidence {
        crashes: crashes.len(),
        digits: significance(part, crashes, all),
        independent_digits: significance(part, &of_others, all_of_others),
    }
}

/// Returns the request that had the part in most of the crashes.
fn most_frequent_request(part: PromptPart, crashes: &[&PartCrash]) -> Option<u64> {
    let mut counts = BTreeMap::<u64, usize>::new();
    for request in crashes.iter().flat_map(|crash| crash.requests(part)) {
        *counts.entry(*request).or_default() += 1;
    }
    let most_frequent = counts.into_iter().max_by_key(|(_, count)| *count);
    most_frequent.map(|(request, _)| request)
}

/// Returns the other parts that were in at least half of these crashes: a report that is not there yet must not hide
/// the cause.
pub(super) fn rivals_of(part: PromptPart, crashes: &[&PartCrash]) -> Vec<PromptPart> {
    let mut counts = BTreeMap::<PromptPart, usize>::new();
    for rival in crashes.iter().flat_map(|crash| crash.parts.keys()) {
        *counts.entry(*rival).or_default() += 1;
    }
    counts.remove(&part);
    counts.retain(|_, count| *count * 2 >= crashes.len());
    counts.into_keys().collect()
}

/// Returns the significance of a part's presence in some of the crashes of another one.
pub(super) fn rival_significance(rival: PromptPart, crashes: &[&PartCrash], all: usize) -> f64 {
    let present = crashes.iter().copied();
    let present = present.filter(|crash| crash.parts.contains_key(&rival));
    significance(rival, &present.collect::<Vec<_>>(), all)
}
