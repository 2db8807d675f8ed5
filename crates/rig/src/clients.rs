//! Simulated clients: an open load, whose jobs arrive at planned times, and a closed load, where each client submits
//! its next job upon the answer to the previous one.

use crate::load::{CLASSES, Job, Plan};
use crate::workers::{GearmanConnection, exchange};
use calicolb_gearman::packet::PacketType;
use indicatif::ProgressBar;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a client waits beyond its timeout. A job without an answer by then counts as unanswered.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Final answer to a job, from the client's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The result of a worker for this job.
    Served,
    /// A refusal; the client may try again (HTTP 503 or 429, Gearman error BUSY).
    Refused,
    /// A failure; the job may have run.
    Failed,
    /// No answer, a connection error, or a result that no worker gave for this job.
    Missing,
}

/// Outcome of a job.
pub struct JobOutcome {
    /// Index of the job in the plan.
    pub job: usize,
    /// Answer that the client received.
    pub answer: Answer,
    /// Time from the submission to the answer.
    pub time: Duration,
}

/// Idle connections for reuse.
#[derive(Default)]
struct Pool {
    http: Mutex<Vec<TcpStream>>,
    gearman: Mutex<Vec<GearmanConnection>>,
}

/// Takes an idle connection out of the pool.
fn take_connection<T>(pool: &Mutex<Vec<T>>) -> Option<T> {
    pool.lock().unwrap_or_else(PoisonError::into_inner).pop()
}

/// Returns an idle connection to the pool.
fn return_connection<T>(pool: &Mutex<Vec<T>>, connection: T) {
    pool.lock().unwrap_or_else(PoisonError::into_inner).push(connection);
}

/// Submits each job of the plan at its arrival time, counted from `started_at`, and returns the outcomes in the order
/// of the answers. `at` holds the HTTP and the Gearman address of the scheduler; `gearman` tells for a job's index
/// whether the job is submitted over Gearman.
pub fn run_plan(
    plan: &Plan,
    started_at: Instant,
    at: (SocketAddr, SocketAddr),
    gearman: impl Fn(usize) -> bool,
    bar: &ProgressBar,
) -> Vec<JobOutcome> {
    let pool = Arc::new(Pool::default());
    let (sender, outcomes) = channel();
    thread::scope(|scope| {
        for (index, job) in plan.jobs.iter().enumerate() {
            thread::sleep((started_at + job.arrival).saturating_duration_since(Instant::now()));
            let (pool, sender, by_gearman) = (Arc::clone(&pool), sender.clone(), gearman(index));
            scope.spawn(move || {
                let since = Instant::now();
                let answer = if by_gearman { submit(&pool, at.1, job) } else { post(&pool, at.0, job) };
                let _ = sender.send(JobOutcome { job: index, answer, time: since.elapsed() });
                bar.inc(1);
            });
        }
    });
    drop(sender);
    outcomes.into_iter().collect()
}

/// Returns the job's body: its id and its work in microseconds.
fn job_body(job: &Job) -> String {
    format!("{} {}", job.id, job.work.as_micros())
}

/// Submits a job over HTTP and waits for the answer.
fn post(pool: &Pool, at: SocketAddr, job: &Job) -> Answer {
    let class = &CLASSES[job.class];
    let (client_timeout, body) = (Duration::from_millis(class.client_timeout_ms), job_body(job));
    let request = format!(
        "POST /{0} HTTP/1.1\r\nHost: s\r\nRequest-Id: {1}\r\nRequest-Class: {0}\r\nRequest-Timeout: {2:.3}\r\nContent-Length: {3}\r\n\r\n{body}",
        class.name,
        job.id,
        client_timeout.as_secs_f64(),
        body.len()
    );
    let Some(stream) = take_connection(&pool.http).or_else(|| TcpStream::connect(at).ok()) else {
        return Answer::Missing;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(client_timeout + ANSWER_MARGIN));
    let Ok((head, result)) = exchange(&stream, request.as_bytes()) else { return Answer::Missing };
    return_connection(&pool.http, stream);
    match head.split(' ').nth(1) {
        Some("200") if result == format!("done {}", job.id).as_bytes() => Answer::Served,
        Some("503" | "429") => Answer::Refused,
        // A result that no worker gave for this job counts as no answer.
        Some("200") => Answer::Missing,
        _ => Answer::Failed,
    }
}

/// Submits a job over Gearman and waits for the answer.
fn submit(pool: &Pool, at: SocketAddr, job: &Job) -> Answer {
    let class = &CLASSES[job.class];
    let wait = Duration::from_millis(class.client_timeout_ms) + ANSWER_MARGIN;
    let Some(mut connection) = take_connection(&pool.gearman).or_else(|| GearmanConnection::connect(at).ok())
    else {
        return Answer::Missing;
    };
    let fields = [class.name.as_bytes(), job.id.as_bytes(), job_body(job).as_bytes()].map(<[u8]>::to_vec);
    let fields = fields.each_ref().map(Vec::as_slice);
    if connection.send(PacketType::SubmitJob, &fields).is_err() {
        return Answer::Missing;
    }
    let answer = loop {
        match connection.receive::<2>(Some(wait)) {
            Ok((PacketType::WorkComplete, [_, result]))
                if result == format!("done {}", job.id).as_bytes() =>
            {
                break Answer::Served;
            }
            Ok((PacketType::WorkFail, _)) => break Answer::Failed,
            Ok((PacketType::Error, [code, _])) if code == b"BUSY" => break Answer::Refused,
            Ok((PacketType::JobCreated | PacketType::WorkStatus | PacketType::WorkData, _)) => {}
            Ok(_) | Err(_) => return Answer::Missing,
        }
    };
    return_connection(&pool.gearman, connection);
    answer
}

/// Job counts of a closed load.
pub struct ClosedLoadCounts {
    /// Jobs with a result.
    pub served: usize,
    /// Jobs refused for now; the client may try again.
    pub refused: usize,
    /// Jobs that failed or were not answered.
    pub failed: usize,
}

/// Runs `clients` clients for `span`, each with one job at a time and without a pause between jobs. `at` holds the HTTP
/// and the Gearman address of the scheduler.
pub fn run_closed_load(
    at: (SocketAddr, SocketAddr),
    gearman: bool,
    clients: usize,
    span: Duration,
) -> ClosedLoadCounts {
    let pool = Pool::default();
    let end = Instant::now() + span;
    let counts: [AtomicUsize; 3] = Default::default();
    thread::scope(|scope| {
        for client in 0..clients {
            let (pool, counts) = (&pool, &counts);
            scope.spawn(move || {
                for index in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let (arrival, id) = (Duration::ZERO, format!("c{client}-{index}"));
                    let job = Job { arrival, class: 0, work: Duration::ZERO, id };
                    let answer = if gearman { submit(pool, at.1, &job) } else { post(pool, at.0, &job) };
                    let counter = match answer {
                        Answer::Served => 0,
                        Answer::Refused => 1,
                        Answer::Failed | Answer::Missing => 2,
                    };
                    counts[counter].fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    let [served, refused, failed] = counts.map(AtomicUsize::into_inner);
    ClosedLoadCounts { served, refused, failed }
}
