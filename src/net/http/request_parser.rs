//! Incremental parsing of the requests on one connection.

use crate::net::core::memory::MemoryCharge;
use crate::net::http::body_decoder::BodyDecoder;
use crate::net::http::framing::{self, BODY_LIMIT, HEAD_LIMIT, Reject, Request};

/// Parses the requests that arrive on one connection, one after the other. The head of a request is parsed when it may have
/// become complete, and its body is decoded as it arrives, so that the work for a request does not depend on the number of
/// reads that it arrives in.
#[derive(Debug, Default)]
pub struct RequestParser {
    /// The request whose body is being received.
    partial: Option<PartialRequest>,
    /// Size of the incomplete head, in bytes, that was last parsed.
    parsed_head: usize,
    /// Charge for the memory of `partial`.
    charge: MemoryCharge,
}

#[derive(Debug)]
struct PartialRequest {
    /// The request, without its body.
    request: Request,
    body: BodyDecoder,
    /// Memory of the head, in bytes.
    head_memory: usize,
}

impl RequestParser {
    /// Creates a parser whose memory is charged to this charge.
    pub fn new(charge: MemoryCharge) -> Self {
        RequestParser { charge, ..RequestParser::default() }
    }

    /// Returns true if the head of a request has been received, and its body is not complete.
    pub fn is_in_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns true if the request whose body is being received is for this path.
    pub fn receives(&self, path: &str) -> bool {
        self.partial.as_ref().is_some_and(|partial| partial.request.path() == path)
    }

    /// Parses the start of `input`. Returns how many bytes are processed, and the request if it is complete. What is not
    /// processed is to be passed again, with what follows.
    ///
    /// # Errors
    /// Rejects a malformed request. Nothing behind it can be parsed.
    pub fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Request>), Reject> {
        let mut processed = 0;
        if self.partial.is_none() {
            let Some((partial, length)) = self.parse_head(input)? else { return Ok((0, None)) };
            processed = length;
            self.partial = Some(partial);
        }
        let Some(partial) = &mut self.partial else { return Ok((processed, None)) };
        processed += partial.body.decode(&input[processed..])?;
        if partial.body.is_complete() {
            return Ok((processed, self.finish()));
        }
        self.charge.set(partial.head_memory + partial.body.memory());
        Ok((processed, None))
    }

    /// Parses a head, unless it cannot have become complete since it was last parsed. An incomplete head is parsed again
    /// when its size has doubled, so that one that is malformed is rejected before its end.
    fn parse_head(&mut self, input: &[u8]) -> Result<Option<(PartialRequest, usize)>, Reject> {
        let has_grown = input.len() >= 2 * self.parsed_head || input.len() > HEAD_LIMIT;
        if !has_grown && !has_head_end(&input[self.parsed_head.saturating_sub(3)..]) {
            return Ok(None);
        }
        self.parsed_head = input.len();
        let Some((request, length)) = framing::parse_request_head(input)? else { return Ok(None) };
        self.parsed_head = 0;
        let body = BodyDecoder::new(&request.headers, BODY_LIMIT)?;
        let head_memory = request.headers.memory() + request.target.len();
        Ok(Some((PartialRequest { request, body, head_memory }, length)))
    }

    fn finish(&mut self) -> Option<Request> {
        self.charge.set(0);
        let PartialRequest { mut request, body, .. } = self.partial.take()?;
        request.body = body.into_body();
        Some(request)
    }

    /// Discards the incomplete request.
    pub fn reset(&mut self) {
        self.partial = None;
        self.parsed_head = 0;
        self.charge.set(0);
    }
}

/// Returns whether the empty line that ends a head is among these bytes.
fn has_head_end(bytes: &[u8]) -> bool {
    let lines = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    lines.map(|(at, _)| &bytes[at + 1..]).any(|rest| rest.starts_with(b"\n") || rest.starts_with(b"\r\n"))
}

#[cfg(test)]
mod tests;
