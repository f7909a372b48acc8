//! Keeps requests under which targets end from ending more of them.
//!
//! When a target ends, all requests that it ran are cut, and one of them may be the cause. Instances tell each
//! other which were cut and how long each had run. A request is refused once chance no longer explains that it
//! was on so many ended targets; an answer that came whole proves it harmless. Verdicts last: every instance
//! keeps them, newcomers copy them, and the store keeps them for a fleet that starts anew.

mod fingerprint;
mod suspects;
mod verdict;
mod word;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::fingerprint::{BadFingerprint, Fingerprint};
use self::suspects::Suspects;
pub use self::verdict::{AgedVerdict, Decision, Verdict};
pub use self::word::{CutRun, Ended, Word};
use super::rendezvous::{ShortHash, weight};

/// How long a verdict holds.
pub const VERDICT_LASTS: Duration = Duration::from_hours(1);
/// Verdicts that are kept; the oldest goes first.
const MOST_VERDICTS: usize = 1_024;
/// How long a whole answer proves that its request is harmless: targets don't end under it.
const SERVED_LASTS: Duration = Duration::from_secs(10);
/// Requests whose whole answers are remembered.
const MOST_SERVED: usize = 2_048;
/// Rounds in which a word is told again, as datagrams are lost.
const TOLD_AGAIN: u32 = 3;
/// Parts of the targets, of which a suspect has one.
const PARTS: u64 = 3;
/// Time after an end in which the others' words on it come.
pub const JUDGED_AFTER: Duration = Duration::from_millis(50);
/// Runs in one word, so that it fits a datagram.
const CUTS_IN_A_WORD: usize = 48;

#[derive(Clone, Copy, Debug)]
struct Held {
    verdict: Verdict,
    since: Time,
}

fn part_of_digest(verdict: &Verdict) -> u64 {
    let revision = u64::from(verdict.revision);
    xxh3_64_with_seed(&verdict.request.bits().to_le_bytes(), revision)
}

/// Requests under which targets end, and those that may be.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: Suspects,
    verdicts: HashMap<Fingerprint, Held>,
    /// Of all verdicts.
    digest: u64,
    /// Requests that were answered whole lately, and the order of that.
    served: HashMap<Fingerprint, Time>,
    served_order: VecDeque<(Time, Fingerprint)>,
    /// Own words that are told again, with the rounds that are left.
    telling: Vec<(Word, u32)>,
    /// Words of others, for those that ask this instance for news, and when they came.
    passed_on: Vec<(Word, Time)>,
}

impl Quarantine {
    /// Whether a request must not be sent to a target.
    #[must_use]
    pub fn refuses(&self, request: Fingerprint) -> bool {
        let held = self.verdicts.get(&request);
        held.is_some_and(|held| held.verdict.decision == Decision::Refused)
    }

    /// Whether this life of a target is known to have ended.
    #[must_use]
    pub fn has_ended(&self, life: ShortHash) -> bool {
        self.suspects.has_ended(life)
    }

    /// On how many targets that ended a request was; it is not known whether by chance.
    #[must_use]
    pub fn suspicion(&self, request: Fingerprint) -> usize {
        self.suspects.count(request)
    }

    /// Whether a suspect may be sent to a target. Each has a part of the targets of its own, another one after
    /// each end: sent together again, the cause and a bystander could not be told apart.
    #[must_use]
    pub fn is_apart(&self, request: Fingerprint, target: &TargetId) -> bool {
        let seed = request.bits().wrapping_add(self.suspicion(request) as u64);
        weight(seed, target.as_str()).is_multiple_of(PARTS)
    }

    /// A target ended under requests of this instance. Gives the words for the others.
    pub fn ended(&mut self, ended: &Ended, now: Time) -> Vec<Word> {
        let parts = ended.cuts.chunks(CUTS_IN_A_WORD).map(|cuts| Ended {
            cuts: cuts.to_vec(),
            ..ended.clone()
        });
        let words = parts.map(Word::Ended).collect::<Vec<_>>();
        for word in &words {
            self.take(word, now);
        }
        words
    }

    /// Judges requests of this instance that were on a target which ended [`JUDGED_AFTER`] ago. Gives those
    /// that are refused from now on.
    pub fn judge(&mut self, requests: &[Fingerprint], now: Time) -> Vec<Verdict> {
        let causes = requests.iter().copied();
        let causes = causes.filter(|request| self.suspects.is_cause(*request));
        let causes = causes.collect::<Vec<_>>();
        let refused = causes.into_iter().map(|request| self.refuse(request, now));
        refused.collect()
    }

    /// A request was answered whole. Gives the word for the others if it was suspected.
    pub fn served(&mut self, request: Fingerprint, now: Time) -> Option<Word> {
        self.note_served(request, now);
        let was_suspect = self.suspects.forget(request);
        was_suspect.then_some(Word::Served(request))
    }

    /// Takes in what another instance told; false if it is known.
    pub fn take(&mut self, word: &Word, now: Time) -> bool {
        match word {
            Word::Ended(ended) => self.take_ended(ended, now),
            Word::Served(request) => {
                self.note_served(*request, now);
                self.suspects.forget(*request)
            }
            Word::Decided(verdict) => self.adopt(*verdict, Duration::ZERO, now),
        }
    }

    fn take_ended(&mut self, ended: &Ended, now: Time) -> bool {
        let at = now - Duration::from_millis(u64::from(ended.age_ms));
        let doubtful = ended.cuts.iter();
        let doubtful = doubtful.filter(|cut| !self.served_lately(cut.request, at));
        let doubtful = Ended {
            cuts: doubtful.copied().collect(),
            ..ended.clone()
        };
        let is_new = self.suspects.note(&doubtful, now);
        // One that was sent before it was refused explains this end, too.
        let causes = ended.cuts.iter().map(|cut| cut.request);
        for cause in causes
            .filter(|request| self.refuses(*request))
            .collect::<Vec<_>>()
        {
            self.suspects.explain(cause);
        }
        is_new
    }

    fn refuse(&mut self, request: Fingerprint, now: Time) -> Verdict {
        let before = self.verdicts.get(&request).map(|held| held.verdict);
        let verdict = Verdict::next(request, Decision::Refused, before.as_ref());
        self.adopt(verdict, Duration::ZERO, now);
        verdict
    }

    /// An operator lets a request through again; none if it is not refused.
    pub fn clear(&mut self, request: Fingerprint, now: Time) -> Option<Verdict> {
        let before = self.verdicts.get(&request)?.verdict;
        if before.decision != Decision::Refused {
            return None;
        }
        let verdict = Verdict::next(request, Decision::Cleared, Some(&before));
        self.adopt(verdict, Duration::ZERO, now);
        Some(verdict)
    }

    /// Puts a verdict of some age in force; false if it is known, replaced by a newer one, or out of date.
    pub fn adopt(&mut self, verdict: Verdict, age: Duration, now: Time) -> bool {
        let request = verdict.request;
        let known = self.verdicts.get(&request);
        let known = known.is_some_and(|known| !verdict.replaces(&known.verdict));
        if known || age >= VERDICT_LASTS {
            return false;
        }
        if verdict.decision == Decision::Refused {
            self.suspects.explain(request);
        }
        self.suspects.forget(request);
        self.drop_verdict(request);
        if self.verdicts.len() >= MOST_VERDICTS {
            let oldest = self.verdicts.iter().min_by_key(|(_, held)| held.since);
            if let Some(oldest) = oldest.map(|(request, _)| *request) {
                self.drop_verdict(oldest);
            }
        }
        self.digest ^= part_of_digest(&verdict);
        let since = now - age;
        self.verdicts.insert(request, Held { verdict, since });
        true
    }

    fn drop_verdict(&mut self, request: Fingerprint) {
        if let Some(held) = self.verdicts.remove(&request) {
            self.digest ^= part_of_digest(&held.verdict);
        }
    }

    fn note_served(&mut self, request: Fingerprint, now: Time) {
        self.served.insert(request, now);
        self.served_order.push_back((now, request));
        while self.served_order.len() > MOST_SERVED {
            self.forget_first_served();
        }
    }

    fn forget_first_served(&mut self) {
        let Some((at, request)) = self.served_order.pop_front() else {
            return;
        };
        if self.served.get(&request) == Some(&at) {
            self.served.remove(&request);
        }
    }

    /// Whether a request was answered whole shortly before `at`, or since.
    fn served_lately(&self, request: Fingerprint, at: Time) -> bool {
        let served = self.served.get(&request);
        served.is_some_and(|served| at.since(*served) < SERVED_LASTS)
    }

    /// Tells words again in the next rounds.
    pub fn tell_again(&mut self, words: impl IntoIterator<Item = Word>) {
        let words = words.into_iter().map(|word| (word, TOLD_AGAIN));
        self.telling.extend(words);
    }

    /// Has words of others passed on.
    pub fn pass_on(&mut self, words: Vec<Word>, now: Time) {
        let words = words.into_iter().map(|word| (word, now));
        self.passed_on.extend(words);
    }

    /// Words of others that are to be passed on, older by the time for which they were held.
    pub fn take_passed_on(&mut self, now: Time) -> Vec<Word> {
        let held = std::mem::take(&mut self.passed_on).into_iter();
        let aged = held.map(|(mut word, since)| {
            word.grow_older(now.since(since));
            word
        });
        aged.collect()
    }

    /// What is to be told in this round, `passed` after the one before.
    pub fn tell_round(&mut self, passed: Duration) -> Vec<Word> {
        for (word, left) in &mut self.telling {
            *left -= 1;
            word.grow_older(passed);
        }
        let words = self.telling.iter().map(|(word, _)| word.clone());
        let words = words.collect();
        self.telling.retain(|(_, left)| *left > 0);
        words
    }

    /// Verdicts in force.
    pub fn verdicts(&self, now: Time) -> impl Iterator<Item = AgedVerdict> {
        self.verdicts.values().map(move |held| AgedVerdict {
            verdict: held.verdict,
            age: now.since(held.since),
        })
    }

    /// Requests that are refused, with the time for which they are.
    pub fn refused(&self, now: Time) -> impl Iterator<Item = (Fingerprint, Duration)> {
        let refused = |held: &&Held| held.verdict.decision == Decision::Refused;
        let held = self.verdicts.values().filter(refused);
        held.map(move |held| (held.verdict.request, now.since(held.since)))
    }

    /// Suspects, with the number of ended targets that each was on.
    pub fn suspected(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        self.suspects.all()
    }

    /// Tells apart what two instances hold; zero if there is no verdict, or too many: then instances hold
    /// different ones, and would copy from each other for ever.
    #[must_use]
    pub fn digest(&self) -> u64 {
        if self.verdicts.len() < MOST_VERDICTS {
            self.digest
        } else {
            0
        }
    }

    /// Forgets what is long ago; gives the requests whose verdicts are over.
    pub fn sweep(&mut self, now: Time) -> Vec<Fingerprint> {
        self.suspects.sweep(now);
        let over = |held: &&Held| now.since(held.since) >= VERDICT_LASTS;
        let over = self.verdicts.values().filter(over);
        let over = over.map(|held| held.verdict.request).collect::<Vec<_>>();
        for request in &over {
            self.drop_verdict(*request);
        }
        let old = |at: &Time| now.since(*at) >= SERVED_LASTS;
        while self.served_order.front().is_some_and(|(at, _)| old(at)) {
            self.forget_first_served();
        }
        over
    }
}
