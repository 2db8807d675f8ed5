//! `calicolb-rig slopes`: measures every control function along every axis, fits, predicts, and writes tables, CSV files
//! and charts.

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

/// Fleets for which quotas are looked at.
const FLEETS: [u32; 6] = [1, 10, 30, 100, 300, 1_000];

#[derive(Args)]
pub struct Slopes {
    /// The folder for tables, CSV files and charts; made if it is not there.
    #[arg(long)]
    out: PathBuf,
    /// A small fleet, and counts only: seconds instead of minutes.
    #[arg(long)]
    quick: bool,
    /// Seeds: from this one on ...
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// ... so many.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Seconds of a calm fleet that are played at each size.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Axes to measure; all where none is named.
    #[arg(long = "axis", value_parser = axis)]
    axes: Vec<Axis>,
    /// Workers of the base, which is predicted.
    #[arg(long)]
    workers: Option<u32>,
    /// Schedulers of the base.
    #[arg(long)]
    schedulers: Option<u32>,
    /// Tenants of the base.
    #[arg(long)]
    tenants: Option<u32>,
    /// Starts a second of the base.
    #[arg(long)]
    starts: Option<f64>,
    /// Workers replaced a day.
    #[arg(long)]
    replaced: Option<u32>,
    /// Zones.
    #[arg(long)]
    zones: Option<u32>,
    /// Processor milliseconds a second that a scheduler may spend.
    #[arg(long, default_value_t = Budget::default().cpu_ms_per_s)]
    budget_cpu_ms: f64,
    /// Bytes a second that a scheduler may send and receive.
    #[arg(long, default_value_t = Budget::default().bytes_per_s)]
    budget_bytes: f64,
    /// Bytes of memory that a scheduler may take.
    #[arg(long, default_value_t = Budget::default().state_bytes)]
    budget_state: f64,
}

fn axis(name: &str) -> Result<Axis, String> {
    let known = Axis::ALL.map(Axis::name).join(", ");
    Axis::ALL.into_iter().find(|axis| axis.name() == name).ok_or(format!("it is one of {known}"))
}

impl Slopes {
    fn base(&self) -> Result<FleetParameters, String> {
        let from = if self.quick { Axis::small_fleet() } else { FleetParameters::default() };
        let base = FleetParameters {
            workers: self.workers.unwrap_or(from.workers),
            schedulers: self.schedulers.unwrap_or(from.schedulers),
            tenants: self.tenants.unwrap_or(from.tenants),
            starts_per_s: self.starts.unwrap_or(from.starts_per_s),
            replaced_per_day: self.replaced.unwrap_or(from.replaced_per_day),
            zones: self.zones.unwrap_or(from.zones),
            ..from
        };
        let sound = base.workers > 0 && base.schedulers > 0 && base.zones > 0 && base.starts_per_s > 0.0;
        if sound { Ok(base) } else { Err("a fleet has workers, schedulers, zones and starts".to_owned()) }
    }

    fn effort(&self) -> MeasureOptions {
        MeasureOptions { cpu_times: !self.quick, calm_seconds: self.seconds.max(1) }
    }

    fn budget(&self) -> Budget {
        Budget {
            cpu_ms_per_s: self.budget_cpu_ms,
            bytes_per_s: self.budget_bytes,
            state_bytes: self.budget_state,
        }
    }
}

/// Measures, fits and writes.
pub fn run(args: &Slopes) -> Result<(), String> {
    let (base, budget) = (args.base()?, args.budget());
    fs::create_dir_all(&args.out).map_err(|error| format!("{}: {error}", args.out.display()))?;
    // First, while the process is small: what is resident grows with what is measured.
    let gone = hypotheses::departed_workers(&base, args.seed, &resident);
    let (samples, at_base) = sample(args, &base);
    let rows = fit_rows(&samples, &budget);
    let mut found = vec![gone];
    found.extend(suspect(args, &base, &budget));

    let mut text = format!(
        "Slopes of the control functions: {} seeds from {}, {} s of a calm fleet at each size; the clock of the \
         thread's processor time steps by {} ns.\nThe largest size of each axis is kept out of the fit and predicted. \
         STEEP: the exponent is beyond what is allowed, its whole interval. BENDS: the size kept out has more than the \
         law says, by over a tenth and beyond the interval. outside: it lies beyond the interval on either side. \
         far: predicted at over twice the largest size fitted.\n\n",
        args.seeds,
        args.seed,
        args.effort().calm_seconds,
        cpu_clock::granularity().as_nanos()
    );
    text += &report::function_legend();
    text += "\n";
    text += &report::growth_table(&rows);
    text += "\n";
    text += &report::base_table(&rows, &base, &at_base, &budget);
    text += "\n";
    text += &report::findings_text(&found);
    print!("{text}");

    write(&args.out.join("table.txt"), text.as_bytes())?;
    for axis in Axis::ALL {
        let along: Vec<&Sample> = samples.iter().filter(|sample| sample.axis == axis).collect();
        if along.is_empty() {
            continue;
        }
        for function in Function::ALL {
            let path = args.out.join(format!("{}-{}.csv", function.name(), axis.name()));
            table(&path, function, &along).map_err(|error| format!("{}: {error}", path.display()))?;
        }
        let of: Vec<&Row> = rows.iter().filter(|row| row.axis == axis).collect();
        let path = args.out.join(format!("{}.svg", axis.name()));
        chart::draw(&path, axis, &of).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(())
}

/// All sizes of all axes that are wanted, and the base, for all seeds.
fn sample(args: &Slopes, base: &FleetParameters) -> (Vec<Sample>, Vec<Vec<Measurement>>) {
    let axes = if args.axes.is_empty() { Axis::ALL.to_vec() } else { args.axes.clone() };
    let seeds = args.seed..args.seed + args.seeds.max(1);
    let bar = ProgressBar::new((axes.len() as u64 * 6 + 1) * args.seeds.max(1));
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} {msg}, {eta} left") {
        bar.set_style(style);
    }
    let seconds = args.effort().calm_seconds;
    let mut plays: Vec<(FleetParameters, u64, MessageCounts)> = Vec::new();
    let mut of = |size: &FleetParameters, seed: u64| {
        let still = FleetParameters { days: 0, ..*size };
        let known = plays.iter().position(|(played, with, _)| (played, *with) == (&still, seed));
        let at = known.unwrap_or_else(|| {
            plays.push((still, seed, simulate_phases(&still, seed, seconds)));
            plays.len() - 1
        });
        measure(size, seed, args.effort(), &plays[at].2)
    };
    let mut samples = Vec::new();
    for axis in axes {
        let sizes = if args.quick { axis.small_values() } else { axis.values() };
        for to in sizes {
            for seed in seeds.clone() {
                bar.set_message(format!("{} {to}", axis.name()));
                let measured = of(&axis.with_value(base, to), seed);
                samples.push(Sample { axis, size: f64::from(to), seed, measured });
                bar.inc(1);
            }
        }
    }
    let at_base = seeds
        .map(|seed| {
            bar.set_message("base");
            let measured = of(base, seed);
            bar.inc(1);
            measured
        })
        .collect();
    bar.finish_and_clear();
    (samples, at_base)
}

fn suspect(args: &Slopes, base: &FleetParameters, budget: &Budget) -> Vec<Finding> {
    let times = args.effort().cpu_times;
    let fleets = if args.quick { &FLEETS[..3] } else { &FLEETS[..] };
    let mut found = vec![
        hypotheses::tenant_quota(args.seed, fleets),
        hypotheses::hello_messages(base, args.seed, times),
        hypotheses::fault_reports(base, args.seed, budget.bytes_per_s),
    ];
    if times {
        found.extend(hypotheses::worker_lists(base, args.seed, (budget.bytes_per_s, budget.cpu_ms_per_s)));
        found.push(hypotheses::load_messages(base, args.seed, args.effort().calm_seconds));
    }
    found
}

/// Memory that this process has, in bytes; 0 where the system does not tell.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kib.map_or(0, |kib| kib * 1_024)
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), String> {
    fs::write(path, bytes).map_err(|error| format!("{}: {error}", path.display()))
}

/// One function along one axis: a line for each size and seed.
fn table(path: &Path, function: Function, along: &[&Sample]) -> Result<(), csv::Error> {
    let mut table = csv::Writer::from_path(path)?;
    let heads = ["size", "seed", "messages", "bytes", "cpu_us", "state_bytes"];
    let loads = ["mean_bytes_per_s", "mean_cpu_ms_per_s", "worst_bytes_per_s", "worst_cpu_ms_per_s"];
    table.write_record(heads.iter().chain(&loads))?;
    let told = |value: Option<f64>| value.map_or(String::new(), |value| value.to_string());
    for sample in along {
        for of in sample.measured.iter().filter(|measured| measured.function == function) {
            let (cost, mean, worst) = (of.cost, of.mean, of.worst);
            let values = [cost.messages, cost.bytes, cost.cpu_us, cost.heap_bytes];
            let loads = [mean.bytes, mean.cpu_ms, worst.bytes, worst.cpu_ms];
            let line = [sample.size.to_string(), sample.seed.to_string()];
            table.write_record(line.into_iter().chain(values.into_iter().chain(loads).map(told)))?;
        }
    }
    table.flush()?;
    Ok(())
}
