//! Metrics of brittle targets.

use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::metrics::{Counter, Gauge};

use crate::decide::tables::Tables;

/// Instruments of brittle targets.
pub(super) struct BrittleMetrics {
    targets: Gauge<u64>,
    refusals: Counter<u64>,
}

impl BrittleMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            targets: instruments.gauge(
                "bluebellstage.brittle_targets",
                "Targets that fall over when they have to refuse too many requests",
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

    pub(super) fn record(&self, tables: &Tables) {
        let count = u64::try_from(tables.brittle.count()).unwrap_or(u64::MAX);
        self.targets.record(count, &[]);
    }
}
