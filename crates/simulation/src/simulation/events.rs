//! The events of the simulation and their order.

use super::*;

/// Update of a worker on a task that it accepted.
#[derive(Clone, Debug)]
pub(crate) enum TaskUpdate {
    Started,
    /// Completed fraction of the work, from 0 to 1.
    Progress(f64),
    Ended(Ending, Option<Report>),
}

/// An event of the simulation.
pub(crate) enum SimEvent {
    SchedulerStarts { rank: u32 },
    InitialRequest,
    NextRequest,
    RequestArrives { job: u32 },
    RequestOverdue { job: u32 },
    DeadlineReached { process: u32, deadline: Deadline },
    DatagramArrives { to: u32, from: u32, body: Rc<Vec<u8>> },
    ConnectionUp { process: u32, id: AttemptId, worker: u32 },
    ConnectionFailed { process: u32, id: AttemptId },
    AttemptArrives { origin: Origin, worker: u32, job: u32 },
    AttemptAccepted { process: u32, id: AttemptId, worker: WorkerId, incarnation: u32 },
    TaskUpdateArrives { process: u32, id: AttemptId, from: u32, update: TaskUpdate },
    SendTaskUpdate { worker: u32, origin: Origin, update: TaskUpdate, sends: u32 },
    TaskDone { worker: u32, incarnation: u32, task: u64 },
    TaskProgress { worker: u32, incarnation: u32, task: u64 },
    SendCancel { worker: u32, origin: Origin, failures: u32 },
    CancelArrives { worker: u32, origin: Origin, failures: Option<u32> },
    ProbeArrives { process: u32, worker: u32, sent: Micros },
    ProbeFinished { process: u32, worker: WorkerId, sent: Micros, report: Option<Report>, bytes: usize },
    WatchCallArrives { process: u32, call: u64, from: u64 },
    WatchCallAnswered { process: u32, call: u64, from: u64 },
    WatchCallRefused { process: u32, call: u64 },
    WatchMessageArrives { process: u32, call: u64, update: Option<Rc<Update>>, bytes: usize },
    KeepaliveDue { process: u32, call: u64 },
    PublishList,
    Incident(IncidentStep),
    Agreement(AgreementEvent),
}

/// An event in the queue, ordered by time and then by the order of scheduling.
pub(super) struct ScheduledEvent {
    pub(super) at: Micros,
    pub(super) sequence: u64,
    pub(super) event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
