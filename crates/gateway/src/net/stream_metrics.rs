//! Metrics of streams and of the software versions that they are held to.

use std::time::Duration;

use bluebellstage_core::Time;
use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::decide::tables::Tables;
use crate::error::StoreError;

/// Bounds of the buckets of gaps and holding times, in seconds.
const SECONDS_BUCKETS: &[f64] = &[0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];

/// Instruments of streams.
pub(super) struct StreamMetrics {
    software_versions: Gauge<u64>,
    broken_off: Counter<u64>,
    silences: Histogram<f64>,
    versions_gone: Counter<u64>,
    lookups: Counter<u64>,
    record_calls: Counter<u64>,
    origins: Gauge<u64>,
    max_gap: Histogram<f64>,
    max_held: Histogram<f64>,
    pace_dropped: Counter<u64>,
}

impl StreamMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            software_versions: instruments.gauge(
                "bluebellstage.software_versions",
                "Software versions of the registered targets, by service",
            ),
            broken_off: instruments.counter(
                "bluebellstage.streams_broken_off",
                "Streams that were broken off, by route, cause and why no other target took them up",
            ),
            silences: instruments.seconds(
                "bluebellstage.stream_silence",
                "Silences of streams in which another target was looked for, by how they ended",
                SECONDS_BUCKETS,
            ),
            versions_gone: instruments.counter(
                "bluebellstage.streams_without_version",
                "Times that a stream could not go on because no target has its software version",
            ),
            lookups: instruments.counter(
                "bluebellstage.origin_lookups",
                "Requests that continue a stream, by how its software version was found",
            ),
            record_calls: instruments.counter(
                "bluebellstage.stream_record_calls",
                "Calls about what the store keeps of streams, by call and outcome",
            ),
            origins: instruments.gauge(
                "bluebellstage.stream_origins",
                "Streams of which this instance keeps the software version",
            ),
            max_gap: instruments.seconds(
                "bluebellstage.stream_gap",
                "Longest gap between two events of a stream, by route",
                SECONDS_BUCKETS,
            ),
            max_held: instruments.seconds(
                "bluebellstage.stream_held",
                "Longest time that an event of a stream waited here for its caller, by route",
                SECONDS_BUCKETS,
            ),
            pace_dropped: instruments.counter(
                "bluebellstage.pace_reports_dropped",
                "Reports of other instances on the speed of targets that were dropped, by reason",
            ),
        }
    }

    /// Counts a stream that was broken off for this cause. `search` tells why no other target took it up.
    pub(super) fn broken_off(&self, route: &str, cause: &'static str, search: &'static str) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("cause", cause),
            KeyValue::new("search", search),
        ];
        self.broken_off.add(1, &labels);
    }

    /// Records a silence in which another target was looked for.
    pub(super) fn silence_ended(&self, end: &'static str, silent: Duration) {
        let end = [KeyValue::new("end", end)];
        self.silences.record(silent.as_secs_f64(), &end);
    }

    /// Counts a lookup of a stream's origin by its outcome.
    pub(super) fn origin_looked_up(&self, outcome: &'static str) {
        self.lookups.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts that a stream could not go on because no target has its software version.
    pub(super) fn version_was_gone(&self) {
        self.versions_gone.add(1, &[]);
    }

    /// Records the longest gap and holding time of a stream that has ended.
    pub(super) fn stream_ended(&self, route: &str, gap: Duration, held: Duration) {
        let route = [KeyValue::new("route", route.to_owned())];
        self.max_gap.record(gap.as_secs_f64(), &route);
        self.max_held.record(held.as_secs_f64(), &route);
    }

    /// Counts reports on the speed of targets that were dropped.
    pub(super) fn pace_dropped(&self, reason: &'static str, count: u64) {
        self.pace_dropped
            .add(count, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a call about what the store keeps of streams.
    pub(super) fn record_call<T>(&self, call: &'static str, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => "answered",
            Err(StoreError::Conflict) => "conflict",
            Err(_) => "failed",
        };
        let call = KeyValue::new("call", call);
        let outcome = KeyValue::new("outcome", outcome);
        self.record_calls.add(1, &[call, outcome]);
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
