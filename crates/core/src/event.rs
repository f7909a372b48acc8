//! What can happen to an instance: the only way into the cores.

use crate::catalogue::ChangeRequest;
use crate::platform::PlatformResponse;
use crate::{
    CallerRequest, Finish, InstanceId, ObjectName, OrderId, OrderOutcome, PeerMessage, RequestId,
    TargetId, Tokens,
};

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed; the shell sends one at least every 50 ms.
    Tick,
    /// Another instance sent something.
    Message {
        /// Which instance.
        from: InstanceId,
        /// What it sent.
        message: Box<PeerMessage>,
    },
    /// The platform answered.
    Platform(PlatformResponse),
    /// A watch saw an object change; only a hint, to be followed by a consistent read.
    ObjectChanged(ObjectName),
    /// An order to an engine ended.
    OrderEnded {
        /// Which order.
        id: OrderId,
        /// To which engine.
        target: TargetId,
        /// What became of it.
        outcome: OrderOutcome,
    },
    /// Something happened to a caller's request.
    Request {
        /// Which request.
        id: RequestId,
        /// What happened.
        event: RequestEvent,
    },
    /// An operator changes the catalogue here.
    Change(ChangeRequest),
    /// An operator or a signal asks for a planned stop.
    Stop,
}

/// What happens to a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// It arrived.
    Arrived(CallerRequest),
    /// The answer goes on: so many tokens were delivered by now.
    Progress(Tokens),
    /// Its dispatch ended.
    Finished(Finish),
}
