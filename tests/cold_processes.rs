//! Twenty and thirty processes of the program send to one worker that has just started: what reaches it, counted there.

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

/// The ramp, the window of the fourth rule, what the worker bears, and the work of each job.
const COLD: Duration = Duration::from_secs(6);
const WINDOW: Duration = Duration::from_millis(1_500);
const MULTIPLE: f64 = 4.0;
const FROM: f64 = 0.3;
const LANES: f64 = 4.0;
const WORK: Duration = Duration::from_millis(150);

/// How the processes hear of each other.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Talk {
    Barred,
    Lost,
    Heard,
}

/// A process of the program, and where it listens.
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

/// What all of them share.
struct Fleet {
    count: usize,
    talk: Talk,
    worker: SocketAddr,
    /// Where datagrams to each are sent.
    peers: Vec<SocketAddr>,
    /// Where datagrams are lost.
    nowhere: SocketAddr,
    discovery: SocketAddr,
    born_ms: u128,
    at: Mutex<HashMap<usize, SocketAddr>>,
}

impl Fleet {
    fn start(&self, rank: usize, life: usize) -> Process {
        let peers: Vec<String> = match self.talk {
            Talk::Heard => self.peers.iter().map(SocketAddr::to_string).collect(),
            _ => vec![self.nowhere.to_string(); self.count],
        };
        let config = json!({
            "name": format!("n{rank}"), "listen": "127.0.0.1:0", "discovery": self.discovery.to_string(),
            "seed": format!("{:x}", rank * 7919 + life), "limits": {"sockets": 256},
            "peer_listen": self.peers[rank].to_string(), "peers": peers, "peers_all": self.nowhere.to_string(),
            "known": {"seq": 41, "whole": true, "hosts": [{"host": "w1", "dial": self.worker.to_string(),
                "site": "north", "class": "big", "block": 0, "health": "in_service", "share": 1.0,
                "born_ms": self.born_ms as u64}]},
            "settings": {"azs": ["north"], "kinds": ["big"], "n_instances": self.count, "rank": rank, "zone": "north",
                "ceilings": {"cancelling": true, "connect_timeout_us": 1_000_000, "may_duplicate": true, "most_tries": 4,
                    "peers": self.talk != Talk::Barred, "probes": false, "retry_after": false},
                "extra": {"class_kind": [-1], "class_stretch": [2.0], "tells_start": true, "report_x0": "free slots"},
                "report": {"fields": ["x0"], "how": "answers"}, "orgs": [], "registry_mode": "subscribe",
                "request_classes": [{"name": "look", "aim_us": 400_000, "deadline_us": 5_000_000, "effect": "read_like"}],
                "rules": {"answer_slack_us": 8000, "ask_every_us": 60_000_000, "cold_us": COLD.as_micros() as u64,
                    "drain_grace_us": 2_000_000, "fall_multiple": MULTIPLE, "fall_us": WINDOW.as_micros() as u64,
                    "start_capacity": FROM},
                "tick_us": 1000},
        });
        let name = format!("calicolb-cold-{}-{:?}-{rank}-{life}.json", std::process::id(), self.talk);
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, config.to_string()).expect("the configuration is written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_calicolb"))
            .env("RELAY_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("its log is piped"));
        let process = Process { child, file };
        let mut lines = log.lines().map_while(Result::ok);
        let at = lines.find_map(|line| line.split_once("serves on ")?.1.parse().ok()).expect("it serves");
        thread::spawn(move || lines.for_each(drop));
        self.at.lock().expect("nobody panicked").insert(rank, at);
        process
    }

    /// A connection to the worker: each job that arrives on it counts, is taken, and is done at once.
    fn serve(&self, stream: TcpStream, arrived: &Mutex<Vec<Instant>>) {
        let Ok(mut answers) = stream.try_clone() else { return };
        let mut lines = BufReader::new(stream);
        while let Some(id) = request(&mut lines) {
            arrived.lock().expect("nobody panicked").push(Instant::now());
            if answers.write_all(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n").is_err() {
                return;
            }
            let rank = id.split('-').next().and_then(|rank| rank.parse().ok()).unwrap_or(usize::MAX);
            let at = self.at.lock().expect("nobody panicked").get(&rank).copied();
            for state in [r#""started""#, r#""done","result":"r","load":{"x0":4}"#] {
                let body = format!(r#"{{"id":"{id}","from":"w1","state":{state}}}"#);
                let call = format!(
                    "POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if let Some(Ok(mut news)) = at.map(TcpStream::connect) {
                    let _ = news.write_all(call.as_bytes());
                    let _ = news.read_to_end(&mut Vec::new());
                }
            }
        }
    }

    /// A client of one process, wherever that listens: a job every 30 ms, whatever comes of it.
    fn offer(&self, rank: usize, over: &AtomicBool) {
        let mut nr = 0;
        while !over.load(Ordering::Relaxed) {
            nr += 1;
            let at = self.at.lock().expect("nobody panicked").get(&rank).copied();
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

/// Reads the head of a request without a body; gives its id.
fn request(lines: &mut impl BufRead) -> Option<String> {
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

/// One fleet at a time: eighty processes and their clients at once would measure the machine.
static ONE: Mutex<()> = Mutex::new(());

/// So many processes over the whole ramp, half of which are killed and started anew in the middle of it if `restarts`.
fn ramp(count: usize, talk: Talk, restarts: bool) {
    let _one = ONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let worker = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let discovery_at = discovery.local_addr().expect("it is bound");
    discovery::confirm_list_forever(discovery);
    let silent = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    // Each at an address of its own, or another test might take the port before its process does.
    let host = |rank: usize| [127, 1 + (std::process::id() % 250) as u8, talk as u8, 1 + rank as u8];
    let free: Vec<UdpSocket> = (0..count)
        .map(|rank| UdpSocket::bind(SocketAddr::from((host(rank), 0))).expect("a port is free"))
        .collect();
    let peers = free.iter().map(|socket| socket.local_addr().expect("it is bound")).collect();
    drop(free);
    let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("it is after 1970").as_millis();
    let start = Instant::now();
    let fleet = Arc::new(Fleet {
        count,
        talk,
        worker: worker.local_addr().expect("it is bound"),
        peers,
        nowhere: silent.local_addr().expect("it is bound"),
        discovery: discovery_at,
        born_ms: born,
        at: Mutex::default(),
    });
    let arrived = Arc::new(Mutex::new(Vec::new()));
    let over = Arc::new(AtomicBool::new(false));
    let (serving, counts) = (fleet.clone(), arrived.clone());
    thread::spawn(move || {
        for stream in worker.incoming().map_while(Result::ok) {
            let (serving, counts) = (serving.clone(), counts.clone());
            thread::spawn(move || serving.serve(stream, &counts));
        }
    });
    let mut processes: Vec<Process> = (0..count).map(|rank| fleet.start(rank, 0)).collect();
    let clients: Vec<_> = (0..count)
        .map(|rank| {
            let (fleet, over) = (fleet.clone(), over.clone());
            thread::spawn(move || fleet.offer(rank, &over))
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
    over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    drop(processes);
    let mut arrived = arrived.lock().expect("nobody panicked").clone();
    arrived.retain(|at| *at < start + COLD);
    arrived.sort_unstable();
    assert!(!arrived.is_empty(), "nobody sent it anything");
    for (nr, &from) in arrived.iter().enumerate() {
        let age = (from - start).as_secs_f64() / COLD.as_secs_f64();
        let capacity = (FROM + (1.0 - FROM) * age) * LANES;
        let bears = MULTIPLE * capacity * WINDOW.as_secs_f64() / WORK.as_secs_f64();
        let count = arrived[nr..].iter().take_while(|at| **at < from + WINDOW).count() as f64;
        let bound = bears + 2.0 * bears.sqrt() + 2.0;
        assert!(
            count <= bound,
            "{count} from {:?} on, {bound:.1} are borne, {talk:?}, {restarts}",
            from - start
        );
    }
}

#[test]
fn thirty_that_hear_each_other() {
    ramp(30, Talk::Heard, true);
}

#[test]
fn thirty_whose_every_datagram_is_lost() {
    ramp(30, Talk::Lost, false);
}

#[test]
fn twenty_that_may_not_speak_and_half_of_which_start_in_the_middle() {
    ramp(20, Talk::Barred, true);
}
