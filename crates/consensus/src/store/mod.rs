//! Where a voter keeps its word.
//!
//! A [`Store`] is a journal of batches: what [`Store::append`] returned from is there after a crash, whole and in
//! order; what it didn't return from is there whole or not at all. [`Journal`] makes one of any [`Medium`]:
//! [`FileMedium`] is a folder on a disk, [`MemoryMedium`] a [`MemoryDisk`] in memory whose faults can be set.

mod file;
mod journal;
mod memory;

pub use file::FileMedium;
pub use journal::{Journal, Medium};
pub use memory::{MemoryDisk, MemoryMedium};

use std::io;

/// A journal in a folder.
pub type FileStore = Journal<FileMedium>;
/// A journal in memory.
pub type MemoryStore = Journal<MemoryMedium>;

/// What is wrong with a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk said no.
    #[error("{what}: {error}")]
    Disk {
        /// What was tried.
        what: &'static str,
        /// What the disk said.
        error: io::Error,
    },
    /// What is there isn't what was written. Nothing was touched.
    #[error("the store is damaged at byte {at}; it was left as it is")]
    Corrupt {
        /// Where, from the beginning.
        at: u64,
    },
    /// Written by a program of another version. Nothing was touched.
    #[error("the store has version {found}, this program knows {known}; it was left as it is")]
    Version {
        /// What the store says.
        found: u32,
        /// What this program writes.
        known: u32,
    },
    /// Another process (or another store of this one) has it.
    #[error("the store is in use")]
    Locked,
    /// A batch is larger than a journal takes.
    #[error("a batch of {0} bytes is larger than a store takes")]
    TooLarge(usize),
    /// It failed before, and what is durable isn't known; it takes nothing more until it is opened anew.
    #[error("the store failed before and takes nothing more until it is opened anew")]
    Refusing,
}

/// A journal of batches.
pub trait Store {
    /// All batches since the last [`Store::replace`], in order.
    ///
    /// # Errors
    /// When the disk fails or what is there is damaged.
    fn load(&mut self) -> Result<Vec<Vec<u8>>, StoreError>;

    /// Adds a batch; it is durable at the return.
    ///
    /// # Errors
    /// When the disk fails; the batch is then there or not, and the store takes nothing more until opened anew.
    fn append(&mut self, batch: &[u8]) -> Result<(), StoreError>;

    /// Puts a batch in place of all that is there: one or the other survives a crash, and at the return it is this.
    ///
    /// # Errors
    /// As [`Store::append`].
    fn replace(&mut self, batch: &[u8]) -> Result<(), StoreError>;

    /// Bytes it takes up.
    fn bytes(&self) -> u64;
}
