//! The journal state machine.

use serde::{Deserialize, Serialize};

use crate::platform::PlatformAnswer;
use crate::{
    Cx, IdempotencyKey, InstanceId, Refusal, RequestId, ServiceId, StoredAnswer, Time, Tuning,
    WorkspaceId,
};

use super::JournalMessage;

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
        /// Not to be sent at or after this time; then it stays in doubt.
        send_before: Time,
    },
    /// It ran before: answer with what it gave.
    Replay(StoredAnswer),
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
    Answered(StoredAnswer),
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
pub struct Journal;

impl Journal {
    /// Nothing recorded, nothing waiting.
    #[must_use]
    pub fn new(_cfg: &Tuning) -> Self {
        todo!()
    }

    /// A caller's call is to be recorded; decided by a [`JournalDecision`].
    pub fn ask(&mut self, _cx: &mut Cx<'_>, _ask: JournalAsk) -> Vec<JournalDecision> {
        todo!()
    }

    /// A call that had its `Go` ended.
    pub fn finished(&mut self, _cx: &mut Cx<'_>, _request: RequestId, _outcome: CallOutcome) {
        todo!()
    }

    /// Takes an answer to a `Journal` call.
    pub fn platform(&mut self, _cx: &mut Cx<'_>, _answer: PlatformAnswer) -> Vec<JournalDecision> {
        todo!()
    }

    /// A newer map is in force.
    pub fn map_changed(&mut self, _cx: &mut Cx<'_>) -> Vec<JournalDecision> {
        todo!()
    }

    /// Takes a message.
    pub fn message(
        &mut self,
        _cx: &mut Cx<'_>,
        _from: &InstanceId,
        _message: JournalMessage,
    ) -> Vec<JournalDecision> {
        todo!()
    }

    /// Time passed.
    pub fn tick(&mut self, _cx: &mut Cx<'_>) -> Vec<JournalDecision> {
        todo!()
    }

    /// Whether nothing is left to hand over or to record; a planned stop waits for this.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        todo!()
    }

    /// The calls in doubt that this home knows of.
    #[must_use]
    pub fn in_doubt(&self) -> Vec<InDoubt> {
        todo!()
    }
}
