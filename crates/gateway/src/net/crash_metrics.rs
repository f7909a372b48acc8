//! Metrics of crashed targets and of the quarantine.

use bluebellstage_core::Time;
use bluebellstage_telemetry::instruments::Instruments;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use crate::decide::quarantine::Suspect;
use crate::decide::tables::Tables;

/// Instruments of crashed targets and of the quarantine.
pub(super) struct CrashMetrics {
    crashes: Counter<u64>,
    quarantined: Counter<u64>,
    quarantined_parts: Counter<u64>,
    quarantine: Gauge<u64>,
    part_quarantine: Gauge<u64>,
    unframed_responses: Counter<u64>,
}

impl CrashMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            crashes: instruments.counter(
                "bluebellstage.targets_ended",
                "Targets that ended while they ran requests of this instance",
            ),
            quarantined: instruments.counter(
                "bluebellstage.quarantined",
                "Requests quarantined here because targets end under them",
            ),
            quarantine: instruments
                .gauge("bluebellstage.quarantine", "Requests that are quarantined"),
            quarantined_parts: instruments.counter(
                "bluebellstage.quarantined_parts",
                "Parts of prompts quarantined here because targets end under them",
            ),
            part_quarantine: instruments.gauge(
                "bluebellstage.part_quarantine",
                "Parts of prompts that are quarantined",
            ),
            unframed_responses: instruments.counter(
                "bluebellstage.unframed_answers",
                "Answers with neither a length nor chunks, by whether their target outlived them",
            ),
        }
    }

    /// Counts a crash of a target that ran requests of this instance.
    pub(super) fn target_crashed(&self) {
        self.crashes.add(1, &[]);
    }

    /// Counts a request or a prompt part that was quarantined here.
    pub(super) fn quarantined(&self, suspect: Suspect) {
        let counter = match suspect {
            Suspect::Request(_) => &self.quarantined,
            Suspect::Part(_) => &self.quarantined_parts,
        };
        counter.add(1, &[]);
    }

    /// Counts a response that ended with its connection, by whether its target still ran.
    pub(super) fn unframed_response_ended(&self, is_confirmed: bool) {
        let end = if is_confirmed {
            "confirmed"
        } else {
            "doubtful"
        };
        let end = KeyValue::new("end", end);
        self.unframed_responses.add(1, &[end]);
    }

    /// Updates the gauges.
    pub(super) fn record(&self, tables: &Tables, now: Time) {
        let refused = tables.quarantine.refused(now);
        let is_part = |(suspect, _): &(Suspect, _)| matches!(suspect, Suspect::Part(_));
        let (parts, requests) = refused.partition::<Vec<_>, _>(is_part);
        for (gauge, refused) in [(&self.part_quarantine, parts), (&self.quarantine, requests)] {
            gauge.record(u64::try_from(refused.len()).unwrap_or(u64::MAX), &[]);
        }
    }
}
