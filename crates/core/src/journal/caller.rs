//! Recorded calls on the instance that holds the callers' connections.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Refusal, RefusalKind, RequestId, StoredResponse, Time};

use super::message::IntentReply;
use super::{CallIntent, CallOutcome, JournalStep};

/// Interval at which an intent or outcome is sent again while the owner has not replied.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time that a call waits for the owner's reply. Longer than a takeover takes.
const MAX_WAIT: Duration = Duration::from_secs(6);

/// Maximum wait of a call whose owner has replied that the call must wait.
const MAX_WAIT_AFTER_REPLY: Duration = Duration::from_secs(2);

/// A call must be sent within this time after it arrived, or not at all. The journal keeps intents
/// much longer, so a sender that resumes late never finds its key reassigned to another call.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Retry delay that a rejected caller receives.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a call that was not sent is remembered, to handle a late `Send` for it.
const UNSENT_CALL_RETENTION: Duration = Duration::from_mins(1);

/// Response bodies longer than this are not stored. A repeat of the call then gets only the status
/// and the content type.
const MAX_STORED_BODY_BYTES: usize = 16 * 1024;

/// The state of a call.
#[derive(Clone, Debug)]
enum CallState {
    /// The intent is not confirmed as recorded; the call has not been sent.
    AwaitingReply,
    /// The owner replied `Send`: the call may be sent.
    Sent,
    /// The call ended, and its outcome must be reported to the journal.
    Ended(CallOutcome),
}

/// A call from one of this instance's callers. Only this instance decides whether to send it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The intent to record.
    pub intent: CallIntent,
    state: CallState,
    started_at: Time,
    next_send_at: Time,
    wait_reason: Option<RefusalKind>,
}

/// The message about a call that is due to the owner.
#[derive(Clone, Debug)]
pub enum CallMessage {
    /// No message is due.
    None,
    /// Record the intent.
    RecordIntent,
    /// Record the outcome.
    RecordOutcome(CallOutcome),
}

impl Call {
    /// Creates a call that arrived at `now`.
    pub const fn new(intent: CallIntent, now: Time) -> Self {
        Self {
            intent,
            state: CallState::AwaitingReply,
            started_at: now,
            next_send_at: now,
            wait_reason: None,
        }
    }

    /// Creates a call that was abandoned earlier and must be reported as not run again.
    pub fn abandoned(intent: CallIntent, now: Time) -> Self {
        Self {
            state: CallState::Ended(CallOutcome::NotRun),
            ..Self::new(intent, now)
        }
    }

    /// Returns the message that is due to the owner. It is sent again until the owner replies.
    pub fn next_message(&mut self, now: Time) -> CallMessage {
        if now < self.next_send_at {
            return CallMessage::None;
        }
        self.next_send_at = now + RESEND_INTERVAL;
        match &self.state {
            CallState::AwaitingReply => CallMessage::RecordIntent,
            CallState::Sent => CallMessage::None,
            CallState::Ended(outcome) => CallMessage::RecordOutcome(outcome.clone()),
        }
    }

    /// Makes the next message due at once, because the owner may have changed.
    pub const fn resend_now(&mut self, now: Time) {
        self.next_send_at = now;
    }

    /// Handles the owner's reply and returns the decision for the caller, if there is one.
    ///
    /// Guards against sending a call twice because a `Send` is duplicated, late, or received from
    /// two owners: only a call that still awaits a reply accepts a `Send`, and it never returns to
    /// that state.
    pub fn handle_reply(&mut self, now: Time, reply: IntentReply) -> Option<JournalStep> {
        if !matches!(self.state, CallState::AwaitingReply) {
            return None;
        }
        match reply {
            IntentReply::Send if now < self.started_at + SEND_TIMEOUT => {
                self.state = CallState::Sent;
                let send_before = self.started_at + SEND_TIMEOUT;
                Some(JournalStep::Send { send_before })
            }
            IntentReply::Send => Some(self.abandon(now)),
            IntentReply::InProgress => {
                self.wait_reason = Some(RefusalKind::InProgress);
                None
            }
            IntentReply::PlatformUnavailable => {
                self.wait_reason = Some(RefusalKind::PlatformUnavailable);
                None
            }
            IntentReply::Replay(answer) => Some(JournalStep::Replay(answer)),
            IntentReply::InDoubt => Some(refuse(Refusal::unknown(RefusalKind::InDoubt))),
            IntentReply::KeyReused => Some(refuse(Refusal::not_run(RefusalKind::KeyReused))),
        }
    }

    /// Abandons the call if it has waited too long for a reply.
    pub fn time_out(&mut self, now: Time) -> Option<JournalStep> {
        let waits = matches!(self.state, CallState::AwaitingReply);
        (waits && now >= self.started_at + self.max_wait()).then(|| self.abandon(now))
    }

    /// Whether the call's outcome must still be reported to the journal. A call that was refused or
    /// replayed needs no report.
    pub const fn needs_report(&self) -> bool {
        !matches!(self.state, CallState::AwaitingReply)
    }

    /// Records that the sent call ended. Returns false if the call had no `Send` or had already
    /// ended.
    pub fn finish(&mut self, now: Time, outcome: CallOutcome) -> bool {
        if !matches!(self.state, CallState::Sent) {
            return false;
        }
        self.state = CallState::Ended(without_large_body(outcome));
        self.next_send_at = now;
        true
    }

    /// Returns the outcome, or `None` if the call has not ended.
    pub const fn outcome(&self) -> Option<&CallOutcome> {
        match &self.state {
            CallState::Ended(outcome) => Some(outcome),
            CallState::AwaitingReply | CallState::Sent => None,
        }
    }

    const fn max_wait(&self) -> Duration {
        match self.wait_reason {
            None => MAX_WAIT,
            Some(_) => MAX_WAIT_AFTER_REPLY,
        }
    }

    // "Not run" is correct whether or not the intent was written: only this instance could send the
    // call, and it never will after this. The report frees the key.
    fn abandon(&mut self, now: Time) -> JournalStep {
        self.state = CallState::Ended(CallOutcome::NotRun);
        self.next_send_at = now;
        let kind = self.wait_reason.unwrap_or(RefusalKind::PlatformUnavailable);
        refuse(Refusal::retry_after(kind, RETRY_AFTER))
    }
}

const fn refuse(refusal: Refusal) -> JournalStep {
    JournalStep::Refuse(refusal)
}

fn without_large_body(outcome: CallOutcome) -> CallOutcome {
    match outcome {
        CallOutcome::Answered(answer) => {
            let body = answer
                .body
                .filter(|body| body.len() <= MAX_STORED_BODY_BYTES);
            CallOutcome::Answered(StoredResponse { body, ..answer })
        }
        CallOutcome::NotRun | CallOutcome::Unknown => outcome,
    }
}

/// Calls that ended without being sent, remembered for `UNSENT_CALL_RETENTION`.
///
/// A late, duplicated message may record the intent of such a call again. The `Send` that follows
/// would match no call, and the key would stay in doubt for as long as outcomes are kept. The
/// report is therefore sent again.
#[derive(Debug, Default)]
pub struct UnsentCalls {
    calls: BTreeMap<RequestId, (CallIntent, Time)>,
}

impl UnsentCalls {
    /// Adds a call that ended without being sent.
    pub fn remember(&mut self, now: Time, intent: CallIntent) {
        self.calls.insert(intent.request, (intent, now));
    }

    /// Returns the call of `request`, if it is remembered.
    pub fn get(&self, request: RequestId) -> Option<&CallIntent> {
        self.calls
            .get(&request)
            .map(|(intent, _remembered_at)| intent)
    }

    /// Removes the calls whose retention has expired.
    pub fn remove_expired(&mut self, now: Time) {
        self.calls.retain(|_request, (_intent, remembered_at)| {
            now < *remembered_at + UNSENT_CALL_RETENTION
        });
    }
}
