//! Orders to engines and what engines say of themselves.

use bluebellstage_core::{AdapterVersion, BaseModel};

use crate::decide::adapter::{AdapterAt, AdapterKey};

/// What an engine says of itself when asked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Orders that it has accepted since its start.
    pub accepted: u64,
    /// An order on a base model is under way.
    pub busy: bool,
    /// Base models that it holds.
    pub models: Vec<BaseModel>,
    /// Adapters that it holds.
    pub adapters: Vec<AdapterAt>,
    /// Adapters on their way to it.
    pub coming: Vec<AdapterAt>,
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// What to do.
    pub what: OrderKind,
    /// Orders that the engine must have accepted so far.
    pub expected: u64,
}

/// What an engine is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load a base model.
    LoadModel(BaseModel),
    /// Load an adapter, or replace it by this version; none: the newest.
    LoadAdapter(AdapterKey, Option<AdapterVersion>),
    /// Drop an adapter.
    UnloadAdapter(AdapterKey),
}

/// How an engine took an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// It was done at once, or held already.
    Done,
    /// Another order is under way, the count differs, or the adapter is in use.
    Conflict,
    /// A later holder has ordered, the engine is another one, or the order is malformed.
    Refused,
    /// No answer: it may be carried out later. The next order names the same count, so that the
    /// engine takes only one of them; if it has taken this one already, the next one conflicts.
    Unknown,
}

impl OrderAnswer {
    /// A short name, for metrics.
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
