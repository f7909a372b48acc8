//! Looks for a target that responds to a request.

use std::borrow::Cow;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use rand::Rng;

use crate::decide::adapters::load_wait::{LOAD_REQUEST_INTERVAL, LoadWaitAction, load_wait};
use crate::decide::placement::Pick;
use crate::decide::quarantine::Suspect;
use crate::decide::silence::SEARCH_INTERVAL;
use crate::edge::Edge;

use super::attempts::PickedTarget;
use super::front::{Job, MIN_ATTEMPT_TIME};
use super::log::{LogEvent, event};
use super::open_attempts::{OpenAttempts, Recipient, SentAttempt};
use super::quarantine;
use super::search_outcome::{
    ALL_COLD, ALL_FULL, ALL_RESTING, NO_TARGET, NOT_LOADED, SearchOutcome, TOO_LATE, VERSION_GONE,
};
use super::wait_places::{AfterTurn, Place};

/// What a step of a search led to.
pub(super) enum Step<E: Edge> {
    /// The search is over.
    Found(SearchOutcome<E>),
    /// It goes on.
    GoOn,
    /// An attempt was sent.
    Sent(SentAttempt<E>),
}

/// Which targets a search may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reach {
    /// All that were not tried.
    All,
    /// Only those that are heard: a run goes on meanwhile at a target that is silent.
    Heard,
}

/// State of a search.
#[derive(Debug)]
struct Search<E: Edge> {
    started: Time,
    /// Until when it waits for targets that rest.
    rest_until: Time,
    reach: Reach,
    /// The attempt that was sent last, until it has ended or is silent, and when it was sent.
    awaited: Option<(Recipient, Time)>,
    /// Whether attempts are open. If none is, the outcome of the search is final.
    has_open_attempts: bool,
    /// When it begins again after it has ended without a response.
    paused_until: Option<Time>,
    /// Whether peers are asked before targets.
    is_path_lost: bool,
    /// Its place among the requests that wait for room.
    place: Option<Place<E>>,
}

impl<E: Edge> Search<E> {
    /// Returns which targets it may use now.
    const fn reach(&self) -> Reach {
        if self.has_open_attempts {
            Reach::Heard
        } else {
            self.reach
        }
    }
}

impl<E: Edge> Job<E> {
    /// Sends the request to targets until one responds or no further attempt is possible.
    ///
    /// An attempt whose target is silent goes on until another one has a response. If none has, it is awaited. What is
    /// `open` when the search ends goes on until the caller drops it.
    pub(super) async fn find_response(
        &mut self,
        reach: Reach,
        open: &mut OpenAttempts<E>,
    ) -> SearchOutcome<E> {
        let mut search = self.begin_search(reach);
        let mut fallback = None;
        let mut is_told = false;
        loop {
            search.has_open_attempts = !open.is_empty();
            let step = tokio::select! {
                biased;
                Some(ended) = open.next() => {
                    search.awaited = search.awaited.filter(|(recipient, _)| !ended.is_of(recipient));
                    self.settle(ended).await
                }
                step = self.search(&mut search) => step,
            };
            match step {
                Step::GoOn => {}
                Step::Sent(attempt) => {
                    open.push(attempt.running);
                    search.awaited = Some((attempt.recipient, attempt.sent));
                }
                Step::Found(found) if found.is_final() => return found,
                Step::Found(found) if open.is_empty() => return fallback.unwrap_or(found),
                Step::Found(found) => {
                    if !std::mem::replace(&mut is_told, true) {
                        let took = self.node.now().since(search.started);
                        self.log_not_replaced(found.reason(), took);
                    }
                    search = self.pause_search(search);
                    fallback = found.into_fallback().or(fallback);
                }
            }
        }
    }

    fn begin_search(&mut self, reach: Reach) -> Search<E> {
        let started = self.node.now();
        let timeout = self.time_limit();
        // After a run its caller waits since that has ended or fallen silent.
        let since = if self.runs == 0 {
            self.arrived
        } else {
            started
        };
        self.ticket.set_patience(timeout, since);
        self.ticket.waits = false;
        self.refused.clear();
        self.ask_owners_again();
        Search {
            started,
            rest_until: started + self.ticket.route().target_latency / 2,
            reach,
            awaited: None,
            has_open_attempts: false,
            paused_until: None,
            is_path_lost: false,
            place: None,
        }
    }

    /// Returns a search that begins later. What is awaited stays so.
    fn pause_search(&mut self, ended: Search<E>) -> Search<E> {
        let Search { reach, awaited, .. } = ended;
        let search = self.begin_search(reach);
        let begins_at = search.started + SEARCH_INTERVAL;
        Search {
            started: begins_at,
            awaited,
            paused_until: Some(begins_at),
            ..search
        }
    }

    /// Waits until another attempt may be sent.
    async fn until_due(&mut self, search: &mut Search<E>) {
        if let Some((recipient, sent)) = &search.awaited {
            self.until_suspected(recipient, *sent).await;
            let fresh = self.begin_search(search.reach);
            *search = Search {
                has_open_attempts: true,
                ..fresh
            };
        }
        if let Some(until) = search.paused_until {
            tokio::time::sleep(until.since(self.node.now())).await;
            search.paused_until = None;
        }
        if search.has_open_attempts && !self.may_retry() {
            tokio::time::sleep(self.time_left()).await;
        }
    }

    async fn search(&mut self, search: &mut Search<E>) -> Step<E> {
        self.until_due(search).await;
        loop {
            if self.time_left() < MIN_ATTEMPT_TIME {
                return Step::Found(self.out_of_time());
            }
            search.is_path_lost |= self.is_path_lost();
            if search.is_path_lost {
                match self.forward_or_return() {
                    Step::GoOn => {}
                    step => return step,
                }
            }
            let now = self.node.now();
            let draw = rand::rng().random_range(0.0..1.0);
            if let Some(refused) = self.refused_suspect() {
                return Step::Found(SearchOutcome::Quarantined(refused));
            }
            let pick = self.pick(search.reach(), draw, now);
            if self.returns_from_owner(&pick) {
                return Step::Found(self.unserved(ALL_FULL));
            }
            if search.place.is_none()
                && let Some(back_in) = self.gives_way(&pick, now)
            {
                return Step::Found(SearchOutcome::BeyondShare(back_in));
            }
            if let Pick::Late { load_at, .. } = &pick {
                self.request_loads(load_at.clone());
            }
            match self.wait_for_turn(&mut search.place, &pick, now).await {
                AfterTurn::GoOn => {}
                AfterTurn::PickAgain => {
                    self.ask_owners_again();
                    continue;
                }
                AfterTurn::Refused(found) => return Step::Found(found),
            }
            match pick {
                Pick::Send {
                    target,
                    version,
                    trial,
                    load_at,
                } => {
                    self.request_loads(load_at);
                    return self.send_picked(PickedTarget {
                        target,
                        version,
                        trial,
                        charged_at: None,
                    });
                }
                Pick::Load(target) => {
                    if let Some(refused) = self.wait_for_load(target, search.started, now).await {
                        return Step::Found(refused);
                    }
                }
                Pick::Resting { left }
                    if now + left < search.rest_until && !self.is_for_owner() =>
                {
                    tokio::time::sleep(left).await;
                }
                pick => return Step::Found(self.nothing_found(&pick, now)),
            }
        }
    }

    /// Waits for a while for the request's adapter. Returns the outcome if the request waits no longer.
    async fn wait_for_load(
        &mut self,
        target: TargetId,
        started: Time,
        now: Time,
    ) -> Option<SearchOutcome<E>> {
        match self.load_wait(started, now) {
            LoadWaitAction::RequestLoad => {
                self.send_adapter_request(target, self.load_request());
            }
            LoadWaitAction::Wait => {}
            LoadWaitAction::Refuse => {
                self.log_failed_attempt(&target, "adapter not loaded in time");
                return Some(self.unserved(NOT_LOADED));
            }
        }
        self.node.loader_work.notify_waiters();
        let changed = self.node.changed.notified();
        let _woken = tokio::time::timeout(LOAD_REQUEST_INTERVAL, changed).await;
        self.load_waited += self.node.now().since(now);
        None
    }

    /// Returns the outcome of a search whose pick is no target.
    fn nothing_found(&self, pick: &Pick, now: Time) -> SearchOutcome<E> {
        match pick {
            Pick::Late { excess, .. } => self.late(*excess),
            Pick::Cold { left } => self.cold(*left),
            Pick::Resting { left } => self.resting(*left),
            Pick::NoTarget if self.is_version_gone(now) => self.version_gone(),
            Pick::NoTarget if self.runs == 0 => SearchOutcome::NoTarget,
            Pick::NoTarget => self.unserved(NO_TARGET),
            Pick::Full | Pick::Send { .. } | Pick::Load(_) => self.unserved(ALL_FULL),
        }
    }

    /// Returns why the request must not be sent: itself, or a part of its prompt.
    pub(super) fn refused_suspect(&self) -> Option<Suspect> {
        quarantine::refused_suspect(&self.node, self.fingerprint, &self.call)
    }

    fn pick(&self, reach: Reach, draw: f64, now: Time) -> Pick {
        let request = self.fingerprint;
        let mut tables = self.node.tables();
        let mut excluded = Cow::from(&self.tried);
        for left_out in [&self.refused, &self.returned] {
            if !left_out.is_empty() {
                excluded.to_mut().extend_from_slice(left_out);
            }
        }
        if reach == Reach::Heard {
            excluded.to_mut().extend(tables.health.silent(now).cloned());
        }
        let pick = tables.pick_apart(request, &self.ticket, &self.call, &excluded, draw, now);
        match pick {
            // The owners that returned the request may have room in a moment.
            Pick::NoTarget | Pick::Resting { .. } if !self.returned.is_empty() => Pick::Full,
            pick => pick,
        }
    }

    fn load_wait(&self, started: Time, now: Time) -> LoadWaitAction {
        let route = self.ticket.route();
        let is_in_vain = self.node.tables().is_load_in_vain(&self.ticket, now);
        load_wait(
            now.since(started),
            self.call.timeout.unwrap_or(route.timeout),
            route.target_latency,
            is_in_vain,
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
        self.ticket.has_begun() && !self.node.tables().has_serving_target(&self.ticket, now)
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
