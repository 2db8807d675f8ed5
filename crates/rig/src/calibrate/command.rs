//! The command: one size played by real processes and by the hollow fleet, or one process measured by itself.

use super::compare::{Compared, compare};
use super::direct::{Direct, Measured, measure};
use super::play::{Real, play};
use super::process::program;
use calicolb_hollow::{Account, Plan, Trouble};
use clap::Args;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// Processes that one machine plays at most.
const MOST_PROCESSES: u32 = 60;
/// Accelerators by worker, at the size of the letter.
const ACCELERATORS: f64 = 760.0 / 690.0;

/// What is calibrated.
#[derive(Clone, Debug, Args)]
pub struct Calibrate {
    /// Processes of the program: 60 at most.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(1..=i64::from(MOST_PROCESSES)))]
    pub processes: u32,
    /// Workers.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub workers: u32,
    /// Accelerators; as many a worker as at the letter's size, unless this says another.
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
    /// Jobs that run at once; as many a worker as at the letter's size, unless this says another.
    #[arg(long)]
    pub running: Option<f64>,
    /// Seconds that count.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Seconds before these.
    #[arg(long, default_value_t = 15)]
    pub warm_up: u64,
    /// The seed of every draw.
    #[arg(long, default_value_t = 7)]
    pub seed: u64,
    /// The program; the one beside this one, unless this says another.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Plays nothing: measures one process by itself, among 690 workers, 299 other schedulers and 240 tenants.
    #[arg(long)]
    pub alone: bool,
    /// Prints one JSON object and nothing else.
    #[arg(long)]
    pub json: bool,
}

/// What came of it.
#[derive(Debug, Serialize)]
struct Report {
    real: Real,
    hollow: Account,
    one: Measured,
    compared: Compared,
}

/// Runs the command.
///
/// # Errors
///
/// The program isn't there, or does not start or serve; or a rule was broken in the play of real processes.
pub fn run(how: &Calibrate) -> Result<(), String> {
    let program = program(how.program.as_deref())?;
    let plan = plan(how);
    let second = Duration::from_secs(1);
    if how.alone {
        let letter = Plan::default();
        let direct = Direct {
            workers: letter.workers,
            accelerators: letter.accelerators,
            schedulers: letter.schedulers,
            tenants: letter.tenants,
            idle: 30 * second,
            messages: 2_000,
            span: 10 * second,
        };
        return print(&measure(&program, &direct, how.seed)?, true);
    }
    let real = play(&program, &plan)?;
    let direct = Direct {
        workers: plan.workers,
        accelerators: plan.accelerators,
        schedulers: plan.schedulers,
        tenants: plan.tenants,
        idle: 10 * second,
        messages: 2_000,
        span: 5 * second,
    };
    let one = measure(&program, &direct, how.seed)?;
    let hollow = calicolb_hollow::play(&plan);
    let compared = compare(&real, &hollow, &one);
    if !how.json {
        table(&compared);
    }
    let (lost, doubled) = (real.lost, real.doubled);
    print(&Report { real, hollow, one, compared }, how.json)?;
    if lost > 0 || doubled > 0 {
        return Err(format!(
            "{lost} requests were lost, {doubled} attempts came while the first still was there"
        ));
    }
    Ok(())
}

fn plan(how: &Calibrate) -> Plan {
    Plan {
        schedulers: how.processes,
        workers: how.workers,
        accelerators: how.accelerators.unwrap_or((ACCELERATORS * f64::from(how.workers)).round() as u32),
        tenants: how.tenants,
        zones: how.zones,
        regions: how.regions.min(how.zones),
        starts_per_s: how.starts.max(0.1),
        running: how.running,
        seconds: how.seconds.max(1),
        warm_up: how.warm_up,
        event: Trouble::None,
        seed: how.seed,
    }
}

fn print(what: &impl Serialize, json: bool) -> Result<(), String> {
    if json {
        println!("{}", serde_json::to_string(what).map_err(|error| error.to_string())?);
    }
    Ok(())
}

fn table(compared: &Compared) {
    let percent = |ratio: Option<f64>| ratio.map_or("-".to_owned(), |ratio| format!("{ratio:.3}"));
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
            percent(row.messages_ratio),
            row.real.bytes,
            row.hollow.bytes,
            percent(row.bytes_ratio),
            row.alike
        );
    }
    let cpu = &compared.cpu;
    println!(
        "control CPU, ms a second: real {:.3} (idle {:.3}, heard {:.3}), hollow {:.3}, ratio {}; the whole process {:.3}",
        cpu.real_control,
        cpu.real_idle,
        cpu.real_heard,
        cpu.hollow_control,
        percent(cpu.ratio),
        cpu.real_all
    );
}
