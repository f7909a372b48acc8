//! Targets: engines and plain services, their load reports, and the orders sent to them.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterId, AdapterVersion, BaseModel, FailureDomain, Fencing, GroupId, Grouping, ServiceId,
    SoftwareVersion, TargetId, Time,
};

/// An adapter in one version, as loaded into a slot of an engine.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct AdapterRef {
    /// The adapter.
    pub id: AdapterId,
    /// Version of its weights.
    pub version: AdapterVersion,
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.version)
    }
}

/// The kind of a target.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine.
    Engine {
        /// The base model that the engine runs.
        base_model: BaseModel,
        /// Number of adapter slots.
        slots: u32,
        /// Maximum number of requests in a batch.
        max_batch: u32,
        /// Whether the engine refuses orders with an outdated fencing number.
        checks_fencing: bool,
        /// Version of the engine's software. Engines that name none have the same one.
        software: SoftwareVersion,
    },
    /// One replica of a plain service.
    Service {
        /// The service.
        service: ServiceId,
        /// Maximum number of concurrent calls.
        concurrency: u32,
    },
}

/// A target as shown in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TargetInfo {
    /// Name of the target.
    pub id: TargetId,
    /// The target's address.
    pub address: SocketAddr,
    /// Failure domain in which the target runs.
    pub failure_domain: FailureDomain,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Whether the target is shutting down and gets no new requests.
    pub leaving: bool,
}

impl TargetInfo {
    /// Returns the group whose owner schedules this engine; `None` for a service.
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

/// An engine's report of its own load, which may be out of date.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineReport {
    /// Number that changes with each restart of the engine.
    pub boot: u64,
    /// Adapters in the engine's slots.
    pub resident: BTreeSet<AdapterRef>,
    /// Adapters used by running or queued requests.
    pub in_use: BTreeSet<AdapterRef>,
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests queued inside the engine.
    pub waiting: u32,
    /// Number of prompt tokens still to be prefilled.
    pub prefill_tokens: u64,
    /// Whether the engine is shutting down.
    pub leaving: bool,
}

/// Number of an order to a target, unique within a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// An order that the shell must send to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetOrder {
    /// Number of the order, returned with the outcome.
    pub id: OrderId,
    /// The engine.
    pub target: TargetId,
    /// The engine's address.
    pub address: SocketAddr,
    /// The issuer's fencing number: the revision of the map under which it is the owner.
    pub fencing: Fencing,
    /// Deadline: must not be sent at or after this time.
    ///
    /// Guards against a process that is frozen between the decision and the send while another one
    /// takes over its engines: an engine that ignores fencing numbers would then evict an adapter
    /// in use. The issuer's lease expires at this time, and with it the right to send orders.
    pub send_before: Time,
    /// The operation.
    pub kind: TargetOrderKind,
}

/// The operation that an order requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetOrderKind {
    /// Load an adapter into a free slot.
    Load(AdapterRef),
    /// Free the slot of an adapter that is not in use.
    Unload(AdapterRef),
    /// Report the engine's load.
    Report,
}

/// The outcome of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The order was carried out.
    Done,
    /// The engine sent a load report.
    Reported(EngineReport),
    /// The engine refused the order, because it has seen a newer fencing number.
    Fenced,
    /// The order failed for another reason: no free slot, adapter in use, or load failed.
    Failed,
    /// No response was received: the order may or may not have been carried out.
    Unknown,
}
