//! What instances report to each other about waiting requests.

use serde::{Deserialize, Serialize};

use crate::decide::rendezvous::ShortHash;

/// Number of requests of one rank that wait for a place at a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WaitingCount {
    /// The service.
    pub service: ShortHash,
    /// Priority rank, 0 first.
    pub rank: u8,
    /// Number of requests.
    pub count: u16,
}

/// Numbers of waiting requests, by service and rank; empty ones are left out.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct WaitingCounts(Vec<WaitingCount>);

impl WaitingCounts {
    /// Adds requests of a service and rank.
    pub fn add(&mut self, added: WaitingCount) {
        if added.count == 0 {
            return;
        }
        let is_same =
            |known: &&mut WaitingCount| known.service == added.service && known.rank == added.rank;
        match self.0.iter_mut().find(is_same) {
            Some(known) => known.count = known.count.saturating_add(added.count),
            None => self.0.push(added),
        }
    }

    /// Adds all of `other`.
    pub fn add_all(&mut self, other: &Self) {
        for count in &other.0 {
            self.add(*count);
        }
    }

    /// Number of requests of a service that wait, of ranks that come before `rank`.
    #[must_use]
    pub fn before(&self, service: ShortHash, rank: u8) -> u32 {
        let of_service = self.0.iter().filter(|count| count.service == service);
        let before = of_service.filter(|count| count.rank < rank);
        before.map(|count| u32::from(count.count)).sum()
    }

    /// Number of requests of a service that wait, of all ranks.
    #[must_use]
    pub fn of(&self, service: ShortHash) -> u32 {
        let of_service = self.0.iter().filter(|count| count.service == service);
        of_service.map(|count| u32::from(count.count)).sum()
    }
}
