//! The daemon: the shell around one instance's decision core.
//!
//! Laid out by life span: `settings` are read once, `process` lives as long as the process,
//! `connection` as long as a connection, `request` as long as a caller's request.

mod connection;
mod process;
mod request;
mod retry;

pub mod settings;

pub use self::connection::{AdminToken, MalformedToken, PortError, http_client};
pub use self::process::{Daemon, LogEvent, StartError, Stopper, init_logger};
pub use self::request::{Block, BlockEnd, Scanner, status_of};
pub use self::settings::{Settings, SettingsError};
