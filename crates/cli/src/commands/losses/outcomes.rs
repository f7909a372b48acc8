//! How each request ended, from the lines of all logs.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::args::LossesBy;
use crate::commands::log_lines::Line;
use crate::error::CliError;
use crate::output::print_line;

use super::cause::{Cause, number};

/// Characters of a time up to its second.
const SECOND: usize = "2026-01-01T00:00:00".len();
/// The group of lines that don't name it.
const UNKNOWN: &str = "?";

/// What the lines of one request tell. Lines of several logs come in any order.
#[derive(Debug, Default)]
struct Outcome {
    group: Option<Box<str>>,
    cause: Option<Cause>,
    /// What the end of its stream says, and the group that this line names.
    stream: Option<(Cause, Box<str>)>,
}

/// How each request ended, by its id. A stream that was answered and broke off has failed.
#[derive(Debug, Default)]
pub(super) struct Outcomes {
    requests: HashMap<Box<str>, Outcome>,
    pub(super) unread: u64,
    left_out: u64,
}

/// Counts of what was read.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct Losses {
    /// Requests by group and cause.
    groups: BTreeMap<Box<str>, BTreeMap<Cause, u64>>,
    /// Lines that are no events.
    unread: u64,
    /// Events that the instances left out to bound their volume.
    left_out: u64,
}

impl Outcomes {
    pub(super) fn add(&mut self, line: &Line, by: LossesBy) {
        if line.field("code") == "BS3007" {
            self.left_out += number(line, "count").unwrap_or(0);
            return;
        }
        let [cause, stream] = [Cause::of(line), Cause::of_stream(line)];
        if cause.is_none() && stream.is_none() {
            return;
        }
        let request = self.requests.entry(line.field("request").into());
        request.or_default().add(cause, stream, group(line, by));
    }
}

impl Outcome {
    fn add(&mut self, cause: Option<Cause>, stream: Option<Cause>, group: Box<str>) {
        self.cause = cause.or(self.cause);
        if let Some(stream) = stream {
            self.stream = Some((stream, group.clone()));
        }
        let is_known = self.group.as_deref().is_some_and(|group| group != UNKNOWN);
        if !is_known {
            self.group = Some(group);
        }
    }

    /// Returns how the request was lost. The end of a stream only counts if its answer was in time.
    fn verdict(self) -> Option<(Box<str>, Cause)> {
        let stream = self.stream.filter(|(cause, _)| *cause != Cause::InTime);
        match (self.cause, stream) {
            (None | Some(Cause::InTime), Some((cause, group))) => Some((group, cause)),
            (cause, _) => Some((self.group?, cause.unwrap_or(Cause::InTime))),
        }
    }
}

impl From<Outcomes> for Losses {
    fn from(outcomes: Outcomes) -> Self {
        let mut groups = BTreeMap::<_, BTreeMap<_, u64>>::new();
        let verdicts = outcomes.requests.into_values();
        for (group, cause) in verdicts.filter_map(Outcome::verdict) {
            let causes = groups.entry(group).or_default();
            *causes.entry(cause).or_default() += 1;
        }
        Self {
            groups,
            unread: outcomes.unread,
            left_out: outcomes.left_out,
        }
    }
}

impl Losses {
    pub(super) fn print(&self) -> Result<(), CliError> {
        for (group, causes) in &self.groups {
            let all = causes.values().sum::<u64>();
            print_line(&format!("{group}: {all} requests"))?;
            for (cause, count) in causes {
                let tenths = count * 1_000 / all.max(1);
                let share = format!("{}.{}", tenths / 10, tenths % 10);
                print_line(&format!("  {count:>8}  {share:>5} %  {}", cause.told()))?;
            }
        }
        print_line(&format!(
            "{} lines were no events; instances left {} events out",
            self.unread, self.left_out
        ))
    }
}

fn group(line: &Line, by: LossesBy) -> Box<str> {
    match by {
        LossesBy::Cause => "all".into(),
        LossesBy::Second => line.at.get(..SECOND).unwrap_or(&line.at).into(),
        LossesBy::Route => line.field("route").into(),
        LossesBy::Workspace => line.field("workspace").into(),
        LossesBy::Target => line.field("target").into(),
        LossesBy::Instance => line.source.clone(),
    }
}
