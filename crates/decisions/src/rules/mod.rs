//! All decisions of a dispatcher. On the ordinary path the size map selects a range of workers, an
//! earliest-deadline-first (EDF) demand test over the lanes of a worker admits the job, and held jobs are sent in
//! order of their deadlines as lanes become free.
//!
//! Each worker is assigned to one cohort of dispatchers. The own share of a range is the workers that are assigned to
//! the cohort of this dispatcher or, if dispatchers exchange no messages, the workers of its zone. Functions in this
//! module identify a worker by its index in `Dispatcher::workers`.

mod admission;
mod adoption;
mod dealing;
mod endings;
mod estimates;
mod lanes;
mod list;
mod release;
mod talk;

use crate::api::*;
use crate::peer_message::{self, Load, PeerMessage};
use crate::rejections::Rejections;
use crate::state::*;
use calicolb_fleet::cold::{Allowance, ColdBudget, ColdRotation, Sender, capacity_fraction};
use calicolb_fleet::fleet_size::MAX_RANKS;
use calicolb_fleet::hash::mix;
use calicolb_fleet::health::WorkerHealth;
use calicolb_fleet::peer_set::PeerSet;
use calicolb_fleet::usage::Usage;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Maximum number of dispatchers in a cohort. The members tell each other what they send, so that together they know
/// the load of their workers.
const MAX_COHORT_SIZE: usize = 8;
/// Minimum number of workers in the share of a cohort, unless the cohort has reached its maximum size.
const MIN_WORKERS_PER_COHORT: usize = 8;
/// Maximum number of ranges in a size map. With few workers there are fewer.
const MAX_RANGES: usize = 4;
/// Minimum number of workers in a range, over the shares of all cohorts. Smaller ranges are not worthwhile.
const MIN_WORKERS_PER_RANGE: usize = 8;
/// Minimum number of job sizes seen per range. Boundaries drawn from fewer sizes would overload some ranges.
const MIN_SIZES_PER_RANGE: usize = 8;
/// Number of free lanes that a worker in another zone needs beyond those of a worker in the own zone to be preferred.
const CROSS_ZONE_MARGIN: f64 = 0.5;
/// Maximum number of held jobs without a free lane that one pass over the hold queue examines. It bounds the work per
/// event under overload.
const MAX_BLOCKED_JOBS_PER_PASS: usize = 8;
/// Minimum time until held jobs are examined again, unless a lane becomes free before that.
const RECHECK_INTERVAL: Micros = 20 * MILLISECOND;
/// Age that a report is assumed to have on arrival. The settings do not state it.
const ASSUMED_REPORT_AGE: Micros = 500 * MILLISECOND;
/// Upper bound of the age of a report. A job that has run longer than this was running when the report was made.
const MAX_REPORT_AGE: Micros = 1_800 * MILLISECOND;
/// Minimum time between two probes of a worker. Workers refresh their reports about this slowly.
const MIN_PROBE_INTERVAL: Micros = 500 * MILLISECOND;
/// Maximum number of workers outside the cohort's share that are examined and probed for one job.
const MAX_SAMPLED_WORKERS: usize = 4;
/// Maximum delay of the notice that a job has started. A job without a notice after this time is assumed to wait at
/// its worker.
const START_NOTICE_TIMEOUT: Micros = 50 * MILLISECOND;
/// Share of a cold worker's budget that is used, because the worker's true capacity is only estimated.
const COLD_BUDGET_SHARE: f64 = 0.4;
/// A planned job yields to a job whose worth per unit of work is at least this many times as high.
const YIELD_WORTH_RATIO: f64 = 2.0;
/// Maximum delay of the first call for the worker list after a process starts.
const MAX_FIRST_CALL_DELAY: Micros = 2 * SECOND;
/// Timer for the next pass over the hold queue.
const HOLD_QUEUE_TIMER: TimerId = TimerId(1);
/// Timer for the next call for the worker list.
const WORKER_LIST_TIMER: TimerId = TimerId(2);

/// Start and end of a job.
type JobInterval = (Micros, Micros);
/// Index of the worker chosen for a job, and the start and end of the job there.
type Placement = (usize, Micros, Micros);
/// Times at which the lanes of a worker become free.
type LaneEnds = Vec<Micros>;
/// Index of the class of a job, and the work that its client expects.
type ClassAndHint = (usize, Option<f64>);

/// Decision state of one dispatcher: takes events and returns the actions to carry out.
pub struct Dispatcher {
    /// Settings in force.
    pub(crate) settings: Settings,
    /// Actions collected while an event is handled.
    pub(crate) actions: Vec<Action>,
    /// Random number generator, seeded by the host.
    pub(crate) rng: fastrand::Rng,
    /// All workers seen so far, including those that left the worker list.
    pub(crate) workers: Vec<Worker>,
    /// Index of each worker in `workers`.
    pub(crate) worker_index: IdMap<WorkerId, usize>,
    /// Figures learned over time.
    pub(crate) knowledge: Knowledge,
    /// Size maps: the first covers all kinds of machine, the following ones a single kind each.
    pub(crate) size_maps: Vec<SizeMap>,
    /// True if the size maps must be rebuilt before the next choice of a worker.
    pub(crate) size_maps_stale: bool,
    /// Requests that are open or still have an attempt in flight.
    pub(crate) requests: IdMap<RequestId, Request>,
    /// Jobs that wait to be sent, and jobs sent without a start notice.
    pub(crate) hold_queue: HoldQueue,
    /// True if another process of this dispatcher has taken over. This process then only completes its work, and the
    /// successor alone sends messages to other dispatchers for both.
    pub(crate) has_successor: bool,
    /// State of the worker list subscription.
    pub(crate) worker_list: ListState,
    /// Rotates with every arrival, so that successive jobs examine different workers outside the cohort.
    pub(crate) sample_offset: usize,
    /// Zone and member ranks of each cohort. The zone is `None` if the cohort is not limited to one or the zone is not
    /// known.
    pub(crate) cohorts: Vec<(Option<u8>, Vec<u32>)>,
    /// Membership of the other dispatchers, and how far their messages are relied on.
    pub(crate) peer_set: PeerSet,
    /// Use of resources that all dispatchers share, for operators.
    pub shared_spending: Usage,
    /// Counts of requests without a result by reason, for operators.
    pub rejections: Rejections,
}

impl Dispatcher {
    /// Creates a dispatcher that knows only its settings. `now` is in microseconds.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let peer_set = PeerSet::new(settings.instances, settings.rank, settings.limits.peers);
        Dispatcher {
            actions: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            workers: Vec::new(),
            worker_index: IdMap::default(),
            knowledge: Knowledge::new(&settings, peer_set.size(), now),
            size_maps: (0..=settings.kinds).map(|_| SizeMap::default()).collect(),
            size_maps_stale: true,
            requests: IdMap::default(),
            hold_queue: HoldQueue::default(),
            has_successor: false,
            worker_list: ListState::default(),
            sample_offset: 0,
            cohorts: Vec::new(),
            peer_set,
            shared_spending: Usage::default(),
            rejections: Rejections::default(),
            settings,
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.handle_event(now, event);
        out.append(&mut self.actions);
    }

    fn handle_event(&mut self, now: Micros, event: Event) {
        match event {
            Event::Members(kind, members) => self.on_members(now, kind, members),
            Event::Arrival(arrival) => self.on_arrival(now, arrival),
            // Timers cannot be cancelled. A timer that an earlier one has superseded is ignored.
            Event::Timer(HOLD_QUEUE_TIMER) => {
                if self.hold_queue.wake.is_some_and(|wake| wake <= now) {
                    self.hold_queue.wake = None;
                    self.process_hold_queue(now);
                }
            }
            Event::Timer(_) => self.subscribe_to_list(),
            Event::ListLease(lease_end) => {
                self.worker_list.lease_end = lease_end;
                self.process_hold_queue(now);
            }
            Event::ListMoved => {
                self.worker_list.subscribed = false;
                self.subscribe_to_list();
            }
            Event::Settings(settings) => self.on_settings(now, *settings),
            Event::KnowledgeReceived(knowledge) => self.on_knowledge_received(&knowledge),
            Event::SuccessorActive(active) => {
                self.has_successor = active;
                (0..self.workers.len()).for_each(|index| self.send_load(now, index, None));
            }
            Event::Streaming { request, attempt } => {
                self.on_started(now, request, attempt);
                self.close(request);
            }
            Event::Note { request, attempt, note } => self.on_note(now, request, attempt, note),
            Event::Outcome(outcome) => {
                if let Some(&index) = self.worker_index.get(&outcome.worker) {
                    self.on_report(now, index, outcome.report);
                }
                self.on_outcome(now, outcome);
            }
            Event::Probed { worker, ending, report, .. } => {
                let Some(&index) = self.worker_index.get(&worker) else { return };
                self.on_report(now, index, report);
                if ending == Ending::Unreachable {
                    self.record_fault(now, index, 1);
                }
                self.offer_freed_lane(now, index);
            }
            Event::RequestAbandoned(request) => self.on_request_abandoned(request),
            Event::ShutdownAt(end) => self.on_shutdown_at(now, end),
            Event::RequestTransferred(request) => self.on_request_transferred(now, request),
            Event::FinishRequest(request) => self.on_finish_request(now, request),
            Event::Peer { from, body } => self.on_peer(now, from, &body),
        }
    }
}
