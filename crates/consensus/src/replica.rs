//! What the log's entries make of the document: the same at every voter, whatever its program's version, for nothing
//! here asks a check. An entry counts only on the very version that its proposer checked it against.

use crate::change::{Change, Delta, Version};
use crate::digest::Digest;
use crate::document::Document;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Names a proposal over all voters and restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalId {
    /// The voter that proposes.
    pub voter: u64,
    /// Which of its starts.
    pub start: u64,
    /// Which of its proposals since that start.
    pub number: u64,
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub(crate) id: ProposalId,
    /// The version that the proposer checked the change against.
    pub(crate) base: u64,
    pub(crate) change: Change,
}

/// The version that the log led to, and which proposal of each voter was the last to count.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    pub(crate) version: Version,
    pub(crate) last: BTreeMap<u64, (ProposalId, Mark)>,
}

/// Number and digest of a version, without its document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    pub(crate) seq: u64,
    pub(crate) digest: Digest,
}

impl Replica {
    /// Takes in a decided entry. `None`: it is void, for another change was decided since it was checked (or it is
    /// a copy of one that has counted).
    pub(crate) fn take(&mut self, entry: &Entry) -> Option<Delta> {
        if entry.base != self.version.seq {
            return None;
        }
        let next = Version::new(self.version.seq + 1, entry.change.on(&self.version.document));
        let delta = Delta {
            seq: next.seq,
            from_digest: self.version.digest,
            digest: next.digest,
            change: entry.change.clone(),
        };
        self.last.insert(entry.id.voter, (entry.id, Mark { seq: next.seq, digest: next.digest }));
        self.version = next;
        Some(delta)
    }

    /// Takes in many entries whose deltas nobody wants: digests are worked out only where one is kept.
    pub(crate) fn take_all(&mut self, entries: &[Entry]) {
        let mut seq = self.version.seq;
        let mut last = BTreeMap::new();
        for (i, entry) in entries.iter().enumerate() {
            if entry.base == seq {
                seq += 1;
                last.insert(entry.id.voter, i);
            }
        }
        let mut document = Document::clone(&self.version.document);
        let mut seq = self.version.seq;
        for (i, entry) in entries.iter().enumerate() {
            if entry.base != seq {
                continue;
            }
            entry.change.apply(&mut document);
            seq += 1;
            if last.get(&entry.id.voter) == Some(&i) {
                self.last.insert(entry.id.voter, (entry.id, Mark { seq, digest: Digest::of(&document) }));
            }
        }
        if seq != self.version.seq {
            self.version = Version::new(seq, document);
        }
    }

    /// The version that a proposal made, when it was the last of its voter to count.
    pub(crate) fn made_by(&self, id: ProposalId) -> Option<Mark> {
        self.last.get(&id.voter).filter(|(last, _)| *last == id).map(|(_, version)| *version)
    }
}

impl omnipaxos::storage::Entry for Entry {
    type Snapshot = Snapshot;
}

/// A snapshot of the log: the whole, or the entries since another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Snapshot {
    /// What all entries so far led to.
    Whole(Replica),
    /// Entries that follow another snapshot.
    Since(Vec<Entry>),
}

impl Snapshot {
    /// What it leads to from the beginning of the log.
    pub(crate) fn fold(self) -> Replica {
        match self {
            Snapshot::Whole(replica) => replica,
            Snapshot::Since(entries) => {
                let mut replica = Replica::default();
                replica.take_all(&entries);
                replica
            }
        }
    }
}

impl omnipaxos::storage::Snapshot<Entry> for Snapshot {
    fn create(entries: &[Entry]) -> Snapshot {
        Snapshot::Since(entries.to_vec())
    }

    fn merge(&mut self, delta: Snapshot) {
        match (&mut *self, delta) {
            (Snapshot::Whole(replica), Snapshot::Since(entries)) => {
                replica.take_all(&entries);
            }
            (Snapshot::Since(first), Snapshot::Since(then)) => first.extend(then),
            (_, whole @ Snapshot::Whole(_)) => *self = whole,
        }
    }

    fn use_snapshots() -> bool {
        true
    }
}
