//! Registrations of instances.

use std::net::SocketAddr;

use bluebellstage_core::{FailureDomain, Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::decide::rendezvous::weight;

/// Registration of an instance.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// Its name, which it keeps across restarts.
    pub name: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for datagrams of peers.
    pub gossip: SocketAddr,
    /// Address from which peers copy its configuration and targets.
    pub control: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Capacity of its machine.
    pub strength: Strength,
}

impl Member {
    /// Precedence for the duty named by `key`; the highest comes first.
    ///
    /// Machines with the highest capacity come first. A duty costs an instance more than its
    /// callers do, and on a machine with little capacity orders to engines time out.
    #[must_use]
    pub fn precedence(&self, key: u64) -> (Strength, u64) {
        (self.strength, weight(key, self.name.as_str()))
    }
}

/// Capacity of a machine, in hundredths of a processor core.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Strength(pub u32);
