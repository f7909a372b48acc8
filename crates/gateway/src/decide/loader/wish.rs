//! Wishes of requests that wait for an adapter.

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, Time};

use crate::decide::load_wait::ASK_AGAIN;

/// Age at which a wish that nobody repeated is dropped: three repeats are lost or late.
///
/// A load for requests that were refused meanwhile serves nobody, and takes a place and a turn at the
/// weight store from one that would.
const WISH_LASTS: Duration = Duration::from_millis(200);
/// Span over which repeats are counted: two of them.
const COUNT_SPAN: Duration = Duration::from_millis(120);

/// An adapter that requests wait for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wish {
    pub(super) version: Option<AdapterVersion>,
    pub(super) first: Time,
    last: Time,
    /// Utterances, each fading over the span.
    heat: f64,
}

impl Wish {
    pub(super) fn new(now: Time) -> Self {
        Self {
            version: None,
            first: now,
            last: now,
            heat: 0.0,
        }
    }

    /// A request wants it, again or for the first time.
    pub(super) fn uttered(&mut self, version: Option<AdapterVersion>, now: Time) {
        let passed = now.since(self.last).as_secs_f64();
        let faded = (-passed / COUNT_SPAN.as_secs_f64()).exp();
        self.heat = self.heat * faded + 1.0;
        self.version = self.version.max(version);
        self.last = now;
    }

    /// Requests that wait, about: each repeats its wish every [`ASK_AGAIN`].
    pub(super) fn waiting(&self) -> u64 {
        let faded = (-ASK_AGAIN.as_secs_f64() / COUNT_SPAN.as_secs_f64()).exp();
        let of_one = 1.0 / (1.0 - faded);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small count, never negative"
        )]
        let count = (self.heat / of_one).round() as u64;
        count.max(1)
    }

    /// Others go first, so that one adapter can't hold up an engine.
    pub(super) fn put_back(&mut self) {
        self.first = self.last;
        self.heat = 0.0;
    }

    pub(super) fn is_alive(&self, now: Time) -> bool {
        now.since(self.last) < WISH_LASTS
    }
}
