//! HTTP clients towards targets.

use std::time::Duration;

use reqwest::Client;

use crate::connection::http_client;
use crate::settings::Limits;

/// Idle connections kept to one engine; as many as a busy engine's streams that end together.
const IDLE_PER_ENGINE: usize = 256;

/// An idle connection goes after this, before a target's own keep-alive timeout is likely to end.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Clients towards targets: one that keeps connections, one that doesn't.
#[derive(Clone, Debug)]
pub(crate) struct TargetClients {
    /// For work that may be repeated.
    pub(crate) pooled: Client,
    /// For calls that may not be repeated. Each gets a fresh connection: a pooled one that the
    /// target closes while the call is on its way leaves open whether the call ran, where a fresh
    /// one that is refused proves that it didn't.
    pub(crate) fresh: Client,
}

impl TargetClients {
    /// # Errors
    /// What the HTTP library says when a client can't be made.
    pub(crate) fn new(limits: &Limits) -> Result<Self, reqwest::Error> {
        let pooled = http_client()
            .connect_timeout(limits.connect_timeout)
            .pool_max_idle_per_host(IDLE_PER_ENGINE)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build()?;
        let fresh = http_client()
            .connect_timeout(limits.connect_timeout)
            .pool_max_idle_per_host(0)
            .build()?;
        Ok(Self { pooled, fresh })
    }
}
