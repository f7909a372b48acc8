//! Fakes and instances in one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bluebellstage_core::catalogue::Change;
use bluebellstage_daemon::{Daemon, Settings};
use eyre::{bail, eyre};

use crate::Pod;
use crate::engine::{Engine, EngineConfig};
use crate::fleet::{Admin, token_digest};
use crate::platform::{Platform, PlatformConfig};
use crate::service::{Service, ServiceConfig};
use crate::store::{Store, StoreConfig};

/// Failure domains, one instance in each.
const DOMAINS: [&str; 3] = ["north", "middle", "south"];

/// The operators' token of a deployment that lives for a minute on loopback.
const ADMIN_TOKEN: &str = "demo-operator";

/// Time for instances to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Time between two looks at whether they are.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Fakes and three instances in this process.
#[derive(Debug)]
pub struct Deployment {
    /// The platform.
    pub platform: Platform,
    /// The weight store.
    pub store: Store,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The plain service.
    pub service: Service,
    /// The instances; one that was stopped is gone.
    pub instances: Vec<DemoInstance>,
}

/// An instance in this process.
#[derive(Debug)]
pub struct DemoInstance {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub admin: Admin,
    daemon: Daemon,
}

impl Deployment {
    /// Starts everything and waits until all instances are ready.
    ///
    /// # Errors
    /// If a port can't be opened or an instance does not get ready in time.
    pub async fn start() -> eyre::Result<Self> {
        let platform = Platform::start(PlatformConfig {
            list_lag: Duration::from_millis(100),
            ..PlatformConfig::default()
        })
        .await?;
        let store = Store::start(StoreConfig::default()).await?;
        let mut engines = Vec::new();
        for (number, domain) in DOMAINS.iter().enumerate().take(2) {
            let cfg = EngineConfig {
                name: format!("engine-{}", number + 1),
                platform: Some(platform.address()),
                store: Some(store.address()),
                failure_domain: (*domain).into(),
                ..EngineConfig::default()
            };
            engines.push(Engine::start(cfg).await?);
        }
        let service = Service::start(ServiceConfig {
            name: "court-1".into(),
            service: "court".into(),
            platform: Some(platform.address()),
            ..ServiceConfig::default()
        })
        .await?;
        let mut instances = Vec::new();
        for (number, domain) in DOMAINS.iter().enumerate() {
            instances.push(start_instance(number + 1, domain, &platform).await?);
        }
        let deployment = Self {
            platform,
            store,
            engines,
            service,
            instances,
        };
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Writes catalogue changes through an instance and waits until they are in force on all.
    ///
    /// # Errors
    /// If they are refused or not in force in time.
    pub async fn apply(&self, through: usize, id: &str, changes: &[Change]) -> eyre::Result<u64> {
        let revision = self.instances[through].admin.apply(id, changes).await?;
        let begun = Instant::now();
        for instance in &self.instances {
            while instance.admin.metrics().await?.catalogue_revision() < revision {
                in_time(begun, "a change is not in force")?;
            }
        }
        Ok(revision)
    }

    /// Stops an instance as planned and waits for its end.
    pub async fn stop_instance(&mut self, index: usize) {
        let instance = self.instances.remove(index);
        instance.daemon.stop();
        instance.daemon.wait().await;
    }

    /// Ends everything.
    pub async fn end(self) {
        drop(self.instances);
        for engine in self.engines {
            engine.stop().await;
        }
        self.service.stop().await;
        self.store.stop().await;
        self.platform.stop().await;
    }

    async fn wait_ready(&self) -> eyre::Result<()> {
        let begun = Instant::now();
        for instance in &self.instances {
            while !instance.admin.is_ready().await {
                in_time(begun, "an instance is not ready")?;
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        }
        Ok(())
    }
}

fn in_time(begun: Instant, what: &str) -> eyre::Result<()> {
    if begun.elapsed() > READY_LIMIT {
        bail!("{what} after {READY_LIMIT:?}");
    }
    Ok(())
}

async fn start_instance(
    number: usize,
    domain: &str,
    platform: &Platform,
) -> eyre::Result<DemoInstance> {
    let name = format!("instance-{number}");
    let mut settings = settings(&name, domain, platform.address())?;
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    settings.caller_address = any_port;
    settings.peer_address = any_port;
    settings.admin_address = any_port;
    platform.put_pod(Pod::new(&name, "bluebellstage"));
    let daemon = Daemon::start(settings).await?;
    Ok(DemoInstance {
        caller_address: daemon.caller_address(),
        admin: Admin::new(daemon.admin_address(), ADMIN_TOKEN)?,
        name,
        daemon,
    })
}

// A file names its ports; the demo takes any that are free, so what stands here is replaced.
fn settings(name: &str, domain: &str, platform: SocketAddr) -> eyre::Result<Settings> {
    let digest = token_digest(ADMIN_TOKEN);
    let text = format!(
        "instance: {name}\n\
         failure_domain: {domain}\n\
         caller_address: 127.0.0.1:1\n\
         peer_address: 127.0.0.1:2\n\
         admin_address: 127.0.0.1:3\n\
         admin_tokens: [\"{digest}\"]\n\
         platform: {{url: \"http://{platform}\"}}\n\
         timing: {{list_ms: 200}}\n"
    );
    Settings::parse("demo", &text).map_err(|problems| eyre!("the demo's settings: {problems}"))
}
