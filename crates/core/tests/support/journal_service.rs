//! A fake of a plain service whose calls may not be repeated.

use bluebellstage_core::journal::CallOutcome;
use bluebellstage_core::{RequestId, StoredAnswer};

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
pub fn answer(request: RequestId, bytes: usize) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(format!("{:<bytes$}", request.to_string()).into()),
    }
}
