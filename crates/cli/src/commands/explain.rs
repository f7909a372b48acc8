//! `explain`: tells a request's story from the logs of many instances.

use std::collections::BTreeSet;

use crate::args::ExplainArgs;
use crate::error::{CliError, Exit};
use crate::output::print_line;

use super::log_lines::{Line, read};

impl Line {
    /// Names a target or peer, with its software version if the line has it.
    fn at_software(&self, name: &str, software: &str) -> String {
        match self.optional_field(software) {
            "" => self.field(name).into(),
            version => format!("{} (software {version})", self.field(name)),
        }
    }

    /// Says which stream the request continues, and the software version at which.
    fn continued_stream(&self) -> String {
        let software = match self.optional_field("software") {
            "" => String::new(),
            version => format!("; software {version}"),
        };
        match (
            self.optional_field("resumes"),
            self.optional_field("resume_after"),
        ) {
            ("", "") => software,
            ("", after) => {
                format!("{software}; it continues an unnamed stream after event {after}")
            }
            (id, after) => {
                format!("{software}; it continues the stream of {id} after event {after}")
            }
        }
    }

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
            "BS3401" if self.fields.contains_key("part") => format!(
                "answered {} after {} ms and {} sends: part-{} of its prompt is quarantined, targets end under it (see BS3123)",
                self.field("status"),
                self.field("ms"),
                self.field("sends"),
                self.field("part"),
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
                "its stream from {} broke ({}) and goes on {} after event {}",
                self.at_software("target", "software"),
                self.field("cause"),
                match self.optional_field("next") {
                    "" => "elsewhere".into(),
                    _ => format!("at {}", self.at_software("next", "next_software")),
                },
                self.field("last_event"),
            ),
            "BS3405" => format!(
                "its stream from {} broke ({}) after event {} and can't go on{}",
                self.field("target"),
                self.field("cause"),
                self.field("last_event"),
                match self.optional_field("search") {
                    "" => String::new(),
                    search => format!(": {search}"),
                },
            ),
            "BS3415" => format!(
                "nothing came from {} for {} ms ({}): another target is looked for while it is awaited",
                self.field("target"),
                self.field("silent_ms"),
                self.field("cause"),
            ),
            "BS3416" => format!(
                "no other target took it in {} ms ({}): the silent one is awaited",
                self.field("search_ms"),
                self.field("search"),
            ),
            "BS3406" => format!(
                "a target's answer with status {} went to the caller after {} ms; {} charged {}{}",
                self.field("status"),
                self.field("ms"),
                self.field("workspace"),
                self.field("charge"),
                self.continued_stream(),
            ),
            "BS3414" => format!(
                "its stream at {} ended: first event after {} ms of {}, longest gap {} ms, held here for {} ms at most, of {}",
                self.field("target"),
                self.field("first_ms"),
                self.field("aim_ms"),
                self.field("gap_ms"),
                self.field("held_ms"),
                self.field("gap_aim_ms"),
            ),
            code => format!("{code}: {}", self.field("msg")),
        }
    }
}

/// Returns the ids of the attempts over which the stream of `request` went, or just that id.
fn attempts_of_stream(request: &str, lines: &[Line]) -> BTreeSet<Box<str>> {
    let mut attempts = BTreeSet::from([request.into()]);
    loop {
        let before = attempts.len();
        for line in lines {
            let [attempt, resumed] = ["request", "resumes"].map(|name| line.optional_field(name));
            if resumed.is_empty() {
                continue;
            }
            if attempts.contains(attempt) || attempts.contains(resumed) {
                attempts.extend([attempt.into(), resumed.into()]);
            }
        }
        if attempts.len() == before {
            return attempts;
        }
    }
}

/// Prints what the logs say of a request, in order of time. A stream that its caller continued with other
/// requests is told over all of them.
pub(super) fn run(args: &ExplainArgs) -> Result<Exit, CliError> {
    let mut lines = Vec::new();
    for (source, text) in read(&args.logs)? {
        let parsed = text.lines().filter_map(|line| Line::parse(&source, line));
        lines.extend(parsed.filter(|line| !line.optional_field("request").is_empty()));
    }
    let attempts = attempts_of_stream(&args.request, &lines);
    lines.retain(|line| attempts.contains(line.field("request")));
    lines.sort();
    if lines.is_empty() {
        return Err(CliError::NoLines {
            request: args.request.as_str().into(),
        });
    }
    for line in &lines {
        let request = match attempts.len() {
            1 => String::new(),
            _ => format!("{}: ", line.field("request")),
        };
        print_line(&format!(
            "{} {}: {request}{}",
            line.at,
            line.source,
            line.told()
        ))?;
    }
    Ok(Exit::Done)
}
