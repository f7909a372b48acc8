//! A plain service, some of whose calls may not be repeated.

mod config;
mod log;
mod routes;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;

pub use self::config::ServiceConfig;
pub use self::log::{ServiceLog, ServiceRun};
use self::state::ServiceState;
use crate::{Faults, Pod, Server};

/// A running replica of a plain service.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<ServiceState>,
    faults: Arc<Faults>,
    cfg: ServiceConfig,
}

impl Service {
    /// Starts to listen and puts its pod to the platform.
    ///
    /// # Errors
    /// If the port can't be bound or the platform can't be reached.
    pub async fn start(cfg: ServiceConfig) -> eyre::Result<Self> {
        let faults = Arc::new(Faults::default());
        let state = Arc::new(ServiceState::new(cfg.clone()));
        let rocket = Server::build(cfg.port)
            .manage(Arc::clone(&faults))
            .manage(Arc::clone(&state))
            .mount("/", routes::routes())
            .mount("/", crate::faults::control_routes());
        let service = Self {
            server: Server::launch(rocket).await?,
            state,
            faults,
            cfg,
        };
        if let Some(platform) = service.cfg.platform {
            service.pod().put_to(platform).await?;
        }
        Ok(service)
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Its pod.
    #[must_use]
    pub fn pod(&self) -> Pod {
        let cfg = &self.cfg;
        Pod::target(
            &cfg.name,
            self.address().port(),
            &cfg.failure_domain,
            "service",
        )
        .annotate("bluebellstage/service", &cfg.service)
        .annotate("bluebellstage/concurrency", cfg.concurrency)
    }

    /// The faults it shows.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// What it saw and did.
    #[must_use]
    pub fn log(&self) -> ServiceLog {
        self.state.log()
    }

    /// Refuses new work from now on.
    pub fn drain(&self) {
        self.state.drain();
    }

    /// Stops.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
