//! Heartbeats and maps between instances.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, InstanceId, Map, Revision};

/// What membership says to a peer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum MembershipMessage {
    /// A heartbeat; it doubles as the answer to the peer's own.
    Heartbeat(Heartbeat),
    /// A map, pushed to a peer that knows only an older one.
    Push(Box<Map>),
}

/// A heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The sender's life.
    pub incarnation: Incarnation,
    /// Rises with each heartbeat of this life.
    pub sequence: u64,
    /// The newest map that the sender has adopted.
    pub map: Revision,
    /// The newest catalogue revision that the sender has in force.
    pub catalogue: Revision,
    /// The receiver's life that `echo` is about.
    pub echo_incarnation: Incarnation,
    /// The newest sequence received from the receiver; zero for none.
    pub echo: u64,
    /// No earlier map than this one gives standing to anyone any more.
    pub retired_below: Revision,
    /// Members of the sender's map that are silent to it; nearly always empty.
    pub silent: Vec<InstanceId>,
}
