//! What has been seen of the speed of a target or of a service's targets, where older work weighs less.

use std::time::Duration;

use bluebellstage_core::Time;

use super::report::{PaceReport, Work};

/// Time after which work weighs half. A target that turns slow is known within it.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Evidence that counts for the mean of a service before a target's own, in seconds of work.
const PRIOR_SECONDS: f64 = 0.5;
/// Work below this time is forgotten, in seconds.
const NEGLIGIBLE_SECONDS: f64 = 0.002;

/// An amount of work and the time that it took.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AgedWork {
    pub(super) amount: f64,
    pub(super) seconds: f64,
}

impl AgedWork {
    fn scale(&mut self, factor: f64) {
        self.amount *= factor;
        self.seconds *= factor;
    }

    pub(super) fn add(&mut self, other: Self) {
        self.amount += other.amount;
        self.seconds += other.seconds;
    }

    /// Returns the amount per second; `None` without evidence.
    fn rate(self) -> Option<f64> {
        (self.seconds > 0.0 && self.amount > 0.0).then(|| self.amount / self.seconds)
    }

    /// Returns the amount per second, which is that of `all` as far as this work is too little to tell.
    pub(super) fn rate_among(self, all: Self) -> Option<f64> {
        let mean = all.rate()?;
        Some((self.amount + mean * PRIOR_SECONDS) / (self.seconds + PRIOR_SECONDS))
    }
}

impl From<Work> for AgedWork {
    fn from(work: Work) -> Self {
        Self {
            amount: f64::from(work.amount),
            seconds: f64::from(work.millis) / 1_000.0,
        }
    }
}

/// Recent work of a target, or of all targets of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Evidence {
    pub(super) prompts: AgedWork,
    pub(super) events: AgedWork,
    pub(super) long_gaps: f64,
    at: Time,
}

impl Evidence {
    /// Returns what is left of it at `now`.
    pub(super) fn aged(mut self, now: Time) -> Self {
        let factor = decay(now.since(self.at));
        self.prompts.scale(factor);
        self.events.scale(factor);
        self.long_gaps *= factor;
        self.at = self.at.max(now);
        self
    }

    /// Returns what a report that is `age` old still shows.
    pub(super) fn of(report: &PaceReport, age: Duration, now: Time) -> Self {
        let reported = Self {
            prompts: report.prompts.into(),
            events: report.events.into(),
            long_gaps: f64::from(report.long_gaps),
            at: now - age,
        };
        reported.aged(now)
    }

    /// Adds evidence of the same time.
    pub(super) fn add(&mut self, other: &Self) {
        self.prompts.add(other.prompts);
        self.events.add(other.events);
        self.long_gaps += other.long_gaps;
    }

    pub(super) fn is_negligible(&self) -> bool {
        let work = [self.prompts, self.events];
        work.iter().all(|work| work.seconds < NEGLIGIBLE_SECONDS)
    }

    /// Packs it for a message.
    pub(super) fn report(&self) -> PaceReport {
        let events = Work::pack(self.events.amount, self.events.seconds);
        let long_gaps = Work::pack(self.long_gaps, self.events.seconds);
        PaceReport {
            prompts: Work::pack(self.prompts.amount, self.prompts.seconds),
            events,
            long_gaps: long_gaps.amount.min(events.amount),
        }
    }
}

fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}
