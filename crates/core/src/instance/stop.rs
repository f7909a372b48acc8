//! Planned stop of an instance.

use std::time::Duration;

use serde::Serialize;

use crate::{Action, MemberState, Time};

use super::Instance;

/// Added to the maximum age of an entry response, for callers' clock error and connection setup.
const ENTRY_RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// How long a stop waits until the platform has removed the instance from the map.
///
/// After that the process ends anyway; the other instances then find it unresponsive and remove it.
const MAP_REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Stopping {
    /// When the stop was requested.
    since: Time,
    /// When the map first listed this instance as leaving.
    announced: Option<Time>,
    /// Whether the shell was told to end the process.
    ended: bool,
}

impl Instance {
    pub(super) fn begin_stop(&mut self, now: Time) {
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

    /// Advances a planned stop.
    ///
    /// The instance serves callers until every `/v1/entry` response from before the stop has
    /// expired. Otherwise a caller that uses such a response could not connect.
    pub(super) fn advance_stop(&mut self, now: Time) {
        let is_leaving = !self.is_listed_active();
        let is_removed = self.membership.has_left();
        let (is_drained, is_recorded) = (self.active_requests.is_empty(), self.journal.is_quiet());
        let max_age = self.cfg.entry_max_age + ENTRY_RESPONSE_MARGIN;
        let Some(stopping) = self.stopping.as_mut().filter(|stopping| !stopping.ended) else {
            return;
        };
        if is_leaving && stopping.announced.is_none() {
            stopping.announced = Some(now);
        }
        let has_expired = stopping
            .announced
            .is_some_and(|at| now.since(at) >= max_age);
        let has_timed_out = now.since(stopping.since) >= MAP_REMOVAL_TIMEOUT;
        // Outcomes that could not be recorded until the timeout stay in doubt, which is correct.
        let is_idle = is_drained && (is_recorded || has_timed_out);
        if !is_idle || !(has_expired || has_timed_out) {
            return;
        }
        if is_removed || has_timed_out {
            stopping.ended = true;
            self.out.push(Action::Exit);
            return;
        }
        self.membership.set_drained(now);
    }

    /// Returns whether the shell was told to end the process.
    pub(super) fn has_ended(&self) -> bool {
        self.stopping.is_some_and(|stopping| stopping.ended)
    }

    fn is_listed_active(&self) -> bool {
        let ownership = self.ownership();
        ownership.is_member()
            && ownership
                .map
                .member(&ownership.local.id)
                .is_some_and(|local| local.state == MemberState::Active)
    }
}
