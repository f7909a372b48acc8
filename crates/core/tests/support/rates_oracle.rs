//! The bound on a workspace's admissions, and the one central bucket that they are compared with.

use bluebellstage_core::rates::Limits;

use super::rates_membership::CLOCK_PPM;

/// Rounding allowed in a whole run: microtokens lost or gained by cuts to whole units.
const ROUNDING: u64 = 1_000_000;

/// Checks that no window of any length holds more than burst + rate x time.
///
/// Kept as one number per span of limits: the largest excess, over all windows that end now, of
/// what was admitted over what the rate allowed. It may never go above the burst.
#[derive(Clone, Debug, Default)]
pub struct Windows {
    spans: Vec<Span>,
    rate: u64,
    at: u64,
    worst: u64,
}

#[derive(Clone, Debug, Default)]
struct Span {
    burst: u64,
    excess: u64,
}

impl Windows {
    /// Limits in force at any instance from now on; a span begins when all agree again.
    pub fn limits(&mut self, now: u64, in_force: impl Iterator<Item = Limits>) {
        self.pass(now);
        let all: Vec<_> = in_force.collect();
        let burst = all.iter().map(|limits| limits.burst.0).max().unwrap_or(0);
        let rate = all.iter().map(|limits| limits.rate.0).max().unwrap_or(0);
        let agree = all.windows(2).all(|pair| pair[0] == pair[1]);
        let last = self.spans.last().map_or(0, |span| span.burst);
        for span in &mut self.spans {
            span.burst = span.burst.max(burst);
        }
        if self.spans.is_empty() || (agree && burst < last) {
            self.spans.push(Span { burst, excess: 0 });
        }
        self.rate = rate;
    }

    pub fn admitted(&mut self, now: u64, tokens: u64) {
        self.pass(now);
        for span in &mut self.spans {
            span.excess += tokens * 1_000_000;
            let bound = span.burst * 1_000_000 + ROUNDING;
            self.worst = self.worst.max(span.excess.saturating_sub(bound));
        }
    }

    pub fn given_back(&mut self, now: u64, tokens: u64) {
        self.pass(now);
        for span in &mut self.spans {
            span.excess = span.excess.saturating_sub(tokens * 1_000_000);
        }
    }

    /// Microtokens by which the worst window was over its bound.
    pub const fn worst_excess(&self) -> u64 {
        self.worst
    }

    fn pass(&mut self, now: u64) {
        let micros = now - self.at;
        self.at = now;
        let accrued = micros * self.rate;
        let drift = accrued * CLOCK_PPM / 1_000_000;
        for span in &mut self.spans {
            span.excess = span.excess.saturating_sub(accrued + drift);
        }
    }
}
