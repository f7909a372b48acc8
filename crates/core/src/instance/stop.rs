//! A planned stop.

use std::time::Duration;

use serde::Serialize;

use crate::{Action, MemberState, Time};

use super::Instance;

/// Beyond the entry answer's age: callers' clocks and connects take a moment.
const ENTRY_MARGIN: Duration = Duration::from_millis(500);

/// How long a stop waits for the platform to take the instance out of the map; after that the other
/// instances will find it silent and drop it.
const PLATFORM_PATIENCE: Duration = Duration::from_secs(30);

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Stopping {
    /// When it was asked for.
    since: Time,
    /// When the map first showed this instance leaving.
    announced: Option<Time>,
    /// The process was told to end.
    ended: bool,
}

impl Instance {
    pub(super) fn stop(&mut self, now: Time) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(Stopping {
            since: now,
            announced: None,
            ended: false,
        });
        self.membership.stop(now);
    }

    /// Goes on with a planned stop.
    ///
    /// Guards against a caller that uses an answer of `/v1/entry` from before the stop and finds
    /// nobody: the instance serves until every such answer has aged out.
    pub(super) fn stop_on(&mut self, now: Time) {
        let leaving = !self.is_listed_active();
        let left = self.membership.has_left();
        let (served, recorded) = (self.flights.is_empty(), self.journal.is_quiet());
        let max_age = self.cfg.entry_max_age + ENTRY_MARGIN;
        let Some(stopping) = self.stopping.as_mut().filter(|stopping| !stopping.ended) else {
            return;
        };
        if leaving && stopping.announced.is_none() {
            stopping.announced = Some(now);
        }
        let aged_out = stopping
            .announced
            .is_some_and(|at| now.since(at) >= max_age);
        let waited = now.since(stopping.since) >= PLATFORM_PATIENCE;
        // Outcomes that the platform could not take in all that time stay in doubt, which is true.
        let idle = served && (recorded || waited);
        if !idle || !(aged_out || waited) {
            return;
        }
        if left || waited {
            stopping.ended = true;
            self.out.push(Action::Exit);
            return;
        }
        self.membership.set_drained(now);
    }

    /// Whether the process was told to end.
    pub(super) fn has_ended(&self) -> bool {
        self.stopping.is_some_and(|stopping| stopping.ended)
    }

    fn is_listed_active(&self) -> bool {
        let own = self.own();
        own.is_member()
            && own
                .map
                .member(&own.local.id)
                .is_some_and(|me| me.state == MemberState::Active)
    }
}
