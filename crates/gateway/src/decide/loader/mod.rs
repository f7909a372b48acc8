//! Orders loads and unloads on one engine, for whoever holds the lease of its shard.
//!
//! An engine counts the orders that it accepted, and each order names the count that it expects.
//! So of two orders that were sent for the same count only one is carried out, however late; an
//! order without an answer can't break the account of slots.

mod account;
mod copies;
mod entry;
mod order;
mod places;
mod wish;

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{AdapterVersion, BaseModel, Time};

use self::copies::MOST_USED;
use self::entry::{Coming, LateLoad, Resident, Use};
pub use self::order::{Order, OrderAnswer, OrderKind, Report};
pub use self::places::Places;
use self::wish::Wish;
use super::adapter::{AdapterAt, AdapterKey};

/// Adapters that an engine takes in at the same time.
pub const MAX_COMING: usize = 4;
/// Time until an adapter from the weight store can be used, as the engines state it; a little is
/// added for the way there.
const LOAD_FROM_STORE: Duration = Duration::from_millis(254);
/// The same where the engine held it lately: a tenth of it.
const LOAD_FROM_HOST: Duration = Duration::from_millis(27);
/// Time after an expected arrival in which a request that finds the adapter missing only shows that
/// the load takes longer than expected.
const LATE_ARRIVAL: Duration = Duration::from_millis(1_500);
/// Pause before a late adapter is expected again.
const LATE_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a refusal before the engine's report is read: reports lag a tenth of a second.
const REPORT_LAG: Duration = Duration::from_millis(130);
/// Longest time after which an order without an answer is carried out, by the users' sheet of
/// disruptions, and a little more.
pub const LATE_ORDER: Duration = Duration::from_secs(13);
/// One slot in so many is kept free while loads of the engine's former life may come of which this
/// instance knows nothing: a holder that died took the list of its unanswered orders along. An
/// engine that such a load overfills crashes. Several of them come one after the other only if each
/// names the engine's very count.
const UNKNOWN_PART: usize = 8;
/// Least such slots: of two late loads one after the other the second may come before the first one
/// shows in a report.
const LEAST_UNKNOWN: usize = 2;
/// Age of the last proof of the account after which the report is read again while late loads may
/// come. Nobody hears of them, and an engine that takes no other order would be filled by them one
/// by one.
const PROVE_EVERY: Duration = Duration::from_millis(250);
/// Pause before another try when nothing can be evicted.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// What to do next for an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadStep {
    /// Nothing to do.
    Idle,
    /// Look again at this time.
    Wait(Time),
    /// Read the engine's report.
    Read,
    /// Send this order.
    Send(Order),
}

/// The loader of one engine.
#[derive(Debug)]
pub struct Loader {
    slots: usize,
    accepted: Option<u64>,
    /// Least count that a report must show to be newer than what is known.
    least: u64,
    /// Since when reports show less.
    stale_since: Option<Time>,
    resident: HashMap<AdapterKey, Resident>,
    coming: HashMap<AdapterKey, Coming>,
    wishes: HashMap<AdapterKey, Wish>,
    used: HashMap<AdapterKey, Use>,
    model_wanted: Option<BaseModel>,
    not_before: Time,
    must_read: bool,
    /// When its report was last believed.
    read: Time,
    /// When the engine last proved the account, by a report or by taking an order.
    proved: Time,
    /// Until then loads may come that another holder ordered in the engine's former life.
    unknown_until: Time,
    /// Loads without an answer in this life of the engine.
    late: Vec<LateLoad>,
    /// The same from its former life.
    late_before: Vec<LateLoad>,
    /// Orders without an answer since the last one with one.
    unanswered: u32,
    /// Adapters, those in its slots included, of which the engine is taken to keep copies in host
    /// memory: a later load of one is ten times as quick.
    copies: usize,
    changed: bool,
}

impl Loader {
    /// A loader for an engine with room for `slots` adapters.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            accepted: None,
            least: 0,
            stale_since: None,
            resident: HashMap::new(),
            coming: HashMap::new(),
            wishes: HashMap::new(),
            used: HashMap::new(),
            model_wanted: None,
            not_before: Time::default(),
            must_read: false,
            read: Time::default(),
            proved: Time::default(),
            unknown_until: Time::default(),
            late: Vec::new(),
            late_before: Vec::new(),
            unanswered: 0,
            copies: MOST_USED,
            changed: false,
        }
    }

    /// Takes into account when the engine's present life was first seen.
    #[must_use]
    pub fn in_life_since(mut self, since: Time) -> Self {
        self.unknown_until = since + LATE_ORDER;
        self
    }

    /// Keeps slots for loads that were ordered in the engine's former life.
    #[must_use]
    pub fn after(mut self, former: &Self) -> Self {
        self.late_before = former
            .late
            .iter()
            .chain(&former.late_before)
            .copied()
            .collect();
        self
    }

    /// Slots that are kept for loads of the former life that may yet come.
    fn kept_slots(&self, accepted: u64, now: Time) -> usize {
        let mut counts = self
            .late_before
            .iter()
            .filter(|late| late.until > now && late.expected >= accepted)
            .map(|late| late.expected)
            .collect::<Vec<_>>();
        counts.sort_unstable();
        counts.dedup();
        let unknown = if now < self.unknown_until {
            self.slots.div_ceil(UNKNOWN_PART).max(LEAST_UNKNOWN)
        } else {
            0
        };
        counts.len().max(unknown).min(self.slots / 2)
    }

    /// A request wants `key`, at `version` or newer.
    pub fn wish(&mut self, key: AdapterKey, version: Option<AdapterVersion>, now: Time) {
        let wish = self.wishes.entry(key).or_insert_with(|| Wish::new(now));
        wish.uttered(version, now);
    }

    /// The engine lacks its base model.
    pub fn wish_model(&mut self, model: BaseModel) {
        self.model_wanted = Some(model);
    }

    /// A request was sent to `key` on this engine.
    pub fn begun(&mut self, key: &AdapterKey, now: Time) {
        self.touch(key, now).open += 1;
    }

    /// A request that was sent to `key` is over.
    pub fn ended(&mut self, key: &AdapterKey, now: Time) {
        let used = self.touch(key, now);
        used.open = used.open.saturating_sub(1);
        let proof = self.resident.get_mut(key);
        if let Some(rank) = proof.and_then(|held| held.from_copy.take()) {
            self.had_copy(rank);
        }
    }

    fn touch(&mut self, key: &AdapterKey, now: Time) -> &mut Use {
        let used = self
            .used
            .entry(key.clone())
            .or_insert(Use { last: now, open: 0 });
        used.last = now;
        used
    }

    fn leaves(&self, key: &AdapterKey) -> bool {
        self.resident.get(key).is_some_and(|held| held.leaves)
    }

    fn busy(&self, key: &AdapterKey, now: Time) -> bool {
        self.used.get(key).is_some_and(|used| used.busy(now))
    }

    /// A request found `key` missing on this engine.
    pub fn missing(&mut self, key: &AdapterKey, now: Time) {
        let Some(resident) = self.resident.get_mut(key) else {
            return;
        };
        self.changed = true;
        let lacked_copy = resident.from_copy.take();
        let first_time = !std::mem::replace(&mut resident.doubted, true);
        if first_time && now.since(resident.since) < LATE_ARRIVAL {
            resident.usable_from = now + LATE_PAUSE;
        } else {
            // It may be there in another version, so it goes on taking a slot until the engine
            // tells; an order that is answered meanwhile must not make up for the reading.
            resident.usable_from = Time(u64::MAX);
            self.must_read = true;
        }
        if let Some(rank) = lacked_copy {
            self.lacked_copy(rank);
        }
    }

    /// Adapters that can be used now.
    #[must_use]
    pub fn holdings(&self, now: Time) -> Vec<AdapterAt> {
        let usable = self
            .resident
            .iter()
            .filter(|(_, held)| held.usable_from <= now);
        usable
            .map(|(key, held)| AdapterAt {
                key: key.clone(),
                version: held.version,
            })
            .collect()
    }

    /// Whether the holdings changed since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Loads from the weight store that are under way.
    #[must_use]
    pub fn loading(&self) -> usize {
        let coming = self.coming.values();
        coming.filter(|coming| coming.from_store).count()
    }

    /// Adapters that are wanted and not on their way.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let open = self.wishes.keys();
        open.filter(|key| !self.coming.contains_key(*key)).count()
    }

    /// What to do next. `newest` tells the newest version of an adapter, where it has had several;
    /// `store_free`: another load from the weight store keeps full speed.
    pub fn step(
        &mut self,
        newest: impl Fn(&AdapterKey) -> Option<AdapterVersion>,
        store_free: bool,
        now: Time,
    ) -> LoadStep {
        self.arrive(&newest, now);
        self.wishes.retain(|_, wish| wish.is_alive(now));
        if now < self.not_before {
            return LoadStep::Wait(self.not_before);
        }
        let Some(expected) = self.accepted.filter(|_| !self.must_read) else {
            return LoadStep::Read;
        };
        let kept = self.kept_slots(expected, now);
        if kept > 0 && now.since(self.proved) > PROVE_EVERY {
            return LoadStep::Read;
        }
        let leaving = self.resident.values().any(|held| held.leaves);
        if leaving && now.since(self.read) > PROVE_EVERY {
            return LoadStep::Read;
        }
        self.wake_late(now);
        let slots = self.slots - kept;
        if self.resident.len() + self.coming.len() > slots {
            // A late load has taken a kept slot; the next one would be too many.
            return self.evict(expected, now);
        }
        if let Some(model) = self.model_wanted.take() {
            let what = OrderKind::LoadModel(model);
            return LoadStep::Send(Order { what, expected });
        }
        let Some(key) = self.next_wish(now) else {
            return self.earliest_arrival();
        };
        if self.coming.len() >= MAX_COMING || (!store_free && !self.has_copy(&key)) {
            return match self.earliest_arrival() {
                LoadStep::Idle => LoadStep::Wait(now + Duration::from_millis(20)),
                step => step,
            };
        }
        if self.leaves(&key) {
            self.must_read = true;
            return LoadStep::Wait(now + REPORT_LAG);
        }
        if self.resident.contains_key(&key) {
            // An older version makes way first: the engine may count both while it replaces.
            let what = OrderKind::UnloadAdapter(key);
            return LoadStep::Send(Order { what, expected });
        }
        if self.resident.len() + self.coming.len() >= slots {
            return self.evict(expected, now);
        }
        let version = newest(&key).max(self.wishes.get(&key).and_then(|wish| wish.version));
        let what = OrderKind::LoadAdapter(key, version);
        LoadStep::Send(Order { what, expected })
    }

    fn earliest_arrival(&self) -> LoadStep {
        let ready = self.coming.values().map(|coming| coming.ready);
        let late = self.resident.values().map(|held| held.usable_from);
        let late = late.filter(|at| *at != Time::default());
        let ready = ready.chain(late).min();
        ready.map_or(LoadStep::Idle, LoadStep::Wait)
    }

    /// Late adapters become usable again after their pause.
    fn wake_late(&mut self, now: Time) {
        let late = self
            .resident
            .values_mut()
            .filter(|held| held.usable_from != Time::default() && held.usable_from <= now);
        for held in late {
            held.usable_from = Time::default();
            self.changed = true;
        }
    }

    fn arrive(&mut self, newest: &impl Fn(&AdapterKey) -> Option<AdapterVersion>, now: Time) {
        let arrived = self.coming.iter().filter(|(_, coming)| coming.ready <= now);
        let arrived = arrived
            .map(|(key, coming)| (key.clone(), *coming))
            .collect::<Vec<_>>();
        for (key, coming) in arrived {
            self.coming.remove(&key);
            let version = coming.version.or_else(|| newest(&key));
            let mut resident = Resident::new(version.unwrap_or(AdapterVersion(1)), now);
            if !coming.from_store {
                resident.from_copy = self.copy_rank(&key);
            }
            self.touch(&key, now);
            self.resident.insert(key, resident);
            self.changed = true;
        }
        let satisfied = |key: &AdapterKey, wish: &Wish| {
            self.resident
                .get(key)
                .is_some_and(|held| wish.version.is_none_or(|wanted| held.version >= wanted))
        };
        self.wishes.retain(|key, wish| !satisfied(key, wish));
    }

    /// The wish that most requests wait for, the oldest among equals; a new version waits until the
    /// old one is idle.
    ///
    /// After a cold start every adapter is missing, and loads are queued for seconds: one for a hot
    /// adapter serves many requests.
    fn next_wish(&self, now: Time) -> Option<AdapterKey> {
        let open = self
            .wishes
            .iter()
            .filter(|(key, _)| !self.coming.contains_key(*key))
            .filter(|(key, _)| !(self.resident.contains_key(*key) && self.busy(key, now)));
        let most = open.max_by_key(|(_, wish)| (wish.waiting(), std::cmp::Reverse(wish.first)));
        most.map(|(key, _)| key.clone())
    }

    fn evict(&mut self, expected: u64, now: Time) -> LoadStep {
        let last_use = |key: &AdapterKey| self.used.get(key).map(|used| used.last);
        let victim = self
            .resident
            .keys()
            .filter(|key| !self.wishes.contains_key(*key) && !self.busy(key, now))
            .filter(|key| !self.leaves(key))
            .min_by_key(|key| last_use(key))
            .cloned();
        match victim {
            Some(key) => {
                let what = OrderKind::UnloadAdapter(key);
                LoadStep::Send(Order { what, expected })
            }
            None => LoadStep::Wait(now + FULL_PAUSE),
        }
    }
}
