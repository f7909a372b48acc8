//! The status that an instance sends to others.

use bluebellstage_core::Revision;
use serde::{Deserialize, Serialize};

use super::adapters::loader::AdapterSlots;
use super::brittle::BrittleReport;
use super::evacuations::EvacuationsVersion;
use super::pace::PaceReports;
use super::peers::Load;
use super::quota::SpendReport;
use super::rendezvous::ShortHash;
use super::wait_queue::WaitingCounts;

/// Part that an instance plays in relaying updates.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It requests updates from a relay.
    #[default]
    #[serde(rename = "asks")]
    Subscriber,
    /// It becomes a relay when it has received a status of every instance.
    #[serde(rename = "listens")]
    Candidate,
    /// It forwards updates between its failure domain and the others.
    #[serde(rename = "relays")]
    Relay,
}

impl Role {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Subscriber => "asks",
            Self::Candidate => "listens",
            Self::Relay => "relays",
        }
    }

    /// Whether relays send it all statuses that they receive.
    #[must_use]
    pub const fn receives_all(self) -> bool {
        matches!(self, Self::Candidate | Self::Relay)
    }
}

/// Status of an instance.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Status {
    /// Hash of the sender's name.
    pub from: ShortHash,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Sequence number within the incarnation; a higher one is newer.
    pub seq: u32,
    /// Time in milliseconds for which relays have held the status.
    pub age_ms: u16,
    /// Time in milliseconds since the incarnation started.
    pub uptime_ms: u32,
    /// It accepts callers.
    pub ready: bool,
    /// The store responds to it.
    pub store_reachable: bool,
    /// Services whose targets it can't reach.
    pub lost_services: Vec<ShortHash>,
    /// It is stopping and may be forgotten at once.
    pub ended: bool,
    /// Its part in relaying updates.
    pub role: Role,
    /// Version of its configuration.
    pub config: Revision,
    /// Revision of its list of targets.
    pub targets: Revision,
    /// Digest of the contents of that list.
    pub targets_digest: u32,
    /// Sum of the announced adapter versions that it knows; it only grows.
    pub versions: u64,
    /// The evacuations that it knows.
    pub evacuations: EvacuationsVersion,
    /// Digest of the quarantine decisions that it knows; zero if there are none.
    pub quarantine_digest: u64,
    /// What workspaces have spent on it since it started, where that changed recently.
    pub spent: Vec<SpendReport>,
    /// Its load at each target.
    pub in_flight: Vec<(ShortHash, Load)>,
    /// What it has lately seen of the speed of some targets.
    pub pace: PaceReports,
    /// Services whose targets are brittle.
    pub brittle: Vec<BrittleReport>,
    /// Its requests that wait for a place at targets.
    pub waiting: WaitingCounts,
    /// Loads from the weight store in progress.
    pub loads: u16,
    /// Adapters that wait for a load on engines of its shards.
    pub waiting_loads: u16,
    /// Adapter slots of the engines of its shards.
    pub adapter_slots: Vec<(ShortHash, AdapterSlots)>,
    /// Loader shards for which it may order loads.
    pub shards: Vec<u8>,
    /// Loader shards that it holds, including those for which it may not order loads yet.
    pub claims: Vec<u8>,
}

impl Status {
    /// Returns the status without the parts that sums contain.
    #[must_use]
    pub fn without_sums(&self) -> Self {
        Self {
            spent: Vec::new(),
            in_flight: Vec::new(),
            pace: Vec::new(),
            waiting: WaitingCounts::default(),
            ..self.clone()
        }
    }
}
