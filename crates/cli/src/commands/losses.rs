//! `losses`: where the time of late, refused and failed requests went.
//!
//! A log may be cut in mid-line, hold lines of other programs, or have times that jump: such lines are
//! counted and passed over.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::args::{LossesArgs, LossesBy};
use crate::error::{CliError, Exit};

use super::log_lines::{Line, read};

/// Characters of a time up to its second.
const SECOND: usize = "2026-01-01T00:00:00".len();

/// How a request was lost, or that it wasn't.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
enum Cause {
    /// Its first event came within the route's target latency.
    InTime,
    /// Late; most of the time went on waiting for the workspace's quota.
    LateQuota,
    /// Late; most of the time went on waiting for its adapter.
    LateAdapter,
    /// Late; most of the time went in the target's queue and on reading the prompt.
    LateTarget,
    /// Late; most of the time went on attempts that came to nothing.
    LateAttempts,
    /// The workspace's quota was used up.
    RefusedQuota,
    /// Its adapter could not be loaded in time.
    RefusedAdapter,
    /// Engines would have begun it too late.
    RefusedQueue,
    /// All targets had asked for rest.
    RefusedRest,
    /// Targets end under it.
    RefusedQuarantined,
    /// Refused for another reason, as not run.
    RefusedOther,
    /// Its stream broke off.
    FailedInStream,
    /// It failed after it had been sent.
    Failed,
}

/// How each request ended, by its id. A stream that was answered and broke off has failed.
#[derive(Debug, Default)]
struct Outcomes {
    requests: HashMap<Box<str>, (Box<str>, Cause)>,
    unread: u64,
    left_out: u64,
}

/// Counts of what was read.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct Losses {
    /// Requests by group and cause.
    groups: BTreeMap<Box<str>, BTreeMap<Cause, u64>>,
    /// Lines that are no events.
    unread: u64,
    /// Events that the instances left out to bound their volume.
    left_out: u64,
}

impl Outcomes {
    fn add(&mut self, line: &Line, by: LossesBy) {
        if line.field("code") == "BS3007" {
            self.left_out += number(line, "count").unwrap_or(0);
            return;
        }
        let Some(cause) = cause(line) else {
            return;
        };
        let outcome = self.requests.entry(line.field("request").into());
        let outcome = outcome.or_insert_with(|| (group(line, by), cause));
        outcome.1 = cause;
    }
}

impl From<Outcomes> for Losses {
    fn from(outcomes: Outcomes) -> Self {
        let mut groups = BTreeMap::<_, BTreeMap<_, u64>>::new();
        for (group, cause) in outcomes.requests.into_values() {
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
    fn print(&self) {
        for (group, causes) in &self.groups {
            let all = causes.values().sum::<u64>();
            println!("{group}: {all} requests");
            for (cause, count) in causes {
                let tenths = count * 1_000 / all.max(1);
                let share = format!("{}.{}", tenths / 10, tenths % 10);
                println!("  {count:>8}  {share:>5} %  {}", cause.told());
            }
        }
        println!(
            "{} lines were no events; instances left {} events out",
            self.unread, self.left_out
        );
    }
}

impl Cause {
    const fn told(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::LateQuota => "late: waited for the quota",
            Self::LateAdapter => "late: waited for the adapter",
            Self::LateTarget => "late: at the target, in its queue or being read",
            Self::LateAttempts => "late: attempts that came to nothing",
            Self::RefusedQuota => "refused: quota used up",
            Self::RefusedAdapter => "refused: adapter not loaded in time",
            Self::RefusedQueue => "refused: engines would begin too late",
            Self::RefusedRest => "refused: all targets had asked for rest",
            Self::RefusedQuarantined => "refused: quarantined, targets end under it",
            Self::RefusedOther => "refused: other reasons",
            Self::FailedInStream => "failed: stream broke off",
            Self::Failed => "failed: sent, and no whole answer",
        }
    }
}

fn number(line: &Line, name: &str) -> Option<u64> {
    line.field(name).parse().ok()
}

fn cause(line: &Line) -> Option<Cause> {
    match line.field("code") {
        "BS3406" => answered(line),
        "BS3405" => Some(Cause::FailedInStream),
        "BS3401" if line.field("reason") == "over_quota" => Some(Cause::RefusedQuota),
        "BS3401" if line.names_suspect() => Some(Cause::RefusedQuarantined),
        "BS3401" if line.fields.contains_key("status") => Some(refused(line)),
        "BS3401" => Some(Cause::RefusedOther),
        _ => None,
    }
}

fn refused(line: &Line) -> Cause {
    let reason = line.field("reason");
    if line.field("status") != "503" {
        Cause::Failed
    } else if reason.contains("adapter could not be loaded") {
        Cause::RefusedAdapter
    } else if reason.contains("too late") {
        Cause::RefusedQueue
    } else if reason.contains("asked for rest") {
        Cause::RefusedRest
    } else {
        Cause::RefusedOther
    }
}

/// What took most of an answer's time; none where the line is of an older form or is malformed.
fn answered(line: &Line) -> Option<Cause> {
    let [all, aim] = [number(line, "ms")?, number(line, "aim_ms")?];
    if !line.field("status").starts_with('2') {
        return Some(Cause::Failed);
    }
    if all <= aim {
        return Some(Cause::InTime);
    }
    let parts = ["pause_ms", "load_ms", "target_ms"].map(|name| number(line, name).unwrap_or(0));
    let [quota, adapter, target] = parts;
    let attempts = all.saturating_sub(parts.iter().sum());
    let largest = [
        (quota, Cause::LateQuota),
        (adapter, Cause::LateAdapter),
        (target, Cause::LateTarget),
        (attempts, Cause::LateAttempts),
    ];
    let largest = largest.into_iter().max_by_key(|(ms, _)| *ms);
    largest.map(|(_, cause)| cause)
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

/// Prints where requests' time went.
pub(super) fn run(args: &LossesArgs) -> Result<Exit, CliError> {
    let mut outcomes = Outcomes::default();
    for (source, text) in read(&args.logs)? {
        for line in text.lines() {
            match Line::parse(&source, line) {
                Some(line) if line.field("code").starts_with("BS") => outcomes.add(&line, args.by),
                _ => outcomes.unread += 1,
            }
        }
    }
    let losses = Losses::from(outcomes);
    if args.json {
        println!("{}", serde_json::json!(losses));
    } else {
        losses.print();
    }
    Ok(Exit::Done)
}
