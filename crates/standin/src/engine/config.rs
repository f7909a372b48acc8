//! Settings of an engine.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Port on loopback; 0 for any.
    pub port: u16,
    /// Its name as a target.
    pub name: String,
    /// The platform to put its pod to; none to put none.
    pub platform: Option<SocketAddr>,
    /// The weight store; none to load without one.
    pub store: Option<SocketAddr>,
    /// The base model it runs.
    pub base_model: String,
    /// How many adapters it holds at once.
    pub slots: usize,
    /// How many requests it batches at once.
    pub max_batch: usize,
    /// How many requests wait inside it; more are answered 429.
    pub max_waiting: usize,
    /// Where it runs.
    pub failure_domain: String,
    /// It refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Time to prefill one token of a prompt.
    pub prefill_per_token: Duration,
    /// Time to decode one token for a batch of one.
    pub decode: Duration,
    /// How much each further request in the batch adds to that.
    pub decode_per_request: Duration,
    /// How far its report lags.
    pub report_lag: Duration,
    /// How long a stream without a reader is kept.
    pub stream_kept: Duration,
    /// Prompt prefixes that its cache holds.
    pub cached_prefixes: usize,
    /// Whether whole requests are kept for the log, or only what ran.
    pub keep_requests: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            port: 0,
            name: "engine-1".into(),
            platform: None,
            store: None,
            base_model: "base".into(),
            slots: 8,
            max_batch: 8,
            max_waiting: 256,
            failure_domain: "a".into(),
            checks_fencing: true,
            prefill_per_token: Duration::from_micros(100),
            decode: Duration::from_millis(15),
            decode_per_request: Duration::from_micros(300),
            report_lag: Duration::from_millis(300),
            stream_kept: Duration::from_secs(2),
            cached_prefixes: 64,
            keep_requests: true,
        }
    }
}
