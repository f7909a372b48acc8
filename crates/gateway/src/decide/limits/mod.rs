//! Limits that targets in need name in their answers, for all instances together.

mod request_rate;

use std::collections::HashMap;

use bluebellstage_core::{TargetId, Time};

pub use self::request_rate::{BadRequestRate, RequestRate};

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

    /// Forgets targets that are gone.
    pub fn keep(&mut self, present: impl Fn(&TargetId) -> bool) {
        self.known.retain(|target, _| present(target));
    }
}
