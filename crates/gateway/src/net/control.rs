//! Gives peers a copy of what the store told.

use bluebellstage_core::Revision;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::decide::adapter::AdapterAt;
use crate::decide::config::Config;
use crate::decide::peers::Member;
use crate::decide::target::Target;
use crate::edge::Edge;

use super::node::Node;
use super::refuse::{AnswerBody, answer as own_answer, whole};

/// Path of the copy on the control address.
pub(super) const COPY_PATH: &str = "/peer/copy";

/// Query that names the version of the configuration that the peer has.
pub(super) const HAVE_CONFIG: &str = "config=";

/// What the store told an instance, for peers that the store turns away.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Copy {
    pub(super) config: Option<Config>,
    pub(super) targets: Vec<Target>,
    pub(super) targets_revision: Revision,
    pub(super) versions: Vec<AdapterAt>,
    pub(super) members: Vec<Member>,
}

/// Answers a peer.
pub(super) fn answer<E: Edge>(node: &Node<E>, req: &Request<Incoming>) -> Response<AnswerBody> {
    if req.uri().path() != COPY_PATH {
        return own_answer(&node.protocol, StatusCode::NOT_FOUND, "no such call", None);
    }
    let copy = {
        let tables = node.tables();
        let newer = tables.routes.version() > peers_version(req);
        let config = newer.then(|| tables.routes.config().as_ref().clone());
        let peers = tables.peers.all().map(|peer| peer.member.clone());
        Copy {
            config,
            targets: tables.registry.all().map(without_adapters).collect(),
            targets_revision: tables.registry.revision(),
            versions: tables.versions.all().collect(),
            members: peers.chain([tables.me.clone()]).collect(),
        }
    };
    match serde_json::to_vec(&copy) {
        Ok(body) => Response::new(whole(Bytes::from(body))),
        Err(err) => own_answer(
            &node.protocol,
            StatusCode::INTERNAL_SERVER_ERROR,
            &err.to_string(),
            None,
        ),
    }
}

fn peers_version(req: &Request<Incoming>) -> Revision {
    let query = req.uri().query().unwrap_or("");
    let version = query.strip_prefix(HAVE_CONFIG);
    version
        .and_then(|version| version.parse().ok())
        .unwrap_or_default()
}

/// What an engine holds changes all the time, and its loader tells it.
fn without_adapters(target: &Target) -> Target {
    Target {
        adapters: Vec::new(),
        ..target.clone()
    }
}
