//! From a run's records and evidence to its report.

mod engines;
mod load;
mod promises;

use std::collections::BTreeMap;

use super::arrivals::ADAPTER_VERSION;
use super::evidence::Evidence;
use super::ledger;
use super::quantiles::Times;
use super::report::{
    Refusals, Requests, Second, VariantReport, WorkReport, WorkspaceReport, WorstServed,
};
use super::scenario::{Scenario, Variant, WorkKind};
use super::variant::{Record, Run};
use crate::Micros;
use crate::caller::{Attempt, Draft, Outcome};

/// Answers a workspace's whole run may exceed its limit by, for rounding: a thousandth.
const LIMIT_TOLERANCE: f64 = 1.001;

/// The report of a run.
pub(super) fn report(
    scenario: &Scenario,
    variant: &Variant,
    run: &Run,
    surging: &[String],
) -> VariantReport {
    let measures = Measures {
        scenario,
        run,
        surging,
    };
    measures.report(variant)
}

struct Measures<'a> {
    scenario: &'a Scenario,
    run: &'a Run,
    /// Workspaces that surge in some variant.
    surging: &'a [String],
}

impl Measures<'_> {
    fn report(&self, variant: &Variant) -> VariantReport {
        let mut refusals = self.refusals();
        let workspaces = self.workspaces(&mut refusals);
        let mut faults = self.faults();
        let over = workspaces
            .iter()
            .filter(|one| one.limit_used > LIMIT_TOLERANCE);
        faults.over_limit = over.count();
        let mut first_token = Times::default();
        first_token.extend(
            self.measured()
                .filter(|record| self.is_urgent(record))
                .filter_map(|record| self.first(record)),
        );
        VariantReport {
            name: variant.name.clone(),
            settings: variant.settings.clone(),
            requests: self.requests(),
            load_stalls: self.load_stalls(),
            batch: self.batch(),
            worst_served: worst_served(&workspaces, &self.urgent_answered(), self.surging),
            refusals,
            filings: self.filings(),
            faults,
            work: self.work(),
            platform: self.platform(),
            instances: self.instances(),
            first_token: first_token.points(),
            series: self.series(),
            workspaces,
        }
    }

    /// Records after the warm-up.
    fn measured(&self) -> impl Iterator<Item = &Record> {
        let warmup = self.scenario.warmup_seconds;
        let records = self.run.records.iter();
        records.filter(move |record| record.arrival.at.as_secs_f64() >= warmup)
    }

    fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.measured().flat_map(|record| &record.trace.attempts)
    }

    fn due(&self, record: &Record) -> Micros {
        let at = u64::try_from(record.arrival.at.as_micros()).unwrap_or(u64::MAX);
        self.run.begun.saturating_add(at)
    }

    /// Time from when a request was due to its first token, or to the answer of a call.
    fn first(&self, record: &Record) -> Option<Micros> {
        let last = record.trace.last()?;
        if last.outcome != Outcome::Answered {
            return None;
        }
        let attempts = record.trace.attempts.iter();
        let first_token = attempts.filter_map(|attempt| attempt.first_token).min();
        let first = first_token.unwrap_or(last.ended);
        Some(first.saturating_sub(self.due(record)))
    }

    fn is_urgent(&self, record: &Record) -> bool {
        matches!(
            self.scenario.work[record.arrival.work].kind,
            WorkKind::Urgent(_)
        )
    }

    fn is_batch(&self, record: &Record) -> bool {
        matches!(
            self.scenario.work[record.arrival.work].kind,
            WorkKind::Batch(_)
        )
    }

    fn requests(&self) -> Requests {
        let count = |which: fn(&Outcome) -> bool| {
            self.attempts()
                .filter(|attempt| which(&attempt.outcome))
                .count()
        };
        let total = self.measured().count();
        let answered = self
            .measured()
            .filter(|record| record.trace.is_answered())
            .count();
        Requests {
            total: total + self.run.unfinished,
            answered,
            given_up: total - answered,
            unfinished: self.run.unfinished,
            attempts: self.attempts().count(),
            broken: count(|outcome| *outcome == Outcome::Broken),
            hung_up: count(|outcome| *outcome == Outcome::HungUp),
            not_connected: count(|outcome| *outcome == Outcome::NotConnected),
            nowhere: count(|outcome| *outcome == Outcome::Nowhere),
        }
    }

    fn refusals(&self) -> Refusals {
        let mut refusals = Refusals::default();
        for attempt in self.attempts() {
            if let Outcome::Refused(refused) = &attempt.outcome {
                *refusals.by_kind.entry(refused.kind.clone()).or_default() += 1;
            }
        }
        refusals
    }

    fn workspaces(&self, refusals: &mut Refusals) -> Vec<WorkspaceReport> {
        let mut reports = Vec::new();
        let warmup = std::time::Duration::from_secs_f64(self.scenario.warmup_seconds);
        let warmup = u64::try_from(warmup.as_micros()).unwrap_or(u64::MAX);
        let measured_from = self.run.begun.saturating_add(warmup);
        for (index, workspace) in self.scenario.workspaces.iter().enumerate() {
            let mut report = self.workspace(index);
            report.name.clone_from(&workspace.name);
            // The ledger needs the warm-up's charges too.
            let records = self.run.records.iter();
            let own = records.filter(|record| record.arrival.workspace == index);
            let findings = ledger::audit(workspace, own, self.run.begun, measured_from);
            report.wrongful = findings.wrongful.len();
            report.limit_used = findings.limit_used;
            if self.surging.contains(&workspace.name) {
                refusals.wrongful_surging += findings.wrongful.len();
            }
            for kind in findings.wrongful {
                *refusals.wrongful_by_kind.entry(kind).or_default() += 1;
                refusals.wrongful += 1;
            }
            reports.push(report);
        }
        let attempts = self.attempts().count();
        refusals.wrongful_share = share(refusals.wrongful as u64, attempts as u64);
        reports
    }

    fn workspace(&self, index: usize) -> WorkspaceReport {
        let own = || {
            self.measured()
                .filter(|record| record.arrival.workspace == index)
        };
        let first = |which: &dyn Fn(&Record) -> bool| {
            let mut times = Times::default();
            times.extend(
                own()
                    .filter(|record| which(record))
                    .filter_map(|record| self.first(record)),
            );
            times.quantiles()
        };
        let gaps = |which: &dyn Fn(&Record) -> bool| {
            let mut times = Times::default();
            let attempts = own()
                .filter(|record| which(record))
                .flat_map(|record| &record.trace.attempts);
            times.extend(attempts.flat_map(|attempt| attempt.gaps.iter().copied()));
            times.quantiles()
        };
        WorkspaceReport {
            requests: own().count(),
            answered: own().filter(|record| record.trace.is_answered()).count(),
            urgent_first_token: first(&|record| self.is_urgent(record)),
            batch_first_token: first(&|record| self.is_batch(record)),
            urgent_between_tokens: gaps(&|record| self.is_urgent(record)),
            batch_between_tokens: gaps(&|record| self.is_batch(record)),
            ..WorkspaceReport::default()
        }
    }

    /// Share of each workspace's urgent drafts that were answered.
    fn urgent_answered(&self) -> Vec<f64> {
        let shares = (0..self.scenario.workspaces.len()).map(|index| {
            let own = || {
                self.measured()
                    .filter(|record| record.arrival.workspace == index && self.is_urgent(record))
            };
            let answered = own().filter(|record| record.trace.is_answered()).count();
            share(answered as u64, own().count() as u64)
        });
        shares.collect()
    }

    fn work(&self) -> Vec<WorkReport> {
        let reports = self.scenario.work.iter().enumerate().map(|(index, work)| {
            let own = || {
                self.measured()
                    .filter(|record| record.arrival.work == index)
            };
            let mut first = Times::default();
            first.extend(own().filter_map(|record| self.first(record)));
            let mut whole = Times::default();
            let answered = || own().filter(|record| record.trace.is_answered());
            whole.extend(answered().filter_map(|record| {
                Some(record.trace.last()?.ended.saturating_sub(self.due(record)))
            }));
            WorkReport {
                name: work.name.clone(),
                requests: own().count(),
                answered: answered().count(),
                first: first.quantiles(),
                whole: whole.quantiles(),
            }
        });
        reports.collect()
    }

    fn elapsed_micros(&self) -> Micros {
        let Evidence { before, after, .. } = &self.run.evidence;
        after.at.saturating_sub(before.at)
    }

    fn series(&self) -> Vec<Second> {
        let mut firsts: BTreeMap<u64, Times> = BTreeMap::new();
        let last = self
            .run
            .records
            .iter()
            .map(|record| record.arrival.at.as_secs())
            .max();
        let length = usize::try_from(last.map_or(0, |last| last + 1)).unwrap_or(0);
        let mut series = vec![Second::default(); length];
        for record in &self.run.records {
            let at = record.arrival.at.as_secs();
            let Some(second) = usize::try_from(at).ok().and_then(|at| series.get_mut(at)) else {
                continue;
            };
            second.wanted += 1;
            second.answered += usize::from(record.trace.is_answered());
            let refused = |attempt: &&Attempt| matches!(attempt.outcome, Outcome::Refused(_));
            second.refusals += record.trace.attempts.iter().filter(refused).count();
            if self.is_urgent(record) {
                firsts.entry(at).or_default().extend(self.first(record));
            }
        }
        for (at, times) in firsts {
            if let Some(second) = usize::try_from(at).ok().and_then(|at| series.get_mut(at)) {
                second.first_token_p95_ms = times.quantiles().p95_ms;
            }
        }
        series
    }
}

fn worst_served(
    workspaces: &[WorkspaceReport],
    answered: &[f64],
    surging: &[String],
) -> WorstServed {
    let p95 = |report: &WorkspaceReport| report.urgent_first_token.p95_ms;
    let served = || {
        workspaces.iter().zip(answered).filter(|(report, _)| {
            report.urgent_first_token.count > 0 && !surging.contains(&report.name)
        })
    };
    let worst = served().max_by(|(a, _), (b, _)| p95(a).total_cmp(&p95(b)));
    let best = served()
        .map(|(report, _)| p95(report))
        .fold(f64::INFINITY, f64::min);
    worst.map_or_else(WorstServed::default, |(report, answered)| WorstServed {
        workspace: report.name.clone(),
        first_token_p95_ms: p95(report),
        best_p95_ms: best,
        answered: *answered,
    })
}

/// What a draft must run on.
fn asked(draft: &Draft) -> String {
    if draft.model.contains('@') {
        return draft.model.clone();
    }
    format!("{}@{ADAPTER_VERSION}", draft.model)
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    float(part) / float(whole)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
const fn float(count: u64) -> f64 {
    count as f64
}
