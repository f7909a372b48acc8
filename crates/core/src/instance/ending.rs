//! How a dispatch ended, and what comes of it: the end, a retry, or a refusal.

use crate::engines::PermitEnd;
use crate::journal::CallOutcome;
use crate::services::SlotEnd;
use crate::{Cx, Finish, Ran, Refusal, RefusalKind, RequestId, Time, Tokens};

use super::Instance;
use super::core::cx;
use super::flight::{Flight, Job, Stage};
use super::requests::RETRY_AFTER;

/// How often a request that may be repeated is sent again after a target failed.
const MAX_RETRIES: u32 = 3;

impl Instance {
    pub(super) fn progressed(&mut self, id: RequestId, tokens: Tokens) {
        if let Some(Flight {
            job: Job::Generate { delivered, .. },
            ..
        }) = self.flights.get_mut(&id)
        {
            *delivered = (*delivered).max(tokens);
        }
    }

    pub(super) fn finished(&mut self, now: Time, id: RequestId, finish: Finish) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        match &flight.job {
            Job::Generate { .. } => self.generation_finished(now, id, &finish),
            Job::Call { .. } => self.call_finished(now, id, finish),
        }
    }

    pub(super) fn generation_finished(&mut self, now: Time, id: RequestId, finish: &Finish) {
        match *finish {
            Finish::Complete { answer, .. } => {
                self.end_generation(now, id, answer, PermitEnd::Used);
            }
            Finish::CallerGone { delivered } => self.caller_gone(now, id, delivered),
            Finish::NotSent => self.retry(now, id, PermitEnd::NotUsed, None),
            Finish::Rejected { leaving: true } => {
                self.retry(now, id, PermitEnd::EngineLeaving, None);
            }
            Finish::Unreachable | Finish::Rejected { leaving: false } => {
                self.retry(now, id, PermitEnd::EngineFailed, None);
            }
            Finish::WrongAdapter => self.retry(now, id, PermitEnd::WrongAdapter, None),
            Finish::BrokenOff { delivered } => {
                self.retry(now, id, PermitEnd::EngineFailed, Some(delivered));
            }
        }
    }

    /// Sends a generation, which is idempotent, to another engine; goes on from what the caller has
    /// already.
    pub(super) fn retry(
        &mut self,
        now: Time,
        id: RequestId,
        end: PermitEnd,
        delivered: Option<Tokens>,
    ) {
        let decisions = self.engines.permit_ended(cx!(self, now), id, end);
        self.decide(decisions);
        if let Some(delivered) = delivered {
            self.progressed(id, delivered);
        }
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.retries += 1;
        flight.may_have_run |= delivered.is_some();
        let retries = flight.retries;
        if let Some(refusal) = self.no_longer_served(now, id) {
            self.refuse_charged(now, id, refusal);
            return;
        }
        if retries <= MAX_RETRIES && self.budget.take(now) {
            self.place(now, id);
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
        self.decide(decisions);
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        if let Job::Generate { prompt, .. } = flight.job {
            let unused = flight.charge.saturating_sub(prompt + answer);
            self.rates
                .give_back(cx!(self, now), &flight.workspace, unused);
        }
    }

    pub(super) fn caller_gone(&mut self, now: Time, id: RequestId, delivered: Tokens) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        match flight.stage {
            Stage::Sent { .. } => self.end_generation(now, id, delivered, PermitEnd::Used),
            Stage::Send { .. } => self.end_generation(now, id, delivered, PermitEnd::NotUsed),
            Stage::Rate | Stage::Place | Stage::Record { .. } => self.abandon(now, id),
        }
    }

    pub(super) fn call_finished(&mut self, now: Time, id: RequestId, finish: Finish) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let sent = matches!(flight.stage, Stage::Sent { .. } | Stage::Send { .. });
        if !sent {
            self.abandon(now, id);
            return;
        }
        let once_only = flight.is_once_only();
        let (outcome, end, refusal) = match finish {
            Finish::Complete { stored, .. } => {
                let outcome = stored.map_or(CallOutcome::Unknown, CallOutcome::Answered);
                (outcome, SlotEnd::Fine, None)
            }
            Finish::NotSent => (CallOutcome::NotRun, SlotEnd::Fine, Some(Ran::No)),
            Finish::Rejected { leaving: true } => {
                (CallOutcome::NotRun, SlotEnd::Leaving, Some(Ran::No))
            }
            Finish::Unreachable | Finish::Rejected { leaving: false } | Finish::WrongAdapter => {
                (CallOutcome::NotRun, SlotEnd::Failed, Some(Ran::No))
            }
            Finish::BrokenOff { .. } => (CallOutcome::Unknown, SlotEnd::Failed, Some(Ran::Unknown)),
            Finish::CallerGone { .. } => (CallOutcome::Unknown, SlotEnd::Fine, None),
        };
        self.free_slot(now, id, end);
        if once_only {
            self.journal.record_outcome(cx!(self, now), id, outcome);
        }
        match refusal {
            None => {
                self.flights.remove(&id);
            }
            Some(ran) => self.call_failed(now, id, once_only, ran),
        }
    }

    /// Reading is idempotent and tried again at another replica; all else is not, and its caller
    /// gets to know whether it ran.
    pub(super) fn call_failed(&mut self, now: Time, id: RequestId, once_only: bool, ran: Ran) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.retries += 1;
        flight.may_have_run |= ran == Ran::Unknown;
        let retries = flight.retries;
        if once_only && ran == Ran::Unknown {
            self.refuse_charged(now, id, Refusal::unknown(RefusalKind::InDoubt));
            return;
        }
        if let Some(refusal) = self.no_longer_served(now, id) {
            self.refuse_charged(now, id, refusal);
            return;
        }
        if !once_only && retries <= MAX_RETRIES && self.budget.take(now) {
            self.place(now, id);
            return;
        }
        let refusal = Refusal::retry_after(RefusalKind::TargetFailed, RETRY_AFTER);
        self.refuse_charged(now, id, refusal);
    }

    pub(super) fn free_slot(&mut self, now: Time, id: RequestId, end: SlotEnd) {
        let decisions = self.services.finished(cx!(self, now), id, end);
        self.decide(decisions);
    }

    /// Why a request that was served before no longer is, if so.
    pub(super) fn no_longer_served(&self, now: Time, id: RequestId) -> Option<Refusal> {
        let flight = self.flights.get(&id)?;
        if !self.is_entitled(flight) {
            return Some(Refusal::not_run(RefusalKind::KeyRefused));
        }
        let fresh = self.catalogue.is_fresh(now);
        (!fresh).then(|| Refusal::retry_after(RefusalKind::NoStanding, RETRY_AFTER))
    }
}
