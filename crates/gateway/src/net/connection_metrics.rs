//! Metrics of accepted connections.

use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

/// Instruments for accepted connections.
pub(super) struct ConnectionMetrics {
    closed: Counter<u64>,
    refused: Counter<u64>,
    discarded: Counter<u64>,
}

impl ConnectionMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            closed: instruments.counter(
                "bluebellstage.connections_closed",
                "Accepted connections that ended, by reason, and whether received bytes lay unread",
            ),
            refused: instruments.counter(
                "bluebellstage.connections_refused",
                "Connections closed unread because there are as many as the instance may keep",
            ),
            discarded: instruments.counter(
                "bluebellstage.request_bodies_discarded",
                "Bodies of refused requests that were received and dropped, by how that ended",
            ),
        }
    }

    /// Counts a refused body that was received and dropped.
    pub(super) fn discarded(&self, outcome: &'static str) {
        self.discarded.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a connection for which there is no room.
    pub(super) fn refused(&self) {
        self.refused.add(1, &[]);
    }

    /// Counts a connection that ended.
    pub(super) fn closed(&self, reason: &'static str, has_unread: bool) {
        let reason = KeyValue::new("reason", reason);
        let unread = KeyValue::new("unread", has_unread);
        self.closed.add(1, &[reason, unread]);
    }
}
