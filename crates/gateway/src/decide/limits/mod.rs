//! Limits that targets name in their answers, for all instances together.

mod request_rate;
mod word;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bluebellstage_core::{Rate, TargetId, Time, Tokens};

pub use self::request_rate::{BadRequestRate, RequestRate};
pub use self::word::LimitWord;
use super::config::{Quota, QuotaUnit};

/// What a request counts as: rates are counted in thousandths of one.
pub const REQUEST: u64 = 1_000;
/// Least rate at which a target is asked, in thousandths of a request a second. One that takes nothing is asked now and
/// then whether that is over.
const LEAST_RATE: u64 = 250;
/// Requests that may be sent to a rested target at once, in thousandths.
const LEAST_BURST: u64 = 2 * REQUEST;
/// Time in which the rate fills the burst of a target that takes many.
const BURST_SPAN: Duration = Duration::from_millis(500);
/// Time since the last word on a limit from which its target gets what it takes before others are asked: it may be over.
const ASKED_AFTER: Duration = Duration::from_secs(1);
/// Rounds in which a word is told.
const TOLD: u32 = 2;

/// What a target's answer says of its limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Said {
    /// It has none.
    #[default]
    Unlimited,
    /// It takes no more than so many requests a second.
    Limit(RequestRate),
    /// Something that names no rate.
    Malformed,
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing.
    Same,
    /// The target names a limit, or another one than before.
    Limited(RequestRate),
    /// It names none any more.
    Over,
}

/// The newest word on a target.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// None: it named a limit before.
    limit: Option<RequestRate>,
    /// When it was heard.
    at: Time,
}

/// Limits by target.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<TargetId, Known>,
    /// Targets of which all others are to be told, with the rounds that are left.
    untold: BTreeMap<TargetId, u32>,
    /// The same for those that ask this instance for news. What others told goes to them alone: relays that told it
    /// each other would take it for news each time.
    passed_on: BTreeMap<TargetId, u32>,
}

/// Targets that are due, one round less of each left.
fn take_round(rounds: &mut BTreeMap<TargetId, u32>) -> Vec<TargetId> {
    let due = rounds.keys().cloned().collect();
    for left in rounds.values_mut() {
        *left -= 1;
    }
    rounds.retain(|_, left| *left > 0);
    due
}

/// The budget that a limit gives all instances together.
#[must_use]
pub fn budget(rate: RequestRate) -> Quota {
    let milli = u64::from(rate.milli()).max(LEAST_RATE);
    let in_span = milli * u64::try_from(BURST_SPAN.as_millis()).unwrap_or(0) / REQUEST;
    Quota {
        unit: QuotaUnit::Requests,
        rate: Rate(milli),
        burst: Tokens(in_span.max(LEAST_BURST)),
    }
}

impl Limits {
    /// Takes in what an answer to a request says that was `sent` then. One that was sent before the last word on the
    /// target doesn't end its limit: it was under way when that was named.
    pub fn heard(&mut self, target: &TargetId, said: Said, sent: Time, now: Time) -> Change {
        let known = self.known.get(target).copied();
        let limit = known.and_then(|known| known.limit);
        match (said, limit) {
            (Said::Malformed, _) | (Said::Unlimited, None) => Change::Same,
            (Said::Unlimited, Some(_)) => {
                if known.is_some_and(|known| sent < known.at) {
                    return Change::Same;
                }
                self.put(target, None, now);
                Change::Over
            }
            (Said::Limit(rate), before) => {
                self.put(target, Some(rate), now);
                if before == Some(rate) {
                    Change::Same
                } else {
                    Change::Limited(rate)
                }
            }
        }
    }

    fn put(&mut self, target: &TargetId, limit: Option<RequestRate>, at: Time) {
        self.known.insert(target.clone(), Known { limit, at });
        self.untold.insert(target.clone(), TOLD);
    }

    /// Takes in what another instance heard; what it changed, and none if something newer is known.
    pub fn take(&mut self, word: &LimitWord, now: Time) -> Option<Change> {
        let at = now - word.age();
        let known = self.known.get(&word.target).copied();
        if known.is_some_and(|known| known.at >= at) {
            return None;
        }
        let before = known.and_then(|known| known.limit);
        let limit = word.limit;
        self.known.insert(word.target.clone(), Known { limit, at });
        Some(match (before, limit) {
            (before, after) if before == after => Change::Same,
            (_, Some(rate)) => Change::Limited(rate),
            (_, None) => Change::Over,
        })
    }

    /// Has another instance's words on targets told to those that ask this one for news.
    pub fn pass_on(&mut self, targets: Vec<TargetId>) {
        let targets = targets.into_iter().map(|target| (target, TOLD));
        self.passed_on.extend(targets);
    }

    /// Own words for all others in this round.
    pub fn tell_round(&mut self, now: Time) -> Vec<LimitWord> {
        let due = take_round(&mut self.untold);
        self.words(due, now)
    }

    /// Words of others, for those that ask this instance for news.
    pub fn pass_on_round(&mut self, now: Time) -> Vec<LimitWord> {
        let due = take_round(&mut self.passed_on);
        self.words(due, now)
    }

    fn words(&self, targets: Vec<TargetId>, now: Time) -> Vec<LimitWord> {
        let words = targets.into_iter().filter_map(|target| {
            let known = self.known.get(&target)?;
            let age = now.since(known.at).as_millis();
            Some(LimitWord {
                target,
                limit: known.limit,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            })
        });
        words.collect()
    }

    /// Whether no target names a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.values().all(|known| known.limit.is_none())
    }

    /// Whether a target's limit was named so long ago that it may be over.
    #[must_use]
    pub fn may_be_over(&self, target: &TargetId, now: Time) -> bool {
        let known = self.known.get(target);
        known.is_some_and(|known| now.since(known.at) >= ASKED_AFTER)
    }

    /// The limit of a target.
    #[must_use]
    pub fn of(&self, target: &TargetId) -> Option<RequestRate> {
        self.known.get(target)?.limit
    }

    /// Targets that name a limit.
    pub fn all(&self) -> impl Iterator<Item = (&TargetId, RequestRate)> {
        let known = self.known.iter();
        known.filter_map(|(target, known)| Some((target, known.limit?)))
    }

    /// Forgets targets that are gone; gives those that named a limit.
    pub fn forget(&mut self, gone: impl Fn(&TargetId) -> bool) -> Vec<TargetId> {
        let limited = self.all().map(|(target, _)| target);
        let limited = limited.filter(|target| gone(target)).cloned();
        let limited = limited.collect();
        self.known.retain(|target, _| !gone(target));
        limited
    }
}
