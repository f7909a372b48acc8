//! Zipf's law over adapters, in an order that may be drawn anew.

use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// Draws adapters by popularity.
#[derive(Debug)]
pub(super) struct ZipfDraw {
    // Cumulative weights by rank.
    cumulative: Vec<f64>,
    // Which adapter holds which rank.
    order: Vec<usize>,
}

impl ZipfDraw {
    pub(super) fn new(count: usize, exponent: f64, rng: &mut ChaCha8Rng) -> Self {
        let mut total = 0.0;
        let mut rank = 0.0_f64;
        let cumulative = (0..count).map(|_| {
            rank += 1.0;
            total += rank.powf(-exponent);
            total
        });
        let mut draw = Self {
            cumulative: cumulative.collect(),
            order: (0..count).collect(),
        };
        draw.shift(rng);
        draw
    }

    /// Draws the order of popularity anew.
    pub(super) fn shift(&mut self, rng: &mut ChaCha8Rng) {
        self.order.shuffle(rng);
    }

    /// The number of an adapter; none where there are none.
    pub(super) fn draw(&self, rng: &mut ChaCha8Rng) -> Option<usize> {
        let total = self.cumulative.last()?;
        let point = rng.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|sum| *sum <= point);
        self.order.get(rank.min(self.order.len() - 1)).copied()
    }
}
