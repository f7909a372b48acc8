//! The last call of this instance to the store for each kind of objects.
//!
//! A call that waits for changes looks like one that will never get a response. Operators can tell
//! them apart by the age of the call and the age of the last response.

use std::collections::BTreeMap;

use bluebellstage_core::Time;

use crate::decide::store::kind::Kind;

/// The calls for one kind of objects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreCall {
    /// When the open call was made, or `None` if no call is open.
    pub open_since: Option<Time>,
    /// When the last response arrived, or `None` if there was none.
    pub last_response: Option<Time>,
}

/// The calls by kind of objects.
#[derive(Clone, Debug, Default)]
pub struct StoreCalls {
    by_kind: BTreeMap<Kind, StoreCall>,
}

impl StoreCalls {
    /// Records the start of a call.
    pub fn record_start(&mut self, kind: Kind, now: Time) {
        self.by_kind.entry(kind).or_default().open_since = Some(now);
    }

    /// Records the end of the open call, and whether the store responded.
    pub fn record_end(&mut self, kind: Kind, has_response: bool, now: Time) {
        let call = self.by_kind.entry(kind).or_default();
        call.open_since = None;
        if has_response {
            call.last_response = Some(now);
        }
    }

    /// Whether the store has responded to a call.
    #[must_use]
    pub fn has_response(&self) -> bool {
        let mut calls = self.by_kind.values();
        calls.any(|call| call.last_response.is_some())
    }

    /// Returns the calls by kind.
    pub fn all(&self) -> impl Iterator<Item = (Kind, StoreCall)> {
        self.by_kind.iter().map(|(kind, call)| (*kind, *call))
    }
}
