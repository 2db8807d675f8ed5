//! Simulation of a fleet: hundreds of schedulers, their workers, discovery, network and clients in one process, on
//! simulated time.
//!
//! Every scheduler is the program's own decision module ([`calicolb::rules::Dispatcher`]), unchanged, and sends its own
//! messages. Everything around the decision modules is simulated: there are no sockets, the clock is a queue of events in
//! microseconds, and all random draws come from one seed. The same plan gives the same counts, to the byte. Values measured
//! on this machine (processor time, memory, wall time) are kept apart: [`Summary::deterministic_counts`] leaves them out.
//!
//! | module | contents |
//! | --- | --- |
//! | `plan` | sizes, rates, the incident, and the settings that follow from them |
//! | `simulation` | the event queue, and the delivery of events to schedulers, workers and discovery |
//! | `incidents` | the incidents of a plan and the times of their steps |
//! | `links` | zones and regions: delay, loss, cut links |
//! | `workers` | slots, queue, warm-up, load reports, notes of start and progress |
//! | `discovery` | the list of workers and its watches, by the discovery protocol |
//! | `schedulers` | the host of a dispatcher: attempts, timeouts, cancellations, the lease of the list |
//! | `clients` | classes, tenants of unequal size, unequal shares of the schedulers |
//! | `control_machines` | the settings as a document, and the control machines that agree on it |
//! | `config_learner` | the learner of the agreed settings at a scheduler |
//! | `workload` | the workers and requests of a plan, for a run of the same load with real processes |
//! | `encode` | the bytes of the messages, as the program writes them |
//! | `recorder` | counts, and the summary |
//!
//! The default load of 140 starts a second with 3,400 running tasks is a mean run time of 24.3 s (Little's law). 7,200 jobs
//! a day are 0.083 a second on average, so the peak is not the mean of a day but a few large jobs that fan out, or a burst:
//! the plan keeps the peak load for the whole simulated time. A job here is one request with one to eight slots of one
//! worker; nothing in the program starts a job on several workers together. An accelerator is a slot of a worker of a
//! separate kind, eight to a machine, and its worker reports the free ones.

mod clients;
mod config_learner;
mod control_machines;
mod discovery;
pub mod encode;
mod incidents;
mod links;
mod plan;
mod recorder;
mod schedulers;
mod simulation;
mod workers;
mod workload;

pub use links::Links;
pub use plan::{Incident, Plan};
pub use recorder::{ConfigOutcome, ExtraCounts, Summary, Traffic};
pub use workload::{Workload, WorkloadRequest, WorkloadWorker, workload};

/// A point in time or a duration in simulated microseconds.
pub type Micros = u64;

/// Simulates a plan from its start until the last request has its answer, and returns the summary.
pub fn simulate(plan: &Plan) -> Summary {
    simulation::Simulation::new(plan).run()
}
