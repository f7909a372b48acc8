//! A fake of a plain service whose calls may not be repeated.

use bluebellstage_core::journal::{CallOutcome, JournalAsk, JournalStep};
use bluebellstage_core::{MemberRef, Refusal, RefusalKind, RequestId, StoredResponse};

/// What the fake service does with a call that reaches it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Service {
    /// Runs it and answers.
    Answers,
    /// Can't be connected to.
    Refuses,
    /// Runs it and dies before it answers.
    Dies,
    /// Dies before it runs it; the sender can't tell.
    DiesIdle,
}

impl Service {
    /// Whether a call that reaches it runs.
    pub const fn runs(self) -> bool {
        matches!(self, Self::Answers | Self::Dies)
    }

    /// What the sender of the call sees.
    pub fn outcome(self, request: RequestId, answer_bytes: usize) -> CallOutcome {
        match self {
            Self::Answers => CallOutcome::Answered(answer(request, answer_bytes)),
            Self::Refuses => CallOutcome::NotRun,
            Self::Dies | Self::DiesIdle => CallOutcome::Unknown,
        }
    }
}

/// The service's answer to a request.
pub fn answer(request: RequestId, bytes: usize) -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(format!("{:<bytes$}", request.to_string()).into()),
    }
}

/// A request as the caller sees it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub ask: JournalAsk,
    pub life: MemberRef,
    pub step: Option<JournalStep>,
    pub at: u64,
    pub decided_at: Option<u64>,
    /// The call came to its end at the instance that holds the caller.
    pub has_ended: bool,
}

/// A call over all its repeats, as its caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub asked: usize,
    /// No repeat is under way.
    pub is_over: bool,
    /// It needs no further repeat.
    pub is_final: bool,
    pub is_in_doubt: bool,
    /// The longest that a repeat waited for its word.
    pub longest_wait_ms: u64,
}

impl Call {
    /// Takes the next repeat, in the order in which they were asked.
    pub fn take(&mut self, asked: &Asked, lives: bool) {
        self.asked += 1;
        self.is_over = asked.step.is_some() || !lives;
        let is_in_doubt = |refusal: &Refusal| refusal.kind == RefusalKind::InDoubt;
        self.is_in_doubt = match &asked.step {
            Some(JournalStep::Refuse(refusal)) => is_in_doubt(refusal),
            Some(JournalStep::Replay(_) | JournalStep::Go { .. }) | None => false,
        };
        self.is_final = match &asked.step {
            Some(JournalStep::Replay(_)) => true,
            Some(JournalStep::Go { .. }) => lives || asked.has_ended,
            Some(JournalStep::Refuse(refusal)) => is_in_doubt(refusal),
            None => false,
        };
        let waited = asked.decided_at.map_or(0, |at| at - asked.at);
        self.longest_wait_ms = self.longest_wait_ms.max(waited / 1_000);
    }
}
