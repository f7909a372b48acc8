//! Requests that wait for room at the targets of a service, and the order in which they get it.
//!
//! A request that finds no room waits in the instance that holds its caller. When room may have come, the waiting
//! requests try one after the other, the first in order first; none asks again by itself.

mod patience;
mod report;
mod standing;
mod turn;
mod waiter;

use std::collections::HashMap;

use bluebellstage_core::{TargetId, Time};
use slotmap::{SlotMap, new_key_type};

pub use self::patience::Patience;
pub use self::report::{WaitingCount, WaitingCounts};
pub use self::standing::Standing;
pub use self::turn::Turn;
pub use self::waiter::{Contended, Waiter};
use crate::decide::rendezvous::ShortHash;

new_key_type! {
    /// Identifies a request that waits for room.
    pub struct WaitKey;
}

/// Most requests of one service that wait at an instance; each holds its body in memory.
pub const MAX_WAITING: usize = 512;

/// Where room may have come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Room {
    /// At one target.
    At(TargetId),
    /// Anywhere: loads of peers, targets or adapters have changed.
    Anywhere,
}

/// Whether a request got into the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Entered {
    /// It waits. `displaced` has lost its place to it.
    Waits {
        /// The request.
        key: WaitKey,
        /// The last in order, if the queue was full.
        displaced: Option<WaitKey>,
    },
    /// The queue is full of requests that come before it.
    QueueFull,
}

#[derive(Debug)]
struct Entry {
    waiter: Waiter,
    /// Whether room may have come since it last tried.
    is_due: bool,
    /// Whether its place was taken by a request that comes before it.
    is_displaced: bool,
}

/// Requests of this instance that wait for room.
#[derive(Debug, Default)]
pub struct WaitQueue {
    entries: SlotMap<WaitKey, Entry>,
    /// The request of each service that tries now.
    trying: HashMap<ShortHash, WaitKey>,
    /// Counts of other instances that were not plausible.
    malformed_counts: u64,
}

impl WaitQueue {
    /// Adds a request. If the queue of its service is full, the last in order loses its place.
    pub fn enter(&mut self, waiter: Waiter, now: Time) -> Entered {
        let last = self.last_if_full(waiter.service, now);
        if let Some(last) = last {
            let last = &mut self.entries[last];
            if last.waiter.order(now) <= waiter.order(now) {
                return Entered::QueueFull;
            }
            last.is_displaced = true;
        }
        let key = self.entries.insert(Entry {
            waiter,
            is_due: false,
            is_displaced: false,
        });
        Entered::Waits {
            key,
            displaced: last,
        }
    }

    /// Returns the last in order of a service if no more of its requests may wait.
    fn last_if_full(&self, service: ShortHash, now: Time) -> Option<WaitKey> {
        let waiting = self.entries.iter();
        let waiting =
            waiting.filter(|(_, entry)| entry.waiter.service == service && !entry.is_displaced);
        if waiting.clone().count() < MAX_WAITING {
            return None;
        }
        let last = waiting.max_by_key(|(_, entry)| entry.waiter.order(now));
        last.map(|(key, _)| key)
    }

    /// Removes a request that was sent or refused, or whose caller has gone.
    pub fn leave(&mut self, key: WaitKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        let left = entry.waiter;
        self.stop_trying(left.service, key);
        for other in self.entries.values_mut() {
            let is_same = other.waiter.contended == left.contended;
            if is_same && other.waiter.service == left.service {
                other.is_due = true;
            }
        }
    }

    /// Records that a request found no room again. Those behind it that compete for the same adapter wait on as well.
    pub fn found_no_room(&mut self, key: WaitKey, tried: Waiter, now: Time) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.waiter = tried;
        entry.is_due = false;
        self.stop_trying(tried.service, key);
        for other in self.entries.values_mut() {
            let is_same = other.waiter.competes_alike(&tried);
            if is_same && tried.order(now) < other.waiter.order(now) {
                other.is_due = false;
            }
        }
    }

    fn stop_trying(&mut self, service: ShortHash, key: WaitKey) {
        if self.trying.get(&service) == Some(&key) {
            self.trying.remove(&service);
        }
    }

    /// Records that room may have come. Returns the services of which requests may try now.
    pub fn room_came(&mut self, room: &Room) -> Vec<ShortHash> {
        let mut services = Vec::new();
        for entry in self.entries.values_mut() {
            if !entry.waiter.contended.may_be_at(room) {
                continue;
            }
            entry.is_due = true;
            if !services.contains(&entry.waiter.service) {
                services.push(entry.waiter.service);
            }
        }
        services
    }

    /// Returns the request of a service that tries next, unless another one tries now.
    pub fn next(&mut self, service: ShortHash, now: Time) -> Option<WaitKey> {
        if self.trying.contains_key(&service) {
            return None;
        }
        let due = self.entries.iter();
        let due = due.filter(|(_, entry)| entry.waiter.service == service && entry.is_due);
        let (key, _) = due.min_by_key(|(_, entry)| entry.waiter.order(now))?;
        self.trying.insert(service, key);
        Some(key)
    }

    /// Whether a request waits that comes before `waiter` and needs the room at `target`.
    #[must_use]
    pub fn has_before(&self, waiter: &Waiter, target: ShortHash, now: Time) -> bool {
        let waiting = self.entries.values().map(|entry| &entry.waiter);
        let mut before = waiting.filter(|other| other.needs_room_at(target, waiter));
        before.any(|other| other.holds_back(waiter, now))
    }

    /// Returns the prompt tokens of waiting requests that come before `waiter` and need the room at `target`.
    #[must_use]
    pub fn tokens_before(&self, waiter: &Waiter, target: ShortHash, now: Time) -> u64 {
        let waiting = self.entries.values().map(|entry| &entry.waiter);
        let before = waiting.filter(|other| other.needs_room_at(target, waiter));
        let before = before.filter(|other| other.holds_back(waiter, now));
        before.fold(0, |sum, other| sum.saturating_add(other.tokens))
    }

    /// Whether the request has lost its place.
    #[must_use]
    pub fn is_displaced(&self, key: WaitKey) -> bool {
        let entry = self.entries.get(key);
        entry.is_none_or(|entry| entry.is_displaced)
    }

    /// Returns a waiting request.
    #[must_use]
    pub fn get(&self, key: WaitKey) -> Option<&Waiter> {
        self.entries.get(key).map(|entry| &entry.waiter)
    }

    /// Returns the number of requests of its service that come before a waiting one.
    #[must_use]
    pub fn position(&self, waiter: &Waiter, now: Time) -> usize {
        let waiting = self.entries.values().map(|entry| &entry.waiter);
        let of_service = waiting.filter(|other| other.service == waiter.service);
        let before = of_service.filter(|other| other.order(now) < waiter.order(now));
        before.count()
    }

    /// Returns the requests of this instance that wait and can still begin in time, for its next status.
    #[must_use]
    pub fn local_counts(&self, now: Time) -> WaitingCounts {
        let mut counts = WaitingCounts::default();
        let waiting = self.entries.values().map(|entry| &entry.waiter);
        for waiter in waiting.filter(|waiter| !waiter.is_late(now)) {
            counts.add(WaitingCount {
                service: waiter.service,
                rank: waiter.rank,
                count: 1,
            });
        }
        counts
    }

    /// Returns the number of waiting requests by service and rank.
    #[must_use]
    pub fn all_counts(&self) -> WaitingCounts {
        let mut counts = WaitingCounts::default();
        for entry in self.entries.values() {
            counts.add(WaitingCount {
                service: entry.waiter.service,
                rank: entry.waiter.rank,
                count: 1,
            });
        }
        counts
    }

    /// Records that another instance sent counts that were not plausible.
    pub(in crate::decide) const fn record_malformed_counts(&mut self) {
        self.malformed_counts += 1;
    }

    /// Number of messages whose counts were not plausible.
    #[must_use]
    pub const fn malformed_counts(&self) -> u64 {
        self.malformed_counts
    }
}
