//! The weight store: rate-limited, slower when many loads are in flight.

mod config;
mod log;
mod routes;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;

pub use self::config::StoreConfig;
pub use self::log::{StoreLog, StoreOutcome, StoreRead};
use self::state::StoreState;
use crate::{Faults, Server};

/// A running weight store.
#[derive(Debug)]
pub struct Store {
    server: Server,
    state: Arc<StoreState>,
    faults: Arc<Faults>,
}

impl Store {
    /// Starts to listen.
    ///
    /// # Errors
    /// If the port can't be bound.
    pub async fn start(cfg: StoreConfig) -> eyre::Result<Self> {
        let faults = Arc::new(Faults::default());
        let state = Arc::new(StoreState::new(cfg.clone()));
        let rocket = Server::build(cfg.port)
            .manage(Arc::clone(&faults))
            .manage(Arc::clone(&state))
            .mount("/", routes::routes())
            .mount("/", crate::faults::control_routes());
        Ok(Self {
            server: Server::launch(rocket).await?,
            state,
            faults,
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

    /// What it saw and did.
    #[must_use]
    pub fn log(&self) -> StoreLog {
        self.state.log()
    }

    /// Stops.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
