//! Schedulers as processes of the program, a stub worker for all of them and a client for each.

use super::discovery::confirm_list_forever;
use super::http::call;
use super::machines::{Log, run, text};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Settings, in the platform's format, of the scheduler with this rank among `count` schedulers.
pub fn settings(rank: usize, count: usize) -> Value {
    json!({"azs": ["north", "south"], "kinds": ["big"], "n_instances": count, "rank": rank, "zone": "north",
        "ceilings": {"cancelling": true, "connect_timeout_us": 1_000_000, "may_duplicate": true, "most_tries": 4,
            "peers": false, "probes": false, "retry_after": false},
        "extra": {"class_kind": [-1], "class_stretch": [2.0], "tells_start": true, "report_x0": "free slots"},
        "report": {"fields": ["x0"], "how": "answers"}, "registry_mode": "subscribe",
        "orgs": [{"name": "acme", "quota_rps": 1.0, "share": 1.0}, {"name": "bolt", "quota_rps": 1.0, "share": 1.0}],
        "request_classes": [{"name": "look", "aim_us": 900_000, "deadline_us": 20_000_000, "effect": "read_like"}],
        "rules": {"answer_slack_us": 8000, "ask_every_us": 1000, "cold_us": 0, "drain_grace_us": 60_000_000,
            "fall_multiple": 4.0, "fall_us": 1_500_000, "start_capacity": 0.3},
        "tick_us": 1000})
}

/// Timeout for the start of a scheduler, whose discovery answers at once.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A running scheduler.
pub struct Scheduler {
    rank: usize,
    child: Child,
    log: Log,
    file: PathBuf,
    /// Address for clients.
    pub address: SocketAddr,
    /// Address for management commands.
    pub management: SocketAddr,
}

impl Scheduler {
    /// Starts the scheduler with this rank among `count`. It watches the control machines at these addresses, and counts
    /// itself as behind after hearing of no majority for `silence`.
    pub fn start(
        folder: &Path,
        rank: usize,
        count: usize,
        control: &[SocketAddr],
        silence: Duration,
        worker: SocketAddr,
    ) -> Scheduler {
        let control: Vec<String> = control.iter().map(SocketAddr::to_string).collect();
        // Discovery only confirms the list that the scheduler has.
        let discovery = TcpListener::bind("127.0.0.1:0").expect("no loopback port could be bound");
        let discovery_at = discovery.local_addr().expect("the socket has no local address");
        confirm_list_forever(discovery);
        let config = json!({
            "name": format!("n{rank}"), "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0",
            "discovery": discovery_at.to_string(), "seed": format!("{:x}", rank * 7919), "limits": {"sockets": 256},
            "known": {"seq": 41, "whole": true, "hosts": [{"host": "w1", "dial": worker.to_string(),
                "site": "north", "class": "big", "block": 0, "health": "in_service", "share": 1.0, "born_ms": 0}]},
            "control": control, "control_silence_ms": silence.as_millis() as u64,
            "settings": settings(rank, count),
        });
        let file = folder.join(format!("n{rank}.json"));
        std::fs::write(&file, config.to_string()).expect("the configuration could not be written");
        let log = Log::default();
        let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb"));
        command.env("RELAY_CONFIG", &file);
        let (child, addresses) = run(&mut command, &log, &["listens for operators on ", "serves on "]);
        let ready = || call(addresses[1], "GET", "/up", "", b"").is_ok_and(|answer| answer.0 == 200);
        let since = Instant::now();
        while !ready() {
            assert!(since.elapsed() < READY_TIMEOUT, "scheduler {rank} is not ready:\n{}", text(&log));
            thread::sleep(Duration::from_millis(10));
        }
        Scheduler { rank, child, log, file, address: addresses[1], management: addresses[0] }
    }

    /// Time at which the log first reported version `seq` or a later one in force.
    pub fn in_force_at(&self, seq: u64) -> Option<Instant> {
        let log = self.log.lock().expect("a thread panicked while it held the lock");
        log.in_force.range(seq..).map(|(_, at)| *at).min()
    }

    /// Process id.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// The last lines of the log with a heading.
    pub fn log(&self) -> String {
        format!("scheduler {}:\n  {}", self.rank, text(&self.log))
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A stub worker that accepts each job and reports it as done at once.
pub struct Worker {
    /// Address of the worker.
    pub address: SocketAddr,
    /// Addresses for callbacks, by the scheduler's rank.
    schedulers: Arc<Mutex<HashMap<usize, SocketAddr>>>,
    stopping: Arc<AtomicBool>,
}

impl Worker {
    /// Starts the worker's threads.
    pub fn start() -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no loopback port could be bound");
        let at = listener.local_addr().expect("the socket has no local address");
        let (schedulers, stopping) = (Arc::default(), Arc::new(AtomicBool::new(false)));
        let worker =
            Worker { address: at, schedulers: Arc::clone(&schedulers), stopping: Arc::clone(&stopping) };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if stopping.load(Ordering::Relaxed) {
                    return;
                }
                let schedulers = Arc::clone(&schedulers);
                thread::spawn(move || serve(stream, &schedulers));
            }
        });
        worker
    }

    /// Sets the address at which the scheduler of this rank accepts callbacks.
    pub fn set_scheduler(&self, rank: usize, at: SocketAddr) {
        self.schedulers.lock().expect("a thread panicked while it held the lock").insert(rank, at);
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

/// Serves one connection: accepts each job and sends its result to the scheduler named in the request id.
fn serve(stream: TcpStream, schedulers: &Mutex<HashMap<usize, SocketAddr>>) {
    let Ok(mut answers) = stream.try_clone() else { return };
    let mut lines = BufReader::new(stream);
    loop {
        let (mut id, mut first) = (None, None);
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            first.get_or_insert_with(|| line.to_owned());
            if let Some((name, value)) = line.split_once(": ")
                && name.eq_ignore_ascii_case("request-id")
            {
                id = Some(value.to_owned());
            }
        }
        // The connection is closed on any request that is no job.
        let Some(id) = id.filter(|_| first.is_some_and(|line| line.starts_with("POST"))) else { return };
        if answers.write_all(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
        let rank = id.split('-').next().and_then(|rank| rank.parse().ok()).unwrap_or(usize::MAX);
        let at = schedulers.lock().expect("a thread panicked while it held the lock").get(&rank).copied();
        let body = format!(r#"{{"id":"{id}","from":"w1","state":"done","result":"r","load":{{"x0":64}}}}"#);
        let callback = format!(
            "POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if let Some(Ok(mut stream)) = at.map(TcpStream::connect) {
            let _ = stream.write_all(callback.as_bytes());
            let _ = stream.read_to_end(&mut Vec::new());
        }
    }
}

/// A client of one scheduler that sends one job after another.
pub struct Client {
    stopping: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    thread: JoinHandle<Vec<String>>,
}

impl Client {
    /// Starts sending jobs with this pause between them.
    pub fn start(rank: usize, at: SocketAddr, pause: Duration) -> Client {
        let (stopping, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (stop_flag, served_count) = (Arc::clone(&stopping), Arc::clone(&served));
        let thread = thread::spawn(move || {
            let mut failures = Vec::new();
            for nr in 0_u64.. {
                if stop_flag.load(Ordering::Relaxed) {
                    break;
                }
                let headers = format!("Request-Id: {rank}-{nr}\r\nRequest-Timeout: 9\r\nTenant: acme\r\n");
                match call(at, "POST", "/look", &headers, b"") {
                    Ok((200, ..)) => {
                        served_count.fetch_add(1, Ordering::Relaxed);
                    }
                    Ok((_, head, _)) => failures.push(format!("{nr}: {}", head.lines().next().unwrap_or(""))),
                    Err(error) => failures.push(format!("{nr}: {error}")),
                }
                thread::sleep(pause);
            }
            failures
        });
        Client { stopping, served, thread }
    }

    /// Stops the client; returns the number of served jobs and the errors of all others.
    pub fn finish(self) -> (u64, Vec<String>) {
        self.stopping.store(true, Ordering::Relaxed);
        let failures = self.thread.join().expect("the client's thread panicked");
        (self.served.load(Ordering::Relaxed), failures)
    }
}
