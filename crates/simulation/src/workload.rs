//! The workload of a plan: its workers and requests, for a run of the same load with real processes.

use crate::Micros;
use crate::plan::{CLASSES, Plan, SIMULATION_START, zone_name};
use crate::simulation::Simulation;

/// A worker of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadWorker {
    /// Name in the list.
    pub name: String,
    /// Name of the zone in the settings.
    pub zone: String,
    /// Kind of machine, as an index into the `kinds` of the settings.
    pub kind: usize,
    /// Number of the cell.
    pub cell: u32,
    /// Number of slots.
    pub slots: u32,
    /// Speed at full capacity: work done per microsecond.
    pub speed: f64,
}

/// A request of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadRequest {
    /// When the client sends it, in microseconds from the start of the simulation.
    pub sent_at: Micros,
    /// Rank of the scheduler that the client sends it to.
    pub rank: u32,
    /// Class, as an index into the `request_classes` of the settings.
    pub class: usize,
    /// Name of the class.
    pub class_name: &'static str,
    /// Tenant, as an index into the `orgs` of the settings.
    pub tenant: Option<usize>,
    /// Work, in microseconds at speed 1.
    pub work: f64,
    /// The client's hint about the work, in microseconds at speed 1.
    pub hint: f64,
    /// Number of slots that it takes.
    pub slots: u32,
    /// Time after which the client gives up, in microseconds.
    pub client_timeout: Micros,
    /// The aim: the longest time in which an answer is not late, in microseconds.
    pub aim: Micros,
    /// True if it comes in during the measured time.
    pub measured: bool,
}

/// The workers and requests of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// The workers, by number.
    pub workers: Vec<WorkloadWorker>,
    /// The requests, by time.
    pub requests: Vec<WorkloadRequest>,
    /// Begin and end of the measured time, in microseconds from the start of the simulation.
    pub measured_span: (Micros, Micros),
}

/// The workload of a plan without an incident: the same random draws as [`crate::simulate`] makes.
pub fn workload(plan: &Plan) -> Workload {
    let simulation = Simulation::new(plan);
    let workers = simulation.workers.iter().map(|worker| WorkloadWorker {
        name: worker.name.clone(),
        zone: zone_name(worker.zone as u32),
        kind: worker.kind,
        cell: worker.cell,
        slots: worker.slots,
        speed: worker.speed,
    });
    let workers = workers.collect();
    let requests = simulation.into_requests().into_iter().map(|job| {
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
