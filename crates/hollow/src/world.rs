//! The world: the queue of happenings, and who hears of what. Two happenings of the same moment come in the order in which
//! they were laid.

use crate::Micros;
use crate::clients::{Clients, Job, Run};
use crate::discovery::{BEAT, Discovery, GATHER, Update};
use crate::encode::{self, Line};
use crate::ledger::{Account, Function, Ledger, Shares};
use crate::links::Links;
use crate::plan::{CLASSES, EPOCH, MILLI, PROGRESS, Plan, SECOND, SLOTS, Trouble, UNITS, zone_name};
use crate::schedulers::{ARRIVES, Answer, AttemptId, Due, Process, REST, Work};
use crate::troubles::Step;
use crate::workers::{Life, Origin, Task, Worker};
use calicolb::api::*;
use calicolb::wire::hop_id;
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

/// What a worker tells of a task that it took.
#[derive(Clone, Debug)]
pub(crate) enum News {
    Started,
    Progress(f64),
    Over(Ending, Option<Report>),
}

/// What can happen.
pub(crate) enum Happening {
    Start { rank: u32 },
    Fill,
    Arrive,
    Request { job: u32 },
    Overdue { job: u32 },
    Due { process: u32, due: Due },
    Datagram { to: u32, from: u32, body: Rc<Vec<u8>> },
    Up { process: u32, id: AttemptId, worker: u32 },
    Fails { process: u32, id: AttemptId },
    AttemptAt { origin: Origin, worker: u32, job: u32 },
    Taken { process: u32, id: AttemptId, worker: WorkerId, incarnation: u32 },
    News { process: u32, id: AttemptId, news: News },
    Tell { worker: u32, origin: Origin, news: News, times: u32 },
    Done { worker: u32, incarnation: u32, task: u64 },
    Progress { worker: u32, incarnation: u32, task: u64 },
    GiveUpAt { worker: u32, origin: Origin, answers: bool },
    ProbeAt { process: u32, worker: u32, sent: Micros },
    Probed { process: u32, worker: WorkerId, sent: Micros, report: Option<Report>, bytes: usize },
    CallAt { process: u32, call: u64, from: u64 },
    Called { process: u32, call: u64, from: u64 },
    Refused { process: u32, call: u64 },
    Watched { process: u32, call: u64, update: Option<Rc<Update>>, bytes: usize },
    Beat { process: u32, call: u64 },
    Flush,
    Trouble(Step),
}

struct Next {
    at: Micros,
    order: u64,
    what: Happening,
}

impl PartialEq for Next {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Next {}

impl PartialOrd for Next {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Next {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// See the head of this file.
pub(crate) struct World {
    pub(crate) plan: Plan,
    settings: Settings,
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
    pub(crate) ledger: Ledger,
    tasks: u64,
    calls: u64,
    pub(crate) rng: StdRng,
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
            ledger: Ledger::new(plan),
            tasks: 0,
            calls: 0,
            rng: StdRng::seed_from_u64(seed(3)),
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
        let under_way = (plan.mean_work() / SECOND as f64 * plan.starts_per_s) as u32;
        for _ in 0..under_way {
            let at = EPOCH + START + world.rng.random_range(0..FILL);
            world.lay(at, Happening::Fill);
        }
        world.lay(EPOCH + START + FILL / 2, Happening::Arrive);
        world.lay_troubles();
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
            if !self.by_id.contains_key(&hop_id(&name)) {
                break name;
            }
        };
        let spread = LogNormal::new(0.0, SPEED_SPREAD).map_or(1.0, |spread| spread.sample(&mut self.rng));
        let slots = if kind == 0 { SLOTS } else { UNITS };
        self.by_id.insert(hop_id(&name), nr);
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

    pub(crate) fn play(mut self) -> Account {
        let (_, end) = self.plan.span();
        let patience = CLASSES.iter().map(|class| class.patience).max().unwrap_or(0);
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at >= end && (self.open == 0 || next.at > end + patience + SECOND) {
                break;
            }
            self.now = next.at;
            self.happen(next.what);
        }
        let wrong = (self.plan.event != Trouble::None).then(|| self.plan.trouble_at());
        let known: Vec<u64> = self.serving.iter().flatten().map(|&process| self.known(process)).collect();
        let state = known.iter().sum::<u64>() / (known.len() as u64).max(1);
        let quotas = self.plan.quotas();
        let over: f64 = quotas.iter().filter(|quota| quota.1 > 1.0).map(|quota| quota.0).sum();
        let ratio = |part: u64, all: f64| if all > 0.0 { part as f64 / all } else { 0.0 };
        let shares = Shares {
            in_share: ratio(self.shares.1, self.shares.0 as f64),
            over: ratio(self.shares.2, over * self.plan.seconds as f64),
        };
        self.ledger.close(wrong, shares, state)
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

    /// A process of the scheduler of this rank starts.
    pub(crate) fn new_process(&mut self, rank: u32) -> u32 {
        let zone = ZoneIx(self.plan.zone_of(rank));
        let settings = Settings { rank, zone, ..self.settings.clone() };
        let seed = self.plan.seed << 32 | u64::from(rank) << 8 | (self.processes.len() as u64 & 255);
        self.processes.push(Process::new(settings, seed, self.now));
        let process = self.processes.len() as u32 - 1;
        self.serving[rank as usize] = Some(process);
        process
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Start { rank } => {
                let process = self.new_process(rank);
                let list = self.discovery.list();
                self.processes[process as usize].warm(&list);
                self.settle(process);
            }
            Happening::Fill => self.arrive(true),
            Happening::Arrive => self.arrive_and_go_on(),
            Happening::Request { job } => self.request(job),
            Happening::Overdue { job } => self.overdue(job),
            Happening::Due { process, due } => self.with(process, |process, now| process.due(now, due)),
            Happening::Datagram { to, from, body } => {
                let Some(process) = self.alive(to) else { return };
                self.ledger.account.aside.datagrams.1 += 1;
                if from != to {
                    self.ledger.message(self.now, to, function(&body), body.len());
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
            Happening::News { process, id, news } => self.news(process, id, news),
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
            Happening::Trouble(step) => self.trouble(step),
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
        let Some(tenant) = job.tenant.filter(|_| job.counts) else { return };
        // As in the plan: who asks for more than its quota.
        if self.plan.asks(tenant) > 1.0 {
            self.shares.2 += u64::from(within);
        } else {
            self.shares.0 += 1;
            self.shares.1 += u64::from(within);
        }
    }

    // ---- Clients ---------------------------------------------------------------------------------

    fn arrive_and_go_on(&mut self) {
        self.arrive(false);
        let next = self.now + self.clients.gap();
        if next < self.plan.span().1 {
            self.lay(next, Happening::Arrive);
        }
    }

    fn arrive(&mut self, under_way: bool) {
        let counts = self.ledger.counts(self.now);
        let job = self.clients.draw(self.now, counts, under_way);
        self.ledger.account.jobs += u64::from(counts);
        let nr = self.jobs.len() as u32;
        self.lay(job.expires + OVERDUE, Happening::Overdue { job: nr });
        self.jobs.push(job);
        self.open += 1;
        self.lay(self.now + CLIENT, Happening::Request { job: nr });
    }

    fn request(&mut self, nr: u32) {
        let job = &mut self.jobs[nr as usize];
        let (rank, expires) = (job.rank, job.expires);
        let serving = self.serving[rank as usize].filter(|&process| self.processes[process as usize].alive);
        let Some(process) = serving else {
            // The front has not seen yet that it has gone, and the client turns to another.
            job.rank = self.clients.below(self.plan.schedulers);
            if self.now + FRONT < expires {
                return self.lay(self.now + FRONT, Happening::Request { job: nr });
            }
            return self.answered(nr, Some(Answer::Refused));
        };
        let arrival = arrival(&self.jobs[nr as usize]);
        self.with(process, |process, _| process.arrive(nr, arrival));
    }

    fn overdue(&mut self, nr: u32) {
        if self.jobs[nr as usize].answered {
            return;
        }
        self.answered(nr, None);
        let rank = self.jobs[nr as usize].rank;
        if let Some(process) = self.alive(rank) {
            self.with(process, |process, _| process.leave(nr));
        }
    }

    /// A request has its final answer, or will never have one.
    pub(crate) fn answered(&mut self, nr: u32, answer: Option<Answer>) {
        let job = &mut self.jobs[nr as usize];
        if std::mem::replace(&mut job.answered, true) {
            return;
        }
        self.open -= 1;
        if !job.counts {
            return;
        }
        let account = &mut self.ledger.account;
        match answer {
            Some(Answer::Served) => {
                account.served += 1;
                let aim = CLASSES[job.class].aim_for(job.work);
                account.late += u64::from(self.now > job.arrived + aim);
            }
            Some(Answer::Refused) => account.refused += 1,
            Some(Answer::Failed) => account.aside.failed += 1,
            None => account.lost += 1,
        }
    }

    // ---- What a scheduler wants ------------------------------------------------------------------

    fn carry_out(&mut self, process: u32, work: Work) {
        match work {
            Work::Answer { job, answer } => self.answered(job, Some(answer)),
            Work::Due(at, due) => self.lay(at, Happening::Due { process, due }),
            Work::Send { id, worker } => self.send(process, id, worker),
            Work::GiveUp { id, worker, taken } => {
                let Some(&nr) = self.by_id.get(&worker) else { return };
                let (here, there) = (self.processes[process as usize].zone, self.workers[nr as usize].zone);
                let origin = origin(process, id);
                if self.links.both(here, there) {
                    let at = self.now + self.links.delay(here, there);
                    self.lay(at, Happening::GiveUpAt { worker: nr, origin, answers: taken });
                }
                if !taken {
                    self.lay(self.now + ARRIVES, Happening::Due { process, due: Due::CalledOff(id) });
                }
            }
            Work::Probe(worker) => self.probe(process, worker),
            Work::Tell { to, body } => self.say(process, to, body),
            Work::Watch(want) => self.watch(process, want),
            // The module asks for a watch only; a whole list is what a watch begins with where changes are not enough.
            Work::FetchList => self.watch(process, true),
        }
    }

    fn say(&mut self, process: u32, to: Option<u32>, body: Vec<u8>) {
        let (rank, zone) = (self.processes[process as usize].rank, self.processes[process as usize].zone);
        let body = Rc::new(body);
        if to == Some(rank) {
            // To the process that took over, on the same machine.
            return self.lay(self.now + 100, Happening::Datagram { to: rank, from: rank, body });
        }
        self.ledger.message(self.now, rank, function(&body), body.len());
        let all = 0..self.plan.schedulers;
        let to = to.map_or(all, |to| to..to + 1);
        for to in to.filter(|&to| to != rank) {
            self.ledger.account.aside.datagrams.0 += 1;
            if let Some(delay) = self.links.datagram(zone, self.plan.zone_of(to)) {
                self.lay(self.now + delay, Happening::Datagram { to, from: rank, body: Rc::clone(&body) });
            }
        }
    }

    fn send(&mut self, process: u32, id: AttemptId, worker: WorkerId) {
        let Some(&nr) = self.by_id.get(&worker) else {
            return self.processes[process as usize].broke(self.now, id);
        };
        let (here, there) = (self.processes[process as usize].zone, self.workers[nr as usize].zone);
        let (life, incarnation) = (self.workers[nr as usize].life, self.workers[nr as usize].incarnation);
        let now = self.now;
        let idle = self.processes[process as usize].idle.get_mut(&worker).and_then(|idle| {
            idle.retain(|&(since, whose)| now < since + REST && whose == incarnation);
            idle.pop()
        });
        if idle.is_some() {
            return self.write(process, id, nr);
        }
        // A connection has to be made: there and back, or nothing comes back.
        let round = self.links.delay(here, there) + self.links.delay(there, here);
        let reached = self.links.both(here, there) && life != Life::Vanished;
        match (reached, life) {
            (true, Life::Up) => self.lay(now + round, Happening::Up { process, id, worker: nr }),
            (true, _) => self.lay(now + round, Happening::Fails { process, id }),
            (false, _) => self.lay(now + ARRIVES, Happening::Fails { process, id }),
        }
    }

    /// The last byte of an attempt is written.
    fn write(&mut self, process: u32, id: AttemptId, worker: u32) {
        self.processes[process as usize].written(self.now, id);
        self.ledger.account.aside.attempts += u64::from(self.ledger.counts(self.now));
        let (here, there) = (self.processes[process as usize].zone, self.workers[worker as usize].zone);
        if let Some(job) = self.processes[process as usize].job(id).filter(|_| self.links.both(here, there)) {
            let at = self.now + self.links.delay(here, there);
            self.lay(at, Happening::AttemptAt { origin: origin(process, id), worker, job });
        }
    }

    // ---- Workers ---------------------------------------------------------------------------------

    fn attempt_at(&mut self, origin: Origin, nr: u32, job: u32) {
        let worker = &mut self.workers[nr as usize];
        let (zone, incarnation) = (worker.zone, worker.incarnation);
        let Origin { process, request, attempt } = origin;
        let id = AttemptId { request, number: attempt };
        let back = self.now + self.links.delay(zone, self.processes[process as usize].zone);
        match worker.life {
            Life::Vanished => return,
            Life::Ended => return self.lay(back, Happening::Fails { process, id }),
            Life::Up => {}
        }
        self.doubles(job, nr);
        let Job { slots, work, .. } = self.jobs[job as usize];
        self.tasks += 1;
        let worker = &mut self.workers[nr as usize];
        if !worker.take(self.tasks, Task { origin, job, slots, work, runs: None }) {
            let news = News::Over(Ending::Full, Some(worker.report()));
            return self.lay(back, Happening::News { process, id, news });
        }
        let run = Run { number: self.tasks, worker: nr, at: self.now, ran: false, over: false };
        self.jobs[job as usize].runs.push(run);
        let worker = hop_id(&self.workers[nr as usize].name);
        self.lay(back, Happening::Taken { process, id, worker, incarnation });
        self.start_tasks(nr);
    }

    /// Counts an attempt that the rules did not allow: an earlier one has neither ended nor been given up, or may have run
    /// where that is not harmless.
    fn doubles(&mut self, job: u32, nr: u32) {
        let job = &self.jobs[job as usize];
        let zone = self.workers[nr as usize].zone;
        let harmless = |run: &Run| match self.settings.classes[job.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => !run.ran,
            Effect::Keyed { group, span } => {
                let there = &self.workers[run.worker as usize];
                let drops = match group {
                    Group::All => true,
                    Group::Zone => there.zone == zone,
                    Group::Cell => there.cell == self.workers[nr as usize].cell,
                };
                !run.ran || (drops && self.now < run.at + span)
            }
        };
        let broken = job.runs.iter().any(|run| !run.over || !harmless(run));
        self.ledger.account.doubled += u64::from(broken && job.counts);
    }

    fn start_tasks(&mut self, nr: u32) {
        let incarnation = self.workers[nr as usize].incarnation;
        for (task, end) in self.workers[nr as usize].start(self.now) {
            let Some(taken) = self.workers[nr as usize].tasks.get(&task) else { continue };
            let (job, origin) = (taken.job, taken.origin);
            let told = &mut self.jobs[job as usize];
            told.runs.iter_mut().filter(|run| run.number == task).for_each(|run| run.ran = true);
            let (class, waited) = (told.class, self.now - told.arrived);
            told.started = true;
            self.ledger.started(self.now, class, waited);
            self.lay(end, Happening::Done { worker: nr, incarnation, task });
            if self.now + PROGRESS < end {
                self.lay(self.now + PROGRESS, Happening::Progress { worker: nr, incarnation, task });
            }
            self.tell(nr, origin, News::Started, 1);
        }
    }

    fn done(&mut self, nr: u32, incarnation: u32, number: u64) {
        let worker = &mut self.workers[nr as usize];
        if worker.incarnation != incarnation {
            return;
        }
        let Some(task) = worker.remove(number) else { return };
        let report = worker.report();
        self.over(&task, number);
        self.tell(nr, task.origin, News::Over(Ending::Ok, Some(report)), 1);
        self.start_tasks(nr);
    }

    /// A task is over at its worker.
    pub(crate) fn over(&mut self, task: &Task, number: u64) {
        if task.runs.is_some() {
            self.ledger.stopped();
        }
        let runs = self.jobs[task.job as usize].runs.iter_mut();
        runs.filter(|run| run.number == number).for_each(|run| run.over = true);
    }

    fn progress(&mut self, nr: u32, incarnation: u32, number: u64) {
        let worker = &self.workers[nr as usize];
        let task = worker.tasks.get(&number).filter(|_| worker.incarnation == incarnation);
        let Some((origin, (begun, end))) = task.and_then(|task| Some((task.origin, task.runs?))) else {
            return;
        };
        let share = (self.now - begun) as f64 / (end - begun) as f64;
        if self.now + PROGRESS < end {
            self.lay(self.now + PROGRESS, Happening::Progress { worker: nr, incarnation, task: number });
        }
        // Told once: the next one says more.
        self.tell(nr, origin, News::Progress(share), TOLD);
    }

    /// A worker tells a process something of a task, for the first time or again.
    pub(crate) fn tell(&mut self, nr: u32, origin: Origin, news: News, times: u32) {
        let worker = &self.workers[nr as usize];
        let process = &self.processes[origin.process as usize];
        let open = self.links.both(worker.zone, process.zone);
        let (from, to) = (worker.zone, process.zone);
        // Another process may listen there now.
        let listens = process.alive || self.alive(process.rank).is_some();
        if open && listens {
            let at = self.now + self.links.delay(from, to);
            let id = AttemptId { request: origin.request, number: origin.attempt };
            self.lay(at, Happening::News { process: origin.process, id, news });
        } else if times < TOLD && worker.life != Life::Vanished {
            self.lay(self.now + AGAIN, Happening::Tell { worker: nr, origin, news, times: times + 1 });
        } else if let News::Over(..) = news {
            self.ledger.account.aside.tasks_lost += 1;
        }
    }

    fn news(&mut self, mut process: u32, mut id: AttemptId, news: News) {
        // What a process left to the one that took over is told to that one.
        while let Some(&(heir, there)) = self.processes[process as usize].bequeathed.get(&id) {
            (process, id) = (heir, there);
        }
        self.with(process, |process, now| match news {
            News::Started => process.note(id, Note::Started),
            News::Progress(share) => process.note(id, Note::Progress(share)),
            News::Over(ending, report) => process.over(now, id, ending, report),
        });
    }

    fn give_up_at(&mut self, nr: u32, origin: Origin, answers: bool) {
        let worker = &mut self.workers[nr as usize];
        if worker.life != Life::Up {
            return;
        }
        let zone = worker.zone;
        if let Some((number, task)) = worker.find(origin).and_then(|at| Some((at, worker.remove(at)?))) {
            self.over(&task, number);
            self.start_tasks(nr);
        }
        if answers {
            let process = origin.process;
            let id = AttemptId { request: origin.request, number: origin.attempt };
            let at = self.now + self.links.delay(zone, self.processes[process as usize].zone);
            self.lay(at, Happening::Due { process, due: Due::CalledOff(id) });
        }
    }

    fn probe(&mut self, process: u32, worker: WorkerId) {
        let Some(&nr) = self.by_id.get(&worker) else { return };
        let (rank, here) = (self.processes[process as usize].rank, self.processes[process as usize].zone);
        let (there, life) = (self.workers[nr as usize].zone, self.workers[nr as usize].life);
        if self.links.both(here, there) && life == Life::Up {
            self.ledger.message(self.now, rank, Function::Probes, encode::probe_call().len());
            let at = self.now + self.links.delay(here, there);
            self.lay(at, Happening::ProbeAt { process, worker: nr, sent: self.now });
        } else {
            let (sent, report, bytes) = (self.now, None, 0);
            self.lay(self.now + ARRIVES, Happening::Probed { process, worker, sent, report, bytes });
        }
    }

    fn probe_at(&mut self, process: u32, nr: u32, sent: Micros) {
        let worker = &self.workers[nr as usize];
        let (report, id, zone) = (worker.report(), hop_id(&worker.name), worker.zone);
        let (inflight, queue, free) = worker.load();
        let up = worker.life == Life::Up;
        let bytes = if up { encode::probe_answer(inflight, queue, free).len() } else { 0 };
        let at = self.now + self.links.delay(zone, self.processes[process as usize].zone);
        let report = Some(report).filter(|_| up);
        self.lay(at, Happening::Probed { process, worker: id, sent, report, bytes });
    }

    // ---- Discovery -------------------------------------------------------------------------------

    fn watch(&mut self, process: u32, want: bool) {
        self.calls += 1;
        let call = self.calls;
        let told = &mut self.processes[process as usize];
        let (rank, zone, from) = (told.rank, told.zone, told.seq);
        told.watches(self.now, want.then_some(call));
        let there = self.discovery.zone;
        // One that gets no connection waits until its clock has enough.
        if want && self.links.both(zone, there) {
            let bytes = encode::watch_call(from).len();
            self.ledger.message(self.now, rank, Function::List, bytes);
            let delay = 2 * self.links.delay(zone, there) + self.links.delay(there, zone);
            self.lay(self.now + delay, Happening::CallAt { process, call, from });
        }
    }

    fn call_at(&mut self, process: u32, call: u64, from: u64) {
        self.ledger.discovery(self.now, encode::watch_call(from).len());
        match self.discovery.call(self.now, from) {
            Some(at) => self.lay(at, Happening::Called { process, call, from }),
            None => {
                let bytes = encode::response(503, "Service Unavailable", &[], b"").len();
                self.ledger.account.aside.calls_refused += 1;
                self.ledger.discovery(self.now, bytes);
                let (rank, zone) =
                    (self.processes[process as usize].rank, self.processes[process as usize].zone);
                self.ledger.message(self.now, rank, Function::List, bytes);
                let at = self.now + self.links.delay(self.discovery.zone, zone);
                self.lay(at, Happening::Refused { process, call });
            }
        }
    }

    fn called(&mut self, process: u32, call: u64, from: u64) {
        if !self.processes[process as usize].alive || self.processes[process as usize].watch != Some(call) {
            return;
        }
        let update = self.discovery.answer(from);
        self.discovery.open(process, call, self.now);
        let bytes = encode::WATCH_HEAD.len() + update.bytes;
        self.bring(process, call, Some(update), bytes);
        self.lay(self.now + BEAT, Happening::Beat { process, call });
    }

    /// Discovery writes something on a watch.
    fn bring(&mut self, process: u32, call: u64, update: Option<Rc<Update>>, bytes: usize) {
        let zone = self.processes[process as usize].zone;
        let open = self.links.both(self.discovery.zone, zone) && self.processes[process as usize].alive;
        let delay = self.links.delay(self.discovery.zone, zone);
        // What is written to nobody brings the watch to an end.
        if let Some(at) = self.discovery.write_on(process, self.now, delay, open) {
            self.ledger.discovery(self.now, bytes);
            self.lay(at, Happening::Watched { process, call, update, bytes });
        }
    }

    fn beat(&mut self, process: u32, call: u64) {
        let Some(last) = self.discovery.wrote(process, call) else { return };
        if self.now >= last + BEAT {
            self.bring(process, call, None, encode::chunk("").len());
            self.lay(self.now + BEAT, Happening::Beat { process, call });
        } else {
            self.lay(last + BEAT, Happening::Beat { process, call });
        }
    }
}

fn origin(process: u32, id: AttemptId) -> Origin {
    Origin { process, request: id.request, attempt: id.number }
}

/// What a scheduler is told of a request.
pub(crate) fn arrival(job: &Job) -> Arrival {
    Arrival {
        class: ClassIx(job.class),
        tenant: job.tenant.map(TenantIx),
        hint: Some(job.hint),
        expires: job.expires,
        slots: job.slots,
        ..Arrival::default()
    }
}

/// What a datagram is for, by its length: they are all of different ones.
fn function(body: &[u8]) -> Function {
    match body.len() {
        0..=3 => Function::Greetings,
        4..=6 => Function::Troubles,
        _ => Function::Talk,
    }
}
