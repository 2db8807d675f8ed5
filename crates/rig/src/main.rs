//! Stand-in workers and clients round a running appliance: a load that is the same for the same seed, and a table of
//! what came of it.

mod appliance;
mod clients;
mod ledger;
mod load;
mod scale;
mod slopes;
mod table;
mod workers;

use appliance::Appliance;
use calicolb_rig::calibrate::command::Calibrate;
use clap::{Args, Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use ledger::Ledger;
use load::{CLASSES, Plan};
use scale::Scale;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use table::Tally;
use workers::{Crew, Worker};

/// Stand-ins for calicolb: workers and clients of both protocols, on loopback.
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
    /// Start the appliance with workers of both protocols for ten seconds, and show what came of each job.
    Demo,
    /// Play a load at a steady rate, once for each seed.
    Run(Run),
    /// Clients that never rest and workers that do nothing: jobs a second, and CPU for each.
    Rush(Rush),
    /// Play a hollow fleet of hundreds of schedulers, and show what control costs.
    Scale(Scale),
    /// Worker connections that sleep: memory and CPU.
    Idle {
        /// How many.
        #[arg(long, default_value_t = 1000)]
        connections: usize,
        /// For how long the CPU is watched.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
    },
    /// Play a plan of the hollow fleet by real processes of the program among stand-ins, and hold the two against each other.
    Calibrate(Calibrate),
    /// What each control function costs by the size of the fleet: exponents, predictions, and what is beyond its budget.
    Slopes(slopes::Slopes),
}

/// Who speaks what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Speak {
    /// Clients and workers speak HTTP.
    Http,
    /// Clients and workers speak Gearman.
    Gearman,
    /// Half of each, and jobs of both may run on workers of both.
    Mixed,
}

#[derive(Clone, Args)]
struct Run {
    /// Who speaks what.
    #[arg(long, value_enum, default_value_t = Speak::Mixed)]
    speak: Speak,
    /// How many seeds, from 1.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// For how long jobs arrive.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Jobs a second.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// Workers, of three lanes each.
    #[arg(long, default_value_t = 8)]
    workers: usize,
    /// Replace the workers one after the other while jobs arrive.
    #[arg(long)]
    roll: bool,
}

#[derive(Args)]
struct Rush {
    /// Who speaks what.
    #[arg(long, value_enum, default_value_t = Speak::Gearman)]
    speak: Speak,
    /// For how long.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Clients, each with one job at a time.
    #[arg(long, default_value_t = 16)]
    clients: usize,
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Demo => demo(),
        Command::Run(run) => series(&run),
        Command::Rush(rush) => self::rush(&rush),
        Command::Scale(scale) => scale.run(),
        Command::Idle { connections, seconds } => idle(connections, seconds),
        Command::Calibrate(how) => calicolb_rig::calibrate::command::run(&how),
        Command::Slopes(slopes) => slopes::run(&slopes),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("calicolb-rig: {why}");
            ExitCode::FAILURE
        }
    }
}

fn demo() -> Result<(), String> {
    println!("The appliance with 4 HTTP and 4 Gearman workers; clients of both, for ten seconds.\n");
    series(&Run { speak: Speak::Mixed, seeds: 1, seconds: 10, rate: 40.0, workers: 8, roll: false })
}

/// Which of the workers, or of the jobs, speak Gearman.
fn gearman(speak: Speak, nr: usize) -> bool {
    match speak {
        Speak::Http => false,
        Speak::Gearman => true,
        Speak::Mixed => nr % 2 == 1,
    }
}

fn series(run: &Run) -> Result<(), String> {
    let mut services = Vec::new();
    for seed in 1..=run.seeds {
        let (tally, usage) = play(run, seed)?;
        if run.seeds == 1 {
            println!("{}", tally.table());
        }
        println!("seed {seed}: {}; {usage}", tally.line());
        services.push(tally.service());
        if tally.broken() {
            return Err("a job ran twice that must not, or one was lost".to_owned());
        }
    }
    if run.seeds > 1 {
        let mean = services.iter().sum::<f64>() / services.len() as f64;
        println!(
            "mean service {mean:.4} over {} seeds ({:?}, roll: {})",
            services.len(),
            run.speak,
            run.roll
        );
    }
    Ok(())
}

fn play(run: &Run, seed: u64) -> Result<(Tally, appliance::Usage), String> {
    let ledger = Arc::new(Ledger::default());
    let mut http = Vec::new();
    let mut crews = Vec::new();
    for nr in 0..run.workers {
        let worker = Worker::new(format!("worker-{nr}"), Duration::from_secs(2), Arc::clone(&ledger));
        if gearman(run.speak, nr) {
            crews.push((nr, worker));
        } else {
            let (crew, dial) = Crew::http(worker)?;
            http.push((nr, crew, dial));
        }
    }
    let named: Vec<_> =
        http.iter().map(|(_, crew, dial)| (crew.name().to_owned(), *dial, workers::LANES)).collect();
    let appliance = Appliance::start(&named, 1024)?;
    let mut all: Vec<(usize, Crew)> = Vec::new();
    for (nr, crew, _) in http {
        crew.calls(appliance.http);
        all.push((nr, crew));
    }
    for (nr, worker) in crews {
        all.push((nr, Crew::gearman(worker, appliance.gearman)));
    }
    all.sort_by_key(|(nr, _)| *nr);
    // Workers are warm when the load begins, and known.
    thread::sleep(Duration::from_millis(2_500));
    let plan = Plan::draw(seed, run.rate, Duration::from_secs(run.seconds));
    let before = appliance.usage();
    let begun = Instant::now();
    let roll = run.roll.then(|| {
        let (span, count) = (Duration::from_secs(run.seconds), all.len());
        // 97 in a hundred of them, evenly over the run.
        let rolled = (count * 97).div_ceil(100).min(count);
        thread::spawn(move || {
            for (at, (_, crew)) in all.iter().enumerate().take(rolled) {
                thread::sleep((begun + span.mul_f64(at as f64 / rolled as f64)) - Instant::now());
                crew.replace();
            }
            all
        })
    });
    let bar = ProgressBar::new(plan.jobs.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} jobs, {eta} left") {
        bar.set_style(style);
    }
    let at = (appliance.http, appliance.gearman);
    let results = clients::play(&plan, begun, at, |nr| gearman(run.speak, nr), &bar);
    bar.finish_and_clear();
    let usage = appliance.usage().since(&before, results.len());
    if let Some(roll) = roll {
        drop(roll.join());
    }
    let tally = Tally::new(&plan, &results, &ledger);
    appliance.end()?;
    Ok((tally, usage))
}

fn rush(rush: &Rush) -> Result<(), String> {
    let ledger = Arc::new(Ledger::default());
    let worker = || Worker::new("rush".to_owned(), Duration::ZERO, Arc::clone(&ledger));
    let speaks = gearman(rush.speak, 1);
    let http = if speaks { None } else { Some(Crew::http(worker())?) };
    let named: Vec<_> =
        http.iter().map(|(crew, dial)| (crew.name().to_owned(), *dial, rush.clients)).collect();
    let appliance = Appliance::start(&named, 1024)?;
    let _crew = match http {
        Some((crew, _)) => {
            crew.calls(appliance.http);
            crew
        }
        None => Crew::gearman_of(worker(), appliance.gearman, rush.clients),
    };
    // Its worker is warm by then: what a cold one is spared is not what is measured.
    thread::sleep(Duration::from_millis(2_500));
    let before = appliance.usage();
    let begun = Instant::now();
    let at = (appliance.http, appliance.gearman);
    let done = clients::rush(at, speaks, rush.clients, Duration::from_secs(rush.seconds));
    let span = begun.elapsed().as_secs_f64();
    let usage = appliance.usage().since(&before, done.served + done.refused);
    println!(
        "{:?}: {} served, {} refused, {} failed in {span:.1} s: {:.0} jobs a second; {usage}",
        rush.speak,
        done.served,
        done.refused,
        done.failed,
        done.served as f64 / span
    );
    appliance.end()
}

fn idle(connections: usize, seconds: u64) -> Result<(), String> {
    // Gearman has a half of the descriptors.
    let appliance = Appliance::start(&[], 2 * connections + 512)?;
    let empty = appliance.usage();
    let sleepers = workers::sleepers(appliance.gearman, connections)?;
    thread::sleep(Duration::from_secs(1));
    let before = appliance.usage();
    thread::sleep(Duration::from_secs(seconds));
    let after = appliance.usage();
    println!(
        "{} sleeping workers: {:.1} MiB resident ({:.1} MiB without them), {:.2} ms CPU a second",
        sleepers.len(),
        after.resident_mib(),
        empty.resident_mib(),
        after.since(&before, 1).cpu_ms() / seconds as f64
    );
    drop(sleepers);
    appliance.end()
}

/// The class of a job, by its place in [`CLASSES`].
fn class_name(class: usize) -> &'static str {
    CLASSES[class].name
}
