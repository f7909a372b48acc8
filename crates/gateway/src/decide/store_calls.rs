//! What this instance last asked the store for, by kind of objects.
//!
//! A call that waits for news and one whose answer will never come look alike from outside. Its age
//! beside the age of the last answer tells operators which it is.

use std::collections::BTreeMap;

use bluebellstage_core::Time;

use super::kind::Kind;

/// The calls about one kind of objects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreCall {
    /// When the open call was made; none: no call is open.
    pub open_since: Option<Time>,
    /// When the last answer came; none: never.
    pub last_response: Option<Time>,
}

/// The calls about all kinds that this instance has asked for.
#[derive(Clone, Debug, Default)]
pub struct StoreCalls {
    by_kind: BTreeMap<Kind, StoreCall>,
}

impl StoreCalls {
    /// A call was made.
    pub fn record_start(&mut self, kind: Kind, now: Time) {
        self.by_kind.entry(kind).or_default().open_since = Some(now);
    }

    /// The open call has ended, with an answer of the store or without one.
    pub fn record_end(&mut self, kind: Kind, answered: bool, now: Time) {
        let call = self.by_kind.entry(kind).or_default();
        call.open_since = None;
        if answered {
            call.last_response = Some(now);
        }
    }

    /// The calls by kind.
    pub fn all(&self) -> impl Iterator<Item = (Kind, StoreCall)> {
        self.by_kind.iter().map(|(kind, call)| (*kind, *call))
    }
}
