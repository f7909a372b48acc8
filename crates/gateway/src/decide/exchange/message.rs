//! Messages that instances exchange about their state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::decide::limits::LimitReport;
use crate::decide::peers::Member;
use crate::decide::relay_update::{RelayUpdate, Roster};
use crate::decide::rendezvous::ShortHash;
use crate::decide::status::Status;

/// A datagram of the exchange.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Message {
    /// State of the sender.
    Status {
        /// The state.
        status: Box<Status>,
        /// Updates that the sender requests from the receiver.
        update_request: UpdateRequest,
    },
    /// States of instances in the sender's failure domain, from one relay to another.
    Statuses(Vec<Status>),
    /// An update for a subscriber.
    Update(Box<RelayUpdate>),
    /// Requests the relay's roster, because the receiver of an update does not have it.
    RosterRequest,
    /// The roster to which the sender's updates refer.
    Roster(Roster),
    /// Limits that targets reported.
    Limits(Vec<LimitReport>),
    /// Registration of an instance.
    MemberInfo(Box<Member>),
    /// Requests the sender's registration, after a message from an unknown instance.
    SenderInfoRequest,
    /// Requests the registrations of instances that the receiver mentioned.
    MemberInfoRequest(Vec<ShortHash>),
}

impl Message {
    /// Label of the message in metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Status { .. } => "own",
            Self::Statuses(_) => "statuses",
            Self::Update(_) => "news",
            Self::Limits(_) => "limits",
            Self::RosterRequest | Self::Roster(_) => "roster",
            Self::MemberInfo(_) | Self::SenderInfoRequest | Self::MemberInfoRequest(_) => {
                "introduction"
            }
        }
    }
}

/// What an instance requests from the receiver of its status.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum UpdateRequest {
    /// No updates.
    None,
    /// Updates with the counts that changed recently.
    Changes,
    /// Updates with all counts, including unchanged ones, for a new subscriber that has none to
    /// compare with.
    Full,
}

/// A message and its recipients.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// Addresses of the recipients.
    pub to: Vec<SocketAddr>,
    /// The message.
    pub message: Message,
}

/// Wraps a status and a request for updates in a message.
pub(super) fn status_message(status: Status, update_request: UpdateRequest) -> Message {
    Message::Status {
        status: Box::new(status),
        update_request,
    }
}
