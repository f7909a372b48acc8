//! The platform: its object API, its lagging list of pods, and controls over both.

mod calls;
mod config;
mod lists;
mod log;
mod objects;
mod probe;
mod routes;
mod state;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use self::calls::CallCounts;
pub use self::config::PlatformConfig;
pub use self::log::PlatformLog;
use self::state::PlatformState;
use crate::{Faults, Pod, Server};

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    state: Arc<PlatformState>,
    faults: Arc<Faults>,
    probe: Option<tokio::task::JoinHandle<()>>,
}

impl Platform {
    /// Starts to listen.
    ///
    /// # Errors
    /// If the port can't be bound.
    pub async fn start(cfg: PlatformConfig) -> eyre::Result<Self> {
        let faults = Arc::new(Faults::default());
        let state = Arc::new(PlatformState::new(&cfg));
        let rocket = Server::build(cfg.port)
            .manage(Arc::clone(&faults))
            .manage(Arc::clone(&state))
            .mount("/", routes::routes())
            .mount("/", crate::faults::control_routes());
        let server = Server::launch(rocket).await?;
        let probe = cfg
            .probe
            .map(|every| tokio::spawn(probe::run(Arc::clone(&state), every)));
        Ok(Self {
            server,
            state,
            faults,
            probe,
        })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// The faults it shows.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// What it saw.
    #[must_use]
    pub fn log(&self) -> PlatformLog {
        self.state.log()
    }

    /// Calls so far, by kind.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.state.calls()
    }

    /// Adds or replaces a pod.
    pub fn put_pod(&self, pod: Pod) {
        self.state.put_pod(pod);
    }

    /// Removes a pod.
    pub fn remove_pod(&self, name: &str) {
        self.state.remove_pod(name);
    }

    /// Sets how far the list lags.
    pub fn set_list_lag(&self, lag: Duration) {
        self.state.set_list_lag(lag);
    }

    /// Stops.
    pub async fn stop(self) {
        if let Some(probe) = self.probe {
            probe.abort();
        }
        self.server.stop().await;
    }
}
