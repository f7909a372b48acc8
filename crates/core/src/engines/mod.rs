//! Engines: placement, queues, permits and loading.
//!
//! A group of engines (see [`crate::Grouping`]) has one home, which alone orders loads and unloads
//! on them and lets requests in. The instance that holds the caller asks the home for a permit and
//! then streams from the engine itself.

mod ask;
mod candidates;
mod core;
mod engine;
mod entry;
mod granting;
mod home;
mod io;
mod loading;
mod message;
mod news;
mod orders;
mod popularity;
mod queue;
mod slot;
mod store;
mod summary;
mod taking;
mod targets;
mod tenure;
mod timing;
mod unpermitted;
mod view;

pub use self::ask::{Permit, PermitAsk, PermitDecision, PermitEnd};
pub use self::core::Engines;
pub use self::message::{
    AskNumber, EnginesMessage, Grant, GroupStatus, HeldPermit, LoadDemand, PermitRef, QueueAsk,
    Residency,
};
pub use self::summary::{EngineSummary, GroupSchedule, GroupSummary};
