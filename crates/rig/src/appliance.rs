//! The scheduler as a child process, and what it uses of the machine.

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

const PATIENCE: Duration = Duration::from_secs(20);

/// A running appliance.
pub struct Appliance {
    child: Child,
    file: PathBuf,
    /// Where HTTP clients connect.
    pub http: SocketAddr,
    /// Where Gearman clients and workers connect.
    pub gearman: SocketAddr,
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    cpu_ticks: u64,
    resident_kib: u64,
    jobs: usize,
}

impl Usage {
    /// What was used since then, for so many jobs.
    pub fn since(self, before: &Usage, jobs: usize) -> Usage {
        Usage { cpu_ticks: self.cpu_ticks - before.cpu_ticks, jobs, ..self }
    }

    /// CPU in milliseconds: the kernel counts it in hundredths of a second.
    pub fn cpu_ms(self) -> f64 {
        self.cpu_ticks as f64 * 10.0
    }

    /// Memory in MiB.
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

/// The shipped operator file, with short cold times and these HTTP workers.
fn operator_file(workers: &[(String, SocketAddr, usize)], descriptors: usize) -> String {
    let shipped = include_str!("../../../deploy/appliance.kdl");
    let mut text = shipped.replace("cold \"10s\"", "cold \"2s\"");
    text = text.replace("descriptors 1024", &format!("descriptors {descriptors}"));
    for (name, dial, lanes) in workers {
        let kind = "gearman";
        text += &format!("http-worker \"{name}\" address=\"{dial}\" kind=\"{kind}\" lanes={lanes}\n");
    }
    text
}

impl Appliance {
    /// Starts it on ports of its own choice.
    pub fn start(workers: &[(String, SocketAddr, usize)], descriptors: usize) -> Result<Appliance, String> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nr = NEXT.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("calicolb-rig-{}-{nr}.kdl", std::process::id()));
        fs::write(&file, operator_file(workers, descriptors)).map_err(|error| error.to_string())?;
        let mut command = Command::new(calicolb_rig::program::program()?);
        command.args(["serve", "--operator"]).arg(&file);
        command.args(["--listen", "127.0.0.1:0", "--gearman", "127.0.0.1:0", "--mgmt", "127.0.0.1:0"]);
        let spawned = command.stderr(Stdio::piped()).spawn();
        let mut child = spawned.map_err(|error| format!("the scheduler cannot be started: {error}"))?;
        let (tell, log) = channel();
        if let Some(errors) = child.stderr.take() {
            thread::spawn(move || {
                // Read to the end: a full pipe would stop the scheduler.
                for line in BufReader::new(errors).lines().map_while(Result::ok) {
                    let _ = tell.send(line);
                }
            });
        }
        let gearman = find(&log, "speaks Gearman on ");
        let (gearman, http) = match gearman.and_then(|gearman| Ok((gearman, find(&log, "serves on ")?))) {
            Ok(found) => found,
            Err(why) => {
                let _ = child.kill();
                return Err(why);
            }
        };
        Ok(Appliance { child, file, http, gearman })
    }

    /// What it has used so far.
    pub fn usage(&self) -> Usage {
        let read =
            |what: &str| fs::read_to_string(format!("/proc/{}/{what}", self.child.id())).unwrap_or_default();
        let stat = read("stat");
        // Behind the name, which may hold spaces: user and system time are the 12th and 13th from there.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_ascii_whitespace().collect();
        let ticks = |nr: usize| fields.get(nr).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let status = read("status");
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_ascii_whitespace().next()?.parse().ok());
        Usage { cpu_ticks: ticks(11) + ticks(12), resident_kib: resident.unwrap_or(0), jobs: 0 }
    }

    /// Ends it, and says whether it ended well.
    pub fn end(mut self) -> Result<(), String> {
        let _ = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        let since = Instant::now();
        while since.elapsed() < PATIENCE {
            match self.child.try_wait() {
                Ok(Some(status)) if status.success() => return Ok(()),
                Ok(Some(status)) => return Err(format!("the scheduler ended with {status}")),
                _ => thread::sleep(Duration::from_millis(10)),
            }
        }
        Err("the scheduler does not end".to_owned())
    }
}

impl Drop for Appliance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

fn find(log: &Receiver<String>, text: &str) -> Result<SocketAddr, String> {
    let until = Instant::now() + PATIENCE;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let line = log.recv_timeout(left).map_err(|_| format!("the scheduler never said '{text}'"))?;
        if let Some((_, rest)) = line.split_once(text) {
            return rest.trim().parse().map_err(|_| format!("'{rest}' is no address"));
        }
    }
}
