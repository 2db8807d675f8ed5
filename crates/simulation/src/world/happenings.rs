//! What can happen, and in which order.

use super::*;

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
    News { process: u32, id: AttemptId, from: u32, news: News },
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
    Incident(Step),
    Agreement(Word),
}

/// One that is laid: earlier ones come first, and of the same moment those that were laid first.
pub(super) struct Next {
    pub(super) at: Micros,
    pub(super) order: u64,
    pub(super) what: Happening,
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
