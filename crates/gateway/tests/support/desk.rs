//! A deployment in virtual time: callers and their retries, instances whose news is late, engines that
//! read prompts one after the other, and a weight store that all share.
//!
//! The real tables, loaders and choices run in it; only what is around them is a model.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use bluebellstage_core::{Revision, TargetId, Time, Tokens};
use bluebellstage_gateway::decide::adapter::AdapterKey;
use bluebellstage_gateway::decide::call::Call;
use bluebellstage_gateway::decide::load_wait::{ASK_AGAIN, LoadWait, load_wait};
use bluebellstage_gateway::decide::loader::{LoadStep, Loader, OrderAnswer};
use bluebellstage_gateway::decide::peers::Peer;
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::prompt_queues::WaitingKey;
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use bluebellstage_gateway::decide::residency::WordOrder;
use bluebellstage_gateway::decide::retry_budget::RetryBudget;
use bluebellstage_gateway::decide::tables::{Tables, shard_of};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::Engine;
use super::{adapter, at, call, config, member, peer, target};

/// Step of the virtual time.
const TICK: Duration = Duration::from_millis(5);
/// Time between two rounds of gossip.
const ROUND_MS: u64 = 100;
/// Time to the first event that callers want.
const LATENCY: Duration = Duration::from_millis(800);
/// How long callers wait.
const PATIENCE: Duration = Duration::from_secs(4);
/// Time of a load from host memory.
const FROM_HOST: Duration = Duration::from_millis(25);
/// Time of a load from the weight store at full speed.
const FROM_STORE: Duration = Duration::from_millis(250);

/// The load of a deployment.
#[derive(Clone, Debug)]
pub struct Desk {
    pub instances: usize,
    pub engines: usize,
    /// Places for adapters on an engine.
    pub places: usize,
    /// Adapters that an engine keeps copies of.
    pub copies: usize,
    /// Loads that the weight store carries at full speed.
    pub loads_at_once: usize,
    pub adapters: u32,
    /// Popularity falls by rank to this power.
    pub skew: f64,
    /// Requests a second.
    pub rate: f64,
    /// Prompt tokens of a request.
    pub prompt: u64,
    /// Tokens that an engine reads in a millisecond, the slowest and the quickest.
    pub speed: (f64, f64),
    /// Time from the first event to the last.
    pub answer: Duration,
    pub seconds: u64,
    pub seed: u64,
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct Got {
    pub asked: u32,
    /// Began within the target latency, counted from the first attempt.
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Loads from the weight store.
    pub loads: u32,
}

impl Got {
    pub fn in_time_part(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

struct Request {
    key: AdapterKey,
    first: Time,
    began: Time,
    again: Time,
    instance: usize,
    attempt: u32,
}

struct Running {
    request: Request,
    waiting: Option<WaitingKey>,
    /// When it begins, and when it ends.
    begins: Time,
    ends: Time,
    engine: usize,
}

struct Seat {
    id: TargetId,
    engine: Engine,
    loader: Loader,
    speed: f64,
    /// Until then it reads what it has.
    busy_until: Time,
    /// Adapters of which it keeps copies, the latest at the end.
    kept: VecDeque<AdapterKey>,
    words: u64,
}

struct World {
    desk: Desk,
    rng: ChaCha8Rng,
    tables: Vec<Tables>,
    seats: Vec<Seat>,
    waiting: Vec<Request>,
    running: Vec<Running>,
    weights: Vec<f64>,
    got: Got,
}

impl Desk {
    /// Plays it.
    pub fn play(self) -> Got {
        let mut world = World::new(self);
        let end = world.desk.seconds * 1_000;
        let tick = u64::try_from(TICK.as_millis()).unwrap();
        for ms in (0..end).step_by(usize::try_from(tick).unwrap()) {
            world.tick(ms);
        }
        world.got
    }
}

impl World {
    fn new(desk: Desk) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(desk.seed);
        let seats = (0..desk.engines).map(|idx| Seat {
            id: TargetId::try_from(&*format!("e{idx}")).unwrap(),
            engine: Engine::new(desk.places),
            loader: Loader::new(desk.places),
            speed: rng.random_range(desk.speed.0..=desk.speed.1),
            busy_until: at(0),
            kept: VecDeque::new(),
            words: 0,
        });
        let seats = seats.collect::<Vec<_>>();
        let tables = (0..desk.instances).map(|idx| tables(&desk, idx, &seats));
        let tables = tables.collect();
        let weights = (1..=desk.adapters).scan(0.0, |sum, rank| {
            *sum += f64::from(rank).powf(-desk.skew);
            Some(*sum)
        });
        Self {
            weights: weights.collect(),
            tables,
            seats,
            waiting: Vec::new(),
            running: Vec::new(),
            got: Got::default(),
            rng,
            desk,
        }
    }

    fn tick(&mut self, ms: u64) {
        let now = at(ms);
        for seat in &mut self.seats {
            seat.engine.pass(now);
        }
        self.finish(now);
        self.arrive(now);
        self.serve(now);
        self.load(now);
        if ms.is_multiple_of(25) {
            self.tell_holdings(now);
        }
        if ms.is_multiple_of(ROUND_MS) {
            self.gossip(now);
        }
    }

    fn arrive(&mut self, now: Time) {
        let wanted = self.desk.rate * TICK.as_secs_f64();
        let mut count = wanted.floor();
        count += f64::from(u8::from(self.rng.random_bool(wanted.fract())));
        while count >= 1.0 {
            count -= 1.0;
            let point = self.rng.random_range(0.0..*self.weights.last().unwrap());
            let rank = self.weights.partition_point(|sum| *sum < point);
            self.got.asked += 1;
            self.waiting.push(Request {
                key: adapter(&format!("a{rank}")),
                first: now,
                began: now,
                again: now,
                instance: self.rng.random_range(0..self.desk.instances),
                attempt: 1,
            });
        }
    }

    fn serve(&mut self, now: Time) {
        let (due, rest) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|request| request.again <= now);
        self.waiting = rest;
        for request in Vec::from_iter::<Vec<Request>>(due) {
            self.place(request, now);
        }
    }

    fn place(&mut self, mut request: Request, now: Time) {
        let asked = Call {
            prompt_tokens: Tokens(self.desk.prompt),
            timeout: Some(PATIENCE),
            wanted: Some(bluebellstage_gateway::decide::adapter::Wanted::Adapter(
                request.key.clone(),
            )),
            ..call("/draft/1", Some("key-1"))
        };
        let draw = self.rng.random();
        let tables = &mut self.tables[request.instance];
        let ticket = tables.admit(&asked, 0, now).unwrap();
        match tables.pick(&ticket, &asked, &[], draw, now) {
            Pick::Send {
                target, load_at, ..
            } => {
                self.wish(&load_at, &request.key, now);
                self.send(request, &target, &asked, now);
            }
            Pick::Load(target) => {
                let crowded = tables.loads_crowded(&ticket, now);
                let waited = now.since(request.began);
                match load_wait(waited, PATIENCE, LATENCY, crowded) {
                    LoadWait::Ask => self.wish(&[target], &request.key, now),
                    LoadWait::Wait => {}
                    LoadWait::GiveUp => return self.refuse(request, Duration::ZERO, now),
                }
                // Woken by each word on holdings, 25 ms apart; its wish goes out less often.
                request.again = now + ASK_AGAIN / 2;
                self.waiting.push(request);
            }
            Pick::Late { excess, load_at } => {
                self.wish(&load_at, &request.key, now);
                self.refuse(request, excess, now);
            }
            Pick::Full | Pick::Nowhere => self.refuse(request, Duration::ZERO, now),
        }
    }

    fn wish(&mut self, places: &[TargetId], key: &AdapterKey, now: Time) {
        for seat in &mut self.seats {
            if places.contains(&seat.id) {
                seat.loader.wish(key.clone(), None, now);
            }
        }
    }

    fn refuse(&mut self, mut request: Request, excess: Duration, now: Time) {
        if request.attempt > 1 {
            self.got.refused += 1;
            return;
        }
        request.attempt += 1;
        let pause = Duration::from_millis(self.rng.random_range(80..320));
        request.again = now + excess + pause;
        request.began = request.again;
        self.waiting.push(request);
    }

    fn send(&mut self, mut request: Request, target: &TargetId, asked: &Call, now: Time) {
        let idx = self.seats.iter().position(|seat| seat.id == *target);
        let idx = idx.unwrap();
        let seat = &mut self.seats[idx];
        let tables = &mut self.tables[request.instance];
        if !seat.engine.begin(&request.key) {
            tables.residency.missing(target, &request.key, now);
            seat.loader.missing(&request.key, now);
            request.again = now + TICK;
            return self.waiting.push(request);
        }
        seat.loader.begun(&request.key, now);
        tables.begin(target);
        let waiting = tables.sent_prompt(target, asked, now);
        tables.residency.proved(target, &request.key);
        let tokens = f64::from(u32::try_from(self.desk.prompt).unwrap());
        let reading = Duration::from_secs_f64(tokens / seat.speed / 1_000.0);
        seat.busy_until = seat.busy_until.max(now) + reading;
        self.running.push(Running {
            request,
            waiting: Some(waiting),
            begins: seat.busy_until,
            ends: seat.busy_until + self.desk.answer,
            engine: idx,
        });
    }

    fn finish(&mut self, now: Time) {
        for running in &mut self.running {
            if running.begins <= now
                && let Some(waiting) = running.waiting.take()
            {
                let tables = &mut self.tables[running.request.instance];
                tables.queues.began(waiting, running.begins);
                let took = running.begins.since(running.request.first);
                if took <= LATENCY {
                    self.got.in_time += 1;
                } else {
                    self.got.late += 1;
                }
            }
        }
        let (over, going) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running| running.ends <= now);
        self.running = going;
        for running in Vec::from_iter::<Vec<Running>>(over) {
            let seat = &mut self.seats[running.engine];
            seat.engine.end(&running.request.key);
            seat.loader.ended(&running.request.key, now);
            self.tables[running.request.instance].end(&seat.id);
        }
    }

    fn load(&mut self, now: Time) {
        for idx in 0..self.seats.len() {
            let all = self.seats.iter().map(|seat| seat.engine.coming());
            let all = all.sum::<usize>();
            let free = all < self.desk.loads_at_once;
            let seat = &mut self.seats[idx];
            match seat.loader.step(|_| None, free, now) {
                LoadStep::Idle | LoadStep::Wait(_) => {}
                LoadStep::Read => seat.loader.reported(Some(seat.engine.report(now)), now),
                LoadStep::Send(order) => {
                    let key = order_key(&order.what);
                    let kept = key.is_some_and(|key| seat.kept.contains(key));
                    let takes = if kept { FROM_HOST } else { FROM_STORE };
                    seat.engine.load_takes = takes;
                    let answer = seat.engine.take(&order, now);
                    seat.loader.answered(&order, answer, 1.0, now);
                    if answer == OrderAnswer::Accepted
                        && let Some(key) = key
                    {
                        self.got.loads += u32::from(!kept);
                        seat.kept.retain(|other| other != key);
                        seat.kept.push_back(key.clone());
                        let more = seat.kept.len().saturating_sub(self.desk.copies);
                        seat.kept.drain(..more);
                    }
                }
            }
        }
    }

    fn tell_holdings(&mut self, now: Time) {
        for seat in &mut self.seats {
            if !seat.loader.take_changed() {
                continue;
            }
            seat.words += 1;
            let order = WordOrder {
                fencing: 1,
                count: seat.words,
            };
            let held = seat.loader.holdings(now);
            for tables in &mut self.tables {
                tables.residency.told(&seat.id, order, &held, now);
            }
        }
    }

    fn gossip(&mut self, now: Time) {
        let count = self.tables.len();
        for idx in 0..count {
            let own = |seat: &&Seat| holder(&seat.id, count) == idx;
            let own = self.seats.iter().filter(own);
            let places = own.clone().map(|seat| {
                let hash = ShortHash::of(seat.id.as_str());
                (hash, seat.loader.places(now))
            });
            let places = places.collect::<HashMap<_, _>>();
            let waiting = own.clone().map(|seat| seat.loader.waiting()).sum::<usize>();
            let loading = own.map(|seat| seat.loader.loading()).sum::<usize>();
            let tables = &mut self.tables[idx];
            tables.loads.places.clone_from(&places);
            tables.loads.waiting = u16::try_from(waiting).unwrap();
            tables.loads.under_way = u16::try_from(loading).unwrap();
            tables.sweep(now);
            let loads = tables.own_loads();
            let loads = loads.map(|(id, load)| (ShortHash::of(id.as_str()), load));
            let told = Peer {
                in_flight: loads.collect(),
                loads: tables.loads.under_way,
                waiting_loads: tables.loads.waiting,
                places,
                shards: tables.shards.clone(),
                ..peer(tables.me.name.as_str(), now)
            };
            for (other, tables) in self.tables.iter_mut().enumerate() {
                if other != idx {
                    tables.peers.heard(told.clone());
                }
            }
        }
    }
}

fn order_key(what: &bluebellstage_gateway::decide::loader::OrderKind) -> Option<&AdapterKey> {
    use bluebellstage_gateway::decide::loader::OrderKind;
    match what {
        OrderKind::LoadAdapter(key, _) => Some(key),
        OrderKind::LoadModel(_) | OrderKind::UnloadAdapter(_) => None,
    }
}

/// The instance that orders loads on an engine.
fn holder(id: &TargetId, instances: usize) -> usize {
    usize::from(shard_of(id)) % instances
}

fn tables(desk: &Desk, idx: usize, seats: &[Seat]) -> Tables {
    let budget = RetryBudget {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 10.0,
    };
    let mut tables = Tables::new(member(&format!("i{idx}"), "north"), budget);
    let mut cfg = config(1);
    cfg.routes[0].target_latency = LATENCY;
    let engine = cfg.services[0].engine.as_mut().unwrap();
    engine.slots = 64;
    engine.adapter_slots = u32::try_from(desk.places).unwrap();
    engine.adapter_loads_at_once = u32::try_from(desk.loads_at_once).unwrap();
    cfg.services[0].max_connections = 360;
    assert!(tables.adopt(cfg, at(0)));
    for seat in seats {
        let mut engine = target(seat.id.as_str(), "writers");
        engine.slots = 64;
        tables.residency.registered(&engine, at(0));
        tables.registry.put(engine, Revision(1), at(0));
    }
    let held = seats
        .iter()
        .filter(|seat| holder(&seat.id, desk.instances) == idx);
    let held = held.map(|seat| shard_of(&seat.id)).collect::<HashSet<_>>();
    tables.shards = held.into_iter().collect();
    tables
}
