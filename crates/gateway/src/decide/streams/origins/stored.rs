//! What the store keeps of streams, so that it outlives all processes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bluebellstage_core::{InstanceId, ServiceId, SoftwareVersion};
use serde::{Deserialize, Serialize};

use super::{StreamKey, StreamOrigin};

/// Name of the object with the software versions.
const VERSIONS_NAME: &str = "versions";
/// Begins the names of the objects with origins.
const ORIGINS_PREFIX: &str = "origins.";
/// Encoded bytes of a stream: its key, and the seconds for which its origin is still kept.
const STREAM_BYTES: usize = 9;

/// An object of the store about streams.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamRecord {
    /// Software versions at which streams may have begun.
    Versions(StoredVersions),
    /// Origins of streams, from one instance.
    Origins(StoredOrigins),
}

/// Name of an object about streams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordName {
    /// The software versions.
    Versions,
    /// The origins that an instance has stored.
    Origins(Box<str>),
}

impl RecordName {
    /// Returns the name for the origins of an instance.
    #[must_use]
    pub fn origins_of(instance: &InstanceId) -> Self {
        Self::Origins(instance.as_str().into())
    }

    /// Returns the name of an object as the store has it; `None` if no instance writes an object of that name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        if name == VERSIONS_NAME {
            return Some(Self::Versions);
        }
        let instance = name.strip_prefix(ORIGINS_PREFIX)?;
        Some(Self::Origins(instance.into()))
    }
}

impl std::fmt::Display for RecordName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Versions => f.write_str(VERSIONS_NAME),
            Self::Origins(instance) => write!(f, "{ORIGINS_PREFIX}{instance}"),
        }
    }
}

/// The software versions of each service that its targets have, or had within the time for which a stream may be
/// continued.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct StoredVersions(pub BTreeMap<ServiceId, BTreeSet<SoftwareVersion>>);

impl StoredVersions {
    /// Adds a version of a service.
    pub fn add(&mut self, service: &ServiceId, version: &SoftwareVersion) {
        if let Some(versions) = self.0.get_mut(service) {
            if !versions.contains(version) {
                versions.insert(version.clone());
            }
            return;
        }
        let versions = BTreeSet::from([version.clone()]);
        self.0.insert(service.clone(), versions);
    }

    /// Returns each version with its service.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceId, &SoftwareVersion)> {
        let services = self.0.iter();
        services
            .flat_map(|(service, versions)| versions.iter().map(move |version| (service, version)))
    }
}

/// Origins that an instance has stored.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct StoredOrigins {
    groups: Vec<OriginGroup>,
}

/// Streams of one origin.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
struct OriginGroup {
    origin: StreamOrigin,
    /// The streams, each in [`STREAM_BYTES`] bytes, in base64.
    streams: Box<str>,
}

/// A stream of a stored origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredStream {
    /// The stream.
    pub key: StreamKey,
    /// Time for which its origin is kept from the write on; whole seconds, rounded up.
    pub left: Duration,
}

impl StoredOrigins {
    /// Encodes streams by their origin.
    #[must_use]
    pub fn encode<'a>(streams: impl Iterator<Item = (&'a StreamOrigin, StoredStream)>) -> Self {
        let mut groups = Vec::<(&StreamOrigin, Vec<u8>)>::new();
        for (origin, stream) in streams {
            let group = match groups.iter().position(|(known, _)| *known == origin) {
                Some(idx) => &mut groups[idx],
                None => groups.push_mut((origin, Vec::new())),
            };
            stream.encode_into(&mut group.1);
        }
        let groups = groups.into_iter();
        let groups = groups.map(|(origin, bytes)| OriginGroup {
            origin: origin.clone(),
            streams: STANDARD.encode(bytes).into(),
        });
        Self {
            groups: groups.collect(),
        }
    }

    /// Decodes the streams with their origins. A group that can't be decoded is left out.
    pub fn decode(&self) -> impl Iterator<Item = (&StreamOrigin, Vec<StoredStream>)> {
        self.groups.iter().filter_map(|group| {
            let bytes = STANDARD.decode(&*group.streams).ok()?;
            let streams = bytes.chunks_exact(STREAM_BYTES);
            let streams = streams.filter_map(StoredStream::decode);
            Some((&group.origin, streams.collect()))
        })
    }

    /// Number of encoded bytes, or a little less.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        self.groups.iter().map(|group| group.streams.len()).sum()
    }
}

impl StoredStream {
    fn encode_into(self, bytes: &mut Vec<u8>) {
        let seconds = self.left.as_millis().div_ceil(1_000);
        bytes.extend(self.key.number().to_be_bytes());
        bytes.push(u8::try_from(seconds).unwrap_or(u8::MAX));
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let (key, rest) = bytes.split_first_chunk()?;
        let seconds = rest.first()?;
        Some(Self {
            key: StreamKey::from(u64::from_be_bytes(*key)),
            left: Duration::from_secs(u64::from(*seconds)),
        })
    }
}
