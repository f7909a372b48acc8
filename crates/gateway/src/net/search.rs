//! Looks for a target that responds to a request.

use std::time::Duration;

use bluebellstage_core::Time;
use rand::Rng;

use crate::decide::load_wait::{LOAD_REQUEST_INTERVAL, LoadWaitAction, load_wait};
use crate::decide::placement::Pick;
use crate::decide::quarantine::Suspect;
use crate::edge::Edge;

use super::front::{Job, MIN_ATTEMPT_TIME};
use super::log::{LogEvent, event};
use super::quarantine;
use super::search_outcome::{
    ALL_COLD, ALL_FULL, ALL_RESTING, NO_TARGET, NOT_LOADED, SearchOutcome, TOO_LATE, VERSION_GONE,
};
use super::wait_places::AfterTurn;

impl<E: Edge> Job<E> {
    /// Sends the request to targets until one responds or no further attempt is possible.
    pub(super) async fn find_response(&mut self) -> SearchOutcome<E> {
        let route_latency = self.ticket.route().target_latency;
        let started = self.node.now();
        let rest_until = started + route_latency / 2;
        let timeout = self.time_limit();
        // After a run its caller waits since that ended.
        let since = if self.runs == 0 {
            self.arrived
        } else {
            started
        };
        self.ticket.set_patience(timeout, since);
        self.ticket.waits = false;
        let mut place = None;
        loop {
            if self.time_left() < MIN_ATTEMPT_TIME {
                return self.out_of_time();
            }
            if let Some(found) = self.forward_if_partitioned().await {
                return found;
            }
            let now = self.node.now();
            let draw = rand::rng().random_range(0.0..1.0);
            if let Some(refused) = self.refused_suspect() {
                return SearchOutcome::Quarantined(refused);
            }
            let pick = self.pick(draw, now);
            if place.is_none()
                && let Some(back_in) = self.gives_way(&pick, now)
            {
                return SearchOutcome::BeyondShare(back_in);
            }
            if let Pick::Late { load_at, .. } = &pick {
                self.request_loads(load_at.clone());
            }
            match self.wait_for_turn(&mut place, &pick, now).await {
                AfterTurn::GoOn => {}
                AfterTurn::PickAgain => continue,
                AfterTurn::Refused(found) => return found,
            }
            match pick {
                Pick::Send {
                    target,
                    version,
                    trial,
                    load_at,
                } => {
                    self.request_loads(load_at);
                    if let Some(found) = self.try_target(target, version, trial).await {
                        return found;
                    }
                }
                Pick::Load(target) => {
                    match self.load_wait(started, now) {
                        LoadWaitAction::RequestLoad => {
                            self.send_adapter_request(target, self.load_request());
                        }
                        LoadWaitAction::Wait => {}
                        LoadWaitAction::Refuse => {
                            self.log_failed_attempt(&target, "adapter not loaded in time");
                            return self.unserved(NOT_LOADED);
                        }
                    }
                    self.node.loader_work.notify_waiters();
                    let changed = self.node.changed.notified();
                    let _woken = tokio::time::timeout(LOAD_REQUEST_INTERVAL, changed).await;
                    self.load_waited += self.node.now().since(now);
                }
                Pick::Late { excess, .. } => return self.late(excess),
                Pick::Cold { left } => return self.cold(left),
                Pick::Resting { left } if now + left < rest_until => {
                    tokio::time::sleep(left).await;
                }
                Pick::Resting { left } => return self.resting(left),
                Pick::Full => return self.unserved(ALL_FULL),
                Pick::NoTarget if self.is_version_gone(now) => return self.version_gone(),
                Pick::NoTarget if self.runs == 0 => return SearchOutcome::NoTarget,
                Pick::NoTarget => return self.unserved(NO_TARGET),
            }
        }
    }

    /// Returns why the request must not be sent: itself, or a part of its prompt.
    pub(super) fn refused_suspect(&self) -> Option<Suspect> {
        quarantine::refused_suspect(&self.node, self.fingerprint, &self.call)
    }

    fn pick(&self, draw: f64, now: Time) -> Pick {
        let request = self.fingerprint;
        let mut tables = self.node.tables();
        tables.pick_apart(request, &self.ticket, &self.call, &self.tried, draw, now)
    }

    fn load_wait(&self, started: Time, now: Time) -> LoadWaitAction {
        let route = self.ticket.route();
        let is_congested = self.node.tables().is_loading_congested(&self.ticket, now);
        load_wait(
            now.since(started),
            self.call.timeout.unwrap_or(route.timeout),
            route.target_latency,
            is_congested,
        )
    }

    pub(super) fn late(&self, excess: Duration) -> SearchOutcome<E> {
        if self.runs == 0 {
            SearchOutcome::QueueTooLong(excess)
        } else {
            SearchOutcome::MayHaveRun(TOO_LATE)
        }
    }

    fn cold(&self, left: Duration) -> SearchOutcome<E> {
        if self.runs == 0 {
            SearchOutcome::Cold(left)
        } else {
            SearchOutcome::MayHaveRun(ALL_COLD)
        }
    }

    fn resting(&self, left: Duration) -> SearchOutcome<E> {
        if self.runs == 0 {
            SearchOutcome::Resting(left)
        } else {
            SearchOutcome::MayHaveRun(ALL_RESTING)
        }
    }

    fn is_version_gone(&self, now: Time) -> bool {
        let is_held = self.ticket.software.is_some();
        is_held && !self.node.tables().has_serving_target(&self.ticket, now)
    }

    /// Reports that no target of the version that began the stream may get requests.
    fn version_gone(&self) -> SearchOutcome<E> {
        self.node.metrics.streams.version_was_gone();
        let software = self.ticket.software.as_ref().map(ToString::to_string);
        event(
            LogEvent::SoftwareGone,
            &[
                ("request", &self.call.id),
                ("service", self.ticket.service.as_str()),
                ("software", &software.unwrap_or_default()),
            ],
        );
        if self.runs == 0 {
            SearchOutcome::VersionGone
        } else {
            SearchOutcome::MayHaveRun(VERSION_GONE)
        }
    }

    pub(super) fn unserved(&self, why: &'static str) -> SearchOutcome<E> {
        if self.runs == 0 {
            SearchOutcome::NotRun(why)
        } else {
            SearchOutcome::MayHaveRun(why)
        }
    }

    fn out_of_time(&self) -> SearchOutcome<E> {
        if self.runs == 0 {
            SearchOutcome::NotRun("no target took it in time")
        } else {
            SearchOutcome::TimedOut
        }
    }
}
