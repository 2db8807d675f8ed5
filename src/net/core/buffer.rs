//! The one buffer of a connection: what has come in and is not yet used, then what is still to go out.

use std::io::{self, ErrorKind, Read, Write};

/// Room made for one read.
const READ: usize = 8 * 1024;
/// A buffer that once held more than this gives the memory back when it is empty.
const KEEP: usize = 32 * 1024;

/// HTTP/1.1 goes one way at a time, so one buffer serves both: nothing is read while something waits to go
/// out, which also bounds what a peer that does not read its answers can make us hold.
#[derive(Default)]
pub struct Buffer {
    data: Vec<u8>,
    /// Input begins here.
    start: usize,
    /// Input ends here, and output that is not yet written begins at `out`.
    mid: usize,
    out: usize,
}

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillOutcome {
    /// Nothing more for now.
    WouldBlock,
    /// The limit is reached; there may be more.
    LimitReached,
    /// The other side has ended, or the connection broke.
    Closed,
}

impl Buffer {
    /// What has come in and is not yet used.
    pub fn input(&self) -> &[u8] {
        &self.data[self.start..self.mid]
    }

    /// Marks input as used.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.mid);
        if self.start == self.mid && !self.has_output() {
            self.clear();
        }
    }

    fn clear(&mut self) {
        self.data.clear();
        (self.start, self.mid, self.out) = (0, 0, 0);
        if self.data.capacity() > KEEP {
            self.data.shrink_to(READ);
        }
    }

    /// Reads until the source is dry, or until `limit` bytes are held.
    pub fn fill(&mut self, source: &mut impl Read, limit: usize) -> FillOutcome {
        if self.has_output() {
            return FillOutcome::LimitReached;
        }
        if self.start > 0 {
            self.data.copy_within(self.start..self.mid, 0);
            self.mid -= self.start;
            self.start = 0;
        }
        let filled = loop {
            if self.mid >= limit {
                break FillOutcome::LimitReached;
            }
            self.data.resize(self.mid + READ, 0);
            match source.read(&mut self.data[self.mid..]) {
                Ok(0) => break FillOutcome::Closed,
                Ok(count) => self.mid += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break FillOutcome::WouldBlock,
                Err(_) => break FillOutcome::Closed,
            }
        };
        self.data.truncate(self.mid);
        self.out = self.mid;
        if self.start == self.mid {
            self.clear();
        }
        filled
    }

    /// A buffer in which these bytes have come in.
    pub fn with_input(bytes: &[u8]) -> Self {
        Buffer { data: bytes.to_vec(), start: 0, mid: bytes.len(), out: bytes.len() }
    }

    /// Adds output.
    pub fn append_output(&mut self, bytes: &[u8]) {
        self.data.extend_from_slice(bytes);
    }

    /// Something waits to go out.
    pub fn has_output(&self) -> bool {
        self.out < self.data.len()
    }

    /// How much waits to go out.
    pub fn pending_output(&self) -> usize {
        self.data.len() - self.out
    }

    /// Writes what waits; `Ok(true)` once the last byte is written.
    pub fn flush(&mut self, sink: &mut impl Write) -> io::Result<bool> {
        while self.has_output() {
            match sink.write(&self.data[self.out..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.out += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        self.data.truncate(self.mid);
        self.out = self.mid;
        if self.start == self.mid {
            self.clear();
        }
        Ok(true)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Takes or gives a few bytes at a time, then would block.
    struct Trickle(Vec<u8>, usize);

    impl Read for Trickle {
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

    impl Write for Trickle {
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
    fn output_goes_out_in_parts_and_leaves_the_input_alone() {
        let mut buffer = Buffer::default();
        assert_eq!(buffer.fill(&mut Trickle(b"first second".to_vec(), 5), 100), FillOutcome::WouldBlock);
        buffer.consume(6);
        buffer.append_output(b"an answer");
        let mut sink = Trickle(Vec::new(), 4);
        assert!(!buffer.flush(&mut sink).expect("it would only block"));
        assert_eq!(buffer.fill(&mut Trickle(b"more".to_vec(), 9), 100), FillOutcome::LimitReached);
        sink.1 = 100;
        assert!(buffer.flush(&mut sink).expect("there is room"));
        assert_eq!(sink.0, b"an answer");
        assert_eq!(buffer.input(), b"second");
        assert_eq!(buffer.fill(&mut Trickle(b" third".to_vec(), 9), 100), FillOutcome::WouldBlock);
        assert_eq!(buffer.input(), b"second third");
    }

    #[test]
    fn a_flood_stops_at_the_limit_and_memory_is_given_back() {
        let mut buffer = Buffer::default();
        assert_eq!(buffer.fill(&mut Trickle(vec![7; 1 << 20], 1 << 20), 100_000), FillOutcome::LimitReached);
        let held = buffer.input().len();
        assert!((100_000..100_000 + READ).contains(&held));
        buffer.consume(held);
        assert!(buffer.data.capacity() <= KEEP);
    }
}
