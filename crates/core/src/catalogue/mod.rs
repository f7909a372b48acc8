//! The catalogue of workspaces, keys, adapters and services that operators maintain.
//!
//! It is stored as one log object per change, snapshot pages of less than a megabyte each, and a
//! head object that refers to them and is changed by conditional updates. The head's revision only
//! increases.

mod change;
mod compact;
mod core;
mod document;
mod entry;
mod head;
mod message;
mod reader;
mod recent;
mod state;
mod writer;

pub use self::change::{ApplyOutcome, Change, ChangeRequest};
pub use self::core::{Catalogue, CatalogueStatus};
pub use self::document::Document;
pub use self::entry::{AdapterEntry, KeyEntry, ServiceEntry, WorkClass, WorkspaceEntry};
pub use self::message::CatalogueMessage;
pub use self::state::CatalogueState;
