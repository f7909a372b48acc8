//! What the home of an engine group, the weight store's home and callers' instances say.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{AdapterRef, GroupId, Incarnation, Refusal, Revision, TargetId};

use super::{PermitAsk, PermitEnd};

/// Number of an ask, unique within one life of the instance that asks.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct AskNumber(pub u64);

/// Names one permit among all that a group's homes ever granted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct PermitRef {
    /// The map's revision when it was granted.
    pub revision: Revision,
    /// Rises with each permit of one life of a home.
    pub number: u64,
}

/// How loaded a group is; comes with every answer of its home.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct GroupStatus {
    /// Requests that wait for a place in an engine that holds their adapter.
    pub waiting: u32,
    /// Requests that wait for a load.
    pub stalled: u32,
    /// Permits outstanding.
    pub running: u32,
    /// Places in the batches of its engines that take new work.
    pub places: u32,
    /// Slots that nothing holds and nothing waits for.
    pub free_slots: u32,
}

/// Which adapters a group holds; only a hint for whom to ask.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Residency {
    /// `came` is all that the group holds, not only what is new.
    pub whole: bool,
    /// Adapters that are resident now, or being loaded.
    pub came: Vec<AdapterRef>,
    /// Adapters that no longer are.
    pub gone: Vec<AdapterRef>,
}

/// A request to be queued by a group's home.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct QueueAsk {
    /// Number of the ask.
    pub number: AskNumber,
    /// The life that asks.
    pub incarnation: Incarnation,
    /// The group asked.
    pub group: GroupId,
    /// The request.
    pub ask: PermitAsk,
    /// It comes here only because the home of its first choice can't be reached.
    pub stray: bool,
}

/// A permit on its way to the instance that asked.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Grant {
    /// The ask that it answers.
    pub number: AskNumber,
    /// The life that asked.
    pub incarnation: Incarnation,
    /// The group that grants.
    pub group: GroupId,
    /// The permit's name.
    pub permit: PermitRef,
    /// Which engine.
    pub target: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// How loaded the group is.
    pub status: GroupStatus,
}

/// A permit that an instance holds, as it tells a new home.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct HeldPermit {
    /// The permit's name.
    pub permit: PermitRef,
    /// Which engine.
    pub target: TargetId,
    /// What runs.
    pub adapter: AdapterRef,
}

/// What a group's home wants of the weight store; the newest replaces all earlier.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct LoadDemand {
    /// The group.
    pub group: GroupId,
    /// Rises with each demand of one life.
    pub sequence: u64,
    /// Loads wanted for requests that someone waits for.
    pub urgent: u32,
    /// Other loads wanted.
    pub batch: u32,
    /// Load permits in use or not yet used.
    pub loading: Vec<PermitRef>,
}

/// Permits to use engines and to load adapters.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum EnginesMessage {
    /// Queue a request; sent again with the same number until it is answered.
    Ask(Box<QueueAsk>),
    /// The ask is in the queue.
    Queued {
        /// Which ask.
        number: AskNumber,
        /// Of which group.
        group: GroupId,
        /// How loaded the group is.
        status: GroupStatus,
    },
    /// The ask is not in the queue, and won't be: ask another group.
    TurnedAway {
        /// Which ask.
        number: AskNumber,
        /// Of which group.
        group: GroupId,
        /// Why.
        refusal: Refusal,
    },
    /// The ask is void.
    Cancel {
        /// Of which group.
        group: GroupId,
        /// The life that asked.
        incarnation: Incarnation,
        /// Which ask.
        number: AskNumber,
    },
    /// A permit; sent again until it is taken or ended.
    Grant(Box<Grant>),
    /// The grant arrived and its permit is held.
    Taken {
        /// Of which group.
        group: GroupId,
        /// Which permit.
        permit: PermitRef,
    },
    /// A permit's use ended; sent again until it is noted.
    Ended {
        /// Of which group.
        group: GroupId,
        /// Which permit.
        permit: PermitRef,
        /// How.
        end: PermitEnd,
    },
    /// The end is noted.
    EndNoted {
        /// Of which group.
        group: GroupId,
        /// Which permit.
        permit: PermitRef,
    },
    /// A new home asks what the receiver holds.
    WhichPermits {
        /// Of which group.
        group: GroupId,
        /// The revision under which the sender is home.
        revision: Revision,
    },
    /// All permits of a group that the sender holds or could still take.
    Holding {
        /// Of which group.
        group: GroupId,
        /// The revision of the question.
        revision: Revision,
        /// The life that answers.
        incarnation: Incarnation,
        /// What it holds; it takes no permit older than `revision` from now on.
        permits: Vec<HeldPermit>,
    },
    /// How loaded a group is, to instances that asked lately.
    Status {
        /// Which group.
        group: GroupId,
        /// How loaded it is.
        status: GroupStatus,
        /// What it holds.
        residency: Residency,
    },
    /// What a group wants of the weight store.
    LoadDemand(LoadDemand),
    /// A permit to load one adapter.
    MayLoad {
        /// For which group.
        group: GroupId,
        /// The demand that it answers.
        sequence: u64,
        /// The load permit's name.
        permit: PermitRef,
    },
    /// A load permit is no longer needed.
    Loaded {
        /// Of which group.
        group: GroupId,
        /// Which load permit.
        permit: PermitRef,
        /// False when it was handed back unused.
        used: bool,
    },
}
