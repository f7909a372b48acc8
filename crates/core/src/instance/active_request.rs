//! State of a caller's request while an instance processes it.

use serde::Serialize;

use crate::{
    AdapterRef, BaseModel, KeyId, Ran, Refusal, ServiceCall, ServiceId, SoftwareVersion, TargetId,
    Time, Tokens, WorkspaceId,
};

/// A request in progress.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ActiveRequest {
    /// The key that the request was sent with.
    pub(super) key: KeyId,
    /// The workspace that the request belongs to.
    pub(super) workspace: WorkspaceId,
    /// Tokens charged, or to be charged, to the workspace.
    pub(super) charge: Tokens,
    /// The work requested.
    pub(super) job: Job,
    /// The current processing stage.
    pub(super) stage: Stage,
    /// Time of arrival.
    pub(super) arrived: Time,
    /// Number of dispatches that ended in a failure of the target.
    pub(super) retries: u32,
    /// Whether a target failed after it received the request, so that part of it may have run.
    pub(super) may_have_run: bool,
}

/// The work that a request asks for, checked against the catalogue.
#[derive(Clone, Debug, Serialize)]
pub(super) enum Job {
    /// A generation.
    Generate {
        /// The adapter to run.
        adapter: AdapterRef,
        /// The adapter's base model.
        base_model: BaseModel,
        /// Whether the request takes precedence over batch requests.
        urgent: bool,
        /// Estimated prompt length, in tokens.
        prompt: Tokens,
        /// Maximum length of the response, in tokens.
        max_answer: Tokens,
        /// Hash of the start of the prompt.
        prefix: u64,
        /// Number of tokens delivered to the caller so far.
        delivered: Tokens,
        /// Software version of the engine that the request was last sent to. Once tokens are delivered, only engines
        /// of the same version get it.
        software: Option<SoftwareVersion>,
    },
    /// A call to a plain service.
    Call {
        /// The service called.
        service: ServiceId,
        /// The call itself.
        #[serde(skip)]
        call: ServiceCall,
    },
}

/// Processing stage of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(super) enum Stage {
    /// Waiting for tokens of the workspace's rate.
    Rate,
    /// Waiting for a permit for an engine or a slot at a service replica.
    Place,
    /// Holds a slot at a replica and waits until the intent is recorded.
    Record {
        /// The slot held.
        #[serde(skip)]
        slot: crate::services::Slot,
    },
    /// Handed to the shell, which must send the request before a deadline.
    Send {
        /// The target of the dispatch.
        target: TargetId,
        /// Deadline: the request must not be sent at or after this time.
        before: Time,
    },
    /// Sent to the target.
    Sent {
        /// The target of the dispatch.
        target: TargetId,
    },
}

impl ActiveRequest {
    /// Returns whether the request is a call that may not be repeated.
    pub(super) fn is_once_only(&self) -> bool {
        matches!(&self.job, Job::Call { call, .. } if !call.idempotent)
    }

    /// Returns the refusal with `ran` corrected for what is known of this request.
    ///
    /// Guards against reporting "not run" for a request that ran on a target whose connection broke
    /// before its first token arrived.
    pub(super) fn with_accurate_ran(&self, refusal: Refusal) -> Refusal {
        match refusal.ran {
            Ran::No if self.may_have_run => Refusal {
                ran: Ran::Unknown,
                ..refusal
            },
            Ran::No | Ran::Unknown => refusal,
        }
    }

    /// Returns the part of the charge that was not used, given the tokens delivered.
    pub(super) fn unused_charge(&self) -> Tokens {
        match &self.job {
            Job::Generate {
                prompt, delivered, ..
            } if *delivered > Tokens::default() => self.charge.saturating_sub(*prompt + *delivered),
            Job::Generate { .. } | Job::Call { .. } => self.charge,
        }
    }
}
