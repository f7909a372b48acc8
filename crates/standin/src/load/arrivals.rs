//! All arrivals of a run, drawn before it starts: every variant meets the same ones.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fault::FaultSpec;
use super::popularity::ZipfDraw;
use super::scenario::{DraftSpec, Scenario, WorkKind, Workspace};
use crate::caller::{Draft, ServiceCall, Work};
use crate::hash::hash;

/// Bytes of text that count as a token.
const BYTES_PER_TOKEN: usize = 4;

/// Version at which every adapter is in the catalogue.
pub(super) const ADAPTER_VERSION: u64 = 1;

/// One arrival.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// When, from the start of the run.
    pub(super) at: Duration,
    /// Index of its workspace.
    pub(super) workspace: usize,
    /// Index of its kind of work.
    pub(super) work: usize,
    /// What is asked for.
    pub(super) asked: Work,
}

/// Class of adapters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AdapterClass {
    Urgent,
    Batch,
}

/// Name of a workspace's adapter.
pub(super) fn adapter_name(workspace: &str, class: AdapterClass, index: usize) -> String {
    let class = match class {
        AdapterClass::Urgent => "urgent",
        AdapterClass::Batch => "batch",
    };
    format!("{workspace}-{class}-{index}")
}

/// Draws all arrivals, in order of time.
pub(super) fn draw(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for work in 0..scenario.work.len() {
        for workspace in 0..scenario.workspaces.len() {
            arrivals.extend(Source::new(scenario, seed, work, workspace).draw());
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Arrivals of one kind of work in one workspace: a Poisson process whose rate changes with surges.
struct Source<'a> {
    scenario: &'a Scenario,
    work: usize,
    workspace: usize,
    rng: ChaCha8Rng,
}

impl<'a> Source<'a> {
    fn new(scenario: &'a Scenario, seed: u64, work: usize, workspace: usize) -> Self {
        let parts = [seed, work as u64, workspace as u64].map(u64::to_le_bytes);
        let seed = hash(&[&parts[0], &parts[1], &parts[2]]);
        Self {
            scenario,
            work,
            workspace,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn workspace(&self) -> &'a Workspace {
        &self.scenario.workspaces[self.workspace]
    }

    fn draw(mut self) -> Vec<Arrival> {
        let spec = &self.scenario.work[self.work];
        let shares: f64 = self.scenario.workspaces.iter().map(|one| one.share).sum();
        let base = spec.per_second * self.workspace().share / shares;
        let most = self
            .surges()
            .fold(1.0, |most, (_, _, times)| f64::max(most, times));
        let mut popularity = self.popularity(&spec.kind);
        let mut shifts = self.scenario.popularity.shift_at.clone();
        shifts.sort_by(f64::total_cmp);
        let mut shifts = shifts.into_iter().peekable();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        // Thinning: candidates at the highest rate, each kept with the share of the rate at its time.
        loop {
            at += self.exponential(base * most);
            if at >= self.scenario.seconds {
                return arrivals;
            }
            while shifts.next_if(|shift| *shift <= at).is_some() {
                popularity.shift(&mut self.rng);
            }
            let kept = self.rng.random::<f64>() * most < self.times(at);
            if !kept {
                continue;
            }
            let number = arrivals.len();
            let Some(asked) = self.ask(&spec.kind, &popularity, number) else {
                return arrivals;
            };
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at),
                workspace: self.workspace,
                work: self.work,
                asked,
            });
        }
    }

    fn surges(&self) -> impl Iterator<Item = (f64, f64, f64)> + use<'a> {
        let name = &self.workspace().name;
        self.scenario.faults.iter().filter_map(move |fault| {
            let FaultSpec::Surge { workspace, times } = &fault.what else {
                return None;
            };
            let until = fault.at + fault.lasts.unwrap_or(f64::INFINITY);
            (workspace == name).then_some((fault.at, until, *times))
        })
    }

    fn times(&self, at: f64) -> f64 {
        let running = self
            .surges()
            .filter(|(from, until, _)| (*from..*until).contains(&at));
        running.map(|(_, _, times)| times).fold(1.0, f64::max)
    }

    fn popularity(&mut self, kind: &WorkKind) -> ZipfDraw {
        let count = match kind {
            WorkKind::Urgent(_) => self.workspace().urgent_adapters,
            WorkKind::Batch(_) => self.workspace().batch_adapters,
            WorkKind::File { .. } | WorkKind::Read { .. } => 0,
        };
        ZipfDraw::new(count, self.scenario.popularity.zipf, &mut self.rng)
    }

    fn ask(&mut self, kind: &WorkKind, popularity: &ZipfDraw, number: usize) -> Option<Work> {
        match kind {
            WorkKind::Urgent(spec) => {
                let adapter = popularity.draw(&mut self.rng)?;
                Some(self.draft(spec, AdapterClass::Urgent, adapter, number))
            }
            WorkKind::Batch(spec) => {
                let adapter = popularity.draw(&mut self.rng)?;
                Some(self.draft(spec, AdapterClass::Batch, adapter, number))
            }
            WorkKind::File { service } => Some(Work::Call(ServiceCall {
                service: service.clone(),
                path: format!("{}/filings", self.workspace().name),
                idempotency_key: Some(format!("{}-{}-{number}", self.workspace().name, self.work)),
            })),
            WorkKind::Read { service } => Some(Work::Call(ServiceCall {
                service: service.clone(),
                path: format!("{}/cases/{number}", self.workspace().name),
                idempotency_key: None,
            })),
        }
    }

    fn draft(
        &mut self,
        spec: &DraftSpec,
        class: AdapterClass,
        adapter: usize,
        number: usize,
    ) -> Work {
        let model = adapter_name(&self.workspace().name, class, adapter);
        let (least, most) = spec.prompt_tokens;
        let length = self.rng.random_range(least..=most.max(least)) * BYTES_PER_TOKEN;
        let (least, most) = spec.max_tokens;
        let max_tokens = self.rng.random_range(least..=most.max(least));
        Work::Draft(Draft {
            prompt: prompt(&model, self.work, number, length),
            model,
            max_tokens,
        })
    }

    fn exponential(&mut self, rate: f64) -> f64 {
        if rate <= 0.0 {
            return f64::INFINITY;
        }
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() / rate
    }
}

/// A prompt of so many bytes: the adapter's common instructions first, then what is its own.
fn prompt(model: &str, work: usize, number: usize, length: usize) -> String {
    let own = format!("case {work}.{number} of {model}.");
    let common = format!("Instructions of {model}. ");
    let mut text = String::new();
    while text.len() + own.len() < length {
        text.push_str(&common);
    }
    text.truncate(length.saturating_sub(own.len()));
    text.push_str(&own);
    text
}
