//! Runs several `Journal`s in virtual time, with scripted ownership, a simulated platform and a
//! simulated service.

use std::collections::{BTreeMap, BTreeSet};

use bluebellstage_core::journal::{
    CallIntent, CallOutcome, Journal, JournalDecision, JournalMessage, JournalStep,
};
use bluebellstage_core::{
    Action, Cx, IdempotencyKey, InstanceId, MemberRef, Notice, PeerMessage, PlatformResponse, Ran,
    Refusal, RequestId, Time, Tuning, WorkspaceId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::journal_platform::Platform;
use super::journal_service::{Attempt, Call, ServiceMode, stored_response};
use super::rates_membership::{MembershipScript, SimulatedMember, adopted, instance};

struct Node {
    journal: Journal,
    seat: SimulatedMember,
}

struct MessageInFlight {
    at: u64,
    from: InstanceId,
    to: InstanceId,
    message: JournalMessage,
}

struct Dispatch {
    at: u64,
    member: MemberRef,
    request: RequestId,
    send_before: Time,
}

struct Running {
    at: u64,
    member: MemberRef,
    request: RequestId,
    outcome: CallOutcome,
}

/// The instances by name, the platform, the service, and the outcome of each call. Times are in
/// microseconds unless the name says otherwise.
pub struct Fleet {
    cfg: Tuning,
    pub now: u64,
    nodes: BTreeMap<InstanceId, Node>,
    script: MembershipScript,
    messages_in_flight: Vec<MessageInFlight>,
    platform_replies: Vec<(MemberRef, PlatformResponse)>,
    dispatches: Vec<Dispatch>,
    running: Vec<Running>,
    pub platform: Platform<MemberRef>,
    pub service: ServiceMode,
    pub service_ms: u64,
    pub response_bytes: usize,
    pub lost_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_ms: u64,
    rng: ChaCha8Rng,
    pub attempts: BTreeMap<RequestId, Attempt>,
    pub runs: BTreeMap<(WorkspaceId, IdempotencyKey), Vec<RequestId>>,
    pub notices: Vec<Notice>,
    next_request: u128,
    next_incarnation: u64,
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
            script: MembershipScript::new(count, now, &cfg),
            cfg,
            messages_in_flight: Vec::new(),
            platform_replies: Vec::new(),
            dispatches: Vec::new(),
            running: Vec::new(),
            platform: Platform::new(),
            service: ServiceMode::Responds,
            service_ms: 200,
            response_bytes: 20,
            lost_percent: 0,
            duplicate_percent: 0,
            max_delay_ms: 2,
            rng: ChaCha8Rng::seed_from_u64(seed),
            attempts: BTreeMap::new(),
            runs: BTreeMap::new(),
            notices: Vec::new(),
            next_request: 1,
            next_incarnation: 2,
        };
        for number in 0..count {
            fleet.start(&instance(number), 1);
        }
        fleet.run(50);
        fleet
    }

    fn start(&mut self, id: &InstanceId, incarnation: u64) {
        let node = Node {
            journal: Journal::new(&self.cfg),
            seat: SimulatedMember::new(
                &self.script,
                id.clone(),
                incarnation,
                self.now,
                &mut self.rng,
            ),
        };
        self.nodes.insert(id.clone(), node);
    }

    /// Sends a caller's call to an instance. Returns `None` if the instance is not running.
    pub fn send_request(
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
        let intent = CallIntent {
            request,
            workspace: workspace.clone(),
            service: "court".parse().expect("legal name"),
            key: key(name),
            fingerprint,
        };
        let attempt = Attempt {
            intent: intent.clone(),
            sender: node.seat.own.local.clone(),
            step: None,
            sent_at: now,
            decided_at: None,
            has_ended: false,
        };
        self.attempts.insert(request, attempt);
        let decisions = self.step(id, |journal, cx| journal.record_intent(cx, intent));
        self.apply_decisions(id, decisions);
        Some(request)
    }

    pub fn owner(&self, workspace: &WorkspaceId) -> InstanceId {
        let key = bluebellstage_core::OwnershipKey::Workspace(workspace.clone());
        self.script.map.owner(&key).expect("an owner").clone()
    }

    pub fn kill(&mut self, id: &InstanceId) {
        self.nodes.remove(id);
    }

    pub fn freeze(&mut self, id: &InstanceId, millis: u64) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.seat.freeze(self.now, millis, &mut self.rng);
        }
    }

    pub fn partition(&mut self, id: &InstanceId, millis: u64) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.seat.partition(self.now, millis);
        }
    }

    pub fn remove_from_map(&mut self, id: &InstanceId) {
        self.script.drop(self.now, id);
        self.map_changed();
    }

    pub fn join(&mut self, id: &InstanceId) {
        if self.script.map.member(id).is_some() {
            return;
        }
        let incarnation = match self.nodes.get(id) {
            Some(node) => node.seat.own.local.incarnation.0,
            None => self.next_incarnation,
        };
        if !self.nodes.contains_key(id) {
            self.next_incarnation += 1;
            self.start(id, incarnation);
        }
        self.script.add(self.now, id, incarnation);
        self.map_changed();
    }

    fn map_changed(&mut self) {
        for node in self.nodes.values_mut() {
            node.seat.schedule_adoption(self.now, &mut self.rng);
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

    /// Advances the time in steps of 5 ms.
    pub fn run(&mut self, millis: u64) {
        self.run_by(millis, 5);
    }

    /// Advances the time in steps of `step` milliseconds.
    pub fn run_by(&mut self, millis: u64, step: u64) {
        for _ in 0..millis.div_ceil(step) {
            self.now += step * 1_000;
            let adopted = adopted(&self.script, self.nodes.values().map(|node| &node.seat));
            for node in self.nodes.values_mut() {
                node.seat.follow(self.now, &self.script, &adopted);
            }
            self.deliver();
            self.deliver_platform_replies();
            self.dispatch();
            self.finish_calls();
            self.tick();
        }
    }

    fn tick(&mut self) {
        for id in self.instances() {
            if self.is_running(&id) {
                let decisions = self.step(&id, Journal::tick);
                self.apply_decisions(&id, decisions);
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
        let messages_in_flight = std::mem::take(&mut self.messages_in_flight);
        let (mut due, later): (Vec<_>, Vec<_>) = messages_in_flight
            .into_iter()
            .partition(|delivery| delivery.at <= now && !stopped(self, &delivery.to));
        self.messages_in_flight = later;
        due.sort_by_key(|delivery| delivery.at);
        for delivery in due {
            if self
                .nodes
                .get(&delivery.to)
                .is_some_and(|node| !node.seat.is_partitioned(now))
            {
                let decisions = self.step(&delivery.to, |journal, cx| {
                    journal.message(cx, &delivery.from, delivery.message)
                });
                self.apply_decisions(&delivery.to, decisions);
            }
        }
    }

    fn deliver_platform_replies(&mut self) {
        let due = self.platform.run(self.now);
        self.platform_replies.extend(due);
        for (member, reply) in std::mem::take(&mut self.platform_replies) {
            let Some(node) = self.nodes.get(&member.id) else {
                continue;
            };
            if node.seat.own.local != member {
                continue;
            }
            // A frozen process receives its replies when it resumes.
            if !node.seat.is_running(self.now) {
                self.platform_replies.push((member, reply));
                continue;
            }
            let decisions = self.step(&member.id, |journal, cx| journal.platform(cx, reply));
            self.apply_decisions(&member.id, decisions);
        }
    }

    // Sends the calls that had their `Send`. Like the daemon, it checks the clock right before
    // sending.
    fn dispatch(&mut self) {
        let now = self.now;
        let dispatches = std::mem::take(&mut self.dispatches);
        for dispatch in dispatches {
            let Some(node) = self.nodes.get(&dispatch.member.id) else {
                continue;
            };
            if node.seat.own.local != dispatch.member {
                continue;
            }
            if dispatch.at > now || !node.seat.is_running(now) {
                self.dispatches.push(dispatch);
                continue;
            }
            let outcome = if node.seat.local(now) < dispatch.send_before {
                self.run_service(dispatch.request)
            } else {
                CallOutcome::NotRun
            };
            let at = now + self.rng.random_range(0..self.service_ms * 1_000);
            self.running.push(Running {
                at,
                member: dispatch.member,
                request: dispatch.request,
                outcome,
            });
        }
    }

    fn run_service(&mut self, request: RequestId) -> CallOutcome {
        let intent = &self.attempts[&request].intent;
        let call = (intent.workspace.clone(), intent.key.clone());
        if self.service.runs() {
            self.runs.entry(call).or_default().push(request);
        }
        self.service.outcome(request, self.response_bytes)
    }

    fn finish_calls(&mut self) {
        let now = self.now;
        for running in std::mem::take(&mut self.running) {
            let Some(node) = self.nodes.get(&running.member.id) else {
                continue;
            };
            if node.seat.own.local != running.member {
                continue;
            }
            if running.at > now || !node.seat.is_running(now) {
                self.running.push(running);
                continue;
            }
            let request = running.request;
            self.attempts
                .get_mut(&request)
                .expect("a known request")
                .has_ended = true;
            self.step(&running.member.id, |journal, cx| {
                journal.record_outcome(cx, request, running.outcome);
            });
        }
    }

    fn step<R>(&mut self, id: &InstanceId, act: impl FnOnce(&mut Journal, &mut Cx<'_>) -> R) -> R {
        let node = self.nodes.get_mut(id).expect("a running instance");
        let local_time = node.seat.local(self.now);
        let mut out = Vec::new();
        let mut cx = Cx {
            now: local_time,
            ownership: &node.seat.own,
            out: &mut out,
        };
        let result = act(&mut node.journal, &mut cx);
        let member = node.seat.own.local.clone();
        let is_cut = node.seat.is_partitioned(self.now);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    let PeerMessage::Journal(message) = *message else {
                        panic!("the journal only sends its own messages");
                    };
                    if !is_cut {
                        self.send_message(&member.id, &to, &message);
                    }
                }
                Action::Platform(call) => {
                    self.platform
                        .call(self.now, member.clone(), call, local_time, &mut self.rng);
                }
                Action::Notice(notice) => self.notices.push(notice),
                other => panic!("the journal has no such action: {other:?}"),
            }
        }
        result
    }

    fn send_message(&mut self, from: &InstanceId, to: &InstanceId, message: &JournalMessage) {
        if self.rng.random_range(0..100) < self.lost_percent {
            return;
        }
        let copy_count = 1 + u32::from(self.rng.random_range(0..100) < self.duplicate_percent);
        for copy in 0..copy_count {
            // A duplicate may arrive seconds later.
            let max_delay_ms = self.max_delay_ms.max(u64::from(copy) * 4_000);
            self.messages_in_flight.push(MessageInFlight {
                at: self.now + self.rng.random_range(0..=max_delay_ms * 1_000),
                from: from.clone(),
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    fn apply_decisions(&mut self, id: &InstanceId, decisions: Vec<JournalDecision>) {
        let member = self.nodes[id].seat.own.local.clone();
        for decision in decisions {
            let attempt = self
                .attempts
                .get_mut(&decision.request)
                .expect("a known request");
            assert!(
                attempt.step.is_none(),
                "{} was decided twice",
                decision.request
            );
            assert_eq!(
                attempt.sender, member,
                "{} was decided elsewhere",
                decision.request
            );
            attempt.decided_at = Some(self.now);
            attempt.step = Some(decision.step.clone());
            if let JournalStep::Send { send_before } = decision.step {
                self.dispatches.push(Dispatch {
                    at: self.now + self.rng.random_range(0..50_000),
                    member: member.clone(),
                    request: decision.request,
                    send_before,
                });
            }
        }
    }

    /// Checks that each key ran at most once, that calls refused as not run did not run, and that
    /// only the first response is replayed.
    pub fn check_invariants(&self) {
        let mut ran = BTreeSet::new();
        for ((workspace, key), runs) in &self.runs {
            assert!(runs.len() <= 1, "{key} of {workspace} ran as {runs:?}");
            ran.extend(runs.iter().copied());
        }
        for (request, attempt) in &self.attempts {
            match &attempt.step {
                Some(JournalStep::Refuse(Refusal {
                    ran: Ran::No, kind, ..
                })) => {
                    assert!(
                        !ran.contains(request),
                        "{request} ran and was refused as {kind:?}"
                    );
                }
                Some(JournalStep::Replay(replayed)) => {
                    let call = (attempt.intent.workspace.clone(), attempt.intent.key.clone());
                    let first = self.runs.get(&call).and_then(|runs| runs.first());
                    let first = *first.expect("only what ran is replayed");
                    let kept = stored_response(first, self.response_bytes);
                    assert_eq!(*replayed, kept, "{request} got another response");
                }
                _ => {}
            }
        }
    }

    /// Checks that every caller whose instance still runs has received a decision.
    pub fn check_all_decided(&self) {
        for (request, attempt) in &self.attempts {
            let is_sender_running = self
                .nodes
                .get(&attempt.sender.id)
                .is_some_and(|node| node.seat.own.local == attempt.sender);
            assert!(
                attempt.step.is_some() || !is_sender_running,
                "{request} was never decided"
            );
        }
    }

    pub fn step_of(&self, request: RequestId) -> Option<&JournalStep> {
        self.attempts[&request].step.as_ref()
    }

    /// Returns the state of each call, over all its attempts so far.
    pub fn calls(&self) -> BTreeMap<IdempotencyKey, Call> {
        let mut calls: BTreeMap<IdempotencyKey, Call> = BTreeMap::new();
        for attempt in self.attempts.values() {
            let is_sender_running = self
                .nodes
                .get(&attempt.sender.id)
                .is_some_and(|node| node.seat.own.local == attempt.sender);
            let call = calls.entry(attempt.intent.key.clone()).or_default();
            call.add_attempt(attempt, is_sender_running);
        }
        calls
    }
}
