//! The instance: events in, actions out.

use std::collections::VecDeque;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::catalogue::{Catalogue, CatalogueState};
use crate::engines::Engines;
use crate::journal::{InDoubt, Journal};
use crate::membership::Membership;
use crate::platform::PlatformAnswer;
use crate::rates::{Limits, Rates};
use crate::services::Services;
use crate::{
    Action, CallId, Cx, Event, InstanceId, Member, MemberState, ObjectName, OrderId, OrderOutcome,
    Ownership, PeerMessage, PlatformCall, PlatformOp, PlatformPurpose, PlatformReply, RequestId,
    Revision, TargetId, Time, Tuning, WorkspaceId,
};

use super::decision::Decision;
use super::flight::Flight;
use super::retry_budget::RetryBudget;
use super::stop::Stopping;

/// A whole instance without clocks, sockets and tasks.
#[derive(Debug)]
pub struct Instance {
    pub(super) cfg: Tuning,
    pub(super) membership: Membership,
    pub(super) catalogue: Catalogue,
    pub(super) rates: Rates,
    pub(super) engines: Engines,
    pub(super) services: Services,
    pub(super) journal: Journal,
    pub(super) flights: BTreeMap<RequestId, Flight>,
    pub(super) budget: RetryBudget,
    pub(super) stopping: Option<Stopping>,
    pub(super) decisions: VecDeque<Decision>,
    pub(super) out: Vec<Action>,
    map: Revision,
    catalogue_revision: Revision,
    limited: BTreeSet<WorkspaceId>,
    next_target_list: Time,
    target_lists: u64,
}

/// Which instances a caller may use.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EntryAnswer {
    /// Where to connect, best first.
    pub addresses: Vec<SocketAddr>,
    /// For how long to keep this answer.
    pub max_age: Duration,
}

/// What a step of a core is given, from an instance's own fields.
macro_rules! cx {
    ($self:ident, $now:expr) => {
        &mut Cx {
            now: $now,
            own: $self.membership.ownership(),
            out: &mut $self.out,
        }
    };
}
pub(super) use cx;

impl Instance {
    /// A fresh life of an instance; `seed` drives nothing but baselines that are random.
    #[must_use]
    pub fn new(cfg: Tuning, me: Member, seed: u64, now: Time) -> Self {
        Self {
            membership: Membership::new(&cfg, me, now),
            catalogue: Catalogue::default(),
            rates: Rates::new(&cfg),
            engines: Engines::new(&cfg, seed),
            services: Services::new(&cfg),
            journal: Journal::new(&cfg),
            flights: BTreeMap::new(),
            budget: RetryBudget::new(now),
            stopping: None,
            decisions: VecDeque::new(),
            out: Vec::new(),
            map: Revision::default(),
            catalogue_revision: Revision::default(),
            limited: BTreeSet::new(),
            next_target_list: now,
            target_lists: 0,
            cfg,
        }
    }

    /// Takes one event and says what to do.
    #[must_use]
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.take(now, event);
        self.follow_map(now);
        self.follow_catalogue(now);
        while let Some(decision) = self.decisions.pop_front() {
            self.carry_out(now, decision);
        }
        std::mem::take(&mut self.out)
    }

    /// Which instances callers may use.
    #[must_use]
    pub fn entry(&self, now: Time) -> EntryAnswer {
        let own = self.own();
        let active = || {
            own.map
                .members
                .iter()
                .filter(|member| member.state == MemberState::Active)
        };
        let heard = active().filter(|member| !own.unresponsive.contains(&member.id));
        let mut addresses: Vec<_> = heard.map(|member| member.caller_address).collect();
        if addresses.is_empty() {
            addresses = active().map(|member| member.caller_address).collect();
        }
        if !addresses.is_empty() {
            // Callers that ask at different moments start with different instances.
            let turn = usize::try_from(now.0).unwrap_or(usize::MAX) % addresses.len();
            addresses.rotate_left(turn);
        }
        EntryAnswer {
            addresses,
            max_age: self.cfg.entry_max_age,
        }
    }

    /// The catalogue in force here.
    #[must_use]
    pub const fn catalogue(&self) -> &CatalogueState {
        self.catalogue.state()
    }

    /// Calls in doubt that this instance knows of as a home.
    #[must_use]
    pub fn in_doubt(&self) -> Vec<InDoubt> {
        self.journal.in_doubt()
    }

    /// Whether callers can be served here.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        let active = self
            .own()
            .map
            .member(&self.own().local.id)
            .is_some_and(|me| me.state == MemberState::Active);
        active && self.own().has_lease(now) && self.catalogue.is_fresh(now)
    }

    /// Whether no caller's request is under way.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.flights.is_empty()
    }

    /// Who may act, as this instance knows it.
    #[must_use]
    pub const fn own(&self) -> &Ownership {
        self.membership.ownership()
    }

    fn take(&mut self, now: Time, event: Event) {
        match event {
            Event::Tick => self.tick(now),
            Event::Message { from, message } => self.message(now, &from, *message),
            Event::Platform(answer) => self.platform(now, answer),
            Event::PlatformChanged(name) => self.platform_changed(now, &name),
            Event::OrderEnded {
                id,
                target,
                outcome,
            } => self.order_ended(now, id, &target, outcome),
            Event::Request { id, event } => self.request(now, id, event),
            Event::Change(request) => self.catalogue.submit(cx!(self, now), request),
            Event::Stop => self.stop(now),
        }
    }

    pub(super) fn decide<D: Into<Decision>>(&mut self, decisions: Vec<D>) {
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
        self.decide(decisions);
        let decisions = self.engines.tick(cx!(self, now));
        self.decide(decisions);
        let decisions = self.services.tick(cx!(self, now));
        self.decide(decisions);
        let decisions = self.journal.tick(cx!(self, now));
        self.decide(decisions);
        self.list_targets(now);
        self.stop_on(now);
    }

    fn list_targets(&mut self, now: Time) {
        if now < self.next_target_list {
            return;
        }
        self.next_target_list = now + self.cfg.list_interval;
        self.target_lists += 1;
        self.out.push(Action::Platform(PlatformCall {
            id: CallId(self.target_lists),
            purpose: PlatformPurpose::TargetList,
            op: PlatformOp::ListTargets,
        }));
    }

    fn message(&mut self, now: Time, from: &InstanceId, message: PeerMessage) {
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
                self.decide(decisions);
            }
            PeerMessage::Engines(message) => {
                let decisions = self.engines.message(cx!(self, now), from, message);
                self.decide(decisions);
            }
            PeerMessage::Journal(message) => {
                let decisions = self.journal.message(cx!(self, now), from, message);
                self.decide(decisions);
            }
        }
    }

    fn platform(&mut self, now: Time, answer: PlatformAnswer) {
        match &answer.purpose {
            PlatformPurpose::MapRead
            | PlatformPurpose::MapWrite
            | PlatformPurpose::InstanceList => {
                self.membership.platform(now, answer, &mut self.out);
            }
            PlatformPurpose::CatalogueHead
            | PlatformPurpose::CatalogueRead
            | PlatformPurpose::CatalogueWrite => {
                self.catalogue.platform(cx!(self, now), answer);
            }
            PlatformPurpose::Journal(_) => {
                let decisions = self.journal.platform(cx!(self, now), answer);
                self.decide(decisions);
            }
            PlatformPurpose::TargetList => self.targets(now, answer.reply),
        }
    }

    fn targets(&mut self, now: Time, reply: PlatformReply) {
        // Without an answer the last list stays in force: an outage of the platform takes no
        // target away.
        let PlatformReply::Targets(targets) = reply else {
            return;
        };
        let decisions = self.engines.set_targets(cx!(self, now), &targets);
        self.decide(decisions);
        let decisions = self.services.set_targets(cx!(self, now), &targets);
        self.decide(decisions);
    }

    fn platform_changed(&mut self, now: Time, name: &ObjectName) {
        match name.as_str() {
            "map" => self.membership.map_hint(now, &mut self.out),
            "catalogue-head" => self.catalogue.head_changed(cx!(self, now)),
            _ => {}
        }
    }

    fn order_ended(&mut self, now: Time, id: OrderId, target: &TargetId, outcome: OrderOutcome) {
        let decisions = self
            .engines
            .order_ended(cx!(self, now), id, target, outcome);
        self.decide(decisions);
    }

    fn follow_map(&mut self, now: Time) {
        if self.own().revision() == self.map {
            return;
        }
        self.map = self.own().revision();
        self.catalogue.map_changed(cx!(self, now));
        self.rates.map_changed(cx!(self, now));
        let decisions = self.engines.map_changed(cx!(self, now));
        self.decide(decisions);
        let decisions = self.journal.map_changed(cx!(self, now));
        self.decide(decisions);
    }

    fn follow_catalogue(&mut self, now: Time) {
        if self.catalogue().revision == self.catalogue_revision {
            return;
        }
        self.catalogue_revision = self.catalogue().revision;
        let mut gone = std::mem::take(&mut self.limited);
        for entry in self.catalogue.state().workspaces() {
            let limits = Limits {
                rate: entry.rate,
                burst: entry.burst,
            };
            self.rates
                .set_limits(cx!(self, now), &entry.id, Some(limits));
            gone.remove(&entry.id);
            self.limited.insert(entry.id.clone());
        }
        for workspace in gone {
            self.rates.set_limits(cx!(self, now), &workspace, None);
        }
        self.end_withdrawn(now);
    }
}
