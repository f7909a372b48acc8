//! From a run's records and evidence to its report.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::arrivals::ADAPTER_VERSION;
use super::evidence::{Counters, Evidence};
use super::ledger;
use super::quantiles::Times;
use super::report::{
    Batch, Faults, Filings, InstanceLoad, LoadStalls, PlatformLoad, Refusals, Requests, Second,
    VariantReport, WorkReport, WorkspaceReport, WorstServed,
};
use super::scenario::{Scenario, Variant, WorkKind};
use super::variant::{Record, Run};
use crate::Micros;
use crate::caller::{Attempt, Draft, Outcome, ServiceCall, Work};
use crate::engine::{OrderKind, OrderResult};
use crate::store::StoreOutcome;

/// Answers a workspace's whole run may exceed its limit by, for rounding: a thousandth.
const LIMIT_TOLERANCE: f64 = 1.001;

/// The report of a run.
pub(super) fn report(scenario: &Scenario, variant: &Variant, run: &Run) -> VariantReport {
    Measures { scenario, run }.report(variant)
}

struct Measures<'a> {
    scenario: &'a Scenario,
    run: &'a Run,
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
            worst_served: worst_served(&workspaces, &self.urgent_answered()),
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
            not_connected: count(|outcome| *outcome == Outcome::NotConnected),
            nowhere: count(|outcome| *outcome == Outcome::Nowhere),
        }
    }

    fn load_stalls(&self) -> LoadStalls {
        // Which engine ran a request, and the ends of the loads there, by adapter.
        let mut ran_on: HashMap<&str, (usize, Micros)> = HashMap::new();
        let mut loads: HashMap<(usize, &str), Vec<Micros>> = HashMap::new();
        let evidence = &self.run.evidence;
        for (engine, (_, log)) in evidence.engines.iter().enumerate() {
            for run in &log.runs {
                ran_on
                    .entry(&run.request_id)
                    .or_insert((engine, run.arrived));
            }
            let done = log
                .orders
                .iter()
                .filter(|order| order.kind == OrderKind::Load && order.result == OrderResult::Done);
            for order in done {
                loads
                    .entry((engine, &order.adapter))
                    .or_default()
                    .push(order.ended);
            }
        }
        let mut wait = Times::default();
        let mut total = 0;
        let mut drafts = 0;
        for record in self.measured() {
            let (Work::Draft(draft), Some(last)) = (&record.arrival.asked, record.trace.last())
            else {
                continue;
            };
            let Some(id) = last.request_id.as_deref() else {
                continue;
            };
            let Some((engine, arrived)) = ran_on.get(id) else {
                continue;
            };
            drafts += 1;
            let adapter = asked(draft);
            let ended = loads.get(&(*engine, &*adapter)).into_iter().flatten();
            let within = ended
                .copied()
                .filter(|end| (last.sent..=*arrived).contains(end));
            if let Some(end) = within.max() {
                wait.add(end - last.sent);
                total += end - last.sent;
            }
        }
        let quantiles = wait.quantiles();
        let over_rate = evidence.store.reads.iter();
        LoadStalls {
            stalled: usize::try_from(quantiles.count).unwrap_or(usize::MAX),
            share: share(quantiles.count, drafts),
            total_seconds: float(total) / 1e6,
            wait: quantiles,
            loads: evidence.engines.iter().map(|(_, log)| log.loads).sum(),
            over_rate: over_rate
                .filter(|read| read.outcome == StoreOutcome::OverRate)
                .count(),
        }
    }

    fn batch(&self) -> Batch {
        let logs = || self.run.evidence.engines.iter().map(|(_, log)| &log.batch);
        let sum = |field: fn(&crate::engine::BatchTotals) -> u64| logs().map(field).sum::<u64>();
        let busy = sum(|totals| totals.busy_us);
        let engines = self.run.evidence.engines.len() as u64;
        let elapsed = self.elapsed_micros();
        let prompt = sum(|totals| totals.prefilled) + sum(|totals| totals.cached);
        Batch {
            efficiency: share(sum(|totals| totals.occupied), sum(|totals| totals.places)),
            tokens_per_busy_second: share(sum(|totals| totals.tokens), busy) * 1e6,
            busy: share(busy, elapsed * engines),
            cached: share(sum(|totals| totals.cached), prompt),
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
        for (index, workspace) in self.scenario.workspaces.iter().enumerate() {
            let mut report = self.workspace(index);
            report.name.clone_from(&workspace.name);
            // The ledger needs the warm-up's charges too.
            let records = self.run.records.iter();
            let own = records.filter(|record| record.arrival.workspace == index);
            let findings = ledger::audit(workspace, own, self.run.begun);
            report.wrongful = findings.wrongful.len();
            report.limit_used = findings.limit_used;
            for kind in findings.wrongful {
                *refusals.wrongful_by_kind.entry(kind).or_default() += 1;
                refusals.wrongful += 1;
            }
            reports.push(report);
        }
        let attempts = self
            .run
            .records
            .iter()
            .map(|record| record.trace.attempts.len());
        refusals.wrongful_share = share(refusals.wrongful as u64, attempts.sum::<usize>() as u64);
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

    fn filings(&self) -> Filings {
        let runs = self.filing_runs();
        let mut filings = Filings::default();
        for record in &self.run.records {
            let Some(name) = filing(&record.arrival.asked) else {
                continue;
            };
            filings.wanted += 1;
            match runs.get(name) {
                None => filings.not_run += 1,
                Some(1) => filings.run_once += 1,
                Some(_) => {}
            }
            let attempts = &record.trace.attempts;
            filings.replayed += usize::from(attempts.iter().any(|attempt| attempt.replayed));
            let in_doubt = |attempt: &Attempt| matches!(&attempt.outcome, Outcome::Refused(refused) if &*refused.kind == "in_doubt");
            filings.in_doubt += usize::from(attempts.last().is_some_and(in_doubt));
        }
        filings
    }

    fn filing_runs(&self) -> HashMap<&str, usize> {
        let mut runs = HashMap::new();
        for run in self.run.evidence.services.iter().flat_map(|log| &log.runs) {
            if let Some(name) = run.idempotency_key.as_deref() {
                *runs.entry(name).or_default() += 1;
            }
        }
        runs
    }

    fn faults(&self) -> Faults {
        let evidence = &self.run.evidence;
        let started = evidence.engines.iter().flat_map(|(_, log)| &log.runs);
        let started = started.filter(|run| run.started.is_some());
        let mut ran: HashSet<&str> = started.map(|run| &*run.request_id).collect();
        let calls = evidence.services.iter().flat_map(|log| &log.runs);
        ran.extend(calls.filter_map(|run| run.request_id.as_deref()));
        let mut faults = Faults {
            filings_run_twice: self
                .filing_runs()
                .values()
                .filter(|count| **count > 1)
                .count(),
            evicted_in_use: evidence.engines.iter().map(|(_, log)| log.violations).sum(),
            keys_seen: evidence.keys_seen,
            ..Faults::default()
        };
        for record in &self.run.records {
            for attempt in &record.trace.attempts {
                check(&mut faults, &record.arrival.asked, attempt, &ran);
            }
        }
        faults
    }

    fn elapsed_micros(&self) -> Micros {
        let Evidence { before, after, .. } = &self.run.evidence;
        after.at.saturating_sub(before.at)
    }

    fn platform(&self) -> PlatformLoad {
        let Evidence { before, after, .. } = &self.run.evidence;
        let seconds = float(self.elapsed_micros()) / 1e6;
        let (before, after) = (before.platform, after.platform);
        let rate = |after: u64, before: u64| float(after.saturating_sub(before)) / seconds;
        let kinds = [
            ("get", after.get, before.get),
            ("create", after.create, before.create),
            ("update", after.update, before.update),
            ("delete", after.delete, before.delete),
            ("list", after.list, before.list),
            ("watch", after.watch, before.watch),
            ("patch", after.patch, before.patch),
        ];
        let by_kind = kinds.map(|(name, after, before)| (name.to_owned(), rate(after, before)));
        PlatformLoad {
            calls_per_second: rate(after.total(), before.total()),
            by_kind: by_kind.into(),
        }
    }

    fn instances(&self) -> InstanceLoad {
        let Evidence { before, after, .. } = &self.run.evidence;
        let seconds = float(self.elapsed_micros()) / 1e6;
        let mut load = InstanceLoad::default();
        for (name, now) in &after.instances {
            load.resident_mib
                .insert(name.clone(), float(now.resident) / 1_048_576.0);
            // One that began again in between counts from zero.
            let then = earlier(before, name, now.cpu_seconds);
            let bytes = (now.control_bytes - then.control_bytes) / seconds;
            load.control_bytes_per_second.insert(name.clone(), bytes);
            load.most_control_bytes_per_second = load.most_control_bytes_per_second.max(bytes);
            let processors = (now.cpu_seconds - then.cpu_seconds) / seconds;
            load.processors.insert(name.clone(), processors);
        }
        load
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

fn earlier(before: &Counters, name: &str, cpu_seconds: f64) -> super::evidence::InstanceCounters {
    let then = before.instances.get(name).copied().unwrap_or_default();
    if then.cpu_seconds > cpu_seconds {
        return super::evidence::InstanceCounters::default();
    }
    then
}

fn worst_served(workspaces: &[WorkspaceReport], answered: &[f64]) -> WorstServed {
    let p95 = |report: &WorkspaceReport| report.urgent_first_token.p95_ms;
    let served = || {
        workspaces
            .iter()
            .zip(answered)
            .filter(|(report, _)| report.urgent_first_token.count > 0)
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

fn check(faults: &mut Faults, asked_for: &Work, attempt: &Attempt, ran: &HashSet<&str>) {
    if let Outcome::Refused(refused) = &attempt.outcome {
        let did_run = attempt
            .request_id
            .as_deref()
            .is_some_and(|id| ran.contains(id));
        faults.false_not_run += usize::from(&*refused.ran == "no" && did_run);
    }
    if attempt.outcome != Outcome::Answered {
        return;
    }
    match asked_for {
        Work::Draft(draft) => {
            let adapter = asked(draft);
            let other = attempt.ran.as_deref() != Some(&*adapter) || attempt.mixed;
            faults.wrong_adapter += usize::from(other);
            let whole = draft.answer(&adapter).text();
            faults.wrong_text += usize::from(attempt.text != whole);
        }
        Work::Call(call) => {
            let path = format!("\"path\":\"/{}\"", call.path);
            let own = attempt.text.contains(&path) && names(call, &attempt.text);
            faults.wrong_text += usize::from(!own);
        }
    }
}

fn names(call: &ServiceCall, text: &str) -> bool {
    let Some(name) = &call.idempotency_key else {
        return true;
    };
    text.contains(&format!("\"idempotency_key\":\"{name}\""))
}

/// What a draft must run on.
fn asked(draft: &Draft) -> String {
    if draft.model.contains('@') {
        return draft.model.clone();
    }
    format!("{}@{ADAPTER_VERSION}", draft.model)
}

fn filing(asked: &Work) -> Option<&str> {
    match asked {
        Work::Call(call) => call.idempotency_key.as_deref(),
        Work::Draft(_) => None,
    }
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
