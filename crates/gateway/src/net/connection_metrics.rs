//! Metrics of accepted connections.

use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

/// Instruments for accepted connections.
pub(super) struct ConnectionMetrics {
    closed: Counter<u64>,
}

impl ConnectionMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            closed: instruments.counter(
                "bluebellstage.connections_closed",
                "Accepted connections that ended, by reason, and whether received bytes lay unread",
            ),
        }
    }

    /// Counts a connection that ended.
    pub(super) fn closed(&self, reason: &'static str, has_unread: bool) {
        let reason = KeyValue::new("reason", reason);
        let unread = KeyValue::new("unread", has_unread);
        self.closed.add(1, &[reason, unread]);
    }
}
