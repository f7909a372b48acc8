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
    lookups: Counter<u64>,
    origins: Gauge<u64>,
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
            lookups: instruments.counter(
                "bluebellstage.origin_lookups",
                "Requests that continue a stream, by how its software version was found",
            ),
            origins: instruments.gauge(
                "bluebellstage.stream_origins",
                "Streams of which this instance keeps the software version",
            ),
        }
    }

    /// Counts a lookup of a stream's origin by its outcome.
    pub(super) fn origin_looked_up(&self, outcome: &'static str) {
        self.lookups.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts that a stream could not go on because no target has its software version.
    pub(super) fn version_was_gone(&self) {
        self.versions_gone.add(1, &[]);
    }

    /// Updates the gauges.
    pub(super) fn record(&self, tables: &Tables, now: Time) {
        let origins = u64::try_from(tables.origins.count()).unwrap_or(u64::MAX);
        self.origins.record(origins, &[]);
        let software = tables.dump_software(now);
        for versions in software.chunk_by(|a, b| a.service == b.service) {
            let service = KeyValue::new("service", versions[0].service.to_string());
            let count = u64::try_from(versions.len()).unwrap_or(u64::MAX);
            self.software_versions.record(count, &[service]);
        }
    }
}
