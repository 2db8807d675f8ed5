//! Stand-ins for the review's cases, written from the protocol pages: clients, stock workers, discovery, a network that
//! loses answers, and the platform that starts the scheduler with the command of the deploy file. Standard library only,
//! loopback addresses only.

use std::collections::{HashMap, VecDeque};
use std::fs::{self, File};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Locks a mutex, also one whose last holder panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

// ---- Record ------------------------------------------------------------------------------------------------------

/// The file `record.txt` of a case: what was sent, answered and run, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Arc<Record>> {
        Ok(Arc::new(Record { start: Instant::now(), file: Mutex::new(File::create(path)?) }))
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3}  {text}\n", self.now());
        let mut file = lock(&self.file);
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}

// ---- HTTP --------------------------------------------------------------------------------------------------------

/// A message as received: first line, headers with lower-case names, body.
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads the next message with a `Content-Length` body. `None` if the connection ends or a read times out first.
pub fn read_message(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Message> {
    let mut more = |unread: &mut Vec<u8>| {
        let mut bytes = [0; 16 * 1024];
        loop {
            match stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(count) => {
                    unread.extend_from_slice(&bytes[..count]);
                    return Some(());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    };
    let head = loop {
        if let Some(end) = unread.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end;
        }
        more(unread)?;
    };
    let text = String::from_utf8_lossy(&unread[..head]).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let pair = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    };
    let headers: HashMap<String, String> = lines.filter_map(pair).collect();
    let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let end = head + 4 + length;
    while unread.len() < end {
        more(unread)?;
    }
    let body = unread[head + 4..end].to_vec();
    unread.drain(..end);
    Some(Message { first, headers, body })
}

/// Sends a request on a connection of its own and reads the response within `wait`.
pub fn call(address: SocketAddr, request: &[u8], wait: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

// ---- Clients -----------------------------------------------------------------------------------------------------

/// A job that a client submits.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub class: &'static str,
    /// The time that the client waits, in seconds.
    pub timeout: f64,
    /// The estimate of the work, in microseconds.
    pub hint: u64,
    pub body: String,
}

/// What a client saw of its job.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status, or 0 if the connection ended or no answer came within the job's time and 4 s.
    pub status: u16,
    pub body: String,
    /// When the last byte of the answer came (or the wait ended), in seconds since the start of the case.
    pub at: f64,
    /// The time from the last byte of the request to the last byte of the answer, in seconds.
    pub after: f64,
}

/// Submits a job on a connection of its own and waits for the answer. The client goes on reading until 4 s after its
/// time, so that the record shows when a late answer came.
pub fn submit(record: &Record, scheduler: SocketAddr, job: &Job) -> Answer {
    let Job { id, class, timeout, hint, body } = job;
    let request = format!(
        "POST /{class} HTTP/1.1\r\nHost: stock.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Request-Timeout: {timeout:.3}\r\nWork-Hint: {hint}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.line(&format!("client     {class} {id} ({body}) sent, waits {timeout:.1} s"));
    let sent = Instant::now();
    let wait = Duration::from_secs_f64(timeout + 4.0);
    let message = call(scheduler, request.as_bytes(), wait);
    let after = sent.elapsed().as_secs_f64();
    let answer = match message {
        Some(message) => Answer {
            status: message.status(),
            body: String::from_utf8_lossy(&message.body).into_owned(),
            at: record.now(),
            after,
        },
        None => Answer { status: 0, body: String::new(), at: record.now(), after },
    };
    let text = match answer.status {
        0 => "no answer".to_owned(),
        200 => format!("200 served, result '{}'", answer.body),
        429 | 503 => format!("{} refused", answer.status),
        status => format!("{status} failed"),
    };
    record.line(&format!("client     {class} {id} ({body}) got: {text}, after {after:.3} s"));
    answer
}

// ---- Discovery ---------------------------------------------------------------------------------------------------

/// Discovery with a list that does not change: answers the whole list, and on a watch an empty line every 2 s.
pub fn start_discovery(hosts: &str) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let list = format!("{{\"seq\":41,\"whole\":true,\"hosts\":[{hosts}]}}\n");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let Some(request) = read_message(&mut stream, &mut Vec::new()) else { return };
                if !request.first.contains("watch=1") {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                    let _ = stream.write_all(head.as_bytes());
                    return;
                }
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let first = format!("{head}{:x}\r\n{list}\r\n", list.len());
                let mut written = stream.write_all(first.as_bytes());
                while written.is_ok() {
                    thread::sleep(Duration::from_secs(2));
                    written = stream.write_all(b"1\r\n\n\r\n");
                }
            });
        }
    });
    Ok(address)
}

/// An entry of discovery's list for a worker that has run for long.
pub fn host_entry(name: &str, address: SocketAddr, zone: &str, kind: &str) -> String {
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"{zone}\",\"class\":\"{kind}\",\"block\":0,\
         \"health\":\"in_service\",\"share\":1.0,\"born_ms\":0}}"
    )
}

// ---- Network -----------------------------------------------------------------------------------------------------

/// A stretch of network between a caller and one address. While `lose_answers` is set, what the called side sends is
/// lost without a sign: the connection stays open and silent for it, and later bytes do not come through either.
pub struct Network {
    pub address: SocketAddr,
    lose_answers: Arc<AtomicBool>,
}

impl Network {
    pub fn to(target: SocketAddr) -> std::io::Result<Network> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let lose_answers = Arc::new(AtomicBool::new(false));
        let lose = Arc::clone(&lose_answers);
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(called) = TcpStream::connect(target) else { continue };
                let (Ok(caller_reader), Ok(called_writer)) = (caller.try_clone(), called.try_clone()) else {
                    continue;
                };
                thread::spawn(move || carry(caller_reader, called_writer, None));
                let lose = Arc::clone(&lose);
                thread::spawn(move || carry(called, caller, Some(lose)));
            }
        });
        Ok(Network { address, lose_answers })
    }

    pub fn lose_answers(&self, lose: bool) {
        self.lose_answers.store(lose, Ordering::SeqCst);
    }
}

/// Carries bytes one way until the source ends, then ends the other side too.
fn carry(mut from: TcpStream, mut to: TcpStream, lose: Option<Arc<AtomicBool>>) {
    let _ = to.set_nodelay(true);
    let mut bytes = [0; 16 * 1024];
    let mut broken = false;
    loop {
        match from.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(count) => {
                // A connection that has lost bytes cannot carry the ones behind them.
                broken |= lose.as_ref().is_some_and(|lose| lose.load(Ordering::SeqCst));
                if !broken && to.write_all(&bytes[..count]).is_err() {
                    break;
                }
            }
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

// ---- Stock workers -----------------------------------------------------------------------------------------------

/// Something that happened at a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// The last byte of an attempt has come, and the worker has taken the job (202).
    Taken,
    /// The worker handed the job back unstarted.
    HandedBack,
    /// The job has begun to run.
    Started,
    /// The job has run to its end.
    Done,
    /// The scheduler gave the attempt up with DELETE, and it ended: waiting or running.
    GivenUp,
}

/// An event in the ledger of all workers. `attempt` counts the attempts of one request over all workers, from 1 on.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: f64,
    pub worker: String,
    pub id: String,
    pub attempt: usize,
    pub body: String,
    pub what: What,
}

/// What all workers saw, in order.
#[derive(Default)]
pub struct Ledger {
    events: Mutex<Vec<Event>>,
}

impl Ledger {
    pub fn events(&self) -> Vec<Event> {
        lock(&self.events).clone()
    }
}

struct Waiting {
    id: String,
    attempt: usize,
    body: String,
}

#[derive(Default)]
struct Jobs {
    waiting: VecDeque<Waiting>,
    /// The attempt that runs, if any.
    running: Option<(String, usize)>,
}

/// A stock worker with one slot and a waiting room.
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    /// Until this time the slot is taken by a job of another scheduler.
    occupied_until: Mutex<f64>,
    room: usize,
    run_time: Duration,
    /// Where the scheduler takes callbacks.
    callbacks: SocketAddr,
    /// A callback that is not answered within this time is repeated.
    callback_wait: Duration,
    jobs: Mutex<Jobs>,
    changed: Condvar,
    ledger: Arc<Ledger>,
    record: Arc<Record>,
}

/// The settings of a worker.
pub struct WorkerPlan {
    pub name: &'static str,
    /// Jobs that may wait; a job beyond that is handed back unstarted.
    pub room: usize,
    pub run_time: Duration,
    pub callback_wait: Duration,
}

impl Worker {
    /// Starts a worker that listens on `listener`.
    pub fn start(
        plan: WorkerPlan,
        listener: TcpListener,
        callbacks: SocketAddr,
        ledger: &Arc<Ledger>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Worker>> {
        let worker = Arc::new(Worker {
            name: plan.name.to_owned(),
            address: listener.local_addr()?,
            occupied_until: Mutex::new(0.0),
            room: plan.room,
            run_time: plan.run_time,
            callbacks,
            callback_wait: plan.callback_wait,
            jobs: Mutex::default(),
            changed: Condvar::new(),
            ledger: Arc::clone(ledger),
            record: Arc::clone(record),
        });
        let own = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = Arc::clone(&own);
                thread::spawn(move || own.serve(stream));
            }
        });
        let own = Arc::clone(&worker);
        thread::spawn(move || own.run_jobs());
        Ok(worker)
    }

    /// Lets a job of another scheduler take the slot for this long.
    pub fn occupy_for(&self, time: Duration) {
        *lock(&self.occupied_until) = self.record.now() + time.as_secs_f64();
        self.record
            .line(&format!("{:10} its slot is taken by another scheduler's job for {time:?}", self.name));
    }

    fn note(&self, id: &str, attempt: usize, body: &str, what: What) {
        self.record.line(&format!("{:10} {id} ({body}) attempt {attempt}: {what:?}", self.name));
        let event = Event {
            at: self.record.now(),
            worker: self.name.clone(),
            id: id.to_owned(),
            attempt,
            body: body.to_owned(),
            what,
        };
        lock(&self.ledger.events).push(event);
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut unread, mut carried) = (Vec::new(), None);
        while let Some(message) = read_message(&mut stream, &mut unread) {
            let answer: &[u8] = match message.first.split(' ').next() {
                Some("POST") => {
                    self.take(&message);
                    carried = Some(message.header("request-id").to_owned());
                    b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
                }
                Some("DELETE") => {
                    let target = message.first.split(' ').nth(1).unwrap_or("");
                    self.give_up(target.trim_start_matches("/jobs/"));
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                }
                _ => b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            };
            if stream.write_all(answer).is_err() {
                break;
            }
        }
        if let Some(id) = carried {
            self.record.line(&format!("{:10} the connection that {id} came by has ended", self.name));
        }
    }

    /// Takes a job: it waits for the slot, or, if the waiting room is full, is handed back unstarted.
    fn take(self: &Arc<Self>, message: &Message) {
        let id = message.header("request-id").to_owned();
        let body = String::from_utf8_lossy(&message.body).into_owned();
        let attempt = {
            let mut events = lock(&self.ledger.events);
            let number =
                1 + events.iter().filter(|event| event.id == id && event.what == What::Taken).count();
            events.push(Event {
                at: self.record.now(),
                worker: self.name.clone(),
                id: id.clone(),
                attempt: number,
                body: body.clone(),
                what: What::Taken,
            });
            number
        };
        let told = message.header("request-timeout");
        self.record.line(&format!(
            "{:10} {id} ({body}) attempt {attempt}: came (told {told} s), taken with 202",
            self.name
        ));
        let occupied = self.record.now() < *lock(&self.occupied_until);
        let mut jobs = lock(&self.jobs);
        let is_free = !occupied && jobs.running.is_none() && jobs.waiting.is_empty();
        if is_free || jobs.waiting.len() < self.room {
            jobs.waiting.push_back(Waiting { id, attempt, body });
            self.changed.notify_all();
        } else {
            drop(jobs);
            self.note(&id, attempt, &body, What::HandedBack);
            let own = Arc::clone(self);
            thread::spawn(move || own.tell(&id, "returned", ""));
        }
    }

    /// Handles DELETE: the job no longer waits, or stops.
    fn give_up(&self, id: &str) {
        let mut jobs = lock(&self.jobs);
        let place = jobs.waiting.iter().position(|waiting| waiting.id == id);
        let waited = place.and_then(|place| jobs.waiting.remove(place));
        let ran = jobs.running.take_if(|running| running.0 == id);
        self.changed.notify_all();
        drop(jobs);
        self.record.line(&format!("{:10} DELETE of {id} came", self.name));
        if let Some(Waiting { id, attempt, body }) = waited {
            self.note(&id, attempt, &body, What::GivenUp);
        }
        if let Some((id, attempt)) = ran {
            self.note(&id, attempt, "", What::GivenUp);
        }
    }

    /// Runs the waiting jobs one after the other.
    fn run_jobs(self: Arc<Self>) {
        loop {
            let (id, attempt, body) = {
                let mut jobs = lock(&self.jobs);
                loop {
                    let occupied = self.record.now() < *lock(&self.occupied_until);
                    if !occupied && let Some(next) = jobs.waiting.pop_front() {
                        jobs.running = Some((next.id.clone(), next.attempt));
                        break (next.id, next.attempt, next.body);
                    }
                    jobs = match self.changed.wait_timeout(jobs, Duration::from_millis(10)) {
                        Ok((jobs, _)) => jobs,
                        Err(poisoned) => poisoned.into_inner().0,
                    };
                }
            };
            self.note(&id, attempt, &body, What::Started);
            let (own, started) = (Arc::clone(&self), id.clone());
            thread::spawn(move || own.tell(&started, "started", ""));
            thread::sleep(self.run_time);
            let finished = lock(&self.jobs).running.take_if(|running| running.0 == id).is_some();
            if finished {
                self.note(&id, attempt, &body, What::Done);
                let own = Arc::clone(&self);
                let result = format!(",\"result\":\"{body} done by {}\"", self.name);
                thread::spawn(move || own.tell(&id, "done", &result));
            }
        }
    }

    /// Calls back, and repeats the call until it is answered, at most ten times.
    fn tell(&self, id: &str, state: &str, more: &str) {
        let body = format!("{{\"id\":\"{id}\",\"from\":\"{}\",\"state\":\"{state}\"{more}}}", self.name);
        let request = format!(
            "POST /_jobs/news HTTP/1.1\r\nHost: stock.svc\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        for call_number in 1..=10 {
            let status = call(self.callbacks, request.as_bytes(), self.callback_wait)
                .map(|answer| answer.status())
                .filter(|status| matches!(status, 200 | 204));
            let text = match status {
                Some(status) => format!("answered {status}"),
                None => "not answered".to_owned(),
            };
            self.record.line(&format!("{:10} {id} calls '{state}' (call {call_number}): {text}", self.name));
            if status.is_some() {
                return;
            }
        }
    }
}

// ---- Sites ----------------------------------------------------------------------------------------------------

/// The settings of the site head-office-stock, for one scheduler and one zone.
pub fn head_office_stock() -> String {
    let class = |name: &str, aim_ms: u32, deadline_s: u32, effect: &str, worth: u32| {
        format!(
            "{{\"name\":\"{name}\",\"aim_us\":{aim_ms}000,\"deadline_us\":{deadline_s}000000,\"effect\":\"{effect}\",\
             \"group\":\"all\",\"late_worth\":0.0,\"memory_span_us\":5000000,\"stream\":false,\"worth\":{worth}.0}}"
        )
    };
    let classes = [
        class("stock-check", 150, 5, "read_like", 1),
        class("stock-report", 400, 15, "read_like", 2),
        class("issue-parcel", 100, 5, "non_idempotent", 2),
        class("pallet-transfer", 750, 10, "non_idempotent", 8),
    ];
    format!(
        r#"{{"azs":["windhoek"],"callers":{{"marks_retry":false}},
        "ceilings":{{"cancelling":true,"conn_idle_us":5000000,"connect_timeout_us":250000,"cpu_us_per_request":0.0,
        "cpu_us_per_s":8000,"max_open":20000,"max_retry_after_us":2000000,"may_duplicate":true,"most_tries":6,"peers":true,
        "probes":true,"retry_after":false,"streams_per_conn":1}},"counted_by":"work",
        "extra":{{"class_kind":[-1,-1,-1,-1],"class_priority":[0,0,0,1],"class_stretch":[2.5,2.0,2.5,2.5],
        "progress_us":1000000,"queue_order":"fifo","report_x0":"free slots","tells_start":true}},
        "kinds":["small-fast","mid-std","mid-slow"],"layer":0,"n_instances":1,
        "orgs":[],"over_share_worth":0.2,"rank":0,"registry_mode":"subscribe",
        "report":{{"fields":["utilization","x0","errors_per_s"],"how":"answers"}},"request_classes":[{}],
        "rules":{{"answer_slack_us":8000,"ask_every_us":10000000,"cold_us":8600000,"drain_grace_us":2000000,
        "fall_multiple":4.0,"fall_us":1500000,"start_capacity":0.3}},"tick_us":2000,"tiers":["stock-workers"],
        "weight_source":"nominal","workload":"jobs","zone":"windhoek"}}"#,
        classes.join(",")
    )
}

/// The settings of the site kirkpinar-onarim, for one scheduler and one zone: never two attempts of a request at once,
/// lists are pushed, no load reports, workers tell of starts.
pub fn kirkpinar_onarim() -> String {
    let class = |name: &str,
                 aim_ms: u32,
                 deadline_s: u32,
                 effect: &str,
                 span_s: u32,
                 worth: u32,
                 late: f64| {
        format!(
            "{{\"name\":\"{name}\",\"aim_us\":{aim_ms}000,\"deadline_us\":{deadline_s}000000,\"effect\":\"{effect}\",\
             \"group\":\"all\",\"late_worth\":{late},\"memory_span_us\":{span_s}000000,\"stream\":false,\
             \"worth\":{worth}.0}}"
        )
    };
    let classes = [
        class("durum-sorgu", 150, 5, "read_like", 5, 1, 0.3),
        class("parca-ayir", 600, 25, "idempotency_key", 40, 8, 0.25),
        class("fatura-kes", 600, 8, "non_idempotent", 5, 8, 0.25),
    ];
    format!(
        r#"{{"azs":["merkez"],"callers":{{"marks_retry":true}},
        "ceilings":{{"cancelling":true,"conn_idle_us":10000000,"connect_timeout_us":250000,"cpu_us_per_request":10.0,
        "cpu_us_per_s":8000,"max_open":20000,"max_retry_after_us":2000000,"may_duplicate":false,"most_tries":4,"peers":false,
        "probes":true,"retry_after":true,"streams_per_conn":1}},"counted_by":"work",
        "extra":{{"class_kind":[-1,-1,-1],"class_priority":[0,1,1],"class_stretch":[2.0,2.0,2.5],
        "progress_us":0,"queue_order":"fifo","report_x0":"free slots","tells_start":true}},
        "kinds":["cift-cekirdek","uc-cekirdek"],"layer":0,"n_instances":1,
        "orgs":[],"over_share_worth":0.2,"rank":0,"registry_mode":"automatic",
        "report":{{"fields":[],"how":"none"}},"request_classes":[{}],
        "rules":{{"answer_slack_us":8000,"ask_every_us":10000000,"cold_us":9000000,"drain_grace_us":2000000,
        "fall_multiple":3.0,"fall_us":1000000,"start_capacity":0.3}},"tick_us":2000,"tiers":["is-sunuculari"],
        "weight_source":"nominal","workload":"jobs","zone":"merkez"}}"#,
        classes.join(",")
    )
}

// ---- Platform ----------------------------------------------------------------------------------------------------

/// A free port on a loopback address.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A running scheduler; it is killed when this value is dropped.
pub struct Scheduler {
    child: Child,
    pub listen: SocketAddr,
    log: PathBuf,
    /// Holds the process's id while it runs, for the script to end it if the case is ended from outside.
    pid_file: PathBuf,
}

/// What the platform tells a scheduler.
pub struct SchedulerPlan<'a> {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The entries of the list as last known.
    pub hosts: &'a str,
    pub settings: &'a str,
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Scheduler {
    /// Starts the scheduler with the command `run` of the deploy file, from the project's root.
    pub fn start(root: &Path, tmp: &Path, plan: &SchedulerPlan<'_>) -> Result<Scheduler, String> {
        let fail = |what: &str, error: std::io::Error| format!("{what}: {error}");
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))
            .map_err(|error| fail("the deploy file", error))?;
        let command = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.split('"').next())
            .ok_or("the deploy file has no 'run'")?;
        let own = tmp.join("scheduler");
        fs::create_dir_all(&own).map_err(|error| fail("the temporary folder", error))?;
        let peer = free_address().map_err(|error| fail("a free port", error))?;
        let SchedulerPlan { listen, discovery, hosts, settings, memory_mb, sockets } = plan;
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\
             \"peer_listen\":\"{peer}\",\"peers\":[\"{peer}\"],\
             \"known\":{{\"seq\":41,\"whole\":true,\"hosts\":[{hosts}]}},\"settings\":{settings}}}"
        );
        let (config_path, log) = (tmp.join("config.json"), tmp.join("scheduler.log"));
        fs::write(&config_path, config).map_err(|error| fail("the configuration", error))?;
        let out = File::create(&log).map_err(|error| fail("the log", error))?;
        let err = out.try_clone().map_err(|error| fail("the log", error))?;
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .current_dir(root)
            .env("RELAY_CONFIG", &config_path)
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", listen.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("TMPDIR", &own)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(|error| fail("the scheduler", error))?;
        let pid_file = tmp.join("scheduler.pid");
        let _ = fs::write(&pid_file, child.id().to_string());
        Ok(Scheduler { child, listen: *listen, log, pid_file })
    }

    /// Waits until `GET /up` returns 200, for 15 s at most.
    pub fn wait_until_up(&mut self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.exited() {
                return Err(format!("the scheduler has ended: {}", self.log_text()));
            }
            let request = b"GET /up HTTP/1.1\r\nHost: stock.svc\r\n\r\n";
            let answer = call(self.listen, request, Duration::from_millis(500));
            if answer.is_some_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("the scheduler is not up after 15 s: {}", self.log_text()))
    }

    /// Whether the process has ended.
    pub fn exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.pid_file);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---- Cases -------------------------------------------------------------------------------------------------------

/// What a case is run with.
pub struct Setting {
    pub root: PathBuf,
    pub tmp: PathBuf,
    pub record: Arc<Record>,
    /// False with `TROUBLE=0`: the same run without the disruption.
    pub trouble: bool,
}

/// Runs a case: arguments are the project's root, the case's folder and a temporary folder. The case returns what
/// broke the rule, one line each. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn run_case(case: impl FnOnce(&Setting) -> Result<Vec<String>, String>) -> ! {
    let arguments: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let [root, folder, tmp] = arguments.as_slice() else {
        eprintln!("arguments: ROOT CASE_FOLDER TEMPORARY_FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            std::process::exit(2);
        }
    };
    // No case may run for longer than 120 s.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        eprintln!("the case has not ended after 110 s");
        std::process::exit(2);
    });
    record.line(if trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
    let setting = Setting { root: root.clone(), tmp: tmp.clone(), record, trouble };
    let outcome = case(&setting);
    let (text, code) = match &outcome {
        Ok(broken) if broken.is_empty() => ("result: the rule held".to_owned(), 0),
        Ok(broken) => (format!("result: the rule was BROKEN: {}", broken.join("; ")), 1),
        Err(error) => (format!("result: the case could not run: {error}"), 2),
    };
    setting.record.line(&text);
    std::process::exit(code);
}
