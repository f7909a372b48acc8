//! Admission of callers' requests: checks them against the catalogue and charges their workspace.

use crate::catalogue::KeyEntry;
use crate::rates::{Limits, RateStep};
use crate::{
    AdapterId, AdapterRef, AdapterVersion, CallerRequest, CallerWork, Cx, KeyDigest, Refusal,
    RefusalKind, RequestId, ServiceCall, Time, Tokens, WorkspaceId,
};

use super::Instance;
use super::active_request::{ActiveRequest, Job, Stage};
use super::core::cx;
use super::requests::RETRY_AFTER;

impl Instance {
    pub(super) fn handle_arrival(&mut self, now: Time, id: RequestId, request: CallerRequest) {
        if self.active_requests.contains_key(&id) {
            return;
        }
        self.retry_budget.earn();
        match self.validate_request(now, request) {
            Ok(active_request) => self.charge_tokens(now, id, active_request),
            Err(refusal) => self.refuse(id, refusal),
        }
    }

    /// Returns the entry of a key, as soon as the head of its request is known.
    ///
    /// # Errors
    /// This instance is stopping or can't tell, or the key is unknown or withdrawn.
    pub fn check_key(&self, now: Time, key: &KeyDigest) -> Result<&KeyEntry, Refusal> {
        if self.has_ended() {
            return Err(Refusal::retry_after(RefusalKind::Stopping, RETRY_AFTER));
        }
        if !self.ownership().has_lease(now) || !self.catalogue.is_fresh(now) {
            return Err(Refusal::retry_after(RefusalKind::NoStanding, RETRY_AFTER));
        }
        let known = self.catalogue().key(key);
        known.ok_or_else(|| Refusal::not_run(RefusalKind::KeyRefused))
    }

    /// Checks a request against the catalogue; returns a refusal if it may not run here.
    pub(super) fn validate_request(
        &self,
        now: Time,
        request: CallerRequest,
    ) -> Result<ActiveRequest, Refusal> {
        let key = self.check_key(now, &request.key)?;
        let (key, workspace) = (key.id.clone(), key.workspace.clone());
        let (job, charge) = match request.work {
            CallerWork::Generate {
                adapter,
                version,
                prompt,
                max_answer,
                prefix,
            } => self.generation_job(&workspace, &adapter, version, prompt, max_answer, prefix)?,
            CallerWork::Call(call) => self.call_job(&workspace, call)?,
        };
        Ok(ActiveRequest {
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

    pub(super) fn generation_job(
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
            software: None,
        };
        Ok((job, prompt + max_answer))
    }

    pub(super) fn call_job(
        &self,
        workspace: &WorkspaceId,
        call: ServiceCall,
    ) -> Result<(Job, Tokens), Refusal> {
        let entry = self.catalogue().service(&call.service);
        let entry = entry.filter(|entry| entry.workspaces.contains(workspace));
        let entry = entry.ok_or(Refusal::not_run(RefusalKind::NotFound))?;
        // Without an idempotency key, a retry can't be distinguished from a second call.
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

    pub(super) fn charge_tokens(
        &mut self,
        now: Time,
        id: RequestId,
        active_request: ActiveRequest,
    ) {
        let limits = self.catalogue().workspace(&active_request.workspace);
        let Some(limits) = limits.map(|entry| Limits {
            rate: entry.rate,
            burst: entry.burst,
        }) else {
            self.refuse(id, Refusal::not_run(RefusalKind::KeyRefused));
            return;
        };
        let step = if active_request.charge == Tokens::default() {
            RateStep::Admitted
        } else {
            self.rates.admit(
                cx!(self, now),
                id,
                &active_request.workspace,
                limits,
                active_request.charge,
            )
        };
        match step {
            RateStep::Refused(refusal) => self.refuse(id, refusal),
            RateStep::Waiting => {
                self.active_requests.insert(id, active_request);
            }
            RateStep::Admitted => {
                self.active_requests.insert(id, active_request);
                self.request_target(now, id);
            }
        }
    }
}
