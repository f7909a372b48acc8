//! Simulation of engines that crash under requests, in virtual time. Callers retry at random instances, and
//! instances exchange messages over a network with delays and losses. Each instance runs the real quarantine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::ops::Range;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time, WorkspaceId};
use bluebellstage_gateway::decide::quarantine::{
    Crash, EVALUATION_DELAY, Fingerprint, InterruptedRun, PartsAtCrash, PromptPart, Quarantine,
    QuarantineMessage, RunKey, Suspect,
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

/// Time from the start of a run until it crashes its engine, in milliseconds.
const CRASH_DELAY_MS: Range<u64> = 5..110;
/// Number of crashes under a part after which requests with it may no longer be sent.
const MAX_PART_CRASHES: usize = 5;
/// First id of the parts that crash engines.
const FIRST_BAD_PART: u64 = 0xbad_000;

/// The parts of prompts that requests share.
#[derive(Clone, Copy, Debug)]
pub struct SharedParts {
    /// Number of parts with which prompts begin.
    pub first: u64,
    /// Number of parts that follow.
    pub second: u64,
    /// Number of parts that crash engines.
    pub bad: u64,
    /// Requests per second with one of these.
    pub bad_rate: u32,
    /// When the first of them arrives, in milliseconds.
    pub bad_from: u64,
}

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
    /// The parts of prompts; `None` if requests have none in common.
    pub parts: Option<SharedParts>,
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
    /// Number of crashes under each part that crashes engines.
    pub crashes_under_part: Vec<usize>,
    /// Number of requests with each of these parts that were sent later than [`PROPAGATION_MS`] after its fifth
    /// crash.
    pub sent_after_fifth: Vec<usize>,
    /// Number of sound requests that were refused because of a part.
    pub refused_by_part: usize,
    /// Other requests that were on three crashed engines or more, and how many of them were served.
    pub interrupted_thrice: usize,
    pub interrupted_thrice_served: usize,
}

#[derive(Clone, Debug)]
struct Request {
    fingerprint: Fingerprint,
    adapter: usize,
    bad: Option<usize>,
    parts: Vec<PromptPart>,
    /// The part that crashes engines, by its number.
    bad_part: Option<usize>,
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
    key: Option<RunKey>,
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
        engine: usize,
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
    /// When each part crashed its fifth engine.
    fifth_crash_at: Vec<Option<u64>>,
    outcome: Outcome,
}

fn engine_id(idx: usize) -> TargetId {
    TargetId::try_from(&*format!("e{idx}")).unwrap()
}

fn time(ms: u64) -> Time {
    at(ms)
}

impl CrashScenario {
    fn bad_parts(&self) -> usize {
        let bad = self.parts.map_or(0, |parts| parts.bad);
        usize::try_from(bad).unwrap()
    }

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
            fifth_crash_at: vec![None; self.bad_parts()],
            outcome: Outcome {
                crashes_under_part: vec![0; self.bad_parts()],
                sent_after_fifth: vec![0; self.bad_parts()],
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
        self.schedule_requests_with_bad_parts();
        for (at, engines) in self.scenario.outages.clone() {
            self.schedule(at, Event::Outage(engines));
        }
        for instance in 0..self.scenario.instances {
            let at = self.rng.random_range(0..ROUND_INTERVAL_MS);
            self.schedule(at, Event::Round(instance));
        }
    }

    fn schedule_requests_with_bad_parts(&mut self) {
        let Some(parts) = self.scenario.parts.filter(|parts| parts.bad > 0) else {
            return;
        };
        let until = self.scenario.seconds * 1_000;
        let count = u64::from(parts.bad_rate) * (until - parts.bad_from) / 1_000;
        for idx in 0..count {
            let at = self.rng.random_range(parts.bad_from..until);
            let bad = self.rng.random_range(0..parts.bad);
            let mut request = self.new_request(&format!("with bad part {idx}"), None);
            let place = self.rng.random_range(0..=request.parts.len());
            request
                .parts
                .insert(place, PromptPart(FIRST_BAD_PART + bad));
            request.bad_part = Some(usize::try_from(bad).unwrap());
            self.schedule(at, Event::Arrive(Box::new(request)));
        }
    }

    fn draw_parts(&mut self) -> Vec<PromptPart> {
        let Some(parts) = self.scenario.parts else {
            return Vec::new();
        };
        let first = self.rng.random_range(0..parts.first);
        // The lesser of two draws makes some of them more frequent than others.
        let [one, two] = std::array::from_fn(|_| self.rng.random_range(0..parts.second));
        let second = first * 1_000 + one.min(two);
        vec![PromptPart(1 + first), PromptPart(0x1_0000 + second)]
    }

    fn new_request(&mut self, body: &str, bad: Option<usize>) -> Request {
        let parts = self.draw_parts();
        let workspace = WorkspaceId::try_from("north").unwrap();
        Request {
            fingerprint: Fingerprint::of(Some(&workspace), "/draft/1", body.as_bytes()),
            adapter: self.rng.random_range(0..self.scenario.adapters),
            bad,
            parts,
            bad_part: None,
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
                engine,
                incarnation,
                interrupted,
                retries,
            } => {
                self.handle_detected_crash(instance, (engine, incarnation), interrupted, retries);
            }
            Event::Message { to, message } => {
                self.instances[to].apply(&message, time(self.now));
            }
            Event::Evaluate(instance, requests) => self.evaluate(instance, &requests),
            Event::Round(instance) => {
                self.review_parts(instance);
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
        let refused = quarantine.refused_suspect(request.fingerprint, &request.parts);
        if let Some(suspect) = refused {
            self.handle_refusal(request, suspect);
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
        if let Some(part) = request.bad_part
            && self.fifth_crash_at[part].is_some_and(|fifth| self.now > fifth + PROPAGATION_MS)
        {
            self.outcome.sent_after_fifth[part] += 1;
        }
        let runs = &mut self.instances[request.instance].runs;
        let now = time(self.now);
        let key = runs.send(&engine_id(engine), request.fingerprint, &request.parts, now);
        let new_run = Run {
            request,
            key,
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
        let quarantine = &mut self.instances[run.request.instance];
        let refused = quarantine.refused_suspect(run.request.fingerprint, &run.request.parts);
        if let Some(suspect) = refused {
            let run = self.runs.remove(&id).unwrap();
            self.end_run(&run);
            self.handle_refusal(run.request, suspect);
            return;
        }
        if let Some(key) = run.key {
            quarantine.runs.begin(key, time(self.now));
        }
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
        } else if run.request.bad_part.is_some() {
            let after = self.rng.random_range(CRASH_DELAY_MS);
            self.schedule(self.now + after, Event::Crash(engine));
        } else {
            self.schedule(self.now + duration_ms, Event::Finish(id));
        }
    }

    fn finish(&mut self, id: u64) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        if let Some(key) = run.key {
            self.instances[run.request.instance].runs.complete(key);
        }
        self.end_run(&run);
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

    fn end_run(&mut self, run: &Run) {
        let quarantine = &mut self.instances[run.request.instance];
        if let Some(key) = run.key {
            quarantine.runs.end(key, time(self.now));
        }
    }

    fn review_parts(&mut self, instance: usize) {
        let now = time(self.now);
        let quarantine = &mut self.instances[instance];
        quarantine.runs.sweep(now);
        let mut messages = quarantine.record_survivals(now);
        let refused = quarantine.evaluate_parts(now);
        messages.extend(refused.into_iter().map(QuarantineMessage::Decided));
        if !messages.is_empty() {
            self.broadcast_and_resend(instance, messages);
        }
    }

    fn crash(&mut self, engine: usize) {
        let Some(incarnation) = self.engines[engine].take() else {
            return;
        };
        self.schedule(self.now + self.scenario.restart_ms, Event::Restart(engine));
        let running = self.runs.iter().filter(|(_, run)| run.engine == engine);
        let running = running.map(|(id, _)| *id).collect::<Vec<_>>();
        self.count_crash_under_parts(&running);
        let mut by_instance = BTreeMap::<usize, (Vec<InterruptedRun>, Vec<Request>)>::new();
        for id in running {
            let run = self.runs.remove(&id).unwrap();
            self.end_run(&run);
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
                engine,
                incarnation,
                interrupted,
                retries,
            };
            self.schedule(at, event);
        }
    }

    fn count_crash_under_parts(&mut self, running: &[u64]) {
        let begun = running.iter().map(|id| &self.runs[id]);
        let begun = begun.filter(|run| run.started_at.is_some());
        let parts = begun.filter_map(|run| run.request.bad_part);
        for part in parts.collect::<BTreeSet<_>>() {
            self.outcome.crashes_under_part[part] += 1;
            if self.outcome.crashes_under_part[part] == MAX_PART_CRASHES {
                self.fifth_crash_at[part] = Some(self.now);
            }
        }
    }

    fn handle_detected_crash(
        &mut self,
        instance: usize,
        (engine, incarnation): (usize, u64),
        interrupted: Vec<InterruptedRun>,
        retries: Vec<Request>,
    ) {
        let crashed_at = time(self.now - DETECTION_MS);
        let runs = &mut self.instances[instance].runs;
        let PartsAtCrash {
            parts,
            sampled_targets,
        } = runs.parts_at_crash(&engine_id(engine), crashed_at);
        let targets = u32::try_from(1 + self.engines.iter().flatten().count()).unwrap();
        let incarnation = ShortHash::of(&format!("life {incarnation}"));
        let age = Duration::from_millis(DETECTION_MS);
        let crash = Crash {
            parts,
            sampled_targets,
            reporter: ShortHash::of(&format!("i{instance}")),
            ..Crash::new(incarnation, targets, age, interrupted)
        };
        let requests = crash.interrupted.iter().map(|run| run.request).collect();
        let messages = self.instances[instance].record_crash(&crash, time(self.now));
        self.broadcast_and_resend(instance, messages);
        let evaluate_at = self.now + u64::try_from(EVALUATION_DELAY.as_millis()).unwrap();
        self.schedule(evaluate_at, Event::Evaluate(instance, requests));
        for request in retries {
            if request.runs >= RUNS_PER_ATTEMPT {
                self.retry_by_caller(request);
            } else if self.instances[instance]
                .is_repeated_suspect(request.fingerprint, &request.parts)
            {
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

    fn handle_refusal(&mut self, request: Request, suspect: Suspect) {
        if request.bad_part.is_some() {
            return;
        }
        if request.bad.is_none() {
            match suspect {
                Suspect::Request(_) => self.outcome.wrongly_refused += 1,
                Suspect::Part(_) => self.outcome.refused_by_part += 1,
            }
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
