//! Makes a process's instruments and writes them as Prometheus text.

use std::fmt;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::proto::MetricType;
use prometheus::{Registry, TextEncoder};

/// The product's name, under which its instruments are made.
const METER: &str = "bluebellstage";

/// Instruments with a registry of their own, so that several instances fit in one process.
pub struct Instruments {
    registry: Registry,
    meter: Meter,
    // Keeps the instruments' pipeline alive.
    _provider: SdkMeterProvider,
}

impl fmt::Debug for Instruments {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Instruments").finish_non_exhaustive()
    }
}

impl Default for Instruments {
    fn default() -> Self {
        Self::new()
    }
}

impl Instruments {
    /// No instruments yet.
    ///
    /// # Panics
    ///
    /// The exporter refuses a new registry, which it has no reason for.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a registry without names refuses none");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self {
            registry,
            meter: provider.meter(METER),
            _provider: provider,
        }
    }

    /// A count that only grows.
    #[must_use]
    pub fn counter(&self, name: &'static str, what: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(what).build()
    }

    /// A value that goes up and down.
    #[must_use]
    pub fn gauge(&self, name: &'static str, what: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(what).build()
    }

    /// A distribution of durations, in seconds, with these upper bounds of its buckets.
    #[must_use]
    pub fn seconds(
        &self,
        name: &'static str,
        what: &'static str,
        buckets: &[f64],
    ) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_description(what)
            .with_unit("s")
            .with_boundaries(buckets.to_vec())
            .build()
    }

    /// All instruments as text, histograms last: a reader that keeps only the first lines of a long
    /// text must not lose the counts and values behind the buckets.
    #[must_use]
    pub fn text(&self) -> String {
        let mut families = self.registry.gather();
        families.sort_by_key(|family| family.get_field_type() == MetricType::HISTOGRAM);
        let encoded = TextEncoder::new().encode_to_string(&families);
        encoded.unwrap_or_else(|err| format!("# metrics can't be written: {err}\n"))
    }
}
