//! The tables, from made-up measurements whose truth is known.

use calicolb_scaling::axes::{Axis, Budget, Quantity, Sample, fit_rows};
use calicolb_scaling::functions::{Function, Measurement, ResourceUse};
use calicolb_scaling::probe::Cost;
use calicolb_scaling::report::{base_table, best, growth_table};
use calicolb_scaling::scenario::FleetParameters;

/// Samples of one function along one axis, whose worst second has so many bytes by the size.
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
        text.lines().find(|line| words.iter().all(|word| line.split_whitespace().any(|of| of == *word)));
    found.unwrap_or_else(|| panic!("no line with {words:?} in\n{text}"))
}

#[test]
fn what_is_beyond_its_budget_is_said_with_the_size_at_which_it_is_used_up() {
    let rows = fit_rows(&samples(Axis::Workers, |workers| 100.0 * workers), &Budget::default());
    let (base, seen) = (FleetParameters::default(), vec![vec![measured(69_000.0)]]);
    let text = base_table(&rows, &base, &seen, &Budget::default());
    let told = line(&text, &["troubles", "worst-bytes-per-s"]);
    assert!(
        told.contains("69.0k") && told.contains("0.3478x") && told.contains("OVER workers 240"),
        "{told}"
    );
    let roomy = Budget { bytes_per_s: 1e6, ..Budget::default() };
    let text = base_table(&rows, &base, &seen, &roomy);
    assert!(!line(&text, &["troubles", "worst-bytes-per-s"]).contains("OVER"), "{text}");
}

#[test]
fn a_square_is_marked_in_the_table_and_what_falls_gets_no_figure_that_is_none() {
    let budget = Budget::default();
    let text = growth_table(&fit_rows(&samples(Axis::Workers, |workers| workers * workers), &budget));
    assert!(line(&text, &["troubles", "workers", "worst-bytes-per-s"]).ends_with("STEEP "), "{text}");
    let falling = fit_rows(&samples(Axis::Schedulers, |schedulers| 5_000.0 - 4.5 * schedulers), &budget);
    let text = growth_table(&falling);
    assert!(!text.contains("NaN"), "{text}");
    assert_eq!(falling[0].reaches, None);
}

#[test]
fn the_law_that_held_at_the_size_kept_out_is_the_one_that_predicts() {
    // Along the workers it grows by steps that no law meets; along the starts it is in proportion.
    let mut all = samples(Axis::Workers, |workers| if workers < 1_500.0 { workers } else { 20.0 * workers });
    all.extend(samples(Axis::Starts, |starts| 3.0 * starts));
    let rows = fit_rows(&all, &Budget::default());
    let found = best(&rows, Function::FaultReports, Quantity::WorstBytes).expect("there is a law");
    assert_eq!(found.0, Axis::Starts);
}
