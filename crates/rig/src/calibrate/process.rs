//! Starts processes of the program in platform mode and reads their resource usage from the kernel.

use serde::Serialize;
use serde_json::Value;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Resources that a process has used since its start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    /// User and system time in milliseconds, in steps of the kernel's clock tick (usually 10 ms).
    pub cpu_ms: f64,
    /// System time in milliseconds, part of `cpu_ms`.
    pub system_ms: f64,
    /// Time that the threads of the process spent on a processor, by the kernel scheduler's own clock, in
    /// milliseconds.
    pub on_cpu_ms: f64,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
    /// Peak resident memory, in KiB.
    pub resident_peak_kib: u64,
}

/// A running process of the program. Dropping it kills the process and removes its files.
pub struct Process {
    child: Child,
    config_file: PathBuf,
    log_file: PathBuf,
    /// Address for clients and for callbacks of workers; `None` until the process logs it.
    pub clients: Option<SocketAddr>,
    /// Address for datagrams of other schedulers; `None` until the process logs it.
    pub peers: Option<SocketAddr>,
}

impl Process {
    /// Starts the program with this configuration. Its addresses are known after [`Process::poll_log`] finds them.
    pub fn start(program: &Path, config: &Value) -> Result<Process, String> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let index = NEXT.fetch_add(1, Ordering::Relaxed);
        let base = std::env::temp_dir().join(format!("calicolb-calibrate-{}-{index}", std::process::id()));
        let (config_file, log_file) = (base.with_extension("json"), base.with_extension("log"));
        fs::write(&config_file, config.to_string())
            .map_err(|error| format!("cannot write {}: {error}", config_file.display()))?;
        let stderr = File::create(&log_file)
            .map_err(|error| format!("cannot write {}: {error}", log_file.display()))?;
        let mut command = Command::new(program);
        command.env("RELAY_CONFIG", &config_file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(stderr);
        for variable in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_MGMT", "RELAY_PASSED_SOCKET"]
        {
            command.env_remove(variable);
        }
        let child =
            command.spawn().map_err(|error| format!("cannot start {}: {error}", program.display()))?;
        Ok(Process { child, config_file, log_file, clients: None, peers: None })
    }

    /// Reads the listening addresses from the log and returns whether the process serves clients.
    ///
    /// # Errors
    ///
    /// The process has exited.
    pub fn poll_log(&mut self) -> Result<bool, String> {
        let text = fs::read_to_string(&self.log_file).unwrap_or_default();
        let value_after = |prefix: &str| {
            let line = text.lines().find_map(|line| line.split_once(prefix));
            line.and_then(|(_, rest)| rest.trim().parse().ok())
        };
        self.peers = value_after("listens for schedulers on ");
        self.clients = value_after("serves on ");
        match self.child.try_wait() {
            Ok(None) => Ok(self.clients.is_some()),
            Ok(Some(status)) => Err(format!("scheduler process exited with {status}; its log: {text}")),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Returns the lines of the process's log.
    pub fn log(&self) -> Vec<String> {
        fs::read_to_string(&self.log_file).unwrap_or_default().lines().map(str::to_owned).collect()
    }

    /// Returns the resources used so far.
    pub fn usage(&self) -> Usage {
        usage(self.child.id())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.config_file);
        let _ = fs::remove_file(&self.log_file);
    }
}

/// Reads the resource usage of the process `id` from `/proc`.
pub fn usage(id: u32) -> Usage {
    let read = |name: &str| fs::read_to_string(format!("/proc/{id}/{name}")).unwrap_or_default();
    let stat = read("stat");
    // The process name may hold spaces, so fields are counted after its closing parenthesis: user time is field 11 and
    // system time field 12, counted from 0.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_ascii_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let status = read("status");
    let memory = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|text| text.split_ascii_whitespace().next()?.parse().ok()).unwrap_or(0)
    };
    let mut on_cpu = 0;
    for thread in fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten() {
        let text = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        on_cpu += text.split(' ').next().and_then(|first| first.parse::<u64>().ok()).unwrap_or(0);
    }
    let tick_ms = 1e3 / rustix::param::clock_ticks_per_second() as f64;
    Usage {
        cpu_ms: (ticks(11) + ticks(12)) as f64 * tick_ms,
        system_ms: ticks(12) as f64 * tick_ms,
        on_cpu_ms: on_cpu as f64 / 1e6,
        resident_kib: memory("VmRSS:"),
        resident_peak_kib: memory("VmHWM:"),
    }
}

/// Returns the number of datagrams that the kernel dropped at the sockets on `ports` since they were opened, because
/// their receive buffers were full.
pub fn datagrams_dropped(ports: &[u16]) -> u64 {
    let text = fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let line = |line: &str| {
        let fields: Vec<&str> = line.split_ascii_whitespace().collect();
        let port = u16::from_str_radix(fields.get(1)?.split_once(':')?.1, 16).ok()?;
        let dropped: u64 = fields.last()?.parse().ok()?;
        ports.contains(&port).then_some(dropped)
    };
    text.lines().skip(1).filter_map(line).sum()
}

/// Returns the path of the program: `named`, or the one beside the running executable (one folder above it for tests).
pub fn program(named: Option<&Path>) -> Result<PathBuf, String> {
    let path = match named {
        Some(path) => path.to_owned(),
        None => crate::program::program()?,
    };
    if path.exists() { Ok(path) } else { Err(format!("program {} does not exist", path.display())) }
}
