//! Framing of HTTP/1.1: parses complete messages from bytes and writes them. It does not interpret their
//! content.

use crate::net::core::envelope::Headers;
use crate::net::http::body_decoder::BodyDecoder;
use std::fmt::Write;

/// Largest accepted body, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Largest accepted head, in bytes.
pub const HEAD_LIMIT: usize = 16 * 1024;
/// Unread bytes that a connection may hold: a complete message in chunks that are small enough to double its
/// size.
pub const MESSAGE_LIMIT: usize = HEAD_LIMIT + 2 * BODY_LIMIT;
/// Largest accepted number of headers.
const MAX_HEADERS: usize = 64;

/// The HTTP status that explains why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reject(pub u16);

pub(super) const MALFORMED: Reject = Reject(400);

fn read_headers(parsed_headers: &[httparse::Header<'_>]) -> Result<Headers, Reject> {
    let to_pair = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value).map_err(|_| MALFORMED)?;
        Ok((header.name.to_owned(), value.trim().to_owned()))
    };
    parsed_headers.iter().map(to_pair).collect()
}

pub(super) fn has_token(headers: &Headers, name: &str, token: &str) -> bool {
    let mut values = headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
    values.any(|(_, value)| value.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
}

fn is_keep_alive(headers: &Headers, version: u8) -> bool {
    if version == 0 {
        has_token(headers, "connection", "keep-alive")
    } else {
        !has_token(headers, "connection", "close")
    }
}

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query as received.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// The body without its framing.
    pub body: Vec<u8>,
    /// Another request may follow on this connection.
    pub keep_alive: bool,
}

impl Request {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// Returns the value of a query parameter of a request target.
pub fn query_parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name)).map(|pair| pair.1)
}

/// A response with its head, and with its body if the framing delimits one.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The body without its framing.
    pub body: Vec<u8>,
    /// Another request may follow on this connection.
    pub keep_alive: bool,
}

/// Parses a request at the start of `bytes`, with a body of at most `limit` bytes. Returns it with its length, or `None`
/// while it is incomplete.
pub fn parse_request_with_limit(bytes: &[u8], limit: usize) -> Result<Option<(Request, usize)>, Reject> {
    let Some((mut request, head)) = parse_request_head(bytes)? else { return Ok(None) };
    let Some((body, length)) = parse_body(&bytes[head..], &request.headers, limit)? else { return Ok(None) };
    request.body = body;
    Ok(Some((request, head + length)))
}

/// Parses the head of a request. Returns the request, without its body, and the length of the head, or `None` while it is
/// incomplete.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<(Request, usize)>, Reject> {
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut header_slots);
    let head = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head)) if head <= HEAD_LIMIT => head,
        Ok(httparse::Status::Partial) if bytes.len() <= HEAD_LIMIT => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Reject(431)),
        Err(_) => return Err(MALFORMED),
    };
    let headers = read_headers(parsed.headers)?;
    let request = Request {
        method: parsed.method.unwrap_or("").to_owned(),
        target: parsed.path.unwrap_or("").to_owned(),
        keep_alive: is_keep_alive(&headers, parsed.version.unwrap_or(0)),
        headers,
        body: Vec::new(),
    };
    Ok(Some((request, head)))
}

/// Parses the head of a response. Returns it with its length, or `None` while it is incomplete.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<(Response, usize)>, Reject> {
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut header_slots);
    let head = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head)) if head <= HEAD_LIMIT => head,
        Ok(httparse::Status::Partial) if bytes.len() <= HEAD_LIMIT => return Ok(None),
        Ok(_) | Err(_) => return Err(MALFORMED),
    };
    let headers = read_headers(parsed.headers)?;
    let keep_alive = is_keep_alive(&headers, parsed.version.unwrap_or(0));
    Ok(Some((Response { status: parsed.code.unwrap_or(0), headers, body: Vec::new(), keep_alive }, head)))
}

/// Parses a complete response. Returns it with its length, or `None` while it is incomplete. A response whose
/// framing does not delimit the body is complete with its head, and its connection is not used again.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(Response, usize)>, Reject> {
    parse_response_with_limit(bytes, BODY_LIMIT)
}

/// Parses a response like [`parse_response`], with a body of at most `limit` bytes.
pub fn parse_response_with_limit(bytes: &[u8], limit: usize) -> Result<Option<(Response, usize)>, Reject> {
    let mut head = 0;
    let mut response = loop {
        let Some((response, length)) = parse_response_head(&bytes[head..])? else { return Ok(None) };
        head += length;
        // The final response follows an informational one.
        if !(100..200).contains(&response.status) {
            break response;
        }
    };
    let framed = response.headers.get("content-length").is_some() || has_transfer_encoding(&response.headers);
    if !framed || matches!(response.status, 204 | 304) {
        response.keep_alive &= matches!(response.status, 204 | 304);
        return Ok(Some((response, head)));
    }
    let Some((body, length)) = parse_body(&bytes[head..], &response.headers, limit)? else { return Ok(None) };
    response.body = body;
    Ok(Some((response, head + length)))
}

pub(super) fn has_transfer_encoding(headers: &Headers) -> bool {
    headers.get("transfer-encoding").is_some()
}

fn parse_body(bytes: &[u8], headers: &Headers, limit: usize) -> Result<Option<(Vec<u8>, usize)>, Reject> {
    let mut decoder = BodyDecoder::new(headers, limit)?;
    let length = decoder.decode(bytes)?;
    Ok(decoder.is_complete().then(|| (decoder.into_body(), length)))
}

/// Parses one chunk of at most `limit` bytes. Returns its data and its length including the framing. The last
/// chunk is empty.
pub fn parse_chunk(bytes: &[u8], limit: usize) -> Result<Option<(&[u8], usize)>, Reject> {
    let (head, size) = match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete(found)) => found,
        Ok(httparse::Status::Partial) if bytes.len() <= HEAD_LIMIT => return Ok(None),
        _ => return Err(MALFORMED),
    };
    if size > limit as u64 {
        return Err(Reject(413));
    }
    if size == 0 {
        // Optional trailers end with an empty line.
        let mut at = head;
        loop {
            let Some(end) = bytes[at..].windows(2).position(|pair| pair == b"\r\n") else {
                return if bytes.len() <= head + HEAD_LIMIT { Ok(None) } else { Err(Reject(431)) };
            };
            at += end + 2;
            if end == 0 {
                return Ok(Some((&[], at)));
            }
        }
    }
    let end = head + size as usize;
    match bytes.get(end..end + 2) {
        Some(b"\r\n") => Ok(Some((&bytes[head..end], end + 2))),
        Some(_) => Err(MALFORMED),
        None => Ok(None),
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        408 => "Request Timeout",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Encodes a response.
pub fn write_response(status: u16, extra: &[(&str, &str)], body: &[u8], keep_alive: bool) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    // A 204 response has no body and no length.
    if status != 204 {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    write_headers(&mut head, extra);
    if !keep_alive {
        head.push_str("Connection: close\r\n");
    }
    assemble(head, body)
}

/// Encodes a request.
pub fn write_request(method: &str, target: &str, extra: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    write_headers(&mut head, extra);
    if !body.is_empty() || method == "POST" {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    assemble(head, body)
}

fn write_headers(head: &mut String, extra: &[(&str, &str)]) {
    for (name, value) in extra {
        let _ = write!(head, "{name}: {value}\r\n");
    }
}

fn assemble(mut head: String, body: &[u8]) -> Vec<u8> {
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse_request(bytes: &[u8]) -> Result<Option<(Request, usize)>, Reject> {
        parse_request_with_limit(bytes, BODY_LIMIT)
    }

    #[test]
    fn request_is_complete_only_with_its_last_byte() {
        let text = b"POST /render?obj=7f HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbodyGET";
        for cut in 0..text.len() - 3 {
            assert!(
                parse_request(&text[..cut]).expect("a truncated request is not malformed").is_none(),
                "cut at {cut}"
            );
        }
        let (request, length) =
            parse_request(text).expect("the request is well formed").expect("the request is complete");
        assert_eq!(
            (request.path(), query_parameter(&request.target, "obj"), request.body.as_slice()),
            ("/render", Some("7f"), &b"body"[..])
        );
        assert_eq!(length, text.len() - 3);
        assert!(request.keep_alive);
    }

    #[test]
    fn chunked_body_is_reassembled_and_malformed_framing_is_rejected() {
        let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        let text = format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        let (request, length) = parse_request(text.as_bytes())
            .expect("the request is well formed")
            .expect("the request is complete");
        assert_eq!((request.body.as_slice(), length), (&b"abcde"[..], text.len()));
        let status = |text: &str| parse_request(text.as_bytes()).expect_err("the request is malformed").0;
        assert_eq!(status(&format!("{head}3\r\nabcde\r\n")), 400);
        assert_eq!(status(&format!("{head}fffff\r\n")), 413);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"), 413);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"), 400);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
        assert_eq!(status("NOT\u{1} HTTP\r\n\r\n"), 400);
        assert_eq!(status(&format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(HEAD_LIMIT))), 431);
    }

    // Guards against a stack overflow through informational responses, of which a worker may send any number.
    #[test]
    fn any_number_of_informational_responses_is_skipped() {
        let informational = "HTTP/1.1 100 C\r\n\r\n";
        let count = MESSAGE_LIMIT / informational.len();
        let text =
            format!("{}HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", informational.repeat(count));
        let (response, length) = parse_response(text.as_bytes())
            .expect("the response is well formed")
            .expect("the response is complete");
        assert_eq!((response.status, length), (202, text.len()));
        assert!(parse_response(informational.repeat(count).as_bytes()).is_ok_and(|parsed| parsed.is_none()));
    }

    #[test]
    fn response_without_framing_closes_its_connection() {
        let (unframed, _) = parse_response(b"HTTP/1.1 202 Accepted\r\n\r\n")
            .expect("the response is well formed")
            .expect("the response is complete");
        assert!(!unframed.keep_alive);
        let text = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
        let (framed, length) =
            parse_response(text).expect("the response is well formed").expect("the response is complete");
        assert_eq!((framed.status, framed.keep_alive, length), (202, true, text.len()));
    }
}
