//! A charged request on its way to a target: placed, recorded if it may not be repeated, sent.

use crate::engines::{Permit, PermitEnd, PermitRequest};
use crate::journal::{CallIntent, CallOutcome, JournalStep};
use crate::services::{Slot, SlotEnd};
use crate::{Action, Cx, RequestAction, RequestId, StoredAnswer, Time};

use super::Instance;
use super::core::cx;
use super::flight::{Job, Stage};

impl Instance {
    /// Looks for a target.
    pub(super) fn place(&mut self, now: Time, id: RequestId) {
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
                let ask = PermitRequest {
                    request: id,
                    workspace: flight.workspace.clone(),
                    adapter: adapter.clone(),
                    base_model: base_model.clone(),
                    urgent: *urgent,
                    prompt: *prompt + *delivered,
                    max_answer: max_answer.saturating_sub(*delivered),
                    prefix: *prefix,
                };
                let decisions = self.engines.request_permit(cx!(self, now), ask);
                self.decide(decisions);
            }
            Job::Call { service, .. } => {
                let service = service.clone();
                let decisions = self.services.ask(cx!(self, now), id, &service);
                self.decide(decisions);
            }
        }
    }

    pub(super) fn permitted(&mut self, now: Time, id: RequestId, permit: Permit) {
        let Some(flight) = self.flights.get_mut(&id) else {
            let decisions = self
                .engines
                .permit_ended(cx!(self, now), id, PermitEnd::NotUsed);
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

    pub(super) fn slotted(&mut self, now: Time, id: RequestId, slot: Slot) {
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
        let ask = CallIntent {
            request: id,
            workspace: flight.workspace.clone(),
            service: service.clone(),
            key,
            fingerprint: call.fingerprint,
        };
        flight.stage = Stage::Record { slot };
        let decisions = self.journal.record_intent(cx!(self, now), ask);
        self.decide(decisions);
    }

    pub(super) fn recorded(&mut self, now: Time, id: RequestId, step: JournalStep) {
        let slot = match self.flights.get(&id).map(|flight| &flight.stage) {
            Some(Stage::Record { slot }) => Some(slot.clone()),
            _ => None,
        };
        match (step, slot) {
            (JournalStep::Send { send_before }, Some(slot)) => {
                self.send_call(id, slot, send_before);
            }
            // The caller went away before the intent was recorded: nothing was sent, and the name
            // is free again.
            (JournalStep::Send { .. }, None) => {
                if !self.flights.contains_key(&id) {
                    self.journal
                        .record_outcome(cx!(self, now), id, CallOutcome::NotRun);
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

    pub(super) fn send_call(&mut self, id: RequestId, slot: Slot, send_before: Time) {
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

    pub(super) fn replay(&mut self, now: Time, id: RequestId, answer: StoredAnswer) {
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
}
