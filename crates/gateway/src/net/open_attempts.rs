//! Attempts of a request that have not ended. One whose target is silent goes on while another target is looked for.

use std::fmt;
use std::pin::Pin;

use bluebellstage_core::{InstanceId, TargetId, Time};
use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::edge::Edge;

use super::attempt::Attempt;
use super::peer_exchange::PeerAttempt;

/// To whom an attempt was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Recipient {
    Target(TargetId),
    Peer(InstanceId),
}

impl Recipient {
    /// Its name for the log.
    pub(super) fn as_str(&self) -> &str {
        match self {
            Self::Target(target) => target.as_str(),
            Self::Peer(peer) => peer.as_str(),
        }
    }
}

/// Counts of a request's attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct AttemptCounts {
    /// Those that ran or may have run.
    pub(super) runs: u32,
    /// Those that reached targets or may have.
    pub(super) sends: u32,
}

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
        /// The attempts before it was forwarded.
        before: AttemptCounts,
        /// The target as whose owner the peer got it.
        owned: Option<TargetId>,
        attempt: PeerAttempt<E>,
    },
}

impl<E: Edge> EndedAttempt<E> {
    /// Whether it was sent to this recipient.
    pub(super) fn is_of(&self, recipient: &Recipient) -> bool {
        match (self, recipient) {
            (Self::AtTarget { target, .. }, Recipient::Target(recipient)) => target == recipient,
            (Self::AtPeer { peer, .. }, Recipient::Peer(recipient)) => peer == recipient,
            _ => false,
        }
    }
}

/// The rest of an attempt. Dropping it closes the attempt's connection.
pub(super) type RunningAttempt<E> = Pin<Box<dyn Future<Output = EndedAttempt<E>> + Send>>;

/// An attempt that was sent.
pub(super) struct SentAttempt<E: Edge> {
    pub(super) recipient: Recipient,
    pub(super) sent: Time,
    pub(super) running: RunningAttempt<E>,
}

/// The attempts of a request that have not ended.
pub(super) struct OpenAttempts<E: Edge>(FuturesUnordered<RunningAttempt<E>>);

impl<E: Edge> Default for OpenAttempts<E> {
    fn default() -> Self {
        Self(FuturesUnordered::new())
    }
}

impl<E: Edge> fmt::Debug for OpenAttempts<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("OpenAttempts").field(&self.0.len()).finish()
    }
}

impl<E: Edge> OpenAttempts<E> {
    pub(super) fn push(&self, attempt: RunningAttempt<E>) {
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
