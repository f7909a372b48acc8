//! Messages between the owners of engine groups, the weight store's owner and the callers'
//! instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterRef, GroupId, Incarnation, Refusal, Revision, SoftwareVersion, TargetId, TargetReport,
};

use super::{PermitEnd, PermitRequest};

/// Number of a permit request, unique within one incarnation of the requesting instance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct PermitRequestNumber(pub u64);

/// Identifies a permit among all that the owners of a group have granted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct PermitId {
    /// The map's revision when the permit was granted.
    pub revision: Revision,
    /// Increases with each permit of one incarnation of an owner.
    pub number: u64,
}

/// Utilization of a group; part of the owner's responses to permit requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct GroupStatus {
    /// Requests that wait for a batch slot of an engine that holds their adapter.
    pub waiting_for_batch_slot: u32,
    /// Requests that wait for a load.
    pub waiting_for_load: u32,
    /// Outstanding permits.
    pub running: u32,
    /// Batch slots of the group's engines that take new requests.
    pub batch_slots: u32,
    /// Adapter slots that are free and not needed by a waiting load.
    pub free_slots: u32,
}

/// The adapters that a group holds; only a hint for the choice of a group.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Residency {
    /// Whether `added` lists all adapters that the group holds, not only new ones.
    pub is_complete: bool,
    /// Adapters that are now resident or being loaded.
    pub added: Vec<AdapterRef>,
    /// Adapters that no longer are resident or being loaded.
    pub removed: Vec<AdapterRef>,
}

/// A request to be queued by a group's owner.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct EnqueueRequest {
    /// Number of the permit request.
    pub number: PermitRequestNumber,
    /// Incarnation of the requesting instance.
    pub incarnation: Incarnation,
    /// The group whose owner queues the request.
    pub group: GroupId,
    /// The permit request.
    pub request: PermitRequest,
    /// Whether the request is sent to this group only because the owner of its first choice is
    /// unreachable.
    pub is_fallback: bool,
}

/// A permit granted to the requesting instance.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Grant {
    /// The permit request that is granted.
    pub number: PermitRequestNumber,
    /// Incarnation of the requesting instance.
    pub incarnation: Incarnation,
    /// The group of the permit.
    pub group: GroupId,
    /// The permit's id.
    pub permit: PermitId,
    /// The engine.
    pub target: TargetId,
    /// The engine's address.
    pub address: SocketAddr,
    /// Version of the engine's software.
    pub software: SoftwareVersion,
    /// The group's utilization.
    pub status: GroupStatus,
}

/// A permit that an instance holds, as reported to a new owner.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct HeldPermit {
    /// The permit's id.
    pub permit: PermitId,
    /// The engine.
    pub target: TargetId,
    /// The adapter in use.
    pub adapter: AdapterRef,
}

/// The loads that a group's owner wants from the weight store; each demand replaces the earlier
/// ones.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct LoadDemand {
    /// The group.
    pub group: GroupId,
    /// Increases with each demand of one incarnation.
    pub sequence: u64,
    /// Loads wanted for urgent requests.
    pub urgent: u32,
    /// Other loads wanted.
    pub batch: u32,
    /// Load permits in use or not used yet.
    pub loading: Vec<PermitId>,
}

/// A message about permits to use engines or to load adapters.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum EnginesMessage {
    /// Queues a request; repeated with the same number until there is a response.
    Enqueue(Box<EnqueueRequest>),
    /// The request is in the queue.
    Queued {
        /// Number of the permit request.
        number: PermitRequestNumber,
        /// The group.
        group: GroupId,
        /// The group's utilization.
        status: GroupStatus,
    },
    /// The request was not queued; the sender should try another group.
    Rejected {
        /// Number of the permit request.
        number: PermitRequestNumber,
        /// The group.
        group: GroupId,
        /// Reason.
        refusal: Refusal,
    },
    /// The request is cancelled.
    Cancel {
        /// The group.
        group: GroupId,
        /// Incarnation of the requesting instance.
        incarnation: Incarnation,
        /// Number of the permit request.
        number: PermitRequestNumber,
    },
    /// Grants a permit; repeated until the permit is accepted or ended.
    Grant(Box<Grant>),
    /// The grant was received and its permit is held.
    Accepted {
        /// The group.
        group: GroupId,
        /// The permit.
        permit: PermitId,
    },
    /// The use of a permit ended; repeated until it is acknowledged.
    PermitEnded {
        /// The group.
        group: GroupId,
        /// The permit.
        permit: PermitId,
        /// How the use ended.
        end: PermitEnd,
    },
    /// Acknowledges the end of a permit.
    EndAcknowledged {
        /// The group.
        group: GroupId,
        /// The permit.
        permit: PermitId,
    },
    /// A new owner queries the permits that the receiver holds.
    QueryHeldPermits {
        /// The group.
        group: GroupId,
        /// The revision under which the sender is the owner.
        revision: Revision,
    },
    /// Reports all permits of a group that the sender holds.
    HeldPermits {
        /// The group.
        group: GroupId,
        /// The revision of the query.
        revision: Revision,
        /// Incarnation of the responding instance.
        incarnation: Incarnation,
        /// The held permits; the sender accepts no permit older than `revision` from now on.
        permits: Vec<HeldPermit>,
    },
    /// Sends a group's status to its subscribers, the instances that recently sent requests.
    Status {
        /// The group.
        group: GroupId,
        /// The group's utilization.
        status: GroupStatus,
        /// The adapters that the group holds.
        residency: Residency,
    },
    /// The loads that a group wants from the weight store.
    LoadDemand(LoadDemand),
    /// Grants a permit to load one adapter.
    LoadPermit {
        /// The group that may load.
        group: GroupId,
        /// Sequence number of the demand that is answered.
        sequence: u64,
        /// The load permit's id.
        permit: PermitId,
    },
    /// Releases a load permit.
    LoadPermitReleased {
        /// The group.
        group: GroupId,
        /// The load permit.
        permit: PermitId,
        /// Whether the permit was used; false if it is returned unused.
        used: bool,
    },
    /// Reports what the engine of a permit reported about itself in a response. It is sent once: the engine's
    /// next response reports it again.
    TargetReported {
        /// The group.
        group: GroupId,
        /// The permit.
        permit: PermitId,
        /// What the engine reported.
        report: TargetReport,
    },
}
