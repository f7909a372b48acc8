//! Picks the target of a request from a list of candidates.

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, FailureDomain, TargetId, Time};

use super::adapters::adapter::RequestedModel;
use super::adapters::choice::pick_for_adapter;
use super::adapters::loader::AdapterSlots;
use super::adapters::residency::Residency;
use super::adapters::versions::Versions;
use super::health::{Health, HealthState};
use super::pace::Speed;
use super::rendezvous::{name_hash, weight};
use super::target::Target;

/// Utilization of an engine, as a fraction of its slots, up to which requests stay where their
/// adapter and prompt prefix are. An engine's step takes little longer with all slots taken than
/// with one, so a second replica is worthwhile only at high utilization.
const MAX_AFFINITY_UTILIZATION: f64 = 0.85;
/// Utilization above which no further adapter is loaded on an engine.
const MAX_REPLICA_UTILIZATION: f64 = 0.8;
/// Wait for queued prompts, as a fraction of the route's target latency, up to which requests stay
/// on an engine. Long prompts can saturate an engine when a fifth of its slots is taken. A replica
/// costs a load and a slot, so none is made for each short queue.
const MAX_AFFINITY_WAIT_FRACTION: f64 = 0.5;
/// The same wait, above which no replica is loaded on an engine.
const MAX_REPLICA_WAIT_FRACTION: f64 = 0.3;
/// Time to the first event, as a fraction of the route's target latency, above which a request is
/// refused if nothing can start it sooner. A longer queue makes all requests in it late and serves
/// no more of them. It is a little over 1 because information about queues is out of date.
pub(super) const MAX_START_FRACTION: f64 = 1.25;
/// Engines whose predicted times to the first event differ by less are taken as equally fast: their queues are known
/// only as they were a moment ago.
const PREDICTION_STEP: Duration = Duration::from_millis(50);
/// Cost of a plain request in another failure domain, as a fraction of a slot's work.
const REMOTE_DOMAIN_COST: f64 = 0.15;
/// Cost of an idle target, in the same unit; with it a fast target is preferred over a slow one.
const BASE_COST: f64 = 0.1;
/// Latency assumed for a target without outcomes, in seconds.
const MIN_LATENCY_SECONDS: f64 = 0.01;

/// A target and what this instance knows of its load.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The target.
    pub target: &'a Target,
    /// Requests in flight there from all instances, as far as known.
    pub in_flight: u32,
    /// Its speed.
    pub speed: Speed,
    /// Time until the prompts queued there that come before the request have been processed.
    pub queue_wait: Duration,
    /// Time until all prompts queued there have been processed.
    pub prompt_backlog: Duration,
    /// Time to process the request's own prompt.
    pub prompt_time: Duration,
    /// Longest time that a request recently took to start there.
    pub recent_max_wait: Duration,
    /// Whether this instance may open or reuse a connection.
    pub can_connect: bool,
    /// Whether the instance that orders loads there can be reached.
    pub can_load: bool,
    /// Its adapter slots.
    pub adapter_slots: AdapterSlots,
}

/// How late, and at which load, a request may begin at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartTerms {
    /// Longest time until its first event.
    pub limit: Duration,
    /// Fraction of an engine's capacity that it may use up; the rest is left to others.
    pub room: f64,
}

/// Context of a selection apart from the candidates.
#[derive(Clone, Copy, Debug)]
pub struct PickContext<'a> {
    /// Health of targets.
    pub health: &'a Health,
    /// Resident adapters of engines.
    pub residency: &'a Residency,
    /// Newest adapter versions.
    pub versions: &'a Versions,
    /// Failure domain of this instance.
    pub failure_domain: &'a FailureDomain,
    /// Target time to the first event on the request's route.
    pub target_latency: Duration,
    /// How late, and at which load, the request may begin.
    pub terms: StartTerms,
    /// Strictest target gap between events on the routes of the service; `None` if they have none, or if all engines
    /// are about equally fast.
    pub target_gap: Option<Duration>,
    /// Engine on which the adapter was recently requested.
    pub load_requested_at: Option<&'a TargetId>,
    /// Random number between 0 and 1, evenly distributed.
    pub sample: f64,
    /// Current time.
    pub now: Time,
}

/// Result of picking a target for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Pick {
    /// Send the request to this target.
    Send {
        /// The target.
        target: TargetId,
        /// Version of the adapter there.
        version: Option<AdapterVersion>,
        /// Whether the request is a trial of a target that failed.
        trial: bool,
        /// Other engines that should load the adapter as well.
        load_at: Vec<TargetId>,
    },
    /// Request a load of the adapter there and pick again.
    Load(TargetId),
    /// All targets that could run the request are full.
    Full,
    /// Engines that hold the adapter would start the request too late.
    Late {
        /// The least busy of them.
        target: TargetId,
        /// How much too late it would start the request.
        excess: Duration,
        /// Engines that should load the adapter as well.
        load_at: Vec<TargetId>,
    },
    /// All targets that could run the request are cold.
    Cold {
        /// Time until the first of them is warm.
        left: Duration,
    },
    /// All targets that could run the request have asked for rest.
    Resting {
        /// Time until the first of them may get a request.
        left: Duration,
    },
    /// No target can run the request.
    NoTarget,
}

impl Candidate<'_> {
    fn utilization(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.target.slots.max(1))
    }

    /// Returns the wait for all queued prompts as a fraction of the route's target latency. Those of later ranks count
    /// as well: they are delayed by the request.
    fn relative_wait(&self, cx: &PickContext<'_>) -> f64 {
        relative(self.prompt_backlog, cx)
    }

    /// Returns the load of the engine for requests on a resident adapter or model; from 1 on, other
    /// engines are preferred.
    pub(super) fn congestion(&self, cx: &PickContext<'_>) -> f64 {
        let wait_ratio = self.relative_wait(cx) / MAX_AFFINITY_WAIT_FRACTION;
        let load = (self.utilization() / MAX_AFFINITY_UTILIZATION).max(wait_ratio);
        load.max(self.relative_gap(cx))
    }

    /// Returns the predicted time to a request's first event in steps of [`PREDICTION_STEP`]; zero if
    /// [`PickContext::target_gap`] is `None`.
    pub(super) fn predicted_steps(&self, cx: &PickContext<'_>) -> u128 {
        if cx.target_gap.is_none() {
            return 0;
        }
        let predicted = self.prompt_backlog + self.prompt_time + self.speed.event_time();
        predicted.as_millis() / PREDICTION_STEP.as_millis()
    }

    /// Returns the longest gap between two events that the streams there would see with the request, as a fraction
    /// of the target gap: the prompts that are processed between the two delay all streams.
    pub(super) fn relative_gap(&self, cx: &PickContext<'_>) -> f64 {
        let Some(target_gap) = cx.target_gap.filter(|_| self.in_flight > 0) else {
            return 0.0;
        };
        let gap = self.prompt_backlog + self.prompt_time + self.speed.event_time();
        gap.as_secs_f64() / target_gap.as_secs_f64().max(MIN_LATENCY_SECONDS)
    }

    /// Returns the load of the engine like [`Self::congestion`], but counts only the prompts that come before the
    /// request, and no gaps.
    pub(super) fn congestion_ahead(&self, cx: &PickContext<'_>) -> f64 {
        let wait_ratio = relative(self.queue_wait, cx) / MAX_AFFINITY_WAIT_FRACTION;
        (self.utilization() / MAX_AFFINITY_UTILIZATION).max(wait_ratio)
    }

    /// Returns by how much the request would start too late; zero if in time.
    pub(super) fn excess_delay(&self, cx: &PickContext<'_>) -> Duration {
        (self.queue_wait + self.prompt_time).saturating_sub(cx.terms.limit)
    }

    /// Returns whether a replica of an adapter may be loaded there in addition to those elsewhere.
    pub(super) fn accepts_replica(&self, cx: &PickContext<'_>) -> bool {
        self.utilization() < MAX_REPLICA_UTILIZATION
            && self.relative_wait(cx) < MAX_REPLICA_WAIT_FRACTION
    }
}

fn relative(wait: Duration, cx: &PickContext<'_>) -> f64 {
    wait.as_secs_f64() / cx.target_latency.as_secs_f64().max(MIN_LATENCY_SECONDS)
}

/// Picks a target for a plain request: the least loaded and fastest one, with a preference for this
/// instance's failure domain.
#[must_use]
pub fn pick_plain(candidates: &[Candidate<'_>], cx: &PickContext<'_>) -> Pick {
    if candidates.is_empty() {
        return Pick::NoTarget;
    }
    let open = without_ejected(candidates.iter().collect(), cx)
        .into_iter()
        .filter(|candidate| candidate.can_connect);
    let best =
        open.min_by(|a, b| cost_of_plain_target(a, cx).total_cmp(&cost_of_plain_target(b, cx)));
    best.map_or(Pick::Full, |candidate| {
        send_to(candidate, None, Vec::new(), cx)
    })
}

/// Returns the relative cost of a request at a plain target. A trial has no cost, so it comes
/// first.
fn cost_of_plain_target(candidate: &Candidate<'_>, cx: &PickContext<'_>) -> f64 {
    let target = &candidate.target;
    if cx.health.state(&target.id, cx.now) == HealthState::Trial {
        return 0.0;
    }
    let is_remote = target.failure_domain != *cx.failure_domain;
    let domain_cost = if is_remote { REMOTE_DOMAIN_COST } else { 0.0 };
    let latency = cx.health.latency(&target.id).max(MIN_LATENCY_SECONDS);
    (candidate.utilization() + domain_cost + BASE_COST) * latency
}

/// Returns the candidates that aren't ejected, or all of them if every one is ejected: servers that
/// all fail half of their requests still serve the other half.
fn without_ejected<'a, 'b>(
    candidates: Vec<&'a Candidate<'b>>,
    cx: &PickContext<'_>,
) -> Vec<&'a Candidate<'b>> {
    let ejected = |candidate: &&Candidate<'_>| {
        cx.health.state(&candidate.target.id, cx.now) == HealthState::Ejected
    };
    if candidates.iter().all(ejected) {
        return candidates;
    }
    candidates
        .into_iter()
        .filter(|candidate| !ejected(candidate))
        .collect()
}

/// Picks an engine. Requests for one adapter go to the same engine while it has free capacity, so
/// that the adapter takes one slot among all engines and its prompts are processed once.
#[must_use]
pub fn pick_engine(
    candidates: &[Candidate<'_>],
    wanted: &RequestedModel,
    prompt_start: Option<u64>,
    cx: &PickContext<'_>,
) -> Pick {
    let engines = candidates
        .iter()
        .filter(|candidate| candidate.target.models.contains(wanted.model()))
        .collect::<Vec<_>>();
    if engines.is_empty() {
        return Pick::NoTarget;
    }
    let mut engines = without_ejected(engines, cx);
    let key = match wanted {
        RequestedModel::Base(_) => prompt_start.unwrap_or(0),
        RequestedModel::Adapter(key) => name_hash(key.adapter.as_str()),
    };
    engines.sort_by_key(|candidate| std::cmp::Reverse(weight(key, candidate.target.id.as_str())));
    match wanted {
        RequestedModel::Base(_) => pick_for_base_model(&engines, cx),
        RequestedModel::Adapter(key) => pick_for_adapter(&engines, key, cx),
    }
}

fn pick_for_base_model(engines: &[&Candidate<'_>], cx: &PickContext<'_>) -> Pick {
    let open = || engines.iter().filter(|candidate| candidate.can_connect);
    let available = open().find(|candidate| candidate.congestion(cx) < cx.terms.room);
    let least_congested = || open().min_by(|a, b| a.congestion(cx).total_cmp(&b.congestion(cx)));
    let chosen = available.or_else(least_congested);
    chosen.map_or(Pick::Full, |candidate| {
        send_to(candidate, None, Vec::new(), cx)
    })
}

pub(super) fn send_to(
    candidate: &Candidate<'_>,
    version: Option<AdapterVersion>,
    load_at: Vec<TargetId>,
    cx: &PickContext<'_>,
) -> Pick {
    let target = candidate.target.id.clone();
    let trial = cx.health.state(&target, cx.now) == HealthState::Trial;
    Pick::Send {
        target,
        version,
        trial,
        load_at,
    }
}
