//! Compares the hollow fleet with real processes: messages and bytes by control function, and processor time on
//! control.

use super::counts::{FUNCTIONS, Flow, Traffic};
use super::replay::ReplayResult;
use super::single_process::ProcessCosts;
use calicolb_simulation::{Plan, Summary};
use serde::Serialize;

/// Tolerance for counts of messages and bytes, as a fraction of the real value.
pub const COUNT_TOLERANCE: f64 = 0.1;
/// Tolerance for processor time, as a fraction of the real value.
pub const CPU_TOLERANCE: f64 = 0.3;

/// Comparison of one control function.
#[derive(Clone, Debug, Serialize)]
pub struct FunctionComparison {
    /// Key of the function.
    pub function: &'static str,
    /// Traffic of the real processes.
    pub real: Traffic,
    /// Traffic of the hollow fleet.
    pub hollow: Traffic,
    /// Hollow messages divided by real messages; `None` if there were no real ones.
    pub messages_ratio: Option<f64>,
    /// Hollow bytes divided by real bytes; `None` if there were no real ones.
    pub bytes_ratio: Option<f64>,
    /// Whether both ratios are within [`COUNT_TOLERANCE`], or neither fleet had any messages.
    pub alike: bool,
}

/// Variation of a function's message count between seeds, for plays of this size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SeedVariation {
    /// Key of the function.
    pub function: &'static str,
    /// Plays of the hollow fleet, each with its own seed.
    pub plays: u64,
    /// Mean number of messages in a play.
    pub mean: f64,
    /// Standard deviation of the number of messages between plays.
    pub deviation: f64,
    /// Mean number of messages in a play of real processes; `None` without such plays.
    pub real_mean: Option<f64>,
    /// Distance of `real_mean` from `mean` in standard errors; usually within 2 if the two fleets behave alike.
    pub standard_errors: Option<f64>,
}

/// Plays the hollow fleet with `plays` further seeds and returns how its counts vary; `real` holds plays of real
/// processes of the same size.
pub fn seed_variation(plan: &Plan, plays: u64, real: &[&ReplayResult]) -> Vec<SeedVariation> {
    // Seeds that no real play used.
    let summaries: Vec<Summary> = (0..plays)
        .map(|index| calicolb_simulation::simulate(&Plan { seed: plan.seed + 1_000 + index, ..plan.clone() }))
        .collect();
    let variation = |function: &'static str| {
        let counts: Vec<f64> = summaries
            .iter()
            .map(|of| of.traffic.get(function).map_or(0.0, |of| of.messages as f64))
            .collect();
        let mean = counts.iter().sum::<f64>() / counts.len().max(1) as f64;
        let squares: f64 = counts.iter().map(|count| (count - mean).powi(2)).sum();
        let deviation = (squares / (counts.len().max(2) - 1) as f64).sqrt();
        let real_counts = real.iter().map(|of| of.traffic.get(function).map_or(0.0, |of| of.messages as f64));
        let real_mean = (!real.is_empty()).then(|| real_counts.sum::<f64>() / real.len() as f64);
        let standard_error = deviation * (1.0 / real.len().max(1) as f64 + 1.0 / plays.max(1) as f64).sqrt();
        let standard_errors =
            real_mean.filter(|_| standard_error > 0.0).map(|real| (real - mean) / standard_error);
        SeedVariation { function, plays, mean, deviation, real_mean, standard_errors }
    };
    FUNCTIONS.iter().map(|(function, _)| variation(function)).collect()
}

/// Processor time on control, in milliseconds a second, mean over all schedulers.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CpuComparison {
    /// Real processes: the idle use plus the received messages, each at its cost for a process measured alone.
    pub real_control: f64,
    /// Part of `real_control`: the idle process.
    pub real_idle: f64,
    /// Part of `real_control`: messages received and probes.
    #[serde(rename = "real_heard")]
    pub real_received: f64,
    /// Hollow fleet: the decision module's time on control events.
    pub hollow_control: f64,
    /// Hollow divided by real; `None` if the real value is zero.
    pub ratio: Option<f64>,
    /// Whether the ratio is within [`CPU_TOLERANCE`].
    pub alike: bool,
    /// Real processes: their whole processor time, jobs included.
    pub real_all: f64,
}

/// Result of the comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Comparison by control function.
    pub functions: Vec<FunctionComparison>,
    /// Processor time on control.
    pub cpu: CpuComparison,
    /// Hollow jobs divided by real jobs.
    pub jobs_ratio: Option<f64>,
    /// Hollow job starts divided by real job starts.
    pub started_ratio: Option<f64>,
}

fn ratio(hollow: f64, real: f64) -> Option<f64> {
    (real > 0.0).then(|| hollow / real)
}

fn within_tolerance(ratio: Option<f64>, tolerance: f64) -> bool {
    ratio.is_some_and(|ratio| (ratio - 1.0).abs() <= tolerance)
}

/// Compares real and hollow plays of the same plans, summed over all plays; `costs` holds the cost of each message for
/// a process measured alone, at the same size.
pub fn compare(plays: &[(&ReplayResult, &Summary)], costs: &ProcessCosts) -> Comparison {
    let sum = |of: &dyn Fn(&(&ReplayResult, &Summary)) -> f64| plays.iter().map(of).sum::<f64>();
    let row = |function: &'static str| {
        let add = |sum: Traffic, messages: u64, bytes: u64| sum.plus(Traffic { messages, bytes });
        let (mut real, mut hollow) = (Traffic::default(), Traffic::default());
        for (replayed, summary) in plays {
            real = real.plus(replayed.traffic.get(function).copied().unwrap_or_default());
            hollow = summary.traffic.get(function).map_or(hollow, |of| add(hollow, of.messages, of.bytes));
        }
        let messages_ratio = ratio(hollow.messages as f64, real.messages as f64);
        let bytes_ratio = ratio(hollow.bytes as f64, real.bytes as f64);
        let both_empty = real.messages == 0 && hollow.messages == 0;
        let both_within = within_tolerance(messages_ratio, COUNT_TOLERANCE)
            && within_tolerance(bytes_ratio, COUNT_TOLERANCE);
        FunctionComparison {
            function,
            real,
            hollow,
            messages_ratio,
            bytes_ratio,
            alike: both_empty || both_within,
        }
    };
    let message_costs = [
        (Flow::LoadsPassed, costs.load_received),
        (Flow::FaultReportsPassed, costs.fault_report_received),
        (Flow::HellosPassed, costs.hello_received),
        (Flow::WatchChanges, costs.list_change),
        (Flow::WatchFullList, costs.full_list),
        (Flow::ProbesRequested, costs.probe),
    ];
    let seconds = sum(&|(real, _)| real.seconds * f64::from(real.processes)).max(1e-9);
    let message_costs = message_costs
        .map(|(flow, cost)| sum(&|(real, _)| real.counts.of(flow).messages as f64) * cost.cpu_us);
    let real_received = message_costs.iter().sum::<f64>() / 1e3 / seconds;
    let real_control = costs.idle_cpu_ms_per_s + real_received;
    let mean = |of: &dyn Fn(&(&ReplayResult, &Summary)) -> f64| sum(of) / plays.len().max(1) as f64;
    let hollow_control = mean(&|(_, hollow)| hollow.control_cpu_ms_per_s_mean);
    let cpu_ratio = ratio(hollow_control, real_control);
    Comparison {
        functions: FUNCTIONS.iter().map(|(function, _)| row(function)).collect(),
        cpu: CpuComparison {
            real_control,
            real_idle: costs.idle_cpu_ms_per_s,
            real_received,
            hollow_control,
            ratio: cpu_ratio,
            alike: within_tolerance(cpu_ratio, CPU_TOLERANCE),
            real_all: mean(&|(real, _)| real.on_cpu_ms_per_s.mean),
        },
        jobs_ratio: ratio(sum(&|(_, hollow)| hollow.jobs as f64), sum(&|(real, _)| real.jobs as f64)),
        started_ratio: ratio(
            sum(&|(_, hollow)| hollow.started as f64),
            sum(&|(real, _)| real.started as f64),
        ),
    }
}
