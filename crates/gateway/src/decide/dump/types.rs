//! What a state dump contains.

use bluebellstage_core::{
    FailureDomain, InstanceId, Rate, Revision, ServiceId, SoftwareVersion, TargetId, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use crate::decide::drain_state::DrainState;
use crate::decide::health::HealthState;
use crate::decide::limits::RequestRate;
use crate::decide::malformed_part::PartKind;
use crate::decide::memory_budget::MemoryDump;
use crate::decide::quarantine::Fingerprint;
use crate::decide::status::Role;
use crate::decide::store::kind::Kind;
use crate::decide::store::position::Era;

/// State of an instance.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Dump {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it accepts callers.
    pub stage: Stage,
    /// How it gets the store's data.
    pub store: StoreLink,
    /// Its calls to the store, by kind of objects.
    pub store_waits: Vec<StoreCallDump>,
    /// Its part in relaying updates.
    pub role: Role,
    /// The relay from which it requests updates.
    pub news_from: Option<InstanceId>,
    /// Mean age in milliseconds of its information about other instances.
    pub news_age_ms: u64,
    /// Number of instances that request updates from it.
    pub readers: usize,
    /// Version of the configuration in force.
    pub config: Revision,
    /// Parts of the configuration that can't be decoded.
    #[serde(default)]
    pub malformed_config: Vec<MalformedPartDump>,
    /// Revision of its list of targets.
    pub targets_revision: Revision,
    /// Number of times that the store was restored from a copy, as of that revision.
    pub store_era: Era,
    /// Loader shards for which it may order loads.
    pub shards: Vec<u8>,
    /// Loads from the weight store in progress.
    pub loads: u16,
    /// Evacuated failure domains, by name.
    pub evacuated: Vec<EvacuationDump>,
    /// Software versions of the targets, by service and version.
    pub software: Vec<SoftwareDump>,
    /// Number of streams of which it keeps the software version.
    pub stream_origins: usize,
    /// Number of streams whose software version it has read from the store.
    pub recalled_origins: usize,
    /// Number of streams whose software version is being looked up.
    pub origin_lookups: usize,
    /// Targets, by name.
    pub targets: Vec<TargetDump>,
    /// The other instances, by name.
    pub peers: Vec<PeerDump>,
    /// Quotas, by name of the workspace.
    pub quotas: Vec<QuotaDump>,
    /// Retries, by service.
    #[serde(default)]
    pub retries: Vec<RetryDump>,
    /// Requests that wait for room, by service and rank.
    #[serde(default)]
    pub waiting: Vec<WaitingDump>,
    /// Services whose targets are short of room.
    pub short_of_room: Vec<ServiceId>,
    /// Fair shares of workspaces, by name.
    pub shares: Vec<ShareDump>,
    /// Requests that are rejected because targets crash under them.
    pub quarantined: Vec<QuarantineDump>,
    /// Requests that were on crashed targets.
    pub suspects: Vec<SuspectDump>,
    /// Parts of prompts with which requests are rejected because targets crash under them.
    pub quarantined_parts: Vec<QuarantinedPartDump>,
    /// Parts of prompts that were on several crashed targets.
    pub suspected_parts: Vec<SuspectedPartDump>,
    /// What it holds for callers, if its memory is limited.
    #[serde(default)]
    pub memory: Option<MemoryDump>,
}

/// Whether an instance accepts callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It has no configuration yet.
    Starting,
    /// It accepts callers.
    Ready,
    /// A planned stop is in progress.
    Stopping,
}

/// How an instance gets the store's data.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreLink {
    /// It follows the store itself.
    Followed,
    /// It copies from peers that follow the store.
    Copied,
    /// The store does not respond to it.
    Away,
}

/// The calls to the store for one kind of objects.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoreCallDump {
    /// The kind of objects.
    pub kind: Kind,
    /// Milliseconds since the open call was made, or `None` if no call is open.
    pub open_ms: Option<u64>,
    /// Milliseconds since the last response, or `None` if there was none.
    pub answered_ms: Option<u64>,
}

/// A part of the configuration that can't be decoded.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MalformedPartDump {
    /// What the part describes.
    pub kind: PartKind,
    /// Its name, as far as it can be told.
    pub name: Box<str>,
    /// Why it can't be decoded.
    pub cause: Box<str>,
}

/// An evacuated failure domain.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EvacuationDump {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Whether its targets still receive requests.
    pub state: DrainState,
}

/// The targets of a service that run one software version.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SoftwareDump {
    /// The service.
    pub service: ServiceId,
    /// The software version.
    pub version: SoftwareVersion,
    /// Number of registered targets.
    pub targets: usize,
    /// Number of those that may get requests or are cold or resting.
    pub serving: usize,
}

/// A target from the instance's point of view.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TargetDump {
    /// Its registered name.
    pub id: TargetId,
    /// Its service.
    pub service: ServiceId,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Its registration says that it accepts no new requests.
    pub leaving: bool,
    /// Milliseconds since it reported in a response that it leaves, if it did.
    pub said_leaving_ms: Option<u64>,
    /// Requests a second that it accepts from all instances together, if it reports a limit.
    pub limit: Option<RequestRate>,
    /// Milliseconds for which it is still taken as cold; zero if it is warm.
    pub cold_ms: u64,
    /// Milliseconds for which it gets no requests because it asked for rest; zero if it may get one.
    pub rest_ms: u64,
    /// Refusals a second under which it falls over, if it is brittle.
    pub max_refusals: Option<u32>,
    /// The instance that sends requests to it, if it is brittle and this instance can tell.
    #[serde(default)]
    pub owner: Option<InstanceId>,
    /// Requests of this instance that it has refused lately or may still refuse, if it is brittle.
    #[serde(default)]
    pub possible_refusals: u32,
    /// Its health state.
    pub standing: HealthState,
    /// Milliseconds since connections to it began to fail, if the last one failed.
    pub unreachable_ms: Option<u64>,
    /// Requests of all instances at the target, as far as known.
    pub in_flight: u32,
    /// Number of requests that it processes at once.
    pub slots: u32,
    /// Number of adapters that requests can use on it.
    pub adapters: usize,
}

/// A peer from the instance's point of view.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PeerDump {
    /// Name of the peer.
    pub name: InstanceId,
    /// Milliseconds since it was last seen, or `None` if it never was.
    pub silent_ms: Option<u64>,
    /// It accepts callers.
    pub ready: bool,
    /// The store responds to it.
    pub store_answers: bool,
    /// Version of its configuration.
    pub config: Revision,
}

/// A workspace's quota from the instance's point of view.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QuotaDump {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Units a second.
    pub rate: Rate,
    /// Remaining units; below zero if charges of peers arrived late.
    pub left: i64,
}

/// Retries of requests for a service within the window of their budget.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RetryDump {
    /// The service.
    pub service: ServiceId,
    /// Requests that this instance received.
    pub requests: usize,
    /// Requests that it sent once more.
    pub retries: usize,
    /// Requests that it may send once more now.
    pub left: u32,
}

/// Requests of one rank that wait for room at a service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WaitingDump {
    /// The service.
    pub service: ServiceId,
    /// Priority rank, 0 first.
    pub rank: u8,
    /// Number that wait at this instance.
    pub here: u16,
    /// Number that wait at the other instances and can still begin in time, as far as known.
    pub elsewhere: u16,
}

/// A workspace's share while targets are short of room.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ShareDump {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Units a second that are its share; `None` while all get what they ask for.
    pub share: Option<u64>,
    /// Units a second that it spent lately.
    pub spending: u64,
    /// Whether it spends more than its share; nobody is held back unless a service is short of room.
    pub beyond: bool,
}

/// A request that is rejected because targets crash under it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QuarantineDump {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Milliseconds for which it has been rejected, or known to be.
    pub since_ms: u64,
}

/// A request that was on crashed targets, perhaps by coincidence.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SuspectDump {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of crashed targets.
    pub ended: usize,
}

/// A part of prompts with which requests are rejected because targets crash under it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QuarantinedPartDump {
    /// Id of the part.
    pub part: Box<str>,
    /// Milliseconds for which it has been rejected, or known to be.
    pub since_ms: u64,
}

/// A part of prompts that was on several crashed targets, perhaps by coincidence.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SuspectedPartDump {
    /// Id of the part.
    pub part: Box<str>,
    /// Number of crashes that nothing else explains.
    pub crashes: usize,
    /// Evidence in tenths of decimal digits: the negative logarithm of the probability of a coincidence.
    pub evidence_decidigits: u64,
}
