//! The load and experiment tool: real daemons and stand-ins as separate processes, open-loop
//! arrivals, faults on a timeline, and a report with the users' four measures.

mod arrivals;
mod catalogue;
mod evidence;
mod fault;
mod ledger;
mod measures;
mod page;
mod plot;
mod popularity;
mod quantiles;
mod report;
mod scenario;
mod summary;
mod tables;
mod timeline;
mod trace;
mod variant;

use std::path::Path;

use eyre::WrapErr;

pub use self::fault::{FaultSpec, TimedFault};
pub(crate) use self::quantiles::Times;
pub use self::quantiles::{Point, Quantiles};
pub use self::report::{
    Batch, Faults, Filings, InstanceLoad, LoadStalls, PlatformLoad, Refusals, Report, Requests,
    Second, VariantReport, WorkReport, WorkspaceReport, WorstServed,
};
pub use self::scenario::{
    DraftSpec, Group, Instances, Popularity, Scenario, Variant, WorkKind, WorkSpec, Workspace,
};
pub use self::variant::Programs;

/// Runs a scenario's variants one after the other and writes the report into `dir` after each.
///
/// # Errors
/// If a variant can't be run or the report can't be written; whatever was started is ended.
pub async fn run(
    scenario: &Scenario,
    seed: u64,
    programs: &Programs,
    dir: &Path,
) -> eyre::Result<Report> {
    std::fs::create_dir_all(dir).wrap_err_with(|| format!("{} can't be created", dir.display()))?;
    let mut report = Report {
        scenario: scenario.name.clone(),
        about: scenario.about.clone(),
        seed,
        seconds: scenario.seconds,
        warmup_seconds: scenario.warmup_seconds,
        processors: std::thread::available_parallelism().map_or(0, usize::from),
        debug_build: cfg!(debug_assertions),
        variants: Vec::new(),
    };
    let surging = scenario.surging();
    for variant in &scenario.variants {
        let scenario = if variant.without_faults {
            scenario.calm()
        } else {
            scenario.clone()
        };
        let run = variant::run(&scenario, variant, seed, programs, dir).await;
        let run = run.wrap_err_with(|| format!("variant `{}` broke off", variant.name))?;
        let trace = dir.join(format!("{}.trace.jsonl", variant.name));
        trace::write(&scenario, &run, &trace)?;
        let measured = measures::report(&scenario, variant, &run, &surging);
        report.variants.push(measured);
        write(&report, dir)?;
    }
    Ok(report)
}

fn write(report: &Report, dir: &Path) -> eyre::Result<()> {
    let json = serde_json::to_string_pretty(report)?;
    std::fs::write(dir.join("report.json"), json).wrap_err("the report can't be written")?;
    std::fs::write(dir.join("report.html"), page::page(report))
        .wrap_err("the page can't be written")
}
