//! Decisions of the cores about callers' requests, queued until the instance applies them.

use crate::engines::PermitDecision;
use crate::journal::JournalDecision;
use crate::rates::RateDecision;
use crate::services::SlotDecision;

/// A core's decision about one request.
#[derive(Debug)]
pub(super) enum Decision {
    /// The request's tokens were charged, or the request was refused.
    Rate(RateDecision),
    /// The request got a permit for an engine, or was refused.
    Permit(PermitDecision),
    /// The request got a slot at a service replica, or was refused.
    Slot(SlotDecision),
    /// The request's intent was recorded, its stored response is replayed, or it was refused.
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
