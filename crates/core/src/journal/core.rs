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
use super::caller::{Call, CallMessage, UnsentCalls};
use super::owner::WorkspaceJournal;

/// The intent to send a call, recorded before the call is sent.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CallIntent {
    /// The request that makes the call.
    pub request: RequestId,
    /// The workspace that makes the call.
    pub workspace: WorkspaceId,
    /// The service to call.
    pub service: ServiceId,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// Hash that distinguishes a repeat from another call under the same key.
    pub fingerprint: u64,
}

/// The next step of a recorded call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JournalStep {
    /// The intent is recorded: send the call, once, before `send_before`.
    Send {
        /// The call must not be sent at or after this time. It then stays in doubt unless its
        /// sender reports that it was not sent.
        send_before: Time,
    },
    /// The call has already run: respond with the stored response.
    Replay(StoredResponse),
    /// The call is not sent.
    Refuse(Refusal),
}

/// A decision about a call from one of this instance's callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JournalDecision {
    /// The request that makes the call.
    pub request: RequestId,
    /// The next step of the call.
    pub step: JournalStep,
}

/// The outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum CallOutcome {
    /// The service responded.
    Answered(StoredResponse),
    /// The call certainly did not run: its key may be used again.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// A call with an unknown outcome, as shown to operators.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct InDoubt {
    /// The recorded intent.
    #[serde(rename = "ask")]
    pub intent: CallIntent,
    /// The instance that was to send the call.
    pub sender: InstanceId,
}

/// Records calls that may not be repeated, both as owner of workspaces and for the callers of this
/// instance.
#[derive(Debug)]
pub struct Journal {
    pub(super) retention: Duration,
    pub(super) members: BTreeSet<MemberRef>,
    pub(super) journals: BTreeMap<WorkspaceId, WorkspaceJournal>,
    pub(super) busy: BTreeSet<WorkspaceId>,
    pub(super) swept_at: Time,
    pub(super) last_call: CallId,
    revision: Option<Revision>,
    calls: BTreeMap<RequestId, Call>,
    unsent_calls: UnsentCalls,
    // Messages from this instance to itself, delivered without the network.
    inbox: VecDeque<JournalMessage>,
    reported_in_doubt: BTreeSet<RequestId>,
}

impl Journal {
    /// Creates a journal with no records loaded and no calls waiting.
    #[must_use]
    pub fn new(cfg: &Tuning) -> Self {
        Self {
            retention: cfg.outcome_retention,
            members: BTreeSet::new(),
            journals: BTreeMap::new(),
            busy: BTreeSet::new(),
            swept_at: Time::default(),
            last_call: CallId(0),
            revision: None,
            calls: BTreeMap::new(),
            unsent_calls: UnsentCalls::default(),
            inbox: VecDeque::new(),
            reported_in_doubt: BTreeSet::new(),
        }
    }

    /// Records the intent of a caller's call. A [`JournalDecision`] decides the call, now or later.
    pub fn record_intent(&mut self, cx: &mut Cx<'_>, intent: CallIntent) -> Vec<JournalDecision> {
        self.sync(cx);
        let request = intent.request;
        if !cx.ownership.has_lease(cx.now) {
            let refusal = Refusal::not_run(RefusalKind::NoStanding);
            let step = JournalStep::Refuse(refusal);
            return vec![JournalDecision { request, step }];
        }
        self.calls
            .entry(request)
            .or_insert_with(|| Call::new(intent, cx.now));
        self.send_due_message(cx, request);
        self.drain(cx)
    }

    /// Records the outcome of a call that had its [`JournalStep::Send`].
    pub fn record_outcome(&mut self, cx: &mut Cx<'_>, request: RequestId, outcome: CallOutcome) {
        self.sync(cx);
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if call.finish(cx.now, outcome) {
            self.send_due_message(cx, request);
            let decisions = self.drain(cx);
            debug_assert!(decisions.is_empty(), "a report decides no other call");
        }
    }

    /// Handles the reply to a platform call of purpose `Journal`.
    pub fn platform(&mut self, cx: &mut Cx<'_>, answer: PlatformResponse) -> Vec<JournalDecision> {
        self.sync(cx);
        self.handle_platform_reply(cx, answer);
        self.drain(cx)
    }

    /// Handles the adoption of a newer map.
    pub fn map_changed(&mut self, cx: &mut Cx<'_>) -> Vec<JournalDecision> {
        self.sync(cx);
        self.drain(cx)
    }

    /// Handles a message from another instance.
    pub fn message(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        message: JournalMessage,
    ) -> Vec<JournalDecision> {
        self.sync(cx);
        let mut decisions = Vec::new();
        self.dispatch(cx, from, message, &mut decisions);
        decisions.extend(self.drain(cx));
        decisions
    }

    /// Handles timeouts and everything that has become due.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<JournalDecision> {
        self.sync(cx);
        let mut decisions = Vec::new();
        for request in self.calls.keys().copied().collect::<Vec<_>>() {
            self.expire_call(cx.now, request, &mut decisions);
            self.send_due_message(cx, request);
        }
        self.unsent_calls.remove_expired(cx.now);
        self.sweep(cx.now);
        self.advance_all(cx);
        decisions.extend(self.drain(cx));
        decisions
    }

    /// Whether no call is waiting and nothing is left to record. A planned stop waits for this.
    ///
    /// An owner has no state to hand over: everything it has confirmed is in the journal, and
    /// senders repeat the waiting requests to the next owner.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.calls.is_empty() && self.busy.is_empty()
    }

    /// Returns the calls in doubt in the journal pages that this owner has loaded.
    #[must_use]
    pub fn in_doubt(&self) -> Vec<InDoubt> {
        self.journals
            .values()
            .flat_map(|workspace_journal| workspace_journal.in_doubt(&self.members))
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
        // Drops the journals that this instance no longer owns. Senders repeat unconfirmed requests
        // to the new owner.
        self.journals
            .retain(|id, _journal| cx.ownership.is_owner(&OwnershipKey::Workspace(id.clone())));
        self.busy.retain(|id| self.journals.contains_key(id));
        for call in self.calls.values_mut() {
            call.resend_now(cx.now);
        }
        for request in self.calls.keys().copied().collect::<Vec<_>>() {
            self.send_due_message(cx, request);
        }
        self.report_new_doubts(cx);
    }

    fn expire_call(&mut self, now: Time, request: RequestId, decisions: &mut Vec<JournalDecision>) {
        let timed_out = self
            .calls
            .get_mut(&request)
            .and_then(|call| call.time_out(now));
        decisions.extend(timed_out.map(|step| JournalDecision { request, step }));
    }

    // Sends the message about a call that is due to the owner.
    fn send_due_message(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let key = OwnershipKey::Workspace(call.intent.workspace.clone());
        let Some(owner) = cx.ownership.owner(&key).cloned() else {
            return;
        };
        let message = match call.next_message(cx.now) {
            CallMessage::None => return,
            CallMessage::RecordIntent => JournalMessage::RecordIntent {
                sender: cx.ownership.local.clone(),
                intent: call.intent.clone(),
            },
            CallMessage::RecordOutcome(outcome) => JournalMessage::RecordOutcome {
                workspace: call.intent.workspace.clone(),
                key: call.intent.key.clone(),
                request,
                outcome,
            },
        };
        self.send(cx, &owner, message);
    }

    pub(super) fn send(&mut self, cx: &mut Cx<'_>, to: &InstanceId, message: JournalMessage) {
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
        let local_id = cx.ownership.local.id.clone();
        while let Some(message) = self.inbox.pop_front() {
            self.dispatch(cx, &local_id, message, &mut decisions);
        }
        decisions
    }

    fn dispatch(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        message: JournalMessage,
        decisions: &mut Vec<JournalDecision>,
    ) {
        match message {
            JournalMessage::RecordIntent { sender, intent } => {
                self.handle_intent(cx, from, sender, intent);
            }
            JournalMessage::RecordOutcome {
                workspace,
                key,
                request,
                outcome,
            } => self.handle_outcome(cx, from, &workspace, key, request, outcome),
            JournalMessage::IntentReply { request, reply } => {
                self.handle_intent_reply(cx, request, reply, decisions);
            }
            JournalMessage::OutcomeRecorded { request } => self.outcome_recorded(cx.now, request),
        }
    }

    fn handle_intent_reply(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        reply: super::IntentReply,
        decisions: &mut Vec<JournalDecision>,
    ) {
        if let Some(intent) = self.unsent_calls.get(request) {
            let call = Call::abandoned(intent.clone(), cx.now);
            self.calls.entry(request).or_insert(call);
            self.send_due_message(cx, request);
            return;
        }
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let Some(step) = call.handle_reply(cx.now, reply) else {
            return;
        };
        decisions.push(JournalDecision { request, step });
        if call.needs_report() {
            self.send_due_message(cx, request);
        } else if let Some(call) = self.calls.remove(&request) {
            self.unsent_calls.remember(cx.now, call.intent);
        }
    }

    fn outcome_recorded(&mut self, now: Time, request: RequestId) {
        let outcome = self.calls.get(&request).and_then(Call::outcome);
        let Some(outcome) = outcome.cloned() else {
            return;
        };
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        if outcome == CallOutcome::NotRun {
            self.unsent_calls.remember(now, call.intent);
        }
    }

    pub(super) fn report_new_doubts(&mut self, cx: &mut Cx<'_>) {
        let calls_in_doubt = self.in_doubt();
        let known: BTreeSet<_> = calls_in_doubt
            .iter()
            .map(|doubt| doubt.intent.request)
            .collect();
        for request in known.difference(&self.reported_in_doubt) {
            cx.out.push(Action::Notice(Notice::CallInDoubt(*request)));
        }
        self.reported_in_doubt = known;
    }
}
