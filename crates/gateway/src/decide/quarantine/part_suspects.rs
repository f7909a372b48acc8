//! Tracks which prompt parts were on crashed targets, and tests whether one of them is the cause.
//!
//! Requests share parts, so a sound part may be on every target that crashes. What tells the cause from such parts:
//! its runs are short, as none outlives the crash that it causes; it runs nowhere else meanwhile; and no request with
//! it that began after a crash gets through.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use bluebellstage_core::Time;

use super::message::{Crash, InterruptedPart};
use super::part_evidence::{
    PartCrash, PartEvidence, evidence_against, rival_significance, rivals_of, separate_outages,
};
use super::prompt_part::PromptPart;
use super::runs::SoundRun;
use super::suspects::{CRASH_RETENTION, to_f64};
use crate::decide::rendezvous::ShortHash;

/// Minimum number of crashes for a refusal, however improbable a coincidence is.
const MIN_CRASHES: usize = 3;
/// Number of crashes from which less evidence suffices.
const CERTAIN_CRASHES: usize = 5;
/// Decimal digits of significance that a refusal needs: the probability that any part was in its crashes by
/// coincidence must be below 1e-6.
const MIN_SIGNIFICANCE_DIGITS: f64 = 6.0;
/// The same from [`CERTAIN_CRASHES`] on.
const CERTAIN_SIGNIFICANCE_DIGITS: f64 = 5.0;
/// Decimal digits that are needed in addition against a part with which targets have lately outlived runs.
const SURVIVED_DIGITS: f64 = 3.0;
/// Decimal digits that crashes without the part's most frequent request must give: otherwise that request alone may
/// be the cause.
const MIN_INDEPENDENT_DIGITS: f64 = 2.0;
/// Decimal digits by which the cause must exceed every other part that was in the same crashes.
const MIN_LEAD_DIGITS: f64 = 2.0;
/// Minimum time for which a target must outlive the start of a run to show that the run's parts are sound.
const MIN_SURVIVAL_TIME: Duration = Duration::from_millis(250);
/// The same as a multiple of the longest run with the part that a crash interrupted.
const SURVIVAL_FACTOR: u32 = 4;
/// How long the last sound run with a part is remembered.
const SURVIVAL_RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of parts whose sound runs are remembered.
const MAX_SURVIVALS: usize = 4_096;
/// Maximum number of parts remembered per crashed target.
const MAX_PARTS_PER_CRASH: usize = 256;
/// Maximum number of crashed targets whose parts are remembered; the oldest is evicted first.
const MAX_CRASHES: usize = 64;

/// Crashed targets and the shared parts of the prompts that they ran.
#[derive(Debug, Default)]
pub(super) struct PartSuspects {
    crashes: BTreeMap<ShortHash, PartCrash>,
    /// The crashes that each part was in and that nothing explains.
    crashes_by_part: HashMap<PromptPart, BTreeSet<ShortHash>>,
    /// Start of the newest run with each part that its target outlived.
    survivals: HashMap<PromptPart, Time>,
}

impl PartSuspects {
    /// Records the parts at a crashed target, which crashed at a time when targets crashed at this rate per second
    /// and target. Returns false if nothing is new.
    pub(super) fn record(&mut self, report: &Crash, rate: f64, now: Time) -> bool {
        let at = now - Duration::from_millis(u64::from(report.age_ms));
        if !self.crashes.contains_key(&report.incarnation) {
            if report.parts.is_empty() {
                return false;
            }
            self.evict_oldest_if_full();
        }
        let crash = self.crashes.entry(report.incarnation);
        let crash = crash.or_insert_with(|| PartCrash {
            at,
            rate,
            targets: report.targets,
            explained: false,
            parts: BTreeMap::new(),
            reporters: BTreeSet::new(),
        });
        // The report that took the shortest way tells the time best.
        crash.at = crash.at.min(at);
        if !report.parts.is_empty() {
            crash.add_reporter(report.reporter);
        }
        if crash.explained {
            return false;
        }
        let mut is_new = false;
        for part in &report.parts {
            let survival = self.survivals.get(&part.part);
            if survival.is_some_and(|begun| *begun > crash.at) {
                continue;
            }
            let is_full = crash.parts.len() >= MAX_PARTS_PER_CRASH;
            if is_full && !crash.parts.contains_key(&part.part) {
                continue;
            }
            if crash.parts.entry(part.part).or_default().add(report, part) {
                is_new = true;
                let crashes = self.crashes_by_part.entry(part.part).or_default();
                crashes.insert(report.incarnation);
            }
        }
        is_new
    }

    fn evict_oldest_if_full(&mut self) {
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
        if let Some(incarnation) = oldest.map(|(incarnation, _)| *incarnation) {
            self.remove_parts_of(incarnation);
            self.crashes.remove(&incarnation);
        }
    }

    fn remove_parts_of(&mut self, incarnation: ShortHash) {
        let crash = self.crashes.get_mut(&incarnation);
        let parts = crash.map(|crash| std::mem::take(&mut crash.parts));
        for part in parts.unwrap_or_default().into_keys() {
            if let Some(crashes) = self.crashes_by_part.get_mut(&part) {
                crashes.remove(&incarnation);
                if crashes.is_empty() {
                    self.crashes_by_part.remove(&part);
                }
            }
        }
    }

    /// Marks the crashes of a known cause as explained: the other parts there are bystanders. Returns the targets that
    /// crashed.
    pub(super) fn mark_explained(&mut self, cause: PromptPart) -> Vec<ShortHash> {
        let caused = self
            .crashes_by_part
            .get(&cause)
            .cloned()
            .unwrap_or_default();
        for incarnation in &caused {
            self.mark_crash_explained(*incarnation);
        }
        caused.into_iter().collect()
    }

    /// Marks a crash as explained by a part that is refused.
    pub(super) fn mark_crash_explained(&mut self, incarnation: ShortHash) {
        self.remove_parts_of(incarnation);
        if let Some(crash) = self.crashes.get_mut(&incarnation) {
            crash.explained = true;
        }
    }

    /// Removes a part from all crashes.
    pub(super) fn clear(&mut self, part: PromptPart) {
        for incarnation in self.crashes_by_part.remove(&part).unwrap_or_default() {
            if let Some(crash) = self.crashes.get_mut(&incarnation) {
                crash.parts.remove(&part);
            }
        }
    }

    /// Records that a target outlived a run with the part that began at a time. The part is no suspect in earlier
    /// crashes. Returns false if it was none.
    pub(super) fn record_survival(&mut self, part: PromptPart, begun: Time) -> bool {
        let is_full = self.survivals.len() >= MAX_SURVIVALS;
        if let Some(newest) = self.survivals.get_mut(&part) {
            *newest = begun.max(*newest);
        } else if !is_full {
            self.survivals.insert(part, begun);
        }
        let Some(suspected_in) = self.crashes_by_part.get_mut(&part) else {
            return false;
        };
        let before = suspected_in.len();
        suspected_in.retain(|incarnation| {
            let crash = self.crashes.get_mut(incarnation);
            let earlier = crash.filter(|crash| crash.at < begun);
            earlier.is_none_or(|crash| {
                crash.parts.remove(&part);
                false
            })
        });
        let was_suspect = suspected_in.len() < before;
        if suspected_in.is_empty() {
            self.crashes_by_part.remove(&part);
        }
        was_suspect
    }

    /// Returns whether a run shows that a part is sound: its target lived on after it was complete, or for much longer
    /// than runs with the part had lasted at earlier crashes.
    pub(super) fn is_outlived(&self, part: PromptPart, run: &SoundRun) -> bool {
        if run.is_complete && run.survived >= MIN_SURVIVAL_TIME {
            return true;
        }
        let needed = self.survival_time(part, run.begun);
        needed.is_some_and(|needed| run.survived >= needed)
    }

    /// Returns how long a target must outlive the start of a run to show that the part is sound; `None` if the part is
    /// no suspect in crashes before the run.
    fn survival_time(&self, part: PromptPart, begun: Time) -> Option<Duration> {
        let earlier = self.all_crashes_of(part).filter(|crash| crash.at < begun);
        let merged = earlier.filter_map(|crash| crash.merged(part));
        let longest = merged.map(InterruptedPart::run_time).max()?;
        Some(MIN_SURVIVAL_TIME.max(longest * SURVIVAL_FACTOR))
    }

    fn all_crashes_of(&self, part: PromptPart) -> impl Iterator<Item = &PartCrash> {
        let crashes = self.crashes_by_part.get(&part);
        let crashes = crashes.into_iter().flatten();
        crashes.filter_map(|incarnation| self.crashes.get(incarnation))
    }

    /// Returns the crashes that a part may have caused, in order of time, one for each outage.
    ///
    /// A part that crashes targets before they respond never begins. If targets did respond to requests with the part,
    /// it does not crash them while such a request waits.
    fn crashes_of(&self, part: PromptPart) -> Vec<&PartCrash> {
        let mut crashes = self.all_crashes_of(part).collect::<Vec<_>>();
        if crashes.iter().any(|crash| crash.has_begun(part)) {
            crashes.retain(|crash| crash.has_begun(part));
        }
        separate_outages(crashes)
    }

    /// Returns the number of crashes from the first to the last of those given that nothing explains.
    fn crash_count_during(&self, crashes: &[&PartCrash]) -> usize {
        let [Some(first), Some(last)] = [crashes.first(), crashes.last()] else {
            return 0;
        };
        let unexplained = self.crashes.values().filter(|crash| !crash.explained);
        let during = unexplained.filter(|crash| (first.at..=last.at).contains(&crash.at));
        separate_outages(during.collect()).len()
    }

    /// Returns the number of crashes that a part was in and that nothing explains.
    pub(super) fn crash_count(&self, part: PromptPart) -> usize {
        self.crashes_by_part.get(&part).map_or(0, BTreeSet::len)
    }

    /// Returns the part because of which targets crash, of those given, if one is known to be the cause.
    ///
    /// Parts that were always in the same crashes can't be told apart by their evidence. From [`CERTAIN_CRASHES`] on,
    /// one of them is taken as the cause, as requests with it have the others, too.
    pub(super) fn find_cause(
        &self,
        candidates: impl Iterator<Item = PromptPart>,
    ) -> Option<PromptPart> {
        let causes = candidates.filter(|part| self.is_cause(*part));
        let strength = |part: &PromptPart| (!self.has_survived(*part), self.evidence(*part).digits);
        causes.max_by(|one, two| {
            let [one_strength, two_strength] = [strength(one), strength(two)];
            let by_survival = one_strength.0.cmp(&two_strength.0);
            let by_evidence = one_strength.1.total_cmp(&two_strength.1);
            by_survival.then(by_evidence).then(one.cmp(two))
        })
    }

    /// Returns whether a target has lately outlived a run with the part.
    fn has_survived(&self, part: PromptPart) -> bool {
        self.survivals.contains_key(&part)
    }

    fn is_cause(&self, part: PromptPart) -> bool {
        let crashes = self.crashes_of(part);
        if crashes.len() < MIN_CRASHES {
            return false;
        }
        let all = self.crash_count_during(&crashes);
        let evidence = evidence_against(part, &crashes, all);
        let is_certain = evidence.crashes >= CERTAIN_CRASHES;
        let is_significant = evidence.digits >= self.needed_digits(part, is_certain);
        if !is_significant || evidence.independent_digits < MIN_INDEPENDENT_DIGITS {
            return false;
        }
        let mut rivals = rivals_of(part, &crashes).into_iter();
        rivals.all(|rival| {
            let lead = evidence.digits - rival_significance(rival, &crashes, all);
            let may_tie = is_certain && self.has_survived(part) <= self.has_survived(rival);
            lead >= if may_tie { 0.0 } else { MIN_LEAD_DIGITS }
        })
    }

    /// Returns the decimal digits of significance that a refusal of a part needs.
    fn needed_digits(&self, part: PromptPart, is_certain: bool) -> f64 {
        let needed = if is_certain {
            CERTAIN_SIGNIFICANCE_DIGITS
        } else {
            MIN_SIGNIFICANCE_DIGITS + to_f64(self.crashes_by_part.len().max(1)).log10()
        };
        if self.has_survived(part) {
            needed + SURVIVED_DIGITS
        } else {
            needed
        }
    }

    /// Returns the parts that were in crashes, with the evidence against each.
    pub(super) fn iter(&self) -> impl Iterator<Item = (PromptPart, PartEvidence)> {
        let parts = self.crashes_by_part.keys();
        parts.map(|part| (*part, self.evidence(*part)))
    }

    /// Returns the evidence against a part.
    pub(super) fn evidence(&self, part: PromptPart) -> PartEvidence {
        let crashes = self.crashes_of(part);
        evidence_against(part, &crashes, self.crash_count_during(&crashes))
    }

    /// Removes expired entries.
    pub(super) fn sweep(&mut self, now: Time) {
        let expired = self.crashes.iter();
        let expired = expired.filter(|(_, crash)| now.since(crash.at) > CRASH_RETENTION);
        let expired = expired.map(|(incarnation, _)| *incarnation);
        for incarnation in expired.collect::<Vec<_>>() {
            self.remove_parts_of(incarnation);
            self.crashes.remove(&incarnation);
        }
        self.survivals
            .retain(|_, begun| now.since(*begun) <= SURVIVAL_RETENTION);
    }
}
