//! Datagrams between instances.
//!
//! Every instance tells all others how it is, several times a second, so each byte counts as many
//! times as there are pairs: names go as short hashes, and only what changed lately is told.

use bluebellstage_core::{AdapterId, AdapterVersion, BaseModel, Revision, TargetId};
use serde::{Deserialize, Serialize};

use crate::decide::adapter::{AdapterAt, AdapterKey};
use crate::decide::loader::Places;
use crate::decide::peers::{Load, Member};
use crate::decide::quota::Spent;
use crate::decide::rendezvous::ShortHash;
use crate::decide::residency::WordOrder;

/// Longest datagram that is read.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1_024;

/// A datagram between instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Packet {
    /// What an instance tells all others in each round.
    Status(Status),
    /// Who an instance is; goes to all after its start and now and then, and to whoever asks.
    Introduction(Box<Member>),
    /// A status came from somebody unknown: who is it?
    WhoIsThere,
    /// Requests wait for adapters on an engine; goes to the holder of its shard.
    Wishes(Vec<Wish>),
    /// What engines hold; from the holder of their shard.
    Holdings(Vec<Holdings>),
}

/// State of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Who tells.
    pub from: ShortHash,
    /// This life of it.
    pub life: u64,
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
    /// Digest of what that list says.
    pub targets_digest: u32,
    /// Sum of the adapter versions that it knows to be announced; only grows.
    pub versions: u64,
    /// What workspaces have spent there since it started, where that changed lately.
    pub spent: Vec<(ShortHash, Spent)>,
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

/// Encoded bytes of an adapter beside its name: the name's length and the version.
const LENGTH_AND_VERSION: usize = 12;
/// Encoded bytes of the lengths of a model's name and of its list.
const LENGTHS: usize = 16;
/// Encoded bytes of a word's order and of the lengths of its name and list.
const WORD_HEAD: usize = 32;

/// What an engine holds, by its loader.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Holdings {
    /// The engine.
    pub target: TargetId,
    /// Place among all such words on this engine.
    pub order: WordOrder,
    /// Adapters that can be used, by their base model.
    pub models: Vec<(BaseModel, Vec<(AdapterId, u32)>)>,
}

impl Holdings {
    /// Packs the adapters of an engine.
    #[must_use]
    pub fn new(target: TargetId, order: WordOrder, adapters: Vec<AdapterAt>) -> Self {
        let mut models = Vec::<(BaseModel, Vec<_>)>::new();
        for held in adapters {
            let version = u32::try_from(held.version.0).unwrap_or(u32::MAX);
            let adapter = (held.key.adapter, version);
            match models
                .iter_mut()
                .find(|(model, _)| *model == held.key.model)
            {
                Some((_, adapters)) => adapters.push(adapter),
                None => models.push((held.key.model, vec![adapter])),
            }
        }
        Self {
            target,
            order,
            models,
        }
    }

    /// Bytes that it takes in a datagram, or a little more.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        let models = self.models.iter().map(|(model, adapters)| {
            let adapters = adapters.iter();
            let adapters = adapters.map(|(adapter, _)| adapter.as_str().len() + LENGTH_AND_VERSION);
            model.as_str().len() + LENGTHS + adapters.sum::<usize>()
        });
        self.target.as_str().len() + WORD_HEAD + models.sum::<usize>()
    }

    /// The adapters, unpacked.
    #[must_use]
    pub fn adapters(&self) -> Vec<AdapterAt> {
        let models = self.models.iter();
        models
            .flat_map(|(model, adapters)| {
                adapters.iter().map(|(adapter, version)| AdapterAt {
                    key: AdapterKey {
                        model: model.clone(),
                        adapter: adapter.clone(),
                    },
                    version: AdapterVersion(u64::from(*version)),
                })
            })
            .collect()
    }
}
