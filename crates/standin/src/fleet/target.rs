//! Stand-ins as processes, and their controls.

use std::fmt::Display;
use std::net::SocketAddr;

use eyre::{WrapErr, ensure};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{EngineSpec, FleetConfig, Process, ServiceSpec};
use crate::Fault;

/// A stand-in that runs as a process of its own.
#[derive(Debug)]
pub struct Control {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its process.
    pub process: Process,
    http: reqwest::Client,
}

impl Control {
    /// What it saw and did.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn log<T: DeserializeOwned>(&self) -> eyre::Result<T> {
        self.get("/control/log").await
    }

    /// Reads one of its controls.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> eyre::Result<T> {
        let response = self.http.get(self.url(path)).send().await;
        let response = response.wrap_err_with(|| format!("{} does not answer", self.name))?;
        Ok(response.json().await?)
    }

    /// Uses one of its controls.
    ///
    /// # Errors
    /// If it does not answer or refuses.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> eyre::Result<()> {
        let response = self.http.post(self.url(path)).json(body).send().await;
        let response = response.wrap_err_with(|| format!("{} does not answer", self.name))?;
        ensure!(
            response.status().is_success(),
            "{} refused {path}",
            self.name
        );
        Ok(())
    }

    /// Lets it show a fault.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn fault(&self, fault: &Fault) -> eyre::Result<()> {
        self.post("/control/faults", fault).await
    }

    /// Deletes its faults.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn heal(&self) -> eyre::Result<()> {
        self.http.delete(self.url("/control/faults")).send().await?;
        Ok(())
    }

    /// Restarts it cold.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn restart(&self) -> eyre::Result<()> {
        self.post("/control/restart", &()).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

impl FleetConfig {
    pub(super) async fn start_platform(&self) -> eyre::Result<Control> {
        let args = vec![
            option("list-lag-ms", self.list_lag_ms),
            option("probe-ms", PROBE_MS),
        ];
        self.start("platform", "platform", args).await
    }

    pub(super) async fn start_store(&self) -> eyre::Result<Control> {
        let args = vec![
            option("loads-per-second", self.store.loads_per_second),
            option("in-flight", self.store.in_flight),
            option("load-ms", self.store.load_ms),
        ];
        self.start("store", "store", args).await
    }

    pub(super) async fn start_engine(
        &self,
        spec: &EngineSpec,
        platform: &Control,
        store: &Control,
    ) -> eyre::Result<Control> {
        let mut args = vec![
            option("name", &spec.name),
            option("platform", platform.address),
            option("store", store.address),
            option("failure-domain", &spec.failure_domain),
            option("base-model", &spec.base_model),
            option("slots", spec.slots),
            option("max-batch", spec.max_batch),
            option("prefill-us-per-token", spec.prefill_us_per_token),
            option("decode-ms", spec.decode_ms),
            option("decode-us-per-request", spec.decode_us_per_request),
            option("report-lag-ms", spec.report_lag_ms),
        ];
        if !spec.checks_fencing {
            args.push(vec!["--no-fencing".into()]);
        }
        self.start("engine", &spec.name, args).await
    }

    pub(super) async fn start_service(
        &self,
        spec: &ServiceSpec,
        platform: &Control,
    ) -> eyre::Result<Control> {
        let args = vec![
            option("name", &spec.name),
            option("platform", platform.address),
            option("failure-domain", &spec.failure_domain),
            option("service", &spec.service),
            option("concurrency", spec.concurrency),
            option("latency-ms", spec.latency_ms),
        ];
        self.start("service", &spec.name, args).await
    }

    async fn start(
        &self,
        command: &str,
        name: &str,
        options: Vec<Vec<String>>,
    ) -> eyre::Result<Control> {
        let mut args = vec![command.to_owned(), "--port".into(), "0".into()];
        args.extend(options.into_iter().flatten());
        let log = self.dir.join(format!("{name}.log"));
        let (process, address) = Process::start_listener(&self.standin, &args, &log).await?;
        Ok(Control {
            name: name.into(),
            address,
            process,
            http: crate::pod::client()?,
        })
    }
}

/// Time between two probes of the instances' ports, in milliseconds.
const PROBE_MS: u64 = 500;

fn option(name: &str, value: impl Display) -> Vec<String> {
    vec![format!("--{name}"), format!("{value}")]
}
