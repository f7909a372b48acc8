//! The bound on a workspace's admissions.

use bluebellstage_core::rates::Limits;

use super::rates_membership::CLOCK_PPM;

/// Rounding error allowed in a whole run, in microtokens, for cuts to whole units.
const ROUNDING: u64 = 1_000_000;

/// Checks that no window of any length admits more than burst + rate x time.
///
/// Keeps one number for each span of limits: the maximum excess, over all windows that end now, of
/// the admitted tokens over the tokens allowed by the rate. It must never exceed the burst.
#[derive(Clone, Debug, Default)]
pub struct WindowBound {
    spans: Vec<LimitsSpan>,
    rate: u64,
    updated_at: u64,
    worst_excess: u64,
}

#[derive(Clone, Debug, Default)]
struct LimitsSpan {
    burst: u64,
    excess: u64,
}

impl WindowBound {
    /// Sets the limits in force at any instance from now on. A new span starts when all instances
    /// have the same limits again and the burst is lower.
    pub fn limits(&mut self, now: u64, in_force: impl Iterator<Item = Limits>) {
        self.advance(now);
        let all: Vec<_> = in_force.collect();
        let burst = all.iter().map(|limits| limits.burst.0).max().unwrap_or(0);
        let rate = all.iter().map(|limits| limits.rate.0).max().unwrap_or(0);
        let is_uniform = all.windows(2).all(|pair| pair[0] == pair[1]);
        let last_burst = self.spans.last().map_or(0, |span| span.burst);
        for span in &mut self.spans {
            span.burst = span.burst.max(burst);
        }
        if self.spans.is_empty() || (is_uniform && burst < last_burst) {
            self.spans.push(LimitsSpan { burst, excess: 0 });
        }
        self.rate = rate;
    }

    pub fn admitted(&mut self, now: u64, tokens: u64) {
        self.advance(now);
        for span in &mut self.spans {
            span.excess += tokens * 1_000_000;
            let bound = span.burst * 1_000_000 + ROUNDING;
            self.worst_excess = self.worst_excess.max(span.excess.saturating_sub(bound));
        }
    }

    pub fn refunded(&mut self, now: u64, tokens: u64) {
        self.advance(now);
        for span in &mut self.spans {
            span.excess = span.excess.saturating_sub(tokens * 1_000_000);
        }
    }

    /// Returns the microtokens by which the worst window exceeded its bound.
    pub const fn worst_excess(&self) -> u64 {
        self.worst_excess
    }

    fn advance(&mut self, now: u64) {
        let micros = now - self.updated_at;
        self.updated_at = now;
        let accrued = micros * self.rate;
        let drift = accrued * CLOCK_PPM / 1_000_000;
        for span in &mut self.spans {
            span.excess = span.excess.saturating_sub(accrued + drift);
        }
    }
}
