//! One exchange with a target: a request, and the head of its response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::TargetId;
use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::decide::call::{Call, Forward};
use crate::decide::owner::Way;
use crate::decide::retry_budget::RetryCause;
use crate::edge::{Edge, Protocol};

use super::attempt::{Failure, Reuse, SendParams};
use super::node::Node;
use super::pool::{Answer, Connection, SendFailure};
use super::retries::take_retry;
use super::target_connection::open;

/// Timeout for a connection. If the target's accept queue is full, the SYN is resent only after a second.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time within which a connection that was closed when a request was in transit ends. Later, the request has begun to
/// run, and its target must not be given the same time again.
const MAX_TRANSIT: Duration = Duration::from_millis(100);

/// What an exchange led to.
pub(super) enum Exchange {
    Response(Box<response::Parts>, Incoming, Connection),
    Unreachable,
    Failed(Failure),
}

impl Exchange {
    /// Short name for metrics.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::Response(..) => "answer",
            Self::Unreachable => "unreachable",
            Self::Failed(Failure::Broken) => "broken",
            Self::Failed(Failure::Silent) => "silent",
            Self::Failed(Failure::Outdated) => "outdated",
            Self::Failed(Failure::WrongAnswer) => "wrong_answer",
            Self::Failed(Failure::TooLong) => "too_long",
            Self::Failed(Failure::Quarantined) => "quarantined",
        }
    }
}

impl From<Result<Answer, SendFailure>> for Exchange {
    fn from(sent: Result<Answer, SendFailure>) -> Self {
        match sent {
            Ok((response, connection)) => {
                let (parts, body) = response.into_parts();
                Self::Response(Box::new(parts), body, connection)
            }
            Err(SendFailure::NotSent(_)) => Self::Unreachable,
            Err(SendFailure::Broken(_) | SendFailure::Ended(_)) => Self::Failed(Failure::Broken),
            Err(SendFailure::WrongAnswer(_)) => Self::Failed(Failure::WrongAnswer),
        }
    }
}

/// Sends a request to a target, on a kept connection if it may, and waits for the head of the response.
pub(super) async fn exchange<E: Edge>(
    node: &Arc<Node<E>>,
    target: &TargetId,
    address: SocketAddr,
    params: SendParams<'_>,
    forward: &Forward<'_>,
) -> Exchange {
    let started = node.now();
    let req = target_request(node, params, forward);
    let sent = if params.reuse == Reuse::Never {
        Err(SendFailure::NotSent(Box::new(req)))
    } else {
        node.pool.send(target, req).await
    };
    match sent {
        Err(SendFailure::NotSent(req)) => {
            match open(node, target, address, CONNECT_TIMEOUT).await {
                Ok(connection) => connection.send(*req).await.into(),
                Err(_unreachable) => Exchange::Unreachable,
            }
        }
        Err(SendFailure::Ended(_))
            if params.reuse == Reuse::Repeat && node.now().since(started) < MAX_TRANSIT =>
        {
            repeat(node, target, address, params, forward).await
        }
        sent => sent.into(),
    }
}

/// Sends a request again to a target that closed its connection when the request was in transit, if the target still
/// takes connections and the retry budget allows it: the request may have run.
async fn repeat<E: Edge>(
    node: &Arc<Node<E>>,
    target: &TargetId,
    address: SocketAddr,
    params: SendParams<'_>,
    forward: &Forward<'_>,
) -> Exchange {
    let Ok(connection) = open(node, target, address, CONNECT_TIMEOUT).await else {
        return Exchange::Failed(Failure::Broken);
    };
    if !may_repeat(node, target, params.call) {
        node.pool.put(target, connection, None);
        return Exchange::Failed(Failure::Broken);
    }
    node.metrics.attempt_ended("ended_idle");
    let req = target_request(node, params, forward);
    match connection.send(req).await.into() {
        Exchange::Unreachable => Exchange::Failed(Failure::Broken),
        ended => ended,
    }
}

/// Whether a request may be sent once more to the target that it was sent to, which may refuse it.
fn may_repeat<E: Edge>(node: &Node<E>, target: &TargetId, call: &Call) -> bool {
    let service = node
        .tables()
        .registry
        .get(target)
        .map(|known| known.service.clone());
    let is_within_budget =
        service.is_some_and(|service| take_retry(node, &service, &call.id, RetryCause::Ended));
    let now = node.now();
    is_within_budget && matches!(node.tables().way_to(target, now), Way::Direct { .. })
}

fn target_request<E: Edge>(
    node: &Node<E>,
    params: SendParams<'_>,
    forward: &Forward<'_>,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(params.body.clone()));
    *req.method_mut() = params.head.method.clone();
    *req.uri_mut() = params.head.uri.clone();
    *req.headers_mut() = node.protocol.forward_headers(params.head, forward);
    req
}
