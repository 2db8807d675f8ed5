//! A whole fleet of schedulers on the decision module as it is, in one thread and without a clock of its own: what
//! they tell each other, the probes and the timers are counted for each scheduler and second.
//!
//! The world round them is the least that brings these out: workers of [`LANES`] lanes with a queue in order of arrival,
//! a network of one delay that loses nothing, jobs of exponential length at Poisson times, each at a scheduler drawn at
//! random. The list stands still; its cost is measured by itself ([`crate::probe`]).

use crate::counts::{MessageCounts, MessageType, message_type};
use crate::probe_jobs::{HOLD_TIMER, arrival, report};
use crate::scenario::{self, FleetParameters, LANES, MILLI, SECOND, START_TIME};
use calicolb_decisions::api::*;
use calicolb_decisions::rules::Dispatcher;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// How long a message or an answer is on its way.
const DELAY: Micros = 500;
/// Bytes of a probe's request and answer, heads and the report in the body.
const PROBE_BYTES: u64 = 150;
/// The jobs that run from the beginning arrive within this time.
const FILLING: Micros = 3 * SECOND;
/// From then on the fleet settles for so long before anything is measured.
const SETTLING: Micros = 4 * SECOND;

/// What happens at the beginning of a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incident {
    /// Nothing.
    None,
    /// The scheduler of rank 0 starts anew.
    Restart,
    /// All workers of zone 0 die at once, and every connection to them is reset; discovery has not told yet.
    ZoneLost,
    /// They fall silent instead: nothing ends, and no new connection comes up.
    ZoneSilent,
}

enum What {
    /// A job reaches a scheduler; the next one is drawn, if there is to be one.
    Job { next: bool },
    /// An event reaches a scheduler.
    Reach(u32, Event),
    /// A task ends on a worker, if it still runs.
    End(usize, Task),
    /// It happens.
    Incident(Incident),
}

#[derive(Clone, Copy, PartialEq)]
struct Task {
    at: u32,
    request: RequestId,
    attempt: u32,
    length: Micros,
}

#[derive(Default)]
struct Host {
    running: Vec<Task>,
    waiting: VecDeque<Task>,
    state: State,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Serves,
    Dead,
    Silent,
}

struct Play<'a> {
    size: &'a FleetParameters,
    seed: u64,
    rng: fastrand::Rng,
    schedulers: Vec<Dispatcher>,
    hosts: Vec<Host>,
    index: HashMap<WorkerId, usize>,
    /// What is to come, by time and in order of laying.
    times: BinaryHeap<Reverse<(Micros, u64)>>,
    coming: HashMap<u64, What>,
    laid: u64,
    now: Micros,
    /// Of each open request: how many attempts, and where the last went.
    sent: HashMap<(u32, RequestId), (u32, usize)>,
    next_id: u32,
    counts: MessageCounts,
}

/// Plays a fleet once it has settled, in phases of so many seconds, each of which begins with an incident.
pub fn simulate(size: &FleetParameters, seed: u64, phases: &[(u64, Incident)]) -> MessageCounts {
    // The list stands still: nobody has gone.
    let size = &FleetParameters { days: 0, ..*size };
    let begin = (FILLING + SETTLING) / SECOND;
    let counts = MessageCounts::new(size.schedulers as usize, begin, phases.iter().map(|phase| phase.0));
    let mut play = Play {
        size,
        seed,
        rng: fastrand::Rng::with_seed(seed),
        schedulers: (0..size.schedulers)
            .map(|rank| {
                Dispatcher::new(scenario::settings(size, rank), seed ^ u64::from(rank) << 20, START_TIME)
            })
            .collect(),
        hosts: (0..size.workers).map(|_| Host::default()).collect(),
        index: (0..size.workers).map(|nr| (scenario::worker_id(seed, nr), nr as usize)).collect(),
        times: BinaryHeap::new(),
        coming: HashMap::new(),
        laid: 0,
        now: START_TIME,
        sent: HashMap::new(),
        next_id: 0,
        counts,
    };
    play.begin();
    let mut at = FILLING + SETTLING;
    for &(seconds, incident) in phases {
        play.lay(at, What::Incident(incident));
        at += seconds * SECOND;
    }
    play.run(START_TIME + at);
    play.counts
}

impl Play<'_> {
    fn lay(&mut self, after: Micros, what: What) {
        self.laid += 1;
        self.times.push(Reverse((self.now + after, self.laid)));
        self.coming.insert(self.laid, what);
    }

    /// All schedulers start, and as many jobs as run in the mean are there within a few seconds; as their length is
    /// exponential, what is left of each is like a whole one.
    fn begin(&mut self) {
        for at in 0..self.size.schedulers {
            let list = Event::Members(ListKind::Saved, scenario::members(self.size, self.seed));
            self.lay(0, What::Reach(at, list));
        }
        let running = (f64::from(self.size.workers) * self.size.tasks_per_worker) as u64;
        for _ in 0..running {
            let after = 100 * MILLI + self.rng.u64(0..FILLING);
            self.lay(after, What::Job { next: false });
        }
        self.lay(FILLING, What::Job { next: true });
    }

    fn run(&mut self, until: Micros) {
        while let Some(Reverse((time, nr))) = self.times.pop() {
            if time >= until {
                return;
            }
            self.now = time;
            match self.coming.remove(&nr) {
                Some(What::Job { next }) => self.job(next),
                Some(What::Reach(at, event)) => self.reach(at, event),
                Some(What::End(at, task)) => self.end(at, task),
                Some(What::Incident(incident)) => self.incident(incident),
                None => {}
            }
        }
    }

    fn exponential(&mut self, mean: f64) -> Micros {
        (-mean * (1.0 - self.rng.f64()).ln() * SECOND as f64) as Micros
    }

    fn job(&mut self, next: bool) {
        if next {
            let gap = self.exponential(1.0 / self.size.starts_per_s);
            self.lay(gap, What::Job { next });
        }
        self.counts.jobs_in(self.second(), 1, 0);
        self.next_id += 1;
        let class = usize::from(self.rng.u8(0..10) > 0);
        let tenant = (self.size.tenants > 0).then(|| self.rng.usize(0..self.size.tenants as usize));
        let job = arrival(self.now, self.next_id, class, tenant, self.size.task_s());
        let at = self.rng.u32(0..self.size.schedulers);
        self.reach(at, Event::Arrival(job));
    }

    fn second(&self) -> u64 {
        (self.now - START_TIME) / SECOND
    }

    fn count(&mut self, at: u32, sort: MessageType, bytes: u64) {
        self.counts.add(at as usize, sort, self.second(), bytes);
    }

    /// An event reaches a scheduler, and what that asks for is carried out.
    fn reach(&mut self, at: u32, event: Event) {
        match &event {
            Event::Peer { body, .. } => self.count(at, message_type(body), body.len() as u64),
            Event::Timer(HOLD_TIMER) => self.count(at, MessageType::Timer, 0),
            _ => {}
        }
        let mut out = Vec::new();
        self.schedulers[at as usize].on_event(self.now, event, &mut out);
        out.into_iter().for_each(|action| self.act(at, action));
    }

    fn act(&mut self, at: u32, action: Action) {
        match action {
            Action::Send { request, worker, .. } => self.send(at, request, worker),
            Action::Cancel { request, attempt } => self.cancel(at, request, attempt),
            Action::Refuse { request, .. } | Action::Fail(request) => {
                self.counts.jobs_in(self.second(), 0, 1);
                self.sent.remove(&(at, request));
            }
            Action::Probe(worker) => self.probe(at, worker),
            Action::SendMessage { to, body } => {
                let all = to.map_or(0..self.size.schedulers, |to| to..to + 1);
                for to in all.filter(|&to| to != at) {
                    self.count(at, message_type(&body), body.len() as u64);
                    self.lay(DELAY, What::Reach(to, Event::Peer { from: at, body: body.clone() }));
                }
            }
            Action::SetTimer { timer, after } => self.lay(after, What::Reach(at, Event::Timer(timer))),
            Action::FetchList | Action::Subscribe(_) | Action::CloseIdle(_) | Action::Log(_) => {}
        }
    }

    fn send(&mut self, at: u32, request: RequestId, worker: WorkerId) {
        let Some(&host) = self.index.get(&worker) else { return };
        let length = self.exponential(self.size.task_s());
        let attempts = self.sent.get(&(at, request)).map_or(0, |sent| sent.0);
        self.sent.insert((at, request), (attempts + 1, host));
        let task = Task { at, request, attempt: attempts, length };
        let patience = scenario::settings(self.size, at).limits.connect_timeout;
        match self.hosts[host].state {
            State::Serves => {}
            State::Dead => return self.ended(host, task, Ending::Unreachable, DELAY),
            State::Silent => return self.ended(host, task, Ending::Unreachable, patience),
        }
        self.hosts[host].waiting.push_back(task);
        self.fill(host);
    }

    /// Waiting tasks start while there are lanes.
    fn fill(&mut self, host: usize) {
        while self.hosts[host].running.len() < LANES as usize {
            let Some(task) = self.hosts[host].waiting.pop_front() else { return };
            self.hosts[host].running.push(task);
            let (request, attempt) = (task.request, task.attempt);
            let note = Event::Note { request, attempt, note: AttemptNote::Started };
            self.lay(2 * DELAY, What::Reach(task.at, note));
            self.lay(DELAY + task.length, What::End(host, task));
        }
    }

    fn end(&mut self, host: usize, task: Task) {
        let there = &self.hosts[host];
        let running = there.running.iter().position(|running| *running == task);
        let Some(nr) = running.filter(|_| there.state == State::Serves) else { return };
        self.hosts[host].running.swap_remove(nr);
        self.fill(host);
        self.ended(host, task, Ending::Ok, DELAY);
    }

    fn report(&self, host: usize) -> Report {
        let host = &self.hosts[host];
        report(host.running.len() as u32, host.waiting.len() as u32)
    }

    /// The scheduler hears after this time how an attempt ended.
    fn ended(&mut self, host: usize, task: Task, ending: Ending, after: Micros) {
        let served = ending == Ending::Ok;
        if served {
            self.sent.remove(&(task.at, task.request));
        }
        let outcome = Outcome {
            request: task.request,
            attempt: task.attempt,
            worker: scenario::worker_id(self.seed, host as u32),
            ending,
            elapsed: task.length,
            concluded: served,
            running: false,
            report: served.then(|| self.report(host)),
        };
        self.lay(after, What::Reach(task.at, Event::Outcome(outcome)));
    }

    fn cancel(&mut self, at: u32, request: RequestId, attempt: u32) {
        let Some(&(_, host)) = self.sent.get(&(at, request)) else { return };
        let is = |task: &Task| (task.at, task.request, task.attempt) == (at, request, attempt);
        let there = &mut self.hosts[host];
        let task = there.running.iter().chain(&there.waiting).copied().find(is);
        there.running.retain(|task| !is(task));
        there.waiting.retain(|task| !is(task));
        if let Some(task) = task {
            self.ended(host, task, Ending::Cancelled, DELAY);
            self.fill(host);
        }
    }

    fn probe(&mut self, at: u32, worker: WorkerId) {
        let Some(&host) = self.index.get(&worker) else { return };
        // A request and an answer.
        self.count(at, MessageType::Probe, PROBE_BYTES / 2);
        self.count(at, MessageType::Probe, PROBE_BYTES / 2);
        let serves = self.hosts[host].state == State::Serves;
        let ending = if serves { Ending::Ok } else { Ending::Unreachable };
        let report = serves.then(|| self.report(host));
        let patience = scenario::settings(self.size, at).limits.connect_timeout;
        let elapsed = if self.hosts[host].state == State::Silent { patience } else { 2 * DELAY };
        let probed = Event::Probed { worker, ending, elapsed, report };
        self.lay(elapsed, What::Reach(at, probed));
    }

    fn incident(&mut self, incident: Incident) {
        match incident {
            Incident::None => {}
            Incident::Restart => {
                let settings = scenario::settings(self.size, 0);
                self.schedulers[0] = Dispatcher::new(settings, !self.seed, self.now);
                let list = Event::Members(ListKind::Saved, scenario::members(self.size, self.seed));
                self.reach(0, list);
            }
            Incident::ZoneLost | Incident::ZoneSilent => {
                let state = if incident == Incident::ZoneLost { State::Dead } else { State::Silent };
                for host in (0..self.hosts.len()).step_by(self.size.zones as usize) {
                    self.hosts[host].state = state;
                    if state == State::Silent {
                        continue;
                    }
                    let running = std::mem::take(&mut self.hosts[host].running);
                    let waiting = std::mem::take(&mut self.hosts[host].waiting);
                    let all = running.into_iter().chain(waiting);
                    all.for_each(|task| self.ended(host, task, Ending::Broken, DELAY));
                }
            }
        }
    }
}
