//! Line and bar plots as inline SVG.

use std::fmt::Write;

/// Size of a plot and its margins, in pixels.
const WIDTH: f64 = 640.0;
const HEIGHT: f64 = 240.0;
const LEFT: f64 = 64.0;
const RIGHT: f64 = 16.0;
const TOP: f64 = 24.0;
const BOTTOM: f64 = 40.0;

/// Lines across a plot.
const GRID_LINES: u32 = 4;

/// Colours by variant, told apart by most people with a colour vision deficiency.
const COLOURS: [&str; 6] = [
    "#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9",
];

/// How values lie along an axis.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Scale {
    Linear,
    Logarithmic,
}

/// A named line.
#[derive(Debug)]
pub(super) struct Line {
    pub(super) name: String,
    pub(super) points: Vec<(f64, f64)>,
}

/// Axes of a plot.
#[derive(Debug)]
pub(super) struct Axes {
    pub(super) title: &'static str,
    pub(super) x: &'static str,
    pub(super) y: &'static str,
    pub(super) x_scale: Scale,
}

/// The colour of the variant with this index.
pub(super) const fn colour(index: usize) -> &'static str {
    COLOURS[index % COLOURS.len()]
}

/// Text that is safe inside HTML and SVG.
pub(super) fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// A plot of lines.
pub(super) fn lines(axes: &Axes, lines: &[Line]) -> String {
    let points = || lines.iter().flat_map(|line| &line.points);
    let place = |x: f64| match axes.x_scale {
        Scale::Linear => x,
        Scale::Logarithmic => x.max(f64::MIN_POSITIVE).log10(),
    };
    let least_x = points()
        .map(|(x, _)| place(*x))
        .fold(f64::INFINITY, f64::min);
    let most_x = points()
        .map(|(x, _)| place(*x))
        .fold(f64::NEG_INFINITY, f64::max);
    let most_y = points().map(|(_, y)| *y).fold(0.0, f64::max);
    if !least_x.is_finite() || most_y <= 0.0 {
        return format!("<p>{}: nothing to plot</p>", escaped(axes.title));
    }
    let span = (most_x - least_x).max(1e-9);
    let at_x = |x: f64| LEFT + (place(x) - least_x) / span * (WIDTH - LEFT - RIGHT);
    let at_y = |y: f64| HEIGHT - BOTTOM - y / most_y * (HEIGHT - TOP - BOTTOM);
    let mut svg = opening(axes.title);
    for step in 0..=GRID_LINES {
        let share = f64::from(step) / f64::from(GRID_LINES);
        horizontal(&mut svg, at_y(share * most_y), share * most_y);
        let placed = least_x + share * span;
        let value = match axes.x_scale {
            Scale::Linear => placed,
            Scale::Logarithmic => 10_f64.powf(placed),
        };
        label(
            &mut svg,
            at_x(value),
            HEIGHT - BOTTOM + 14.0,
            "middle",
            &short(value),
        );
    }
    label(&mut svg, WIDTH / 2.0, HEIGHT - 6.0, "middle", axes.x);
    label(&mut svg, 4.0, TOP - 4.0, "start", axes.y);
    for (index, line) in lines.iter().enumerate() {
        let path = line
            .points
            .iter()
            .map(|(x, y)| format!("{:.1},{:.1}", at_x(*x), at_y(*y)));
        let path: Vec<_> = path.collect();
        let colour = colour(index);
        // Writing to a string can't fail.
        let _infallible = write!(
            svg,
            "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\" points=\"{}\"><title>{}</title></polyline>",
            path.join(" "),
            escaped(&line.name)
        );
    }
    svg.push_str("</svg>");
    svg
}

/// A plot of bars, one for each variant.
pub(super) fn bars(title: &str, unit: &str, values: &[(String, f64)]) -> String {
    let most = values.iter().map(|(_, value)| *value).fold(0.0, f64::max);
    let mut svg = opening(title);
    label(&mut svg, 4.0, TOP - 4.0, "start", unit);
    let scale = if most > 0.0 { most } else { 1.0 };
    let mut at = LEFT;
    let step = (WIDTH - LEFT - RIGHT) / float(values.len().max(1));
    for (index, (name, value)) in values.iter().enumerate() {
        let height = value / scale * (HEIGHT - TOP - BOTTOM);
        let top = HEIGHT - BOTTOM - height;
        let colour = colour(index);
        let width = step * 0.6;
        let _infallible = write!(
            svg,
            "<rect x=\"{at:.1}\" y=\"{top:.1}\" width=\"{width:.1}\" height=\"{height:.1}\" fill=\"{colour}\"/>"
        );
        let middle = at + width / 2.0;
        label(&mut svg, middle, top - 4.0, "middle", &short(*value));
        label(&mut svg, middle, HEIGHT - BOTTOM + 14.0, "middle", name);
        at += step;
    }
    svg.push_str("</svg>");
    svg
}

/// A number with three significant digits.
pub(super) fn short(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 || size == 0.0 {
        return format!("{value:.0}");
    }
    if size >= 10.0 {
        return format!("{value:.1}");
    }
    if size >= 1.0 {
        return format!("{value:.2}");
    }
    format!("{value:.4}")
}

fn opening(title: &str) -> String {
    format!(
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"{title}\"><text x=\"{}\" y=\"14\" text-anchor=\"middle\" font-weight=\"bold\">{title}</text>",
        WIDTH / 2.0,
        title = escaped(title),
    )
}

fn horizontal(svg: &mut String, y: f64, value: f64) {
    let right = WIDTH - RIGHT;
    let _infallible = write!(
        svg,
        "<line x1=\"{LEFT}\" x2=\"{right}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#ddd\"/>"
    );
    label(svg, LEFT - 4.0, y + 4.0, "end", &short(value));
}

fn label(svg: &mut String, x: f64, y: f64, anchor: &str, text: &str) {
    let _infallible = write!(
        svg,
        "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{}</text>",
        escaped(text)
    );
}

#[expect(clippy::cast_precision_loss, reason = "there are a handful of bars")]
const fn float(count: usize) -> f64 {
    count as f64
}
