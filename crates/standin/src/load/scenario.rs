//! Scenarios: what a load run consists of.

use std::path::Path;

use eyre::{WrapErr, ensure, eyre};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::fault::{FaultSpec, TimedFault};
use crate::fleet::{EngineSpec, ServiceSpec, StoreSpec, merge};

/// Longest run of one variant, in seconds.
const LONGEST_SECONDS: f64 = 600.0;

/// A scenario file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is about.
    #[serde(default)]
    pub about: String,
    /// Seed of all arrivals.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Time over which requests arrive in each variant, in seconds.
    #[serde(default = "default_seconds")]
    pub seconds: f64,
    /// Time at the start that the figures leave out, in seconds.
    #[serde(default)]
    pub warmup_seconds: f64,
    /// Our instances.
    pub instances: Instances,
    /// Settings of all instances.
    #[serde(default)]
    pub settings: Value,
    /// Engines, alike but for name and failure domain.
    pub engines: Group<EngineSpec>,
    /// Plain services' replicas, alike but for name and failure domain.
    #[serde(default)]
    pub services: Vec<Group<ServiceSpec>>,
    /// The weight store.
    #[serde(default)]
    pub store: StoreSpec,
    /// How far the platform's list lags, in milliseconds.
    #[serde(default = "default_list_lag")]
    pub list_lag_ms: u64,
    /// The workspaces.
    pub workspaces: Vec<Workspace>,
    /// Programs that call, for each workspace.
    #[serde(default = "default_callers")]
    pub callers: usize,
    /// How popular adapters are.
    pub popularity: Popularity,
    /// What callers ask for.
    pub work: Vec<WorkSpec>,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
    /// Runs, one after the other.
    #[serde(default = "default_variants")]
    pub variants: Vec<Variant>,
}

/// Our instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instances {
    /// How many.
    pub count: usize,
    /// Failure domains, taken in turn.
    pub failure_domains: Vec<String>,
}

/// Targets that are alike.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Group<T> {
    /// How many.
    pub count: usize,
    /// Failure domains, taken in turn.
    pub failure_domains: Vec<String>,
    /// What each is.
    pub each: T,
}

/// A workspace.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
    /// Its share of the demand; shares are relative to each other.
    pub share: f64,
    /// Adapters for urgent work.
    pub urgent_adapters: usize,
    /// Adapters for batch work.
    pub batch_adapters: usize,
}

/// How popular adapters are, within a workspace and class.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Popularity {
    /// Exponent of Zipf's law.
    pub zipf: f64,
    /// Times at which the order of popularity is drawn anew, in seconds.
    #[serde(default)]
    pub shift_at: Vec<f64>,
}

/// A stream of arrivals.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkSpec {
    /// Its name.
    pub name: String,
    /// Arrivals a second, over all workspaces.
    pub per_second: f64,
    /// What is asked for.
    pub kind: WorkKind,
    /// How long a caller goes on trying, in seconds.
    #[serde(default = "default_patience")]
    pub patience_seconds: f64,
}

/// What is asked for.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WorkKind {
    /// A generation by an adapter for urgent work.
    Urgent(DraftSpec),
    /// A generation by an adapter for batch work.
    Batch(DraftSpec),
    /// A call that may not be repeated.
    File {
        /// Which service.
        service: String,
    },
    /// A call that may.
    Read {
        /// Which service.
        service: String,
    },
}

/// Lengths of a generation, drawn between the two.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DraftSpec {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: (usize, usize),
    /// Longest answer asked for, in tokens.
    pub max_tokens: (usize, usize),
}

/// One run of the scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// Settings of all instances, over the scenario's.
    #[serde(default)]
    pub settings: Value,
    /// Whether the scenario's faults and surges are left out.
    #[serde(default)]
    pub without_faults: bool,
}

const fn default_seed() -> u64 {
    1
}

const fn default_seconds() -> f64 {
    30.0
}

const fn default_list_lag() -> u64 {
    1_500
}

const fn default_callers() -> usize {
    4
}

const fn default_patience() -> f64 {
    10.0
}

fn default_variants() -> Vec<Variant> {
    vec![Variant {
        name: "default".into(),
        settings: Value::Null,
        without_faults: false,
    }]
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    /// If it can't be read, does not parse, or asks for something that can't be run.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let name = path.display();
        let value = read_value(path)?;
        let scenario: Self =
            serde_json::from_value(value).wrap_err_with(|| format!("{name} is no scenario"))?;
        scenario
            .check()
            .wrap_err_with(|| format!("{name} can't be run"))?;
        Ok(scenario)
    }

    fn check(&self) -> eyre::Result<()> {
        let bounded = self.seconds > 0.0 && self.seconds <= LONGEST_SECONDS;
        ensure!(
            bounded,
            "`seconds` is {}: set up to {LONGEST_SECONDS}",
            self.seconds
        );
        ensure!(
            self.warmup_seconds < self.seconds,
            "`warmup_seconds` leaves nothing to measure: set less than `seconds`"
        );
        ensure!(
            self.instances.count > 0 && !self.instances.failure_domains.is_empty(),
            "`instances` needs a count and failure domains"
        );
        ensure!(
            !self.engines.failure_domains.is_empty(),
            "`engines` needs failure domains"
        );
        for fault in &self.faults {
            self.check_fault(&fault.what)?;
        }
        self.work.iter().try_for_each(|work| self.check_work(work))
    }

    fn check_work(&self, work: &WorkSpec) -> eyre::Result<()> {
        if let WorkKind::File { service } | WorkKind::Read { service } = &work.kind {
            let known = self
                .services
                .iter()
                .any(|group| group.each.service == *service);
            ensure!(
                known,
                "work `{}` asks for no service of `services`",
                work.name
            );
        }
        Ok(())
    }

    /// Names of the workspaces that surge.
    pub(super) fn surging(&self) -> Vec<String> {
        let surges = self.faults.iter().filter_map(|fault| match &fault.what {
            FaultSpec::Surge { workspace, .. } => Some(workspace.clone()),
            _ => None,
        });
        surges.collect()
    }

    /// The scenario without faults and surges.
    #[must_use]
    pub fn calm(&self) -> Self {
        Self {
            faults: Vec::new(),
            ..self.clone()
        }
    }
}

/// Reads a file; what it says goes over what the file named by its `base` says.
fn read_value(path: &Path) -> eyre::Result<Value> {
    let name = path.display();
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("{name} can't be read: name an existing file"))?;
    let mut over: Value =
        serde_saphyr::from_str(&text).wrap_err_with(|| format!("{name} is no YAML"))?;
    let base = over
        .as_object_mut()
        .and_then(|fields| fields.remove("base"));
    let Some(base) = base else {
        return Ok(over);
    };
    let base = base
        .as_str()
        .ok_or_else(|| eyre!("{name}: `base` names no file"))?;
    let mut value = read_value(&path.with_file_name(base))?;
    merge(&mut value, &over);
    Ok(value)
}

impl<T: Clone> Group<T> {
    /// Each member with its number from 1 and its failure domain.
    pub(super) fn members(&self) -> impl Iterator<Item = (usize, String, T)> {
        let domains = self.failure_domains.iter().cycle().take(self.count);
        let numbered = domains.enumerate();
        numbered.map(|(index, domain)| (index + 1, domain.clone(), self.each.clone()))
    }
}
