//! Stand-in clients: an open load, whose jobs come when they come, and one that never rests.

use crate::load::{CLASSES, Job, Plan};
use crate::workers::{Line, exchange};
use calicolb_gearman::packet::PacketType;
use indicatif::ProgressBar;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A client goes on waiting for so long after its time is up: no answer by then is none.
const GRACE: Duration = Duration::from_secs(1);

/// The final answer that a client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The result.
    Served,
    /// Come again.
    Refused,
    /// It may have run.
    Failed,
    /// No answer.
    Nothing,
}

/// What came of a job.
pub struct Outcome {
    /// Its place in the plan.
    pub job: usize,
    /// What its client was told.
    pub told: Told,
    /// How long that took.
    pub time: Duration,
}

/// Connections at rest, to be used again.
#[derive(Default)]
struct Pool {
    http: Mutex<Vec<TcpStream>>,
    gearman: Mutex<Vec<Line>>,
}

fn take<T>(pool: &Mutex<Vec<T>>) -> Option<T> {
    pool.lock().unwrap_or_else(PoisonError::into_inner).pop()
}

fn give<T>(pool: &Mutex<Vec<T>>, conn: T) {
    pool.lock().unwrap_or_else(PoisonError::into_inner).push(conn);
}

/// Plays a plan, each job in its time. `gearman`: which jobs are submitted by Gearman.
pub fn play(
    plan: &Plan,
    begun: Instant,
    at: (SocketAddr, SocketAddr),
    gearman: impl Fn(usize) -> bool,
    bar: &ProgressBar,
) -> Vec<Outcome> {
    let pool = Arc::new(Pool::default());
    let (tell, outcomes) = channel();
    thread::scope(|scope| {
        for (nr, job) in plan.jobs.iter().enumerate() {
            thread::sleep((begun + job.at).saturating_duration_since(Instant::now()));
            let (pool, tell, by_gearman) = (Arc::clone(&pool), tell.clone(), gearman(nr));
            scope.spawn(move || {
                let since = Instant::now();
                let told = if by_gearman { submit(&pool, at.1, job) } else { post(&pool, at.0, job) };
                let _ = tell.send(Outcome { job: nr, told, time: since.elapsed() });
                bar.inc(1);
            });
        }
    });
    drop(tell);
    outcomes.into_iter().collect()
}

fn body(job: &Job) -> String {
    format!("{} {}", job.id, job.work.as_micros())
}

fn post(pool: &Pool, at: SocketAddr, job: &Job) -> Told {
    let class = &CLASSES[job.class];
    let (patience, body) = (Duration::from_millis(class.give_up_ms), body(job));
    let request = format!(
        "POST /{0} HTTP/1.1\r\nHost: s\r\nRequest-Id: {1}\r\nRequest-Class: {0}\r\nRequest-Timeout: {2:.3}\r\nContent-Length: {3}\r\n\r\n{body}",
        class.name,
        job.id,
        patience.as_secs_f64(),
        body.len()
    );
    let Some(stream) = take(&pool.http).or_else(|| TcpStream::connect(at).ok()) else { return Told::Nothing };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience + GRACE));
    let Ok((head, result)) = exchange(&stream, request.as_bytes()) else { return Told::Nothing };
    give(&pool.http, stream);
    match head.split(' ').nth(1) {
        Some("200") if result == format!("done {}", job.id).as_bytes() => Told::Served,
        Some("503" | "429") => Told::Refused,
        // A result that no worker gave for this job is none.
        Some("200") => Told::Nothing,
        _ => Told::Failed,
    }
}

fn submit(pool: &Pool, at: SocketAddr, job: &Job) -> Told {
    let class = &CLASSES[job.class];
    let wait = Duration::from_millis(class.give_up_ms) + GRACE;
    let Some(mut line) = take(&pool.gearman).or_else(|| Line::connect(at).ok()) else { return Told::Nothing };
    let fields = [class.name.as_bytes(), job.id.as_bytes(), body(job).as_bytes()].map(<[u8]>::to_vec);
    let fields = fields.each_ref().map(Vec::as_slice);
    if line.send(PacketType::SubmitJob, &fields).is_err() {
        return Told::Nothing;
    }
    let told = loop {
        match line.next::<2>(Some(wait)) {
            Ok((PacketType::WorkComplete, [_, result]))
                if result == format!("done {}", job.id).as_bytes() =>
            {
                break Told::Served;
            }
            Ok((PacketType::WorkFail, _)) => break Told::Failed,
            Ok((PacketType::Error, [code, _])) if code == b"BUSY" => break Told::Refused,
            Ok((PacketType::JobCreated | PacketType::WorkStatus | PacketType::WorkData, _)) => {}
            Ok(_) | Err(_) => return Told::Nothing,
        }
    };
    give(&pool.gearman, line);
    told
}

/// What came of a rush.
pub struct Done {
    /// Jobs with a result.
    pub served: usize,
    /// Jobs to come again.
    pub refused: usize,
    /// Jobs that failed, or were not answered.
    pub failed: usize,
}

/// So many clients, each with the next job as soon as it has the answer to the one before.
pub fn rush(at: (SocketAddr, SocketAddr), gearman: bool, clients: usize, span: Duration) -> Done {
    let pool = Pool::default();
    let until = Instant::now() + span;
    let counts: [AtomicUsize; 3] = Default::default();
    thread::scope(|scope| {
        for client in 0..clients {
            let (pool, counts) = (&pool, &counts);
            scope.spawn(move || {
                for nr in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let (at_, id) = (Duration::ZERO, format!("c{client}-{nr}"));
                    let job = Job { at: at_, class: 0, work: Duration::ZERO, id };
                    let told = if gearman { submit(pool, at.1, &job) } else { post(pool, at.0, &job) };
                    let place = match told {
                        Told::Served => 0,
                        Told::Refused => 1,
                        Told::Failed | Told::Nothing => 2,
                    };
                    counts[place].fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    let [served, refused, failed] = counts.map(AtomicUsize::into_inner);
    Done { served, refused, failed }
}
