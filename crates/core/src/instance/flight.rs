//! A caller's request on its way through the instance.

use serde::Serialize;

use crate::{
    AdapterRef, BaseModel, KeyId, Ran, Refusal, ServiceCall, ServiceId, TargetId, Time, Tokens,
    WorkspaceId,
};

/// A request under way.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Flight {
    /// The key that came with it.
    pub(super) key: KeyId,
    /// Whose it is.
    pub(super) workspace: WorkspaceId,
    /// Tokens charged, or to be charged, to the workspace.
    pub(super) charge: Tokens,
    /// What it asks for.
    pub(super) job: Job,
    /// Where it stands.
    pub(super) stage: Stage,
    /// When it arrived.
    pub(super) arrived: Time,
    /// How often it was sent to a target that then failed.
    pub(super) retries: u32,
    /// A target broke off after it got the request: some of it may have run.
    pub(super) may_have_run: bool,
}

/// What a request asks for, checked against the catalogue.
#[derive(Clone, Debug, Serialize)]
pub(super) enum Job {
    /// A generation.
    Generate {
        /// What runs.
        adapter: AdapterRef,
        /// On which base model.
        base_model: BaseModel,
        /// Goes before overnight work.
        urgent: bool,
        /// Estimated prompt length.
        prompt: Tokens,
        /// Longest answer.
        max_answer: Tokens,
        /// Hash of the prompt's start.
        prefix: u64,
        /// Tokens delivered to the caller so far.
        delivered: Tokens,
    },
    /// A call to a plain service.
    Call {
        /// Which service.
        service: ServiceId,
        /// The call.
        #[serde(skip)]
        call: ServiceCall,
    },
}

/// Where a request stands.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(super) enum Stage {
    /// Waits for tokens of its workspace's rate.
    Rate,
    /// Waits for a place at a target.
    Place,
    /// Has a place at a replica and waits for its intent to be recorded.
    Record {
        /// The replica.
        #[serde(skip)]
        slot: crate::services::Slot,
    },
    /// Handed to the shell, to be sent before a time.
    Send {
        /// Which target.
        target: TargetId,
        /// Not to be sent at or after this time.
        before: Time,
    },
    /// Sent.
    Sent {
        /// Which target.
        target: TargetId,
    },
}

impl Flight {
    /// Whether a call that may not be repeated is, or may be, with its target.
    pub(super) fn is_once_only(&self) -> bool {
        matches!(&self.job, Job::Call { call, .. } if !call.idempotent)
    }

    /// A refusal as far as it is true of this request.
    ///
    /// Guards against "not run" said of a request that ran at a target which broke off before its
    /// first token came back.
    pub(super) fn truthful(&self, refusal: Refusal) -> Refusal {
        match refusal.ran {
            Ran::No if self.may_have_run => Refusal {
                ran: Ran::Unknown,
                ..refusal
            },
            Ran::No | Ran::Unknown => refusal,
        }
    }

    /// What of the charge was not used, given what was delivered.
    pub(super) fn unused(&self) -> Tokens {
        match &self.job {
            Job::Generate {
                prompt, delivered, ..
            } if *delivered > Tokens::default() => self.charge.saturating_sub(*prompt + *delivered),
            Job::Generate { .. } | Job::Call { .. } => self.charge,
        }
    }
}
