//! What became of each request, a line of JSON each, to find causes in.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use eyre::WrapErr;
use serde::Serialize;

use super::quantiles::millis;
use super::scenario::Scenario;
use super::variant::Run;
use crate::Micros;
use crate::caller::{Attempt, Outcome, Work};
use crate::engine::EngineRun;

#[derive(Serialize)]
struct Line<'a> {
    at_ms: f64,
    workspace: &'a str,
    work: &'a str,
    asked: &'a str,
    attempts: Vec<AttemptLine<'a>>,
}

#[derive(Serialize)]
struct AttemptLine<'a> {
    sent_ms: f64,
    instance: Option<String>,
    request: Option<&'a str>,
    outcome: String,
    first_token_ms: Option<f64>,
    ended_ms: f64,
    engine: Option<EngineLine<'a>>,
}

#[derive(Serialize)]
struct EngineLine<'a> {
    name: &'a str,
    arrived_ms: f64,
    started_ms: Option<f64>,
}

/// Writes the trace of a run.
///
/// # Errors
/// If the file can't be written.
pub(super) fn write(scenario: &Scenario, run: &Run, path: &Path) -> eyre::Result<()> {
    let file =
        File::create(path).wrap_err_with(|| format!("{} can't be written", path.display()))?;
    let mut out = BufWriter::new(file);
    let trace = Trace::new(run);
    for record in &run.records {
        let asked = match &record.arrival.asked {
            Work::Draft(draft) => &draft.model,
            Work::Call(call) => &call.path,
        };
        let line = Line {
            at_ms: record.arrival.at.as_secs_f64() * 1e3,
            workspace: &scenario.workspaces[record.arrival.workspace].name,
            work: &scenario.work[record.arrival.work].name,
            asked,
            attempts: record
                .trace
                .attempts
                .iter()
                .map(|one| trace.attempt(one))
                .collect(),
        };
        serde_json::to_writer(&mut out, &line)?;
        out.write_all(b"\n")?;
    }
    out.flush()?;
    Ok(())
}

struct Trace<'a> {
    begun: Micros,
    engines: HashMap<&'a str, (&'a str, &'a EngineRun)>,
}

impl<'a> Trace<'a> {
    fn new(run: &'a Run) -> Self {
        let logs = run.evidence.engines.iter();
        let runs = logs.flat_map(|(name, log)| log.runs.iter().map(move |run| (&**name, run)));
        Self {
            begun: run.begun,
            engines: runs
                .map(|(name, run)| (&*run.request_id, (name, run)))
                .collect(),
        }
    }

    fn attempt(&self, attempt: &'a Attempt) -> AttemptLine<'a> {
        let request = attempt.request_id.as_deref();
        let ran = request.and_then(|id| self.engines.get(id));
        AttemptLine {
            sent_ms: self.since(attempt.sent),
            instance: attempt.address.map(|address| address.to_string()),
            request,
            outcome: match &attempt.outcome {
                Outcome::Refused(refused) => {
                    format!("refused {} ran {}", refused.kind, refused.ran)
                }
                other => format!("{other:?}"),
            },
            first_token_ms: attempt.first_token.map(|at| self.since(at)),
            ended_ms: self.since(attempt.ended),
            engine: ran.map(|(name, run)| EngineLine {
                name,
                arrived_ms: self.since(run.arrived),
                started_ms: run.started.map(|at| self.since(at)),
            }),
        }
    }

    fn since(&self, at: Micros) -> f64 {
        millis(at.saturating_sub(self.begun))
    }
}
