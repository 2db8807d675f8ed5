//! The simulated peers of `calicolb-rig calibrate`: discovery follows the discovery protocol, repeated and overlapping
//! attempts are counted, and datagrams are counted by length and relayed from the address that stands for their sender.

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

/// Maximum wait for a peer, and for each read.
const PEER_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns `count` hosts in service, all with the same address.
fn hosts(count: usize) -> Vec<Host> {
    let host = |index| Host {
        host: format!("s-{index:08x}"),
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

/// Creates a stage with `workers` workers of two slots and `schedulers` schedulers.
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
    Harness::new(kinds, hosts, worker_settings, Capacity::default(), schedulers)
        .expect("binding the ports of the stage failed")
}

/// Runs `peer` on a thread of its own, and the harness until `peer` returns; gives the result of `peer`.
fn run_with<T: Send + 'static>(harness: &mut Harness, peer: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver): (_, Receiver<T>) = channel();
    thread::spawn(move || sender.send(peer()));
    let until = Instant::now() + PEER_TIMEOUT;
    loop {
        harness.run_until(Instant::now() + Duration::from_millis(5)).expect("running the harness failed");
        match receiver.try_recv() {
            Ok(found) => return found,
            Err(std::sync::mpsc::TryRecvError::Empty) if Instant::now() < until => {}
            Err(error) => panic!("the peer did not return within {PEER_TIMEOUT:?}: {error}"),
        }
    }
}

/// Sends a request and reads until the received text contains `mark`; returns the received text.
fn call(stream: &mut TcpStream, request: &str, mark: &str) -> String {
    stream.set_read_timeout(Some(PEER_TIMEOUT)).expect("setting the read timeout failed");
    stream.write_all(request.as_bytes()).expect("sending the request failed");
    let mut received = String::new();
    read_until(stream, &mut received, mark);
    received
}

/// Appends received text to `received` until it contains `mark`.
fn read_until(stream: &mut TcpStream, received: &mut String, mark: &str) {
    let mut part = [0; 4096];
    while !received.contains(mark) {
        let count = stream.read(&mut part).expect("reading from the peer failed");
        assert!(count > 0, "the connection closed before {mark:?}; received {received:?}");
        received.push_str(&String::from_utf8_lossy(&part[..count]));
    }
}

#[test]
fn discovery_list_and_watch_follow_the_protocol() {
    let mut harness = harness(2, 1);
    let at = harness.discovery_address();
    let whole = run_with(&mut harness, move || {
        let mut stream = TcpStream::connect(at).expect("connecting to discovery failed");
        call(&mut stream, "GET /discovery/hosts HTTP/1.1\r\nHost: d\r\n\r\n", "]}\n")
    });
    let (head, body) = whole.split_once("\r\n\r\n").expect("no empty line between head and body");
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    assert!(head.contains(&format!("Content-Length: {}", body.len())), "{head}");
    let list: serde_json::Value = serde_json::from_str(body).expect("the body is not JSON");
    assert_eq!((list["seq"].as_u64(), list["whole"].as_bool()), (Some(1), Some(true)));
    let keys = ["host", "dial", "site", "class", "block", "health", "share", "born_ms"];
    let hosts = list["hosts"].as_array().expect("hosts is not an array");
    assert_eq!(hosts.len(), 2);
    assert!(hosts.iter().all(|line| keys.iter().all(|key| line.get(key).is_some())), "{body}");

    harness.schedule_change(
        Instant::now() + Duration::from_millis(300),
        Change { worker: 1, health: "terminating" },
    );
    let begun = Instant::now();
    let (watch, spent) = run_with(&mut harness, move || {
        let mut stream = TcpStream::connect(at).expect("connecting to discovery failed");
        let watch = "GET /discovery/hosts?watch=1&from=1 HTTP/1.1\r\nHost: d\r\n\r\n";
        let mut received = call(&mut stream, watch, "\"hosts\":[]}\n\r\n");
        read_until(&mut stream, &mut received, "terminating");
        read_until(&mut stream, &mut received, "\r\n1\r\n\n\r\n");
        (received, begun.elapsed())
    });
    let (head, chunks) = watch.split_once("\r\n\r\n").expect("no empty line between head and chunks");
    assert!(head.contains("Transfer-Encoding: chunked"), "{head}");
    // Each object is one line, sent as one chunk whose length field is correct.
    let mut left = chunks;
    let mut lines = Vec::new();
    while let Some((size, rest)) = left.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a chunk length is not hexadecimal");
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
    // The empty line is sent 2 s after the last change (at 300 ms), not before.
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
    let watch_traffic = counts.sum(&[Flow::WatchOpened, Flow::WatchChanges, Flow::WatchKeepalives]);
    assert_eq!(watch_traffic.bytes, watch.len() as u64, "{counts:?}");
}

#[test]
fn watch_from_a_known_version_sends_the_changes_and_from_an_unknown_version_the_whole_list() {
    let now = Instant::now();
    let mut discovery = Discovery::new(hosts(3), Capacity::default(), now);
    let mut gone = discovery.hosts()[0].clone();
    gone.health = "terminated";
    let chunk = String::from_utf8(discovery.apply_change(gone)).expect("the answer is not UTF-8");
    assert!(chunk.contains("\"seq\":2,\"whole\":false") && chunk.contains("terminated"), "{chunk}");
    assert_eq!(discovery.hosts().len(), 2, "a terminated host is still on the list");
    let mut first =
        |from: u64| match discovery.handle_call(now, &format!("/discovery/hosts?watch=1&from={from}")).1 {
            Answer::Watch(text, whole) => {
                let text = String::from_utf8(text).expect("the answer is not UTF-8");
                assert_eq!(whole, text.contains("\"whole\":true"));
                text
            }
            other => panic!("expected a watch, got {other:?}"),
        };
    assert!(first(1).contains("\"whole\":false,\"hosts\":[{\"host\":\"s-00000000\""));
    assert!(first(2).contains("\"whole\":false,\"hosts\":[]"));
    assert!(first(0).contains("\"seq\":2,\"whole\":true"));
    assert!(first(9).contains("\"seq\":2,\"whole\":true"));
}

#[test]
fn discovery_answers_one_call_at_a_time_and_rejects_calls_that_would_wait_too_long() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let capacity = Capacity { per_call: ms(10), per_line: ms(1), max_wait: ms(100) };
    let mut discovery = Discovery::new(hosts(10), capacity, now);
    let mut at = Vec::new();
    let busy = (0..8).filter(|_| {
        let (when, answer) = discovery.handle_call(now, "/discovery/hosts");
        at.push(when - now);
        matches!(answer, Answer::Busy(_))
    });
    // Each call takes 20 ms: the sixth starts after the allowed wait of 100 ms, the seventh would start after 120 ms.
    assert_eq!(busy.count(), 2);
    assert_eq!(at[..6], [20, 40, 60, 80, 100, 120].map(ms));
    assert_eq!(discovery.rejected, 2);
    // A later call is answered again.
    assert!(matches!(discovery.handle_call(now + ms(200), "/discovery/hosts").1, Answer::List(_)));
}

#[test]
fn worker_runs_jobs_that_fit_at_its_speed_and_reports_a_delayed_load() {
    let ms = Duration::from_millis;
    let kind = |started_at| WorkerSpec {
        name: "w".to_owned(),
        slots: 2,
        memory: 0.0,
        speed: 0.5,
        phase: ms(0),
        started_at,
    };
    let worker_settings = || WorkerSettings {
        warm_up: ms(10_000),
        start_speed: 0.25,
        reports_start: true,
        progress_interval: Duration::ZERO,
        report_fields: vec!["x0".to_owned(), "queue".to_owned()],
    };
    let mut worker_pool = WorkerPool::new(vec![kind(None)], worker_settings());
    let now = Instant::now();
    let job = |id: &str, slots| Job { id: id.to_owned(), work: ms(1_000), slots, memory: 0.0 };
    let wake = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Timer(at, number) => Some((*at, *number)),
            Effect::Callback(..) => None,
        })
    };
    let (verdict, effects) = worker_pool.submit_attempt(now, 0, job("a", 2));
    assert_eq!(verdict, Verdict::Accepted);
    let (ends, number) = wake(&effects).expect("the job did not start");
    assert_eq!(ends - now, ms(2_000), "run time at half the speed");
    assert_eq!(
        wake(&worker_pool.submit_attempt(now, 0, job("b", 1)).1),
        None,
        "a job started without a free slot"
    );
    assert_eq!(
        worker_pool.submit_attempt(now, 0, job("c", 3)).0,
        Verdict::Rejected,
        "a job with more slots than the worker was not rejected"
    );
    // Reports are delayed: the load of this moment shows up in the report of one second later.
    assert_eq!(worker_pool.report(now, 0), serde_json::json!({"x0": 2, "queue": 0}));
    assert_eq!(worker_pool.report(now + ms(1_000), 0), serde_json::json!({"x0": 0, "queue": 1}));
    let done = worker_pool.on_timer(ends, number);
    assert!(
        matches!(&done[0], Effect::Callback(0, id, body) if id == "a" && body.contains(r#""result":"done a""#))
    );
    assert!(wake(&done).is_some(), "the queued job did not start: {done:?}");
    assert_eq!(worker_pool.counters().running_peak, 1);
    // A cold worker runs at a quarter of its warm speed.
    let mut cold = WorkerPool::new(vec![kind(Some(now))], worker_settings());
    let (ends, _) = wake(&cold.submit_attempt(now, 0, job("a", 1)).1).expect("the job did not start");
    assert_eq!(ends - now, ms(8_000));
    // The worker accepts 2 running jobs and queues 4, twice its slots. The seventh is rejected.
    let mut full = WorkerPool::new(vec![kind(None)], worker_settings());
    let verdicts: Vec<Verdict> =
        (0..7).map(|index| full.submit_attempt(now, 0, job(&index.to_string(), 1)).0).collect();
    assert_eq!(verdicts.iter().filter(|&&verdict| verdict == Verdict::Accepted).count(), 6);
    assert_eq!(full.counters().rejected, 1);
}

/// Sends an attempt of request `id` to the worker and returns the head of the answer.
fn attempt(at: SocketAddr, id: &str) -> String {
    let mut stream = TcpStream::connect(at).expect("connecting to the worker failed");
    let body = "work=5000000 slots=1";
    let text =
        format!("POST /batch HTTP/1.1\r\nRequest-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    call(&mut stream, &text, "\r\n\r\n")
}

#[test]
fn repeated_attempt_is_counted_as_doubled_unless_the_earlier_one_was_given_up() {
    let mut harness = harness(2, 1);
    let at: Vec<SocketAddr> = harness.discovery().hosts().iter().map(|host| host.dial).collect();
    let (first, second) = (at[0], at[1]);
    let seen = |harness: &Harness| {
        let seen = harness.worker_pool().counters();
        (seen.attempts, seen.doubled, seen.overlapping, seen.cancelled)
    };
    assert!(run_with(&mut harness, move || attempt(first, "r1")).starts_with("HTTP/1.1 202 "));
    assert_eq!(seen(&harness), (1, 0, 0, 0));
    // The same request again at the worker that runs it.
    run_with(&mut harness, move || attempt(first, "r1"));
    assert_eq!(seen(&harness), (2, 1, 0, 0));
    // Another request at another worker changes neither count.
    run_with(&mut harness, move || attempt(second, "r2"));
    assert_eq!(seen(&harness), (3, 1, 0, 0));
    // The same request at a second worker counts as overlapping.
    run_with(&mut harness, move || attempt(first, "r2"));
    assert_eq!(seen(&harness), (4, 1, 1, 0));
    // The attempt at the second worker is given up.
    run_with(&mut harness, move || {
        let mut stream = TcpStream::connect(second).expect("connecting to the worker failed");
        call(&mut stream, "DELETE /jobs/r2 HTTP/1.1\r\nHost: w\r\n\r\n", "\r\n\r\n")
    });
    // The first worker still runs it, so a repeat there counts as doubled.
    run_with(&mut harness, move || attempt(first, "r2"));
    assert_eq!(seen(&harness), (5, 2, 1, 1));
    run_with(&mut harness, move || {
        let mut stream = TcpStream::connect(first).expect("connecting to the worker failed");
        call(&mut stream, "DELETE /jobs/r2 HTTP/1.1\r\nHost: w\r\n\r\n", "\r\n\r\n")
    });
    run_with(&mut harness, move || attempt(second, "r2"));
    assert_eq!(seen(&harness), (6, 2, 1, 2));
    let counts = harness.counts();
    assert_eq!(counts.of(Flow::AttemptsSent).messages, 6);
    assert_eq!(counts.of(Flow::CancelsSent).messages, 2);
}

#[test]
fn datagram_type_follows_from_its_length() {
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
fn datagrams_are_relayed_from_the_senders_relay_address_and_counted_by_type() {
    let mut harness = harness(1, 3);
    let (relays, all) = harness.relay().addresses().expect("reading the relay addresses failed");
    let sockets: Vec<UdpSocket> =
        (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").expect("binding a UDP socket failed")).collect();
    let socket_address = |index: usize| sockets[index].local_addr().expect("reading a socket address failed");
    let (from, to) = (
        sockets[0].try_clone().expect("cloning a UDP socket failed"),
        sockets[1].try_clone().expect("cloning a UDP socket failed"),
    );
    to.set_read_timeout(Some(PEER_TIMEOUT)).expect("setting the read timeout failed");
    for index in 0..2 {
        harness.set_address(index, None, Some(socket_address(index)));
    }
    // The third scheduler is not registered yet: the relay keeps its datagram until it is.
    sockets[2].send_to(&[1; 6], relays[1]).expect("sending a datagram failed");
    let relay = relays[1];
    let received = run_with(&mut harness, move || {
        from.send_to(&[1, 0, 1], all).expect("sending a datagram failed");
        from.send_to(&[1; 9], relay).expect("sending a datagram failed");
        let mut space = [0; 64];
        let received = (0..2).map(|_| to.recv_from(&mut space).expect("receiving a relayed datagram failed"));
        // The two datagrams pass through two relay sockets, so their order is undefined.
        received.collect::<std::collections::BTreeSet<_>>().into_iter().collect::<Vec<_>>()
    });
    assert_eq!(received, [(3, relays[0]), (9, relays[0])]);
    let of = |harness: &Harness, flow| harness.counts().of(flow);
    let traffic = |messages, bytes| Traffic { messages, bytes };
    assert_eq!(harness.relay().pending_count(), 1);
    assert_eq!(of(&harness, Flow::HellosSent), traffic(1, 3));
    assert_eq!(
        of(&harness, Flow::HellosPassed),
        traffic(1, 3),
        "the broadcast goes to the one other registered scheduler"
    );
    assert_eq!(of(&harness, Flow::LoadsSent), traffic(1, 9));
    harness.set_address(2, None, Some(socket_address(2)));
    assert_eq!(harness.relay().pending_count(), 0);
    assert_eq!(of(&harness, Flow::FaultReportsPassed), traffic(1, 6));
    assert_eq!((harness.counts().relay_in, harness.counts().datagram_longest), (traffic(3, 18), 9));
}
