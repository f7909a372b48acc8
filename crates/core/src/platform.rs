//! Calls to the platform's object API and their answers, free of any transport.

use serde::{Deserialize, Serialize};

use crate::{
    CallId, Incarnation, InstanceId, ObjectName, ObjectVersion, TargetInfo, Time, WorkspaceId,
};

/// A call that the shell is to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformCall {
    /// Comes back with the answer.
    pub id: CallId,
    /// Which core asked, and what for; comes back with the answer.
    pub purpose: PlatformPurpose,
    /// What to do.
    pub op: PlatformOp,
}

/// Which core a platform call belongs to.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PlatformPurpose {
    /// Membership reads the map, to know it and as proof of its standing.
    MapRead,
    /// Membership changes the map.
    MapWrite,
    /// Membership reads the platform's lagging list of instances.
    InstanceList,
    /// Engines and services: the lagging list of targets.
    TargetList,
    /// The catalogue reads its head.
    CatalogueHead,
    /// The catalogue reads a log object or a snapshot page.
    CatalogueRead,
    /// The catalogue writes a log object, a snapshot page or its head.
    CatalogueWrite,
    /// The journal of a workspace: taking it over or recording in it.
    Journal(WorkspaceId),
}

/// A call's content.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformOp {
    /// Consistent read of one object.
    Get {
        /// Which object.
        name: ObjectName,
    },
    /// Conditional write of one object.
    Put {
        /// Which object.
        name: ObjectName,
        /// The new value, at most a megabyte.
        value: Box<str>,
        /// Written only if the object is still in this state.
        expected: Expected,
    },
    /// Removes one object; one that is gone already counts as removed.
    Delete {
        /// Which object.
        name: ObjectName,
    },
    /// The lagging list of our instances.
    ListInstances,
    /// The lagging list of targets.
    ListTargets,
}

/// The state in which a conditional write must find its object.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Expected {
    /// Not there.
    Absent,
    /// At this version.
    Version(ObjectVersion),
}

/// A value with the version under which the platform holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// The value.
    pub value: Box<str>,
    /// Its version.
    pub version: ObjectVersion,
}

/// What became of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformReply {
    /// A read's result; none where there is no such object.
    Got(Option<Versioned>),
    /// The write took effect and gave the object this version.
    Written(ObjectVersion),
    /// The object is removed.
    Deleted,
    /// The object was not in the expected state; nothing was written.
    Conflict,
    /// The platform refused or could not be reached before the call was sent; nothing was done.
    Unavailable,
    /// No answer: the call may or may not have taken effect.
    Unknown,
    /// The lagging list of instances.
    Instances(Vec<ListedInstance>),
    /// The lagging list of targets.
    Targets(Vec<TargetInfo>),
}

/// A reply with the call it answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformResponse {
    /// The call's number, unique within its purpose.
    pub id: CallId,
    /// The call's purpose.
    pub purpose: PlatformPurpose,
    /// When the call was sent; proofs of standing count from here.
    pub sent_at: Time,
    /// What became of it.
    pub reply: PlatformReply,
}

/// One of our instances as the platform's list shows it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ListedInstance {
    /// Its name.
    pub id: InstanceId,
    /// Which of its lives.
    pub incarnation: Incarnation,
    /// The platform is stopping it.
    pub leaving: bool,
}
