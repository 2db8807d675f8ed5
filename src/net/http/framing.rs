//! Framing of HTTP/1.1: whole messages out of bytes and back. What they mean is the business of others.

use crate::net::core::envelope::Headers;
use std::fmt::Write;

/// The largest body that is taken.
pub const BODY_LIMIT: usize = 64 * 1024;
/// The largest head that is taken.
pub const HEAD_LIMIT: usize = 16 * 1024;
/// Bytes that a connection may hold unread: a whole message, chunked in small pieces.
pub const MESSAGE_LIMIT: usize = HEAD_LIMIT + 2 * BODY_LIMIT;
const HEADERS: usize = 64;

/// Why a message cannot be taken, as the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reject(pub u16);

const MALFORMED: Reject = Reject(400);

fn read_headers(raw: &[httparse::Header<'_>]) -> Result<Headers, Reject> {
    let line = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value).map_err(|_| MALFORMED)?;
        Ok((header.name.to_owned(), value.trim().to_owned()))
    };
    raw.iter().map(line).collect()
}

fn lists(headers: &Headers, name: &str, word: &str) -> bool {
    let mut values = headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
    values.any(|(_, value)| value.split(',').any(|part| part.trim().eq_ignore_ascii_case(word)))
}

fn keep_alive(headers: &Headers, version: u8) -> bool {
    if version == 0 {
        lists(headers, "connection", "keep-alive")
    } else {
        !lists(headers, "connection", "close")
    }
}

/// A whole request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query, as they came.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// The body, without its framing.
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

/// The value of a query parameter of a target.
pub fn query_parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name)).map(|pair| pair.1)
}

/// A response: its head, and its body if the framing told where that ends.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The body, without its framing.
    pub body: Vec<u8>,
    /// Another request may follow on this connection.
    pub keep_alive: bool,
}

/// Reads a request from the beginning of these bytes; gives it with its length, or `None` while it is not whole.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(Request, usize)>, Reject> {
    parse_request_with_limit(bytes, BODY_LIMIT)
}

/// The same, with a body of this size at most.
pub fn parse_request_with_limit(bytes: &[u8], limit: usize) -> Result<Option<(Request, usize)>, Reject> {
    let mut raw = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Request::new(&mut raw);
    let head = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head)) if head <= HEAD_LIMIT => head,
        Ok(httparse::Status::Partial) if bytes.len() <= HEAD_LIMIT => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Reject(431)),
        Err(_) => return Err(MALFORMED),
    };
    let headers = read_headers(parsed.headers)?;
    let Some((body, length)) = body(&bytes[head..], &headers, limit)? else { return Ok(None) };
    let request = Request {
        method: parsed.method.unwrap_or("").to_owned(),
        target: parsed.path.unwrap_or("").to_owned(),
        keep_alive: keep_alive(&headers, parsed.version.unwrap_or(0)),
        headers,
        body,
    };
    Ok(Some((request, head + length)))
}

/// Reads the head of a response; gives it with its length.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<(Response, usize)>, Reject> {
    let mut raw = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Response::new(&mut raw);
    let head = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head)) if head <= HEAD_LIMIT => head,
        Ok(httparse::Status::Partial) if bytes.len() <= HEAD_LIMIT => return Ok(None),
        Ok(_) | Err(_) => return Err(MALFORMED),
    };
    let headers = read_headers(parsed.headers)?;
    let keep_alive = keep_alive(&headers, parsed.version.unwrap_or(0));
    Ok(Some((Response { status: parsed.code.unwrap_or(0), headers, body: Vec::new(), keep_alive }, head)))
}

/// Reads a whole response; gives it with its length. One whose framing does not tell where its body ends is
/// whole with its head, and its connection is used no more.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(Response, usize)>, Reject> {
    parse_response_with_limit(bytes, BODY_LIMIT)
}

/// The same, with a body of this size at most.
pub fn parse_response_with_limit(bytes: &[u8], limit: usize) -> Result<Option<(Response, usize)>, Reject> {
    let Some((mut response, head)) = parse_response_head(bytes)? else { return Ok(None) };
    if (100..200).contains(&response.status) {
        // Only news that an answer will come: that one follows.
        let rest = parse_response_with_limit(&bytes[head..], limit)?;
        return Ok(rest.map(|(response, length)| (response, head + length)));
    }
    let framed = response.headers.get("content-length").is_some() || chunked(&response.headers);
    if !framed || matches!(response.status, 204 | 304) {
        response.keep_alive &= matches!(response.status, 204 | 304);
        return Ok(Some((response, head)));
    }
    let Some((body, length)) = body(&bytes[head..], &response.headers, limit)? else { return Ok(None) };
    response.body = body;
    Ok(Some((response, head + length)))
}

fn chunked(headers: &Headers) -> bool {
    headers.get("transfer-encoding").is_some()
}

fn body(bytes: &[u8], headers: &Headers, limit: usize) -> Result<Option<(Vec<u8>, usize)>, Reject> {
    let lengths: Vec<&str> =
        headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length")).map(|h| h.1).collect();
    if chunked(headers) {
        // Two framings in one message are how requests are smuggled past a front.
        if !lengths.is_empty() || !lists(headers, "transfer-encoding", "chunked") {
            return Err(MALFORMED);
        }
        let mut body = Vec::new();
        let mut at = 0;
        loop {
            let Some((part, length)) = parse_chunk(&bytes[at..], limit)? else { return Ok(None) };
            at += length;
            if part.is_empty() {
                return Ok(Some((body, at)));
            }
            body.extend_from_slice(part);
            if body.len() > limit {
                return Err(Reject(413));
            }
        }
    }
    let Some(&text) = lengths.first() else { return Ok(Some((Vec::new(), 0))) };
    if lengths.iter().any(|&other| other != text) || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(MALFORMED);
    }
    let length: usize = text.parse().map_err(|_| if text.is_empty() { MALFORMED } else { Reject(413) })?;
    if length > limit {
        return Err(Reject(413));
    }
    Ok(bytes.get(..length).map(|body| (body.to_vec(), length)))
}

/// Reads one chunk of this size at most; gives what it holds and its length with the framing. An empty one is the last.
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
        // Trailers, if any, up to an empty line.
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

fn reason(status: u16) -> &'static str {
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

/// Writes a response.
pub fn write_response(status: u16, extra: &[(&str, &str)], body: &[u8], keep_alive: bool) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    // 204 says by itself that no body follows.
    if status != 204 {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    write_headers(&mut head, extra);
    if !keep_alive {
        head.push_str("Connection: close\r\n");
    }
    finish(head, body)
}

/// Writes a request.
pub fn write_request(method: &str, target: &str, extra: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    write_headers(&mut head, extra);
    if !body.is_empty() || method == "POST" {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    finish(head, body)
}

fn write_headers(head: &mut String, extra: &[(&str, &str)]) {
    for (name, value) in extra {
        let _ = write!(head, "{name}: {value}\r\n");
    }
}

fn finish(mut head: String, body: &[u8]) -> Vec<u8> {
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_whole_only_with_its_last_byte() {
        let text = b"POST /render?obj=7f HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbodyGET";
        for cut in 0..text.len() - 3 {
            assert!(parse_request(&text[..cut]).expect("nothing is wrong with it").is_none(), "cut at {cut}");
        }
        let (whole, length) = parse_request(text).expect("well formed").expect("whole");
        assert_eq!(
            (whole.path(), query_parameter(&whole.target, "obj"), whole.body.as_slice()),
            ("/render", Some("7f"), &b"body"[..])
        );
        assert_eq!(length, text.len() - 3);
        assert!(whole.keep_alive);
    }

    #[test]
    fn chunks_are_put_together_and_bad_framing_is_turned_away() {
        let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        let text = format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        let (whole, length) = parse_request(text.as_bytes()).expect("well formed").expect("whole");
        assert_eq!((whole.body.as_slice(), length), (&b"abcde"[..], text.len()));
        let status = |text: &str| parse_request(text.as_bytes()).expect_err("it is bad").0;
        assert_eq!(status(&format!("{head}3\r\nabcde\r\n")), 400);
        assert_eq!(status(&format!("{head}fffff\r\n")), 413);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"), 413);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"), 400);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
        assert_eq!(status("NOT\u{1} HTTP\r\n\r\n"), 400);
        assert_eq!(status(&format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(HEAD_LIMIT))), 431);
    }

    #[test]
    fn a_response_without_framing_ends_its_connection() {
        let (plain, _) = parse_response(b"HTTP/1.1 202 Accepted\r\n\r\n").expect("fine").expect("whole");
        assert!(!plain.keep_alive);
        let text = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
        let (framed, length) = parse_response(text).expect("fine").expect("whole");
        assert_eq!((framed.status, framed.keep_alive, length), (202, true, text.len()));
    }
}
