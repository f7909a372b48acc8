//! What lives as long as the process: clock, decision core, clients, metrics and log.

mod carry;
mod clock;
mod daemon;
mod drain;
mod log_event;
mod logger;
mod metrics;
mod operator;
mod orders;
mod platform;
mod shell;
mod targets;
mod ticker;

pub use self::clock::Clock;
pub use self::daemon::{Daemon, StartError, Stopper};
pub use self::log_event::LogEvent;
pub use self::logger::init_logger;

pub(crate) use self::log_event::{LOG_TARGET, log_event};
pub(crate) use self::metrics::Metrics;
pub(crate) use self::shell::{RequestHandle, Shell};
pub(crate) use self::targets::TargetClients;
