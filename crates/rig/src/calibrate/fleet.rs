//! Configures and starts several processes of the program among the stand-ins.

use super::harness::Harness;
use super::process::{Process, Usage};
use serde::Serialize;
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant};

/// Time limit for a scheduler to serve after its start, generous enough for a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for every scheduler to watch the list; a scheduler spreads its first calls over four seconds.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Descriptor limit of a process, as in the reference deployment.
const MAX_SOCKETS: u32 = 1_024;

/// Returns the configuration of the scheduler of this rank, in the platform's format.
///
/// # Errors
///
/// The relay's addresses cannot be read.
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

/// Starts the processes of these ranks together and waits until each serves and watches the list.
///
/// # Errors
///
/// A process exits, or does not serve or watch within its time limit.
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

/// Returns the current resource usage of each process.
pub fn usages(processes: &[Process]) -> Vec<Usage> {
    processes.iter().map(Process::usage).collect()
}

/// Minimum, mean and maximum of a value over the processes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    #[serde(rename = "least")]
    /// Minimum.
    pub min: f64,
    /// Mean.
    pub mean: f64,
    #[serde(rename = "most")]
    /// Maximum.
    pub max: f64,
}

impl Spread {
    /// Computes the spread of `values`; all zero if there are none.
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
