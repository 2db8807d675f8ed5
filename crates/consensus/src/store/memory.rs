//! A medium in memory, whose faults can be set: for tests and models.

use super::journal::{Journal, Medium};
use super::{MemoryStore, StoreError};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Debug, Default)]
struct Inner {
    written: Vec<u8>,
    durable: usize,
    in_use: bool,
    sync_fails: bool,
    capacity: Option<usize>,
    syncs: u64,
}

/// What a journal in memory is written on; it outlives the store, as a disk outlives a process.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk(Arc<Mutex<Inner>>);

impl MemoryDisk {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the journal that is on it, or begins one.
    ///
    /// # Errors
    /// When it is in use, or what is on it isn't a sound journal.
    pub fn open(&self) -> Result<MemoryStore, StoreError> {
        Journal::on(MemoryMedium::open(self)?)
    }

    /// All bytes that were written.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        self.inner().written.clone()
    }

    /// Puts other bytes in place of what is there, durable.
    pub fn set_bytes(&self, bytes: Vec<u8>) {
        let mut inner = self.inner();
        inner.durable = bytes.len();
        inner.written = bytes;
    }

    /// Loses what isn't durable, but for the first `kept` bytes of it.
    pub fn crash(&self, kept: usize) {
        let mut inner = self.inner();
        let length = inner.written.len().min(inner.durable.saturating_add(kept));
        inner.written.truncate(length);
        inner.durable = length;
    }

    /// Whether syncs fail from now on.
    pub fn fail_syncs(&self, fail: bool) {
        self.inner().sync_fails = fail;
    }

    /// How many bytes it takes, `None` for any number.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.inner().capacity = bytes;
    }

    /// Syncs and replacements so far.
    #[must_use]
    pub fn syncs(&self) -> u64 {
        self.inner().syncs
    }
}

/// A [`MemoryDisk`] in use.
#[derive(Debug)]
pub struct MemoryMedium(MemoryDisk);

impl MemoryMedium {
    /// Takes a platter into use.
    ///
    /// # Errors
    /// When it is in use.
    pub fn open(platter: &MemoryDisk) -> Result<MemoryMedium, StoreError> {
        let mut inner = platter.inner();
        if inner.in_use {
            return Err(StoreError::Locked);
        }
        inner.in_use = true;
        drop(inner);
        Ok(MemoryMedium(platter.clone()))
    }
}

impl Drop for MemoryMedium {
    fn drop(&mut self) {
        self.0.inner().in_use = false;
    }
}

fn full() -> io::Error {
    io::Error::new(io::ErrorKind::StorageFull, "no room")
}

impl Medium for MemoryMedium {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.0.bytes())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.0.inner();
        let room = inner.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(inner.written.len()));
        inner.written.extend(&bytes[..bytes.len().min(room)]);
        if bytes.len() > room { Err(full()) } else { Ok(()) }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut inner = self.0.inner();
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        inner.written.truncate(length);
        inner.durable = inner.durable.min(length);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut inner = self.0.inner();
        if inner.sync_fails {
            return Err(io::Error::other("the sync failed"));
        }
        inner.syncs += 1;
        inner.durable = inner.written.len();
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.0.inner();
        if inner.capacity.is_some_and(|capacity| bytes.len() > capacity) {
            return Err(full());
        }
        if inner.sync_fails {
            return Err(io::Error::other("the sync failed"));
        }
        inner.syncs += 1;
        inner.written = bytes.to_vec();
        inner.durable = bytes.len();
        Ok(())
    }
}
