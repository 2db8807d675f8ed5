//! The parts under test behind two narrow traits, and the same parts with one defect each.

use calicolb_consensus::store::{MemoryDisk, MemoryStore, Store, StoreError};
use calicolb_consensus::{
    CatchUp, Change, Check, Delta, Digest, Document, Learner, Outcome, ProposeError, Rules, Ticket,
    TighteningDirection, UpdateOutcome, ValidationError, Version, VersionId, VersionInForce, VersionMessage,
    Voter,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// One thing that is wrong with all control machines or all learners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Nothing.
    None,
    /// A voter says that a change is agreed as soon as it was proposed.
    AcknowledgesEarly,
    /// A voter shows and tells its own proposals as if they were decided.
    ShowsUndecided,
    /// A store is empty after a restart.
    StoreForgets,
    /// A store says that a batch is durable before it is.
    StoreNeverSyncs,
    /// A voter always says that it has a majority.
    AlwaysMajority,
    /// A voter misses nine of ten ticks, once it had a majority.
    SlowTicks,
    /// A voter that wakes after a pause isn't told of it.
    PauseUnnoticed,
    /// A learner takes any delta for the next one.
    AnyDelta,
    /// A learner takes a change key by key, and may be seen in between.
    KeyByKey,
    /// A learner takes up again an old version of which it hears.
    GoesBack,
    /// A learner never asks.
    NeverAsks,
}

pub const IDS: [u64; 5] = [1, 2, 3, 4, 5];

/// What both sides hold for usable: nothing is 13, and `q0` and `q1` are together at most 20.
pub struct Usable;

impl Check for Usable {
    fn check(&self, whole: &Document) -> Result<(), ValidationError> {
        let of = |key: &str| whole.get(key).and_then(serde_json::Value::as_i64).unwrap_or(0);
        if let Some((key, _)) = whole.iter().find(|(_, value)| **value == 13) {
            return Err(ValidationError { key: key.clone(), reason: "13".into() });
        }
        let sum = of("q0") + of("q1");
        if sum > 20 {
            Err(ValidationError { key: "q0".into(), reason: format!("{sum} with q1") })
        } else {
            Ok(())
        }
    }
}

impl Rules for Usable {
    fn tightening_direction(&self, key: &str) -> TighteningDirection {
        if key.starts_with('q') { TighteningDirection::Less } else { TighteningDirection::Unknown }
    }
}

/// A control machine, as its host sees it.
pub trait Control {
    fn tick(&mut self);
    fn skip_ticks(&mut self, ticks: u64);
    fn receive(&mut self, from: u64, bytes: &[u8]);
    fn take_outgoing(&mut self) -> Vec<(u64, Vec<u8>)>;
    fn propose(&mut self, change: Change) -> Result<Ticket, ProposeError>;
    fn take_outcomes(&mut self) -> Vec<(Ticket, Outcome)>;
    fn decided_version(&self) -> Version;
    fn has_majority(&self) -> bool;
    fn leads(&self) -> bool;
    fn changes_since(&self, seq: u64, digest: Digest) -> CatchUp;
}

/// A learner, as its host sees it.
pub trait Hearing {
    fn receive(&mut self, now: u64, message: VersionMessage) -> UpdateOutcome;
    fn in_force(&self, now: u64) -> Arc<VersionInForce>;
    fn is_behind(&self, now: u64) -> bool;
    fn next_request(&mut self, now: u64) -> Option<VersionId>;
    fn held_version(&self) -> VersionId;
}

/// A store that may say it has synced when it hasn't.
pub struct SimStore {
    store: MemoryStore,
    disk: MemoryDisk,
    lazy: Option<(usize, Vec<u8>)>,
}

impl Store for SimStore {
    fn load(&mut self) -> Result<Vec<Vec<u8>>, StoreError> {
        self.store.load()
    }
    fn append(&mut self, batch: &[u8]) -> Result<(), StoreError> {
        self.store.append(batch)
    }
    fn replace(&mut self, batch: &[u8]) -> Result<(), StoreError> {
        self.store.replace(batch)
    }
    fn bytes(&self) -> u64 {
        self.store.bytes()
    }
}

impl Drop for SimStore {
    fn drop(&mut self) {
        // What was never synced goes with the process: the disk is as it was when it started, some bytes added.
        if let Some((kept, before)) = self.lazy.take() {
            let bytes = self.disk.bytes();
            self.disk.set_bytes(bytes[..bytes.len().min(before.len() + kept)].to_vec());
        }
    }
}

pub struct Part {
    voter: Voter<SimStore>,
    defect: Defect,
    ticks: u64,
    had_majority: bool,
    early: VecDeque<(Ticket, Outcome)>,
    shown: Option<Version>,
}

impl Part {
    pub fn start(id: u64, disk: &MemoryDisk, seed: u64, defect: Defect) -> Box<dyn Control> {
        if defect == Defect::StoreForgets {
            disk.set_bytes(Vec::new());
        }
        let lazy = (defect == Defect::StoreNeverSyncs).then(|| (40, disk.bytes()));
        let store = SimStore { store: disk.open().unwrap(), disk: disk.clone(), lazy };
        let voter = Voter::new(id, &IDS, store, seed).unwrap();
        Box::new(Part { voter, defect, ticks: 0, had_majority: false, early: VecDeque::new(), shown: None })
    }
}

impl Control for Part {
    fn tick(&mut self) {
        self.ticks += 1;
        self.had_majority |= self.voter.has_majority();
        let slow = self.defect == Defect::SlowTicks && self.had_majority;
        if !slow || self.ticks.is_multiple_of(10) {
            self.voter.tick();
        }
    }
    fn skip_ticks(&mut self, ticks: u64) {
        if self.defect != Defect::PauseUnnoticed {
            self.voter.skip_ticks(ticks);
        }
    }
    fn receive(&mut self, from: u64, bytes: &[u8]) {
        self.voter.receive(from, bytes);
    }
    fn take_outgoing(&mut self) -> Vec<(u64, Vec<u8>)> {
        self.voter.take_outgoing()
    }
    fn propose(&mut self, change: Change) -> Result<Ticket, ProposeError> {
        let ticket = self.voter.propose(change.clone(), &Usable)?;
        let now = self.decided_version();
        let next = Version::new(now.seq + 1, change.applied_to(&now.document));
        if self.defect == Defect::AcknowledgesEarly {
            self.early.push_back((ticket, Outcome::Decided { seq: next.seq, digest: next.digest }));
        }
        if self.defect == Defect::ShowsUndecided {
            self.shown = Some(next);
        }
        Ok(ticket)
    }
    fn take_outcomes(&mut self) -> Vec<(Ticket, Outcome)> {
        let told = self.voter.take_outcomes(&Usable);
        if self.defect == Defect::AcknowledgesEarly { self.early.drain(..).collect() } else { told }
    }
    fn decided_version(&self) -> Version {
        let agreed = self.voter.decided_version().clone();
        self.shown.clone().filter(|shown| shown.seq > agreed.seq).unwrap_or(agreed)
    }
    fn has_majority(&self) -> bool {
        self.defect == Defect::AlwaysMajority || self.voter.has_majority()
    }
    fn leads(&self) -> bool {
        self.voter.leader() == Some(self.voter.id())
    }
    fn changes_since(&self, seq: u64, digest: Digest) -> CatchUp {
        match &self.shown {
            Some(shown) if shown.seq > seq && shown.seq > self.voter.decided_version().seq => {
                CatchUp::FullVersion(shown.clone())
            }
            _ => self.voter.changes_since(seq, digest),
        }
    }
}

/// A learner with a defect that replaces what it makes of a message.
pub struct Ear {
    learner: Learner,
    defect: Defect,
    loose: Version,
    silence_us: u64,
    half: Option<Delta>,
    had: BTreeMap<u64, Version>,
}

impl Ear {
    pub fn listen(silence_us: u64, defect: Defect) -> Box<dyn Hearing> {
        let learner = Learner::new(silence_us, Box::new(Usable));
        Box::new(Ear {
            learner,
            defect,
            loose: Version::default(),
            silence_us,
            half: None,
            had: BTreeMap::new(),
        })
    }

    fn is_loose(&self) -> bool {
        matches!(self.defect, Defect::AnyDelta | Defect::KeyByKey | Defect::GoesBack)
    }

    /// Begins again with what the defect makes of things.
    fn force(&mut self, now: u64, version: Version) -> UpdateOutcome {
        self.loose = version.clone();
        self.learner = Learner::with_version(self.silence_us, Box::new(Usable), version);
        let here = VersionMessage::Current { seq: self.loose.seq, majority: true };
        self.learner.receive(now, here);
        UpdateOutcome::InForce
    }
}

impl Hearing for Ear {
    fn receive(&mut self, now: u64, message: VersionMessage) -> UpdateOutcome {
        match (self.defect, message) {
            (Defect::AnyDelta, VersionMessage::Delta { delta, .. }) if delta.seq > self.loose.seq => {
                let version = Version::new(delta.seq, delta.change.applied_to(&self.loose.document));
                self.force(now, version)
            }
            (Defect::KeyByKey, VersionMessage::Delta { delta, .. })
                if delta.from_digest == self.loose.digest =>
            {
                // The first key now, the others with the next message, whatever it is.
                let mut first = delta.change.clone();
                first.set = first.set.into_iter().take(1).collect();
                first.unset.clear();
                let document = Arc::new(first.applied_to(&self.loose.document));
                let version = Version { seq: delta.seq, digest: delta.digest, document };
                self.half = Some(delta);
                self.force(now, version)
            }
            (Defect::KeyByKey, message) => {
                if let Some(delta) = self.half.take() {
                    let version = Version::new(delta.seq, delta.change.applied_to(&self.loose.document));
                    self.force(now, version);
                }
                self.learner.receive(now, message)
            }
            (Defect::GoesBack, VersionMessage::Delta { delta, .. }) if self.had.contains_key(&delta.seq) => {
                let version = self.had[&delta.seq].clone();
                self.force(now, version)
            }
            (_, message) => {
                let taken = self.learner.receive(now, message);
                if self.is_loose() {
                    let in_force = self.learner.in_force(now);
                    let (seq, digest) = (in_force.seq, in_force.digest);
                    self.loose = Version { seq, digest, document: in_force.document.clone() };
                    if in_force.tightened_to.is_none() {
                        self.had.insert(seq, self.loose.clone());
                    }
                }
                taken
            }
        }
    }
    fn in_force(&self, now: u64) -> Arc<VersionInForce> {
        self.learner.in_force(now)
    }
    fn is_behind(&self, now: u64) -> bool {
        self.learner.is_behind(now)
    }
    fn next_request(&mut self, now: u64) -> Option<VersionId> {
        if self.defect == Defect::NeverAsks { None } else { self.learner.next_request(now) }
    }
    fn held_version(&self) -> VersionId {
        self.learner.held_version()
    }
}
