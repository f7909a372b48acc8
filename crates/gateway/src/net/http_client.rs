//! HTTP client for short requests to the store, engines and peers.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::decide::target::Target;
use crate::edge::Edge;
use crate::error::GatewayError;

use super::node::Node;
use super::paths::record_answer;
use super::pool::{BUF_SIZE, Connection, SendFailure};
use super::response_head::{ResponseSender, record_response_head};
use super::sockets::connect;
use super::target_connection;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// What a response may take.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time to the end of the body, from the opening of the connection.
    pub timeout: Duration,
}

fn failed(address: SocketAddr, cause: &dyn fmt::Display) -> GatewayError {
    GatewayError::Exchange {
        address,
        cause: cause.to_string().into(),
    }
}

async fn open(address: SocketAddr) -> Result<Connection, GatewayError> {
    let stream = connect(address, CONNECT_TIMEOUT).await;
    let stream = stream.map_err(|err| failed(address, &err))?;
    let connection = Connection::handshake(stream, BUF_SIZE).await;
    connection.map_err(|err| failed(address, &err))
}

async fn read(
    address: SocketAddr,
    response: Response<Incoming>,
    max_bytes: usize,
) -> Result<Response<Bytes>, GatewayError> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map_err(|err| failed(address, &err))?;
    Ok(Response::from_parts(head, body.to_bytes()))
}

/// Sends a request on a new connection and reads the complete response.
///
/// # Errors
///
/// The connection fails, or the response is incomplete or exceeds the limits.
pub async fn call(
    address: SocketAddr,
    req: Request<Bytes>,
    limits: ResponseLimits,
) -> Result<Response<Bytes>, GatewayError> {
    let until = Instant::now() + limits.timeout;
    let calling = async {
        let connection = open(address).await?;
        let sent = connection.send(req.map(Full::new)).await;
        sent.map_err(|err| failed(address, &err))
    };
    let sent = tokio::time::timeout_at(until, calling).await;
    let (response, _connection) = sent.map_err(|elapsed| failed(address, &elapsed))??;
    let unread = |cause: &dyn fmt::Display| GatewayError::Unread {
        address,
        cause: cause.to_string().into(),
    };
    let (head, body) = response.into_parts();
    let body = Limited::new(body, limits.body_bytes).collect();
    let body = tokio::time::timeout_at(until, body).await;
    let body = body.map_err(|elapsed| unread(&elapsed))?;
    let body = body.map_err(|err| unread(&err))?;
    Ok(Response::from_parts(head, body.to_bytes()))
}

/// Sends a request to a target, on a pooled connection if there is one.
pub(super) async fn call_target<E: Edge>(
    node: &Node<E>,
    target: &Target,
    req: Request<Bytes>,
    limits: ResponseLimits,
) -> Result<Response<Bytes>, GatewayError> {
    let started = node.now();
    let calling = async {
        let sent = node.pool.send(&target.id, req.map(Full::new)).await;
        let sent = match sent {
            Err(SendFailure::NotSent(req)) => {
                let opened =
                    target_connection::open(node, &target.id, target.address, CONNECT_TIMEOUT)
                        .await;
                let connection = opened.map_err(|err| failed(target.address, &err))?;
                connection.send(*req).await
            }
            sent => sent,
        };
        let (response, connection) = sent.map_err(|err| failed(target.address, &err))?;
        let res = read(target.address, response, limits.body_bytes).await?;
        let (head, body) = res.into_parts();
        record_answer(node, &target.id, node.now());
        record_response_head(node, ResponseSender::of(target), &head, started);
        node.pool.put(&target.id, connection, None);
        Ok(Response::from_parts(head, body))
    };
    let result = tokio::time::timeout(limits.timeout, calling).await;
    result.map_err(|elapsed| failed(target.address, &elapsed))?
}
