//! Messages about recorded calls between a workspace's owner and the instances that hold callers.

use serde::{Deserialize, Serialize};

use crate::{IdempotencyKey, MemberRef, RequestId, StoredResponse, WorkspaceId};

use super::{CallIntent, CallOutcome};

/// A message between the caller's instance and the journal's owner about a call that may not be
/// repeated.
///
/// Messages may be lost, late or duplicated. Intents and outcomes are sent again until the owner
/// replies, and handling one twice changes nothing.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum JournalMessage {
    /// Asks the owner to record the intent.
    RecordIntent {
        /// The only incarnation that may send the call.
        sender: MemberRef,
        /// The intent to record.
        intent: CallIntent,
    },
    /// The owner's reply to an intent.
    IntentReply {
        /// The request that made the call.
        request: RequestId,
        /// The reply.
        reply: IntentReply,
    },
    /// Asks the owner to record the outcome.
    RecordOutcome {
        /// The workspace that made the call.
        workspace: WorkspaceId,
        /// The caller's idempotency key for the call.
        key: IdempotencyKey,
        /// The request that made the call.
        request: RequestId,
        /// The outcome to record.
        outcome: CallOutcome,
    },
    /// The owner's confirmation that the outcome is recorded.
    OutcomeRecorded {
        /// The request that made the call.
        request: RequestId,
    },
}

/// The owner's reply to an intent.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum IntentReply {
    /// The intent is recorded: send the call, once.
    Send,
    /// The call has already run; the stored response is enclosed.
    Replay(StoredResponse),
    /// A call with this key is in progress.
    InProgress,
    /// The platform can't store the intent now; the owner keeps retrying.
    PlatformUnavailable,
    /// The outcome of an earlier call with this key is not known.
    InDoubt,
    /// The key was already used for a different call.
    KeyReused,
}
