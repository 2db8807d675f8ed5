//! What the decision module keeps in mind: records that tell of themselves and decide nothing, and its hashing.

use crate::api::*;
use crate::rules::Dispatcher;
use calicolb_fleet::hash::mix;
use calicolb_fleet::health::WorkerHealth;
use calicolb_fleet::speed::Speed;
use calicolb_knowledge::classes::ClassModel;
use calicolb_knowledge::lanes::LaneCount;
use calicolb_knowledge::rate::Rate;
use calicolb_knowledge::sizes::SizeSample;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

impl Dispatcher {
    /// Requests of a tenant with a quota since this process started, and how many of them counted as within its share.
    pub fn quota_counts(&self, tenant: TenantIx) -> Option<(u64, u64)> {
        self.know.buckets.get(tenant.0).map(|bucket| (bucket.requested, bucket.granted))
    }
}

/// Hashes alike in every process; maps are only looked up, never walked, so no outcome hangs on their order.
pub(crate) type IdMap<K, V> = HashMap<K, V, BuildHasherDefault<IdHasher>>;

#[derive(Default)]
pub(crate) struct IdHasher(u64);

impl Hasher for IdHasher {
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|&byte| self.write_u32(u32::from(byte)));
    }

    fn write_u32(&mut self, id: u32) {
        self.0 = mix(self.0, u64::from(id));
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// What a peer told of its load counts for so long after its last job there was to end.
const PEER_LOAD: Micros = 2_000_000;

/// An attempt of this dispatcher that occupies lanes of a worker.
#[derive(Default)]
pub(crate) struct OwnAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) slots: usize,
    pub(crate) sent: Micros,
    pub(crate) end: Micros,
    /// When it is known, or taken, to have started.
    pub(crate) start: Micros,
    /// Sent to a lane that was held to be free, or known to have started: its time tells of its size.
    pub(crate) measures_size: bool,
    /// The worker will tell when it starts, and has not yet.
    pub(crate) awaits_start: bool,
    pub(crate) progress: Option<(Micros, f64)>,
}

/// What is learned in the course of time, apart from the workers and the sizes of jobs.
#[derive(Serialize, Deserialize)]
pub(crate) struct Knowledge {
    pub(crate) kinds: Vec<KindState>,
    pub(crate) classes: Vec<ClassModel>,
    pub(crate) buckets: Vec<TokenBucket>,
    /// By zone, the share of a worker's lanes that others use, as reports show on average.
    #[serde(rename = "mean_foreign")]
    pub(crate) mean_foreign_share: Vec<f64>,
    #[serde(rename = "mean_time")]
    pub(crate) mean_run_time: f64,
    #[serde(rename = "most_slots")]
    pub(crate) max_slots: usize,
    /// The work that comes in a second.
    #[serde(default, rename = "work")]
    pub(crate) work_rate: Rate,
    /// The zones of the dispatchers, by rank, as far as they told.
    #[serde(rename = "zones")]
    pub(crate) zones_by_rank: Vec<Option<u8>>,
    /// Connections to each zone that failed in a row, and until when the zone is left alone.
    #[serde(rename = "cuts")]
    pub(crate) zone_failures: Vec<(u32, Micros)>,
}

impl Knowledge {
    /// What is known at the start.
    pub(crate) fn new(settings: &Settings, fleet: u32, now: Micros) -> Self {
        let mut zones = vec![None; fleet as usize];
        // A rank beyond those that are counted has no place here.
        if let Some(own) = zones.get_mut(settings.rank as usize).filter(|_| settings.limits.peers) {
            *own = Some(settings.zone.0 as u8);
        }
        Knowledge {
            kinds: (0..settings.kinds.max(1)).map(|_| KindState::default()).collect(),
            classes: settings.classes.iter().map(|_| ClassModel::default()).collect(),
            buckets: settings.tenants.iter().map(|_| TokenBucket::new(now)).collect(),
            mean_foreign_share: vec![0.0; settings.zones.max(1)],
            mean_run_time: 1_000_000.0,
            max_slots: 1,
            work_rate: Rate::new(now),
            zones_by_rank: zones,
            zone_failures: vec![(0, 0); settings.zones.max(1)],
        }
    }

    /// Speaks of as many kinds, classes, tenants, zones and dispatchers as this one: what another process hands
    /// on may come from other settings.
    pub(crate) fn has_same_shape(&self, other: &Knowledge) -> bool {
        let shape = |of: &Knowledge| {
            (
                of.kinds.len(),
                of.classes.len(),
                of.buckets.len(),
                of.mean_foreign_share.len(),
                of.zone_failures.len(),
            )
        };
        shape(self) == shape(other)
    }

    /// This worker's zone and kind are among those that it speaks of.
    pub(crate) fn covers(&self, worker: &Worker) -> bool {
        worker.zone.0 < self.mean_foreign_share.len() && worker.kind < self.kinds.len()
    }
}

/// What a peer has on a worker, as it told.
#[derive(Serialize, Deserialize)]
pub(crate) struct PeerLoad {
    pub(crate) from: u32,
    pub(crate) lanes: usize,
    pub(crate) soonest: Micros,
    pub(crate) latest: Micros,
    /// Work that it sent the worker in the window while it is cold, as told at `told`.
    #[serde(default, rename = "cold")]
    pub(crate) cold_work: f64,
    #[serde(default, rename = "told")]
    pub(crate) received_at: Micros,
}

impl PeerLoad {
    /// When its jobs there end, spread evenly from the soonest to the latest, none before `least`.
    pub(crate) fn ends(&self, least: Micros) -> impl Iterator<Item = Micros> {
        let (first, last) = (self.soonest.max(least), self.latest.max(least));
        let step = last.saturating_sub(first) / (self.lanes as u64).saturating_sub(1).max(1);
        (0..self.lanes as u64).map(move |nr| first + step * nr)
    }
}

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) zone: ZoneIx,
    pub(crate) kind: usize,
    pub(crate) cell: u32,
    #[serde(rename = "standing")]
    pub(crate) status: WorkerStatus,
    /// Its lanes, where the list tells them exactly; by its older name to another process.
    #[serde(default, rename = "told")]
    pub(crate) exact_lanes: Option<usize>,
    /// Skills that it has not, a bit each.
    #[serde(default)]
    pub(crate) refuses: u64,
    pub(crate) weight: f64,
    pub(crate) started: Option<Micros>,
    pub(crate) cold_sent: VecDeque<(Micros, f64)>,
    #[serde(skip)]
    pub(crate) own: Vec<OwnAttempt>,
    /// Held jobs admitted to its lanes.
    #[serde(skip)]
    pub(crate) planned: Vec<(Micros, RequestId)>,
    pub(crate) peers: Vec<PeerLoad>,
    pub(crate) lanes: Option<f64>,
    /// Lanes in use by others when last reported, and when that was.
    pub(crate) foreign: Option<(Micros, f64)>,
    /// Its speed beside its kind's, learned here and at its cohort's other dispatchers.
    #[serde(default)]
    pub(crate) speed: Speed,
    #[serde(default, rename = "trust")]
    pub(crate) health: WorkerHealth,
    #[serde(rename = "probed")]
    pub(crate) probed_at: Micros,
    /// Its load is known from a report, or from being full, at this time.
    #[serde(rename = "known")]
    pub(crate) load_known_at: Micros,
    #[serde(skip)]
    pub(crate) cohort: usize,
    /// This dispatcher is in the worker's cohort.
    #[serde(skip)]
    pub(crate) in_own_cohort: bool,
}

impl Worker {
    /// Lanes that this dispatcher's attempts take there.
    pub(crate) fn busy(&self) -> usize {
        self.own.iter().map(|own| own.slots).sum()
    }

    /// Slots of its attempts that are known, or taken, to run.
    pub(crate) fn running(&self) -> usize {
        self.own.iter().filter(|own| !own.awaits_start).map(|own| own.slots).sum()
    }

    /// It is within the group of workers that drop a repeat of what this other one had.
    pub(crate) fn drops_repeats(&self, group: Group, of: &Worker) -> bool {
        match group {
            Group::All => true,
            Group::Zone => of.zone == self.zone,
            Group::Cell => of.cell == self.cell,
        }
    }

    /// What others told that they have there, and what still counts of that.
    pub(crate) fn current_peer_loads(&self, now: Micros) -> impl Iterator<Item = &PeerLoad> {
        self.peers.iter().filter(move |peer| peer.latest + PEER_LOAD > now)
    }

    /// It cannot do what a request with this skill needs.
    pub(crate) fn refuses(&self, skill: u32) -> bool {
        self.refuses >> skill.min(u64::BITS - 1) & 1 == 1
    }
}

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct KindState {
    #[serde(default)]
    pub(crate) speed: Speed,
    pub(crate) lanes: Option<f64>,
    /// The same by the starts that its workers tell of.
    #[serde(default, rename = "counted")]
    pub(crate) lane_count: LaneCount,
}

pub(crate) struct Attempt {
    pub(crate) worker: usize,
    pub(crate) sent: Micros,
    pub(crate) state: AttemptState,
}

#[derive(Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    /// What a repeat would do, by the tightest word on that since it came.
    pub(crate) effect: Effect,
    /// What its worker must be able to do.
    pub(crate) skill: u32,
    pub(crate) slots: usize,
    pub(crate) hint: Option<f64>,
    /// Estimated time on a standard core.
    pub(crate) size: f64,
    pub(crate) expires: Micros,
    /// The aim while it can be met, the client's patience after that.
    pub(crate) deadline: Micros,
    /// What the hold queue is sorted by: the deadline; work beyond its tenant's share comes after what is in
    /// time by the client's patience.
    pub(crate) queue_key: Micros,
    pub(crate) late: bool,
    /// Beyond its tenant's share.
    pub(crate) over_share: bool,
    /// What a unit of its work is worth in time.
    pub(crate) worth_per_work: f64,
    /// What the size may well be instead, as a part of it: the slack of the deadline test is reckoned by that,
    /// since a job that is smaller than hinted has less of it.
    pub(crate) lower_bound_factor: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) done: bool,
    pub(crate) held: bool,
    /// The worker on whose lanes a held job was admitted.
    pub(crate) planned: Option<usize>,
}

impl Request {
    /// An attempt of these may still be running at this worker.
    pub(crate) fn may_run(attempts: &[Attempt], at: usize) -> bool {
        let there = |attempt: &Attempt| matches!(attempt.state, AttemptState::Out | AttemptState::MayRun);
        attempts.iter().any(|attempt| attempt.worker == at && there(attempt))
    }

    /// An attempt of it may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// An attempt that may still have been running is over.
    pub(crate) fn mark_ended(&mut self, attempt: u32) {
        let ended = self.attempts.get_mut(attempt as usize).filter(|own| own.state == AttemptState::MayRun);
        ended.into_iter().for_each(|own| own.state = AttemptState::MayHaveRan);
    }

    /// An attempt of it is out.
    pub(crate) fn has_outstanding(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::Out)
    }
}

/// The hold queue, in its orders.
#[derive(Default)]
pub(crate) struct HoldQueue {
    /// Held jobs, earliest deadline first.
    pub(crate) held: BTreeSet<(Micros, RequestId)>,
    /// The same by when their clients leave.
    pub(crate) expiries: BTreeSet<(Micros, RequestId)>,
    /// Jobs that were sent, by when their start was due to be told.
    pub(crate) unstarted: BTreeSet<(Micros, RequestId)>,
    /// When it is looked at next.
    pub(crate) wake: Option<Micros>,
}

/// How the list of workers is come by.
#[derive(Default)]
pub(crate) struct ListState {
    pub(crate) subscribed: bool,
    /// A call failed, or the watch broke, and nothing has come since.
    pub(crate) lost: bool,
    /// The list may be acted on until then, if something of it may have been missed.
    pub(crate) lease_end: Option<Micros>,
}

impl ListState {
    /// Nothing new may be sent by the list: any worker may be draining or gone.
    pub(crate) fn stale(&self, now: Micros) -> bool {
        self.lease_end.is_some_and(|until| now >= until)
    }
}

pub(crate) struct SizeRange {
    pub(crate) upper: f64,
    pub(crate) own_cohort: Vec<usize>,
    pub(crate) same_zone: Vec<usize>,
    pub(crate) other_zones: Vec<usize>,
}

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SizeMap {
    #[serde(skip)]
    pub(crate) ranges: Vec<SizeRange>,
    pub(crate) sizes: SizeSample,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct TokenBucket {
    pub(crate) tokens: f64,
    #[serde(rename = "at")]
    pub(crate) refilled_at: Micros,
    /// Tokens that were asked for since the process started, and those that there were.
    #[serde(skip)]
    pub(crate) requested: u64,
    #[serde(skip)]
    pub(crate) granted: u64,
}

impl TokenBucket {
    /// As it is at the start.
    pub(crate) fn new(now: Micros) -> Self {
        TokenBucket { tokens: 3.0, refilled_at: now, requested: 0, granted: 0 }
    }

    /// How many tokens may be saved where so many come a second.
    fn most(rate: f64) -> f64 {
        (rate * 5.0).max(3.0)
    }

    /// Tokens came at the old rate up to now; what is saved is cut to what the new one lets be saved.
    pub(crate) fn set_rate(&mut self, now: Micros, old: f64, new: f64) {
        let gone = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        self.tokens = (self.tokens + gone * old.max(0.0)).min(Self::most(old)).min(Self::most(new));
    }

    /// Takes a token, where there is one; they come at `rate` a second, and five seconds' worth, but three at least,
    /// may be saved.
    pub(crate) fn take(&mut self, now: Micros, rate: f64) -> bool {
        let gone = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        self.tokens = (self.tokens + gone * rate).min(Self::most(rate));
        let there = self.tokens >= 1.0;
        self.tokens -= if there { 1.0 } else { 0.0 };
        self.requested += 1;
        self.granted += u64::from(there);
        there
    }
}
