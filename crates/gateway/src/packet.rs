//! Datagrams between instances.

use bluebellstage_core::{AdapterVersion, Revision, TargetId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::decide::adapter::{AdapterAt, AdapterKey};
use crate::decide::peers::Member;
use crate::decide::quota::Spent;
use crate::decide::residency::WordOrder;

/// Longest datagram that is sent; fits a network's usual packet.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A datagram between instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Packet {
    /// What an instance tells all others in each round.
    Status(Box<Status>),
    /// Requests wait for adapters on an engine; goes to the holder of its shard.
    Wishes(Vec<Wish>),
    /// What an engine holds; from the holder of its shard to all.
    Holdings(Holdings),
}

/// State of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Who tells.
    pub member: Member,
    /// It takes callers.
    pub ready: bool,
    /// The store answers it.
    pub store_answers: bool,
    /// It is stopping for good and may be forgotten at once.
    pub ended: bool,
    /// Version of its configuration.
    pub config: Revision,
    /// Revision of its list of targets.
    pub targets: Revision,
    /// What each workspace has spent there since it started.
    pub spent: Vec<(WorkspaceId, Spent)>,
    /// Its requests at each target, by the hash of the target's name.
    pub in_flight: Vec<(u32, u16)>,
    /// Loads from the weight store that it has under way.
    pub loads: u16,
    /// Loader shards that it holds.
    pub shards: Vec<u8>,
}

/// A wish for an adapter on an engine, or news of its use.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Wish {
    /// The engine.
    pub target: TargetId,
    /// The adapter.
    pub key: AdapterKey,
    /// Why.
    pub kind: WishKind,
}

/// What is said of an adapter on an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum WishKind {
    /// A request waits for it, at this version or newer.
    Load(Option<AdapterVersion>),
    /// A request was sent to it.
    Begun,
    /// A request that was sent to it is over.
    Ended,
    /// The engine said that it doesn't hold it.
    Missing,
}

/// What an engine holds, by its loader.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Holdings {
    /// The engine.
    pub target: TargetId,
    /// Place among all such words on this engine.
    pub order: WordOrder,
    /// Adapters that can be used.
    pub adapters: Vec<AdapterAt>,
}
