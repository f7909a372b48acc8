//! End of a dispatch: completes, retries or refuses the request, depending on the outcome.

use crate::engines::PermitEnd;
use crate::journal::CallOutcome;
use crate::services::SlotEnd;
use crate::{Cx, Finish, Ran, Refusal, RefusalKind, RequestId, TargetReport, Time, Tokens};

use super::Instance;
use super::active_request::{ActiveRequest, Job, Stage};
use super::core::cx;
use super::requests::RETRY_AFTER;

/// Maximum number of retries of an idempotent request after target failures.
const MAX_RETRIES: u32 = 3;

impl Instance {
    pub(super) fn record_progress(&mut self, id: RequestId, tokens: Tokens) {
        if let Some(ActiveRequest {
            job: Job::Generate { delivered, .. },
            ..
        }) = self.active_requests.get_mut(&id)
        {
            *delivered = (*delivered).max(tokens);
        }
    }

    /// Records what the target of a dispatched request reports about itself.
    pub(super) fn record_target_report(&mut self, now: Time, id: RequestId, report: TargetReport) {
        let Some(active_request) = self.active_requests.get(&id) else {
            return;
        };
        match &active_request.job {
            Job::Generate { .. } => {
                let decisions = self.engines.target_reported(cx!(self, now), id, report);
                self.queue_decisions(decisions);
            }
            Job::Call { .. } => self.services.record_target_report(now, id, report),
        }
    }

    pub(super) fn handle_finish(&mut self, now: Time, id: RequestId, finish: Finish) {
        let Some(active_request) = self.active_requests.get(&id) else {
            return;
        };
        match &active_request.job {
            Job::Generate { .. } => self.handle_generation_finish(now, id, &finish),
            Job::Call { .. } => self.handle_call_finish(now, id, finish),
        }
    }

    pub(super) fn handle_generation_finish(&mut self, now: Time, id: RequestId, finish: &Finish) {
        match *finish {
            Finish::Complete { answer, .. } => {
                self.end_generation(now, id, answer, PermitEnd::Used);
            }
            Finish::CallerGone { delivered } => self.handle_caller_gone(now, id, delivered),
            Finish::NotSent => self.retry_generation(now, id, PermitEnd::NotUsed, None),
            Finish::Rejected { leaving: true } => {
                self.retry_generation(now, id, PermitEnd::EngineLeaving, None);
            }
            Finish::Unreachable | Finish::Rejected { leaving: false } => {
                self.retry_generation(now, id, PermitEnd::EngineFailed, None);
            }
            Finish::WrongAdapter => self.retry_generation(now, id, PermitEnd::WrongAdapter, None),
            Finish::Interrupted { delivered } => {
                self.retry_generation(now, id, PermitEnd::EngineFailed, Some(delivered));
            }
        }
    }

    /// Retries a generation on another engine, continuing after the tokens already delivered to the
    /// caller.
    ///
    /// Generations are idempotent. The request is refused if the key or adapter was withdrawn, or
    /// if its retries or the retry budget are exhausted.
    pub(super) fn retry_generation(
        &mut self,
        now: Time,
        id: RequestId,
        end: PermitEnd,
        delivered: Option<Tokens>,
    ) {
        let decisions = self.engines.permit_ended(cx!(self, now), id, end);
        self.queue_decisions(decisions);
        if let Some(delivered) = delivered {
            self.record_progress(id, delivered);
        }
        let Some(active_request) = self.active_requests.get_mut(&id) else {
            return;
        };
        active_request.retries += 1;
        active_request.may_have_run |= delivered.is_some();
        let retries = active_request.retries;
        if let Some(refusal) = self.entitlement_refusal(now, id) {
            self.refuse_charged(now, id, refusal);
            return;
        }
        if retries <= MAX_RETRIES && self.retry_budget.try_take(now) {
            self.request_target(now, id);
            return;
        }
        let refusal = Refusal::retry_after(RefusalKind::TargetFailed, RETRY_AFTER);
        self.refuse_charged(now, id, refusal);
    }

    pub(super) fn end_generation(
        &mut self,
        now: Time,
        id: RequestId,
        answer: Tokens,
        end: PermitEnd,
    ) {
        let decisions = self.engines.permit_ended(cx!(self, now), id, end);
        self.queue_decisions(decisions);
        let Some(active_request) = self.active_requests.remove(&id) else {
            return;
        };
        if let Job::Generate { prompt, .. } = active_request.job {
            let unused = active_request.charge.saturating_sub(prompt + answer);
            self.rates
                .give_back(cx!(self, now), &active_request.workspace, unused);
        }
    }

    pub(super) fn handle_caller_gone(&mut self, now: Time, id: RequestId, delivered: Tokens) {
        let Some(active_request) = self.active_requests.get(&id) else {
            return;
        };
        match active_request.stage {
            Stage::Sent { .. } => self.end_generation(now, id, delivered, PermitEnd::Used),
            Stage::Send { .. } => self.end_generation(now, id, delivered, PermitEnd::NotUsed),
            Stage::Rate | Stage::Place | Stage::Record { .. } => self.abandon(now, id),
        }
    }

    pub(super) fn handle_call_finish(&mut self, now: Time, id: RequestId, finish: Finish) {
        let Some(active_request) = self.active_requests.get(&id) else {
            return;
        };
        let sent = matches!(
            active_request.stage,
            Stage::Sent { .. } | Stage::Send { .. }
        );
        if !sent {
            self.abandon(now, id);
            return;
        }
        let is_once_only = active_request.is_once_only();
        let (outcome, end, refusal) = match finish {
            Finish::Complete { stored, .. } => {
                let outcome = stored.map_or(CallOutcome::Unknown, CallOutcome::Answered);
                (outcome, SlotEnd::NoFault, None)
            }
            Finish::NotSent => (CallOutcome::NotRun, SlotEnd::NoFault, Some(Ran::No)),
            Finish::Rejected { leaving: true } => {
                (CallOutcome::NotRun, SlotEnd::Leaving, Some(Ran::No))
            }
            Finish::Unreachable | Finish::Rejected { leaving: false } | Finish::WrongAdapter => {
                (CallOutcome::NotRun, SlotEnd::Failed, Some(Ran::No))
            }
            Finish::Interrupted { .. } => {
                (CallOutcome::Unknown, SlotEnd::Failed, Some(Ran::Unknown))
            }
            Finish::CallerGone { .. } => (CallOutcome::Unknown, SlotEnd::NoFault, None),
        };
        self.release_slot(now, id, end);
        if is_once_only {
            self.journal.record_outcome(cx!(self, now), id, outcome);
        }
        match refusal {
            None => {
                self.active_requests.remove(&id);
            }
            Some(ran) => self.handle_call_failure(now, id, is_once_only, ran),
        }
    }

    /// Retries an idempotent call (a read) on another replica; refuses any other call, telling the
    /// caller whether it may have run.
    pub(super) fn handle_call_failure(
        &mut self,
        now: Time,
        id: RequestId,
        is_once_only: bool,
        ran: Ran,
    ) {
        let Some(active_request) = self.active_requests.get_mut(&id) else {
            return;
        };
        active_request.retries += 1;
        active_request.may_have_run |= ran == Ran::Unknown;
        let retries = active_request.retries;
        if is_once_only && ran == Ran::Unknown {
            self.refuse_charged(now, id, Refusal::unknown(RefusalKind::InDoubt));
            return;
        }
        if let Some(refusal) = self.entitlement_refusal(now, id) {
            self.refuse_charged(now, id, refusal);
            return;
        }
        if !is_once_only && retries <= MAX_RETRIES && self.retry_budget.try_take(now) {
            self.request_target(now, id);
            return;
        }
        let refusal = Refusal::retry_after(RefusalKind::TargetFailed, RETRY_AFTER);
        self.refuse_charged(now, id, refusal);
    }

    pub(super) fn release_slot(&mut self, now: Time, id: RequestId, end: SlotEnd) {
        let decisions = self.services.slot_ended(cx!(self, now), id, end);
        self.queue_decisions(decisions);
    }

    /// Returns a refusal if a request admitted earlier may no longer run here.
    ///
    /// This is the case if its key, adapter or service was withdrawn, or if the catalogue is stale.
    pub(super) fn entitlement_refusal(&self, now: Time, id: RequestId) -> Option<Refusal> {
        let active_request = self.active_requests.get(&id)?;
        if !self.is_entitled(active_request) {
            return Some(Refusal::not_run(RefusalKind::KeyRefused));
        }
        let fresh = self.catalogue.is_fresh(now);
        (!fresh).then(|| Refusal::retry_after(RefusalKind::NoStanding, RETRY_AFTER))
    }
}
