//! The voters and learners under test, behind two traits, each with at most one deliberate defect.

use calicolb_consensus::store::{MemoryDisk, MemoryStore, Store, StoreError};
use calicolb_consensus::{
    CatchUp, Change, Check, Delta, Digest, Document, Learner, Outcome, ProposeError, Rules, Ticket,
    TighteningDirection, UpdateOutcome, ValidationError, Version, VersionId, VersionInForce, VersionMessage,
    Voter,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A defect of all control machines or of all learners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// No defect.
    None,
    /// A voter reports a change as decided as soon as it is proposed.
    AcknowledgesEarly,
    /// A voter shows and sends its own proposals as if they were decided.
    ShowsUndecided,
    /// A store is empty after a restart.
    StoreForgets,
    /// A store reports a batch as durable before it is.
    StoreNeverSyncs,
    /// A voter always reports a majority.
    AlwaysMajority,
    /// A voter misses nine of ten ticks after it first had a majority.
    MissesTicks,
    /// A voter is not told about the ticks that it missed in a pause.
    IgnoresPause,
    /// A learner applies any delta to the version it has.
    AcceptsAnyDelta,
    /// A learner applies a change key by key, with partial versions in force in between.
    AppliesKeyByKey,
    /// A learner returns to an old version when it receives it.
    Regresses,
    /// A learner never requests changes.
    NeverRequests,
}

pub const VOTER_IDS: [u64; 5] = [1, 2, 3, 4, 5];

/// The check of both control machines and learners: no value may be 13, and the sum of `q0` and `q1` may be at most
/// 20.
pub struct TestRules;

impl Check for TestRules {
    fn check(&self, document: &Document) -> Result<(), ValidationError> {
        let value_of = |key: &str| document.get(key).and_then(serde_json::Value::as_i64).unwrap_or(0);
        if let Some((key, _)) = document.iter().find(|(_, value)| **value == 13) {
            return Err(ValidationError { key: key.clone(), reason: "the value must not be 13".into() });
        }
        let sum = value_of("q0") + value_of("q1");
        if sum > 20 {
            Err(ValidationError {
                key: "q0".into(),
                reason: format!("the sum with q1 is {sum}, but the maximum is 20"),
            })
        } else {
            Ok(())
        }
    }
}

impl Rules for TestRules {
    fn tightening_direction(&self, key: &str) -> TighteningDirection {
        if key.starts_with('q') { TighteningDirection::Less } else { TighteningDirection::Unknown }
    }
}

/// The interface of a control machine to its host.
pub trait ControlMachine {
    fn tick(&mut self);
    fn skip_ticks(&mut self, ticks: u64);
    fn receive(&mut self, from: u64, bytes: &[u8]);
    fn take_outgoing(&mut self) -> Vec<(u64, Vec<u8>)>;
    fn propose(&mut self, change: Change) -> Result<Ticket, ProposeError>;
    fn take_outcomes(&mut self) -> Vec<(Ticket, Outcome)>;
    fn decided_version(&self) -> Version;
    fn has_majority(&self) -> bool;
    fn is_leader(&self) -> bool;
    fn changes_since(&self, seq: u64, digest: Digest) -> CatchUp;
}

/// The interface of a learner to its host.
pub trait ConfigLearner {
    fn receive(&mut self, now: u64, message: VersionMessage) -> UpdateOutcome;
    fn in_force(&self, now: u64) -> Arc<VersionInForce>;
    fn is_behind(&self, now: u64) -> bool;
    fn next_request(&mut self, now: u64) -> Option<VersionId>;
    fn held_version(&self) -> VersionId;
}

/// A store that may report batches as durable without syncing them.
pub struct SimStore {
    store: MemoryStore,
    disk: MemoryDisk,
    /// The content to restore when the store is closed, and the number of bytes that survive after it.
    rollback: Option<(usize, Vec<u8>)>,
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
        // Data that was never synced is lost with the process: the disk has its initial content, and a few of the
        // bytes after it.
        if let Some((kept_bytes, initial_bytes)) = self.rollback.take() {
            let bytes = self.disk.bytes();
            self.disk.set_bytes(bytes[..bytes.len().min(initial_bytes.len() + kept_bytes)].to_vec());
        }
    }
}

/// A voter that may have a defect.
pub struct TestVoter {
    voter: Voter<SimStore>,
    defect: Defect,
    ticks: u64,
    had_majority: bool,
    early_outcomes: VecDeque<(Ticket, Outcome)>,
    shown_version: Option<Version>,
}

impl TestVoter {
    pub fn start(id: u64, disk: &MemoryDisk, seed: u64, defect: Defect) -> Box<dyn ControlMachine> {
        if defect == Defect::StoreForgets {
            disk.set_bytes(Vec::new());
        }
        let rollback = (defect == Defect::StoreNeverSyncs).then(|| (40, disk.bytes()));
        let store = SimStore { store: disk.open().unwrap(), disk: disk.clone(), rollback };
        let voter = Voter::new(id, &VOTER_IDS, store, seed).unwrap();
        Box::new(TestVoter {
            voter,
            defect,
            ticks: 0,
            had_majority: false,
            early_outcomes: VecDeque::new(),
            shown_version: None,
        })
    }
}

impl ControlMachine for TestVoter {
    fn tick(&mut self) {
        self.ticks += 1;
        self.had_majority |= self.voter.has_majority();
        let misses_tick = self.defect == Defect::MissesTicks && self.had_majority;
        if !misses_tick || self.ticks.is_multiple_of(10) {
            self.voter.tick();
        }
    }
    fn skip_ticks(&mut self, ticks: u64) {
        if self.defect != Defect::IgnoresPause {
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
        let ticket = self.voter.propose(change.clone(), &TestRules)?;
        let now = self.decided_version();
        let next = Version::new(now.seq + 1, change.applied_to(&now.document));
        if self.defect == Defect::AcknowledgesEarly {
            self.early_outcomes.push_back((ticket, Outcome::Decided { seq: next.seq, digest: next.digest }));
        }
        if self.defect == Defect::ShowsUndecided {
            self.shown_version = Some(next);
        }
        Ok(ticket)
    }
    fn take_outcomes(&mut self) -> Vec<(Ticket, Outcome)> {
        let outcomes = self.voter.take_outcomes(&TestRules);
        if self.defect == Defect::AcknowledgesEarly {
            self.early_outcomes.drain(..).collect()
        } else {
            outcomes
        }
    }
    fn decided_version(&self) -> Version {
        let decided = self.voter.decided_version().clone();
        self.shown_version.clone().filter(|shown_version| shown_version.seq > decided.seq).unwrap_or(decided)
    }
    fn has_majority(&self) -> bool {
        self.defect == Defect::AlwaysMajority || self.voter.has_majority()
    }
    fn is_leader(&self) -> bool {
        self.voter.leader() == Some(self.voter.id())
    }
    fn changes_since(&self, seq: u64, digest: Digest) -> CatchUp {
        match &self.shown_version {
            Some(shown_version)
                if shown_version.seq > seq && shown_version.seq > self.voter.decided_version().seq =>
            {
                CatchUp::FullVersion(shown_version.clone())
            }
            _ => self.voter.changes_since(seq, digest),
        }
    }
}

/// A learner whose defect may replace the effect of a message.
pub struct TestLearner {
    learner: Learner,
    defect: Defect,
    simulated_version: Version,
    max_silence_us: u64,
    pending_delta: Option<Delta>,
    past_versions: BTreeMap<u64, Version>,
}

impl TestLearner {
    pub fn start(max_silence_us: u64, defect: Defect) -> Box<dyn ConfigLearner> {
        let learner = Learner::new(max_silence_us, Box::new(TestRules));
        Box::new(TestLearner {
            learner,
            defect,
            simulated_version: Version::default(),
            max_silence_us,
            pending_delta: None,
            past_versions: BTreeMap::new(),
        })
    }

    /// Returns whether the defect requires this type to track the version itself.
    fn simulates_version(&self) -> bool {
        matches!(self.defect, Defect::AcceptsAnyDelta | Defect::AppliesKeyByKey | Defect::Regresses)
    }

    /// Restarts the learner with the version that results from the defect.
    fn set_version(&mut self, now: u64, version: Version) -> UpdateOutcome {
        self.simulated_version = version.clone();
        self.learner = Learner::with_version(self.max_silence_us, Box::new(TestRules), version);
        let current = VersionMessage::Current { seq: self.simulated_version.seq, majority: true };
        self.learner.receive(now, current);
        UpdateOutcome::InForce
    }
}

impl ConfigLearner for TestLearner {
    fn receive(&mut self, now: u64, message: VersionMessage) -> UpdateOutcome {
        match (self.defect, message) {
            (Defect::AcceptsAnyDelta, VersionMessage::Delta { delta, .. })
                if delta.seq > self.simulated_version.seq =>
            {
                let version =
                    Version::new(delta.seq, delta.change.applied_to(&self.simulated_version.document));
                self.set_version(now, version)
            }
            (Defect::AppliesKeyByKey, VersionMessage::Delta { delta, .. })
                if delta.from_digest == self.simulated_version.digest =>
            {
                // Applies the first key now, and the others on the next message.
                let mut first = delta.change.clone();
                first.set = first.set.into_iter().take(1).collect();
                first.unset.clear();
                let document = Arc::new(first.applied_to(&self.simulated_version.document));
                let version = Version { seq: delta.seq, digest: delta.digest, document };
                self.pending_delta = Some(delta);
                self.set_version(now, version)
            }
            (Defect::AppliesKeyByKey, message) => {
                if let Some(delta) = self.pending_delta.take() {
                    let version =
                        Version::new(delta.seq, delta.change.applied_to(&self.simulated_version.document));
                    self.set_version(now, version);
                }
                self.learner.receive(now, message)
            }
            (Defect::Regresses, VersionMessage::Delta { delta, .. })
                if self.past_versions.contains_key(&delta.seq) =>
            {
                let version = self.past_versions[&delta.seq].clone();
                self.set_version(now, version)
            }
            (_, message) => {
                let outcome = self.learner.receive(now, message);
                if self.simulates_version() {
                    let in_force = self.learner.in_force(now);
                    let (seq, digest) = (in_force.seq, in_force.digest);
                    self.simulated_version = Version { seq, digest, document: in_force.document.clone() };
                    if in_force.tightened_to.is_none() {
                        self.past_versions.insert(seq, self.simulated_version.clone());
                    }
                }
                outcome
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
        if self.defect == Defect::NeverRequests { None } else { self.learner.next_request(now) }
    }
    fn held_version(&self) -> VersionId {
        self.learner.held_version()
    }
}
