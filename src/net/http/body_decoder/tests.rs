//! Tests of the decoding of bodies that arrive in parts.

use super::*;

fn decoder(lines: &[(&str, &str)], limit: usize) -> Result<BodyDecoder, Reject> {
    let headers = lines.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
    BodyDecoder::new(&headers, limit)
}

/// Decodes input that arrives in pieces of `size` bytes. Returns the body, if it is complete, and the bytes behind it.
fn decode(lines: &[(&str, &str)], input: &[u8], size: usize) -> Result<(Option<Vec<u8>>, Vec<u8>), Reject> {
    let mut decoder = decoder(lines, 64)?;
    let mut pending = Vec::new();
    for piece in input.chunks(size) {
        pending.extend_from_slice(piece);
        let processed = decoder.decode(&pending)?;
        pending.drain(..processed);
    }
    Ok((decoder.is_complete().then(|| decoder.into_body()), pending))
}

const CHUNKED: &[(&str, &str)] = &[("Transfer-Encoding", "chunked")];

#[test]
fn body_is_the_same_however_its_input_is_cut() {
    let chunked = b"3;note=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\nnext";
    for size in 1..=chunked.len() {
        let (body, rest) = decode(CHUNKED, chunked, size).expect("the body is well formed");
        assert_eq!(
            (body.as_deref(), rest.as_slice()),
            (Some(&b"abcde"[..]), &b"next"[..]),
            "pieces of {size}"
        );
        let lines = [("Content-Length", "5")];
        let (body, rest) = decode(&lines, b"abcdenext", size).expect("the body is well formed");
        assert_eq!(
            (body.as_deref(), rest.as_slice()),
            (Some(&b"abcde"[..]), &b"next"[..]),
            "pieces of {size}"
        );
    }
    assert_eq!(decode(&[], b"next", 1).expect("no body"), (Some(Vec::new()), b"next".to_vec()));
}

#[test]
fn malformed_and_large_bodies_are_rejected() {
    let status =
        |lines: &[(&str, &str)], input: &[u8]| decode(lines, input, 1).expect_err("the body is invalid").0;
    assert_eq!(status(CHUNKED, b"x\r\n"), 400);
    assert_eq!(status(CHUNKED, b"1\r\nabc"), 400);
    assert_eq!(status(CHUNKED, b"41\r\n"), 413);
    assert_eq!(status(CHUNKED, &[b"40\r\n".as_slice(), &[b'x'; 64], b"\r\n1\r\n"].concat()), 413);
    assert_eq!(status(CHUNKED, &[b"0\r\n".as_slice(), &vec![b'x'; HEAD_LIMIT + 1]].concat()), 431);
    assert_eq!(status(&[("Content-Length", "65")], b"x"), 413);
    assert_eq!(status(&[("Content-Length", "99999999999999999999999")], b"x"), 413);
    assert_eq!(status(&[("Content-Length", "")], b"x"), 400);
    assert_eq!(status(&[("Content-Length", "+1")], b"x"), 400);
    assert_eq!(status(&[("Content-Length", "1"), ("content-length", "2")], b"x"), 400);
    assert_eq!(status(&[("Content-Length", "1"), ("Transfer-Encoding", "chunked")], b"x"), 400);
    assert_eq!(status(&[("Transfer-Encoding", "gzip")], b"x"), 400);
}

// Guards against memory for what a client has announced and not sent, and for the framing of small chunks.
#[test]
fn body_takes_no_more_memory_than_twice_what_was_received() {
    let mut announced = decoder(&[("Content-Length", "65536")], 65_536).expect("the length is valid");
    announced.decode(&[b'x'; 100]).expect("the body is well formed");
    assert!(announced.memory() <= INITIAL_CAPACITY, "{}", announced.memory());
    announced.decode(&[b'x'; 65_436]).expect("the body is well formed");
    assert_eq!((announced.is_complete(), announced.memory()), (true, 65_536));
    let mut chunked = decoder(CHUNKED, 65_536).expect("the framing is valid");
    for _ in 0..20_000 {
        assert_eq!(chunked.decode(b"1\r\nx\r\n"), Ok(6));
    }
    assert!(chunked.memory() <= 40_000, "{}", chunked.memory());
}
