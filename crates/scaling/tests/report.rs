//! Tests of the tables with generated measurements whose growth is known.

use calicolb_scaling::axes::{Axis, Budget, Quantity, Sample, fit_rows};
use calicolb_scaling::functions::{Function, Measurement, ResourceUse};
use calicolb_scaling::probe::Cost;
use calicolb_scaling::report::{base_table, best_law, growth_table};
use calicolb_scaling::scenario::FleetParameters;

/// Samples of one function along one axis; `bytes` gives the bytes of the worst second at each size.
fn samples(axis: Axis, bytes: impl Fn(f64) -> f64) -> Vec<Sample> {
    let at = |size: u32| {
        let size = f64::from(size);
        Sample { axis, size, seed: 1, measured: vec![measured(bytes(size))] }
    };
    axis.values().into_iter().map(at).collect()
}

fn measured(bytes: f64) -> Measurement {
    let worst = ResourceUse { bytes: Some(bytes), cpu_ms: None };
    Measurement {
        function: Function::FaultReports,
        cost: Cost::default(),
        mean: ResourceUse::default(),
        worst,
    }
}

fn line<'a>(text: &'a str, words: &[&str]) -> &'a str {
    let found =
        text.lines().find(|line| words.iter().all(|word| line.split_whitespace().any(|part| part == *word)));
    found.unwrap_or_else(|| panic!("no line with {words:?} in\n{text}"))
}

#[test]
fn exceeded_budget_is_marked_with_the_size_that_exhausts_it() {
    let rows = fit_rows(&samples(Axis::Workers, |workers| 100.0 * workers), &Budget::default());
    let (base, measured_at_base) = (FleetParameters::default(), vec![vec![measured(69_000.0)]]);
    let text = base_table(&rows, &base, &measured_at_base, &Budget::default());
    let base_line = line(&text, &["troubles", "worst-bytes-per-s"]);
    assert!(
        base_line.contains("69.0k")
            && base_line.contains("0.3478x")
            && base_line.contains("OVER workers 240"),
        "{base_line}"
    );
    let large_budget = Budget { bytes_per_s: 1e6, ..Budget::default() };
    let text = base_table(&rows, &base, &measured_at_base, &large_budget);
    assert!(!line(&text, &["troubles", "worst-bytes-per-s"]).contains("OVER"), "{text}");
}

#[test]
fn quadratic_growth_is_marked_steep_and_a_falling_value_has_no_exhausting_size() {
    let budget = Budget::default();
    let text = growth_table(&fit_rows(&samples(Axis::Workers, |workers| workers * workers), &budget));
    assert!(line(&text, &["troubles", "workers", "worst-bytes-per-s"]).ends_with("STEEP "), "{text}");
    let falling = fit_rows(&samples(Axis::Schedulers, |schedulers| 5_000.0 - 4.5 * schedulers), &budget);
    let text = growth_table(&falling);
    assert!(!text.contains("NaN"), "{text}");
    assert_eq!(falling[0].exhausted_at, None);
}

#[test]
fn law_with_the_smallest_held_out_error_is_used_for_predictions() {
    // Along the workers the value grows in a step that no law fits; along the starts it grows in proportion.
    let mut all = samples(Axis::Workers, |workers| if workers < 1_500.0 { workers } else { 20.0 * workers });
    all.extend(samples(Axis::Starts, |starts| 3.0 * starts));
    let rows = fit_rows(&all, &Budget::default());
    let best = best_law(&rows, Function::FaultReports, Quantity::WorstBytes).expect("a law is found");
    assert_eq!(best.0, Axis::Starts);
}
