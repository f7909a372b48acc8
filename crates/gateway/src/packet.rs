//! Datagrams between instances.
//!
//! They go several times a second to many, so each byte counts: names go as short hashes, numbers by their
//! size, and only what changed lately is told.

use bincode::Options;
use bluebellstage_core::{AdapterId, AdapterVersion, BaseModel, TargetId};
use serde::{Deserialize, Serialize};

use crate::decide::adapter::{AdapterKey, VersionedAdapter};
use crate::decide::exchange::Message;
use crate::decide::quarantine::QuarantineMessage;
use crate::decide::residency::ResidencyVersion;

/// Longest datagram that is read.
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1_024;

/// A datagram between instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Packet {
    /// How instances are.
    Exchange(Message),
    /// Requests wait for adapters on an engine; goes to the holder of its shard.
    AdapterRequests(Vec<AdapterRequest>),
    /// What engines hold; from the holder of their shard.
    ResidencyUpdates(Vec<ResidencyUpdate>),
    /// Requests under which targets end.
    Quarantine(Vec<QuarantineMessage>),
}

/// First byte of a datagram. It tells the form; another release that changes the form changes it, and
/// neither misreads the other.
const FORMAT: u8 = 0xB3;

/// Why a datagram isn't read.
#[derive(Debug, thiserror::Error)]
pub enum PacketError {
    /// Another release speaks, or another program.
    #[error("another form ({0:#04x}): instances of two releases run beside each other")]
    OtherFormat(u8),
    /// It is cut or spoilt.
    #[error("{0}: it is cut or spoilt; the next round repeats it")]
    Malformed(#[from] bincode::Error),
}

fn codec() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_DATAGRAM_BYTES as u64)
}

impl Packet {
    /// Encodes it.
    ///
    /// # Errors
    ///
    /// It is longer than a datagram may be.
    pub fn encode(&self) -> Result<Vec<u8>, PacketError> {
        let mut buf = vec![FORMAT];
        codec().serialize_into(&mut buf, self)?;
        Ok(buf)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// It is of another form, or malformed.
    pub fn decode(buf: &[u8]) -> Result<Self, PacketError> {
        match buf.split_first() {
            Some((&FORMAT, rest)) => Ok(codec().deserialize(rest)?),
            first => Err(PacketError::OtherFormat(
                first.map_or(0, |(format, _)| *format),
            )),
        }
    }

    /// A short name, for metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Exchange(message) => message.name(),
            Self::AdapterRequests(_) => "wishes",
            Self::ResidencyUpdates(_) => "holdings",
            Self::Quarantine(_) => "quarantine",
        }
    }
}

/// A wish for an adapter on an engine, or news of its use.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AdapterRequest {
    /// The engine.
    pub target: TargetId,
    /// The adapter.
    pub key: AdapterKey,
    /// Why.
    pub kind: AdapterRequestKind,
}

/// What is said of an adapter on an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum AdapterRequestKind {
    /// A request waits for it, at this version or newer.
    Load(Option<AdapterVersion>),
    /// A request was sent to it.
    Started,
    /// A request that was sent to it is over.
    Ended,
    /// The engine said that it doesn't hold it.
    Missing,
}

/// Encoded bytes of an adapter beside its name: the name's length and the version.
const ADAPTER_OVERHEAD_BYTES: usize = 12;
/// Encoded bytes of the lengths of a model's name and of its list.
const MODEL_OVERHEAD_BYTES: usize = 16;
/// Encoded bytes of a word's order and of the lengths of its name and list.
const UPDATE_OVERHEAD_BYTES: usize = 32;

/// What an engine holds, by its loader.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ResidencyUpdate {
    /// The engine.
    pub target: TargetId,
    /// Place among all such words on this engine.
    pub order: ResidencyVersion,
    /// Adapters that can be used, by their base model.
    pub models: Vec<(BaseModel, Vec<(AdapterId, u32)>)>,
}

impl ResidencyUpdate {
    /// Packs the adapters of an engine.
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

    /// Bytes that it takes in a datagram, or a little more.
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

    /// The adapters, unpacked.
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
