//! The weight store's rate and its reads in flight.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::{StoreConfig, StoreLog, StoreOutcome, StoreRead};
use crate::SeenRequest;
use crate::clock::{Micros, now};

#[derive(Debug)]
pub(super) struct StoreState {
    cfg: StoreConfig,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    // Token bucket that holds at most one second's loads.
    tokens: f64,
    filled: Instant,
    in_flight: u32,
    log: StoreLog,
}

impl StoreState {
    pub(super) fn new(cfg: StoreConfig) -> Self {
        let inner = Inner {
            tokens: f64::from(cfg.loads_per_second.max(1)),
            filled: Instant::now(),
            in_flight: 0,
            log: StoreLog::default(),
        };
        Self {
            cfg,
            inner: Mutex::new(inner),
        }
    }

    pub(super) fn log(&self) -> StoreLog {
        self.lock().log.clone()
    }

    pub(super) fn see(&self, seen: SeenRequest) {
        self.lock().log.seen.push(seen);
    }

    /// Begins a read; its duration, or none if it is over the rate.
    pub(super) fn begin(&self) -> Option<Duration> {
        let mut inner = self.lock();
        inner.fill(f64::from(self.cfg.loads_per_second));
        if inner.tokens < 1.0 {
            return None;
        }
        inner.tokens -= 1.0;
        inner.in_flight += 1;
        inner.log.most_in_flight = inner.log.most_in_flight.max(inner.in_flight);
        let crowd = f64::from(inner.in_flight) / f64::from(self.cfg.in_flight.max(1));
        Some(Duration::from_millis(self.cfg.load_ms).mul_f64(crowd.max(1.0)))
    }

    pub(super) fn end(&self, adapter: String, started: Micros, outcome: StoreOutcome) {
        let mut inner = self.lock();
        if outcome == StoreOutcome::Read {
            inner.in_flight -= 1;
        }
        inner.log.reads.push(StoreRead {
            adapter: adapter.into(),
            started,
            ended: now(),
            outcome,
        });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn fill(&mut self, rate: f64) {
        let at = Instant::now();
        let gained = at.duration_since(self.filled).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(rate.max(1.0));
        self.filled = at;
    }
}
