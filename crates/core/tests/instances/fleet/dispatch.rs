//! The shell's part: carries actions out at the platform and the targets.

use bluebellstage_core::{
    Event, Finish, ListedInstance, ObjectName, OrderOutcome, PlatformCall, PlatformReply,
    PlatformResponse, RequestAction, RequestEvent, RequestId, StoredResponse, TargetId,
    TargetOrder, TargetOrderKind, Time, Tokens,
};
use rand::Rng;

use super::MILLIS;
use super::callers::Answer;
use super::drive::{Delivery, Fleet};
use super::engine::Run;
use super::node::Node;
use super::platform::Health;

const LOAD: u64 = 250 * MILLIS;
const PER_TOKEN: u64 = 5 * MILLIS;
const CALL: u64 = 20 * MILLIS;
/// After this long without an answer the shell gives a platform call up.
const PLATFORM_TIMEOUT: u64 = 1_000 * MILLIS;

impl Fleet {
    pub(super) fn platform_call(
        &mut self,
        node: usize,
        life: u64,
        call: PlatformCall,
        asked: Time,
    ) {
        let reply = if self.network.reaches_platform(&self.nodes[node].id) {
            self.carry_out(call.op)
        } else {
            PlatformReply::Unavailable
        };
        let lost = reply == PlatformReply::Unknown;
        let answer = PlatformResponse {
            id: call.id,
            purpose: call.purpose,
            sent_at: asked,
            reply,
        };
        let delivery = Delivery::Event {
            node,
            life,
            event: Event::Platform(answer),
        };
        if lost {
            self.schedule(self.now + PLATFORM_TIMEOUT, delivery);
        } else {
            self.later(delivery);
        }
    }

    pub(super) fn carry_out(&mut self, op: bluebellstage_core::PlatformOp) -> PlatformReply {
        let lose = match self.platform.health {
            Health::Refusing => return PlatformReply::Unavailable,
            Health::Silent => return PlatformReply::Unknown,
            Health::Up => false,
            Health::LosingAnswers(percent) => self.rng.random_range(0..100) < percent,
        };
        let (reply, changed) = self.platform.carry_out(self.now, op);
        if let Some(name) = changed {
            self.hint(&name);
        }
        if lose { PlatformReply::Unknown } else { reply }
    }

    pub(super) fn hint(&mut self, name: &ObjectName) {
        for node in 0..self.nodes.len() {
            if self.network.reaches_platform(&self.nodes[node].id) {
                let life = self.nodes[node].incarnation.0;
                self.later(Delivery::Event {
                    node,
                    life,
                    event: Event::ObjectChanged(name.clone()),
                });
            }
        }
    }

    pub(super) fn list_instances(&mut self) {
        let alive = self.nodes.iter().filter(|node| node.instance.is_some());
        let listed = |node: &Node| ListedInstance {
            id: node.id.clone(),
            incarnation: node.incarnation,
            leaving: false,
        };
        let list = alive.map(listed).collect();
        self.platform.set_instances(self.now, list);
    }

    pub(super) fn list_targets(&mut self) {
        let list = self
            .targets
            .values()
            .map(|target| target.info.clone())
            .collect();
        self.platform.set_targets(self.now, list);
    }

    pub(super) fn send_order(&mut self, node: usize, life: u64, order: TargetOrder) {
        if !self.is_life(node, life) {
            return;
        }
        if self.nodes[node].clock(self.now) < order.send_before {
            self.later(Delivery::Order { node, life, order });
            return;
        }
        let TargetOrder { id, target, .. } = order;
        let event = Event::OrderEnded {
            id,
            target,
            outcome: OrderOutcome::Failed,
        };
        self.later(Delivery::Event { node, life, event });
    }

    pub(super) fn order(&mut self, node: usize, life: u64, order: TargetOrder) {
        let TargetOrder {
            id,
            target,
            fencing,
            kind,
            ..
        } = order;
        let outcome = self.targets.get_mut(&target).unwrap().order(fencing, &kind);
        let takes = if matches!(kind, TargetOrderKind::Load(_)) {
            LOAD
        } else {
            MILLIS
        };
        let event = Event::OrderEnded {
            id,
            target,
            outcome,
        };
        self.schedule(self.now + takes, Delivery::Event { node, life, event });
    }

    pub(super) fn request_action(
        &mut self,
        node: usize,
        life: u64,
        id: RequestId,
        action: RequestAction,
    ) {
        match action {
            RequestAction::Generate { .. } | RequestAction::Call { .. } => {
                let delay = self
                    .rng
                    .random_range(self.dispatch_delay / 2..self.dispatch_delay);
                self.schedule(
                    self.now + delay,
                    Delivery::Dispatch {
                        node,
                        life,
                        id,
                        action,
                    },
                );
            }
            RequestAction::Replay(answer) => self.answer(id, Answer::Replayed(answer)),
            RequestAction::Refuse(refusal) => self.answer(id, Answer::Refused(refusal)),
            RequestAction::Interrupt(refusal) => {
                self.answer(id, Answer::Cut(refusal));
                let event = RequestEvent::Finished(Finish::CallerGone {
                    delivered: Tokens(0),
                });
                self.schedule(
                    self.now,
                    Delivery::Event {
                        node,
                        life,
                        event: Event::Request { id, event },
                    },
                );
            }
        }
    }

    pub(super) fn dispatch(
        &mut self,
        node: usize,
        life: u64,
        id: RequestId,
        action: &RequestAction,
    ) {
        if !self.is_life(node, life) || self.callers[&id].answer.is_some() {
            return;
        }
        let now = self.nodes[node].clock(self.now);
        let may = self.nodes[node]
            .instance
            .as_mut()
            .is_some_and(|instance| instance.may_send(now, id));
        let finish = if may {
            self.start_run(node, life, id, action)
        } else {
            Some(Finish::NotSent)
        };
        if let Some(finish) = finish {
            let event = Event::Request {
                id,
                event: RequestEvent::Finished(finish),
            };
            self.later(Delivery::Event { node, life, event });
        }
    }

    pub(super) fn start_run(
        &mut self,
        node: usize,
        life: u64,
        id: RequestId,
        action: &RequestAction,
    ) -> Option<Finish> {
        let (name, adapter, takes) = match action {
            RequestAction::Generate {
                target,
                adapter,
                max_answer,
                ..
            } => (target, Some(adapter.clone()), max_answer.0 * PER_TOKEN),
            RequestAction::Call { target, .. } => (target, None, CALL),
            _ => return None,
        };
        let target = self.targets.get_mut(name).unwrap();
        if !target.up {
            return Some(Finish::Unreachable);
        }
        if adapter
            .as_ref()
            .is_some_and(|adapter| !target.holds(adapter))
        {
            return Some(Finish::WrongAdapter);
        }
        target.start(id, adapter.clone());
        let (boot, to) = (target.boot, self.now + takes);
        self.runs.push(Run {
            request: id,
            target: name.clone(),
            adapter,
            from: self.now,
            to,
        });
        self.schedule(
            to,
            Delivery::RunEnds {
                node,
                life,
                id,
                target: name.clone(),
                boot,
            },
        );
        None
    }

    pub(super) fn run_ends(
        &mut self,
        node: usize,
        life: u64,
        id: RequestId,
        target: &TargetId,
        boot: u64,
    ) {
        let target = self.targets.get_mut(target).unwrap();
        if target.boot != boot || target.running.remove(&id).is_none() {
            return;
        }
        self.end_run(id);
        if !self.is_life(node, life) {
            return;
        }
        let answer = self.callers[&id].tokens();
        let body = Some(format!("run of {id}").into());
        let stored = StoredResponse {
            status: 200,
            content_type: "text/plain".into(),
            body,
        };
        let finish = Finish::Complete {
            answer,
            stored: Some(stored),
        };
        let event = Event::Request {
            id,
            event: RequestEvent::Finished(finish),
        };
        self.later(Delivery::Event { node, life, event });
        self.answer(id, Answer::Complete);
    }

    pub(super) fn end_run(&mut self, id: RequestId) {
        if let Some(run) = self.runs.iter_mut().rev().find(|run| run.request == id) {
            run.to = self.now;
        }
    }

    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        let now = self.now;
        let caller = self.callers.get_mut(&id).unwrap();
        if caller.answer.is_none() {
            caller.answer = Some(answer);
            caller.answered = now;
        }
    }

    pub(super) fn lose_connections(&mut self, node: usize) {
        let open = self
            .callers
            .iter()
            .filter(|(_id, caller)| caller.node == node && caller.answer.is_none());
        let open: Vec<_> = open.map(|(id, _caller)| *id).collect();
        for id in open {
            self.answer(id, Answer::ConnectionLost);
        }
    }
}
