//! Metrics of the exchange of state between instances.

use bluebellstage_core::Time;
use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::metrics::Gauge;

use crate::decide::tables::Tables;

/// Instruments of the exchange.
pub(super) struct ExchangeMetrics {
    update_age: Gauge<u64>,
    subscribers: Gauge<u64>,
    reports_without_roster: Gauge<u64>,
}

impl ExchangeMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            update_age: instruments.gauge(
                "bluebellstage.news_age_ms",
                "Mean age in milliseconds of what is known of other instances",
            ),
            subscribers: instruments.gauge(
                "bluebellstage.news_readers",
                "Instances that this one relays news to",
            ),
            reports_without_roster: instruments.gauge(
                "bluebellstage.reports_without_roster",
                "Reports of relays on who is live that came without a list of instances that this one has",
            ),
        }
    }

    pub(super) fn record(&self, tables: &Tables, now: Time) {
        let age = u64::try_from(tables.update_age(now).as_millis()).unwrap_or(u64::MAX);
        self.update_age.record(age, &[]);
        let subscribers = u64::try_from(tables.exchange.subscriber_count()).unwrap_or(u64::MAX);
        self.subscribers.record(subscribers, &[]);
        self.reports_without_roster
            .record(tables.exchange.reports_without_roster(), &[]);
    }
}
