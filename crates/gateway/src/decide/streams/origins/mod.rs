//! Where streams began, so that any instance can continue them at the software version that began them.
//!
//! The instance that serves a stream stores its origin at a few replicas, before it forwards the first event. The
//! replicas follow from the stream's key and the live instances, so that an instance at which a caller continues the
//! stream finds them without the one that began it. While origins matter, because a service has or lately had several
//! software versions, a few instances also write those that they keep to the store, which outlives all instances.

mod confirmation;
mod key;
mod lookup;
mod message;
mod recalled;
mod record_state;
mod recorders;
mod replicas;
mod stored;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{SoftwareVersion, Time};
use serde::{Deserialize, Serialize};

use crate::decide::rendezvous::ShortHash;

pub use key::StreamKey;
pub use lookup::{LookupOutcome, LookupStep, OriginLookup, OriginSource};
pub use message::{KnownVersions, OriginMessage, OriginQuery, OriginRecord, OriginReply};
pub use record_state::{FoundRecord, RecordStep, RecordWrite};
pub use replicas::OutgoingOrigins;
pub use stored::{RecordName, StoredOrigins, StoredStream, StoredVersions, StreamRecord};

use confirmation::Confirmation;
use recalled::RecalledOrigins;
use record_state::RecordState;
use replicas::MemberHash;

/// Longest time for which an origin is kept.
pub const MAX_LIFETIME: Duration = Duration::from_mins(1);
/// Maximum number of origins that an instance keeps.
const MAX_ORIGINS: usize = 50_000;

/// Service and software version of the target that sent a stream's first event. Versions of different services have
/// nothing to do with each other.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StreamOrigin {
    /// Hash of the service's name.
    pub service: ShortHash,
    /// The software version.
    pub software: SoftwareVersion,
}

/// A stored origin.
#[derive(Clone, Debug)]
struct Entry {
    origin: StreamOrigin,
    recorded: Time,
    expires: Time,
    /// Instances that keep it, as far as known.
    replicas: Vec<MemberHash>,
    /// The one of them that writes it to the store; `None` if none does.
    recorder: Option<MemberHash>,
    /// Lowest weight of the replicas that were chosen by weight alone.
    min_weight: u64,
}

/// Replies to the queries for one key.
#[derive(Debug, Default)]
struct Replies {
    /// Requests that wait for them.
    waiting: u32,
    from: BTreeSet<SocketAddr>,
    /// What the peers know of the software versions of the service.
    versions: KnownVersions,
}

/// The origins that an instance keeps, and its queries for others.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    entries: HashMap<StreamKey, Entry>,
    by_expiry: BTreeSet<(Time, StreamKey)>,
    replies: HashMap<StreamKey, Replies>,
    /// Instances among which replicas were chosen last.
    members: BTreeSet<MemberHash>,
    /// Those of them that wrote origins to the store then.
    recorders: BTreeSet<MemberHash>,
    recalled: RecalledOrigins,
    record_state: RecordState,
    confirmation: Confirmation,
}

impl StreamOrigins {
    /// Number of origins that are kept.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Number of origins that were read from the store and are still kept.
    #[must_use]
    pub fn recalled_count(&self) -> usize {
        self.recalled.count()
    }

    /// Number of streams whose origin is being looked up.
    #[must_use]
    pub fn lookup_count(&self) -> usize {
        self.replies.len()
    }

    /// Returns the origin of a stream and the time since it was recorded, or read from the store.
    #[must_use]
    pub fn get(&self, key: StreamKey, now: Time) -> Option<(&StreamOrigin, Duration)> {
        let entry = self.entries.get(&key);
        let entry = entry.filter(|entry| now < entry.expires);
        let kept = entry.map(|entry| (&entry.origin, now.since(entry.recorded)));
        kept.or_else(|| self.recalled.get(key, now))
    }

    fn insert(&mut self, key: StreamKey, entry: Entry) {
        if let Some(former) = self.entries.get(&key) {
            self.by_expiry.remove(&(former.expires, key));
        }
        self.by_expiry.insert((entry.expires, key));
        self.entries.insert(key, entry);
        if self.entries.len() > MAX_ORIGINS
            && let Some((_, first)) = self.by_expiry.pop_first()
        {
            self.entries.remove(&first);
        }
    }

    /// Removes expired origins.
    pub fn sweep(&mut self, now: Time) {
        while let Some((expires, key)) = self.by_expiry.first().copied()
            && expires <= now
        {
            self.by_expiry.pop_first();
            self.entries.remove(&key);
        }
        self.recalled.sweep(now);
    }
}
