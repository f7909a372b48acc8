//! Life cycle of callers' requests: events, decisions, withdrawal and refusal.

use std::time::Duration;

use crate::engines::PermitDecision;
use crate::journal::JournalDecision;
use crate::rates::RateDecision;
use crate::services::{SlotDecision, SlotEnd};
use crate::{Action, Cx, Ran, Refusal, RefusalKind, RequestAction, RequestEvent, RequestId, Time};

use super::Instance;
use super::active_request::{ActiveRequest, Job, Stage};
use super::core::cx;
use super::decision::Decision;

/// Retry delay sent to a caller after a target failed or while this instance has no lease.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Instance {
    /// Returns whether a dispatch may be sent now, and marks it as sent if so.
    ///
    /// The shell calls this with a fresh clock reading right before it writes the first byte.
    ///
    /// Guards against a process that was frozen between the decision and the send: by then the
    /// permit may have been granted to another request, the key withdrawn, or the adapter moved to
    /// another workspace. Nothing was sent yet, so the shell reports [`Finish::NotSent`], and the
    /// request is retried or refused as not run.
    pub fn may_send(&mut self, now: Time, request: RequestId) -> bool {
        let fresh = self.catalogue.is_fresh(now);
        let Some(active_request) = self.active_requests.get(&request) else {
            return false;
        };
        let Stage::Send { target, before } = &active_request.stage else {
            return false;
        };
        if now >= *before || !fresh || !self.is_entitled(active_request) {
            return false;
        }
        let target = target.clone();
        if let Some(active_request) = self.active_requests.get_mut(&request) {
            active_request.stage = Stage::Sent { target };
        }
        true
    }

    /// Ends the requests whose key was withdrawn or whose adapter or service is no longer available
    /// to the workspace.
    pub(super) fn withdraw_unentitled_requests(&mut self, now: Time) {
        let active_requests = self
            .active_requests
            .iter()
            .filter(|(_id, active_request)| !self.is_entitled(active_request));
        let ended: Vec<_> = active_requests.map(|(id, _flight)| *id).collect();
        for id in ended {
            self.withdraw_request(now, id);
        }
    }

    pub(super) fn handle_request_event(&mut self, now: Time, id: RequestId, event: RequestEvent) {
        match event {
            RequestEvent::Arrived(request) => self.handle_arrival(now, id, request),
            RequestEvent::Progress(tokens) => self.record_progress(id, tokens),
            RequestEvent::TargetReported(report) => self.record_target_report(now, id, report),
            RequestEvent::Finished(finish) => self.handle_finish(now, id, finish),
        }
    }

    pub(super) fn apply_decision(&mut self, now: Time, decision: Decision) {
        match decision {
            Decision::Rate(RateDecision {
                request,
                outcome: Ok(()),
            }) => self.request_target(now, request),
            Decision::Rate(RateDecision {
                request,
                outcome: Err(refusal),
            }) => {
                self.active_requests.remove(&request);
                self.refuse(request, refusal);
            }
            Decision::Permit(PermitDecision {
                request,
                outcome: Ok(permit),
            }) => self.handle_permit(now, request, permit),
            Decision::Slot(SlotDecision {
                request,
                outcome: Ok(slot),
            }) => self.handle_slot(now, request, slot),
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
                self.handle_journal_step(now, request, step);
            }
        }
    }

    /// Ends a request whose key was withdrawn, or whose adapter or service is no longer available
    /// to the workspace.
    pub(super) fn withdraw_request(&mut self, now: Time, id: RequestId) {
        let Some(active_request) = self.active_requests.get(&id) else {
            return;
        };
        match active_request.stage {
            // A call that may not be repeated and was sent runs to completion, so that its outcome
            // is recorded.
            Stage::Sent { .. } if active_request.is_once_only() => {}
            Stage::Sent { .. } => {
                let refusal = Refusal::unknown(RefusalKind::KeyRefused);
                self.out.push(Action::Request {
                    id,
                    action: RequestAction::Interrupt(refusal),
                });
            }
            // The shell calls `may_send` right before the send and then reports that nothing was
            // sent.
            Stage::Send { .. } => {}
            Stage::Rate | Stage::Place | Stage::Record { .. } => {
                let refusal =
                    active_request.with_accurate_ran(Refusal::not_run(RefusalKind::KeyRefused));
                self.abandon(now, id);
                self.refuse(id, refusal);
            }
        }
    }

    /// Removes a request that was not sent and releases what it holds.
    pub(super) fn abandon(&mut self, now: Time, id: RequestId) {
        let Some(active_request) = self.active_requests.remove(&id) else {
            return;
        };
        match (&active_request.stage, &active_request.job) {
            (Stage::Rate, _) => {
                self.rates.cancel(cx!(self, now), id);
                return;
            }
            (_, Job::Generate { .. }) => self.engines.cancel(cx!(self, now), id),
            (Stage::Place, Job::Call { .. }) => self.services.cancel(id),
            (_, Job::Call { .. }) => self.release_slot(now, id, SlotEnd::NoFault),
        }
        let unused = active_request.unused_charge();
        self.rates
            .give_back(cx!(self, now), &active_request.workspace, unused);
    }

    /// Refuses a request whose tokens were charged, and refunds the unused part.
    pub(super) fn refuse_charged(&mut self, now: Time, id: RequestId, refusal: Refusal) {
        let Some(active_request) = self.active_requests.remove(&id) else {
            return;
        };
        let refusal = active_request.with_accurate_ran(refusal);
        let unused = match refusal.ran {
            Ran::No => active_request.charge,
            Ran::Unknown => active_request.unused_charge(),
        };
        self.rates
            .give_back(cx!(self, now), &active_request.workspace, unused);
        self.refuse(id, refusal);
    }

    pub(super) fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        self.out.push(Action::Request {
            id,
            action: RequestAction::Refuse(refusal),
        });
    }

    /// Returns whether the catalogue in force still permits this request.
    pub(super) fn is_entitled(&self, active_request: &ActiveRequest) -> bool {
        let key = self
            .catalogue()
            .has_key(&active_request.key, &active_request.workspace);
        key && match &active_request.job {
            Job::Generate { adapter, .. } => {
                let entry = self.catalogue().adapter(&adapter.id);
                entry.is_some_and(|entry| {
                    entry.owner == active_request.workspace
                        && entry.version(Some(adapter.version)).is_some()
                })
            }
            Job::Call { service, .. } => {
                let entry = self.catalogue().service(service);
                entry.is_some_and(|entry| entry.workspaces.contains(&active_request.workspace))
            }
        }
    }
}
