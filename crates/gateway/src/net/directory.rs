//! Tells callers which addresses to use, and the platform whether the instance is ready.

use std::net::SocketAddr;

use bluebellstage_core::Time;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::decide::tables::Tables;
use crate::edge::{Edge, Protocol};

use super::node::Node;
use super::refuse::{AnswerBody, answer as own_answer, spread_retry_after, whole};

/// Most addresses in an answer; callers take no more.
const MOST_ADDRESSES: usize = 64;

/// Answers a question of a caller or the platform.
pub(super) fn answer<E: Edge>(node: &Node<E>, req: &Request<Incoming>) -> Response<AnswerBody> {
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
        return own_answer(&node.protocol, status, "readiness", None);
    }
    let Some(domain) = node.protocol.is_resolve(&parts) else {
        return own_answer(&node.protocol, StatusCode::NOT_FOUND, "no such call", None);
    };
    let addresses = addresses(&node.tables(), domain.as_deref(), node.now());
    if addresses.is_empty() {
        let after = Some(spread_retry_after());
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return own_answer(&node.protocol, status, "no instance is ready", after);
    }
    let keep = node.terms().keep_addresses;
    let mut res = Response::new(whole(node.protocol.resolved(&addresses, keep)));
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Addresses of the ready instances in the caller's failure domain; of all if there are none.
///
/// A caller that connects within its failure domain pays no bytes between them.
fn addresses(tables: &Tables, domain: Option<&str>, now: Time) -> Vec<SocketAddr> {
    let own = tables.ready().then_some(&tables.local);
    let peers = tables.peers.live(now).filter(|peer| peer.ready);
    let all = own
        .into_iter()
        .chain(peers.map(|peer| &peer.member))
        .collect::<Vec<_>>();
    let near = all
        .iter()
        .filter(|member| Some(member.failure_domain.as_str()) == domain)
        .map(|member| member.front);
    let mut near = near.take(MOST_ADDRESSES).collect::<Vec<_>>();
    if near.is_empty() {
        near = all
            .iter()
            .map(|member| member.front)
            .take(MOST_ADDRESSES)
            .collect();
    }
    near
}
