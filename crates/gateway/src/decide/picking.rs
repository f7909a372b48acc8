//! Picks the target of a request from everything that an instance knows.

use std::time::Duration;

use bluebellstage_core::{ServiceId, TargetId, Time};

use super::adapters::loader::AdapterSlots;
use super::availability::Availability;
use super::call::Call;
use super::config::Config;
use super::owner::Owner;
use super::pace::{PaceTarget, are_uneven};
use super::placement::{Candidate, Pick, PickContext, pick_engine, pick_plain};
use super::quarantine::Fingerprint;
use super::rendezvous::ShortHash;
use super::tables::{Tables, Ticket, shard_of};
use super::target::Target;

/// Fraction of a target's connections that all instances together use: peers may not yet know of an
/// instance that has just joined.
const USABLE_CONNECTION_FRACTION: f64 = 0.85;
/// Part of a brittle target's connections that its owner uses. Idle ones of the others last for some seconds.
const OWNER_CONNECTION_DIVISOR: u32 = 2;
/// How long load requests for an adapter keep going to the same engine: a load from the weight
/// store takes at most half of this, even if twice as many loads are in progress as at full speed.
pub(super) const LOAD_TARGET_TTL: Duration = Duration::from_secs(1);
/// The weight store counts as congested when the number of adapters waiting for a load exceeds its
/// full-speed capacity divided by this number. Adapters that wait for slots are included.
const CONGESTION_DIVISOR: u32 = 2;

/// Targets of a service by whether they may receive requests.
#[derive(Debug, Default)]
struct TargetsByAvailability<'a> {
    open: Vec<&'a Target>,
    draining: Vec<&'a Target>,
    cold: Vec<(&'a Target, Duration)>,
    /// Time until the first resting target may get a request.
    rest_left: Option<Duration>,
}

impl<'a> TargetsByAvailability<'a> {
    fn add(&mut self, target: &'a Target, availability: Availability) {
        match availability {
            Availability::Open => self.open.push(target),
            Availability::Draining => self.draining.push(target),
            Availability::Cold(left) => self.cold.push((target, left)),
            Availability::Resting(left) => self.add_resting(left),
            Availability::Closed => {}
        }
    }

    fn add_resting(&mut self, left: Duration) {
        let least = self.rest_left.map_or(left, |least| least.min(left));
        self.rest_left = Some(least);
    }

    /// Returns the time until the first cold target is warm.
    fn cold_left(&self) -> Duration {
        let left = self.cold.iter().map(|(_, left)| *left);
        left.min().unwrap_or_default()
    }

    fn are_all_cold(&self) -> bool {
        self.open.is_empty() && self.draining.is_empty() && !self.cold.is_empty()
    }
}

impl Tables {
    /// Picks like [`Tables::pick`], whoever owns the targets. The request is charged to the target's limit, if it has one.
    ///
    /// Targets with a limit are used only for requests that no other target can run now.
    pub(super) fn pick_of_any_owner(
        &mut self,
        ticket: &Ticket,
        call: &Call,
        tried: &[TargetId],
        sample: f64,
        now: Time,
    ) -> Pick {
        if self.limits.is_empty() {
            return self.pick_ignoring_limits(ticket, call, tried, sample, now);
        }
        let limited = self.limits.iter().map(|(target, _)| target);
        let is_allowed = |target: &&TargetId| {
            let known = self.registry.get(target);
            known.is_some_and(|known| ticket.allows(known))
        };
        let limited = limited.filter(is_allowed).cloned().collect::<Vec<_>>();
        if limited.is_empty() {
            return self.pick_ignoring_limits(ticket, call, tried, sample, now);
        }
        let limit_is_current = |target: &&TargetId| !self.limits.may_be_lifted(target, now);
        let mut excluded = tried.to_vec();
        excluded.extend(limited.iter().filter(limit_is_current).cloned());
        let first = self.pick_within_limits(ticket, call, &mut excluded, sample, now);
        if matches!(first, Pick::Send { .. }) {
            return first;
        }
        let mut excluded = tried.to_vec();
        let second = self.pick_within_limits(ticket, call, &mut excluded, sample, now);
        match (first, second) {
            (_, second @ Pick::Send { .. }) => second,
            (Pick::NoTarget, Pick::NoTarget) => Pick::Full,
            (first, _) => first,
        }
    }

    /// Picks a target whose limit has free capacity and charges it; targets without free capacity
    /// are added to `excluded`.
    fn pick_within_limits(
        &mut self,
        ticket: &Ticket,
        call: &Call,
        excluded: &mut Vec<TargetId>,
        sample: f64,
        now: Time,
    ) -> Pick {
        loop {
            let pick = self.pick_ignoring_limits(ticket, call, excluded, sample, now);
            match &pick {
                Pick::Send { target, .. } if !self.charge_limit(target, now) => {
                    excluded.push(target.clone());
                }
                _ => return pick,
            }
        }
    }

    fn pick_ignoring_limits(
        &mut self,
        ticket: &Ticket,
        call: &Call,
        tried: &[TargetId],
        sample: f64,
        now: Time,
    ) -> Pick {
        let pick = self.pick_available(ticket, call, tried, sample, now);
        if let (Pick::Load(target), Some(key)) = (&pick, Self::adapter_of(call)) {
            let entry = self.recent_engines.entry(key.clone());
            let entry = entry.or_insert_with(|| (target.clone(), now));
            if entry.0 != *target {
                *entry = (target.clone(), now);
            }
        }
        pick
    }

    /// Picks among the targets that may receive requests. Those whose failure domain is being evacuated get
    /// only what no other target can run now, and cold ones get requests only if all others are cold as well.
    fn pick_available(
        &mut self,
        ticket: &Ticket,
        call: &Call,
        tried: &[TargetId],
        sample: f64,
        now: Time,
    ) -> Pick {
        let mut targets = TargetsByAvailability::default();
        let allowed = self.registry.all();
        let allowed = allowed.filter(|target| ticket.allows(target));
        for target in allowed {
            match self.availability(target, now) {
                Availability::Resting(left) => targets.add_resting(left),
                _ if tried.contains(&target.id) => {}
                availability => targets.add(target, availability),
            }
        }
        if targets.are_all_cold() {
            let left = targets.cold_left();
            let pick = self.pick_cold(&targets, ticket, call, sample, now);
            return self.admit_to_cold(pick, left, now);
        }
        let pick = self.pick_among(&targets.open, ticket, call, sample, now);
        let pick = match (pick, targets.rest_left) {
            (Pick::NoTarget, Some(left)) => Pick::Resting { left },
            (pick, _) => pick,
        };
        if targets.draining.is_empty() || matches!(pick, Pick::Send { .. }) {
            return pick;
        }
        let fallback = self.pick_among(&targets.draining, ticket, call, sample, now);
        let Pick::Send {
            target,
            version,
            trial,
            ..
        } = fallback
        else {
            return pick;
        };
        let load_at = match pick {
            Pick::Load(target) => vec![target],
            Pick::Late { load_at, .. } => load_at,
            _ => Vec::new(),
        };
        Pick::Send {
            target,
            version,
            trial,
            load_at,
        }
    }

    /// Picks among the cold targets to which this instance admits requests.
    fn pick_cold(
        &self,
        targets: &TargetsByAvailability<'_>,
        ticket: &Ticket,
        call: &Call,
        sample: f64,
        now: Time,
    ) -> Pick {
        let cold = targets.cold.iter().map(|(target, _)| *target);
        let owned = cold.filter(|target| self.owns_cold_target(&target.id, now));
        self.pick_among(&owned.collect::<Vec<_>>(), ticket, call, sample, now)
    }

    /// Keeps the pick of a cold target if the target's rate allows a request.
    fn admit_to_cold(&mut self, pick: Pick, left: Duration, now: Time) -> Pick {
        let is_admitted = match &pick {
            Pick::Send { target, .. } => self.admit_to_cold_target(target, now),
            Pick::Full | Pick::NoTarget => false,
            _ => true,
        };
        if is_admitted {
            pick
        } else {
            Pick::Cold { left }
        }
    }

    fn pick_among(
        &self,
        targets: &[&Target],
        ticket: &Ticket,
        call: &Call,
        sample: f64,
        now: Time,
    ) -> Pick {
        let config = self.routes.config();
        let max_connections = config
            .service(&ticket.service)
            .map_or(1, |service| service.max_connections);
        let limit = self.connection_limit(max_connections, now);
        let owner_limit = (max_connections / OWNER_CONNECTION_DIVISOR).max(limit);
        let class = ticket.rank_class();
        let terms = self.start_terms(ticket, now);
        let candidates = targets.iter().map(|target| {
            let local = self.local_in_flight(&target.id);
            let others = self.peers.load(ShortHash::of(target.id.as_str()));
            let mut prompts = self.queues.local_tokens(&target.id);
            prompts.add(others.prompts);
            let speed = self.pace.speed(PaceTarget::from(*target), now);
            let limit = match self.brittle_owner(target, now) {
                Some(Owner::Local) => owner_limit,
                _ => limit,
            };
            let adapter_slots = self.adapter_slots(&target.id, now);
            Candidate {
                target,
                in_flight: local + others.requests,
                speed,
                queue_wait: speed.reading_time(prompts.ahead_of(class)),
                prompt_backlog: speed.reading_time(prompts.total()),
                prompt_time: speed.reading_time(call.prompt_tokens.0),
                recent_max_wait: self.queues.recent_max_wait(&target.id, now),
                can_connect: local < limit
                    && self.bears_request(target, local + others.requests, now),
                // An adapter loaded on a target with a low limit would serve few requests.
                can_load: self.loader_reachable(&target.id, now)
                    && !adapter_slots.is_silent
                    && self.limits.get(&target.id).is_none(),
                adapter_slots,
            }
        });
        let candidates = candidates.collect::<Vec<_>>();
        let cx = PickContext {
            health: &self.health,
            residency: &self.residency,
            versions: &self.versions,
            failure_domain: &self.local.failure_domain,
            target_latency: ticket.route().target_latency,
            terms,
            target_gap: self.target_gap(ticket, &candidates),
            load_requested_at: self.load_requested_target(call, now),
            sample,
            now,
        };
        match &call.wanted {
            Some(wanted) if is_engine(config, &ticket.service) => {
                pick_engine(&candidates, wanted, call.prompt_prefix, &cx)
            }
            _ => pick_plain(&candidates, &cx),
        }
    }

    /// Returns the target gap that the choice of an engine heeds: none where all engines are about equally fast, as
    /// all streams have the same gaps there wherever they run.
    fn target_gap(&self, ticket: &Ticket, candidates: &[Candidate<'_>]) -> Option<Duration> {
        let target_gap = self.routes.target_gap(&ticket.service)?;
        let speeds = candidates.iter().map(|candidate| candidate.speed);
        are_uneven(speeds).then_some(target_gap)
    }

    /// Picks like [`Tables::pick`], but keeps a suspect request apart from the others if possible.
    #[must_use]
    pub fn pick_apart(
        &mut self,
        request: Fingerprint,
        ticket: &Ticket,
        call: &Call,
        tried: &[TargetId],
        sample: f64,
        now: Time,
    ) -> Pick {
        if self.quarantine.crash_count(request) > 0 {
            let targets = self.registry.all().map(|target| &target.id);
            let others = targets.filter(|id| {
                self.suspects_at.contains_key(*id)
                    || !self.quarantine.is_in_suspect_partition(request, id)
            });
            let excluded = tried.iter().chain(others).cloned().collect::<Vec<_>>();
            let pick = self.pick(ticket, call, &excluded, sample, now);
            if matches!(pick, Pick::Send { .. } | Pick::Load(_)) {
                return pick;
            }
        }
        self.pick(ticket, call, tried, sample, now)
    }

    /// Returns the engine on which the call's adapter was recently requested.
    fn load_requested_target(&self, call: &Call, now: Time) -> Option<&TargetId> {
        let (target, at) = self.recent_engines.get(Self::adapter_of(call)?)?;
        (now.since(*at) < LOAD_TARGET_TTL).then_some(target)
    }

    /// Returns the number of connections to one target that this instance may open, if all
    /// instances together may open `max_connections`.
    #[must_use]
    pub fn connection_limit(&self, max_connections: u32, now: Time) -> u32 {
        let instances = u32::try_from(self.sharing_count(now)).unwrap_or(u32::MAX);
        let share = f64::from(max_connections) * USABLE_CONNECTION_FRACTION / f64::from(instances);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a u32 fits one"
        )]
        let share = share as u32;
        share.max(1)
    }

    /// Returns whether a load that has not begun would come too late for the request. A stream that has begun waits for
    /// it all the same: what it has sent would be lost.
    #[must_use]
    pub fn is_load_in_vain(&self, ticket: &Ticket, now: Time) -> bool {
        !ticket.has_begun() && self.is_loading_congested(ticket, now)
    }

    /// Returns whether so many adapters wait for a load that the weight store will be busy for a
    /// while.
    #[must_use]
    pub fn is_loading_congested(&self, ticket: &Ticket, now: Time) -> bool {
        let service = self.routes.config().service(&ticket.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let at_once = engine.map_or(0, |engine| engine.adapter_loads_at_once);
        let others = self.peers.live(now);
        let others = others.map(|peer| u32::from(peer.waiting_loads));
        u32::from(self.loads.waiting) + others.sum::<u32>() > at_once / CONGESTION_DIVISOR
    }

    /// Returns the adapter slots of an engine as its lease holder last reported them.
    fn adapter_slots(&self, target: &TargetId, now: Time) -> AdapterSlots {
        let hash = ShortHash::of(target.as_str());
        let local = self.loads.adapter_slots.get(&hash);
        let from_holder = || {
            let holder = self.peers.holder(shard_of(target), now)?;
            holder.adapter_slots.get(&hash)
        };
        local.or_else(from_holder).copied().unwrap_or_default()
    }

    fn loader_reachable(&self, target: &TargetId, now: Time) -> bool {
        let shard = shard_of(target);
        self.shards.contains(&shard) || self.peers.holder(shard, now).is_some()
    }
}

fn is_engine(config: &Config, service: &ServiceId) -> bool {
    let service = config.service(service);
    service.is_some_and(|service| service.engine.is_some())
}
