//! The catalogue: what operators write.
//!
//! One log object per change under a head object that is changed by conditional update, and
//! snapshot pages under a megabyte. The head's revision only grows.

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
