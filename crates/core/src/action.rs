//! Actions: the only output of the cores.

use std::net::SocketAddr;

use crate::catalogue::ApplyOutcome;
use crate::{
    AdapterRef, CallId, ChangeId, FailureDomain, InstanceId, Map, ObjectName, PeerMessage,
    PlatformCall, Refusal, RequestId, Revision, StoredResponse, TargetId, TargetOrder, Terms, Time,
    Tokens,
};

/// An action that the shell must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Deliver a message to another instance, at most once and in any order.
    Send {
        /// The receiving instance.
        to: InstanceId,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Call the platform; the response is returned as an event.
    Platform(PlatformCall),
    /// Send an order to an engine; the outcome is returned as an event.
    Order(TargetOrder),
    /// Perform the next step of a caller's request.
    Request {
        /// The request.
        id: RequestId,
        /// The step to perform.
        action: RequestAction,
    },
    /// Report the outcome of an operator's catalogue change.
    Applied {
        /// The change.
        change: ChangeId,
        /// The outcome of the change.
        outcome: ApplyOutcome,
    },
    /// Write a log event and count it.
    Notice(Notice),
    /// End the process, because the planned stop is complete.
    Exit,
}

/// The next step of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestAction {
    /// Stream a generation from an engine to the caller.
    Generate {
        /// The engine.
        target: TargetId,
        /// The target's address.
        address: SocketAddr,
        /// The adapter that must run.
        adapter: AdapterRef,
        /// Maximum response length to request; less than the caller requested if an interrupted
        /// response is continued.
        max_answer: Tokens,
        /// Whether the engine should give the request precedence over batch requests.
        urgent: bool,
        /// Deadline: must not be sent at or after this time, because the permit may then be granted
        /// to another request.
        send_before: Time,
    },
    /// Forward a call to a plain service.
    Call {
        /// The replica.
        target: TargetId,
        /// The target's address.
        address: SocketAddr,
        /// Deadline: must not be sent at or after this time.
        send_before: Time,
    },
    /// Send the stored response of an earlier run of the same call.
    Replay(StoredResponse),
    /// Refuse the request immediately.
    Refuse(Refusal),
    /// Close the caller's connection and stop the target's work, because the request's key was
    /// withdrawn.
    Interrupt(Refusal),
}

/// An event inside a core that is reported to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A newer map is in force.
    MapAdopted(Box<Map>),
    /// The map's terms differ from this instance's settings; the map's terms apply.
    TermsDiffer(Terms),
    /// The lease was lost: this instance stops acting as an owner.
    LeaseLost,
    /// The lease was regained.
    LeaseRegained,
    /// A peer is unresponsive and its removal from the map was proposed.
    PeerSuspected(InstanceId),
    /// A newer catalogue revision is in force at this instance.
    CatalogueAdopted(Revision),
    /// The platform returned a catalogue head older than the one in force; it was ignored.
    CatalogueBehind(Revision),
    /// A platform object could not be parsed.
    ObjectMalformed(ObjectName),
    /// An adapter's load was ordered.
    LoadOrdered(TargetId, AdapterRef),
    /// An adapter's load ended; true if it succeeded.
    LoadEnded(TargetId, AdapterRef, bool),
    /// The unload of an adapter was ordered to free its slot.
    Evicted(TargetId, AdapterRef),
    /// An engine refused an order with an outdated fencing number.
    OrderFenced(TargetId),
    /// An engine restarted, so its slots are empty.
    EngineRestarted(TargetId),
    /// The outcome of a call that may not be repeated is unknown.
    CallInDoubt(RequestId),
    /// A workspace's rate share was moved between instances.
    ShareMoved(CallId),
    /// A failure domain lost all its instances from the map.
    DomainLost(FailureDomain),
}
