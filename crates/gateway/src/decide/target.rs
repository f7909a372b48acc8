//! Targets, as described by their registrations.

use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{BaseModel, FailureDomain, ServiceId, SoftwareVersion, TargetId};
use serde::{Deserialize, Serialize};

use super::adapters::adapter::VersionedAdapter;
use super::rendezvous::ShortHash;

/// A target as described by its latest registration.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Target {
    /// Registered name.
    pub id: TargetId,
    /// Start of the current incarnation in milliseconds of the target's own clock; distinguishes
    /// two incarnations.
    pub born: Option<u64>,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Version of the software that it runs.
    pub software: SoftwareVersion,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining and takes no new requests.
    pub leaving: bool,
    /// Resident base models.
    pub models: Vec<BaseModel>,
    /// Resident adapters.
    pub adapters: Vec<VersionedAdapter>,
    /// Base models that it can load without the weight store.
    pub cached_models: Vec<BaseModel>,
    /// How long it still is cold, as of its registration; `None` if it does not say.
    pub cold_left: Option<Duration>,
}

impl Target {
    /// Returns a hash that identifies the current incarnation; `None` if the start time is unknown.
    #[must_use]
    pub fn incarnation(&self) -> Option<ShortHash> {
        let born = self.born?;
        Some(ShortHash::of(&format!("{}/{born}", self.id)))
    }

    /// Returns whether the target reports that it is cold.
    #[must_use]
    pub fn reports_cold(&self) -> bool {
        self.cold_left.is_some_and(|left| !left.is_zero())
    }

    /// Returns whether `other` is equal except for what changes often: the resident adapters, which
    /// the target's loader reports, and how long it still is cold.
    #[must_use]
    pub fn differs_in_details_only(&self, other: &Self) -> bool {
        let bare = |target: &Self| Self {
            adapters: Vec::new(),
            cold_left: None,
            ..target.clone()
        };
        bare(self) == bare(other) && self.reports_cold() == other.reports_cold()
    }
}
