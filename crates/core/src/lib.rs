//! Decision cores of bluebellstage.
//!
//! Each core is a plain state machine without sockets, clocks, randomness or tasks: time and seeds
//! are passed as arguments, and results are returned as values of [`Action`]. [`Instance`] composes
//! the cores into one instance. The daemon drives it with real clocks and networks; tests drive
//! several instances in memory.

mod action;
mod cx;
mod error;
mod event;
mod ids;
mod keys;
mod map;
mod message;
mod ownership;
mod platform;
mod refusal;
mod request;
mod software_version;
mod target;
mod target_report;
mod tuning;
mod units;

pub mod catalogue;
pub mod engines;
pub mod instance;
pub mod journal;
pub mod membership;
mod milli;
pub mod rates;
pub mod services;

pub use self::action::{Action, Notice, RequestAction};
pub use self::cx::Cx;
pub use self::error::CoreError;
pub use self::event::{Event, RequestEvent};
pub use self::ids::{
    AdapterId, BaseModel, CallId, ChangeId, FailureDomain, GroupId, IdempotencyKey, InstanceId,
    KeyId, ObjectName, RequestId, ServiceId, TargetId, WorkspaceId,
};
pub use self::instance::{EntryResponse, Instance, Status};
pub use self::keys::KeyDigest;
pub use self::map::{Map, Member, MemberRef, MemberState, OwnershipKey, PastMap, Terms};
pub use self::message::PeerMessage;
pub use self::milli::{MILLI_PER_UNIT, parse_milli};
pub use self::ownership::{Adoption, Ownership};
pub use self::platform::{
    Expected, ListedInstance, PlatformCall, PlatformOp, PlatformPurpose, PlatformReply,
    PlatformResponse, Versioned,
};
pub use self::refusal::{Ran, Refusal, RefusalKind};
pub use self::request::{CallerRequest, CallerWork, Finish, ServiceCall, StoredResponse};
pub use self::software_version::SoftwareVersion;
pub use self::target::{
    AdapterRef, EngineReport, OrderId, OrderOutcome, TargetInfo, TargetKind, TargetOrder,
    TargetOrderKind,
};
pub use self::target_report::{DEFAULT_MAX_REST, TargetReport};
pub use self::tuning::{Grouping, Placement, QueueOrder, RatePolicy, Tuning};
pub use self::units::{
    AdapterVersion, Fencing, Incarnation, ObjectVersion, Rate, Revision, Time, Tokens,
};
