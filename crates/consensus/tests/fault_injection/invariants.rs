//! The invariants of the agreement. They are checked at every step of a simulation, with access to all control
//! machines and learners.

use super::subjects::{ControlMachine, TestRules};
use calicolb_consensus::{
    CatchUp, Digest, Document, Outcome, Rules, Ticket, TighteningDirection, Version, VersionInForce,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// An invariant that was violated, and how.
#[derive(Debug, Clone)]
pub struct Violation {
    pub invariant: &'static str,
    pub details: String,
}

pub const NO_VERSION_LOST: &str = "a decided version is never lost";
pub const ONLY_DECIDED_IN_FORCE: &str = "only decided versions come into force";
pub const NO_PARTIAL_VERSION: &str = "versions are never applied partially";
pub const NO_REGRESSION: &str = "versions never decrease";
pub const WIDENING_WAITS: &str = "a change that does not tighten waits for a majority";
pub const CONVERGENCE: &str = "all machines and learners converge";
pub const MINORITY_DECIDES_NOTHING: &str = "a minority decides nothing and reports that it has no majority";
pub const FAILOVER_IN_TIME: &str = "a change is in force in time after the leader failed";

/// The number of a control machine, the number of its start, and the ticket of a proposal.
pub type ProposalKey = (u64, u64, Ticket);

/// The number and the digest of a version.
type VersionKey = (u64, Digest);

/// The observed state of all control machines and learners.
pub struct InvariantChecker {
    /// All decided versions by their number.
    decided_versions: BTreeMap<u64, (Digest, Arc<Document>)>,
    /// The last version seen at each voter.
    voter_versions: BTreeMap<u64, VersionKey>,
    /// The last version in force seen at each learner.
    learners: Vec<VersionInForce>,
    /// All versions that were in force, each with the first learner that had it.
    versions_in_force: BTreeMap<VersionKey, usize>,
    /// All proposals with their outcomes, `None` while there is none.
    outcomes: BTreeMap<ProposalKey, Option<Outcome>>,
    pub decided: u64,
    pub invalidated: u64,
    pub unknown: u64,
    pub tightened: u64,
}

fn violation(invariant: &'static str, details: String) -> Result<(), Violation> {
    Err(Violation { invariant, details })
}

impl InvariantChecker {
    pub fn new(learners: usize) -> InvariantChecker {
        let empty = Version::default();
        let none = VersionInForce {
            seq: 0,
            digest: empty.digest,
            document: empty.document.clone(),
            tightened_to: None,
        };
        InvariantChecker {
            decided_versions: BTreeMap::from([(0, (empty.digest, empty.document))]),
            voter_versions: BTreeMap::new(),
            learners: vec![none; learners],
            versions_in_force: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            decided: 0,
            invalidated: 0,
            unknown: 0,
            tightened: 0,
        }
    }

    /// Records a version seen at a voter, which must be the same as at all other voters.
    fn record_version(&mut self, voter: u64, version: &Version) -> Result<(), Violation> {
        if !version.digest_matches() {
            return violation(
                NO_PARTIAL_VERSION,
                format!("voter {voter}: version {} does not match its digest", version.seq),
            );
        }
        let entry = (version.digest, version.document.clone());
        let known = self.decided_versions.entry(version.seq).or_insert(entry);
        if known.0 == version.digest {
            Ok(())
        } else {
            violation(
                NO_VERSION_LOST,
                format!("voter {voter} has a different version {} than was decided before", version.seq),
            )
        }
    }

    /// Checks a control machine. Called after each message and each tick that it has processed.
    pub fn check_voter(&mut self, id: u64, voter: &dyn ControlMachine) -> Result<(), Violation> {
        let version = voter.decided_version();
        let (seq, digest) = self.voter_versions.get(&id).copied().unwrap_or((0, self.decided_versions[&0].0));
        if (version.seq, version.digest) == (seq, digest) {
            return Ok(());
        }
        if version.seq <= seq {
            return violation(
                NO_REGRESSION,
                format!("voter {id} went from version {seq} to {}", version.seq),
            );
        }
        if let CatchUp::Deltas(deltas) = voter.changes_since(seq, digest) {
            let document = self.decided_versions[&seq].1.clone();
            let mut current = Version { seq, digest, document };
            for delta in deltas {
                current = current.with_delta(&delta).map_err(|error| Violation {
                    invariant: NO_PARTIAL_VERSION,
                    details: error.to_string(),
                })?;
                self.record_version(id, &current)?;
            }
        }
        self.voter_versions.insert(id, (version.seq, version.digest));
        self.record_version(id, &version)
    }

    /// Checks a learner. Called after each message that it has processed.
    pub fn check_learner(&mut self, learner: usize, current: &VersionInForce) -> Result<(), Violation> {
        let previous = self.learners[learner].clone();
        if *current == previous {
            return Ok(());
        }
        if current.seq < previous.seq
            || current.tightened_to.unwrap_or(current.seq) < previous.tightened_to.unwrap_or(previous.seq)
        {
            return violation(
                NO_REGRESSION,
                format!("learner {learner} went from version {} to {}", previous.seq, current.seq),
            );
        }
        self.versions_in_force.entry((current.seq, current.digest)).or_insert(learner);
        match current.tightened_to {
            None => {
                if Digest::of(&current.document) != current.digest {
                    return violation(
                        NO_PARTIAL_VERSION,
                        format!("learner {learner} has only a part of version {} in force", current.seq),
                    );
                }
            }
            Some(tightened_to) => {
                self.tightened += 1;
                self.check_tightened(learner, current, tightened_to)?;
            }
        }
        self.learners[learner] = current.clone();
        Ok(())
    }

    /// Checks a partly tightened version: each changed value must be decided in a version in between, and must be
    /// tighter than before.
    fn check_tightened(
        &self,
        learner: usize,
        current: &VersionInForce,
        tightened_to: u64,
    ) -> Result<(), Violation> {
        let Some((_, base)) = self.decided_versions.get(&current.seq) else { return Ok(()) };
        if !base.keys().eq(current.document.keys()) {
            return violation(
                WIDENING_WAITS,
                format!("learner {learner} has other keys in force than version {}", current.seq),
            );
        }
        for (key, value) in current.document.iter().filter(|(key, value)| base[*key] != **value) {
            let decided = self
                .decided_versions
                .range(current.seq..=tightened_to)
                .any(|(_, (_, document))| document.get(key) == Some(value));
            let tighter = TestRules.tightening_direction(key) == TighteningDirection::Less
                && value.as_i64() < base[key].as_i64();
            if !decided || !tighter {
                return violation(
                    WIDENING_WAITS,
                    format!(
                        "learner {learner}: {key} is {value} instead of {} (a decided value: {decided})",
                        base[key]
                    ),
                );
            }
        }
        Ok(())
    }

    /// Records a proposal.
    pub fn record_proposal(&mut self, key: ProposalKey) {
        self.outcomes.entry(key).or_insert(None);
    }

    /// Records the outcome of a proposal. There must be only one.
    pub fn record_outcome(&mut self, key: ProposalKey, outcome: Outcome) -> Result<(), Violation> {
        match &outcome {
            Outcome::Decided { .. } => self.decided += 1,
            Outcome::Invalidated(_) => self.invalidated += 1,
            Outcome::Unknown { .. } => self.unknown += 1,
        }
        match self.outcomes.insert(key, Some(outcome)) {
            Some(None) | None => Ok(()),
            Some(previous) => {
                violation(NO_VERSION_LOST, format!("a proposal has two outcomes, the first one {previous:?}"))
            }
        }
    }

    pub fn outcome(&self, key: ProposalKey) -> Option<Outcome> {
        self.outcomes.get(&key).cloned().flatten()
    }

    /// Checks the final state: each version that was acknowledged or in force must be among the decided versions that
    /// all voters have.
    pub fn check_final_state(&self, last: u64) -> Result<(), Violation> {
        for outcome in self.outcomes.values() {
            if let Some(Outcome::Decided { seq, digest }) = outcome
                && (*seq > last || self.decided_versions.get(seq).is_none_or(|(known, _)| known != digest))
            {
                return violation(
                    NO_VERSION_LOST,
                    format!("version {seq} was acknowledged, but is not among the versions up to {last}"),
                );
            }
        }
        for ((seq, digest), learner) in &self.versions_in_force {
            if *seq > last || self.decided_versions.get(seq).is_none_or(|(known, _)| known != digest) {
                return violation(
                    ONLY_DECIDED_IN_FORCE,
                    format!("learner {learner} had version {seq} in force, which was never decided"),
                );
            }
        }
        Ok(())
    }
}
