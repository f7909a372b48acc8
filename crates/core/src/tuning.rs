//! Settings of the decision cores.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of the decision cores, which the daemon reads from its settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tuning {
    /// Interval of the heartbeats to each peer.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which the removal of a peer from the map is proposed.
    pub suspect_after: Duration,
    /// Duration of a lease (T), counted from when the request that renewed it was sent.
    pub lease_duration: Duration,
    /// Maximum drift between two clocks over one `lease_duration`.
    pub max_clock_drift: Duration,
    /// Interval of the consistent reads of the map.
    pub map_read_interval: Duration,
    /// Interval of the reads of the platform's lists.
    pub list_interval: Duration,
    /// How long a caller may cache the response of `/v1/entry`.
    pub entry_max_age: Duration,
    /// How engines are grouped under one owner.
    pub grouping: Grouping,
    /// How an engine is selected for a request.
    pub placement: Placement,
    /// The order in which a group's queue is served.
    pub queue: QueueOrder,
    /// How a workspace's rate is divided among the instances.
    pub rates: RatePolicy,
    /// Maximum time that a request waits until its workspace's tokens accrue or are moved here.
    pub max_rate_wait: Duration,
    /// Maximum time that a request waits for a permit or a service slot.
    pub max_queue_wait: Duration,
    /// Maximum time between the grant of a permit and its use.
    pub permit_start_timeout: Duration,
    /// How long the outcome of a call that may not be repeated is stored.
    pub outcome_retention: Duration,
    /// Interval of the load reports requested from an engine.
    pub report_interval: Duration,
    /// Maximum number of adapter loads per second that the weight store permits.
    pub store_loads_per_second: u32,
    /// Number of concurrent loads that the weight store serves without slowing down.
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

/// How engines are grouped under one owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Grouping {
    /// Each engine has a separate owner.
    Engine,
    /// The engines of one base model in one failure domain share an owner.
    FailureDomain,
    /// All engines of one base model share an owner.
    Pool,
}

/// How an engine is selected for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// Rendezvous order bounded by demand; prefers engines with the adapter resident, then the
    /// shorter queue.
    Affinity,
    /// Baseline: any engine.
    Random,
    /// Baseline: the engine with the least load.
    LeastLoaded,
    /// Baseline: always the first engine of the rendezvous order.
    HashOnly,
}

/// The order in which a group's queue is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueOrder {
    /// Urgent requests first, then fair queueing between workspaces by tokens, with aging.
    Fair,
    /// Baseline: first come, first served.
    FirstCome,
}

/// How a workspace's rate is divided among the instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RatePolicy {
    /// The workspace's owner lends shares that follow demand.
    Shares,
    /// Baseline: every active instance permanently has the same share.
    EvenSplit,
    /// Baseline: every admission requires a request to the workspace's owner.
    RoundTrip,
}
