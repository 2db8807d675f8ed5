//! Troubles: what goes wrong, and when.

use crate::Micros;
use crate::plan::{Incident, MILLI, SECOND};
use crate::schedulers::{AttemptId, Moved};
use crate::workers::Life;
use crate::world::{Happening, News, World};
use calicolb::api::Ending;
use calicolb_shutdown::Grace;
use rand::RngExt;

/// Discovery sees that a machine has gone after this time, and up to so much more.
const NOTICE: Micros = 3 * SECOND;
const NOTICE_MORE: Micros = 2 * SECOND;
/// What has gone with its rack or zone is back after this time.
const GONE: Micros = 18 * SECOND;
/// A machine that failed alone is replaced after this time.
const REPLACED: Micros = 20 * SECOND;
/// A worker that drains ends after this time, whatever it still has.
const DRAINS: Micros = 60 * SECOND;
/// Its replacement is up after this time.
const JOINS: Micros = 2 * SECOND;
/// A process that ends looks so often at what is owed to its open requests.
const LOOK: Micros = 100 * MILLI;
/// Restarts and replacements of an ordinary day.
const RESTARTS: u32 = 38;

/// One step of a trouble.
pub(crate) enum Step {
    /// A worker's machine goes without a sign.
    WorkerVanishes(u32),
    /// It is back, cold, under its own number.
    WorkerReturns(u32),
    /// Another comes in its place, under a new number.
    WorkerReplaced(u32),
    /// A worker gets nothing new by the list, and ends soon.
    WorkerDrains(u32),
    /// Its process ends.
    WorkerEnds(u32),
    /// Discovery has seen by now that it has gone.
    Noticed(u32),
    /// A scheduler's machine goes, or the process is killed.
    SchedulerDies(u32),
    /// It starts anew, and knows nothing.
    SchedulerReturns(u32),
    /// Another process takes over from it as planned.
    SchedulerRestarts(u32),
    /// The process before, told to end at this time, looks at what is owed to its open requests.
    Settles { process: u32, term: Micros },
    /// The process before is killed.
    Killed(u32),
    /// Regions are cut off from each other, or no longer.
    Regions(bool),
}

impl World {
    /// Lays the steps of the plan's trouble.
    pub(crate) fn schedule_incident(&mut self) {
        let (begin, end) = self.plan.span();
        let at = self.plan.incident_at();
        let mut steps: Vec<(Micros, Step)> = Vec::new();
        match self.plan.incident {
            // Changes of configuration are laid with the control machines.
            Incident::None | Incident::Config => {}
            Incident::Worker => {
                let worker = self.rng.random_range(0..self.plan.workers);
                steps.push((at, Step::WorkerVanishes(worker)));
                steps.push((at + REPLACED, Step::WorkerReplaced(worker)));
            }
            Incident::Restarts => {
                // Evenly over the play; schedulers and workers in turn, each at most once.
                let step = (end - begin) / u64::from(RESTARTS);
                let (mut ranks, mut numbers) = (0..self.plan.schedulers, 0..self.plan.workers);
                for nr in 0..RESTARTS {
                    let when = begin + step * u64::from(nr);
                    let next = if nr % 2 == 0 {
                        ranks.next().map(Step::SchedulerRestarts)
                    } else {
                        numbers.next().map(Step::WorkerDrains)
                    };
                    steps.extend(next.map(|next| (when, next)));
                }
            }
            Incident::Rack => {
                let zone = 1 % self.plan.zones as usize;
                let rack = zone as u32 * 1_000;
                for nr in (0..self.plan.workers).filter(|&nr| self.workers[nr as usize].cell == rack) {
                    steps.push((at, Step::WorkerVanishes(nr)));
                    steps.push((at + GONE, Step::WorkerReturns(nr)));
                }
            }
            Incident::Zone => {
                let zone = self.plan.zones as usize - 1;
                for nr in (0..self.plan.workers).filter(|&nr| self.plan.zone_of(nr) == zone) {
                    steps.push((at, Step::WorkerVanishes(nr)));
                    steps.push((at + GONE, Step::WorkerReturns(nr)));
                }
                for rank in (0..self.plan.schedulers).filter(|&rank| self.plan.zone_of(rank) == zone) {
                    steps.push((at, Step::SchedulerDies(rank)));
                    steps.push((at + GONE, Step::SchedulerReturns(rank)));
                }
            }
            Incident::Regions => {
                steps.push((at, Step::Regions(true)));
                steps.push((end - (at - begin).min(end - at), Step::Regions(false)));
            }
            Incident::AllRestart => {
                for nr in 0..self.plan.workers {
                    steps.push((at, Step::WorkerVanishes(nr)));
                    let back = self.rng.random_range(2 * SECOND..6 * SECOND);
                    steps.push((at + back, Step::WorkerReturns(nr)));
                }
                for rank in 0..self.plan.schedulers {
                    steps.push((at, Step::SchedulerDies(rank)));
                    let back = self.rng.random_range(SECOND..4 * SECOND);
                    steps.push((at + back, Step::SchedulerReturns(rank)));
                }
            }
        }
        for (at, step) in steps {
            self.lay(at, Happening::Incident(step));
        }
    }

    pub(crate) fn trouble(&mut self, step: Step) {
        match step {
            Step::WorkerVanishes(nr) => {
                self.end_worker(nr, Life::Vanished);
                let seen = self.now + NOTICE + self.rng.random_range(0..NOTICE_MORE);
                self.lay(seen, Happening::Incident(Step::Noticed(nr)));
            }
            Step::Noticed(nr) => {
                if self.workers[nr as usize].life != Life::Up {
                    self.discovery.health(nr, "terminated");
                    self.tell_list();
                }
            }
            Step::WorkerReturns(nr) => {
                self.workers[nr as usize].rise(self.now);
                self.list(nr);
            }
            Step::WorkerReplaced(nr) => {
                let gone = &self.workers[nr as usize];
                let (zone, kind, cell) = (gone.zone, gone.kind, gone.cell);
                self.add_worker(zone, kind, cell, Some(self.now));
            }
            Step::WorkerDrains(nr) => {
                self.workers[nr as usize].draining = true;
                self.discovery.health(nr, "terminating");
                self.tell_list();
                self.lay(self.now + JOINS, Happening::Incident(Step::WorkerReplaced(nr)));
                self.lay(self.now + DRAINS, Happening::Incident(Step::WorkerEnds(nr)));
            }
            Step::WorkerEnds(nr) => {
                self.end_worker(nr, Life::Ended);
                self.discovery.health(nr, "terminated");
                self.tell_list();
            }
            Step::SchedulerDies(rank) => {
                if let Some(process) = self.alive(rank) {
                    self.kill(process);
                }
            }
            Step::SchedulerReturns(rank) => {
                let list = self.discovery.list();
                let process = self.new_process(rank);
                self.with(process, |process, _| process.warm(&list, None));
                self.begin_learning(process);
            }
            Step::SchedulerRestarts(rank) => self.restart(rank),
            Step::Settles { process, term } => self.settle_open_requests(process, term),
            Step::Killed(process) => self.kill(process),
            Step::Regions(cut) => self.links.cut_regions(self.now, cut),
        }
    }

    /// A worker ends, and all its tasks with it. Its machine tells of that, if it is still there.
    fn end_worker(&mut self, nr: u32, life: Life) {
        for (number, task) in self.workers[nr as usize].end(life) {
            self.over(&task, number);
            self.ledger.account.extra.tasks_lost += 1;
            if life == Life::Ended {
                let ending = if task.runs.is_some() { Ending::Broken } else { Ending::Full };
                self.tell(nr, task.origin, News::Over(ending, None), 1);
            }
        }
    }

    /// A process ends, and what it had taken and not answered is lost.
    fn kill(&mut self, process: u32) {
        let told = &mut self.processes[process as usize];
        told.alive = false;
        for job in told.open() {
            let counts = self.jobs[job as usize].measured && !self.jobs[job as usize].answered;
            self.ledger.account.extra.lost_with_scheduler += u64::from(counts);
            self.answered(job, None);
        }
        self.discovery.watches.remove(&process);
    }

    /// The process of a scheduler hands over to the next.
    fn restart(&mut self, rank: u32) {
        let Some(predecessor) = self.alive(rank) else { return };
        let told = &mut self.processes[predecessor as usize];
        let (knowledge, next, confirmed) = (told.hand_over(), told.next(), told.confirmed());
        let list = self.discovery.list();
        let successor = self.new_process(rank);
        self.with(successor, |successor, _| {
            successor.inherit(knowledge, next);
            successor.warm(&list, confirmed);
        });
        self.begin_learning(successor);
        self.settle(predecessor);
        let (term, grace) = (self.now, self.grace());
        let kill = grace.kill_after;
        self.processes[predecessor as usize].stop(term + grace.final_answer_at());
        for look in 0..kill / LOOK {
            let settles = Step::Settles { process: predecessor, term };
            self.lay(term + look * LOOK, Happening::Incident(settles));
        }
        self.lay(term + kill, Happening::Incident(Step::Killed(predecessor)));
    }

    /// From SIGTERM to SIGKILL, which comes as early as it may.
    fn grace(&self) -> Grace {
        Grace::new(self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0))
    }

    fn settle_open_requests(&mut self, process: u32, term: Micros) {
        if !self.processes[process as usize].alive {
            return;
        }
        let phase = self.grace().phase(self.now - term);
        let successor = self.alive(self.processes[process as usize].rank).filter(|&next| next != process);
        let moved = self.processes[process as usize].settle_open_requests(phase, successor.is_some());
        self.settle(process);
        let Some(successor) = successor else { return };
        for Moved { job, request, history } in moved {
            let attempts = history.attempts.len() as u32;
            let arrival = self.jobs[job as usize].arrival();
            let there = self.processes[successor as usize].adopt(job, arrival, history);
            for number in 0..attempts {
                let (here, there) = (AttemptId { request, number }, AttemptId { request: there, number });
                self.processes[process as usize].moved.insert(here, (successor, there));
            }
        }
        self.settle(successor);
    }
}
