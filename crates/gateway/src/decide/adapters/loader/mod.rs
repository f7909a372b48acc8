//! Orders loads and unloads on one engine. Runs on the instance that holds the lease of the
//! engine's shard.
//!
//! An engine counts the orders that it has accepted, and each order names the count that it
//! expects. Of two orders that expect the same count only one is carried out, however late it
//! arrives, so an order without a response can't make the loader's view of the slots wrong.

mod adapter_state;
mod engine_state;
mod host_copies;
mod load_request;
mod order;
mod slots;

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::{AdapterVersion, BaseModel, Time};

use self::adapter_state::{AdapterUsage, PendingLoad, ResidentAdapter, UnansweredLoad};
use self::host_copies::MAX_REMEMBERED_ADAPTERS;
use self::load_request::LoadRequest;
pub use self::order::{Order, OrderKind, OrderOutcome, Report};
pub use self::slots::AdapterSlots;
use crate::decide::adapters::adapter::{AdapterKey, VersionedAdapter};
use crate::decide::ranked_tokens::RankClass;

/// Maximum number of adapters that an engine loads concurrently.
pub const MAX_CONCURRENT_LOADS: usize = 4;
/// Time until an adapter loaded from the weight store can be used, as the engines document it, plus
/// a small margin for the network.
const LOAD_FROM_STORE: Duration = Duration::from_millis(254);
/// The same if the engine recently held the adapter: a tenth of the time.
const LOAD_FROM_HOST: Duration = Duration::from_millis(27);
/// Span after an expected arrival in which a request that finds the adapter missing only shows that
/// the load takes longer than expected.
const LATE_ARRIVAL_GRACE: Duration = Duration::from_millis(1_500);
/// Delay until a late adapter is expected again.
const LATE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay after a rejected order before the engine's report is read: reports lag by a tenth of a
/// second.
const REPORT_LAG: Duration = Duration::from_millis(130);
/// Maximum delay after which an order without a response is still carried out, as documented in the
/// users' list of disruptions, plus a small margin.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(13);
/// One in this many slots is reserved while loads of the engine's previous incarnation may still be
/// carried out that this instance knows nothing of: the list of unanswered orders is lost with the
/// holder that sent them. An engine that such a load overfills crashes. Several of these loads take
/// effect one after the other only if each expects exactly the engine's current count.
const SLOTS_PER_RESERVED_SLOT: usize = 8;
/// Minimum number of reserved slots: of two consecutive late loads the second may take effect
/// before the first one shows in a report.
const MIN_RESERVED_SLOTS: usize = 2;
/// Maximum age of the last confirmation of the engine's state while late loads may be carried out;
/// the report is read again after it. Nothing else announces late loads, and without other orders
/// they would fill the engine one by one.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(250);
/// Delay before the next attempt when no adapter can be evicted.
const EVICTION_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Next action for an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadStep {
    /// Nothing to do.
    Idle,
    /// Call [`Loader::step`] again at this time.
    Wait(Time),
    /// Read the engine's report.
    Read,
    /// Send this order.
    Send(Order),
}

/// Tracks the adapters of one engine and decides which to load and evict.
#[derive(Debug)]
pub struct Loader {
    slots: usize,
    accepted: Option<u64>,
    /// Minimum count that a report must show to be newer than the known state.
    min_accepted: u64,
    /// Time since which reports have shown a lower count.
    stale_since: Option<Time>,
    resident: BTreeMap<AdapterKey, ResidentAdapter>,
    /// Number of adapters on the engine whose names can't be read.
    unreadable_adapters: usize,
    pending_loads: BTreeMap<AdapterKey, PendingLoad>,
    load_requests: BTreeMap<AdapterKey, LoadRequest>,
    usage: BTreeMap<AdapterKey, AdapterUsage>,
    requested_model: Option<BaseModel>,
    not_before: Time,
    must_read_report: bool,
    /// Until this time, the engine counts as silent because it did not report when it was asked.
    silent_until: Time,
    /// Time of the last report that was accepted as current.
    last_report_at: Time,
    /// Time at which the engine last confirmed the loader's view, by a report or by accepting an
    /// order.
    last_confirmed_at: Time,
    /// Until this time, loads ordered by another holder in the engine's previous incarnation may be
    /// carried out.
    unknown_loads_until: Time,
    /// Loads without a response in the engine's current incarnation.
    unanswered_loads: Vec<UnansweredLoad>,
    /// Loads without a response in its previous incarnations.
    previous_unanswered_loads: Vec<UnansweredLoad>,
    /// Number of orders without a response since the last one that got one.
    consecutive_unanswered: u32,
    /// Estimated number of adapters, including those in its slots, that the engine keeps copies of
    /// in host memory. Loading one of these again is ten times as fast.
    host_copies: usize,
    changed: bool,
}

impl Loader {
    /// Creates a loader for an engine with `slots` adapter slots.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            accepted: None,
            min_accepted: 0,
            stale_since: None,
            resident: BTreeMap::new(),
            unreadable_adapters: 0,
            pending_loads: BTreeMap::new(),
            load_requests: BTreeMap::new(),
            usage: BTreeMap::new(),
            requested_model: None,
            not_before: Time::default(),
            must_read_report: false,
            silent_until: Time::default(),
            last_report_at: Time::default(),
            last_confirmed_at: Time::default(),
            unknown_loads_until: Time::default(),
            unanswered_loads: Vec::new(),
            previous_unanswered_loads: Vec::new(),
            consecutive_unanswered: 0,
            host_copies: MAX_REMEMBERED_ADAPTERS,
            changed: false,
        }
    }

    /// Sets when the engine's current incarnation was first seen.
    #[must_use]
    pub fn with_incarnation_since(mut self, since: Time) -> Self {
        self.unknown_loads_until = since + MAX_ORDER_DELAY;
        self
    }

    /// Reserves slots for unanswered loads that were ordered in the engine's previous incarnation.
    #[must_use]
    pub fn with_previous_incarnation(mut self, previous: &Self) -> Self {
        self.previous_unanswered_loads = previous
            .unanswered_loads
            .iter()
            .chain(&previous.previous_unanswered_loads)
            .copied()
            .collect();
        self
    }

    /// Returns the number of slots reserved for loads of previous incarnations that may still be
    /// carried out.
    fn reserved_slots(&self, accepted: u64, now: Time) -> usize {
        let mut counts = self
            .previous_unanswered_loads
            .iter()
            .filter(|load| load.expires_at > now && load.expected_accepted >= accepted)
            .map(|load| load.expected_accepted)
            .collect::<Vec<_>>();
        counts.sort_unstable();
        counts.dedup();
        let unknown = if now < self.unknown_loads_until {
            self.slots
                .div_ceil(SLOTS_PER_RESERVED_SLOT)
                .max(MIN_RESERVED_SLOTS)
        } else {
            0
        };
        counts.len().max(unknown).min(self.slots / 2)
    }

    /// Returns the number of slots for adapters that can be named in an order.
    fn usable_slots(&self, reserved: usize) -> usize {
        (self.slots - reserved).saturating_sub(self.unreadable_adapters)
    }

    /// Records that a request waits for `key` at `version` or newer.
    pub fn request_load(&mut self, key: AdapterKey, version: Option<AdapterVersion>, now: Time) {
        self.request_load_for(RankClass::default(), key, version, now);
    }

    /// Records that a request of a class of ranks waits for `key` at `version` or newer.
    pub fn request_load_for(
        &mut self,
        class: RankClass,
        key: AdapterKey,
        version: Option<AdapterVersion>,
        now: Time,
    ) {
        let request = self
            .load_requests
            .entry(key)
            .or_insert_with(|| LoadRequest::new(now));
        request.record_repeat(version, class, now);
    }

    /// Requests a load of the base model, which the engine lacks.
    pub fn request_model_load(&mut self, model: BaseModel) {
        self.requested_model = Some(model);
    }

    /// Records that a request on `key` was sent to this engine.
    pub fn request_started(&mut self, key: &AdapterKey, now: Time) {
        self.record_use(key, now).open_count += 1;
    }

    /// Records that a request on `key` has ended.
    pub fn request_ended(&mut self, key: &AdapterKey, now: Time) {
        let usage = self.record_use(key, now);
        usage.open_count = usage.open_count.saturating_sub(1);
        let resident = self.resident.get_mut(key);
        if let Some(rank) = resident.and_then(|adapter| adapter.assumed_copy_rank.take()) {
            self.record_copy_hit(rank);
        }
    }

    fn record_use(&mut self, key: &AdapterKey, now: Time) -> &mut AdapterUsage {
        let usage = self.usage.entry(key.clone()).or_insert(AdapterUsage {
            last_used: now,
            open_count: 0,
        });
        usage.last_used = now;
        usage
    }

    fn is_unloading(&self, key: &AdapterKey) -> bool {
        self.resident
            .get(key)
            .is_some_and(|adapter| adapter.unloading)
    }

    fn is_busy(&self, key: &AdapterKey, now: Time) -> bool {
        self.usage.get(key).is_some_and(|usage| usage.is_busy(now))
    }

    /// Records that a request found `key` missing on this engine.
    pub fn adapter_missing(&mut self, key: &AdapterKey, now: Time) {
        let Some(resident) = self.resident.get_mut(key) else {
            return;
        };
        self.changed = true;
        let missed_rank = resident.assumed_copy_rank.take();
        let first_time = !std::mem::replace(&mut resident.reported_missing, true);
        if first_time && now.since(resident.since) < LATE_ARRIVAL_GRACE {
            resident.usable_from = now + LATE_RETRY_DELAY;
        } else {
            // It may be present in another version, so it takes its slot until the next report. The
            // report must be read even if an order is answered meanwhile.
            resident.usable_from = Time(u64::MAX);
            self.must_read_report = true;
        }
        if let Some(rank) = missed_rank {
            self.record_copy_miss(rank);
        }
    }

    /// Returns the adapters that can be used now.
    #[must_use]
    pub fn usable_adapters(&self, now: Time) -> Vec<VersionedAdapter> {
        let usable = self
            .resident
            .iter()
            .filter(|(_, adapter)| adapter.usable_from <= now);
        usable
            .map(|(key, adapter)| VersionedAdapter {
                key: key.clone(),
                version: adapter.version,
            })
            .collect()
    }

    /// Returns whether the resident adapters have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the number of loads from the weight store in progress.
    #[must_use]
    pub fn store_loads_in_progress(&self) -> usize {
        let pending = self.pending_loads.values();
        pending.filter(|pending| pending.from_store).count()
    }

    /// Returns the number of requested adapters whose load has not started.
    #[must_use]
    pub fn waiting_adapters(&self) -> usize {
        let open = self.load_requests.keys();
        open.filter(|key| !self.pending_loads.contains_key(*key))
            .count()
    }

    /// Returns the next action. `newest` returns the newest version of an adapter if more than one
    /// is known; `store_free` says whether the weight store can take another load without slowing
    /// down the others.
    pub fn step(
        &mut self,
        newest: impl Fn(&AdapterKey) -> Option<AdapterVersion>,
        store_free: bool,
        now: Time,
    ) -> LoadStep {
        self.complete_loads(&newest, now);
        self.load_requests
            .retain(|_, request| request.is_active(now));
        if now < self.not_before {
            return LoadStep::Wait(self.not_before);
        }
        let Some(expected_accepted) = self.accepted.filter(|_| !self.must_read_report) else {
            return LoadStep::Read;
        };
        let reserved = self.reserved_slots(expected_accepted, now);
        if reserved > 0 && now.since(self.last_confirmed_at) > MAX_CONFIRMATION_AGE {
            return LoadStep::Read;
        }
        let has_unloading = self.resident.values().any(|adapter| adapter.unloading);
        if has_unloading && now.since(self.last_report_at) > MAX_CONFIRMATION_AGE {
            return LoadStep::Read;
        }
        self.retry_late_adapters(now);
        let slots = self.usable_slots(reserved);
        if self.resident.len() + self.pending_loads.len() > slots {
            // A late load has taken a reserved slot; another one would overfill the engine.
            return self.evict(expected_accepted, now);
        }
        if let Some(model) = self.requested_model.take() {
            let kind = OrderKind::LoadModel(model);
            return LoadStep::Send(Order {
                kind,
                expected_accepted,
            });
        }
        let Some(key) = self.next_load_request(now) else {
            return self.next_arrival();
        };
        if self.pending_loads.len() >= MAX_CONCURRENT_LOADS
            || (!store_free && !self.has_host_copy(&key))
        {
            return match self.next_arrival() {
                LoadStep::Idle => LoadStep::Wait(now + Duration::from_millis(20)),
                step => step,
            };
        }
        if self.is_unloading(&key) {
            self.must_read_report = true;
            return LoadStep::Wait(now + REPORT_LAG);
        }
        if self.resident.contains_key(&key) {
            // The old version is unloaded first: the engine may count both versions during a
            // replacement.
            let kind = OrderKind::UnloadAdapter(key);
            return LoadStep::Send(Order {
                kind,
                expected_accepted,
            });
        }
        if self.resident.len() + self.pending_loads.len() >= slots {
            return self.evict(expected_accepted, now);
        }
        let version = newest(&key).max(
            self.load_requests
                .get(&key)
                .and_then(|request| request.version),
        );
        let kind = OrderKind::LoadAdapter(key, version);
        LoadStep::Send(Order {
            kind,
            expected_accepted,
        })
    }

    fn next_arrival(&self) -> LoadStep {
        let ready_at = self.pending_loads.values().map(|pending| pending.ready_at);
        let late = self.resident.values().map(|adapter| adapter.usable_from);
        let late = late.filter(|at| *at != Time::default());
        let ready_at = ready_at.chain(late).min();
        ready_at.map_or(LoadStep::Idle, LoadStep::Wait)
    }

    /// Makes late adapters usable again after their delay.
    fn retry_late_adapters(&mut self, now: Time) {
        let late = self
            .resident
            .values_mut()
            .filter(|adapter| adapter.usable_from != Time::default() && adapter.usable_from <= now);
        for adapter in late {
            adapter.usable_from = Time::default();
            self.changed = true;
        }
    }

    fn complete_loads(
        &mut self,
        newest: &impl Fn(&AdapterKey) -> Option<AdapterVersion>,
        now: Time,
    ) {
        let arrived = self
            .pending_loads
            .iter()
            .filter(|(_, pending)| pending.ready_at <= now);
        let arrived = arrived
            .map(|(key, pending)| (key.clone(), *pending))
            .collect::<Vec<_>>();
        for (key, pending) in arrived {
            self.pending_loads.remove(&key);
            let version = pending.version.or_else(|| newest(&key));
            let mut resident = ResidentAdapter::new(version.unwrap_or(AdapterVersion(1)), now);
            if !pending.from_store {
                resident.assumed_copy_rank = self.recency_rank(&key);
            }
            self.record_use(&key, now);
            self.resident.insert(key, resident);
            self.changed = true;
        }
        let satisfied = |key: &AdapterKey, request: &LoadRequest| {
            self.resident.get(key).is_some_and(|adapter| {
                request
                    .version
                    .is_none_or(|wanted| adapter.version >= wanted)
            })
        };
        self.load_requests
            .retain(|key, request| !satisfied(key, request));
    }

    /// Returns the adapter for the most urgent requests; of several the one that most requests wait for, then the one
    /// requested first. A new
    /// version waits until the old one is idle.
    ///
    /// After a cold start every adapter is missing and loads queue up for seconds; loading a hot
    /// adapter serves many requests.
    fn next_load_request(&self, now: Time) -> Option<AdapterKey> {
        let open = self
            .load_requests
            .iter()
            .filter(|(key, _)| !self.pending_loads.contains_key(*key))
            .filter(|(key, _)| !(self.resident.contains_key(*key) && self.is_busy(key, now)));
        let most_requested = open.max_by_key(|(_, request)| {
            (
                std::cmp::Reverse(request.class(now)),
                request.estimated_requests(),
                std::cmp::Reverse(request.first_requested),
            )
        });
        most_requested.map(|(key, _)| key.clone())
    }

    fn evict(&mut self, expected_accepted: u64, now: Time) -> LoadStep {
        let last_use = |key: &AdapterKey| self.usage.get(key).map(|usage| usage.last_used);
        let victim = self
            .resident
            .keys()
            .filter(|key| !self.load_requests.contains_key(*key) && !self.is_busy(key, now))
            .filter(|key| !self.is_unloading(key))
            .min_by_key(|key| last_use(key))
            .cloned();
        match victim {
            Some(key) => {
                let kind = OrderKind::UnloadAdapter(key);
                LoadStep::Send(Order {
                    kind,
                    expected_accepted,
                })
            }
            None => LoadStep::Wait(now + EVICTION_RETRY_DELAY),
        }
    }
}
