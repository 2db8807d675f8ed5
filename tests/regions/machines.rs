//! Control machines as processes of the program, with their configuration and store.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Number of last log lines that a failure message includes.
const MAX_LOG_LINES: usize = 40;

/// The parsed log of a process.
#[derive(Default)]
pub struct LogState {
    /// The last lines, at most [`MAX_LOG_LINES`].
    pub lines: VecDeque<String>,
    /// Time at which each version came into force, by version number.
    pub in_force: BTreeMap<u64, Instant>,
}

/// The log of a running process, shared with the thread that reads it.
pub type Log = Arc<Mutex<LogState>>;

/// The log's last lines as one text.
pub fn text(log: &Log) -> String {
    let lines: Vec<String> =
        log.lock().expect("a thread panicked while it held the lock").lines.iter().cloned().collect();
    lines.join("\n  ")
}

/// Starts the program and keeps reading its log. Returns the process and the addresses that the log names after each of the
/// texts `marks`, which have to appear in this order.
pub fn run(command: &mut Command, log: &Log, marks: &[&str]) -> (Child, Vec<SocketAddr>) {
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the program could not be started");
    let mut lines = BufReader::new(child.stderr.take().expect("the program's standard error is not piped"))
        .lines()
        .map_while(Result::ok);
    let keep = |log: &Log, line: String| {
        let mut log = log.lock().expect("a thread panicked while it held the lock");
        if let Some(seq) = line.split_once(" is in force seq=").and_then(|(_, seq)| seq.parse().ok()) {
            log.in_force.entry(seq).or_insert_with(Instant::now);
        }
        log.lines.push_back(line);
        if log.lines.len() > MAX_LOG_LINES {
            log.lines.pop_front();
        }
    };
    let mut addresses = Vec::new();
    for mark in marks {
        let at = lines.by_ref().find_map(|line| {
            let at = line.split_once(mark).and_then(|(_, at)| at.parse().ok());
            keep(log, line);
            at
        });
        let Some(at) = at else {
            let _ = child.kill();
            panic!("the program ended without the log line '{mark}': {:?}\n{}", child.wait(), text(log));
        };
        addresses.push(at);
    }
    let log = Arc::clone(log);
    thread::spawn(move || lines.for_each(|line| keep(&log, line)));
    (child, addresses)
}

/// A control machine: its operator file and, while it runs, its process.
pub struct Machine {
    id: usize,
    file: PathBuf,
    child: Option<Child>,
    log: Log,
    /// Address of the machine while it runs.
    pub address: Option<SocketAddr>,
    /// The same address, shared with other threads.
    pub shared_address: Arc<Mutex<Option<SocketAddr>>>,
}

impl Machine {
    /// Writes the operator file of a machine that reaches the machines over these addresses.
    pub fn new(folder: &Path, id: usize, addresses: &[SocketAddr], learners: usize) -> Machine {
        let addresses: Vec<String> = addresses.iter().map(|at| format!("\"{at}\"")).collect();
        let text = format!(
            "name \"control-{id}\"\ncontrol {{\n    id {id}\n    listen \"127.0.0.1:0\"\n    machines {}\n    \
             store \"store-{id}\"\n    learners {learners}\n    settings \"settings.json\"\n}}\n",
            addresses.join(" ")
        );
        let file = folder.join(format!("control-{id}.kdl"));
        std::fs::write(&file, text).expect("the operator file could not be written");
        Machine { id, file, child: None, log: Log::default(), address: None, shared_address: Arc::default() }
    }

    /// Starts the machine and returns its address.
    pub fn boot(&mut self) -> SocketAddr {
        let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb"));
        command.args(["control", "--operator"]).arg(&self.file);
        let (child, addresses) = run(&mut command, &self.log, &["serves on "]);
        self.child = Some(child);
        self.address = Some(addresses[0]);
        *self.shared_address.lock().expect("a thread panicked while it held the lock") = self.address;
        addresses[0]
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.address = None;
        *self.shared_address.lock().expect("a thread panicked while it held the lock") = None;
    }

    /// Sends the process a signal; `name` is without SIG.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let sent = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "signal {name} could not be sent to control machine {}",
            self.id
        );
    }

    /// Waits until the process has ended and returns whether its exit status was 0.
    pub fn wait_for_exit(&mut self) -> bool {
        self.address = None;
        self.child.take().is_some_and(|mut child| child.wait().is_ok_and(|status| status.success()))
    }

    /// Process id while the machine runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// The last lines of the log with a heading.
    pub fn log(&self) -> String {
        format!("control machine {}:\n  {}", self.id, text(&self.log))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
