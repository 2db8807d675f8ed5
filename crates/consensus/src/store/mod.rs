//! The durable storage of a voter.
//!
//! A [`Store`] is a journal of batches. A batch that was appended successfully survives a crash completely and in
//! order. A batch whose append did not return survives completely or not at all. [`Journal`] implements a store on
//! any [`Medium`]: [`FileMedium`] is a directory on a disk, and [`MemoryMedium`] is a simulated disk, [`MemoryDisk`],
//! whose faults can be injected.

mod file;
mod journal;
mod memory;

pub use file::FileMedium;
pub use journal::{Journal, Medium};
pub use memory::{MemoryDisk, MemoryMedium};

use std::io;

/// A journal in a directory.
pub type FileStore = Journal<FileMedium>;
/// A journal in memory.
pub type MemoryStore = Journal<MemoryMedium>;

/// An error of a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An I/O operation failed.
    #[error("{operation}: {error}")]
    Disk {
        /// The operation that failed.
        operation: &'static str,
        /// The I/O error.
        error: io::Error,
    },
    /// The content differs from the data that was written. It was left untouched.
    #[error("the store is damaged at byte {offset}; it was left unchanged")]
    Corrupt {
        /// The offset of the damage in bytes.
        offset: u64,
    },
    /// The store was written by a program with another version of the format. It was left untouched.
    #[error(
        "the store has format version {found}, but this program supports {supported}; it was left unchanged"
    )]
    Version {
        /// The version of the store.
        found: u32,
        /// The version that this program supports.
        supported: u32,
    },
    /// Another process, or another store in this process, uses the store.
    #[error("the store is in use")]
    Locked,
    /// A batch exceeds the maximum size of a batch.
    #[error("a batch of {0} bytes exceeds the maximum size of a batch")]
    TooLarge(usize),
    /// An earlier write failed, so that it is unknown which data is durable. The store accepts nothing more until it
    /// is reopened.
    #[error("the store failed earlier and accepts nothing until it is reopened")]
    Failed,
}

/// A journal of batches.
pub trait Store {
    /// Returns all batches since the last [`Store::replace`], in order.
    ///
    /// # Errors
    /// If the disk fails or the content is damaged.
    fn load(&mut self) -> Result<Vec<Vec<u8>>, StoreError>;

    /// Appends a batch. It is durable on return.
    ///
    /// # Errors
    /// If the disk fails. The batch may or may not be stored, and the store accepts nothing more until it is
    /// reopened.
    fn append(&mut self, batch: &[u8]) -> Result<(), StoreError>;

    /// Replaces the complete content by a batch. The batch is durable on return. After a crash the content is either
    /// the old or the new one.
    ///
    /// # Errors
    /// As for [`Store::append`].
    fn replace(&mut self, batch: &[u8]) -> Result<(), StoreError>;

    /// The size of the store in bytes.
    fn bytes(&self) -> u64;
}
