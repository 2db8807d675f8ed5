//! Stand-in clients: who submits what to which scheduler, on which connection, and what came of it.

use super::counts::Flow;
use super::harness::{Due, Harness, Role};
use super::message::{self, Message};
use super::worker_pool::result;
use mio::net::TcpStream;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// An answer may come so long after a client's patience before it counts as lost: the pages' slack and 50 ms, and what a
/// busy machine may add.
const SLACK: Duration = Duration::from_millis(1_000);

/// A job that a client submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// When, from the beginning.
    pub at: Duration,
    /// To the scheduler of this rank.
    pub rank: usize,
    /// The id of the request.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// Headers beside the id.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: String,
    /// An answer within this time is in time.
    pub aim: Duration,
    /// For so long the client waits.
    pub patience: Duration,
}

/// What came of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Its kind.
    pub told: Told,
    /// From submission to answer.
    pub time: Duration,
}

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The worker's result.
    Served,
    /// Come again.
    Refused,
    /// It failed.
    Failed,
    /// Nothing in all its time, or the connection ended without an answer, or a result that no worker made.
    Nothing,
}

/// See the head of this file.
pub struct Submitters {
    jobs: Vec<Submission>,
    outcomes: Vec<Option<Outcome>>,
    begun: Vec<Option<Instant>>,
    ranks: HashMap<String, usize>,
    /// By rank: connections at rest.
    idle: Vec<Vec<usize>>,
    /// What is under way on a connection; whether that connection had been used before.
    out: HashMap<usize, (usize, bool)>,
}

impl Submitters {
    /// Clients of so many schedulers.
    pub fn new(schedulers: usize) -> Submitters {
        Submitters {
            jobs: Vec::new(),
            outcomes: Vec::new(),
            begun: Vec::new(),
            ranks: HashMap::new(),
            idle: vec![Vec::new(); schedulers],
            out: HashMap::new(),
        }
    }

    /// Takes on these jobs; gives their numbers.
    pub fn take(&mut self, jobs: Vec<Submission>) -> std::ops::Range<usize> {
        let first = self.jobs.len();
        self.ranks.extend(jobs.iter().map(|job| (job.id.clone(), job.rank)));
        self.jobs.extend(jobs);
        self.outcomes.resize(self.jobs.len(), None);
        self.begun.resize(self.jobs.len(), None);
        first..self.jobs.len()
    }

    /// A job by its number.
    pub fn job(&self, nr: usize) -> &Submission {
        &self.jobs[nr]
    }

    /// All jobs.
    pub fn jobs(&self) -> &[Submission] {
        &self.jobs
    }

    /// What came of them.
    pub fn outcomes(&self) -> &[Option<Outcome>] {
        &self.outcomes
    }

    /// The scheduler that a request was submitted to.
    pub fn rank_of(&self, id: &str) -> Option<usize> {
        self.ranks.get(id).copied()
    }
}

impl Harness {
    /// A client submits a job.
    pub(super) fn begin_job(&mut self, now: Instant, nr: usize) {
        self.submitters.begun[nr] = Some(now);
        let patience = self.submitters.jobs[nr].patience;
        self.set(now + patience + SLACK, Due::Expire(nr));
        let rank = self.submitters.jobs[nr].rank;
        match self.submitters.idle[rank].pop() {
            Some(token) => self.write_job(nr, token, true),
            None => self.write_anew(now, nr),
        }
    }

    fn write_anew(&mut self, now: Instant, nr: usize) {
        let rank = self.submitters.jobs[nr].rank;
        let made = self.homes[rank].and_then(|at| TcpStream::connect(at).ok());
        match made.and_then(|stream| self.hold(stream, Role::Client(rank))) {
            Some(token) => self.write_job(nr, token, false),
            None => self.conclude(now, nr, Told::Nothing),
        }
    }

    fn write_job(&mut self, nr: usize, token: usize, used: bool) {
        let job = &self.submitters.jobs[nr];
        let mut headers = vec![("Host", "origin.svc".to_owned()), ("Request-Id", job.id.clone())];
        headers.extend(job.headers.iter().cloned());
        let bytes = message::write_request("POST", &job.target, &headers, &job.body);
        self.submitters.out.insert(token, (nr, used));
        self.counts.add(Flow::JobsSent, bytes.len());
        self.put(token, &bytes);
    }

    fn conclude(&mut self, now: Instant, nr: usize, told: Told) {
        if self.submitters.outcomes[nr].is_none() {
            let time = self.submitters.begun[nr].map_or(Duration::ZERO, |begun| now - begun);
            self.submitters.outcomes[nr] = Some(Outcome { told, time });
        }
    }

    /// A scheduler has answered on this connection.
    pub(super) fn job_answered(&mut self, now: Instant, token: usize, rank: usize, message: &Message) {
        self.counts.add(Flow::JobsAnswered, message.length);
        let Some((nr, _)) = self.submitters.out.remove(&token) else { return self.close(token) };
        let sound = message.body == result(&self.submitters.jobs[nr].id).as_bytes();
        let told = match message.status {
            200 if sound => Told::Served,
            200 => Told::Nothing,
            429 | 503 => Told::Refused,
            _ => Told::Failed,
        };
        self.conclude(now, nr, told);
        if message.last() {
            self.close(token);
        } else {
            self.submitters.idle[rank].push(token);
        }
    }

    /// A client's connection has ended.
    pub(super) fn client_broke(&mut self, token: usize, rank: usize) {
        self.submitters.idle[rank].retain(|&idle| idle != token);
        let now = Instant::now();
        match self.submitters.out.remove(&token) {
            // A kept connection may end while a request crosses that: it is sent once more, on a new one.
            Some((nr, true)) if self.submitters.outcomes[nr].is_none() => self.write_anew(now, nr),
            Some((nr, _)) => self.conclude(now, nr, Told::Nothing),
            None => {}
        }
    }

    /// A client's patience has ended.
    pub(super) fn expire_job(&mut self, now: Instant, nr: usize) {
        if self.submitters.outcomes[nr].is_some() {
            return;
        }
        self.conclude(now, nr, Told::Nothing);
        let held = self.submitters.out.iter().find(|(_, (job, _))| *job == nr).map(|(&token, _)| token);
        if let Some(token) = held {
            self.submitters.out.remove(&token);
            self.close(token);
        }
    }
}
