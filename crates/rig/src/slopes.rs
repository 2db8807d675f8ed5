//! `calicolb-rig slopes`: measures each control function along each axis of the fleet size, fits scaling laws, predicts
//! the cost of larger fleets, and writes a table, CSV files and charts.

mod chart;

use calicolb_scaling::axes::{Axis, Budget, Row, Sample, fit_rows};
use calicolb_scaling::counts::MessageCounts;
use calicolb_scaling::cpu_clock;
use calicolb_scaling::functions::{Function, MeasureOptions, Measurement, measure, simulate_phases};
use calicolb_scaling::hypotheses::{self, Finding};
use calicolb_scaling::report;
use calicolb_scaling::scenario::FleetParameters;
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use std::fs;
use std::path::{Path, PathBuf};

/// Numbers of schedulers for which the tenant quota is tested.
const QUOTA_FLEET_SIZES: [u32; 6] = [1, 10, 30, 100, 300, 1_000];

/// Options of the command `slopes`.
#[derive(Args)]
pub struct Slopes {
    /// Folder for the table, CSV files and charts; created if it does not exist.
    #[arg(long)]
    out: PathBuf,
    /// Use a small fleet and measure no CPU times: takes seconds instead of minutes.
    #[arg(long)]
    quick: bool,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Simulated seconds of the calm phase at each size.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Axis to measure; may be repeated. Default: all axes.
    #[arg(long = "axis", value_parser = parse_axis)]
    axes: Vec<Axis>,
    /// Number of workers of the base fleet, for which the costs are predicted.
    #[arg(long)]
    workers: Option<u32>,
    /// Number of schedulers of the base fleet.
    #[arg(long)]
    schedulers: Option<u32>,
    /// Number of tenants of the base fleet.
    #[arg(long)]
    tenants: Option<u32>,
    /// Job starts a second of the base fleet.
    #[arg(long)]
    starts: Option<f64>,
    /// Workers replaced a day in the base fleet.
    #[arg(long)]
    replaced: Option<u32>,
    /// Number of zones of the base fleet.
    #[arg(long)]
    zones: Option<u32>,
    /// CPU budget of a scheduler, in milliseconds a second.
    #[arg(long, default_value_t = Budget::default().cpu_ms_per_s)]
    budget_cpu_ms: f64,
    /// Network budget of a scheduler for sending and receiving, in bytes a second.
    #[arg(long, default_value_t = Budget::default().bytes_per_s)]
    budget_bytes: f64,
    /// Memory budget of a scheduler, in bytes.
    #[arg(long, default_value_t = Budget::default().state_bytes)]
    budget_state: f64,
}

/// Parses the name of an axis.
fn parse_axis(name: &str) -> Result<Axis, String> {
    let known = Axis::ALL.map(Axis::name).join(", ");
    Axis::ALL
        .into_iter()
        .find(|axis| axis.name() == name)
        .ok_or(format!("unknown axis; must be one of {known}"))
}

impl Slopes {
    /// Returns the base fleet: the default or small fleet with the values of the options.
    fn base(&self) -> Result<FleetParameters, String> {
        let defaults = if self.quick { Axis::small_fleet() } else { FleetParameters::default() };
        let base = FleetParameters {
            workers: self.workers.unwrap_or(defaults.workers),
            schedulers: self.schedulers.unwrap_or(defaults.schedulers),
            tenants: self.tenants.unwrap_or(defaults.tenants),
            starts_per_s: self.starts.unwrap_or(defaults.starts_per_s),
            replaced_per_day: self.replaced.unwrap_or(defaults.replaced_per_day),
            zones: self.zones.unwrap_or(defaults.zones),
            ..defaults
        };
        let valid = base.workers > 0 && base.schedulers > 0 && base.zones > 0 && base.starts_per_s > 0.0;
        if valid {
            Ok(base)
        } else {
            Err("--workers, --schedulers, --zones and --starts must each be above 0".to_owned())
        }
    }

    /// Returns the options of the measurement.
    fn measure_options(&self) -> MeasureOptions {
        MeasureOptions { cpu_times: !self.quick, calm_seconds: self.seconds.max(1) }
    }

    /// Returns the resource budget of a scheduler.
    fn budget(&self) -> Budget {
        Budget {
            cpu_ms_per_s: self.budget_cpu_ms,
            bytes_per_s: self.budget_bytes,
            state_bytes: self.budget_state,
        }
    }
}

/// Runs the command: measures, fits, prints the report, and writes the files.
///
/// # Errors
///
/// An option is out of range, or a file cannot be written.
pub fn run(args: &Slopes) -> Result<(), String> {
    let (base, budget) = (args.base()?, args.budget());
    fs::create_dir_all(&args.out).map_err(|error| format!("{}: {error}", args.out.display()))?;
    // This test runs first: it measures resident memory, which the later measurements increase.
    let departed = hypotheses::departed_workers(&base, args.seed, &resident_bytes);
    let (samples, at_base) = measure_all(args, &base);
    let rows = fit_rows(&samples, &budget);
    let mut findings = vec![departed];
    findings.extend(test_hypotheses(args, &base, &budget));

    let mut text = format!(
        "Slopes of the control functions: {} seeds from {}, {} s of a calm fleet at each size; the clock of the \
         thread's processor time steps by {} ns.\nThe largest size of each axis is kept out of the fit and predicted. \
         STEEP: the exponent is beyond what is allowed, its whole interval. BENDS: the size kept out has more than the \
         law says, by over a tenth and beyond the interval. outside: it lies beyond the interval on either side. \
         far: predicted at over twice the largest size fitted.\n\n",
        args.seeds,
        args.seed,
        args.measure_options().calm_seconds,
        cpu_clock::granularity().as_nanos()
    );
    text += &report::function_legend();
    text += "\n";
    text += &report::growth_table(&rows);
    text += "\n";
    text += &report::base_table(&rows, &base, &at_base, &budget);
    text += "\n";
    text += &report::findings_text(&findings);
    print!("{text}");

    write(&args.out.join("table.txt"), text.as_bytes())?;
    for axis in Axis::ALL {
        let axis_samples: Vec<&Sample> = samples.iter().filter(|sample| sample.axis == axis).collect();
        if axis_samples.is_empty() {
            continue;
        }
        for function in Function::ALL {
            let path = args.out.join(format!("{}-{}.csv", function.name(), axis.name()));
            write_csv(&path, function, &axis_samples)
                .map_err(|error| format!("{}: {error}", path.display()))?;
        }
        let axis_rows: Vec<&Row> = rows.iter().filter(|row| row.axis == axis).collect();
        let path = args.out.join(format!("{}.svg", axis.name()));
        chart::draw_axis(&path, axis, &axis_rows).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(())
}

/// Measures all sizes of the selected axes and the base fleet, with all seeds.
fn measure_all(args: &Slopes, base: &FleetParameters) -> (Vec<Sample>, Vec<Vec<Measurement>>) {
    let axes = if args.axes.is_empty() { Axis::ALL.to_vec() } else { args.axes.clone() };
    let seeds = args.seed..args.seed + args.seeds.max(1);
    let bar = ProgressBar::new((axes.len() as u64 * 6 + 1) * args.seeds.max(1));
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} {msg}, {eta} left") {
        bar.set_style(style);
    }
    let seconds = args.measure_options().calm_seconds;
    let mut simulations: Vec<(FleetParameters, u64, MessageCounts)> = Vec::new();
    let mut measure_size = |size: &FleetParameters, seed: u64| {
        let without_days = FleetParameters { days: 0, ..*size };
        let known =
            simulations.iter().position(|(fleet, seed_used, _)| (fleet, *seed_used) == (&without_days, seed));
        let at = known.unwrap_or_else(|| {
            simulations.push((without_days, seed, simulate_phases(&without_days, seed, seconds)));
            simulations.len() - 1
        });
        measure(size, seed, args.measure_options(), &simulations[at].2)
    };
    let mut samples = Vec::new();
    for axis in axes {
        let sizes = if args.quick { axis.small_values() } else { axis.values() };
        for value in sizes {
            for seed in seeds.clone() {
                bar.set_message(format!("{} {value}", axis.name()));
                let measured = measure_size(&axis.with_value(base, value), seed);
                samples.push(Sample { axis, size: f64::from(value), seed, measured });
                bar.inc(1);
            }
        }
    }
    let at_base = seeds
        .map(|seed| {
            bar.set_message("base");
            let measured = measure_size(base, seed);
            bar.inc(1);
            measured
        })
        .collect();
    bar.finish_and_clear();
    (samples, at_base)
}

/// Tests the hypotheses about growing costs. Without CPU times, those that need times are left out.
fn test_hypotheses(args: &Slopes, base: &FleetParameters, budget: &Budget) -> Vec<Finding> {
    let times = args.measure_options().cpu_times;
    let fleets = if args.quick { &QUOTA_FLEET_SIZES[..3] } else { &QUOTA_FLEET_SIZES[..] };
    let mut findings = vec![
        hypotheses::tenant_quota(args.seed, fleets),
        hypotheses::hello_messages(base, args.seed, times),
        hypotheses::fault_reports(base, args.seed, budget.bytes_per_s),
    ];
    if times {
        findings.extend(hypotheses::worker_lists(base, args.seed, (budget.bytes_per_s, budget.cpu_ms_per_s)));
        findings.push(hypotheses::load_messages(base, args.seed, args.measure_options().calm_seconds));
    }
    findings
}

/// Returns the resident memory of this process in bytes, or 0 where `/proc` does not give it.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kib.map_or(0, |kib| kib * 1_024)
}

/// Writes a file; the error names its path.
fn write(path: &Path, bytes: &[u8]) -> Result<(), String> {
    fs::write(path, bytes).map_err(|error| format!("{}: {error}", path.display()))
}

/// Writes the CSV file of one function along one axis, with a line for each size and seed.
fn write_csv(path: &Path, function: Function, axis_samples: &[&Sample]) -> Result<(), csv::Error> {
    let mut writer = csv::Writer::from_path(path)?;
    let cost_columns = ["size", "seed", "messages", "bytes", "cpu_us", "state_bytes"];
    let rate_columns = ["mean_bytes_per_s", "mean_cpu_ms_per_s", "worst_bytes_per_s", "worst_cpu_ms_per_s"];
    writer.write_record(cost_columns.iter().chain(&rate_columns))?;
    let format_value = |value: Option<f64>| value.map_or(String::new(), |value| value.to_string());
    for sample in axis_samples {
        for measurement in sample.measured.iter().filter(|measured| measured.function == function) {
            let (cost, mean, worst) = (measurement.cost, measurement.mean, measurement.worst);
            let values = [cost.messages, cost.bytes, cost.cpu_us, cost.heap_bytes];
            let rate_columns = [mean.bytes, mean.cpu_ms, worst.bytes, worst.cpu_ms];
            let line = [sample.size.to_string(), sample.seed.to_string()];
            writer.write_record(
                line.into_iter().chain(values.into_iter().chain(rate_columns).map(format_value)),
            )?;
        }
    }
    writer.flush()?;
    Ok(())
}
