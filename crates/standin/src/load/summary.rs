//! The report as a few lines of text.

use std::fmt::Write;

use super::report::{Report, VariantReport};

impl Report {
    /// The four measures and what must never be, a line for each variant.
    #[must_use]
    pub fn summary(&self) -> String {
        let mut text = format!("{} (seed {})\n", self.scenario, self.seed);
        for variant in &self.variants {
            // Writing to a string can't fail.
            let _infallible = writeln!(text, "  {}", line(variant));
        }
        text
    }
}

fn line(one: &VariantReport) -> String {
    let never = &one.faults;
    let faults = [
        never.filings_run_twice,
        never.wrong_adapter,
        never.wrong_text,
        never.false_not_run,
        usize::try_from(never.evicted_in_use).unwrap_or(usize::MAX),
        never.keys_seen,
        never.over_limit,
    ];
    format!(
        "{}: {}/{} answered, load stalls {} ({:.1} s), batch efficiency {:.3}, worst-served {} p95 {:.0} ms, wrongful refusals {} ({} of them of surging workspaces), platform {:.1} calls/s, must-never counts {faults:?}",
        one.name,
        one.requests.answered,
        one.requests.total,
        one.load_stalls.stalled,
        one.load_stalls.total_seconds,
        one.batch.efficiency,
        one.worst_served.workspace,
        one.worst_served.first_token_p95_ms,
        one.refusals.wrongful,
        one.refusals.wrongful_surging,
        one.platform.calls_per_second,
    )
}
