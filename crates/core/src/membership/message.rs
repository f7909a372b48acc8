//! Messages of the membership protocol between instances.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, InstanceId, Map, Revision};

/// A membership message to a peer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum MembershipMessage {
    /// A heartbeat, which also acknowledges the peer's latest heartbeat.
    Heartbeat(Heartbeat),
    /// A map, pushed to a peer that has an older one.
    Push(Box<Map>),
}

/// A heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Increases with each heartbeat of this incarnation.
    pub sequence: u64,
    /// The newest map that the sender has adopted.
    pub map: Revision,
    /// The newest catalogue revision in force at the sender.
    pub catalogue: Revision,
    /// The receiver's incarnation that `echo` refers to.
    pub echo_incarnation: Incarnation,
    /// The newest sequence number received from the receiver; zero for none.
    pub echo: u64,
    /// Maps before this revision no longer give any instance a lease.
    pub retired_below: Revision,
    /// Members of the sender's map that the sender finds unresponsive; nearly always empty.
    pub unresponsive: Vec<InstanceId>,
}
