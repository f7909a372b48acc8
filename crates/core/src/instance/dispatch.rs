//! Dispatch of charged requests: requests a target, records the intent of a call that may not be
//! repeated, and hands the request to the shell.

use crate::engines::{Permit, PermitEnd, PermitRequest};
use crate::journal::{CallIntent, CallOutcome, JournalStep};
use crate::services::{Slot, SlotEnd};
use crate::{Action, Cx, RequestAction, RequestId, StoredResponse, Time, Tokens};

use super::Instance;
use super::active_request::{Job, Stage};
use super::core::cx;

impl Instance {
    /// Requests a permit for an engine, or a slot at a service replica.
    pub(super) fn request_target(&mut self, now: Time, id: RequestId) {
        let Some(active_request) = self.active_requests.get_mut(&id) else {
            return;
        };
        active_request.stage = Stage::Place;
        match &active_request.job {
            Job::Generate {
                adapter,
                base_model,
                urgent,
                prompt,
                max_answer,
                prefix,
                delivered,
                software,
            } => {
                let request = PermitRequest {
                    request: id,
                    workspace: active_request.workspace.clone(),
                    adapter: adapter.clone(),
                    base_model: base_model.clone(),
                    urgent: *urgent,
                    prompt: *prompt + *delivered,
                    max_answer: max_answer.saturating_sub(*delivered),
                    prefix: *prefix,
                    software: software.clone().filter(|_| *delivered > Tokens::default()),
                };
                let decisions = self.engines.request_permit(cx!(self, now), request);
                self.queue_decisions(decisions);
            }
            Job::Call { service, .. } => {
                let service = service.clone();
                let decisions = self.services.request_slot(cx!(self, now), id, &service);
                self.queue_decisions(decisions);
            }
        }
    }

    pub(super) fn handle_permit(&mut self, now: Time, id: RequestId, permit: Permit) {
        let Some(active_request) = self.active_requests.get_mut(&id) else {
            let decisions = self
                .engines
                .permit_ended(cx!(self, now), id, PermitEnd::NotUsed);
            self.queue_decisions(decisions);
            return;
        };
        let Job::Generate {
            urgent,
            max_answer,
            delivered,
            software,
            ..
        } = &mut active_request.job
        else {
            return;
        };
        *software = Some(permit.software);
        let action = RequestAction::Generate {
            target: permit.target.clone(),
            address: permit.address,
            adapter: permit.adapter,
            max_answer: max_answer.saturating_sub(*delivered),
            urgent: *urgent,
            send_before: permit.send_before,
        };
        active_request.stage = Stage::Send {
            target: permit.target,
            before: permit.send_before,
        };
        self.out.push(Action::Request { id, action });
    }

    pub(super) fn handle_slot(&mut self, now: Time, id: RequestId, slot: Slot) {
        let Some(active_request) = self.active_requests.get_mut(&id) else {
            self.release_slot(now, id, SlotEnd::NoFault);
            return;
        };
        let Job::Call { service, call } = &active_request.job else {
            return;
        };
        let Some(key) = call.idempotency_key.clone().filter(|_key| !call.idempotent) else {
            let before = now + self.cfg.permit_start_timeout;
            self.send_call(id, slot, before);
            return;
        };
        let request = CallIntent {
            request: id,
            workspace: active_request.workspace.clone(),
            service: service.clone(),
            key,
            fingerprint: call.fingerprint,
        };
        active_request.stage = Stage::Record { slot };
        let decisions = self.journal.record_intent(cx!(self, now), request);
        self.queue_decisions(decisions);
    }

    pub(super) fn handle_journal_step(&mut self, now: Time, id: RequestId, step: JournalStep) {
        let slot = match self
            .active_requests
            .get(&id)
            .map(|active_request| &active_request.stage)
        {
            Some(Stage::Record { slot }) => Some(slot.clone()),
            _ => None,
        };
        match (step, slot) {
            (JournalStep::Send { send_before }, Some(slot)) => {
                self.send_call(id, slot, send_before);
            }
            // The caller disconnected before the intent was recorded: nothing was sent, so the
            // idempotency key may be used again.
            (JournalStep::Send { .. }, None) => {
                if !self.active_requests.contains_key(&id) {
                    self.journal
                        .record_outcome(cx!(self, now), id, CallOutcome::NotRun);
                }
            }
            (JournalStep::Replay(response), Some(_slot)) => self.replay_response(now, id, response),
            (JournalStep::Refuse(refusal), Some(_slot)) => {
                self.release_slot(now, id, SlotEnd::NoFault);
                self.refuse_charged(now, id, refusal);
            }
            (JournalStep::Replay(_) | JournalStep::Refuse(_), None) => {}
        }
    }

    pub(super) fn send_call(&mut self, id: RequestId, slot: Slot, send_before: Time) {
        if let Some(active_request) = self.active_requests.get_mut(&id) {
            active_request.stage = Stage::Send {
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

    pub(super) fn replay_response(&mut self, now: Time, id: RequestId, response: StoredResponse) {
        self.release_slot(now, id, SlotEnd::NoFault);
        if let Some(active_request) = self.active_requests.remove(&id) {
            self.rates.give_back(
                cx!(self, now),
                &active_request.workspace,
                active_request.charge,
            );
        }
        self.out.push(Action::Request {
            id,
            action: RequestAction::Replay(response),
        });
    }
}
