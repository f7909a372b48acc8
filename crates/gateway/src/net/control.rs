//! Serves the control address: copies of the store's state for peers; metrics, a state dump and quarantine
//! clearing for operators.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bluebellstage_core::{Revision, Time};
use bytes::Bytes;
use http::{Method, Response, StatusCode, request};
use serde::{Deserialize, Serialize};

use crate::decide::adapters::versions::Announcement;
use crate::decide::config::Config;
use crate::decide::evacuations::EvacuationsCopy;
use crate::decide::peers::Member;
use crate::decide::quarantine::{AgedDecision, Suspect};
use crate::decide::registry::RegistryCopy;
use crate::decide::tables::Tables;
use crate::edge::Edge;

use super::local_response::{ResponseBody, error_response, full_body};
use super::node::Node;
use super::quarantine;

/// Path of the state copy on the control address. A change of the copy's format changes the path, so that
/// instances of two releases never misread each other.
pub(super) const COPY_PATH: &str = "/peer/copy/7";

/// Path of the metrics, on the control address and on the metrics address.
const METRICS_PATH: &str = "/metrics";

/// Path on which operators clear the quarantine of a request; the query is the request's fingerprint.
const CLEAR_PATH: &str = "/quarantine/clear";

/// Path of the state dump on the control address.
const DUMP_PATH: &str = "/dump";

/// State that a peer already has, sent as the query of its request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KnownState {
    pub(super) config: Revision,
    /// Revision up to which the peer has all changes of targets.
    pub(super) targets: Revision,
    pub(super) targets_digest: u32,
    pub(super) versions: u64,
    /// Revision as of which the peer knows the evacuations.
    pub(super) evacuations: Revision,
    pub(super) decisions_digest: u64,
    /// Whether the peer knows the other instances.
    pub(super) members: bool,
}

impl fmt::Display for KnownState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let members = u8::from(self.members);
        let Self {
            config,
            targets,
            targets_digest,
            versions,
            evacuations,
            decisions_digest,
            ..
        } = self;
        write!(
            f,
            "{config}.{targets}.{targets_digest}.{versions}.{evacuations}.{decisions_digest}.{members}"
        )
    }
}

impl KnownState {
    /// Parses the query. Missing or malformed parts count as zero, so the peer gets that state.
    fn parse(query: &str) -> Self {
        let mut parts = query
            .split('.')
            .map(|part| part.parse::<u64>().unwrap_or(0));
        let mut next = || parts.next().unwrap_or(0);
        Self {
            config: Revision(next()),
            targets: Revision(next()),
            targets_digest: u32::try_from(next()).unwrap_or(0),
            versions: next(),
            evacuations: Revision(next()),
            decisions_digest: next(),
            members: next() > 0,
        }
    }
}

/// State of the store as an instance knows it, for peers that do not follow the store. Parts that the
/// peer already has are left out.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(super) struct StateCopy {
    pub(super) config: Option<Config>,
    pub(super) targets: Option<RegistryCopy>,
    pub(super) versions: Vec<Announcement>,
    pub(super) evacuations: Option<EvacuationsCopy>,
    pub(super) decisions: Vec<AgedDecision>,
    pub(super) members: Vec<Member>,
}

/// Serves a request on the control address.
pub(super) fn respond<E: Edge>(
    node: &Arc<Node<E>>,
    head: &request::Parts,
) -> Response<ResponseBody> {
    if head.uri.path() == METRICS_PATH {
        let connections = node.connections.load(Ordering::Relaxed);
        if let Some(memory) = &node.memory {
            node.metrics.memory.record(&memory.dump());
        }
        let tables = node.tables();
        let text = node.metrics.text(&tables, connections, node.now());
        return Response::new(full_body(Bytes::from(text)));
    }
    if head.uri.path() == DUMP_PATH {
        let mut dump = node.tables().dump(node.now());
        dump.memory = node.memory.as_ref().map(|memory| memory.dump());
        return match serde_json::to_vec(&dump) {
            Ok(body) => Response::new(full_body(Bytes::from(body))),
            Err(err) => failed(node, &err),
        };
    }
    if head.uri.path() == CLEAR_PATH {
        return clear(node, head);
    }
    if head.uri.path() != COPY_PATH {
        return error_response(&node.protocol, StatusCode::NOT_FOUND, "no such call", None);
    }
    let known = KnownState::parse(head.uri.query().unwrap_or(""));
    let copy = build_copy(&node.tables(), known, node.now());
    match bincode::serialize(&copy) {
        Ok(body) => Response::new(full_body(Bytes::from(body))),
        Err(err) => failed(node, &err),
    }
}

/// Clears the quarantine of a request that is rejected because targets crashed under it.
fn clear<E: Edge>(node: &Arc<Node<E>>, head: &request::Parts) -> Response<ResponseBody> {
    let reply = |status, message: &str| error_response(&node.protocol, status, message, None);
    if head.method != Method::POST {
        return reply(StatusCode::METHOD_NOT_ALLOWED, "use POST");
    }
    let query = head.uri.query().unwrap_or("");
    let request = match query.parse::<Suspect>() {
        Ok(request) => request,
        Err(err) => return reply(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    if quarantine::clear(node, request) {
        reply(StatusCode::OK, "it is sent to targets again")
    } else {
        reply(
            StatusCode::NOT_FOUND,
            "no request of this fingerprint is refused",
        )
    }
}

fn failed<E: Edge>(node: &Node<E>, err: &dyn fmt::Display) -> Response<ResponseBody> {
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    error_response(&node.protocol, status, &err.to_string(), None)
}

fn build_copy(tables: &Tables, known: KnownState, now: Time) -> StateCopy {
    let config = tables.routes.version() > known.config;
    let knows_no_targets = known.targets == Revision::default();
    let targets = knows_no_targets || tables.registry.digest() != known.targets_digest;
    let versions = tables.versions.total() > known.versions;
    let mut copy = StateCopy::default();
    if config {
        copy.config = Some(tables.routes.config().as_ref().clone());
    }
    if targets {
        let mut registry = tables.registry.copy_since(known.targets, now);
        // Resident adapters change all the time, and the engine's loader publishes them. Only a starting
        // instance, which has received no updates yet, gets them here.
        let is_starting = known.targets == Revision::default();
        for (_, target) in &mut registry.targets {
            target.adapters.clear();
            if is_starting {
                target
                    .adapters
                    .extend(tables.residency.adapters_at(&target.id));
            }
        }
        copy.targets = Some(registry);
    }
    if versions {
        copy.versions = tables.versions.all(now).collect();
    }
    if tables.evacuations.version().revision > known.evacuations {
        copy.evacuations = tables.evacuations.copy(now);
    }
    if tables.quarantine.digest() != known.decisions_digest {
        copy.decisions = tables.quarantine.decisions(now).collect();
    }
    if !known.members {
        let peers = tables.peers.all().map(|peer| peer.member.clone());
        copy.members = peers.chain([tables.local.clone()]).collect();
    }
    copy
}
