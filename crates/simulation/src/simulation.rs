//! The event loop of the simulation: the event queue, and the delivery of events to schedulers, workers, discovery and control
//! machines. Two events of the same time are handled in the order in which they were scheduled.

mod agreement;
mod attempts;
mod events;
mod requests;
mod tasks;
mod watches;

use crate::Micros;
use crate::clients::{Clients, Job, TaskRecord};
use crate::discovery::{Discovery, PUBLISH_INTERVAL, Update, WATCH_KEEPALIVE};
use crate::encode::{self, WorkerLine};
use crate::incidents::IncidentStep;
use crate::links::Links;
use crate::plan::{
    ACCELERATORS_PER_WORKER, CLASSES, Incident, MILLI, PROGRESS_INTERVAL, Plan, SECOND, SIMULATION_START,
    WORKER_SLOTS, zone_name,
};
use crate::recorder::{Function, QuotaRatios, Recorder, Summary};
use crate::schedulers::{Answer, AttemptId, Command, Deadline, MAX_IDLE_TIME, MAX_TRANSIT_TIME, Process};
use crate::workers::{Origin, Task, Worker, WorkerState};
use agreement::{Agreement, AgreementEvent};
use calicolb::api::*;
use calicolb::wire::worker_id;

use events::ScheduledEvent;
pub(crate) use events::{SimEvent, TaskUpdate};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;

/// Time from the start of the simulation within which the schedulers start.
const START_WINDOW: Micros = 2 * SECOND;
/// Time after [`START_WINDOW`] within which the jobs come in that are under way at the start.
const FILL_WINDOW: Micros = 6 * SECOND;
/// Time after which a client whose scheduler is gone tries another one.
const FAILOVER_DELAY: Micros = 200 * MILLI;
/// Transit time from a client to a scheduler, in microseconds.
const CLIENT_DELAY: Micros = 300;
/// Time after the client timeout at which a request without an answer counts as lost.
const LOST_AFTER: Micros = 500 * MILLI;
/// Interval at which a worker repeats an undelivered task update.
const UPDATE_RETRY_INTERVAL: Micros = SECOND;
/// Maximum number of sends of a task update.
const MAX_UPDATE_SENDS: u32 = 10;
/// Spread of the speeds of the workers, as the standard deviation of the natural logarithm.
const SPEED_SPREAD: f64 = 0.1;
/// Number of workers in a rack.
pub(crate) const WORKERS_PER_RACK: u32 = 20;

/// The state of a simulation: all its components and the event queue.
pub(crate) struct Simulation {
    pub(crate) plan: Plan,
    pub(crate) settings: Settings,
    pub(crate) now: Micros,
    sequence: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    pub(crate) links: Links,
    pub(crate) workers: Vec<Worker>,
    /// Index of each worker in `workers`.
    worker_numbers: HashMap<WorkerId, u32>,
    pub(crate) discovery: Discovery,
    /// True while a [`SimEvent::PublishList`] is in the queue.
    publish_scheduled: bool,
    /// All scheduler processes, including those that have ended.
    pub(crate) processes: Vec<Process>,
    /// By rank, the last process that was started for the scheduler.
    pub(crate) serving_process: Vec<Option<u32>>,
    clients: Clients,
    pub(crate) jobs: Vec<Job>,
    /// Number of requests without an answer.
    open_requests: usize,
    pub(crate) recorder: Recorder,
    task_count: u64,
    call_count: u64,
    pub(crate) rng: StdRng,
    agreement: Option<Agreement>,
    /// Settings changes that wait for an outcome, as the index of the change and of the control machine.
    requested_changes: Vec<(u32, u32)>,
    /// For tenants with a demand within their quota the number of requests, and of those that counted as within it; for other
    /// tenants the number of requests that counted as within the quota.
    quota_counts: (u64, u64, u64),
}

impl Simulation {
    pub(crate) fn new(plan: &Plan) -> Self {
        let seed = |stream: u64| plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(stream);
        let mut simulation = Simulation {
            plan: plan.clone(),
            settings: plan.settings(),
            now: SIMULATION_START,
            sequence: 0,
            queue: BinaryHeap::new(),
            links: Links::new(plan.zones as usize, plan.regions as usize, seed(1)),
            workers: Vec::new(),
            worker_numbers: HashMap::new(),
            discovery: Discovery::new(0),
            publish_scheduled: false,
            processes: Vec::new(),
            serving_process: vec![None; plan.schedulers as usize],
            clients: Clients::new(plan, seed(2)),
            jobs: Vec::new(),
            open_requests: 0,
            recorder: Recorder::new(plan),
            task_count: 0,
            call_count: 0,
            rng: StdRng::seed_from_u64(seed(3)),
            agreement: None,
            requested_changes: Vec::new(),
            quota_counts: (0, 0, 0),
        };
        let plain = plan.workers - plan.accelerated_workers();
        for index in 0..plan.workers {
            let rack = plan.zone_of(index) as u32 * 1_000 + index / plan.zones / WORKERS_PER_RACK;
            simulation.add_worker(plan.zone_of(index), usize::from(index >= plain), rack, None);
        }
        simulation.discovery.publish();
        for rank in 0..plan.schedulers {
            let at = SIMULATION_START + simulation.rng.random_range(0..START_WINDOW);
            simulation.schedule(at, SimEvent::SchedulerStarts { rank });
        }
        let under_way = (plan.mean_work() / SECOND as f64 * plan.requests_per_s) as u32;
        for _ in 0..under_way {
            let at = SIMULATION_START + START_WINDOW + simulation.rng.random_range(0..FILL_WINDOW);
            simulation.schedule(at, SimEvent::InitialRequest);
        }
        simulation.schedule(SIMULATION_START + START_WINDOW + FILL_WINDOW / 2, SimEvent::NextRequest);
        simulation.schedule_incident();
        if plan.incident == Incident::Config {
            simulation.set_up_agreement(seed(4));
        }
        simulation
    }

    /// Adds a worker, which is in the list from the next version on. `started_at` is the start of its process, or `None` if it
    /// started long before the simulation.
    pub(crate) fn add_worker(
        &mut self,
        zone: usize,
        kind: usize,
        cell: u32,
        started_at: Option<Micros>,
    ) -> u32 {
        let index = self.workers.len() as u32;
        let mut draw = u64::from(index) << 32 | self.plan.seed & 0xffff_ffff;
        let name = loop {
            draw = (draw ^ draw >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let name = format!("s-{:08x}", draw >> 32);
            // Schedulers identify a worker by a hash of its name, so names with equal hashes are not used.
            if !self.worker_numbers.contains_key(&worker_id(&name)) {
                break name;
            }
        };
        let speed = LogNormal::new(0.0, SPEED_SPREAD).map_or(1.0, |spread| spread.sample(&mut self.rng));
        let slots = if kind == 0 { WORKER_SLOTS } else { ACCELERATORS_PER_WORKER };
        self.worker_numbers.insert(worker_id(&name), index);
        let mut worker = Worker::new(name, zone, kind, cell, slots, speed);
        worker.started_at = started_at;
        self.workers.push(worker);
        self.list_worker(index);
        index
    }

    /// Lists a worker as in service.
    pub(crate) fn list_worker(&mut self, index: u32) {
        let worker = &self.workers[index as usize];
        let line = WorkerLine {
            host: worker.name.clone(),
            dial: format!("10.{}.{}.{}:8443", worker.zone, index >> 8 & 255, index & 255),
            site: zone_name(worker.zone as u32),
            class: ["plain", "accelerated"][worker.kind].to_owned(),
            block: worker.cell,
            health: "in_service",
            share: 1.0,
            born_ms: worker.started_at.map_or(0, |started_at| started_at / 1_000),
        };
        let location = (worker.zone, worker.kind);
        self.discovery.set_worker(index, line, location);
        self.schedule_publish();
    }

    /// Schedules the publication of changes to the list, if there are any and it is not scheduled yet.
    pub(crate) fn schedule_publish(&mut self) {
        if self.discovery.has_changes() && !std::mem::replace(&mut self.publish_scheduled, true) {
            self.schedule(self.now + PUBLISH_INTERVAL, SimEvent::PublishList);
        }
    }

    pub(crate) fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse(ScheduledEvent { at, sequence: self.sequence, event }));
    }

    pub(crate) fn run(mut self) -> Summary {
        let (_, end) = self.plan.measured_span();
        let client_timeout = CLASSES.iter().map(|class| class.client_timeout).max().unwrap_or(0);
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at >= end && (self.open_requests == 0 || next.at > end + client_timeout + SECOND) {
                break;
            }
            self.now = next.at;
            self.handle_event(next.event);
        }
        let incident_at = (self.plan.incident != Incident::None).then(|| self.plan.incident_at());
        let sizes: Vec<u64> =
            self.serving_process.iter().flatten().map(|&process| self.knowledge_bytes(process)).collect();
        let state_bytes = sizes.iter().sum::<u64>() / (sizes.len() as u64).max(1);
        let quotas = self.plan.quotas_and_demand();
        let exceeded_quotas: f64 = quotas.iter().filter(|quota| quota.1 > 1.0).map(|quota| quota.0).sum();
        let ratio = |count: u64, all: f64| if all > 0.0 { count as f64 / all } else { 0.0 };
        let quota = QuotaRatios {
            within_quota: ratio(self.quota_counts.1, self.quota_counts.0 as f64),
            over_quota: ratio(self.quota_counts.2, exceeded_quotas * self.plan.measured_seconds as f64),
        };
        let config = self.config_outcome();
        self.recorder.finish(incident_at, quota, state_bytes, config)
    }

    /// The requests of a simulation without an incident, in order of arrival.
    pub(crate) fn into_requests(mut self) -> Vec<Job> {
        while let Some(Reverse(next)) = self.queue.pop() {
            self.now = next.at;
            match next.event {
                SimEvent::InitialRequest => self.generate_request(true),
                SimEvent::NextRequest => self.generate_request_and_schedule_next(),
                _ => {}
            }
        }
        self.jobs
    }

    /// Size of the knowledge of a process as JSON, in bytes.
    fn knowledge_bytes(&self, process: u32) -> u64 {
        let dispatcher = &self.processes[process as usize].dispatcher;
        dispatcher.knowledge_text(self.now).map_or(0, |text| text.len() as u64)
    }

    /// The settings that the scheduler of this rank starts with.
    fn initial_settings(&self, rank: u32) -> Settings {
        Settings { rank, zone: ZoneIx(self.plan.zone_of(rank)), ..self.settings.clone() }
    }

    /// Starts a process for the scheduler of this rank. Returns its index.
    pub(crate) fn start_process(&mut self, rank: u32) -> u32 {
        let settings = self.initial_settings(rank);
        let seed = self.plan.seed << 32 | u64::from(rank) << 8 | (self.processes.len() as u64 & 255);
        self.processes.push(Process::new(settings, seed, self.now));
        let process = self.processes.len() as u32 - 1;
        self.serving_process[rank as usize] = Some(process);
        process
    }

    /// Counts a message that arrives over a path which has been cut for longer than the maximum transit time.
    fn check_cut(&mut self, event: &SimEvent) {
        let zone = |process: &u32| self.processes[*process as usize].zone;
        let worker = |index: &u32| self.workers[*index as usize].zone;
        let path = match event {
            SimEvent::DatagramArrives { to, from, .. } => (self.plan.zone_of(*from), self.plan.zone_of(*to)),
            SimEvent::AttemptArrives { origin, worker: index, .. }
            | SimEvent::CancelArrives { worker: index, origin, .. } => (zone(&origin.process), worker(index)),
            SimEvent::ProbeArrives { process, worker: index, .. } => (zone(process), worker(index)),
            SimEvent::TaskUpdateArrives { process, from, .. } => (worker(from), zone(process)),
            SimEvent::WatchCallArrives { process, .. } => (zone(process), self.discovery.zone),
            SimEvent::WatchMessageArrives { process, .. } => (self.discovery.zone, zone(process)),
            SimEvent::Agreement(AgreementEvent::WatchLinesArrive { machine, process, .. }) => {
                (self.machine_zone(*machine), zone(process))
            }
            _ => return,
        };
        self.recorder.summary.extra.messages_through_cuts +=
            u64::from(self.links.crossed_cut(self.now, path.0, path.1));
    }

    fn handle_event(&mut self, event: SimEvent) {
        self.check_cut(&event);
        match event {
            SimEvent::SchedulerStarts { rank } => {
                let process = self.start_process(rank);
                let list = self.discovery.whole_list();
                self.processes[process as usize].load_initial_list(&list, None);
                self.process_pending(process);
                self.start_learner(process);
            }
            SimEvent::InitialRequest => self.generate_request(true),
            SimEvent::NextRequest => self.generate_request_and_schedule_next(),
            SimEvent::RequestArrives { job } => self.request_arrives(job),
            SimEvent::RequestOverdue { job } => self.request_overdue(job),
            SimEvent::DeadlineReached { process, deadline } => {
                self.with_process(process, |process, now| process.handle_deadline(now, deadline))
            }
            SimEvent::DatagramArrives { to, from, body } => {
                let Some(process) = self.live_process(to) else { return };
                self.recorder.summary.extra.datagrams.1 += 1;
                if from != to {
                    self.recorder.record_message(self.now, to, attempts::function(&body), body.len());
                }
                self.with_process(process, |process, _| process.peer_message(from, body.to_vec()));
            }
            SimEvent::ConnectionUp { process, id, worker } => {
                if self.processes[process as usize].alive
                    && self.processes[process as usize].check_start(self.now, id)
                {
                    self.write_attempt(process, id, worker);
                }
                self.process_pending(process);
            }
            SimEvent::ConnectionFailed { process, id } => {
                self.with_process(process, |process, now| process.connection_failed(now, id))
            }
            SimEvent::AttemptArrives { origin, worker, job } => self.attempt_arrives(origin, worker, job),
            SimEvent::AttemptAccepted { process, id, worker, incarnation } => {
                self.with_process(process, |process, now| {
                    process.attempt_accepted(id);
                    process.idle_connections.entry(worker).or_default().push((now, incarnation));
                })
            }
            SimEvent::TaskUpdateArrives { process, id, update, .. } => {
                self.task_update_arrives(process, id, update)
            }
            SimEvent::SendTaskUpdate { worker, origin, update, sends } => {
                self.send_task_update(worker, origin, update, sends)
            }
            SimEvent::TaskDone { worker, incarnation, task } => self.task_done(worker, incarnation, task),
            SimEvent::TaskProgress { worker, incarnation, task } => {
                self.task_progress(worker, incarnation, task)
            }
            SimEvent::SendCancel { worker, origin, failures } => self.send_cancel(origin, worker, failures),
            SimEvent::CancelArrives { worker, origin, failures } => {
                self.cancel_arrives(worker, origin, failures)
            }
            SimEvent::ProbeArrives { process, worker, sent } => self.probe_arrives(process, worker, sent),
            SimEvent::ProbeFinished { process, worker, sent, report, bytes } => {
                let rank = self.processes[process as usize].rank;
                if bytes > 0 {
                    self.recorder.record_message(self.now, rank, Function::Probes, bytes);
                }
                let ending = if report.is_some() { Ending::Ok } else { Ending::Unreachable };
                self.with_process(process, |process, now| {
                    process.probe_finished(worker, ending, now - sent, report)
                });
            }
            SimEvent::WatchCallArrives { process, call, from } => {
                self.watch_call_arrives(process, call, from)
            }
            SimEvent::WatchCallAnswered { process, call, from } => {
                self.watch_call_answered(process, call, from)
            }
            SimEvent::WatchCallRefused { process, call } => self.with_process(process, |process, now| {
                if process.watch_call == Some(call) {
                    process.watch_failed(now);
                }
            }),
            SimEvent::WatchMessageArrives { process, call, update, bytes } => {
                let (rank, watch) =
                    (self.processes[process as usize].rank, self.processes[process as usize].watch_call);
                if !self.processes[process as usize].alive || watch != Some(call) {
                    return;
                }
                let whole = update.as_ref().is_some_and(|update| update.kind == ListKind::Full);
                let function = if whole { Function::List } else { Function::Watch };
                self.recorder.record_message(self.now, rank, function, bytes);
                self.with_process(process, |process, now| process.watch_message(now, update.as_deref()));
            }
            SimEvent::KeepaliveDue { process, call } => self.keepalive_due(process, call),
            SimEvent::PublishList => {
                self.publish_scheduled = false;
                let update = self.discovery.publish();
                let watches: Vec<(u32, u64)> =
                    self.discovery.watches.iter().map(|(&process, watch)| (process, watch.call)).collect();
                for (process, call) in watches {
                    self.write_to_watch(process, call, Some(Rc::clone(&update)), update.bytes);
                }
            }
            SimEvent::Incident(step) => self.apply_incident_step(step),
            SimEvent::Agreement(event) => self.handle_agreement_event(event),
        }
    }

    /// The process of the scheduler of this rank, if it runs.
    pub(crate) fn live_process(&self, rank: u32) -> Option<u32> {
        self.serving_process[rank as usize].filter(|&process| self.processes[process as usize].alive)
    }

    /// Calls `update` on a process, if it runs, and executes the commands that result.
    pub(crate) fn with_process(&mut self, process: u32, update: impl FnOnce(&mut Process, Micros)) {
        let target = &mut self.processes[process as usize];
        if target.alive {
            update(target, self.now);
            self.process_pending(process);
        }
    }

    /// Processes the pending events of a process and executes the resulting commands until there are none.
    pub(crate) fn process_pending(&mut self, process: u32) {
        while self.processes[process as usize].alive && self.processes[process as usize].has_pending() {
            let commands = self.processes[process as usize].process_events(self.now, &mut self.recorder);
            for (job, within_quota) in std::mem::take(&mut self.processes[process as usize].quota_decisions) {
                self.count_quota_decision(job, within_quota);
            }
            for command in commands {
                self.execute(process, command);
            }
        }
    }

    fn count_quota_decision(&mut self, job: u32, within_quota: bool) {
        let job = &self.jobs[job as usize];
        let Some(tenant) = job.tenant.filter(|_| job.measured) else { return };
        // A demand above 1 exceeds the quota.
        if self.plan.demand(tenant) > 1.0 {
            self.quota_counts.2 += u64::from(within_quota);
        } else {
            self.quota_counts.0 += 1;
            self.quota_counts.1 += u64::from(within_quota);
        }
    }
}
