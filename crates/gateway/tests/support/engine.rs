//! Simulates an engine that handles orders as documented for users, in virtual time.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::{AdapterVersion, Time};
use bluebellstage_gateway::decide::adapters::adapter::{AdapterKey, VersionedAdapter};
use bluebellstage_gateway::decide::adapters::loader::{Order, OrderKind, OrderOutcome, Report};

/// Age of the state in a report.
const REPORT_LAG: Duration = Duration::from_millis(100);
/// Duration of a load from the weight store.
const LOAD_DURATION: Duration = Duration::from_millis(250);

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct State {
    accepted: u64,
    resident: HashMap<AdapterKey, u64>,
    pending: HashMap<AdapterKey, (u64, Time)>,
    unloading: Option<AdapterKey>,
}

/// A simulated engine with adapter slots.
#[derive(Debug)]
pub struct Engine {
    pub slots: usize,
    state: State,
    /// Number of open requests by adapter.
    open: HashMap<AdapterKey, u32>,
    history: VecDeque<(Time, State)>,
    /// Orders that arrive later.
    delayed_orders: Vec<(Time, Order)>,
    /// Maximum number of adapters that it was ever ordered to hold.
    pub max_adapters: usize,
    /// Duration of the next load.
    pub load_duration: Duration,
    /// Number of starts; the count of orders starts again with each.
    pub incarnation: u64,
}

impl Engine {
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            state: State::default(),
            open: HashMap::new(),
            history: VecDeque::new(),
            delayed_orders: Vec::new(),
            max_adapters: 0,
            load_duration: LOAD_DURATION,
            incarnation: 1,
        }
    }

    /// Restarts empty under the same name; orders in transit still arrive.
    pub fn restart(&mut self) {
        self.state = State::default();
        self.open.clear();
        self.history.clear();
        self.incarnation += 1;
    }

    /// Advances to `now`: loads complete and delayed orders arrive.
    pub fn advance(&mut self, now: Time) {
        self.complete_changes(now);
        let due = self.delayed_orders.iter().position(|(at, _)| *at <= now);
        if let Some(idx) = due {
            let (_, order) = self.delayed_orders.swap_remove(idx);
            let _ignored_outcome = self.handle_order(&order, now);
        }
        if self
            .history
            .back()
            .is_none_or(|(_, last)| *last != self.state)
        {
            self.history.push_back((now, self.state.clone()));
        }
        let old = |(at, _): &(Time, State)| now.since(*at) > REPORT_LAG;
        while self.history.get(1).is_some_and(old) {
            self.history.pop_front();
        }
    }

    fn complete_changes(&mut self, now: Time) {
        let arrived = self.state.pending.iter();
        let arrived = arrived.filter(|(_, (_, ready))| *ready <= now);
        let arrived = arrived.map(|(key, (version, _))| (key.clone(), *version));
        for (key, version) in arrived.collect::<Vec<_>>() {
            self.state.pending.remove(&key);
            self.state.resident.insert(key, version);
        }
        if let Some(key) = self.state.unloading.clone()
            && self.open_requests_on(&key) == 0
        {
            self.state.resident.remove(&key);
            self.state.unloading = None;
        }
    }

    /// Delivers the order at `at`; its outcome is lost.
    pub fn delay_order(&mut self, order: Order, at: Time) {
        self.delayed_orders.push((at, order));
    }

    /// Handles an order.
    pub fn handle_order(&mut self, order: &Order, now: Time) -> OrderOutcome {
        self.complete_changes(now);
        if order.expected_accepted != self.state.accepted || self.state.unloading.is_some() {
            return OrderOutcome::Conflict;
        }
        match &order.kind {
            OrderKind::LoadModel(_) => OrderOutcome::Done,
            OrderKind::LoadAdapter(key, version) => self.load(key, *version, now),
            OrderKind::UnloadAdapter(key) => self.unload(key),
        }
    }

    fn load(
        &mut self,
        key: &AdapterKey,
        version: Option<AdapterVersion>,
        now: Time,
    ) -> OrderOutcome {
        let version = version.map_or(1, |version| version.0);
        let holds = |resident: Option<&u64>| resident.is_some_and(|found| *found >= version);
        let pending = self.state.pending.get(key).map(|(version, _)| *version);
        if holds(self.state.resident.get(key)) || holds(pending.as_ref()) {
            return OrderOutcome::Done;
        }
        self.state.accepted += 1;
        let ready = now + self.load_duration;
        self.state.pending.insert(key.clone(), (version, ready));
        let total = self.state.resident.len() + self.state.pending.len();
        self.max_adapters = self.max_adapters.max(total);
        OrderOutcome::Accepted
    }

    fn unload(&mut self, key: &AdapterKey) -> OrderOutcome {
        if !self.state.resident.contains_key(key) {
            return OrderOutcome::Done;
        }
        self.state.accepted += 1;
        if self.open_requests_on(key) > 0 {
            self.state.unloading = Some(key.clone());
            return OrderOutcome::Accepted;
        }
        self.state.resident.remove(key);
        OrderOutcome::Done
    }

    /// Returns the number of loads in progress.
    pub fn loads_in_progress(&self) -> usize {
        self.state.pending.len()
    }

    fn open_requests_on(&self, key: &AdapterKey) -> u32 {
        self.open.get(key).copied().unwrap_or(0)
    }

    /// Starts a request on `key`; returns `false` if the adapter is missing.
    pub fn start_request(&mut self, key: &AdapterKey) -> bool {
        let is_usable =
            self.state.resident.contains_key(key) && self.state.unloading.as_ref() != Some(key);
        if is_usable {
            *self.open.entry(key.clone()).or_default() += 1;
        }
        is_usable
    }

    /// Ends a request on `key`.
    pub fn end_request(&mut self, key: &AdapterKey) {
        if let Some(open) = self.open.get_mut(key) {
            *open = open.saturating_sub(1);
        }
    }

    /// Returns its state as of [`REPORT_LAG`] ago.
    pub fn report(&self, now: Time) -> Report {
        let snapshot = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= REPORT_LAG);
        let state = snapshot.map_or_else(State::default, |(_, state)| state.clone());
        let at = |(key, version): (&AdapterKey, &u64)| VersionedAdapter {
            key: key.clone(),
            version: AdapterVersion(*version),
        };
        let pending = state.pending.iter();
        Report {
            accepted: state.accepted,
            busy: false,
            models: Vec::new(),
            adapters: state.resident.iter().map(at).collect(),
            pending_loads: pending
                .map(|(key, (version, _))| at((key, version)))
                .collect(),
            unreadable_adapters: 0,
        }
    }
}
