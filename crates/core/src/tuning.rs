//! Settings of the decision cores.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of the decision cores; the daemon fills them from its settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tuning {
    /// Time between two heartbeats to one peer.
    pub heartbeat_interval: Duration,
    /// A peer silent for this long is proposed to be dropped from the map.
    pub suspect_after: Duration,
    /// How long a proof of standing holds (T), counted from when its question was sent.
    pub lease_duration: Duration,
    /// Bound on how much two clocks drift apart over one `standing`.
    pub max_clock_drift: Duration,
    /// Time between two consistent reads of the map.
    pub map_read_interval: Duration,
    /// Time between two reads of the platform's lists.
    pub list_interval: Duration,
    /// How long a caller may keep the answer of `/v1/entry`.
    pub entry_max_age: Duration,
    /// How engines are grouped under one home.
    pub grouping: Grouping,
    /// How a request finds its engine.
    pub placement: Placement,
    /// In which order a group's queue is served.
    pub queue: QueueOrder,
    /// How a workspace's rate is spread over instances.
    pub rates: RatePolicy,
    /// How long a request may wait for its workspace's tokens to accrue or move.
    pub max_rate_wait: Duration,
    /// How long a request may wait for a permit.
    pub max_queue_wait: Duration,
    /// How long a granted permit may wait to be used.
    pub permit_start_timeout: Duration,
    /// How long an outcome of a call that may not be repeated is kept.
    pub outcome_retention: Duration,
    /// Time between two load reports asked of an engine.
    pub report_interval: Duration,
    /// Loads a second that the weight store allows.
    pub store_loads_per_second: u32,
    /// Loads in flight that the weight store serves without slowing down.
    pub store_in_flight: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(400),
            suspect_after: Duration::from_millis(1_600),
            lease_duration: Duration::from_secs(2),
            max_clock_drift: Duration::from_millis(50),
            map_read_interval: Duration::from_secs(1),
            list_interval: Duration::from_secs(2),
            entry_max_age: Duration::from_secs(2),
            grouping: Grouping::FailureDomain,
            placement: Placement::Affinity,
            queue: QueueOrder::Fair,
            rates: RatePolicy::Shares,
            max_rate_wait: Duration::from_secs(1),
            max_queue_wait: Duration::from_secs(30),
            permit_start_timeout: Duration::from_secs(1),
            outcome_retention: Duration::from_hours(24),
            report_interval: Duration::from_millis(500),
            store_loads_per_second: 3,
            store_in_flight: 8,
        }
    }
}

/// How engines are grouped under one home.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Grouping {
    /// Each engine has a home of its own.
    Engine,
    /// The engines of one base model in one failure domain share a home.
    FailureDomain,
    /// All engines of one base model share a home.
    Pool,
}

/// How a request finds its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// Rendezvous order bounded by demand, resident engines first, then the shorter queue.
    Affinity,
    /// Baseline: any engine.
    Random,
    /// Baseline: the engine with the least load.
    LeastLoaded,
    /// Baseline: the first engine of the rendezvous order, always.
    HashOnly,
}

/// In which order a group's queue is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueOrder {
    /// Urgent first, then fair between workspaces by tokens, with aging.
    Fair,
    /// Baseline: first come, first served.
    FirstCome,
}

/// How a workspace's rate is spread over instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RatePolicy {
    /// Shares lent by the workspace's home that follow demand.
    Shares,
    /// Baseline: every active instance has the same share, for good.
    EvenSplit,
    /// Baseline: every admission asks the workspace's home.
    RoundTrip,
}
