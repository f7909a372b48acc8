//! Settings of a plain service.

use std::net::SocketAddr;

/// Settings of one replica of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Port on loopback; 0 for any.
    pub port: u16,
    /// Its name as a target.
    pub name: String,
    /// The platform to put its pod to; none to put none.
    pub platform: Option<SocketAddr>,
    /// Which service it is a replica of.
    pub service: String,
    /// How many calls it takes at once.
    pub concurrency: u32,
    /// Where it runs.
    pub failure_domain: String,
    /// Time of one call, in milliseconds.
    pub latency_ms: u64,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            port: 0,
            name: "service-1".into(),
            platform: None,
            service: "filings".into(),
            concurrency: 16,
            failure_domain: "a".into(),
            latency_ms: 5,
        }
    }
}
