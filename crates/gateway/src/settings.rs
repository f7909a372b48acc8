//! What an instance must know to start, and what of it may change while it runs.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::peers::Member;
use crate::decide::retry_budget::RetryBudget;

/// What an instance must know to start.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// How it registers itself.
    pub member: Member,
    /// Where the platform asks whether it is ready.
    pub ready: Option<SocketAddr>,
    /// Where callers ask which addresses to use.
    pub directory: Option<SocketAddr>,
    /// Where metrics are scraped.
    pub metrics: Option<SocketAddr>,
    /// Pause that two holders of a loader shard leave between their orders.
    pub handover: Duration,
    /// What may change while the process runs.
    pub terms: Terms,
}

/// Settings that are taken over while the process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Where other instances may be found when the store is away.
    pub seeds: Vec<SocketAddr>,
    /// Limit on repeats.
    pub retry_budget: RetryBudget,
    /// Time between the order to stop and the kill.
    pub stop_timeout: Duration,
    /// How long callers may keep a list of addresses.
    pub address_ttl: Duration,
}
