//! Several processes of the program among the stand-ins: their configuration, their start, and their ends.

use super::harness::Harness;
use super::process::{Process, Usage};
use serde::Serialize;
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant};

/// A scheduler serves by this time after its start, on a awaiting_answer machine too.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Every scheduler watches the list by this time: the module spreads its first calls over four seconds.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Descriptors of a process, as on the days of the pages.
const MAX_SOCKETS: u32 = 1_024;

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
        "discovery": harness.discovery_address().to_string(),
        "seed": format!("{:016x}", seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(rank as u64)),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": MAX_SOCKETS},
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
    let deadline = Instant::now() + START_TIMEOUT;
    let mut waiting: Vec<usize> = (0..processes.len()).collect();
    while !waiting.is_empty() {
        if Instant::now() >= deadline {
            return Err(format!(
                "{} schedulers did not start serving within {START_TIMEOUT:?}",
                waiting.len()
            ));
        }
        harness.run_until(Instant::now() + Duration::from_millis(10))?;
        let mut still_waiting = Vec::new();
        for index in waiting {
            if processes[index].poll_log()? {
                harness.set_address(ranks.start + index, processes[index].clients, processes[index].peers);
            } else {
                still_waiting.push(index);
            }
        }
        waiting = still_waiting;
    }
    let wanted = watches + processes.len();
    if !harness.run_while(WATCH_TIMEOUT, |harness| harness.watches() < wanted)? {
        return Err(format!(
            "only {} of {wanted} schedulers opened a watch on the list within {WATCH_TIMEOUT:?}",
            harness.watches()
        ));
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
    #[serde(rename = "least")]
    /// The least.
    pub min: f64,
    /// The mean.
    pub mean: f64,
    #[serde(rename = "most")]
    /// The most.
    pub max: f64,
}

impl Spread {
    /// Of these values.
    pub fn of(values: impl Iterator<Item = f64>) -> Spread {
        let values: Vec<f64> = values.collect();
        if values.is_empty() {
            return Spread::default();
        }
        Spread {
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            mean: values.iter().sum::<f64>() / values.len() as f64,
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}
