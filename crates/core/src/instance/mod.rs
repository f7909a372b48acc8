//! One instance, composed of the decision cores.

mod active_request;
mod admission;
mod core;
mod decision;
mod dispatch;
mod finish;
mod requests;
mod retry_budget;
mod status;
mod stop;

pub use self::core::{EntryResponse, Instance};
pub use self::status::{InstanceCatalogue, Status};
