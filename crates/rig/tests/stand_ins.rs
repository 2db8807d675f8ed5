//! The stand-ins of `calibrate` themselves: discovery in the form of the protocol page, attempts that overlap seen as such,
//! and datagrams counted by their shape and passed on from the sender's address.

use calicolb_rig::calibrate::counts::{Flow, Traffic};
use calicolb_rig::calibrate::discovery::{Answer, Capacity, Discovery, Host};
use calicolb_rig::calibrate::harness::{Change, Harness};
use calicolb_rig::calibrate::relay::classify;
use calicolb_rig::calibrate::worker_pool::{Effect, Job, Verdict, WorkerPool, WorkerSettings, WorkerSpec};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(20);

fn hosts(count: usize) -> Vec<Host> {
    let host = |nr| Host {
        host: format!("s-{nr:08x}"),
        dial: SocketAddr::from(([127, 0, 0, 1], 1)),
        site: "a".to_owned(),
        class: "m1".to_owned(),
        block: 0,
        health: "in_service",
        share: 1.0,
        born_ms: 0,
    };
    (0..count).map(host).collect()
}

fn harness(workers: usize, schedulers: usize) -> Harness {
    let kind = |host: &Host| WorkerSpec {
        name: host.host.clone(),
        slots: 2,
        memory: 0.0,
        speed: 1.0,
        phase: Duration::ZERO,
        started_at: None,
    };
    let worker_settings = WorkerSettings {
        warm_up: Duration::from_secs(1),
        start_speed: 0.3,
        reports_start: true,
        progress_interval: Duration::ZERO,
        report_fields: vec!["x0".to_owned()],
    };
    let hosts = hosts(workers);
    let kinds = hosts.iter().map(kind).collect();
    Harness::new(kinds, hosts, worker_settings, Capacity::default(), schedulers).expect("ports are free")
}

/// Runs what a peer does on a thread of its own, and the harness until that is over.
fn with<T: Send + 'static>(harness: &mut Harness, peer: impl FnOnce() -> T + Send + 'static) -> T {
    let (tell, told): (_, Receiver<T>) = channel();
    thread::spawn(move || tell.send(peer()));
    let until = Instant::now() + LIMIT;
    loop {
        harness.run_until(Instant::now() + Duration::from_millis(5)).expect("the harness runs");
        match told.try_recv() {
            Ok(found) => return found,
            Err(std::sync::mpsc::TryRecvError::Empty) if Instant::now() < until => {}
            Err(why) => panic!("the peer does not end: {why}"),
        }
    }
}

/// Writes a request and reads until what has come holds `mark`; gives all of that.
fn call(stream: &mut TcpStream, request: &str, mark: &str) -> String {
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out can be set");
    stream.write_all(request.as_bytes()).expect("it takes the request");
    let mut held = String::new();
    until(stream, &mut held, mark);
    held
}

fn until(stream: &mut TcpStream, held: &mut String, mark: &str) {
    let mut part = [0; 4096];
    while !held.contains(mark) {
        let count = stream.read(&mut part).expect("something comes");
        assert!(count > 0, "it ended after {held:?}");
        held.push_str(&String::from_utf8_lossy(&part[..count]));
    }
}

#[test]
fn discovery_gives_the_whole_list_and_a_watch_in_the_form_of_the_page() {
    let mut harness = harness(2, 1);
    let at = harness.discovery_address();
    let whole = with(&mut harness, move || {
        let mut stream = TcpStream::connect(at).expect("discovery listens");
        call(&mut stream, "GET /discovery/hosts HTTP/1.1\r\nHost: d\r\n\r\n", "]}\n")
    });
    let (head, body) = whole.split_once("\r\n\r\n").expect("a head and a body");
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    assert!(head.contains(&format!("Content-Length: {}", body.len())), "{head}");
    let list: serde_json::Value = serde_json::from_str(body).expect("it is JSON");
    assert_eq!((list["seq"].as_u64(), list["whole"].as_bool()), (Some(1), Some(true)));
    let keys = ["host", "dial", "site", "class", "block", "health", "share", "born_ms"];
    let hosts = list["hosts"].as_array().expect("lines");
    assert_eq!(hosts.len(), 2);
    assert!(hosts.iter().all(|line| keys.iter().all(|key| line.get(key).is_some())), "{body}");

    harness.schedule_change(
        Instant::now() + Duration::from_millis(300),
        Change { worker: 1, health: "terminating" },
    );
    let begun = Instant::now();
    let (watch, spent) = with(&mut harness, move || {
        let mut stream = TcpStream::connect(at).expect("discovery listens");
        let watch = "GET /discovery/hosts?watch=1&from=1 HTTP/1.1\r\nHost: d\r\n\r\n";
        let mut held = call(&mut stream, watch, "\"hosts\":[]}\n\r\n");
        until(&mut stream, &mut held, "terminating");
        until(&mut stream, &mut held, "\r\n1\r\n\n\r\n");
        (held, begun.elapsed())
    });
    let (head, chunks) = watch.split_once("\r\n\r\n").expect("a head and chunks");
    assert!(head.contains("Transfer-Encoding: chunked"), "{head}");
    // Each object stands on one line, as one chunk whose length is right.
    let mut left = chunks;
    let mut lines = Vec::new();
    while let Some((size, rest)) = left.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("the length of a chunk");
        lines.push(&rest[..size]);
        assert_eq!(&rest[size..size + 2], "\r\n");
        left = &rest[size + 2..];
    }
    assert!(lines.iter().all(|line| line.ends_with('\n') && line.matches('\n').count() == 1), "{lines:?}");
    let objects: Vec<serde_json::Value> =
        lines.iter().filter_map(|line| serde_json::from_str(line).ok()).collect();
    let seen: Vec<_> =
        objects.iter().map(|object| (object["seq"].as_u64(), object["whole"].as_bool())).collect();
    assert_eq!(seen, [(Some(1), Some(false)), (Some(2), Some(false))]);
    assert_eq!(objects[1]["hosts"][0]["health"], "terminating");
    // The empty line comes 2 s after the last change, not before.
    assert!(spent >= Duration::from_millis(2_300), "{spent:?}");
    let counts = harness.counts();
    let seen = [
        Flow::ListRequested,
        Flow::ListAnswered,
        Flow::WatchRequested,
        Flow::WatchOpened,
        Flow::WatchChanges,
    ];
    assert_eq!(seen.map(|flow| counts.of(flow).messages), [1, 1, 1, 1, 1]);
    assert_eq!(counts.of(Flow::ListAnswered).bytes, whole.len() as u64);
    let told = counts.sum(&[Flow::WatchOpened, Flow::WatchChanges, Flow::WatchKeepalives]);
    assert_eq!(told.bytes, watch.len() as u64, "{counts:?}");
}

#[test]
fn a_watch_from_an_older_version_brings_what_has_changed_and_one_of_an_unknown_version_the_list() {
    let now = Instant::now();
    let mut discovery = Discovery::new(hosts(3), Capacity::default(), now);
    let mut gone = discovery.hosts()[0].clone();
    gone.health = "terminated";
    let chunk = String::from_utf8(discovery.apply_change(gone)).expect("text");
    assert!(chunk.contains("\"seq\":2,\"whole\":false") && chunk.contains("terminated"), "{chunk}");
    assert_eq!(discovery.hosts().len(), 2, "who has gone is not on the list");
    let mut first =
        |from: u64| match discovery.handle_call(now, &format!("/discovery/hosts?watch=1&from={from}")).1 {
            Answer::Watch(text, whole) => {
                let text = String::from_utf8(text).expect("text");
                assert_eq!(whole, text.contains("\"whole\":true"));
                text
            }
            other => panic!("{other:?}"),
        };
    assert!(first(1).contains("\"whole\":false,\"hosts\":[{\"host\":\"s-00000000\""));
    assert!(first(2).contains("\"whole\":false,\"hosts\":[]"));
    assert!(first(0).contains("\"seq\":2,\"whole\":true"));
    assert!(first(9).contains("\"seq\":2,\"whole\":true"));
}

#[test]
fn discovery_answers_in_turn_and_turns_away_who_would_wait_too_long() {
    let now = Instant::now();
    let milli = Duration::from_millis;
    let capacity = Capacity { per_call: milli(10), per_line: milli(1), max_wait: milli(100) };
    let mut discovery = Discovery::new(hosts(10), capacity, now);
    let mut at = Vec::new();
    let busy = (0..8).filter(|_| {
        let (when, answer) = discovery.handle_call(now, "/discovery/hosts");
        at.push(when - now);
        matches!(answer, Answer::Busy(_))
    });
    // Each takes 20 ms; the sixth would begin 100 ms from now, the seventh 120.
    assert_eq!(busy.count(), 2);
    assert_eq!(at[..6], [20, 40, 60, 80, 100, 120].map(milli));
    assert_eq!(discovery.rejected, 2);
    // Later there is room again.
    assert!(matches!(discovery.handle_call(now + milli(200), "/discovery/hosts").1, Answer::List(_)));
}

#[test]
fn a_worker_runs_what_fits_at_its_speed_and_reports_loads_of_some_time_ago() {
    let milli = Duration::from_millis;
    let kind = |started_at| WorkerSpec {
        name: "w".to_owned(),
        slots: 2,
        memory: 0.0,
        speed: 0.5,
        phase: milli(0),
        started_at,
    };
    let worker_settings = || WorkerSettings {
        warm_up: milli(10_000),
        start_speed: 0.25,
        reports_start: true,
        progress_interval: Duration::ZERO,
        report_fields: vec!["x0".to_owned(), "queue".to_owned()],
    };
    let mut worker_pool = WorkerPool::new(vec![kind(None)], worker_settings());
    let now = Instant::now();
    let job = |id: &str, slots| Job { id: id.to_owned(), work: milli(1_000), slots, memory: 0.0 };
    let wake = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Timer(at, number) => Some((*at, *number)),
            Effect::Callback(..) => None,
        })
    };
    let (verdict, effects) = worker_pool.submit_attempt(now, 0, job("a", 2));
    assert_eq!(verdict, Verdict::Accepted);
    let (ends, number) = wake(&effects).expect("it has begun");
    assert_eq!(ends - now, milli(2_000), "half the speed is twice the time");
    assert_eq!(wake(&worker_pool.submit_attempt(now, 0, job("b", 1)).1), None, "no slot is free");
    assert_eq!(worker_pool.submit_attempt(now, 0, job("c", 3)).0, Verdict::Rejected, "it will never fit");
    // The load of this moment is not told yet; a second later it is.
    assert_eq!(worker_pool.report(now, 0), serde_json::json!({"x0": 2, "queue": 0}));
    assert_eq!(worker_pool.report(now + milli(1_000), 0), serde_json::json!({"x0": 0, "queue": 1}));
    let done = worker_pool.on_timer(ends, number);
    assert!(
        matches!(&done[0], Effect::Callback(0, id, body) if id == "a" && body.contains(r#""result":"done a""#))
    );
    assert!(wake(&done).is_some(), "the next one begins: {done:?}");
    assert_eq!(worker_pool.counters().running_peak, 1);
    // One that has just started is slower still.
    let mut cold = WorkerPool::new(vec![kind(Some(now))], worker_settings());
    let (ends, _) = wake(&cold.submit_attempt(now, 0, job("a", 1)).1).expect("it has begun");
    assert_eq!(ends - now, milli(8_000));
    // A queue of twice the slots is full.
    let mut full = WorkerPool::new(vec![kind(None)], worker_settings());
    let verdicts: Vec<Verdict> =
        (0..7).map(|nr| full.submit_attempt(now, 0, job(&nr.to_string(), 1)).0).collect();
    assert_eq!(verdicts.iter().filter(|&&verdict| verdict == Verdict::Accepted).count(), 6);
    assert_eq!(full.counters().rejected, 1);
}

fn attempt(at: SocketAddr, id: &str) -> String {
    let mut stream = TcpStream::connect(at).expect("the worker listens");
    let body = "work=5000000 slots=1";
    let text =
        format!("POST /batch HTTP/1.1\r\nRequest-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    call(&mut stream, &text, "\r\n\r\n")
}

#[test]
fn a_second_attempt_at_a_worker_is_seen_as_doubled_and_one_that_was_given_up_is_not() {
    let mut harness = harness(2, 1);
    let at: Vec<SocketAddr> = harness.discovery().hosts().iter().map(|host| host.dial).collect();
    let (first, second) = (at[0], at[1]);
    let seen = |harness: &Harness| {
        let seen = harness.worker_pool().counters();
        (seen.attempts, seen.doubled, seen.overlapping, seen.cancelled)
    };
    assert!(with(&mut harness, move || attempt(first, "r1")).starts_with("HTTP/1.1 202 "));
    assert_eq!(seen(&harness), (1, 0, 0, 0));
    // The same request at the same worker, while it runs there.
    with(&mut harness, move || attempt(first, "r1"));
    assert_eq!(seen(&harness), (2, 1, 0, 0));
    // Another request is none of its business.
    with(&mut harness, move || attempt(second, "r2"));
    assert_eq!(seen(&harness), (3, 1, 0, 0));
    // The same request at another worker is a copy.
    with(&mut harness, move || attempt(first, "r2"));
    assert_eq!(seen(&harness), (4, 1, 1, 0));
    // What was given up there may come again.
    with(&mut harness, move || {
        let mut stream = TcpStream::connect(second).expect("the worker listens");
        call(&mut stream, "DELETE /jobs/r2 HTTP/1.1\r\nHost: w\r\n\r\n", "\r\n\r\n")
    });
    // At the other worker it still is.
    with(&mut harness, move || attempt(first, "r2"));
    assert_eq!(seen(&harness), (5, 2, 1, 1));
    with(&mut harness, move || {
        let mut stream = TcpStream::connect(first).expect("the worker listens");
        call(&mut stream, "DELETE /jobs/r2 HTTP/1.1\r\nHost: w\r\n\r\n", "\r\n\r\n")
    });
    with(&mut harness, move || attempt(second, "r2"));
    assert_eq!(seen(&harness), (6, 2, 1, 2));
    let counts = harness.counts();
    assert_eq!(counts.of(Flow::AttemptsSent).messages, 6);
    assert_eq!(counts.of(Flow::CancelsSent).messages, 2);
}

#[test]
fn datagrams_are_told_apart_by_their_length() {
    for length in 0..=256 {
        let sent = match length {
            3 => Flow::HellosSent,
            6 => Flow::FaultReportsSent,
            8..=11 => Flow::LoadsSent,
            _ => Flow::UnknownSent,
        };
        assert_eq!(classify(&vec![1; length]).0, sent, "{length}");
    }
}

#[test]
fn datagrams_come_from_the_address_that_stands_for_the_sender_and_are_counted_by_shape() {
    let mut harness = harness(1, 3);
    let (relays, all) = harness.relay().addresses().expect("they are bound");
    let sockets: Vec<UdpSocket> =
        (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port is free")).collect();
    let home = |nr: usize| sockets[nr].local_addr().expect("it is bound");
    let (from, to) = (sockets[0].try_clone().expect("shared"), sockets[1].try_clone().expect("shared"));
    to.set_read_timeout(Some(LIMIT)).expect("a time-out can be set");
    for nr in 0..2 {
        harness.set_address(nr, None, Some(home(nr)));
    }
    // The third one isn't known yet: what it sends waits until it is.
    sockets[2].send_to(&[1; 6], relays[1]).expect("it is sent");
    let relay = relays[1];
    let heard = with(&mut harness, move || {
        from.send_to(&[1, 0, 1], all).expect("it is sent");
        from.send_to(&[1; 9], relay).expect("it is sent");
        let mut space = [0; 64];
        let heard = (0..2).map(|_| to.recv_from(&mut space).expect("it is passed on"));
        // They go by two sockets of the relay: which comes first is open.
        heard.collect::<std::collections::BTreeSet<_>>().into_iter().collect::<Vec<_>>()
    });
    assert_eq!(heard, [(3, relays[0]), (9, relays[0])]);
    let of = |harness: &Harness, flow| harness.counts().of(flow);
    let traffic = |messages, bytes| Traffic { messages, bytes };
    assert_eq!(harness.relay().pending_count(), 1);
    assert_eq!(of(&harness, Flow::HellosSent), traffic(1, 3));
    assert_eq!(of(&harness, Flow::HellosPassed), traffic(1, 3), "one of the others is known");
    assert_eq!(of(&harness, Flow::LoadsSent), traffic(1, 9));
    harness.set_address(2, None, Some(home(2)));
    assert_eq!(harness.relay().pending_count(), 0);
    assert_eq!(of(&harness, Flow::FaultReportsPassed), traffic(1, 6));
    assert_eq!((harness.counts().relay_in, harness.counts().datagram_longest), (traffic(3, 18), 9));
}
