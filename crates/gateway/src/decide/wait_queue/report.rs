//! What instances report to each other about waiting requests.

use serde::{Deserialize, Serialize};

use super::MAX_WAITING;
use crate::decide::rendezvous::ShortHash;

/// Most entries that are believed; a service has few ranks.
const MAX_ENTRIES: usize = 64;
/// Last priority rank.
const LAST_RANK: u8 = 9;

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

    /// Bounds the counts by what the queues of a number of instances can hold. Returns whether any was higher.
    pub fn bound(&mut self, instances: usize) -> bool {
        let most = MAX_WAITING.saturating_mul(instances);
        let most = u16::try_from(most).unwrap_or(u16::MAX);
        let is_plausible = |count: &WaitingCount| count.rank <= LAST_RANK && count.count <= most;
        let is_malformed = self.0.len() > MAX_ENTRIES || !self.0.iter().all(is_plausible);
        self.0.truncate(MAX_ENTRIES);
        self.0.retain(|count| count.rank <= LAST_RANK);
        for count in &mut self.0 {
            count.count = count.count.min(most);
        }
        is_malformed
    }

    /// The counts.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingCount> {
        self.0.iter()
    }

    /// Number of requests of a service that wait, of ranks that come before `rank`.
    #[must_use]
    pub fn before(&self, service: ShortHash, rank: u8) -> u32 {
        let of_service = self.0.iter().filter(|count| count.service == service);
        let before = of_service.filter(|count| count.rank < rank);
        before.map(|count| u32::from(count.count)).sum()
    }

    /// Number of requests of a service that wait, of one rank.
    #[must_use]
    pub fn at(&self, service: ShortHash, rank: u8) -> u16 {
        let mut counts = self.0.iter();
        let known = counts.find(|count| count.service == service && count.rank == rank);
        known.map_or(0, |count| count.count)
    }

    /// Number of requests of a service that wait, of all ranks.
    #[must_use]
    pub fn of(&self, service: ShortHash) -> u32 {
        let of_service = self.0.iter().filter(|count| count.service == service);
        of_service.map(|count| u32::from(count.count)).sum()
    }
}
