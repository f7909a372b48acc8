//! Several `Journal`s in virtual time, with scripted ownership, a fake platform and a fake service.

use std::collections::{BTreeMap, BTreeSet};

use bluebellstage_core::journal::{
    CallOutcome, Journal, JournalAsk, JournalDecision, JournalMessage, JournalStep,
};
use bluebellstage_core::{
    Action, Cx, IdempotencyKey, InstanceId, MemberRef, Notice, PeerMessage, PlatformResponse, Ran,
    Refusal, RequestId, Time, Tuning, WorkspaceId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::journal_platform::Platform;
use super::journal_service::{Asked, Call, Service, answer};
use super::rates_membership::{Script, Seat, adopted, instance};

struct Node {
    journal: Journal,
    seat: Seat,
}

struct Flight {
    at: u64,
    from: InstanceId,
    to: InstanceId,
    message: JournalMessage,
}

struct Dispatch {
    at: u64,
    life: MemberRef,
    request: RequestId,
    send_before: Time,
}

struct Running {
    at: u64,
    life: MemberRef,
    request: RequestId,
    outcome: CallOutcome,
}

/// Instances by name, the platform, the service, and what each call came to.
pub struct Fleet {
    cfg: Tuning,
    pub now: u64,
    nodes: BTreeMap<InstanceId, Node>,
    script: Script,
    flights: Vec<Flight>,
    answers: Vec<(MemberRef, PlatformResponse)>,
    dispatches: Vec<Dispatch>,
    running: Vec<Running>,
    pub platform: Platform<MemberRef>,
    pub service: Service,
    pub service_ms: u64,
    pub answer_bytes: usize,
    pub lost_percent: u32,
    pub doubled_percent: u32,
    pub longest_delay_ms: u64,
    rng: ChaCha8Rng,
    pub asked: BTreeMap<RequestId, Asked>,
    pub runs: BTreeMap<(WorkspaceId, IdempotencyKey), Vec<RequestId>>,
    pub notices: Vec<Notice>,
    next_request: u128,
    next_life: u64,
}

pub fn workspace(number: usize) -> WorkspaceId {
    WorkspaceId::try_from(format!("W{number}").as_str()).expect("legal name")
}

pub fn key(name: &str) -> IdempotencyKey {
    IdempotencyKey::try_from(name).expect("legal name")
}

impl Fleet {
    pub fn new(count: usize, seed: u64, cfg: Tuning) -> Self {
        let now = 1_000_000;
        let mut fleet = Self {
            now,
            nodes: BTreeMap::new(),
            script: Script::new(count, now, &cfg),
            cfg,
            flights: Vec::new(),
            answers: Vec::new(),
            dispatches: Vec::new(),
            running: Vec::new(),
            platform: Platform::new(),
            service: Service::Answers,
            service_ms: 200,
            answer_bytes: 20,
            lost_percent: 0,
            doubled_percent: 0,
            longest_delay_ms: 2,
            rng: ChaCha8Rng::seed_from_u64(seed),
            asked: BTreeMap::new(),
            runs: BTreeMap::new(),
            notices: Vec::new(),
            next_request: 1,
            next_life: 2,
        };
        for number in 0..count {
            fleet.start(&instance(number), 1);
        }
        fleet.run(50);
        fleet
    }

    fn start(&mut self, id: &InstanceId, life: u64) {
        let node = Node {
            journal: Journal::new(&self.cfg),
            seat: Seat::new(&self.script, id.clone(), life, self.now, &mut self.rng),
        };
        self.nodes.insert(id.clone(), node);
    }

    /// A caller's call arrives at an instance.
    pub fn ask(
        &mut self,
        id: &InstanceId,
        workspace: &WorkspaceId,
        name: &str,
        fingerprint: u64,
    ) -> Option<RequestId> {
        let now = self.now;
        let node = self
            .nodes
            .get(id)
            .filter(|node| node.seat.is_running(now))?;
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let ask = JournalAsk {
            request,
            workspace: workspace.clone(),
            service: "court".parse().expect("legal name"),
            key: key(name),
            fingerprint,
        };
        let asked = Asked {
            ask: ask.clone(),
            life: node.seat.own.local.clone(),
            step: None,
            at: now,
            decided_at: None,
            has_ended: false,
        };
        self.asked.insert(request, asked);
        let decisions = self.step(id, |journal, cx| journal.ask(cx, ask));
        self.decided(id, decisions);
        Some(request)
    }

    pub fn home(&self, workspace: &WorkspaceId) -> InstanceId {
        let key = bluebellstage_core::OwnershipKey::Workspace(workspace.clone());
        self.script.map.owner(&key).expect("a home").clone()
    }

    pub fn kill(&mut self, id: &InstanceId) {
        self.nodes.remove(id);
    }

    pub fn freeze(&mut self, id: &InstanceId, millis: u64) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.seat.stop(self.now, millis, &mut self.rng);
        }
    }

    pub fn cut(&mut self, id: &InstanceId, millis: u64) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.seat.cut(self.now, millis);
        }
    }

    pub fn drop_from_map(&mut self, id: &InstanceId) {
        self.script.drop(self.now, id);
        self.map_changed();
    }

    pub fn join(&mut self, id: &InstanceId) {
        if self.script.map.member(id).is_some() {
            return;
        }
        let life = match self.nodes.get(id) {
            Some(node) => node.seat.own.local.incarnation.0,
            None => self.next_life,
        };
        if !self.nodes.contains_key(id) {
            self.next_life += 1;
            self.start(id, life);
        }
        self.script.add(self.now, id, life);
        self.map_changed();
    }

    fn map_changed(&mut self) {
        for node in self.nodes.values_mut() {
            node.seat.will_adopt(self.now, &mut self.rng);
        }
    }

    pub fn is_running(&self, id: &InstanceId) -> bool {
        self.nodes
            .get(id)
            .is_some_and(|node| node.seat.is_running(self.now))
    }

    pub fn instances(&self) -> Vec<InstanceId> {
        self.nodes.keys().cloned().collect()
    }

    pub fn members(&self) -> usize {
        self.script.map.members.len()
    }

    pub fn journal(&self, id: &InstanceId) -> &Journal {
        &self.nodes.get(id).expect("a running instance").journal
    }

    /// Lets time pass, in steps of 5 ms.
    pub fn run(&mut self, millis: u64) {
        self.run_by(millis, 5);
    }

    /// Lets time pass in longer steps.
    pub fn run_by(&mut self, millis: u64, step: u64) {
        for _ in 0..millis.div_ceil(step) {
            self.now += step * 1_000;
            let adopted = adopted(&self.script, self.nodes.values().map(|node| &node.seat));
            for node in self.nodes.values_mut() {
                node.seat.follow(self.now, &self.script, &adopted);
            }
            self.deliver();
            self.answer_calls();
            self.dispatch();
            self.end_calls();
            self.tick();
        }
    }

    fn tick(&mut self) {
        for id in self.instances() {
            if self.is_running(&id) {
                let decisions = self.step(&id, Journal::tick);
                self.decided(&id, decisions);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let stopped = |fleet: &Self, id: &InstanceId| {
            fleet
                .nodes
                .get(id)
                .is_some_and(|node| !node.seat.is_running(now))
        };
        let flights = std::mem::take(&mut self.flights);
        let (mut due, later): (Vec<_>, Vec<_>) = flights
            .into_iter()
            .partition(|flight| flight.at <= now && !stopped(self, &flight.to));
        self.flights = later;
        due.sort_by_key(|flight| flight.at);
        for flight in due {
            if self
                .nodes
                .get(&flight.to)
                .is_some_and(|node| !node.seat.is_cut(now))
            {
                let decisions = self.step(&flight.to, |journal, cx| {
                    journal.message(cx, &flight.from, flight.message)
                });
                self.decided(&flight.to, decisions);
            }
        }
    }

    fn answer_calls(&mut self) {
        let due = self.platform.run(self.now);
        self.answers.extend(due);
        for (life, answer) in std::mem::take(&mut self.answers) {
            let Some(node) = self.nodes.get(&life.id) else {
                continue;
            };
            if node.seat.own.local != life {
                continue;
            }
            // A stopped process finds its answers when it goes on.
            if !node.seat.is_running(self.now) {
                self.answers.push((life, answer));
                continue;
            }
            let decisions = self.step(&life.id, |journal, cx| journal.platform(cx, answer));
            self.decided(&life.id, decisions);
        }
    }

    // Sends calls that had their `Go`, as a shell does: right before it looks at the clock.
    fn dispatch(&mut self) {
        let now = self.now;
        let dispatches = std::mem::take(&mut self.dispatches);
        for dispatch in dispatches {
            let Some(node) = self.nodes.get(&dispatch.life.id) else {
                continue;
            };
            if node.seat.own.local != dispatch.life {
                continue;
            }
            if dispatch.at > now || !node.seat.is_running(now) {
                self.dispatches.push(dispatch);
                continue;
            }
            let outcome = if node.seat.local(now) < dispatch.send_before {
                self.serve(dispatch.request)
            } else {
                CallOutcome::NotRun
            };
            let at = now + self.rng.random_range(0..self.service_ms * 1_000);
            self.running.push(Running {
                at,
                life: dispatch.life,
                request: dispatch.request,
                outcome,
            });
        }
    }

    fn serve(&mut self, request: RequestId) -> CallOutcome {
        let ask = &self.asked[&request].ask;
        let call = (ask.workspace.clone(), ask.key.clone());
        if self.service.runs() {
            self.runs.entry(call).or_default().push(request);
        }
        self.service.outcome(request, self.answer_bytes)
    }

    fn end_calls(&mut self) {
        let now = self.now;
        for running in std::mem::take(&mut self.running) {
            let Some(node) = self.nodes.get(&running.life.id) else {
                continue;
            };
            if node.seat.own.local != running.life {
                continue;
            }
            if running.at > now || !node.seat.is_running(now) {
                self.running.push(running);
                continue;
            }
            let request = running.request;
            self.asked.get_mut(&request).expect("asked").has_ended = true;
            self.step(&running.life.id, |journal, cx| {
                journal.finished(cx, request, running.outcome);
            });
        }
    }

    fn step<R>(&mut self, id: &InstanceId, act: impl FnOnce(&mut Journal, &mut Cx<'_>) -> R) -> R {
        let node = self.nodes.get_mut(id).expect("a running instance");
        let local = node.seat.local(self.now);
        let mut out = Vec::new();
        let mut cx = Cx {
            now: local,
            ownership: &node.seat.own,
            out: &mut out,
        };
        let result = act(&mut node.journal, &mut cx);
        let life = node.seat.own.local.clone();
        let is_cut = node.seat.is_cut(self.now);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    let PeerMessage::Journal(message) = *message else {
                        panic!("the journal only sends its own messages");
                    };
                    if !is_cut {
                        self.post(&life.id, &to, &message);
                    }
                }
                Action::Platform(call) => {
                    self.platform
                        .call(self.now, life.clone(), call, local, &mut self.rng);
                }
                Action::Notice(notice) => self.notices.push(notice),
                other => panic!("the journal has no such action: {other:?}"),
            }
        }
        result
    }

    fn post(&mut self, from: &InstanceId, to: &InstanceId, message: &JournalMessage) {
        if self.rng.random_range(0..100) < self.lost_percent {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.doubled_percent);
        for copy in 0..copies {
            // A doubled message may come seconds later.
            let longest = self.longest_delay_ms.max(u64::from(copy) * 4_000);
            self.flights.push(Flight {
                at: self.now + self.rng.random_range(0..=longest * 1_000),
                from: from.clone(),
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    fn decided(&mut self, id: &InstanceId, decisions: Vec<JournalDecision>) {
        let life = self.nodes[id].seat.own.local.clone();
        for decision in decisions {
            let asked = self.asked.get_mut(&decision.request).expect("asked before");
            assert!(
                asked.step.is_none(),
                "{} was decided twice",
                decision.request
            );
            assert_eq!(
                asked.life, life,
                "{} was decided elsewhere",
                decision.request
            );
            asked.decided_at = Some(self.now);
            asked.step = Some(decision.step.clone());
            if let JournalStep::Go { send_before } = decision.step {
                self.dispatches.push(Dispatch {
                    at: self.now + self.rng.random_range(0..50_000),
                    life: life.clone(),
                    request: decision.request,
                    send_before,
                });
            }
        }
    }

    /// At most one run for each key, true refusals, and replays of the first answer only.
    pub fn check(&self) {
        let mut ran = BTreeSet::new();
        for ((workspace, key), runs) in &self.runs {
            assert!(runs.len() <= 1, "{key} of {workspace} ran as {runs:?}");
            ran.extend(runs.iter().copied());
        }
        for (request, asked) in &self.asked {
            match &asked.step {
                Some(JournalStep::Refuse(Refusal {
                    ran: Ran::No, kind, ..
                })) => {
                    assert!(
                        !ran.contains(request),
                        "{request} ran and was refused as {kind:?}"
                    );
                }
                Some(JournalStep::Replay(replayed)) => {
                    let call = (asked.ask.workspace.clone(), asked.ask.key.clone());
                    let first = self.runs.get(&call).and_then(|runs| runs.first());
                    let first = *first.expect("only what ran is replayed");
                    let kept = answer(first, self.answer_bytes);
                    assert_eq!(*replayed, kept, "{request} got another answer");
                }
                _ => {}
            }
        }
    }

    /// Every caller whose instance still runs has its answer.
    pub fn check_all_decided(&self) {
        for (request, asked) in &self.asked {
            let lives = self
                .nodes
                .get(&asked.life.id)
                .is_some_and(|node| node.seat.own.local == asked.life);
            assert!(
                asked.step.is_some() || !lives,
                "{request} was never answered"
            );
        }
    }

    pub fn step_of(&self, request: RequestId) -> Option<&JournalStep> {
        self.asked[&request].step.as_ref()
    }

    /// What became of each call so far, over all its repeats.
    pub fn calls(&self) -> BTreeMap<IdempotencyKey, Call> {
        let mut calls: BTreeMap<IdempotencyKey, Call> = BTreeMap::new();
        for asked in self.asked.values() {
            let lives = self
                .nodes
                .get(&asked.life.id)
                .is_some_and(|node| node.seat.own.local == asked.life);
            let call = calls.entry(asked.ask.key.clone()).or_default();
            call.take(asked, lives);
        }
        calls
    }
}
