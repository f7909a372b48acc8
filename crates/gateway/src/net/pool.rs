//! Pool of idle connections to targets or peers.

use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::decide::response_heads::ResponseHeads;

use super::process::Process;
use super::target_socket::{SharedHeads, SocketHandle, TargetSocket};

/// Fraction of a target's idle limit for which a connection is reused. The target started its idle timer
/// earlier than the pool, and a request that is sent while the target closes the connection may be lost.
const IDLE_LIMIT_FRACTION: f64 = 0.6;
/// Max idle time of a connection to a target that states no limit.
const DEFAULT_MAX_IDLE: Duration = Duration::from_millis(500);
/// Max idle time of any connection. The longer a connection is idle, the more likely it has broken unnoticed.
pub(super) const MAX_IDLE: Duration = Duration::from_secs(4);
/// Max number of idle connections to a target or peer.
const MAX_IDLE_PER_ID: usize = 16;

/// Largest buffer of a connection, in bytes.
pub(super) const BUF_SIZE: usize = 64 * 1_024;
/// The same if memory is limited. It is read ahead of the caller, and not counted.
pub(super) const SMALL_BUF_SIZE: usize = 32 * 1_024;

/// Why a request has no response.
#[derive(Debug)]
pub(super) enum SendFailure {
    /// No connection carried any part of the request.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The connection broke.
    Broken(hyper::Error),
    /// A connection that had been idle ended before a byte of the response. The other side may have closed it when the
    /// request was in transit, or have ended.
    Ended(hyper::Error),
    /// What arrived is no response, or only informational heads without end.
    WrongAnswer(Box<str>),
}

impl fmt::Display for SendFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(_) => f.write_str("the connection ended before the request was sent"),
            Self::Broken(err) | Self::Ended(err) => err.fmt(f),
            Self::WrongAnswer(cause) => cause.fmt(f),
        }
    }
}

/// The head of a response, and the connection that its body comes from.
pub(super) type Answer = (Response<Incoming>, Connection);

/// A connection to a target. It is closed when dropped, so that the work for a caller that disconnected is
/// cancelled.
#[derive(Debug)]
pub(super) struct Connection {
    tx: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    heads: SharedHeads,
    socket: SocketHandle,
    /// Whether it was idle before: its other side may close it at any time.
    reused: bool,
    /// Whether a request was sent that has no response yet.
    awaits_response: bool,
    /// Start time of the process at the other side, as it was known before the connection was opened, or as that process
    /// has told it on the connection.
    pub(super) born: Option<u64>,
    address: Option<SocketAddr>,
    opened_at: Instant,
}

impl Connection {
    pub(super) async fn handshake(stream: TcpStream, buf_size: usize) -> hyper::Result<Self> {
        let heads = SharedHeads::default();
        let address = stream.peer_addr().ok();
        let opened_at = Instant::now();
        let socket = TargetSocket::new(stream, heads.clone());
        let handle = socket.handle();
        let (tx, driver) = Builder::new()
            .max_buf_size(buf_size)
            .handshake(TokioIo::new(socket))
            .await?;
        let drive = async move {
            // The exchange that uses the connection gets the same error and reports it.
            let _reported_by_exchange = driver.await;
        };
        Ok(Self {
            tx,
            task: tokio::spawn(drive).abort_handle(),
            heads,
            socket: handle,
            reused: false,
            awaits_response: false,
            born: None,
            address,
            opened_at,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// There is no response. The connection is closed.
    pub(super) async fn send(
        mut self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Answer, SendFailure> {
        *self.heads.lock() = ResponseHeads::default();
        let heads = self.heads.clone();
        hyper::ext::on_informational(&mut req, move |_head| heads.lock().record_informational());
        self.awaits_response = true;
        let sent = self.tx.try_send_request(req).await;
        self.awaits_response = sent.is_err();
        match sent {
            // An upgrade that was not requested.
            Ok(response) if response.status().is_informational() => {
                Err(SendFailure::WrongAnswer("a switch of protocols".into()))
            }
            Ok(response) => Ok((response, self)),
            Err(mut err) => Err(match err.take_message() {
                Some(unsent) => SendFailure::NotSent(Box::new(unsent)),
                None => self.failure(err.into_error()),
            }),
        }
    }

    fn failure(&self, err: hyper::Error) -> SendFailure {
        let heads = self.heads.lock();
        if err.is_parse() || heads.is_exceeded() {
            SendFailure::WrongAnswer(err.to_string().into())
        } else if self.reused && heads.is_empty() {
            SendFailure::Ended(err)
        } else {
            SendFailure::Broken(err)
        }
    }

    /// Whether it carried a request before: a late answer to that one may arrive on it.
    pub(super) const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Marks a connection that was idle: its other side may have closed it.
    pub(super) const fn mark_reused(&mut self) {
        self.reused = true;
    }

    /// Whether it was opened by `since`, to the address of a process, while the same start time was registered.
    fn leads_to(&self, process: Process<'_>, since: Instant) -> bool {
        let is_same_process = self.born == process.born && self.address == Some(process.address);
        is_same_process && self.opened_at <= since
    }

    /// Whether it is open, to the address of a process, and the same start time was registered when it was opened.
    pub(super) fn is_open_to(&self, process: Process<'_>) -> bool {
        self.leads_to(process, self.opened_at) && self.is_usable()
    }

    /// Whether it can carry a request, as far as this process and the kernel know.
    fn is_usable(&self) -> bool {
        self.tx.is_ready() && self.socket.is_open_and_empty()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.awaits_response {
            self.socket.discard_on_close();
        }
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by the id of the target or peer.
#[derive(Debug)]
pub(super) struct Pool<I> {
    idle_connections: Mutex<HashMap<I, Vec<IdleConnection>>>,
}

impl<I> Default for Pool<I> {
    fn default() -> Self {
        Self {
            idle_connections: Mutex::default(),
        }
    }
}

impl<I: Clone + Eq + Hash> Pool<I> {
    /// Takes the most recently used connection; older connections expire meanwhile.
    fn take(&self, id: &I) -> Option<Connection> {
        let mut idle_connections = self
            .idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let stack = idle_connections.get_mut(id)?;
        let now = Instant::now();
        while let Some(mut last) = stack.pop() {
            if now < last.expires_at && last.connection.is_usable() {
                last.connection.reused = true;
                return Some(last.connection);
            }
        }
        None
    }

    /// Sends a request on an idle connection. One that the other side closes meanwhile, before it has received any part
    /// of the request, says nothing of whether a new connection can be opened.
    ///
    /// # Errors
    ///
    /// There is no response; [`SendFailure::NotSent`] if no idle connection could carry the request.
    pub(super) async fn send(
        &self,
        id: &I,
        req: Request<Full<Bytes>>,
    ) -> Result<Answer, SendFailure> {
        let mut unsent = Box::new(req);
        while let Some(connection) = self.take(id) {
            match connection.send(*unsent).await {
                Err(SendFailure::NotSent(req)) => unsent = req,
                sent => return sent,
            }
        }
        Err(SendFailure::NotSent(unsent))
    }

    /// Returns a connection whose last response was complete to the pool.
    pub(super) fn put(&self, id: &I, connection: Connection, limit: Option<Duration>) {
        let stated = limit.map(|limit| limit.mul_f64(IDLE_LIMIT_FRACTION));
        let idle = stated.unwrap_or(DEFAULT_MAX_IDLE).min(MAX_IDLE);
        let expires_at = Instant::now() + idle;
        let mut idle_connections = self
            .idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let stack = idle_connections.entry(id.clone()).or_default();
        if stack.len() < MAX_IDLE_PER_ID {
            stack.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Takes a connection that was open at `since`, and as far as known to the same process as others were.
    pub(super) fn take_open_since(
        &self,
        id: &I,
        process: Process<'_>,
        since: Instant,
    ) -> Option<Connection> {
        let mut idle_connections = self
            .idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let stack = idle_connections.get_mut(id)?;
        let found = stack.iter().position(|idle| {
            idle.connection.leads_to(process, since) && idle.connection.is_usable()
        })?;
        let mut connection = stack.remove(found).connection;
        connection.reused = true;
        Some(connection)
    }

    /// Whether a connection that [`Self::take_open_since`] would return is there.
    pub(super) fn has_open_since(&self, id: &I, process: Process<'_>, since: Instant) -> bool {
        let idle_connections = self
            .idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let stack = idle_connections.get(id).into_iter().flatten();
        let mut connections = stack.map(|idle| &idle.connection);
        connections.any(|open| open.leads_to(process, since) && open.is_usable())
    }

    /// Closes expired and broken connections.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        let mut idle_connections = self
            .idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for stack in idle_connections.values_mut() {
            stack.retain(|idle_connections| {
                now < idle_connections.expires_at && !idle_connections.connection.tx.is_closed()
            });
        }
        idle_connections.retain(|_, stack| !stack.is_empty());
    }
}
