//! HTTP/1.1 messages as the stand-ins read and write them. `httparse` parses heads; the body length comes from
//! `Content-Length`.

use std::fmt::Write;

/// Largest message that a stand-in accepts, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
const MAX_HEADERS: usize = 64;

/// The bytes are not an HTTP/1.1 message, or the message exceeds [`MAX_MESSAGE_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// A complete HTTP message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Method of a request; empty in a response.
    pub method: String,
    /// Target of a request; empty in a response.
    pub target: String,
    /// Status of a response; 0 in a request.
    pub status: u16,
    /// Headers in their order on the wire.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Length of head and body, in bytes.
    pub length: usize,
}

impl Message {
    /// Returns the value of a header; the name's case is ignored.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns whether the peer closes the connection after this message.
    pub fn closes_connection(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn copy_headers(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_owned();
    headers.iter().map(|header| (header.name.to_owned(), text(header.value))).collect()
}

/// Adds the body whose length the head announces; `None` while part of it is missing.
fn complete_body(
    mut message: Message,
    head_length: usize,
    bytes: &[u8],
) -> Result<Option<Message>, Malformed> {
    let length = match message.header("content-length") {
        Some(text) => text.parse::<usize>().map_err(|_| Malformed)?,
        None => 0,
    };
    let end = head_length.checked_add(length).filter(|&end| end <= MAX_MESSAGE_BYTES).ok_or(Malformed)?;
    let Some(body) = bytes.get(head_length..end) else { return Ok(None) };
    (message.body, message.length) = (body.to_vec(), end);
    Ok(Some(message))
}

/// Parses the request at the start of `bytes`; `None` while it is incomplete.
pub fn parse_request(bytes: &[u8]) -> Result<Option<Message>, Malformed> {
    let mut raw = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut raw);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head_length)) => {
            let message = Message {
                method: parsed.method.unwrap_or_default().to_owned(),
                target: parsed.path.unwrap_or_default().to_owned(),
                status: 0,
                headers: copy_headers(parsed.headers),
                body: Vec::new(),
                length: head_length,
            };
            complete_body(message, head_length, bytes)
        }
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_MESSAGE_BYTES => Ok(None),
        _ => Err(Malformed),
    }
}

/// Parses the response at the start of `bytes`; `None` while it is incomplete.
pub fn parse_response(bytes: &[u8]) -> Result<Option<Message>, Malformed> {
    let mut raw = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut raw);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head_length)) => {
            let message = Message {
                method: String::new(),
                target: String::new(),
                status: parsed.code.unwrap_or(0),
                headers: copy_headers(parsed.headers),
                body: Vec::new(),
                length: head_length,
            };
            complete_body(message, head_length, bytes)
        }
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_MESSAGE_BYTES => Ok(None),
        _ => Err(Malformed),
    }
}

/// Formats a request with a `Content-Length` header.
pub fn write_request(method: &str, target: &str, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}

/// Formats a response with a `Content-Length` header.
pub fn write_response(status: u16, reason: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// Formats one chunk of a chunked response.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}
