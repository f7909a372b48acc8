//! Attempts that have not ended. One whose target is silent goes on while another target is looked for.

use std::fmt;
use std::pin::Pin;

use bluebellstage_core::{InstanceId, TargetId, Time};
use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::edge::Edge;

use super::attempt::Attempt;
use super::peer_forwarding::PeerAttempt;

/// How an attempt ended.
pub(super) enum EndedAttempt<E: Edge> {
    /// It was sent to a target.
    AtTarget {
        target: TargetId,
        sent: Time,
        attempt: Attempt<E>,
    },
    /// It was forwarded to a peer.
    AtPeer {
        peer: InstanceId,
        attempt: PeerAttempt<E>,
    },
}

/// An attempt that has not ended. Dropping it closes its connection.
pub(super) type OpenAttempt<E> = Pin<Box<dyn Future<Output = EndedAttempt<E>> + Send>>;

/// Attempts whose targets or peers are silent.
pub(super) struct SilentAttempts<E: Edge>(FuturesUnordered<OpenAttempt<E>>);

impl<E: Edge> Default for SilentAttempts<E> {
    fn default() -> Self {
        Self(FuturesUnordered::new())
    }
}

impl<E: Edge> fmt::Debug for SilentAttempts<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("SilentAttempts")
            .field(&self.0.len())
            .finish()
    }
}

impl<E: Edge> SilentAttempts<E> {
    pub(super) fn push(&self, attempt: OpenAttempt<E>) {
        self.0.push(attempt);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the attempt that ends first; `None` at once if there is none.
    pub(super) async fn next(&mut self) -> Option<EndedAttempt<E>> {
        self.0.next().await
    }
}
