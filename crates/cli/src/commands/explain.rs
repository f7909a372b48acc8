//! `explain`: tells a request's story from the logs of many instances.

use std::collections::BTreeMap;
use std::io::Read;
use std::path::PathBuf;

use crate::args::ExplainArgs;
use crate::error::{CliError, Exit};

/// Names standard input as a source.
const STDIN: &str = "stdin";

/// A line of a log about the request.
#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Line {
    /// When, as the log says it; such times sort as text.
    at: Box<str>,
    /// The file that it is from.
    source: Box<str>,
    fields: BTreeMap<Box<str>, Box<str>>,
}

impl Line {
    fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("?", |value| value)
    }

    fn parse(source: &str, text: &str) -> Option<Self> {
        let mut words = text.split(' ');
        let at = words.find(|word| word.contains('T') && word.ends_with('Z'))?;
        Some(Self {
            at: at.into(),
            source: source.into(),
            fields: fields(text),
        })
    }

    /// What the line says, in plain words.
    fn told(&self) -> String {
        match self.field("code") {
            "BS3401" if self.fields.contains_key("status") => format!(
                "answered {} after {} ms and {} sends: {}",
                self.field("status"),
                self.field("ms"),
                self.field("sends"),
                self.field("reason"),
            ),
            "BS3401" if self.field("reason") == "over_quota" => format!(
                "refused by the quota of {}: it counts as {}, {} were left, {} come in a second",
                self.field("workspace"),
                self.field("charge"),
                self.field("left"),
                self.field("rate"),
            ),
            "BS3401" => format!("refused before anything was sent: {}", self.field("reason")),
            "BS3402" => format!(
                "{} did not run it ({}); it may go elsewhere",
                self.field("target"),
                self.field("reason"),
            ),
            "BS3403" => format!(
                "the attempt at {} failed ({}); {} so far may have run",
                self.field("target"),
                self.field("cause"),
                self.field("runs"),
            ),
            "BS3404" => format!(
                "its stream from {} broke ({}) and goes on elsewhere after event {}",
                self.field("target"),
                self.field("cause"),
                self.field("last_event"),
            ),
            "BS3405" => format!(
                "its stream from {} broke ({}) after event {} and can't go on",
                self.field("target"),
                self.field("cause"),
                self.field("last_event"),
            ),
            "BS3406" => format!(
                "a target's answer with status {} went to the caller after {} ms; {} charged {}",
                self.field("status"),
                self.field("ms"),
                self.field("workspace"),
                self.field("charge"),
            ),
            code => format!("{code}: {}", self.field("msg")),
        }
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

/// Logs by the name of their source.
fn read(files: &[PathBuf]) -> Result<Vec<(String, String)>, CliError> {
    if files.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|cause| unreadable(STDIN, &cause))?;
        return Ok(vec![(STDIN.into(), text)]);
    }
    let logs = files.iter().map(|file| {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|cause| unreadable(&name, &cause))?;
        Ok((name, text))
    });
    logs.collect()
}

/// Prints what the logs say of a request, in order of time.
pub(super) fn run(args: &ExplainArgs) -> Result<Exit, CliError> {
    let mut lines = Vec::new();
    for (source, text) in read(&args.logs)? {
        let about = text.lines().filter_map(|line| Line::parse(&source, line));
        lines.extend(about.filter(|line| line.field("request") == args.request));
    }
    lines.sort();
    if lines.is_empty() {
        return Err(CliError::NoLines {
            request: args.request.as_str().into(),
        });
    }
    for line in &lines {
        println!("{} {}: {}", line.at, line.source, line.told());
    }
    Ok(Exit::Done)
}
