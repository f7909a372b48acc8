//! Recorded calls at the instance that holds their callers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Refusal, RefusalKind, RequestId, StoredResponse, Time};

use super::message::Verdict;
use super::{CallOutcome, JournalAsk, JournalStep};

/// An ask or a report without an answer is sent again after this time.
const SEND_AGAIN: Duration = Duration::from_millis(250);

/// A call that waits longer for the home's word is given up; longer than a takeover takes.
const PATIENCE: Duration = Duration::from_secs(6);

/// A call whose home said that it must wait is given up after this time.
const SHORT_PATIENCE: Duration = Duration::from_secs(2);

/// A call must be sent within this time after it was asked for, or not at all. An intent outlives
/// it in the journal by far, so no sender that wakes up late finds its key given to another.
const SEND_WITHIN: Duration = Duration::from_secs(10);

/// A refused caller is told to come back after this time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long an ended call is remembered, to answer a late `Go` for it.
const REMEMBERED: Duration = Duration::from_mins(1);

/// A longer body is not kept: a repeat gets status and content type alone.
const LONGEST_BODY: usize = 16 * 1024;

/// How far a call has come.
#[derive(Clone, Debug)]
enum CallState {
    /// Its intent is to be recorded; nothing is sent.
    Asking,
    /// It had its `Go`, and may be sent.
    Sent,
    /// It ended, and the journal is to know how.
    Ended(CallOutcome),
}

/// A call of this instance's callers; it alone decides whether the call is sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// The call.
    pub ask: JournalAsk,
    state: CallState,
    since: Time,
    due: Time,
    obstacle: Option<RefusalKind>,
}

/// What is to be said to the home about a call.
#[derive(Clone, Debug)]
pub enum CallWord {
    /// Nothing now.
    Nothing,
    /// Record the intent.
    Ask,
    /// Record the outcome.
    Report(CallOutcome),
}

impl Call {
    /// A call that arrived now.
    pub const fn new(ask: JournalAsk, now: Time) -> Self {
        Self {
            ask,
            state: CallState::Asking,
            since: now,
            due: now,
            obstacle: None,
        }
    }

    /// A call given up earlier, to be reported again.
    pub fn given_up(ask: JournalAsk, now: Time) -> Self {
        Self {
            state: CallState::Ended(CallOutcome::NotRun),
            ..Self::new(ask, now)
        }
    }

    /// What to say to the home now; it is said again until it is answered.
    pub fn word(&mut self, now: Time) -> CallWord {
        if now < self.due {
            return CallWord::Nothing;
        }
        self.due = now + SEND_AGAIN;
        match &self.state {
            CallState::Asking => CallWord::Ask,
            CallState::Sent => CallWord::Nothing,
            CallState::Ended(outcome) => CallWord::Report(outcome.clone()),
        }
    }

    /// Says it at once: there is a new home.
    pub const fn hurry(&mut self, now: Time) {
        self.due = now;
    }

    /// Takes the home's word; what it means for the caller, if anything.
    ///
    /// Guards against a call sent twice because a `Go` came twice, late, or from two homes: only
    /// a call still asking takes one, and it never asks again.
    pub fn verdict(&mut self, now: Time, verdict: Verdict) -> Option<JournalStep> {
        if !matches!(self.state, CallState::Asking) {
            return None;
        }
        match verdict {
            Verdict::Go if now < self.since + SEND_WITHIN => {
                self.state = CallState::Sent;
                let send_before = self.since + SEND_WITHIN;
                Some(JournalStep::Go { send_before })
            }
            Verdict::Go => Some(self.give_up(now)),
            Verdict::InProgress => {
                self.obstacle = Some(RefusalKind::InProgress);
                None
            }
            Verdict::PlatformAway => {
                self.obstacle = Some(RefusalKind::PlatformUnavailable);
                None
            }
            Verdict::Replay(answer) => Some(JournalStep::Replay(answer)),
            Verdict::InDoubt => Some(refuse(Refusal::unknown(RefusalKind::InDoubt))),
            Verdict::KeyReused => Some(refuse(Refusal::not_run(RefusalKind::KeyReused))),
        }
    }

    /// Gives the call up if it waited too long.
    pub fn lapse(&mut self, now: Time) -> Option<JournalStep> {
        let waits = matches!(self.state, CallState::Asking);
        (waits && now >= self.since + self.patience()).then(|| self.give_up(now))
    }

    /// Whether the journal is to hear of the call again; a call refused or replayed is done with.
    pub const fn is_open(&self) -> bool {
        !matches!(self.state, CallState::Asking)
    }

    /// The sent call ended; false if it had no `Go` or ended before.
    pub fn ended(&mut self, now: Time, outcome: CallOutcome) -> bool {
        if !matches!(self.state, CallState::Sent) {
            return false;
        }
        self.state = CallState::Ended(trimmed(outcome));
        self.due = now;
        true
    }

    /// The outcome, once the call has ended.
    pub const fn outcome(&self) -> Option<&CallOutcome> {
        match &self.state {
            CallState::Ended(outcome) => Some(outcome),
            CallState::Asking | CallState::Sent => None,
        }
    }

    const fn patience(&self) -> Duration {
        match self.obstacle {
            None => PATIENCE,
            Some(_) => SHORT_PATIENCE,
        }
    }

    // "Not run" is true whatever became of the intent's write: only this instance could send the
    // call, and from here on it never will. The report frees the key.
    fn give_up(&mut self, now: Time) -> JournalStep {
        self.state = CallState::Ended(CallOutcome::NotRun);
        self.due = now;
        let kind = self.obstacle.unwrap_or(RefusalKind::PlatformUnavailable);
        refuse(Refusal::retry_after(kind, RETRY_AFTER))
    }
}

const fn refuse(refusal: Refusal) -> JournalStep {
    JournalStep::Refuse(refusal)
}

fn trimmed(outcome: CallOutcome) -> CallOutcome {
    match outcome {
        CallOutcome::Answered(answer) => {
            let body = answer.body.filter(|body| body.len() <= LONGEST_BODY);
            CallOutcome::Answered(StoredResponse { body, ..answer })
        }
        CallOutcome::NotRun | CallOutcome::Unknown => outcome,
    }
}

/// Calls that ended without being sent, remembered for a while.
///
/// A late, doubled ask may record the intent of such a call again. The `Go` that follows would find
/// nobody, and the key would be in doubt for as long as outcomes are kept: so the report is given
/// again.
#[derive(Debug, Default)]
pub struct GivenUp {
    calls: BTreeMap<RequestId, (JournalAsk, Time)>,
}

impl GivenUp {
    /// Remembers a call that is done with.
    pub fn remember(&mut self, now: Time, ask: JournalAsk) {
        self.calls.insert(ask.request, (ask, now));
    }

    /// The call, if it is one of these.
    pub fn get(&self, request: RequestId) -> Option<&JournalAsk> {
        self.calls.get(&request).map(|(ask, _since)| ask)
    }

    /// Forgets the oldest.
    pub fn forget(&mut self, now: Time) {
        self.calls
            .retain(|_request, (_ask, since)| now < *since + REMEMBERED);
    }
}
