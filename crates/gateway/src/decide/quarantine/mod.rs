//! Stops requests that crash targets from crashing more of them.
//!
//! When a target crashes, all requests that it ran are interrupted, and one of them may be the cause.
//! Instances report to each other which requests were interrupted and how long each had run. A request is
//! refused once it was on so many crashed targets that coincidence is ruled out; a complete response clears
//! it of suspicion. Decisions outlive single instances: every instance keeps them, new instances copy them
//! from peers, and the store keeps them for a fleet that restarts as a whole.

mod decision;
mod fingerprint;
mod message;
mod prompt_part;
mod runs;
mod suspects;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::decision::{AgedDecision, DecisionKind, QuarantineDecision};
pub use self::fingerprint::{BadFingerprint, Fingerprint};
pub use self::message::{Crash, InterruptedPart, InterruptedRun, QuarantineMessage};
pub use self::prompt_part::{BadPromptPart, PromptPart};
pub use self::runs::{PartsAtCrash, RunKey, Runs};
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
/// Maximum number of runs in one message, so that it fits into a datagram.
const MAX_RUNS_PER_MESSAGE: usize = 48;

#[derive(Clone, Copy, Debug)]
struct StoredDecision {
    decision: QuarantineDecision,
    since: Time,
}

fn digest_of(decision: &QuarantineDecision) -> u64 {
    let revision = u64::from(decision.revision);
    xxh3_64_with_seed(&decision.request.bits().to_le_bytes(), revision)
}

/// Requests that crash targets, and requests suspected of it.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Runs of this instance whose prompts have shared parts.
    pub runs: Runs,
    suspects: Suspects,
    decisions: HashMap<Fingerprint, StoredDecision>,
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
    /// Returns whether a request must not be sent to a target.
    #[must_use]
    pub fn is_refused(&self, request: Fingerprint) -> bool {
        let held = self.decisions.get(&request);
        held.is_some_and(|held| held.decision.kind == DecisionKind::Refused)
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
        let chunks = crash
            .interrupted
            .chunks(MAX_RUNS_PER_MESSAGE)
            .map(|interrupted| Crash {
                interrupted: interrupted.to_vec(),
                ..crash.clone()
            });
        let messages = chunks.map(QuarantineMessage::Crashed).collect::<Vec<_>>();
        for message in &messages {
            self.apply(message, now);
        }
        messages
    }

    /// Evaluates requests of this instance that were on a target which crashed [`EVALUATION_DELAY`] ago.
    /// Returns the decisions on those that are refused from now on.
    pub fn evaluate(&mut self, requests: &[Fingerprint], now: Time) -> Vec<QuarantineDecision> {
        let causes = requests.iter().copied();
        let causes = causes.filter(|request| self.suspects.is_cause(*request));
        let causes = causes.collect::<Vec<_>>();
        let refused = causes.into_iter().map(|request| self.refuse(request, now));
        refused.collect()
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
        // A refused request that was sent before its refusal explains this crash, too.
        let causes = crash.interrupted.iter().map(|run| run.request);
        for cause in causes
            .filter(|request| self.is_refused(*request))
            .collect::<Vec<_>>()
        {
            self.suspects.mark_explained(cause);
        }
        is_new
    }

    fn refuse(&mut self, request: Fingerprint, now: Time) -> QuarantineDecision {
        let before = self.decisions.get(&request).map(|held| held.decision);
        let decision = QuarantineDecision::next(request, DecisionKind::Refused, before.as_ref());
        self.adopt(decision, Duration::ZERO, now);
        decision
    }

    /// Lets a request through again at an operator's command; returns `None` if it is not refused.
    pub fn clear(&mut self, request: Fingerprint, now: Time) -> Option<QuarantineDecision> {
        let before = self.decisions.get(&request)?.decision;
        if before.kind != DecisionKind::Refused {
            return None;
        }
        let decision = QuarantineDecision::next(request, DecisionKind::Cleared, Some(&before));
        self.adopt(decision, Duration::ZERO, now);
        Some(decision)
    }

    /// Puts a decision of the given age in force. Returns false if it is known, superseded by a newer one, or
    /// expired.
    pub fn adopt(&mut self, decision: QuarantineDecision, age: Duration, now: Time) -> bool {
        let request = decision.request;
        let known = self.decisions.get(&request);
        let known = known.is_some_and(|known| !decision.replaces(&known.decision));
        if known || age >= DECISION_TTL {
            return false;
        }
        if decision.kind == DecisionKind::Refused {
            self.suspects.mark_explained(request);
        }
        self.suspects.remove(request);
        self.remove_decision(request);
        if self.decisions.len() >= MAX_DECISIONS {
            let oldest = self.decisions.iter().min_by_key(|(_, held)| held.since);
            if let Some(oldest) = oldest.map(|(request, _)| *request) {
                self.remove_decision(oldest);
            }
        }
        self.digest ^= digest_of(&decision);
        let since = now - age;
        self.decisions
            .insert(request, StoredDecision { decision, since });
        true
    }

    fn remove_decision(&mut self, request: Fingerprint) {
        if let Some(held) = self.decisions.remove(&request) {
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

    /// Returns refused requests with the time since each refusal.
    pub fn refused(&self, now: Time) -> impl Iterator<Item = (Fingerprint, Duration)> {
        let refused = |held: &&StoredDecision| held.decision.kind == DecisionKind::Refused;
        let held = self.decisions.values().filter(refused);
        held.map(move |held| (held.decision.request, now.since(held.since)))
    }

    /// Returns suspects with the number of crashed targets that each was on.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        self.suspects.iter()
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

    /// Removes expired entries; returns the requests whose decisions have expired.
    pub fn sweep(&mut self, now: Time) -> Vec<Fingerprint> {
        self.runs.sweep(now);
        self.suspects.sweep(now);
        let expired = |held: &&StoredDecision| now.since(held.since) >= DECISION_TTL;
        let expired = self.decisions.values().filter(expired);
        let expired = expired
            .map(|held| held.decision.request)
            .collect::<Vec<_>>();
        for request in &expired {
            self.remove_decision(*request);
        }
        let old = |at: &Time| now.since(*at) >= SERVED_TTL;
        while self.served_order.front().is_some_and(|(at, _)| old(at)) {
            self.forget_oldest_served();
        }
        expired
    }
}
