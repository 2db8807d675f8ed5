//! Incremental decoding of HTTP/1.1 message bodies. Each byte of input is processed once, however many reads a body arrives
//! in, and only the body itself is kept, not its framing.

use crate::net::core::envelope::Headers;
use crate::net::http::framing::{self, HEAD_LIMIT, MALFORMED, Reject};

/// Capacity (bytes) with which a body begins, unless it is shorter.
const INITIAL_CAPACITY: usize = 1024;
const LINE_END: &[u8] = b"\r\n";

/// The part of the framing that comes next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// This number of bytes of a body of known length.
    Body(usize),
    /// The line with the size of a chunk.
    ChunkSize,
    /// This number of bytes of a chunk.
    ChunkData(usize),
    /// The end of the line after the data of a chunk.
    ChunkEnd,
    /// A line of the trailers, which began this number of bytes before.
    Trailer(usize),
    /// Nothing: the body is complete.
    Nothing,
}

/// Decodes the body of one message.
#[derive(Debug)]
pub struct BodyDecoder {
    body: Vec<u8>,
    expected: Expected,
    limit: usize,
}

impl BodyDecoder {
    /// Creates a decoder for the body that these headers announce. `limit`: maximum size of the body, in bytes.
    ///
    /// # Errors
    /// Rejects a message whose framing is ambiguous or announces a larger body.
    pub fn new(headers: &Headers, limit: usize) -> Result<Self, Reject> {
        let expected = if framing::has_transfer_encoding(headers) {
            // Messages with two framings are a means of request smuggling.
            let has_length = headers.get("content-length").is_some();
            if has_length || !framing::has_token(headers, "transfer-encoding", "chunked") {
                return Err(MALFORMED);
            }
            Expected::ChunkSize
        } else {
            match content_length(headers)? {
                0 => Expected::Nothing,
                length if length > limit => return Err(Reject(413)),
                length => Expected::Body(length),
            }
        };
        Ok(BodyDecoder { body: Vec::new(), expected, limit })
    }

    /// Decodes input, and returns how many bytes of it are processed. The rest belongs to the next message if the body is
    /// complete; otherwise it is to be passed again, with what follows.
    ///
    /// # Errors
    /// Rejects malformed framing and a body that is too large.
    pub fn decode(&mut self, input: &[u8]) -> Result<usize, Reject> {
        let mut processed = 0;
        while self.expected != Expected::Nothing {
            let step = self.step(&input[processed..])?;
            if step == 0 {
                break;
            }
            processed += step;
        }
        Ok(processed)
    }

    /// Decodes the next part of the framing. Returns how many bytes are processed; 0 if more input is needed.
    fn step(&mut self, input: &[u8]) -> Result<usize, Reject> {
        match self.expected {
            Expected::Body(left) => Ok(self.take_data(input, left, Expected::Body, Expected::Nothing)),
            Expected::ChunkData(left) => {
                Ok(self.take_data(input, left, Expected::ChunkData, Expected::ChunkEnd))
            }
            Expected::ChunkSize => self.read_chunk_size(input),
            Expected::ChunkEnd => match input.get(..LINE_END.len()) {
                Some(LINE_END) => {
                    self.expected = Expected::ChunkSize;
                    Ok(LINE_END.len())
                }
                Some(_) => Err(MALFORMED),
                None => Ok(0),
            },
            Expected::Trailer(size) => self.read_trailer(input, size),
            Expected::Nothing => Ok(0),
        }
    }

    fn take_data(
        &mut self,
        input: &[u8],
        left: usize,
        unfinished: fn(usize) -> Expected,
        finished: Expected,
    ) -> usize {
        let count = left.min(input.len());
        self.reserve(count, left);
        self.body.extend_from_slice(&input[..count]);
        self.expected = if count == left { finished } else { unfinished(left - count) };
        count
    }

    /// Makes room for `count` further bytes. The capacity doubles, up to what the body can still need: `announced` bytes, or
    /// for chunks the limit.
    fn reserve(&mut self, count: usize, announced: usize) {
        let needed = self.body.len() + count;
        if needed <= self.body.capacity() {
            return;
        }
        let largest =
            if matches!(self.expected, Expected::Body(_)) { self.body.len() + announced } else { self.limit };
        let capacity = needed.max(2 * self.body.capacity()).max(INITIAL_CAPACITY).min(largest.max(needed));
        self.body.reserve_exact(capacity - self.body.len());
    }

    fn read_chunk_size(&mut self, input: &[u8]) -> Result<usize, Reject> {
        let (length, size) = match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) if input.len() <= HEAD_LIMIT => return Ok(0),
            _ => return Err(MALFORMED),
        };
        let left = (self.limit - self.body.len()) as u64;
        self.expected = match size {
            0 => Expected::Trailer(0),
            size if size > left => return Err(Reject(413)),
            size => Expected::ChunkData(size as usize),
        };
        Ok(length)
    }

    /// Reads a line of the trailers, which end with an empty one. `size`: bytes of the trailers before it.
    fn read_trailer(&mut self, input: &[u8], size: usize) -> Result<usize, Reject> {
        let end = input.windows(LINE_END.len()).position(|pair| pair == LINE_END);
        let length = end.map_or(input.len(), |end| end + LINE_END.len());
        if size + length > HEAD_LIMIT {
            return Err(Reject(431));
        }
        match end {
            None => Ok(0),
            Some(end) => {
                self.expected = if end == 0 { Expected::Nothing } else { Expected::Trailer(size + length) };
                Ok(length)
            }
        }
    }

    /// Returns true if the body is complete.
    pub fn is_complete(&self) -> bool {
        self.expected == Expected::Nothing
    }

    /// Memory that the body takes, in bytes.
    pub fn memory(&self) -> usize {
        self.body.capacity()
    }

    /// Returns the body.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }
}

/// The length that the headers state; 0 if they state none.
fn content_length(headers: &Headers) -> Result<usize, Reject> {
    let mut lengths =
        headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length")).map(|header| header.1);
    let Some(text) = lengths.next() else { return Ok(0) };
    if lengths.any(|other| other != text) || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(MALFORMED);
    }
    text.parse().map_err(|_| if text.is_empty() { MALFORMED } else { Reject(413) })
}

#[cfg(test)]
mod tests;
