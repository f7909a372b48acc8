//! The report as one self-contained page.

use super::plot::{self, Axes, Line, Scale, colour, escaped};
use super::report::{Report, VariantReport};
use super::tables::{self, FIGURES, NEVER};

/// The page's style; nothing is loaded from elsewhere.
const STYLE: &str = "body{font:14px/1.4 system-ui,sans-serif;max-width:1340px;margin:1em auto;padding:0 1em;color:#222}\
svg{width:640px;max-width:100%;font-size:11px}table{border-collapse:collapse;margin:1em 0}\
td,th{border-bottom:1px solid #ddd;padding:2px 10px;text-align:right}th:first-child,td:first-child{text-align:left}\
.bad{color:#b00;font-weight:bold}.key{display:inline-block;width:1em;height:.7em;margin-right:.4em}";

/// The page.
pub(super) fn page(report: &Report) -> String {
    let title = escaped(&report.scenario);
    let build = if report.debug_build {
        "debug build"
    } else {
        "release build"
    };
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style>\
<h1>{title}</h1><p>{}</p><p>Seed {}, {} s of arrivals, the first {} s left out; {} processors, {build}.</p>",
        escaped(&report.about),
        report.seed,
        report.seconds,
        report.warmup_seconds,
        report.processors,
    );
    page.push_str(&legend(report));
    page.push_str(&bars(report));
    page.push_str(&curves(report));
    page.push_str("<h2>Figures</h2>");
    page.push_str(&tables::table(report, FIGURES));
    page.push_str("<h2>What must never be</h2>");
    page.push_str(&tables::table(report, NEVER));
    for variant in &report.variants {
        page.push_str(&tables::details(variant));
    }
    page.push_str("</html>\n");
    page
}

fn legend(report: &Report) -> String {
    let keys = report.variants.iter().enumerate().map(|(index, variant)| {
        let colour = colour(index);
        let name = escaped(&variant.name);
        format!("<span class=\"key\" style=\"background:{colour}\"></span>{name} ")
    });
    format!("<p>{}</p>", keys.collect::<String>())
}

fn bars(report: &Report) -> String {
    let values = |value: fn(&VariantReport) -> f64| {
        let named = report
            .variants
            .iter()
            .map(|one| (one.name.clone(), value(one)));
        named.collect::<Vec<_>>()
    };
    [
        plot::bars(
            "Load stalls",
            "seconds waited, all drafts",
            &values(|one| one.load_stalls.total_seconds),
        ),
        plot::bars(
            "Batch efficiency",
            "share of places used",
            &values(|one| one.batch.efficiency),
        ),
        plot::bars(
            "Worst-served workspace",
            "time to first token p95, ms",
            &values(|one| one.worst_served.first_token_p95_ms),
        ),
        plot::bars(
            "Wrongful refusals",
            "refusals within the rate",
            &values(|one| {
                one.refusals
                    .wrongful_by_kind
                    .values()
                    .map(|count| float(*count))
                    .sum()
            }),
        ),
    ]
    .concat()
}

fn curves(report: &Report) -> String {
    let by_variant = |points: &dyn Fn(&VariantReport) -> Vec<(f64, f64)>| {
        let lines = report.variants.iter().map(|one| Line {
            name: one.name.clone(),
            points: points(one),
        });
        lines.collect::<Vec<_>>()
    };
    let seconds = |value: fn(&super::Second) -> f64| {
        move |one: &VariantReport| {
            let values = one.series.iter().enumerate();
            values
                .map(|(at, second)| (float(at), value(second)))
                .collect()
        }
    };
    let distribution = by_variant(&|one| {
        one.first_token
            .iter()
            .map(|point| (point.ms, point.share))
            .collect()
    });
    let first = by_variant(&seconds(|second| second.first_token_p95_ms));
    let refusals = by_variant(&seconds(|second| float(second.refusals)));
    [
        plot::lines(
            &axes(
                "Urgent drafts: time to first token",
                "ms",
                "share no longer",
                Scale::Logarithmic,
            ),
            &distribution,
        ),
        plot::lines(
            &axes(
                "Urgent drafts, by the second wanted",
                "s",
                "time to first token p95, ms",
                Scale::Linear,
            ),
            &first,
        ),
        plot::lines(
            &axes(
                "Refusals, by the second wanted",
                "s",
                "refusals",
                Scale::Linear,
            ),
            &refusals,
        ),
    ]
    .concat()
}

const fn axes(title: &'static str, x: &'static str, y: &'static str, x_scale: Scale) -> Axes {
    Axes {
        title,
        x,
        y,
        x_scale,
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
const fn float(count: usize) -> f64 {
    count as f64
}
