//! Engines and plain services in memory.

use std::collections::{BTreeMap, BTreeSet};

use bluebellstage_core::{
    AdapterRef, EngineReport, Fencing, OrderOutcome, RequestId, TargetId, TargetInfo, TargetKind,
    TargetOrderKind,
};

/// A request that a target ran, or runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    pub request: RequestId,
    pub target: TargetId,
    pub adapter: Option<AdapterRef>,
    pub from: u64,
    pub to: u64,
}

/// An engine, or a replica of a plain service.
#[derive(Debug)]
pub struct FakeTarget {
    pub info: TargetInfo,
    pub boot: u64,
    pub up: bool,
    /// Requests now running, with what they use.
    pub running: BTreeMap<RequestId, Option<AdapterRef>>,
    /// Adapters that were unloaded while a request used them.
    pub evicted_in_use: Vec<AdapterRef>,
    /// Most requests that ever ran at once.
    pub most_running: usize,
    pub loads: u64,
    /// So many loads still to come fail.
    pub failing_loads: u32,
    slots: usize,
    resident: BTreeSet<AdapterRef>,
    newest_fencing: Fencing,
}

impl FakeTarget {
    pub fn new(info: TargetInfo) -> Self {
        let slots = match info.kind {
            TargetKind::Engine { slots, .. } => slots as usize,
            TargetKind::Service { .. } => 0,
        };
        Self {
            info,
            boot: 1,
            up: true,
            running: BTreeMap::new(),
            evicted_in_use: Vec::new(),
            most_running: 0,
            loads: 0,
            failing_loads: 0,
            slots,
            resident: BTreeSet::new(),
            newest_fencing: Fencing::default(),
        }
    }

    pub fn holds(&self, adapter: &AdapterRef) -> bool {
        self.resident.contains(adapter)
    }

    pub fn start(&mut self, request: RequestId, adapter: Option<AdapterRef>) {
        self.running.insert(request, adapter);
        self.most_running = self.most_running.max(self.running.len());
    }

    /// Restarts cold: all that ran is gone, and so are the adapters.
    pub fn restart(&mut self) -> Vec<RequestId> {
        self.boot += 1;
        self.resident.clear();
        std::mem::take(&mut self.running).into_keys().collect()
    }

    pub fn order(&mut self, fencing: Fencing, kind: &TargetOrderKind) -> OrderOutcome {
        if !self.up {
            return OrderOutcome::Failed;
        }
        let checks = matches!(
            self.info.kind,
            TargetKind::Engine {
                checks_fencing: true,
                ..
            }
        );
        if checks && fencing < self.newest_fencing {
            return OrderOutcome::Fenced;
        }
        self.newest_fencing = self.newest_fencing.max(fencing);
        match kind {
            TargetOrderKind::Load(adapter) => self.load(adapter),
            TargetOrderKind::Unload(adapter) => self.unload(adapter),
            TargetOrderKind::Report => OrderOutcome::Reported(self.report()),
        }
    }

    fn load(&mut self, adapter: &AdapterRef) -> OrderOutcome {
        self.loads += 1;
        if self.failing_loads > 0 {
            self.failing_loads -= 1;
            return OrderOutcome::Failed;
        }
        if !self.resident.contains(adapter) && self.resident.len() >= self.slots {
            return OrderOutcome::Failed;
        }
        self.resident.insert(adapter.clone());
        OrderOutcome::Done
    }

    fn unload(&mut self, adapter: &AdapterRef) -> OrderOutcome {
        if self.running.values().flatten().any(|used| used == adapter) {
            self.evicted_in_use.push(adapter.clone());
        }
        if self.resident.remove(adapter) {
            OrderOutcome::Done
        } else {
            OrderOutcome::Failed
        }
    }

    fn report(&self) -> EngineReport {
        EngineReport {
            boot: self.boot,
            resident: self.resident.clone(),
            in_use: self.running.values().flatten().cloned().collect(),
            running: u32::try_from(self.running.len()).unwrap(),
            waiting: 0,
            prefill_tokens: 0,
            leaving: self.info.leaving,
        }
    }
}
