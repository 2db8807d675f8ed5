//! 20 and 30 processes of the program send jobs to one worker that has just started; the worker counts the jobs per window.

mod discovery;

use serde_json::json;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Duration of the worker's warm-up.
const COLD: Duration = Duration::from_secs(6);
/// Window over which the work sent to a cold worker is limited.
const WINDOW: Duration = Duration::from_millis(1_500);
/// Work that the worker can take in a window, as a multiple of its capacity.
const FALL_MULTIPLE: f64 = 4.0;
/// Capacity of the worker at its start, as a fraction of the full capacity.
const START_CAPACITY: f64 = 0.3;
/// Lanes of the worker.
const LANES: f64 = 4.0;
/// Work of each job.
const WORK: Duration = Duration::from_millis(150);

/// Delivery of peer messages between the processes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PeerMessages {
    /// Peer messages are disabled in the settings.
    Disabled,
    /// Every message is lost.
    Lost,
    /// Every message arrives.
    Delivered,
}

/// A process of the program and its configuration file.
struct Process {
    child: Child,
    file: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Data that all processes and their clients share.
struct Fleet {
    /// Number of processes.
    count: usize,
    peer_messages: PeerMessages,
    worker: SocketAddr,
    /// Peer address of each process, by rank.
    peers: Vec<SocketAddr>,
    /// A bound socket that is never read, so that messages to it are lost.
    discarding_peer: SocketAddr,
    discovery: SocketAddr,
    /// Start time of the worker in milliseconds since 1970.
    born_ms: u128,
    /// Client address of each process, by rank.
    addresses: Mutex<HashMap<usize, SocketAddr>>,
}

impl Fleet {
    /// Starts the process of this rank; `run` is 0 for the first start and 1 for the restart.
    fn start(&self, rank: usize, run: usize) -> Process {
        let peers: Vec<String> = match self.peer_messages {
            PeerMessages::Delivered => self.peers.iter().map(SocketAddr::to_string).collect(),
            _ => vec![self.discarding_peer.to_string(); self.count],
        };
        let config = json!({
            "name": format!("n{rank}"), "listen": "127.0.0.1:0", "discovery": self.discovery.to_string(),
            "seed": format!("{:x}", rank * 7919 + run), "limits": {"sockets": 256},
            "peer_listen": self.peers[rank].to_string(), "peers": peers, "peers_all": self.discarding_peer.to_string(),
            "known": {"seq": 41, "whole": true, "hosts": [{"host": "w1", "dial": self.worker.to_string(),
                "site": "north", "class": "big", "block": 0, "health": "in_service", "share": 1.0,
                "born_ms": self.born_ms as u64}]},
            "settings": {"azs": ["north"], "kinds": ["big"], "n_instances": self.count, "rank": rank, "zone": "north",
                "ceilings": {"cancelling": true, "connect_timeout_us": 1_000_000, "may_duplicate": true, "most_tries": 4,
                    "peers": self.peer_messages != PeerMessages::Disabled, "probes": false, "retry_after": false},
                "extra": {"class_kind": [-1], "class_stretch": [2.0], "tells_start": true, "report_x0": "free slots"},
                "report": {"fields": ["x0"], "how": "answers"}, "orgs": [], "registry_mode": "subscribe",
                "request_classes": [{"name": "look", "aim_us": 400_000, "deadline_us": 5_000_000, "effect": "read_like"}],
                "rules": {"answer_slack_us": 8000, "ask_every_us": 60_000_000, "cold_us": COLD.as_micros() as u64,
                    "drain_grace_us": 2_000_000, "fall_multiple": FALL_MULTIPLE, "fall_us": WINDOW.as_micros() as u64,
                    "start_capacity": START_CAPACITY},
                "tick_us": 1000},
        });
        let name = format!("calicolb-cold-{}-{:?}-{rank}-{run}.json", std::process::id(), self.peer_messages);
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, config.to_string()).expect("the configuration could not be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_calicolb"))
            .env("RELAY_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program could not be started");
        let log = BufReader::new(child.stderr.take().expect("the program's standard error is not piped"));
        let process = Process { child, file };
        let mut lines = log.lines().map_while(Result::ok);
        let at = lines
            .find_map(|line| line.split_once("serves on ")?.1.parse().ok())
            .expect("the program ended before it logged its address");
        thread::spawn(move || lines.for_each(drop));
        self.addresses.lock().expect("a thread panicked while it held the lock").insert(rank, at);
        process
    }

    /// Serves one connection to the worker: records the time of each job, accepts it, and reports it as done at once.
    fn serve(&self, stream: TcpStream, arrivals: &Mutex<Vec<Instant>>) {
        let Ok(mut answers) = stream.try_clone() else { return };
        let mut lines = BufReader::new(stream);
        while let Some(id) = read_request(&mut lines) {
            arrivals.lock().expect("a thread panicked while it held the lock").push(Instant::now());
            if answers.write_all(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n").is_err() {
                return;
            }
            let rank = id.split('-').next().and_then(|rank| rank.parse().ok()).unwrap_or(usize::MAX);
            let at =
                self.addresses.lock().expect("a thread panicked while it held the lock").get(&rank).copied();
            for state in [r#""started""#, r#""done","result":"r","load":{"x0":4}"#] {
                let body = format!(r#"{{"id":"{id}","from":"w1","state":{state}}}"#);
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
    }

    /// Runs a client of the process of this rank: it sends a job every 30 ms to the process's current address and ignores the
    /// answers.
    fn run_client(&self, rank: usize, stopping: &AtomicBool) {
        let mut nr = 0;
        while !stopping.load(Ordering::Relaxed) {
            nr += 1;
            let at =
                self.addresses.lock().expect("a thread panicked while it held the lock").get(&rank).copied();
            let text = format!(
                "POST /look HTTP/1.1\r\nRequest-Id: {rank}-{nr}\r\nRequest-Timeout: 2\r\nWork-Hint: {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                WORK.as_micros()
            );
            if let Some(Ok(mut stream)) = at.map(TcpStream::connect) {
                let _ = stream.write_all(text.as_bytes());
                let _ = stream.read_to_end(&mut Vec::new());
            }
            thread::sleep(Duration::from_millis(30));
        }
    }
}

/// Reads the head of a request without a body; returns its id, or `None` at the end of the connection.
fn read_request(lines: &mut impl BufRead) -> Option<String> {
    let mut id = None;
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("request-id") => id = Some(value.to_owned()),
            Some(_) => {}
            None if line.trim_end().is_empty() => return id.or(Some(String::new())),
            None => {}
        }
    }
}

/// Lets one fleet run at a time, since 80 processes with their clients would measure the load of the machine.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Runs `count` processes over the whole warm-up; if `restarts`, half of them are killed and restarted in the middle. Asserts
/// that no window has more than N + 2 * sqrt(N) + 2 jobs, where N is the limit of the worker at the start of the window.
fn assert_limit_during_warm_up(count: usize, peer_messages: PeerMessages, restarts: bool) {
    let _guard = FLEET_LOCK.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let worker = TcpListener::bind("127.0.0.1:0").expect("no loopback port could be bound");
    let discovery = TcpListener::bind("127.0.0.1:0").expect("no loopback port could be bound");
    let discovery_at = discovery.local_addr().expect("the socket has no local address");
    discovery::confirm_list_forever(discovery);
    let unread_socket = UdpSocket::bind("127.0.0.1:0").expect("no loopback port could be bound");
    // Each process has a loopback address of its own, since another test could take the port before the process binds it.
    let host = |rank: usize| [127, 1 + (std::process::id() % 250) as u8, peer_messages as u8, 1 + rank as u8];
    let reserved: Vec<UdpSocket> = (0..count)
        .map(|rank| {
            UdpSocket::bind(SocketAddr::from((host(rank), 0))).expect("no loopback port could be bound")
        })
        .collect();
    let peers =
        reserved.iter().map(|socket| socket.local_addr().expect("the socket has no local address")).collect();
    drop(reserved);
    let worker_started =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("the system time is before 1970").as_millis();
    let start = Instant::now();
    let fleet = Arc::new(Fleet {
        count,
        peer_messages,
        worker: worker.local_addr().expect("the socket has no local address"),
        peers,
        discarding_peer: unread_socket.local_addr().expect("the socket has no local address"),
        discovery: discovery_at,
        born_ms: worker_started,
        addresses: Mutex::default(),
    });
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let stopping = Arc::new(AtomicBool::new(false));
    let (serving_fleet, recorded_arrivals) = (fleet.clone(), arrivals.clone());
    thread::spawn(move || {
        for stream in worker.incoming().map_while(Result::ok) {
            let (serving_fleet, recorded_arrivals) = (serving_fleet.clone(), recorded_arrivals.clone());
            thread::spawn(move || serving_fleet.serve(stream, &recorded_arrivals));
        }
    });
    let mut processes: Vec<Process> = (0..count).map(|rank| fleet.start(rank, 0)).collect();
    let clients: Vec<_> = (0..count)
        .map(|rank| {
            let (fleet, stopping) = (fleet.clone(), stopping.clone());
            thread::spawn(move || fleet.run_client(rank, &stopping))
        })
        .collect();
    thread::sleep((COLD / 2).saturating_sub(start.elapsed()));
    if restarts {
        for rank in (0..count).step_by(2) {
            let _ = processes[rank].child.kill();
            let _ = processes[rank].child.wait();
            processes[rank] = fleet.start(rank, 1);
        }
    }
    thread::sleep(COLD.saturating_sub(start.elapsed()));
    stopping.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client thread panicked"));
    drop(processes);
    let mut arrivals = arrivals.lock().expect("a thread panicked while it held the lock").clone();
    arrivals.retain(|at| *at < start + COLD);
    arrivals.sort_unstable();
    assert!(!arrivals.is_empty(), "no process sent the worker a job");
    for (nr, &from) in arrivals.iter().enumerate() {
        let age = (from - start).as_secs_f64() / COLD.as_secs_f64();
        let capacity = (START_CAPACITY + (1.0 - START_CAPACITY) * age) * LANES;
        let limit = FALL_MULTIPLE * capacity * WINDOW.as_secs_f64() / WORK.as_secs_f64();
        let count = arrivals[nr..].iter().take_while(|at| **at < from + WINDOW).count() as f64;
        let bound = limit + 2.0 * limit.sqrt() + 2.0;
        assert!(
            count <= bound,
            "{count} jobs in the window from {:?}, the bound is {bound:.1}: {peer_messages:?}, restarts {restarts}",
            from - start
        );
    }
}

#[test]
fn thirty_processes_with_peer_messages_do_not_overload_a_cold_worker() {
    assert_limit_during_warm_up(30, PeerMessages::Delivered, true);
}

#[test]
fn thirty_processes_whose_peer_messages_are_lost_do_not_overload_a_cold_worker() {
    assert_limit_during_warm_up(30, PeerMessages::Lost, false);
}

#[test]
fn twenty_processes_without_peer_messages_and_with_restarts_do_not_overload_a_cold_worker() {
    assert_limit_during_warm_up(20, PeerMessages::Disabled, true);
}
