//! Troubles: what goes wrong, and when.

use crate::Micros;
use crate::plan::{Incident, MILLI, SECOND};
use crate::schedulers::{AttemptId, TransferredJob};
use crate::simulation::{SimEvent, Simulation, TaskUpdate};
use crate::workers::WorkerState;
use calicolb::api::Ending;
use calicolb_shutdown::Grace;
use rand::RngExt;

/// Discovery sees that a machine has gone after this time, and up to so much more.
const DETECTION_DELAY: Micros = 3 * SECOND;
const DETECTION_JITTER: Micros = 2 * SECOND;
/// What has gone with its rack or zone is back after this time.
const OUTAGE: Micros = 18 * SECOND;
/// A machine that failed alone is replaced after this time.
const REPLACEMENT_DELAY: Micros = 20 * SECOND;
/// A worker that drains ends after this time, whatever it still has.
const DRAIN_TIME: Micros = 60 * SECOND;
/// Its replacement is up after this time.
const REPLACEMENT_START_DELAY: Micros = 2 * SECOND;
/// A process that ends looks so often at what is owed to its open requests.
const SHUTDOWN_CHECK_INTERVAL: Micros = 100 * MILLI;
/// Restarts and replacements of an ordinary day.
const PLANNED_RESTARTS: u32 = 38;

/// One step of a trouble.
pub(crate) enum IncidentStep {
    /// A worker's machine goes without a sign.
    WorkerVanishes(u32),
    /// It is back, cold, under its own number.
    WorkerReturns(u32),
    /// Another comes in its place, under a new number.
    WorkerReplaced(u32),
    /// A worker gets nothing new by the list, and ends soon.
    WorkerDrains(u32),
    /// Its process ends.
    WorkerStops(u32),
    /// Discovery has seen by now that it has gone.
    WorkerLossDetected(u32),
    /// A scheduler's machine goes, or the process is killed.
    SchedulerKilled(u32),
    /// It starts anew, and knows nothing.
    SchedulerReturns(u32),
    /// Another process takes over from it as planned.
    SchedulerRestarts(u32),
    /// The process before, told to end at this time, looks at what is owed to its open requests.
    ShutdownCheck { process: u32, terminated_at: Micros },
    /// The process before is killed.
    ProcessKilled(u32),
    /// Regions are cut off from each other, or no longer.
    CutRegions(bool),
}

impl Simulation {
    /// Lays the steps of the plan's trouble.
    pub(crate) fn schedule_incident(&mut self) {
        let (begin, end) = self.plan.measured_span();
        let at = self.plan.incident_at();
        let mut steps: Vec<(Micros, IncidentStep)> = Vec::new();
        match self.plan.incident {
            // Changes of configuration are laid with the control machines.
            Incident::None | Incident::Config => {}
            Incident::Worker => {
                let worker = self.rng.random_range(0..self.plan.workers);
                steps.push((at, IncidentStep::WorkerVanishes(worker)));
                steps.push((at + REPLACEMENT_DELAY, IncidentStep::WorkerReplaced(worker)));
            }
            Incident::Restarts => {
                // Evenly over the play; schedulers and workers in turn, each at most once.
                let step = (end - begin) / u64::from(PLANNED_RESTARTS);
                let (mut ranks, mut numbers) = (0..self.plan.schedulers, 0..self.plan.workers);
                for index in 0..PLANNED_RESTARTS {
                    let when = begin + step * u64::from(index);
                    let next = if index % 2 == 0 {
                        ranks.next().map(IncidentStep::SchedulerRestarts)
                    } else {
                        numbers.next().map(IncidentStep::WorkerDrains)
                    };
                    steps.extend(next.map(|next| (when, next)));
                }
            }
            Incident::Rack => {
                let zone = 1 % self.plan.zones as usize;
                let rack = zone as u32 * 1_000;
                for index in (0..self.plan.workers).filter(|&index| self.workers[index as usize].cell == rack)
                {
                    steps.push((at, IncidentStep::WorkerVanishes(index)));
                    steps.push((at + OUTAGE, IncidentStep::WorkerReturns(index)));
                }
            }
            Incident::Zone => {
                let zone = self.plan.zones as usize - 1;
                for index in (0..self.plan.workers).filter(|&index| self.plan.zone_of(index) == zone) {
                    steps.push((at, IncidentStep::WorkerVanishes(index)));
                    steps.push((at + OUTAGE, IncidentStep::WorkerReturns(index)));
                }
                for rank in (0..self.plan.schedulers).filter(|&rank| self.plan.zone_of(rank) == zone) {
                    steps.push((at, IncidentStep::SchedulerKilled(rank)));
                    steps.push((at + OUTAGE, IncidentStep::SchedulerReturns(rank)));
                }
            }
            Incident::Regions => {
                steps.push((at, IncidentStep::CutRegions(true)));
                steps.push((end - (at - begin).min(end - at), IncidentStep::CutRegions(false)));
            }
            Incident::AllRestart => {
                for index in 0..self.plan.workers {
                    steps.push((at, IncidentStep::WorkerVanishes(index)));
                    let back = self.rng.random_range(2 * SECOND..6 * SECOND);
                    steps.push((at + back, IncidentStep::WorkerReturns(index)));
                }
                for rank in 0..self.plan.schedulers {
                    steps.push((at, IncidentStep::SchedulerKilled(rank)));
                    let back = self.rng.random_range(SECOND..4 * SECOND);
                    steps.push((at + back, IncidentStep::SchedulerReturns(rank)));
                }
            }
        }
        for (at, step) in steps {
            self.schedule(at, SimEvent::Incident(step));
        }
    }

    pub(crate) fn apply_incident_step(&mut self, step: IncidentStep) {
        match step {
            IncidentStep::WorkerVanishes(index) => {
                self.stop_worker(index, WorkerState::Vanished);
                let seen = self.now + DETECTION_DELAY + self.rng.random_range(0..DETECTION_JITTER);
                self.schedule(seen, SimEvent::Incident(IncidentStep::WorkerLossDetected(index)));
            }
            IncidentStep::WorkerLossDetected(index) => {
                if self.workers[index as usize].state != WorkerState::Up {
                    self.discovery.set_health(index, "terminated");
                    self.schedule_publish();
                }
            }
            IncidentStep::WorkerReturns(index) => {
                self.workers[index as usize].restart(self.now);
                self.list_worker(index);
            }
            IncidentStep::WorkerReplaced(index) => {
                let gone = &self.workers[index as usize];
                let (zone, kind, cell) = (gone.zone, gone.kind, gone.cell);
                self.add_worker(zone, kind, cell, Some(self.now));
            }
            IncidentStep::WorkerDrains(index) => {
                self.workers[index as usize].draining = true;
                self.discovery.set_health(index, "terminating");
                self.schedule_publish();
                self.schedule(
                    self.now + REPLACEMENT_START_DELAY,
                    SimEvent::Incident(IncidentStep::WorkerReplaced(index)),
                );
                self.schedule(self.now + DRAIN_TIME, SimEvent::Incident(IncidentStep::WorkerStops(index)));
            }
            IncidentStep::WorkerStops(index) => {
                self.stop_worker(index, WorkerState::Stopped);
                self.discovery.set_health(index, "terminated");
                self.schedule_publish();
            }
            IncidentStep::SchedulerKilled(rank) => {
                if let Some(process) = self.live_process(rank) {
                    self.kill_process(process);
                }
            }
            IncidentStep::SchedulerReturns(rank) => {
                let list = self.discovery.whole_list();
                let process = self.start_process(rank);
                self.with_process(process, |process, _| process.load_initial_list(&list, None));
                self.start_learner(process);
            }
            IncidentStep::SchedulerRestarts(rank) => self.restart_scheduler(rank),
            IncidentStep::ShutdownCheck { process, terminated_at: term } => {
                self.check_shutdown(process, term)
            }
            IncidentStep::ProcessKilled(process) => self.kill_process(process),
            IncidentStep::CutRegions(cut) => self.links.cut_regions(self.now, cut),
        }
    }

    /// A worker ends, and all its tasks with it. Its machine tells of that, if it is still there.
    fn stop_worker(&mut self, index: u32, life: WorkerState) {
        for (number, task) in self.workers[index as usize].stop(life) {
            self.task_ended(&task, number);
            self.recorder.summary.extra.tasks_lost += 1;
            if life == WorkerState::Stopped {
                let ending = if task.run_span.is_some() { Ending::Broken } else { Ending::Full };
                self.send_task_update(index, task.origin, TaskUpdate::Ended(ending, None), 1);
            }
        }
    }

    /// A process ends, and what it had taken and not answered is lost.
    fn kill_process(&mut self, process: u32) {
        let told = &mut self.processes[process as usize];
        told.alive = false;
        for job in told.unanswered_jobs() {
            let counts = self.jobs[job as usize].measured && !self.jobs[job as usize].answered;
            self.recorder.summary.extra.lost_with_scheduler += u64::from(counts);
            self.finish_request(job, None);
        }
        self.discovery.watches.remove(&process);
    }

    /// The process of a scheduler hands over to the next.
    fn restart_scheduler(&mut self, rank: u32) {
        let Some(predecessor) = self.live_process(rank) else { return };
        let told = &mut self.processes[predecessor as usize];
        let (knowledge, next, confirmed) =
            (told.hand_over(), told.next_request_number(), told.list_confirmed_at());
        let list = self.discovery.whole_list();
        let successor = self.start_process(rank);
        self.with_process(successor, |successor, _| {
            successor.import_knowledge(knowledge, next);
            successor.load_initial_list(&list, confirmed);
        });
        self.start_learner(successor);
        self.process_pending(predecessor);
        let (term, grace) = (self.now, self.shutdown_grace());
        let kill = grace.kill_after;
        self.processes[predecessor as usize].set_process_end(term + grace.final_answer_at());
        for look in 0..kill / SHUTDOWN_CHECK_INTERVAL {
            let settles = IncidentStep::ShutdownCheck { process: predecessor, terminated_at: term };
            self.schedule(term + look * SHUTDOWN_CHECK_INTERVAL, SimEvent::Incident(settles));
        }
        self.schedule(term + kill, SimEvent::Incident(IncidentStep::ProcessKilled(predecessor)));
    }

    /// From SIGTERM to SIGKILL, which comes as early as it may.
    fn shutdown_grace(&self) -> Grace {
        Grace::new(self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0))
    }

    fn check_shutdown(&mut self, process: u32, terminated_at: Micros) {
        if !self.processes[process as usize].alive {
            return;
        }
        let phase = self.shutdown_grace().phase(self.now - terminated_at);
        let successor =
            self.live_process(self.processes[process as usize].rank).filter(|&next| next != process);
        let moved = self.processes[process as usize].settle_open_requests(phase, successor.is_some());
        self.process_pending(process);
        let Some(successor) = successor else { return };
        for TransferredJob { job, request, history } in moved {
            let attempts = history.attempts.len() as u32;
            let arrival = self.jobs[job as usize].arrival();
            let there = self.processes[successor as usize].adopt_request(job, arrival, history);
            for number in 0..attempts {
                let (here, there) = (AttemptId { request, number }, AttemptId { request: there, number });
                self.processes[process as usize].transferred_attempts.insert(here, (successor, there));
            }
        }
        self.process_pending(successor);
    }
}
