//! Callers' requests: from arrival to the end.

use std::time::Duration;

use crate::engines::PermitDecision;
use crate::journal::JournalDecision;
use crate::rates::RateDecision;
use crate::services::{SlotDecision, SlotEnd};
use crate::{Action, Cx, Ran, Refusal, RefusalKind, RequestAction, RequestEvent, RequestId, Time};

use super::Instance;
use super::core::cx;
use super::decision::Decision;
use super::flight::{Flight, Job, Stage};

/// When to ask again after a target failed or this instance had no standing.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

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

    /// The key was withdrawn, or the adapter or service is no longer the workspace's.
    pub(super) fn withdraw(&mut self, now: Time, id: RequestId) {
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
    pub(super) fn abandon(&mut self, now: Time, id: RequestId) {
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
    pub(super) fn refuse_charged(&mut self, now: Time, id: RequestId, refusal: Refusal) {
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

    pub(super) fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        self.out.push(Action::Request {
            id,
            action: RequestAction::Refuse(refusal),
        });
    }

    /// Whether the catalogue in force still lets this request run.
    pub(super) fn is_entitled(&self, flight: &Flight) -> bool {
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
