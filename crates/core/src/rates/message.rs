//! What a workspace's home and the borrowers of its shares say to each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Action, Cx, InstanceId, PeerMessage, RequestId, Revision, Tokens, WorkspaceId};

use super::share::{MicroTokens, Share};

/// A message about shares; it counts only under the map revision that both ends are at.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RatesMessage {
    /// The sender's map revision. It also says which lives the two ends are.
    pub revision: Revision,
    /// What is said.
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

/// Shares of a workspace's rate on their way between home and borrower.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum RatesBody {
    /// To a home, once for each map revision: all that the sender holds of its workspaces.
    Holdings(Vec<Holding>),
    /// The holdings are noted.
    HoldingsNoted,
    /// About one workspace.
    Workspace {
        /// Which workspace.
        workspace: WorkspaceId,
        /// What about it.
        item: ShareItem,
    },
}

/// What an instance holds of a workspace.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Holding {
    /// Which workspace.
    pub workspace: WorkspaceId,
    /// How much of it.
    pub share: Share,
    /// Microtokens a second asked for there.
    pub demand: u64,
}

/// What home and borrower say about one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub enum ShareItem {
    /// To the home: the sender runs short.
    Ask {
        /// Microtokens a second asked for at the sender.
        demand: u64,
        /// Tokens that it lacks for what waits.
        short: MicroTokens,
        /// The share that can hold what waits.
        cover: Share,
    },
    /// From the home: there is nothing more to be had now.
    Denied,
    /// From the home: give back what you can spare.
    Recall {
        /// At most this much of the share.
        share: Share,
        /// These tokens with it, if the share can hold them.
        tokens: MicroTokens,
        /// Microtokens a second asked for at all other instances.
        others: u64,
        /// Part of the whole to be set aside for one large request.
        reserved: Share,
    },
    /// From a borrower that can spare nothing.
    Kept {
        /// Microtokens a second asked for at the sender.
        demand: u64,
    },
    /// A share and its tokens change hands, in either direction.
    Transfer {
        /// Number of the transfer in its direction under this revision, from 1.
        sequence: u64,
        /// How much of the workspace.
        share: Share,
        /// The tokens it holds.
        tokens: MicroTokens,
        /// Microtokens a second asked for at the sender.
        demand: u64,
    },
    /// A transfer is taken.
    Taken {
        /// Its number.
        sequence: u64,
    },
    /// Baseline of a round trip per request: charge this at the home.
    Charge {
        /// Which request.
        request: RequestId,
        /// How much.
        tokens: Tokens,
    },
    /// Answer to `Charge`: charged, or short for this time.
    Charged {
        /// Which request.
        request: RequestId,
        /// How long until it would fit; none if it is charged.
        short: Option<Duration>,
    },
}

/// What an instance holds of a workspace, as its dump shows it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WorkspaceShare {
    /// Which workspace.
    pub workspace: WorkspaceId,
    /// The share held here.
    pub share: Share,
    /// Tokens to spend now.
    pub tokens: MicroTokens,
    /// Requests waiting here.
    pub waiting: usize,
    /// As home: what is lent to others, including what is on its way to them.
    pub lent: Share,
}
