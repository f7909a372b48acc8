//! One core with hand-made messages, orders and maps: for one guard at a time.

use std::collections::BTreeSet;
use std::time::Duration;

use bluebellstage_core::engines::{
    Engines, EnginesMessage, EnqueueRequest, Grant, GroupStatus, PermitDecision, PermitId,
    PermitRequest, PermitRequestNumber,
};
use bluebellstage_core::{
    Action, AdapterRef, Adoption, Cx, EngineReport, GroupId, Incarnation, InstanceId, Map, Member,
    MemberRef, MemberState, OrderOutcome, Ownership, OwnershipKey, PastMap, PeerMessage, Revision,
    SoftwareVersion, TargetId, TargetInfo, TargetOrder, TargetOrderKind, Terms, Time, Tuning,
};

use super::fleet::EngineSpec;
use super::membership::member;

/// The instance under test; the others are `b` and `c`.
pub const ME: &str = "a";

/// A core whose surroundings the test makes up.
#[derive(Debug)]
pub struct Lone {
    pub core: Engines,
    pub own: Ownership,
    pub now: Time,
    pub sent: Vec<(InstanceId, EnginesMessage)>,
    pub orders: Vec<TargetOrder>,
    pub decisions: Vec<PermitDecision>,
}

impl Lone {
    /// Home of the only group, of one engine, in a map of `a`, `b` and `c` at revision 5. The others
    /// are leaving, so that no key is theirs.
    pub fn home(spec: &EngineSpec) -> Self {
        let members = [ME, "b", "c"].map(|id| {
            let mut member = member(&instance(id), 1);
            if id != ME {
                member.state = MemberState::Leaving;
            }
            member
        });
        Self::new(members.to_vec(), spec)
    }

    /// An instance that asks `b`, the home of everything.
    pub fn entry(spec: &EngineSpec) -> Self {
        let members = [ME, "b", "c"].map(|id| {
            let mut member = member(&instance(id), 1);
            if id != "b" {
                member.state = MemberState::Leaving;
            }
            member
        });
        Self::new(members.to_vec(), spec)
    }

    fn new(members: Vec<Member>, spec: &EngineSpec) -> Self {
        let cfg = Tuning::default();
        let me = MemberRef {
            id: instance(ME),
            incarnation: Incarnation(1),
        };
        let map = Map {
            revision: Revision(5),
            terms: Terms::from(&cfg),
            members,
            history: Vec::new(),
        };
        let mut own = Ownership::new(me, map);
        own.lease_expires_at = Time::from_millis(3_600_000);
        let mut lone = Self {
            core: Engines::new(&cfg, 1),
            own,
            now: Time::from_millis(1_000),
            sent: Vec::new(),
            orders: Vec::new(),
            decisions: Vec::new(),
        };
        lone.list(&spec.many(1, 1));
        lone
    }

    pub fn list(&mut self, list: &[TargetInfo]) {
        self.step(|core, cx| core.set_targets(cx, list));
    }

    pub fn step(&mut self, act: impl FnOnce(&mut Engines, &mut Cx<'_>) -> Vec<PermitDecision>) {
        let mut out = Vec::new();
        let mut cx = Cx {
            now: self.now,
            ownership: &self.own,
            out: &mut out,
        };
        let decisions = act(&mut self.core, &mut cx);
        self.decisions.extend(decisions);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    if let PeerMessage::Engines(message) = *message {
                        self.sent.push((to, message));
                    }
                }
                Action::Order(order) => self.orders.push(order),
                _ => {}
            }
        }
    }

    pub fn hear(&mut self, from: &str, message: EnginesMessage) {
        let from = instance(from);
        self.step(|core, cx| core.message(cx, &from, message));
    }

    /// Lets time pass in ticks.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now = self.now + Duration::from_millis(50);
            self.step(Engines::tick);
        }
    }

    /// Answers all orders that are out: reports with `report`, the rest as done.
    pub fn answer(&mut self, report: &EngineReport) {
        for order in std::mem::take(&mut self.orders) {
            let outcome = match order.kind {
                TargetOrderKind::Report => OrderOutcome::Reported(report.clone()),
                _ => OrderOutcome::Done,
            };
            self.end(&order, outcome);
        }
    }

    /// Answers all reports that are out; the other orders stay out.
    pub fn answer_reports(&mut self, report: &EngineReport) {
        let is_report = |order: &TargetOrder| order.kind == TargetOrderKind::Report;
        let (reports, others) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(is_report);
        self.orders = others;
        for order in reports {
            self.end(&order, OrderOutcome::Reported(report.clone()));
        }
    }

    pub fn end(&mut self, order: &TargetOrder, outcome: OrderOutcome) {
        self.step(|core, cx| core.order_ended(cx, order.id, &order.target, outcome));
    }

    /// `from` asks for a place.
    pub fn asked(&mut self, from: &str, number: u64, ask: PermitRequest) {
        let asked = EnqueueRequest {
            number: PermitRequestNumber(number),
            incarnation: Incarnation(1),
            group: group(),
            request: ask,
            is_fallback: false,
        };
        self.hear(from, EnginesMessage::Enqueue(Box::new(asked)));
    }

    /// `from` says what it holds.
    pub fn holding(&mut self, from: &str, permits: Vec<bluebellstage_core::engines::HeldPermit>) {
        let message = EnginesMessage::HeldPermits {
            group: group(),
            revision: self.own.revision(),
            incarnation: Incarnation(1),
            permits,
        };
        self.hear(from, message);
    }

    /// A newer map without `gone`; earlier maps keep standing for `span` more.
    pub fn drop_member(&mut self, gone: &str, span: Duration) {
        self.remember_map();
        let gone = instance(gone);
        self.own.map.members.retain(|member| member.id != gone);
        self.own.past_retired_at = Some(self.now + span);
        self.step(Engines::map_changed);
    }

    /// The map's revision becomes part of its history, and the next one is in force.
    pub fn remember_map(&mut self) {
        let map = &mut self.own.map;
        let past = PastMap {
            revision: map.revision,
            members: map.members.iter().map(Member::member_ref).collect(),
            active: map.active().cloned().collect(),
        };
        map.history.push(past);
        map.revision = map.revision.next();
        self.own.adopted.insert(Adoption {
            member_ref: self.own.local.clone(),
            map: self.own.map.revision,
        });
    }

    pub fn grants(&self) -> Vec<&Grant> {
        let messages = self.sent.iter();
        messages
            .filter_map(|(_, message)| match message {
                EnginesMessage::Grant(grant) => Some(grant.as_ref()),
                _ => None,
            })
            .collect()
    }

    /// Adapters whose unload is ordered; the name that only raises the fence left out.
    pub fn unloads(&self) -> Vec<AdapterRef> {
        let orders = self.orders.iter();
        orders
            .filter_map(|order| match &order.kind {
                TargetOrderKind::Unload(adapter) if adapter.version.0 > 0 => Some(adapter.clone()),
                _ => None,
            })
            .collect()
    }

    pub fn loads(&self) -> usize {
        let is_load = |order: &&TargetOrder| matches!(order.kind, TargetOrderKind::Load(_));
        self.orders.iter().filter(is_load).count()
    }

    /// Whether `permit` was handed back, or its end reported.
    pub fn ended(&self, permit: PermitId) -> usize {
        let is_end = |message: &EnginesMessage| matches!(message, EnginesMessage::PermitEnded { permit: it, .. } if *it == permit);
        self.sent.iter().filter(|(_, it)| is_end(it)).count()
    }

    pub fn acts(&self) -> bool {
        self.own.may_act(self.now, &OwnershipKey::Group(group()))
    }
}

pub fn instance(id: &str) -> InstanceId {
    InstanceId::try_from(id).unwrap()
}

pub fn group() -> GroupId {
    GroupId::try_from("base/fd0").unwrap()
}

pub fn engine() -> TargetId {
    TargetId::try_from("e0").unwrap()
}

pub const fn permit(revision: u64, number: u64) -> PermitId {
    PermitId {
        revision: Revision(revision),
        number,
    }
}

/// A grant for ask `number` of the instance under test.
pub fn grant(number: u64, permit: PermitId) -> EnginesMessage {
    EnginesMessage::Grant(Box::new(Grant {
        number: PermitRequestNumber(number),
        incarnation: Incarnation(1),
        group: group(),
        permit,
        target: engine(),
        address: ([127, 0, 0, 1], 9_000).into(),
        software: SoftwareVersion::default(),
        status: GroupStatus::default(),
    }))
}

pub fn report(resident: &[AdapterRef], in_use: &[AdapterRef]) -> EngineReport {
    let set = |list: &[AdapterRef]| list.iter().cloned().collect::<BTreeSet<_>>();
    EngineReport {
        boot: 1,
        resident: set(resident),
        in_use: set(in_use),
        ..EngineReport::default()
    }
}
