//! Load requests: adapters that requests wait for.

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, Time};

use crate::decide::adapters::load_wait::LOAD_REQUEST_INTERVAL;
use crate::decide::ranked_tokens::{CLASSES, RankClass};

/// Age after which a load request that is not repeated is dropped: three repeats were lost or late.
///
/// A load for requests that have meanwhile been refused would take a slot and weight store capacity
/// from one that is still needed.
const LOAD_REQUEST_TTL: Duration = Duration::from_millis(200);
/// Time constant over which repeats are counted: two repeat intervals.
const REPEAT_COUNT_WINDOW: Duration = Duration::from_millis(120);

/// Time after which loads for more urgent requests no longer come first: half of the time for which a request waits
/// for its adapter.
const MAX_CLASS_DELAY: Duration = Duration::from_millis(500);

/// Request to load an adapter that requests wait for.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadRequest {
    pub(super) version: Option<AdapterVersion>,
    pub(super) first_requested: Time,
    last_requested: Time,
    /// When a request of each class of ranks last asked for it.
    requested_by: [Option<Time>; CLASSES],
    /// Number of times it was recorded, decaying exponentially over [`REPEAT_COUNT_WINDOW`].
    decayed_repeats: f64,
}

impl LoadRequest {
    pub(super) fn new(now: Time) -> Self {
        Self {
            version: None,
            first_requested: now,
            last_requested: now,
            requested_by: [None; CLASSES],
            decayed_repeats: 0.0,
        }
    }

    /// Records that a request waits for the adapter, for the first time or again.
    pub(super) fn record_repeat(
        &mut self,
        version: Option<AdapterVersion>,
        class: RankClass,
        now: Time,
    ) {
        self.requested_by[class.idx()] = Some(now);
        let passed = now.since(self.last_requested).as_secs_f64();
        let faded = (-passed / REPEAT_COUNT_WINDOW.as_secs_f64()).exp();
        self.decayed_repeats = self.decayed_repeats * faded + 1.0;
        self.version = self.version.max(version);
        self.last_requested = now;
    }

    /// Estimates how many requests wait: each repeats its load request every
    /// [`LOAD_REQUEST_INTERVAL`].
    pub(super) fn estimated_requests(&self) -> u64 {
        let faded =
            (-LOAD_REQUEST_INTERVAL.as_secs_f64() / REPEAT_COUNT_WINDOW.as_secs_f64()).exp();
        let single_requester = 1.0 / (1.0 - faded);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small count, never negative"
        )]
        let count = (self.decayed_repeats / single_requester).round() as u64;
        count.max(1)
    }

    /// Returns the most urgent class of the requests that wait. One that has waited for long counts as the first.
    pub(super) fn class(&self, now: Time) -> RankClass {
        if now.since(self.first_requested) >= MAX_CLASS_DELAY {
            return RankClass::default();
        }
        let is_waiting = |at: &Option<Time>| at.is_some_and(|at| now.since(at) < LOAD_REQUEST_TTL);
        RankClass::after(self.requested_by.iter().position(is_waiting).unwrap_or(0))
    }

    /// Lets other load requests go first, so that one adapter can't block an engine.
    pub(super) fn move_to_back(&mut self) {
        self.first_requested = self.last_requested;
        self.decayed_repeats = 0.0;
    }

    pub(super) fn is_active(&self, now: Time) -> bool {
        now.since(self.last_requested) < LOAD_REQUEST_TTL
    }
}
