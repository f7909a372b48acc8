//! A whole deployment of separate processes on loopback: stand-ins and real daemons.
//!
//! Only this development tool starts processes; the shipped programs start none.

mod admin;
mod config;
mod ports;
mod process;
mod settings;
mod target;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bluebellstage_core::catalogue::Change;
use eyre::{WrapErr, bail, eyre};

pub use self::admin::{Admin, Metrics};
pub use self::config::{
    DaemonProgram, EngineSpec, FleetConfig, InstanceSpec, ServiceSpec, StoreSpec,
};
pub use self::process::{Process, Signal};
pub(crate) use self::settings::{merge, token_digest};
pub use self::target::Control;
use crate::Pod;

/// Time for all instances to be ready, or for a change to be in force on all of them.
const READY_LIMIT: Duration = Duration::from_mins(1);

/// Time between two looks at whether they are.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Changes written at once: a log object of so many adapters stays well below a megabyte.
const CHANGES_AT_ONCE: usize = 2_000;

/// One of our instances.
#[derive(Debug)]
pub struct FleetInstance {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub admin: Admin,
    /// Its process; none while it is down.
    pub process: Option<Process>,
    settings: PathBuf,
}

/// A running deployment. Dropped, it kills all its processes.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Control,
    /// The weight store.
    pub store: Control,
    /// The engines.
    pub engines: Vec<Control>,
    /// The plain services.
    pub services: Vec<Control>,
    /// Our instances.
    pub instances: Vec<FleetInstance>,
    cfg: FleetConfig,
    changes_written: u64,
}

impl Fleet {
    /// Starts everything and waits until all instances are ready.
    ///
    /// # Errors
    /// If a process can't be started or does not get ready in time; what was started is killed.
    pub async fn start(cfg: FleetConfig) -> eyre::Result<Self> {
        std::fs::create_dir_all(&cfg.dir)
            .wrap_err_with(|| format!("{} can't be created", cfg.dir.display()))?;
        let platform = cfg.start_platform().await?;
        let store = cfg.start_store().await?;
        let engines = cfg
            .engines
            .iter()
            .map(|spec| cfg.start_engine(spec, &platform, &store));
        let engines = futures::future::try_join_all(engines).await?;
        let services = cfg
            .services
            .iter()
            .map(|spec| cfg.start_service(spec, &platform));
        let services = futures::future::try_join_all(services).await?;
        let mut fleet = Self {
            platform,
            store,
            engines,
            services,
            instances: Vec::new(),
            cfg,
            changes_written: 0,
        };
        for index in 0..fleet.cfg.instances.len() {
            let instance = fleet.prepare(index)?;
            fleet.instances.push(instance);
        }
        for index in 0..fleet.instances.len() {
            fleet.start_instance(index).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    fn prepare(&self, index: usize) -> eyre::Result<FleetInstance> {
        let spec = &self.cfg.instances[index];
        let prepared = settings::write(&self.cfg, spec, self.platform.address)?;
        Ok(FleetInstance {
            name: spec.name.clone(),
            caller_address: prepared.caller_address,
            admin: Admin::new(prepared.admin_address, &self.cfg.admin_token)?,
            process: None,
            settings: prepared.path,
        })
    }

    /// Starts an instance, also one that ended before; it comes back as a new life.
    ///
    /// # Errors
    /// If its process can't be started.
    pub async fn start_instance(&mut self, index: usize) -> eyre::Result<()> {
        let instance = &mut self.instances[index];
        Pod::instance(&instance.name, instance.caller_address.port())
            .put_to(self.platform.address)
            .await?;
        let program = &self.cfg.daemon;
        let mut args: Vec<String> = program.args.clone();
        args.extend(["--settings".into(), instance.settings.display().to_string()]);
        let log = self.cfg.dir.join(format!("{}.log", instance.name));
        instance.process = Some(Process::start(&program.path, &args, &log)?);
        Ok(())
    }

    /// Waits until every instance that runs says that it is ready.
    ///
    /// # Errors
    /// If one ends or does not get ready in time.
    pub async fn wait_ready(&mut self) -> eyre::Result<()> {
        let begun = Instant::now();
        loop {
            let mut waiting = None;
            for instance in &mut self.instances {
                let Some(process) = &mut instance.process else {
                    continue;
                };
                if let Some(status) = process.ended() {
                    bail!(
                        "instance {} ended ({status}): see its log in {}",
                        instance.name,
                        self.cfg.dir.display()
                    );
                }
                if !instance.admin.is_ready().await {
                    waiting = Some(instance.name.clone());
                }
            }
            let Some(waiting) = waiting else {
                return Ok(());
            };
            if begun.elapsed() > READY_LIMIT {
                bail!(
                    "instance {waiting} is not ready after {READY_LIMIT:?}: see its log in {}",
                    self.cfg.dir.display()
                );
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Writes catalogue changes through the first instance and waits until they are in force on all.
    ///
    /// # Errors
    /// If they are refused or not in force in time.
    pub async fn apply(&mut self, changes: &[Change]) -> eyre::Result<()> {
        let mut revision = 0;
        for part in changes.chunks(CHANGES_AT_ONCE) {
            self.changes_written += 1;
            let id = format!("load-{}", self.changes_written);
            let admin = &self.instances[0].admin;
            revision = admin.apply(&id, part).await?;
        }
        self.wait_revision(revision).await
    }

    /// Waits until a catalogue revision is in force on all instances that run.
    ///
    /// # Errors
    /// If it is not in time.
    pub async fn wait_revision(&self, revision: u64) -> eyre::Result<()> {
        let begun = Instant::now();
        for instance in self.instances.iter().filter(|one| one.process.is_some()) {
            while instance.admin.metrics().await?.catalogue_revision() < revision {
                if begun.elapsed() > READY_LIMIT {
                    return Err(eyre!(
                        "revision {revision} is not in force on {} after {READY_LIMIT:?}",
                        instance.name
                    ));
                }
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Kills an instance, as a crash would.
    pub async fn kill_instance(&mut self, index: usize) {
        if let Some(mut process) = self.instances[index].process.take() {
            process.kill().await;
        }
    }

    /// Where callers connect, of all instances.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let addresses = self
            .instances
            .iter()
            .map(|instance| instance.caller_address);
        addresses.collect()
    }

    /// Ends everything; nothing is left running.
    pub async fn stop(mut self) {
        for instance in &mut self.instances {
            if let Some(mut process) = instance.process.take() {
                process.kill().await;
            }
        }
        let targets = self.engines.iter_mut().chain(&mut self.services);
        for control in targets.chain([&mut self.store, &mut self.platform]) {
            control.process.kill().await;
        }
    }
}
