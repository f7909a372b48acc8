//! Metrics of brittle targets.

use bluebellstage_core::Time;
use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::metrics::{Counter, Gauge};

use crate::decide::tables::Tables;

/// Instruments of brittle targets.
pub(super) struct BrittleMetrics {
    targets: Gauge<u64>,
    unowned: Gauge<u64>,
    refusals: Counter<u64>,
}

impl BrittleMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            targets: instruments.gauge(
                "bluebellstage.brittle_targets",
                "Targets that fall over when they have to refuse too many requests",
            ),
            unowned: instruments.gauge(
                "bluebellstage.brittle_targets_unowned",
                "Brittle targets to which this instance can't tell who sends",
            ),
            refusals: instruments.counter(
                "bluebellstage.brittle_refusals",
                "Requests that brittle targets refused",
            ),
        }
    }

    /// Counts a request that a brittle target refused.
    pub(super) fn target_refused(&self) {
        self.refusals.add(1, &[]);
    }

    pub(super) fn record(&self, tables: &Tables, now: Time) {
        let [targets, unowned] = [tables.brittle.count(), tables.unowned_count(now)]
            .map(|count| u64::try_from(count).unwrap_or(u64::MAX));
        self.targets.record(targets, &[]);
        self.unowned.record(unowned, &[]);
    }
}
