//! The tables of the report's page.

use super::plot::{escaped, short};
use super::report::{Report, VariantReport};

/// A figure of a variant, as a table shows it.
pub(super) struct Row {
    name: &'static str,
    value: fn(&VariantReport) -> String,
}

const fn row(name: &'static str, value: fn(&VariantReport) -> String) -> Row {
    Row { name, value }
}

/// The figures of each variant.
pub(super) const FIGURES: &[Row] = &[
    row("requests", |one| one.requests.total.to_string()),
    row("answered", |one| one.requests.answered.to_string()),
    row("given up", |one| one.requests.given_up.to_string()),
    row("unfinished", |one| one.requests.unfinished.to_string()),
    row("attempts", |one| one.requests.attempts.to_string()),
    row("connections broken", |one| one.requests.broken.to_string()),
    row("callers hung up", |one| one.requests.hung_up.to_string()),
    row("load stalls", |one| one.load_stalls.stalled.to_string()),
    row("load stalls, share of drafts", |one| {
        percent(one.load_stalls.share)
    }),
    row("load stalls, seconds", |one| {
        short(one.load_stalls.total_seconds)
    }),
    row("load stall p50, ms", |one| {
        short(one.load_stalls.wait.p50_ms)
    }),
    row("load stall p95, ms", |one| {
        short(one.load_stalls.wait.p95_ms)
    }),
    row("loads", |one| one.load_stalls.loads.to_string()),
    row("loads over the store's rate", |one| {
        one.load_stalls.over_rate.to_string()
    }),
    row("batch efficiency", |one| percent(one.batch.efficiency)),
    row("tokens a busy second", |one| {
        short(one.batch.tokens_per_busy_second)
    }),
    row("engines busy", |one| percent(one.batch.busy)),
    row("prompt tokens from cache", |one| percent(one.batch.cached)),
    row("worst-served workspace", |one| {
        escaped(&one.worst_served.workspace)
    }),
    row("its time to first token p95, ms", |one| {
        short(one.worst_served.first_token_p95_ms)
    }),
    row("its urgent drafts answered", |one| {
        percent(one.worst_served.answered)
    }),
    row("best-served workspace's p95, ms", |one| {
        short(one.worst_served.best_p95_ms)
    }),
    row("wrongful refusals", |one| one.refusals.wrongful.to_string()),
    row("those of workspaces that surge", |one| {
        one.refusals.wrongful_surging.to_string()
    }),
    row("wrongful refusals, share of attempts", |one| {
        percent(one.refusals.wrongful_share)
    }),
    row("filings wanted", |one| one.filings.wanted.to_string()),
    row("filings run once", |one| one.filings.run_once.to_string()),
    row("filings not run", |one| one.filings.not_run.to_string()),
    row("filings in doubt", |one| one.filings.in_doubt.to_string()),
    row("platform calls a second", |one| {
        short(one.platform.calls_per_second)
    }),
    row("control bytes a second, busiest instance", |one| {
        short(one.instances.most_control_bytes_per_second)
    }),
];

/// Counts that should be zero.
pub(super) const NEVER: &[Row] = &[
    row("filings run twice", |one| {
        one.faults.filings_run_twice.to_string()
    }),
    row("wrong adapter or version", |one| {
        one.faults.wrong_adapter.to_string()
    }),
    row("not the whole answer", |one| {
        one.faults.wrong_text.to_string()
    }),
    row("\u{201c}not run\u{201d} of what ran", |one| {
        one.faults.false_not_run.to_string()
    }),
    row("evicted in use", |one| {
        one.faults.evicted_in_use.to_string()
    }),
    row("keys seen by targets or platform", |one| {
        one.faults.keys_seen.to_string()
    }),
    row("workspaces over their limit", |one| {
        one.faults.over_limit.to_string()
    }),
];

/// A table with a column for each variant.
pub(super) fn table(report: &Report, rows: &[Row]) -> String {
    let names = report.variants.iter().map(|one| escaped(&one.name));
    let mut table = String::from("<table>");
    table.push_str(&heading("", names));
    for row in rows {
        let values = report.variants.iter().map(row.value);
        table.push_str(&line(row.name, values));
    }
    table.push_str("</table>");
    table
}

fn heading(first: &str, others: impl Iterator<Item = String>) -> String {
    let others = others.map(|other| format!("<th>{other}</th>"));
    format!("<tr><th>{first}</th>{}</tr>", others.collect::<String>())
}

fn line(first: &str, others: impl Iterator<Item = String>) -> String {
    let others = others.map(|other| format!("<td>{other}</td>"));
    format!("<tr><td>{first}</td>{}</tr>", others.collect::<String>())
}

/// What became of one variant's workspaces and kinds of work.
pub(super) fn details(variant: &VariantReport) -> String {
    format!(
        "<h2>{}</h2>{}{}{}",
        escaped(&variant.name),
        workspaces(variant),
        work(variant),
        refusals(variant)
    )
}

fn workspaces(variant: &VariantReport) -> String {
    let columns = [
        "requests",
        "answered",
        "urgent first token p50, ms",
        "p95",
        "p99",
        "between tokens p50, ms",
        "p99",
        "batch first token p95, ms",
        "wrongful",
        "of its limit used",
    ];
    let mut table = String::from("<table>");
    table.push_str(&heading("workspace", columns.into_iter().map(Into::into)));
    for one in &variant.workspaces {
        let values = [
            one.requests.to_string(),
            one.answered.to_string(),
            short(one.urgent_first_token.p50_ms),
            short(one.urgent_first_token.p95_ms),
            short(one.urgent_first_token.p99_ms),
            short(one.urgent_between_tokens.p50_ms),
            short(one.urgent_between_tokens.p99_ms),
            short(one.batch_first_token.p95_ms),
            one.wrongful.to_string(),
            percent(one.limit_used),
        ];
        table.push_str(&line(&escaped(&one.name), values.into_iter()));
    }
    table.push_str("</table>");
    table
}

fn work(variant: &VariantReport) -> String {
    let columns = [
        "requests",
        "answered",
        "first p50, ms",
        "p95",
        "whole p50, ms",
        "p95",
    ];
    let mut table = String::from("<table>");
    table.push_str(&heading("work", columns.into_iter().map(Into::into)));
    for one in &variant.work {
        let values = [
            one.requests.to_string(),
            one.answered.to_string(),
            short(one.first.p50_ms),
            short(one.first.p95_ms),
            short(one.whole.p50_ms),
            short(one.whole.p95_ms),
        ];
        table.push_str(&line(&escaped(&one.name), values.into_iter()));
    }
    table.push_str("</table>");
    table
}

fn refusals(variant: &VariantReport) -> String {
    let kinds = variant.refusals.by_kind.iter().map(|(kind, count)| {
        let wrongful = variant.refusals.wrongful_by_kind.get(kind).unwrap_or(&0);
        format!("{} {count} ({wrongful} within the rate)", escaped(kind))
    });
    let kinds: Vec<_> = kinds.collect();
    if kinds.is_empty() {
        return "<p>Refusals: none.</p>".into();
    }
    format!("<p>Refusals: {}.</p>", kinds.join(", "))
}

fn percent(share: f64) -> String {
    format!("{} %", short(share * 100.0))
}
