//! Metrics of requests that are sent to targets more than once.

use bluebellstage_core::{ServiceId, Time};
use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use crate::decide::retry_budget::RetryCause;
use crate::decide::tables::Tables;

/// Instruments of retries.
pub(super) struct RetryMetrics {
    retries: Counter<u64>,
    denied: Counter<u64>,
    left: Gauge<u64>,
}

fn service_label(service: &ServiceId) -> KeyValue {
    KeyValue::new("service", service.to_string())
}

impl RetryMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            retries: instruments.counter(
                "bluebellstage.retries",
                "Requests sent to a target once more, by service and cause",
            ),
            denied: instruments.counter(
                "bluebellstage.retries_denied",
                "Requests not sent once more because the budget was used up, by service and cause",
            ),
            left: instruments.gauge(
                "bluebellstage.retries_left",
                "Retries that this instance may send now, by service",
            ),
        }
    }

    /// Counts a request that is sent once more, or is not because the budget is used up.
    pub(super) fn retry(&self, service: &ServiceId, cause: RetryCause, is_within_budget: bool) {
        let labels = [service_label(service), KeyValue::new("cause", cause.name())];
        let counter = if is_within_budget {
            &self.retries
        } else {
            &self.denied
        };
        counter.add(1, &labels);
    }

    /// Updates the gauge.
    pub(super) fn record(&self, tables: &Tables, now: Time) {
        for retries in tables.dump_retries(now) {
            self.left
                .record(u64::from(retries.left), &[service_label(&retries.service)]);
        }
    }
}
