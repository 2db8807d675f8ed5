//! Simulates a whole fleet of schedulers, each with its own decision module, in one thread and on a simulated clock.
//! Peer messages, probes and timers are counted per scheduler and second.
//!
//! The environment is the simplest that causes these messages: workers with [`LANES`] lanes and a first-in-first-out
//! queue, a network with a constant delay and no losses, and jobs of exponential duration with Poisson arrivals, each
//! at a random scheduler. The worker list does not change; its cost is measured separately ([`crate::probe`]).

use crate::counts::{MessageCounts, MessageType, message_type};
use crate::probe_jobs::{HOLD_TIMER, arrival, report};
use crate::scenario::{self, FleetParameters, LANES, MILLI, SECOND, START_TIME};
use calicolb_decisions::api::*;
use calicolb_decisions::rules::Dispatcher;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// One-way network delay of a message or an answer.
const NETWORK_DELAY: Micros = 500;
/// Bytes of a probe's request and answer together, including headers and the load report.
const PROBE_BYTES: u64 = 150;
/// Time within which the jobs that run at the start arrive.
const FILL_TIME: Micros = 3 * SECOND;
/// Time for the fleet to settle after that, before the first measured phase.
const SETTLE_TIME: Micros = 4 * SECOND;

/// Incident at the start of a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incident {
    /// No incident.
    None,
    /// The scheduler of rank 0 restarts.
    Restart,
    /// All workers of zone 0 fail at once and every connection to them is reset; discovery has not reported it yet.
    ZoneLost,
    /// All workers of zone 0 stop responding: running jobs do not end and new connections are not established.
    ZoneSilent,
}

enum SimulationEvent {
    /// A job reaches a scheduler; `next` also schedules the arrival of the following job.
    Job { next: bool },
    /// An event reaches a scheduler.
    Deliver(u32, Event),
    /// A task ends on a worker if it is still running there.
    TaskEnd(usize, Task),
    /// An incident occurs.
    Incident(Incident),
}

#[derive(Clone, Copy, PartialEq)]
struct Task {
    scheduler: u32,
    request: RequestId,
    attempt: u32,
    duration: Micros,
}

#[derive(Default)]
struct SimulatedWorker {
    running: Vec<Task>,
    waiting: VecDeque<Task>,
    state: WorkerState,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum WorkerState {
    #[default]
    Serving,
    Failed,
    Silent,
}

struct Simulation<'a> {
    fleet: &'a FleetParameters,
    seed: u64,
    rng: fastrand::Rng,
    schedulers: Vec<Dispatcher>,
    workers: Vec<SimulatedWorker>,
    index_by_id: HashMap<WorkerId, usize>,
    /// Times and sequence numbers of the scheduled events; equal times run in the order of scheduling.
    schedule_order: BinaryHeap<Reverse<(Micros, u64)>>,
    scheduled: HashMap<u64, SimulationEvent>,
    last_sequence: u64,
    now: Micros,
    /// For each open request, the number of attempts and the worker of the last one.
    open_requests: HashMap<(u32, RequestId), (u32, usize)>,
    last_id: u32,
    counts: MessageCounts,
}

/// Simulates a fleet and counts its messages. The phases follow after the fleet has settled; each is given by its
/// length in seconds and the incident at its start.
pub fn simulate(fleet: &FleetParameters, seed: u64, phases: &[(u64, Incident)]) -> MessageCounts {
    // The worker list does not change: no worker has left the fleet.
    let fleet = &FleetParameters { days: 0, ..*fleet };
    let first_phase = (FILL_TIME + SETTLE_TIME) / SECOND;
    let counts =
        MessageCounts::new(fleet.schedulers as usize, first_phase, phases.iter().map(|phase| phase.0));
    let mut simulation = Simulation {
        fleet,
        seed,
        rng: fastrand::Rng::with_seed(seed),
        schedulers: (0..fleet.schedulers)
            .map(|rank| {
                Dispatcher::new(scenario::settings(fleet, rank), seed ^ u64::from(rank) << 20, START_TIME)
            })
            .collect(),
        workers: (0..fleet.workers).map(|_| SimulatedWorker::default()).collect(),
        index_by_id: (0..fleet.workers)
            .map(|number| (scenario::worker_id(seed, number), number as usize))
            .collect(),
        schedule_order: BinaryHeap::new(),
        scheduled: HashMap::new(),
        last_sequence: 0,
        now: START_TIME,
        open_requests: HashMap::new(),
        last_id: 0,
        counts,
    };
    simulation.start();
    let mut phase_start = FILL_TIME + SETTLE_TIME;
    for &(seconds, incident) in phases {
        simulation.schedule(phase_start, SimulationEvent::Incident(incident));
        phase_start += seconds * SECOND;
    }
    simulation.run(START_TIME + phase_start);
    simulation.counts
}

impl Simulation<'_> {
    fn schedule(&mut self, after: Micros, event: SimulationEvent) {
        self.last_sequence += 1;
        self.schedule_order.push(Reverse((self.now + after, self.last_sequence)));
        self.scheduled.insert(self.last_sequence, event);
    }

    /// Starts all schedulers, and the mean number of running jobs within a few seconds. Since their duration is
    /// exponential, the remaining duration has the same distribution as the full one.
    fn start(&mut self) {
        for scheduler in 0..self.fleet.schedulers {
            let list = Event::Members(ListKind::Saved, scenario::members(self.fleet, self.seed));
            self.schedule(0, SimulationEvent::Deliver(scheduler, list));
        }
        let running = (f64::from(self.fleet.workers) * self.fleet.tasks_per_worker) as u64;
        for _ in 0..running {
            let after = 100 * MILLI + self.rng.u64(0..FILL_TIME);
            self.schedule(after, SimulationEvent::Job { next: false });
        }
        self.schedule(FILL_TIME, SimulationEvent::Job { next: true });
    }

    fn run(&mut self, end: Micros) {
        while let Some(Reverse((time, sequence))) = self.schedule_order.pop() {
            if time >= end {
                return;
            }
            self.now = time;
            match self.scheduled.remove(&sequence) {
                Some(SimulationEvent::Job { next }) => self.job_arrives(next),
                Some(SimulationEvent::Deliver(scheduler, event)) => self.deliver(scheduler, event),
                Some(SimulationEvent::TaskEnd(worker_index, task)) => self.end_task(worker_index, task),
                Some(SimulationEvent::Incident(incident)) => self.apply_incident(incident),
                None => {}
            }
        }
    }

    fn exponential(&mut self, mean: f64) -> Micros {
        (-mean * (1.0 - self.rng.f64()).ln() * SECOND as f64) as Micros
    }

    fn job_arrives(&mut self, next: bool) {
        if next {
            let interval = self.exponential(1.0 / self.fleet.starts_per_s);
            self.schedule(interval, SimulationEvent::Job { next });
        }
        self.counts.count_jobs(self.current_second(), 1, 0);
        self.last_id += 1;
        let class = usize::from(self.rng.u8(0..10) > 0);
        let tenant = (self.fleet.tenants > 0).then(|| self.rng.usize(0..self.fleet.tenants as usize));
        let job = arrival(self.now, self.last_id, class, tenant, self.fleet.task_s());
        let scheduler = self.rng.u32(0..self.fleet.schedulers);
        self.deliver(scheduler, Event::Arrival(job));
    }

    fn current_second(&self) -> u64 {
        (self.now - START_TIME) / SECOND
    }

    fn count_message(&mut self, scheduler: u32, message_type: MessageType, bytes: u64) {
        self.counts.add(scheduler as usize, message_type, self.current_second(), bytes);
    }

    /// Delivers an event to a scheduler and carries out the resulting actions.
    fn deliver(&mut self, scheduler: u32, event: Event) {
        match &event {
            Event::Peer { body, .. } => self.count_message(scheduler, message_type(body), body.len() as u64),
            Event::Timer(HOLD_TIMER) => self.count_message(scheduler, MessageType::Timer, 0),
            _ => {}
        }
        let mut actions = Vec::new();
        self.schedulers[scheduler as usize].on_event(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.execute(scheduler, action));
    }

    fn execute(&mut self, scheduler: u32, action: Action) {
        match action {
            Action::Send { request, worker, .. } => self.send_attempt(scheduler, request, worker),
            Action::Cancel { request, attempt } => self.cancel(scheduler, request, attempt),
            Action::Refuse { request, .. } | Action::Fail(request) => {
                self.counts.count_jobs(self.current_second(), 0, 1);
                self.open_requests.remove(&(scheduler, request));
            }
            Action::Probe(worker) => self.probe(scheduler, worker),
            Action::SendMessage { to, body } => {
                let receivers = to.map_or(0..self.fleet.schedulers, |to| to..to + 1);
                for to in receivers.filter(|&to| to != scheduler) {
                    self.count_message(scheduler, message_type(&body), body.len() as u64);
                    self.schedule(
                        NETWORK_DELAY,
                        SimulationEvent::Deliver(to, Event::Peer { from: scheduler, body: body.clone() }),
                    );
                }
            }
            Action::SetTimer { timer, after } => {
                self.schedule(after, SimulationEvent::Deliver(scheduler, Event::Timer(timer)))
            }
            Action::FetchList | Action::Subscribe(_) | Action::CloseIdle(_) | Action::Log(_) => {}
        }
    }

    fn send_attempt(&mut self, scheduler: u32, request: RequestId, worker: WorkerId) {
        let Some(&worker_index) = self.index_by_id.get(&worker) else { return };
        let duration = self.exponential(self.fleet.task_s());
        let attempts = self.open_requests.get(&(scheduler, request)).map_or(0, |sent| sent.0);
        self.open_requests.insert((scheduler, request), (attempts + 1, worker_index));
        let task = Task { scheduler, request, attempt: attempts, duration };
        let connect_timeout = scenario::settings(self.fleet, scheduler).limits.connect_timeout;
        match self.workers[worker_index].state {
            WorkerState::Serving => {}
            WorkerState::Failed => {
                return self.report_outcome(worker_index, task, Ending::Unreachable, NETWORK_DELAY);
            }
            WorkerState::Silent => {
                return self.report_outcome(worker_index, task, Ending::Unreachable, connect_timeout);
            }
        }
        self.workers[worker_index].waiting.push_back(task);
        self.start_waiting_tasks(worker_index);
    }

    /// Starts waiting tasks while lanes are free.
    fn start_waiting_tasks(&mut self, worker_index: usize) {
        while self.workers[worker_index].running.len() < LANES as usize {
            let Some(task) = self.workers[worker_index].waiting.pop_front() else { return };
            self.workers[worker_index].running.push(task);
            let (request, attempt) = (task.request, task.attempt);
            let note = Event::Note { request, attempt, note: AttemptNote::Started };
            self.schedule(2 * NETWORK_DELAY, SimulationEvent::Deliver(task.scheduler, note));
            self.schedule(NETWORK_DELAY + task.duration, SimulationEvent::TaskEnd(worker_index, task));
        }
    }

    fn end_task(&mut self, worker_index: usize, task: Task) {
        let worker = &self.workers[worker_index];
        let running = worker.running.iter().position(|running| *running == task);
        let Some(position) = running.filter(|_| worker.state == WorkerState::Serving) else { return };
        self.workers[worker_index].running.swap_remove(position);
        self.start_waiting_tasks(worker_index);
        self.report_outcome(worker_index, task, Ending::Ok, NETWORK_DELAY);
    }

    fn load_report(&self, worker_index: usize) -> Report {
        let worker = &self.workers[worker_index];
        report(worker.running.len() as u32, worker.waiting.len() as u32)
    }

    /// Reports the end of an attempt to its scheduler after the given time.
    fn report_outcome(&mut self, worker_index: usize, task: Task, ending: Ending, after: Micros) {
        let succeeded = ending == Ending::Ok;
        if succeeded {
            self.open_requests.remove(&(task.scheduler, task.request));
        }
        let outcome = Outcome {
            request: task.request,
            attempt: task.attempt,
            worker: scenario::worker_id(self.seed, worker_index as u32),
            ending,
            elapsed: task.duration,
            concluded: succeeded,
            running: false,
            report: succeeded.then(|| self.load_report(worker_index)),
        };
        self.schedule(after, SimulationEvent::Deliver(task.scheduler, Event::Outcome(outcome)));
    }

    fn cancel(&mut self, scheduler: u32, request: RequestId, attempt: u32) {
        let Some(&(_, worker_index)) = self.open_requests.get(&(scheduler, request)) else { return };
        let is_attempt =
            |task: &Task| (task.scheduler, task.request, task.attempt) == (scheduler, request, attempt);
        let worker = &mut self.workers[worker_index];
        let task = worker.running.iter().chain(&worker.waiting).copied().find(is_attempt);
        worker.running.retain(|task| !is_attempt(task));
        worker.waiting.retain(|task| !is_attempt(task));
        if let Some(task) = task {
            self.report_outcome(worker_index, task, Ending::Cancelled, NETWORK_DELAY);
            self.start_waiting_tasks(worker_index);
        }
    }

    fn probe(&mut self, scheduler: u32, worker: WorkerId) {
        let Some(&worker_index) = self.index_by_id.get(&worker) else { return };
        // One request and one answer.
        self.count_message(scheduler, MessageType::Probe, PROBE_BYTES / 2);
        self.count_message(scheduler, MessageType::Probe, PROBE_BYTES / 2);
        let serving = self.workers[worker_index].state == WorkerState::Serving;
        let ending = if serving { Ending::Ok } else { Ending::Unreachable };
        let report = serving.then(|| self.load_report(worker_index));
        let connect_timeout = scenario::settings(self.fleet, scheduler).limits.connect_timeout;
        let elapsed = if self.workers[worker_index].state == WorkerState::Silent {
            connect_timeout
        } else {
            2 * NETWORK_DELAY
        };
        let probed = Event::Probed { worker, ending, elapsed, report };
        self.schedule(elapsed, SimulationEvent::Deliver(scheduler, probed));
    }

    fn apply_incident(&mut self, incident: Incident) {
        match incident {
            Incident::None => {}
            Incident::Restart => {
                let settings = scenario::settings(self.fleet, 0);
                self.schedulers[0] = Dispatcher::new(settings, !self.seed, self.now);
                let list = Event::Members(ListKind::Saved, scenario::members(self.fleet, self.seed));
                self.deliver(0, list);
            }
            Incident::ZoneLost | Incident::ZoneSilent => {
                let state =
                    if incident == Incident::ZoneLost { WorkerState::Failed } else { WorkerState::Silent };
                for worker_index in (0..self.workers.len()).step_by(self.fleet.zones as usize) {
                    self.workers[worker_index].state = state;
                    if state == WorkerState::Silent {
                        continue;
                    }
                    let running = std::mem::take(&mut self.workers[worker_index].running);
                    let waiting = std::mem::take(&mut self.workers[worker_index].waiting);
                    let lost_tasks = running.into_iter().chain(waiting);
                    lost_tasks.for_each(|task| {
                        self.report_outcome(worker_index, task, Ending::Broken, NETWORK_DELAY)
                    });
                }
            }
        }
    }
}
