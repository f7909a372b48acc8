//! Picks the target of a request.

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, FailureDomain, TargetId, Time};

use super::adapter::Wanted;
use super::adapter_choice::pick_for_adapter;
use super::health::{Health, Standing};
use super::loader::Places;
use super::rendezvous::{name_hash, weight};
use super::residency::Residency;
use super::target::Target;
use super::versions::Versions;

/// Fill of an engine, in parts of its slots, up to which requests stay where their adapter and
/// prompt start are. An engine's step takes little longer with all slots taken than with one, so a
/// second copy pays late.
const STAY_BELOW: f64 = 0.85;
/// Fill beyond which an engine is no place for another adapter.
const LOAD_BELOW: f64 = 0.8;
/// Wait for the prompts that stand before, in parts of the route's target latency, up to which
/// requests stay. Long prompts fill an engine when a fifth of its slots is taken. A copy elsewhere
/// costs a load and a place, so it is not made for each short queue.
const STAY_WITHIN: f64 = 0.5;
/// The same, beyond which an engine is no place for another copy.
const LOAD_WITHIN: f64 = 0.3;
/// Time to the first event, in parts of the route's target latency, beyond which a request is
/// refused where nothing would begin it sooner. A longer queue makes all that stand in it late and
/// serves no more of them; a little over 1, as what is told of queues is out of date.
const BEGIN_WITHIN: f64 = 1.25;
/// How much longer the queue may be for requests of the first rank: engines put them first.
const FIRST_RANK_FACTOR: f64 = 1.3;
/// What the way to another failure domain costs a plain request, in parts of a slot's work.
const AWAY_COST: f64 = 0.15;
/// What an empty target costs, in the same parts: with it a quick one goes before a slow one.
const EMPTY_COST: f64 = 0.1;
/// Latency that a target without outcomes is taken to have, in seconds.
const LEAST_LATENCY: f64 = 0.01;

/// A target with what this instance knows of its load.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The target.
    pub target: &'a Target,
    /// Requests there from all instances, as far as known.
    pub in_flight: u32,
    /// Time until prompts that wait there are read.
    pub wait: Duration,
    /// Time to read the request's own prompt.
    pub reading: Duration,
    /// Longest time that a request took to begin there lately.
    pub longest_wait: Duration,
    /// This instance may open or reuse a connection.
    pub connectable: bool,
    /// Whoever orders loads there can be asked.
    pub loadable: bool,
    /// Its places for adapters.
    pub places: Places,
}

/// What the choice goes by beside the candidates.
#[derive(Clone, Copy, Debug)]
pub struct Known<'a> {
    /// What targets proved to be.
    pub health: &'a Health,
    /// Which engine holds which adapter.
    pub residency: &'a Residency,
    /// Newest versions.
    pub versions: &'a Versions,
    /// Where this instance runs.
    pub failure_domain: &'a FailureDomain,
    /// Time to the first event that the request's route aims at.
    pub target_latency: Duration,
    /// Rank of the request, 0 first.
    pub rank: u8,
    /// Where the adapter was asked for lately.
    pub asked: Option<&'a TargetId>,
    /// Random, evenly spread.
    pub draw: f64,
    /// The clock.
    pub now: Time,
}

/// The target of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Pick {
    /// Send it there.
    Send {
        /// The target.
        target: TargetId,
        /// The adapter's version there.
        version: Option<AdapterVersion>,
        /// It is a trial of a target that failed.
        trial: bool,
        /// Other engines where the adapter should be loaded as well.
        load_at: Vec<TargetId>,
    },
    /// Have the adapter loaded there and look again.
    Load(TargetId),
    /// Everything that could run it is full.
    Full,
    /// Engines that hold its adapter would begin it too late.
    Late {
        /// By how much the least busy of them would.
        excess: Duration,
        /// Engines where the adapter should be loaded as well.
        load_at: Vec<TargetId>,
    },
    /// Nothing can run it.
    Nowhere,
}

impl Candidate<'_> {
    fn fill(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.target.slots.max(1))
    }

    /// The wait for the first event, in parts of the route's target latency.
    fn lateness(&self, known: &Known<'_>) -> f64 {
        self.wait.as_secs_f64() / known.target_latency.as_secs_f64().max(LEAST_LATENCY)
    }

    /// How full the engine is for requests on what it holds; from 1 on others come first.
    pub(super) fn crowding(&self, known: &Known<'_>) -> f64 {
        let waiting = self.lateness(known) / STAY_WITHIN;
        (self.fill() / STAY_BELOW).max(waiting)
    }

    /// By how much the request would begin too late; zero if it wouldn't.
    pub(super) fn too_late(&self, known: &Known<'_>) -> Duration {
        let first = known.rank == 0;
        let longer = if first { FIRST_RANK_FACTOR } else { 1.0 };
        let limit = known.target_latency.mul_f64(BEGIN_WITHIN * longer);
        (self.wait + self.reading).saturating_sub(limit)
    }

    /// Whether another adapter may be loaded there beside others that have it.
    pub(super) fn takes_another(&self, known: &Known<'_>) -> bool {
        self.fill() < LOAD_BELOW && self.lateness(known) < LOAD_WITHIN
    }
}

/// Picks a target for a plain request: the emptiest and quickest one, the own failure domain
/// preferred.
#[must_use]
pub fn pick_plain(candidates: &[Candidate<'_>], known: &Known<'_>) -> Pick {
    let staying = candidates
        .iter()
        .filter(|candidate| !candidate.target.leaving)
        .collect::<Vec<_>>();
    if staying.is_empty() {
        return Pick::Nowhere;
    }
    let open = in_standing(staying, known)
        .into_iter()
        .filter(|candidate| candidate.connectable);
    let best = open.min_by(|a, b| plain_cost(a, known).total_cmp(&plain_cost(b, known)));
    best.map_or(Pick::Full, |candidate| {
        send(candidate, None, Vec::new(), known)
    })
}

/// What a request costs at a plain target, against others; a trial comes first.
fn plain_cost(candidate: &Candidate<'_>, known: &Known<'_>) -> f64 {
    let target = &candidate.target;
    if known.health.standing(&target.id, known.now) == Standing::Trial {
        return 0.0;
    }
    let away = target.failure_domain != *known.failure_domain;
    let away = if away { AWAY_COST } else { 0.0 };
    let slow = known.health.latency(&target.id).max(LEAST_LATENCY);
    (candidate.fill() + away + EMPTY_COST) * slow
}

/// Those that aren't ejected; all of them if every one is: servers that all fail half of their
/// requests still serve the other half.
fn in_standing<'a, 'b>(
    candidates: Vec<&'a Candidate<'b>>,
    known: &Known<'_>,
) -> Vec<&'a Candidate<'b>> {
    let ejected = |candidate: &&Candidate<'_>| {
        known.health.standing(&candidate.target.id, known.now) == Standing::Ejected
    };
    if candidates.iter().all(ejected) {
        return candidates;
    }
    candidates
        .into_iter()
        .filter(|candidate| !ejected(candidate))
        .collect()
}

/// Picks an engine. Requests for one adapter go to the same engine while it has room, so that the
/// adapter takes one slot in the fleet and its prompts are read once.
#[must_use]
pub fn pick_engine(
    candidates: &[Candidate<'_>],
    wanted: &Wanted,
    prompt_start: Option<u64>,
    known: &Known<'_>,
) -> Pick {
    let holders = candidates
        .iter()
        .filter(|candidate| !candidate.target.leaving)
        .filter(|candidate| candidate.target.models.contains(wanted.model()))
        .collect::<Vec<_>>();
    if holders.is_empty() {
        return Pick::Nowhere;
    }
    let mut holders = in_standing(holders, known);
    let key = match wanted {
        Wanted::Base(_) => prompt_start.unwrap_or(0),
        Wanted::Adapter(key) => name_hash(key.adapter.as_str()),
    };
    holders.sort_by_key(|candidate| std::cmp::Reverse(weight(key, candidate.target.id.as_str())));
    match wanted {
        Wanted::Base(_) => send_first(&holders, known),
        Wanted::Adapter(key) => pick_for_adapter(&holders, key, known),
    }
}

fn send_first(holders: &[&Candidate<'_>], known: &Known<'_>) -> Pick {
    let open = || holders.iter().filter(|candidate| candidate.connectable);
    let roomy = open().find(|candidate| candidate.crowding(known) < 1.0);
    let emptiest = || open().min_by(|a, b| a.crowding(known).total_cmp(&b.crowding(known)));
    let chosen = roomy.or_else(emptiest);
    chosen.map_or(Pick::Full, |candidate| {
        send(candidate, None, Vec::new(), known)
    })
}

pub(super) fn send(
    candidate: &Candidate<'_>,
    version: Option<AdapterVersion>,
    load_at: Vec<TargetId>,
    known: &Known<'_>,
) -> Pick {
    let target = candidate.target.id.clone();
    let trial = known.health.standing(&target, known.now) == Standing::Trial;
    Pick::Send {
        target,
        version,
        trial,
        load_at,
    }
}
