//! Metrics under the names that the field uses, scraped as Prometheus text.

use std::time::Duration;

use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// Bounds of the buckets of durations, in seconds: 0.5 ms to 60 s.
const SECONDS_BUCKETS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// Instruments of this process.
#[derive(Debug)]
pub(crate) struct Metrics {
    instruments: Instruments,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    tokens: Counter<u64>,
    time_to_first_token: Histogram<f64>,
    queue_time: Histogram<f64>,
    load_stalls: Histogram<f64>,
    loads: Counter<u64>,
    platform_calls: Counter<u64>,
    control_sent: Counter<u64>,
    messages_dropped: Counter<u64>,
    standing: Gauge<u64>,
    map_revision: Gauge<u64>,
    catalogue_revision: Gauge<u64>,
    open_requests: Gauge<u64>,
    batch_occupancy: Gauge<u64>,
}

impl Metrics {
    /// Instruments with a registry of their own, so that several instances fit in one process.
    pub(crate) fn new() -> Self {
        let instruments = Instruments::new();
        Self {
            requests: instruments.counter("bluebellstage.requests", "Requests ended, by outcome"),
            refusals: instruments.counter("bluebellstage.refusals", "Requests refused, by kind"),
            tokens: instruments.counter("bluebellstage.tokens", "Tokens delivered to callers"),
            time_to_first_token: instruments.seconds(
                "bluebellstage.time_to_first_token",
                "From a request's arrival to its first token",
                SECONDS_BUCKETS,
            ),
            queue_time: instruments.seconds(
                "bluebellstage.queue_time",
                "From a request's arrival to its dispatch",
                SECONDS_BUCKETS,
            ),
            load_stalls: instruments.seconds(
                "bluebellstage.load_stall",
                "How long loads of adapters held requests up",
                SECONDS_BUCKETS,
            ),
            loads: instruments.counter("bluebellstage.adapter_loads", "Adapter loads, by outcome"),
            platform_calls: instruments.counter(
                "bluebellstage.platform_calls",
                "Calls to the platform, by operation and outcome",
            ),
            control_sent: instruments.counter(
                "bluebellstage.control_sent_bytes",
                "Bytes sent to other instances",
            ),
            messages_dropped: instruments.counter(
                "bluebellstage.control_dropped_messages",
                "Messages to other instances dropped",
            ),
            standing: instruments.gauge("bluebellstage.standing", "1 while this instance may act"),
            map_revision: instruments.gauge("bluebellstage.map_revision", "Map in force here"),
            catalogue_revision: instruments.gauge(
                "bluebellstage.catalogue_revision",
                "Catalogue in force here",
            ),
            open_requests: instruments
                .gauge("bluebellstage.open_requests", "Requests under way here"),
            batch_occupancy: instruments.gauge(
                "bluebellstage.batch_occupancy",
                "Requests in each engine's batch, as last reported",
            ),
            instruments,
        }
    }

    /// All metrics as Prometheus text.
    pub(crate) fn scrape(&self) -> String {
        self.instruments.text()
    }

    pub(crate) fn request_ended(&self, class: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("class", class),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
    }

    pub(crate) fn refused(&self, kind: String) {
        self.refusals.add(1, &[KeyValue::new("kind", kind)]);
    }

    pub(crate) fn tokens(&self, count: u64) {
        self.tokens.add(count, &[]);
    }

    pub(crate) fn first_token(&self, after: Duration) {
        self.time_to_first_token.record(after.as_secs_f64(), &[]);
    }

    pub(crate) fn dispatched(&self, after: Duration) {
        self.queue_time.record(after.as_secs_f64(), &[]);
    }

    pub(crate) fn load_ended(&self, loaded: bool, took: Duration) {
        self.loads.add(1, &[KeyValue::new("loaded", loaded)]);
        self.load_stalls.record(took.as_secs_f64(), &[]);
    }

    pub(crate) fn platform_call(&self, operation: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("operation", operation),
            KeyValue::new("outcome", outcome),
        ];
        self.platform_calls.add(1, &labels);
    }

    pub(crate) fn control_sent(&self, bytes: u64) {
        self.control_sent.add(bytes, &[]);
    }

    pub(crate) fn messages_dropped(&self, count: u64) {
        self.messages_dropped.add(count, &[]);
    }

    pub(crate) fn standing(&self, has_standing: bool) {
        self.standing.record(u64::from(has_standing), &[]);
    }

    pub(crate) fn map_revision(&self, revision: u64) {
        self.map_revision.record(revision, &[]);
    }

    pub(crate) fn catalogue_revision(&self, revision: u64) {
        self.catalogue_revision.record(revision, &[]);
    }

    pub(crate) fn open_requests(&self, count: u64) {
        self.open_requests.record(count, &[]);
    }

    pub(crate) fn engine_running(&self, target: &str, requests: u32) {
        let labels = [KeyValue::new("target", target.to_owned())];
        self.batch_occupancy.record(u64::from(requests), &labels);
    }
}
