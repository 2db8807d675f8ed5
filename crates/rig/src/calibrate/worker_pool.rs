//! The stand-in workers, without sockets: slots, a second resource, a queue, the warm-up after a start, callbacks and
//! load reports. Every attempt is recorded from its last byte until it has ended or was cancelled.

use serde_json::{Map, json};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Maximum queue length of a worker, as a multiple of its slots; further attempts are rejected unstarted.
const QUEUE_MULTIPLE: usize = 2;

/// A worker makes a load report at this interval and sends it from `REPORT_DELAY` after that on. Reports therefore lag
/// behind the load, as those of real workers and of the hollow fleet do.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// Properties of one stand-in worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Name on the list.
    pub name: String,
    /// Number of one-slot jobs that it runs at the same time.
    pub slots: u32,
    /// Units of the second resource.
    pub memory: f64,
    /// Relative speed of the warm worker.
    pub speed: f64,
    /// Offset of its load reports within the report interval.
    pub phase: Duration,
    /// Time of its start; `None` if it was long ago.
    pub started_at: Option<Instant>,
}

/// Settings common to all stand-in workers.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Duration of the warm-up after a start.
    pub warm_up: Duration,
    /// Relative speed at the start; it grows linearly to 1 during the warm-up.
    pub start_speed: f64,
    /// Whether workers send a callback when a job starts.
    pub reports_start: bool,
    /// Interval of progress callbacks; zero turns them off.
    pub progress_interval: Duration,
    /// Fields of load reports.
    pub report_fields: Vec<String>,
}

/// An attempt that arrives at a worker.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of its request.
    pub id: String,
    /// Run time at speed 1.
    pub work: Duration,
    /// Slots that it takes.
    pub slots: u32,
    /// Units of the second resource that it takes.
    pub memory: f64,
}

/// An action that the caller has to carry out.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send a callback: index of the worker, id of the request, body.
    Callback(usize, String, String),
    /// Call [`WorkerPool::on_timer`] at this time with this run number.
    Timer(Instant, u64),
}

/// Result of an attempt's arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The worker accepts the attempt.
    Accepted,
    /// The worker rejects the attempt unstarted.
    Rejected,
}

struct Run {
    job: Job,
    number: u64,
    started: Instant,
    ends_at: Instant,
}

struct WorkerState {
    spec: WorkerSpec,
    draining: bool,
    running: Vec<Run>,
    queue: VecDeque<Job>,
    /// Recent loads, each with the time from which it applied.
    loads: VecDeque<(Instant, Load)>,
}

/// Slots in use, units of the second resource in use, running jobs and waiting jobs.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    slots: u32,
    memory: f64,
    running: usize,
    waiting: usize,
}

impl WorkerState {
    fn load(&self) -> Load {
        Load {
            slots: self.running.iter().map(|run| run.job.slots).sum(),
            memory: self.running.iter().map(|run| run.job.memory).sum(),
            running: self.running.len(),
            waiting: self.queue.len(),
        }
    }

    fn record_load(&mut self, now: Instant) {
        self.loads.push_back((now, self.load()));
        // Keeps the latest entry that is older than any report still to be sent.
        while self.loads.get(1).is_some_and(|next| now - next.0 >= REPORT_INTERVAL + REPORT_DELAY) {
            self.loads.pop_front();
        }
    }
}

/// Counters of all workers together.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerCounters {
    /// Attempts that arrived.
    pub attempts: u64,
    /// Jobs that were started.
    pub started: u64,
    /// Attempts that arrived at a worker where an earlier attempt of the same request was still open.
    pub doubled: u64,
    /// Attempts that arrived while an earlier attempt of the same request was open at another worker.
    pub overlapping: u64,
    /// Attempts that were rejected unstarted.
    pub rejected: u64,
    /// Attempts that were cancelled.
    pub cancelled: u64,
    /// Largest number of jobs that ran at the same time.
    pub running_peak: usize,
}

/// The stand-in workers and the open attempts of all requests.
pub struct WorkerPool {
    /// Start of the first report interval.
    epoch: Instant,
    worker_settings: WorkerSettings,
    workers: Vec<WorkerState>,
    /// By request id: workers with an open attempt, one that has neither ended nor been cancelled.
    open_attempts: HashMap<String, Vec<usize>>,
    worker_by_run: HashMap<u64, usize>,
    last_run: u64,
    counters: WorkerCounters,
}

impl WorkerPool {
    /// Creates the workers.
    pub fn new(specs: Vec<WorkerSpec>, worker_settings: WorkerSettings) -> WorkerPool {
        let worker = |spec| WorkerState {
            spec,
            draining: false,
            running: Vec::new(),
            queue: VecDeque::new(),
            loads: VecDeque::new(),
        };
        WorkerPool {
            epoch: Instant::now(),
            worker_settings,
            workers: specs.into_iter().map(worker).collect(),
            open_attempts: HashMap::new(),
            worker_by_run: HashMap::new(),
            last_run: 0,
            counters: WorkerCounters::default(),
        }
    }

    /// Returns the counters of all workers together.
    pub fn counters(&self) -> WorkerCounters {
        self.counters
    }

    /// Returns the name of a worker.
    pub fn name(&self, index: usize) -> &str {
        &self.workers[index].spec.name
    }

    /// Returns the number of running jobs.
    pub fn running(&self) -> usize {
        self.worker_by_run.len()
    }

    /// Handles an attempt that has arrived completely.
    pub fn submit_attempt(&mut self, now: Instant, index: usize, job: Job) -> (Verdict, Vec<Effect>) {
        self.counters.attempts += 1;
        let open_attempts = self.open_attempts.entry(job.id.clone()).or_default();
        if open_attempts.contains(&index) {
            self.counters.doubled += 1;
        } else if !open_attempts.is_empty() {
            self.counters.overlapping += 1;
        }
        let worker = &mut self.workers[index];
        let fits = job.slots <= worker.spec.slots && job.memory <= worker.spec.memory;
        if worker.draining || worker.queue.len() >= QUEUE_MULTIPLE * worker.spec.slots as usize || !fits {
            self.counters.rejected += 1;
            if self.open_attempts.get(&job.id).is_some_and(Vec::is_empty) {
                self.open_attempts.remove(&job.id);
            }
            return (Verdict::Rejected, Vec::new());
        }
        open_attempts.push(index);
        worker.queue.push_back(job);
        (Verdict::Accepted, self.start_jobs(now, index))
    }

    /// Starts queued jobs in order of arrival while they fit.
    fn start_jobs(&mut self, now: Instant, index: usize) -> Vec<Effect> {
        let mut effects = Vec::new();
        let worker = &mut self.workers[index];
        while let Some(job) = worker.queue.front() {
            let used = worker
                .running
                .iter()
                .fold((0, 0.0), |(slots, memory), run| (slots + run.job.slots, memory + run.job.memory));
            if used.0 + job.slots > worker.spec.slots || used.1 + job.memory > worker.spec.memory {
                break;
            }
            let Some(job) = worker.queue.pop_front() else { break };
            let age = worker
                .spec
                .started_at
                .map_or(self.worker_settings.warm_up, |started_at| now.saturating_duration_since(started_at));
            let warm_fraction =
                (age.as_secs_f64() / self.worker_settings.warm_up.as_secs_f64().max(1e-9)).min(1.0);
            let speed =
                self.worker_settings.start_speed + (1.0 - self.worker_settings.start_speed) * warm_fraction;
            let ends_at = now + job.work.div_f64((speed * worker.spec.speed).max(0.01));
            self.last_run += 1;
            self.counters.started += 1;
            self.worker_by_run.insert(self.last_run, index);
            if self.worker_settings.reports_start {
                effects.push(callback(index, &worker.spec.name, &job.id, "started", &[]));
            }
            let timer_at = if self.worker_settings.progress_interval.is_zero() {
                ends_at
            } else {
                ends_at.min(now + self.worker_settings.progress_interval)
            };
            effects.push(Effect::Timer(timer_at, self.last_run));
            worker.running.push(Run { job, number: self.last_run, started: now, ends_at });
        }
        worker.record_load(now);
        self.counters.running_peak = self.counters.running_peak.max(self.worker_by_run.len());
        effects
    }

    /// Handles a timer requested by [`Effect::Timer`].
    pub fn on_timer(&mut self, now: Instant, number: u64) -> Vec<Effect> {
        // The job was cancelled before its timer.
        let Some(&index) = self.worker_by_run.get(&number) else { return Vec::new() };
        let progress = self.worker_settings.progress_interval;
        let worker = &mut self.workers[index];
        let Some(position) = worker.running.iter().position(|run| run.number == number) else {
            return Vec::new();
        };
        let run = &worker.running[position];
        if now < run.ends_at {
            let share = (now - run.started).as_secs_f64() / (run.ends_at - run.started).as_secs_f64();
            let update = callback(
                index,
                &worker.spec.name,
                &run.job.id,
                "running",
                &[("share", json!(rounded(share)))],
            );
            return vec![update, Effect::Timer(run.ends_at.min(now + progress), number)];
        }
        let run = worker.running.swap_remove(position);
        worker.record_load(now);
        self.worker_by_run.remove(&number);
        self.close_attempt(&run.job.id, index);
        let worker = &self.workers[index];
        let mut fields = vec![("result", json!(result(&run.job.id)))];
        if !self.worker_settings.report_fields.is_empty() {
            fields.push(("load", self.report(now, index)));
        }
        let mut effects = vec![callback(index, &worker.spec.name, &run.job.id, "done", &fields)];
        effects.extend(self.start_jobs(now, index));
        effects
    }

    /// Cancels the attempts of a request at a worker; returns whether there was one.
    pub fn cancel(&mut self, now: Instant, index: usize, id: &str) -> (bool, Vec<Effect>) {
        let worker = &mut self.workers[index];
        let queued_before = worker.queue.len();
        worker.queue.retain(|job| job.id != id);
        let mut found = worker.queue.len() < queued_before;
        while let Some(position) = worker.running.iter().position(|run| run.job.id == id) {
            let run = worker.running.swap_remove(position);
            self.worker_by_run.remove(&run.number);
            found = true;
        }
        if found {
            self.counters.cancelled += 1;
            self.close_attempt(id, index);
        }
        (found, self.start_jobs(now, index))
    }

    /// Sets whether the worker rejects new attempts; `started_at` is set if its process was replaced.
    pub fn set_draining(&mut self, index: usize, draining: bool, started_at: Option<Instant>) {
        self.workers[index].draining = draining;
        if started_at.is_some() {
            self.workers[index].spec.started_at = started_at;
        }
    }

    fn close_attempt(&mut self, id: &str, index: usize) {
        if let Some(open_attempts) = self.open_attempts.get_mut(id) {
            open_attempts.retain(|&other| other != index);
            if open_attempts.is_empty() {
                self.open_attempts.remove(id);
            }
        }
    }

    /// Returns the load report of a worker, with the fields that the settings name.
    pub fn report(&self, now: Instant, index: usize) -> serde_json::Value {
        let worker = &self.workers[index];
        let age = now.saturating_duration_since(self.epoch + REPORT_DELAY + worker.spec.phase);
        let since_report = Duration::from_nanos((age.as_nanos() % REPORT_INTERVAL.as_nanos()) as u64);
        let made_at = now.checked_sub(since_report + REPORT_DELAY);
        let reported =
            worker.loads.iter().rev().find(|load| made_at.is_some_and(|made_at| load.0 <= made_at));
        let load = reported.map_or(Load::default(), |load| load.1);
        let slots = f64::from(worker.spec.slots.max(1));
        let value = |name: &str| match name {
            "x0" => json!(worker.spec.slots.saturating_sub(load.slots)),
            "x1" => json!(rounded(worker.spec.memory - load.memory)),
            "inflight" | "outstanding" => json!(load.running + load.waiting),
            "queue" | "backlog" => json!(load.waiting),
            "util" | "utilization" => json!(rounded(f64::from(load.slots) / slots)),
            _ => json!(0),
        };
        let report: Map<_, _> =
            self.worker_settings.report_fields.iter().map(|name| (name.clone(), value(name))).collect();
        report.into()
    }
}

/// Returns the result that a worker sends for a request. Only a worker creates it, so a client can check an answer.
pub fn result(id: &str) -> String {
    format!("done {id}")
}

fn rounded(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

fn callback(index: usize, from: &str, id: &str, state: &str, fields: &[(&str, serde_json::Value)]) -> Effect {
    let mut text = format!(r#"{{"id":"{id}","from":"{from}","state":"{state}""#);
    for (name, value) in fields {
        text += &format!(r#","{name}":{value}"#);
    }
    text.push('}');
    Effect::Callback(index, id.to_owned(), text)
}
