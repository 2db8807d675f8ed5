//! A medium in memory with faults that can be injected, for tests and models.

use super::journal::{Journal, Medium};
use super::{MemoryStore, StoreError};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The content of a simulated disk and its faults.
#[derive(Debug, Default)]
struct DiskState {
    written: Vec<u8>,
    /// The number of bytes that survive a crash.
    durable_length: usize,
    in_use: bool,
    sync_fails: bool,
    /// The capacity in bytes, `None` for unlimited.
    capacity: Option<usize>,
    syncs: u64,
}

/// A simulated disk. It outlives the store on it, as a disk outlives a process.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk(Arc<Mutex<DiskState>>);

impl MemoryDisk {
    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the journal on the disk, or creates one.
    ///
    /// # Errors
    /// If the disk is in use, or contains something else than a valid journal.
    pub fn open(&self) -> Result<MemoryStore, StoreError> {
        Journal::with_medium(MemoryMedium::open(self)?)
    }

    /// All written bytes.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        self.state().written.clone()
    }

    /// Replaces the content durably.
    pub fn set_bytes(&self, bytes: Vec<u8>) {
        let mut state = self.state();
        state.durable_length = bytes.len();
        state.written = bytes;
    }

    /// Simulates a crash: removes all bytes that are not durable, except for the first `kept_bytes` of them.
    pub fn crash(&self, kept_bytes: usize) {
        let mut state = self.state();
        let length = state.written.len().min(state.durable_length.saturating_add(kept_bytes));
        state.written.truncate(length);
        state.durable_length = length;
    }

    /// Sets whether syncs fail from now on.
    pub fn fail_syncs(&self, fail: bool) {
        self.state().sync_fails = fail;
    }

    /// Sets the capacity in bytes; `None` for unlimited.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.state().capacity = bytes;
    }

    /// The number of syncs and replacements so far.
    #[must_use]
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }
}

/// A [`MemoryDisk`] in use.
#[derive(Debug)]
pub struct MemoryMedium(MemoryDisk);

impl MemoryMedium {
    /// Takes a disk into use.
    ///
    /// # Errors
    /// If the disk is already in use.
    pub fn open(disk: &MemoryDisk) -> Result<MemoryMedium, StoreError> {
        let mut state = disk.state();
        if state.in_use {
            return Err(StoreError::Locked);
        }
        state.in_use = true;
        drop(state);
        Ok(MemoryMedium(disk.clone()))
    }
}

impl Drop for MemoryMedium {
    fn drop(&mut self) {
        self.0.state().in_use = false;
    }
}

fn disk_full_error() -> io::Error {
    io::Error::new(io::ErrorKind::StorageFull, "the simulated disk is full")
}

impl Medium for MemoryMedium {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.0.bytes())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.state();
        let available =
            state.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(state.written.len()));
        state.written.extend(&bytes[..bytes.len().min(available)]);
        if bytes.len() > available { Err(disk_full_error()) } else { Ok(()) }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.0.state();
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        state.written.truncate(length);
        state.durable_length = state.durable_length.min(length);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.0.state();
        if state.sync_fails {
            return Err(io::Error::other("injected sync failure"));
        }
        state.syncs += 1;
        state.durable_length = state.written.len();
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.state();
        if state.capacity.is_some_and(|capacity| bytes.len() > capacity) {
            return Err(disk_full_error());
        }
        if state.sync_fails {
            return Err(io::Error::other("injected sync failure"));
        }
        state.syncs += 1;
        state.written = bytes.to_vec();
        state.durable_length = bytes.len();
        Ok(())
    }
}
