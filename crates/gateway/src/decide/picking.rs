//! Picks the target of a request by all that an instance knows.

use std::time::Duration;

use bluebellstage_core::{ServiceId, TargetId, Time};

use super::call::Call;
use super::config::Config;
use super::loader::Places;
use super::placement::{Candidate, Known, Pick, pick_engine, pick_plain};
use super::quarantine::Fingerprint;
use super::rendezvous::ShortHash;
use super::tables::{Tables, Ticket, shard_of};

/// Part of a target's connections that all instances together use: peers may not have heard yet
/// of one that has just joined.
const USED_CONNECTIONS: f64 = 0.85;
/// How long an adapter that was asked for at one engine isn't asked for at another one: a load from
/// the weight store comes within half of it, even if twice as many as at full speed are under way.
pub(super) const ASKED_LASTS: Duration = Duration::from_secs(1);
/// Part of the loads that the weight store carries at once from which as many that wait count as a
/// crowd: those that wait for places are among them.
const CROWDED_PART: u32 = 2;

impl Tables {
    /// Picks the target for a request, those in `tried` left out. `draw` is random, from 0 to 1. The request is
    /// charged to the target's limit, if it names one.
    ///
    /// What a limited target takes goes to requests that nothing else can run now.
    #[must_use]
    pub fn pick(
        &mut self,
        ticket: &Ticket,
        call: &Call,
        tried: &[TargetId],
        draw: f64,
        now: Time,
    ) -> Pick {
        if self.limits.is_empty() {
            return self.pick_any(ticket, call, tried, draw, now);
        }
        let limited = self.limits.iter().map(|(target, _)| target);
        let of_service = |target: &&TargetId| {
            let known = self.registry.get(target);
            known.is_some_and(|known| known.service == ticket.service)
        };
        let limited = limited.filter(of_service).cloned().collect::<Vec<_>>();
        if limited.is_empty() {
            return self.pick_any(ticket, call, tried, draw, now);
        }
        let rested = |target: &&TargetId| !self.limits.may_be_lifted(target, now);
        let mut left_out = tried.to_vec();
        left_out.extend(limited.iter().filter(rested).cloned());
        let first = self.pick_within_limits(ticket, call, &mut left_out, draw, now);
        if matches!(first, Pick::Send { .. }) {
            return first;
        }
        let mut left_out = tried.to_vec();
        let second = self.pick_within_limits(ticket, call, &mut left_out, draw, now);
        match (first, second) {
            (_, second @ Pick::Send { .. }) => second,
            (Pick::Nowhere, Pick::Nowhere) => Pick::Full,
            (first, _) => first,
        }
    }

    /// Picks a target whose limit has room, and charges it; those that have none are added to `left_out`.
    fn pick_within_limits(
        &mut self,
        ticket: &Ticket,
        call: &Call,
        left_out: &mut Vec<TargetId>,
        draw: f64,
        now: Time,
    ) -> Pick {
        loop {
            let pick = self.pick_any(ticket, call, left_out, draw, now);
            match &pick {
                Pick::Send { target, .. } if !self.charge_limit(target, now) => {
                    left_out.push(target.clone());
                }
                _ => return pick,
            }
        }
    }

    fn pick_any(
        &mut self,
        ticket: &Ticket,
        call: &Call,
        tried: &[TargetId],
        draw: f64,
        now: Time,
    ) -> Pick {
        let config = self.routes.config();
        let limit = config.service(&ticket.service).map_or(1, |service| {
            self.connection_limit(service.max_connections, now)
        });
        let candidates = self
            .registry
            .all()
            .filter(|target| target.service == ticket.service)
            .filter(|target| !tried.contains(&target.id))
            .map(|target| {
                let own = self.own_in_flight(&target.id);
                let others = self.peers.load(ShortHash::of(target.id.as_str()));
                let prompts = self.queues.own(&target.id) + u64::from(others.prompts);
                Candidate {
                    target,
                    in_flight: own + others.requests,
                    wait: self.queues.reading(&target.id, prompts),
                    reading: self.queues.reading(&target.id, call.prompt_tokens.0),
                    longest_wait: self.queues.longest_wait(&target.id, now),
                    connectable: own < limit,
                    // An adapter that is loaded where little is taken serves few.
                    loadable: self.loader_reachable(&target.id, now)
                        && self.limits.get(&target.id).is_none(),
                    places: self.places(&target.id, now),
                }
            })
            .collect::<Vec<_>>();
        let known = Known {
            health: &self.health,
            residency: &self.residency,
            versions: &self.versions,
            failure_domain: &self.me.failure_domain,
            target_latency: ticket.route().target_latency,
            rank: ticket.rank,
            asked: self.asked_at(call, now),
            draw,
            now,
        };
        let pick = match &call.wanted {
            Some(wanted) if is_engine(config, &ticket.service) => {
                pick_engine(&candidates, wanted, call.prompt_prefix, &known)
            }
            _ => pick_plain(&candidates, &known),
        };
        if let (Pick::Load(target), Some(key)) = (&pick, Self::adapter_of(call)) {
            let asked = self.asked.entry(key.clone());
            let asked = asked.or_insert_with(|| (target.clone(), now));
            if asked.0 != *target {
                *asked = (target.clone(), now);
            }
        }
        pick
    }

    /// Picks as [`Tables::pick`] does. A suspect goes apart from the others if it can.
    #[must_use]
    pub fn pick_apart(
        &mut self,
        request: Fingerprint,
        ticket: &Ticket,
        call: &Call,
        tried: &[TargetId],
        draw: f64,
        now: Time,
    ) -> Pick {
        if self.quarantine.crash_count(request) > 0 {
            let targets = self.registry.all().map(|target| &target.id);
            let others = targets.filter(|id| {
                self.suspects_at.contains_key(*id)
                    || !self.quarantine.is_in_suspect_partition(request, id)
            });
            let left_out = tried.iter().chain(others).cloned().collect::<Vec<_>>();
            let pick = self.pick(ticket, call, &left_out, draw, now);
            if matches!(pick, Pick::Send { .. } | Pick::Load(_)) {
                return pick;
            }
        }
        self.pick(ticket, call, tried, draw, now)
    }

    /// The engine where the call's adapter was asked for lately.
    fn asked_at(&self, call: &Call, now: Time) -> Option<&TargetId> {
        let (target, at) = self.asked.get(Self::adapter_of(call)?)?;
        (now.since(*at) < ASKED_LASTS).then_some(target)
    }

    /// Connections to one target that this instance may have, of `most` for all.
    #[must_use]
    pub fn connection_limit(&self, most: u32, now: Time) -> u32 {
        let sharing = u32::try_from(self.peers.sharing(now)).unwrap_or(u32::MAX);
        let share = f64::from(most) * USED_CONNECTIONS / f64::from(sharing);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a u32 fits one"
        )]
        let share = share as u32;
        share.max(1)
    }

    /// Whether so many adapters wait for a load that the weight store is busy for a while.
    #[must_use]
    pub fn loads_crowded(&self, ticket: &Ticket, now: Time) -> bool {
        let service = self.routes.config().service(&ticket.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let at_once = engine.map_or(0, |engine| engine.adapter_loads_at_once);
        let others = self.peers.live(now);
        let others = others.map(|peer| u32::from(peer.waiting_loads));
        u32::from(self.loads.waiting) + others.sum::<u32>() > at_once / CROWDED_PART
    }

    /// Places for adapters on an engine, as its holder last told.
    fn places(&self, target: &TargetId, now: Time) -> Places {
        let hash = ShortHash::of(target.as_str());
        let own = self.loads.places.get(&hash);
        let told = || {
            let holder = self.peers.holder(shard_of(target), now)?;
            holder.places.get(&hash)
        };
        own.or_else(told).copied().unwrap_or_default()
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
