//! One whole instance in this process.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use bluebellstage_core::{Event, Incarnation, Instance, Member, MemberState};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::connection::{
    CallerSockets, LateShell, PeerServer, Peers, Port, PortError, admin_port, caller_port,
};
use crate::retry::Backoff;
use crate::settings::Settings;

use super::platform::{self, PlatformClient};
use super::shell::Parts;
use super::{Clock, Metrics, Shell, TargetClients, drain, log_event, ticker};

/// A running instance; several may run in one process.
///
/// [`Daemon::stop`] and [`Daemon::wait`] end it as planned. Dropped, it decides and accepts nothing
/// more from that moment; answers under way may go on until their connections end.
#[derive(Debug)]
pub struct Daemon {
    shell: Arc<Shell>,
    caller: Port,
    admin: Port,
    peer_address: SocketAddr,
    tasks: JoinSet<()>,
}

/// Begins a planned stop of a [`Daemon`].
#[derive(Clone, Debug)]
pub struct Stopper {
    shell: Arc<Shell>,
}

impl Stopper {
    /// Begins the stop; a second call changes nothing.
    pub fn stop(&self) {
        log_event!(StopAsked, "by" = "process");
        self.shell.feed(Event::Stop);
    }
}

/// An instance that could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A port can't be opened.
    #[error(transparent)]
    Port(#[from] PortError),
    /// An HTTP client can't be made.
    #[error("no HTTP client can be made ({0}): check the process's limits")]
    Client(#[from] reqwest::Error),
}

impl Daemon {
    /// Opens the ports and starts to join; a port's number may be 0 here, for any free one.
    ///
    /// # Errors
    /// [`StartError`] if a port is taken. No port stays open then.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let started = Self::open(settings).await;
        if let Err(StartError::Port(PortError { address, cause })) = &started {
            log_event!(PortRefused, "address" = address, "cause" = cause);
        }
        started
    }

    async fn open(settings: Settings) -> Result<Self, StartError> {
        let metrics = Arc::new(Metrics::new());
        let platform = PlatformClient::new(&settings.platform)?;
        let targets = TargetClients::new(&settings.limits)?;
        let late = LateShell::default();
        let peer = bind(settings.peer_address).await?;
        let peer_address = peer.local_addr().unwrap_or(settings.peer_address);
        let caller_rocket = caller_port(&settings, late.clone());
        let caller = Port::open(settings.caller_address, caller_rocket).await?;
        let admin_rocket = admin_port(&settings, late.clone());
        let admin = match Port::open(settings.admin_address, admin_rocket).await {
            Ok(admin) => admin,
            Err(error) => {
                caller.abort();
                return Err(error.into());
            }
        };
        let settings = Settings {
            caller_address: caller.address(),
            admin_address: admin.address(),
            peer_address,
            ..settings
        };
        let incarnation = fresh_incarnation();
        let clock = Clock::start();
        let core = Instance::new(
            settings.tuning.clone(),
            member(&settings, incarnation),
            rand::random(),
            clock.now(),
        );
        let peers = Peers::new(
            settings.instance.clone(),
            settings.limits.peer_queue,
            Arc::clone(&metrics),
        );
        let shell = Arc::new(Shell::new(Parts {
            clock,
            sockets: CallerSockets::new(caller.address().port()),
            settings,
            metrics,
            targets,
            platform,
            peers,
            core,
        }));
        started(&shell, incarnation);
        let tasks = start_tasks(&shell, &late.0, peer, incarnation);
        // From here on requests and messages get through.
        let _set_once = late.0.set(Arc::clone(&shell));
        Ok(Self {
            shell,
            caller,
            admin,
            peer_address,
            tasks,
        })
    }

    /// Where callers connect.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Where operators connect.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Where other instances connect.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Begins a planned stop; [`Daemon::wait`] waits for its end.
    pub fn stop(&self) {
        self.stopper().stop();
    }

    /// A handle that begins a planned stop from another task.
    #[must_use]
    pub fn stopper(&self) -> Stopper {
        Stopper {
            shell: Arc::clone(&self.shell),
        }
    }

    /// Waits for the end of a planned stop, by whomever it was asked for.
    ///
    /// # Panics
    /// If a task of the instance panicked: it must not go on as half an instance.
    pub async fn wait(mut self) {
        let begun = Instant::now();
        let shell = Arc::clone(&self.shell);
        tokio::select! {
            () = drain::drained(&shell) => {}
            Some(ended) = self.tasks.join_next() => {
                ended.expect("the instance's tasks don't panic");
                panic!("the instance's tasks don't end");
            }
        }
        drain::flush(&shell, &self.caller).await;
        self.admin.close();
        log_event!(Stopped, "waited_ms" = begun.elapsed().as_millis());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.caller.close();
        self.admin.close();
        self.caller.abort();
        self.admin.abort();
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, PortError> {
    TcpListener::bind(address).await.map_err(|error| PortError {
        address,
        cause: error.to_string().into(),
    })
}

/// Drawn at random, never zero: an instance keeps nothing from which to count on.
fn fresh_incarnation() -> Incarnation {
    Incarnation(rand::random::<u64>() | 1)
}

fn member(settings: &Settings, incarnation: Incarnation) -> Member {
    Member {
        id: settings.instance.clone(),
        incarnation,
        failure_domain: settings.failure_domain.clone(),
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        state: MemberState::Joining,
    }
}

fn started(shell: &Shell, incarnation: Incarnation) {
    let settings = &shell.settings;
    log_event!(
        Started,
        "instance" = settings.instance,
        "incarnation" = incarnation,
        "caller" = settings.caller_address,
        "peer" = settings.peer_address,
        "admin" = settings.admin_address
    );
}

fn start_tasks(
    shell: &Arc<Shell>,
    late: &Arc<OnceLock<Arc<Shell>>>,
    peer: TcpListener,
    incarnation: Incarnation,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(ticker::tick(Arc::clone(shell)));
    tasks.spawn(platform::watch(Arc::clone(shell)));
    tasks.spawn(PeerServer::new(Arc::clone(late)).accept(peer, Arc::clone(&shell.metrics)));
    tasks.spawn(watch_sockets(Arc::clone(shell)));
    tasks.spawn(note_incarnation(Arc::clone(shell), incarnation));
    tasks
}

async fn watch_sockets(shell: Arc<Shell>) {
    let every = shell.settings.limits.keep_alive;
    shell
        .sockets
        .watch(every, || shell.open_requests() > 0)
        .await;
}

/// Notes this life on the own pod, as often as it takes.
async fn note_incarnation(shell: Arc<Shell>, incarnation: Incarnation) {
    let timeout = shell.settings.platform.timeout;
    let mut backoff = Backoff::default();
    while shell
        .platform
        .note_incarnation(timeout, incarnation)
        .await
        .is_err()
    {
        sleep(backoff.next_delay()).await;
    }
    // The instance's tasks don't end while it runs.
    std::future::pending::<()>().await;
}
