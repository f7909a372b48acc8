//! A simulated plain service whose calls may not be repeated.

use bluebellstage_core::journal::{CallIntent, CallOutcome, JournalStep};
use bluebellstage_core::{MemberRef, Refusal, RefusalKind, RequestId, StoredResponse};

/// How the simulated service handles a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceMode {
    /// Runs the call and responds.
    Responds,
    /// Refuses connections.
    RefusesConnection,
    /// Runs the call and dies before it responds.
    DiesAfterRun,
    /// Dies before it runs the call. The sender can't distinguish this from `DiesAfterRun`.
    DiesBeforeRun,
}

impl ServiceMode {
    /// Whether the service runs calls.
    pub const fn runs(self) -> bool {
        matches!(self, Self::Responds | Self::DiesAfterRun)
    }

    /// Returns the outcome that the sender of the call observes.
    pub fn outcome(self, request: RequestId, response_bytes: usize) -> CallOutcome {
        match self {
            Self::Responds => CallOutcome::Answered(stored_response(request, response_bytes)),
            Self::RefusesConnection => CallOutcome::NotRun,
            Self::DiesAfterRun | Self::DiesBeforeRun => CallOutcome::Unknown,
        }
    }
}

/// Returns the service's response to a request.
pub fn stored_response(request: RequestId, bytes: usize) -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(format!("{:<bytes$}", request.to_string()).into()),
    }
}

/// One request of a call, as its caller observes it. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub intent: CallIntent,
    pub sender: MemberRef,
    pub step: Option<JournalStep>,
    pub sent_at: u64,
    pub decided_at: Option<u64>,
    /// Whether the call has ended at the instance that holds the caller.
    pub has_ended: bool,
}

/// A call over all its attempts, as its caller observes it.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub attempts: usize,
    /// Whether no attempt is in progress.
    pub is_finished: bool,
    /// Whether no further attempt is needed.
    pub is_final: bool,
    pub is_in_doubt: bool,
    /// The longest time that an attempt waited for its decision.
    pub max_wait_ms: u64,
}

impl Call {
    /// Adds the next attempt. Attempts must be added in the order in which they were sent.
    pub fn add_attempt(&mut self, attempt: &Attempt, is_sender_running: bool) {
        self.attempts += 1;
        self.is_finished = attempt.step.is_some() || !is_sender_running;
        let is_in_doubt = |refusal: &Refusal| refusal.kind == RefusalKind::InDoubt;
        self.is_in_doubt = match &attempt.step {
            Some(JournalStep::Refuse(refusal)) => is_in_doubt(refusal),
            Some(JournalStep::Replay(_) | JournalStep::Send { .. }) | None => false,
        };
        self.is_final = match &attempt.step {
            Some(JournalStep::Replay(_)) => true,
            Some(JournalStep::Send { .. }) => is_sender_running || attempt.has_ended,
            Some(JournalStep::Refuse(refusal)) => is_in_doubt(refusal),
            None => false,
        };
        let waited = attempt.decided_at.map_or(0, |at| at - attempt.sent_at);
        self.max_wait_ms = self.max_wait_ms.max(waited / 1_000);
    }
}
