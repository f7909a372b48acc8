//! The owner of a target: the one instance that sends requests to it while the target bears no more than one sender.

use std::collections::HashMap;

use bluebellstage_core::{InstanceId, TargetId, Time};

use super::fleet_part::{FleetPart, Tenure};
use super::peers::{DOWN_THRESHOLD, Member, Peer};
use super::rendezvous::{name_hash, weight};
use super::tables::Tables;
use super::target::Target;

/// Who sends requests to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner {
    /// This instance.
    Local,
    /// A peer.
    Peer(InstanceId),
    /// This instance sees too little of the fleet to tell.
    Unknown,
}

/// How a request gets to its target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Way {
    /// From here.
    Direct {
        /// Since when it counts as one that a brittle target may refuse; `None` if the target is sound.
        charged_at: Option<Time>,
    },
    /// Through the target's owner.
    Owner(Member),
    /// From here, but not now: the target bears no further refusal.
    Later,
    /// None is known.
    None,
}

/// Owners of brittle targets, as long as the same instances can own them.
#[derive(Debug, Default)]
pub(super) struct Owners {
    /// Digest of the instances that can own targets.
    candidates: u64,
    by_target: HashMap<TargetId, Owner>,
    /// Instances to which no request could be sent, and when.
    unreached: HashMap<InstanceId, Time>,
}

impl Owners {
    /// Whether no request could be sent to a peer, and nothing was heard of it since.
    fn is_unreached(&self, peer: &Peer, now: Time) -> bool {
        self.unreached.get(&peer.member.name).is_some_and(|at| {
            let heard = peer.last_seen.max(peer.introduced_at);
            now.since(*at) < DOWN_THRESHOLD && heard.is_none_or(|heard| heard <= *at)
        })
    }
}

impl Tables {
    /// Returns the owner of a target: the first of the live, ready instances in the target's order that reach its
    /// service. Peers that are expected to run count as such, so that a restart does not change the owner.
    #[must_use]
    pub fn owner_of(&self, target: &Target, now: Time) -> Owner {
        if !self.may_have_owner(target, now) {
            return Owner::Unknown;
        }
        let key = name_hash(target.id.as_str());
        let weight_of = |peer: &&Peer| weight(key, peer.member.name.as_str());
        let expected = self.peers.expected(self.is_new(now), now);
        let candidates = self.peers_that_reach(&target.service, now).chain(expected);
        let reachable = candidates.filter(|peer| !self.owners.is_unreached(peer, now));
        let first = reachable.max_by_key(weight_of);
        let can_own = self.ready() && !self.is_partitioned_from(&target.service);
        let local = weight(key, self.local.name.as_str());
        match first {
            Some(first) if !can_own || weight_of(&first) > local => {
                Owner::Peer(first.member.name.clone())
            }
            _ if can_own => Owner::Local,
            _ => Owner::Unknown,
        }
    }

    /// Whether the part of the fleet that this instance sees may send to a target.
    fn may_have_owner(&self, target: &Target, now: Time) -> bool {
        let is_alone_yet = self.is_new(now) && self.peers.all().next().is_none();
        let part = self.brittle.part;
        let is_allowed = match self.brittle.max_refusals(target, now) {
            Some(max_refusals) => part.usable_refusals(max_refusals, Tenure::New) > 0,
            None => self.fleet_part(now).is_majority(),
        };
        is_allowed && !is_alone_yet
    }

    /// Returns the part of the fleet that this instance sees.
    pub(super) fn fleet_part(&self, now: Time) -> FleetPart {
        let seen = self.peers.live(now).count();
        let expected = self.peers.expected(self.is_new(now), now).count();
        let known = self.peers.all().count();
        let [seen, known] =
            [seen + expected, known].map(|peers| u32::try_from(peers).unwrap_or(u32::MAX - 1));
        FleetPart {
            seen: seen + 1,
            known: known + 1,
        }
    }

    /// Number of brittle targets whose owner this instance can't tell.
    #[must_use]
    pub fn unowned_count(&self, now: Time) -> usize {
        let brittle = self.registry.all();
        let brittle = brittle.filter(|target| self.brittle.max_refusals(target, now).is_some());
        let unowned = brittle.filter(|target| self.owner_of(target, now) == Owner::Unknown);
        unowned.count()
    }

    /// Returns the owner of a target; `None` if the target is not brittle, or its owner is not determined yet.
    pub(super) fn brittle_owner(&self, target: &Target, now: Time) -> Option<&Owner> {
        self.brittle.max_refusals(target, now)?;
        self.owners.by_target.get(&target.id)
    }

    /// Determines the owners of the brittle targets that have none yet.
    pub(super) fn update_owners(&mut self, now: Time) {
        let brittle = self.registry.all();
        let brittle = brittle.filter(|target| self.brittle.max_refusals(target, now).is_some());
        let without = brittle.filter(|target| !self.owners.by_target.contains_key(&target.id));
        let found = without.map(|target| (target.id.clone(), self.owner_of(target, now)));
        let found = found.collect::<Vec<_>>();
        for (target, owner) in &found {
            self.brittle
                .record_owned(target, *owner == Owner::Local, now);
        }
        self.owners.by_target.extend(found);
    }

    /// Records that a request could not be sent to the owner of a target. Until that is seen again it owns none, as far as
    /// this instance is concerned.
    pub fn record_owner_unreached(&mut self, name: &InstanceId, now: Time) {
        let unreached = Owner::Peer(name.clone());
        self.owners.by_target.retain(|_, owner| *owner != unreached);
        self.owners.unreached.insert(name.clone(), now);
    }

    /// Determines the owners of brittle targets anew if other instances can own them now.
    pub(super) fn sweep_owners(&mut self, now: Time) {
        self.brittle.part = self.fleet_part(now);
        if self.brittle.is_empty(now) {
            self.owners = Owners::default();
            return;
        }
        self.owners
            .unreached
            .retain(|_, at| now.since(*at) < DOWN_THRESHOLD);
        let candidates = self.owner_candidates(now);
        if candidates != self.owners.candidates {
            self.owners.candidates = candidates;
            self.owners.by_target.clear();
        }
        self.update_owners(now);
    }

    /// Returns a digest of the instances that can own targets.
    fn owner_candidates(&self, now: Time) -> u64 {
        let live = self.peers.live(now).filter(|peer| peer.ready);
        let expected = self.peers.expected(self.is_new(now), now);
        let reachable = live.chain(expected);
        let reachable = reachable.filter(|peer| !self.owners.is_unreached(peer, now));
        let digests = reachable.map(|peer| {
            let name = name_hash(peer.member.name.as_str());
            let lost = peer.lost_services.iter();
            lost.fold(name, |digest, service| {
                digest.wrapping_add(u64::from(service.bits()))
            })
        });
        let FleetPart { seen, known } = self.brittle.part;
        let lost = self.lost_services().len();
        let local = [u64::from(self.ready()), u64::from(seen), u64::from(known)];
        let local = local[0] + 2 * local[1] + (local[2] << 32);
        let local = local.wrapping_add(u64::try_from(lost).unwrap_or(0) << 16);
        digests.fold(local, u64::wrapping_add)
    }

    /// Returns how a request gets to a target that was picked for it. If it is sent from here and its target is
    /// brittle, it counts as one that the target may refuse.
    pub fn way_to(&mut self, target: &TargetId, now: Time) -> Way {
        let known = self.registry.get(target);
        let brittle = known.filter(|known| self.brittle.max_refusals(known, now).is_some());
        let Some(known) = brittle else {
            return Way::Direct { charged_at: None };
        };
        match self.brittle_owner(known, now) {
            Some(Owner::Local) if self.brittle.bears_refusal(known, now) => {
                self.brittle.record_sent(known, now);
                Way::Direct {
                    charged_at: Some(now),
                }
            }
            Some(Owner::Local) | None => Way::Later,
            Some(Owner::Peer(name)) => self
                .expected_member(name, now)
                .map_or(Way::None, Way::Owner),
            _ => Way::None,
        }
    }

    /// Returns the brittle targets that should be asked for a sign of life.
    pub fn take_brittle_checks(&mut self, now: Time) -> Vec<TargetId> {
        let Self {
            registry, brittle, ..
        } = self;
        let due = registry.all();
        let due = due.filter(|target| brittle.take_check(target, now));
        due.map(|target| target.id.clone()).collect()
    }

    /// Returns the registration of a peer that is live or expected to run.
    fn expected_member(&self, name: &InstanceId, now: Time) -> Option<Member> {
        let peer = self.peers.get(name)?;
        let is_expected = peer.is_expected(self.is_new(now), now);
        (is_expected || self.peers.is_live(name, now)).then(|| peer.member.clone())
    }
}
