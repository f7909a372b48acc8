//! What the nodes' shells do: messages, orders and requests go out, ends come back.

use bluebellstage_core::engines::{Permit, PermitDecision, PermitEnd};
use bluebellstage_core::{
    Action, InstanceId, OrderOutcome, OwnershipKey, PeerMessage, RequestId, TargetId, TargetOrder,
    TargetOrderKind,
};
use rand::Rng;

use super::engine::Run;
use super::node::Node;
use super::world::{Event, World};

impl World {
    pub(super) fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(node, &to, *message),
            Action::Order(order) => {
                let delay = self.rng.random_range(0..200);
                self.after(delay, Event::ShellOrder { node, order });
            }
            _ => {}
        }
    }

    pub(super) fn send(&mut self, from: usize, to: &InstanceId, message: PeerMessage) {
        let PeerMessage::Engines(message) = message else {
            return;
        };
        self.record.messages += 1;
        if self.count_bytes {
            let bytes = serde_json::to_vec(&message).unwrap().len();
            self.record.bytes += u64::try_from(bytes).unwrap();
        }
        let Some(node) = self.nodes.iter().position(|it| it.id == *to) else {
            return;
        };
        assert!(node != from, "a message to itself: {message:?}");
        let cut = |it: &Node| it.cut_until > self.now;
        if cut(&self.nodes[from]) || cut(&self.nodes[node]) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.faults.double_percent));
        let from = self.nodes[from].id.clone();
        for _ in 0..copies {
            if self.chance(self.faults.lose_percent) {
                continue;
            }
            let delay = self.delay();
            let message = message.clone();
            let from = from.clone();
            // A message reaches whatever life listens at the address when it arrives.
            let life = self.nodes[node].life;
            self.after_for(
                life,
                delay,
                Event::Deliver {
                    node,
                    from,
                    message,
                },
            );
        }
    }

    pub(super) fn decided(&mut self, node: usize, decision: PermitDecision) {
        let now = self.now;
        let Some(record) = self.record.requests.get_mut(&decision.request) else {
            return;
        };
        record.decided = Some(now);
        self.record.undecided = self.record.undecided.saturating_sub(1);
        match decision.outcome {
            Ok(permit) => {
                record.target = Some(permit.target.clone());
                let loaded = self
                    .engines
                    .get(&permit.target)
                    .and_then(|engine| engine.loaded_at.get(&permit.adapter).copied());
                if let Some(at) = loaded.filter(|at| *at > record.arrived) {
                    record.stalled = Some(at - record.arrived);
                }
                let delay = self.rng.random_range(0..300);
                let request = decision.request;
                self.after(
                    delay,
                    Event::ShellSend {
                        node,
                        request,
                        permit,
                    },
                );
            }
            Err(refusal) => record.refused = Some(refusal.kind),
        }
    }

    /// The shell checks right before sending that it may still act.
    pub(super) fn send_order(&mut self, node: usize, order: TargetOrder) {
        let it = &self.nodes[node];
        let group = self
            .engines
            .get(&order.target)
            .and_then(|engine| engine.info.group(it.own.map.terms.grouping));
        let acts = group.is_some_and(|group| {
            it.own
                .may_act(it.clock(self.now), &OwnershipKey::Group(group))
        });
        let (id, target, life) = (order.id, order.target.clone(), it.life);
        if !acts {
            let outcome = OrderOutcome::Failed;
            self.after(
                0,
                Event::OrderEnded {
                    node,
                    id,
                    target,
                    outcome,
                },
            );
            return;
        }
        match order.kind {
            TargetOrderKind::Load(_) => self.record.loads.push(self.now),
            TargetOrderKind::Report => self.record.reports += 1,
            TargetOrderKind::Unload(_) => {}
        }
        let delay = self.engine_delay();
        self.after(delay, Event::EngineOrder { node, life, order });
    }

    /// The shell checks right before sending that the permit still holds.
    pub(super) fn send_request(&mut self, node: usize, request: RequestId, permit: Permit) {
        let it = &self.nodes[node];
        if it.clock(self.now) >= permit.send_before {
            self.request_ended(node, request, PermitEnd::NotUsed);
            return;
        }
        let life = it.life;
        let Some(record) = self.record.requests.get_mut(&request) else {
            return;
        };
        record.attempts += 1;
        let attempt = u64::from(record.attempts);
        if permit.adapter != record.ask.adapter {
            let text = format!("{request} was given {}", permit.adapter);
            self.record.violation(self.now, &text);
            return;
        }
        let run = Run {
            request,
            node,
            life,
            adapter: permit.adapter,
            prefill: record.ask.prompt.0,
            answer: record.answer,
            delivered: 0,
        };
        let Some(engine) = self.engines.get_mut(&permit.target) else {
            return;
        };
        engine.underway.insert((request, attempt), run.clone());
        self.check_batch(&permit.target);
        let delay = self.engine_delay();
        let target = permit.target;
        self.after(
            delay,
            Event::EngineRequest {
                target,
                run,
                attempt,
            },
        );
    }

    /// The shell tells the core; a request that did not run asks again.
    pub(super) fn request_ended(&mut self, node: usize, request: RequestId, end: PermitEnd) {
        self.step(node, |core, cx| core.permit_ended(cx, request, end));
        if end == PermitEnd::Used {
            return;
        }
        let Some(record) = self.record.requests.get_mut(&request) else {
            return;
        };
        record.decided = None;
        self.record.undecided += 1;
        record.asked = self.now;
        let ask = record.ask.clone();
        self.step(node, |core, cx| core.request_permit(cx, ask));
    }

    /// Requests of instances in the map never exceed an engine's batch; what lives that left the map
    /// still run there is bounded by what they had sent.
    fn check_batch(&mut self, target: &TargetId) {
        let engine = &self.engines[target];
        let counted = engine.underway.values().filter(|run| {
            let id = &self.nodes[run.node].id;
            self.platform.has(id, run.life)
        });
        let count = counted.count();
        if count > engine.max_batch {
            let text = format!("{target} has {count} requests");
            self.record.violation(self.now, &text);
        }
    }
}
