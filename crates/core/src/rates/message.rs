//! Messages between a workspace's owner and the borrowers of its shares.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Action, Cx, InstanceId, PeerMessage, RequestId, Revision, Tokens, WorkspaceId};

use super::share::{MicroTokens, Share};

/// A message about shares. The receiver ignores it unless both ends are at the same map revision.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RatesMessage {
    /// Map revision of the sender. It also identifies the incarnations of both ends.
    pub revision: Revision,
    /// Content of the message.
    pub body: RatesBody,
}

impl RatesMessage {
    pub(super) fn send(self, cx: &mut Cx<'_>, to: &InstanceId) {
        cx.out.push(Action::Send {
            to: to.clone(),
            message: Box::new(PeerMessage::Rates(self)),
        });
    }
}

/// Content of a [`RatesMessage`].
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum RatesBody {
    /// To an owner, once per map revision: all shares of its workspaces that the sender holds.
    Holdings(Vec<Holding>),
    /// Acknowledges `Holdings`.
    HoldingsAcknowledged,
    /// Concerns one workspace.
    Workspace {
        /// Workspace name.
        workspace: WorkspaceId,
        /// Content for this workspace.
        item: ShareItem,
    },
}

/// A share of a workspace held by an instance.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Holding {
    /// Workspace name.
    pub workspace: WorkspaceId,
    /// Share held.
    pub share: Share,
    /// Demand at this instance, in microtokens per second.
    pub demand: u64,
}

/// Content of a message between owner and borrower about one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub enum ShareItem {
    /// To the owner: the sender needs more tokens.
    Borrow {
        /// Demand at the sender, in microtokens per second.
        demand: u64,
        /// Tokens that the sender's waiting requests lack.
        shortfall: MicroTokens,
        /// Smallest share whose burst can hold the sender's first waiting request.
        min_share: Share,
    },
    /// From the owner: no share is available now.
    Denied,
    /// From the owner: return the share that the receiver can spare.
    Recall {
        /// Maximum share to return.
        share: Share,
        /// Tokens to return with it, as far as the share can hold them.
        tokens: MicroTokens,
        /// Demand at all other instances, in microtokens per second.
        other_demand: u64,
        /// Share set aside for one large request.
        reserved: Share,
    },
    /// From a borrower: it can spare nothing.
    RecallDeclined {
        /// Demand at the sender, in microtokens per second.
        demand: u64,
    },
    /// Moves a share and its tokens, in either direction.
    Transfer {
        /// Sequence number in its direction under this revision, from 1.
        sequence: u64,
        /// Share moved.
        share: Share,
        /// Tokens moved with the share.
        tokens: MicroTokens,
        /// Demand at the sender, in microtokens per second.
        demand: u64,
    },
    /// Acknowledges a transfer.
    TransferAcknowledged {
        /// Sequence number of the transfer.
        sequence: u64,
    },
    /// Baseline with one round trip per request: asks the owner to charge a request.
    Charge {
        /// Request to charge.
        request: RequestId,
        /// Tokens to charge.
        tokens: Tokens,
    },
    /// Response to `Charge`: the request is charged, or tokens are missing for the given time.
    Charged {
        /// Request to charge.
        request: RequestId,
        /// Time until the charge would fit; `None` if the request is charged.
        wait: Option<Duration>,
    },
}

/// State of a workspace at one instance, as shown in its dump.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WorkspaceShare {
    /// Workspace name.
    pub workspace: WorkspaceId,
    /// Share held at this instance.
    pub share: Share,
    /// Tokens available now.
    pub tokens: MicroTokens,
    /// Number of requests waiting at this instance.
    pub waiting: usize,
    /// At the owner: total share lent to other instances, including transfers on their way to them.
    pub lent: Share,
}
