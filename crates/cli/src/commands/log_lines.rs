//! Lines of instances' logs.

use std::collections::BTreeMap;
use std::io::Read;
use std::path::PathBuf;

use crate::error::CliError;

/// Names standard input as a source.
const STDIN: &str = "stdin";

/// A line of a log.
#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Line {
    /// When, as the log says it; such times sort as text.
    pub(super) at: Box<str>,
    /// The file that it is from.
    pub(super) source: Box<str>,
    pub(super) fields: BTreeMap<Box<str>, Box<str>>,
}

impl Line {
    pub(super) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("?", |value| value)
    }

    /// Returns the value of a field, or an empty text if the line does not have it.
    pub(super) fn optional_field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |value| value)
    }

    /// Whether the line says that a request was refused because it or a part of its prompt is quarantined.
    pub(super) fn names_suspect(&self) -> bool {
        let names = ["fingerprint", "part"];
        names.iter().any(|name| self.fields.contains_key(*name))
    }

    pub(super) fn parse(source: &str, text: &str) -> Option<Self> {
        let mut words = text.split(' ');
        let at = words.find(|word| word.contains('T') && word.ends_with('Z'))?;
        Some(Self {
            at: at.into(),
            source: source.into(),
            fields: fields(text),
        })
    }
}

/// The `key=value` fields of a line; values with spaces stand in quotes.
fn fields(text: &str) -> BTreeMap<Box<str>, Box<str>> {
    let mut found = BTreeMap::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once('=') {
        let name = before.rsplit(' ').next().unwrap_or(before);
        let (value, left) = value(after);
        found.insert(name.into(), value.into());
        rest = left;
    }
    found
}

fn value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].into(), &text[end..]);
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, &quoted[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            c => value.push(c),
        }
    }
    (value, "")
}

fn unreadable(file: &str, cause: &std::io::Error) -> CliError {
    CliError::Unreadable {
        file: file.into(),
        cause: cause.to_string().into(),
    }
}

/// A log that was cut in the middle of a character is read on.
fn lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Logs by the name of their source.
pub(super) fn read(files: &[PathBuf]) -> Result<Vec<(String, String)>, CliError> {
    if files.is_empty() {
        let mut bytes = Vec::new();
        let read = std::io::stdin().read_to_end(&mut bytes);
        read.map_err(|cause| unreadable(STDIN, &cause))?;
        return Ok(vec![(STDIN.into(), lossy(&bytes))]);
    }
    let logs = files.iter().map(|file| {
        let name = file.display().to_string();
        let bytes = std::fs::read(file).map_err(|cause| unreadable(&name, &cause))?;
        Ok((name, lossy(&bytes)))
    });
    logs.collect()
}
