//! How a request was lost, as one line of a log tells it.

use serde::Serialize;

use crate::commands::log_lines::Line;

/// How a request was lost, or that it wasn't.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Cause {
    /// Its first event came within the route's target latency, and no gap was longer than the route's target gap.
    InTime,
    /// Late; most of the time went on waiting for the workspace's quota.
    LateQuota,
    /// Late; most of the time went on waiting for its adapter.
    LateAdapter,
    /// Late; most of the time went in the target's queue and on reading the prompt.
    LateTarget,
    /// Late; most of the time went on attempts that came to nothing.
    LateAttempts,
    /// Its first event was in time; the target left a gap between two events that is longer than the route's.
    LatePaused,
    /// Its first event was in time; an event stayed at the instance for longer than the route's target gap.
    LateHeld,
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

impl Cause {
    pub(super) const fn told(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::LateQuota => "late: waited for the quota",
            Self::LateAdapter => "late: waited for the adapter",
            Self::LateTarget => "late: at the target, in its queue or being read",
            Self::LateAttempts => "late: attempts that came to nothing",
            Self::LatePaused => "late: paused at the target",
            Self::LateHeld => "late: held here",
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

    /// Returns how the request of a line was answered or refused; `None` if the line does not say.
    pub(super) fn of(line: &Line) -> Option<Self> {
        match line.field("code") {
            "BS3406" => answered(line),
            "BS3405" => Some(Self::FailedInStream),
            "BS3401" if line.field("reason") == "over_quota" => Some(Self::RefusedQuota),
            "BS3401" if line.names_suspect() => Some(Self::RefusedQuarantined),
            "BS3401" if line.fields.contains_key("status") => Some(refused(line)),
            "BS3401" => Some(Self::RefusedOther),
            _ => None,
        }
    }

    /// Returns what the end of a stream says of its events; `None` if the line is of another event or malformed, or
    /// the stream had no event.
    pub(super) fn of_stream(line: &Line) -> Option<Self> {
        if line.field("code") != "BS3414" {
            return None;
        }
        let [first, aim] = [number(line, "first_ms")?, number(line, "aim_ms")?];
        if first > aim {
            return Some(Self::LateTarget);
        }
        let Some(gap_aim) = number(line, "gap_aim_ms") else {
            return Some(Self::InTime);
        };
        // The last silence is a gap, too, if the caller left in it.
        let gaps = ["gap_ms", "silent_ms"].map(|name| number(line, name).unwrap_or(0));
        let gap = gaps[0].max(gaps[1]);
        let held = number(line, "held_ms").unwrap_or(0);
        Some(if gap.max(held) <= gap_aim {
            Self::InTime
        } else if gap >= held {
            Self::LatePaused
        } else {
            Self::LateHeld
        })
    }
}

pub(super) fn number(line: &Line, name: &str) -> Option<u64> {
    line.field(name).parse().ok()
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
