//! Where log events go: one line of `key=value` fields each on standard error.

use std::fmt;
use std::io::Write;

use env_logger::fmt::Formatter;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

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

fn write_line(f: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    write!(f, "{} {}", f.timestamp_millis(), record.level())?;
    let mut fields = Fields(String::new());
    let _infallible = record.key_values().visit(&mut fields);
    writeln!(f, "{} msg={:?}", fields.0, record.args().to_string())
}

struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        let quoted = text.is_empty() || text.contains([' ', '"', '=', '\n']);
        let written = match (key.as_str(), quoted) {
            ("code", _) => fmt::write(&mut self.0, format_args!(" code=BS{text}")),
            (key, true) => fmt::write(&mut self.0, format_args!(" {key}={text:?}")),
            (key, false) => fmt::write(&mut self.0, format_args!(" {key}={text}")),
        };
        written.map_err(|_full| log::kv::Error::msg("field can't be written"))
    }
}
