//! The stand-in clients: the jobs that they submit, their connections, and the outcome of each job.

use super::counts::Flow;
use super::harness::{Harness, Role, TimerEvent};
use super::message::{self, Message};
use super::worker_pool::result;
use mio::net::TcpStream;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after the client timeout before a missing answer counts as lost: the specified slack, 50 ms, and a margin for
/// a busy machine.
const ANSWER_SLACK: Duration = Duration::from_millis(1_000);

/// A job that a client submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Time of submission, from the start of the run.
    pub offset: Duration,
    /// Rank of the scheduler that receives it.
    pub rank: usize,
    /// Id of the request.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// Headers besides the id.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: String,
    /// Soft deadline: an answer within this time is on time.
    pub aim: Duration,
    /// Time that the client waits for an answer.
    pub client_timeout: Duration,
}

/// Outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Kind of answer.
    pub kind: AnswerKind,
    /// Time from submission to answer.
    pub latency: Duration,
}

/// Kind of answer that a client received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The worker's result.
    Served,
    /// Refusal: the client may try again later.
    Refused,
    /// Failure.
    Failed,
    /// No answer within the client timeout, a connection that ended without an answer, or a result that no worker
    /// made.
    NoAnswer,
}

/// The clients with their jobs and connections.
pub struct Submitters {
    jobs: Vec<Submission>,
    outcomes: Vec<Option<Outcome>>,
    submitted_at: Vec<Option<Instant>>,
    rank_by_id: HashMap<String, usize>,
    /// By rank: idle connections.
    idle_connections: Vec<Vec<usize>>,
    /// By connection: the job in flight, and whether the connection had been used before.
    in_flight: HashMap<usize, (usize, bool)>,
}

impl Submitters {
    /// Creates clients for `schedulers` schedulers.
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

    /// Adds jobs; returns their indices.
    pub fn add_jobs(&mut self, jobs: Vec<Submission>) -> std::ops::Range<usize> {
        let first = self.jobs.len();
        self.rank_by_id.extend(jobs.iter().map(|job| (job.id.clone(), job.rank)));
        self.jobs.extend(jobs);
        self.outcomes.resize(self.jobs.len(), None);
        self.submitted_at.resize(self.jobs.len(), None);
        first..self.jobs.len()
    }

    /// Returns the job with this index.
    pub fn job(&self, index: usize) -> &Submission {
        &self.jobs[index]
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> &[Submission] {
        &self.jobs
    }

    /// Returns the outcomes of the jobs, in their order.
    pub fn outcomes(&self) -> &[Option<Outcome>] {
        &self.outcomes
    }

    /// Returns the rank of the scheduler that a request was submitted to.
    pub fn rank_of(&self, id: &str) -> Option<usize> {
        self.rank_by_id.get(id).copied()
    }
}

impl Harness {
    /// Submits a job.
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

    /// Handles a scheduler's answer on this connection.
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

    /// Handles the end of a client's connection.
    pub(super) fn on_client_closed(&mut self, token: usize, rank: usize) {
        self.submitters.idle_connections[rank].retain(|&idle| idle != token);
        let now = Instant::now();
        match self.submitters.in_flight.remove(&token) {
            // The scheduler may close an idle connection while a request is on its way: the job is sent once more, on
            // a new connection.
            Some((index, true)) if self.submitters.outcomes[index].is_none() => {
                self.write_on_new_connection(now, index)
            }
            Some((index, _)) => self.finish_job(now, index, AnswerKind::NoAnswer),
            None => {}
        }
    }

    /// Ends a job whose client timeout has passed.
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
