//! A hollow fleet at a stated size: what it does and what control costs, as a table or as one JSON object.

use calicolb_simulation::{Incident, Plan, Summary};
use clap::{Args, ValueEnum};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Event {
    /// Nothing.
    None,
    /// One worker's machine goes, and is replaced.
    Worker,
    /// 38 schedulers and workers are restarted or replaced, one after the other.
    Restarts,
    /// Twenty workers go, and return cold.
    Rack,
    /// The workers and schedulers of a zone go, and return cold.
    Zone,
    /// The regions are cut off from each other.
    Regions,
    /// All schedulers and workers die at once, and come back.
    AllRestart,
    /// The configuration is changed, and a control machine is killed.
    Config,
}

#[derive(Clone, Args)]
pub struct Scale {
    /// Schedulers.
    #[arg(long, default_value_t = 300)]
    schedulers: u32,
    /// Workers.
    #[arg(long, default_value_t = 690)]
    workers: u32,
    /// Accelerators, eight to a worker.
    #[arg(long, default_value_t = 760)]
    accelerators: u32,
    /// Tenants, each with a quota.
    #[arg(long, default_value_t = 240)]
    tenants: u32,
    /// Zones.
    #[arg(long, default_value_t = 6)]
    zones: u32,
    /// Regions that the zones are in.
    #[arg(long, default_value_t = 2)]
    regions: u32,
    /// Requests a second.
    #[arg(long, default_value_t = 140.0)]
    starts: f64,
    /// Tasks that run at the same time; as many a worker as at the letter's size if it is not given.
    #[arg(long)]
    running: Option<f64>,
    /// Simulated seconds that count.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// What goes wrong.
    #[arg(long, value_enum, default_value_t = Event::None)]
    event: Event,
    /// Changes of configuration, with `--event config`.
    #[arg(long, default_value_t = 60)]
    changes: u32,
    /// The seed of every draw.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// One JSON object as the last line.
    #[arg(long)]
    json: bool,
}

impl Scale {
    fn plan(&self) -> Result<Plan, String> {
        if self.schedulers == 0
            || self.workers == 0
            || self.zones == 0
            || self.regions == 0
            || self.seconds == 0
        {
            return Err(
                "there has to be a scheduler, a worker, a zone, a region and a second at least".to_owned()
            );
        }
        if !(self.starts.is_finite() && self.starts > 0.0) {
            return Err(format!("{} starts a second cannot be played", self.starts));
        }
        if self.running.is_some_and(|running| !(running.is_finite() && running > 0.0)) {
            return Err("as many tasks cannot run".to_owned());
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

    /// Plays it, and prints what came of it.
    pub fn run(&self) -> Result<(), String> {
        let account = calicolb_simulation::simulate(&self.plan()?);
        if self.json {
            let text = serde_json::to_string(&account).map_err(|error| error.to_string())?;
            println!("{text}");
        } else {
            print!("{}", table(&account));
        }
        Ok(())
    }
}

/// The account as a table.
fn table(account: &Summary) -> String {
    let mut rows: Vec<(&str, String)> = vec![
        (
            "schedulers, workers, tenants",
            format!("{}, {}, {}", account.schedulers, account.workers, account.tenants),
        ),
        ("requests", account.jobs.to_string()),
        ("tasks started; most at a time", format!("{}; {}", account.started, account.running_peak)),
        ("served; of these late", format!("{}; {}", account.served, account.late)),
        ("refused; failed", format!("{}; {}", account.refused, account.extra.failed)),
        (
            "lost; of these with their scheduler",
            format!("{}; {}", account.lost, account.extra.lost_with_scheduler),
        ),
        ("second attempts against the rules", account.doubled.to_string()),
        ("urgent start, 999 of 1,000 within", format!("{:.1} ms", account.urgent_start_p999_ms)),
        (
            "control CPU, mean; worst second",
            format!(
                "{:.3}; {:.3} ms/s",
                account.control_cpu_ms_per_s_mean, account.control_cpu_ms_per_s_worst
            ),
        ),
        (
            "control bytes, mean; worst second",
            format!("{:.0}; {} B/s", account.control_bytes_per_s_mean, account.control_bytes_per_s_worst),
        ),
        ("control datagrams, worst second", account.control_datagrams_per_s_worst.to_string()),
        ("knowledge of a scheduler", format!("{} B", account.state_bytes_per_scheduler)),
        ("discovery, worst second", format!("{} B/s", account.discovery_bytes_per_s_worst)),
        ("counted within the share at 0.8 of the quota", format!("{:.3}", account.quota_in_share_ratio)),
        (
            "counted within the share at twice the quota",
            format!("{:.3} of the quota", account.quota_over_ratio),
        ),
        ("starts are back after", account.recovered_ms.map_or("-".to_owned(), |ms| format!("{ms} ms"))),
        ("played in", format!("{:.1} s, {:.0} MB", account.wall_s, account.peak_rss_mb)),
    ];
    if let Some(agreed) = &account.config {
        rows.push((
            "changes in force, 99 of 100 within; longest",
            format!("{:.1}; {:.1} ms", agreed.in_force_p99_ms, agreed.in_force_max_ms),
        ));
        rows.push(("changes accepted", agreed.changes_accepted.to_string()));
        rows.push(("schedulers behind at the end", agreed.behind.to_string()));
        rows.push(("unagreed; lost versions", format!("{}; {}", agreed.unagreed, agreed.lost_versions)));
    }
    let functions: Vec<(String, String)> = account
        .traffic
        .iter()
        .map(|(name, sum)| {
            (format!("traffic: {name}"), format!("{} messages, {} B", sum.messages, sum.bytes))
        })
        .collect();
    rows.extend(functions.iter().map(|(name, sum)| (name.as_str(), sum.clone())));
    rows.iter().map(|(name, value)| format!("{name:<46} {value}\n")).collect()
}
