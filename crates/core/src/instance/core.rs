//! The [`Instance`] state machine: consumes events and returns actions.

use std::collections::VecDeque;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::catalogue::{Catalogue, CatalogueState};
use crate::engines::Engines;
use crate::journal::{InDoubt, Journal};
use crate::membership::Membership;
use crate::platform::PlatformResponse;
use crate::rates::{Limits, Rates};
use crate::services::Services;
use crate::{
    Action, CallId, Cx, Event, InstanceId, Member, MemberState, ObjectName, OrderId, OrderOutcome,
    Ownership, PeerMessage, PlatformCall, PlatformOp, PlatformPurpose, PlatformReply, RequestId,
    Revision, TargetId, Time, Tuning, WorkspaceId,
};

use super::active_request::ActiveRequest;
use super::decision::Decision;
use super::retry_budget::RetryBudget;
use super::stop::Stopping;

/// The state machine of one instance, free of clocks, sockets and tasks.
#[derive(Debug)]
pub struct Instance {
    pub(super) cfg: Tuning,
    pub(super) membership: Membership,
    pub(super) catalogue: Catalogue,
    pub(super) rates: Rates,
    pub(super) engines: Engines,
    pub(super) services: Services,
    pub(super) journal: Journal,
    pub(super) active_requests: BTreeMap<RequestId, ActiveRequest>,
    pub(super) retry_budget: RetryBudget,
    pub(super) stopping: Option<Stopping>,
    pub(super) decisions: VecDeque<Decision>,
    pub(super) out: Vec<Action>,
    map_revision: Revision,
    catalogue_revision: Revision,
    limited_workspaces: BTreeSet<WorkspaceId>,
    next_target_list_at: Time,
    target_list_calls: u64,
}

/// The response of `/v1/entry`: the instances that a caller may use.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EntryResponse {
    /// Addresses to connect to, in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may cache this response.
    pub max_age: Duration,
}

/// Builds the [`Cx`] of a core's step from the fields of an [`Instance`].
macro_rules! cx {
    ($self:ident, $now:expr) => {
        &mut Cx {
            now: $now,
            ownership: $self.membership.ownership(),
            out: &mut $self.out,
        }
    };
}
pub(super) use cx;

impl Instance {
    /// Creates a new incarnation of an instance.
    ///
    /// `seed` is used only by baseline policies that choose at random.
    #[must_use]
    pub fn new(cfg: Tuning, local: Member, seed: u64, now: Time) -> Self {
        Self {
            membership: Membership::new(&cfg, local, now),
            catalogue: Catalogue::default(),
            rates: Rates::new(&cfg),
            engines: Engines::new(&cfg, seed),
            services: Services::new(&cfg),
            journal: Journal::new(&cfg),
            active_requests: BTreeMap::new(),
            retry_budget: RetryBudget::new(now),
            stopping: None,
            decisions: VecDeque::new(),
            out: Vec::new(),
            map_revision: Revision::default(),
            catalogue_revision: Revision::default(),
            limited_workspaces: BTreeSet::new(),
            next_target_list_at: now,
            target_list_calls: 0,
            cfg,
        }
    }

    /// Handles one event and returns the actions that the shell must perform.
    #[must_use]
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.handle_event(now, event);
        self.apply_map_change(now);
        self.apply_catalogue_change(now);
        while let Some(decision) = self.decisions.pop_front() {
            self.apply_decision(now, decision);
        }
        std::mem::take(&mut self.out)
    }

    /// Returns the instances that callers may use.
    ///
    /// Unresponsive instances are left out, unless no active instance is responsive.
    #[must_use]
    pub fn entry(&self, now: Time) -> EntryResponse {
        let ownership = self.ownership();
        let active = || {
            ownership
                .map
                .members
                .iter()
                .filter(|member| member.state == MemberState::Active)
        };
        let responsive = active().filter(|member| !ownership.unresponsive.contains(&member.id));
        let mut addresses: Vec<_> = responsive.map(|member| member.caller_address).collect();
        if addresses.is_empty() {
            addresses = active().map(|member| member.caller_address).collect();
        }
        if !addresses.is_empty() {
            // Spreads callers: the first address depends on the time of the request.
            let offset = usize::try_from(now.0).unwrap_or(usize::MAX) % addresses.len();
            addresses.rotate_left(offset);
        }
        EntryResponse {
            addresses,
            max_age: self.cfg.entry_max_age,
        }
    }

    /// Returns the catalogue in force at this instance.
    #[must_use]
    pub const fn catalogue(&self) -> &CatalogueState {
        self.catalogue.state()
    }

    /// Returns the calls with unknown outcome in the workspaces that this instance owns.
    #[must_use]
    pub fn in_doubt(&self) -> Vec<InDoubt> {
        self.journal.in_doubt()
    }

    /// Returns whether this instance can serve callers.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        let active = self
            .ownership()
            .map
            .member(&self.ownership().local.id)
            .is_some_and(|local| local.state == MemberState::Active);
        active && self.ownership().has_lease(now) && self.catalogue.is_fresh(now)
    }

    /// Returns whether no caller's request is in progress.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.active_requests.is_empty()
    }

    /// Returns this instance's view of the ownership map and of its own lease.
    #[must_use]
    pub const fn ownership(&self) -> &Ownership {
        self.membership.ownership()
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Tick => self.tick(now),
            Event::Message { from, message } => self.handle_message(now, &from, *message),
            Event::Platform(response) => self.handle_platform_response(now, response),
            Event::ObjectChanged(name) => self.handle_object_change(now, &name),
            Event::OrderEnded {
                id,
                target,
                outcome,
            } => self.handle_order_outcome(now, id, &target, outcome),
            Event::Request { id, event } => self.handle_request_event(now, id, event),
            Event::Change(request) => self.catalogue.submit(cx!(self, now), request),
            Event::Stop => self.begin_stop(now),
        }
    }

    pub(super) fn queue_decisions<D: Into<Decision>>(&mut self, decisions: Vec<D>) {
        self.decisions.extend(decisions.into_iter().map(Into::into));
    }

    fn tick(&mut self, now: Time) {
        self.membership
            .tick(now, self.catalogue.reported_revision(), &mut self.out);
        if self.catalogue.is_loaded() {
            self.membership.set_ready(now);
        }
        let quorum = self.membership.majority_catalogue();
        self.catalogue.tick(cx!(self, now), quorum);
        let decisions = self.rates.tick(cx!(self, now));
        self.queue_decisions(decisions);
        let decisions = self.engines.tick(cx!(self, now));
        self.queue_decisions(decisions);
        let decisions = self.services.tick(cx!(self, now));
        self.queue_decisions(decisions);
        let decisions = self.journal.tick(cx!(self, now));
        self.queue_decisions(decisions);
        self.poll_target_list(now);
        self.advance_stop(now);
    }

    fn poll_target_list(&mut self, now: Time) {
        if now < self.next_target_list_at {
            return;
        }
        self.next_target_list_at = now + self.cfg.list_interval;
        self.target_list_calls += 1;
        self.out.push(Action::Platform(PlatformCall {
            id: CallId(self.target_list_calls),
            purpose: PlatformPurpose::TargetList,
            op: PlatformOp::ListTargets,
        }));
    }

    fn handle_message(&mut self, now: Time, from: &InstanceId, message: PeerMessage) {
        match message {
            PeerMessage::Membership(message) => {
                let catalogue = self.catalogue.reported_revision();
                self.membership
                    .message(now, from, message, catalogue, &mut self.out);
            }
            PeerMessage::Catalogue(message) => {
                self.catalogue.message(cx!(self, now), from, message);
            }
            PeerMessage::Rates(message) => {
                let decisions = self.rates.message(cx!(self, now), from, message);
                self.queue_decisions(decisions);
            }
            PeerMessage::Engines(message) => {
                let decisions = self.engines.message(cx!(self, now), from, message);
                self.queue_decisions(decisions);
            }
            PeerMessage::Journal(message) => {
                let decisions = self.journal.message(cx!(self, now), from, message);
                self.queue_decisions(decisions);
            }
        }
    }

    fn handle_platform_response(&mut self, now: Time, response: PlatformResponse) {
        match &response.purpose {
            PlatformPurpose::MapRead
            | PlatformPurpose::MapWrite
            | PlatformPurpose::InstanceList => {
                self.membership.platform(now, response, &mut self.out);
            }
            PlatformPurpose::CatalogueHead
            | PlatformPurpose::CatalogueRead
            | PlatformPurpose::CatalogueWrite => {
                self.catalogue.platform(cx!(self, now), response);
            }
            PlatformPurpose::Journal(_) => {
                let decisions = self.journal.platform(cx!(self, now), response);
                self.queue_decisions(decisions);
            }
            PlatformPurpose::TargetList => self.set_targets(now, response.reply),
        }
    }

    fn set_targets(&mut self, now: Time, reply: PlatformReply) {
        // If the list could not be read, the last one stays in force, so that a platform outage
        // removes no targets.
        let PlatformReply::Targets(targets) = reply else {
            return;
        };
        let decisions = self.engines.set_targets(cx!(self, now), &targets);
        self.queue_decisions(decisions);
        let decisions = self.services.set_targets(cx!(self, now), &targets);
        self.queue_decisions(decisions);
    }

    fn handle_object_change(&mut self, now: Time, name: &ObjectName) {
        match name.as_str() {
            "map" => self.membership.map_hint(now, &mut self.out),
            "catalogue-head" => self.catalogue.head_changed(cx!(self, now)),
            _ => {}
        }
    }

    fn handle_order_outcome(
        &mut self,
        now: Time,
        id: OrderId,
        target: &TargetId,
        outcome: OrderOutcome,
    ) {
        let decisions = self
            .engines
            .order_ended(cx!(self, now), id, target, outcome);
        self.queue_decisions(decisions);
    }

    fn apply_map_change(&mut self, now: Time) {
        if self.ownership().revision() == self.map_revision {
            return;
        }
        self.map_revision = self.ownership().revision();
        self.catalogue.map_changed(cx!(self, now));
        self.rates.map_changed(cx!(self, now));
        let decisions = self.engines.map_changed(cx!(self, now));
        self.queue_decisions(decisions);
        let decisions = self.journal.map_changed(cx!(self, now));
        self.queue_decisions(decisions);
    }

    fn apply_catalogue_change(&mut self, now: Time) {
        if self.catalogue().revision == self.catalogue_revision {
            return;
        }
        self.catalogue_revision = self.catalogue().revision;
        let mut removed = std::mem::take(&mut self.limited_workspaces);
        for entry in self.catalogue.state().workspaces() {
            let limits = Limits {
                rate: entry.rate,
                burst: entry.burst,
            };
            self.rates
                .set_limits(cx!(self, now), &entry.id, Some(limits));
            removed.remove(&entry.id);
            self.limited_workspaces.insert(entry.id.clone());
        }
        for workspace in removed {
            self.rates.set_limits(cx!(self, now), &workspace, None);
        }
        self.withdraw_unentitled_requests(now);
    }
}
