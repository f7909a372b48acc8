//! Client of the platform's object API.

mod client;
mod pods;
mod watch;
mod wire;

pub(super) use self::client::PlatformClient;
pub(super) use self::watch::watch;
