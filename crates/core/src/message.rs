//! Messages between instances, with one variant per core.

use serde::{Deserialize, Serialize};

use crate::catalogue::CatalogueMessage;
use crate::engines::EnginesMessage;
use crate::journal::JournalMessage;
use crate::membership::MembershipMessage;
use crate::rates::RatesMessage;

/// A message between two instances.
///
/// Messages may be lost, delayed, duplicated or reordered; each core's protocol tolerates this.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Heartbeats and maps.
    Membership(MembershipMessage),
    /// Catalogue revisions.
    Catalogue(CatalogueMessage),
    /// Shares of a workspace's rate.
    Rates(RatesMessage),
    /// Permits for engines, and permits to load adapters.
    Engines(EnginesMessage),
    /// Calls that may not be repeated.
    Journal(JournalMessage),
}
