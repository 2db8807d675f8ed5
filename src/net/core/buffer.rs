//! The buffer of a connection: unread input followed by output that is not yet written.

use crate::net::core::memory::{MemoryAccount, MemoryCharge, MemoryUse};
use std::io::{self, ErrorKind, Read, Write};

/// Bytes that one read may add.
pub const READ_CHUNK: usize = 8 * 1024;

/// Input and output of one connection. HTTP/1.1 is half-duplex, so one buffer serves both directions: nothing is read
/// while output is pending, which also bounds the memory that a peer can take up by not reading its answers.
#[derive(Default)]
pub struct Buffer {
    data: Vec<u8>,
    /// Offset of the first unread byte of input.
    input_start: usize,
    /// Offset of the end of the input.
    input_end: usize,
    /// Offset of the first byte of output that is not yet written.
    output_start: usize,
    /// Charge for the capacity of `data`.
    charge: MemoryCharge,
}

/// Reason for which [`Buffer::fill`] stopped reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillOutcome {
    /// The source has no more data at present.
    WouldBlock,
    /// The size limit is reached, or output is pending; the source may have more data.
    LimitReached,
    /// The peer closed the connection, or the read failed.
    Closed,
}

impl Buffer {
    /// Creates an empty buffer whose memory is charged to this account.
    pub fn charged_to(account: &MemoryAccount) -> Self {
        Buffer { charge: account.charge(MemoryUse::Connection), ..Buffer::default() }
    }

    /// Input that is not yet consumed.
    pub fn input(&self) -> &[u8] {
        &self.data[self.input_start..self.input_end]
    }

    /// Discards the first `count` bytes of input.
    pub fn consume(&mut self, count: usize) {
        self.input_start = (self.input_start + count).min(self.input_end);
        if self.input_start == self.input_end && !self.has_output() {
            self.clear();
        }
    }

    /// Empties the buffer and frees its memory, so that idle connections hold none.
    fn clear(&mut self) {
        self.data = Vec::new();
        (self.input_start, self.input_end, self.output_start) = (0, 0, 0);
        self.update_charge();
    }

    fn update_charge(&mut self) {
        self.charge.set(self.data.capacity());
    }

    /// Reads until the source would block or ends, or until at least `limit` bytes of input are held.
    pub fn fill(&mut self, source: &mut impl Read, limit: usize) -> FillOutcome {
        if self.has_output() {
            return FillOutcome::LimitReached;
        }
        if self.input_start > 0 {
            self.data.copy_within(self.input_start..self.input_end, 0);
            self.input_end -= self.input_start;
            self.input_start = 0;
        }
        self.data.truncate(self.input_end);
        // Bytes are read into a fixed array first, so that a connection holds no more memory than its input needs.
        let mut chunk = [0; READ_CHUNK];
        let filled = loop {
            if self.input_end >= limit {
                break FillOutcome::LimitReached;
            }
            match source.read(&mut chunk) {
                Ok(0) => break FillOutcome::Closed,
                Ok(count) => {
                    self.data.extend_from_slice(&chunk[..count]);
                    self.input_end += count;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break FillOutcome::WouldBlock,
                Err(_) => break FillOutcome::Closed,
            }
        };
        self.output_start = self.input_end;
        if self.input_start == self.input_end {
            self.clear();
        }
        self.update_charge();
        filled
    }

    /// Adds bytes to the unread input of a buffer without pending output.
    pub fn push_input(&mut self, bytes: &[u8]) {
        self.data.truncate(self.input_end);
        self.data.extend_from_slice(bytes);
        self.input_end = self.data.len();
        self.output_start = self.input_end;
        self.update_charge();
    }

    /// Appends bytes to the pending output.
    pub fn append_output(&mut self, bytes: &[u8]) {
        self.data.extend_from_slice(bytes);
        self.update_charge();
    }

    /// Appends bytes to the pending output, without a copy if the buffer is empty.
    pub fn append_owned_output(&mut self, bytes: Vec<u8>) {
        if self.data.is_empty() {
            self.data = bytes;
            self.update_charge();
        } else {
            self.append_output(&bytes);
        }
    }

    /// Returns true if output is pending.
    pub fn has_output(&self) -> bool {
        self.output_start < self.data.len()
    }

    /// Number of bytes of pending output.
    pub fn pending_output(&self) -> usize {
        self.data.len() - self.output_start
    }

    /// Writes pending output. Returns `Ok(true)` once the last byte is written, `Ok(false)` if the sink would block.
    ///
    /// # Errors
    /// Returns the sink's error, other than `Interrupted` and `WouldBlock`.
    pub fn flush(&mut self, sink: &mut impl Write) -> io::Result<bool> {
        while self.has_output() {
            match sink.write(&self.data[self.output_start..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.output_start += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        self.data.truncate(self.input_end);
        self.output_start = self.input_end;
        if self.input_start == self.input_end {
            self.clear();
        }
        Ok(true)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Fake stream that holds field 0. A read returns at most field 1 bytes; writes are accepted up to a total of field
    /// 1 bytes. Beyond that it would block.
    struct ChunkedStream(Vec<u8>, usize);

    impl Read for ChunkedStream {
        fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
            if self.0.is_empty() {
                return Err(ErrorKind::WouldBlock.into());
            }
            let count = self.1.min(into.len()).min(self.0.len());
            into[..count].copy_from_slice(&self.0[..count]);
            self.0.drain(..count);
            Ok(count)
        }
    }

    impl Write for ChunkedStream {
        fn write(&mut self, from: &[u8]) -> io::Result<usize> {
            if self.0.len() >= self.1 {
                return Err(ErrorKind::WouldBlock.into());
            }
            let count = from.len().min(self.1 - self.0.len());
            self.0.extend_from_slice(&from[..count]);
            Ok(count)
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn output_is_written_in_parts_and_input_is_kept() {
        let mut buffer = Buffer::default();
        assert_eq!(
            buffer.fill(&mut ChunkedStream(b"first second".to_vec(), 5), 100),
            FillOutcome::WouldBlock
        );
        buffer.consume(6);
        buffer.append_output(b"an answer");
        let mut sink = ChunkedStream(Vec::new(), 4);
        assert!(!buffer.flush(&mut sink).expect("flush into a sink that takes 4 bytes"));
        assert_eq!(buffer.fill(&mut ChunkedStream(b"more".to_vec(), 9), 100), FillOutcome::LimitReached);
        sink.1 = 100;
        assert!(buffer.flush(&mut sink).expect("flush into a sink that takes 100 bytes"));
        assert_eq!(sink.0, b"an answer");
        assert_eq!(buffer.input(), b"second");
        assert_eq!(buffer.fill(&mut ChunkedStream(b" third".to_vec(), 9), 100), FillOutcome::WouldBlock);
        assert_eq!(buffer.input(), b"second third");
    }

    #[test]
    fn fill_stops_at_the_limit_and_an_empty_buffer_frees_its_memory() {
        let account = MemoryAccount::new(0);
        let mut buffer = Buffer::charged_to(&account);
        assert_eq!(
            buffer.fill(&mut ChunkedStream(vec![7; 1 << 20], 1 << 20), 100_000),
            FillOutcome::LimitReached
        );
        let held = buffer.input().len();
        assert!(account.used() >= held);
        assert!((100_000..100_000 + READ_CHUNK).contains(&held));
        buffer.consume(held);
        assert_eq!((buffer.data.capacity(), account.used()), (0, 0));
    }
}
