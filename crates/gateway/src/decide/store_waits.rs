//! What this instance last asked the store for, by kind of objects.
//!
//! A call that waits for news and one whose answer will never come look alike from outside. Its age
//! beside the age of the last answer tells operators which it is.

use std::collections::BTreeMap;

use bluebellstage_core::Time;

use super::kind::Kind;

/// The calls about one kind of objects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreWait {
    /// When the open call was made; none: no call is open.
    pub asked: Option<Time>,
    /// When the last answer came; none: never.
    pub answered: Option<Time>,
}

/// The calls about all kinds that this instance has asked for.
#[derive(Clone, Debug, Default)]
pub struct StoreWaits {
    by_kind: BTreeMap<Kind, StoreWait>,
}

impl StoreWaits {
    /// A call was made.
    pub fn asked(&mut self, kind: Kind, now: Time) {
        self.by_kind.entry(kind).or_default().asked = Some(now);
    }

    /// The open call has ended, with an answer of the store or without one.
    pub fn ended(&mut self, kind: Kind, answered: bool, now: Time) {
        let wait = self.by_kind.entry(kind).or_default();
        wait.asked = None;
        if answered {
            wait.answered = Some(now);
        }
    }

    /// The calls by kind.
    pub fn all(&self) -> impl Iterator<Item = (Kind, StoreWait)> {
        self.by_kind.iter().map(|(kind, wait)| (*kind, *wait))
    }
}
