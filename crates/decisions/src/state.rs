//! State of the decision module: records with methods that only query or update them, and the hash function of its
//! maps.

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
    /// Returns the number of requests of a tenant since this process started, and how many of them counted as within
    /// the tenant's share. Both are 0 for a tenant without a quota. `None` if there is no such tenant.
    pub fn quota_counts(&self, tenant: TenantIx) -> Option<(u64, u64)> {
        self.knowledge.buckets.get(tenant.0).map(|bucket| (bucket.requested, bucket.granted))
    }
}

/// A hash map with the same hashes in every process. Code may look up entries but must not let a decision depend on the
/// order of iteration.
pub(crate) type IdMap<K, V> = HashMap<K, V, BuildHasherDefault<IdHasher>>;

/// Hasher for the ids in [`IdMap`].
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

/// A peer's load at a worker counts until this time (microseconds) after the expected end of the peer's last job there.
const PEER_LOAD_VALIDITY: Micros = 2_000_000;

/// An attempt of this dispatcher that occupies lanes of a worker.
#[derive(Default)]
pub(crate) struct OwnAttempt {
    /// The request.
    pub(crate) request: RequestId,
    /// Number of the attempt, in order of sending from 0.
    pub(crate) attempt: u32,
    /// Lanes that the attempt takes.
    pub(crate) slots: usize,
    /// Time at which the attempt was sent.
    pub(crate) sent: Micros,
    /// Estimated end.
    pub(crate) end: Micros,
    /// Known or estimated start.
    pub(crate) start: Micros,
    /// True if the run time of the attempt is a measure of the job's size: the attempt was sent to a lane that was
    /// considered free, or its start is known.
    pub(crate) measures_size: bool,
    /// True if the worker will report the start and has not done so yet.
    pub(crate) awaits_start: bool,
    /// Last progress report: its time, and the fraction of the job (0 to 1) that was done.
    pub(crate) progress: Option<(Micros, f64)>,
}

/// Learned knowledge, apart from the workers and the sample of job sizes.
#[derive(Serialize, Deserialize)]
pub(crate) struct Knowledge {
    /// Knowledge about each kind of machine.
    pub(crate) kinds: Vec<KindState>,
    /// Model of each class.
    pub(crate) classes: Vec<ClassModel>,
    /// Quota of each tenant.
    pub(crate) buckets: Vec<TokenBucket>,
    /// For each zone, the mean share of a worker's lanes that other dispatchers use, from reports and job starts.
    #[serde(rename = "mean_foreign")]
    pub(crate) mean_foreign_share: Vec<f64>,
    /// Mean run time of a job, in microseconds.
    #[serde(rename = "mean_time")]
    pub(crate) mean_run_time: f64,
    /// The largest number of slots that any job so far has asked for.
    #[serde(rename = "most_slots")]
    pub(crate) max_slots: usize,
    /// Work that arrives per second, in microseconds of run time on a standard core.
    #[serde(default, rename = "work")]
    pub(crate) work_rate: Rate,
    /// Zone of each dispatcher, by rank, where it is known.
    #[serde(rename = "zones")]
    pub(crate) zones_by_rank: Vec<Option<u8>>,
    /// For each zone, the number of connections that failed in a row, and the time until which the zone is avoided.
    #[serde(rename = "cuts")]
    pub(crate) zone_failures: Vec<(u32, Micros)>,
}

impl Knowledge {
    /// Returns the initial knowledge. `fleet` is the number of dispatchers.
    pub(crate) fn new(settings: &Settings, fleet: u32, now: Micros) -> Self {
        let mut zones = vec![None; fleet as usize];
        // The own rank may be above the limit of counted ranks. `zones` has no entry for it then.
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

    /// Returns true if `self` and `other` have the same numbers of kinds, classes, tenants and zones. Knowledge from
    /// another process may have been learned under other settings.
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

    /// Returns true if this knowledge has entries for the worker's zone and kind.
    pub(crate) fn covers(&self, worker: &Worker) -> bool {
        worker.zone.0 < self.mean_foreign_share.len() && worker.kind < self.kinds.len()
    }
}

/// Load of a peer at a worker, as the peer reported it.
#[derive(Serialize, Deserialize)]
pub(crate) struct PeerLoad {
    /// Rank of the peer.
    pub(crate) from: u32,
    /// Lanes that the peer's attempts take.
    pub(crate) lanes: usize,
    /// Expected end of the peer's first job there.
    pub(crate) soonest: Micros,
    /// Expected end of the peer's last job there.
    pub(crate) latest: Micros,
    /// Work that the peer sent to the cold worker in the window before `received_at`, in microseconds at speed 1.
    #[serde(default, rename = "cold")]
    pub(crate) cold_work: f64,
    /// Time at which the report was received.
    #[serde(default, rename = "told")]
    pub(crate) received_at: Micros,
}

impl PeerLoad {
    /// Returns estimated end times of the peer's jobs, spread evenly from `soonest` to `latest` and none before `min`.
    pub(crate) fn ends(&self, min: Micros) -> impl Iterator<Item = Micros> {
        let (first, last) = (self.soonest.max(min), self.latest.max(min));
        let step = last.saturating_sub(first) / (self.lanes as u64).saturating_sub(1).max(1);
        (0..self.lanes as u64).map(move |nr| first + step * nr)
    }
}

/// State of a worker.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Worker {
    /// Id of the worker.
    pub(crate) id: WorkerId,
    /// Zone of the worker.
    pub(crate) zone: ZoneIx,
    /// Index of its kind of machine.
    pub(crate) kind: usize,
    /// Cell of the worker.
    pub(crate) cell: u32,
    /// Status in the worker list.
    #[serde(rename = "standing")]
    pub(crate) status: WorkerStatus,
    /// Time at which the worker was first found to have left the worker list; `None` while it is listed.
    #[serde(skip)]
    pub(crate) departed_at: Option<Micros>,
    /// Number of lanes, if the worker list states it exactly. Serialized under its earlier name, so that another
    /// version of the program can read it.
    #[serde(default, rename = "told")]
    pub(crate) exact_lanes: Option<usize>,
    /// Skills that the worker lacks, one bit each (see [`Worker::lacks_skill`]).
    #[serde(default)]
    pub(crate) refuses: u64,
    /// Relative size according to the worker list.
    pub(crate) weight: f64,
    /// Start time of its process, if it started recently.
    pub(crate) started: Option<Micros>,
    /// Work sent to the worker while it is cold: time of sending, and amount in microseconds at speed 1.
    pub(crate) cold_sent: VecDeque<(Micros, f64)>,
    /// Attempts of this dispatcher at the worker.
    #[serde(skip)]
    pub(crate) own: Vec<OwnAttempt>,
    /// Held jobs that are admitted to its lanes, by queue key.
    #[serde(skip)]
    pub(crate) planned: Vec<(Micros, RequestId)>,
    /// Loads at the worker that other dispatchers, or the other process of this dispatcher, reported.
    pub(crate) peers: Vec<PeerLoad>,
    /// Estimated number of lanes, if reports or outcomes have shown any.
    pub(crate) lanes: Option<f64>,
    /// Time of the last estimate, from a report or a job start, and the lanes that other dispatchers used then.
    pub(crate) foreign: Option<(Micros, f64)>,
    /// Speed relative to its kind, learned by this dispatcher and the others of its cohort.
    #[serde(default)]
    pub(crate) speed: Speed,
    /// Faults of the worker, and whether it is avoided because of them.
    #[serde(default, rename = "trust")]
    pub(crate) health: WorkerHealth,
    /// Time of the last probe.
    #[serde(rename = "probed")]
    pub(crate) probed_at: Micros,
    /// Time at which its load was last known, from a report or because it was full.
    #[serde(rename = "known")]
    pub(crate) load_known_at: Micros,
    /// Index of its cohort.
    #[serde(skip)]
    pub(crate) cohort: usize,
    /// True if this dispatcher is in the worker's cohort or, without peer messages, in the worker's zone.
    #[serde(skip)]
    pub(crate) in_own_share: bool,
}

impl Worker {
    /// Returns the lanes that this dispatcher's attempts take at the worker.
    pub(crate) fn busy(&self) -> usize {
        self.own.iter().map(|own| own.slots).sum()
    }

    /// Returns the lanes of this dispatcher's attempts that are known or assumed to have started.
    pub(crate) fn running(&self) -> usize {
        self.own.iter().filter(|own| !own.awaits_start).map(|own| own.slots).sum()
    }

    /// Returns true if this worker drops a repeat of a request that was sent to worker `of` before. `group` is the
    /// group of workers that drop repeats of each other's requests.
    pub(crate) fn drops_repeats(&self, group: Group, of: &Worker) -> bool {
        match group {
            Group::All => true,
            Group::Zone => of.zone == self.zone,
            Group::Cell => of.cell == self.cell,
        }
    }

    /// Returns the peers' loads at the worker that still count at `now`.
    pub(crate) fn current_peer_loads(&self, now: Micros) -> impl Iterator<Item = &PeerLoad> {
        self.peers.iter().filter(move |peer| peer.latest + PEER_LOAD_VALIDITY > now)
    }

    /// Returns whether the worker lacks this skill.
    pub(crate) fn lacks_skill(&self, skill: u32) -> bool {
        self.refuses >> skill.min(u64::BITS - 1) & 1 == 1
    }
}

/// Knowledge about a kind of machine.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct KindState {
    /// Speed of the kind relative to a standard core.
    #[serde(default)]
    pub(crate) speed: Speed,
    /// Lanes of a worker of this kind, from reports of free slots.
    pub(crate) lanes: Option<f64>,
    /// Lanes of a worker of this kind, from reported job starts.
    #[serde(default, rename = "counted")]
    pub(crate) lane_count: LaneCount,
}

/// An attempt of a request.
pub(crate) struct Attempt {
    /// Index of the worker.
    pub(crate) worker: usize,
    /// Time at which it was sent.
    pub(crate) sent: Micros,
    /// Known state of the attempt.
    pub(crate) state: AttemptState,
}

/// An open request.
#[derive(Default)]
pub(crate) struct Request {
    /// Index of its class.
    pub(crate) class: usize,
    /// The most restrictive effect since the request arrived.
    pub(crate) effect: Effect,
    /// Skill that its worker needs.
    pub(crate) skill: u32,
    /// Slots that the job takes.
    pub(crate) slots: usize,
    /// Expected work as the client stated it: run time on a standard core, in microseconds.
    pub(crate) hint: Option<f64>,
    /// Estimated run time on a standard core, in microseconds.
    pub(crate) size: f64,
    /// Time at which the client stops waiting for an answer to this request.
    pub(crate) expires: Micros,
    /// The aim while it can be met, after that the client's deadline.
    pub(crate) deadline: Micros,
    /// Key by which the hold queue is sorted: the deadline, or, for work beyond its tenant's share, the client's
    /// deadline, so that work within the share comes first.
    pub(crate) queue_key: Micros,
    /// True if the request can no longer meet its aim.
    pub(crate) late: bool,
    /// True if the request is beyond its tenant's share.
    pub(crate) over_share: bool,
    /// Worth of each unit of work if the request is answered in time.
    pub(crate) worth_per_work: f64,
    /// Plausible lower bound of the size, as a fraction of the estimated size. The deadline test uses it, since a job
    /// that is smaller than its hint has less time until its aim.
    pub(crate) lower_bound_factor: f64,
    /// Attempts of the request, in order of sending.
    pub(crate) attempts: Vec<Attempt>,
    /// True if the request has its final answer.
    pub(crate) done: bool,
    /// True if the request is in the hold queue.
    pub(crate) held: bool,
    /// Index of the worker to whose lanes a held job is admitted.
    pub(crate) planned: Option<usize>,
}

impl Request {
    /// Returns whether one of these attempts may still be running at the worker with index `at`.
    pub(crate) fn may_run(attempts: &[Attempt], at: usize) -> bool {
        let may_run =
            |attempt: &Attempt| matches!(attempt.state, AttemptState::InFlight | AttemptState::MayRun);
        attempts.iter().any(|attempt| attempt.worker == at && may_run(attempt))
    }

    /// Returns whether an attempt of the request may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// Records that an attempt that may still have been running is over.
    pub(crate) fn mark_ended(&mut self, attempt: u32) {
        let ended =
            self.attempts.get_mut(attempt as usize).filter(|attempt| attempt.state == AttemptState::MayRun);
        ended.into_iter().for_each(|attempt| attempt.state = AttemptState::MayHaveRan);
    }

    /// Returns whether an attempt of the request is outstanding.
    pub(crate) fn has_outstanding(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }
}

/// The hold queue, sorted by several keys.
#[derive(Default)]
pub(crate) struct HoldQueue {
    /// Held jobs by queue key, earliest first.
    pub(crate) held: BTreeSet<(Micros, RequestId)>,
    /// Held jobs by the time at which their clients leave.
    pub(crate) expiries: BTreeSet<(Micros, RequestId)>,
    /// Jobs that were sent and not reported as started, by the time at which the report is due.
    pub(crate) unstarted: BTreeSet<(Micros, RequestId)>,
    /// Time of the next timer for the queue, if one is set.
    pub(crate) wake: Option<Micros>,
}

/// State of the subscription to the worker list, and of the lease on the list.
#[derive(Default)]
pub(crate) struct ListState {
    /// True if a subscription is open or requested.
    pub(crate) subscribed: bool,
    /// True if a call failed or the watch broke, and no list has been received since.
    pub(crate) lost: bool,
    /// End of the lease on the list; `None` if no change can have been missed.
    pub(crate) lease_end: Option<Micros>,
}

impl ListState {
    /// Returns whether the lease has ended. Nothing new may be sent then, since any worker may be draining or gone.
    pub(crate) fn stale(&self, now: Micros) -> bool {
        self.lease_end.is_some_and(|lease_end| now >= lease_end)
    }
}

/// A range of job sizes, and the workers for it.
pub(crate) struct SizeRange {
    /// Largest size in the range, as run time on a standard core in microseconds times the slots.
    pub(crate) upper: f64,
    /// Indices of the workers in the own share of this range: those of this dispatcher's cohort or, without peer
    /// messages, those of its zone.
    pub(crate) own_share: Vec<usize>,
    /// Indices of the workers outside the own share that are in this dispatcher's zone.
    pub(crate) same_zone: Vec<usize>,
    /// Indices of the workers outside the own share that are in other zones.
    pub(crate) other_zones: Vec<usize>,
}

/// Map from job sizes to ranges of workers.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SizeMap {
    /// Ranges by size, smallest first.
    #[serde(skip)]
    pub(crate) ranges: Vec<SizeRange>,
    /// Sample of recent job sizes, from which the bounds of the ranges are computed.
    pub(crate) sizes: SizeSample,
}

/// Token bucket for a tenant's quota. One token is one request within the tenant's share.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct TokenBucket {
    /// Saved tokens.
    pub(crate) tokens: f64,
    /// Time up to which tokens have been added.
    #[serde(rename = "at")]
    pub(crate) refilled_at: Micros,
    /// Tokens requested since the process started.
    #[serde(skip)]
    pub(crate) requested: u64,
    /// Tokens granted since the process started.
    #[serde(skip)]
    pub(crate) granted: u64,
}

impl TokenBucket {
    /// Returns the initial bucket, with 3 tokens.
    pub(crate) fn new(now: Micros) -> Self {
        TokenBucket { tokens: 3.0, refilled_at: now, requested: 0, granted: 0 }
    }

    /// Returns the capacity at a rate in tokens per second: five seconds' worth, and at least 3 tokens.
    fn capacity(rate: f64) -> f64 {
        (rate * 5.0).max(3.0)
    }

    /// Changes the rate: adds tokens at the old rate up to now, then cuts the saved tokens to the capacity at the new
    /// rate. Rates are in tokens per second.
    pub(crate) fn set_rate(&mut self, now: Micros, old: f64, new: f64) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        self.tokens =
            (self.tokens + elapsed * old.max(0.0)).min(Self::capacity(old)).min(Self::capacity(new));
    }

    /// Takes a token if there is one, and returns whether there was. `rate` is in tokens per second.
    pub(crate) fn take(&mut self, now: Micros, rate: f64) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * rate).min(Self::capacity(rate));
        let granted = self.tokens >= 1.0;
        self.tokens -= if granted { 1.0 } else { 0.0 };
        self.requested += 1;
        self.granted += u64::from(granted);
        granted
    }
}
