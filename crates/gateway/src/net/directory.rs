//! Tells callers which addresses to use, and the platform whether the instance is ready.

use std::net::SocketAddr;

use bluebellstage_core::Time;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::decide::tables::Tables;
use crate::edge::{Edge, Protocol};

use super::local_response::{ResponseBody, error_response, full_body, spread_retry_after};
use super::node::Node;

/// Most addresses in an answer; callers take no more.
const MAX_ADDRESSES: usize = 64;

/// Answers a question of a caller or the platform.
pub(super) fn respond<E: Edge>(node: &Node<E>, req: &Request<Incoming>) -> Response<ResponseBody> {
    let (parts, ()) = {
        let mut head = Request::new(());
        *head.method_mut() = req.method().clone();
        *head.uri_mut() = req.uri().clone();
        head.into_parts()
    };
    if node.protocol.is_readiness(&parts) {
        let ready = node.tables().ready();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return error_response(&node.protocol, status, "readiness", None);
    }
    let Some(failure_domain) = node.protocol.is_resolve(&parts) else {
        return error_response(&node.protocol, StatusCode::NOT_FOUND, "no such call", None);
    };
    let addresses = addresses(&node.tables(), failure_domain.as_deref(), node.now());
    if addresses.is_empty() {
        let after = Some(spread_retry_after());
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return error_response(&node.protocol, status, "no instance is ready", after);
    }
    let ttl = node.terms().address_ttl;
    let mut res = Response::new(full_body(node.protocol.resolve_body(&addresses, ttl)));
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Addresses of the ready instances in the caller's failure domain; of all if there are none.
///
/// A caller that connects within its failure domain pays no bytes between them.
fn addresses(tables: &Tables, failure_domain: Option<&str>, now: Time) -> Vec<SocketAddr> {
    let local = tables.ready().then_some(&tables.local);
    let peers = tables.peers.live(now).filter(|peer| peer.ready);
    let all = local
        .into_iter()
        .chain(peers.map(|peer| &peer.member))
        .collect::<Vec<_>>();
    let nearby = all
        .iter()
        .filter(|member| Some(member.failure_domain.as_str()) == failure_domain)
        .map(|member| member.front);
    let mut nearby = nearby.take(MAX_ADDRESSES).collect::<Vec<_>>();
    if nearby.is_empty() {
        nearby = all
            .iter()
            .map(|member| member.front)
            .take(MAX_ADDRESSES)
            .collect();
    }
    nearby
}
