//! Several processes of the program among the stand-ins: their configuration, their start, and their ends.

use super::harness::Harness;
use super::process::{Process, Usage};
use serde::Serialize;
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant};

/// A scheduler serves by this time after its start, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(30);
/// Every scheduler watches the list by this time: the module spreads its first calls over four seconds.
const WATCHED: Duration = Duration::from_secs(20);
/// Descriptors of a process, as on the days of the pages.
const SOCKETS: u32 = 1_024;

/// What one process is told, on the platform's form.
///
/// # Errors
///
/// The relay's addresses cannot be had.
pub fn configuration(harness: &Harness, settings: &Value, rank: usize, seed: u64) -> Result<Value, String> {
    let (peers, all) = harness.relay().addresses().map_err(|error| error.to_string())?;
    let mut settings = settings.clone();
    let zones = settings["azs"].as_array().cloned().unwrap_or_default();
    settings["rank"] = json!(rank);
    settings["zone"] = zones.get(rank % zones.len().max(1)).cloned().unwrap_or_default();
    Ok(json!({
        "name": format!("n{rank}"),
        "listen": "127.0.0.1:0",
        "discovery": harness.discovery_at().to_string(),
        "seed": format!("{:016x}", seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(rank as u64)),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
        "peer_listen": "127.0.0.1:0",
        "peers": peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "peers_all": all.to_string(),
        "known": harness.discovery().list(),
        "settings": settings,
    }))
}

/// Starts the processes of these ranks together, and waits until each serves and watches the list.
///
/// # Errors
///
/// A process ends, or does not serve or watch in time.
pub fn start(
    program: &Path,
    harness: &mut Harness,
    settings: &Value,
    ranks: std::ops::Range<usize>,
    seed: u64,
) -> Result<Vec<Process>, String> {
    let mut processes = Vec::new();
    let watches = harness.watches();
    for rank in ranks.clone() {
        processes.push(Process::start(program, &configuration(harness, settings, rank, seed)?)?);
    }
    let until = Instant::now() + PATIENCE;
    let mut waiting: Vec<usize> = (0..processes.len()).collect();
    while !waiting.is_empty() {
        if Instant::now() >= until {
            return Err(format!("{} schedulers do not serve", waiting.len()));
        }
        harness.run_until(Instant::now() + Duration::from_millis(10))?;
        let mut left = Vec::new();
        for nr in waiting {
            if processes[nr].look()? {
                harness.set_address(ranks.start + nr, processes[nr].clients, processes[nr].peers);
            } else {
                left.push(nr);
            }
        }
        waiting = left;
    }
    let wanted = watches + processes.len();
    if !harness.run_while(WATCHED, |harness| harness.watches() < wanted)? {
        return Err(format!("{} of {wanted} schedulers watch the list", harness.watches()));
    }
    Ok(processes)
}

/// What each process uses now.
pub fn usages(processes: &[Process]) -> Vec<Usage> {
    processes.iter().map(Process::usage).collect()
}

/// The least, the mean and the most of a figure over the processes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// The least.
    pub least: f64,
    /// The mean.
    pub mean: f64,
    /// The most.
    pub most: f64,
}

impl Spread {
    /// Of these figures.
    pub fn of(figures: impl Iterator<Item = f64>) -> Spread {
        let figures: Vec<f64> = figures.collect();
        if figures.is_empty() {
            return Spread::default();
        }
        Spread {
            least: figures.iter().copied().fold(f64::INFINITY, f64::min),
            mean: figures.iter().sum::<f64>() / figures.len() as f64,
            most: figures.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}
