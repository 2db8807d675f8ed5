//! The storage interface of the consensus library, implemented on a [`Store`].
//!
//! The library treats a storage error as fatal to the program. Errors are therefore not returned to it: its writes
//! are staged, and the voter commits them before it sends anything that depends on them. If a commit fails, the voter
//! sends nothing more.

use crate::limits;
use crate::replica::{Entry, Replica, Snapshot};
use crate::store::{Store, StoreError};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The records in the store are replaced by records of the current state when the store is larger than twice its size
/// after the last replacement plus this many bytes.
const REPLACE_SLACK_BYTES: u64 = 2 * 1024 * 1024;

/// A record in the store. Its variants and fields are part of the stored format.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Record {
    Start(u64),
    Promise(Ballot),
    AcceptedRound(Ballot),
    Decided(usize),
    Entries { from: usize, entries: Vec<Entry> },
    Compacted(usize),
    Snapshot(Replica),
}

/// The state that results from the records in the store.
#[derive(Debug, Default)]
pub(crate) struct LogState {
    /// The number of starts of this voter, including the current one.
    pub(crate) start: u64,
    promise: Option<Ballot>,
    accepted_round: Option<Ballot>,
    /// The index after the last decided entry.
    pub(crate) decided_index: usize,
    /// The index of the first entry in `log`. The entries before it are contained in `snapshot`.
    pub(crate) compacted_index: usize,
    pub(crate) snapshot: Replica,
    /// The entries since `compacted_index`.
    pub(crate) log: Vec<Entry>,
    /// The approximate size of `log` in bytes.
    pub(crate) log_bytes: usize,
}

/// The approximate size of entries in the store, in bytes.
fn entries_size(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.change.size_bytes() + 64).sum()
}

impl LogState {
    /// Applies a record. Returns `false` if the record is inconsistent with the state.
    fn apply(&mut self, record: Record) -> bool {
        match record {
            Record::Start(start) => self.start = start,
            Record::Promise(ballot) => self.promise = Some(ballot),
            Record::AcceptedRound(ballot) => self.accepted_round = Some(ballot),
            Record::Decided(index) => self.decided_index = index,
            Record::Entries { from, entries } => {
                let Some(kept) =
                    from.checked_sub(self.compacted_index).filter(|kept| *kept <= self.log.len())
                else {
                    return false;
                };
                self.log_bytes -= entries_size(&self.log[kept..]);
                self.log.truncate(kept);
                self.log_bytes += entries_size(&entries);
                self.log.extend(entries);
            }
            Record::Compacted(index) => {
                let Some(removed) = index.checked_sub(self.compacted_index) else { return false };
                let removed = removed.min(self.log.len());
                self.log_bytes -= entries_size(&self.log[..removed]);
                self.log.drain(..removed);
                self.compacted_index = index;
            }
            Record::Snapshot(replica) => self.snapshot = replica,
        }
        true
    }

    /// Records that produce this state when applied to an empty one.
    fn records(&self) -> Vec<Record> {
        let mut records = vec![Record::Start(self.start), Record::Snapshot(self.snapshot.clone())];
        records.push(Record::Compacted(self.compacted_index));
        records.push(Record::Entries { from: self.compacted_index, entries: self.log.clone() });
        records.push(Record::Decided(self.decided_index));
        records.extend(self.promise.map(Record::Promise));
        records.extend(self.accepted_round.map(Record::AcceptedRound));
        records
    }

    /// The entries with indexes `from..to` of the whole log. Empty unless all of them are present.
    pub(crate) fn entries(&self, from: usize, to: usize) -> &[Entry] {
        match (from.checked_sub(self.compacted_index), to.checked_sub(self.compacted_index)) {
            (Some(from), Some(to)) => self.log.get(from..to).unwrap_or_default(),
            _ => &[],
        }
    }

    /// The index after the last entry.
    pub(crate) fn end_index(&self) -> usize {
        self.compacted_index + self.log.len()
    }
}

/// A voter's store with the state that it contains, and the records that are not written yet.
pub(crate) struct LogStorage<S> {
    store: S,
    pub(crate) state: LogState,
    /// Records that are applied to `state` but not written.
    staged: Vec<Record>,
    /// The size of the store after its last replacement, in bytes.
    size_after_replace: u64,
    /// True if a write failed or a record was inconsistent. Nothing is written any more.
    failed: bool,
}

impl<S: Store> LogStorage<S> {
    /// Reads the store, and durably increments the start number.
    pub(crate) fn open(mut store: S) -> Result<LogStorage<S>, StoreError> {
        let mut state = LogState::default();
        for batch in store.load()? {
            let records: Option<Vec<Record>> = serde_json::from_slice(&batch).ok();
            let valid = records.is_some_and(|records| records.into_iter().all(|record| state.apply(record)));
            if !valid || state.decided_index > state.end_index() {
                return Err(StoreError::Corrupt { offset: 0 });
            }
        }
        if !state.snapshot.version.digest_matches() {
            return Err(StoreError::Corrupt { offset: 0 });
        }
        let mut log_storage =
            LogStorage { store, state, staged: Vec::new(), size_after_replace: 0, failed: false };
        log_storage.stage(Record::Start(log_storage.state.start + 1));
        log_storage.commit()?;
        Ok(log_storage)
    }

    /// Applies a record, and keeps it for the next commit.
    fn stage(&mut self, record: Record) {
        if self.state.apply(record.clone()) {
            self.staged.push(record);
        } else {
            self.failed = true;
        }
    }

    /// Writes all staged records durably.
    pub(crate) fn commit(&mut self) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::Failed);
        }
        if self.staged.is_empty() {
            return Ok(());
        }
        let staged = std::mem::take(&mut self.staged);
        let replace = self.store.bytes() > 2 * self.size_after_replace + REPLACE_SLACK_BYTES;
        let batch = if replace { encode(&self.state.records()) } else { encode(&staged) };
        let written = batch
            .and_then(|batch| if replace { self.store.replace(&batch) } else { self.store.append(&batch) });
        if replace {
            self.size_after_replace = self.store.bytes();
        }
        self.failed = written.is_err();
        written
    }

    /// Returns whether there are at least `max_decided_entries` decided entries, or decided entries in a log that has
    /// reached its maximum size.
    pub(crate) fn needs_compaction(&self, max_decided_entries: usize) -> bool {
        let decided_entries =
            self.state.decided_index - self.state.compacted_index.min(self.state.decided_index);
        decided_entries >= max_decided_entries
            || (decided_entries > 0 && self.state.log_bytes >= limits::MAX_LOG_BYTES)
    }

    /// The size of the store in bytes.
    pub(crate) fn store_bytes(&self) -> u64 {
        self.store.bytes()
    }
}

fn encode(records: &[Record]) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(records)
        .map_err(|error| StoreError::Disk { operation: "encoding the records", error: error.into() })
}

/// The log storage, shared by the consensus library and the voter.
pub(crate) struct SharedLogStorage<S>(Arc<Mutex<LogStorage<S>>>);

impl<S> Clone for SharedLogStorage<S> {
    fn clone(&self) -> SharedLogStorage<S> {
        SharedLogStorage(Arc::clone(&self.0))
    }
}

impl<S: Store> SharedLogStorage<S> {
    /// Wraps a log storage for sharing.
    pub(crate) fn new(log_storage: LogStorage<S>) -> SharedLogStorage<S> {
        SharedLogStorage(Arc::new(Mutex::new(log_storage)))
    }

    /// Locks the log storage, even if a panic in the consensus library has poisoned the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, LogStorage<S>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: Store> Storage<Entry> for SharedLogStorage<S> {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetCompactedIdx(index) => self.set_compacted_idx(index)?,
                StorageOp::Trim(index) => self.trim(index)?,
                StorageOp::SetStopsign(sign) => self.set_stopsign(sign)?,
                StorageOp::SetSnapshot(snapshot) => self.set_snapshot(snapshot)?,
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        let mut log_storage = self.lock();
        let from = log_storage.state.end_index();
        if !entries.is_empty() {
            log_storage.stage(Record::Entries { from, entries });
        }
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.lock().stage(Record::Entries { from, entries });
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        let mut log_storage = self.lock();
        // The library writes back the value that it has just read at each start. The default ballot of a voter that
        // has promised nothing is not stored as a promise.
        if log_storage.state.promise.unwrap_or_default() != ballot {
            log_storage.stage(Record::Promise(ballot));
        }
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.lock().stage(Record::Decided(index));
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.lock().state.decided_index)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.lock().stage(Record::AcceptedRound(ballot));
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().state.accepted_round)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.lock().state.entries(from, to).to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.lock().state.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let log_storage = self.lock();
        Ok(log_storage.state.entries(from, log_storage.state.end_index()).to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().state.promise)
    }

    fn set_stopsign(&mut self, _: Option<StopSign>) -> StorageResult<()> {
        // The set of voters is not changed through the log: messages with a stop sign are dropped before they get
        // here.
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        // The library always sets the compacted index afterwards, which removes the entries.
        Ok(())
    }

    fn set_compacted_idx(&mut self, index: usize) -> StorageResult<()> {
        self.lock().stage(Record::Compacted(index));
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.lock().state.compacted_index)
    }

    fn set_snapshot(&mut self, snapshot: Option<Snapshot>) -> StorageResult<()> {
        if let Some(snapshot) = snapshot {
            self.lock().stage(Record::Snapshot(snapshot.into_replica()));
        }
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<Snapshot>> {
        Ok(Some(Snapshot::Full(self.lock().state.snapshot.clone())))
    }
}
