//! The scheduler as a child process, with its CPU and memory use.

use std::fmt;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum wait for a log line at the start, and for the end of the process.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);

/// A running scheduler process with the operator file deploy/appliance.kdl, slightly changed.
pub struct Appliance {
    child: Child,
    file: PathBuf,
    /// Address for HTTP clients.
    pub http: SocketAddr,
    /// Address for Gearman clients and workers.
    pub gearman: SocketAddr,
}

/// CPU time and resident memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    cpu_ticks: u64,
    resident_kib: u64,
    jobs: usize,
}

impl Usage {
    /// Returns the CPU time used since `before`, with the current memory, for `jobs` jobs.
    pub fn since(self, before: &Usage, jobs: usize) -> Usage {
        Usage { cpu_ticks: self.cpu_ticks - before.cpu_ticks, jobs, ..self }
    }

    /// Returns the CPU time in milliseconds. The kernel counts ticks of 10 ms.
    pub fn cpu_ms(self) -> f64 {
        self.cpu_ticks as f64 * 10.0
    }

    /// Returns the resident memory in MiB.
    pub fn resident_mib(self) -> f64 {
        self.resident_kib as f64 / 1024.0
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let each = self.cpu_ms() * 1e3 / self.jobs.max(1) as f64;
        write!(f, "CPU {:.0} ms, {each:.0} us a job, {:.1} MiB resident", self.cpu_ms(), self.resident_mib())
    }
}

/// Returns the shipped operator file with cold times of 2 s instead of 10 s, the descriptor limit `descriptors`, and
/// the HTTP workers `workers`, each with its name, address and lanes.
fn operator_file(workers: &[(String, SocketAddr, usize)], descriptors: usize) -> String {
    let shipped = include_str!("../../../deploy/appliance.kdl");
    let mut text = shipped.replace("cold \"10s\"", "cold \"2s\"");
    text = text.replace("descriptors 1024", &format!("descriptors {descriptors}"));
    for (name, address, lanes) in workers {
        let kind = "gearman";
        text += &format!("http-worker \"{name}\" address=\"{address}\" kind=\"{kind}\" lanes={lanes}\n");
    }
    text
}

impl Appliance {
    /// Starts the scheduler on free ports and waits until it logs its addresses.
    pub fn start(workers: &[(String, SocketAddr, usize)], descriptors: usize) -> Result<Appliance, String> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("calicolb-rig-{}-{number}.kdl", std::process::id()));
        fs::write(&file, operator_file(workers, descriptors)).map_err(|error| error.to_string())?;
        let mut command = Command::new(calicolb_rig::program::program()?);
        command.args(["serve", "--operator"]).arg(&file);
        command.args(["--listen", "127.0.0.1:0", "--gearman", "127.0.0.1:0", "--mgmt", "127.0.0.1:0"]);
        let spawned = command.stderr(Stdio::piped()).spawn();
        let mut child = spawned.map_err(|error| format!("starting the scheduler process failed: {error}"))?;
        let (log_sender, log) = channel();
        if let Some(errors) = child.stderr.take() {
            thread::spawn(move || {
                // The log is read to its end: a full pipe would block the scheduler.
                for line in BufReader::new(errors).lines().map_while(Result::ok) {
                    let _ = log_sender.send(line);
                }
            });
        }
        let gearman = wait_for_address(&log, "speaks Gearman on ");
        let (gearman, http) =
            match gearman.and_then(|gearman| Ok((gearman, wait_for_address(&log, "serves on ")?))) {
                Ok(found) => found,
                Err(error) => {
                    let _ = child.kill();
                    return Err(error);
                }
            };
        Ok(Appliance { child, file, http, gearman })
    }

    /// Returns the CPU time and the resident memory of the process so far; 0 for a value that `/proc` does not give.
    pub fn usage(&self) -> Usage {
        let read = |entry: &str| {
            fs::read_to_string(format!("/proc/{}/{entry}", self.child.id())).unwrap_or_default()
        };
        let stat = read("stat");
        // The process name may contain spaces. After it, user and system time are the 12th and the 13th field.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_ascii_whitespace().collect();
        let ticks = |number: usize| fields.get(number).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let status = read("status");
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_ascii_whitespace().next()?.parse().ok());
        Usage { cpu_ticks: ticks(11) + ticks(12), resident_kib: resident.unwrap_or(0), jobs: 0 }
    }

    /// Sends SIGTERM and waits for the end of the process.
    ///
    /// # Errors
    ///
    /// The process exits with a failure, or does not exit in time.
    pub fn stop(mut self) -> Result<(), String> {
        let _ = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        let since = Instant::now();
        while since.elapsed() < PROCESS_TIMEOUT {
            match self.child.try_wait() {
                Ok(Some(status)) if status.success() => return Ok(()),
                Ok(Some(status)) => return Err(format!("the scheduler process exited with {status}")),
                _ => thread::sleep(Duration::from_millis(10)),
            }
        }
        Err("the scheduler process did not exit within 20 s of SIGTERM".to_owned())
    }
}

impl Drop for Appliance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

/// Waits for a log line that contains `text`, and parses the address after it.
fn wait_for_address(log: &Receiver<String>, text: &str) -> Result<SocketAddr, String> {
    let deadline = Instant::now() + PROCESS_TIMEOUT;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let line =
            log.recv_timeout(left).map_err(|_| format!("the scheduler did not log '{text}' in time"))?;
        if let Some((_, rest)) = line.split_once(text) {
            return rest.trim().parse().map_err(|_| format!("'{rest}' is not a socket address"));
        }
    }
}
