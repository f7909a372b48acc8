//! `explain`: tells a request's story from the logs of many instances.

use crate::args::ExplainArgs;
use crate::error::{CliError, Exit};

use super::log_lines::{Line, read};

impl Line {
    /// What the line says, in plain words.
    fn told(&self) -> String {
        match self.field("code") {
            "BS3401" if self.fields.contains_key("fingerprint") => format!(
                "answered {} after {} ms and {} sends: quarantined as {}, targets end under it (see BS3109)",
                self.field("status"),
                self.field("ms"),
                self.field("sends"),
                self.field("fingerprint"),
            ),
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
