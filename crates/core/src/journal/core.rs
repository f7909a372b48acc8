//! The journal state machine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::platform::PlatformResponse;
use crate::{
    Action, CallId, Cx, IdempotencyKey, InstanceId, MemberRef, Notice, OwnershipKey, PeerMessage,
    Refusal, RefusalKind, RequestId, Revision, ServiceId, StoredResponse, Time, Tuning,
    WorkspaceId,
};

use super::JournalMessage;
use super::book::Book;
use super::caller::{Call, CallWord, GivenUp};

/// A call to be recorded before it is sent.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct JournalAsk {
    /// The caller's request.
    pub request: RequestId,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// Which service it calls.
    pub service: ServiceId,
    /// The caller's name for it.
    pub key: IdempotencyKey,
    /// Tells a repeat from another call under the same name.
    pub fingerprint: u64,
}

/// The next step of a recorded call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JournalStep {
    /// The intent is recorded: send it, once, before this time.
    Go {
        /// Not to be sent at or after this time; then it stays in doubt, unless its sender reports
        /// that it did not send it.
        send_before: Time,
    },
    /// It ran before: answer with what it gave.
    Replay(StoredResponse),
    /// Not sent.
    Refuse(Refusal),
}

/// A decision about a recorded call of this instance's callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JournalDecision {
    /// Which request.
    pub request: RequestId,
    /// What to do with it.
    pub step: JournalStep,
}

/// How a sent call ended.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum CallOutcome {
    /// The service answered.
    Answered(StoredResponse),
    /// Provably nothing ran: the name may be used again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A call whose outcome is not known, as operators see it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct InDoubt {
    /// The call.
    pub ask: JournalAsk,
    /// The instance that was to send it.
    pub sender: InstanceId,
}

/// Records calls that may not be repeated, as home of a workspace and for callers held here.
#[derive(Debug)]
pub struct Journal {
    pub(super) retention: Duration,
    pub(super) members: BTreeSet<MemberRef>,
    pub(super) books: BTreeMap<WorkspaceId, Book>,
    pub(super) busy: BTreeSet<WorkspaceId>,
    pub(super) swept_at: Time,
    pub(super) last_call: CallId,
    revision: Option<Revision>,
    calls: BTreeMap<RequestId, Call>,
    given_up: GivenUp,
    // Words of this instance to itself; they need no message.
    inbox: VecDeque<JournalMessage>,
    doubted: BTreeSet<RequestId>,
}

impl Journal {
    /// Nothing recorded, nothing waiting.
    #[must_use]
    pub fn new(cfg: &Tuning) -> Self {
        Self {
            retention: cfg.outcome_retention,
            members: BTreeSet::new(),
            books: BTreeMap::new(),
            busy: BTreeSet::new(),
            swept_at: Time::default(),
            last_call: CallId(0),
            revision: None,
            calls: BTreeMap::new(),
            given_up: GivenUp::default(),
            inbox: VecDeque::new(),
            doubted: BTreeSet::new(),
        }
    }

    /// A caller's call is to be recorded; decided by a [`JournalDecision`].
    pub fn ask(&mut self, cx: &mut Cx<'_>, ask: JournalAsk) -> Vec<JournalDecision> {
        self.sync(cx);
        let request = ask.request;
        if !cx.ownership.has_lease(cx.now) {
            let refusal = Refusal::not_run(RefusalKind::NoStanding);
            let step = JournalStep::Refuse(refusal);
            return vec![JournalDecision { request, step }];
        }
        self.calls
            .entry(request)
            .or_insert_with(|| Call::new(ask, cx.now));
        self.speak(cx, request);
        self.drain(cx)
    }

    /// A call that had its `Go` ended.
    pub fn finished(&mut self, cx: &mut Cx<'_>, request: RequestId, outcome: CallOutcome) {
        self.sync(cx);
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if call.ended(cx.now, outcome) {
            self.speak(cx, request);
            let decisions = self.drain(cx);
            debug_assert!(decisions.is_empty(), "a report decides no other call");
        }
    }

    /// Takes an answer to a `Journal` call.
    pub fn platform(&mut self, cx: &mut Cx<'_>, answer: PlatformResponse) -> Vec<JournalDecision> {
        self.sync(cx);
        self.platform_answered(cx, answer);
        self.drain(cx)
    }

    /// A newer map is in force.
    pub fn map_changed(&mut self, cx: &mut Cx<'_>) -> Vec<JournalDecision> {
        self.sync(cx);
        self.drain(cx)
    }

    /// Takes a message.
    pub fn message(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        message: JournalMessage,
    ) -> Vec<JournalDecision> {
        self.sync(cx);
        let mut decisions = Vec::new();
        self.take(cx, from, message, &mut decisions);
        decisions.extend(self.drain(cx));
        decisions
    }

    /// Time passed.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<JournalDecision> {
        self.sync(cx);
        let mut decisions = Vec::new();
        for request in self.calls.keys().copied().collect::<Vec<_>>() {
            self.age(cx.now, request, &mut decisions);
            self.speak(cx, request);
        }
        self.given_up.forget(cx.now);
        self.sweep(cx.now);
        self.advance_all(cx);
        decisions.extend(self.drain(cx));
        decisions
    }

    /// Whether nothing is left to hand over or to record; a planned stop waits for this.
    ///
    /// As home nothing has to be handed over: what is said is in the journal, and what waits is
    /// asked for again at the next home.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.calls.is_empty() && self.busy.is_empty()
    }

    /// The calls in doubt that this home knows of.
    #[must_use]
    pub fn in_doubt(&self) -> Vec<InDoubt> {
        self.books
            .values()
            .flat_map(|book| book.in_doubt(&self.members))
            .collect()
    }

    fn sync(&mut self, cx: &mut Cx<'_>) {
        if self.revision == Some(cx.ownership.revision()) {
            return;
        }
        self.revision = Some(cx.ownership.revision());
        self.members = cx
            .ownership
            .map
            .members
            .iter()
            .map(crate::Member::member_ref)
            .collect();
        // A home that is home no more forgets: what it has not said is asked for again elsewhere.
        self.books
            .retain(|id, _book| cx.ownership.is_owner(&OwnershipKey::Workspace(id.clone())));
        self.busy.retain(|id| self.books.contains_key(id));
        for call in self.calls.values_mut() {
            call.hurry(cx.now);
        }
        for request in self.calls.keys().copied().collect::<Vec<_>>() {
            self.speak(cx, request);
        }
        self.notice_doubts(cx);
    }

    fn age(&mut self, now: Time, request: RequestId, decisions: &mut Vec<JournalDecision>) {
        let lapsed = self
            .calls
            .get_mut(&request)
            .and_then(|call| call.lapse(now));
        decisions.extend(lapsed.map(|step| JournalDecision { request, step }));
    }

    // Tells the home what is due about a call.
    fn speak(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let key = OwnershipKey::Workspace(call.ask.workspace.clone());
        let Some(home) = cx.ownership.owner(&key).cloned() else {
            return;
        };
        let message = match call.word(cx.now) {
            CallWord::Nothing => return,
            CallWord::Ask => JournalMessage::Ask {
                sender: cx.ownership.local.clone(),
                ask: call.ask.clone(),
            },
            CallWord::Report(outcome) => JournalMessage::Report {
                workspace: call.ask.workspace.clone(),
                key: call.ask.key.clone(),
                request,
                outcome,
            },
        };
        self.say(cx, &home, message);
    }

    pub(super) fn say(&mut self, cx: &mut Cx<'_>, to: &InstanceId, message: JournalMessage) {
        if *to == cx.ownership.local.id {
            self.inbox.push_back(message);
            return;
        }
        cx.out.push(Action::Send {
            to: to.clone(),
            message: Box::new(PeerMessage::Journal(message)),
        });
    }

    fn drain(&mut self, cx: &mut Cx<'_>) -> Vec<JournalDecision> {
        let mut decisions = Vec::new();
        let me = cx.ownership.local.id.clone();
        while let Some(message) = self.inbox.pop_front() {
            self.take(cx, &me, message, &mut decisions);
        }
        decisions
    }

    fn take(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        message: JournalMessage,
        decisions: &mut Vec<JournalDecision>,
    ) {
        match message {
            JournalMessage::Ask { sender, ask } => self.asked(cx, from, sender, ask),
            JournalMessage::Report {
                workspace,
                key,
                request,
                outcome,
            } => self.reported(cx, from, &workspace, key, request, outcome),
            JournalMessage::Verdict { request, verdict } => {
                self.judged(cx, request, verdict, decisions);
            }
            JournalMessage::Recorded { request } => self.recorded(cx.now, request),
        }
    }

    fn judged(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        verdict: super::Verdict,
        decisions: &mut Vec<JournalDecision>,
    ) {
        if let Some(ask) = self.given_up.get(request) {
            let call = Call::given_up(ask.clone(), cx.now);
            self.calls.entry(request).or_insert(call);
            self.speak(cx, request);
            return;
        }
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let Some(step) = call.verdict(cx.now, verdict) else {
            return;
        };
        decisions.push(JournalDecision { request, step });
        if call.is_open() {
            self.speak(cx, request);
        } else if let Some(call) = self.calls.remove(&request) {
            self.given_up.remember(cx.now, call.ask);
        }
    }

    fn recorded(&mut self, now: Time, request: RequestId) {
        let outcome = self.calls.get(&request).and_then(Call::outcome);
        let Some(outcome) = outcome.cloned() else {
            return;
        };
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        if outcome == CallOutcome::NotRun {
            self.given_up.remember(now, call.ask);
        }
    }

    pub(super) fn notice_doubts(&mut self, cx: &mut Cx<'_>) {
        let doubts = self.in_doubt();
        let known: BTreeSet<_> = doubts.iter().map(|doubt| doubt.ask.request).collect();
        for request in known.difference(&self.doubted) {
            cx.out.push(Action::Notice(Notice::CallInDoubt(*request)));
        }
        self.doubted = known;
    }
}
