//! One whole instance, composed of the cores.

mod arrival;
mod core;
mod decision;
mod dispatch;
mod ending;
mod flight;
mod requests;
mod retry_budget;
mod status;
mod stop;

pub use self::core::{EntryAnswer, Instance};
pub use self::status::{InstanceCatalogue, Status};
