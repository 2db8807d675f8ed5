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
use crate::peer_message::{self, Load, PeerMessage};
use crate::rejections::Rejections;
use crate::state::*;
use calicolb_fleet::cold::{Allowance, ColdBudget, ColdRotation, Sender, capacity_fraction};
use calicolb_fleet::fleet_size::MAX_RANKS;
use calicolb_fleet::hash::mix;
use calicolb_fleet::health::WorkerHealth;
use calicolb_fleet::peer_set::PeerSet;
use calicolb_fleet::usage::Usage;

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Dispatchers, at most, that tell each other what they send, so that together they know their workers.
const COHORT: usize = 8;
/// Workers that a cohort's share holds at least, if it has not the most members.
const SHARE: usize = 8;
/// Ranges of the size map at most; with few workers there are fewer.
const RANGES: usize = 4;
/// Workers a range needs at least, over all cohorts' shares of it, to be worth having.
const RANGE_WORKERS: usize = 8;
/// Sizes that must have been seen for each range: boundaries drawn from fewer would crowd some ranges.
const RANGE_SIZES: usize = 8;
/// Lanes that a worker in another zone must have free more than one in this zone to be spilled to.
const CROSSING: f64 = 0.5;
/// Held jobs without a lane that are looked at in one go: bounds the work of an event under overload.
const LOOK: usize = 8;
/// Held jobs are looked at again after this time at the soonest, unless a lane frees before.
const RECHECK: Micros = 20 * MILLI;
/// Age that a report is taken to have when it comes: the settings do not tell.
const REPORT_AGE: Micros = 500 * MILLI;
/// Age that no report is beyond: what has run for so long was running when it was made.
const REPORT_OLDEST: Micros = 1_800 * MILLI;
/// A worker is probed at most this often: reports are refreshed about as slowly.
const PROBE_EVERY: Micros = 500 * MILLI;
/// Workers outside the cohort's share that are looked at, and probed, for one job.
const PROBES: usize = 4;
/// News of a start takes this long at most; after that a job is taken to wait.
const START_NEWS: Micros = 50 * MILLI;
/// Share of a cold worker's stated budget that is used: its true size is only estimated.
const COLD_SHARE: f64 = 0.4;
/// A planned job gives way to one that is worth so many times as much for its work.
const GIVES_WAY: f64 = 2.0;
/// A process that starts calls for the list within this time.
const FIRST_CALL: Micros = 2 * SECOND;
const TIMER_PUMP: TimerId = TimerId(1);
const TIMER_LIST: TimerId = TimerId(2);

/// A job's start and end; the same, and at which worker; when lanes come free; a job's class and hint.
type Span = (Micros, Micros);
type Choice = (usize, Micros, Micros);
type Ends = Vec<Micros>;
type Told = (usize, Option<f64>);

/// One dispatcher's decisions.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    /// What is to be done.
    pub(crate) out: Vec<Action>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) workers: Vec<Worker>,
    pub(crate) index: IdMap<WorkerId, usize>,
    pub(crate) know: Knowledge,
    pub(crate) maps: Vec<SizeMap>,
    pub(crate) maps_stale: bool,
    pub(crate) requests: IdMap<RequestId, Request>,
    pub(crate) queue: HoldQueue,
    /// Another process has taken over: this one ends its work, and that one alone speaks for both.
    pub(crate) succeeded: bool,
    pub(crate) list: ListState,
    pub(crate) spill_from: usize,
    /// The zone, if it is known, and the ranks of each cohort.
    pub(crate) cohorts: Vec<(Option<u8>, Vec<u32>)>,
    /// The other dispatchers, and what is assumed of them.
    pub(crate) company: PeerSet,
    /// What has been spent of what all dispatchers share, for operators.
    pub spent: Usage,
    /// Why requests got no result, for operators.
    pub rejections: Rejections,
}

impl Dispatcher {
    /// A dispatcher without any knowledge but its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let company = PeerSet::new(settings.instances, settings.rank, settings.limits.peers);
        Dispatcher {
            out: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            workers: Vec::new(),
            index: IdMap::default(),
            know: Knowledge::new(&settings, company.size(), now),
            maps: (0..=settings.kinds).map(|_| SizeMap::default()).collect(),
            maps_stale: true,
            requests: IdMap::default(),
            queue: HoldQueue::default(),
            succeeded: false,
            list: ListState::default(),
            spill_from: 0,
            cohorts: Vec::new(),
            company,
            spent: Usage::default(),
            rejections: Rejections::default(),
            settings,
        }
    }

    /// Takes in one event and adds what is to be done to `out`.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.on(now, event);
        out.append(&mut self.out);
    }

    fn on(&mut self, now: Micros, event: Event) {
        match event {
            Event::Members(kind, members) => self.on_members(now, kind, members),
            Event::Arrival(arrival) => self.on_arrival(now, arrival),
            // Timers cannot be withdrawn: one that an earlier one has overtaken is passed over.
            Event::Timer(TIMER_PUMP) => {
                if self.queue.wake.is_some_and(|at| at <= now) {
                    self.queue.wake = None;
                    self.pump(now);
                }
            }
            Event::Timer(_) => self.ask_list(),
            Event::ListLease(until) => {
                self.list.lease_end = until;
                self.pump(now);
            }
            Event::ListMoved => {
                self.list.subscribed = false;
                self.ask_list();
            }
            Event::Settings(settings) => self.on_settings(now, *settings),
            Event::KnowledgeReceived(knowledge) => self.on_knowledge_received(knowledge),
            Event::SuccessorActive(succeeded) => {
                self.succeeded = succeeded;
                (0..self.workers.len()).for_each(|at| self.tell_peers(now, at, None));
            }
            Event::Streaming { request, attempt } => {
                self.on_started(now, request, attempt);
                self.close(request);
            }
            Event::Note { request, attempt, note } => self.on_note(now, request, attempt, note),
            Event::Outcome(outcome) => {
                if let Some(&at) = self.index.get(&outcome.worker) {
                    self.on_report(now, at, outcome.report);
                }
                self.on_outcome(now, outcome);
            }
            Event::Probed { worker, ending, report, .. } => {
                let Some(&at) = self.index.get(&worker) else { return };
                self.on_report(now, at, report);
                if ending == Ending::Unreachable {
                    self.strike(now, at, 1);
                }
                self.offer(now, at);
            }
            Event::RequestAbandoned(request) => self.on_lapsed(request),
            Event::ShutdownAt(at) => self.on_ends(now, at),
            Event::RequestTransferred(request) => self.on_moved_away(now, request),
            Event::FinishRequest(request) => self.on_conclude(now, request),
            Event::Peer { from, body } => self.on_peer(now, from, &body),
        }
    }
}
