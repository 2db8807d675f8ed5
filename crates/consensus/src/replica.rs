//! The document as the result of the log's entries. It is the same at every voter, whatever the version of its
//! program, since applying an entry does not call the program's [`Check`](crate::Check). An entry takes effect only
//! on the version against which its proposer checked it.

use crate::change::{Change, Delta, Version};
use crate::digest::Digest;
use crate::document::Document;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Identifies a proposal across all voters and their restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalId {
    /// The number of the proposing voter.
    pub voter: u64,
    /// The start number of that voter.
    pub start: u64,
    /// The number of the proposal since that start.
    pub number: u64,
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub(crate) id: ProposalId,
    /// The number of the version against which the proposer checked the change.
    pub(crate) base: u64,
    pub(crate) change: Change,
}

/// The version that results from the log, with the last proposal of each voter that took effect.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    pub(crate) version: Version,
    #[serde(rename = "last")]
    pub(crate) last_applied: BTreeMap<u64, (ProposalId, VersionMark)>,
}

/// The number and the digest of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionMark {
    pub(crate) seq: u64,
    pub(crate) digest: Digest,
}

impl Replica {
    /// Applies a decided entry. Returns `None` if the entry is void because another change was decided after the
    /// proposer's check, or because it is a copy of an entry that has taken effect.
    pub(crate) fn apply(&mut self, entry: &Entry) -> Option<Delta> {
        if entry.base != self.version.seq {
            return None;
        }
        let next = Version::new(self.version.seq + 1, entry.change.applied_to(&self.version.document));
        let delta = Delta {
            seq: next.seq,
            from_digest: self.version.digest,
            digest: next.digest,
            change: entry.change.clone(),
        };
        self.last_applied
            .insert(entry.id.voter, (entry.id, VersionMark { seq: next.seq, digest: next.digest }));
        self.version = next;
        Some(delta)
    }

    /// Applies entries without producing deltas. Digests are computed only for the entries that are recorded as the
    /// last of their voter, and for the final version.
    pub(crate) fn apply_all(&mut self, entries: &[Entry]) {
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
                self.last_applied
                    .insert(entry.id.voter, (entry.id, VersionMark { seq, digest: Digest::of(&document) }));
            }
        }
        if seq != self.version.seq {
            self.version = Version::new(seq, document);
        }
    }

    /// The version that a proposal led to, if it was the last one of its voter that took effect.
    pub(crate) fn version_made_by(&self, id: ProposalId) -> Option<VersionMark> {
        self.last_applied.get(&id.voter).filter(|(last, _)| *last == id).map(|(_, version)| *version)
    }
}

impl omnipaxos::storage::Entry for Entry {
    type Snapshot = Snapshot;
}

/// A snapshot of the log: the complete state, or the entries since another snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Snapshot {
    /// The state that all entries so far led to.
    #[serde(rename = "Whole")]
    Full(Replica),
    /// Entries that follow another snapshot.
    #[serde(rename = "Since")]
    Entries(Vec<Entry>),
}

impl Snapshot {
    /// Returns the state that the snapshot leads to, starting at the beginning of the log.
    pub(crate) fn into_replica(self) -> Replica {
        match self {
            Snapshot::Full(replica) => replica,
            Snapshot::Entries(entries) => {
                let mut replica = Replica::default();
                replica.apply_all(&entries);
                replica
            }
        }
    }
}

impl omnipaxos::storage::Snapshot<Entry> for Snapshot {
    fn create(entries: &[Entry]) -> Snapshot {
        Snapshot::Entries(entries.to_vec())
    }

    fn merge(&mut self, delta: Snapshot) {
        match (&mut *self, delta) {
            (Snapshot::Full(replica), Snapshot::Entries(entries)) => {
                replica.apply_all(&entries);
            }
            (Snapshot::Entries(first), Snapshot::Entries(later)) => first.extend(later),
            (_, full @ Snapshot::Full(_)) => *self = full,
        }
    }

    fn use_snapshots() -> bool {
        true
    }
}
