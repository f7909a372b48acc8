//! The last known state of an instance.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{Revision, Time};

use super::{DOWN_THRESHOLD, Load, Member};
use crate::decide::adapters::loader::AdapterSlots;
use crate::decide::evacuations::EvacuationsVersion;
use crate::decide::rendezvous::ShortHash;
use crate::decide::status::{Role, Status};
use crate::decide::wait_queue::WaitingCounts;

/// Last known state of a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its registration.
    pub member: Member,
    /// When it was last seen, or `None` if it is known only from its registration.
    pub last_seen: Option<Time>,
    /// When it introduced itself, if it has not been seen since.
    pub introduced_at: Option<Time>,
    /// Sequence number of its last status.
    pub seq: u32,
    /// Time in milliseconds since its incarnation started, as of its last status.
    pub uptime_ms: u32,
    /// Its part in relaying updates.
    pub role: Role,
    /// It accepts callers.
    pub ready: bool,
    /// The store responds to it.
    pub store_reachable: bool,
    /// Services whose targets it can't reach.
    pub lost_services: Vec<ShortHash>,
    /// Version of its configuration.
    pub config: Revision,
    /// Revision of its list of targets.
    pub targets: Revision,
    /// Digest of the contents of that list.
    pub targets_digest: u32,
    /// Sum of the announced adapter versions that it knows.
    pub versions: u64,
    /// The evacuations that it knows.
    pub evacuations: EvacuationsVersion,
    /// Digest of the quarantine decisions that it knows; zero if there are none.
    pub quarantine_digest: u64,
    /// Its load at each target, by the target's hash.
    pub in_flight: HashMap<ShortHash, Load>,
    /// Its requests that wait for a place at targets.
    pub waiting: WaitingCounts,
    /// Loads from the weight store in progress.
    pub loads: u16,
    /// Adapters that wait for a load on engines of its shards.
    pub waiting_loads: u16,
    /// Adapter slots of the engines of its shards.
    pub adapter_slots: HashMap<ShortHash, AdapterSlots>,
    /// Loader shards for which it may order loads.
    pub shards: Vec<u8>,
    /// Loader shards that it holds, including those for which it may not order loads yet.
    pub claims: Vec<u8>,
}

impl Peer {
    pub(super) fn unseen(member: Member) -> Self {
        Self {
            member,
            last_seen: None,
            introduced_at: None,
            seq: 0,
            uptime_ms: 0,
            role: Role::Subscriber,
            ready: false,
            store_reachable: false,
            lost_services: Vec::new(),
            config: Revision::default(),
            targets: Revision::default(),
            targets_digest: 0,
            versions: 0,
            evacuations: EvacuationsVersion::default(),
            quarantine_digest: 0,
            in_flight: HashMap::new(),
            waiting: WaitingCounts::default(),
            loads: 0,
            waiting_loads: 0,
            adapter_slots: HashMap::new(),
            shards: Vec::new(),
            claims: Vec::new(),
        }
    }

    /// Creates the state of a peer from its status.
    #[must_use]
    pub fn from_status(member: Member, status: &Status, last_seen: Time) -> Self {
        Self {
            member,
            last_seen: Some(last_seen),
            introduced_at: None,
            seq: status.seq,
            uptime_ms: status.uptime_ms,
            role: status.role,
            ready: status.ready,
            store_reachable: status.store_reachable,
            lost_services: status.lost_services.clone(),
            config: status.config,
            targets: status.targets,
            targets_digest: status.targets_digest,
            versions: status.versions,
            evacuations: status.evacuations,
            quarantine_digest: status.quarantine_digest,
            in_flight: status.in_flight.iter().copied().collect(),
            waiting: status.waiting.clone(),
            loads: status.loads,
            waiting_loads: status.waiting_loads,
            adapter_slots: status.adapter_slots.iter().copied().collect(),
            shards: status.shards.clone(),
            claims: status.claims.clone(),
        }
    }

    /// Returns the peer's status for others, without its spending.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        let age = self
            .last_seen
            .map_or(Duration::ZERO, |last_seen| now.since(last_seen));
        Status {
            from: ShortHash::of(self.member.name.as_str()),
            incarnation: self.member.incarnation.0,
            seq: self.seq,
            age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
            ready: self.ready,
            store_reachable: self.store_reachable,
            lost_services: self.lost_services.clone(),
            ended: false,
            uptime_ms: self.uptime_ms,
            role: self.role,
            config: self.config,
            targets: self.targets,
            targets_digest: self.targets_digest,
            versions: self.versions,
            evacuations: self.evacuations,
            quarantine_digest: self.quarantine_digest,
            spent: Vec::new(),
            in_flight: self
                .in_flight
                .iter()
                .map(|(hash, load)| (*hash, *load))
                .collect(),
            // Pace is passed on by the relays of its own failure domain as they receive it.
            pace: Vec::new(),
            // Each instance tells the last report that it knows.
            brittle: Vec::new(),
            waiting: self.waiting.clone(),
            loads: self.loads,
            waiting_loads: self.waiting_loads,
            adapter_slots: self
                .adapter_slots
                .iter()
                .map(|(hash, slots)| (*hash, *slots))
                .collect(),
            shards: self.shards.clone(),
            claims: self.claims.clone(),
        }
    }

    /// Whether the peer is expected to run although it has not been seen, from the point of view of an instance that is
    /// `new` or not.
    #[must_use]
    pub fn is_expected(&self, new: bool, now: Time) -> bool {
        let is_introduced = |at: Time| now.since(at) < DOWN_THRESHOLD;
        self.last_seen.is_none() && (new || self.introduced_at.is_some_and(is_introduced))
    }

    /// Whether the peer was seen within `span` before `now`.
    #[must_use]
    pub fn seen_within(&self, span: Duration, now: Time) -> bool {
        self.last_seen
            .is_some_and(|last_seen| now.since(last_seen) < span)
    }
}
