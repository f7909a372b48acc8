//! Runs of this instance whose prompts have shared parts, by the target that runs them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use slotmap::{SlotMap, new_key_type};

use super::fingerprint::Fingerprint;
use super::message::{InterruptedPart, MAX_RUNS_ELSEWHERE, millis};
use super::prompt_part::PromptPart;

/// How long a run that has ended may still be the cause of a crash of its target.
const ENDED_RUN_RETENTION: Duration = Duration::from_millis(100);
/// How long an ended run is kept: the check whether its target crashed takes up to this time.
const SWEEP_AFTER: Duration = Duration::from_secs(1);

new_key_type! {
    /// Identifies a run of this instance.
    pub struct RunKey;
}

#[derive(Clone, Debug)]
struct Run {
    target: TargetId,
    request: Fingerprint,
    parts: Box<[PromptPart]>,
    sent: Time,
    /// When the target began to respond.
    begun: Option<Time>,
    ended: Option<Time>,
    /// Whether the response was complete.
    is_complete: bool,
    /// Whether the target crashed while it ran the request, or just after.
    has_crashed: bool,
}

/// A run that its target has outlived so far.
#[derive(Clone, Debug)]
pub(super) struct SoundRun {
    pub(super) begun: Time,
    /// How long the target has outlived the start of the run, as far as known.
    pub(super) survived: Duration,
    pub(super) is_complete: bool,
    pub(super) parts: Box<[PromptPart]>,
}

impl Run {
    fn is_running(&self) -> bool {
        self.begun.is_some() && self.ended.is_none()
    }

    /// Returns whether the run was at its target at a time, or had only just ended.
    fn was_at_target(&self, at: Time) -> bool {
        let since = self.begun.unwrap_or(self.sent);
        since <= at
            && self
                .ended
                .is_none_or(|ended| ended + ENDED_RUN_RETENTION >= at)
    }
}

/// The parts of prompts at a target when it crashed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartsAtCrash {
    /// The parts.
    pub parts: Vec<InterruptedPart>,
    /// Number of other targets at which this instance had runs with shared parts.
    pub sampled_targets: u16,
}

/// Runs of this instance whose prompts have shared parts.
#[derive(Debug, Default)]
pub struct Runs {
    runs: SlotMap<RunKey, Run>,
}

impl Runs {
    /// Records that a request is sent to a target; returns `None` if its prompt has no shared parts.
    pub fn send(
        &mut self,
        target: &TargetId,
        request: Fingerprint,
        parts: &[PromptPart],
        now: Time,
    ) -> Option<RunKey> {
        let run = || Run {
            target: target.clone(),
            request,
            parts: parts.into(),
            sent: now,
            begun: None,
            ended: None,
            is_complete: false,
            has_crashed: false,
        };
        (!parts.is_empty()).then(|| self.runs.insert(run()))
    }

    /// Records that the target began to respond.
    pub fn begin(&mut self, key: RunKey, now: Time) {
        if let Some(run) = self.runs.get_mut(key) {
            run.begun = Some(now);
        }
    }

    /// Records that the response to a run was complete.
    pub fn complete(&mut self, key: RunKey) {
        if let Some(run) = self.runs.get_mut(key) {
            run.is_complete = true;
        }
    }

    /// Records that a run has ended.
    pub fn end(&mut self, key: RunKey, now: Time) {
        if let Some(run) = self.runs.get_mut(key) {
            run.ended = Some(now);
        }
    }

    /// Returns the parts of the prompts that were at a target when it crashed.
    #[must_use]
    pub fn parts_at_crash(&mut self, target: &TargetId, at: Time) -> PartsAtCrash {
        let mut parts = BTreeMap::<PromptPart, InterruptedPart>::new();
        let runs = self.runs.values_mut();
        for run in runs.filter(|run| run.target == *target && run.was_at_target(at)) {
            run.has_crashed = true;
            let run_time = at.since(run.begun.unwrap_or(run.sent));
            for part in &run.parts {
                let new = InterruptedPart::new(*part, run.request, run_time, run.begun.is_some());
                match parts.get_mut(part) {
                    Some(known) => known.merge(&new),
                    None => _ = parts.insert(*part, new),
                }
            }
        }
        let mut parts = parts.into_values().collect::<Vec<_>>();
        for part in &mut parts {
            part.elsewhere_ms = self.run_times_elsewhere(target, part.part, at);
        }
        let others = self.runs.values().filter(|run| run.is_running());
        let others = others.filter(|run| run.target != *target);
        let others = others.map(|run| &run.target).collect::<BTreeSet<_>>();
        PartsAtCrash {
            parts,
            sampled_targets: saturate(others.len()),
        }
    }

    /// Returns for how long other targets have been running a part, in milliseconds.
    fn run_times_elsewhere(&self, crashed: &TargetId, part: PromptPart, at: Time) -> Vec<u32> {
        let others = self.runs.values();
        let others = others.filter(|run| run.is_running() && run.target != *crashed);
        let mut longest = BTreeMap::<&TargetId, Duration>::new();
        for run in others.filter(|run| run.parts.contains(&part)) {
            let run_time = run.begun.map_or(Duration::ZERO, |begun| at.since(begun));
            let known = longest.entry(&run.target).or_default();
            *known = run_time.max(*known);
        }
        let mut run_times = longest.into_values().map(millis).collect::<Vec<_>>();
        run_times.sort_by_key(|run_time| Reverse(*run_time));
        run_times.truncate(MAX_RUNS_ELSEWHERE);
        run_times
    }

    /// Returns the runs that have begun and whose targets have not crashed.
    pub(super) fn sound(&self, now: Time) -> impl Iterator<Item = SoundRun> {
        let runs = self.runs.values().filter(|run| !run.has_crashed);
        runs.filter_map(move |run| {
            let begun = run.begun?;
            let outlived_until = run.ended.filter(|_| !run.is_complete).unwrap_or(now);
            Some(SoundRun {
                begun,
                survived: outlived_until.since(begun),
                is_complete: run.is_complete,
                parts: run.parts.clone(),
            })
        })
    }

    /// Removes runs that ended a while ago.
    pub fn sweep(&mut self, now: Time) {
        self.runs
            .retain(|_, run| run.ended.is_none_or(|ended| now.since(ended) < SWEEP_AFTER));
    }
}

fn saturate(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
