//! Fits power laws by least squares on logarithms, or straight lines where these fit clearly better, predicts values
//! from them, and compares the prediction with a held-out value. The module does no I/O and reads no clock.
//!
//! Replays of one size with several seeds are averaged first, and the law is fitted to one point per size. The
//! deviation of a size from the power law is common to all its replays; treating the replays as independent would
//! make the intervals too narrow.

use linregress::fit_low_level_regression_model;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Confidence level of all intervals.
pub const CONFIDENCE: f64 = 0.95;
/// A prediction further outside the fitted sizes than by this factor is an extrapolation.
pub const EXTRAPOLATION_FACTOR: f64 = 2.0;
/// A line is used for predictions only if its residual variance is smaller than that of the power law by this factor.
/// Always taking the closer of the two forms would make the intervals too narrow.
const LINE_VARIANCE_RATIO: f64 = 6.0;
/// Minimum number of sizes for a fit; with fewer there is no residual to estimate the error from.
pub const MIN_SIZES: usize = 3;

/// One measured value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Value of the varied parameter; above 0.
    pub size: f64,
    /// Value measured at that size.
    pub value: f64,
}

/// A range that includes both ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// Lower end.
    pub low: f64,
    /// Upper end.
    pub high: f64,
}

impl Interval {
    /// Returns true if the value lies in the interval, with a relative tolerance of 1e-9 for rounding.
    pub fn contains(&self, value: f64) -> bool {
        let slack = 1e-9 * value.abs();
        value >= self.low - slack && value <= self.high + slack
    }
}

/// Reason why no law was fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FitError {
    /// Fewer sizes than [`MIN_SIZES`].
    #[error("too few sizes to fit a law")]
    TooFew,
    /// A size or a value is 0, negative or not a number, so it has no logarithm.
    #[error("a size or value has no logarithm")]
    NoLogarithm,
    /// The least-squares problem has no solution.
    #[error("the least-squares problem has no solution")]
    NoSolution,
}

/// The function used for predictions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `factor * size ^ exponent`.
    Power,
    /// `start + slope * size` with a slope of at least 0: a constant part plus a part in proportion to the size.
    Line,
}

/// The fitted growth of a value: the exponent of the power law, and the form used for predictions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingLaw {
    /// Exponent of the power law, also if the form is a line: 0 for a constant, 1 for growth in proportion to the
    /// size, 2 for quadratic growth.
    pub exponent: f64,
    /// Confidence interval of the exponent at level [`CONFIDENCE`].
    pub exponent_interval: Interval,
    /// Share of the variance of the logarithms that the power law explains; `None` if the values are constant.
    pub r2: Option<f64>,
    /// Smallest and largest size in the fit.
    pub sizes: Interval,
    /// The form used for predictions.
    pub form: Form,
    /// Parameters of that form: of the logarithms for a power law, of the values for a line.
    fitted: LeastSquaresFit,
    /// Quantile of Student's t distribution for [`CONFIDENCE`].
    quantile: f64,
}

/// A least-squares fit with two parameters and the values needed for its standard errors.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LeastSquaresFit {
    parameters: (f64, f64),
    /// Variance of the residuals.
    residual_variance: f64,
    /// Inverse of the matrix product of the transposed rows with the rows: the two diagonal elements and the
    /// off-diagonal element.
    inverse_gram: (f64, f64, f64),
}

impl LeastSquaresFit {
    /// Fits `target = a * first + b * second` to rows `(target, first, second)`; returns the fit and its R².
    fn fit(rows: &[(f64, f64, f64)]) -> Option<(LeastSquaresFit, f64)> {
        let row_values: Vec<f64> =
            rows.iter().flat_map(|&(target, first, second)| [target, first, second]).collect();
        let model = fit_low_level_regression_model(&row_values, rows.len(), 3).ok()?;
        let &[a, b] = model.parameters() else { return None };
        let sum = |product: fn(&(f64, f64, f64)) -> f64| rows.iter().map(product).sum::<f64>();
        let (uu, vv, uv) = (sum(|row| row.1 * row.1), sum(|row| row.2 * row.2), sum(|row| row.1 * row.2));
        let determinant = uu * vv - uv * uv;
        let inverse_gram = (vv / determinant, uu / determinant, -uv / determinant);
        let finite =
            [a, b, inverse_gram.0, inverse_gram.1, inverse_gram.2].iter().all(|value| value.is_finite());
        let fitted =
            LeastSquaresFit { parameters: (a, b), residual_variance: model.scale().max(0.0), inverse_gram };
        finite.then_some((fitted, model.rsquared()))
    }

    /// Standard error of a predicted measurement for a row `(first, second)`, including the scatter of the
    /// measurement itself.
    fn standard_error(&self, first: f64, second: f64) -> f64 {
        let (uu, vv, uv) = self.inverse_gram;
        let leverage = uu * first * first + vv * second * second + 2.0 * uv * first * second;
        (self.residual_variance * (1.0 + leverage)).sqrt()
    }
}

/// A predicted value with its interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Expected value.
    pub value: f64,
    /// Interval that contains a value measured at this size with probability [`CONFIDENCE`].
    pub interval: Interval,
    /// The size lies outside the fitted sizes by more than the factor [`EXTRAPOLATION_FACTOR`].
    pub extrapolated: bool,
}

impl ScalingLaw {
    /// Fits a law to the measured values.
    pub fn fit(points: &[Point]) -> Result<ScalingLaw, FitError> {
        let means = mean_by_size(points);
        if means.len() < MIN_SIZES {
            return Err(FitError::TooFew);
        }
        let positive = |value: f64| value.is_finite() && value > 0.0;
        if !means.iter().all(|point| positive(point.size) && positive(point.value)) {
            return Err(FitError::NoLogarithm);
        }
        let logs: Vec<_> = means.iter().map(|point| (point.value.ln(), 1.0, point.size.ln())).collect();
        let (power, r2) = LeastSquaresFit::fit(&logs).ok_or(FitError::NoSolution)?;
        let quantile = StudentsT::new(0.0, 1.0, (means.len() - 2) as f64)
            .map_err(|_| FitError::NoSolution)?
            .inverse_cdf(f64::midpoint(1.0, CONFIDENCE));
        // The error is taken as proportional to the value, as with logarithms; the rows of the line are divided by
        // the value.
        let relative_rows: Vec<_> =
            means.iter().map(|point| (1.0, 1.0 / point.value, point.size / point.value)).collect();
        // A falling line would reach 0 and negative values beyond the fitted sizes.
        let rising_and_positive = |line: &LeastSquaresFit| {
            let (start, slope) = line.parameters;
            slope >= 0.0 && means.iter().all(|point| start + slope * point.size > 0.0)
        };
        let line = LeastSquaresFit::fit(&relative_rows).map(|(line, _)| line).filter(rising_and_positive);
        let better_line =
            line.filter(|line| line.residual_variance * LINE_VARIANCE_RATIO < power.residual_variance);
        let mean_log = logs.iter().map(|log| log.0).sum::<f64>() / logs.len() as f64;
        let varies = logs.iter().any(|log| (log.0 - mean_log).abs() > 1e-12 * mean_log.abs().max(1.0));
        let half_width = quantile * (power.residual_variance * power.inverse_gram.1).sqrt();
        let exponent = power.parameters.1;
        Ok(ScalingLaw {
            exponent,
            exponent_interval: Interval { low: exponent - half_width, high: exponent + half_width },
            r2: varies.then_some(r2),
            sizes: Interval { low: means[0].size, high: means[means.len() - 1].size },
            form: if better_line.is_some() { Form::Line } else { Form::Power },
            fitted: better_line.unwrap_or(power),
            quantile,
        })
    }

    /// Predicts the value at this size, which must be above 0.
    pub fn predict(&self, size: f64) -> Prediction {
        let (a, b) = self.fitted.parameters;
        let (value, error) = match self.form {
            Form::Power => ((a + b * size.ln()).exp(), self.fitted.standard_error(1.0, size.ln())),
            Form::Line => {
                let value = (a + b * size).max(f64::MIN_POSITIVE);
                (value, self.fitted.standard_error(1.0 / value, size / value))
            }
        };
        let factor = (self.quantile * error).exp();
        Prediction {
            value,
            interval: Interval { low: value / factor, high: value * factor },
            extrapolated: size > self.sizes.high * EXTRAPOLATION_FACTOR
                || size < self.sizes.low / EXTRAPOLATION_FACTOR,
        }
    }

    /// Size at which the law reaches this value; `None` if the confidence interval of the exponent includes 0 or
    /// less.
    pub fn size_at(&self, value: f64) -> Option<f64> {
        let (a, b) = self.fitted.parameters;
        let size = match self.form {
            Form::Power => ((value.ln() - a) / b).exp(),
            Form::Line => (value - a) / b,
        };
        (self.exponent_interval.low > 0.0 && size.is_finite() && size > 0.0).then_some(size)
    }
}

/// Mean value of each size, in ascending order of size.
pub fn mean_by_size(points: &[Point]) -> Vec<Point> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|a, b| a.size.total_cmp(&b.size));
    let mean = |replays: &[Point]| Point {
        size: replays[0].size,
        value: replays.iter().map(|point| point.value).sum::<f64>() / replays.len() as f64,
    };
    sorted.chunk_by(|a, b| a.size == b.size).map(mean).collect()
}

/// The largest size, which is excluded from the fit, with the measured and the predicted value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldOut {
    /// The held-out size.
    pub size: f64,
    /// Mean of the values measured at that size.
    pub measured: f64,
    /// Value predicted by the law of the smaller sizes.
    pub prediction: Prediction,
}

impl HeldOut {
    /// Relative error of the prediction: (predicted - measured) / measured.
    pub fn relative_error(&self) -> f64 {
        self.prediction.value / self.measured - 1.0
    }

    /// Returns true if the measured value lies in the interval of the prediction.
    pub fn within_interval(&self) -> bool {
        self.prediction.interval.contains(self.measured)
    }
}

/// Growth of a value with the size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Growth {
    /// The value is 0 at every size.
    Absent,
    /// A law fitted to all sizes but the largest, which is held out.
    Law(ScalingLaw, HeldOut),
    /// No law could be fitted.
    NotFitted(FitError),
}

/// Reason to reject a growth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrowthFlag {
    /// The whole confidence interval of the exponent lies above the allowed exponent.
    ExponentTooLarge,
    /// The value at the held-out size exceeds the prediction by more than a tenth of the measured value and lies
    /// above its interval.
    ExceedsPrediction,
}

impl Growth {
    /// Holds out the largest size, fits a law to the others and compares its prediction with the measured value.
    pub fn of(points: &[Point]) -> Growth {
        if points.iter().all(|point| point.value == 0.0) {
            return Growth::Absent;
        }
        let means = mean_by_size(points);
        let Some((held_out, fitted)) = means.split_last() else { return Growth::NotFitted(FitError::TooFew) };
        match ScalingLaw::fit(fitted) {
            Ok(law) => {
                let prediction = law.predict(held_out.size);
                Growth::Law(law, HeldOut { size: held_out.size, measured: held_out.value, prediction })
            }
            Err(error) => Growth::NotFitted(error),
        }
    }

    /// Reasons to reject the growth if `allowed` is the largest allowed exponent.
    pub fn flags(&self, allowed: f64) -> Vec<GrowthFlag> {
        let Growth::Law(law, held_out) = self else { return Vec::new() };
        let too_steep = law.exponent_interval.low > allowed;
        let exceeds =
            held_out.measured > held_out.prediction.interval.high && held_out.relative_error() < -0.1;
        [(too_steep, GrowthFlag::ExponentTooLarge), (exceeds, GrowthFlag::ExceedsPrediction)]
            .into_iter()
            .filter(|flag| flag.0)
            .map(|flag| flag.1)
            .collect()
    }
}
