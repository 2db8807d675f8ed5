//! Stand-in workers, without their sockets: slots, a second resource, a queue, the ramp after a start, and what they tell.
//! Every attempt is in the ledger from its last byte until it has ended or was given up.

use serde_json::{Map, json};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Jobs that may wait at a worker, as a multiple of its slots; more are turned away unstarted.
const QUEUE: usize = 2;

/// A report is made at this interval, and told from so long after that on: as real ones, and as the hollow fleet's, it is of
/// some time ago.
const REPORT_EVERY: Duration = Duration::from_millis(700);
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// What one stand-in worker is.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Its name on the list.
    pub name: String,
    /// Jobs of one slot that it runs at once.
    pub slots: u32,
    /// Units of the second resource.
    pub memory: f64,
    /// Its speed when it is warm.
    pub speed: f64,
    /// How far into its interval a report is made.
    pub phase: Duration,
    /// When it was started; `None`: long ago.
    pub born: Option<Instant>,
}

/// What all of them go by.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// For so long after its start a worker is cold.
    pub cold: Duration,
    /// Its speed at its start; it grows to 1 in a line.
    pub start_speed: f64,
    /// They tell of starts.
    pub tells_start: bool,
    /// They tell of progress so often; zero: never.
    pub progress: Duration,
    /// The fields of load reports.
    pub report: Vec<String>,
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
    /// A call-back of this worker, about this request, with this body.
    Callback(usize, String, String),
    /// [`WorkerPool::wake`] is to be called at this time, with this number.
    Wake(Instant, u64),
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
    begun: Instant,
    ends: Instant,
}

struct Station {
    kind: WorkerSpec,
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

impl Station {
    fn load(&self) -> Load {
        Load {
            slots: self.running.iter().map(|run| run.job.slots).sum(),
            memory: self.running.iter().map(|run| run.job.memory).sum(),
            running: self.running.len(),
            waiting: self.queue.len(),
        }
    }

    fn note_load(&mut self, now: Instant) {
        self.loads.push_back((now, self.load()));
        // The last one that is older than any report that may yet be told is kept.
        while self.loads.get(1).is_some_and(|next| now - next.0 >= REPORT_EVERY + REPORT_DELAY) {
            self.loads.pop_front();
        }
    }
}

/// What the workers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Attempts that arrived.
    pub attempts: u64,
    /// Jobs that were started.
    pub started: u64,
    /// Attempts that came to a worker at which an earlier one of the same request had neither ended nor been given up.
    pub doubled: u64,
    /// Attempts that came while an earlier one of the same request was at another worker, neither ended nor given up.
    pub overlapping: u64,
    /// Attempts that were turned away unstarted.
    pub turned_away: u64,
    /// Attempts that were given up.
    pub given_up: u64,
    /// Most jobs that ran at once.
    pub running_peak: usize,
}

/// See the head of this file.
pub struct WorkerPool {
    /// Reports are made at intervals from here on.
    epoch: Instant,
    worker_settings: WorkerSettings,
    stations: Vec<Station>,
    /// Where attempts of a request are that have neither ended nor been given up.
    open: HashMap<String, Vec<usize>>,
    runs: HashMap<u64, usize>,
    next: u64,
    seen: Seen,
}

impl WorkerPool {
    /// These workers.
    pub fn new(kinds: Vec<WorkerSpec>, worker_settings: WorkerSettings) -> WorkerPool {
        let station = |kind| Station {
            kind,
            draining: false,
            running: Vec::new(),
            queue: VecDeque::new(),
            loads: VecDeque::new(),
        };
        WorkerPool {
            epoch: Instant::now(),
            worker_settings,
            stations: kinds.into_iter().map(station).collect(),
            open: HashMap::new(),
            runs: HashMap::new(),
            next: 0,
            seen: Seen::default(),
        }
    }

    /// What they have seen.
    pub fn seen(&self) -> Seen {
        self.seen
    }

    /// The name of a worker.
    pub fn name(&self, at: usize) -> &str {
        &self.stations[at].kind.name
    }

    /// Jobs that run now.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// An attempt has arrived whole.
    pub fn arrive(&mut self, now: Instant, at: usize, job: Job) -> (Verdict, Vec<Effect>) {
        self.seen.attempts += 1;
        let open = self.open.entry(job.id.clone()).or_default();
        if open.contains(&at) {
            self.seen.doubled += 1;
        } else if !open.is_empty() {
            self.seen.overlapping += 1;
        }
        let station = &mut self.stations[at];
        let fits = job.slots <= station.kind.slots && job.memory <= station.kind.memory;
        if station.draining || station.queue.len() >= QUEUE * station.kind.slots as usize || !fits {
            self.seen.turned_away += 1;
            if self.open.get(&job.id).is_some_and(Vec::is_empty) {
                self.open.remove(&job.id);
            }
            return (Verdict::Rejected, Vec::new());
        }
        open.push(at);
        station.queue.push_back(job);
        (Verdict::Accepted, self.begin(now, at))
    }

    /// Starts what fits, in order of arrival.
    fn begin(&mut self, now: Instant, at: usize) -> Vec<Effect> {
        let mut effects = Vec::new();
        let station = &mut self.stations[at];
        while let Some(job) = station.queue.front() {
            let taken = station
                .running
                .iter()
                .fold((0, 0.0), |(slots, memory), run| (slots + run.job.slots, memory + run.job.memory));
            if taken.0 + job.slots > station.kind.slots || taken.1 + job.memory > station.kind.memory {
                break;
            }
            let Some(job) = station.queue.pop_front() else { break };
            let age = station
                .kind
                .born
                .map_or(self.worker_settings.cold, |born| now.saturating_duration_since(born));
            let part = (age.as_secs_f64() / self.worker_settings.cold.as_secs_f64().max(1e-9)).min(1.0);
            let speed = self.worker_settings.start_speed + (1.0 - self.worker_settings.start_speed) * part;
            let ends = now + job.work.div_f64((speed * station.kind.speed).max(0.01));
            self.next += 1;
            self.seen.started += 1;
            self.runs.insert(self.next, at);
            if self.worker_settings.tells_start {
                effects.push(news(at, &station.kind.name, &job.id, "started", &[]));
            }
            let wake = if self.worker_settings.progress.is_zero() {
                ends
            } else {
                ends.min(now + self.worker_settings.progress)
            };
            effects.push(Effect::Wake(wake, self.next));
            station.running.push(Run { job, number: self.next, begun: now, ends });
        }
        station.note_load(now);
        self.seen.running_peak = self.seen.running_peak.max(self.runs.len());
        effects
    }

    /// A time that was asked for has come.
    pub fn wake(&mut self, now: Instant, number: u64) -> Vec<Effect> {
        // One that was given up in between is gone.
        let Some(&at) = self.runs.get(&number) else { return Vec::new() };
        let progress = self.worker_settings.progress;
        let station = &mut self.stations[at];
        let Some(nr) = station.running.iter().position(|run| run.number == number) else { return Vec::new() };
        let run = &station.running[nr];
        if now < run.ends {
            let share = (now - run.begun).as_secs_f64() / (run.ends - run.begun).as_secs_f64();
            let told =
                news(at, &station.kind.name, &run.job.id, "running", &[("share", json!(rounded(share)))]);
            return vec![told, Effect::Wake(run.ends.min(now + progress), number)];
        }
        let run = station.running.swap_remove(nr);
        station.note_load(now);
        self.runs.remove(&number);
        self.forget(&run.job.id, at);
        let station = &self.stations[at];
        let mut more = vec![("result", json!(result(&run.job.id)))];
        if !self.worker_settings.report.is_empty() {
            more.push(("load", self.report(now, at)));
        }
        let mut effects = vec![news(at, &station.kind.name, &run.job.id, "done", &more)];
        effects.extend(self.begin(now, at));
        effects
    }

    /// An attempt is given up; tells whether it was there.
    pub fn give_up(&mut self, now: Instant, at: usize, id: &str) -> (bool, Vec<Effect>) {
        let station = &mut self.stations[at];
        let waiting = station.queue.len();
        station.queue.retain(|job| job.id != id);
        let mut found = station.queue.len() < waiting;
        while let Some(nr) = station.running.iter().position(|run| run.job.id == id) {
            let run = station.running.swap_remove(nr);
            self.runs.remove(&run.number);
            found = true;
        }
        if found {
            self.seen.given_up += 1;
            self.forget(id, at);
        }
        (found, self.begin(now, at))
    }

    /// The worker takes nothing new from now on, or is another process that has just started.
    pub fn turn(&mut self, at: usize, draining: bool, born: Option<Instant>) {
        self.stations[at].draining = draining;
        if born.is_some() {
            self.stations[at].kind.born = born;
        }
    }

    fn forget(&mut self, id: &str, at: usize) {
        if let Some(open) = self.open.get_mut(id) {
            open.retain(|&other| other != at);
            if open.is_empty() {
                self.open.remove(id);
            }
        }
    }

    /// The load report of a worker, with the fields that the settings name.
    pub fn report(&self, now: Instant, at: usize) -> serde_json::Value {
        let station = &self.stations[at];
        let age = now.saturating_duration_since(self.epoch + REPORT_DELAY + station.kind.phase);
        let past = Duration::from_nanos((age.as_nanos() % REPORT_EVERY.as_nanos()) as u64);
        let made = now.checked_sub(past + REPORT_DELAY);
        let then = station.loads.iter().rev().find(|load| made.is_some_and(|made| load.0 <= made));
        let load = then.map_or(Load::default(), |load| load.1);
        let all = f64::from(station.kind.slots.max(1));
        let value = |name: &str| match name {
            "x0" => json!(station.kind.slots.saturating_sub(load.slots)),
            "x1" => json!(rounded(station.kind.memory - load.memory)),
            "inflight" | "outstanding" => json!(load.running + load.waiting),
            "queue" | "backlog" => json!(load.waiting),
            "util" | "utilization" => json!(rounded(f64::from(load.slots) / all)),
            _ => json!(0),
        };
        let fields: Map<_, _> =
            self.worker_settings.report.iter().map(|name| (name.clone(), value(name))).collect();
        fields.into()
    }
}

/// What a worker makes of a request; nobody else can.
pub fn result(id: &str) -> String {
    format!("done {id}")
}

fn rounded(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

fn news(at: usize, from: &str, id: &str, state: &str, more: &[(&str, serde_json::Value)]) -> Effect {
    let mut text = format!(r#"{{"id":"{id}","from":"{from}","state":"{state}""#);
    for (name, value) in more {
        text += &format!(r#","{name}":{value}"#);
    }
    text.push('}');
    Effect::Callback(at, id.to_owned(), text)
}
