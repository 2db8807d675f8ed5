//! The axes, the sizes measured on each, and the growth of each quantity along them.

use crate::fit::{Growth, GrowthFlag, Point};
use crate::functions::{Function, Measurement};
use crate::scenario::FleetParameters;
use serde::Serialize;

/// An exponent within this of 0 is that of what does not grow.
pub const FLAT: f64 = 0.05;

/// What is varied while all else stays as in the base.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// Workers.
    Workers,
    /// Schedulers.
    Schedulers,
    /// Tenants.
    Tenants,
    /// Starts a second.
    Starts,
    /// Days of service.
    Days,
}

impl Axis {
    /// All of them.
    pub const ALL: [Axis; 5] = [Axis::Workers, Axis::Schedulers, Axis::Tenants, Axis::Starts, Axis::Days];

    /// Its name, as a word of a file name.
    pub fn name(self) -> &'static str {
        match self {
            Axis::Workers => "workers",
            Axis::Schedulers => "schedulers",
            Axis::Tenants => "tenants",
            Axis::Starts => "starts",
            Axis::Days => "days",
        }
    }

    /// The sizes measured; the last one is kept out of every fit. The letter's sizes lie in between, and are none of
    /// them.
    pub fn values(self) -> [u32; 6] {
        match self {
            Axis::Workers => [50, 100, 200, 400, 1_000, 2_000],
            Axis::Schedulers => [10, 30, 100, 200, 500, 1_000],
            Axis::Tenants => [1, 10, 50, 150, 500, 1_000],
            Axis::Starts => [20, 40, 80, 160, 240, 480],
            Axis::Days => [1, 7, 30, 90, 200, 365],
        }
    }

    /// The same for a small fleet, for counts in seconds; its cohorts are full at every size, as
    /// are those of the letter's fleet with three times its schedulers.
    pub fn small_values(self) -> [u32; 6] {
        match self {
            Axis::Workers => [4, 8, 12, 16, 24, 32],
            Axis::Schedulers => [16, 32, 48, 64, 96, 192],
            Axis::Tenants => [1, 5, 20, 60, 100, 200],
            Axis::Starts => [10, 20, 40, 60, 80, 160],
            Axis::Days => [1, 3, 10, 30, 60, 120],
        }
    }

    /// The base of the small fleet: its workers are as full as the letter's.
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

    /// The base with this size on the axis.
    pub fn with_value(self, base: &FleetParameters, to: u32) -> FleetParameters {
        let mut size = *base;
        match self {
            Axis::Workers => size.workers = to,
            Axis::Schedulers => size.schedulers = to,
            Axis::Tenants => size.tenants = to,
            Axis::Starts => size.starts_per_s = f64::from(to),
            Axis::Days => size.days = to,
        }
        size
    }

    /// Where a fleet stands on the axis.
    pub fn of(self, size: &FleetParameters) -> f64 {
        match self {
            Axis::Workers => f64::from(size.workers),
            Axis::Schedulers => f64::from(size.schedulers),
            Axis::Tenants => f64::from(size.tenants),
            Axis::Starts => size.starts_per_s,
            Axis::Days => f64::from(size.days),
        }
    }

    /// The largest exponent that is allowed: in proportion to the size; nothing may grow by the days alone. A tenth is
    /// granted for what is fitted.
    pub fn max_exponent(self) -> f64 {
        if self == Axis::Days { 0.1 } else { 1.1 }
    }
}

/// What is fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Messages by the event.
    Messages,
    /// Bytes by the event.
    Bytes,
    /// Processor microseconds by the event.
    CpuUs,
    /// Bytes on the heap.
    State,
    /// Bytes of a scheduler in its worst second.
    WorstBytes,
    /// Processor milliseconds of a scheduler in its worst second.
    WorstCpuMs,
}

impl Quantity {
    /// All of them.
    pub const ALL: [Quantity; 6] = [
        Quantity::Messages,
        Quantity::Bytes,
        Quantity::CpuUs,
        Quantity::State,
        Quantity::WorstBytes,
        Quantity::WorstCpuMs,
    ];

    /// Its name, with its unit.
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

    /// It is a count, the same in every run of the same seed.
    pub fn counted(self) -> bool {
        !matches!(self, Quantity::CpuUs | Quantity::WorstCpuMs)
    }

    /// Its value, where the function has one.
    pub fn of(self, measured: &Measurement) -> Option<f64> {
        match self {
            Quantity::Messages => measured.cost.messages,
            Quantity::Bytes => measured.cost.bytes,
            Quantity::CpuUs => measured.cost.cpu_us,
            Quantity::State => measured.cost.heap_bytes,
            Quantity::WorstBytes => measured.worst.bytes,
            Quantity::WorstCpuMs => measured.worst.cpu_ms,
        }
    }

    /// What one scheduler may spend of it, where the budget speaks of it.
    pub fn budget(self, budget: &Budget) -> Option<f64> {
        match self {
            Quantity::State => Some(budget.state_bytes),
            Quantity::WorstBytes => Some(budget.bytes_per_s),
            Quantity::WorstCpuMs => Some(budget.cpu_ms_per_s),
            Quantity::Messages | Quantity::Bytes | Quantity::CpuUs => None,
        }
    }
}

/// What a scheduler may spend on control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Processor milliseconds a second.
    pub cpu_ms_per_s: f64,
    /// Bytes a second, in and out.
    pub bytes_per_s: f64,
    /// Bytes of memory.
    pub state_bytes: f64,
}

/// That of the operators' letter on scale: 2.9% of a core, 24 KB a second, 128 MB.
impl Default for Budget {
    fn default() -> Self {
        Budget { cpu_ms_per_s: 29.0, bytes_per_s: 24e3, state_bytes: 128e6 }
    }
}

/// All functions at one size of one axis, by one seed.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The axis.
    pub axis: Axis,
    /// Where on it.
    pub size: f64,
    /// The seed.
    pub seed: u64,
    /// What came out.
    pub measured: Vec<Measurement>,
}

/// How one quantity of one function grows along one axis.
#[derive(Clone, Debug)]
pub struct Row {
    /// The function.
    pub function: Function,
    /// The axis.
    pub axis: Axis,
    /// The quantity.
    pub quantity: Quantity,
    /// What was measured.
    pub points: Vec<Point>,
    /// The law, and the size kept out of it.
    pub growth: Growth,
    /// The size at which this function alone uses up the budget, by the law; `None` where it does not grow or has none.
    pub reaches: Option<f64>,
}

impl Row {
    /// What speaks against it.
    pub fn flags(&self) -> Vec<GrowthFlag> {
        self.growth.flags(self.axis.max_exponent())
    }
}

/// Fits every quantity of every function along every axis that was sampled.
pub fn fit_rows(samples: &[Sample], budget: &Budget) -> Vec<Row> {
    let mut rows = Vec::new();
    for function in Function::ALL {
        for axis in Axis::ALL {
            for quantity in Quantity::ALL {
                let points: Vec<Point> = points(samples, function, axis, quantity);
                if points.is_empty() {
                    continue;
                }
                let growth = Growth::of(&points);
                let reaches = match &growth {
                    Growth::Law(law, _) if law.exponent >= FLAT => {
                        quantity.budget(budget).and_then(|most| law.reaches(most))
                    }
                    Growth::Law(..) | Growth::Absent | Growth::NotFitted(_) => None,
                };
                rows.push(Row { function, axis, quantity, points, growth, reaches });
            }
        }
    }
    rows
}

fn points(samples: &[Sample], function: Function, axis: Axis, quantity: Quantity) -> Vec<Point> {
    let along = samples.iter().filter(|sample| sample.axis == axis);
    let value = |sample: &Sample| {
        let of = sample.measured.iter().find(|measured| measured.function == function)?;
        quantity.of(of).map(|value| Point { size: sample.size, value })
    };
    along.filter_map(value).collect()
}
