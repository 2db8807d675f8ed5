//! Tests of the parsing of requests that arrive in parts.

use super::*;
use crate::net::core::memory::{MemoryAccount, MemoryUse};
use std::time::{Duration, Instant};

/// Parses input that arrives in pieces of `size` bytes. Returns the complete requests.
fn parse(parser: &mut RequestParser, input: &[u8], size: usize) -> Result<Vec<Request>, Reject> {
    let mut requests = Vec::new();
    let mut pending = Vec::new();
    for piece in input.chunks(size) {
        pending.extend_from_slice(piece);
        loop {
            let (processed, request) = parser.parse(&pending)?;
            pending.drain(..processed);
            let Some(request) = request else { break };
            requests.push(request);
        }
    }
    Ok(requests)
}

#[test]
fn requests_are_the_same_however_their_input_is_cut() {
    let input = b"POST /a?obj=1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody\
        \r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n\
        POST /c HTTP/1.1\nTransfer-Encoding: chunked\n\n2\r\nxy\r\n0\r\n\r\n";
    for size in 1..=input.len() {
        let requests =
            parse(&mut RequestParser::default(), input, size).expect("the requests are well formed");
        let summary: Vec<_> = requests
            .iter()
            .map(|request| (request.path(), request.body.as_slice(), request.keep_alive))
            .collect();
        let expected = [("/a", &b"body"[..], true), ("/b", b"", false), ("/c", b"xy", true)];
        assert_eq!(summary, expected, "pieces of {size}");
    }
}

#[test]
fn malformed_heads_are_rejected_before_their_end() {
    let status = |input: &[u8], size| {
        parse(&mut RequestParser::default(), input, size).expect_err("the request is malformed").0
    };
    for size in [1, 7, 1_000] {
        assert_eq!(
            status(&[b"NOT\x01 HTTP".as_slice(), &[b'x'; 20]].concat(), size),
            400,
            "pieces of {size}"
        );
        let endless = [b"GET / HTTP/1.1\r\nA: ".as_slice(), &vec![b'x'; HEAD_LIMIT]].concat();
        assert_eq!(status(&endless, size), 431, "pieces of {size}");
        let many = [b"GET / HTTP/1.1\r\n".as_slice(), &b"A: 1\r\n".repeat(130)].concat();
        assert_eq!(status(&many, size), 431, "pieces of {size}");
    }
}

// Guards against work that grows with the square of a request's size where it arrives in many parts.
#[test]
fn request_in_the_smallest_parts_costs_little_more_than_a_whole_one() {
    let head = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let input = [head.as_bytes(), &b"1\r\nx\r\n".repeat(60_000), b"0\r\n\r\n"].concat();
    let started = Instant::now();
    let requests = parse(&mut RequestParser::default(), &input, 6).expect("the request is well formed");
    assert_eq!(requests[0].body.len(), 60_000);
    // Parsed again from the start at each part, it would take minutes.
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

#[test]
fn memory_of_an_incomplete_request_is_charged_until_it_is_complete_or_discarded() {
    let account = MemoryAccount::new(0);
    let mut parser = RequestParser::new(account.charge(MemoryUse::Connection));
    let input = [b"POST /a HTTP/1.1\r\nContent-Length: 9000\r\n\r\n".as_slice(), &[b'x'; 8_000]].concat();
    let (processed, request) = parser.parse(&input).expect("the request is well formed");
    assert!(request.is_none() && processed == input.len() && parser.is_in_body() && parser.receives("/a"));
    assert!((8_000..17_000).contains(&account.used()), "{}", account.used());
    assert!(parser.parse(&[b'x'; 1_000]).expect("the request is well formed").1.is_some());
    assert_eq!((account.used(), parser.is_in_body()), (0, false));
    parser.parse(&input).expect("the request is well formed");
    parser.reset();
    assert_eq!((account.used(), parser.is_in_body()), (0, false));
}
