//! The owner of a target: the one instance that sends requests to it while the target bears no more than one sender.

use std::collections::HashMap;

use bluebellstage_core::{InstanceId, TargetId, Time};

use super::peers::{Member, Peer};
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
}

impl Tables {
    /// Returns the owner of a target: the first of the live, ready instances in the target's order that reach its
    /// service.
    #[must_use]
    pub fn owner_of(&self, target: &Target, now: Time) -> Owner {
        if self.sees_too_little(now) {
            return Owner::Unknown;
        }
        let key = name_hash(target.id.as_str());
        let weight_of = |peer: &&Peer| weight(key, peer.member.name.as_str());
        let first = self.peers_that_reach(&target.service, now);
        let first = first.max_by_key(weight_of);
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

    /// Whether another part of the fleet may choose other owners, or this instance has not heard of it yet.
    fn sees_too_little(&self, now: Time) -> bool {
        let others = self.peers.all().count();
        let live = self.peers.live(now).count();
        live * 2 < others || (self.is_new(now) && (others == 0 || live < others))
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
        self.owners.by_target.extend(found);
    }

    /// Forgets the owners of brittle targets if other instances can own them now.
    pub(super) fn sweep_owners(&mut self, now: Time) {
        if self.brittle.is_empty(now) {
            self.owners = Owners::default();
            return;
        }
        let candidates = self.owner_candidates(now);
        if candidates != self.owners.candidates {
            self.owners = Owners {
                candidates,
                by_target: HashMap::new(),
            };
        }
    }

    /// Returns a digest of the instances that can own targets.
    fn owner_candidates(&self, now: Time) -> u64 {
        let live = self.peers.live(now).filter(|peer| peer.ready);
        let digests = live.map(|peer| {
            let name = name_hash(peer.member.name.as_str());
            let lost = peer.lost_services.iter();
            lost.fold(name, |digest, service| {
                digest.wrapping_add(u64::from(service.bits()))
            })
        });
        let local = [self.ready(), self.sees_too_little(now)].map(u64::from);
        let lost = self.lost_services().len();
        let local = local[0] + 2 * local[1] + 4 * u64::try_from(lost).unwrap_or(0);
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
            Some(Owner::Peer(name)) => self.live_member(name, now).map_or(Way::None, Way::Owner),
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

    fn live_member(&self, name: &InstanceId, now: Time) -> Option<Member> {
        let peer = self.peers.get(name)?;
        self.peers.is_live(name, now).then(|| peer.member.clone())
    }
}
