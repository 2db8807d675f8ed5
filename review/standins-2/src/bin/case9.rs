//! Case 9: clients that stop in the middle of a request drive the scheduler over its memory limit.

use standins::discovery::{Discovery, Host};
use standins::http;
use standins::platform::{Case, Config, Scheduler, kirkpinar, wait_until};
use standins::usual::{self, Counts};
use standins::worker::{Deed, Reporter};
use standins::{BROKEN, COULD_NOT_RUN, HELD, free_address, lock, trouble, worker};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The limits of the configuration: the least that the pages name.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 256;
/// Bad clients that send a whole request with a body of 64 KiB and most of a second one, and those that send most of one.
const SENDERS: usize = 79;
const STOPPERS: usize = 64;
/// Time that a heavy job runs; the job of a usual client runs 0.3 s.
const HEAVY_MS: u64 = 2_000;
/// Classes of the usual requests.
const CLASSES: [&str; 2] = ["durum-sorgu", "fatura-kes"];
/// Usual clients, each with one connection.
const USUAL_CLIENTS: usize = 6;
/// Time for which the usual clients send.
const SENDING: Duration = Duration::from_secs(12);

fn main() {
    let case = Case::prepare().unwrap_or_else(|why| {
        println!("{why}");
        std::process::exit(COULD_NOT_RUN)
    });
    let (record, listen) = (case.record.clone(), free_address());
    let mut hosts = Vec::new();
    for name in ["s-00000001", "s-00000002", "s-00000003", "s-00000004"] {
        let reporter = Reporter {
            name: name.to_owned(),
            listen: Arc::new(Mutex::new(listen.clone())),
            tells_start: true,
            record: record.clone(),
        };
        let dial = worker::start(
            reporter,
            Arc::new(|_, message, _| {
                let id = message.header("request-id").unwrap_or("");
                let is_heavy = message.header("request-class") == Some("parca-ayir");
                Deed::Run { ms: if is_heavy { HEAVY_MS } else { 300 }, result: format!("result of {id}") }
            }),
        );
        hosts.push(Host {
            name: name.to_owned(),
            dial,
            site: "merkez".to_owned(),
            class: "cift-cekirdek".to_owned(),
            health: "in_service",
            born_ms: 0,
        });
    }
    let discovery = Discovery::start(hosts);
    let settings = kirkpinar();
    let config = Config {
        listen: &listen,
        discovery: &discovery.address,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        known: &discovery.known(),
        settings: &settings,
    };
    let file = case.write("config.json", &config.json());
    let tmpdir = case.scratch.join("tmp");
    std::fs::create_dir_all(&tmpdir).expect("creating TMPDIR");
    let variables = [("RELAY_CONFIG", file), ("TMPDIR", tmpdir.display().to_string())];
    let scheduler = Arc::new(Mutex::new(case.start("n1", "", &variables, None)));
    if !http::wait_up(&listen, Duration::from_secs(30)) {
        case.finish(&["n1"], COULD_NOT_RUN);
    }
    record.say(format!("limits of the configuration: memory_mb {MEMORY_MB}, sockets {SOCKETS}"));
    record.say(format!("ready, memory {} KiB", lock(&scheduler).memory_kib()));

    let over = Arc::new(AtomicBool::new(false));
    let peak = Arc::new(AtomicUsize::new(0));
    let platform = {
        let (scheduler, over, peak, record) =
            (Arc::clone(&scheduler), Arc::clone(&over), Arc::clone(&peak), record.clone());
        thread::spawn(move || watch_memory(&scheduler, &over, &peak, &record))
    };
    let counts = Arc::new(Counts::default());
    let usual =
        usual::start(0..USUAL_CLIENTS, CLASSES, &listen, (SENDING, Duration::from_secs(5)), &counts, &record);
    if trouble() {
        thread::sleep(Duration::from_secs(3));
        bad_clients(&listen, &record);
    }
    usual.into_iter().for_each(|client| client.join().expect("a usual client failed"));
    let ended = lock(&scheduler).has_ended();
    over.store(true, Ordering::Relaxed);
    platform.join().expect("the platform failed");
    lock(&scheduler).kill();
    let number = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    record.say(format!(
        "usual clients: {}; peak memory {} KiB of {} KiB; the scheduler {}",
        counts.text(),
        number(&peak),
        MEMORY_MB * 1024,
        if ended { "was killed" } else { "ran to the end" }
    ));
    if number(&counts.served) == 0 {
        case.finish(&["n1"], COULD_NOT_RUN);
    }
    case.finish(&["n1"], if ended || number(&counts.lost) > 0 { BROKEN } else { HELD })
}

/// The platform: a scheduler that is over its memory limit is killed.
fn watch_memory(
    scheduler: &Mutex<Scheduler>,
    over: &AtomicBool,
    peak: &AtomicUsize,
    record: &standins::record::Record,
) {
    while !over.load(Ordering::Relaxed) {
        let mut scheduler = lock(scheduler);
        let memory = scheduler.memory_kib();
        peak.fetch_max(memory as usize, Ordering::Relaxed);
        if memory > MEMORY_MB * 1024 {
            record.say(format!("platform: the scheduler has {memory} KiB and is killed"));
            return scheduler.kill();
        }
        drop(scheduler);
        thread::sleep(Duration::from_millis(5));
    }
}

/// Clients that stop in the middle of a request and stay. Some have sent a whole request before it. They read what they are
/// sent, and go when they have an answer or a close.
fn bad_clients(listen: &str, record: &standins::record::Record) {
    let head = |id: &str, timeout_s: u32, extra: &str| {
        format!(
            "POST /parca-ayir HTTP/1.1\r\nHost: a\r\nRequest-Id: {id}\r\nRequest-Class: parca-ayir\r\nIdempotency-Key: key-{id}\r\nRequest-Timeout: {timeout_s}\r\nWork-Hint: 2000000\r\n{extra}"
        )
    };
    let more: String = (0..50).map(|number| format!("X-{number}: {}\r\n", "y".repeat(240))).collect();
    // The body comes in small chunks and does not end.
    let stopped = |id: &str| {
        format!("{}Transfer-Encoding: chunked\r\n\r\n{}", head(id, 5, ""), "1\r\nx\r\n".repeat(23_700))
    };
    let mut clients: Vec<(TcpStream, Vec<u8>, usize)> = Vec::new();
    let begun = Instant::now();
    let connect = |message: String, clients: &mut Vec<(TcpStream, Vec<u8>, usize)>| {
        if let Ok(stream) = TcpStream::connect(listen) {
            let _ = stream.set_nonblocking(true);
            clients.push((stream, message.into_bytes(), 0));
        }
    };
    for number in 0..SENDERS {
        let whole = format!(
            "{}Content-Length: 65536\r\n\r\n{}",
            head(&format!("whole{number:x}"), 25, &more),
            "x".repeat(65_536)
        );
        connect(whole + &stopped(&format!("second{number:x}")), &mut clients);
    }
    let _ = wait_until(Duration::from_millis(1_000), || go_on(&mut clients));
    for number in 0..STOPPERS {
        connect(stopped(&format!("half{number:x}")), &mut clients);
    }
    let longest = clients.iter().map(|(_, message, _)| message.len()).max().unwrap_or(0);
    record.say(format!(
        "{} bad clients connected in {} ms, each sends {longest} bytes at most",
        SENDERS + STOPPERS,
        begun.elapsed().as_millis()
    ));
    let _ = wait_until(Duration::from_secs(5), || go_on(&mut clients));
    record.say(format!("{} bad clients were left after {} ms", clients.len(), begun.elapsed().as_millis()));
}

/// Sends what can be sent, and drops the clients that have got an answer or a close. Returns whether none is left.
fn go_on(clients: &mut Vec<(TcpStream, Vec<u8>, usize)>) -> bool {
    for (stream, message, sent) in clients.iter_mut() {
        while *sent < message.len() {
            match stream.write(&message[*sent..]) {
                Ok(count) => *sent += count,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(_) => *sent = message.len(),
            }
        }
    }
    clients.retain_mut(|(stream, _, _)| {
        let answered = std::io::Read::read(stream, &mut [0; 512]);
        matches!(answered, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    });
    clients.is_empty()
}
