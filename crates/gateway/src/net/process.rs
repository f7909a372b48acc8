//! The process of a target at the other side of a connection.

use std::net::SocketAddr;

use bluebellstage_core::TargetId;

/// The process of a target at the other side of a connection. A target may start again under its id and address.
#[derive(Clone, Copy, Debug)]
pub(super) struct Process<'a> {
    pub(super) target: &'a TargetId,
    pub(super) address: SocketAddr,
    /// When it started, as known before the connection was opened; `None` if its registration does not say that.
    pub(super) born: Option<u64>,
}
