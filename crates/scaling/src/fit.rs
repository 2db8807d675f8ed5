//! Power laws by least squares on logarithms, lines where these lie closer, what they predict, and how well that holds
//! where they were not fitted. No I/O and no clock: numbers in, numbers out.
//!
//! Replays of one size with several seeds are averaged first, and the law is fitted to one point a size: what a size
//! does to the value beyond the power law is alike in all its replays, and counting each of them as a witness of its
//! own would make the intervals too narrow.

use linregress::fit_low_level_regression_model;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Probability that an interval covers what it is about.
pub const CONFIDENCE: f64 = 0.95;
/// A prediction for a size further outside the fitted ones than by this factor is an extrapolation.
pub const FAR: f64 = 2.0;
/// A line predicts only where its residuals vary so many times less than those of the power law: who took the closer of
/// the two each time would be surer than the figures allow.
const CLEARLY: f64 = 6.0;
/// Sizes that a law needs at least: with fewer there is no residual to judge it by.
pub const LEAST_SIZES: usize = 3;

/// One measured value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size that was varied; above 0.
    pub size: f64,
    /// What was measured at that size.
    pub value: f64,
}

/// From `low` to `high`, both included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// Its lower end.
    pub low: f64,
    /// Its upper end.
    pub high: f64,
}

impl Interval {
    /// The value lies within, or outside by no more than rounding.
    pub fn contains(&self, value: f64) -> bool {
        let slack = 1e-9 * value.abs();
        value >= self.low - slack && value <= self.high + slack
    }
}

/// Why no law was fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FitError {
    /// Fewer sizes than [`LEAST_SIZES`].
    #[error("too few sizes")]
    TooFew,
    /// A size or a value is 0, negative or not a number: it has no logarithm.
    #[error("a value without a logarithm")]
    NoLogarithm,
    /// The least squares have no solution.
    #[error("no solution")]
    NoSolution,
}

/// By which form a law predicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `factor * size ^ exponent`.
    Power,
    /// `start + slope * size`: something that is there at any size, and more in proportion to it; never one that falls.
    Line,
}

/// How a value grows: by its exponent, and by the form that predicts: a power law, or a line where that lies clearly
/// closer to what was measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingLaw {
    /// How fast the value grows: 0 not at all, 1 in proportion to the size, 2 with its square. Always that of the power
    /// law.
    pub exponent: f64,
    /// Where the exponent lies with [`CONFIDENCE`].
    pub exponent_interval: Interval,
    /// Share of the logarithms' variance that the power law explains; `None` where they do not vary.
    pub r2: Option<f64>,
    /// Smallest and largest size fitted.
    pub sizes: Interval,
    /// By which it predicts.
    pub form: Form,
    /// The two parameters of that form, on logarithms or not, as it wants.
    fitted: Fitted,
    /// Quantile of Student's t for [`CONFIDENCE`].
    quantile: f64,
}

/// Two parameters by least squares, and what it takes to say how sure they are.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Fitted {
    parameters: (f64, f64),
    /// Variance of the residuals.
    residual: f64,
    /// The inverse of the rows' product with themselves: its diagonal, and what stands beside it.
    inverse: (f64, f64, f64),
}

impl Fitted {
    /// Fits `target = a * first + b * second`, of rows `(target, first, second)`.
    fn to(rows: &[(f64, f64, f64)]) -> Option<(Fitted, f64)> {
        let flat: Vec<f64> =
            rows.iter().flat_map(|&(target, first, second)| [target, first, second]).collect();
        let model = fit_low_level_regression_model(&flat, rows.len(), 3).ok()?;
        let &[a, b] = model.parameters() else { return None };
        let sum = |product: fn(&(f64, f64, f64)) -> f64| rows.iter().map(product).sum::<f64>();
        let (uu, vv, uv) = (sum(|row| row.1 * row.1), sum(|row| row.2 * row.2), sum(|row| row.1 * row.2));
        let determinant = uu * vv - uv * uv;
        let inverse = (vv / determinant, uu / determinant, -uv / determinant);
        let sound = [a, b, inverse.0, inverse.1, inverse.2].iter().all(|value| value.is_finite());
        let fitted = Fitted { parameters: (a, b), residual: model.scale().max(0.0), inverse };
        sound.then_some((fitted, model.rsquared()))
    }

    /// The standard error of what is predicted for such a row, its own scatter included.
    fn error(&self, first: f64, second: f64) -> f64 {
        let (uu, vv, uv) = self.inverse;
        let lever = uu * first * first + vv * second * second + 2.0 * uv * first * second;
        (self.residual * (1.0 + lever)).sqrt()
    }
}

/// What a law says of a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// The value that is expected.
    pub value: f64,
    /// Where a value measured there lies with [`CONFIDENCE`].
    pub within: Interval,
    /// The size is more than [`FAR`] times outside the fitted ones.
    pub extrapolated: bool,
}

impl ScalingLaw {
    /// Fits a law to what was measured.
    pub fn fit(points: &[Point]) -> Result<ScalingLaw, FitError> {
        let means = mean_by_size(points);
        if means.len() < LEAST_SIZES {
            return Err(FitError::TooFew);
        }
        let positive = |value: f64| value.is_finite() && value > 0.0;
        if !means.iter().all(|point| positive(point.size) && positive(point.value)) {
            return Err(FitError::NoLogarithm);
        }
        let logs: Vec<_> = means.iter().map(|point| (point.value.ln(), 1.0, point.size.ln())).collect();
        let (power, r2) = Fitted::to(&logs).ok_or(FitError::NoSolution)?;
        let quantile = StudentsT::new(0.0, 1.0, (means.len() - 2) as f64)
            .map_err(|_| FitError::NoSolution)?
            .inverse_cdf(f64::midpoint(1.0, CONFIDENCE));
        // Errors in proportion to the value, as they are on logarithms: the rows of the line are divided by it.
        let parts: Vec<_> =
            means.iter().map(|point| (1.0, 1.0 / point.value, point.size / point.value)).collect();
        // One that falls would come to nothing and less beyond the sizes fitted.
        let above = |line: &Fitted| {
            let (start, slope) = line.parameters;
            slope >= 0.0 && means.iter().all(|point| start + slope * point.size > 0.0)
        };
        let line = Fitted::to(&parts).map(|(line, _)| line).filter(above);
        let closer = line.filter(|line| line.residual * CLEARLY < power.residual);
        let level = logs.iter().map(|log| log.0).sum::<f64>() / logs.len() as f64;
        let varies = logs.iter().any(|log| (log.0 - level).abs() > 1e-12 * level.abs().max(1.0));
        let half = quantile * (power.residual * power.inverse.1).sqrt();
        let exponent = power.parameters.1;
        Ok(ScalingLaw {
            exponent,
            exponent_interval: Interval { low: exponent - half, high: exponent + half },
            r2: varies.then_some(r2),
            sizes: Interval { low: means[0].size, high: means[means.len() - 1].size },
            form: if closer.is_some() { Form::Line } else { Form::Power },
            fitted: closer.unwrap_or(power),
            quantile,
        })
    }

    /// What the law says of this size, which must be above 0.
    pub fn predict(&self, size: f64) -> Prediction {
        let (a, b) = self.fitted.parameters;
        let (value, error) = match self.form {
            Form::Power => ((a + b * size.ln()).exp(), self.fitted.error(1.0, size.ln())),
            Form::Line => {
                let value = (a + b * size).max(f64::MIN_POSITIVE);
                (value, self.fitted.error(1.0 / value, size / value))
            }
        };
        let factor = (self.quantile * error).exp();
        Prediction {
            value,
            within: Interval { low: value / factor, high: value * factor },
            extrapolated: size > self.sizes.high * FAR || size < self.sizes.low / FAR,
        }
    }

    /// The size at which the value reaches this one; `None` where it does not surely grow.
    pub fn reaches(&self, value: f64) -> Option<f64> {
        let (a, b) = self.fitted.parameters;
        let size = match self.form {
            Form::Power => ((value.ln() - a) / b).exp(),
            Form::Line => (value - a) / b,
        };
        (self.exponent_interval.low > 0.0 && size.is_finite() && size > 0.0).then_some(size)
    }
}

/// The mean value of each size, smallest size first.
pub fn mean_by_size(points: &[Point]) -> Vec<Point> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|a, b| a.size.total_cmp(&b.size));
    let of = |alike: &[Point]| Point {
        size: alike[0].size,
        value: alike.iter().map(|point| point.value).sum::<f64>() / alike.len() as f64,
    };
    sorted.chunk_by(|a, b| a.size == b.size).map(of).collect()
}

/// The largest size, which no law saw, beside what the law of all the others says of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldOut {
    /// The size.
    pub size: f64,
    /// The mean of what was measured there.
    pub measured: f64,
    /// What the law says.
    pub predicted: Prediction,
}

impl HeldOut {
    /// By how much the prediction is off, as a part of what was measured: above 0 it is too large.
    pub fn error(&self) -> f64 {
        self.predicted.value / self.measured - 1.0
    }

    /// What was measured lies within the prediction's interval.
    pub fn within_interval(&self) -> bool {
        self.predicted.within.contains(self.measured)
    }
}

/// How a value grows with a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Growth {
    /// There is none of it at any size.
    Absent,
    /// By a law, fitted to all sizes but the largest.
    Law(ScalingLaw, HeldOut),
    /// No law could be fitted.
    NotFitted(FitError),
}

/// What speaks against a growth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrowthFlag {
    /// The exponent is above what is allowed, its whole interval.
    ExponentTooLarge,
    /// The largest size has more than the law of the smaller ones says, by more than the interval and a tenth.
    ExceedsPrediction,
}

impl Growth {
    /// Keeps the largest size out, fits a law to the others and compares.
    pub fn of(points: &[Point]) -> Growth {
        if points.iter().all(|point| point.value == 0.0) {
            return Growth::Absent;
        }
        let means = mean_by_size(points);
        let Some((last, rest)) = means.split_last() else { return Growth::NotFitted(FitError::TooFew) };
        match ScalingLaw::fit(rest) {
            Ok(law) => {
                let predicted = law.predict(last.size);
                Growth::Law(law, HeldOut { size: last.size, measured: last.value, predicted })
            }
            Err(why) => Growth::NotFitted(why),
        }
    }

    /// What speaks against it where the value may grow with this exponent at most.
    pub fn flags(&self, allowed: f64) -> Vec<GrowthFlag> {
        let Growth::Law(law, held) = self else { return Vec::new() };
        let steep = law.exponent_interval.low > allowed;
        let bends = held.measured > held.predicted.within.high && held.error() < -0.1;
        [(steep, GrowthFlag::ExponentTooLarge), (bends, GrowthFlag::ExceedsPrediction)]
            .into_iter()
            .filter(|of| of.0)
            .map(|of| of.1)
            .collect()
    }
}
