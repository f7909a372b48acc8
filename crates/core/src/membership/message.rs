//! Heartbeats and maps between instances.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Map, Revision};

/// What membership says to a peer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum MembershipMessage {
    /// A heartbeat; it doubles as the answer to the peer's own.
    Heartbeat {
        /// The sender's life.
        incarnation: Incarnation,
        /// Rises with each heartbeat of this life.
        sequence: u64,
        /// The newest map that the sender has adopted.
        map: Revision,
        /// The newest catalogue revision that the sender has in force.
        catalogue: Revision,
        /// The receiver's life that `echo` is about.
        echo_incarnation: Incarnation,
        /// The newest sequence received from the receiver; zero for none.
        echo: u64,
    },
    /// A map, pushed to a peer that knows only an older one.
    Push(Box<Map>),
}
