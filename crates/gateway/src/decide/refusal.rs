//! Why a request is not served.

use std::time::Duration;

use bluebellstage_core::{Rate, WorkspaceId};

/// Why a request is not served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No configuration is known yet.
    NotConfigured,
    /// The instance stops and may not finish what comes now.
    Stopping,
    /// No route matches.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
    /// The workspace's quota is used up.
    OverQuota {
        /// Who has used it up.
        workspace: WorkspaceId,
        /// Time until it would fit.
        retry_after: Duration,
        /// Units that are left.
        left: i64,
        /// Units that the request counts as.
        charge: u64,
        /// Units a second that the workspace has.
        rate: Rate,
    },
    /// All targets that could run it are full or fail.
    Full,
    /// No target of the service is known.
    NoTarget,
}

impl Refusal {
    /// A short name, for metrics and the log.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::Stopping => "stopping",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::OverQuota { .. } => "over_quota",
            Self::Full => "full",
            Self::NoTarget => "no_target",
        }
    }

    /// What decided it, by name, for the log.
    #[must_use]
    pub fn inputs(&self) -> Vec<(&'static str, String)> {
        let Self::OverQuota {
            workspace,
            retry_after,
            left,
            charge,
            rate,
        } = self
        else {
            return Vec::new();
        };
        vec![
            ("workspace", workspace.to_string()),
            ("charge", charge.to_string()),
            ("left", left.to_string()),
            ("rate", rate.0.to_string()),
            ("retry_after_ms", retry_after.as_millis().to_string()),
        ]
    }
}
