//! What an instance tells of itself.

use bluebellstage_core::Revision;
use serde::{Deserialize, Serialize};

use super::loader::Places;
use super::peers::Load;
use super::quota::SpendReport;
use super::rendezvous::ShortHash;

/// What an instance does for the news of others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Nothing: it asks a relay.
    #[default]
    Asks,
    /// It will relay when it has heard everyone.
    Listens,
    /// It passes news on between its failure domain and the others.
    Relays,
}

impl Role {
    /// A short name, for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Asks => "asks",
            Self::Listens => "listens",
            Self::Relays => "relays",
        }
    }

    /// Whether relays tell it all that they hear.
    #[must_use]
    pub const fn hears_all(self) -> bool {
        matches!(self, Self::Listens | Self::Relays)
    }
}

/// State of an instance.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Status {
    /// Who tells.
    pub from: ShortHash,
    /// This life of it.
    pub life: u64,
    /// Count of its statuses in this life; a higher one is newer.
    pub seq: u32,
    /// Time in milliseconds for which relays have held it.
    pub age_ms: u16,
    /// Time in milliseconds since this life began.
    pub uptime_ms: u32,
    /// It takes callers.
    pub ready: bool,
    /// The store answers it.
    pub store_answers: bool,
    /// It is stopping for good and may be forgotten at once.
    pub ended: bool,
    /// Whether it passes news on between its failure domain and the others.
    pub role: Role,
    /// Version of its configuration.
    pub config: Revision,
    /// Revision of its list of targets.
    pub targets: Revision,
    /// Digest of what that list says.
    pub targets_digest: u32,
    /// Sum of the adapter versions that it knows to be announced; only grows.
    pub versions: u64,
    /// Digest of the verdicts on requests that it knows; zero if there is none.
    pub verdicts_digest: u64,
    /// What workspaces have spent there since it started, where that changed lately.
    pub spent: Vec<SpendReport>,
    /// What it has at each target.
    pub in_flight: Vec<(ShortHash, Load)>,
    /// Loads from the weight store that it has under way.
    pub loads: u16,
    /// Adapters that wait for one on engines of its shards.
    pub waiting_loads: u16,
    /// Places for adapters on the engines of its shards.
    pub places: Vec<(ShortHash, Places)>,
    /// Loader shards on which it orders.
    pub shards: Vec<u8>,
    /// Loader shards that it holds, also while it may not order yet.
    pub claims: Vec<u8>,
}

impl Status {
    /// The same without what sums hold.
    #[must_use]
    pub fn without_sums(&self) -> Self {
        Self {
            spent: Vec::new(),
            in_flight: Vec::new(),
            ..self.clone()
        }
    }
}
