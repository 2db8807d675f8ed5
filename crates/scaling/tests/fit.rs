//! The statistics on data whose truth is known.

use calicolb_scaling::fit::{CONFIDENCE, FitError, Form, Growth, GrowthFlag, Interval, Point, ScalingLaw};

/// Sizes as they are measured, three replays each.
const SIZES: [f64; 6] = [50.0, 100.0, 200.0, 400.0, 690.0, 2_000.0];

fn points(value: impl FnMut(f64) -> f64) -> Vec<Point> {
    let replays = SIZES.iter().flat_map(|&size| [size; 3]);
    let values: Vec<f64> = replays.clone().map(value).collect();
    replays.zip(values).map(|(size, value)| Point { size, value }).collect()
}

/// A draw of mean 0 and variance 1, near enough to a normal one.
fn normal(rng: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

#[test]
fn an_exact_law_is_recovered_and_predicts_exactly() {
    let law = ScalingLaw::fit(&points(|size| 3.0 * size.powf(1.5))).expect("it can be fitted");
    assert!((law.exponent - 1.5).abs() < 1e-9, "{law:?}");
    assert_eq!(law.form, Form::Power);
    assert!((law.predict(1.0).value - 3.0).abs() < 1e-6, "{law:?}");
    assert!(law.r2.is_some_and(|r2| r2 > 1.0 - 1e-9), "{law:?}");
    let there = law.predict(1_000.0);
    assert!((there.value / (3.0 * 1_000.0_f64.powf(1.5)) - 1.0).abs() < 1e-9 && !there.extrapolated);
    assert!(law.reaches(there.value).is_some_and(|size| (size - 1_000.0).abs() < 1e-3));
}

#[test]
fn the_interval_covers_the_true_exponent_as_often_as_it_says() {
    let (rounds, mut covered, mut held) = (1_000, 0, 0);
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..rounds {
        // Noise of a size, alike in its replays, and of each replay.
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
        let Growth::Law(law, out) = Growth::of(&all) else { panic!("it can be fitted") };
        covered += usize::from(law.exponent_interval.contains(0.7));
        held += usize::from(out.within_interval());
    }
    let share = |count: usize| count as f64 / f64::from(rounds);
    let near = Interval { low: CONFIDENCE - 0.025, high: CONFIDENCE + 0.025 };
    assert!(near.contains(share(covered)), "exponent covered in {}", share(covered));
    assert!(near.contains(share(held)), "held-out value covered in {}", share(held));
}

#[test]
fn what_is_there_at_any_size_and_grows_in_proportion_beyond_is_predicted_by_a_line() {
    let mut rng = fastrand::Rng::with_seed(5);
    let Growth::Law(law, out) =
        Growth::of(&points(|size| (900.0 + 4.0 * size) * (0.01 * normal(&mut rng)).exp()))
    else {
        panic!("it can be fitted")
    };
    assert_eq!(law.form, Form::Line, "{law:?}");
    // A power law alone would be off by a third there.
    assert!(out.within_interval() && out.error().abs() < 0.03, "{out:?}");
    assert!(law.exponent > 0.0 && law.exponent < 1.0, "the exponent is still the power law's: {law:?}");
    let there = law.predict(1_000.0);
    assert!((there.value / 4_900.0 - 1.0).abs() < 0.03, "{there:?}");
    assert!(law.reaches(4_900.0).is_some_and(|size| (size / 1_000.0 - 1.0).abs() < 0.03));
}

#[test]
fn a_planted_square_is_marked_and_what_grows_in_proportion_is_not() {
    let mut rng = fastrand::Rng::with_seed(11);
    let square = Growth::of(&points(|size| size * size * (0.05 * normal(&mut rng)).exp()));
    assert_eq!(square.flags(1.1), [GrowthFlag::ExponentTooLarge], "{square:?}");
    let line = Growth::of(&points(|size| 40.0 * size * (0.05 * normal(&mut rng)).exp()));
    assert_eq!(line.flags(1.1), [], "{line:?}");
    assert_eq!(line.flags(0.5), [GrowthFlag::ExponentTooLarge]);
}

#[test]
fn a_square_that_a_large_constant_hides_is_seen_at_the_size_kept_out() {
    let hidden = Growth::of(&points(|size| 1e5 + size * size));
    let Growth::Law(law, out) = hidden else { panic!("it can be fitted") };
    assert!(law.exponent < 1.0, "the smaller sizes do not show it: {law:?}");
    assert!(!out.within_interval() && out.error() < -0.5, "{out:?}");
    assert_eq!(hidden.flags(1.0), [GrowthFlag::ExceedsPrediction]);
}

#[test]
fn a_point_kept_out_that_lies_beside_the_law_is_said_to_be_outside() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut all = points(|size| size * (0.02 * normal(&mut rng)).exp());
    let Growth::Law(_, out) = Growth::of(&all) else { panic!("it can be fitted") };
    assert!(out.within_interval() && out.error().abs() < 0.1, "{out:?}");
    all.iter_mut().filter(|point| point.size == 2_000.0).for_each(|point| point.value *= 0.5);
    let Growth::Law(_, out) = Growth::of(&all) else { panic!("it can be fitted") };
    assert!(!out.within_interval() && (out.error() - 1.0).abs() < 0.1, "{out:?}");
}

#[test]
fn a_size_more_than_twice_beyond_the_fitted_ones_is_said_to_be_extrapolated() {
    let law = ScalingLaw::fit(&points(|size| size)).expect("it can be fitted");
    assert!(!law.predict(4_000.0).extrapolated && !law.predict(25.0).extrapolated);
    assert!(law.predict(4_001.0).extrapolated && law.predict(24.0).extrapolated);
}

#[test]
fn what_is_not_there_or_does_not_vary_or_has_no_logarithm_gets_no_made_up_figures() {
    assert_eq!(Growth::of(&points(|_| 0.0)), Growth::Absent);
    let Growth::Law(law, out) = Growth::of(&points(|_| 12.0)) else { panic!("a constant has exponent 0") };
    assert!(law.exponent.abs() < 1e-9 && law.r2.is_none() && law.reaches(24.0).is_none(), "{law:?}");
    assert!(out.within_interval() && out.error().abs() < 1e-9);
    let gaps = Growth::of(&points(|size| if size < 100.0 { 0.0 } else { size }));
    assert_eq!(gaps, Growth::NotFitted(FitError::NoLogarithm));
    let two: Vec<Point> = points(|size| size).into_iter().filter(|point| point.size <= 100.0).collect();
    assert_eq!(ScalingLaw::fit(&two), Err(FitError::TooFew));
}
