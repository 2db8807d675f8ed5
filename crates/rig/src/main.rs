//! Test rig for calicolb: simulated workers and clients around a running scheduler, with a reproducible load and a
//! table of the results.

mod appliance;
mod clients;
mod load;
mod result_table;
mod run_counts;
mod scale;
mod slopes;
mod workers;

use appliance::Appliance;
use calicolb_rig::calibrate::command::Calibrate;
use clap::{Args, Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use load::{CLASSES, Plan};
use result_table::ResultTable;
use run_counts::RunCounts;
use scale::Scale;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use workers::{RunningWorker, Worker};

/// Test rig for calicolb: simulated workers and clients of both protocols, on loopback.
#[derive(Parser)]
#[command(
    version,
    after_help = "\
Examples:
  calicolb-rig demo
  calicolb-rig run --speak gearman --seeds 5 --seconds 20 --roll
  calicolb-rig rush --speak gearman --seconds 5
  calicolb-rig idle --connections 1000
  calicolb-rig calibrate --processes 30 --workers 60 --starts 20 --seconds 20 --seed 7 --json
  calicolb-rig slopes --out target/slopes"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a load of ten seconds on the scheduler with workers of both protocols, and show the results by class.
    Demo,
    /// Run a load with a constant mean rate, once for each seed.
    Run(Run),
    /// Run a closed load of jobs without work: jobs a second, and CPU time for each job.
    Rush(Rush),
    /// Simulate a fleet of hundreds of schedulers, and show the cost of control.
    Scale(Scale),
    /// Open connections of sleeping workers: memory and CPU time.
    Idle {
        /// Number of connections.
        #[arg(long, default_value_t = 1000)]
        connections: usize,
        /// Seconds over which the CPU time is measured.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
    },
    /// Run a plan of the simulation with real scheduler processes and simulated peers, and compare both results.
    Calibrate(Calibrate),
    /// Measure the cost of each control function by fleet size: exponents, predictions, and costs beyond the budget.
    Slopes(slopes::Slopes),
}

/// Protocols of clients and workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Protocols {
    /// Clients and workers speak HTTP.
    Http,
    /// Clients and workers speak Gearman.
    Gearman,
    /// Half of the clients and workers speak HTTP, half Gearman; each job may run on a worker of either protocol.
    Mixed,
}

/// Options of the command `run`.
#[derive(Clone, Args)]
struct Run {
    /// Protocols of clients and workers.
    #[arg(long, value_enum, default_value_t = Protocols::Mixed)]
    speak: Protocols,
    /// Number of seeds, counted from 1.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds during which jobs arrive.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Mean number of jobs a second.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// Number of workers, with three lanes each.
    #[arg(long, default_value_t = 8)]
    workers: usize,
    /// Replace 97 % of the workers one after the other while jobs arrive.
    #[arg(long)]
    roll: bool,
}

/// Options of the command `rush`.
#[derive(Args)]
struct Rush {
    /// Protocols of clients and workers.
    #[arg(long, value_enum, default_value_t = Protocols::Gearman)]
    speak: Protocols,
    /// Seconds of load.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Number of clients, each with one job at a time.
    #[arg(long, default_value_t = 16)]
    clients: usize,
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Demo => run_demo(),
        Command::Run(run) => run_seeds(&run),
        Command::Rush(rush) => run_rush(&rush),
        Command::Scale(scale) => scale.run(),
        Command::Idle { connections, seconds } => run_idle(connections, seconds),
        Command::Calibrate(options) => calicolb_rig::calibrate::command::run(&options),
        Command::Slopes(slopes) => slopes::run(&slopes),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("calicolb-rig: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the command `demo`.
fn run_demo() -> Result<(), String> {
    println!("The appliance with 4 HTTP and 4 Gearman workers; clients of both, for ten seconds.\n");
    run_seeds(&Run { speak: Protocols::Mixed, seeds: 1, seconds: 10, rate: 40.0, workers: 8, roll: false })
}

/// Returns whether the worker or job with this index uses Gearman.
fn uses_gearman(speak: Protocols, index: usize) -> bool {
    match speak {
        Protocols::Http => false,
        Protocols::Gearman => true,
        Protocols::Mixed => index % 2 == 1,
    }
}

/// Runs the command `run`: one load for each seed.
fn run_seeds(run: &Run) -> Result<(), String> {
    let mut service_shares = Vec::new();
    for seed in 1..=run.seeds {
        let (table, usage) = run_seed(run, seed)?;
        if run.seeds == 1 {
            println!("{}", table.table());
        }
        println!("seed {seed}: {}; {usage}", table.summary());
        service_shares.push(table.service_share());
        if table.has_violation() {
            return Err("a job that must not repeat ran more than once, or a job was lost".to_owned());
        }
    }
    if run.seeds > 1 {
        let mean = service_shares.iter().sum::<f64>() / service_shares.len() as f64;
        println!(
            "mean service {mean:.4} over {} seeds ({:?}, roll: {})",
            service_shares.len(),
            run.speak,
            run.roll
        );
    }
    Ok(())
}

/// Runs the load of one seed on a new scheduler process and new workers.
fn run_seed(run: &Run, seed: u64) -> Result<(ResultTable, appliance::Usage), String> {
    let run_counts = Arc::new(RunCounts::default());
    let mut http = Vec::new();
    let mut gearman_workers = Vec::new();
    for index in 0..run.workers {
        let worker = Worker::new(format!("worker-{index}"), Duration::from_secs(2), Arc::clone(&run_counts));
        if uses_gearman(run.speak, index) {
            gearman_workers.push((index, worker));
        } else {
            let (running_worker, address) = RunningWorker::start_http(worker)?;
            http.push((index, running_worker, address));
        }
    }
    let http_workers: Vec<_> = http
        .iter()
        .map(|(_, running_worker, address)| (running_worker.name().to_owned(), *address, workers::LANES))
        .collect();
    let appliance = Appliance::start(&http_workers, 1024)?;
    let mut running_workers: Vec<(usize, RunningWorker)> = Vec::new();
    for (index, running_worker, _) in http {
        running_worker.set_callback_address(appliance.http);
        running_workers.push((index, running_worker));
    }
    for (index, worker) in gearman_workers {
        running_workers.push((index, RunningWorker::start_gearman(worker, appliance.gearman)));
    }
    running_workers.sort_by_key(|(index, _)| *index);
    // Workers are registered and warm (cold time 2 s) when the load begins.
    thread::sleep(Duration::from_millis(2_500));
    let plan = Plan::generate(seed, run.rate, Duration::from_secs(run.seconds));
    let before = appliance.usage();
    let started_at = Instant::now();
    let roll = run.roll.then(|| {
        let (span, count) = (Duration::from_secs(run.seconds), running_workers.len());
        // 97 % of the workers are replaced, evenly spread over the run.
        let replaced = (count * 97).div_ceil(100).min(count);
        thread::spawn(move || {
            for (at, (_, running_worker)) in running_workers.iter().enumerate().take(replaced) {
                thread::sleep((started_at + span.mul_f64(at as f64 / replaced as f64)) - Instant::now());
                running_worker.restart();
            }
            running_workers
        })
    });
    let bar = ProgressBar::new(plan.jobs.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} jobs, {eta} left") {
        bar.set_style(style);
    }
    let at = (appliance.http, appliance.gearman);
    let results = clients::run_plan(&plan, started_at, at, |index| uses_gearman(run.speak, index), &bar);
    bar.finish_and_clear();
    let usage = appliance.usage().since(&before, results.len());
    if let Some(roll) = roll {
        drop(roll.join());
    }
    let table = ResultTable::new(&plan, &results, &run_counts);
    appliance.stop()?;
    Ok((table, usage))
}

/// Runs the command `rush`: a closed load of jobs without work on one worker.
fn run_rush(rush: &Rush) -> Result<(), String> {
    let run_counts = Arc::new(RunCounts::default());
    let worker = || Worker::new("rush".to_owned(), Duration::ZERO, Arc::clone(&run_counts));
    let over_gearman = uses_gearman(rush.speak, 1);
    let http = if over_gearman { None } else { Some(RunningWorker::start_http(worker())?) };
    let http_workers: Vec<_> = http
        .iter()
        .map(|(running_worker, address)| (running_worker.name().to_owned(), *address, rush.clients))
        .collect();
    let appliance = Appliance::start(&http_workers, 1024)?;
    let _running_worker = match http {
        Some((running_worker, _)) => {
            running_worker.set_callback_address(appliance.http);
            running_worker
        }
        None => RunningWorker::start_gearman_with_lanes(worker(), appliance.gearman, rush.clients),
    };
    // The worker is warm by then. The scheduler sends fewer jobs to a cold worker, which would distort the measurement.
    thread::sleep(Duration::from_millis(2_500));
    let before = appliance.usage();
    let started_at = Instant::now();
    let at = (appliance.http, appliance.gearman);
    let counts = clients::run_closed_load(at, over_gearman, rush.clients, Duration::from_secs(rush.seconds));
    let span = started_at.elapsed().as_secs_f64();
    let usage = appliance.usage().since(&before, counts.served + counts.refused);
    println!(
        "{:?}: {} served, {} refused, {} failed in {span:.1} s: {:.0} jobs a second; {usage}",
        rush.speak,
        counts.served,
        counts.refused,
        counts.failed,
        counts.served as f64 / span
    );
    appliance.stop()
}

/// Runs the command `idle`: CPU time and memory with `connections` sleeping worker connections.
fn run_idle(connections: usize, seconds: u64) -> Result<(), String> {
    // Gearman connections may take half of the descriptors.
    let appliance = Appliance::start(&[], 2 * connections + 512)?;
    let empty = appliance.usage();
    let open_connections = workers::open_sleeping_connections(appliance.gearman, connections)?;
    thread::sleep(Duration::from_secs(1));
    let before = appliance.usage();
    thread::sleep(Duration::from_secs(seconds));
    let after = appliance.usage();
    println!(
        "{} sleeping workers: {:.1} MiB resident ({:.1} MiB without them), {:.2} ms CPU a second",
        open_connections.len(),
        after.resident_mib(),
        empty.resident_mib(),
        after.since(&before, 1).cpu_ms() / seconds as f64
    );
    drop(open_connections);
    appliance.stop()
}

/// Returns the name of the class with this index in [`CLASSES`].
fn class_name(class: usize) -> &'static str {
    CLASSES[class].name
}
