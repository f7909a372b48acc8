//! Datagrams between instances.
//!
//! They are sent several times a second to many instances, so they are kept small: names are sent as short
//! hashes, numbers with a variable length, and only recent changes are included.

use bincode::Options;
use bluebellstage_core::{AdapterId, AdapterVersion, BaseModel, TargetId};
use serde::{Deserialize, Serialize};

use crate::decide::adapters::adapter::{AdapterKey, VersionedAdapter};
use crate::decide::adapters::residency::ResidencyVersion;
use crate::decide::exchange::Message;
use crate::decide::quarantine::QuarantineMessage;
use crate::decide::ranked_tokens::RankClass;
use crate::decide::streams::origins::OriginMessage;

/// Max size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1_024;

/// A datagram between instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Packet {
    /// State of instances.
    Exchange(Message),
    /// Load requests and use of adapters on engines; sent to the holder of the engines' shard.
    AdapterRequests(Vec<AdapterRequest>),
    /// Resident adapters of engines; sent by the holder of the engines' shard.
    ResidencyUpdates(Vec<ResidencyUpdate>),
    /// Messages about requests under which targets crash.
    Quarantine(Vec<QuarantineMessage>),
    /// Where streams began.
    StreamOrigins(OriginMessage),
}

/// First byte of a datagram: identifies the format. A release that changes the format changes this byte, so
/// that two releases never misread each other's datagrams.
const FORMAT: u8 = 0xBB;

/// Why a datagram can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum PacketError {
    /// The sender is another release, or another program.
    #[error("other datagram format ({0:#04x}): instances of two releases run side by side")]
    OtherFormat(u8),
    /// The datagram is truncated, corrupt or too long.
    #[error("{0}: the datagram is truncated or corrupt; the next round repeats it")]
    Malformed(#[from] bincode::Error),
}

fn codec() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_DATAGRAM_BYTES as u64)
}

impl Packet {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// The packet is longer than a datagram may be.
    pub fn encode(&self) -> Result<Vec<u8>, PacketError> {
        let mut buf = vec![FORMAT];
        codec().serialize_into(&mut buf, self)?;
        Ok(buf)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// The datagram has another format or is malformed.
    pub fn decode(buf: &[u8]) -> Result<Self, PacketError> {
        match buf.split_first() {
            Some((&FORMAT, rest)) => Ok(codec().deserialize(rest)?),
            first => Err(PacketError::OtherFormat(
                first.map_or(0, |(format, _)| *format),
            )),
        }
    }

    /// Returns a short name for metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Exchange(message) => message.name(),
            Self::AdapterRequests(_) => "wishes",
            Self::ResidencyUpdates(_) => "holdings",
            Self::Quarantine(_) => "quarantine",
            Self::StreamOrigins(_) => "stream_origins",
        }
    }
}

/// A load request for an adapter on an engine, or an update of the adapter's use.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AdapterRequest {
    /// The engine.
    pub target: TargetId,
    /// The adapter.
    pub key: AdapterKey,
    /// What is requested or reported.
    pub kind: AdapterRequestKind,
    /// Class of the rank of the request that waits, where more urgent ones come first.
    pub class: RankClass,
}

/// What is requested or reported of an adapter on an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum AdapterRequestKind {
    /// A request waits for the adapter, at this version or newer.
    Load(Option<AdapterVersion>),
    /// A request for the adapter was sent to the engine.
    Started,
    /// A request for the adapter that was sent to the engine has ended.
    Ended,
    /// The engine reported that the adapter is not loaded.
    Missing,
}

/// Encoded bytes of an adapter without its name: the name's length and the version.
const ADAPTER_OVERHEAD_BYTES: usize = 12;
/// Encoded bytes of the lengths of a model's name and of its list of adapters.
const MODEL_OVERHEAD_BYTES: usize = 16;
/// Encoded bytes of an update's version and of the lengths of the target's name and of the list of models.
const UPDATE_OVERHEAD_BYTES: usize = 32;

/// The usable adapters of an engine, as its loader publishes them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ResidencyUpdate {
    /// The engine.
    pub target: TargetId,
    /// Orders the updates of this engine.
    pub order: ResidencyVersion,
    /// Usable adapters and their versions, by base model.
    pub models: Vec<(BaseModel, Vec<(AdapterId, u32)>)>,
}

impl ResidencyUpdate {
    /// Creates an update from the usable adapters of an engine.
    #[must_use]
    pub fn new(target: TargetId, order: ResidencyVersion, adapters: Vec<VersionedAdapter>) -> Self {
        let mut models = Vec::<(BaseModel, Vec<_>)>::new();
        for resident in adapters {
            let version = u32::try_from(resident.version.0).unwrap_or(u32::MAX);
            let adapter = (resident.key.adapter, version);
            match models
                .iter_mut()
                .find(|(model, _)| *model == resident.key.model)
            {
                Some((_, adapters)) => adapters.push(adapter),
                None => models.push((resident.key.model, vec![adapter])),
            }
        }
        Self {
            target,
            order,
            models,
        }
    }

    /// Returns the number of bytes of the update in a datagram, or a little more.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        let models = self.models.iter().map(|(model, adapters)| {
            let adapters = adapters.iter();
            let adapters =
                adapters.map(|(adapter, _)| adapter.as_str().len() + ADAPTER_OVERHEAD_BYTES);
            model.as_str().len() + MODEL_OVERHEAD_BYTES + adapters.sum::<usize>()
        });
        self.target.as_str().len() + UPDATE_OVERHEAD_BYTES + models.sum::<usize>()
    }

    /// Returns the adapters as a flat list.
    #[must_use]
    pub fn adapters(&self) -> Vec<VersionedAdapter> {
        let models = self.models.iter();
        models
            .flat_map(|(model, adapters)| {
                adapters.iter().map(|(adapter, version)| VersionedAdapter {
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
