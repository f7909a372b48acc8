//! Decisions of the cores about callers' requests, on their way to the next step.

use crate::engines::PermitDecision;
use crate::journal::JournalDecision;
use crate::rates::RateDecision;
use crate::services::SlotDecision;

/// A core's decision about one request.
#[derive(Debug)]
pub(super) enum Decision {
    /// Its tokens are charged, or it is refused.
    Rate(RateDecision),
    /// It has a place in an engine, or is refused.
    Permit(PermitDecision),
    /// It has a place at a service's replica, or is refused.
    Slot(SlotDecision),
    /// Its intent is recorded, it was answered before, or it is refused.
    Journal(JournalDecision),
}

macro_rules! from_core {
    ($($core:ident => $variant:ident;)+) => {$(
        impl From<$core> for Decision {
            fn from(decision: $core) -> Self {
                Self::$variant(decision)
            }
        }
    )+};
}

from_core! {
    RateDecision => Rate;
    PermitDecision => Permit;
    SlotDecision => Slot;
    JournalDecision => Journal;
}
