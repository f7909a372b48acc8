//! Targets as they register themselves.

use std::net::SocketAddr;

use bluebellstage_core::{BaseModel, FailureDomain, ServiceId, TargetId};
use serde::{Deserialize, Serialize};

use super::adapter::AdapterAt;
use super::rendezvous::ShortHash;

/// A target as it last described itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Target {
    /// Its registered name.
    pub id: TargetId,
    /// Start of this life in milliseconds of the target's own clock; tells two lives apart.
    pub born: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// Base models that it holds.
    pub models: Vec<BaseModel>,
    /// Adapters that it holds.
    pub adapters: Vec<AdapterAt>,
    /// Base models that it can load without the weight store.
    pub copies: Vec<BaseModel>,
}

impl Target {
    /// Names this life of it; none if it doesn't say when it started.
    #[must_use]
    pub fn life(&self) -> Option<ShortHash> {
        let born = self.born?;
        Some(ShortHash::of(&format!("{}/{born}", self.id)))
    }

    /// Whether `other` says the same but for the adapters that it holds, which change all the time
    /// and are told by its loader.
    #[must_use]
    pub fn differs_in_adapters_only(&self, other: &Self) -> bool {
        let bare = |target: &Self| Self {
            adapters: Vec::new(),
            ..target.clone()
        };
        bare(self) == bare(other)
    }
}
