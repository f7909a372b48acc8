//! Picks among targets of which some get requests from their owners only.

use bluebellstage_core::{TargetId, Time};

use super::call::Call;
use super::owner::Owner;
use super::placement::Pick;
use super::tables::{Tables, Ticket};
use super::target::Target;

impl Tables {
    /// Picks the target for a request, leaving out those in `tried`. `sample` is a random number
    /// from 0 to 1.
    ///
    /// A brittle target gets requests from its owner only. A plain request goes to such a target of another owner only
    /// if no other target can run it now; an engine is chosen whoever owns it.
    #[must_use]
    pub fn pick(
        &mut self,
        ticket: &Ticket,
        call: &Call,
        tried: &[TargetId],
        sample: f64,
        now: Time,
    ) -> Pick {
        if self.brittle.is_empty(now) {
            return self.pick_of_any_owner(ticket, call, tried, sample, now);
        }
        self.update_owners(now);
        let (of_peers, unowned) = self.brittle_targets_of_others(ticket, now);
        let mut excluded = tried.to_vec();
        excluded.extend(unowned);
        if of_peers.is_empty() {
            return self.pick_of_any_owner(ticket, call, &excluded, sample, now);
        }
        let mut excluded_or_of_peers = excluded.clone();
        excluded_or_of_peers.extend(of_peers);
        if !ticket.may_go_to_owner {
            return self.pick_of_any_owner(ticket, call, &excluded_or_of_peers, sample, now);
        }
        if call.wanted.is_none() {
            let pick = self.pick_of_any_owner(ticket, call, &excluded_or_of_peers, sample, now);
            if matches!(pick, Pick::Send { .. }) {
                return pick;
            }
        }
        self.pick_of_any_owner(ticket, call, &excluded, sample, now)
    }

    /// Returns the brittle targets that peers own, and those whose owner is not known.
    fn brittle_targets_of_others(
        &self,
        ticket: &Ticket,
        now: Time,
    ) -> (Vec<TargetId>, Vec<TargetId>) {
        let allowed = self.registry.all();
        let allowed = allowed.filter(|target| ticket.allows(target));
        let (mut of_peers, mut unowned) = (Vec::new(), Vec::new());
        for target in allowed {
            match self.brittle_owner(target, now) {
                None | Some(Owner::Local) => {}
                Some(Owner::Peer(_)) => of_peers.push(target.id.clone()),
                Some(Owner::Unknown) => unowned.push(target.id.clone()),
            }
        }
        (of_peers, unowned)
    }

    /// Whether a target that has `in_flight` requests of all instances may get another one from here or from its owner,
    /// if it is brittle.
    pub(super) fn bears_request(&self, target: &Target, in_flight: u32, now: Time) -> bool {
        let is_owned_by_peer = matches!(self.brittle_owner(target, now), Some(Owner::Peer(_)));
        self.brittle.has_room(target, in_flight, now)
            && (is_owned_by_peer || self.brittle.bears_refusal(target, now))
    }
}
