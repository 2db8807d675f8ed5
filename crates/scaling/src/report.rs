//! The tables, as text.

use crate::axes::{Axis, Budget, FLAT, Quantity, Row};
use crate::fit::{Form, Growth, GrowthFlag, Interval, Prediction, ScalingLaw, mean_by_size};
use crate::functions::{Function, Measurement};
use crate::hypotheses::{Finding, NOT_MEASURED};
use crate::scenario::FleetParameters;
use std::fmt::Write as _;

/// A law that is off by more than this at the size kept out of it predicts nothing where there is a better one.
const OFF: f64 = 0.25;

/// A figure with three digits that count.
pub fn figure(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 1e6 => format!("{:.2}M", value / 1e6),
        size if size >= 1e4 => format!("{:.1}k", value / 1e3),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        size if size >= 1e-3 => format!("{value:.4}"),
        _ => format!("{value:.1e}"),
    }
}

fn interval(of: &Interval) -> String {
    format!("[{}, {}]", figure(of.low), figure(of.high))
}

fn percent(part: f64) -> String {
    if part.is_finite() { format!("{:.1}%", 100.0 * part) } else { "-".to_owned() }
}

fn form(law: &ScalingLaw) -> &'static str {
    match law.form {
        Form::Power => "power",
        Form::Line => "line",
    }
}

fn words(marks: &[GrowthFlag]) -> String {
    let word = |mark: &GrowthFlag| match mark {
        GrowthFlag::ExponentTooLarge => "STEEP",
        GrowthFlag::ExceedsPrediction => "BENDS",
    };
    marks.iter().map(word).collect::<Vec<_>>().join(" ")
}

/// Is told in one line with others.
fn flat(row: &Row) -> bool {
    match &row.growth {
        Growth::Absent => true,
        Growth::Law(law, _) => law.exponent.abs() < FLAT && row.flags().is_empty(),
        Growth::NotFitted(_) => false,
    }
}

/// The slopes: one line for each function, axis and quantity that grows.
pub fn growth_table(rows: &[Row]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<14} {:<10} {:<19} {:>8} {:<16} {:>6} | {:>6} {:>9} {:<20} {:>9} {:>7}  marks",
        "function",
        "axis",
        "quantity",
        "exponent",
        "95%",
        "R2",
        "kept",
        "predicted",
        "95%",
        "measured",
        "error"
    );
    for row in rows.iter().filter(|row| !flat(row)) {
        let (function, axis, quantity) = (row.function.name(), row.axis.name(), row.quantity.name());
        let _ = write!(text, "{function:<14} {axis:<10} {quantity:<19} ");
        match &row.growth {
            Growth::Law(law, held) => {
                let r2 = law.r2.map_or("-".to_owned(), |r2| format!("{r2:.3}"));
                let within = format!("[{:.2}, {:.2}]", law.exponent_interval.low, law.exponent_interval.high);
                let mut marks = words(&row.flags());
                if !held.within_interval() {
                    marks = format!("outside {marks}");
                }
                let extrapolated = if held.predicted.extrapolated { "far" } else { "" };
                let _ = writeln!(
                    text,
                    "{:>8.2} {within:<16} {r2:>6} | {:<5} {:>5} {:>9} {:<20} {:>9} {:>7}  {} {extrapolated}",
                    law.exponent,
                    form(law),
                    held.size,
                    figure(held.predicted.value),
                    interval(&held.predicted.within),
                    figure(held.measured),
                    percent(held.error()),
                    marks.trim()
                );
            }
            Growth::NotFitted(why) => {
                let seen = mean_by_size(&row.points);
                let seen: Vec<String> =
                    seen.iter().map(|at| format!("{}: {}", at.size, figure(at.value))).collect();
                let _ = writeln!(text, "no law ({why}): {}", seen.join(", "));
            }
            Growth::Absent => {}
        }
    }
    let _ = writeln!(text, "\nNone at all, or the same at every size (exponent within {FLAT} of 0):");
    for axis in Axis::ALL {
        let on = rows.iter().filter(|row| row.axis == axis && flat(row));
        let names: Vec<String> =
            on.map(|row| format!("{} {}", row.function.name(), row.quantity.name())).collect();
        let _ = writeln!(text, "  {}: {}", axis.name(), names.join(", "));
    }
    text
}

/// The law that a function's quantity is predicted by: of the axes along which it surely grows or shrinks, that whose
/// law is least off at the size kept out; where all of these are off by more than [`OFF`], of all axes.
pub fn best(rows: &[Row], function: Function, quantity: Quantity) -> Option<(Axis, &ScalingLaw)> {
    let of = rows.iter().filter(|row| row.function == function && row.quantity == quantity);
    let laws = of.filter_map(|row| match &row.growth {
        Growth::Law(law, held) => Some((row.axis, law, held.error().abs())),
        Growth::Absent | Growth::NotFitted(_) => None,
    });
    let poor = |law: &ScalingLaw, error: f64| {
        law.exponent.abs() < FLAT || law.exponent_interval.contains(0.0) || error > OFF
    };
    let order = |a: &(Axis, &ScalingLaw, f64), b: &(Axis, &ScalingLaw, f64)| {
        poor(a.1, a.2).cmp(&poor(b.1, b.2)).then(a.2.total_cmp(&b.2))
    };
    laws.min_by(order).map(|(axis, law, _)| (axis, law))
}

/// The mean of what was measured of a function at one size, over the seeds.
fn mean(
    measured: &[Vec<Measurement>],
    function: Function,
    value: impl Fn(&Measurement) -> Option<f64>,
) -> Option<f64> {
    let all = measured.iter().flatten().filter(|of| of.function == function).filter_map(value);
    let values: Vec<f64> = all.collect();
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

/// What the laws say of the base, beside what was measured there, and how extrapolated the budget goes.
pub fn base_table(
    rows: &[Row],
    base: &FleetParameters,
    measured: &[Vec<Measurement>],
    budget: &Budget,
) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{} workers, {} schedulers, {} tenants, {} starts a second, day {}; predicted along the axis whose law held \
         best at the size kept out of it; headroom: the budget by what is predicted, and at worst by the upper end of \
         its interval or what was measured, if that is more",
        base.workers, base.schedulers, base.tenants, base.starts_per_s, base.days
    );
    let _ = writeln!(
        text,
        "{:<14} {:<19} {:<10} {:>9} {:<20} {:>9} {:>7}  {:>8} {:>8}  used up at",
        "function", "quantity", "axis", "predicted", "95%", "measured", "error", "headroom", "at worst"
    );
    for function in Function::ALL {
        for quantity in Quantity::ALL {
            let Some(seen) = mean(measured, function, |of| quantity.of(of)) else { continue };
            let Some((axis, law)) = best(rows, function, quantity) else {
                let _ = writeln!(
                    text,
                    "{:<14} {:<19} {:<10} {:>9} {:<20} {:>9}",
                    function.name(),
                    quantity.name(),
                    "-",
                    "-",
                    "",
                    figure(seen)
                );
                continue;
            };
            let Prediction { value, within, extrapolated } = law.predict(axis.of(base));
            let room = |of: f64| {
                let times = quantity.budget(budget).map(|most| most / of);
                times.map_or(String::new(), |times| format!("{}x", figure(times)))
            };
            let (headroom, at_worst) = (room(value), room(within.high.max(seen)));
            let over = quantity.budget(budget).is_some_and(|most| most < value.max(seen));
            let of = rows.iter().filter(|row| row.function == function && row.quantity == quantity);
            let ends: Vec<String> = of
                .filter_map(|row| row.reaches.map(|size| (row, size)))
                .filter(|(_, size)| *size < 1e6)
                .map(|(row, size)| format!("{} {}", row.axis.name(), figure(size)))
                .collect();
            let _ = writeln!(
                text,
                "{:<14} {:<19} {:<10} {:>9} {:<20} {:>9} {:>7}  {headroom:>8} {at_worst:>8}  {}{}{}",
                function.name(),
                quantity.name(),
                axis.name(),
                figure(value),
                interval(&within),
                figure(seen),
                percent(value / seen - 1.0),
                if over { "OVER " } else { "" },
                ends.join(", "),
                if extrapolated { " (extrapolated)" } else { "" }
            );
        }
    }
    let _ = writeln!(text, "\nIn the mean second of an ordinary day, for one scheduler, as measured:");
    for function in Function::ALL {
        let bytes = mean(measured, function, |of| of.mean.bytes);
        let cpu = mean(measured, function, |of| of.mean.cpu_ms);
        if bytes.is_some() || cpu.is_some() {
            let told = |value: Option<f64>| value.map_or("-".to_owned(), figure);
            let name = function.name();
            let _ = writeln!(text, "  {name:<14} {:>9} bytes/s {:>9} ms/s", told(bytes), told(cpu));
        }
    }
    text
}

/// What was suspected, and what was found.
pub fn findings_text(findings: &[Finding]) -> String {
    let mut text = String::new();
    for finding in findings {
        let verdict = if finding.confirmed { "confirmed" } else { "ruled out" };
        let _ = writeln!(text, "{verdict}: {} (line: {})", finding.hypothesis, finding.threshold);
        for figure in &finding.results {
            let _ = writeln!(text, "  {figure}");
        }
    }
    for line in NOT_MEASURED {
        let _ = writeln!(text, "not measured: {line}");
    }
    text
}

/// What each function's costs are given for.
pub fn function_legend() -> String {
    let line = |of: &Function| format!("  {:<14} {}\n", of.name(), of.event());
    Function::ALL.iter().map(line).collect()
}
