//! Formats the result tables as text.

use crate::axes::{Axis, Budget, FLAT_EXPONENT, Quantity, Row};
use crate::fit::{Form, Growth, GrowthFlag, Interval, Prediction, ScalingLaw, mean_by_size};
use crate::functions::{Function, Measurement};
use crate::hypotheses::{Finding, NOT_MEASURED};
use crate::scenario::FleetParameters;
use std::fmt::Write as _;

/// Largest absolute relative error at the held-out size at which a law is still preferred for predictions.
const MAX_HELD_OUT_ERROR: f64 = 0.25;

/// Formats a value with three or four significant digits.
pub fn format_value(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        magnitude if magnitude >= 1e6 => format!("{:.2}M", value / 1e6),
        magnitude if magnitude >= 1e4 => format!("{:.1}k", value / 1e3),
        magnitude if magnitude >= 100.0 => format!("{value:.0}"),
        magnitude if magnitude >= 10.0 => format!("{value:.1}"),
        magnitude if magnitude >= 1.0 => format!("{value:.2}"),
        magnitude if magnitude >= 1e-3 => format!("{value:.4}"),
        _ => format!("{value:.1e}"),
    }
}

fn format_interval(interval: &Interval) -> String {
    format!("[{}, {}]", format_value(interval.low), format_value(interval.high))
}

fn format_percent(fraction: f64) -> String {
    if fraction.is_finite() { format!("{:.1}%", 100.0 * fraction) } else { "-".to_owned() }
}

fn form_name(law: &ScalingLaw) -> &'static str {
    match law.form {
        Form::Power => "power",
        Form::Line => "line",
    }
}

fn flag_names(flags: &[GrowthFlag]) -> String {
    let flag_name = |flag: &GrowthFlag| match flag {
        GrowthFlag::ExponentTooLarge => "STEEP",
        GrowthFlag::ExceedsPrediction => "BENDS",
    };
    flags.iter().map(flag_name).collect::<Vec<_>>().join(" ")
}

/// Returns true if the row is only listed by name, because its value is 0 or constant.
fn is_flat(row: &Row) -> bool {
    match &row.growth {
        Growth::Absent => true,
        Growth::Law(law, _) => law.exponent.abs() < FLAT_EXPONENT && row.flags().is_empty(),
        Growth::NotFitted(_) => false,
    }
}

/// The growth table: one line for each function, axis and quantity that grows.
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
    for row in rows.iter().filter(|row| !is_flat(row)) {
        let (function, axis, quantity) = (row.function.name(), row.axis.name(), row.quantity.name());
        let _ = write!(text, "{function:<14} {axis:<10} {quantity:<19} ");
        match &row.growth {
            Growth::Law(law, held_out) => {
                let r2 = law.r2.map_or("-".to_owned(), |r2| format!("{r2:.3}"));
                let exponent_interval =
                    format!("[{:.2}, {:.2}]", law.exponent_interval.low, law.exponent_interval.high);
                let mut flags = flag_names(&row.flags());
                if !held_out.within_interval() {
                    flags = format!("outside {flags}");
                }
                let extrapolated = if held_out.prediction.extrapolated { "far" } else { "" };
                let _ = writeln!(
                    text,
                    "{:>8.2} {exponent_interval:<16} {r2:>6} | {:<5} {:>5} {:>9} {:<20} {:>9} {:>7}  {} {extrapolated}",
                    law.exponent,
                    form_name(law),
                    held_out.size,
                    format_value(held_out.prediction.value),
                    format_interval(&held_out.prediction.interval),
                    format_value(held_out.measured),
                    format_percent(held_out.relative_error()),
                    flags.trim()
                );
            }
            Growth::NotFitted(error) => {
                let means = mean_by_size(&row.points);
                let values: Vec<String> = means
                    .iter()
                    .map(|point| format!("{}: {}", point.size, format_value(point.value)))
                    .collect();
                let _ = writeln!(text, "no law ({error}): {}", values.join(", "));
            }
            Growth::Absent => {}
        }
    }
    let _ = writeln!(text, "\nZero or constant at every size (exponent within {FLAT_EXPONENT} of 0):");
    for axis in Axis::ALL {
        let flat_rows = rows.iter().filter(|row| row.axis == axis && is_flat(row));
        let names: Vec<String> =
            flat_rows.map(|row| format!("{} {}", row.function.name(), row.quantity.name())).collect();
        let _ = writeln!(text, "  {}: {}", axis.name(), names.join(", "));
    }
    text
}

/// The law used to predict a quantity of a function. Among the axes along which the quantity significantly grows or
/// shrinks and whose law is off by at most [`MAX_HELD_OUT_ERROR`], this is the law with the smallest error at the
/// held-out size; if there is no such axis, it is chosen among all axes.
pub fn best_law(rows: &[Row], function: Function, quantity: Quantity) -> Option<(Axis, &ScalingLaw)> {
    let matching = rows.iter().filter(|row| row.function == function && row.quantity == quantity);
    let laws = matching.filter_map(|row| match &row.growth {
        Growth::Law(law, held_out) => Some((row.axis, law, held_out.relative_error().abs())),
        Growth::Absent | Growth::NotFitted(_) => None,
    });
    let is_poor = |law: &ScalingLaw, error: f64| {
        law.exponent.abs() < FLAT_EXPONENT
            || law.exponent_interval.contains(0.0)
            || error > MAX_HELD_OUT_ERROR
    };
    let order = |a: &(Axis, &ScalingLaw, f64), b: &(Axis, &ScalingLaw, f64)| {
        is_poor(a.1, a.2).cmp(&is_poor(b.1, b.2)).then(a.2.total_cmp(&b.2))
    };
    laws.min_by(order).map(|(axis, law, _)| (axis, law))
}

/// Mean of a measured value of a function over all seeds.
fn mean_over_seeds(
    measured: &[Vec<Measurement>],
    function: Function,
    value: impl Fn(&Measurement) -> Option<f64>,
) -> Option<f64> {
    let matching =
        measured.iter().flatten().filter(|measurement| measurement.function == function).filter_map(value);
    let values: Vec<f64> = matching.collect();
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

/// Predictions for the base fleet beside the values measured there, and the remaining headroom in the budget.
pub fn base_table(
    rows: &[Row],
    base: &FleetParameters,
    measured: &[Vec<Measurement>],
    budget: &Budget,
) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{} workers, {} schedulers, {} tenants, {} starts per second, day {}; predicted along the axis whose law has \
         the smallest error at the held-out size; headroom: the budget divided by the prediction, and at worst by the \
         larger of the upper end of its interval and the measured value",
        base.workers, base.schedulers, base.tenants, base.starts_per_s, base.days
    );
    let _ = writeln!(
        text,
        "{:<14} {:<19} {:<10} {:>9} {:<20} {:>9} {:>7}  {:>8} {:>8}  used up at",
        "function", "quantity", "axis", "predicted", "95%", "measured", "error", "headroom", "at worst"
    );
    for function in Function::ALL {
        for quantity in Quantity::ALL {
            let Some(measured_value) =
                mean_over_seeds(measured, function, |measurement| quantity.value_in(measurement))
            else {
                continue;
            };
            let Some((axis, law)) = best_law(rows, function, quantity) else {
                let _ = writeln!(
                    text,
                    "{:<14} {:<19} {:<10} {:>9} {:<20} {:>9}",
                    function.name(),
                    quantity.name(),
                    "-",
                    "-",
                    "",
                    format_value(measured_value)
                );
                continue;
            };
            let Prediction { value, interval, extrapolated } = law.predict(axis.value_in(base));
            let headroom_of = |load: f64| {
                let times = quantity.budget(budget).map(|limit| limit / load);
                times.map_or(String::new(), |times| format!("{}x", format_value(times)))
            };
            let (headroom, at_worst) = (headroom_of(value), headroom_of(interval.high.max(measured_value)));
            let over_budget = quantity.budget(budget).is_some_and(|limit| limit < value.max(measured_value));
            let matching = rows.iter().filter(|row| row.function == function && row.quantity == quantity);
            let exhausted: Vec<String> = matching
                .filter_map(|row| row.exhausted_at.map(|size| (row, size)))
                .filter(|(_, size)| *size < 1e6)
                .map(|(row, size)| format!("{} {}", row.axis.name(), format_value(size)))
                .collect();
            let _ = writeln!(
                text,
                "{:<14} {:<19} {:<10} {:>9} {:<20} {:>9} {:>7}  {headroom:>8} {at_worst:>8}  {}{}{}",
                function.name(),
                quantity.name(),
                axis.name(),
                format_value(value),
                format_interval(&interval),
                format_value(measured_value),
                format_percent(value / measured_value - 1.0),
                if over_budget { "OVER " } else { "" },
                exhausted.join(", "),
                if extrapolated { " (extrapolated)" } else { "" }
            );
        }
    }
    let _ = writeln!(text, "\nMeasured mean load of one scheduler on a day without incidents:");
    for function in Function::ALL {
        let bytes = mean_over_seeds(measured, function, |measurement| measurement.mean.bytes);
        let cpu = mean_over_seeds(measured, function, |measurement| measurement.mean.cpu_ms);
        if bytes.is_some() || cpu.is_some() {
            let format_rate = |value: Option<f64>| value.map_or("-".to_owned(), format_value);
            let name = function.name();
            let _ =
                writeln!(text, "  {name:<14} {:>9} bytes/s {:>9} ms/s", format_rate(bytes), format_rate(cpu));
        }
    }
    text
}

/// The hypotheses and their verdicts.
pub fn findings_text(findings: &[Finding]) -> String {
    let mut text = String::new();
    for finding in findings {
        let verdict = if finding.confirmed { "confirmed" } else { "ruled out" };
        let _ = writeln!(text, "{verdict}: {} (threshold: {})", finding.hypothesis, finding.threshold);
        for result in &finding.results {
            let _ = writeln!(text, "  {result}");
        }
    }
    for line in NOT_MEASURED {
        let _ = writeln!(text, "not measured: {line}");
    }
    text
}

/// The event that the costs of each function are given for.
pub fn function_legend() -> String {
    let line = |function: &Function| format!("  {:<14} {}\n", function.name(), function.event());
    Function::ALL.iter().map(line).collect()
}
