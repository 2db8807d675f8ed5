//! What the decision module keeps in mind: plain records without behaviour, and its hashing.

use crate::api::*;
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

/// Hashes alike in every process; maps are only looked up, never walked, so no outcome hangs on their order.
pub(crate) type Table<K, V> = HashMap<K, V, BuildHasherDefault<IdHasher>>;

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

/// Mixes two numbers into one that looks drawn at random (the finish of SplitMix64).
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut x = (a.rotate_left(32) ^ b).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// An attempt of this dispatcher that occupies lanes of a worker.
pub(crate) struct Own {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) slots: usize,
    pub(crate) sent: Micros,
    pub(crate) end: Micros,
    /// When it is known, or taken, to have started.
    pub(crate) start: Micros,
    /// Sent to a lane that was held to be free, or known to have started: its time tells of its size.
    pub(crate) clean: bool,
    /// The worker will tell when it starts, and has not yet.
    pub(crate) awaits_start: bool,
    pub(crate) progress: Option<(Micros, f64)>,
}

/// What a peer has on a worker, as it told.
pub(crate) struct PeerLoad {
    pub(crate) from: u32,
    pub(crate) lanes: usize,
    pub(crate) soonest: Micros,
    pub(crate) latest: Micros,
}

#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) zone: ZoneIx,
    pub(crate) kind: usize,
    pub(crate) cell: u32,
    pub(crate) standing: Standing,
    pub(crate) weight: f64,
    pub(crate) started: Option<Micros>,
    pub(crate) cold_sent: VecDeque<(Micros, f64)>,
    pub(crate) own: Vec<Own>,
    /// Held jobs admitted to its lanes.
    pub(crate) planned: Vec<(Micros, RequestId)>,
    pub(crate) peers: Vec<PeerLoad>,
    pub(crate) lanes: Option<f64>,
    /// Lanes in use by others when last reported, and when that was.
    pub(crate) foreign: Option<(Micros, f64)>,
    pub(crate) ln_speed: f64,
    pub(crate) strikes: u32,
    pub(crate) suspect_until: Micros,
    pub(crate) probed: Micros,
    /// Its load is known from a report, or from being full, at this time.
    pub(crate) known: Micros,
    pub(crate) cohort: usize,
    /// This dispatcher is in the worker's cohort.
    pub(crate) home: bool,
}

#[derive(Default)]
pub(crate) struct Kind {
    pub(crate) ln_speed: f64,
    pub(crate) seen: f64,
    pub(crate) lanes: Option<f64>,
}

#[derive(Default)]
pub(crate) struct ClassModel {
    pub(crate) ln_ratio: f64,
    /// Mean error of the hint, in logarithms.
    pub(crate) spread: f64,
    pub(crate) seen: f64,
    pub(crate) mean_size: f64,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum State {
    Out,
    NeverRan,
    MayHaveRan,
}

pub(crate) struct Attempt {
    pub(crate) worker: usize,
    pub(crate) sent: Micros,
    pub(crate) state: State,
}

pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) slots: usize,
    pub(crate) hint: Option<f64>,
    /// Estimated time on a standard core.
    pub(crate) size: f64,
    pub(crate) expires: Micros,
    /// The aim while it can be met, the client's patience after that.
    pub(crate) deadline: Micros,
    /// What the hold queue is sorted by: the deadline; work beyond its tenant's share comes after what is in
    /// time by the client's patience.
    pub(crate) order: Micros,
    pub(crate) late: bool,
    /// Beyond its tenant's share.
    pub(crate) yields: bool,
    /// What the size may well be instead, as a part of it: the slack of the deadline test is reckoned by that,
    /// since a job that is smaller than hinted has less of it.
    pub(crate) doubt: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) done: bool,
    pub(crate) held: bool,
    /// The worker on whose lanes a held job was admitted.
    pub(crate) planned: Option<usize>,
}

pub(crate) struct Range {
    pub(crate) upper: f64,
    pub(crate) home: Vec<usize>,
    pub(crate) near: Vec<usize>,
    pub(crate) far: Vec<usize>,
}

#[derive(Default)]
pub(crate) struct SizeMap {
    pub(crate) ranges: Vec<Range>,
    pub(crate) sizes: VecDeque<f64>,
    pub(crate) fresh: usize,
}

pub(crate) struct Bucket {
    pub(crate) tokens: f64,
    pub(crate) at: Micros,
}
