//! Pool of idle connections to targets or peers.

use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;
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

use super::target_socket::{SharedHeads, TargetSocket};

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

/// Why a request that was handed to a connection has no response.
#[derive(Debug)]
pub(super) enum SendFailure {
    /// The connection had ended before any part of the request was sent.
    NotSent(hyper::Error),
    /// The connection broke.
    Broken(hyper::Error),
    /// What arrived is no response, or only informational heads without end.
    WrongAnswer(Box<str>),
}

impl fmt::Display for SendFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(err) | Self::Broken(err) => err.fmt(f),
            Self::WrongAnswer(cause) => cause.fmt(f),
        }
    }
}

/// A connection to a target. It is closed when dropped, so that the work for a caller that disconnected is
/// cancelled.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) tx: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    heads: SharedHeads,
    /// Whether it has carried a request before.
    pub(super) reused: bool,
}

impl Connection {
    pub(super) async fn handshake(stream: TcpStream, buf_size: usize) -> hyper::Result<Self> {
        let heads = SharedHeads::default();
        let socket = TargetSocket::new(stream, heads.clone());
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
            reused: false,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// There is no response. The connection can't be used any more and should be dropped.
    pub(super) async fn send(
        &mut self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        *self.heads.lock() = ResponseHeads::default();
        let heads = self.heads.clone();
        hyper::ext::on_informational(&mut req, move |_head| heads.lock().record_informational());
        match self.tx.try_send_request(req).await {
            // A protocol that nobody asked for.
            Ok(response) if response.status().is_informational() => {
                Err(SendFailure::WrongAnswer("a switch of protocols".into()))
            }
            Ok(response) => Ok(response),
            Err(mut err) => Err(match err.take_message() {
                Some(_unsent) => SendFailure::NotSent(err.into_error()),
                None => self.failure(err.into_error()),
            }),
        }
    }

    fn failure(&self, err: hyper::Error) -> SendFailure {
        if err.is_parse() || self.heads.lock().is_exceeded() {
            SendFailure::WrongAnswer(err.to_string().into())
        } else {
            SendFailure::Broken(err)
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
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
    pub(super) fn take(&self, id: &I) -> Option<Connection> {
        let mut idle_connections = self
            .idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let stack = idle_connections.get_mut(id)?;
        let now = Instant::now();
        while let Some(mut last) = stack.pop() {
            if now < last.expires_at && last.connection.tx.is_ready() {
                last.connection.reused = true;
                return Some(last.connection);
            }
        }
        None
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
