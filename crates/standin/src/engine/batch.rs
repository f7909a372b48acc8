//! Continuous batching in steps: each step prefills some prompt tokens and decodes one token for
//! each request whose prompt is done.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

use super::state::EngineState;
use super::{EngineConfig, RunEnd};

/// Prompt tokens prefilled in one step at most, so that a long prompt doesn't hold up the others.
const PREFILL_PER_STEP: usize = 512;

/// Runs steps for as long as the engine lives.
pub(super) async fn run(state: Arc<EngineState>) {
    let mut due = Instant::now();
    loop {
        let Some(duration) = state.begin_step() else {
            state.work.notified().await;
            continue;
        };
        // A late step shortens the next one: the timer's resolution doesn't slow the engine down.
        due = due.max(Instant::now() - duration) + duration;
        // The timer counts whole milliseconds: an engine that takes no time must not wait for it.
        if duration.is_zero() {
            yield_now().await;
        } else {
            sleep_until(due).await;
        }
        state.end_step(duration);
    }
}

impl EngineState {
    /// Admits and prefills; the step's duration, or none if there is nothing to do.
    fn begin_step(&self) -> Option<Duration> {
        let mut inner = self.lock();
        inner.drop_abandoned(self.cfg.stream_kept);
        inner.admit(self.cfg.max_batch);
        if inner.running.is_empty() {
            return None;
        }
        let mut budget = PREFILL_PER_STEP;
        for job in &mut inner.running {
            let taken = job.prefill_left.min(budget);
            job.prefill_left -= taken;
            budget -= taken;
        }
        let prefilled = PREFILL_PER_STEP - budget;
        let decoding = inner.running.iter().filter(|job| job.prefill_left == 0);
        let duration = step_duration(&self.cfg, prefilled, decoding.count());
        inner.log.batch.prefilled += prefilled as u64;
        Some(duration)
    }

    fn end_step(&self, duration: Duration) {
        let mut inner = self.lock();
        let totals = &mut inner.log.batch;
        totals.steps += 1;
        totals.places += self.cfg.max_batch as u64;
        totals.busy_us += u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        inner.log.batch.occupied += inner.running.len() as u64;
        for job in std::mem::take(&mut inner.running) {
            if job.stream.progress().end.is_some() {
                continue;
            }
            if job.prefill_left > 0 {
                inner.running.push(job);
                continue;
            }
            inner.log.batch.tokens += 1;
            if job.stream.advance() {
                inner.note_token(&job);
                inner.note_end(&job, RunEnd::Complete);
                continue;
            }
            inner.note_token(&job);
            inner.running.push(job);
        }
    }
}

fn step_duration(cfg: &EngineConfig, prefilled: usize, decoding: usize) -> Duration {
    let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    let prefill = cfg.prefill_per_token * count(prefilled);
    if decoding == 0 {
        return prefill;
    }
    prefill + cfg.decode + cfg.decode_per_request * count(decoding - 1)
}
