//! All decisions of a dispatcher. The ordinary path: the size map names a range of workers, an EDF demand test over a
//! worker's lanes admits the job, and held jobs leave earliest deadline first as lanes free.

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
use crate::peer::{self, Load, Said};
use crate::rejections::Rejections;
use crate::state::*;
use calicolb_fleet::census::MOST_RANKS;
use calicolb_fleet::cold::{Allowance, ColdShare, Rota, Sender, warmth};
use calicolb_fleet::company::Company;
use calicolb_fleet::draw::mix;
use calicolb_fleet::spending::Spending;
use calicolb_fleet::trust::Trust;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Dispatchers, at most, that tell each other what they send, so that together they know their workers.
const MAX_COHORT_SIZE: usize = 8;
/// Workers that a cohort's share holds at least, if it has not the most members.
const MIN_WORKERS_PER_COHORT: usize = 8;
/// Ranges of the size map at most; with few workers there are fewer.
const MAX_RANGES: usize = 4;
/// Workers a range needs at least, over all cohorts' shares of it, to be worth having.
const MIN_WORKERS_PER_RANGE: usize = 8;
/// Sizes that must have been seen for each range: boundaries drawn from fewer would crowd some ranges.
const MIN_SIZES_PER_RANGE: usize = 8;
/// Lanes that a worker in another zone must have free more than one in this zone to be spilled to.
const CROSS_ZONE_MARGIN: f64 = 0.5;
/// Held jobs without a lane that are looked at in one go: bounds the work of an event under overload.
const MAX_BLOCKED_JOBS_PER_PASS: usize = 8;
/// Held jobs are looked at again after this time at the soonest, unless a lane frees before.
const RECHECK_INTERVAL: Micros = 20 * MILLISECOND;
/// Age that a report is taken to have when it comes: the settings do not tell.
const ASSUMED_REPORT_AGE: Micros = 500 * MILLISECOND;
/// Age that no report is beyond: what has run for so long was running when it was made.
const MAX_REPORT_AGE: Micros = 1_800 * MILLISECOND;
/// A worker is probed at most this often: reports are refreshed about as slowly.
const MIN_PROBE_INTERVAL: Micros = 500 * MILLISECOND;
/// Workers outside the cohort's share that are looked at, and probed, for one job.
const MAX_SAMPLED_WORKERS: usize = 4;
/// News of a start takes this long at most; after that a job is taken to wait.
const START_NOTICE_TIMEOUT: Micros = 50 * MILLISECOND;
/// Share of a cold worker's stated budget that is used: its true size is only estimated.
const COLD_BUDGET_SHARE: f64 = 0.4;
/// A planned job gives way to one that is worth so many times as much for its work.
const YIELD_VALUE_RATIO: f64 = 2.0;
/// A process that starts calls for the list within this time.
const MAX_FIRST_CALL_DELAY: Micros = 2 * SECOND;
const HOLD_QUEUE_TIMER: TimerId = TimerId(1);
const WORKER_LIST_TIMER: TimerId = TimerId(2);

/// A job's start and end; the same, and at which worker; when lanes come free; a job's class and hint.
type JobInterval = (Micros, Micros);
type Placement = (usize, Micros, Micros);
type LaneEnds = Vec<Micros>;
type ClassAndHint = (usize, Option<f64>);

/// One dispatcher's decisions.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    /// What is to be done.
    pub(crate) actions: Vec<Action>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_index: Table<WorkerId, usize>,
    pub(crate) knowledge: Knowledge,
    pub(crate) size_maps: Vec<SizeMap>,
    pub(crate) size_maps_stale: bool,
    pub(crate) requests: Table<RequestId, Request>,
    pub(crate) hold_queue: Queue,
    /// Another process has taken over: this one ends its work, and that one alone speaks for both.
    pub(crate) has_successor: bool,
    pub(crate) worker_list: Listing,
    pub(crate) sample_offset: usize,
    /// The zone, if it is known, and the ranks of each cohort.
    pub(crate) cohorts: Vec<(Option<u8>, Vec<u32>)>,
    /// The other dispatchers, and what is assumed of them.
    pub(crate) company: Company,
    /// What has been spent of what all dispatchers share, for operators.
    pub shared_spending: Spending,
    /// Why requests got no result, for operators.
    pub rejections: Rejections,
}

impl Dispatcher {
    /// A dispatcher without any knowledge but its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let company = Company::new(settings.instances, settings.rank, settings.limits.peers);
        Dispatcher {
            actions: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            workers: Vec::new(),
            worker_index: Table::default(),
            knowledge: Knowledge::new(&settings, company.size(), now),
            size_maps: (0..=settings.kinds).map(|_| SizeMap::default()).collect(),
            size_maps_stale: true,
            requests: Table::default(),
            hold_queue: Queue::default(),
            has_successor: false,
            worker_list: Listing::default(),
            sample_offset: 0,
            cohorts: Vec::new(),
            company,
            shared_spending: Spending::default(),
            rejections: Rejections::default(),
            settings,
        }
    }

    /// Takes in one event and adds what is to be done to `out`.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.handle_event(now, event);
        out.append(&mut self.actions);
    }

    fn handle_event(&mut self, now: Micros, event: Event) {
        match event {
            Event::Members(kind, members) => self.on_members(now, kind, members),
            Event::Arrival(arrival) => self.on_arrival(now, arrival),
            // Timers cannot be withdrawn: one that an earlier one has overtaken is passed over.
            Event::Timer(HOLD_QUEUE_TIMER) => {
                if self.hold_queue.wake.is_some_and(|at| at <= now) {
                    self.hold_queue.wake = None;
                    self.process_hold_queue(now);
                }
            }
            Event::Timer(_) => self.subscribe_to_list(),
            Event::ListUntil(until) => {
                self.worker_list.until = until;
                self.process_hold_queue(now);
            }
            Event::ListMoved => {
                self.worker_list.subscribed = false;
                self.subscribe_to_list();
            }
            Event::Settings(settings) => self.on_settings(now, *settings),
            Event::Handed(knowledge) => self.on_handed(knowledge),
            Event::Succeeded(succeeded) => {
                self.has_successor = succeeded;
                (0..self.workers.len()).for_each(|at| self.send_load(now, at, None));
            }
            Event::Streaming { request, attempt } => {
                self.on_started(now, request, attempt);
                self.close(request);
            }
            Event::Note { request, attempt, note } => self.on_note(now, request, attempt, note),
            Event::Outcome(outcome) => {
                if let Some(&at) = self.worker_index.get(&outcome.worker) {
                    self.on_report(now, at, outcome.report);
                }
                self.on_outcome(now, outcome);
            }
            Event::Probed { worker, ending, report, .. } => {
                let Some(&at) = self.worker_index.get(&worker) else { return };
                self.on_report(now, at, report);
                if ending == Ending::Unreachable {
                    self.record_fault(now, at, 1);
                }
                self.offer_freed_lane(now, at);
            }
            Event::Lapsed(request) => self.on_lapsed(request),
            Event::Ends(at) => self.on_process_end(now, at),
            Event::MovedAway(request) => self.on_moved_away(now, request),
            Event::Conclude(request) => self.on_conclude(now, request),
            Event::Peer { from, body } => self.on_peer(now, from, &body),
        }
    }
}
