//! What is claimed, checked at every step by somebody who sees all control machines and learners at once.

use super::parts::{Control, Usable};
use calicolb_consensus::{
    CatchUp, Digest, Document, Outcome, Rules, Ticket, TighteningDirection, Version, VersionInForce,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A claim that didn't hold, and how.
#[derive(Debug, Clone)]
pub struct Broken {
    pub claim: &'static str,
    pub how: String,
}

pub const LOST: &str = "no version is lost once agreed";
pub const UNAGREED: &str = "none is in force that was not agreed";
pub const HALF: &str = "no half version";
pub const BACK: &str = "nothing goes back";
pub const WIDE: &str = "what widens waits";
pub const LEVEL: &str = "all are level at the end";
pub const MINORITY: &str = "a minority decides nothing and says so";
pub const DEATH: &str = "in force in time after a leader's death";

/// Of a control machine, one of its starts, and a proposal.
pub type Key = (u64, u64, Ticket);

type Seen = (u64, Digest);

pub struct Ledger {
    chain: BTreeMap<u64, (Digest, Arc<Document>)>,
    voters: BTreeMap<u64, Seen>,
    learners: Vec<VersionInForce>,
    in_force: BTreeMap<Seen, usize>,
    outcomes: BTreeMap<Key, Option<Outcome>>,
    pub agreed: u64,
    pub void: u64,
    pub unknown: u64,
    pub tightened: u64,
}

fn broken(claim: &'static str, how: String) -> Result<(), Broken> {
    Err(Broken { claim, how })
}

impl Ledger {
    pub fn new(learners: usize) -> Ledger {
        let empty = Version::default();
        let none = VersionInForce {
            seq: 0,
            digest: empty.digest,
            document: empty.document.clone(),
            tightened_to: None,
        };
        Ledger {
            chain: BTreeMap::from([(0, (empty.digest, empty.document))]),
            voters: BTreeMap::new(),
            learners: vec![none; learners],
            in_force: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            agreed: 0,
            void: 0,
            unknown: 0,
            tightened: 0,
        }
    }

    fn link(&mut self, who: u64, version: &Version) -> Result<(), Broken> {
        if !version.digest_matches() {
            return broken(HALF, format!("voter {who}: version {} isn't what its digest says", version.seq));
        }
        let entry = (version.digest, version.document.clone());
        let known = self.chain.entry(version.seq).or_insert(entry);
        if known.0 == version.digest {
            Ok(())
        } else {
            broken(LOST, format!("voter {who} has another version {} than was agreed before", version.seq))
        }
    }

    /// Looks at a control machine, after each thing it did.
    pub fn see_voter(&mut self, id: u64, part: &dyn Control) -> Result<(), Broken> {
        let version = part.decided_version();
        let (seq, digest) = self.voters.get(&id).copied().unwrap_or((0, self.chain[&0].0));
        if (version.seq, version.digest) == (seq, digest) {
            return Ok(());
        }
        if version.seq <= seq {
            return broken(BACK, format!("voter {id} went from version {seq} to {}", version.seq));
        }
        if let CatchUp::Deltas(deltas) = part.changes_since(seq, digest) {
            let document = self.chain[&seq].1.clone();
            let mut at = Version { seq, digest, document };
            for delta in deltas {
                at = at.with_delta(&delta).map_err(|error| Broken { claim: HALF, how: error.to_string() })?;
                self.link(id, &at)?;
            }
        }
        self.voters.insert(id, (version.seq, version.digest));
        self.link(id, &version)
    }

    /// Looks at a learner, after each thing it heard.
    pub fn see_learner(&mut self, learner: usize, now: &VersionInForce) -> Result<(), Broken> {
        let before = self.learners[learner].clone();
        if *now == before {
            return Ok(());
        }
        if now.seq < before.seq
            || now.tightened_to.unwrap_or(now.seq) < before.tightened_to.unwrap_or(before.seq)
        {
            return broken(
                BACK,
                format!("learner {learner} went from version {} to {}", before.seq, now.seq),
            );
        }
        self.in_force.entry((now.seq, now.digest)).or_insert(learner);
        match now.tightened_to {
            None => {
                if Digest::of(&now.document) != now.digest {
                    return broken(HALF, format!("learner {learner}: half of version {}", now.seq));
                }
            }
            Some(to) => {
                self.tightened += 1;
                self.see_tightened(learner, now, to)?;
            }
        }
        self.learners[learner] = now.clone();
        Ok(())
    }

    /// Of a tightened version each value is one that was agreed in between, and none is wider than it was.
    fn see_tightened(&self, learner: usize, now: &VersionInForce, to: u64) -> Result<(), Broken> {
        let Some((_, base)) = self.chain.get(&now.seq) else { return Ok(()) };
        if !base.keys().eq(now.document.keys()) {
            return broken(WIDE, format!("learner {learner}: other keys than version {}", now.seq));
        }
        for (key, value) in now.document.iter().filter(|(key, value)| base[*key] != **value) {
            let agreed =
                self.chain.range(now.seq..=to).any(|(_, (_, document))| document.get(key) == Some(value));
            let tighter = Usable.tightening_direction(key) == TighteningDirection::Less
                && value.as_i64() < base[key].as_i64();
            if !agreed || !tighter {
                return broken(
                    WIDE,
                    format!("learner {learner}: {key} is {value}, was {} ({agreed})", base[key]),
                );
            }
        }
        Ok(())
    }

    pub fn proposed(&mut self, key: Key) {
        self.outcomes.entry(key).or_insert(None);
    }

    pub fn settle(&mut self, key: Key, outcome: Outcome) -> Result<(), Broken> {
        match &outcome {
            Outcome::Decided { .. } => self.agreed += 1,
            Outcome::Invalidated(_) => self.void += 1,
            Outcome::Unknown { .. } => self.unknown += 1,
        }
        match self.outcomes.insert(key, Some(outcome)) {
            Some(None) | None => Ok(()),
            Some(before) => broken(LOST, format!("a proposal was settled twice, first as {before:?}")),
        }
    }

    pub fn outcome(&self, key: Key) -> Option<Outcome> {
        self.outcomes.get(&key).cloned().flatten()
    }

    /// At the end: all that was acknowledged is in the chain that all voters have, and so is all that was in force.
    pub fn close(&self, last: u64) -> Result<(), Broken> {
        for outcome in self.outcomes.values() {
            if let Some(Outcome::Decided { seq, digest }) = outcome
                && (*seq > last || self.chain.get(seq).is_none_or(|(known, _)| known != digest))
            {
                return broken(
                    LOST,
                    format!("version {seq} was acknowledged, and isn't there ({last} is the last)"),
                );
            }
        }
        for ((seq, digest), learner) in &self.in_force {
            if *seq > last || self.chain.get(seq).is_none_or(|(known, _)| known != digest) {
                return broken(
                    UNAGREED,
                    format!("learner {learner} had version {seq} in force, never agreed"),
                );
            }
        }
        Ok(())
    }
}
