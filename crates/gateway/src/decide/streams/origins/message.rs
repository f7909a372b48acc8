//! Messages about the origins of streams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decide::rendezvous::ShortHash;

use super::{StreamKey, StreamOrigin};

/// Encoded bytes of a record without its software version, or a little more.
const RECORD_BYTES: usize = 32;

/// The origin of a stream, for a replica.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OriginRecord {
    /// The stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// Milliseconds since it was recorded.
    pub age_ms: u32,
    /// Milliseconds for which it is kept from then on.
    pub lifetime_ms: u32,
}

impl OriginRecord {
    pub(super) fn new(
        key: StreamKey,
        origin: StreamOrigin,
        age: Duration,
        lifetime: Duration,
    ) -> Self {
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        Self {
            key,
            origin,
            age_ms: millis(age),
            lifetime_ms: millis(lifetime),
        }
    }

    pub(super) const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms as u64)
    }

    pub(super) fn lifetime(&self) -> Duration {
        Duration::from_millis(u64::from(self.lifetime_ms)).min(super::MAX_LIFETIME)
    }

    /// Returns the number of bytes of the record in a datagram, or a little more.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        RECORD_BYTES + self.origin.software.as_str().len()
    }
}

/// What is known of the software versions at which streams of a service may have begun that can still be continued.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub enum KnownVersions {
    /// There may have been others than those that are listed now.
    #[default]
    Unknown,
    /// Only one is known, but the store has not been asked since the request came.
    Unconfirmed,
    /// There was only one, which the store has confirmed since the request came.
    One,
    /// There were several.
    Several,
}

impl KnownVersions {
    /// Combines what two instances know. One that knows several has seen each of them.
    #[must_use]
    pub fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Several, _) | (_, Self::Several) => Self::Several,
            (Self::One, _) | (_, Self::One) => Self::One,
            (Self::Unconfirmed, _) | (_, Self::Unconfirmed) => Self::Unconfirmed,
            (Self::Unknown, Self::Unknown) => Self::Unknown,
        }
    }

    /// Name in the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Unconfirmed => "unconfirmed",
            Self::One => "one",
            Self::Several => "several",
        }
    }
}

/// Asks for the origin of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OriginQuery {
    /// The stream.
    pub key: StreamKey,
    /// Hash of the name of the service that would continue it.
    pub service: ShortHash,
    /// Milliseconds for which the request has waited that would continue it.
    pub waited_ms: u32,
}

impl OriginQuery {
    pub(super) const fn waited(&self) -> Duration {
        Duration::from_millis(self.waited_ms as u64)
    }
}

/// The reply to a query.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OriginReply {
    /// The stream.
    pub key: StreamKey,
    /// Its origin, if the sender knows it.
    pub record: Option<OriginRecord>,
    /// What the sender knows of the software versions of the service.
    pub versions: KnownVersions,
}

/// A message about the origins of streams.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum OriginMessage {
    /// An origin to keep, from the instance that serves the stream.
    Store(OriginRecord),
    /// Origins to keep, from another replica.
    Copy(Vec<OriginRecord>),
    /// Asks for the origin of a stream.
    Query(OriginQuery),
    /// Replies to a query.
    Reply(OriginReply),
}
