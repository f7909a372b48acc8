//! What the fake engines do in the world: orders, requests, iterations.

use bluebellstage_core::engines::PermitEnd;
use bluebellstage_core::{AdapterRef, OrderOutcome, TargetId, TargetOrder, TargetOrderKind};
use rand::Rng;

use super::engine::Run;
use super::world::{Event, LAG_US, World};

/// How long a shell waits for an order's answer.
const ORDER_TIMEOUT_US: u64 = 2_000_000;

impl World {
    pub(super) fn engine_order(&mut self, node: usize, life: u64, order: TargetOrder) {
        let Some(engine) = self.engines.get_mut(&order.target) else {
            return;
        };
        if order.kind == TargetOrderKind::Report {
            let lag = match self.faults.report_lag_us {
                0 => 0,
                most => self.rng.random_range(0..most.min(LAG_US)),
            };
            let outcome = OrderOutcome::Reported(engine.report(self.now.saturating_sub(lag)));
            self.answer_order(node, life, &order, outcome);
            return;
        }
        if !engine.admits(order.fencing) {
            self.answer_order(node, life, &order, OrderOutcome::Fenced);
            return;
        }
        match &order.kind {
            TargetOrderKind::Load(adapter) => {
                let adapter = adapter.clone();
                self.begin_load(node, life, order, &adapter);
            }
            TargetOrderKind::Unload(adapter) => {
                let used = engine.underway.values().any(|it| it.adapter == *adapter);
                let outcome = engine.unload(adapter);
                engine.record(self.now, LAG_US);
                if outcome == OrderOutcome::Done {
                    self.record.unloads += 1;
                }
                if outcome == OrderOutcome::Done && used {
                    let text = format!("{adapter} unloaded in use at {}", order.target);
                    self.record.violation(self.now, &text);
                }
                self.answer_order(node, life, &order, outcome);
            }
            TargetOrderKind::Report => {}
        }
    }

    pub(super) fn begin_load(
        &mut self,
        node: usize,
        life: u64,
        order: TargetOrder,
        adapter: &AdapterRef,
    ) {
        let Some(engine) = self.engines.get_mut(&order.target) else {
            return;
        };
        let boot = engine.boot;
        if let Some(outcome) = engine.begin_load(adapter) {
            self.answer_order(node, life, &order, outcome);
            return;
        }
        self.record.loads_in_flight += 1;
        let in_flight = self.record.loads_in_flight;
        self.record.peak_in_flight = self.record.peak_in_flight.max(in_flight);
        let (from, to) = self.faults.load_us;
        let mut took = self.rng.random_range(from..=to);
        let limit = u64::from(self.cfg.store_in_flight);
        if in_flight > limit {
            took = took * in_flight / limit;
        }
        self.after(
            took,
            Event::LoadDone {
                node,
                life,
                order,
                boot,
            },
        );
    }

    pub(super) fn load_done(&mut self, node: usize, life: u64, order: &TargetOrder, boot: u64) {
        self.record.loads_in_flight -= 1;
        let fails = self.chance(self.faults.load_fail_percent);
        let TargetOrderKind::Load(adapter) = &order.kind else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&order.target) else {
            return;
        };
        if engine.boot != boot {
            self.answer_order(node, life, order, OrderOutcome::Failed);
            return;
        }
        let outcome = engine.end_load(adapter, fails);
        engine.record(self.now, LAG_US);
        if outcome == OrderOutcome::Done {
            engine.loaded_at.insert(adapter.clone(), self.now);
        }
        self.answer_order(node, life, order, outcome);
    }

    pub(super) fn answer_order(
        &mut self,
        node: usize,
        life: u64,
        order: &TargetOrder,
        outcome: OrderOutcome,
    ) {
        let lost = self.chance(self.faults.lose_percent);
        let (id, target) = (order.id, order.target.clone());
        let (delay, outcome) = if lost {
            (ORDER_TIMEOUT_US, OrderOutcome::Unknown)
        } else {
            (self.delay(), outcome)
        };
        self.after_for(
            life,
            delay,
            Event::OrderEnded {
                node,
                id,
                target,
                outcome,
            },
        );
    }

    pub(super) fn engine_request(&mut self, target: &TargetId, run: Run, attempt: u64) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let (node, life, request) = (run.node, run.life, run.request);
        let taken = !engine.leaving && engine.take(run);
        if !taken {
            let end = if engine.leaving {
                PermitEnd::EngineLeaving
            } else {
                PermitEnd::WrongAdapter
            };
            engine.underway.remove(&(request, attempt));
            let delay = self.delay();
            self.after_for(life, delay, Event::RequestEnded { node, request, end });
            return;
        }
        engine.record(self.now, LAG_US);
        if !engine.iterating {
            self.next_iteration(target);
        }
    }

    pub(super) fn next_iteration(&mut self, target: &TargetId) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let next = engine.iteration_us();
        engine.iterating = next.is_some();
        if let Some(took) = next {
            let boot = engine.boot;
            let target = target.clone();
            self.after(took, Event::Iteration { target, boot, took });
        }
    }

    pub(super) fn iteration(&mut self, target: &TargetId, boot: u64, took: u64) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        if engine.boot != boot {
            return;
        }
        let result = engine.end_iteration(took);
        if self.record.undecided > 0 {
            self.record.batch_while_waiting += result.batch;
            self.record.places_while_waiting += u64::try_from(engine.max_batch).unwrap();
        }
        if !result.done.is_empty() {
            engine
                .underway
                .retain(|(request, _), _| !result.done.iter().any(|run| run.request == *request));
            engine.record(now, LAG_US);
        }
        for run in result.first_tokens {
            if let Some(record) = self.record.requests.get_mut(&run.request) {
                record.first_token = Some(now);
            }
        }
        for run in result.done {
            if let Some(record) = self.record.requests.get_mut(&run.request) {
                record.done = Some(now);
            }
            let delay = self.delay();
            let (node, request, end) = (run.node, run.request, PermitEnd::Used);
            self.after_for(run.life, delay, Event::RequestEnded { node, request, end });
        }
        self.next_iteration(target);
    }
}
