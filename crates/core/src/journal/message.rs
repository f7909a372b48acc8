//! What a workspace's home and the instances that hold callers say about recorded calls.

use serde::{Deserialize, Serialize};

use crate::{IdempotencyKey, MemberRef, RequestId, StoredResponse, WorkspaceId};

use super::{CallOutcome, JournalAsk};

/// A call that may not be repeated, between the caller's instance and the journal's home.
///
/// Each may be lost, late or doubled: asks and reports are sent again until they are answered, and
/// taking one twice changes nothing.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum JournalMessage {
    /// To the home: record the intent.
    Ask {
        /// The life that alone may send the call.
        sender: MemberRef,
        /// The call.
        ask: JournalAsk,
    },
    /// From the home: what to do with the call.
    Verdict {
        /// Which request.
        request: RequestId,
        /// What to do.
        verdict: Verdict,
    },
    /// To the home: how the call ended.
    Report {
        /// Whose call.
        workspace: WorkspaceId,
        /// The caller's name for it.
        key: IdempotencyKey,
        /// Which request.
        request: RequestId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// From the home: the report is in the journal.
    Recorded {
        /// Which request.
        request: RequestId,
    },
}

/// What the home makes of an ask.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Verdict {
    /// The intent is in the journal: send it, once.
    Go,
    /// It ran before.
    Replay(StoredResponse),
    /// A call with this key is under way.
    InProgress,
    /// The platform does not take the intent now; the home goes on trying.
    PlatformAway,
    /// What became of an earlier call with this key is not known.
    InDoubt,
    /// The key was used for another call.
    KeyReused,
}
