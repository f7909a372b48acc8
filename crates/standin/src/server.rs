//! The HTTP server under each stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use eyre::{WrapErr, eyre};
use rocket::fairing::AdHoc;
use rocket::figment::Figment;
use rocket::{Build, Rocket, Shutdown};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Longest wait for a stopped server, which may hold streams that never end.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// A server on loopback.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl Server {
    /// A server builder whose settings come from here alone.
    pub(crate) fn build(port: u16) -> Rocket<Build> {
        // `Config::figment` would also read a file and environment variables of Rocket's own.
        let figment = Figment::from(rocket::Config::debug_default())
            .merge(("address", "127.0.0.1"))
            .merge(("port", port))
            .merge(("log_level", "off"))
            .merge(("cli_colors", false))
            .merge(("ident", false))
            .merge(("shutdown.ctrlc", false))
            .merge(("shutdown.signals", Vec::<String>::new()))
            .merge(("shutdown.grace", 0))
            .merge(("shutdown.mercy", 0));
        rocket::custom(figment)
    }

    /// Starts to listen.
    ///
    /// # Errors
    /// If the port can't be bound.
    pub(crate) async fn launch(rocket: Rocket<Build>) -> eyre::Result<Self> {
        let (tx, rx) = oneshot::channel();
        let mut tx = Some(tx);
        let ready = std::sync::Mutex::new(move |port| {
            if let Some(tx) = tx.take() {
                // Nobody waits any more if the starter was dropped.
                let _ = tx.send(port);
            }
        });
        let liftoff = AdHoc::on_liftoff("ready", move |rocket| {
            let port = rocket.config().port;
            if let Ok(mut ready) = ready.lock() {
                ready(port);
            }
            Box::pin(async {})
        });
        let rocket = rocket
            .attach(liftoff)
            .ignite()
            .await
            .map_err(|err| eyre!("the stand-in's routes don't fit together: {err}"))?;
        let shutdown = rocket.shutdown();
        let task = tokio::spawn(async move {
            if let Err(err) = rocket.launch().await {
                // Streams that were open when it was told to stop count as a failed shutdown.
                // Rocket panics when such an error is dropped and nobody looked at its kind.
                let kind = err.kind().to_string();
                log::debug!("the stand-in ended: {kind}");
            }
        });
        let port = rx
            .await
            .wrap_err("the port can't be bound: choose another one, or 0 for any")?;
        Ok(Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            shutdown,
            task,
        })
    }

    /// Stops to listen and closes what is open.
    pub async fn stop(self) {
        self.shutdown.notify();
        let ended = tokio::time::timeout(STOP_LIMIT, self.task).await;
        // A panic in the server's task would otherwise only show on standard error.
        if let Ok(Err(failure)) = ended
            && failure.is_panic()
        {
            std::panic::resume_unwind(failure.into_panic());
        }
    }
}
