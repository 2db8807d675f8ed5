//! A control machine as a process of the program, and its store.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Lines of a log that a failure tells.
const TOLD: usize = 40;

/// What a log told.
#[derive(Default)]
pub struct Told {
    /// Its last lines.
    pub lines: VecDeque<String>,
    /// When each version came into force.
    pub in_force: BTreeMap<u64, Instant>,
}

/// The same, while it goes on.
pub type Log = Arc<Mutex<Told>>;

/// Lines as one text.
pub fn text(log: &Log) -> String {
    let lines: Vec<String> = log.lock().expect("nobody panicked").lines.iter().cloned().collect();
    lines.join("\n  ")
}

/// Starts the program; gives where it serves by its log, which goes on being read.
pub fn run(command: &mut Command, log: &Log, marks: &[&str]) -> (Child, Vec<SocketAddr>) {
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
    let mut lines =
        BufReader::new(child.stderr.take().expect("its log is piped")).lines().map_while(Result::ok);
    let keep = |log: &Log, line: String| {
        let mut log = log.lock().expect("nobody panicked");
        if let Some(seq) = line.split_once(" is in force seq=").and_then(|(_, seq)| seq.parse().ok()) {
            log.in_force.entry(seq).or_insert_with(Instant::now);
        }
        log.lines.push_back(line);
        if log.lines.len() > TOLD {
            log.lines.pop_front();
        }
    };
    let mut found = Vec::new();
    for mark in marks {
        let at = lines.by_ref().find_map(|line| {
            let at = line.split_once(mark).and_then(|(_, at)| at.parse().ok());
            keep(log, line);
            at
        });
        let Some(at) = at else {
            let _ = child.kill();
            panic!("it never says '{mark}': {:?}\n{}", child.wait(), text(log));
        };
        found.push(at);
    }
    let log = Arc::clone(log);
    thread::spawn(move || lines.for_each(|line| keep(&log, line)));
    (child, found)
}

/// See the head of this file.
pub struct Machine {
    id: usize,
    file: PathBuf,
    child: Option<Child>,
    log: Log,
    /// Where it serves, while it runs.
    pub at: Option<SocketAddr>,
    /// The same, for others to look at.
    pub place: Arc<Mutex<Option<SocketAddr>>>,
}

impl Machine {
    /// Lays down its operator file. It reaches the others over these addresses.
    pub fn new(folder: &Path, id: usize, ways: &[SocketAddr], learners: usize) -> Machine {
        let ways: Vec<String> = ways.iter().map(|at| format!("\"{at}\"")).collect();
        let text = format!(
            "name \"control-{id}\"\ncontrol {{\n    id {id}\n    listen \"127.0.0.1:0\"\n    machines {}\n    \
             store \"store-{id}\"\n    learners {learners}\n    settings \"settings.json\"\n}}\n",
            ways.join(" ")
        );
        let file = folder.join(format!("control-{id}.kdl"));
        std::fs::write(&file, text).expect("the operator file is written");
        Machine { id, file, child: None, log: Log::default(), at: None, place: Arc::default() }
    }

    /// Starts it; gives where it serves.
    pub fn boot(&mut self) -> SocketAddr {
        let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb"));
        command.args(["control", "--operator"]).arg(&self.file);
        let (child, found) = run(&mut command, &self.log, &["serves on "]);
        self.child = Some(child);
        self.at = Some(found[0]);
        *self.place.lock().expect("nobody panicked") = self.at;
        found[0]
    }

    /// Ends it without a word.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.at = None;
        *self.place.lock().expect("nobody panicked") = None;
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let sent = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "no signal could be sent");
    }

    /// Waits until it has ended; whether that was in order.
    pub fn ended(&mut self) -> bool {
        self.at = None;
        self.child.take().is_some_and(|mut child| child.wait().is_ok_and(|status| status.success()))
    }

    /// Its process.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// The end of its log.
    pub fn log(&self) -> String {
        format!("control machine {}:\n  {}", self.id, text(&self.log))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
