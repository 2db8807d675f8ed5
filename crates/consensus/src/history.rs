//! What was decided, as far as this voter has taken it in, and the deltas it keeps for learners.

use crate::change::{Delta, Version};
use crate::digest::Digest;
use crate::limits;
use crate::log_storage::Image;
use crate::outcome::CatchUp;
use crate::replica::{Entry, Replica};
use std::collections::VecDeque;

/// Deltas that a voter has at its start.
const DELTAS_AT_START: usize = 64;

pub(crate) struct History {
    replica: Replica,
    /// Index of the log up to which the replica has taken it in.
    applied: usize,
    deltas: VecDeque<(Delta, usize)>,
    delta_bytes: usize,
}

impl History {
    /// What the store gave back. Deltas are kept of the last few entries only, for each takes a digest.
    pub(crate) fn of(image: &Image) -> History {
        let decided = image.decided.min(image.end());
        let applied = decided.saturating_sub(DELTAS_AT_START).max(image.compacted);
        let mut replica = image.snapshot.clone();
        replica.take_all(image.entries(image.compacted, applied));
        let mut history = History { replica, applied, deltas: VecDeque::new(), delta_bytes: 0 };
        history.advance(image, &[]);
        history
    }

    pub(crate) fn replica(&self) -> &Replica {
        &self.replica
    }

    pub(crate) fn version(&self) -> &Version {
        &self.replica.version
    }

    /// Takes in what was decided. `passing` are entries that were seen on the way to a snapshot.
    pub(crate) fn advance(&mut self, image: &Image, passing: &[Entry]) {
        if self.applied < image.compacted {
            // Skipped by a snapshot: the deltas go on only when the entries that led there were seen on the way.
            for entry in passing {
                self.take(entry);
            }
            if self.replica.version != image.snapshot.version {
                self.deltas.clear();
                self.delta_bytes = 0;
            }
            self.replica = image.snapshot.clone();
            self.applied = image.compacted;
        }
        let decided = image.decided.min(image.end());
        for entry in image.entries(self.applied, decided) {
            self.take(entry);
        }
        self.applied = self.applied.max(decided);
    }

    fn take(&mut self, entry: &Entry) {
        let Some(delta) = self.replica.take(entry) else { return };
        let bytes = delta.change.bytes();
        self.delta_bytes += bytes;
        self.deltas.push_back((delta, bytes));
        while self.deltas.len() > limits::MAX_DELTAS || self.delta_bytes > limits::MAX_DELTA_BYTES {
            let Some((_, bytes)) = self.deltas.pop_front() else { break };
            self.delta_bytes -= bytes;
        }
    }

    pub(crate) fn changes_since(&self, seq: u64, digest: Digest) -> CatchUp {
        let version = self.version();
        if seq > version.seq {
            return CatchUp::Ahead;
        }
        if (seq, digest) == (version.seq, version.digest) {
            return CatchUp::UpToDate;
        }
        let lacking = usize::try_from(version.seq - seq).unwrap_or(usize::MAX);
        let whole = crate::document::size(&version.document);
        let first = self.deltas.len().checked_sub(lacking);
        let deltas = first.map(|first| self.deltas.range(first..));
        match deltas {
            Some(deltas)
                if deltas.clone().next().is_some_and(|(delta, _)| delta.from_digest == digest)
                    && deltas.clone().map(|(_, bytes)| bytes).sum::<usize>() <= whole =>
            {
                CatchUp::Deltas(deltas.map(|(delta, _)| delta.clone()).collect())
            }
            _ => CatchUp::FullVersion(version.clone()),
        }
    }
}
