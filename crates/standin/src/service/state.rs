//! A plain service's runs.

use std::sync::{Mutex, MutexGuard, PoisonError};

use super::{ServiceConfig, ServiceLog, ServiceRun};
use crate::SeenRequest;
use crate::clock::now;

#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) cfg: ServiceConfig,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    log: ServiceLog,
    at_once: u32,
    runs_since_restart: u64,
    draining: bool,
}

/// Whether a call may run.
pub(super) enum Admission {
    Run(ServiceRun),
    Full,
    Draining,
}

impl ServiceState {
    pub(super) fn new(cfg: ServiceConfig) -> Self {
        Self {
            cfg,
            inner: Mutex::default(),
        }
    }

    pub(super) fn log(&self) -> ServiceLog {
        self.lock().log.clone()
    }

    pub(super) fn drain(&self) {
        self.lock().draining = true;
    }

    /// Forgets its runs' number, as a service without memory does; the log stays for the tests.
    pub(super) fn restart(&self) {
        let mut inner = self.lock();
        inner.runs_since_restart = 0;
        inner.draining = false;
    }

    pub(super) fn see(&self, seen: SeenRequest) {
        self.lock().log.seen.push(seen);
    }

    pub(super) fn begin(&self, seen: &SeenRequest) -> Admission {
        let mut inner = self.lock();
        if inner.draining {
            inner.log.refused += 1;
            return Admission::Draining;
        }
        if inner.at_once >= self.cfg.concurrency {
            inner.log.refused += 1;
            return Admission::Full;
        }
        inner.at_once += 1;
        inner.log.most_at_once = inner.log.most_at_once.max(inner.at_once);
        inner.runs_since_restart += 1;
        let run = ServiceRun {
            number: inner.runs_since_restart,
            at: now(),
            method: seen.method.clone(),
            path: seen.path.clone(),
            idempotency_key: seen.header("idempotency-key").map(Into::into),
            request_id: seen.header("x-request-id").map(Into::into),
        };
        inner.log.runs.push(run.clone());
        Admission::Run(run)
    }

    pub(super) fn end(&self) {
        self.lock().at_once -= 1;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
