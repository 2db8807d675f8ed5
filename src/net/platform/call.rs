//! One outgoing HTTP call to discovery or to a control machine: writes the request and reads a status, a list
//! or a watch.

use crate::net::core::buffer::{Buffer, FillOutcome};
use crate::net::http::framing;
use mio::net::TcpStream;
use serde::de::DeserializeOwned;

/// Maximum size of a list or of a change, in bytes, including indentation.
pub(super) const LIST_LIMIT: usize = 2 << 20;

/// A connection that carries one call.
pub(super) struct Call {
    pub(super) token: usize,
    pub(super) stream: TcpStream,
    pub(super) buffer: Buffer,
    /// The head of the response has been read.
    pub(super) head_received: bool,
    /// Input that is not yet a complete change.
    pub(super) pending: Vec<u8>,
}

/// Writes the request and reads input; `Ok(None)` while the connection is not established or the request is
/// not fully written.
fn flush_and_fill(call: &mut Call) -> Result<Option<FillOutcome>, &'static str> {
    if !matches!(call.stream.take_error(), Ok(None)) {
        return Err("the connection was refused or reset");
    }
    if call.stream.peer_addr().is_err() {
        return Ok(None);
    }
    match call.buffer.flush(&mut call.stream) {
        Ok(true) => Ok(Some(call.buffer.fill(&mut call.stream, LIST_LIMIT))),
        Ok(false) => Ok(None),
        Err(_) => Err("the connection broke"),
    }
}

/// Reads the response to a call of which only the status matters. Returns whether it has arrived.
pub(super) fn read_status(call: &mut Call) -> Result<bool, &'static str> {
    let Some(filled) = flush_and_fill(call)? else { return Ok(false) };
    match framing::parse_response(call.buffer.input()) {
        Ok(Some((response, _))) if (200..300).contains(&response.status) => Ok(true),
        Ok(Some(_)) => Err("the call failed with an unexpected status"),
        Ok(None) if filled == FillOutcome::WouldBlock => Ok(false),
        Ok(None) => Err("the connection was closed before the response was complete"),
        Err(_) => Err("the response is malformed"),
    }
}

/// Reads the response to a call for the whole list; `Ok(None)` while it is incomplete.
pub(super) fn read_list<T: DeserializeOwned>(call: &mut Call) -> Result<Option<T>, &'static str> {
    let Some(filled) = flush_and_fill(call)? else { return Ok(None) };
    match framing::parse_response_with_limit(call.buffer.input(), LIST_LIMIT) {
        Ok(Some((response, _))) if response.status == 200 => {
            serde_json::from_slice(&response.body).map(Some).map_err(|_| "the list is malformed")
        }
        Ok(Some(_)) => Err("the call failed with an unexpected status"),
        Ok(None) if filled == FillOutcome::WouldBlock => Ok(None),
        Ok(None) => Err("the connection was closed before the response was complete"),
        Err(_) => Err("the response is malformed"),
    }
}

/// The input that a read of a watch brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchInput {
    /// No input, or only the head of the response.
    None,
    /// Input that ends within a change.
    Partial,
    /// Complete changes or an empty line, and no part of a further change.
    Complete,
}

/// The result of reading a watch, with the reason for its end if it ended.
pub(super) struct WatchRead {
    pub(super) input: WatchInput,
    /// There may be more input, which no readiness event will report.
    pub(super) has_more: bool,
    pub(super) end: Option<&'static str>,
}

/// Reads a watch, up to [`LIST_LIMIT`], and appends the complete changes to `updates`, also those that arrived before
/// its end.
pub(super) fn read_watch<T: DeserializeOwned>(call: &mut Call, updates: &mut Vec<T>) -> WatchRead {
    let mut chunks = 0_u32;
    let result = read_chunks(call, updates, &mut chunks);
    let has_more = result == Ok(true);
    let input = match chunks {
        0 => WatchInput::None,
        _ if call.pending.is_empty() && !has_more => WatchInput::Complete,
        _ => WatchInput::Partial,
    };
    WatchRead { input, has_more, end: result.err() }
}

/// Reads input once and counts the chunks. Returns whether there may be more.
fn read_chunks<T: DeserializeOwned>(
    call: &mut Call,
    updates: &mut Vec<T>,
    chunks: &mut u32,
) -> Result<bool, &'static str> {
    let Some(filled) = flush_and_fill(call)? else { return Ok(false) };
    if !call.head_received {
        match framing::parse_response_head(call.buffer.input()) {
            Ok(Some((response, _))) if response.status != 200 => return Err("the watch was refused"),
            Ok(Some((_, length))) => {
                call.head_received = true;
                call.buffer.consume(length);
            }
            Ok(None) => {}
            Err(_) => return Err("the response is malformed"),
        }
    }
    while call.head_received {
        let chunk = framing::parse_chunk(call.buffer.input(), LIST_LIMIT);
        let Ok(chunk) = chunk else { return Err("the watch is malformed") };
        let Some((data, length)) = chunk else { break };
        // The last chunk of a response is empty.
        if data.is_empty() {
            return Err("the watch ended");
        }
        call.pending.extend_from_slice(data);
        call.buffer.consume(length);
        read_changes(&mut call.pending, updates)?;
        *chunks = chunks.saturating_add(1);
    }
    match filled {
        FillOutcome::WouldBlock => Ok(false),
        FillOutcome::Closed => Err("the watch broke"),
        FillOutcome::LimitReached if call.buffer.input().len() >= LIST_LIMIT => Err("the watch is malformed"),
        FillOutcome::LimitReached => Ok(true),
    }
}

/// Removes complete changes from the start of `text` and appends them to `updates`. A change may stand on one
/// line or be indented over several. It is complete with its last brace, wherever the lines and the chunks
/// end.
fn read_changes<T: DeserializeOwned>(text: &mut Vec<u8>, updates: &mut Vec<T>) -> Result<(), &'static str> {
    // Input that does not end in a brace cannot end in a complete change. This avoids parsing a long change
    // again with each of its chunks.
    if text.trim_ascii_end().ends_with(b"}") {
        let mut values = serde_json::Deserializer::from_slice(text).into_iter::<T>();
        let mut complete = 0;
        while let Some(next) = values.next() {
            match next {
                Ok(update) => {
                    complete = values.byte_offset();
                    updates.push(update);
                }
                Err(error) if error.is_eof() => break,
                // An unreadable change is a gap: the watch is opened again from the last applied version.
                Err(_) => return Err("a change is malformed"),
            }
        }
        text.drain(..complete);
    }
    if text.trim_ascii().is_empty() {
        text.clear();
    }
    if text.len() > LIST_LIMIT { Err("a change exceeds the size limit") } else { Ok(()) }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::worker_list::ListUpdate;
    use std::io::Write;

    /// One change as a chunk of a watch.
    const CHANGE: &[u8] = b"a\r\n{\"seq\":5}\n\r\n";
    /// Number of changes that the peer of [`flooded_watch`] sends: several times what one read of a watch may take.
    const SENT_CHANGES: usize = 4 * LIST_LIMIT / CHANGE.len();

    /// A call for a watch whose peer sends changes without pause, and closes the connection.
    fn flooded_watch() -> Call {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binding a free port");
        let address = listener.local_addr().expect("local address of the listener");
        let stream = std::net::TcpStream::connect(address).expect("connecting to the listener");
        stream.set_nonblocking(true).expect("making the stream non-blocking");
        std::thread::spawn(move || {
            let (mut peer, _) = listener.accept().expect("accepting the connection");
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            peer.write_all(&[head, CHANGE.repeat(SENT_CHANGES).as_slice()].concat())
                .expect("sending changes");
        });
        let (stream, buffer) = (TcpStream::from_std(stream), Buffer::default());
        Call { token: 1, stream, buffer, head_received: false, pending: Vec::new() }
    }

    // Guards against an iteration of the event loop that lasts as long as the peer of a watch sends.
    #[test]
    fn one_read_of_a_watch_takes_a_bounded_amount_of_input_and_reports_the_rest() {
        let (mut call, mut received) = (flooded_watch(), 0);
        loop {
            let mut updates = Vec::<ListUpdate>::new();
            let WatchRead { input, has_more, end } = read_watch(&mut call, &mut updates);
            assert!(updates.len() * CHANGE.len() <= LIST_LIMIT + 16 * 1024, "{} changes", updates.len());
            assert!(!(has_more && input == WatchInput::Complete), "unread input may hold a part of a change");
            received += updates.len();
            if end.is_some() {
                break;
            }
        }
        assert_eq!(received, SENT_CHANGES);
    }

    fn summarize(updates: &[ListUpdate]) -> Vec<(u64, bool, usize)> {
        updates.iter().map(|update| (update.seq, update.whole, update.hosts.len())).collect()
    }

    #[test]
    fn changes_split_over_chunks_are_read_and_a_malformed_one_is_an_error() {
        let mut updates = Vec::new();
        let mut text = b"\n{\"seq\":5}\r\n{\"seq\":6,\"who".to_vec();
        assert_eq!(read_changes(&mut text, &mut updates), Ok(()));
        text.extend_from_slice(b"le\":true}\n\n");
        assert_eq!(read_changes(&mut text, &mut updates), Ok(()));
        assert_eq!(summarize(&updates), [(5, false, 0), (6, true, 0)]);
        assert!(text.is_empty());
        assert!(read_changes(&mut b"{\"seq\":\n}".to_vec(), &mut updates).is_err());
        let mut too_long = vec![b' '; LIST_LIMIT];
        too_long.extend_from_slice(b"{\"seq");
        assert!(read_changes(&mut too_long, &mut updates).is_err());
    }

    #[test]
    fn indented_list_is_read_regardless_of_how_it_is_split() {
        let hosts: Vec<_> = (0..40)
            .map(|nr| serde_json::json!({"host": format!("s-{nr}"), "note": "a } in text\n"}))
            .collect();
        let full = serde_json::json!({"seq": 7, "whole": true, "hosts": hosts});
        let change = serde_json::json!({"seq": 8, "whole": false, "hosts": []});
        let pretty = |value| serde_json::to_string_pretty(value).expect("serializing a list");
        let all = format!("{}\n\n{}\n", pretty(&full), pretty(&change));
        for size in [1, 2, 7, 64, 1_000, all.len()] {
            let (mut text, mut updates) = (Vec::new(), Vec::new());
            for part in all.as_bytes().chunks(size) {
                text.extend_from_slice(part);
                assert_eq!(read_changes(&mut text, &mut updates), Ok(()), "in parts of {size} bytes");
            }
            assert_eq!(summarize(&updates), [(7, true, 40), (8, false, 0)], "in parts of {size} bytes");
            assert!(text.is_empty(), "in parts of {size} bytes");
        }
    }
}
