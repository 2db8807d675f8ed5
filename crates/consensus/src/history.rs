//! The decided versions that a voter has applied, and the deltas that it keeps for learners.

use crate::change::{Delta, Version};
use crate::digest::Digest;
use crate::limits;
use crate::log_storage::LogState;
use crate::outcome::CatchUp;
use crate::replica::{Entry, Replica};
use std::collections::VecDeque;

/// The largest number of deltas that a voter restores at its start.
const MAX_DELTAS_AT_START: usize = 64;

/// The current version of a voter with the recent changes that led to it.
pub(crate) struct History {
    replica: Replica,
    /// The log index up to which entries have been applied to the replica.
    applied_index: usize,
    /// The recent deltas, oldest first, each with its size in bytes.
    deltas: VecDeque<(Delta, usize)>,
    /// The total size of `deltas` in bytes.
    delta_bytes: usize,
}

impl History {
    /// Restores the history from the stored log. Deltas are restored only for the last [`MAX_DELTAS_AT_START`]
    /// entries, since each one requires a digest of the complete document.
    pub(crate) fn from_log(state: &LogState) -> History {
        let decided = state.decided_index.min(state.end_index());
        let applied_index = decided.saturating_sub(MAX_DELTAS_AT_START).max(state.compacted_index);
        let mut replica = state.snapshot.clone();
        replica.apply_all(state.entries(state.compacted_index, applied_index));
        let mut history = History { replica, applied_index, deltas: VecDeque::new(), delta_bytes: 0 };
        history.advance(state, &[]);
        history
    }

    /// The document that the applied entries led to.
    pub(crate) fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The latest version.
    pub(crate) fn version(&self) -> &Version {
        &self.replica.version
    }

    /// Applies newly decided entries. `skipped_entries` are the entries that a received snapshot replaced, as far as
    /// they were in the message.
    pub(crate) fn advance(&mut self, state: &LogState, skipped_entries: &[Entry]) {
        if self.applied_index < state.compacted_index {
            // A snapshot replaced these entries. The sequence of deltas stays contiguous only if the skipped entries
            // are known.
            for entry in skipped_entries {
                self.apply_entry(entry);
            }
            if self.replica.version != state.snapshot.version {
                self.deltas.clear();
                self.delta_bytes = 0;
            }
            self.replica = state.snapshot.clone();
            self.applied_index = state.compacted_index;
        }
        let decided = state.decided_index.min(state.end_index());
        for entry in state.entries(self.applied_index, decided) {
            self.apply_entry(entry);
        }
        self.applied_index = self.applied_index.max(decided);
    }

    /// Applies an entry, and keeps its delta within the limits on deltas.
    fn apply_entry(&mut self, entry: &Entry) {
        let Some(delta) = self.replica.apply(entry) else { return };
        let bytes = delta.change.size_bytes();
        self.delta_bytes += bytes;
        self.deltas.push_back((delta, bytes));
        while self.deltas.len() > limits::MAX_DELTAS || self.delta_bytes > limits::MAX_DELTA_BYTES {
            let Some((_, bytes)) = self.deltas.pop_front() else { break };
            self.delta_bytes -= bytes;
        }
    }

    /// Returns the changes that a learner with version `seq` lacks. They are returned as deltas only if the deltas are
    /// not larger than the full document.
    pub(crate) fn changes_since(&self, seq: u64, digest: Digest) -> CatchUp {
        let version = self.version();
        if seq > version.seq {
            return CatchUp::Ahead;
        }
        if (seq, digest) == (version.seq, version.digest) {
            return CatchUp::UpToDate;
        }
        let missing_changes = usize::try_from(version.seq - seq).unwrap_or(usize::MAX);
        let full_size = crate::document::document_size(&version.document);
        let first = self.deltas.len().checked_sub(missing_changes);
        let deltas = first.map(|first| self.deltas.range(first..));
        match deltas {
            Some(deltas)
                if deltas.clone().next().is_some_and(|(delta, _)| delta.from_digest == digest)
                    && deltas.clone().map(|(_, bytes)| bytes).sum::<usize>() <= full_size =>
            {
                CatchUp::Deltas(deltas.map(|(delta, _)| delta.clone()).collect())
            }
            _ => CatchUp::FullVersion(version.clone()),
        }
    }
}
