//! All that an engine holds.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};

use super::job::{Job, JobOrder};
use super::prefix::PrefixCache;
use super::report::Report;
use super::slots::Slots;
use super::stream::Stream;
use super::{EngineConfig, EngineLog, EngineRun, RunEnd};
use crate::SeenRequest;
use crate::clock::now;

#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) cfg: EngineConfig,
    /// Signalled when a job arrives.
    pub(super) work: Notify,
    /// Counts changes of the slots; orders that joined a load wait for them.
    pub(super) slots_changed: watch::Sender<u64>,
    pub(super) http: reqwest::Client,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) slots: Slots,
    pub(super) fencing: u64,
    pub(super) streams: BTreeMap<Box<str>, Arc<Stream>>,
    pub(super) waiting: BTreeMap<JobOrder, Job>,
    pub(super) running: Vec<Job>,
    pub(super) prefixes: PrefixCache,
    pub(super) draining: bool,
    pub(super) reports: VecDeque<(Instant, Report)>,
    pub(super) log: EngineLog,
    arrivals: u64,
}

/// Whether a generation may run.
pub(super) enum Admission {
    Run(Box<str>),
    Draining,
    Full,
    NotLoaded,
}

impl EngineState {
    pub(super) fn new(cfg: EngineConfig) -> eyre::Result<Self> {
        let inner = Inner {
            slots: Slots::new(cfg.slots),
            fencing: 0,
            streams: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            prefixes: PrefixCache::new(cfg.cached_prefixes),
            draining: false,
            reports: VecDeque::new(),
            log: EngineLog {
                boot: 1,
                ..EngineLog::default()
            },
            arrivals: 0,
        };
        Ok(Self {
            cfg,
            work: Notify::new(),
            slots_changed: watch::Sender::new(0),
            http: crate::pod::client()?,
            inner: Mutex::new(inner),
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn log(&self) -> EngineLog {
        self.lock().log.clone()
    }

    pub(super) fn see(&self, seen: SeenRequest) {
        if self.cfg.keep_requests {
            self.lock().log.seen.push(seen);
        }
    }

    pub(super) fn drain(&self) {
        self.lock().draining = true;
    }

    pub(super) fn swap_weights(&self, adapter: &str, weights: &str) {
        self.lock().slots.swap(adapter, weights);
    }

    pub(super) fn restart(&self) {
        let mut inner = self.lock();
        inner.break_off(|_| true, RunEnd::Restarted);
        inner.streams.clear();
        inner.slots.clear();
        inner.prefixes.clear();
        inner.reports.clear();
        inner.fencing = 0;
        inner.draining = false;
        inner.log.boot += 1;
        drop(inner);
        self.slots_changed.send_modify(|count| *count += 1);
    }

    /// Whether a generation by `adapter` may run, and on which weights.
    pub(super) fn admission(&self, adapter: &str) -> Admission {
        let inner = self.lock();
        if inner.draining {
            return Admission::Draining;
        }
        if inner.waiting.len() >= self.cfg.max_waiting {
            return Admission::Full;
        }
        inner
            .slots
            .weights(adapter)
            .map_or(Admission::NotLoaded, |weights| {
                Admission::Run(weights.into())
            })
    }

    /// Takes a generation in.
    pub(super) fn submit(&self, stream: &Arc<Stream>, run: EngineRun, prompt: &str) {
        let mut inner = self.lock();
        inner.forget_streams(self.cfg.stream_kept);
        let adapter = run.asked.clone();
        let cached = inner.prefixes.use_prefix(&run.ran, prompt);
        inner.log.batch.cached += cached as u64;
        inner.arrivals += 1;
        let order = (run.priority, inner.arrivals);
        let job = Job {
            stream: Arc::clone(stream),
            run: inner.log.runs.len(),
            adapter,
            prefill_left: run.prompt_tokens.saturating_sub(cached),
        };
        inner.log.runs.push(run);
        inner.streams.insert(stream.id.clone(), Arc::clone(stream));
        if stream.len() == 0 {
            stream.end(RunEnd::Complete);
            inner.note_end(&job, RunEnd::Complete);
            return;
        }
        inner.waiting.insert(order, job);
        drop(inner);
        self.work.notify_one();
    }

    pub(super) fn stream(&self, id: &str) -> Option<Arc<Stream>> {
        let mut inner = self.lock();
        inner.forget_streams(self.cfg.stream_kept);
        inner.streams.get(id).cloned()
    }

    /// Cancels a generation; false if there is none.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let mut inner = self.lock();
        let Some(stream) = inner.streams.remove(id) else {
            return false;
        };
        inner.break_off(|job| Arc::ptr_eq(&job.stream, &stream), RunEnd::Cancelled);
        true
    }
}

impl Inner {
    /// Moves waiting jobs into the batch.
    pub(super) fn admit(&mut self, max_batch: usize) {
        while self.running.len() < max_batch {
            let Some((_, job)) = self.waiting.pop_first() else {
                return;
            };
            self.log.runs[job.run].started = Some(now());
            self.running.push(job);
        }
    }

    /// Ends the jobs that `which` selects.
    pub(super) fn break_off(&mut self, which: impl Fn(&Job) -> bool, end: RunEnd) {
        let (broken, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(&which);
        self.running = running;
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        let (also_broken, waiting): (Vec<_>, BTreeMap<_, _>) = {
            let (broken, kept): (Vec<_>, Vec<_>) = waiting.partition(|(_, job)| which(job));
            (broken, kept.into_iter().collect())
        };
        self.waiting = waiting;
        let broken: Vec<Job> = broken;
        for job in broken
            .into_iter()
            .chain(also_broken.into_iter().map(|(_, job)| job))
        {
            if job.stream.end(end) {
                self.note_end(&job, end);
            }
        }
    }

    pub(super) fn drop_abandoned(&mut self, kept: Duration) {
        self.break_off(|job| job.stream.abandoned(kept), RunEnd::Abandoned);
    }

    pub(super) fn note_token(&mut self, job: &Job) {
        let run = &mut self.log.runs[job.run];
        run.produced += 1;
        run.first_token.get_or_insert_with(now);
    }

    pub(super) fn note_end(&mut self, job: &Job, end: RunEnd) {
        let run = &mut self.log.runs[job.run];
        run.ended = Some(now());
        run.end = Some(end);
    }

    /// Adapters that waiting or running jobs use.
    pub(super) fn in_use(&self) -> BTreeSet<Box<str>> {
        let jobs = self.running.iter().chain(self.waiting.values());
        jobs.map(|job| job.adapter.clone()).collect()
    }

    fn forget_streams(&mut self, kept: Duration) {
        self.streams
            .retain(|_, stream| stream.progress().end.is_none() || !stream.abandoned(kept));
    }
}
