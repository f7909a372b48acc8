//! The catalogue: what operators write.
//!
//! One log object per change under a head object that is changed by conditional update, and
//! snapshot pages under a megabyte. The head's revision only grows.

mod change;
mod core;
mod entry;
mod message;
mod state;

pub use self::change::{ApplyOutcome, Change, ChangeRequest};
pub use self::core::Catalogue;
pub use self::entry::{AdapterEntry, KeyEntry, ServiceEntry, WorkClass, WorkspaceEntry};
pub use self::message::CatalogueMessage;
pub use self::state::CatalogueState;
