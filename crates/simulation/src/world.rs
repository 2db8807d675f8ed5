//! The world: the queue of happenings, and who hears of what. Two happenings of the same moment come in the order in which
//! they were laid.

mod agreement;
mod attempts;
mod happenings;
mod lists;
mod requests;
mod tasks;

use crate::Micros;
use crate::clients::{Clients, Job, Run};
use crate::discovery::{BEAT, Discovery, GATHER, Update};
use crate::encode::{self, Line};
use crate::incidents::Step;
use crate::links::Links;
use crate::plan::{CLASSES, EPOCH, Incident, MILLI, PROGRESS, Plan, SECOND, SLOTS, UNITS, zone_name};
use crate::recorder::{Function, Recorder, Shares, Summary};
use crate::schedulers::{ARRIVES, Answer, AttemptId, Due, Process, REST, Work};
use crate::workers::{Life, Origin, Task, Worker};
use agreement::{Agreement, Word};
use calicolb::api::*;
use calicolb::wire::worker_id;

use happenings::Next;
pub(crate) use happenings::{Happening, News};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;

/// Schedulers start within this time.
const START: Micros = 2 * SECOND;
/// Jobs that are under way come in within this time, from [`START`] on.
const FILL: Micros = 6 * SECOND;
/// A client whose scheduler is gone is with another after this time.
const FRONT: Micros = 200 * MILLI;
/// From a client to a scheduler.
const CLIENT: Micros = 300;
/// So long after its client's time a request without an answer is lost.
const OVERDUE: Micros = 500 * MILLI;
/// A worker tells what became of a task again after this time, ...
const AGAIN: Micros = SECOND;
/// ... and so often at most.
const TOLD: u32 = 10;
/// Spread of the workers' speeds, as the standard deviation of the natural logarithm.
const SPEED_SPREAD: f64 = 0.1;
/// Workers of a rack.
pub(crate) const RACK: u32 = 20;

/// See the head of this file.
pub(crate) struct World {
    pub(crate) plan: Plan,
    pub(crate) settings: Settings,
    pub(crate) now: Micros,
    order: u64,
    queue: BinaryHeap<Reverse<Next>>,
    pub(crate) links: Links,
    pub(crate) workers: Vec<Worker>,
    by_id: HashMap<WorkerId, u32>,
    pub(crate) discovery: Discovery,
    flushing: bool,
    /// All processes that there were.
    pub(crate) processes: Vec<Process>,
    /// The process that serves as the scheduler of a rank.
    pub(crate) serving: Vec<Option<u32>>,
    clients: Clients,
    pub(crate) jobs: Vec<Job>,
    /// Requests without an answer.
    open: usize,
    pub(crate) ledger: Recorder,
    tasks: u64,
    calls: u64,
    pub(crate) rng: StdRng,
    agreement: Option<Agreement>,
    /// Changes that a control machine has been asked for, and which.
    asked: Vec<(u32, u32)>,
    /// Of tenants within their quotas: requests, and those that counted so. Of those beyond: what counted as within.
    shares: (u64, u64, u64),
}

impl World {
    pub(crate) fn new(plan: &Plan) -> Self {
        let seed = |part: u64| plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(part);
        let mut world = World {
            plan: plan.clone(),
            settings: plan.settings(),
            now: EPOCH,
            order: 0,
            queue: BinaryHeap::new(),
            links: Links::new(plan.zones as usize, plan.regions as usize, seed(1)),
            workers: Vec::new(),
            by_id: HashMap::new(),
            discovery: Discovery::new(0),
            flushing: false,
            processes: Vec::new(),
            serving: vec![None; plan.schedulers as usize],
            clients: Clients::new(plan, seed(2)),
            jobs: Vec::new(),
            open: 0,
            ledger: Recorder::new(plan),
            tasks: 0,
            calls: 0,
            rng: StdRng::seed_from_u64(seed(3)),
            agreement: None,
            asked: Vec::new(),
            shares: (0, 0, 0),
        };
        let plain = plan.workers - plan.accelerated();
        for nr in 0..plan.workers {
            let rack = plan.zone_of(nr) as u32 * 1_000 + nr / plan.zones / RACK;
            world.add_worker(plan.zone_of(nr), usize::from(nr >= plain), rack, None);
        }
        world.discovery.flush();
        for rank in 0..plan.schedulers {
            let at = EPOCH + world.rng.random_range(0..START);
            world.lay(at, Happening::Start { rank });
        }
        let under_way = (plan.mean_work() / SECOND as f64 * plan.requests_per_s) as u32;
        for _ in 0..under_way {
            let at = EPOCH + START + world.rng.random_range(0..FILL);
            world.lay(at, Happening::Fill);
        }
        world.lay(EPOCH + START + FILL / 2, Happening::Arrive);
        world.schedule_incident();
        if plan.incident == Incident::Config {
            world.set_up_agreement(seed(4));
        }
        world
    }

    /// A new worker, in the list from the next version on; `born`: when its process started, if that is not long ago.
    pub(crate) fn add_worker(&mut self, zone: usize, kind: usize, cell: u32, born: Option<Micros>) -> u32 {
        let nr = self.workers.len() as u32;
        let mut draw = u64::from(nr) << 32 | self.plan.seed & 0xffff_ffff;
        let name = loop {
            draw = (draw ^ draw >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let name = format!("s-{:08x}", draw >> 32);
            // Schedulers know a worker by a number that is drawn from its name.
            if !self.by_id.contains_key(&worker_id(&name)) {
                break name;
            }
        };
        let spread = LogNormal::new(0.0, SPEED_SPREAD).map_or(1.0, |spread| spread.sample(&mut self.rng));
        let slots = if kind == 0 { SLOTS } else { UNITS };
        self.by_id.insert(worker_id(&name), nr);
        let mut worker = Worker::new(name, zone, kind, cell, slots, spread);
        worker.born = born;
        self.workers.push(worker);
        self.list(nr);
        nr
    }

    /// A worker is in service by the list.
    pub(crate) fn list(&mut self, nr: u32) {
        let worker = &self.workers[nr as usize];
        let line = Line {
            host: worker.name.clone(),
            dial: format!("10.{}.{}.{}:8443", worker.zone, nr >> 8 & 255, nr & 255),
            site: zone_name(worker.zone as u32),
            class: ["plain", "accelerated"][worker.kind].to_owned(),
            block: worker.cell,
            health: "in_service",
            share: 1.0,
            born_ms: worker.born.map_or(0, |born| born / 1_000),
        };
        let place = (worker.zone, worker.kind);
        self.discovery.set(nr, line, place);
        self.tell_list();
    }

    /// What has changed in the list is told soon.
    pub(crate) fn tell_list(&mut self) {
        if self.discovery.stale() && !std::mem::replace(&mut self.flushing, true) {
            self.lay(self.now + GATHER, Happening::Flush);
        }
    }

    pub(crate) fn lay(&mut self, at: Micros, what: Happening) {
        self.order += 1;
        self.queue.push(Reverse(Next { at, order: self.order, what }));
    }

    pub(crate) fn run(mut self) -> Summary {
        let (_, end) = self.plan.span();
        let patience = CLASSES.iter().map(|class| class.client_timeout).max().unwrap_or(0);
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at >= end && (self.open == 0 || next.at > end + patience + SECOND) {
                break;
            }
            self.now = next.at;
            self.happen(next.what);
        }
        let wrong = (self.plan.incident != Incident::None).then(|| self.plan.incident_at());
        let known: Vec<u64> = self.serving.iter().flatten().map(|&process| self.known(process)).collect();
        let state = known.iter().sum::<u64>() / (known.len() as u64).max(1);
        let quotas = self.plan.quotas();
        let over: f64 = quotas.iter().filter(|quota| quota.1 > 1.0).map(|quota| quota.0).sum();
        let ratio = |part: u64, all: f64| if all > 0.0 { part as f64 / all } else { 0.0 };
        let shares = Shares {
            in_share: ratio(self.shares.1, self.shares.0 as f64),
            over: ratio(self.shares.2, over * self.plan.measured_seconds as f64),
        };
        let agreed = self.agreed();
        self.ledger.close(wrong, shares, state, agreed)
    }

    /// The requests of a play in which nothing goes wrong, in the order in which they come in.
    pub(crate) fn requests(mut self) -> Vec<Job> {
        while let Some(Reverse(next)) = self.queue.pop() {
            self.now = next.at;
            match next.what {
                Happening::Fill => self.arrive(true),
                Happening::Arrive => self.arrive_and_go_on(),
                _ => {}
            }
        }
        self.jobs
    }

    /// How many bytes of JSON a process knows.
    fn known(&self, process: u32) -> u64 {
        let knowledge = self.processes[process as usize].dispatcher.knowledge();
        serde_json::to_vec(&knowledge).map_or(0, |text| text.len() as u64)
    }

    /// The settings that the scheduler of this rank begins with.
    fn settings_of(&self, rank: u32) -> Settings {
        Settings { rank, zone: ZoneIx(self.plan.zone_of(rank)), ..self.settings.clone() }
    }

    /// A process of the scheduler of this rank starts.
    pub(crate) fn new_process(&mut self, rank: u32) -> u32 {
        let settings = self.settings_of(rank);
        let seed = self.plan.seed << 32 | u64::from(rank) << 8 | (self.processes.len() as u64 & 255);
        self.processes.push(Process::new(settings, seed, self.now));
        let process = self.processes.len() as u32 - 1;
        self.serving[rank as usize] = Some(process);
        process
    }

    /// Counts what comes through a link that has been cut for longer than anything is on its way.
    fn check_way(&mut self, what: &Happening) {
        let zone = |process: &u32| self.processes[*process as usize].zone;
        let worker = |nr: &u32| self.workers[*nr as usize].zone;
        let way = match what {
            Happening::Datagram { to, from, .. } => (self.plan.zone_of(*from), self.plan.zone_of(*to)),
            Happening::AttemptAt { origin, worker: nr, .. }
            | Happening::GiveUpAt { worker: nr, origin, .. } => (zone(&origin.process), worker(nr)),
            Happening::ProbeAt { process, worker: nr, .. } => (zone(process), worker(nr)),
            Happening::News { process, from, .. } => (worker(from), zone(process)),
            Happening::CallAt { process, .. } => (zone(process), self.discovery.zone),
            Happening::Watched { process, .. } => (self.discovery.zone, zone(process)),
            Happening::Agreement(Word::Lines { machine, process, .. }) => {
                (self.machine_zone(*machine), zone(process))
            }
            _ => return,
        };
        self.ledger.account.extra.through_cuts += u64::from(self.links.through(self.now, way.0, way.1));
    }

    fn happen(&mut self, what: Happening) {
        self.check_way(&what);
        match what {
            Happening::Start { rank } => {
                let process = self.new_process(rank);
                let list = self.discovery.list();
                self.processes[process as usize].warm(&list, None);
                self.settle(process);
                self.begin_learning(process);
            }
            Happening::Fill => self.arrive(true),
            Happening::Arrive => self.arrive_and_go_on(),
            Happening::Request { job } => self.request(job),
            Happening::Overdue { job } => self.overdue(job),
            Happening::Due { process, due } => self.with(process, |process, now| process.due(now, due)),
            Happening::Datagram { to, from, body } => {
                let Some(process) = self.alive(to) else { return };
                self.ledger.account.extra.datagrams.1 += 1;
                if from != to {
                    self.ledger.message(self.now, to, attempts::function(&body), body.len());
                }
                self.with(process, |process, _| process.peer(from, body.to_vec()));
            }
            Happening::Up { process, id, worker } => {
                if self.processes[process as usize].alive
                    && self.processes[process as usize].begins(self.now, id)
                {
                    self.write(process, id, worker);
                }
                self.settle(process);
            }
            Happening::Fails { process, id } => self.with(process, |process, now| process.broke(now, id)),
            Happening::AttemptAt { origin, worker, job } => self.attempt_at(origin, worker, job),
            Happening::Taken { process, id, worker, incarnation } => self.with(process, |process, now| {
                process.taken(id);
                process.idle.entry(worker).or_default().push((now, incarnation));
            }),
            Happening::News { process, id, news, .. } => self.news(process, id, news),
            Happening::Tell { worker, origin, news, times } => self.tell(worker, origin, news, times),
            Happening::Done { worker, incarnation, task } => self.done(worker, incarnation, task),
            Happening::Progress { worker, incarnation, task } => self.progress(worker, incarnation, task),
            Happening::GiveUpAt { worker, origin, answers } => self.give_up_at(worker, origin, answers),
            Happening::ProbeAt { process, worker, sent } => self.probe_at(process, worker, sent),
            Happening::Probed { process, worker, sent, report, bytes } => {
                let rank = self.processes[process as usize].rank;
                if bytes > 0 {
                    self.ledger.message(self.now, rank, Function::Probes, bytes);
                }
                let ending = if report.is_some() { Ending::Ok } else { Ending::Unreachable };
                self.with(process, |process, now| process.probed(worker, ending, now - sent, report));
            }
            Happening::CallAt { process, call, from } => self.call_at(process, call, from),
            Happening::Called { process, call, from } => self.called(process, call, from),
            Happening::Refused { process, call } => self.with(process, |process, now| {
                if process.watch == Some(call) {
                    process.unwatched(now);
                }
            }),
            Happening::Watched { process, call, update, bytes } => {
                let (rank, watch) =
                    (self.processes[process as usize].rank, self.processes[process as usize].watch);
                if !self.processes[process as usize].alive || watch != Some(call) {
                    return;
                }
                let whole = update.as_ref().is_some_and(|update| update.kind == ListKind::Full);
                let function = if whole { Function::List } else { Function::Watch };
                self.ledger.message(self.now, rank, function, bytes);
                self.with(process, |process, now| process.heard(now, update.as_deref()));
            }
            Happening::Beat { process, call } => self.beat(process, call),
            Happening::Flush => {
                self.flushing = false;
                let update = self.discovery.flush();
                let watches: Vec<(u32, u64)> =
                    self.discovery.watches.iter().map(|(&process, watch)| (process, watch.call)).collect();
                for (process, call) in watches {
                    self.bring(process, call, Some(Rc::clone(&update)), update.bytes);
                }
            }
            Happening::Incident(step) => self.trouble(step),
            Happening::Agreement(word) => self.word(word),
        }
    }

    /// The process that serves as this scheduler, if it runs.
    pub(crate) fn alive(&self, rank: u32) -> Option<u32> {
        self.serving[rank as usize].filter(|&process| self.processes[process as usize].alive)
    }

    /// Tells a process something, if it runs, and does what it then wants.
    pub(crate) fn with(&mut self, process: u32, tell: impl FnOnce(&mut Process, Micros)) {
        let told = &mut self.processes[process as usize];
        if told.alive {
            tell(told, self.now);
            self.settle(process);
        }
    }

    pub(crate) fn settle(&mut self, process: u32) {
        while self.processes[process as usize].alive && self.processes[process as usize].has_news() {
            let works = self.processes[process as usize].settle(self.now, &mut self.ledger);
            for (job, within) in std::mem::take(&mut self.processes[process as usize].counted) {
                self.count_share(job, within);
            }
            for work in works {
                self.carry_out(process, work);
            }
        }
    }

    fn count_share(&mut self, job: u32, within: bool) {
        let job = &self.jobs[job as usize];
        let Some(tenant) = job.tenant.filter(|_| job.measured) else { return };
        // As in the plan: who asks for more than its quota.
        if self.plan.asks(tenant) > 1.0 {
            self.shares.2 += u64::from(within);
        } else {
            self.shares.0 += 1;
            self.shares.1 += u64::from(within);
        }
    }
}
