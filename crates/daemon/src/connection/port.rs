//! An HTTP port served by Rocket, with none of Rocket's own configuration.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use rocket::config::{Ident, LogLevel, Shutdown};
use rocket::fairing::AdHoc;
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};
use rocket::{Build, Config, Request, Rocket};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::process::Shell;

/// Seconds that an idle connection is kept.
const KEEP_ALIVE_SECONDS: u32 = 60;

/// An open HTTP port.
#[derive(Debug)]
pub(crate) struct Port {
    address: SocketAddr,
    shutdown: rocket::Shutdown,
    task: JoinHandle<Result<(), Box<str>>>,
}

/// A port that can't be opened.
#[derive(Debug, thiserror::Error)]
#[error("{address} can't be opened ({cause}): free the port or name another in the settings")]
pub struct PortError {
    /// Which address.
    pub address: SocketAddr,
    /// Why.
    pub cause: Box<str>,
}

/// The shell, once it is there; ports open before it, for it is told their numbers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LateShell(pub(crate) Arc<OnceLock<Arc<Shell>>>);

/// The shell of a request; 503 before it is there.
#[derive(Debug)]
pub(crate) struct Live(pub(crate) Arc<Shell>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Live {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let late = request.rocket().state::<LateShell>();
        match late.and_then(|late| late.0.get()) {
            Some(shell) => Outcome::Success(Self(Arc::clone(shell))),
            None => Outcome::Error((Status::ServiceUnavailable, ())),
        }
    }
}

/// A Rocket that takes its configuration from here alone: no file, no environment.
///
/// After a shutdown Rocket closes what is still open once grace and mercy have passed. `flush` goes
/// in there: a planned stop asks for the shutdown only when all answers are in the connections'
/// hands, and they then have this long to get out.
pub(crate) fn base(address: SocketAddr, flush: Duration, late: LateShell) -> Rocket<Build> {
    let seconds = u32::try_from(flush.as_secs()).unwrap_or(u32::MAX / 2);
    let config = Config {
        address: address.ip(),
        port: address.port(),
        ident: Ident::none(),
        ip_header: None,
        keep_alive: KEEP_ALIVE_SECONDS,
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: seconds + 1,
            mercy: 1,
            force: false,
            ..Shutdown::default()
        },
        ..Config::release_default()
    };
    rocket::custom(config).manage(late)
}

impl Port {
    /// Opens the port and serves it until [`Port::close`].
    ///
    /// # Errors
    /// [`PortError`] if the port is taken or may not be opened.
    pub(crate) async fn open(
        address: SocketAddr,
        rocket: Rocket<Build>,
    ) -> Result<Self, PortError> {
        let (tx, rx) = oneshot::channel();
        let tx = Mutex::new(Some(tx));
        let liftoff = AdHoc::on_liftoff("bound port", move |rocket| {
            let bound = SocketAddr::new(rocket.config().address, rocket.config().port);
            if let Some(tx) = tx.lock().unwrap_or_else(PoisonError::into_inner).take() {
                let _opener_gone = tx.send((bound, rocket.shutdown()));
            }
            Box::pin(async {})
        });
        let task = tokio::spawn(async move {
            let launched = rocket.attach(liftoff).launch().await;
            launched.map(drop).map_err(|error| text_of(&error))
        });
        match rx.await {
            Ok((address, shutdown)) => Ok(Self {
                address,
                shutdown,
                task,
            }),
            Err(_) => Err(PortError {
                address,
                cause: failure(task).await,
            }),
        }
    }

    /// The address, with the port's number where the settings left it open.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more connections and requests; answers under way go on.
    pub(crate) fn close(&self) {
        self.shutdown.clone().notify();
    }

    /// Drops what is still open.
    pub(crate) fn abort(&self) {
        self.task.abort();
    }
}

async fn failure(task: JoinHandle<Result<(), Box<str>>>) -> Box<str> {
    match task.await {
        Ok(Ok(())) => "ended at once".into(),
        Ok(Err(text)) => text,
        Err(_) => "panicked".into(),
    }
}

/// The text of an error, which counts as looked at from then on.
///
/// Guards against a panic in a worker: Rocket panics when an error is dropped that nobody looked
/// at, and connections that are open past a shutdown's mercy are such an error.
fn text_of(error: &rocket::Error) -> Box<str> {
    let _looked_at = error.kind();
    error.to_string().into()
}
