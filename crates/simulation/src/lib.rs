//! A hollow fleet: hundreds of schedulers, their workers, discovery, network and clients in one process, on simulated time.
//!
//! Every scheduler is the program's own decision module ([`calicolb::rules::Dispatcher`]), unchanged, and speaks its own
//! messages. All round it is hollow: no sockets, no clock but a queue of happenings in microseconds, and draws from one
//! seed. The same plan gives the same counts, to the byte; what is measured of this machine (processor time, memory, wall
//! time) is kept apart in the account ([`Summary::counts`]).
//!
//! | part | what it is |
//! | --- | --- |
//! | `plan` | sizes, rates, what goes wrong, and the settings that follow from them |
//! | `world` | the queue of happenings, and who hears of what |
//! | `troubles` | what goes wrong, and when |
//! | `links` | zones and regions: delay, loss, cuts |
//! | `workers` | slots, queue, cold ramp, load reports, notes of start and progress |
//! | `discovery` | the list and its watches, by the protocol page |
//! | `schedulers` | what a host does round a dispatcher: attempts, time-outs, give-ups, the list's clock |
//! | `clients` | classes, tenants with skew, uneven shares of the schedulers |
//! | `agreed` | the settings as a document, and the control machines that agree on it |
//! | `learners` | how a scheduler learns what was agreed |
//! | `outline` | the workers and requests of a plan, for who plays the same by real processes |
//! | `encode` | the bytes of what is written, as the program writes them |
//! | `ledger` | counts, and the account |
//!
//! What the letter's load means: 140 starts a second with 3,400 running is a mean of 24.3 s each (Little's law). 7,200 jobs a
//! day are 0.083 a second on average, so that the peak is no day's mean but a few large jobs that fan out, or a burst: the
//! plan holds it for all of the time that is played. A job here is one request with one to eight slots of one worker; nothing
//! in the program starts a job on several workers together. An accelerator is a slot of a worker of a kind of its own, eight
//! to a machine, and its worker reports those that are free.

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

/// A time or a span in simulated microseconds.
pub type Micros = u64;

/// Plays a plan from its start until the last request has its answer, and tells what came of it.
pub fn simulate(plan: &Plan) -> Summary {
    simulation::Simulation::new(plan).run()
}
