//! Calls to the platform's object API and their responses, independent of the transport.

use serde::{Deserialize, Serialize};

use crate::{
    CallId, Incarnation, InstanceId, ObjectName, ObjectVersion, TargetInfo, Time, WorkspaceId,
};

/// A platform call that the shell must make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformCall {
    /// Number of the call, returned with the response.
    pub id: CallId,
    /// The core that made the call and its purpose, returned with the response.
    pub purpose: PlatformPurpose,
    /// The operation.
    pub op: PlatformOp,
}

/// The purpose of a platform call, which identifies the core that made it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PlatformPurpose {
    /// Membership reads the map, to learn it and to renew its lease.
    MapRead,
    /// Membership changes the map.
    MapWrite,
    /// Membership reads the platform's lagging list of instances.
    InstanceList,
    /// Engines and services read the platform's lagging list of targets.
    TargetList,
    /// The catalogue reads its head.
    CatalogueHead,
    /// The catalogue reads a log object or a snapshot page.
    CatalogueRead,
    /// The catalogue writes a log object, a snapshot page or its head.
    CatalogueWrite,
    /// The journal of a workspace is taken over or written.
    Journal(WorkspaceId),
}

/// The operation of a platform call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformOp {
    /// Consistent read of one object.
    Get {
        /// Name of the object.
        name: ObjectName,
    },
    /// Conditional write of one object.
    Put {
        /// Name of the object.
        name: ObjectName,
        /// The new value, at most one megabyte.
        value: Box<str>,
        /// The state in which the object must be for the write to take effect.
        expected: Expected,
    },
    /// Removal of one object; succeeds if the object does not exist.
    Delete {
        /// Name of the object.
        name: ObjectName,
    },
    /// The platform's lagging list of instances.
    ListInstances,
    /// The platform's lagging list of targets.
    ListTargets,
}

/// The expected state of an object in a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Expected {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    Version(ObjectVersion),
}

/// An object's value with its version at the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// The value.
    pub value: Box<str>,
    /// Its version.
    pub version: ObjectVersion,
}

/// The result of a platform call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformReply {
    /// The object read; `None` if it does not exist.
    Got(Option<Versioned>),
    /// The write took effect and gave the object this version.
    Written(ObjectVersion),
    /// The object was removed.
    Deleted,
    /// The object was not in the expected state; nothing was written.
    Conflict,
    /// The platform rejected the call or could not be reached before it was sent; nothing was done.
    Unavailable,
    /// No response was received: the call may or may not have taken effect.
    Unknown,
    /// The platform's lagging list of instances.
    Instances(Vec<ListedInstance>),
    /// The platform's lagging list of targets.
    Targets(Vec<TargetInfo>),
}

/// A reply with the identification of its call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformResponse {
    /// The call's number, unique within its purpose.
    pub id: CallId,
    /// The call's purpose.
    pub purpose: PlatformPurpose,
    /// When the call was sent; a lease renewed by the call is counted from this time.
    pub sent_at: Time,
    /// The result.
    pub reply: PlatformReply,
}

/// An instance as shown in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Whether the platform is stopping the instance.
    pub leaving: bool,
}
