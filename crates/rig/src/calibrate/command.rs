//! The command: one size played by real processes and by the hollow fleet, or one process measured by itself.

use super::compare::{Chance, Compared, chance, compare};
use super::direct::{Direct, Measured, measure};
use super::process::program;
use super::replay::{Real, replay};
use calicolb_simulation::{Incident, Plan, Summary};
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
    /// Plays of so many seeds, from that one on, are held against each other together: chance tells less in many.
    /// With 0 no process is started: only the hollow fleet is played.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(..=100))]
    pub seeds: u64,
    /// Plays of the hollow fleet with other seeds: what chance alone does to the counts.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(..=1_000))]
    pub hollow_seeds: u64,
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

/// A seed, played by both.
#[derive(Debug, Serialize)]
struct Played {
    seed: u64,
    real: Real,
    hollow: Summary,
}

/// What came of it.
#[derive(Debug, Serialize)]
struct Report {
    machine: Machine,
    plays: Vec<Played>,
    one: Measured,
    compared: Compared,
    chance: Vec<Chance>,
}

/// What else the machine did: processor time is dearer on a busy one.
#[derive(Debug, Serialize)]
struct Machine {
    cores: usize,
    /// Processes that ran or waited to, mean of a minute, before and after.
    load_before: f64,
    load_after: f64,
}

fn load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or(0.0)
}

impl Machine {
    fn since(load_before: f64) -> Machine {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        Machine { cores, load_before, load_after: load() }
    }
}

/// One process, measured by itself.
#[derive(Debug, Serialize)]
struct Alone {
    machine: Machine,
    one: Measured,
}

/// Runs the command.
///
/// # Errors
///
/// The program isn't there, or does not start or serve; or a rule was broken in the play of real processes.
pub fn run(how: &Calibrate) -> Result<(), String> {
    let program = program(how.program.as_deref())?;
    let before = load();
    let second = Duration::from_secs(1);
    if how.alone {
        let (letter, seed) = (Plan::default(), how.seed);
        let direct = Direct::of(&Plan { seed, ..letter }, 30 * second, 10 * second);
        let one = measure(&program, &direct)?;
        return print(&Alone { machine: Machine::since(before), one }, true);
    }
    let mut plays = Vec::new();
    for seed in how.seed..how.seed + how.seeds {
        let plan = Plan { seed, ..plan(how) };
        // What a start costs is the same for each.
        let real = replay(&program, &plan, seed == how.seed)?;
        plays.push(Played { seed, real, hollow: calicolb_simulation::simulate(&plan) });
    }
    let one = match how.seeds {
        0 => Measured::default(),
        _ => measure(&program, &Direct::of(&plan(how), 10 * second, 5 * second))?,
    };
    let pairs: Vec<(&Real, &Summary)> = plays.iter().map(|play| (&play.real, &play.hollow)).collect();
    let compared = compare(&pairs, &one);
    let real: Vec<&Real> = plays.iter().map(|play| &play.real).collect();
    let chance = chance(&plan(how), how.hollow_seeds, &real);
    if !how.json {
        table(&compared, &chance);
    }
    let broken: Vec<String> = plays
        .iter()
        .filter(|play| play.real.lost > 0 || play.real.doubled > 0)
        .map(|play| format!("seed {}: {} lost, {} doubled", play.seed, play.real.lost, play.real.doubled))
        .collect();
    print(&Report { machine: Machine::since(before), plays, one, compared, chance }, how.json)?;
    if broken.is_empty() { Ok(()) } else { Err(broken.join("; ")) }
}

fn plan(how: &Calibrate) -> Plan {
    Plan {
        schedulers: how.processes,
        workers: how.workers,
        accelerators: how.accelerators.unwrap_or((ACCELERATORS * f64::from(how.workers)).round() as u32),
        tenants: how.tenants,
        zones: how.zones,
        regions: how.regions.min(how.zones),
        requests_per_s: how.starts.max(0.1),
        running_tasks: how.running,
        measured_seconds: how.seconds.max(1),
        warm_up_seconds: how.warm_up,
        incident: Incident::None,
        seed: how.seed,
        ..Plan::default()
    }
}

fn print(what: &impl Serialize, json: bool) -> Result<(), String> {
    if json {
        println!("{}", serde_json::to_string(what).map_err(|error| error.to_string())?);
    }
    Ok(())
}

fn table(compared: &Compared, chance: &[Chance]) {
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
    for Chance { function, plays, mean, deviation, real_mean, standard_errors } in chance {
        let real = real_mean.map_or("-".to_owned(), |real| format!("{real:.1}"));
        let off = standard_errors.map_or("-".to_owned(), |errors| format!("{errors:.1}"));
        println!(
            "{function}: hollow {mean:.1} a play, +- {deviation:.1} over {plays} seeds; real {real}, {off} standard errors off"
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
