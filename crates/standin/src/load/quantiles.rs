//! Distributions of times.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Micros;

/// Longest time that is told apart, in microseconds: ten minutes.
const LONGEST: u64 = 600_000_000;

/// Significant digits kept.
const DIGITS: u8 = 3;

/// Times as they are collected.
#[derive(Debug)]
pub(crate) struct Times(Histogram<u64>);

/// A distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// How many times.
    pub count: u64,
    /// Half of them are no longer.
    pub p50_ms: f64,
    /// Nine tenths are no longer.
    pub p90_ms: f64,
    /// Nineteen in twenty are no longer.
    pub p95_ms: f64,
    /// Ninety-nine in a hundred are no longer.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

/// A point of a distribution: so many of the times are no longer than this.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// The time, in milliseconds.
    pub ms: f64,
    /// The share, from 0 to 1.
    pub share: f64,
}

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LONGEST, DIGITS);
        Self(histogram.expect("the bounds are legal"))
    }
}

impl Times {
    pub(crate) fn add(&mut self, micros: Micros) {
        self.0.saturating_record(micros);
    }

    pub(super) fn extend(&mut self, micros: impl IntoIterator<Item = Micros>) {
        micros.into_iter().for_each(|one| self.add(one));
    }

    pub(crate) fn quantiles(&self) -> Quantiles {
        let at = |quantile| millis(self.0.value_at_quantile(quantile));
        Quantiles {
            count: self.0.len(),
            p50_ms: at(0.50),
            p90_ms: at(0.90),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: millis(self.0.max()),
        }
    }

    /// The whole distribution, for a plot.
    pub(super) fn points(&self) -> Vec<Point> {
        let values = self.0.iter_quantiles(4);
        let points = values.map(|value| Point {
            ms: millis(value.value_iterated_to()),
            share: value.quantile_iterated_to(),
        });
        points.collect()
    }
}

#[expect(clippy::cast_precision_loss, reason = "times are minutes at most")]
pub(super) fn millis(micros: Micros) -> f64 {
    micros as f64 / 1e3
}
