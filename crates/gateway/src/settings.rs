//! Settings of an instance, and which of them may change while it runs.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::connection_cap::DescriptorLimit;
use crate::decide::memory_budget::MemoryLimit;
use crate::decide::peers::Member;
use crate::decide::retry_budget::RetryBudget;

/// Settings that an instance needs to start.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The registration of this instance.
    pub member: Member,
    /// Address of the platform's readiness checks.
    pub ready: Option<SocketAddr>,
    /// Address at which callers look up the addresses of instances.
    pub directory: Option<SocketAddr>,
    /// Address at which metrics are scraped.
    pub metrics: Option<SocketAddr>,
    /// Minimum time between the last order of one holder of a loader shard and the first order of the next.
    pub handover: Duration,
    /// Longest rest that a target gets when it asks for one.
    pub max_rest: Duration,
    /// Memory at which the process is killed; `None` if what is held for callers is not bounded.
    pub memory_limit: Option<MemoryLimit>,
    /// Number of descriptors that the process may have open; `None` if only the kernel's limit holds.
    pub descriptor_limit: Option<DescriptorLimit>,
    /// Settings that may change while the process runs.
    pub reloadable: ReloadableSettings,
}

/// Settings that can be reloaded while the process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadableSettings {
    /// Addresses at which other instances may be found when the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Limit on retries.
    pub retry_budget: RetryBudget,
    /// Time between the stop signal and the kill.
    pub stop_timeout: Duration,
    /// How long callers may cache a list of addresses.
    pub address_ttl: Duration,
}
