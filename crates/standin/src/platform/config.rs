//! Settings of the platform.

use std::time::Duration;

/// Settings of the platform.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Port on loopback; 0 for any.
    pub port: u16,
    /// How far the list of pods lags.
    pub list_lag: Duration,
    /// Time between two probes of the instances' ports; none to probe none.
    pub probe: Option<Duration>,
    /// Changes kept for watches that begin in the past; older ones are answered 410.
    pub kept_changes: usize,
    /// Whether whole requests are kept for the log, or only counted.
    pub keep_requests: bool,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            port: 0,
            list_lag: Duration::from_millis(1_500),
            probe: None,
            kept_changes: 1_000,
            keep_requests: true,
        }
    }
}
