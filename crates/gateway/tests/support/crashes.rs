//! Simulation of engines that crash under requests, in virtual time. Callers retry at random instances, and
//! instances exchange messages over a network with delays and losses. Each instance runs the real quarantine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::ops::Range;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time, WorkspaceId};
use bluebellstage_gateway::decide::quarantine::{
    Crash, EVALUATION_DELAY, Fingerprint, InterruptedRun, Quarantine, QuarantineMessage,
};
use bluebellstage_gateway::decide::rendezvous::{ShortHash, weight};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::at;

/// Runs per attempt of a caller.
const RUNS_PER_ATTEMPT: u32 = 2;
/// Attempts per caller.
const MAX_ATTEMPTS: u32 = 2;
/// Time after the third crash in which instances may still learn of it.
const PROPAGATION_MS: u64 = 3_000;
/// Interval between the rounds in which messages are sent again.
const ROUND_INTERVAL_MS: u64 = 100;
/// Time from an engine's crash to its detection.
const DETECTION_MS: u64 = 11;

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct CrashScenario {
    pub instances: usize,
    pub engines: usize,
    /// Requests per second.
    pub rate: u32,
    pub adapters: usize,
    /// Number of requests that crash every engine that starts them; they are retried until the simulation
    /// ends.
    pub bad: usize,
    /// Number of different bodies of the other requests; `None` if every request has its own.
    pub bodies: Option<usize>,
    /// Crashes for another reason: the time, and the number of engines that crash together.
    pub outages: Vec<(u64, usize)>,
    /// Probability that a message is lost.
    pub loss_probability: f64,
    /// Time from an engine's crash to its restart, in milliseconds.
    pub restart_ms: u64,
    /// Duration of a run, in milliseconds.
    pub duration_ms: Range<u64>,
    pub seconds: u64,
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of crashes under each bad request.
    pub crashes_under: Vec<usize>,
    /// Number of engines that each bad request reached later than [`PROPAGATION_MS`] after its third crash.
    pub reached_after_third: Vec<usize>,
    /// Number of refused requests under which no engine crashes.
    pub wrongly_refused: usize,
    pub served: usize,
    /// Other requests that were on three crashed engines or more, and how many of them were served.
    pub interrupted_thrice: usize,
    pub interrupted_thrice_served: usize,
}

#[derive(Clone, Debug)]
struct Request {
    fingerprint: Fingerprint,
    adapter: usize,
    bad: Option<usize>,
    instance: usize,
    runs: u32,
    attempts: u32,
    interruptions: u32,
    tried: Vec<usize>,
    /// Duration of its run.
    duration_ms: u64,
}

#[derive(Debug)]
struct Run {
    request: Request,
    engine: usize,
    started_at: Option<u64>,
    sent_at: u64,
    suspect: bool,
}

#[derive(Debug)]
enum Event {
    Arrive(Box<Request>),
    Start(u64),
    Finish(u64),
    Crash(usize),
    Restart(usize),
    CrashDetected {
        instance: usize,
        incarnation: u64,
        interrupted: Vec<InterruptedRun>,
        retries: Vec<Request>,
    },
    Message {
        to: usize,
        message: QuarantineMessage,
    },
    Evaluate(usize, Vec<Fingerprint>),
    Round(usize),
    Outage(usize),
}

struct Simulation {
    scenario: CrashScenario,
    rng: ChaCha8Rng,
    now: u64,
    count: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    instances: Vec<Quarantine>,
    /// Incarnation of each engine; `None` while it is down.
    engines: Vec<Option<u64>>,
    last_incarnation: u64,
    runs: BTreeMap<u64, Run>,
    /// When each bad request crashed its third engine.
    third_crash_at: Vec<Option<u64>>,
    outcome: Outcome,
}

fn engine_id(idx: usize) -> TargetId {
    TargetId::try_from(&*format!("e{idx}")).unwrap()
}

fn time(ms: u64) -> Time {
    at(ms)
}

impl CrashScenario {
    pub fn run(self) -> Outcome {
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(self.seed),
            now: 0,
            count: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            instances: (0..self.instances).map(|_| Quarantine::default()).collect(),
            engines: (0..self.engines)
                .map(|incarnation| Some(incarnation as u64))
                .collect(),
            last_incarnation: self.engines as u64,
            runs: BTreeMap::new(),
            third_crash_at: vec![None; self.bad],
            outcome: Outcome {
                crashes_under: vec![0; self.bad],
                reached_after_third: vec![0; self.bad],
                ..Outcome::default()
            },
            scenario: self,
        };
        simulation.schedule_start();
        simulation.run();
        simulation.outcome
    }
}

impl Simulation {
    fn schedule_start(&mut self) {
        let requests = u64::from(self.scenario.rate) * self.scenario.seconds;
        for idx in 0..requests {
            let at = self.rng.random_range(0..self.scenario.seconds * 1_000);
            let body = match self.scenario.bodies {
                Some(bodies) => format!("common {}", self.rng.random_range(0..bodies)),
                None => format!("own {idx}"),
            };
            let request = self.new_request(&body, None);
            self.schedule(at, Event::Arrive(Box::new(request)));
        }
        for bad in 0..self.scenario.bad {
            let at = self.rng.random_range(1_000..2_000);
            let request = self.new_request(&format!("bad {bad}"), Some(bad));
            self.schedule(at, Event::Arrive(Box::new(request)));
        }
        for (at, engines) in self.scenario.outages.clone() {
            self.schedule(at, Event::Outage(engines));
        }
        for instance in 0..self.scenario.instances {
            let at = self.rng.random_range(0..ROUND_INTERVAL_MS);
            self.schedule(at, Event::Round(instance));
        }
    }

    fn new_request(&mut self, body: &str, bad: Option<usize>) -> Request {
        let workspace = WorkspaceId::try_from("north").unwrap();
        Request {
            fingerprint: Fingerprint::of(Some(&workspace), "/draft/1", body.as_bytes()),
            adapter: self.rng.random_range(0..self.scenario.adapters),
            bad,
            instance: self.rng.random_range(0..self.scenario.instances),
            runs: 0,
            attempts: 1,
            interruptions: 0,
            tried: Vec::new(),
            duration_ms: self.rng.random_range(self.scenario.duration_ms.clone()),
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count)));
        self.events.insert(self.count, event);
    }

    fn run(&mut self) {
        let until = self.scenario.seconds * 1_000;
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > until {
                return;
            }
            self.now = at;
            let event = self.events.remove(&id).unwrap();
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.send(*request),
            Event::Start(run) => self.start(run),
            Event::Finish(run) => self.finish(run),
            Event::Crash(engine) => self.crash(engine),
            Event::Restart(engine) => {
                self.last_incarnation += 1;
                self.engines[engine] = Some(self.last_incarnation);
            }
            Event::CrashDetected {
                instance,
                incarnation,
                interrupted,
                retries,
            } => self.handle_detected_crash(instance, incarnation, interrupted, retries),
            Event::Message { to, message } => {
                self.instances[to].apply(&message, time(self.now));
            }
            Event::Evaluate(instance, requests) => self.evaluate(instance, &requests),
            Event::Round(instance) => {
                let messages = self.instances[instance]
                    .messages_for_round(Duration::from_millis(ROUND_INTERVAL_MS));
                self.broadcast(instance, &messages);
                self.schedule(self.now + ROUND_INTERVAL_MS, Event::Round(instance));
            }
            Event::Outage(engines) => {
                let live_engines =
                    (0..self.scenario.engines).filter(|idx| self.engines[*idx].is_some());
                let live_engines = live_engines.collect::<Vec<_>>();
                let first = self.rng.random_range(0..live_engines.len().max(1));
                for idx in 0..engines.min(live_engines.len()) {
                    let engine = live_engines[(first + idx) % live_engines.len()];
                    let at = self.now + self.rng.random_range(0..3);
                    self.schedule(at, Event::Crash(engine));
                }
            }
        }
    }

    /// Sends a request to the engine that is preferred for its adapter, suspects to separate engines.
    fn send(&mut self, request: Request) {
        let quarantine = &self.instances[request.instance];
        if quarantine.is_refused(request.fingerprint) {
            self.handle_refusal(request);
            return;
        }
        let suspect = quarantine.crash_count(request.fingerprint) > 0;
        let live_engines = (0..self.scenario.engines).filter(|idx| self.engines[*idx].is_some());
        let mut live_engines = live_engines
            .filter(|idx| !request.tried.contains(idx))
            .collect::<Vec<_>>();
        if suspect {
            let local = self.runs.values();
            let local = local.filter(|run| run.request.instance == request.instance && run.suspect);
            let taken = local.map(|run| run.engine).collect::<Vec<_>>();
            let is_permitted = |idx: &usize| {
                !taken.contains(idx)
                    && quarantine.is_in_suspect_partition(request.fingerprint, &engine_id(*idx))
            };
            let permitted = live_engines
                .iter()
                .copied()
                .filter(is_permitted)
                .collect::<Vec<_>>();
            if !permitted.is_empty() {
                live_engines = permitted;
            }
        }
        let key = request.adapter as u64;
        let best = live_engines.into_iter();
        let Some(engine) = best.max_by_key(|idx| weight(key, &format!("e{idx}"))) else {
            self.retry_by_caller(request);
            return;
        };
        self.count += 1;
        let run = self.count;
        let wait = self.rng.random_range(5..400);
        self.schedule(self.now + wait, Event::Start(run));
        if let Some(bad) = request.bad
            && self.third_crash_at[bad]
                .is_some_and(|third_crash| self.now > third_crash + PROPAGATION_MS)
        {
            self.outcome.reached_after_third[bad] += 1;
        }
        let new_run = Run {
            request,
            engine,
            started_at: None,
            sent_at: self.now,
            suspect,
        };
        self.runs.insert(run, new_run);
    }

    fn start(&mut self, id: u64) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.started_at = Some(self.now);
        let engine = run.engine;
        let duration_ms = run.request.duration_ms;
        if let Some(bad) = run.request.bad {
            self.outcome.crashes_under[bad] += 1;
            if self.outcome.crashes_under[bad] == 3 {
                self.third_crash_at[bad] = Some(self.now);
            }
            let after = self.rng.random_range(5..70);
            self.schedule(self.now + after, Event::Crash(engine));
        } else {
            self.schedule(self.now + duration_ms, Event::Finish(id));
        }
    }

    fn finish(&mut self, id: u64) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let request = run.request;
        self.outcome.served += 1;
        if request.interruptions >= 3 {
            self.outcome.interrupted_thrice_served += 1;
        }
        let now = time(self.now);
        let message = self.instances[request.instance].record_served(request.fingerprint, now);
        if let Some(message) = message {
            self.broadcast_and_resend(request.instance, vec![message]);
        }
    }

    fn crash(&mut self, engine: usize) {
        let Some(incarnation) = self.engines[engine].take() else {
            return;
        };
        self.schedule(self.now + self.scenario.restart_ms, Event::Restart(engine));
        let running = self.runs.iter().filter(|(_, run)| run.engine == engine);
        let running = running.map(|(id, _)| *id).collect::<Vec<_>>();
        let mut by_instance = BTreeMap::<usize, (Vec<InterruptedRun>, Vec<Request>)>::new();
        for id in running {
            let run = self.runs.remove(&id).unwrap();
            let run_ms = self.now - run.started_at.unwrap_or(run.sent_at);
            let mut request = run.request;
            request.interruptions += 1;
            if request.bad.is_none() && request.interruptions == 3 {
                self.outcome.interrupted_thrice += 1;
            }
            request.tried.push(engine);
            request.runs += 1;
            let (interrupted, retries) = by_instance.entry(request.instance).or_default();
            interrupted.push(InterruptedRun::new(
                request.fingerprint,
                Duration::from_millis(run_ms),
            ));
            retries.push(request);
        }
        for (instance, (interrupted, retries)) in by_instance {
            let at = self.now + DETECTION_MS + self.rng.random_range(0..4);
            let event = Event::CrashDetected {
                instance,
                incarnation,
                interrupted,
                retries,
            };
            self.schedule(at, event);
        }
    }

    fn handle_detected_crash(
        &mut self,
        instance: usize,
        incarnation: u64,
        interrupted: Vec<InterruptedRun>,
        retries: Vec<Request>,
    ) {
        let targets = u32::try_from(1 + self.engines.iter().flatten().count()).unwrap();
        let incarnation = ShortHash::of(&format!("life {incarnation}"));
        let age = Duration::from_millis(DETECTION_MS);
        let crash = Crash::new(incarnation, targets, age, interrupted);
        let requests = crash.interrupted.iter().map(|run| run.request).collect();
        let messages = self.instances[instance].record_crash(&crash, time(self.now));
        self.broadcast_and_resend(instance, messages);
        let evaluate_at = self.now + u64::try_from(EVALUATION_DELAY.as_millis()).unwrap();
        self.schedule(evaluate_at, Event::Evaluate(instance, requests));
        for request in retries {
            if request.runs >= RUNS_PER_ATTEMPT {
                self.retry_by_caller(request);
            } else if self.instances[instance].crash_count(request.fingerprint) > 1 {
                self.schedule(evaluate_at, Event::Arrive(Box::new(request)));
            } else {
                self.send(request);
            }
        }
    }

    fn evaluate(&mut self, instance: usize, requests: &[Fingerprint]) {
        let refused = self.instances[instance].evaluate(requests, time(self.now));
        self.broadcast_and_resend(
            instance,
            refused
                .into_iter()
                .map(QuarantineMessage::Decided)
                .collect(),
        );
    }

    fn handle_refusal(&mut self, request: Request) {
        if request.bad.is_none() {
            self.outcome.wrongly_refused += 1;
            return;
        }
        self.retry_by_caller(request);
    }

    /// Lets the caller retry at a random instance.
    fn retry_by_caller(&mut self, mut request: Request) {
        if request.bad.is_none() && request.attempts >= MAX_ATTEMPTS {
            return;
        }
        request.attempts += 1;
        request.runs = 0;
        request.tried.clear();
        request.instance = self.rng.random_range(0..self.scenario.instances);
        let backoff = self.rng.random_range(20..500);
        self.schedule(self.now + backoff, Event::Arrive(Box::new(request)));
    }

    fn broadcast_and_resend(&mut self, from: usize, messages: Vec<QuarantineMessage>) {
        self.broadcast(from, &messages);
        self.instances[from].queue_resend(messages);
    }

    fn broadcast(&mut self, from: usize, messages: &[QuarantineMessage]) {
        for message in messages {
            for to in (0..self.scenario.instances).filter(|to| *to != from) {
                if self.rng.random_bool(self.scenario.loss_probability) {
                    continue;
                }
                let at = self.now + self.rng.random_range(2..30);
                let message = message.clone();
                self.schedule(at, Event::Message { to, message });
            }
        }
    }
}
