//! Picks the engine of a request on an adapter: one that holds it, or one that is to load it.

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, TargetId};

use super::adapter::AdapterKey;
use super::placement::{Candidate, Known, Pick, send};

/// Copies of an adapter that are asked for at once when all that hold it are full: as many as there
/// are, so that a hot one spreads over ten engines in a second.
const MOST_NEW_COPIES: usize = 4;
/// Time of a load from an engine's host memory.
const LOAD_FROM_HOST: Duration = Duration::from_millis(27);
/// What a load from the weight store counts as in the choice of an engine: the time that it takes, and
/// as much again and more for the store's rate, which all engines share.
const LOAD_FROM_STORE: Duration = Duration::from_secs(1);
/// Time until a place for an adapter becomes free where all are in use.
const PLACE_TURN: Duration = Duration::from_millis(250);
/// Time by which an engine may be later than the best and still get the load, if it comes first in
/// the adapter's order: that way all instances ask at one engine, and find its copies later.
const WORTH_STAYING: Duration = Duration::from_millis(300);

/// An adapter, its engines in the adapter's order, and what is known.
struct Choice<'a, 'b> {
    holders: &'a [&'a Candidate<'b>],
    key: &'a AdapterKey,
    known: &'a Known<'b>,
}

/// Picks among `holders` of the base model, in the adapter's order.
pub(super) fn pick_for_adapter(
    holders: &[&Candidate<'_>],
    key: &AdapterKey,
    known: &Known<'_>,
) -> Pick {
    let choice = Choice {
        holders,
        key,
        known,
    };
    choice.pick()
}

impl<'a, 'b> Choice<'a, 'b> {
    fn pick(&self) -> Pick {
        let roomy = self
            .residents()
            .filter(|candidate| self.holds_newest(candidate))
            .filter(|candidate| candidate.crowding(self.known) < 1.0)
            .collect::<Vec<_>>();
        if let Some(candidate) = self.draw_by_room(&roomy) {
            return self.send(candidate, Vec::new());
        }
        let crowding = |candidate: &Candidate<'_>| candidate.crowding(self.known);
        let emptiest = self
            .residents()
            .min_by(|a, b| crowding(a).total_cmp(&crowding(b)));
        match emptiest.map(|candidate| (candidate, candidate.too_late(self.known))) {
            Some((candidate, Duration::ZERO)) => self.send(candidate, self.places_for_copies()),
            Some((_, excess)) => Pick::Late {
                excess,
                load_at: self.places_for_copies(),
            },
            None => self.nearest_place().map_or(Pick::Full, Pick::Load),
        }
    }

    fn send(&self, candidate: &Candidate<'_>, load_at: Vec<TargetId>) -> Pick {
        send(candidate, self.version(candidate), load_at, self.known)
    }

    /// The version that a request may begin on there.
    fn version(&self, candidate: &Candidate<'_>) -> Option<AdapterVersion> {
        let known = self.known;
        let id = &candidate.target.id;
        let version = known.residency.version(id, self.key, known.now)?;
        let wait = candidate.wait.max(candidate.longest_wait);
        let usable = known.versions.may_start(self.key, version, wait, known.now);
        usable.then_some(version)
    }

    fn holds_newest(&self, candidate: &Candidate<'_>) -> bool {
        let version = self.version(candidate);
        version.is_some_and(|version| self.known.versions.is_newest(self.key, version))
    }

    fn residents(&self) -> impl Iterator<Item = &'a Candidate<'b>> {
        let open = self.holders.iter().copied();
        let open = open.filter(|candidate| candidate.connectable);
        open.filter(|candidate| self.version(candidate).is_some())
    }

    /// Engines that can load it and don't hold it.
    fn places(&self) -> impl Iterator<Item = &'a Candidate<'b>> {
        let loadable = self.holders.iter().copied();
        let loadable = loadable.filter(|candidate| candidate.loadable);
        loadable.filter(|candidate| {
            let known = self.known;
            let id = &candidate.target.id;
            known.residency.version(id, self.key, known.now).is_none()
        })
    }

    /// Where further copies are to be loaded, as those that hold it are full.
    fn places_for_copies(&self) -> Vec<TargetId> {
        let copies = self.residents().count().clamp(1, MOST_NEW_COPIES);
        let places = self.places();
        let places = places.filter(|candidate| candidate.takes_another(self.known));
        let ids = places.map(|candidate| candidate.target.id.clone());
        let mut ids = ids.take(copies).collect::<Vec<_>>();
        if ids.is_empty() {
            let mut any = self.holders.iter().filter(|candidate| candidate.loadable);
            ids.extend(any.next().map(|candidate| candidate.target.id.clone()));
        }
        ids
    }

    /// Where the adapter can be used soonest: the first in order that is not much later than the
    /// best. Once it was asked for somewhere, that holds: each wish makes the place's queue longer,
    /// and requests that changed their mind had it loaded at two engines.
    fn nearest_place(&self) -> Option<TargetId> {
        let mut asked = self.places();
        if let Some(place) = asked.find(|place| self.known.asked == Some(&place.target.id)) {
            return Some(place.target.id.clone());
        }
        let best = self.places().map(|place| self.time_to_load(place)).min();
        let Some(best) = best else {
            let mut any = self.holders.iter().filter(|candidate| candidate.loadable);
            return any.next().map(|candidate| candidate.target.id.clone());
        };
        let limit = best + WORTH_STAYING;
        let mut places = self.places();
        let first = places.find(|place| self.time_to_load(place) <= limit);
        first.map(|place| place.target.id.clone())
    }

    /// Time until the adapter could be used at a place, a load from the weight store counting more.
    fn time_to_load(&self, candidate: &Candidate<'_>) -> Duration {
        let residency = self.known.residency;
        let places = candidate.places;
        let copies = usize::from(places.copies);
        let kept = residency.held_lately(&candidate.target.id, self.key, copies);
        let load = if kept {
            LOAD_FROM_HOST
        } else {
            LOAD_FROM_STORE
        };
        let before = (u32::from(places.waiting) + 1).saturating_sub(u32::from(places.free));
        load + PLACE_TURN * before + candidate.wait
    }

    /// Draws one of the candidates, by their room.
    ///
    /// What instances know of each other's requests is a fraction of a second old: were the first or
    /// the emptiest engine taken, all instances would take the same one at once.
    fn draw_by_room(&self, candidates: &[&'a Candidate<'b>]) -> Option<&'a Candidate<'b>> {
        let room = |candidate: &Candidate<'_>| (1.0 - candidate.crowding(self.known)).max(0.01);
        let total = candidates
            .iter()
            .map(|candidate| room(candidate))
            .sum::<f64>();
        let mut left = self.known.draw * total;
        for candidate in candidates {
            left -= room(candidate);
            if left <= 0.0 {
                return Some(candidate);
            }
        }
        candidates.last().copied()
    }
}
