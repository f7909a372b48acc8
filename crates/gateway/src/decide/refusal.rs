//! Reasons for which a request is refused.

use std::time::Duration;

use bluebellstage_core::Rate;

/// Reason for which a request is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The instance has no configuration yet.
    NotConfigured,
    /// The instance has no configuration, and neither the store nor a peer responds that could supply it.
    StoreUnreachable,
    /// The instance is stopping and may not be able to finish new requests.
    Stopping,
    /// No route matches.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
    /// The part of the configuration that says how to serve the request can't be decoded.
    MalformedConfig,
    /// The workspace's quota is used up.
    OverQuota {
        /// Time until the request would fit.
        retry_after: Duration,
        /// Remaining units.
        remaining: i64,
        /// Units that the request is charged.
        charge: u64,
        /// The workspace's rate in units per second.
        rate: Rate,
    },
    /// All targets that could run the request are full or failing.
    Full,
    /// No target of the service is known.
    NoTarget,
}

impl Refusal {
    /// Returns the short name for metrics and the log.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::StoreUnreachable => "store_unreachable",
            Self::Stopping => "stopping",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::MalformedConfig => "malformed_config",
            Self::OverQuota { .. } => "over_quota",
            Self::Full => "full",
            Self::NoTarget => "no_target",
        }
    }

    /// Returns the numbers that the refusal is based on, by log key.
    #[must_use]
    pub fn inputs(&self) -> Vec<(&'static str, String)> {
        let Self::OverQuota {
            retry_after,
            remaining,
            charge,
            rate,
            ..
        } = self
        else {
            return Vec::new();
        };
        vec![
            ("charge", charge.to_string()),
            ("left", remaining.to_string()),
            ("rate", rate.0.to_string()),
            ("retry_after_ms", retry_after.as_millis().to_string()),
        ]
    }
}
