//! Engines: placement, queues, permits and loading.
//!
//! A group of engines (see [`crate::Grouping`]) has one owner, which alone orders loads and unloads
//! on them and grants permits for requests. The instance with the caller's connection requests a
//! permit from the owner and then streams from the engine itself.

mod candidates;
mod client;
mod client_permits;
mod core;
mod engine;
mod fallback_loads;
mod granting;
mod io;
mod loading;
mod message;
mod orders;
mod owner;
mod permit;
mod popularity;
mod queue;
mod slot;
mod status;
mod store_owner;
mod summary;
mod takeover;
mod targets;
mod timing;
mod view;

pub use self::core::Engines;
pub use self::message::{
    EnginesMessage, EnqueueRequest, Grant, GroupStatus, HeldPermit, LoadDemand, PermitId,
    PermitRequestNumber, Residency,
};
pub use self::permit::{Permit, PermitDecision, PermitEnd, PermitRequest};
pub use self::summary::{EngineSummary, GroupSchedule, GroupSummary};
