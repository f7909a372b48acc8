//! Metrics of the memory budget.

use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use crate::decide::memory_budget::MemoryDump;

/// Instruments of the memory budget.
pub(super) struct MemoryMetrics {
    budget: Gauge<u64>,
    held: Gauge<u64>,
    waiting: Gauge<u64>,
    refused: Counter<u64>,
    ended: Counter<u64>,
    passed_through: Counter<u64>,
}

impl MemoryMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        let counter = |name, description| instruments.counter(name, description);
        let gauge = |name, description| instruments.gauge(name, description);
        Self {
            budget: gauge(
                "bluebellstage.memory_budget",
                "Bytes that may be held for callers",
            ),
            held: gauge(
                "bluebellstage.memory_held",
                "Bytes held for callers, by what they are",
            ),
            waiting: gauge(
                "bluebellstage.memory_waiting",
                "Callers that wait for memory",
            ),
            refused: counter(
                "bluebellstage.memory_refusals",
                "Requests refused because memory is short",
            ),
            ended: counter(
                "bluebellstage.callers_ended",
                "Callers ended because memory is short and they make no progress",
            ),
            passed_through: counter(
                "bluebellstage.responses_passed_through",
                "Responses for whose whole body there was no room",
            ),
        }
    }

    /// Counts a request that was refused because memory is short.
    pub(super) fn request_refused(&self) {
        self.refused.add(1, &[]);
    }

    /// Counts a caller that was ended.
    pub(super) fn caller_ended(&self) {
        self.ended.add(1, &[]);
    }

    /// Counts a response that is passed through because there is no room to buffer it.
    pub(super) fn passed_through(&self) {
        self.passed_through.add(1, &[]);
    }

    /// Updates the gauges.
    pub(super) fn record(&self, dump: &MemoryDump) {
        self.budget.record(dump.budget, &[]);
        let held = [
            ("connection", dump.connections),
            ("request_body", dump.request_bodies),
            ("response", dump.responses),
            ("untaken", dump.untaken),
        ];
        for (kind, bytes) in held {
            self.held.record(bytes, &[KeyValue::new("kind", kind)]);
        }
        let waiting = u64::try_from(dump.waiting).unwrap_or(u64::MAX);
        self.waiting.record(waiting, &[]);
    }
}
