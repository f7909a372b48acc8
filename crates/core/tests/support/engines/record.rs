//! What happened to each request, and what must never happen.

use std::collections::BTreeMap;

use bluebellstage_core::engines::PermitRequest;
use bluebellstage_core::{RefusalKind, RequestId, TargetId};

/// One caller's request; times in microseconds of the world's clock.
#[derive(Clone, Debug)]
pub struct Record {
    pub ask: PermitRequest,
    pub node: usize,
    pub life: u64,
    pub answer: u64,
    pub arrived: u64,
    /// When the core was asked last; a request that did not run asks again.
    pub asked: u64,
    pub decided: Option<u64>,
    pub refused: Option<RefusalKind>,
    pub target: Option<TargetId>,
    pub first_token: Option<u64>,
    pub done: Option<u64>,
    pub attempts: u32,
    pub cancelled: bool,
    /// How long it waited for a load of its adapter into the engine that served it.
    pub stalled: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Recorder {
    pub requests: BTreeMap<RequestId, Record>,
    /// Broken guarantees, in words.
    pub violations: Vec<String>,
    /// When each load was ordered.
    pub loads: Vec<u64>,
    pub loads_in_flight: u64,
    pub peak_in_flight: u64,
    pub unloads: u64,
    pub messages: u64,
    /// Bytes of the messages, as JSON.
    pub bytes: u64,
    /// Reports asked of engines.
    pub reports: u64,
    /// Requests that no permit was decided for yet.
    pub undecided: u64,
    /// Sequences batched, and places for them, in iterations while a request waited.
    pub batch_while_waiting: u64,
    pub places_while_waiting: u64,
}

impl Recorder {
    pub fn violation(&mut self, now: u64, text: &str) {
        self.violations.push(format!("{now}us: {text}"));
    }

    /// The most loads ordered within any `span` microseconds.
    pub fn most_loads_within(&self, span: u64) -> usize {
        let count = |from: &u64| {
            let window = *from..(*from + span);
            self.loads.iter().filter(|at| window.contains(at)).count()
        };
        self.loads.iter().map(count).max().unwrap_or_default()
    }
}
