//! Case 6: clients that stop in the middle of a request drive the scheduler over its memory limit.

use standins::discovery::{Discovery, Host};
use standins::http;
use standins::platform::{Case, Config, Scheduler, head_office, wait_until};
use standins::usual::{self, Counts};
use standins::worker::{Deed, Reporter};
use standins::{BROKEN, COULD_NOT_RUN, HELD, free_address, lock, trouble, worker};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The memory limit of the configuration: within the 32 to 192 MB of the pages.
const MEMORY_MB: u64 = 48;
/// The socket limit of the configuration: within the 256 to 1,024 of the pages.
const SOCKETS: u64 = 1_024;
/// Clients that stop in the middle of a request.
const BAD_CLIENTS: usize = 600;
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
                Deed::Run { ms: 300, result: format!("result of {id}") }
            }),
        );
        hosts.push(Host {
            name: name.to_owned(),
            dial,
            site: "windhoek".to_owned(),
            class: "mid-std".to_owned(),
            health: "in_service",
            born_ms: 0,
        });
    }
    let discovery = Discovery::start(hosts);
    let settings = head_office();
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
    record.say(format!("ready, memory {} KiB", lock(&scheduler).memory_kib()));

    let over = Arc::new(AtomicBool::new(false));
    let peak = Arc::new(AtomicUsize::new(0));
    let platform = {
        let (scheduler, over, peak, record) =
            (Arc::clone(&scheduler), Arc::clone(&over), Arc::clone(&peak), record.clone());
        thread::spawn(move || watch_memory(&scheduler, &over, &peak, &record))
    };
    let counts = Arc::new(Counts::default());
    let usual = usual::start(USUAL_CLIENTS, &listen, SENDING, &counts, &record);
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

/// Clients that begin a request, send most of it and stop: its body comes in small chunks that never end. They read what
/// they are sent, and go when they have an answer or a close.
fn bad_clients(listen: &str, record: &standins::record::Record) {
    let mut clients: Vec<(TcpStream, Vec<u8>, usize)> = Vec::new();
    let begun = Instant::now();
    for number in 0..BAD_CLIENTS {
        let Ok(stream) = TcpStream::connect(listen) else { continue };
        let _ = stream.set_nonblocking(true);
        let mut request = format!(
            "POST /stock-check HTTP/1.1\r\nHost: a\r\nRequest-Id: bad{number:x}\r\nRequest-Timeout: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        .into_bytes();
        request.extend(b"1\r\nx\r\n".repeat(23_500));
        clients.push((stream, request, 0));
    }
    record.say(format!("{} bad clients connected in {} ms", clients.len(), begun.elapsed().as_millis()));
    let _ = wait_until(Duration::from_secs(6), || {
        for (stream, request, sent) in &mut clients {
            while *sent < request.len() {
                match stream.write(&request[*sent..]) {
                    Ok(count) => *sent += count,
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                    Err(_) => *sent = request.len(),
                }
            }
        }
        clients.retain_mut(|(stream, _, _)| {
            let answered = std::io::Read::read(stream, &mut [0; 512]);
            matches!(answered, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
        });
        clients.is_empty()
    });
    record.say(format!("the last bad client went after {} ms", begun.elapsed().as_millis()));
}
