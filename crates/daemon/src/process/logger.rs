//! Where log events go: standard error.

use bluebellstage_gateway::log_line::write_line;
use log::LevelFilter;

use super::log_event::LOG_TARGET;

const LEVEL_VARIABLE: &str = "BLUEBELLSTAGE_LOG";

/// Sends numbered events to standard error; a logger that is there already stays.
///
/// Only this project's events are written, those of libraries are not: a library may log what it
/// sends, and that may hold a caller's body.
pub fn init_logger() {
    let _already_there = env_logger::Builder::new()
        .filter_level(LevelFilter::Off)
        .filter_module(LOG_TARGET, level())
        .format(write_line)
        .try_init();
}

fn level() -> LevelFilter {
    let named = std::env::var(LEVEL_VARIABLE).ok();
    named
        .and_then(|level| level.parse().ok())
        .unwrap_or(LevelFilter::Info)
}
