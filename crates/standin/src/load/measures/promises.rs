//! What must never be, checked against the stand-ins' logs.

use std::collections::{HashMap, HashSet};

use super::super::report::{Faults, Filings};
use super::{Measures, asked};
use crate::caller::{Attempt, Outcome, ServiceCall, Work};

impl Measures<'_> {
    pub(super) fn filings(&self) -> Filings {
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

    pub(super) fn faults(&self) -> Faults {
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

fn filing(asked: &Work) -> Option<&str> {
    match asked {
        Work::Call(call) => call.idempotency_key.as_deref(),
        Work::Draft(_) => None,
    }
}
