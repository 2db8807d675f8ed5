//! Stand-in clients: who submits what to which scheduler, on which connection, and what came of it.

use super::counts::Flow;
use super::harness::{Harness, Role, TimerEvent};
use super::message::{self, Message};
use super::worker_pool::result;
use mio::net::TcpStream;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// An answer may come so long after a client's patience before it counts as lost: the pages' slack and 50 ms, and what a
/// awaiting_answer machine may add.
const ANSWER_SLACK: Duration = Duration::from_millis(1_000);

/// A job that a client submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// When, from the beginning.
    pub offset: Duration,
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
    pub client_timeout: Duration,
}

/// What came of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Its kind.
    pub kind: AnswerKind,
    /// From submission to answer.
    pub latency: Duration,
}

/// What a client was kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The worker's result.
    Served,
    /// Come again.
    Refused,
    /// It failed.
    Failed,
    /// Nothing in all its time, or the connection ended without an answer, or a result that no worker stream.
    NoAnswer,
}

/// See the head of this file.
pub struct Submitters {
    jobs: Vec<Submission>,
    outcomes: Vec<Option<Outcome>>,
    submitted_at: Vec<Option<Instant>>,
    rank_by_id: HashMap<String, usize>,
    /// By rank: connections at rest.
    idle_connections: Vec<Vec<usize>>,
    /// What is under way on a connection; whether that connection had been reused before.
    in_flight: HashMap<usize, (usize, bool)>,
}

impl Submitters {
    /// Clients of so many schedulers.
    pub fn new(schedulers: usize) -> Submitters {
        Submitters {
            jobs: Vec::new(),
            outcomes: Vec::new(),
            submitted_at: Vec::new(),
            rank_by_id: HashMap::new(),
            idle_connections: vec![Vec::new(); schedulers],
            in_flight: HashMap::new(),
        }
    }

    /// Takes on these jobs; gives their numbers.
    pub fn add_jobs(&mut self, jobs: Vec<Submission>) -> std::ops::Range<usize> {
        let first = self.jobs.len();
        self.rank_by_id.extend(jobs.iter().map(|job| (job.id.clone(), job.rank)));
        self.jobs.extend(jobs);
        self.outcomes.resize(self.jobs.len(), None);
        self.submitted_at.resize(self.jobs.len(), None);
        first..self.jobs.len()
    }

    /// A job by its number.
    pub fn job(&self, index: usize) -> &Submission {
        &self.jobs[index]
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
        self.rank_by_id.get(id).copied()
    }
}

impl Harness {
    /// A client submits a job.
    pub(super) fn submit_job(&mut self, now: Instant, index: usize) {
        self.submitters.submitted_at[index] = Some(now);
        let client_timeout = self.submitters.jobs[index].client_timeout;
        self.set_timer(now + client_timeout + ANSWER_SLACK, TimerEvent::Expire(index));
        let rank = self.submitters.jobs[index].rank;
        match self.submitters.idle_connections[rank].pop() {
            Some(token) => self.write_job(index, token, true),
            None => self.write_on_new_connection(now, index),
        }
    }

    fn write_on_new_connection(&mut self, now: Instant, index: usize) {
        let rank = self.submitters.jobs[index].rank;
        let stream = self.scheduler_addresses[rank].and_then(|at| TcpStream::connect(at).ok());
        match stream.and_then(|stream| self.add_connection(stream, Role::Client(rank))) {
            Some(token) => self.write_job(index, token, false),
            None => self.finish_job(now, index, AnswerKind::NoAnswer),
        }
    }

    fn write_job(&mut self, index: usize, token: usize, reused: bool) {
        let job = &self.submitters.jobs[index];
        let mut headers = vec![("Host", "origin.svc".to_owned()), ("Request-Id", job.id.clone())];
        headers.extend(job.headers.iter().cloned());
        let bytes = message::write_request("POST", &job.target, &headers, &job.body);
        self.submitters.in_flight.insert(token, (index, reused));
        self.counts.add(Flow::JobsSent, bytes.len());
        self.send(token, &bytes);
    }

    fn finish_job(&mut self, now: Instant, index: usize, kind: AnswerKind) {
        if self.submitters.outcomes[index].is_none() {
            let latency =
                self.submitters.submitted_at[index].map_or(Duration::ZERO, |submitted_at| now - submitted_at);
            self.submitters.outcomes[index] = Some(Outcome { kind, latency });
        }
    }

    /// A scheduler has answered on this connection.
    pub(super) fn on_job_answer(&mut self, now: Instant, token: usize, rank: usize, message: &Message) {
        self.counts.add(Flow::JobsAnswered, message.length);
        let Some((index, _)) = self.submitters.in_flight.remove(&token) else { return self.close(token) };
        let is_expected_result = message.body == result(&self.submitters.jobs[index].id).as_bytes();
        let kind = match message.status {
            200 if is_expected_result => AnswerKind::Served,
            200 => AnswerKind::NoAnswer,
            429 | 503 => AnswerKind::Refused,
            _ => AnswerKind::Failed,
        };
        self.finish_job(now, index, kind);
        if message.closes_connection() {
            self.close(token);
        } else {
            self.submitters.idle_connections[rank].push(token);
        }
    }

    /// A client's connection has ended.
    pub(super) fn on_client_closed(&mut self, token: usize, rank: usize) {
        self.submitters.idle_connections[rank].retain(|&idle| idle != token);
        let now = Instant::now();
        match self.submitters.in_flight.remove(&token) {
            // A kept connection may end while a request crosses that: it is sent once more, on a new one.
            Some((index, true)) if self.submitters.outcomes[index].is_none() => {
                self.write_on_new_connection(now, index)
            }
            Some((index, _)) => self.finish_job(now, index, AnswerKind::NoAnswer),
            None => {}
        }
    }

    /// A client's patience has ended.
    pub(super) fn expire_job(&mut self, now: Instant, index: usize) {
        if self.submitters.outcomes[index].is_some() {
            return;
        }
        self.finish_job(now, index, AnswerKind::NoAnswer);
        let connection =
            self.submitters.in_flight.iter().find(|(_, (job, _))| *job == index).map(|(&token, _)| token);
        if let Some(token) = connection {
            self.submitters.in_flight.remove(&token);
            self.close(token);
        }
    }
}
