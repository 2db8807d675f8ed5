//! The outline of a play: its workers and its requests, for those who play the same among real processes.

use crate::Micros;
use crate::plan::{CLASSES, Plan, SIMULATION_START, zone_name};
use crate::simulation::Simulation;

/// A worker of a play.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadWorker {
    /// Its name in the list.
    pub name: String,
    /// Its zone, as the settings name it.
    pub zone: String,
    /// Its kind of machine, by its place in the settings.
    pub kind: usize,
    /// Its cell.
    pub cell: u32,
    /// Its slots.
    pub slots: u32,
    /// Its speed when it is warm.
    pub speed: f64,
}

/// A request of a play.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadRequest {
    /// When its client sends it, in microseconds from the beginning of the play.
    pub sent_at: Micros,
    /// The scheduler that its client turns to.
    pub rank: u32,
    /// Its class, by its place in the settings, and by its name.
    pub class: usize,
    /// See above.
    pub class_name: &'static str,
    /// Its tenant, by its place in the settings.
    pub tenant: Option<usize>,
    /// Its work and what its client says of that, in microseconds at speed 1.
    pub work: f64,
    /// See above.
    pub hint: f64,
    /// Slots that it takes.
    pub slots: u32,
    /// How long its client waits, in microseconds.
    pub client_timeout: Micros,
    /// Within this time it is served in time, in microseconds.
    pub aim: Micros,
    /// It comes in among the seconds that count.
    pub measured: bool,
}

/// See the head of this file.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// By number.
    pub workers: Vec<WorkloadWorker>,
    /// By time.
    pub requests: Vec<WorkloadRequest>,
    /// What counts begins so long after the beginning, in microseconds, and ends so long after it.
    pub measured_span: (Micros, Micros),
}

/// The outline of a plan in which nothing goes wrong: the same draws as [`crate::play`] makes.
pub fn workload(plan: &Plan) -> Workload {
    let world = Simulation::new(plan);
    let workers = world.workers.iter().map(|worker| WorkloadWorker {
        name: worker.name.clone(),
        zone: zone_name(worker.zone as u32),
        kind: worker.kind,
        cell: worker.cell,
        slots: worker.slots,
        speed: worker.speed,
    });
    let workers = workers.collect();
    let requests = world.into_requests().into_iter().map(|job| {
        let class = &CLASSES[job.class];
        WorkloadRequest {
            sent_at: job.arrived - SIMULATION_START,
            rank: job.rank,
            class: job.class,
            class_name: class.name,
            tenant: job.tenant,
            work: job.work,
            hint: job.hint,
            slots: job.slots,
            client_timeout: class.client_timeout,
            aim: class.aim_for(job.work),
            measured: job.measured,
        }
    });
    let (begin, end) = plan.measured_span();
    Workload {
        workers,
        requests: requests.collect(),
        measured_span: (begin - SIMULATION_START, end - SIMULATION_START),
    }
}
