//! What a deployment consists of.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Path of this program, which plays the stand-ins.
    pub standin: PathBuf,
    /// The daemon.
    pub daemon: DaemonProgram,
    /// Where settings and logs go.
    pub dir: PathBuf,
    /// The token with which operators come.
    pub admin_token: String,
    /// Our instances.
    pub instances: Vec<InstanceSpec>,
    /// Settings of all instances, over those that the deployment gives.
    pub settings: Value,
    /// The engines.
    pub engines: Vec<EngineSpec>,
    /// The plain services' replicas.
    pub services: Vec<ServiceSpec>,
    /// The weight store.
    pub store: StoreSpec,
    /// How far the platform's list lags, in milliseconds.
    pub list_lag_ms: u64,
}

/// The program that runs one instance.
#[derive(Clone, Debug)]
pub struct DaemonProgram {
    /// Its path.
    pub path: PathBuf,
    /// Arguments before `--settings`.
    pub args: Vec<String>,
}

/// One of our instances.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Its name.
    pub name: String,
    /// Where it runs.
    pub failure_domain: String,
}

/// An engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSpec {
    /// Its name.
    pub name: String,
    /// Where it runs.
    pub failure_domain: String,
    /// The base model it runs.
    pub base_model: String,
    /// Adapters held at once.
    pub slots: u32,
    /// Requests batched at once.
    pub max_batch: u32,
    /// It refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Time to prefill one token of a prompt, in microseconds.
    pub prefill_us_per_token: u64,
    /// Time to decode one token for a batch of one, in milliseconds.
    pub decode_ms: f64,
    /// What each further request in the batch adds to that, in microseconds.
    pub decode_us_per_request: u64,
    /// How far its report lags, in milliseconds.
    pub report_lag_ms: u64,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            name: "engine-1".into(),
            failure_domain: "a".into(),
            base_model: "base".into(),
            slots: 8,
            max_batch: 8,
            checks_fencing: true,
            prefill_us_per_token: 100,
            decode_ms: 15.0,
            decode_us_per_request: 300,
            report_lag_ms: 300,
        }
    }
}

/// One replica of a plain service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Where it runs.
    pub failure_domain: String,
    /// Which service it is a replica of.
    pub service: String,
    /// Calls taken at once.
    pub concurrency: u32,
    /// Time of one call, in milliseconds.
    pub latency_ms: u64,
}

impl Default for ServiceSpec {
    fn default() -> Self {
        Self {
            name: "service-1".into(),
            failure_domain: "a".into(),
            service: "filings".into(),
            concurrency: 16,
            latency_ms: 5,
        }
    }
}

/// The weight store.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSpec {
    /// Loads a second.
    pub loads_per_second: u32,
    /// Loads in flight that don't slow each other down.
    pub in_flight: u32,
    /// Time of one load, in milliseconds.
    pub load_ms: u64,
}

impl Default for StoreSpec {
    fn default() -> Self {
        Self {
            loads_per_second: 3,
            in_flight: 8,
            load_ms: 250,
        }
    }
}
