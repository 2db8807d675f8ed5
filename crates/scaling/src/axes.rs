//! The fleet parameters that are varied, the values measured for each, and how each quantity grows along them.

use crate::fit::{Growth, GrowthFlag, Point};
use crate::functions::{Function, Measurement};
use crate::scenario::FleetParameters;
use serde::Serialize;

/// A quantity whose exponent is closer to 0 than this counts as constant.
pub const FLAT_EXPONENT: f64 = 0.05;

/// The fleet parameter that is varied while all others keep their values from the base fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// Number of workers.
    Workers,
    /// Number of schedulers.
    Schedulers,
    /// Number of tenants.
    Tenants,
    /// Tasks started per second in the whole fleet.
    Starts,
    /// Days that a scheduler has been in service.
    Days,
}

impl Axis {
    /// All axes.
    pub const ALL: [Axis; 5] = [Axis::Workers, Axis::Schedulers, Axis::Tenants, Axis::Starts, Axis::Days];

    /// Name of the axis, used in tables and file names.
    pub fn name(self) -> &'static str {
        match self {
            Axis::Workers => "workers",
            Axis::Schedulers => "schedulers",
            Axis::Tenants => "tenants",
            Axis::Starts => "starts",
            Axis::Days => "days",
        }
    }

    /// Values that are measured; the last one is held out of every fit. The values of the default fleet lie between
    /// them and are not among them.
    pub fn values(self) -> [u32; 6] {
        match self {
            Axis::Workers => [50, 100, 200, 400, 1_000, 2_000],
            Axis::Schedulers => [10, 30, 100, 200, 500, 1_000],
            Axis::Tenants => [1, 10, 50, 150, 500, 1_000],
            Axis::Starts => [20, 40, 80, 160, 240, 480],
            Axis::Days => [1, 7, 30, 90, 200, 365],
        }
    }

    /// Values for a small fleet, whose counts take seconds to obtain. Its cohorts are full at every value, as are
    /// those of the default fleet with three times its schedulers.
    pub fn small_values(self) -> [u32; 6] {
        match self {
            Axis::Workers => [4, 8, 12, 16, 24, 32],
            Axis::Schedulers => [16, 32, 48, 64, 96, 192],
            Axis::Tenants => [1, 5, 20, 60, 100, 200],
            Axis::Starts => [10, 20, 40, 60, 80, 160],
            Axis::Days => [1, 3, 10, 30, 60, 120],
        }
    }

    /// Base of the small fleet, with as many tasks per worker as the default fleet.
    pub fn small_fleet() -> FleetParameters {
        FleetParameters {
            workers: 16,
            schedulers: 32,
            tenants: 24,
            starts_per_s: 40.0,
            zones: 2,
            ..FleetParameters::default()
        }
    }

    /// The base fleet with this value on the axis.
    pub fn with_value(self, base: &FleetParameters, value: u32) -> FleetParameters {
        let mut fleet = *base;
        match self {
            Axis::Workers => fleet.workers = value,
            Axis::Schedulers => fleet.schedulers = value,
            Axis::Tenants => fleet.tenants = value,
            Axis::Starts => fleet.starts_per_s = f64::from(value),
            Axis::Days => fleet.days = value,
        }
        fleet
    }

    /// Value of a fleet on the axis.
    pub fn value_in(self, fleet: &FleetParameters) -> f64 {
        match self {
            Axis::Workers => f64::from(fleet.workers),
            Axis::Schedulers => f64::from(fleet.schedulers),
            Axis::Tenants => f64::from(fleet.tenants),
            Axis::Starts => fleet.starts_per_s,
            Axis::Days => f64::from(fleet.days),
        }
    }

    /// Largest exponent allowed along the axis: 1, growth in proportion to the size, and 0 along the days of service,
    /// plus 0.1 as a margin for the fit.
    pub fn max_exponent(self) -> f64 {
        if self == Axis::Days { 0.1 } else { 1.1 }
    }
}

/// The quantity that a law is fitted to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Messages per event.
    Messages,
    /// Bytes per event.
    Bytes,
    /// Processor time per event, in microseconds.
    CpuUs,
    /// Heap memory, in bytes.
    State,
    /// Bytes that one scheduler sends and receives in its worst second.
    WorstBytes,
    /// Processor time of one scheduler in its worst second, in milliseconds.
    WorstCpuMs,
}

impl Quantity {
    /// All quantities.
    pub const ALL: [Quantity; 6] = [
        Quantity::Messages,
        Quantity::Bytes,
        Quantity::CpuUs,
        Quantity::State,
        Quantity::WorstBytes,
        Quantity::WorstCpuMs,
    ];

    /// Name of the quantity with its unit, used in tables.
    pub fn name(self) -> &'static str {
        match self {
            Quantity::Messages => "messages",
            Quantity::Bytes => "bytes",
            Quantity::CpuUs => "cpu-us",
            Quantity::State => "state-bytes",
            Quantity::WorstBytes => "worst-bytes-per-s",
            Quantity::WorstCpuMs => "worst-cpu-ms-per-s",
        }
    }

    /// Returns true if the quantity is a count, which is the same in every run with the same seed.
    pub fn is_count(self) -> bool {
        !matches!(self, Quantity::CpuUs | Quantity::WorstCpuMs)
    }

    /// Value of the quantity; `None` if the function has none.
    pub fn value_in(self, measurement: &Measurement) -> Option<f64> {
        match self {
            Quantity::Messages => measurement.cost.messages,
            Quantity::Bytes => measurement.cost.bytes,
            Quantity::CpuUs => measurement.cost.cpu_us,
            Quantity::State => measurement.cost.heap_bytes,
            Quantity::WorstBytes => measurement.worst.bytes,
            Quantity::WorstCpuMs => measurement.worst.cpu_ms,
        }
    }

    /// Limit for one scheduler; `None` if the budget does not limit the quantity.
    pub fn budget(self, budget: &Budget) -> Option<f64> {
        match self {
            Quantity::State => Some(budget.state_bytes),
            Quantity::WorstBytes => Some(budget.bytes_per_s),
            Quantity::WorstCpuMs => Some(budget.cpu_ms_per_s),
            Quantity::Messages | Quantity::Bytes | Quantity::CpuUs => None,
        }
    }
}

/// Resources that one scheduler may spend on control functions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Processor time in milliseconds per second.
    pub cpu_ms_per_s: f64,
    /// Bytes sent and received per second.
    pub bytes_per_s: f64,
    /// Memory in bytes.
    pub state_bytes: f64,
}

/// The operators' requirement: 2.9% of a core, 24 KB per second and 128 MB.
impl Default for Budget {
    fn default() -> Self {
        Budget { cpu_ms_per_s: 29.0, bytes_per_s: 24e3, state_bytes: 128e6 }
    }
}

/// Measurements of all functions at one value of one axis with one seed.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The varied parameter.
    pub axis: Axis,
    /// Value of that parameter.
    pub size: f64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// One measurement per function.
    pub measured: Vec<Measurement>,
}

/// Growth of one quantity of one function along one axis.
#[derive(Clone, Debug)]
pub struct Row {
    /// The control function.
    pub function: Function,
    /// The varied parameter.
    pub axis: Axis,
    /// The measured quantity.
    pub quantity: Quantity,
    /// The measured values.
    pub points: Vec<Point>,
    /// The fitted law and the held-out value.
    pub growth: Growth,
    /// Value on the axis at which this function alone uses up the budget according to the law; `None` if the quantity
    /// does not grow or has no budget.
    pub exhausted_at: Option<f64>,
}

impl Row {
    /// Reasons to reject this growth.
    pub fn flags(&self) -> Vec<GrowthFlag> {
        self.growth.flags(self.axis.max_exponent())
    }
}

/// Fits every quantity of every function along every sampled axis.
pub fn fit_rows(samples: &[Sample], budget: &Budget) -> Vec<Row> {
    let mut rows = Vec::new();
    for function in Function::ALL {
        for axis in Axis::ALL {
            for quantity in Quantity::ALL {
                let points: Vec<Point> = collect_points(samples, function, axis, quantity);
                if points.is_empty() {
                    continue;
                }
                let growth = Growth::of(&points);
                let exhausted_at = match &growth {
                    Growth::Law(law, _) if law.exponent >= FLAT_EXPONENT => {
                        quantity.budget(budget).and_then(|limit| law.size_at(limit))
                    }
                    Growth::Law(..) | Growth::Absent | Growth::NotFitted(_) => None,
                };
                rows.push(Row { function, axis, quantity, points, growth, exhausted_at });
            }
        }
    }
    rows
}

fn collect_points(samples: &[Sample], function: Function, axis: Axis, quantity: Quantity) -> Vec<Point> {
    let along = samples.iter().filter(|sample| sample.axis == axis);
    let value = |sample: &Sample| {
        let measurement = sample.measured.iter().find(|measurement| measurement.function == function)?;
        quantity.value_in(measurement).map(|value| Point { size: sample.size, value })
    };
    along.filter_map(value).collect()
}
