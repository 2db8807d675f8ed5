//! Tests of the fits on generated data with known parameters.

use calicolb_scaling::fit::{CONFIDENCE, FitError, Form, Growth, GrowthFlag, Interval, Point, ScalingLaw};

/// Sizes of the generated data, with three replays each.
const SIZES: [f64; 6] = [50.0, 100.0, 200.0, 400.0, 690.0, 2_000.0];

fn points(value: impl FnMut(f64) -> f64) -> Vec<Point> {
    let replays = SIZES.iter().flat_map(|&size| [size; 3]);
    let values: Vec<f64> = replays.clone().map(value).collect();
    replays.zip(values).map(|(size, value)| Point { size, value }).collect()
}

/// A random value with mean 0 and variance 1 from an approximately normal distribution.
fn normal(rng: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

#[test]
fn exact_power_law_is_recovered_and_predicted() {
    let law = ScalingLaw::fit(&points(|size| 3.0 * size.powf(1.5))).expect("a law can be fitted");
    assert!((law.exponent - 1.5).abs() < 1e-9, "{law:?}");
    assert_eq!(law.form, Form::Power);
    assert!((law.predict(1.0).value - 3.0).abs() < 1e-6, "{law:?}");
    assert!(law.r2.is_some_and(|r2| r2 > 1.0 - 1e-9), "{law:?}");
    let prediction = law.predict(1_000.0);
    assert!(
        (prediction.value / (3.0 * 1_000.0_f64.powf(1.5)) - 1.0).abs() < 1e-9 && !prediction.extrapolated
    );
    assert!(law.size_at(prediction.value).is_some_and(|size| (size - 1_000.0).abs() < 1e-3));
}

#[test]
fn intervals_cover_the_true_values_at_the_confidence_level() {
    let (rounds, mut exponent_covered, mut held_out_covered) = (1_000, 0, 0);
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..rounds {
        // Noise common to all replays of a size, plus noise of each replay.
        let all: Vec<Point> = SIZES
            .iter()
            .flat_map(|&size| {
                let shared = 0.1 * normal(&mut rng);
                [0; 3].map(|_| {
                    let value = 2.0 * size.powf(0.7) * (shared + 0.03 * normal(&mut rng)).exp();
                    Point { size, value }
                })
            })
            .collect();
        let Growth::Law(law, held_out) = Growth::of(&all) else { panic!("a law can be fitted") };
        exponent_covered += usize::from(law.exponent_interval.contains(0.7));
        held_out_covered += usize::from(held_out.within_interval());
    }
    let share = |count: usize| count as f64 / f64::from(rounds);
    let expected_share = Interval { low: CONFIDENCE - 0.025, high: CONFIDENCE + 0.025 };
    assert!(
        expected_share.contains(share(exponent_covered)),
        "exponent covered in a share of {}",
        share(exponent_covered)
    );
    assert!(
        expected_share.contains(share(held_out_covered)),
        "held-out value covered in a share of {}",
        share(held_out_covered)
    );
}

#[test]
fn constant_part_with_proportional_growth_is_predicted_by_a_line() {
    let mut rng = fastrand::Rng::with_seed(5);
    let Growth::Law(law, held_out) =
        Growth::of(&points(|size| (900.0 + 4.0 * size) * (0.01 * normal(&mut rng)).exp()))
    else {
        panic!("a law can be fitted")
    };
    assert_eq!(law.form, Form::Line, "{law:?}");
    // The prediction of a power law would be off by a third at this size.
    assert!(held_out.within_interval() && held_out.relative_error().abs() < 0.03, "{held_out:?}");
    assert!(law.exponent > 0.0 && law.exponent < 1.0, "the exponent is that of the power law: {law:?}");
    let prediction = law.predict(1_000.0);
    assert!((prediction.value / 4_900.0 - 1.0).abs() < 0.03, "{prediction:?}");
    assert!(law.size_at(4_900.0).is_some_and(|size| (size / 1_000.0 - 1.0).abs() < 0.03));
}

#[test]
fn quadratic_growth_is_flagged_and_proportional_growth_is_not() {
    let mut rng = fastrand::Rng::with_seed(11);
    let square = Growth::of(&points(|size| size * size * (0.05 * normal(&mut rng)).exp()));
    assert_eq!(square.flags(1.1), [GrowthFlag::ExponentTooLarge], "{square:?}");
    let line = Growth::of(&points(|size| 40.0 * size * (0.05 * normal(&mut rng)).exp()));
    assert_eq!(line.flags(1.1), [], "{line:?}");
    assert_eq!(line.flags(0.5), [GrowthFlag::ExponentTooLarge]);
}

#[test]
fn quadratic_growth_hidden_by_a_large_constant_is_flagged_at_the_held_out_size() {
    let hidden = Growth::of(&points(|size| 1e5 + size * size));
    let Growth::Law(law, held_out) = hidden else { panic!("a law can be fitted") };
    assert!(law.exponent < 1.0, "the smaller sizes do not show the quadratic part: {law:?}");
    assert!(!held_out.within_interval() && held_out.relative_error() < -0.5, "{held_out:?}");
    assert_eq!(hidden.flags(1.0), [GrowthFlag::ExceedsPrediction]);
}

#[test]
fn held_out_value_off_the_law_is_outside_the_interval() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut all = points(|size| size * (0.02 * normal(&mut rng)).exp());
    let Growth::Law(_, held_out) = Growth::of(&all) else { panic!("a law can be fitted") };
    assert!(held_out.within_interval() && held_out.relative_error().abs() < 0.1, "{held_out:?}");
    all.iter_mut().filter(|point| point.size == 2_000.0).for_each(|point| point.value *= 0.5);
    let Growth::Law(_, held_out) = Growth::of(&all) else { panic!("a law can be fitted") };
    assert!(!held_out.within_interval() && (held_out.relative_error() - 1.0).abs() < 0.1, "{held_out:?}");
}

#[test]
fn size_beyond_twice_the_fitted_range_is_extrapolated() {
    let law = ScalingLaw::fit(&points(|size| size)).expect("a law can be fitted");
    assert!(!law.predict(4_000.0).extrapolated && !law.predict(25.0).extrapolated);
    assert!(law.predict(4_001.0).extrapolated && law.predict(24.0).extrapolated);
}

#[test]
fn zero_constant_and_negative_values_have_no_law_or_a_flat_one() {
    assert_eq!(Growth::of(&points(|_| 0.0)), Growth::Absent);
    let Growth::Law(law, held_out) = Growth::of(&points(|_| 12.0)) else {
        panic!("a constant has a law with exponent 0")
    };
    assert!(law.exponent.abs() < 1e-9 && law.r2.is_none() && law.size_at(24.0).is_none(), "{law:?}");
    assert!(held_out.within_interval() && held_out.relative_error().abs() < 1e-9);
    let gaps = Growth::of(&points(|size| if size < 100.0 { 0.0 } else { size }));
    assert_eq!(gaps, Growth::NotFitted(FitError::NoLogarithm));
    let two: Vec<Point> = points(|size| size).into_iter().filter(|point| point.size <= 100.0).collect();
    assert_eq!(ScalingLaw::fit(&two), Err(FitError::TooFew));
}
