//! Metrics of streams and of the software versions that they are held to.

use bluebellstage_core::Time;
use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use crate::decide::tables::Tables;

/// Instruments of streams.
pub(super) struct StreamMetrics {
    software_versions: Gauge<u64>,
    versions_gone: Counter<u64>,
}

impl StreamMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            software_versions: instruments.gauge(
                "bluebellstage.software_versions",
                "Software versions of the registered targets, by service",
            ),
            versions_gone: instruments.counter(
                "bluebellstage.streams_without_version",
                "Times that a stream could not go on because no target has its software version",
            ),
        }
    }

    /// Counts that a stream could not go on because no target has its software version.
    pub(super) fn version_was_gone(&self) {
        self.versions_gone.add(1, &[]);
    }

    /// Updates the gauges.
    pub(super) fn record(&self, tables: &Tables, now: Time) {
        let software = tables.dump_software(now);
        for versions in software.chunk_by(|a, b| a.service == b.service) {
            let service = KeyValue::new("service", versions[0].service.to_string());
            let count = u64::try_from(versions.len()).unwrap_or(u64::MAX);
            self.software_versions.record(count, &[service]);
        }
    }
}
