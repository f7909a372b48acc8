//! Serves address lookups of callers and readiness checks of the platform.

use std::net::SocketAddr;

use bluebellstage_core::Time;
use http::{HeaderValue, Response, StatusCode, header, request};

use crate::decide::tables::Tables;
use crate::edge::{Edge, Protocol};

use super::local_response::{ResponseBody, error_response, full_body, spread_retry_after};
use super::node::Node;

/// Max number of addresses in a response; callers ignore any more.
const MAX_ADDRESSES: usize = 64;

/// Serves an address lookup or a readiness check.
pub(super) fn respond<E: Edge>(node: &Node<E>, head: &request::Parts) -> Response<ResponseBody> {
    if node.protocol.is_readiness(head) {
        let ready = node.tables().ready();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return error_response(&node.protocol, status, "readiness", None);
    }
    let Some(failure_domain) = node.protocol.is_resolve(head) else {
        return error_response(&node.protocol, StatusCode::NOT_FOUND, "no such call", None);
    };
    let addresses = addresses(&node.tables(), failure_domain.as_deref(), node.now());
    if addresses.is_empty() {
        let after = Some(spread_retry_after());
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return error_response(&node.protocol, status, "no instance is ready", after);
    }
    let ttl = node.reloadable_settings().address_ttl;
    let mut res = Response::new(full_body(node.protocol.resolve_body(&addresses, ttl)));
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Returns the addresses of the instances that the caller should use, if possible in its failure domain.
///
/// Traffic within a failure domain costs the caller nothing; traffic between failure domains is charged.
fn addresses(tables: &Tables, failure_domain: Option<&str>, now: Time) -> Vec<SocketAddr> {
    let instances = tables.instances_for(failure_domain, now);
    let addresses = instances.into_iter().map(|member| member.front);
    addresses.take(MAX_ADDRESSES).collect()
}
