//! Whether a peer is expected to answer a request that was forwarded to it.

use std::time::Duration;

use bluebellstage_core::{InstanceId, ServiceId};

use crate::edge::Edge;

use super::node::Node;

/// Interval of the checks whether the peer is still live.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Why a peer is not expected to answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PeerDoubt {
    /// It was killed, or is suspended or partitioned from this instance.
    Down,
    /// It reports that it can't reach the service's targets either.
    PathLost,
}

impl PeerDoubt {
    /// Short name for the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Down => "peer_down",
            Self::PathLost => "peer_path_lost",
        }
    }
}

/// Returns when a peer is not expected to answer a request for a service any more.
pub(super) async fn until_doubted<E: Edge>(
    node: &Node<E>,
    peer: &InstanceId,
    service: &ServiceId,
) -> PeerDoubt {
    loop {
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
        let now = node.now();
        let tables = node.tables();
        if !tables.peers.is_live(peer, now) {
            return PeerDoubt::Down;
        }
        if tables.has_peer_lost(service, peer, now) {
            return PeerDoubt::PathLost;
        }
    }
}
