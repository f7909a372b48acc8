//! Decides whether this instance is partitioned from the targets of a service, and what it does meanwhile.
//!
//! An instance that reaches no target of a service can't tell whether the targets are down or its own network is.
//! Its peers can: they report the services whose targets they can't reach either. While at least one does not,
//! requests are forwarded to such peers.

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::{FailureDomain, InstanceId, ServiceId, TargetId, Time};

use super::drain_state::DrainState;
use super::path_checks::PathCheck;
use super::paths::ConnectOutcome;
use super::peers::{Member, Peer};
use super::rendezvous::ShortHash;
use super::tables::Tables;

/// A failure domain serves its own callers and instances as long as at least one in this number of its instances
/// reaches the targets; fewer would be overloaded.
const MIN_SERVING_DIVISOR: usize = 3;

/// Number of targets that a request could not be sent to after which it goes to a peer, whatever answers arrive here
/// on connections that are kept.
const MAX_UNREACHED: usize = 3;
/// Time for which a peer must have reached the targets before they count as unharmed: when targets fail, other
/// instances take a while to notice.
const MIN_TIME_REACHED_BY_PEER: Duration = Duration::from_secs(1);

/// How the paths to the targets of a service have changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathChange {
    /// They have not.
    None,
    /// Targets were reached, and none is any more. Connections have failed for this long.
    Lost(ServiceId, Duration),
    /// Targets are reached again after this time.
    Regained(ServiceId, Duration),
}

/// The lost paths to the targets of a service.
#[derive(Clone, Copy, Debug)]
struct LostPaths {
    since: Time,
    /// Since when a peer has reached the targets, as far as known; `None` if none does.
    reached_by_peer_since: Option<Time>,
}

/// Services whose targets this instance can't reach.
#[derive(Debug, Default)]
pub struct Partitions {
    lost: BTreeMap<ServiceId, LostPaths>,
    pub(super) checks: BTreeMap<ServiceId, PathCheck>,
    /// Requests that peers are serving for this instance.
    forwarded: BTreeMap<InstanceId, u32>,
}

impl Partitions {
    /// Returns the services whose targets can't be reached, and since when.
    pub fn lost(&self) -> impl Iterator<Item = (&ServiceId, Time)> {
        self.lost
            .iter()
            .map(|(service, lost)| (service, lost.since))
    }

    /// Records that a request is forwarded to a peer.
    pub fn start_forwarded(&mut self, peer: &InstanceId) {
        *self.forwarded.entry(peer.clone()).or_default() += 1;
    }

    /// Records that a request that was forwarded to a peer has ended.
    pub fn end_forwarded(&mut self, peer: &InstanceId) {
        if let Some(count) = self.forwarded.get_mut(peer) {
            *count -= 1;
            if *count == 0 {
                self.forwarded.remove(peer);
            }
        }
    }

    fn forwarded_to(&self, peer: &InstanceId) -> u32 {
        self.forwarded.get(peer).copied().unwrap_or(0)
    }
}

impl Tables {
    /// Targets of a service to which a path should exist: those that do not leave.
    pub(super) fn expected_targets(&self, service: &ServiceId, now: Time) -> Vec<TargetId> {
        let targets = self.registry.all();
        let expected = targets.filter(|target| {
            target.service == *service && self.drain_state(target, now) == DrainState::Open
        });
        expected.map(|target| target.id.clone()).collect()
    }

    /// Records the result of opening a connection to a target.
    pub fn record_connect(
        &mut self,
        target: &TargetId,
        outcome: ConnectOutcome,
        now: Time,
    ) -> PathChange {
        self.paths.record(target, outcome, now);
        let Some(known) = self.registry.get(target) else {
            return PathChange::None;
        };
        let service = known.service.clone();
        if outcome == ConnectOutcome::Opened && !self.is_partitioned_from(&service) {
            return PathChange::None;
        }
        if self.is_partitioned_from(&service) {
            return self.check_back(service, now);
        }
        self.check_lost(service, now)
    }

    /// Records that an answer or an event arrived from a target, on any connection.
    pub fn record_answer(&mut self, target: &TargetId, now: Time) -> PathChange {
        self.paths.record_answer(target, now);
        self.brittle.record_heard(target, now);
        if self.partitions.lost.is_empty() {
            return PathChange::None;
        }
        let known = self.registry.get(target);
        let service = known.map(|known| known.service.clone());
        service.map_or(PathChange::None, |service| self.check_back(service, now))
    }

    fn check_back(&mut self, service: ServiceId, now: Time) -> PathChange {
        let Some(lost) = self.partitions.lost.get(&service).copied() else {
            return PathChange::None;
        };
        let targets = self.expected_targets(&service, now);
        if !self.paths.are_back(&targets, now) {
            return PathChange::None;
        }
        self.partitions.lost.remove(&service);
        self.forget_failures(&targets, lost, now);
        PathChange::Regained(service, now.since(lost.since))
    }

    fn check_lost(&mut self, service: ServiceId, now: Time) -> PathChange {
        let targets = self.expected_targets(&service, now);
        let check = self.partitions.checks.get(&service);
        let probed = check.map_or(&[][..], PathCheck::probed);
        let Some(since) = self.paths.lost_since(&targets, probed, now) else {
            return PathChange::None;
        };
        let lost = LostPaths {
            since,
            reached_by_peer_since: self.can_forward(&service, now).then_some(now),
        };
        self.partitions.lost.insert(service.clone(), lost);
        PathChange::Lost(service, now.since(since))
    }

    /// Forgets what failed connections seemed to show of the targets. If peers reached them all the while, the
    /// targets have not restarted unseen and are not cold.
    fn forget_failures(&mut self, targets: &[TargetId], lost: LostPaths, now: Time) {
        let reached_since = lost.reached_by_peer_since;
        let was_reached =
            reached_since.is_some_and(|since| now.since(since) >= MIN_TIME_REACHED_BY_PEER);
        for target in targets {
            self.health.reset(target);
            if was_reached {
                self.registry.cold.forget_unreachable(target, lost.since);
            }
        }
    }

    /// Updates since when peers have reached the targets of a service that can't be reached from here.
    pub(super) fn update_reached_by_peer(&mut self, service: &ServiceId, now: Time) {
        let can_forward = self.can_forward(service, now);
        if let Some(lost) = self.partitions.lost.get_mut(service) {
            let since = lost.reached_by_peer_since.unwrap_or(now);
            lost.reached_by_peer_since = can_forward.then_some(since);
        }
    }

    /// Whether no target of a service can be reached from here.
    #[must_use]
    pub fn is_partitioned_from(&self, service: &ServiceId) -> bool {
        self.partitions.lost.contains_key(service)
    }

    /// Hashes of the services whose targets can't be reached from here.
    pub(super) fn lost_services(&self) -> Vec<ShortHash> {
        let lost = self.partitions.lost.keys();
        lost.map(|service| ShortHash::of(service.as_str()))
            .collect()
    }

    /// Whether connections of a request that tried these targets may have failed due to the network of this
    /// instance: several did, or no target of the service was reached since `since` or just before it.
    #[must_use]
    pub fn is_path_in_doubt(
        &self,
        service: &ServiceId,
        tried: &[TargetId],
        since: Time,
        now: Time,
    ) -> bool {
        let is_failing = |target: &&TargetId| self.paths.failing_since(target).is_some();
        let targets = self.expected_targets(service, now);
        self.is_partitioned_from(service)
            || tried.iter().filter(is_failing).count() >= MAX_UNREACHED
            || !self.paths.are_reached_since(&targets, since, now)
    }

    /// Live peers that accept requests and do not report that they can't reach the service's targets.
    pub fn peers_that_reach(&self, service: &ServiceId, now: Time) -> impl Iterator<Item = &Peer> {
        let service = ShortHash::of(service.as_str());
        let live = self.peers.live(now).filter(|peer| peer.ready);
        live.filter(move |peer| !peer.lost_services.contains(&service))
    }

    /// Whether a live peer reports that it can't reach the service's targets.
    #[must_use]
    pub fn has_peer_lost(&self, service: &ServiceId, peer: &InstanceId, now: Time) -> bool {
        let service = ShortHash::of(service.as_str());
        let mut live = self.peers.live(now);
        live.any(|live| live.member.name == *peer && live.lost_services.contains(&service))
    }

    /// Whether a peer may reach the targets of a service that can't be reached from here.
    #[must_use]
    pub fn can_forward(&self, service: &ServiceId, now: Time) -> bool {
        self.peers_that_reach(service, now).next().is_some()
    }

    /// Chooses the peer to which a request is forwarded: one that serves the fewest requests for this instance,
    /// if possible in the local failure domain. `tried` are left out. `sample` is a random number.
    #[must_use]
    pub fn choose_peer(
        &self,
        service: &ServiceId,
        tried: &[InstanceId],
        sample: usize,
        now: Time,
    ) -> Option<Member> {
        let reaching = self.peers_that_reach(service, now);
        let reaching = reaching.map(|peer| &peer.member).collect::<Vec<_>>();
        let candidates = self.in_domain_or_all(reaching, &self.local.failure_domain, now);
        let candidates = candidates
            .into_iter()
            .filter(|peer| !tried.contains(&peer.name))
            .collect::<Vec<_>>();
        let load = |peer: &&Member| self.partitions.forwarded_to(&peer.name);
        let least = candidates.iter().map(load).min()?;
        let idle = candidates.iter().filter(|peer| load(peer) == least);
        let idle = idle.collect::<Vec<_>>();
        Some((**idle[sample % idle.len()]).clone())
    }

    /// Returns the instances that callers of a failure domain should use.
    ///
    /// Those that reach all targets come before those that don't; if all have lost some, all are returned.
    #[must_use]
    pub fn instances_for(&self, domain: Option<&str>, now: Time) -> Vec<&Member> {
        let local = self.ready().then_some(&self.local);
        let ready = self.peers.live(now).filter(|peer| peer.ready);
        let reaching = ready.filter(|peer| peer.lost_services.is_empty());
        let local_reaching = local.filter(|_| self.partitions.lost.is_empty());
        let reaching = local_reaching
            .into_iter()
            .chain(reaching.map(|peer| &peer.member));
        let mut serving = reaching.collect::<Vec<_>>();
        if serving.is_empty() {
            let ready = self.peers.live(now).filter(|peer| peer.ready);
            let ready = ready.map(|peer| &peer.member);
            serving = local.into_iter().chain(ready).collect();
        }
        match domain.and_then(|domain| FailureDomain::try_from(domain).ok()) {
            Some(domain) => self.in_domain_or_all(serving, &domain, now),
            None => serving,
        }
    }

    /// Returns the members in a failure domain, or all if the domain has too few of them for its instances.
    fn in_domain_or_all<'a>(
        &self,
        members: Vec<&'a Member>,
        domain: &FailureDomain,
        now: Time,
    ) -> Vec<&'a Member> {
        let live = self.peers.live(now).map(|peer| &peer.member);
        let live = live.chain([&self.local]);
        let live = live.filter(|member| member.failure_domain == *domain);
        let in_domain = members
            .iter()
            .filter(|member| member.failure_domain == *domain);
        let in_domain = in_domain.copied().collect::<Vec<_>>();
        if in_domain.is_empty() || in_domain.len() * MIN_SERVING_DIVISOR < live.count() {
            return members;
        }
        in_domain
    }

    /// Whether this instance should leave the loading of engines to peers: it can't reach the engines, and a peer
    /// may.
    #[must_use]
    pub fn leaves_loading_to_peers(&self, now: Time) -> bool {
        let services = self.routes.config().services.iter();
        let mut of_engines = services.filter(|service| service.engine.is_some());
        of_engines.any(|service| {
            self.is_partitioned_from(&service.name) && self.can_forward(&service.name, now)
        })
    }

    /// Whether an instance that reports these lost services can order loads at all engines.
    #[must_use]
    pub fn reaches_engines(&self, lost_services: &[ShortHash]) -> bool {
        let services = self.routes.config().services.iter();
        let mut of_engines = services.filter(|service| service.engine.is_some());
        of_engines.all(|service| !lost_services.contains(&ShortHash::of(service.name.as_str())))
    }
}
