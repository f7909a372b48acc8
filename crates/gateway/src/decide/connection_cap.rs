//! Caps the connections of callers, and decides which of them make room for new ones.
//!
//! Each connection takes a descriptor and memory before anything is known of its caller. Without a cap callers that open
//! connections and send nothing take all descriptors, and none is left for targets, peers and the store.

use std::cmp::Reverse;
use std::time::Duration;

use super::memory_budget::{MemoryLimit, max_connections};
use super::streams::connection_end::Use;

/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors for connections to the store and to peers, and for listeners.
const OWN_DESCRIPTORS: usize = 64;
/// Least number of connections, however few descriptors there are.
const MIN_CONNECTIONS: usize = 16;
/// At the cap, one in this number of connections makes room at once, so that not each new one needs a look at all.
const BATCH_DIVISOR: usize = 16;
/// The part of the connections that is for lookups: the reciprocal. A crowd at one address leaves the other one's part.
const LOOKUP_DIVISOR: usize = 4;
/// Time that a caller has for the next bytes that are expected of it, before its connection makes room for others.
const PATIENCE: Duration = Duration::from_secs(1);

/// Number of descriptors that a process may have open, those for files included.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DescriptorLimit(pub usize);

impl DescriptorLimit {
    /// Returns how many connections of callers leave enough descriptors for others. Each request needs a connection to a
    /// target or a peer, so callers' connections get a half.
    fn max_connections(self) -> usize {
        let sockets = self.0.saturating_sub(FILE_DESCRIPTORS);
        sockets.saturating_sub(OWN_DESCRIPTORS) / 2
    }
}

/// Number of callers' connections that an instance keeps at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionCap(usize);

impl ConnectionCap {
    /// Returns the cap for a process with these limits.
    #[must_use]
    pub fn of(descriptors: Option<DescriptorLimit>, memory: Option<MemoryLimit>) -> Self {
        let by_descriptors = descriptors.map_or(usize::MAX, DescriptorLimit::max_connections);
        let by_memory = memory.map_or(usize::MAX, max_connections);
        Self(by_descriptors.min(by_memory).max(MIN_CONNECTIONS))
    }

    /// Returns the number of connections.
    #[must_use]
    pub const fn connections(self) -> usize {
        self.0
    }

    /// Returns the part of connections for one purpose.
    #[must_use]
    pub const fn part(self, purpose: Purpose) -> Self {
        let lookups = self.0.div_ceil(LOOKUP_DIVISOR);
        match purpose {
            Purpose::Requests => Self(self.0 - lookups),
            Purpose::Lookups => Self(lookups),
        }
    }

    /// Whether another connection fits beside those that are open.
    #[must_use]
    pub const fn has_room(self, open: usize) -> bool {
        open < self.0
    }
}

/// What a connection is for, by the address at which it was accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Callers' requests.
    Requests,
    /// Address lookups of callers, and checks of the platform whether the instance is ready. Each is answered at once.
    Lookups,
}

/// What an open connection does, and whether it has carried a request.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// What it does now.
    pub now: Use,
    /// Whether a whole head of a request has come on it.
    pub has_carried: bool,
}

/// How a connection that makes room is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eviction {
    /// As soon as nothing lies unread on it and no request is open.
    CloseOnceRead,
    /// At once. No request on it is at work.
    Cut,
    /// Not at all: a request is at work.
    Keep,
}

/// Returns how a connection is closed that has to make room, by what it does now.
#[must_use]
pub const fn eviction(now: Use) -> Eviction {
    match now {
        Use::Request => Eviction::Keep,
        Use::Idle(_) => Eviction::CloseOnceRead,
        Use::PartialHead(_) | Use::Receiving(_) | Use::Ending(_) => Eviction::Cut,
    }
}

/// How little a connection gives; those that give least come first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Rank {
    /// Its caller has sent nothing yet, or is late with the rest of a request, or with the end of the connection.
    Late,
    /// It has carried requests.
    Kept,
    /// It has just been opened, or has just moved something.
    Fresh,
}

fn rank(standing: Standing) -> Option<(Rank, Reverse<Duration>)> {
    let (rank, age) = match standing.now {
        Use::Request => return None,
        Use::Idle(age) if standing.has_carried => (Rank::Kept, age),
        Use::Idle(age) | Use::PartialHead(age) | Use::Receiving(age) | Use::Ending(age) => {
            let is_late = age >= PATIENCE;
            (if is_late { Rank::Late } else { Rank::Fresh }, age)
        }
    };
    Some((rank, Reverse(age)))
}

impl ConnectionCap {
    /// Returns the open connections that make room for others, those that give least first. None of them has a request
    /// at work.
    pub fn evicted<K>(self, open: impl Iterator<Item = (K, Standing)>) -> Vec<K> {
        let ranked = open.filter_map(|(key, standing)| Some((rank(standing)?, key)));
        let mut ranked = ranked.collect::<Vec<_>>();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.truncate(self.0.div_ceil(BATCH_DIVISOR));
        ranked.into_iter().map(|(_, key)| key).collect()
    }
}
