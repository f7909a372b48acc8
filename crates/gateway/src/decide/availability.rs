//! Decides which targets may receive requests: not those that leave or whose failure domains are evacuated, those
//! that ask for rest, nor cold ones.

use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use super::cold::{ColdSign, ColdStart};
use super::drain_state::DrainState;
use super::evacuations::EvacuationChange;
use super::owner::Owner;
use super::tables::{Tables, Ticket};
use super::target::Target;

/// Whether a target may receive requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It may.
    Open,
    /// Only requests that no open target can run now: it is being drained.
    Draining,
    /// It is cold for this long.
    Cold(Duration),
    /// It has asked for rest and gets nothing for this long.
    Resting(Duration),
    /// It may not: it is drained.
    Closed,
}

impl Tables {
    /// Returns whether a target may receive requests.
    #[must_use]
    pub fn availability(&self, target: &Target, now: Time) -> Availability {
        let cold_left = self.cold_time_left(target, now);
        let rest_left = self.rests.time_left(target, now);
        match self.drain_state(target, now) {
            DrainState::Open if !rest_left.is_zero() => Availability::Resting(rest_left),
            DrainState::Draining if !rest_left.is_zero() => Availability::Closed,
            DrainState::Draining if cold_left.is_zero() => Availability::Draining,
            DrainState::Draining | DrainState::Closed => Availability::Closed,
            DrainState::Open if cold_left.is_zero() => Availability::Open,
            DrainState::Open => Availability::Cold(cold_left),
        }
    }

    /// Returns whether any target that may run a request gets requests, now or after its cold time or its rest.
    #[must_use]
    pub fn has_serving_target(&self, ticket: &Ticket, now: Time) -> bool {
        let mut allowed = self.registry.all().filter(|target| ticket.allows(target));
        allowed.any(|target| self.availability(target, now) != Availability::Closed)
    }

    /// Returns how far a target is drained, for whatever reason.
    #[must_use]
    pub fn drain_state(&self, target: &Target, now: Time) -> DrainState {
        if target.leaving {
            return DrainState::Closed;
        }
        let own = self.departures.drain_state(target, now);
        let domain = self.evacuations.state(&target.failure_domain, now);
        own.max(domain)
    }

    /// Returns whether a target leaves, by its registration or its responses.
    #[must_use]
    pub fn is_leaving(&self, target: &Target, now: Time) -> bool {
        target.leaving || self.departures.age(target, now).is_some()
    }

    /// Ends the reports of targets that have restarted or are gone, and returns those targets.
    pub fn sweep_departures(&mut self, now: Time) -> Vec<TargetId> {
        let registry = &self.registry;
        let born = |target: &TargetId| registry.get(target).map(|known| known.born);
        self.departures.sweep(born, now)
    }

    /// Returns how much longer a target is taken as cold; zero if it is warm.
    #[must_use]
    pub fn cold_time_left(&self, target: &Target, now: Time) -> Duration {
        let start = self.cold_start(target);
        start.map_or(Duration::ZERO, |start| {
            self.registry.cold.time_left(&target.id, start, now)
        })
    }

    fn cold_start(&self, target: &Target) -> Option<ColdStart> {
        self.routes.config().service(&target.service)?.cold_start
    }

    /// Records that no connection to a target could be opened.
    pub fn record_unreachable(&mut self, target: &TargetId, now: Time) {
        let sign = ColdSign::Unreachable;
        self.registry.cold.record(target, sign, now);
    }

    /// Records changes of the evacuated domains. Targets of a domain that is taken back are taken as cold.
    pub fn record_evacuations(&mut self, changes: &[EvacuationChange], now: Time) {
        for change in changes {
            if let EvacuationChange::Lifted(domain) = change {
                self.registry.record_domain_unused(domain, now);
            }
        }
    }

    /// Returns whether this instance admits the requests to a cold target: its owner does. One that has just started
    /// admits none, as another may admit them.
    pub(super) fn owns_cold_target(&self, target: &TargetId, now: Time) -> bool {
        let known = self.registry.get(target);
        let may_own = !self.is_new(now) && self.fleet_part(now).is_majority();
        known.is_some_and(|known| may_own && self.owner_of(known, now) == Owner::Local)
    }

    /// Admits a request to a cold target if this instance owns it and the target's rate allows it.
    pub(super) fn admit_to_cold_target(&mut self, target: &TargetId, now: Time) -> bool {
        let start = self
            .registry
            .get(target)
            .and_then(|known| self.cold_start(known));
        start.is_some_and(|start| self.registry.cold.admit(target, start, now))
    }
}
