//! Events: the only input of the cores.

use crate::catalogue::ChangeRequest;
use crate::platform::PlatformResponse;
use crate::{
    CallerRequest, Finish, InstanceId, ObjectName, OrderId, OrderOutcome, PeerMessage, RequestId,
    TargetId, TargetReport, Tokens,
};

/// An input event of an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed; the shell sends a tick at least every 50 ms.
    Tick,
    /// A message from another instance was received.
    Message {
        /// The sending instance.
        from: InstanceId,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// A platform call completed.
    Platform(PlatformResponse),
    /// A watch reported a changed object. This is only a hint; a consistent read must follow.
    ObjectChanged(ObjectName),
    /// An order to an engine ended.
    OrderEnded {
        /// The order.
        id: OrderId,
        /// The engine that the order was sent to.
        target: TargetId,
        /// The outcome of the order.
        outcome: OrderOutcome,
    },
    /// An event of a caller's request.
    Request {
        /// The request.
        id: RequestId,
        /// The event.
        event: RequestEvent,
    },
    /// An operator requested a catalogue change at this instance.
    Change(ChangeRequest),
    /// An operator or a signal requested a planned stop.
    Stop,
}

/// An event of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// The request arrived.
    Arrived(CallerRequest),
    /// The response progressed; carries the total number of tokens delivered so far.
    Progress(Tokens),
    /// The target reports something about itself in the head of its response.
    TargetReported(TargetReport),
    /// The dispatch of the request ended.
    Finished(Finish),
}
