//! HTTP/1.1 messages as the stand-ins read and write them: heads by `httparse`, bodies by their length.

use std::fmt::Write;

/// The largest message that a stand-in takes, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
const MAX_HEADERS: usize = 64;

/// Bytes that are no message of HTTP/1.1, or one beyond [`MAX_MESSAGE_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// A whole message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Method and target of a request; empty in a response.
    pub method: String,
    /// See `method`.
    pub target: String,
    /// The status of a response; 0 in a request.
    pub status: u16,
    /// The headers, in their order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Bytes of head_length and body.
    pub length: usize,
}

impl Message {
    /// The value of a header, whatever the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The other side closes the connection after it.
    pub fn closes_connection(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn copy_headers(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_owned();
    headers.iter().map(|header| (header.name.to_owned(), text(header.value))).collect()
}

/// Completes a message by the body that its head_length tells of.
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

/// Reads a request from the beginning of these bytes; `None` while it is not whole.
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

/// Reads a response; `None` while it is not whole.
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

/// Writes a request with a body of known length.
pub fn write_request(method: &str, target: &str, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}

/// Writes a response with a body of known length.
pub fn write_response(status: u16, reason: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// Frames one chunk of a chunked answer.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}
