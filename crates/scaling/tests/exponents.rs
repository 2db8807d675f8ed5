//! Limits the growth of messages and bytes of the control functions, counted in simulations of a small fleet that
//! take seconds. The tests detect a mechanism that begins to send more than its share before a large fleet is
//! simulated.

use calicolb_scaling::axes::{Axis, Budget, Quantity, Row, Sample, fit_rows};
use calicolb_scaling::fit::Growth;
use calicolb_scaling::functions::{Function, MeasureOptions, measure, simulate_phases};
use std::sync::LazyLock;

/// Seeds of the three replays of each size.
const SEEDS: [u64; 3] = [1, 2, 3];
const OPTIONS: MeasureOptions = MeasureOptions { cpu_times: false, calm_seconds: 5 };
/// The axes along which each value has a simulation of its own.
const SIMULATED_AXES: [Axis; 3] = [Axis::Workers, Axis::Schedulers, Axis::Starts];

static SAMPLES: LazyLock<Vec<Sample>> = LazyLock::new(|| {
    let base = Axis::small_fleet();
    let parameters = |axis: Axis| {
        axis.small_values().into_iter().flat_map(move |value| SEEDS.map(|seed| (axis, value, seed)))
    };
    SIMULATED_AXES
        .into_iter()
        .flat_map(parameters)
        .map(|(axis, value, seed)| {
            let fleet = axis.with_value(&base, value);
            let counts = simulate_phases(&fleet, seed, OPTIONS.calm_seconds);
            Sample { axis, size: f64::from(value), seed, measured: measure(&fleet, seed, OPTIONS, &counts) }
        })
        .collect()
});

/// Largest exponent allowed for messages and bytes of a function along an axis.
fn max_exponent(function: Function, axis: Axis) -> f64 {
    match (function, axis) {
        // One line or record per worker.
        (Function::FullList | Function::Handover, Axis::Workers) => 1.02,
        // All schedulers receive one hello and answer it once.
        (Function::SingleStart | Function::MassStart, Axis::Schedulers) => 1.05,
        // A scheduler that observes a fault sends a report to all others, and a scheduler that has received the
        // report sends none. Fewer faults are observed where fewer jobs run.
        (Function::FaultReports, _) => 1.1,
        // Cohorts are full at all these sizes, so the messages per job grow neither with the fleet nor with its load.
        _ => 0.1,
    }
}

/// Describes each quantity that grows faster than allowed, by its law or at the held-out size.
fn excessive_growth(samples: &[Sample]) -> Vec<String> {
    // Timers send no messages, and a small fleet has too few probes for a fit.
    let has_messages = |row: &Row| !matches!(row.function, Function::HoldTimer | Function::Probes);
    let counted =
        |row: &&Row| has_messages(row) && matches!(row.quantity, Quantity::Messages | Quantity::Bytes);
    let all = fit_rows(samples, &Budget::default());
    let excessive = all.iter().filter(counted).filter_map(|row| {
        let Growth::Law(law, held_out) = &row.growth else { return None };
        let allowed = max_exponent(row.function, row.axis);
        // Growth from the largest fitted size to the held-out size. The margin of 0.2 below covers the scatter of the
        // few replays over such a short step.
        let step = (held_out.measured / law.predict(law.sizes.high).value).ln()
            / (held_out.size / law.sizes.high).ln();
        let description = format!(
            "{} {} along {}: exponent {:.2}, {step:.2} at the end, {allowed} allowed",
            row.function.name(),
            row.quantity.name(),
            row.axis.name(),
            law.exponent
        );
        (law.exponent > allowed || step > allowed + 0.2).then_some(description)
    });
    excessive.collect()
}

#[test]
fn messages_and_bytes_grow_no_faster_than_allowed() {
    assert_eq!(excessive_growth(&SAMPLES), Vec::<String>::new());
}

#[test]
fn every_sending_function_has_a_law_along_every_simulated_axis() {
    let all = fit_rows(&SAMPLES, &Budget::default());
    for function in [
        Function::FullList,
        Function::ListChange,
        Function::LoadMessages,
        Function::SingleStart,
        Function::MassStart,
        Function::FaultReports,
    ] {
        for axis in SIMULATED_AXES {
            let law = all.iter().any(|row| {
                let sent = (row.function, row.axis, row.quantity) == (function, axis, Quantity::Bytes);
                sent && matches!(row.growth, Growth::Law(..))
            });
            assert!(law, "no law for the bytes of {} along {}", function.name(), axis.name());
        }
    }
}

#[test]
fn load_messages_to_all_schedulers_instead_of_the_cohort_are_reported() {
    let mut samples = SAMPLES.clone();
    for sample in samples.iter_mut().filter(|sample| sample.axis == Axis::Schedulers) {
        let load_messages =
            sample.measured.iter_mut().filter(|measured| measured.function == Function::LoadMessages);
        load_messages.for_each(|measurement| {
            measurement.cost.messages = measurement.cost.messages.map(|sent| sent * (sample.size - 1.0) / 7.0)
        });
    }
    let reported = excessive_growth(&samples);
    assert!(
        reported.len() == 1 && reported[0].starts_with("talk messages along schedulers"),
        "excessive growth: {reported:?}"
    );
}

#[test]
fn hello_answers_sent_to_all_schedulers_are_reported() {
    let mut samples = SAMPLES.clone();
    for sample in samples.iter_mut().filter(|sample| sample.axis == Axis::Schedulers) {
        for measurement in
            sample.measured.iter_mut().filter(|measured| measured.function == Function::SingleStart)
        {
            measurement.cost.messages = Some((sample.size - 1.0) * sample.size);
        }
    }
    let reported = excessive_growth(&samples);
    assert!(
        reported.len() == 1 && reported[0].starts_with("greetings-one messages along schedulers"),
        "excessive growth: {reported:?}"
    );
}

#[test]
fn growth_that_begins_beyond_the_fitted_sizes_is_reported() {
    let mut samples = SAMPLES.clone();
    let largest = f64::from(Axis::Workers.small_values()[5]);
    for sample in samples.iter_mut().filter(|sample| sample.axis == Axis::Workers && sample.size == largest) {
        for measurement in
            sample.measured.iter_mut().filter(|measured| measured.function == Function::ListChange)
        {
            measurement.cost.bytes = measurement.cost.bytes.map(|bytes| 2.0 * bytes);
        }
    }
    let reported = excessive_growth(&samples);
    assert!(
        reported.len() == 1 && reported[0].starts_with("watch bytes along workers"),
        "excessive growth: {reported:?}"
    );
}
