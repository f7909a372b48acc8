//! A model engine that takes orders as the users' pages say, in virtual time.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::{AdapterVersion, Time};
use bluebellstage_gateway::decide::adapter::{AdapterAt, AdapterKey};
use bluebellstage_gateway::decide::loader::{Order, OrderAnswer, OrderKind, Report};

/// Age of what a report says.
const REPORT_LAG: Duration = Duration::from_millis(100);
/// Time of a load from the weight store.
const LOAD: Duration = Duration::from_millis(250);

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct State {
    accepted: u64,
    held: HashMap<AdapterKey, u64>,
    coming: HashMap<AdapterKey, (u64, Time)>,
    leaving: Option<AdapterKey>,
}

/// An engine with places for adapters.
#[derive(Debug)]
pub struct Engine {
    pub places: usize,
    state: State,
    /// Open requests by adapter.
    open: HashMap<AdapterKey, u32>,
    past: VecDeque<(Time, State)>,
    /// Orders that arrive later.
    late: Vec<(Time, Order)>,
    /// The most adapters that it was ever told to hold.
    pub most: usize,
    /// Time of the next load.
    pub load_takes: Duration,
    /// Starts; the count of orders begins anew with each.
    pub starts: u64,
}

impl Engine {
    pub fn new(places: usize) -> Self {
        Self {
            places,
            state: State::default(),
            open: HashMap::new(),
            past: VecDeque::new(),
            late: Vec::new(),
            most: 0,
            load_takes: LOAD,
            starts: 1,
        }
    }

    /// Restarts empty, under the same name; orders under way still come.
    pub fn restart(&mut self) {
        self.state = State::default();
        self.open.clear();
        self.past.clear();
        self.starts += 1;
    }

    /// Lets time pass: loads arrive, late orders come.
    pub fn pass(&mut self, now: Time) {
        self.settle(now);
        let due = self.late.iter().position(|(at, _)| *at <= now);
        if let Some(idx) = due {
            let (_, order) = self.late.swap_remove(idx);
            let _nobody_hears = self.take(&order, now);
        }
        if self.past.back().is_none_or(|(_, last)| *last != self.state) {
            self.past.push_back((now, self.state.clone()));
        }
        let old = |(at, _): &(Time, State)| now.since(*at) > REPORT_LAG;
        while self.past.get(1).is_some_and(old) {
            self.past.pop_front();
        }
    }

    fn settle(&mut self, now: Time) {
        let arrived = self.state.coming.iter();
        let arrived = arrived.filter(|(_, (_, ready))| *ready <= now);
        let arrived = arrived.map(|(key, (version, _))| (key.clone(), *version));
        for (key, version) in arrived.collect::<Vec<_>>() {
            self.state.coming.remove(&key);
            self.state.held.insert(key, version);
        }
        if let Some(key) = self.state.leaving.clone()
            && self.open_on(&key) == 0
        {
            self.state.held.remove(&key);
            self.state.leaving = None;
        }
    }

    /// The order comes only then, and nobody hears its answer.
    pub fn take_later(&mut self, order: Order, at: Time) {
        self.late.push((at, order));
    }

    /// Takes an order.
    pub fn take(&mut self, order: &Order, now: Time) -> OrderAnswer {
        self.settle(now);
        if order.expected != self.state.accepted || self.state.leaving.is_some() {
            return OrderAnswer::Conflict;
        }
        match &order.what {
            OrderKind::LoadModel(_) => OrderAnswer::Done,
            OrderKind::LoadAdapter(key, version) => self.load(key, *version, now),
            OrderKind::UnloadAdapter(key) => self.unload(key),
        }
    }

    fn load(
        &mut self,
        key: &AdapterKey,
        version: Option<AdapterVersion>,
        now: Time,
    ) -> OrderAnswer {
        let version = version.map_or(1, |version| version.0);
        let holds = |held: Option<&u64>| held.is_some_and(|held| *held >= version);
        let coming = self.state.coming.get(key).map(|(version, _)| *version);
        if holds(self.state.held.get(key)) || holds(coming.as_ref()) {
            return OrderAnswer::Done;
        }
        self.state.accepted += 1;
        let ready = now + self.load_takes;
        self.state.coming.insert(key.clone(), (version, ready));
        let told = self.state.held.len() + self.state.coming.len();
        self.most = self.most.max(told);
        OrderAnswer::Accepted
    }

    fn unload(&mut self, key: &AdapterKey) -> OrderAnswer {
        if !self.state.held.contains_key(key) {
            return OrderAnswer::Done;
        }
        self.state.accepted += 1;
        if self.open_on(key) > 0 {
            self.state.leaving = Some(key.clone());
            return OrderAnswer::Accepted;
        }
        self.state.held.remove(key);
        OrderAnswer::Done
    }

    /// Loads under way.
    pub fn coming(&self) -> usize {
        self.state.coming.len()
    }

    fn open_on(&self, key: &AdapterKey) -> u32 {
        self.open.get(key).copied().unwrap_or(0)
    }

    /// A request on `key` begins, if the adapter is there.
    pub fn begin(&mut self, key: &AdapterKey) -> bool {
        let there = self.state.held.contains_key(key) && self.state.leaving.as_ref() != Some(key);
        if there {
            *self.open.entry(key.clone()).or_default() += 1;
        }
        there
    }

    /// A request on `key` ends.
    pub fn end(&mut self, key: &AdapterKey) {
        if let Some(open) = self.open.get_mut(key) {
            *open = open.saturating_sub(1);
        }
    }

    /// What it says of itself; a little out of date.
    pub fn report(&self, now: Time) -> Report {
        let past = self
            .past
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= REPORT_LAG);
        let state = past.map_or_else(State::default, |(_, state)| state.clone());
        let at = |(key, version): (&AdapterKey, &u64)| AdapterAt {
            key: key.clone(),
            version: AdapterVersion(*version),
        };
        let coming = state.coming.iter();
        Report {
            accepted: state.accepted,
            busy: false,
            models: Vec::new(),
            adapters: state.held.iter().map(at).collect(),
            coming: coming
                .map(|(key, (version, _))| at((key, version)))
                .collect(),
        }
    }
}
