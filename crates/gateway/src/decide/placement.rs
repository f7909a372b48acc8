//! Picks the target of a request.

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, FailureDomain, TargetId, Time};

use super::adapter::{AdapterKey, Wanted};
use super::health::{Health, Standing};
use super::rendezvous::{name_hash, weight};
use super::residency::Residency;
use super::target::Target;
use super::versions::Versions;

/// Fill of an engine, in parts of its slots, up to which requests stay where their adapter and
/// prompt start are. An engine's step takes 14 % longer with all slots taken than with one, so a
/// second copy pays late.
const STAY_BELOW: f64 = 0.85;
/// Fill beyond which an engine is no place for another adapter.
const LOAD_BELOW: f64 = 0.8;
/// Copies of an adapter that are asked for at once when all that hold it are full: as many as there
/// are, so that a hot one spreads over ten engines in a second.
const MOST_NEW_COPIES: usize = 4;
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
    /// Longest time that a request took to begin there lately.
    pub longest_wait: Duration,
    /// This instance may open or reuse a connection.
    pub connectable: bool,
    /// Whoever orders loads there can be asked.
    pub loadable: bool,
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
    /// Nothing can run it.
    Nowhere,
}

impl Candidate<'_> {
    fn fill(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.target.slots.max(1))
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
    let roomy = open().find(|candidate| candidate.fill() < STAY_BELOW);
    let chosen = roomy.or_else(|| open().min_by(|a, b| a.fill().total_cmp(&b.fill())));
    chosen.map_or(Pick::Full, |candidate| {
        send(candidate, None, Vec::new(), known)
    })
}

fn send(
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

fn pick_for_adapter(holders: &[&Candidate<'_>], key: &AdapterKey, known: &Known<'_>) -> Pick {
    let version = |candidate: &Candidate<'_>| {
        let version = known
            .residency
            .version(&candidate.target.id, key, known.now)?;
        let usable = known.versions.may_begin(
            key,
            version,
            candidate.wait.max(candidate.longest_wait),
            known.now,
        );
        usable.then_some(version)
    };
    let newest = |candidate: &&&Candidate<'_>| {
        version(candidate).is_some_and(|version| known.versions.is_newest(key, version))
    };
    let residents = || {
        let open = holders.iter().filter(|candidate| candidate.connectable);
        open.filter(|candidate| version(candidate).is_some())
    };
    let roomy = residents()
        .filter(newest)
        .filter(|candidate| candidate.fill() < STAY_BELOW)
        .collect::<Vec<_>>();
    if let Some(candidate) = draw_by_room(&roomy, known.draw) {
        return send(candidate, version(candidate), Vec::new(), known);
    }
    let absent = |candidate: &&&Candidate<'_>| {
        let there = known
            .residency
            .version(&candidate.target.id, key, known.now);
        there.is_none()
    };
    let copies = residents().count().clamp(1, MOST_NEW_COPIES);
    let places = holders
        .iter()
        .filter(|candidate| candidate.loadable)
        .filter(|candidate| candidate.fill() < LOAD_BELOW)
        .filter(absent)
        .take(copies);
    let mut places = places
        .map(|candidate| candidate.target.id.clone())
        .collect::<Vec<_>>();
    if places.is_empty() {
        let any = holders.iter().find(|candidate| candidate.loadable);
        places.extend(any.map(|candidate| candidate.target.id.clone()));
    }
    let emptiest = residents().min_by(|a, b| a.fill().total_cmp(&b.fill()));
    match (emptiest, places.pop()) {
        (Some(candidate), place) => {
            places.extend(place);
            send(candidate, version(candidate), places, known)
        }
        (None, Some(place)) => Pick::Load(places.into_iter().next().unwrap_or(place)),
        (None, None) => Pick::Full,
    }
}

/// Draws one of the candidates, by their free slots.
///
/// What instances know of each other's requests is a fraction of a second old: were the first or
/// the emptiest engine taken, all instances would take the same one at once.
fn draw_by_room<'a>(candidates: &[&'a &Candidate<'a>], draw: f64) -> Option<&'a Candidate<'a>> {
    let room = |candidate: &Candidate<'_>| (1.0 - candidate.fill()).max(0.01);
    let total = candidates
        .iter()
        .map(|candidate| room(candidate))
        .sum::<f64>();
    let mut left = draw * total;
    for candidate in candidates {
        left -= room(candidate);
        if left <= 0.0 {
            return Some(candidate);
        }
    }
    candidates.last().map(|candidate| **candidate)
}

/// Pause after which a request that waits for a load asks for it again; datagrams get lost.
pub const ASK_AGAIN: Duration = Duration::from_millis(60);
