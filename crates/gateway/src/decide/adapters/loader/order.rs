//! Orders sent to engines, and the reports that engines return.

use bluebellstage_core::{AdapterVersion, BaseModel};

use crate::decide::adapters::adapter::{AdapterKey, VersionedAdapter};

/// State that an engine reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Number of orders that it has accepted since its start.
    pub accepted: u64,
    /// Whether an order on a base model is in progress.
    pub busy: bool,
    /// Resident base models.
    pub models: Vec<BaseModel>,
    /// Resident adapters.
    pub adapters: Vec<VersionedAdapter>,
    /// Adapters being loaded.
    pub pending_loads: Vec<VersionedAdapter>,
    /// Number of adapters, resident or being loaded, whose names can't be read. They take slots until the engine drops them.
    pub unreadable_adapters: usize,
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The operation.
    pub kind: OrderKind,
    /// Number of orders that the engine must have accepted so far.
    pub expected_accepted: u64,
}

/// Operation that an engine is ordered to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load a base model.
    LoadModel(BaseModel),
    /// Load an adapter, or replace it by this version; `None` means the newest one.
    LoadAdapter(AdapterKey, Option<AdapterVersion>),
    /// Unload an adapter.
    UnloadAdapter(AdapterKey),
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine has accepted the order and carries it out.
    Accepted,
    /// The order was completed immediately, or nothing needed to change.
    Done,
    /// Another order is in progress, the count differs, or the adapter is in use.
    Conflict,
    /// A later holder has sent orders, the engine is a different one, or the order is malformed.
    Refused,
    /// No response: the order may still be carried out. The next order expects the same count, so
    /// the engine accepts only one of the two; if it has already accepted this one, the next one
    /// conflicts.
    Unknown,
}

impl OrderOutcome {
    /// Returns the metric label.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}
