//! What instances report to each other about the speed of targets.

use serde::{Deserialize, Serialize};

use crate::decide::rendezvous::ShortHash;

/// Maximum amount and time of work in one instance's report. Those of a thousand instances add up to less than
/// what the sum holds.
const MAX_REPORTED: u32 = 1 << 22;
/// Maximum amount of work per millisecond; no target is as fast.
pub(super) const MAX_AMOUNT_PER_MILLI: u32 = 10_000;
/// Maximum time of a unit of work in milliseconds; no caller waits as long.
const MAX_MILLIS_PER_UNIT: u32 = 120_000;

/// An amount of work and the time that it took. Those of several instances add up.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Work {
    /// Amount, in the unit of the kind of work.
    pub amount: u32,
    /// Time in milliseconds.
    pub millis: u32,
}

impl Work {
    /// Packs an amount and its time in seconds, in their proportion if they are too large. What rounds to no amount
    /// or no time is left out.
    #[must_use]
    pub fn pack(amount: f64, seconds: f64) -> Self {
        let millis = seconds * 1_000.0;
        let max = f64::from(MAX_REPORTED);
        let factor = (max / amount.max(millis).max(max)).min(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "rounded and bounded above; a cast of a float saturates at zero"
        )]
        let [amount, millis] = [amount, millis].map(|value| (value * factor).round() as u32);
        let work = Self { amount, millis };
        if work.is_plausible() {
            work
        } else {
            Self::default()
        }
    }

    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.amount = self.amount.saturating_add(other.amount);
        self.millis = self.millis.saturating_add(other.millis);
    }

    /// Subtracts other work.
    pub fn subtract(&mut self, other: Self) {
        self.amount = self.amount.saturating_sub(other.amount);
        self.millis = self.millis.saturating_sub(other.millis);
    }

    /// Whether a target may have done it: some work in some time, neither too fast nor too slow.
    #[must_use]
    pub fn is_plausible(self) -> bool {
        let [amount, millis] = [self.amount, self.millis].map(u64::from);
        amount <= millis * u64::from(MAX_AMOUNT_PER_MILLI)
            && millis <= amount * u64::from(MAX_MILLIS_PER_UNIT)
    }

    const fn is_within_bound(self) -> bool {
        self.amount <= MAX_REPORTED && self.millis <= MAX_REPORTED
    }
}

/// Recent work of a target, as one or several instances have seen it. Older work weighs less.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct PaceReport {
    /// Prompt tokens that were queued before an event stream began, and the time until its first event.
    pub prompts: Work,
    /// Events after the first one of each stream, and the time between them.
    pub events: Work,
    /// Gaps between events that were longer than the route's target gap.
    pub long_gaps: u32,
}

impl PaceReport {
    const fn work(&self) -> [Work; 2] {
        [self.prompts, self.events]
    }

    /// Adds what other instances have seen.
    pub fn add(&mut self, other: &Self) {
        self.prompts.add(other.prompts);
        self.events.add(other.events);
        self.long_gaps = self.long_gaps.saturating_add(other.long_gaps);
    }

    /// Subtracts what another instance has seen.
    pub fn subtract(&mut self, other: &Self) {
        self.prompts.subtract(other.prompts);
        self.events.subtract(other.events);
        self.long_gaps = self.long_gaps.saturating_sub(other.long_gaps);
    }

    /// Whether a target may have done what a sum shows.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        self.work().into_iter().all(Work::is_plausible) && self.long_gaps <= self.events.amount
    }

    /// Whether one instance may have seen it.
    #[must_use]
    pub fn is_plausible_of_one(&self) -> bool {
        let is_bounded = self.work().into_iter().all(Work::is_within_bound);
        is_bounded && self.is_plausible()
    }
}

/// Reports on targets, by the hash of their incarnation.
pub type PaceReports = Vec<(ShortHash, PaceReport)>;
