//! Metrics of requests that wait for room.

use std::time::Duration;

use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Gauge, Histogram};

use crate::decide::tables::Tables;

/// Bounds of the buckets of waiting times in seconds.
const SECONDS_BUCKETS: &[f64] = &[0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Instruments of requests that wait for room.
pub(super) struct WaitMetrics {
    waiting: Gauge<u64>,
    time: Histogram<f64>,
}

impl WaitMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            waiting: instruments.gauge(
                "bluebellstage.waiting_requests",
                "Requests that wait for room, by service and rank",
            ),
            time: instruments.seconds(
                "bluebellstage.waiting_time",
                "Time that requests waited for room, by how that ended",
                SECONDS_BUCKETS,
            ),
        }
    }

    /// Records how long a request waited, and how that ended.
    pub(super) fn ended(&self, outcome: &'static str, waited: Duration) {
        let outcome = KeyValue::new("outcome", outcome);
        self.time.record(waited.as_secs_f64(), &[outcome]);
    }

    /// Updates the gauge.
    pub(super) fn record(&self, tables: &Tables) {
        for waiting in tables.dump_waiting() {
            let service = KeyValue::new("service", waiting.service.to_string());
            let rank = KeyValue::new("rank", i64::from(waiting.rank));
            self.waiting
                .record(u64::from(waiting.here), &[service, rank]);
        }
    }
}
