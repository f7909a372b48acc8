//! Signals to the process.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::GatewayError;

/// The signals that an instance handles, from [`Signals::listen`] on. Before that each of them ends the process.
#[derive(Debug)]
pub struct Signals {
    /// Asks for a reload of the settings.
    pub(super) hangup: Signal,
    /// Asks for a planned stop.
    pub(super) terminate: Signal,
}

impl Signals {
    /// Begins to listen. Signals that arrive before they are waited for are kept.
    ///
    /// # Errors
    ///
    /// Signals can't be watched.
    pub fn listen() -> Result<Self, GatewayError> {
        let listen = |kind| signal(kind).map_err(|cause| GatewayError::Signal { cause });
        Ok(Self {
            hangup: listen(SignalKind::hangup())?,
            terminate: listen(SignalKind::terminate())?,
        })
    }
}
