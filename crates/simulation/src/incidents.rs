//! Incidents: their steps, the times of the steps, and their effects on the simulation.

use crate::Micros;
use crate::plan::{Incident, MILLI, SECOND};
use crate::schedulers::{AttemptId, TransferredJob};
use crate::simulation::{SimEvent, Simulation, TaskUpdate};
use crate::workers::WorkerState;
use calicolb::api::Ending;
use calicolb_shutdown::Grace;
use rand::RngExt;

/// Minimum time until discovery detects that a machine has vanished.
const DETECTION_DELAY: Micros = 3 * SECOND;
/// Largest random addition to [`DETECTION_DELAY`].
const DETECTION_JITTER: Micros = 2 * SECOND;
/// Time after which the machines of a vanished rack or zone return.
const OUTAGE: Micros = 18 * SECOND;
/// Time after which a single failed machine is replaced.
const REPLACEMENT_DELAY: Micros = 20 * SECOND;
/// Time after which a draining worker stops, even if it still has tasks.
const DRAIN_TIME: Micros = 60 * SECOND;
/// Time after which the replacement of a draining worker is up.
const REPLACEMENT_START_DELAY: Micros = 2 * SECOND;
/// Interval at which an ending process applies the shutdown rule to its open requests.
const SHUTDOWN_CHECK_INTERVAL: Micros = 100 * MILLI;
/// Number of planned restarts and replacements on an ordinary day.
const PLANNED_RESTARTS: u32 = 38;

/// One step of an incident. Workers are given by index, schedulers by rank, processes by index.
pub(crate) enum IncidentStep {
    /// The machine of a worker vanishes without closing its connections.
    WorkerVanishes(u32),
    /// A worker returns, cold, under the same name.
    WorkerReturns(u32),
    /// A new worker replaces this one, under a new name.
    WorkerReplaced(u32),
    /// The list marks a worker as terminating; it refuses new tasks and stops after [`DRAIN_TIME`].
    WorkerDrains(u32),
    /// The process of a worker stops.
    WorkerStops(u32),
    /// Discovery detects that a worker has vanished.
    WorkerLossDetected(u32),
    /// The machine of a scheduler vanishes, or its process is killed.
    SchedulerKilled(u32),
    /// A scheduler starts a new process without any learned state.
    SchedulerReturns(u32),
    /// A new process takes over from the process of a scheduler.
    SchedulerRestarts(u32),
    /// A process that got SIGTERM at this time applies the shutdown rule to its open requests.
    ShutdownCheck { process: u32, terminated_at: Micros },
    /// A process is killed.
    ProcessKilled(u32),
    /// Cuts the regions off from each other, or restores their links if false.
    CutRegions(bool),
}

impl Simulation {
    /// Schedules the steps of the plan's incident.
    pub(crate) fn schedule_incident(&mut self) {
        let (begin, end) = self.plan.measured_span();
        let at = self.plan.incident_at();
        let mut steps: Vec<(Micros, IncidentStep)> = Vec::new();
        match self.plan.incident {
            // `set_up_agreement` schedules the steps of this incident.
            Incident::None | Incident::Config => {}
            Incident::Worker => {
                let worker = self.rng.random_range(0..self.plan.workers);
                steps.push((at, IncidentStep::WorkerVanishes(worker)));
                steps.push((at + REPLACEMENT_DELAY, IncidentStep::WorkerReplaced(worker)));
            }
            Incident::Restarts => {
                // Evenly over the measured time, schedulers and workers in turn, each at most once.
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
                    let outage = self.rng.random_range(2 * SECOND..6 * SECOND);
                    steps.push((at + outage, IncidentStep::WorkerReturns(index)));
                }
                for rank in 0..self.plan.schedulers {
                    steps.push((at, IncidentStep::SchedulerKilled(rank)));
                    let outage = self.rng.random_range(SECOND..4 * SECOND);
                    steps.push((at + outage, IncidentStep::SchedulerReturns(rank)));
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
                let detected_at = self.now + DETECTION_DELAY + self.rng.random_range(0..DETECTION_JITTER);
                self.schedule(detected_at, SimEvent::Incident(IncidentStep::WorkerLossDetected(index)));
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
                let old = &self.workers[index as usize];
                let (zone, kind, cell) = (old.zone, old.kind, old.cell);
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
            IncidentStep::ShutdownCheck { process, terminated_at } => {
                self.check_shutdown(process, terminated_at)
            }
            IncidentStep::ProcessKilled(process) => self.kill_process(process),
            IncidentStep::CutRegions(cut) => self.links.cut_regions(self.now, cut),
        }
    }

    /// Stops a worker, which ends all its tasks. The schedulers get an update on each task if the machine is still there.
    fn stop_worker(&mut self, index: u32, state: WorkerState) {
        for (number, task) in self.workers[index as usize].stop(state) {
            self.task_ended(&task, number);
            self.recorder.summary.extra.tasks_lost += 1;
            if state == WorkerState::Stopped {
                let ending = if task.run_span.is_some() { Ending::Broken } else { Ending::Full };
                self.send_task_update(index, task.origin, TaskUpdate::Ended(ending, None), 1);
            }
        }
    }

    /// Kills a scheduler process. Its unanswered requests are lost.
    fn kill_process(&mut self, process: u32) {
        let target = &mut self.processes[process as usize];
        target.alive = false;
        for job in target.unanswered_jobs() {
            let lost = self.jobs[job as usize].measured && !self.jobs[job as usize].answered;
            self.recorder.summary.extra.lost_with_scheduler += u64::from(lost);
            self.finish_request(job, None);
        }
        self.discovery.watches.remove(&process);
    }

    /// Starts a successor for the process of a scheduler, which hands over and gets SIGTERM.
    fn restart_scheduler(&mut self, rank: u32) {
        let Some(predecessor) = self.live_process(rank) else { return };
        let now = self.now;
        let target = &mut self.processes[predecessor as usize];
        let (knowledge, next, confirmed) =
            (target.hand_over(now), target.next_request_number(), target.list_confirmed_at());
        let list = self.discovery.whole_list();
        let successor = self.start_process(rank);
        self.with_process(successor, |successor, _| {
            successor.import_knowledge(knowledge, next);
            successor.load_initial_list(&list, confirmed);
        });
        self.start_learner(successor);
        self.process_pending(predecessor);
        let (terminated_at, grace) = (self.now, self.shutdown_grace());
        let kill_after = grace.kill_after;
        self.processes[predecessor as usize].set_process_end(terminated_at + grace.final_answer_at());
        for check in 0..kill_after / SHUTDOWN_CHECK_INTERVAL {
            let step = IncidentStep::ShutdownCheck { process: predecessor, terminated_at };
            self.schedule(terminated_at + check * SHUTDOWN_CHECK_INTERVAL, SimEvent::Incident(step));
        }
        self.schedule(
            terminated_at + kill_after,
            SimEvent::Incident(IncidentStep::ProcessKilled(predecessor)),
        );
    }

    /// The shortest permitted time from SIGTERM to SIGKILL, and its phases.
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
        let transferred = self.processes[process as usize].settle_open_requests(phase, successor.is_some());
        self.process_pending(process);
        let Some(successor) = successor else { return };
        for TransferredJob { job, request, history } in transferred {
            let attempts = history.attempts.len() as u32;
            let arrival = self.jobs[job as usize].arrival();
            let adopted = self.processes[successor as usize].adopt_request(job, arrival, history);
            for number in 0..attempts {
                let (old_id, new_id) =
                    (AttemptId { request, number }, AttemptId { request: adopted, number });
                self.processes[process as usize].transferred_attempts.insert(old_id, (successor, new_id));
            }
        }
        self.process_pending(successor);
    }
}
