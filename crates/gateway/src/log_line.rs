//! Format of log lines: one line of `key=value` fields per event.

use std::fmt;
use std::io::Write;

use env_logger::fmt::Formatter;
use log::Record;
use log::kv::{Key, Value, VisitSource};

/// Writes an event as one line: time, level, `code=BS…`, fields, summary.
///
/// # Errors
///
/// The line can't be written.
pub fn write_line(f: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    write!(f, "{} {}", f.timestamp_millis(), record.level())?;
    let mut fields = Fields(String::new());
    let _infallible = record.key_values().visit(&mut fields);
    writeln!(f, "{} msg={:?}", fields.0, record.args().to_string())
}

struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        let breaks_fields = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '"' | '=');
        let quoted = text.is_empty() || text.contains(breaks_fields);
        let written = match (key.as_str(), quoted) {
            ("code", _) => fmt::write(&mut self.0, format_args!(" code=BS{text}")),
            (key, true) => fmt::write(&mut self.0, format_args!(" {key}={text:?}")),
            (key, false) => fmt::write(&mut self.0, format_args!(" {key}={text}")),
        };
        written.map_err(|_full| log::kv::Error::msg("field can't be written"))
    }
}
