//! A fake engine in virtual time: slots, continuous batching, orders, late reports.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bluebellstage_core::{
    AdapterRef, EngineReport, Fencing, OrderOutcome, RequestId, TargetId, TargetInfo, TargetKind,
};

/// Microseconds that one iteration takes: a base, more for each sequence and prefilled token.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    pub base: u64,
    pub per_sequence: u64,
    pub per_prefill_token: u64,
}

/// A request inside an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: RequestId,
    pub node: usize,
    pub life: u64,
    pub adapter: AdapterRef,
    pub prefill: u64,
    pub answer: u64,
    pub delivered: u64,
}

/// What one iteration brought.
#[derive(Debug, Default)]
pub struct Iteration {
    pub first_tokens: Vec<Run>,
    pub done: Vec<Run>,
    pub batch: u64,
}

#[derive(Debug)]
pub struct Engine {
    pub info: TargetInfo,
    pub slots: usize,
    pub max_batch: usize,
    pub checks_fencing: bool,
    pub speed: Speed,
    pub resident: BTreeSet<AdapterRef>,
    pub loading: BTreeSet<AdapterRef>,
    pub running: Vec<Run>,
    pub waiting: VecDeque<Run>,
    pub boot: u64,
    pub leaving: bool,
    pub iterating: bool,
    pub busy_us: u64,
    pub tokens: u64,
    /// Requests sent towards it that have not ended in it, by request.
    pub underway: BTreeMap<(RequestId, u64), Run>,
    /// When each adapter was loaded last.
    pub loaded_at: BTreeMap<AdapterRef, u64>,
    fencing: Fencing,
    history: VecDeque<(u64, EngineReport)>,
}

impl Engine {
    pub fn new(info: TargetInfo, speed: Speed) -> Self {
        let TargetKind::Engine {
            slots,
            max_batch,
            checks_fencing,
            ..
        } = info.kind
        else {
            panic!("a service is no engine");
        };
        Self {
            info,
            slots: usize::try_from(slots).unwrap(),
            max_batch: usize::try_from(max_batch).unwrap(),
            checks_fencing,
            speed,
            resident: BTreeSet::new(),
            loading: BTreeSet::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            boot: 1,
            leaving: false,
            iterating: false,
            busy_us: 0,
            tokens: 0,
            underway: BTreeMap::new(),
            loaded_at: BTreeMap::new(),
            fencing: Fencing(0),
            history: VecDeque::new(),
        }
    }

    pub fn id(&self) -> &TargetId {
        &self.info.id
    }

    /// True if the order may pass; notes its fencing number.
    pub fn admits(&mut self, fencing: Fencing) -> bool {
        if self.checks_fencing && fencing < self.fencing {
            return false;
        }
        self.fencing = self.fencing.max(fencing);
        true
    }

    pub fn begin_load(&mut self, adapter: &AdapterRef) -> Option<OrderOutcome> {
        if self.resident.contains(adapter) {
            return Some(OrderOutcome::Done);
        }
        if self.resident.len() + self.loading.len() >= self.slots {
            return Some(OrderOutcome::Failed);
        }
        self.loading.insert(adapter.clone());
        None
    }

    pub fn end_load(&mut self, adapter: &AdapterRef, fails: bool) -> OrderOutcome {
        let known = self.loading.remove(adapter);
        if !known || fails {
            return OrderOutcome::Failed;
        }
        self.resident.insert(adapter.clone());
        OrderOutcome::Done
    }

    pub fn unload(&mut self, adapter: &AdapterRef) -> OrderOutcome {
        if self.resident.remove(adapter) {
            OrderOutcome::Done
        } else {
            OrderOutcome::Failed
        }
    }

    /// Takes a request in; false if it does not hold the adapter.
    pub fn take(&mut self, run: Run) -> bool {
        if !self.resident.contains(&run.adapter) {
            return false;
        }
        if self.running.len() < self.max_batch {
            self.running.push(run);
        } else {
            self.waiting.push_back(run);
        }
        true
    }

    /// How long the next iteration takes; none if there is nothing to run.
    pub fn iteration_us(&self) -> Option<u64> {
        if self.running.is_empty() {
            return None;
        }
        let batch = u64::try_from(self.running.len()).unwrap();
        let prefill: u64 = self.running.iter().map(|run| run.prefill).sum();
        let speed = self.speed;
        Some(speed.base + speed.per_sequence * batch + speed.per_prefill_token * prefill)
    }

    pub fn end_iteration(&mut self, took: u64) -> Iteration {
        let mut result = Iteration {
            batch: u64::try_from(self.running.len()).unwrap(),
            ..Iteration::default()
        };
        self.busy_us += took;
        self.tokens += result.batch;
        for run in &mut self.running {
            run.prefill = 0;
            run.delivered += 1;
            if run.delivered == 1 {
                result.first_tokens.push(run.clone());
            }
        }
        let (done, on): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run| run.delivered >= run.answer);
        self.running = on;
        result.done = done;
        while self.running.len() < self.max_batch {
            let Some(next) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(next);
        }
        result
    }

    /// Forgets all, cold; the runs that broke off.
    pub fn restart(&mut self) -> Vec<Run> {
        self.boot += 1;
        self.resident.clear();
        self.loading.clear();
        self.fencing = Fencing(0);
        self.iterating = false;
        let mut broken = std::mem::take(&mut self.running);
        broken.extend(std::mem::take(&mut self.waiting));
        broken
    }

    /// Remembers its state for late reports; history is kept for `keep` microseconds.
    pub fn record(&mut self, now: u64, keep: u64) {
        let runs = || self.running.iter().chain(&self.waiting);
        let report = EngineReport {
            boot: self.boot,
            resident: self.resident.clone(),
            in_use: runs().map(|run| run.adapter.clone()).collect(),
            running: u32::try_from(self.running.len()).unwrap(),
            waiting: u32::try_from(self.waiting.len()).unwrap(),
            prefill_tokens: runs().map(|run| run.prefill).sum(),
            leaving: self.leaving,
        };
        self.history.push_back((now, report));
        while self.history.len() > 1 && self.history[1].0 + keep < now {
            self.history.pop_front();
        }
    }

    /// Its state as of `at`.
    pub fn report(&self, at: u64) -> EngineReport {
        let known = self.history.iter().rev().find(|(time, _)| *time <= at);
        let oldest = self.history.front();
        known
            .or(oldest)
            .map(|(_, report)| report.clone())
            .unwrap_or_default()
    }
}
