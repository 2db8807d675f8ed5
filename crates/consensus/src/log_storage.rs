//! What the consensus crate keeps, on our [`Store`].
//!
//! The crate takes an error of its storage for the end of the program, so none is given to it: what it writes is
//! staged, and the voter commits it before anything that depends on it leaves. When that fails the voter says
//! nothing more.

use crate::limits;
use crate::replica::{Entry, Replica, Snapshot};
use crate::store::{Store, StoreError};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A journal that has grown by this many bytes beyond twice what its last replacement held is replaced.
const SLACK: u64 = 2 * 1024 * 1024;

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

/// What the journal's records lead to.
#[derive(Debug, Default)]
pub(crate) struct Image {
    pub(crate) start: u64,
    promise: Option<Ballot>,
    accepted_round: Option<Ballot>,
    pub(crate) decided: usize,
    pub(crate) compacted: usize,
    pub(crate) snapshot: Replica,
    pub(crate) log: Vec<Entry>,
    pub(crate) log_bytes: usize,
}

fn bytes(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.change.bytes() + 64).sum()
}

impl Image {
    /// Takes in a record; `false` when it can't follow what is there.
    fn take(&mut self, record: Record) -> bool {
        match record {
            Record::Start(start) => self.start = start,
            Record::Promise(ballot) => self.promise = Some(ballot),
            Record::AcceptedRound(ballot) => self.accepted_round = Some(ballot),
            Record::Decided(index) => self.decided = index,
            Record::Entries { from, entries } => {
                let Some(kept) = from.checked_sub(self.compacted).filter(|kept| *kept <= self.log.len())
                else {
                    return false;
                };
                self.log_bytes -= bytes(&self.log[kept..]);
                self.log.truncate(kept);
                self.log_bytes += bytes(&entries);
                self.log.extend(entries);
            }
            Record::Compacted(index) => {
                let Some(gone) = index.checked_sub(self.compacted) else { return false };
                let gone = gone.min(self.log.len());
                self.log_bytes -= bytes(&self.log[..gone]);
                self.log.drain(..gone);
                self.compacted = index;
            }
            Record::Snapshot(replica) => self.snapshot = replica,
        }
        true
    }

    fn records(&self) -> Vec<Record> {
        let mut records = vec![Record::Start(self.start), Record::Snapshot(self.snapshot.clone())];
        records.push(Record::Compacted(self.compacted));
        records.push(Record::Entries { from: self.compacted, entries: self.log.clone() });
        records.push(Record::Decided(self.decided));
        records.extend(self.promise.map(Record::Promise));
        records.extend(self.accepted_round.map(Record::AcceptedRound));
        records
    }

    /// Entries from an index (of the whole log) up to another; none when it doesn't have them all.
    pub(crate) fn entries(&self, from: usize, to: usize) -> &[Entry] {
        match (from.checked_sub(self.compacted), to.checked_sub(self.compacted)) {
            (Some(from), Some(to)) => self.log.get(from..to).unwrap_or_default(),
            _ => &[],
        }
    }

    /// Index after the last entry.
    pub(crate) fn end(&self) -> usize {
        self.compacted + self.log.len()
    }
}

pub(crate) struct LogStorage<S> {
    store: S,
    pub(crate) image: Image,
    staged: Vec<Record>,
    replaced: u64,
    broken: bool,
}

impl<S: Store> LogStorage<S> {
    /// Reads the store back and counts this start, durably.
    pub(crate) fn open(mut store: S) -> Result<LogStorage<S>, StoreError> {
        let mut image = Image::default();
        for batch in store.load()? {
            let records: Option<Vec<Record>> = serde_json::from_slice(&batch).ok();
            let sound = records.is_some_and(|records| records.into_iter().all(|record| image.take(record)));
            if !sound || image.decided > image.end() {
                return Err(StoreError::Corrupt { at: 0 });
            }
        }
        if !image.snapshot.version.is_sound() {
            return Err(StoreError::Corrupt { at: 0 });
        }
        let mut log_storage = LogStorage { store, image, staged: Vec::new(), replaced: 0, broken: false };
        log_storage.stage(Record::Start(log_storage.image.start + 1));
        log_storage.commit()?;
        Ok(log_storage)
    }

    fn stage(&mut self, record: Record) {
        if self.image.take(record.clone()) {
            self.staged.push(record);
        } else {
            self.broken = true;
        }
    }

    /// Makes all that was staged durable.
    pub(crate) fn commit(&mut self) -> Result<(), StoreError> {
        if self.broken {
            return Err(StoreError::Refusing);
        }
        if self.staged.is_empty() {
            return Ok(());
        }
        let staged = std::mem::take(&mut self.staged);
        let grown = self.store.bytes() > 2 * self.replaced + SLACK;
        let batch = if grown { encode(&self.image.records()) } else { encode(&staged) };
        let written = batch
            .and_then(|batch| if grown { self.store.replace(&batch) } else { self.store.append(&batch) });
        if grown {
            self.replaced = self.store.bytes();
        }
        self.broken = written.is_err();
        written
    }

    pub(crate) fn is_long(&self, bound: usize) -> bool {
        let decided = self.image.decided - self.image.compacted.min(self.image.decided);
        decided >= bound || (decided > 0 && self.image.log_bytes >= limits::MAX_LOG_BYTES)
    }

    /// Bytes that the store takes up.
    pub(crate) fn bytes(&self) -> u64 {
        self.store.bytes()
    }
}

fn encode(records: &[Record]) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(records).map_err(|error| StoreError::Disk { what: "encoding", error: error.into() })
}

/// The log_storage, held by both the consensus crate and the voter.
pub(crate) struct Shared<S>(Arc<Mutex<LogStorage<S>>>);

impl<S> Clone for Shared<S> {
    fn clone(&self) -> Shared<S> {
        Shared(Arc::clone(&self.0))
    }
}

impl<S: Store> Shared<S> {
    pub(crate) fn new(log_storage: LogStorage<S>) -> Shared<S> {
        Shared(Arc::new(Mutex::new(log_storage)))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, LogStorage<S>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: Store> Storage<Entry> for Shared<S> {
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
        let from = log_storage.image.end();
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
        // The crate sets what it has just read at each start; that a voter has promised nothing isn't a promise.
        if log_storage.image.promise.unwrap_or_default() != ballot {
            log_storage.stage(Record::Promise(ballot));
        }
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.lock().stage(Record::Decided(index));
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.lock().image.decided)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.lock().stage(Record::AcceptedRound(ballot));
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().image.accepted_round)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.lock().image.entries(from, to).to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.lock().image.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let log_storage = self.lock();
        Ok(log_storage.image.entries(from, log_storage.image.end()).to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().image.promise)
    }

    fn set_stopsign(&mut self, _: Option<StopSign>) -> StorageResult<()> {
        // The five aren't changed by the log: messages with a stop sign are dropped before they get here.
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        // Always followed by the compacted index, which says the same.
        Ok(())
    }

    fn set_compacted_idx(&mut self, index: usize) -> StorageResult<()> {
        self.lock().stage(Record::Compacted(index));
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.lock().image.compacted)
    }

    fn set_snapshot(&mut self, snapshot: Option<Snapshot>) -> StorageResult<()> {
        if let Some(snapshot) = snapshot {
            self.lock().stage(Record::Snapshot(snapshot.fold()));
        }
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<Snapshot>> {
        Ok(Some(Snapshot::Whole(self.lock().image.snapshot.clone())))
    }
}
