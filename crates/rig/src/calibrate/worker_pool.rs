//! Stand-in workers, without their sockets: slots, a second resource, a queue, the ramp after a start, and what they tell.
//! Every attempt is in the ledger from its last byte until it has ended or was given up.

use serde_json::{Map, json};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Jobs that may wait at a worker, as a multiple of its slots; fields are turned away unstarted.
const QUEUE_MULTIPLE: usize = 2;

/// A report is made_at at this interval, and told from so long after that on: as real ones, and as the hollow fleet's, it is of
/// some time ago.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// What one stand-in worker is.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Its name on the list.
    pub name: String,
    /// Jobs of one slot that it worker_by_run at once.
    pub slots: u32,
    /// Units of the second resource.
    pub memory: f64,
    /// Its speed when it is warm.
    pub speed: f64,
    /// How far into its interval a report is made_at.
    pub phase: Duration,
    /// When it was started; `None`: long ago.
    pub started_at: Option<Instant>,
}

/// What all of them go by.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// For so long after its start a worker is cold.
    pub warm_up: Duration,
    /// Its speed at its start; it grows to 1 in a line.
    pub start_speed: f64,
    /// They tell of starts.
    pub reports_start: bool,
    /// They tell of progress so often; zero: never.
    pub progress_interval: Duration,
    /// The fields of load reports.
    pub report_fields: Vec<String>,
}

/// An attempt as it arrives.
#[derive(Clone, Debug)]
pub struct Job {
    /// The id of its request.
    pub id: String,
    /// Its work at speed 1.
    pub work: Duration,
    /// Slots that it takes.
    pub slots: u32,
    /// Units of the second resource that it takes.
    pub memory: f64,
}

/// What follows.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// A call-callbacks of this worker, about this request, with this body.
    Callback(usize, String, String),
    /// [`WorkerPool::timer_at`] is to be called at this time, with this number.
    Timer(Instant, u64),
}

/// What becomes of an attempt that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is taken.
    Accepted,
    /// It is turned away unstarted.
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
    /// Its load of late, from when on.
    loads: VecDeque<(Instant, Load)>,
}

/// Slots in use, units of the second resource in use, jobs that run, and jobs that wait.
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
        // The last one that is older than any report that may yet be told is kept.
        while self.loads.get(1).is_some_and(|next| now - next.0 >= REPORT_INTERVAL + REPORT_DELAY) {
            self.loads.pop_front();
        }
    }
}

/// What the workers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerCounters {
    /// Attempts that arrived.
    pub attempts: u64,
    /// Jobs that were started.
    pub started: u64,
    /// Attempts that came to a worker at which an earlier one of the same request had neither ended nor been given up.
    pub doubled: u64,
    /// Attempts that came while an earlier one of the same request was at another worker, neither ended nor given up.
    pub overlapping: u64,
    /// Attempts that were turned away unstarted.
    pub rejected: u64,
    /// Attempts that were given up.
    pub cancelled: u64,
    /// Most jobs that ran at once.
    pub running_peak: usize,
}

/// See the head of this file.
pub struct WorkerPool {
    /// Reports are made_at at intervals from here on.
    epoch: Instant,
    worker_settings: WorkerSettings,
    workers: Vec<WorkerState>,
    /// Where attempts of a request are that have neither ended nor been given up.
    open_attempts: HashMap<String, Vec<usize>>,
    worker_by_run: HashMap<u64, usize>,
    last_run: u64,
    counters: WorkerCounters,
}

impl WorkerPool {
    /// These workers.
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

    /// What they have counters.
    pub fn counters(&self) -> WorkerCounters {
        self.counters
    }

    /// The name of a worker.
    pub fn name(&self, index: usize) -> &str {
        &self.workers[index].spec.name
    }

    /// Jobs that run now.
    pub fn running(&self) -> usize {
        self.worker_by_run.len()
    }

    /// An attempt has arrived whole.
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

    /// Starts what fits, in order of arrival.
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

    /// A time that was asked for has come.
    pub fn on_timer(&mut self, now: Instant, number: u64) -> Vec<Effect> {
        // One that was given up in between is gone.
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

    /// An attempt is given up; tells whether it was there.
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

    /// The worker takes nothing new from now on, or is another process that has just started.
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

    /// The load report of a worker, with the fields that the settings name.
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

/// What a worker makes of a request; nobody else can.
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
