//! Positions in the history of a store that may be restored from an older copy of itself.

use std::fmt;

use bluebellstage_core::Revision;
use serde::{Deserialize, Serialize};

/// Bits of a packed position that hold the counter. At 400 changes a second they last for 1,300 years.
const COUNTER_BITS: u32 = 44;

/// Number of times that the store was restored from a copy. Each time it loses changes, and its counter goes
/// back.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Era(pub u32);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A position in the store's history: any position of a later era comes after all of an earlier one.
///
/// Positions travel and are compared as a [`Revision`], with the era in its upper bits, so that no comparison
/// can leave the era out.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StorePosition {
    /// The era.
    pub era: Era,
    /// The store's own counter of changes.
    pub counter: u64,
}

impl StorePosition {
    const MAX_COUNTER: u64 = (1 << COUNTER_BITS) - 1;
    const MAX_ERA: u32 = (1 << (u64::BITS - COUNTER_BITS)) - 1;
}

impl From<StorePosition> for Revision {
    fn from(position: StorePosition) -> Self {
        let era = u64::from(position.era.0.min(StorePosition::MAX_ERA));
        Self(era << COUNTER_BITS | position.counter.min(StorePosition::MAX_COUNTER))
    }
}

impl From<Revision> for StorePosition {
    fn from(revision: Revision) -> Self {
        Self {
            era: Era(u32::try_from(revision.0 >> COUNTER_BITS).unwrap_or(Self::MAX_ERA)),
            counter: revision.0 & Self::MAX_COUNTER,
        }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era == Era::default() {
            return self.counter.fmt(f);
        }
        write!(f, "{}:{}", self.era, self.counter)
    }
}
