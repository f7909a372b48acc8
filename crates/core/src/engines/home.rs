//! The home of a group: its queue, permits, and what its engines hold.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{
    AdapterRef, GroupId, InstanceId, MemberRef, OrderId, OwnershipKey, Placement, Refusal,
    RefusalKind, Revision, TargetId, Time, Tuning,
};

use super::engine::{Engine, Presence};
use super::io::Io;
use super::loading::Loading;
use super::message::{HeldPermit, QueueAsk};
use super::news::News;
use super::popularity::Popularity;
use super::queue::{AskRef, Queue, Waiting};
use super::targets::ListedGroup;
use super::tenure::{Tenure, lives, past_is_retired, was_home_throughout};
use super::timing::{ANSWER_WAIT, ASK_EXPIRY, FLIGHT, REPORT_LAG, STRAY_PATIENCE};
use super::{AskNumber, EnginesMessage, PermitEnd, PermitRef};

/// Asks that a group's home keeps at most.
const QUEUE_LIMIT: usize = 4_096;

/// A permit that is out.
#[derive(Clone, Debug)]
pub(super) struct Outstanding {
    pub(super) holder: MemberRef,
    /// The ask it answers; none for a permit of a former home.
    pub(super) number: Option<AskNumber>,
    pub(super) target: TargetId,
    pub(super) adapter: AdapterRef,
    pub(super) granted: Time,
    /// The holder has it.
    pub(super) taken: bool,
    pub(super) resend_at: Time,
}

/// An order that is on its way to an engine.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    pub(super) target: TargetId,
    pub(super) sent: Time,
    pub(super) purpose: OrderPurpose,
}

/// What an order is for.
#[derive(Clone, Debug)]
pub(super) enum OrderPurpose {
    /// Learn what the engine holds.
    Report,
    /// Make the engine refuse a former home's orders.
    Fence,
    /// Fill a slot, under a load permit.
    Load {
        adapter: AdapterRef,
        permit: PermitRef,
    },
    /// Empty a slot.
    Unload { adapter: AdapterRef },
}

/// Schedules the engines of one group while this instance is their home.
#[derive(Debug)]
pub(super) struct GroupHome {
    pub(super) id: GroupId,
    pub(super) key: OwnershipKey,
    pub(super) engines: BTreeMap<TargetId, Engine>,
    pub(super) queue: Queue,
    pub(super) permits: BTreeMap<PermitRef, Outstanding>,
    pub(super) orders: BTreeMap<OrderId, PendingOrder>,
    pub(super) loading: Loading,
    pub(super) popularity: Popularity,
    pub(super) tenure: Option<Tenure>,
    pub(super) next_permit: u64,
    revision: Revision,
    orphans_from: Option<Time>,
    pub(super) news: News,
    pub(super) random: u64,
    pub(super) active_at: Time,
}

impl GroupHome {
    pub(super) fn new(id: GroupId, cfg: &Tuning, revision: Revision, seed: u64) -> Self {
        Self {
            key: OwnershipKey::Group(id.clone()),
            id,
            engines: BTreeMap::new(),
            queue: Queue::new(cfg.queue),
            permits: BTreeMap::new(),
            orders: BTreeMap::new(),
            loading: Loading::default(),
            popularity: Popularity::default(),
            tenure: None,
            next_permit: 0,
            revision,
            orphans_from: None,
            news: News::default(),
            random: seed,
            active_at: Time(0),
        }
    }

    pub(super) fn set_engines(&mut self, listed: Option<&ListedGroup>, now: Time) {
        for engine in self.engines.values_mut() {
            engine.presence = Presence::Unlisted;
        }
        for (id, info) in listed.into_iter().flat_map(|group| &group.engines) {
            self.engines
                .entry(id.clone())
                .or_insert_with(|| Engine::new(id.clone(), info, now))
                .update(info);
        }
        self.engines
            .retain(|_, engine| engine.presence != Presence::Unlisted || engine.permits() > 0);
    }

    /// Whether this home's knowledge survives the change to the map in force.
    pub(super) fn survives(&self, io: &Io<'_, '_>) -> bool {
        was_home_throughout(io.cx.own, &self.key, self.revision)
    }

    pub(super) fn map_changed(&mut self, io: &Io<'_, '_>) {
        self.revision = io.cx.own.revision();
        self.orphans_from = None;
    }

    pub(super) fn asked(&mut self, io: &mut Io<'_, '_>, from: &InstanceId, asked: QueueAsk) {
        let now = io.now();
        let holder = MemberRef {
            id: from.clone(),
            incarnation: asked.incarnation,
        };
        if !lives(io.cx.own).contains(&holder) {
            return;
        }
        let number = asked.number;
        if !io.cx.own.may_act(now, &self.key) {
            self.turn_away(io, from, number, RefusalKind::NoStanding);
            return;
        }
        self.active_at = now;
        self.listen(io, from);
        let ask_ref = AskRef { holder, number };
        if self.resend_grant(io, &ask_ref) {
            return;
        }
        if !self.queue.refresh(&ask_ref, now) && !self.enqueue(io, ask_ref, asked) {
            return;
        }
        let message = EnginesMessage::Queued {
            number,
            group: self.id.clone(),
            status: self.status(),
        };
        io.send(from, message);
    }

    fn enqueue(&mut self, io: &mut Io<'_, '_>, from: AskRef, asked: QueueAsk) -> bool {
        let now = io.now();
        if !self.engines.values().any(Engine::is_open) {
            self.turn_away(io, &from.holder.id, from.number, RefusalKind::NoTarget);
            return false;
        }
        if self.queue.len() >= QUEUE_LIMIT {
            self.turn_away(io, &from.holder.id, from.number, RefusalKind::Overloaded);
            return false;
        }
        self.popularity.asked(&asked.ask.adapter, now);
        let bound = self.bind(io.cfg.placement, &asked.ask.adapter);
        let patience = if asked.stray {
            STRAY_PATIENCE
        } else {
            Duration::ZERO
        };
        let evicts_from = now + patience;
        self.queue.push(Waiting {
            from,
            ask: asked.ask,
            since: now,
            refreshed: now,
            bound,
            evicts_from,
        });
        true
    }

    pub(super) fn turn_away(
        &self,
        io: &mut Io<'_, '_>,
        to: &InstanceId,
        number: AskNumber,
        kind: RefusalKind,
    ) {
        let message = EnginesMessage::TurnedAway {
            number,
            group: self.id.clone(),
            refusal: Refusal::retry_after(kind, ANSWER_WAIT),
        };
        io.send(to, message);
    }

    pub(super) fn cancelled(&mut self, holder: MemberRef, number: AskNumber) {
        self.queue.remove(&AskRef { holder, number });
    }

    pub(super) fn taken(&mut self, permit: PermitRef) {
        if let Some(out) = self.permits.get_mut(&permit) {
            out.taken = true;
        }
    }

    /// A permit ended; noted only once this home could know of it, else its holder repeats it.
    pub(super) fn ended(
        &mut self,
        io: &mut Io<'_, '_>,
        from: &InstanceId,
        permit: PermitRef,
        end: PermitEnd,
    ) {
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        tenure.heard_end(permit);
        let message = EnginesMessage::EndNoted {
            group: self.id.clone(),
            permit,
        };
        io.send(from, message);
        self.active_at = io.now();
        if let Some(out) = self.permits.remove(&permit) {
            self.apply_end(io, &out, end);
        }
    }

    fn apply_end(&mut self, io: &mut Io<'_, '_>, out: &Outstanding, end: PermitEnd) {
        let now = io.now();
        let Some(engine) = self.engines.get_mut(&out.target) else {
            return;
        };
        let settled = end != PermitEnd::EngineFailed;
        engine.permit_back(&out.adapter, now, settled);
        match end {
            PermitEnd::Used | PermitEnd::NotUsed => {}
            PermitEnd::WrongAdapter => engine.doubt_slot(&out.adapter, out.granted, now),
            PermitEnd::EngineFailed => engine.suspect(now),
            PermitEnd::EngineLeaving => engine.presence = Presence::Leaving,
        }
    }

    pub(super) fn holding(
        &mut self,
        io: &Io<'_, '_>,
        life: &MemberRef,
        revision: Revision,
        held: Vec<HeldPermit>,
    ) {
        let now = io.now();
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        if tenure.revision != revision || !tenure.heard_from(life) {
            return;
        }
        for permit in held {
            if tenure.ended.contains(&permit.permit) || self.permits.contains_key(&permit.permit) {
                continue;
            }
            if let Some(engine) = self.engines.get_mut(&permit.target) {
                engine.permit_out(&permit.adapter, now);
                engine.inherited.insert(permit.adapter.clone());
            }
            let out = Outstanding {
                holder: life.clone(),
                number: None,
                target: permit.target,
                adapter: permit.adapter,
                granted: now,
                taken: true,
                resend_at: now,
            };
            self.permits.insert(permit.permit, out);
        }
    }

    /// Does all that is due.
    pub(super) fn act(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        if !io.cx.own.may_act(now, &self.key) {
            return;
        }
        self.settle(io);
        self.queue.expire(now - ASK_EXPIRY, &lives(io.cx.own));
        self.queue.age(now - io.cfg.queue_patience / 4);
        self.turn_all_away_if_closed(io);
        self.rebind(io.cfg.placement);
        self.grant(io);
        self.resend_grants(io);
        self.load(io);
        self.ask_reports(io);
        self.tell_status(io);
    }

    /// Takes the group over, as far as that is not done yet.
    fn settle(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        let own = io.cx.own;
        let tenure = self.tenure.get_or_insert_with(|| Tenure::new(own, now));
        tenure.observe(own, now);
        if self.orphans_from.is_none() && past_is_retired(own, now) {
            self.orphans_from = Some(now + FLIGHT + REPORT_LAG);
        }
        if tenure.pending.is_empty() || now < tenure.ask_at {
            return;
        }
        tenure.ask_at = now + ANSWER_WAIT;
        let message = EnginesMessage::WhichPermits {
            group: self.id.clone(),
            revision: tenure.revision,
        };
        for life in &tenure.pending {
            io.send(&life.id, message.clone());
        }
    }

    /// Ends permits whose holders left the map, once a report shows that nothing of them runs.
    pub(super) fn end_orphans(&mut self, io: &Io<'_, '_>, target: &TargetId, asked: Time) {
        if self.orphans_from.is_none_or(|from| asked < from) {
            return;
        }
        let lives = lives(io.cx.own);
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let now = io.now();
        self.permits.retain(|_, out| {
            let orphan = out.target == *target && !lives.contains(&out.holder);
            if !orphan || engine.reported_use.contains(&out.adapter) {
                return true;
            }
            engine.permit_back(&out.adapter, now, true);
            false
        });
    }

    fn turn_all_away_if_closed(&mut self, io: &mut Io<'_, '_>) {
        if self.queue.is_empty() || self.engines.values().any(Engine::is_open) {
            return;
        }
        for waiting in self.queue.drain() {
            let from = waiting.from;
            self.turn_away(io, &from.holder.id, from.number, RefusalKind::NoTarget);
        }
    }

    fn rebind(&mut self, placement: Placement) {
        if placement == Placement::Affinity {
            return;
        }
        let closed: BTreeSet<AskRef> = self
            .queue
            .iter()
            .filter(|(_, waiting)| {
                let engine = waiting.bound.as_ref().and_then(|id| self.engines.get(id));
                !engine.is_some_and(Engine::is_open)
            })
            .map(|(_, waiting)| waiting.from.clone())
            .collect();
        for from in closed {
            if let Some(mut waiting) = self.queue.remove(&from) {
                waiting.bound = self.bind(placement, &waiting.ask.adapter);
                self.queue.push(waiting);
            }
        }
    }
}
