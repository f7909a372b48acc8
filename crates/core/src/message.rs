//! What instances say to each other; one variant per core.

use serde::{Deserialize, Serialize};

use crate::catalogue::CatalogueMessage;
use crate::engines::EnginesMessage;
use crate::journal::JournalMessage;
use crate::membership::MembershipMessage;
use crate::rates::RatesMessage;

/// A message between two instances.
///
/// It may be lost, late, doubled or out of order; each core's protocol allows for that.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Heartbeats and maps.
    Membership(MembershipMessage),
    /// Catalogue revisions.
    Catalogue(CatalogueMessage),
    /// Shares of a workspace's rate.
    Rates(RatesMessage),
    /// Permits of engines, and permits to load.
    Engines(EnginesMessage),
    /// Calls that may not be repeated.
    Journal(JournalMessage),
}
