//! Metrics of crashed targets and of the quarantine.

use bluebellstage_core::Time;
use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use crate::decide::tables::Tables;

/// Instruments of crashed targets and of the quarantine.
pub(super) struct CrashMetrics {
    crashes: Counter<u64>,
    quarantined: Counter<u64>,
    quarantine: Gauge<u64>,
    unframed_responses: Counter<u64>,
}

impl CrashMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            crashes: instruments.counter(
                "bluebellstage.targets_ended",
                "Targets that ended while they ran requests of this instance",
            ),
            quarantined: instruments.counter(
                "bluebellstage.quarantined",
                "Requests quarantined here because targets end under them",
            ),
            quarantine: instruments
                .gauge("bluebellstage.quarantine", "Requests that are quarantined"),
            unframed_responses: instruments.counter(
                "bluebellstage.unframed_answers",
                "Answers with neither a length nor chunks, by whether their target outlived them",
            ),
        }
    }

    /// Counts a crash of a target that ran requests of this instance.
    pub(super) fn target_crashed(&self) {
        self.crashes.add(1, &[]);
    }

    /// Counts a request that was quarantined here.
    pub(super) fn request_quarantined(&self) {
        self.quarantined.add(1, &[]);
    }

    /// Counts a response that ended with its connection, by whether its target still ran.
    pub(super) fn unframed_response_ended(&self, is_confirmed: bool) {
        let end = if is_confirmed {
            "confirmed"
        } else {
            "doubtful"
        };
        let end = KeyValue::new("end", end);
        self.unframed_responses.add(1, &[end]);
    }

    /// Updates the gauges.
    pub(super) fn record(&self, tables: &Tables, now: Time) {
        let refused = tables.quarantine.refused(now).count();
        let refused = u64::try_from(refused).unwrap_or(u64::MAX);
        self.quarantine.record(refused, &[]);
    }
}
