//! Confirms that a service has had one software version only, for streams of unknown origin.
//!
//! What an instance knows of the targets is out of date, without any sign of it, while it is cut off and when it has just
//! been suspended. So no instance takes the version that it knows for the only one before the store has been asked, by
//! a call that began after the request that continues the stream came. Followers of the store are asked for it first, as
//! one call of theirs serves the requests of many instances.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{Revision, Time};

use super::record_state::Backoff;
use crate::decide::peers::{Member, Peer};
use crate::decide::rendezvous::name_hash;
use crate::decide::store::access::{FOLLOWER_COUNT, FOLLOWER_KEY};
use crate::decide::tables::Tables;
use crate::decide::target::Target;

/// Time for which a request waits for followers of the store. Then all that it asks call the store: those may be cut off
/// from it.
pub(super) const FOLLOWERS_CONFIRM_FOR: Duration = Duration::from_millis(100);

/// Calls to the store by which an instance confirms what it knows of the targets.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    /// Whether a request came after the last call began.
    is_wanted: bool,
    /// When the call began that is under way.
    running_since: Option<Time>,
    /// When the newest call began to which the store has responded.
    confirmed_at: Option<Time>,
    backoff: Backoff,
}

impl Confirmation {
    /// Whether the store has not responded to the last call.
    pub(super) const fn has_failed(&self) -> bool {
        self.backoff.is_set()
    }

    /// Whether the store has responded to a call that began in the last `waited`.
    pub(super) fn is_within(&self, waited: Duration, now: Time) -> bool {
        self.confirmed_at
            .is_some_and(|began| now.since(began) <= waited)
    }
}

impl Tables {
    /// Asks for a call for a request that has waited for `waited`, if none is under way that serves it.
    pub(super) fn want_confirmation(&mut self, waited: Duration, now: Time) {
        let confirmation = &mut self.origins.confirmation;
        let running = confirmation.running_since;
        let is_served = running.is_some_and(|began| now.since(began) <= waited);
        confirmation.is_wanted |= !is_served;
    }

    /// Whether a call is to begin, now or when the backoff after a failed one is over.
    #[must_use]
    pub const fn wants_confirmation(&self) -> bool {
        self.origins.confirmation.is_wanted
    }

    /// Returns the revision after which the store is to be asked for changes of targets now, if it is. The result is to be
    /// recorded.
    pub fn begin_confirmation(&mut self, now: Time) -> Option<Revision> {
        let confirmation = &mut self.origins.confirmation;
        let is_due = confirmation.is_wanted && confirmation.backoff.is_due(now);
        if !is_due || confirmation.running_since.is_some() {
            return None;
        }
        confirmation.is_wanted = false;
        confirmation.running_since = Some(now);
        Some(self.registry.copied_revision())
    }

    /// Records the targets that have changed, as the store has responded.
    pub fn record_confirmed<'a>(&mut self, changed: impl Iterator<Item = &'a Target>, now: Time) {
        for target in changed {
            self.registry.record_software(target, now);
        }
        let confirmation = &mut self.origins.confirmation;
        confirmation.confirmed_at = confirmation.running_since.take();
        confirmation.backoff.reset();
    }

    /// Records that the store has not responded, or no longer has the changes.
    pub fn record_confirmation_failed(&mut self, now: Time) {
        let confirmation = &mut self.origins.confirmation;
        confirmation.running_since = None;
        confirmation.backoff.record_failure(now);
    }

    /// Whether this instance calls the store for a request that has waited for `waited`, here or at another instance.
    pub(super) fn is_confirmer(&self, waited: Duration, now: Time) -> bool {
        waited >= FOLLOWERS_CONFIRM_FOR || self.follows_store(now)
    }

    /// Instances to ask for a confirmation, which follow the store as far as known.
    pub(super) fn confirmers(&self, now: Time) -> Vec<SocketAddr> {
        let key = name_hash(FOLLOWER_KEY);
        let is_able = |peer: &&Peer| peer.ready && peer.store_reachable;
        let able = self.peers.live(now).filter(is_able);
        let mut able = able.map(|peer| &peer.member).collect::<Vec<&Member>>();
        able.sort_by_cached_key(|member| Reverse(member.precedence(key)));
        let first = able.into_iter().take(FOLLOWER_COUNT);
        first.map(|member| member.gossip).collect()
    }
}
