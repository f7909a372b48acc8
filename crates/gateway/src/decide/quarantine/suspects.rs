//! Which requests were on targets that ended, and whether chance explains it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bluebellstage_core::Time;

use super::fingerprint::Fingerprint;
use super::word::Ended;
use crate::decide::rendezvous::ShortHash;

/// Ended targets that are needed for a refusal, however unlikely a chance is.
const LEAST_ENDED: usize = 2;
/// Ended targets that are enough however likely a chance is: no caller tries one request so often.
const ENOUGH_ENDED: usize = 5;
/// Decimal digits of the chance that any of the suspects met the same as a bystander, from which it counts as
/// excluded.
const DIGITS_OF_PROOF: f64 = 7.0;
/// The same by which the cause stands out among those that were on the same targets.
const DIGITS_APART: f64 = 2.0;
/// Shortest run that is told apart from a shorter one.
const SHORTEST_RUN: Duration = Duration::from_millis(20);
/// Span over which the rate of ends is taken.
const RATE_SPAN: Duration = Duration::from_secs(10);
/// How long an ended target is remembered.
pub(super) const ENDED_LASTS: Duration = Duration::from_mins(10);
/// Ended targets that are remembered; the oldest goes first.
const MOST_ENDED: usize = 256;
/// Runs that are remembered of one ended target.
const MOST_CUTS: usize = 512;

#[derive(Debug)]
struct EndedTarget {
    at: Time,
    /// Ends a second, of one target, around that time.
    rate: f64,
    /// A request is known to be the cause.
    explained: bool,
    /// How long each request had run.
    cuts: HashMap<Fingerprint, Duration>,
}

/// What speaks against a request.
#[derive(Clone, Copy, Debug, Default)]
struct Weight {
    /// Ended targets that it was on, one after the other.
    ended: usize,
    /// Those of them that no other request explains.
    unexplained: usize,
    /// Decimal digits of the chance that it met them as a bystander.
    digits: f64,
}

/// Weighs what speaks against a request that was on all these targets. Runs that were under way together are one
/// piece of evidence: an outage cuts them all.
fn weigh(request: Fingerprint, on: &[&EndedTarget]) -> Weight {
    let mut weight = Weight::default();
    let mut last = None;
    for ended in on {
        let Some(ran) = ended.cuts.get(&request) else {
            continue;
        };
        if last.is_some_and(|last| ended.at - *ran < last) {
            continue;
        }
        last = Some(ended.at);
        weight.ended += 1;
        if ended.explained {
            continue;
        }
        let chance = ended.rate * (*ran).max(SHORTEST_RUN).as_secs_f64();
        weight.unexplained += 1;
        weight.digits -= chance.min(1.0).log10();
    }
    weight
}

/// Whether what speaks against a request is clearly more than for each other that was on the same targets.
fn stands_out(request: Fingerprint, weight: Weight, on: &[&EndedTarget]) -> bool {
    let unexplained = on.iter().filter(|ended| !ended.explained);
    let unexplained = unexplained.copied().collect::<Vec<_>>();
    let Some(first) = unexplained.first() else {
        return false;
    };
    let on_all = |rival: &Fingerprint| {
        let mut others = unexplained.iter();
        others.all(|ended| ended.cuts.contains_key(rival))
    };
    let rivals = first.cuts.keys().copied();
    let mut rivals = rivals.filter(|rival| *rival != request && on_all(rival));
    rivals.all(|rival| weigh(rival, &unexplained).digits + DIGITS_APART <= weight.digits)
}

/// Ended targets with the requests that they took with them.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    ended: BTreeMap<ShortHash, EndedTarget>,
    /// In how many of them each request is.
    counts: HashMap<Fingerprint, usize>,
}

#[expect(clippy::cast_precision_loss, reason = "a few hundred targets end")]
fn number(count: usize) -> f64 {
    count as f64
}

impl Suspects {
    /// Notes an ended target, or further runs on one that is known; false if all of them are.
    pub(super) fn note(&mut self, word: &Ended, now: Time) -> bool {
        let at = now - Duration::from_millis(u64::from(word.age_ms));
        if !self.ended.contains_key(&word.life) {
            self.make_room();
            let rate = self.rate_with_another(word.targets, at);
            let ended = EndedTarget {
                at,
                rate,
                explained: false,
                cuts: HashMap::new(),
            };
            self.ended.insert(word.life, ended);
        }
        let Some(ended) = self.ended.get_mut(&word.life) else {
            return false;
        };
        let mut is_new = false;
        for cut in &word.cuts {
            if ended.cuts.len() < MOST_CUTS && !ended.cuts.contains_key(&cut.request) {
                ended.cuts.insert(cut.request, cut.ran());
                *self.counts.entry(cut.request).or_default() += 1;
                is_new = true;
            }
        }
        is_new
    }

    /// Ends a second of one target, one that ended at `at` included.
    fn rate_with_another(&self, targets: u32, at: Time) -> f64 {
        let near = |ended: &&EndedTarget| ended.at.since(at).max(at.since(ended.at)) < RATE_SPAN;
        let ends = 1 + self.ended.values().filter(near).count();
        number(ends) / (f64::from(targets.max(1)) * RATE_SPAN.as_secs_f64())
    }

    fn make_room(&mut self) {
        if self.ended.len() < MOST_ENDED {
            return;
        }
        let oldest = self.ended.iter().min_by_key(|(_, ended)| ended.at);
        if let Some(life) = oldest.map(|(life, _)| *life) {
            self.drop_ended(life);
        }
    }

    fn drop_ended(&mut self, life: ShortHash) {
        let Some(ended) = self.ended.remove(&life) else {
            return;
        };
        for request in ended.cuts.into_keys() {
            self.uncount(request);
        }
    }

    fn uncount(&mut self, request: Fingerprint) {
        if let Some(count) = self.counts.get_mut(&request) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&request);
            }
        }
    }

    /// The request is proved harmless; false if it was no suspect.
    pub(super) fn forget(&mut self, request: Fingerprint) -> bool {
        if self.counts.remove(&request).is_none() {
            return false;
        }
        for ended in self.ended.values_mut() {
            ended.cuts.remove(&request);
        }
        true
    }

    /// A request is known to be the cause: the others that were on its targets met it by chance.
    pub(super) fn explain(&mut self, cause: Fingerprint) {
        let with = self.ended.values_mut();
        for ended in with.filter(|ended| ended.cuts.contains_key(&cause)) {
            ended.explained = true;
        }
    }

    /// Requests that were on ended targets, with how many of them.
    pub(super) fn all(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        self.counts
            .iter()
            .map(|(request, count)| (*request, *count))
    }

    /// Whether this life of a target is known to have ended.
    pub(super) fn has_ended(&self, life: ShortHash) -> bool {
        self.ended.contains_key(&life)
    }

    /// On how many ended targets a request was.
    pub(super) fn count(&self, request: Fingerprint) -> usize {
        self.counts.get(&request).copied().unwrap_or(0)
    }

    /// Whether targets end under a request, as chance alone doesn't explain that it was there.
    ///
    /// A bystander that runs for a span is cut by chance with the rate of ends times the span. The cause is cut
    /// each time, soon after it began. Of two that were on the same ended targets neither is the cause for
    /// sure, unless one stands out.
    pub(super) fn is_cause(&self, request: Fingerprint) -> bool {
        let on = self.with(request);
        let weight = weigh(request, &on);
        if weight.ended >= ENOUGH_ENDED {
            return true;
        }
        let suspects = number(self.counts.len().max(1));
        let needed = DIGITS_OF_PROOF + suspects.log10();
        let proved = weight.unexplained >= LEAST_ENDED && weight.digits >= needed;
        proved && stands_out(request, weight, &on)
    }

    /// Ended targets that a request was on, the first one first.
    fn with(&self, request: Fingerprint) -> Vec<&EndedTarget> {
        let with = self.ended.values();
        let with = with.filter(|ended| ended.cuts.contains_key(&request));
        let mut with = with.collect::<Vec<_>>();
        with.sort_by_key(|ended| ended.at);
        with
    }

    /// Forgets what is long ago.
    pub(super) fn sweep(&mut self, now: Time) {
        let old = self.ended.iter();
        let old = old.filter(|(_, ended)| now.since(ended.at) > ENDED_LASTS);
        let lives = old.map(|(life, _)| *life).collect::<Vec<_>>();
        for life in lives {
            self.drop_ended(life);
        }
    }
}
