//! What instances tell each other, and whom.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::decide::limits::LimitReport;
use crate::decide::news::{News, Roster};
use crate::decide::peers::Member;
use crate::decide::rendezvous::ShortHash;
use crate::decide::status::Status;

/// A datagram of the exchange.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Message {
    /// How the sender is.
    Own {
        /// Its state.
        status: Box<Status>,
        /// What it asks the receiver for.
        asks: Asks,
    },
    /// How instances of the sender's failure domain are, from one relay to another.
    Statuses(Vec<Status>),
    /// News for an instance that asked.
    News(Box<News>),
    /// The order of instances that news go by is not known.
    RosterWanted,
    /// The order of instances that the sender's news go by.
    Roster(Roster),
    /// What targets said of their limits.
    Limits(Vec<LimitReport>),
    /// Who an instance is.
    Introduction(Box<Member>),
    /// A status came from somebody unknown: who is it?
    WhoIsThere,
    /// The receiver told of these: who are they?
    WhoAre(Vec<ShortHash>),
}

impl Message {
    /// A short name, for metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Own { .. } => "own",
            Self::Statuses(_) => "statuses",
            Self::News(_) => "news",
            Self::Limits(_) => "limits",
            Self::RosterWanted | Self::Roster(_) => "roster",
            Self::Introduction(_) | Self::WhoIsThere | Self::WhoAre(_) => "introduction",
        }
    }
}

/// What an instance asks another one for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Asks {
    /// Nothing.
    Nothing,
    /// News.
    News,
    /// News with all counts, also of what did not change lately: it has none to compare with.
    AllNews,
}

/// A message and whom it goes to.
#[derive(Clone, Debug)]
pub struct Telling {
    /// Addresses of the receivers.
    pub to: Vec<SocketAddr>,
    /// What is told.
    pub message: Message,
}

/// A status with a question.
pub(super) fn own(status: Status, asks: Asks) -> Message {
    Message::Own {
        status: Box::new(status),
        asks,
    }
}
