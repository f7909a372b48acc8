//! A model engine: adapter slots, continuous batching, streams that can be resumed.

mod answer;
mod batch;
mod config;
mod generate;
mod job;
mod log;
mod orders;
mod prefix;
mod prompt;
mod reader;
mod report;
mod slots;
mod state;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinHandle;

pub use self::answer::Answer;
pub use self::config::EngineConfig;
pub use self::log::{
    BatchTotals, EngineLog, EngineOrder, EngineRun, OrderKind, OrderResult, RunEnd,
};
use self::state::EngineState;
use crate::{Faults, Pod, Server};

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    state: Arc<EngineState>,
    faults: Arc<Faults>,
    tasks: Vec<JoinHandle<()>>,
}

impl Engine {
    /// Starts to listen and puts its pod to the platform.
    ///
    /// # Errors
    /// If the port can't be bound or the platform can't be reached.
    pub async fn start(cfg: EngineConfig) -> eyre::Result<Self> {
        let faults = Arc::new(Faults::default());
        let platform = cfg.platform;
        let port = cfg.port;
        let state = Arc::new(EngineState::new(cfg)?);
        let rocket = Server::build(port)
            .manage(Arc::clone(&faults))
            .manage(Arc::clone(&state))
            .mount("/", generate::routes())
            .mount("/", orders::routes())
            .mount("/", report::routes())
            .mount("/", crate::faults::control_routes());
        let server = Server::launch(rocket).await?;
        let tasks = vec![
            tokio::spawn(batch::run(Arc::clone(&state))),
            tokio::spawn(report::sample(Arc::clone(&state))),
        ];
        let engine = Self {
            server,
            state,
            faults,
            tasks,
        };
        if let Some(platform) = platform {
            engine.pod().put_to(platform).await?;
        }
        Ok(engine)
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Its pod.
    #[must_use]
    pub fn pod(&self) -> Pod {
        let cfg = &self.state.cfg;
        Pod::target(
            &cfg.name,
            self.address().port(),
            &cfg.failure_domain,
            "engine",
        )
        .annotate("bluebellstage/base-model", &cfg.base_model)
        .annotate("bluebellstage/slots", cfg.slots)
        .annotate("bluebellstage/max-batch", cfg.max_batch)
        .annotate("bluebellstage/checks-fencing", cfg.checks_fencing)
    }

    /// The faults it shows.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// What it saw and did.
    #[must_use]
    pub fn log(&self) -> EngineLog {
        self.state.log()
    }

    /// Forgets all, cold; what runs breaks off.
    pub fn restart(&self) {
        self.state.restart();
    }

    /// Refuses new work from now on.
    pub fn drain(&self) {
        self.state.drain();
    }

    /// Puts other weights into an adapter's slot without telling anyone.
    pub fn swap_weights(&self, adapter: &str, weights: &str) {
        self.state.swap_weights(adapter, weights);
    }

    /// Stops.
    pub async fn stop(self) {
        for task in self.tasks {
            task.abort();
        }
        self.server.stop().await;
    }
}
