//! Callers' requests: from arrival to the end.

use std::time::Duration;

use crate::engines::{Permit, PermitAsk, PermitDecision, PermitEnd};
use crate::journal::{CallOutcome, JournalAsk, JournalDecision, JournalStep};
use crate::rates::{Limits, RateDecision, RateStep};
use crate::services::{Slot, SlotDecision, SlotEnd};
use crate::{
    Action, AdapterId, AdapterRef, AdapterVersion, CallerRequest, CallerWork, Cx, Finish, Ran,
    Refusal, RefusalKind, RequestAction, RequestEvent, RequestId, ServiceCall, StoredAnswer, Time,
    Tokens, WorkspaceId,
};

use super::Instance;
use super::core::cx;
use super::decision::Decision;
use super::flight::{Flight, Job, Stage};

/// When to ask again after a target failed or this instance had no standing.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How often a generation is sent to another engine after one failed.
const MAX_RETRIES: u32 = 3;

impl Instance {
    /// Whether a dispatch may leave right now; called with a fresh clock reading right before its
    /// first byte.
    ///
    /// Guards against a process that was frozen between the decision and the send: its permit may
    /// be another's by now, the key withdrawn, the adapter another workspace's. Nothing was sent
    /// yet, so the shell reports [`Finish::NotSent`] and the request starts over or is refused as
    /// not run.
    pub fn may_send(&mut self, now: Time, request: RequestId) -> bool {
        let fresh = self.catalogue.is_fresh(now);
        let Some(flight) = self.flights.get(&request) else {
            return false;
        };
        let Stage::Send { target, before } = &flight.stage else {
            return false;
        };
        if now >= *before || !fresh || !self.is_entitled(flight) {
            return false;
        }
        let target = target.clone();
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.stage = Stage::Sent { target };
        }
        true
    }

    /// Ends what withdrawn keys and moved adapters still have under way.
    pub(super) fn end_withdrawn(&mut self, now: Time) {
        let flights = self
            .flights
            .iter()
            .filter(|(_id, flight)| !self.is_entitled(flight));
        let ended: Vec<_> = flights.map(|(id, _flight)| *id).collect();
        for id in ended {
            self.withdraw(now, id);
        }
    }

    pub(super) fn request(&mut self, now: Time, id: RequestId, event: RequestEvent) {
        match event {
            RequestEvent::Arrived(request) => self.arrived(now, id, request),
            RequestEvent::Progress(tokens) => self.progressed(id, tokens),
            RequestEvent::Finished(finish) => self.finished(now, id, finish),
        }
    }

    pub(super) fn carry_out(&mut self, now: Time, decision: Decision) {
        match decision {
            Decision::Rate(RateDecision {
                request,
                outcome: Ok(()),
            }) => self.place(now, request),
            Decision::Rate(RateDecision {
                request,
                outcome: Err(refusal),
            }) => {
                self.flights.remove(&request);
                self.refuse(request, refusal);
            }
            Decision::Permit(PermitDecision {
                request,
                outcome: Ok(permit),
            }) => self.permitted(now, request, permit),
            Decision::Slot(SlotDecision {
                request,
                outcome: Ok(slot),
            }) => self.slotted(now, request, slot),
            Decision::Permit(PermitDecision {
                request,
                outcome: Err(refusal),
            })
            | Decision::Slot(SlotDecision {
                request,
                outcome: Err(refusal),
            }) => {
                self.refuse_charged(now, request, refusal);
            }
            Decision::Journal(JournalDecision { request, step }) => {
                self.recorded(now, request, step);
            }
        }
    }

    fn arrived(&mut self, now: Time, id: RequestId, request: CallerRequest) {
        if self.flights.contains_key(&id) {
            return;
        }
        self.budget.earn();
        match self.admit(now, request) {
            Ok(flight) => self.charge(now, id, flight),
            Err(refusal) => self.refuse(id, refusal),
        }
    }

    /// Checks a request against the catalogue.
    fn admit(&self, now: Time, request: CallerRequest) -> Result<Flight, Refusal> {
        if self.has_ended() {
            return Err(Refusal::retry_after(RefusalKind::Stopping, RETRY_AFTER));
        }
        if !self.own().has_standing(now) || !self.catalogue.is_fresh(now) {
            return Err(Refusal::retry_after(RefusalKind::NoStanding, RETRY_AFTER));
        }
        let Some(key) = self.catalogue().key(&request.key) else {
            return Err(Refusal::not_run(RefusalKind::KeyRefused));
        };
        let (key, workspace) = (key.id.clone(), key.workspace.clone());
        let (job, charge) = match request.work {
            CallerWork::Generate {
                adapter,
                version,
                prompt,
                max_answer,
                prefix,
            } => self.generation(&workspace, &adapter, version, prompt, max_answer, prefix)?,
            CallerWork::Call(call) => self.call(&workspace, call)?,
        };
        Ok(Flight {
            key,
            workspace,
            charge,
            job,
            stage: Stage::Rate,
            arrived: now,
            retries: 0,
            may_have_run: false,
        })
    }

    fn generation(
        &self,
        workspace: &WorkspaceId,
        adapter: &AdapterId,
        version: Option<AdapterVersion>,
        prompt: Tokens,
        max_answer: Option<Tokens>,
        prefix: u64,
    ) -> Result<(Job, Tokens), Refusal> {
        let entry = self
            .catalogue()
            .adapter(adapter)
            .filter(|entry| entry.owner == *workspace);
        let entry = entry.ok_or(Refusal::not_run(RefusalKind::NotFound))?;
        let version = entry
            .version(version)
            .ok_or(Refusal::not_run(RefusalKind::VersionUnknown))?;
        let max_answer = max_answer.unwrap_or(entry.max_answer);
        if max_answer > entry.max_answer {
            return Err(Refusal::not_run(RefusalKind::NeverAdmissible));
        }
        let job = Job::Generate {
            adapter: AdapterRef {
                id: adapter.clone(),
                version,
            },
            base_model: entry.base_model.clone(),
            urgent: entry.class.is_urgent(),
            prompt,
            max_answer,
            prefix,
            delivered: Tokens::default(),
        };
        Ok((job, prompt + max_answer))
    }

    fn call(&self, workspace: &WorkspaceId, call: ServiceCall) -> Result<(Job, Tokens), Refusal> {
        let entry = self.catalogue().service(&call.service);
        let entry = entry.filter(|entry| entry.workspaces.contains(workspace));
        let entry = entry.ok_or(Refusal::not_run(RefusalKind::NotFound))?;
        // Without a name for it, a repeat of the call could not be told from a second call.
        if !call.idempotent && call.idempotency_key.is_none() {
            return Err(Refusal::not_run(RefusalKind::IdempotencyKeyMissing));
        }
        Ok((
            Job::Call {
                service: call.service.clone(),
                call,
            },
            entry.charge,
        ))
    }

    fn charge(&mut self, now: Time, id: RequestId, flight: Flight) {
        let limits = self.catalogue().workspace(&flight.workspace);
        let Some(limits) = limits.map(|entry| Limits {
            rate: entry.rate,
            burst: entry.burst,
        }) else {
            self.refuse(id, Refusal::not_run(RefusalKind::KeyRefused));
            return;
        };
        let step = if flight.charge == Tokens::default() {
            RateStep::Admitted
        } else {
            self.rates
                .admit(cx!(self, now), id, &flight.workspace, limits, flight.charge)
        };
        match step {
            RateStep::Refused(refusal) => self.refuse(id, refusal),
            RateStep::Waiting => {
                self.flights.insert(id, flight);
            }
            RateStep::Admitted => {
                self.flights.insert(id, flight);
                self.place(now, id);
            }
        }
    }

    /// Looks for a target.
    fn place(&mut self, now: Time, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.stage = Stage::Place;
        match &flight.job {
            Job::Generate {
                adapter,
                base_model,
                urgent,
                prompt,
                max_answer,
                prefix,
                delivered,
            } => {
                let ask = PermitAsk {
                    request: id,
                    workspace: flight.workspace.clone(),
                    adapter: adapter.clone(),
                    base_model: base_model.clone(),
                    urgent: *urgent,
                    prompt: *prompt + *delivered,
                    max_answer: max_answer.saturating_sub(*delivered),
                    prefix: *prefix,
                };
                let decisions = self.engines.ask(cx!(self, now), ask);
                self.decide(decisions);
            }
            Job::Call { service, .. } => {
                let service = service.clone();
                let decisions = self.services.ask(cx!(self, now), id, &service);
                self.decide(decisions);
            }
        }
    }

    fn permitted(&mut self, now: Time, id: RequestId, permit: Permit) {
        let Some(flight) = self.flights.get_mut(&id) else {
            let decisions = self
                .engines
                .finished(cx!(self, now), id, PermitEnd::NotUsed);
            self.decide(decisions);
            return;
        };
        let Job::Generate {
            urgent,
            max_answer,
            delivered,
            ..
        } = &flight.job
        else {
            return;
        };
        let action = RequestAction::Generate {
            target: permit.target.clone(),
            address: permit.address,
            adapter: permit.adapter,
            max_answer: max_answer.saturating_sub(*delivered),
            urgent: *urgent,
            send_before: permit.send_before,
        };
        flight.stage = Stage::Send {
            target: permit.target,
            before: permit.send_before,
        };
        self.out.push(Action::Request { id, action });
    }

    fn slotted(&mut self, now: Time, id: RequestId, slot: Slot) {
        let Some(flight) = self.flights.get_mut(&id) else {
            self.free_slot(now, id, SlotEnd::Fine);
            return;
        };
        let Job::Call { service, call } = &flight.job else {
            return;
        };
        let Some(key) = call.idempotency_key.clone().filter(|_key| !call.idempotent) else {
            let before = now + self.cfg.permit_start;
            self.send_call(id, slot, before);
            return;
        };
        let ask = JournalAsk {
            request: id,
            workspace: flight.workspace.clone(),
            service: service.clone(),
            key,
            fingerprint: call.fingerprint,
        };
        flight.stage = Stage::Record { slot };
        let decisions = self.journal.ask(cx!(self, now), ask);
        self.decide(decisions);
    }

    fn recorded(&mut self, now: Time, id: RequestId, step: JournalStep) {
        let slot = match self.flights.get(&id).map(|flight| &flight.stage) {
            Some(Stage::Record { slot }) => Some(slot.clone()),
            _ => None,
        };
        match (step, slot) {
            (JournalStep::Go { send_before }, Some(slot)) => self.send_call(id, slot, send_before),
            // The caller went away before the intent was recorded: nothing was sent, and the name
            // is free again.
            (JournalStep::Go { .. }, None) => {
                if !self.flights.contains_key(&id) {
                    self.journal
                        .finished(cx!(self, now), id, CallOutcome::NotRun);
                }
            }
            (JournalStep::Replay(answer), Some(_slot)) => self.replay(now, id, answer),
            (JournalStep::Refuse(refusal), Some(_slot)) => {
                self.free_slot(now, id, SlotEnd::Fine);
                self.refuse_charged(now, id, refusal);
            }
            (JournalStep::Replay(_) | JournalStep::Refuse(_), None) => {}
        }
    }

    fn send_call(&mut self, id: RequestId, slot: Slot, send_before: Time) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.stage = Stage::Send {
                target: slot.target.clone(),
                before: send_before,
            };
            let action = RequestAction::Call {
                target: slot.target,
                address: slot.address,
                send_before,
            };
            self.out.push(Action::Request { id, action });
        }
    }

    fn replay(&mut self, now: Time, id: RequestId, answer: StoredAnswer) {
        self.free_slot(now, id, SlotEnd::Fine);
        if let Some(flight) = self.flights.remove(&id) {
            self.rates
                .give_back(cx!(self, now), &flight.workspace, flight.charge);
        }
        self.out.push(Action::Request {
            id,
            action: RequestAction::Replay(answer),
        });
    }

    fn progressed(&mut self, id: RequestId, tokens: Tokens) {
        if let Some(Flight {
            job: Job::Generate { delivered, .. },
            ..
        }) = self.flights.get_mut(&id)
        {
            *delivered = (*delivered).max(tokens);
        }
    }

    fn finished(&mut self, now: Time, id: RequestId, finish: Finish) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        match &flight.job {
            Job::Generate { .. } => self.generation_finished(now, id, &finish),
            Job::Call { .. } => self.call_finished(now, id, finish),
        }
    }

    fn generation_finished(&mut self, now: Time, id: RequestId, finish: &Finish) {
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
    fn retry(&mut self, now: Time, id: RequestId, end: PermitEnd, delivered: Option<Tokens>) {
        let decisions = self.engines.finished(cx!(self, now), id, end);
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

    fn end_generation(&mut self, now: Time, id: RequestId, answer: Tokens, end: PermitEnd) {
        let decisions = self.engines.finished(cx!(self, now), id, end);
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

    fn caller_gone(&mut self, now: Time, id: RequestId, delivered: Tokens) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        match flight.stage {
            Stage::Sent { .. } => self.end_generation(now, id, delivered, PermitEnd::Used),
            Stage::Send { .. } => self.end_generation(now, id, delivered, PermitEnd::NotUsed),
            Stage::Rate | Stage::Place | Stage::Record { .. } => self.abandon(now, id),
        }
    }

    fn call_finished(&mut self, now: Time, id: RequestId, finish: Finish) {
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
            self.journal.finished(cx!(self, now), id, outcome);
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
    fn call_failed(&mut self, now: Time, id: RequestId, once_only: bool, ran: Ran) {
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

    /// Why a request that was served before no longer is, if so.
    fn no_longer_served(&self, now: Time, id: RequestId) -> Option<Refusal> {
        let flight = self.flights.get(&id)?;
        if !self.is_entitled(flight) {
            return Some(Refusal::not_run(RefusalKind::KeyRefused));
        }
        let fresh = self.catalogue.is_fresh(now);
        (!fresh).then(|| Refusal::retry_after(RefusalKind::NoStanding, RETRY_AFTER))
    }

    fn free_slot(&mut self, now: Time, id: RequestId, end: SlotEnd) {
        let decisions = self.services.finished(cx!(self, now), id, end);
        self.decide(decisions);
    }

    /// The key was withdrawn, or the adapter or service is no longer the workspace's.
    fn withdraw(&mut self, now: Time, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        match flight.stage {
            // What was sent and may not be repeated runs to its end: its outcome is recorded.
            Stage::Sent { .. } if flight.is_once_only() => {}
            Stage::Sent { .. } => {
                let refusal = Refusal::unknown(RefusalKind::KeyRefused);
                self.out.push(Action::Request {
                    id,
                    action: RequestAction::Cut(refusal),
                });
            }
            // The shell finds out right before the send and reports that nothing was sent.
            Stage::Send { .. } => {}
            Stage::Rate | Stage::Place | Stage::Record { .. } => {
                let refusal = flight.truthful(Refusal::not_run(RefusalKind::KeyRefused));
                self.abandon(now, id);
                self.refuse(id, refusal);
            }
        }
    }

    /// Drops a request of which nothing was sent.
    fn abandon(&mut self, now: Time, id: RequestId) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        match (&flight.stage, &flight.job) {
            (Stage::Rate, _) => {
                self.rates.cancel(cx!(self, now), id);
                return;
            }
            (_, Job::Generate { .. }) => self.engines.cancel(cx!(self, now), id),
            (Stage::Place, Job::Call { .. }) => self.services.cancel(id),
            (_, Job::Call { .. }) => self.free_slot(now, id, SlotEnd::Fine),
        }
        let unused = flight.unused();
        self.rates
            .give_back(cx!(self, now), &flight.workspace, unused);
    }

    /// Refuses a request whose tokens were charged.
    fn refuse_charged(&mut self, now: Time, id: RequestId, refusal: Refusal) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let refusal = flight.truthful(refusal);
        let unused = match refusal.ran {
            Ran::No => flight.charge,
            Ran::Unknown => flight.unused(),
        };
        self.rates
            .give_back(cx!(self, now), &flight.workspace, unused);
        self.refuse(id, refusal);
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        self.out.push(Action::Request {
            id,
            action: RequestAction::Refuse(refusal),
        });
    }

    /// Whether the catalogue in force still lets this request run.
    fn is_entitled(&self, flight: &Flight) -> bool {
        let key = self.catalogue().has_key(&flight.key, &flight.workspace);
        key && match &flight.job {
            Job::Generate { adapter, .. } => {
                let entry = self.catalogue().adapter(&adapter.id);
                entry.is_some_and(|entry| {
                    entry.owner == flight.workspace
                        && entry.version(Some(adapter.version)).is_some()
                })
            }
            Job::Call { service, .. } => {
                let entry = self.catalogue().service(service);
                entry.is_some_and(|entry| entry.workspaces.contains(&flight.workspace))
            }
        }
    }
}
