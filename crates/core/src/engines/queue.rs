//! The queue of a group's home.
//!
//! Start-time fair queueing between workspaces by tokens, urgent work first. Overnight work that
//! waited a quarter of the queue's patience is queued as urgent from then on, so it waits at most
//! that span plus its fair share of the urgent queue.

use std::collections::{BTreeMap, BTreeSet};

use crate::{AdapterRef, MemberRef, QueueOrder, TargetId, Time, Tokens, WorkspaceId};

use super::{AskNumber, PermitAsk};

/// Which of a group's two lines an ask stands in.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Line {
    Urgent,
    Batch,
}

/// A place in the queue; the smallest is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Place {
    line: Line,
    tag: u64,
    sequence: u64,
}

/// Who asked, and under which number.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct AskRef {
    pub(super) holder: MemberRef,
    pub(super) number: AskNumber,
}

/// An ask in the queue.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) from: AskRef,
    pub(super) ask: PermitAsk,
    pub(super) since: Time,
    pub(super) refreshed: Time,
    /// The only engine that may run it; baselines bind an ask as it arrives.
    pub(super) bound: Option<TargetId>,
    /// No adapter is evicted for it before this time.
    pub(super) evicts_from: Time,
}

/// What waits for one adapter.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    pub(super) waiting: u32,
    pub(super) urgent: u32,
}

/// The asks that wait, in the order in which they are to be served.
#[derive(Debug)]
pub(super) struct Queue {
    order: QueueOrder,
    waiting: BTreeMap<Place, Waiting>,
    places: BTreeMap<AskRef, Place>,
    demand: BTreeMap<AdapterRef, Demand>,
    finish_tags: BTreeMap<(Line, WorkspaceId), u64>,
    clocks: BTreeMap<Line, u64>,
    next: u64,
}

impl Queue {
    pub(super) const fn new(order: QueueOrder) -> Self {
        Self {
            order,
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            demand: BTreeMap::new(),
            finish_tags: BTreeMap::new(),
            clocks: BTreeMap::new(),
            next: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Place, &Waiting)> {
        self.waiting
            .iter()
            .map(|(place, waiting)| (*place, waiting))
    }

    pub(super) fn get(&self, place: Place) -> Option<&Waiting> {
        self.waiting.get(&place)
    }

    /// The adapters that asks wait for.
    pub(super) fn demands(&self) -> impl Iterator<Item = (&AdapterRef, Demand)> {
        self.demand
            .iter()
            .map(|(adapter, demand)| (adapter, *demand))
    }

    pub(super) fn demand(&self, adapter: &AdapterRef) -> Demand {
        self.demand.get(adapter).copied().unwrap_or_default()
    }

    /// Notes that an ask was sent again; false if it is not in the queue.
    pub(super) fn refresh(&mut self, from: &AskRef, now: Time) -> bool {
        let Some(place) = self.places.get(from) else {
            return false;
        };
        if let Some(waiting) = self.waiting.get_mut(place) {
            waiting.refreshed = now;
        }
        true
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let line = self.line(waiting.ask.urgent);
        self.insert(line, waiting);
    }

    /// Takes an ask out that is served now.
    pub(super) fn serve(&mut self, place: Place) -> Option<Waiting> {
        let clock = self.clocks.entry(place.line).or_default();
        *clock = (*clock).max(place.tag);
        self.take(place)
    }

    pub(super) fn remove(&mut self, from: &AskRef) -> Option<Waiting> {
        let place = self.places.get(from).copied()?;
        self.take(place)
    }

    /// Moves overnight work that has waited since before `before` to the urgent line.
    pub(super) fn age(&mut self, before: Time) {
        let aged: Vec<Place> = self
            .waiting
            .iter()
            .filter(|(place, waiting)| place.line == Line::Batch && waiting.since < before)
            .map(|(place, _)| *place)
            .collect();
        for place in aged {
            if let Some(waiting) = self.take(place) {
                self.insert(Line::Urgent, waiting);
            }
        }
    }

    /// Forgets asks that were not refreshed since `before`, or whose life is not in `lives`.
    pub(super) fn expire(&mut self, before: Time, lives: &BTreeSet<MemberRef>) {
        let gone: Vec<Place> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| {
                waiting.refreshed < before || !lives.contains(&waiting.from.holder)
            })
            .map(|(place, _)| *place)
            .collect();
        for place in gone {
            self.take(place);
        }
    }

    /// Empties the queue.
    pub(super) fn drain(&mut self) -> Vec<Waiting> {
        self.places.clear();
        self.demand.clear();
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// Counts a load towards what a workspace had, so that one that wants many falls behind others.
    pub(super) fn charge(&mut self, workspace: &WorkspaceId, urgent: bool, tokens: Tokens) {
        let line = self.line(urgent);
        let clock = self.clocks.get(&line).copied().unwrap_or_default();
        let finish = self
            .finish_tags
            .entry((line, workspace.clone()))
            .or_default();
        *finish = clock.max(*finish) + tokens.0;
    }

    fn line(&self, urgent: bool) -> Line {
        match (self.order, urgent) {
            (QueueOrder::Fair, false) => Line::Batch,
            _ => Line::Urgent,
        }
    }

    fn insert(&mut self, line: Line, waiting: Waiting) {
        let sequence = self.next;
        self.next += 1;
        let place = Place {
            line,
            tag: self.tag(line, &waiting.ask),
            sequence,
        };
        let demand = self.demand.entry(waiting.ask.adapter.clone()).or_default();
        demand.waiting += 1;
        demand.urgent += u32::from(waiting.ask.urgent);
        self.places.insert(waiting.from.clone(), place);
        self.waiting.insert(place, waiting);
    }

    /// The start tag: a workspace's next ask starts where its last one ends, but not in the past.
    fn tag(&mut self, line: Line, ask: &PermitAsk) -> u64 {
        if self.order == QueueOrder::FirstCome {
            return 0;
        }
        let clock = self.clocks.get(&line).copied().unwrap_or_default();
        let finish = self
            .finish_tags
            .entry((line, ask.workspace.clone()))
            .or_default();
        let start = clock.max(*finish);
        *finish = start + ask.cost().0;
        start
    }

    fn take(&mut self, place: Place) -> Option<Waiting> {
        let waiting = self.waiting.remove(&place)?;
        self.places.remove(&waiting.from);
        if let Some(demand) = self.demand.get_mut(&waiting.ask.adapter) {
            demand.waiting -= 1;
            demand.urgent -= u32::from(waiting.ask.urgent);
            if demand.waiting == 0 {
                self.demand.remove(&waiting.ask.adapter);
            }
        }
        Some(waiting)
    }
}
