//! The report of a scenario, as JSON.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

use super::quantiles::{Point, Quantiles};

/// The report of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// What it is about.
    pub about: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time over which requests arrived, in seconds.
    pub seconds: f64,
    /// Time at the start that the figures leave out, in seconds.
    pub warmup_seconds: f64,
    /// Processors of the machine.
    pub processors: usize,
    /// The program was built without optimisation.
    pub debug_build: bool,
    /// The runs.
    pub variants: Vec<VariantReport>,
}

/// The report of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct VariantReport {
    /// Its name.
    pub name: String,
    /// Its settings over the scenario's.
    pub settings: Value,
    /// What became of the requests.
    pub requests: Requests,
    /// Drafts that waited for a load.
    pub load_stalls: LoadStalls,
    /// How full batches were.
    pub batch: Batch,
    /// The workspace whose urgent drafts waited longest.
    pub worst_served: WorstServed,
    /// Refusals, and those that came although the workspace was within its rate.
    pub refusals: Refusals,
    /// Filings.
    pub filings: Filings,
    /// What must never be: each count should be zero.
    pub faults: Faults,
    /// Per workspace.
    pub workspaces: Vec<WorkspaceReport>,
    /// Per kind of work.
    pub work: Vec<WorkReport>,
    /// Load on the platform.
    pub platform: PlatformLoad,
    /// Load of the instances.
    pub instances: InstanceLoad,
    /// Urgent drafts' times to the first token, as a distribution.
    pub first_token: Vec<Point>,
    /// Second by second.
    pub series: Vec<Second>,
}

/// What became of the requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Requests {
    /// All.
    pub total: usize,
    /// Answered whole.
    pub answered: usize,
    /// Given up by the caller.
    pub given_up: usize,
    /// Without an end when the run was over.
    pub unfinished: usize,
    /// Attempts, over all.
    pub attempts: usize,
    /// Attempts whose connection broke.
    pub broken: usize,
    /// Attempts whose caller lost its patience and hung up.
    pub hung_up: usize,
    /// Attempts that met no listener.
    pub not_connected: usize,
    /// Attempts for which nobody said which instance to use.
    pub nowhere: usize,
}

/// Drafts that waited for a load: from their sending until the load had ended.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadStalls {
    /// How many.
    pub stalled: usize,
    /// Share of the answered drafts.
    pub share: f64,
    /// All their waiting, in seconds.
    pub total_seconds: f64,
    /// How long each waited.
    pub wait: Quantiles,
    /// Loads ordered and done.
    pub loads: u64,
    /// Reads that the weight store refused as over its rate.
    pub over_rate: usize,
}

/// How full batches were.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Batch {
    /// Requests in the batch over places in it, over all steps.
    pub efficiency: f64,
    /// Tokens generated in a second of steps, mean over engines.
    pub tokens_per_busy_second: f64,
    /// Share of the run in which engines took steps.
    pub busy: f64,
    /// Share of the prompt tokens found in prefix caches.
    pub cached: f64,
}

/// The workspace whose urgent drafts waited longest; those that surge in the scenario are left out, in
/// all variants.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WorstServed {
    /// Its name.
    pub workspace: String,
    /// Time to its urgent drafts' first token, at the 95th percentile, in milliseconds.
    pub first_token_p95_ms: f64,
    /// The same of the best-served workspace.
    pub best_p95_ms: f64,
    /// Share of its urgent drafts that were answered.
    pub answered: f64,
}

/// Refusals, and those that came although the workspace was within its rate.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Refusals {
    /// By kind.
    pub by_kind: BTreeMap<Box<str>, usize>,
    /// Those within the rate, by kind.
    pub wrongful_by_kind: BTreeMap<Box<str>, usize>,
    /// All within the rate.
    pub wrongful: usize,
    /// Those of them that met a workspace which surges in the scenario.
    pub wrongful_surging: usize,
    /// Share of all attempts.
    pub wrongful_share: f64,
}

/// Filings.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Filings {
    /// Wanted.
    pub wanted: usize,
    /// Run once.
    pub run_once: usize,
    /// Answered by the first run's answer, kept for a repeat.
    pub replayed: usize,
    /// Ended in doubt.
    pub in_doubt: usize,
    /// Never run, and the caller was told so.
    pub not_run: usize,
}

/// What must never be: each count should be zero.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Faults {
    /// Filings run more than once.
    pub filings_run_twice: usize,
    /// Answers by another adapter or version than asked for.
    pub wrong_adapter: usize,
    /// Answers that are not the whole answer to the request.
    pub wrong_text: usize,
    /// Refusals that said "not run" of something that ran.
    pub false_not_run: usize,
    /// Adapters unloaded while in use.
    pub evicted_in_use: u64,
    /// Requests to stand-ins in which a key stood.
    pub keys_seen: usize,
    /// Workspaces that used more than burst and rate over the whole run.
    pub over_limit: usize,
}

/// How a workspace fared.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WorkspaceReport {
    /// Its name.
    pub name: String,
    /// Its requests.
    pub requests: usize,
    /// Those answered whole.
    pub answered: usize,
    /// Time to the first token of its urgent drafts.
    pub urgent_first_token: Quantiles,
    /// Time to the first token of its batch drafts.
    pub batch_first_token: Quantiles,
    /// Time between tokens of its urgent drafts.
    pub urgent_between_tokens: Quantiles,
    /// Time between tokens of its batch drafts.
    pub batch_between_tokens: Quantiles,
    /// Refusals within its rate.
    pub wrongful: usize,
    /// Tokens used, over burst and rate for the whole run.
    pub limit_used: f64,
}

/// How a kind of work fared.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WorkReport {
    /// Its name.
    pub name: String,
    /// Its requests.
    pub requests: usize,
    /// Those answered whole.
    pub answered: usize,
    /// Time to the first token, or to the answer of a call.
    pub first: Quantiles,
    /// Time to the whole answer.
    pub whole: Quantiles,
}

/// Load on the platform.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PlatformLoad {
    /// Calls a second, of all instances.
    pub calls_per_second: f64,
    /// Calls a second by kind.
    pub by_kind: BTreeMap<String, f64>,
}

/// Load of the instances.
#[derive(Clone, Debug, Default, Serialize)]
pub struct InstanceLoad {
    /// Bytes a second sent to other instances, by instance.
    pub control_bytes_per_second: BTreeMap<String, f64>,
    /// The same, of the busiest instance.
    pub most_control_bytes_per_second: f64,
    /// Processors used, by instance.
    pub processors: BTreeMap<String, f64>,
    /// Resident memory at the end, in mebibytes, by instance.
    pub resident_mib: BTreeMap<String, f64>,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    /// Urgent drafts wanted in it: time to their first token at the 95th percentile.
    pub first_token_p95_ms: f64,
    /// Requests wanted in it.
    pub wanted: usize,
    /// Those of them that were answered in the end.
    pub answered: usize,
    /// Refusals in it.
    pub refusals: usize,
}
