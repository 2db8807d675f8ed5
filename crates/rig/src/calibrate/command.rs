//! The `calibrate` command: plays one fleet size with real processes and with the hollow fleet, or measures a single
//! process.

use super::compare::{Comparison, SeedVariation, compare, seed_variation};
use super::process::program;
use super::replay::{ReplayResult, replay};
use super::single_process::{MeasurementPlan, ProcessCosts, measure};
use calicolb_simulation::{Incident, Plan, Summary};
use clap::Args;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// Maximum number of processes, limited by what one machine can run.
const MAX_PROCESSES: u32 = 60;
/// Accelerators for each worker, as in the default plan.
const ACCELERATORS_PER_WORKER: f64 = 760.0 / 690.0;

/// Options of the `calibrate` command.
#[derive(Clone, Debug, Args)]
pub struct Calibrate {
    /// Processes of the program, at most 60.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(1..=i64::from(MAX_PROCESSES)))]
    pub processes: u32,
    /// Workers.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub workers: u32,
    /// Accelerators; by default as many for each worker as in the default plan.
    #[arg(long)]
    pub accelerators: Option<u32>,
    /// Tenants.
    #[arg(long, default_value_t = 240)]
    pub tenants: u32,
    /// Zones.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=200))]
    pub zones: u32,
    /// Regions.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=200))]
    pub regions: u32,
    /// Requests a second.
    #[arg(long, default_value_t = 20.0)]
    pub starts: f64,
    /// Jobs that run at the same time; by default as many for each worker as in the default plan.
    #[arg(long)]
    pub running: Option<f64>,
    /// Length of the measured span, in seconds.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Length of the warm-up before it, in seconds.
    #[arg(long, default_value_t = 15)]
    pub warm_up: u64,
    /// Seed of the first play.
    #[arg(long, default_value_t = 7)]
    pub seed: u64,
    /// Number of seeds, counted up from the first; their plays are compared together, which reduces the effect of
    /// chance. With 0 no process is started and only the hollow fleet is played.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(..=100))]
    pub seeds: u64,
    /// Plays of the hollow fleet with further seeds, to measure how its counts vary between seeds.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(..=1_000))]
    pub hollow_seeds: u64,
    /// Path of the program; by default the one beside this executable.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Play nothing; measure a single process among 690 workers, 299 other schedulers and 240 tenants.
    #[arg(long)]
    pub alone: bool,
    /// Print one JSON object and nothing else.
    #[arg(long)]
    pub json: bool,
}

/// Plays of one seed by real processes and by the hollow fleet.
#[derive(Debug, Serialize)]
struct SeedResult {
    seed: u64,
    real: ReplayResult,
    hollow: Summary,
}

/// JSON output of a calibration.
#[derive(Debug, Serialize)]
struct CalibrationReport {
    machine: Machine,
    plays: Vec<SeedResult>,
    one: ProcessCosts,
    compared: Comparison,
    chance: Vec<SeedVariation>,
}

/// Load of the machine during the run; processor time costs more on a busy machine.
#[derive(Debug, Serialize)]
struct Machine {
    cores: usize,
    /// Mean number of running or waiting processes over a minute, before the run. `load_after` is the same after the
    /// run.
    load_before: f64,
    load_after: f64,
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or(0.0)
}

impl Machine {
    fn measure(load_before: f64) -> Machine {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        Machine { cores, load_before, load_after: load_average() }
    }
}

/// JSON output of the measurement of a single process.
#[derive(Debug, Serialize)]
struct SingleProcessReport {
    machine: Machine,
    one: ProcessCosts,
}

/// Runs the command.
///
/// # Errors
///
/// The program is missing, or does not start or serve; or a play of real processes lost a request or doubled an
/// attempt.
pub fn run(args: &Calibrate) -> Result<(), String> {
    let program = program(args.program.as_deref())?;
    let load_before = load_average();
    let second = Duration::from_secs(1);
    if args.alone {
        let (default_plan, seed) = (Plan::default(), args.seed);
        let measurement = MeasurementPlan::of(&Plan { seed, ..default_plan }, 30 * second, 10 * second);
        let one = measure(&program, &measurement)?;
        return print_json(&SingleProcessReport { machine: Machine::measure(load_before), one }, true);
    }
    let mut plays = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let plan = Plan { seed, ..plan(args) };
        // The cost of a restart does not depend on the seed, so only the first play measures it.
        let real = replay(&program, &plan, seed == args.seed)?;
        plays.push(SeedResult { seed, real, hollow: calicolb_simulation::simulate(&plan) });
    }
    let one = match args.seeds {
        0 => ProcessCosts::default(),
        _ => measure(&program, &MeasurementPlan::of(&plan(args), 10 * second, 5 * second))?,
    };
    let pairs: Vec<(&ReplayResult, &Summary)> = plays.iter().map(|play| (&play.real, &play.hollow)).collect();
    let compared = compare(&pairs, &one);
    let real: Vec<&ReplayResult> = plays.iter().map(|play| &play.real).collect();
    let chance = seed_variation(&plan(args), args.hollow_seeds, &real);
    if !args.json {
        print_table(&compared, &chance);
    }
    let violations: Vec<String> = plays
        .iter()
        .filter(|play| play.real.lost > 0 || play.real.doubled > 0)
        .map(|play| {
            format!(
                "seed {}: {} requests lost, {} attempts doubled",
                play.seed, play.real.lost, play.real.doubled
            )
        })
        .collect();
    print_json(
        &CalibrationReport { machine: Machine::measure(load_before), plays, one, compared, chance },
        args.json,
    )?;
    if violations.is_empty() { Ok(()) } else { Err(violations.join("; ")) }
}

fn plan(args: &Calibrate) -> Plan {
    Plan {
        schedulers: args.processes,
        workers: args.workers,
        accelerators: args
            .accelerators
            .unwrap_or((ACCELERATORS_PER_WORKER * f64::from(args.workers)).round() as u32),
        tenants: args.tenants,
        zones: args.zones,
        regions: args.regions.min(args.zones),
        requests_per_s: args.starts.max(0.1),
        running_tasks: args.running,
        measured_seconds: args.seconds.max(1),
        warm_up_seconds: args.warm_up,
        incident: Incident::None,
        seed: args.seed,
        ..Plan::default()
    }
}

fn print_json(value: &impl Serialize, json: bool) -> Result<(), String> {
    if json {
        println!("{}", serde_json::to_string(value).map_err(|error| error.to_string())?);
    }
    Ok(())
}

fn print_table(compared: &Comparison, chance: &[SeedVariation]) {
    let ratio_text = |ratio: Option<f64>| ratio.map_or("-".to_owned(), |ratio| format!("{ratio:.3}"));
    println!(
        "{:<11}{:>10}{:>10}{:>8}{:>12}{:>12}{:>8}  alike",
        "function", "real", "hollow", "ratio", "real B", "hollow B", "ratio"
    );
    for row in &compared.functions {
        println!(
            "{:<11}{:>10}{:>10}{:>8}{:>12}{:>12}{:>8}  {}",
            row.function,
            row.real.messages,
            row.hollow.messages,
            ratio_text(row.messages_ratio),
            row.real.bytes,
            row.hollow.bytes,
            ratio_text(row.bytes_ratio),
            row.alike
        );
    }
    for SeedVariation { function, plays, mean, deviation, real_mean, standard_errors } in chance {
        let real = real_mean.map_or("-".to_owned(), |real| format!("{real:.1}"));
        let errors_text = standard_errors.map_or("-".to_owned(), |errors| format!("{errors:.1}"));
        println!(
            "{function}: hollow {mean:.1} a play, +- {deviation:.1} over {plays} seeds; real {real}, {errors_text} standard errors off"
        );
    }
    let cpu = &compared.cpu;
    println!(
        "control CPU, ms a second: real {:.3} (idle {:.3}, heard {:.3}), hollow {:.3}, ratio {}; the whole process {:.3}",
        cpu.real_control,
        cpu.real_idle,
        cpu.real_received,
        cpu.hollow_control,
        ratio_text(cpu.ratio),
        cpu.real_all
    );
}
