//! How messages and bytes of the control functions may grow, on a small fleet, in seconds: counts, no times. A mechanism
//! that begins to tell more than its part is caught here before any large fleet is played.

use calicolb_scaling::axes::{Axis, Budget, Quantity, Row, Sample, fit_rows};
use calicolb_scaling::fit::Growth;
use calicolb_scaling::functions::{Function, MeasureOptions, measure, simulate_phases};
use std::sync::LazyLock;

/// Three replays of each size.
const SEEDS: [u64; 3] = [1, 2, 3];
const OPTIONS: MeasureOptions = MeasureOptions { cpu_times: false, calm_seconds: 5 };
/// The axes along which fleets are played anew.
const PLAYED: [Axis; 3] = [Axis::Workers, Axis::Schedulers, Axis::Starts];

static SAMPLES: LazyLock<Vec<Sample>> = LazyLock::new(|| {
    let base = Axis::small_fleet();
    let at =
        |axis: Axis| axis.small_values().into_iter().flat_map(move |to| SEEDS.map(|seed| (axis, to, seed)));
    PLAYED
        .into_iter()
        .flat_map(at)
        .map(|(axis, to, seed)| {
            let size = axis.with_value(&base, to);
            let counts = simulate_phases(&size, seed, OPTIONS.calm_seconds);
            Sample { axis, size: f64::from(to), seed, measured: measure(&size, seed, OPTIONS, &counts) }
        })
        .collect()
});

/// The largest exponent that messages and bytes of a function may have along an axis.
fn bound(function: Function, axis: Axis) -> f64 {
    match (function, axis) {
        // A line, or a record, for each worker.
        (Function::FullList | Function::Handover, Axis::Workers) => 1.02,
        // All are told once, and answer once.
        (Function::SingleStart | Function::MassStart, Axis::Schedulers) => 1.05,
        // Who sees trouble tells all; who has heard it says nothing. Less is seen where less runs.
        (Function::FaultReports, _) => 1.1,
        // Cohorts are full at all these sizes: what a job costs in words grows neither with the fleet nor with its load.
        _ => 0.1,
    }
}

/// Where messages or bytes grow faster than they may, by the law or at the size kept out of it.
fn beyond(samples: &[Sample]) -> Vec<String> {
    // Timers are no messages, and a small fleet has too few probes for a law.
    let sends = |row: &Row| !matches!(row.function, Function::HoldTimer | Function::Probes);
    let counted = |row: &&Row| sends(row) && matches!(row.quantity, Quantity::Messages | Quantity::Bytes);
    let all = fit_rows(samples, &Budget::default());
    let over = all.iter().filter(counted).filter_map(|row| {
        let Growth::Law(law, held) = &row.growth else { return None };
        let most = bound(row.function, row.axis);
        // From the largest size fitted to the one kept out; a short step shows the scatter of few replays.
        let step =
            (held.measured / law.predict(law.sizes.high).value).ln() / (held.size / law.sizes.high).ln();
        let why = format!(
            "{} {} along {}: exponent {:.2}, {step:.2} at the end, {most} allowed",
            row.function.name(),
            row.quantity.name(),
            row.axis.name(),
            law.exponent
        );
        (law.exponent > most || step > most + 0.2).then_some(why)
    });
    over.collect()
}

#[test]
fn messages_and_bytes_grow_no_faster_than_they_may() {
    assert_eq!(beyond(&SAMPLES), Vec::<String>::new());
}

#[test]
fn every_function_that_sends_has_a_law_along_every_axis_played() {
    let all = fit_rows(&SAMPLES, &Budget::default());
    for function in [
        Function::FullList,
        Function::ListChange,
        Function::LoadMessages,
        Function::SingleStart,
        Function::MassStart,
        Function::FaultReports,
    ] {
        for axis in PLAYED {
            let law = all.iter().any(|row| {
                let sent = (row.function, row.axis, row.quantity) == (function, axis, Quantity::Bytes);
                sent && matches!(row.growth, Growth::Law(..))
            });
            assert!(law, "no law for the bytes of {} along {}", function.name(), axis.name());
        }
    }
}

#[test]
fn talk_that_goes_to_all_instead_of_the_cohort_is_caught() {
    let mut samples = SAMPLES.clone();
    for sample in samples.iter_mut().filter(|sample| sample.axis == Axis::Schedulers) {
        let talk = sample.measured.iter_mut().filter(|measured| measured.function == Function::LoadMessages);
        talk.for_each(|of| of.cost.messages = of.cost.messages.map(|sent| sent * (sample.size - 1.0) / 7.0));
    }
    let caught = beyond(&samples);
    assert!(caught.len() == 1 && caught[0].starts_with("talk messages along schedulers"), "{caught:?}");
}

#[test]
fn greetings_that_are_answered_to_all_are_caught() {
    let mut samples = SAMPLES.clone();
    for sample in samples.iter_mut().filter(|sample| sample.axis == Axis::Schedulers) {
        for of in sample.measured.iter_mut().filter(|measured| measured.function == Function::SingleStart) {
            of.cost.messages = Some((sample.size - 1.0) * sample.size);
        }
    }
    let caught = beyond(&samples);
    assert!(
        caught.len() == 1 && caught[0].starts_with("greetings-one messages along schedulers"),
        "{caught:?}"
    );
}

#[test]
fn a_growth_that_begins_only_beyond_the_sizes_fitted_is_caught() {
    let mut samples = SAMPLES.clone();
    let largest = f64::from(Axis::Workers.small_values()[5]);
    for sample in samples.iter_mut().filter(|of| of.axis == Axis::Workers && of.size == largest) {
        for of in sample.measured.iter_mut().filter(|measured| measured.function == Function::ListChange) {
            of.cost.bytes = of.cost.bytes.map(|bytes| 2.0 * bytes);
        }
    }
    let caught = beyond(&samples);
    assert!(caught.len() == 1 && caught[0].starts_with("watch bytes along workers"), "{caught:?}");
}
