//! A journal of batches in frames with checksums, on any medium.
//!
//! The journal begins with a header of 16 bytes: a magic number, the version of the format, and the CRC-32C checksum
//! of both. A frame consists of the length of the batch, the checksum of the batch, a checksum of these two and the
//! frame's offset (four bytes each), and the batch. If the journal ends within a frame, a crash interrupted the write
//! before the batch was durable, and the incomplete frame is cut off. Any other mismatch is damage. Damage is never
//! repaired by dropping data, since a voter that forgets a promise may break the agreement of all voters.

use super::{Store, StoreError};
use std::io;

/// The magic number at the beginning of a journal.
const MAGIC: [u8; 8] = *b"calagree";
/// The version of the format.
const FORMAT_VERSION: u32 = 1;
/// The size of the journal's header, in bytes.
const HEADER_BYTES: usize = 16;
/// The size of a frame without its batch, in bytes.
const FRAME_HEADER_BYTES: usize = 12;
/// The largest size of a batch, in bytes.
const MAX_BATCH_BYTES: usize = 64 * 1024 * 1024;

/// The medium on which a journal is written. A medium has at most one user at a time.
pub trait Medium {
    /// Reads the complete content.
    ///
    /// # Errors
    /// The I/O error.
    fn read(&mut self) -> io::Result<Vec<u8>>;

    /// Appends bytes. They need not be durable on return.
    ///
    /// # Errors
    /// The I/O error. Some of the bytes may have been appended.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Removes everything after the first `length` bytes.
    ///
    /// # Errors
    /// The I/O error.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Makes all appended bytes durable.
    ///
    /// # Errors
    /// The I/O error. It is then unknown which bytes are durable.
    fn sync(&mut self) -> io::Result<()>;

    /// Replaces the complete content. The new content is durable on return. After a crash the content is either the
    /// old or the new one.
    ///
    /// # Errors
    /// The I/O error.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A journal on a medium.
#[derive(Debug)]
pub struct Journal<M> {
    medium: M,
    /// The batches read at opening, until they are loaded.
    batches: Vec<Vec<u8>>,
    /// The length of the journal in bytes.
    length: u64,
    /// True if a write failed, after which all operations fail.
    failed: bool,
}

impl<M: Medium> Journal<M> {
    /// Opens the journal on a medium, or creates one if the medium is empty.
    ///
    /// # Errors
    /// If the medium fails, or contains something else than a valid journal of the supported version. Such content is
    /// left untouched.
    pub fn with_medium(mut medium: M) -> Result<Journal<M>, StoreError> {
        let bytes = medium.read().map_err(disk_error("reading the journal"))?;
        let (batches, valid_bytes) = parse(&bytes)?;
        if valid_bytes == 0 {
            medium.replace(&header()).map_err(disk_error("creating the journal"))?;
        } else if valid_bytes < bytes.len() {
            medium.truncate(valid_bytes as u64).map_err(disk_error("removing an incomplete frame"))?;
            medium.sync().map_err(disk_error("syncing the journal"))?;
        }
        Ok(Journal { medium, batches, length: valid_bytes.max(HEADER_BYTES) as u64, failed: false })
    }

    /// Runs an operation on the medium. If it fails, all later operations fail too.
    fn run_or_fail(
        &mut self,
        operation: &'static str,
        action: impl FnOnce(&mut M) -> io::Result<()>,
    ) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::Failed);
        }
        action(&mut self.medium).map_err(|error| {
            self.failed = true;
            StoreError::Disk { operation, error }
        })
    }
}

impl<M: Medium> Store for Journal<M> {
    fn load(&mut self) -> Result<Vec<Vec<u8>>, StoreError> {
        if self.failed { Err(StoreError::Failed) } else { Ok(std::mem::take(&mut self.batches)) }
    }

    fn append(&mut self, batch: &[u8]) -> Result<(), StoreError> {
        let frame = encode_frame(self.length, batch)?;
        self.run_or_fail("appending a batch", |medium| {
            medium.append(&frame)?;
            medium.sync()
        })?;
        self.length += frame.len() as u64;
        Ok(())
    }

    fn replace(&mut self, batch: &[u8]) -> Result<(), StoreError> {
        let mut bytes = header();
        bytes.extend(encode_frame(HEADER_BYTES as u64, batch)?);
        self.run_or_fail("replacing the journal", |medium| medium.replace(&bytes))?;
        self.length = bytes.len() as u64;
        Ok(())
    }

    fn bytes(&self) -> u64 {
        self.length
    }
}

/// Converts an I/O error of an operation into a store error.
fn disk_error(operation: &'static str) -> impl FnOnce(io::Error) -> StoreError {
    move |error| StoreError::Disk { operation, error }
}

/// The header of a journal.
fn header() -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.extend(FORMAT_VERSION.to_le_bytes());
    header.extend(crc32c::crc32c(&header).to_le_bytes());
    header
}

/// Encodes a batch as a frame at this offset.
fn encode_frame(offset: u64, batch: &[u8]) -> Result<Vec<u8>, StoreError> {
    let length = u32::try_from(batch.len()).ok().filter(|_| batch.len() <= MAX_BATCH_BYTES);
    let length = length.ok_or(StoreError::TooLarge(batch.len()))?;
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + batch.len());
    frame.extend(length.to_le_bytes());
    frame.extend(crc32c::crc32c(batch).to_le_bytes());
    frame.extend(frame_checksum(&frame, offset).to_le_bytes());
    frame.extend(batch);
    Ok(frame)
}

/// The checksum of a frame's length, batch checksum and offset. The offset detects frames that were moved.
fn frame_checksum(length_and_checksum: &[u8], offset: u64) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&offset.to_le_bytes()), length_and_checksum)
}

/// Reads a little-endian number.
fn read_u32(bytes: &[u8]) -> u32 {
    bytes.iter().rev().fold(0, |value, byte| value << 8 | u32::from(*byte))
}

/// Parses a journal. Returns the batches and the number of valid bytes, after which an incomplete frame may follow.
/// The number is 0 if the header is incomplete.
fn parse(bytes: &[u8]) -> Result<(Vec<Vec<u8>>, usize), StoreError> {
    if bytes.len() < HEADER_BYTES {
        return if header().starts_with(bytes) {
            Ok((Vec::new(), 0))
        } else {
            Err(StoreError::Corrupt { offset: 0 })
        };
    }
    if bytes[..8] != MAGIC || crc32c::crc32c(&bytes[..12]) != read_u32(&bytes[12..16]) {
        return Err(StoreError::Corrupt { offset: 0 });
    }
    let found = read_u32(&bytes[8..12]);
    if found != FORMAT_VERSION {
        return Err(StoreError::Version { found, supported: FORMAT_VERSION });
    }
    let (mut batches, mut offset) = (Vec::new(), HEADER_BYTES);
    while let Some(frame) = bytes.get(offset..offset + FRAME_HEADER_BYTES) {
        if frame_checksum(&frame[..8], offset as u64) != read_u32(&frame[8..]) {
            return Err(StoreError::Corrupt { offset: offset as u64 });
        }
        let end = offset + FRAME_HEADER_BYTES + read_u32(&frame[..4]) as usize;
        let Some(batch) = bytes.get(offset + FRAME_HEADER_BYTES..end) else { break };
        if crc32c::crc32c(batch) != read_u32(&frame[4..8]) {
            return Err(StoreError::Corrupt { offset: offset as u64 });
        }
        batches.push(batch.to_vec());
        offset = end;
    }
    Ok((batches, offset))
}
