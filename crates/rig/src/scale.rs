//! `calicolb-rig scale`: simulates a fleet of a given size, and prints its results and the cost of control as a table
//! or as a JSON object.

use calicolb_simulation::{Incident, Plan, Summary};
use clap::{Args, ValueEnum};

/// Incident during the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Event {
    /// No incident.
    None,
    /// One worker's machine fails and is replaced.
    Worker,
    /// 38 schedulers and workers are restarted or replaced one after the other.
    Restarts,
    /// 20 workers fail and return cold.
    Rack,
    /// All workers and schedulers of a zone fail and return cold.
    Zone,
    /// The network between the regions fails.
    Regions,
    /// All schedulers and workers fail at the same time and restart.
    AllRestart,
    /// The configuration changes, and a control machine is killed.
    Config,
}

/// Options of the command `scale`.
#[derive(Clone, Args)]
pub struct Scale {
    /// Number of schedulers.
    #[arg(long, default_value_t = 300)]
    schedulers: u32,
    /// Number of workers.
    #[arg(long, default_value_t = 690)]
    workers: u32,
    /// Number of accelerators, eight to a worker.
    #[arg(long, default_value_t = 760)]
    accelerators: u32,
    /// Number of tenants, each with a quota.
    #[arg(long, default_value_t = 240)]
    tenants: u32,
    /// Number of zones.
    #[arg(long, default_value_t = 6)]
    zones: u32,
    /// Number of regions, at most one for each zone.
    #[arg(long, default_value_t = 2)]
    regions: u32,
    /// Mean number of requests a second.
    #[arg(long, default_value_t = 140.0)]
    starts: f64,
    /// Mean number of tasks that run at the same time. Default: the number for each worker is that of the default
    /// fleet.
    #[arg(long)]
    running: Option<f64>,
    /// Simulated seconds that are measured, after the warm-up.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Incident during the simulation.
    #[arg(long, value_enum, default_value_t = Event::None)]
    event: Event,
    /// Number of configuration changes, with `--event config`.
    #[arg(long, default_value_t = 60)]
    changes: u32,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Print one JSON object as the last line.
    #[arg(long)]
    json: bool,
}

impl Scale {
    /// Checks the options and returns the simulation's plan.
    fn plan(&self) -> Result<Plan, String> {
        if self.schedulers == 0
            || self.workers == 0
            || self.zones == 0
            || self.regions == 0
            || self.seconds == 0
        {
            return Err("--schedulers, --workers, --zones, --regions and --seconds must each be at least 1"
                .to_owned());
        }
        if !(self.starts.is_finite() && self.starts > 0.0) {
            return Err(format!("--starts is {}: it must be finite and above 0", self.starts));
        }
        if self.running.is_some_and(|running| !(running.is_finite() && running > 0.0)) {
            return Err("--running must be finite and above 0".to_owned());
        }
        Ok(Plan {
            schedulers: self.schedulers,
            workers: self.workers,
            accelerators: self.accelerators,
            tenants: self.tenants,
            zones: self.zones,
            regions: self.regions.min(self.zones),
            requests_per_s: self.starts,
            running_tasks: self.running,
            measured_seconds: self.seconds,
            incident: match self.event {
                Event::None => Incident::None,
                Event::Worker => Incident::Worker,
                Event::Restarts => Incident::Restarts,
                Event::Rack => Incident::Rack,
                Event::Zone => Incident::Zone,
                Event::Regions => Incident::Regions,
                Event::AllRestart => Incident::AllRestart,
                Event::Config => Incident::Config,
            },
            config_changes: self.changes,
            seed: self.seed,
            ..Plan::default()
        })
    }

    /// Runs the simulation and prints the summary.
    ///
    /// # Errors
    ///
    /// An option is out of range, or the summary cannot be written as JSON.
    pub fn run(&self) -> Result<(), String> {
        let summary = calicolb_simulation::simulate(&self.plan()?);
        if self.json {
            let text = serde_json::to_string(&summary).map_err(|error| error.to_string())?;
            println!("{text}");
        } else {
            print!("{}", format_table(&summary));
        }
        Ok(())
    }
}

/// Formats the summary as a table.
fn format_table(summary: &Summary) -> String {
    let mut rows: Vec<(&str, String)> = vec![
        (
            "schedulers, workers, tenants",
            format!("{}, {}, {}", summary.schedulers, summary.workers, summary.tenants),
        ),
        ("requests", summary.jobs.to_string()),
        ("tasks started; most at a time", format!("{}; {}", summary.started, summary.running_peak)),
        ("served; of these late", format!("{}; {}", summary.served, summary.late)),
        ("refused; failed", format!("{}; {}", summary.refused, summary.extra.failed)),
        (
            "lost; of these with their scheduler",
            format!("{}; {}", summary.lost, summary.extra.lost_with_scheduler),
        ),
        ("second attempts against the rules", summary.doubled.to_string()),
        ("urgent start, 999 of 1,000 within", format!("{:.1} ms", summary.urgent_start_p999_ms)),
        (
            "control CPU, mean; worst second",
            format!(
                "{:.3}; {:.3} ms/s",
                summary.control_cpu_ms_per_s_mean, summary.control_cpu_ms_per_s_worst
            ),
        ),
        (
            "control bytes, mean; worst second",
            format!("{:.0}; {} B/s", summary.control_bytes_per_s_mean, summary.control_bytes_per_s_worst),
        ),
        ("control datagrams, worst second", summary.control_datagrams_per_s_worst.to_string()),
        ("knowledge of a scheduler", format!("{} B", summary.state_bytes_per_scheduler)),
        ("discovery, worst second", format!("{} B/s", summary.discovery_bytes_per_s_worst)),
        ("counted within the share at 0.8 of the quota", format!("{:.3}", summary.quota_in_share_ratio)),
        (
            "counted within the share at twice the quota",
            format!("{:.3} of the quota", summary.quota_over_ratio),
        ),
        ("starts are back after", summary.recovered_ms.map_or("-".to_owned(), |ms| format!("{ms} ms"))),
        ("played in", format!("{:.1} s, {:.0} MB", summary.wall_s, summary.peak_rss_mb)),
    ];
    if let Some(config) = &summary.config {
        rows.push((
            "changes in force, 99 of 100 within; longest",
            format!("{:.1}; {:.1} ms", config.in_force_p99_ms, config.in_force_max_ms),
        ));
        rows.push(("changes accepted", config.changes_accepted.to_string()));
        rows.push(("schedulers behind at the end", config.behind.to_string()));
        rows.push(("unagreed; lost versions", format!("{}; {}", config.unagreed, config.lost_versions)));
    }
    let traffic_rows: Vec<(String, String)> = summary
        .traffic
        .iter()
        .map(|(name, sum)| {
            (format!("traffic: {name}"), format!("{} messages, {} B", sum.messages, sum.bytes))
        })
        .collect();
    rows.extend(traffic_rows.iter().map(|(name, sum)| (name.as_str(), sum.clone())));
    rows.iter().map(|(name, value)| format!("{name:<46} {value}\n")).collect()
}
