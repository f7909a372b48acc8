//! Metrics of the gateway, scraped as Prometheus text.

use std::fmt;
use std::time::Duration;

use bluebellstage_core::Time;
use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::decide::config::RouteKind;
use crate::decide::store::kind::Kind;
use crate::decide::tables::Tables;

use super::brittle_metrics::BrittleMetrics;
use super::connection_metrics::ConnectionMetrics;
use super::crash_metrics::CrashMetrics;
use super::exchange_metrics::ExchangeMetrics;
use super::memory_metrics::MemoryMetrics;
use super::retry_metrics::RetryMetrics;
use super::stream_metrics::StreamMetrics;
use super::wait_metrics::WaitMetrics;

/// Bounds of the duration buckets in seconds: 1 ms to 15 s, the max wait of callers.
const SECONDS_BUCKETS: &[f64] = &[
    0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0,
];

/// Instruments of this process.
pub(super) struct Metrics {
    instruments: Instruments,
    pub(super) brittle: BrittleMetrics,
    pub(super) callers: ConnectionMetrics,
    pub(super) crashes: CrashMetrics,
    pub(super) memory: MemoryMetrics,
    pub(super) retries: RetryMetrics,
    pub(super) streams: StreamMetrics,
    pub(super) waits: WaitMetrics,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    response_time: Histogram<f64>,
    attempts: Counter<u64>,
    ejections: Counter<u64>,
    unreachable: Gauge<u64>,
    lost_services: Gauge<u64>,
    paths_lost: Counter<u64>,
    forwarded: Counter<u64>,
    beyond_share: Gauge<u64>,
    limited: Gauge<u64>,
    unknown_headers: Counter<u64>,
    malformed_headers: Counter<u64>,
    departures_reported: Counter<u64>,
    departing: Gauge<u64>,
    rests_reported: Counter<u64>,
    resting: Gauge<u64>,
    orders: Counter<u64>,
    store_calls: Counter<u64>,
    store_restorations: Counter<u64>,
    store_open_call: Gauge<u64>,
    config_version: Gauge<u64>,
    malformed_parts: Gauge<u64>,
    malformed_objects: Counter<u64>,
    targets: Gauge<u64>,
    peers: Gauge<u64>,
    connections: Gauge<u64>,
    shards: Gauge<u64>,
    datagrams: Counter<u64>,
    datagram_bytes: Counter<u64>,
    exchange: ExchangeMetrics,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Safe => "safe",
        RouteKind::Unsafe => "unsafe",
        RouteKind::ResumableStream => "resumable_stream",
        RouteKind::SingleStream => "single_stream",
    }
}

fn count(amount: usize) -> u64 {
    u64::try_from(amount).unwrap_or(u64::MAX)
}

impl Metrics {
    /// Creates instruments. Each instance has a separate registry, so that one process can run several instances.
    pub(super) fn new(instruments: Instruments) -> Self {
        let counter = |name, description| instruments.counter(name, description);
        let gauge = |name, description| instruments.gauge(name, description);
        Self {
            requests: counter("bluebellstage.requests", "Requests answered, by status"),
            refusals: counter("bluebellstage.refusals", "Requests refused, by reason"),
            response_time: instruments.seconds(
                "bluebellstage.answer_time",
                "From a request's arrival to the head of its answer",
                SECONDS_BUCKETS,
            ),
            attempts: counter("bluebellstage.attempts", "Attempts at targets, by outcome"),
            ejections: counter("bluebellstage.ejections", "Targets left alone for a while"),
            unreachable: gauge(
                "bluebellstage.unreachable_targets",
                "Targets to which the last connection of this instance failed",
            ),
            lost_services: gauge(
                "bluebellstage.lost_services",
                "Services whose targets this instance can't reach",
            ),
            paths_lost: counter(
                "bluebellstage.paths_lost",
                "Times that this instance lost its paths to all targets of a service",
            ),
            forwarded: counter(
                "bluebellstage.forwarded_requests",
                "Requests forwarded to peers, by outcome",
            ),
            beyond_share: gauge(
                "bluebellstage.workspaces_beyond_share",
                "Workspaces beyond their fair share of a service that is short of room",
            ),
            limited: gauge("bluebellstage.limited_targets", "Targets that name a limit"),
            unknown_headers: counter(
                "bluebellstage.unknown_headers",
                "Headers in answers of targets that nothing reads, by name",
            ),
            malformed_headers: counter(
                "bluebellstage.malformed_headers",
                "Headers in answers of targets that are malformed and not used, by what they report",
            ),
            departures_reported: counter(
                "bluebellstage.departures_reported",
                "Targets that reported in an answer that they leave",
            ),
            departing: gauge(
                "bluebellstage.departing_targets",
                "Targets that have reported in an answer that they leave",
            ),
            rests_reported: counter(
                "bluebellstage.rests_reported",
                "Answers of targets that ask for rest",
            ),
            resting: gauge("bluebellstage.resting_targets", "Targets that rest"),
            orders: counter("bluebellstage.orders", "Orders to engines, by answer"),
            store_calls: counter(
                "bluebellstage.store_calls",
                "Watches and lists, by kind of objects and outcome",
            ),
            store_restorations: counter(
                "bluebellstage.store_restorations",
                "Times that the store was restored from an older copy",
            ),
            store_open_call: gauge(
                "bluebellstage.store_open_call_ms",
                "Age of the open watch or list in milliseconds, by kind of objects",
            ),
            config_version: gauge("bluebellstage.config_version", "Configuration in force"),
            malformed_parts: gauge(
                "bluebellstage.malformed_config_parts",
                "Parts of the configuration in force that can't be decoded",
            ),
            malformed_objects: counter(
                "bluebellstage.malformed_objects",
                "Objects of the store that can't be decoded, by kind",
            ),
            targets: gauge("bluebellstage.targets", "Targets known"),
            peers: gauge("bluebellstage.live_peers", "Other instances heard lately"),
            connections: gauge("bluebellstage.connections", "Connections of callers"),
            shards: gauge("bluebellstage.loader_shards", "Loader shards held"),
            datagrams: counter(
                "bluebellstage.datagrams",
                "Datagrams between instances, by kind and direction",
            ),
            datagram_bytes: counter(
                "bluebellstage.datagram_bytes",
                "Bytes of datagrams between instances, by kind and direction",
            ),
            exchange: ExchangeMetrics::new(&instruments),
            brittle: BrittleMetrics::new(&instruments),
            callers: ConnectionMetrics::new(&instruments),
            crashes: CrashMetrics::new(&instruments),
            memory: MemoryMetrics::new(&instruments),
            retries: RetryMetrics::new(&instruments),
            streams: StreamMetrics::new(&instruments),
            waits: WaitMetrics::new(&instruments),
            instruments,
        }
    }

    /// Counts a datagram that was sent to `receivers` instances.
    pub(super) fn record_sent(&self, kind: &'static str, receivers: usize, bytes: usize) {
        self.datagram(kind, "sent", receivers, bytes * receivers);
    }

    /// Counts a received datagram.
    pub(super) fn record_received(&self, kind: &'static str, bytes: usize) {
        self.datagram(kind, "received", 1, bytes);
    }

    fn datagram(&self, kind: &'static str, direction: &'static str, amount: usize, bytes: usize) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("direction", direction),
        ];
        self.datagrams.add(count(amount), &labels);
        self.datagram_bytes.add(count(bytes), &labels);
    }

    /// Counts a request that got a response, and records the time until then.
    pub(super) fn request_answered(&self, kind: RouteKind, status: u16, after: Duration) {
        let kind = KeyValue::new("kind", kind_name(kind));
        let status = KeyValue::new("status", i64::from(status));
        self.requests.add(1, &[kind.clone(), status]);
        self.response_time.record(after.as_secs_f64(), &[kind]);
    }

    /// Counts a rejected request.
    pub(super) fn request_refused(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a finished attempt at a target.
    pub(super) fn attempt_ended(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an ejection of a target.
    pub(super) fn target_ejected(&self) {
        self.ejections.add(1, &[]);
    }

    /// Counts that the paths to all targets of a service were lost.
    pub(super) fn paths_lost(&self) {
        self.paths_lost.add(1, &[]);
    }

    /// Counts a request that was forwarded to a peer, by its outcome.
    pub(super) fn request_forwarded(&self, outcome: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a header of a target's response that nothing reads.
    pub(super) fn unknown_header(&self, name: &str) {
        let name = KeyValue::new("name", name.to_owned());
        self.unknown_headers.add(1, &[name]);
    }

    /// Counts a header of a target's response that is malformed.
    pub(super) fn malformed_header(&self, what: &'static str) {
        self.malformed_headers
            .add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts a target that reports that it leaves.
    pub(super) fn departure_reported(&self) {
        self.departures_reported.add(1, &[]);
    }

    /// Counts a response of a target that asks for rest.
    pub(super) fn rest_reported(&self) {
        self.rests_reported.add(1, &[]);
    }

    /// Counts an order to an engine by its outcome.
    pub(super) fn order_ended(&self, outcome: &'static str) {
        self.orders.add(1, &[KeyValue::new("answer", outcome)]);
    }

    /// Counts a restoration of the store.
    pub(super) fn store_restored(&self) {
        self.store_restorations.add(1, &[]);
    }

    /// Counts a finished watch or list of the store.
    pub(super) fn store_call_ended(&self, kind: Kind, outcome: &'static str) {
        let kind = KeyValue::new("kind", kind.name());
        let outcome = KeyValue::new("outcome", outcome);
        self.store_calls.add(1, &[kind, outcome]);
    }

    /// Counts an object of the store that can't be decoded.
    pub(super) fn malformed_object(&self, kind: Kind) {
        let kind = KeyValue::new("kind", kind.name());
        self.malformed_objects.add(1, &[kind]);
    }

    fn record_open_store_calls(&self, tables: &Tables, now: Time) {
        for (kind, wait) in tables.store_calls.all() {
            let age = wait
                .open_since
                .map_or(Duration::ZERO, |asked| now.since(asked));
            let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            let kind = KeyValue::new("kind", kind.name());
            self.store_open_call.record(age, &[kind]);
        }
    }

    /// Updates the gauges and returns all metrics as Prometheus text.
    pub(super) fn text(&self, tables: &Tables, connections: usize, now: Time) -> String {
        self.config_version.record(tables.routes.version().0, &[]);
        self.malformed_parts
            .record(count(tables.routes.config().malformed.len()), &[]);
        self.record_open_store_calls(tables, now);
        self.beyond_share
            .record(count(tables.fair_shares.beyond_count()), &[]);
        self.limited
            .record(count(tables.limits.iter().count()), &[]);
        self.unreachable
            .record(count(tables.paths.failing_count()), &[]);
        self.lost_services
            .record(count(tables.partitions.lost().count()), &[]);
        self.crashes.record(tables, now);
        self.retries.record(tables, now);
        self.streams.record(tables, now);
        self.waits.record(tables);
        self.departing.record(count(tables.departures.count()), &[]);
        self.brittle.record(tables, now);
        self.resting.record(count(tables.rests.count(now)), &[]);
        self.targets
            .record(count(tables.registry.all().count()), &[]);
        self.peers
            .record(count(tables.peers.live(now).count()), &[]);
        self.connections.record(count(connections), &[]);
        self.exchange.record(tables, now);
        self.shards.record(count(tables.shards.len()), &[]);
        self.instruments.text()
    }
}
