//! Simulates a deployment in virtual time: callers and their retries, instances whose updates are
//! delayed, engines that process prompts one after the other, and a weight store that all engines
//! share.
//!
//! The real tables, loaders and target selection run in it; only their environment is simulated.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::ops::Range;
use std::time::Duration;

use bluebellstage_core::{Revision, TargetId, Time, Tokens};
use bluebellstage_gateway::decide::adapters::adapter::AdapterKey;
use bluebellstage_gateway::decide::adapters::load_wait::{
    LOAD_REQUEST_INTERVAL, LoadWaitAction, load_wait,
};
use bluebellstage_gateway::decide::adapters::loader::{LoadStep, Loader, Order, OrderOutcome};
use bluebellstage_gateway::decide::adapters::residency::ResidencyVersion;
use bluebellstage_gateway::decide::call::Call;
use bluebellstage_gateway::decide::config::{Route, RouteKind};
use bluebellstage_gateway::decide::peers::{Load, Peer};
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::prompt_queues::WaitingKey;
use bluebellstage_gateway::decide::ranked_tokens::RankClass;
use bluebellstage_gateway::decide::relay_update::RelayView;
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use bluebellstage_gateway::decide::retry_budget::RetryBudget;
use bluebellstage_gateway::decide::streams::times::EventGap;
use bluebellstage_gateway::decide::tables::{Tables, shard_of};
use bluebellstage_gateway::decide::wait_queue::{Room, Turn, WaitKey, WaitingCounts};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::Engine;
use super::{adapter, at, call, config, inform, member, peer, route, target};

/// Step of the virtual time.
const TICK: Duration = Duration::from_millis(5);
/// Interval between two rounds of gossip.
const GOSSIP_INTERVAL_MS: u64 = 100;
/// Target time to the first event.
const TARGET_LATENCY: Duration = Duration::from_millis(800);
/// Gap between two events that makes a stream late.
pub const MAX_GAP: Duration = Duration::from_millis(300);
/// Time between two events of a stream at an engine of speed 1 that processes no prompts.
const EVENT_TIME: Duration = Duration::from_millis(35);
/// Events of a stream.
const EVENTS: u64 = 20;
/// How long callers wait.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);
/// Duration of a load from host memory.
const LOAD_FROM_HOST: Duration = Duration::from_millis(25);
/// Duration of a load from the weight store at full speed.
const LOAD_FROM_STORE: Duration = Duration::from_millis(250);

/// A deployment and its load.
#[derive(Clone, Debug)]
pub struct LoadScenario {
    pub instances: usize,
    pub engines: usize,
    /// Adapter slots of an engine.
    pub adapter_slots: usize,
    /// Adapters that an engine keeps copies of in host memory.
    pub host_copies: usize,
    /// Concurrent loads that the weight store carries at full speed.
    pub max_concurrent_loads: usize,
    pub adapters: u32,
    /// An adapter's popularity is its rank to the power of minus this.
    pub skew: f64,
    pub requests_per_second: f64,
    /// Prompt tokens of each request.
    pub prompt_tokens: u64,
    /// Drafts of a later rank that are in no hurry; 0 for none.
    pub drafts_per_second: f64,
    /// Prompt tokens of each draft.
    pub draft_tokens: u64,
    /// Times at which more callers come.
    pub waves: Vec<Wave>,
    /// Second at which one in so many engines is lost.
    pub loss: Option<(u64, usize)>,
    /// Second at which all requests are lost and all instances begin anew.
    pub restart: Option<u64>,
    /// Whether requests wait for room in order.
    pub has_queue: bool,
    /// Whether prompts at engines are told apart by rank.
    pub knows_ranks: bool,
    /// Tokens that an engine processes per millisecond: the slowest and the fastest engine.
    pub tokens_per_ms: (f64, f64),
    /// Speeds of engines in turn, as multiples of the above.
    pub speeds: &'static [f64],
    /// Whether each engine is slower for a moment now and then.
    pub is_noisy: bool,
    /// Seconds in which a third of the requests have long prompts.
    pub long_prompts: Range<u64>,
    /// Target gap between events, if the route has one.
    pub target_gap: Option<Duration>,
    /// Time from the first event to the last.
    pub response_duration: Duration,
    pub seconds: u64,
    pub seed: u64,
}

/// A time at which more callers of one rank come.
#[derive(Clone, Copy, Debug)]
pub struct Wave {
    pub rank: u8,
    pub from: u64,
    pub until: u64,
    pub factor: f64,
}

/// Rank of drafts.
pub const DRAFT_RANK: u8 = 2;
/// Target time to the first event of drafts.
const DRAFT_LATENCY: Duration = Duration::from_secs(2);

/// What callers of one rank got.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outcomes {
    pub received: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Outcomes {
    pub fn fraction(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.received.max(1))
    }
}

/// Results of all requests.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub received: u32,
    /// Started within the target latency, counted from the first attempt.
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub by_rank: BTreeMap<u8, Outcomes>,
    /// Streams that began, and those of them with a gap over [`MAX_GAP`].
    pub streams: u32,
    pub long_gaps: u32,
    /// Loads from the weight store.
    pub loads: u32,
}

impl Results {
    pub fn in_time_fraction(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.received.max(1))
    }

    /// Share of all requests that began in time or late, and went on without a long gap.
    pub fn even_fraction(&self) -> f64 {
        f64::from(self.streams - self.long_gaps) / f64::from(self.received.max(1))
    }
}

/// A decision of the simulated deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// An instance sent a request on an adapter to an engine.
    Sent(TargetId, AdapterKey),
    /// An instance refused a request on an adapter.
    Refused(AdapterKey),
    /// A loader sent an order to its engine.
    Ordered(TargetId, Order),
}

struct Request {
    key: AdapterKey,
    prompt_tokens: u64,
    first_attempt: Time,
    attempt_started: Time,
    retry_at: Time,
    instance: usize,
    attempt: u32,
    rank: u8,
    /// Its place in the queue of its instance.
    place: Option<WaitKey>,
}

struct RunningRequest {
    request: Request,
    waiting: Option<WaitingKey>,
    /// When the first event is sent.
    starts_at: Option<Time>,
    engine: usize,
    id: u64,
    max_gap: Duration,
}

impl RunningRequest {
    /// Returns the time for which the engine processes prompts after this request's own.
    fn prompts_behind(&self, prompts: &[QueuedPrompt]) -> Duration {
        let own = (self.request.rank, self.id);
        let behind = prompts.iter();
        let behind =
            behind.filter(|prompt| self.starts_at.is_some() || (prompt.rank, prompt.id) > own);
        behind.map(|prompt| prompt.left).sum()
    }
}

/// A prompt at an engine; those of earlier ranks are processed first.
struct QueuedPrompt {
    rank: u8,
    id: u64,
    left: Duration,
}

struct EngineNode {
    id: TargetId,
    engine: Engine,
    loader: Loader,
    tokens_per_ms: f64,
    /// Time between two events of a stream while no prompts are processed.
    event_time: Duration,
    /// Offset of its slow moments, in milliseconds.
    phase: u64,
    /// Prompts that it has not processed.
    prompts: Vec<QueuedPrompt>,
    is_lost: bool,
    /// Adapters that it keeps copies of in host memory, the latest last.
    host_copies: VecDeque<AdapterKey>,
    updates_sent: u64,
}

struct Simulation {
    scenario: LoadScenario,
    rng: ChaCha8Rng,
    tables: Vec<Tables>,
    nodes: Vec<EngineNode>,
    waiting: Vec<Request>,
    running: Vec<RunningRequest>,
    sent: u64,
    cumulative_weights: Vec<f64>,
    results: Results,
    decisions: Vec<(Time, Decision)>,
}

impl LoadScenario {
    /// Runs the simulation.
    pub fn run(self) -> Results {
        self.run_recorded().0
    }

    /// Runs the simulation and returns all decisions as well.
    pub fn run_recorded(self) -> (Results, Vec<(Time, Decision)>) {
        let mut simulation = Simulation::new(self);
        let end = simulation.scenario.seconds * 1_000;
        let tick = u64::try_from(TICK.as_millis()).unwrap();
        for ms in (0..end).step_by(usize::try_from(tick).unwrap()) {
            simulation.tick(ms);
        }
        (simulation.results, simulation.decisions)
    }
}

impl Simulation {
    fn new(scenario: LoadScenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let nodes = (0..scenario.engines).map(|idx| EngineNode {
            id: TargetId::try_from(&*format!("e{idx}")).unwrap(),
            engine: Engine::new(scenario.adapter_slots),
            loader: Loader::new(scenario.adapter_slots),
            tokens_per_ms: rng.random_range(scenario.tokens_per_ms.0..=scenario.tokens_per_ms.1)
                * speed_of(&scenario, idx),
            event_time: EVENT_TIME.div_f64(speed_of(&scenario, idx)),
            phase: u64::try_from(idx).unwrap() * 1_009,
            prompts: Vec::new(),
            is_lost: false,
            host_copies: VecDeque::new(),
            updates_sent: 0,
        });
        let nodes = nodes.collect::<Vec<_>>();
        let tables = (0..scenario.instances).map(|idx| tables(&scenario, idx, &nodes));
        let mut tables = tables.collect::<Vec<_>>();
        introduce(&mut tables);
        let cumulative_weights = (1..=scenario.adapters).scan(0.0, |sum, rank| {
            *sum += f64::from(rank).powf(-scenario.skew);
            Some(*sum)
        });
        Self {
            cumulative_weights: cumulative_weights.collect(),
            tables,
            nodes,
            waiting: Vec::new(),
            running: Vec::new(),
            sent: 0,
            results: Results::default(),
            decisions: Vec::new(),
            rng,
            scenario,
        }
    }

    fn tick(&mut self, ms: u64) {
        let now = at(ms);
        for node in &mut self.nodes {
            node.engine.advance(now);
        }
        self.process_prompts(now);
        self.finish_requests(now);
        self.apply_faults(ms, now);
        self.add_requests(0, self.scenario.requests_per_second, now);
        self.add_requests(DRAFT_RANK, self.scenario.drafts_per_second, now);
        self.serve_due_requests(now);
        self.step_loaders(now);
        if ms.is_multiple_of(25) {
            self.publish_adapters(now);
        }
        if ms.is_multiple_of(GOSSIP_INTERVAL_MS) {
            self.gossip(now);
        }
    }

    /// Engines process the prompts of earlier ranks first.
    fn process_prompts(&mut self, now: Time) {
        for node in &mut self.nodes {
            let mut budget = TICK;
            loop {
                let next = node.prompts.iter().enumerate();
                let next = next.min_by_key(|(_, prompt)| (prompt.rank, prompt.id));
                let Some((idx, _)) = next else { break };
                let prompt = &mut node.prompts[idx];
                if prompt.left > budget {
                    prompt.left -= budget;
                    break;
                }
                budget -= prompt.left;
                let id = node.prompts.swap_remove(idx).id;
                let running = self.running.iter_mut().find(|running| running.id == id);
                running.unwrap().starts_at = Some(now - budget);
            }
        }
    }

    fn apply_faults(&mut self, ms: u64, now: Time) {
        if let Some((second, part)) = self.scenario.loss
            && ms == second * 1_000
        {
            let lost = self.nodes.len() / part;
            for idx in 0..lost {
                self.lose_engine(idx, now);
            }
        }
        if self.scenario.restart.map(|second| second * 1_000) == Some(ms) {
            self.restart_instances(now);
        }
    }

    fn lose_engine(&mut self, idx: usize, now: Time) {
        let node = &mut self.nodes[idx];
        node.is_lost = true;
        node.prompts.clear();
        for tables in &mut self.tables {
            tables.registry.remove(&node.id, Revision(9), now);
        }
        let (lost, rest) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running| running.engine == idx);
        self.running = rest;
        for mut running in Vec::from_iter::<Vec<RunningRequest>>(lost) {
            let tables = &mut self.tables[running.request.instance];
            tables.end_request(&self.nodes[idx].id);
            if let Some(waiting) = running.waiting.take() {
                tables.queues.remove(waiting);
                self.refuse_request(running.request, Duration::ZERO, now);
            }
        }
    }

    /// All instances begin anew at once: what waited or ran is lost, and its callers come again.
    fn restart_instances(&mut self, now: Time) {
        for idx in 0..self.tables.len() {
            self.tables[idx] = tables(&self.scenario, idx, &self.nodes);
        }
        introduce(&mut self.tables);
        self.publish_all(now);
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        for node in &mut self.nodes {
            node.prompts.clear();
        }
        for running in running {
            let node = &mut self.nodes[running.engine];
            node.engine.end_request(&running.request.key);
            node.loader.request_ended(&running.request.key, now);
            if running.waiting.is_some() {
                self.refuse_request(running.request, Duration::ZERO, now);
            }
        }
        for mut request in waiting {
            request.place = None;
            self.refuse_request(request, Duration::ZERO, now);
        }
    }

    fn factor(&self, rank: u8, now: Time) -> f64 {
        let waves = self.scenario.waves.iter();
        let mut current = waves.filter(|wave| {
            wave.rank == rank && now >= at(wave.from * 1_000) && now < at(wave.until * 1_000)
        });
        current.next().map_or(1.0, |wave| wave.factor)
    }

    fn add_requests(&mut self, rank: u8, per_second: f64, now: Time) {
        let expected_requests = per_second * self.factor(rank, now) * TICK.as_secs_f64();
        if expected_requests == 0.0 {
            return;
        }
        let mut count = expected_requests.floor();
        count += f64::from(u8::from(self.rng.random_bool(expected_requests.fract())));
        while count >= 1.0 {
            count -= 1.0;
            let point = self
                .rng
                .random_range(0.0..*self.cumulative_weights.last().unwrap());
            let popularity = self.cumulative_weights.partition_point(|sum| *sum < point);
            self.results.received += 1;
            self.results.by_rank.entry(rank).or_default().received += 1;
            let prompt_tokens = self.next_prompt(rank, now);
            self.waiting.push(Request {
                key: adapter(&format!("a{popularity}")),
                prompt_tokens,
                first_attempt: now,
                attempt_started: now,
                retry_at: now,
                instance: self.rng.random_range(0..self.scenario.instances),
                attempt: 1,
                rank,
                place: None,
            });
        }
    }

    /// Draws the prompt tokens of a request: long ones have 2,400 on average and up to 9,000.
    fn next_prompt(&mut self, rank: u8, now: Time) -> u64 {
        if rank == DRAFT_RANK {
            return self.scenario.draft_tokens;
        }
        let second = now.since(at(0)).as_secs();
        if self.scenario.long_prompts.contains(&second) && self.rng.random_bool(1.0 / 3.0) {
            let draw = self.rng.random_range(0.0..1.0_f64);
            let extra = Duration::from_secs_f64(8.0 * draw.powi(5));
            return 1_000 + u64::try_from(extra.as_millis()).unwrap();
        }
        self.scenario.prompt_tokens
    }

    fn serve_due_requests(&mut self, now: Time) {
        let (due, rest) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|request| request.retry_at <= now);
        self.waiting = rest;
        for request in Vec::from_iter::<Vec<Request>>(due) {
            self.place_request(request, now);
        }
    }

    fn place_request(&mut self, mut request: Request, now: Time) {
        let path = if request.rank == DRAFT_RANK {
            "/overnight/1"
        } else {
            "/draft/1"
        };
        let request_call = Call {
            prompt_tokens: Tokens(request.prompt_tokens),
            timeout: Some(CALLER_TIMEOUT),
            wanted: Some(
                bluebellstage_gateway::decide::adapters::adapter::RequestedModel::Adapter(
                    request.key.clone(),
                ),
            ),
            ..call(path, Some("key-1"))
        };
        let sample = self.rng.random();
        let tables = &mut self.tables[request.instance];
        let mut ticket = tables.admit(&request_call, 0, now).unwrap();
        if self.scenario.has_queue {
            ticket.set_patience(CALLER_TIMEOUT, request.attempt_started);
            ticket.waits = request.place.is_some();
        }
        let pick = tables.pick(&ticket, &request_call, &[], sample, now);
        let turn = tables.take_turn(request.place, &pick, (&ticket, &request_call), false, now);
        if let Pick::Late { load_at, .. } = &pick {
            self.request_load(load_at, &request, now);
        }
        match turn {
            Turn::TryNow => self.leave_queue(&mut request),
            Turn::Wait { key, until, .. } => {
                request.place = Some(key);
                request.retry_at = until;
                return self.waiting.push(request);
            }
            Turn::Refuse { room_in } => return self.refuse_request(request, room_in, now),
        }
        let tables = &mut self.tables[request.instance];
        match pick {
            Pick::Send {
                target, load_at, ..
            } => {
                self.request_load(&load_at, &request, now);
                self.send_request(request, &target, &request_call, now);
            }
            Pick::Load(target) => {
                let congested = tables.is_loading_congested(&ticket, now);
                let waited = now.since(request.attempt_started);
                match load_wait(waited, CALLER_TIMEOUT, TARGET_LATENCY, congested) {
                    LoadWaitAction::RequestLoad => self.request_load(&[target], &request, now),
                    LoadWaitAction::Wait => {}
                    LoadWaitAction::Refuse => {
                        return self.refuse_request(request, Duration::ZERO, now);
                    }
                }
                // Woken by each adapter update, 25 ms apart; its load request is repeated less
                // often.
                request.retry_at = now + LOAD_REQUEST_INTERVAL / 2;
                self.waiting.push(request);
            }
            Pick::Late {
                excess, load_at, ..
            } => {
                self.request_load(&load_at, &request, now);
                self.refuse_request(request, excess, now);
            }
            Pick::Cold { .. } | Pick::Resting { .. } | Pick::Full | Pick::NoTarget => {
                self.refuse_request(request, Duration::ZERO, now);
            }
        }
    }

    /// Lets those in the queue of an instance try that may find room now.
    fn wake(&mut self, instance: usize, room: &Room, now: Time) {
        let services = self.tables[instance].wait_queue.room_came(room);
        for service in services {
            while let Some(key) = self.tables[instance].wait_queue.next(service, now) {
                let is_next =
                    |request: &Request| request.instance == instance && request.place == Some(key);
                let idx = self.waiting.iter().position(is_next).unwrap();
                let request = self.waiting.remove(idx);
                self.place_request(request, now);
            }
        }
    }

    fn wake_all(&mut self, now: Time) {
        for instance in 0..self.tables.len() {
            self.wake(instance, &Room::Anywhere, now);
        }
    }

    fn leave_queue(&mut self, request: &mut Request) {
        if let Some(key) = request.place.take() {
            self.tables[request.instance].wait_queue.leave(key);
        }
    }

    fn request_load(&mut self, targets: &[TargetId], request: &Request, now: Time) {
        let class = RankClass::after(usize::from(request.rank));
        for node in &mut self.nodes {
            if targets.contains(&node.id) {
                let key = request.key.clone();
                node.loader.request_load_for(class, key, None, now);
            }
        }
    }

    fn refuse_request(&mut self, mut request: Request, excess: Duration, now: Time) {
        let decision = Decision::Refused(request.key.clone());
        self.decisions.push((now, decision));
        self.leave_queue(&mut request);
        if request.attempt > 1 {
            self.results.refused += 1;
            self.results
                .by_rank
                .entry(request.rank)
                .or_default()
                .refused += 1;
            return;
        }
        request.attempt += 1;
        let delay = Duration::from_millis(self.rng.random_range(80..320));
        request.retry_at = now + excess + delay;
        request.attempt_started = request.retry_at;
        self.waiting.push(request);
    }

    fn send_request(
        &mut self,
        mut request: Request,
        target: &TargetId,
        request_call: &Call,
        now: Time,
    ) {
        let decision = Decision::Sent(target.clone(), request.key.clone());
        self.decisions.push((now, decision));
        let idx = self.nodes.iter().position(|node| node.id == *target);
        let idx = idx.unwrap();
        let node = &mut self.nodes[idx];
        let tables = &mut self.tables[request.instance];
        if !node.engine.start_request(&request.key) {
            tables.residency.record_missing(target, &request.key, now);
            node.loader.adapter_missing(&request.key, now);
            request.retry_at = now + TICK;
            return self.waiting.push(request);
        }
        node.loader.request_started(&request.key, now);
        tables.start_request(target, now);
        let class = if self.scenario.knows_ranks {
            RankClass::after(usize::from(request.rank))
        } else {
            RankClass::default()
        };
        let waiting = tables.record_prompt(target, class, request_call, now);
        tables.residency.record_success(target, &request.key);
        let tokens = f64::from(u32::try_from(request.prompt_tokens).unwrap());
        let slowness = if self.scenario.is_noisy {
            node.slowness(now)
        } else {
            1.0
        };
        let prompt_duration = Duration::from_secs_f64(tokens / node.tokens_per_ms / 1_000.0);
        self.sent += 1;
        let id = self.sent;
        node.prompts.push(QueuedPrompt {
            rank: request.rank,
            id,
            left: prompt_duration.mul_f64(slowness),
        });
        let event_time = node.event_time.mul_f64(slowness);
        let at_engine = self.running.iter_mut();
        for running in at_engine.filter(|running| running.engine == idx) {
            let gap = running.prompts_behind(&node.prompts) + event_time;
            running.max_gap = running.max_gap.max(gap);
        }
        self.running.push(RunningRequest {
            request,
            waiting: Some(waiting),
            starts_at: None,
            engine: idx,
            id,
            max_gap: event_time,
        });
    }

    fn finish_requests(&mut self, now: Time) {
        let mut room = Vec::new();
        let duration = self.scenario.response_duration;
        for running in &mut self.running {
            if let Some(starts_at) = running.starts_at
                && let Some(waiting) = running.waiting.take()
            {
                let tables = &mut self.tables[running.request.instance];
                tables.record_started(waiting, starts_at);
                self.results.streams += 1;
                room.push((running.request.instance, running.engine));
                let elapsed = starts_at.since(running.request.first_attempt);
                let outcomes = self
                    .results
                    .by_rank
                    .entry(running.request.rank)
                    .or_default();
                if elapsed <= latency(running.request.rank) {
                    self.results.in_time += 1;
                    outcomes.in_time += 1;
                } else {
                    self.results.late += 1;
                    outcomes.late += 1;
                }
            }
        }
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running| running.starts_at.is_some_and(|at| at + duration <= now));
        self.running = running;
        for running in Vec::from_iter::<Vec<RunningRequest>>(ended) {
            let node = &mut self.nodes[running.engine];
            node.engine.end_request(&running.request.key);
            node.loader.request_ended(&running.request.key, now);
            let tables = &mut self.tables[running.request.instance];
            tables.end_request(&node.id);
            let is_long = running.max_gap > MAX_GAP;
            self.results.long_gaps += u32::from(is_long);
            let gap = EventGap {
                events: EVENTS,
                gap: node.event_time * u32::try_from(EVENTS).unwrap(),
            };
            tables.record_events(&node.id, gap, is_long, now);
            room.push((running.request.instance, running.engine));
        }
        for (instance, engine) in room {
            let id = self.nodes[engine].id.clone();
            self.wake(instance, &Room::At(id), now);
        }
    }

    fn step_loaders(&mut self, now: Time) {
        for idx in 0..self.nodes.len() {
            let all = self
                .nodes
                .iter()
                .map(|node| node.engine.loads_in_progress());
            let all = all.sum::<usize>();
            let has_store_capacity = all < self.scenario.max_concurrent_loads;
            let node = &mut self.nodes[idx];
            if node.is_lost {
                continue;
            }
            match node.loader.step(|_| None, has_store_capacity, now) {
                LoadStep::Idle | LoadStep::Wait(_) => {}
                LoadStep::Read => node.loader.apply_report(Some(node.engine.report(now)), now),
                LoadStep::Send(order) => {
                    let decision = Decision::Ordered(node.id.clone(), order.clone());
                    self.decisions.push((now, decision));
                    let key = loaded_adapter(&order.kind);
                    let has_host_copy = key.is_some_and(|key| node.host_copies.contains(key));
                    let duration = if has_host_copy {
                        LOAD_FROM_HOST
                    } else {
                        LOAD_FROM_STORE
                    };
                    node.engine.load_duration = duration;
                    let outcome = node.engine.handle_order(&order, now);
                    node.loader.record_outcome(&order, outcome, 1.0, now);
                    if outcome == OrderOutcome::Accepted
                        && let Some(key) = key
                    {
                        self.results.loads += u32::from(!has_host_copy);
                        node.host_copies.retain(|other| other != key);
                        node.host_copies.push_back(key.clone());
                        let excess = node
                            .host_copies
                            .len()
                            .saturating_sub(self.scenario.host_copies);
                        node.host_copies.drain(..excess);
                    }
                }
            }
        }
    }

    fn publish_adapters(&mut self, now: Time) {
        let mut has_changed = false;
        for idx in 0..self.nodes.len() {
            if self.nodes[idx].loader.take_changed() {
                self.publish(idx, now);
                has_changed = true;
            }
        }
        if has_changed {
            self.wake_all(now);
        }
    }

    fn publish_all(&mut self, now: Time) {
        for idx in 0..self.nodes.len() {
            self.publish(idx, now);
        }
    }

    fn publish(&mut self, idx: usize, now: Time) {
        let node = &mut self.nodes[idx];
        {
            node.updates_sent += 1;
            let order = ResidencyVersion {
                fencing: 1,
                count: node.updates_sent,
            };
            let adapters = node.loader.usable_adapters(now);
            for tables in &mut self.tables {
                tables
                    .residency
                    .apply_loader_update(&node.id, order, &adapters, now);
            }
        }
    }

    fn gossip(&mut self, now: Time) {
        let count = self.tables.len();
        let mut updates = Vec::new();
        for idx in 0..count {
            let is_local = |node: &&EngineNode| owner_index(&node.id, count) == idx;
            let local_nodes = self.nodes.iter().filter(is_local);
            let places = local_nodes.clone().map(|node| {
                let hash = ShortHash::of(node.id.as_str());
                (hash, node.loader.adapter_slots(now))
            });
            let places = places.collect::<HashMap<_, _>>();
            let waiting = local_nodes
                .clone()
                .map(|node| node.loader.waiting_adapters())
                .sum::<usize>();
            let loading = local_nodes
                .map(|node| node.loader.store_loads_in_progress())
                .sum::<usize>();
            let tables = &mut self.tables[idx];
            tables.loads.adapter_slots.clone_from(&places);
            tables.loads.waiting = u16::try_from(waiting).unwrap();
            tables.loads.active = u16::try_from(loading).unwrap();
            tables.sweep(now);
            let loads = tables.local_loads();
            let loads = loads.map(|(id, load)| (ShortHash::of(id.as_str()), load));
            let update = Peer {
                in_flight: loads.collect(),
                waiting: tables.wait_queue.local_counts(now),
                loads: tables.loads.active,
                waiting_loads: tables.loads.waiting,
                adapter_slots: places,
                shards: tables.shards.clone(),
                ..peer(tables.local.name.as_str(), now)
            };
            updates.push(update);
        }
        spread(&mut self.tables, &updates, now);
        self.spread_pace(now);
        self.wake_all(now);
    }

    fn spread_pace(&mut self, now: Time) {
        if self.tables.len() > MAX_MESH {
            return;
        }
        for idx in 0..self.tables.len() {
            let from = &mut self.tables[idx];
            let name = ShortHash::of(from.local.name.as_str());
            let reports = from.pace.take_reports(now);
            let others = self.tables.iter_mut().enumerate();
            for (_, tables) in others.filter(|(other, _)| *other != idx) {
                tables.pace.record_peer(name, &reports, now);
            }
        }
    }
}

/// Largest number of instances that tell each other everything directly.
const MAX_MESH: usize = 16;

fn speed_of(scenario: &LoadScenario, idx: usize) -> f64 {
    let speeds = scenario.speeds;
    if speeds.is_empty() {
        return 1.0;
    }
    speeds[idx % speeds.len()]
}

impl EngineNode {
    /// Returns by how much the engine is slower at the moment: 2.5 times for 0.6 of 4 s.
    fn slowness(&self, now: Time) -> f64 {
        let ms = u64::try_from(now.since(at(0)).as_millis()).unwrap() + self.phase;
        if ms % 4_000 < 600 { 2.5 } else { 1.0 }
    }
}

fn latency(rank: u8) -> Duration {
    if rank == DRAFT_RANK {
        DRAFT_LATENCY
    } else {
        TARGET_LATENCY
    }
}

/// Makes all instances of a large deployment known to each other for good.
fn introduce(tables: &mut [Tables]) {
    if tables.len() <= MAX_MESH {
        return;
    }
    let peers = tables.iter().map(|tables| Peer {
        shards: tables.shards.clone(),
        ..peer(tables.local.name.as_str(), at(10_000_000))
    });
    let peers = peers.collect::<Vec<_>>();
    for (idx, tables) in tables.iter_mut().enumerate() {
        let others = peers.iter().enumerate().filter(|(other, _)| *other != idx);
        for (_, peer) in others {
            tables.peers.update(peer.clone());
        }
    }
}

/// Tells the updates of all instances to all: directly, or in a large deployment as sums.
fn spread(tables: &mut [Tables], updates: &[Peer], now: Time) {
    let is_mesh = tables.len() <= MAX_MESH;
    let mut sums = HashMap::<ShortHash, Load>::new();
    for (hash, load) in updates.iter().flat_map(|update| &update.in_flight) {
        sums.entry(*hash).or_default().add(*load);
    }
    for (idx, tables) in tables.iter_mut().enumerate() {
        let others = updates.iter().enumerate();
        let others = others.filter(|(other, _)| *other != idx);
        let others = others.map(|(_, update)| update);
        for update in others
            .clone()
            .filter(|update| is_mesh || !update.shards.is_empty())
        {
            let last_seen = if is_mesh { now } else { at(10_000_000) };
            tables.peers.update(Peer {
                last_seen: Some(last_seen),
                ..update.clone()
            });
        }
        if is_mesh {
            continue;
        }
        let mut loads = sums.clone();
        for (hash, load) in &updates[idx].in_flight {
            loads.entry(*hash).or_default().subtract(*load);
        }
        let mut waiting = WaitingCounts::default();
        others.for_each(|update| waiting.add_all(&update.waiting));
        tables.peers.set_view(Some(RelayView {
            relay: updates[0].member.name.clone(),
            at: now,
            lag: Duration::ZERO,
            loads,
            waiting,
        }));
    }
}

fn loaded_adapter(
    kind: &bluebellstage_gateway::decide::adapters::loader::OrderKind,
) -> Option<&AdapterKey> {
    use bluebellstage_gateway::decide::adapters::loader::OrderKind;
    match kind {
        OrderKind::LoadAdapter(key, _) => Some(key),
        OrderKind::LoadModel(_) | OrderKind::UnloadAdapter(_) => None,
    }
}

/// Returns the index of the instance that orders loads on an engine.
fn owner_index(id: &TargetId, instances: usize) -> usize {
    usize::from(shard_of(id)) % instances
}

fn tables(scenario: &LoadScenario, idx: usize, nodes: &[EngineNode]) -> Tables {
    let budget = RetryBudget {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 10.0,
    };
    let mut tables = Tables::new(member(&format!("i{idx}"), "north"), budget);
    let mut cfg = config(1);
    cfg.routes[0].target_latency = TARGET_LATENCY;
    cfg.routes[0].target_gap = scenario.target_gap;
    if scenario.drafts_per_second > 0.0 {
        cfg.routes.push(Route {
            rank: DRAFT_RANK,
            target_latency: DRAFT_LATENCY,
            ..route(
                "overnight",
                "/overnight/",
                "writers",
                RouteKind::SingleStream,
            )
        });
    }
    let engine = cfg.services[0].engine.as_mut().unwrap();
    engine.slots = 64;
    engine.adapter_slots = u32::try_from(scenario.adapter_slots).unwrap();
    engine.adapter_loads_at_once = u32::try_from(scenario.max_concurrent_loads).unwrap();
    cfg.services[0].max_connections = 360;
    assert!(tables.adopt(cfg, at(0)));
    inform(&mut tables);
    for node in nodes {
        let mut engine = target(node.id.as_str(), "writers");
        engine.slots = 64;
        tables.residency.apply_registration(&engine, at(0));
        tables.registry.put(engine, Revision(1), at(0));
    }
    let held = nodes
        .iter()
        .filter(|node| owner_index(&node.id, scenario.instances) == idx);
    let held = held.map(|node| shard_of(&node.id)).collect::<HashSet<_>>();
    tables.shards = held.into_iter().collect();
    tables
}
