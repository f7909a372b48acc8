//! Targets: engines and plain services, their reports and the orders they take.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterId, AdapterVersion, BaseModel, FailureDomain, Fencing, GroupId, Grouping, ServiceId,
    TargetId, Time,
};

/// An adapter at one version: what an engine holds in a slot.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct AdapterRef {
    /// Which adapter.
    pub id: AdapterId,
    /// At which version.
    pub version: AdapterVersion,
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.version)
    }
}

/// What a target is.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine.
    Engine {
        /// The base model it runs.
        base_model: BaseModel,
        /// How many adapters it holds at once.
        slots: u32,
        /// How many requests it batches at once.
        max_batch: u32,
        /// It refuses orders with an old fencing number.
        checks_fencing: bool,
    },
    /// One replica of a plain service.
    Service {
        /// Which service.
        service: ServiceId,
        /// How many calls it takes at once.
        concurrency: u32,
    },
}

/// A target as the platform's list shows it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TargetInfo {
    /// Its name.
    pub id: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// What it is.
    pub kind: TargetKind,
    /// It is on its way out: no new work.
    pub leaving: bool,
}

impl TargetInfo {
    /// The group whose home schedules this engine; none for a service.
    #[must_use]
    pub fn group(&self, grouping: Grouping) -> Option<GroupId> {
        let TargetKind::Engine { base_model, .. } = &self.kind else {
            return None;
        };
        let name = match grouping {
            Grouping::Engine => format!("{base_model}/{}", self.id),
            Grouping::FailureDomain => format!("{base_model}/{}", self.failure_domain),
            Grouping::Pool => base_model.to_string(),
        };
        GroupId::try_from(name.as_str()).ok()
    }
}

/// An engine's own report of its load; it lags.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineReport {
    /// Changes with each restart of the engine.
    pub boot: u64,
    /// Adapters in its slots.
    pub resident: BTreeSet<AdapterRef>,
    /// Adapters that running or queued requests use.
    pub in_use: BTreeSet<AdapterRef>,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Prompt tokens still to be prefilled.
    pub prefill_tokens: u64,
    /// It is on its way out.
    pub leaving: bool,
}

/// One order to one target, unique within a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// An order that the shell is to send to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetOrder {
    /// Comes back with the outcome.
    pub id: OrderId,
    /// Which engine.
    pub target: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The issuer's fencing number: the revision of the map under which it is home.
    pub fencing: Fencing,
    /// Not to be sent at or after this time.
    ///
    /// Guards against a process that is frozen between the decision and the send, while another
    /// takes its engines over: an engine that ignores fencing numbers would then evict an adapter
    /// in use. The issuer's standing ends at this time, and with it its right to order.
    pub send_before: Time,
    /// What to do.
    pub kind: TargetOrderKind,
}

/// What an order asks of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetOrderKind {
    /// Load an adapter into a free slot.
    Load(AdapterRef),
    /// Free the slot of an adapter that is not in use.
    Unload(AdapterRef),
    /// Report the load.
    Report,
}

/// What became of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// Done.
    Done,
    /// A report came back.
    Reported(EngineReport),
    /// The engine refused: its fencing number is newer.
    Fenced,
    /// The engine refused for another reason: no free slot, adapter in use, load failed.
    Failed,
    /// No answer: it may or may not have been done.
    Unknown,
}
