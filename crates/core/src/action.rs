//! What a core wants done: the only way out of the cores.

use std::net::SocketAddr;

use crate::catalogue::ApplyOutcome;
use crate::{
    AdapterRef, CallId, ChangeId, FailureDomain, InstanceId, Map, ObjectName, PeerMessage,
    PlatformCall, Refusal, RequestId, Revision, StoredResponse, TargetId, TargetOrder, Terms, Time,
    Tokens,
};

/// Something that the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Deliver a message to another instance, once or not at all; order is not kept.
    Send {
        /// To which instance.
        to: InstanceId,
        /// What to deliver.
        message: Box<PeerMessage>,
    },
    /// Call the platform; the answer comes back as an event.
    Platform(PlatformCall),
    /// Send an order to an engine; the outcome comes back as an event.
    Order(TargetOrder),
    /// Go on with a caller's request.
    Request {
        /// Which request.
        id: RequestId,
        /// What to do with it.
        action: RequestAction,
    },
    /// Answer an operator's catalogue change.
    Applied {
        /// Which change.
        change: ChangeId,
        /// What became of it.
        outcome: ApplyOutcome,
    },
    /// Write a log event and count it.
    Notice(Notice),
    /// The planned stop is done: end the process.
    Exit,
}

/// The next step of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestAction {
    /// Stream a generation from an engine to the caller.
    Generate {
        /// Which engine.
        target: TargetId,
        /// Where it listens.
        address: SocketAddr,
        /// What must run.
        adapter: AdapterRef,
        /// The longest answer to ask for; after a break less than the caller asked for.
        max_answer: Tokens,
        /// Urgent work goes first inside the engine too.
        urgent: bool,
        /// Not to be sent at or after this time: the permit may be given to another by then.
        send_before: Time,
    },
    /// Pass a call on to a plain service.
    Call {
        /// Which replica.
        target: TargetId,
        /// Where it listens.
        address: SocketAddr,
        /// Not to be sent at or after this time.
        send_before: Time,
    },
    /// Answer with what an earlier run of the same call gave.
    Replay(StoredResponse),
    /// Refuse, at once.
    Refuse(Refusal),
    /// End the caller's connection and the target's work: the key that it came with was withdrawn.
    Interrupt(Refusal),
}

/// Something that happened inside a core that operators may want to see.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A newer map is in force.
    MapAdopted(Box<Map>),
    /// The map's terms differ from this instance's settings; the map's hold.
    TermsDiffer(Terms),
    /// Standing was lost: this instance stops acting as a home.
    LeaseLost,
    /// Standing is back.
    LeaseRegained,
    /// A peer is silent and proposed to be dropped.
    PeerSuspected(InstanceId),
    /// A newer catalogue revision is in force here.
    CatalogueAdopted(Revision),
    /// The platform showed a catalogue head older than the one in force; it was ignored.
    CatalogueBehind(Revision),
    /// An object of the platform does not parse.
    ObjectMalformed(ObjectName),
    /// An adapter's load was ordered.
    LoadOrdered(TargetId, AdapterRef),
    /// An adapter's load ended; true if it succeeded.
    LoadEnded(TargetId, AdapterRef, bool),
    /// An adapter was ordered out of its slot.
    Evicted(TargetId, AdapterRef),
    /// An engine refused an order with an old fencing number.
    OrderFenced(TargetId),
    /// An engine restarted: its slots are empty.
    EngineRestarted(TargetId),
    /// A call that may not be repeated is in doubt.
    CallInDoubt(RequestId),
    /// A workspace's share moved between instances.
    ShareMoved(CallId),
    /// A failure domain lost all its instances from the map.
    DomainLost(FailureDomain),
}
