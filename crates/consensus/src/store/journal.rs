//! Batches in frames with checksums, on any medium.
//!
//! The file begins with a head of 16 bytes: a mark, the version of the format, and the checksum (CRC-32C) of both.
//! A frame is the length of the batch, the batch's checksum, and a checksum of these two and the frame's place, four
//! bytes each, then the batch. A file that ends within a frame was torn by a crash before that batch was durable: the
//! rest is cut off. Whatever else doesn't fit is damage, and damage is never mended by forgetting: a voter that
//! forgets a promise may break the agreement of all.

use super::{Store, StoreError};
use std::io;

/// Mark at the beginning of a journal.
const MARK: [u8; 8] = *b"calagree";
/// Version of the format.
const VERSION: u32 = 1;
/// Bytes of the head of a journal.
const HEAD: usize = 16;
/// Bytes before each batch.
const FRAME: usize = 12;
/// Bytes of a batch, at most.
const BATCH: usize = 64 * 1024 * 1024;

/// What a journal is written on. One medium has one user at a time.
pub trait Medium {
    /// All that is there.
    ///
    /// # Errors
    /// What the disk says.
    fn read(&mut self) -> io::Result<Vec<u8>>;

    /// Adds bytes to the end; they needn't be durable yet.
    ///
    /// # Errors
    /// What the disk says; some of the bytes may have been added.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Cuts off all after the first `length` bytes.
    ///
    /// # Errors
    /// What the disk says.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Returns when all that was added is durable.
    ///
    /// # Errors
    /// What the disk says; what is durable then isn't known.
    fn sync(&mut self) -> io::Result<()>;

    /// Puts these bytes in place of all that is there, durable at the return; after a crash it is one or the other.
    ///
    /// # Errors
    /// What the disk says.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A journal on a medium.
#[derive(Debug)]
pub struct Journal<M> {
    medium: M,
    batches: Vec<Vec<u8>>,
    length: u64,
    failed: bool,
}

impl<M: Medium> Journal<M> {
    /// Opens what is on the medium, or begins a new journal on an empty one.
    ///
    /// # Errors
    /// When the medium fails, or holds something that isn't a sound journal of this version; that is left untouched.
    pub fn on(mut medium: M) -> Result<Journal<M>, StoreError> {
        let bytes = medium.read().map_err(disk("reading"))?;
        let (batches, sound) = parse(&bytes)?;
        if sound == 0 {
            medium.replace(&head()).map_err(disk("beginning"))?;
        } else if sound < bytes.len() {
            medium.truncate(sound as u64).map_err(disk("cutting off a torn batch"))?;
            medium.sync().map_err(disk("syncing"))?;
        }
        Ok(Journal { medium, batches, length: sound.max(HEAD) as u64, failed: false })
    }

    fn guarded(
        &mut self,
        what: &'static str,
        act: impl FnOnce(&mut M) -> io::Result<()>,
    ) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::Refusing);
        }
        act(&mut self.medium).map_err(|error| {
            self.failed = true;
            StoreError::Disk { what, error }
        })
    }
}

impl<M: Medium> Store for Journal<M> {
    fn load(&mut self) -> Result<Vec<Vec<u8>>, StoreError> {
        if self.failed { Err(StoreError::Refusing) } else { Ok(std::mem::take(&mut self.batches)) }
    }

    fn append(&mut self, batch: &[u8]) -> Result<(), StoreError> {
        let frame = frame(self.length, batch)?;
        self.guarded("adding a batch", |medium| {
            medium.append(&frame)?;
            medium.sync()
        })?;
        self.length += frame.len() as u64;
        Ok(())
    }

    fn replace(&mut self, batch: &[u8]) -> Result<(), StoreError> {
        let mut bytes = head();
        bytes.extend(frame(HEAD as u64, batch)?);
        self.guarded("replacing the journal", |medium| medium.replace(&bytes))?;
        self.length = bytes.len() as u64;
        Ok(())
    }

    fn bytes(&self) -> u64 {
        self.length
    }
}

fn disk(what: &'static str) -> impl FnOnce(io::Error) -> StoreError {
    move |error| StoreError::Disk { what, error }
}

fn head() -> Vec<u8> {
    let mut head = MARK.to_vec();
    head.extend(VERSION.to_le_bytes());
    head.extend(crc32c::crc32c(&head).to_le_bytes());
    head
}

fn frame(at: u64, batch: &[u8]) -> Result<Vec<u8>, StoreError> {
    let length = u32::try_from(batch.len()).ok().filter(|_| batch.len() <= BATCH);
    let length = length.ok_or(StoreError::TooLarge(batch.len()))?;
    let mut frame = Vec::with_capacity(FRAME + batch.len());
    frame.extend(length.to_le_bytes());
    frame.extend(crc32c::crc32c(batch).to_le_bytes());
    frame.extend(frame_sum(&frame, at).to_le_bytes());
    frame.extend(batch);
    Ok(frame)
}

fn frame_sum(length_and_sum: &[u8], at: u64) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&at.to_le_bytes()), length_and_sum)
}

fn number(bytes: &[u8]) -> u32 {
    bytes.iter().rev().fold(0, |number, byte| number << 8 | u32::from(*byte))
}

/// The batches, and how many bytes are sound; the rest is torn. None is sound when the journal wasn't begun.
fn parse(bytes: &[u8]) -> Result<(Vec<Vec<u8>>, usize), StoreError> {
    if bytes.len() < HEAD {
        return if head().starts_with(bytes) {
            Ok((Vec::new(), 0))
        } else {
            Err(StoreError::Corrupt { at: 0 })
        };
    }
    if bytes[..8] != MARK || crc32c::crc32c(&bytes[..12]) != number(&bytes[12..16]) {
        return Err(StoreError::Corrupt { at: 0 });
    }
    let found = number(&bytes[8..12]);
    if found != VERSION {
        return Err(StoreError::Version { found, known: VERSION });
    }
    let (mut batches, mut at) = (Vec::new(), HEAD);
    while let Some(frame) = bytes.get(at..at + FRAME) {
        if frame_sum(&frame[..8], at as u64) != number(&frame[8..]) {
            return Err(StoreError::Corrupt { at: at as u64 });
        }
        let end = at + FRAME + number(&frame[..4]) as usize;
        let Some(batch) = bytes.get(at + FRAME..end) else { break };
        if crc32c::crc32c(batch) != number(&frame[4..8]) {
            return Err(StoreError::Corrupt { at: at as u64 });
        }
        batches.push(batch.to_vec());
        at = end;
    }
    Ok((batches, at))
}
