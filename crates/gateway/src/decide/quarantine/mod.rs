//! Stops requests that crash targets from crashing more of them.
//!
//! When a target crashes, all requests that it ran are interrupted, and one of them may be the cause, or a part of
//! its prompt that other requests share. Instances report to each other which requests and parts were interrupted
//! and how long each had run. A request or part is refused once it was on so many crashed targets that coincidence
//! is ruled out; a complete response clears it of suspicion. Decisions outlive single instances: every instance keeps them, new instances copy them
//! from peers, and the store keeps them for a fleet that restarts as a whole.

mod decision;
mod fingerprint;
mod message;
mod part_evidence;
mod part_suspects;
mod prompt_part;
mod runs;
mod suspect;
mod suspects;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

pub use self::decision::{AgedDecision, DecisionKind, QuarantineDecision};
pub use self::fingerprint::{BadFingerprint, Fingerprint};
pub use self::message::{Crash, InterruptedPart, InterruptedRun, PartSurvival, QuarantineMessage};
pub use self::part_evidence::PartEvidence;
use self::part_suspects::PartSuspects;
pub use self::prompt_part::{BadPromptPart, PromptPart};
pub use self::runs::{PartsAtCrash, RunKey, Runs};
pub use self::suspect::{BadSuspect, Suspect};
use self::suspects::Suspects;
use super::rendezvous::{ShortHash, weight};

/// How long a decision stays in force.
pub const DECISION_TTL: Duration = Duration::from_hours(1);
/// Maximum number of decisions kept; the oldest is evicted first.
const MAX_DECISIONS: usize = 1_024;
/// How long a complete response clears its request of suspicion: a target did not crash under it.
const SERVED_TTL: Duration = Duration::from_secs(10);
/// Maximum number of requests whose complete responses are remembered.
const MAX_SERVED: usize = 2_048;
/// Number of rounds in which a message is sent again, as datagrams may be lost.
const RESEND_ROUNDS: u32 = 3;
/// A suspect may be sent to one in this many targets.
const TARGET_PARTITIONS: u64 = 3;
/// Time to wait after a crash for the messages of peers about it before its requests are evaluated.
pub const EVALUATION_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of runs, and of parts, in one message, so that it fits into a datagram.
const MAX_RUNS_PER_MESSAGE: usize = 48;
/// How long after a crash the parts that this instance reported are evaluated again.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Number of crashes of a part from which peers are told that a target outlived a run with it.
const MIN_REPORTED_CRASHES: usize = 2;

#[derive(Clone, Copy, Debug)]
struct StoredDecision {
    decision: QuarantineDecision,
    since: Time,
}

fn digest_of(decision: &QuarantineDecision) -> u64 {
    decision.suspect.hash_with(u64::from(decision.revision))
}

/// Requests that crash targets, and requests suspected of it.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Runs of this instance whose prompts have shared parts.
    pub runs: Runs,
    suspects: Suspects,
    part_suspects: PartSuspects,
    /// Parts that this instance reported with a crash, and when.
    watched_parts: HashMap<PromptPart, Time>,
    decisions: HashMap<Suspect, StoredDecision>,
    /// Combined digest of all decisions.
    digest: u64,
    /// Requests that recently received a complete response and when, with their order.
    served: HashMap<Fingerprint, Time>,
    served_order: VecDeque<(Time, Fingerprint)>,
    /// Messages of this instance to send again, with the rounds that remain for each.
    resend_queue: Vec<(QuarantineMessage, u32)>,
    /// Messages of other instances to forward to this instance's subscribers, with the time at which they
    /// were received.
    forward_queue: Vec<(QuarantineMessage, Time)>,
}

impl Quarantine {
    /// Returns whether a request, or all with a part, must not be sent to a target.
    #[must_use]
    pub fn is_refused(&self, suspect: impl Into<Suspect>) -> bool {
        let held = self.decisions.get(&suspect.into());
        held.is_some_and(|held| held.decision.kind == DecisionKind::Refused)
    }

    /// Returns why a request must not be sent to a target: itself, or one of its parts.
    #[must_use]
    pub fn refused_suspect(&self, request: Fingerprint, parts: &[PromptPart]) -> Option<Suspect> {
        if self.decisions.is_empty() {
            return None;
        }
        let parts = parts.iter().map(|part| Suspect::Part(*part));
        let mut suspects = [Suspect::Request(request)].into_iter().chain(parts);
        suspects.find(|suspect| self.is_refused(*suspect))
    }

    /// Returns whether a request, or one of its parts, was on several crashed targets.
    #[must_use]
    pub fn is_repeated_suspect(&self, request: Fingerprint, parts: &[PromptPart]) -> bool {
        let is_repeated = |part: &PromptPart| self.part_suspects.crash_count(*part) > 1;
        self.crash_count(request) > 1 || parts.iter().any(is_repeated)
    }

    /// Returns whether this incarnation of a target is known to have crashed.
    #[must_use]
    pub fn has_crashed(&self, incarnation: ShortHash) -> bool {
        self.suspects.has_crashed(incarnation)
    }

    /// Returns how many crashed targets were running a request; this may be a coincidence.
    #[must_use]
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.suspects.crash_count(request)
    }

    /// Returns whether a suspect may be sent to a target. Each suspect is limited to its own subset of the
    /// targets, which changes after each crash: if the cause and a bystander were sent to the same targets
    /// again, they could not be told apart.
    #[must_use]
    pub fn is_in_suspect_partition(&self, request: Fingerprint, target: &TargetId) -> bool {
        let seed = request
            .bits()
            .wrapping_add(self.crash_count(request) as u64);
        weight(seed, target.as_str()).is_multiple_of(TARGET_PARTITIONS)
    }

    /// Records that a target crashed under requests of this instance. Returns the messages to send to peers.
    pub fn record_crash(&mut self, crash: &Crash, now: Time) -> Vec<QuarantineMessage> {
        for part in &crash.parts {
            self.watched_parts.insert(part.part, now);
        }
        let mut runs = crash.interrupted.chunks(MAX_RUNS_PER_MESSAGE);
        let mut parts = crash.parts.chunks(MAX_RUNS_PER_MESSAGE);
        let mut messages = Vec::new();
        loop {
            let (runs, parts) = (runs.next(), parts.next());
            if runs.is_none() && parts.is_none() {
                break;
            }
            messages.push(QuarantineMessage::Crashed(Crash {
                interrupted: runs.unwrap_or_default().to_vec(),
                parts: parts.unwrap_or_default().to_vec(),
                ..crash.clone()
            }));
        }
        for message in &messages {
            self.apply(message, now);
        }
        messages
    }

    /// Evaluates requests of this instance that were on a target which crashed [`EVALUATION_DELAY`] ago.
    /// Returns the decisions on those that are refused from now on.
    pub fn evaluate(&mut self, requests: &[Fingerprint], now: Time) -> Vec<QuarantineDecision> {
        let mut refused = self.evaluate_parts(now);
        let causes = requests.iter().copied();
        let causes = causes.filter(|request| self.suspects.is_cause(*request));
        let causes = causes.collect::<Vec<_>>();
        let causes = causes.into_iter().map(Suspect::Request);
        refused.extend(causes.map(|request| self.refuse(request, now)));
        refused
    }

    /// Evaluates the parts that this instance reported with recent crashes. Returns the decisions on those that are
    /// refused from now on.
    pub fn evaluate_parts(&mut self, now: Time) -> Vec<QuarantineDecision> {
        self.watched_parts
            .retain(|_, reported| now.since(*reported) < WATCH_TIME);
        let mut refused = Vec::new();
        // Each refusal explains crashes in which other parts were, too.
        while let Some(cause) = self.find_part_cause(now) {
            refused.push(self.refuse(Suspect::Part(cause), now));
        }
        refused
    }

    fn find_part_cause(&self, now: Time) -> Option<PromptPart> {
        let outlived = self.parts_outlived_so_far(now);
        let watched = self.watched_parts.keys().copied();
        let suspects = watched.filter(|part| !outlived.contains(part));
        self.part_suspects.find_cause(suspects)
    }

    /// Returns the parts of runs that are still under way and have lasted for longer than the part's runs at crashes.
    /// That is no survival yet: such a run may be the next to crash its target, which is only slow.
    fn parts_outlived_so_far(&self, now: Time) -> BTreeSet<PromptPart> {
        let running = self.runs.sound(now).filter(|run| !run.is_complete);
        let parts = running.flat_map(|run| {
            let parts = run.parts.iter().copied();
            let outlived = parts.filter(|part| self.part_suspects.is_outlived(*part, &run));
            outlived.collect::<Vec<_>>()
        });
        parts.collect()
    }

    /// Clears parts of suspicion with which targets outlived runs of this instance. Returns the messages to send to
    /// peers.
    pub fn record_survivals(&mut self, now: Time) -> Vec<QuarantineMessage> {
        let mut messages = Vec::new();
        for run in self.runs.sound(now).filter(|run| run.is_complete) {
            for part in &run.parts {
                if !self.part_suspects.is_outlived(*part, &run) {
                    continue;
                }
                let is_told = self.part_suspects.crash_count(*part) >= MIN_REPORTED_CRASHES;
                let was_suspect = self.part_suspects.record_survival(*part, run.begun);
                if was_suspect && is_told {
                    let survival = PartSurvival::new(*part, now.since(run.begun));
                    messages.push(QuarantineMessage::Survived(survival));
                }
            }
        }
        messages
    }

    /// Records a complete response to a request. Returns the message to send to peers if the request was a
    /// suspect.
    pub fn record_served(&mut self, request: Fingerprint, now: Time) -> Option<QuarantineMessage> {
        self.remember_served(request, now);
        let was_suspect = self.suspects.remove(request);
        was_suspect.then_some(QuarantineMessage::Served(request))
    }

    /// Applies a message of another instance; returns false if it contains nothing new.
    pub fn apply(&mut self, message: &QuarantineMessage, now: Time) -> bool {
        match message {
            QuarantineMessage::Crashed(crash) => self.apply_crash(crash, now),
            QuarantineMessage::Served(request) => {
                self.remember_served(*request, now);
                self.suspects.remove(*request)
            }
            QuarantineMessage::Decided(decision) => self.adopt(*decision, Duration::ZERO, now),
            QuarantineMessage::Survived(survival) => {
                let begun = now - survival.age();
                self.part_suspects.record_survival(survival.part, begun)
            }
        }
    }

    fn apply_crash(&mut self, crash: &Crash, now: Time) -> bool {
        let at = now - Duration::from_millis(u64::from(crash.age_ms));
        let suspicious = crash.interrupted.iter();
        let suspicious = suspicious.filter(|run| !self.was_served_recently(run.request, at));
        let suspicious = Crash {
            interrupted: suspicious.copied().collect(),
            ..crash.clone()
        };
        let is_new = self.suspects.record(&suspicious, now);
        let rate = self.suspects.crash_rate_at(crash.incarnation);
        let has_new_part = self.part_suspects.record(crash, rate, now);
        self.explain_by_refused(crash);
        is_new || has_new_part
    }

    /// Marks a crash as explained if a request or part was there that was sent before its refusal.
    fn explain_by_refused(&mut self, crash: &Crash) {
        for run in &crash.interrupted {
            if self.is_refused(run.request) {
                self.suspects.mark_explained(run.request);
            }
        }
        if crash.parts.iter().any(|part| self.is_refused(part.part)) {
            self.part_suspects.mark_crash_explained(crash.incarnation);
            self.suspects.mark_crashes_explained(&[crash.incarnation]);
        }
    }

    fn mark_explained(&mut self, cause: Suspect) {
        match cause {
            // The cause may still be a part that other requests share.
            Suspect::Request(request) => self.suspects.mark_explained(request),
            Suspect::Part(part) => {
                let crashed = self.part_suspects.mark_explained(part);
                self.suspects.mark_crashes_explained(&crashed);
            }
        }
    }

    fn refuse(&mut self, suspect: Suspect, now: Time) -> QuarantineDecision {
        let before = self.decisions.get(&suspect).map(|held| held.decision);
        let decision = QuarantineDecision::next(suspect, DecisionKind::Refused, before.as_ref());
        self.adopt(decision, Duration::ZERO, now);
        decision
    }

    /// Lets a request, or all with a part, through again at an operator's command; returns `None` if it is not
    /// refused.
    pub fn clear(&mut self, suspect: Suspect, now: Time) -> Option<QuarantineDecision> {
        let before = self.decisions.get(&suspect)?.decision;
        if before.kind != DecisionKind::Refused {
            return None;
        }
        let decision = QuarantineDecision::next(suspect, DecisionKind::Cleared, Some(&before));
        self.adopt(decision, Duration::ZERO, now);
        Some(decision)
    }

    /// Puts a decision of the given age in force. Returns false if it is known, superseded by a newer one, or
    /// expired.
    pub fn adopt(&mut self, decision: QuarantineDecision, age: Duration, now: Time) -> bool {
        let suspect = decision.suspect;
        let known = self.decisions.get(&suspect);
        let known = known.is_some_and(|known| !decision.replaces(&known.decision));
        if known || age >= DECISION_TTL {
            return false;
        }
        if decision.kind == DecisionKind::Refused {
            self.mark_explained(suspect);
        }
        match suspect {
            Suspect::Request(request) => _ = self.suspects.remove(request),
            Suspect::Part(part) => self.part_suspects.clear(part),
        }
        self.remove_decision(suspect);
        if self.decisions.len() >= MAX_DECISIONS {
            let oldest = self.decisions.iter().min_by_key(|(_, held)| held.since);
            if let Some(oldest) = oldest.map(|(suspect, _)| *suspect) {
                self.remove_decision(oldest);
            }
        }
        self.digest ^= digest_of(&decision);
        let since = now - age;
        self.decisions
            .insert(suspect, StoredDecision { decision, since });
        true
    }

    fn remove_decision(&mut self, suspect: Suspect) {
        if let Some(held) = self.decisions.remove(&suspect) {
            self.digest ^= digest_of(&held.decision);
        }
    }

    fn remember_served(&mut self, request: Fingerprint, now: Time) {
        self.served.insert(request, now);
        self.served_order.push_back((now, request));
        while self.served_order.len() > MAX_SERVED {
            self.forget_oldest_served();
        }
    }

    fn forget_oldest_served(&mut self) {
        let Some((at, request)) = self.served_order.pop_front() else {
            return;
        };
        if self.served.get(&request) == Some(&at) {
            self.served.remove(&request);
        }
    }

    /// Returns whether a request received a complete response shortly before `at`, or after it.
    fn was_served_recently(&self, request: Fingerprint, at: Time) -> bool {
        let served = self.served.get(&request);
        served.is_some_and(|served| at.since(*served) < SERVED_TTL)
    }

    /// Queues messages to be sent again in the next rounds.
    pub fn queue_resend(&mut self, messages: impl IntoIterator<Item = QuarantineMessage>) {
        let messages = messages.into_iter().map(|message| (message, RESEND_ROUNDS));
        self.resend_queue.extend(messages);
    }

    /// Queues messages of other instances to be forwarded to subscribers.
    pub fn queue_forward(&mut self, messages: Vec<QuarantineMessage>, now: Time) {
        let messages = messages.into_iter().map(|message| (message, now));
        self.forward_queue.extend(messages);
    }

    /// Returns the messages of other instances to be forwarded, with their age increased by the time in the
    /// queue.
    pub fn take_forwarded(&mut self, now: Time) -> Vec<QuarantineMessage> {
        let held = std::mem::take(&mut self.forward_queue).into_iter();
        let aged = held.map(|(mut message, since)| {
            message.add_age(now.since(since));
            message
        });
        aged.collect()
    }

    /// Returns the messages to send again in this round, `elapsed` after the previous round.
    pub fn messages_for_round(&mut self, elapsed: Duration) -> Vec<QuarantineMessage> {
        for (message, rounds_left) in &mut self.resend_queue {
            *rounds_left -= 1;
            message.add_age(elapsed);
        }
        let messages = self.resend_queue.iter().map(|(message, _)| message.clone());
        let messages = messages.collect();
        self.resend_queue
            .retain(|(_, rounds_left)| *rounds_left > 0);
        messages
    }

    /// Returns the decisions in force with their ages.
    pub fn decisions(&self, now: Time) -> impl Iterator<Item = AgedDecision> {
        self.decisions.values().map(move |held| AgedDecision {
            decision: held.decision,
            age: now.since(held.since),
        })
    }

    /// Returns refused requests and parts with the time since each refusal.
    pub fn refused(&self, now: Time) -> impl Iterator<Item = (Suspect, Duration)> {
        let refused = |held: &&StoredDecision| held.decision.kind == DecisionKind::Refused;
        let held = self.decisions.values().filter(refused);
        held.map(move |held| (held.decision.suspect, now.since(held.since)))
    }

    /// Returns suspects with the number of crashed targets that each was on.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        self.suspects.iter()
    }

    /// Returns parts that were on several crashed targets, with the evidence against each.
    pub fn suspected_parts(&self) -> impl Iterator<Item = (PromptPart, PartEvidence)> {
        let parts = self.part_suspects.iter();
        parts.filter(|(_, evidence)| evidence.crashes > 1)
    }

    /// Returns the number of parts that are remembered with crashes.
    #[must_use]
    pub fn part_count(&self) -> usize {
        self.part_suspects.iter().count()
    }

    /// Returns a digest that differs between instances with different decisions. It is zero if there are no
    /// decisions or the maximum number: at the maximum, instances hold different sets and would copy from
    /// each other forever.
    #[must_use]
    pub fn digest(&self) -> u64 {
        if self.decisions.len() < MAX_DECISIONS {
            self.digest
        } else {
            0
        }
    }

    /// Removes expired entries; returns the requests and parts whose decisions have expired.
    pub fn sweep(&mut self, now: Time) -> Vec<Suspect> {
        self.runs.sweep(now);
        self.suspects.sweep(now);
        self.part_suspects.sweep(now);
        let expired = |held: &&StoredDecision| now.since(held.since) >= DECISION_TTL;
        let expired = self.decisions.values().filter(expired);
        let expired = expired
            .map(|held| held.decision.suspect)
            .collect::<Vec<_>>();
        for suspect in &expired {
            self.remove_decision(*suspect);
        }
        let old = |at: &Time| now.since(*at) >= SERVED_TTL;
        while self.served_order.front().is_some_and(|(at, _)| old(at)) {
            self.forget_oldest_served();
        }
        expired
    }
}
