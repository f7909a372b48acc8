//! Kinds of objects in the store.

use serde::{Deserialize, Serialize};

/// Kind of an object that an instance reads or writes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The operators' configuration.
    Config,
    /// Registrations of targets.
    Targets,
    /// Announced versions of adapters.
    AdapterVersions,
    /// Evacuations of failure domains.
    Evacuations,
    /// Registrations of instances.
    Members,
    /// Leases of the loader shards.
    Leases,
    /// Quarantine decisions on requests under which targets crash.
    Verdicts,
    /// Software versions and origins of streams.
    Streams,
}

impl Kind {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Targets => "targets",
            Self::AdapterVersions => "adapter_versions",
            Self::Evacuations => "evacuations",
            Self::Members => "members",
            Self::Leases => "leases",
            Self::Verdicts => "verdicts",
            Self::Streams => "streams",
        }
    }
}
