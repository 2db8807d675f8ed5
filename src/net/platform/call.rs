//! One connection to discovery or a control machine: what goes out on it, and how what comes back is read.

use crate::net::core::buffer::{Buffer, Filled};
use crate::net::http::framing;
use mio::net::TcpStream;
use serde::de::DeserializeOwned;

/// What the whole list may take, indented and all.
pub(super) const LIST_LIMIT: usize = 2 << 20;

pub(super) struct Call {
    pub(super) token: usize,
    pub(super) stream: TcpStream,
    pub(super) buffer: Buffer,
    /// The head of the answer has come.
    pub(super) open: bool,
    /// What has come and is not yet a whole change.
    pub(super) text: Vec<u8>,
}

/// Writes and reads; `Ok(None)` while the connection is not up or has not been written to.
fn pump(call: &mut Call) -> Result<Option<Filled>, &'static str> {
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

/// Reads the answer to a call that wants none but a status of success; tells whether it has come.
pub(super) fn done(call: &mut Call) -> Result<bool, &'static str> {
    let Some(filled) = pump(call)? else { return Ok(false) };
    match framing::response(call.buffer.input()) {
        Ok(Some((response, _))) if (200..300).contains(&response.status) => Ok(true),
        Ok(Some(_)) => Err("the call failed"),
        Ok(None) if filled == Filled::Dry => Ok(false),
        Ok(None) => Err("the connection ended"),
        Err(_) => Err("the answer is malformed"),
    }
}

/// Reads the answer to a call for the whole list.
pub(super) fn fetched<T: DeserializeOwned>(call: &mut Call) -> Result<Option<T>, &'static str> {
    let Some(filled) = pump(call)? else { return Ok(None) };
    match framing::response_within(call.buffer.input(), LIST_LIMIT) {
        Ok(Some((response, _))) if response.status == 200 => {
            serde_json::from_slice(&response.body).map(Some).map_err(|_| "the list is malformed")
        }
        Ok(Some(_)) => Err("the call failed"),
        Ok(None) if filled == Filled::Dry => Ok(None),
        Ok(None) => Err("the connection ended"),
        Err(_) => Err("the answer is malformed"),
    }
}

/// How much of a word a watch has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Word {
    /// Nothing, or the head of its answer.
    None,
    /// Bytes of a change that is not whole yet.
    Partial,
    /// Whole changes or an empty line, and no part of a further change.
    Whole,
}

/// What a watch has brought, and why it ended if it did.
pub(super) struct Heard {
    pub(super) word: Word,
    pub(super) end: Option<&'static str>,
}

/// Reads what the watch has brought. Whole changes that came before its end count.
pub(super) fn watched<T: DeserializeOwned>(call: &mut Call, updates: &mut Vec<T>) -> Heard {
    let mut chunks = 0_u32;
    let end = read_watch(call, updates, &mut chunks).err();
    let word = match chunks {
        0 => Word::None,
        _ if call.text.is_empty() => Word::Whole,
        _ => Word::Partial,
    };
    Heard { word, end }
}

/// Reads until nothing is left, and counts the chunks that could be read.
fn read_watch<T: DeserializeOwned>(
    call: &mut Call,
    updates: &mut Vec<T>,
    chunks: &mut u32,
) -> Result<(), &'static str> {
    let Some(mut filled) = pump(call)? else { return Ok(()) };
    loop {
        if !call.open {
            match framing::response_head(call.buffer.input()) {
                Ok(Some((response, _))) if response.status != 200 => return Err("the watch was refused"),
                Ok(Some((_, length))) => {
                    call.open = true;
                    call.buffer.consume(length);
                }
                Ok(None) => {}
                Err(_) => return Err("the answer is malformed"),
            }
        }
        while call.open {
            let found = framing::chunk_within(call.buffer.input(), LIST_LIMIT);
            let Ok(found) = found else { return Err("the watch is malformed") };
            let Some((part, length)) = found else { break };
            // The last chunk of an answer is empty, and says only that nothing more comes.
            if part.is_empty() {
                return Err("the watch ended");
            }
            call.text.extend_from_slice(part);
            call.buffer.consume(length);
            read_changes(&mut call.text, updates)?;
            *chunks = chunks.saturating_add(1);
        }
        match filled {
            Filled::Dry => return Ok(()),
            Filled::Ended => return Err("the watch broke"),
            Filled::Brimful if call.buffer.input().len() >= LIST_LIMIT => {
                return Err("the watch is malformed");
            }
            Filled::Brimful => filled = call.buffer.fill(&mut call.stream, LIST_LIMIT),
        }
    }
}

/// Takes whole changes off the beginning of what has come. One may stand on a line or be indented over many; it is
/// whole when its last brace has come, wherever the lines and the pieces that it came in end.
fn read_changes<T: DeserializeOwned>(text: &mut Vec<u8>, updates: &mut Vec<T>) -> Result<(), &'static str> {
    // Only what ends like a change can be whole: a long one that comes in many pieces is not read over and over.
    if text.trim_ascii_end().ends_with(b"}") {
        let mut found = serde_json::Deserializer::from_slice(text).into_iter::<T>();
        let mut whole = 0;
        while let Some(next) = found.next() {
            match next {
                Ok(update) => {
                    whole = found.byte_offset();
                    updates.push(update);
                }
                Err(error) if error.is_eof() => break,
                // A change that cannot be read is a gap: the watch is begun anew from the last good one.
                Err(_) => return Err("a change is malformed"),
            }
        }
        text.drain(..whole);
    }
    if text.trim_ascii().is_empty() {
        text.clear();
    }
    if text.len() > LIST_LIMIT { Err("a change is too long") } else { Ok(()) }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::worker_list::ListUpdate;

    fn seen(updates: &[ListUpdate]) -> Vec<(u64, bool, usize)> {
        updates.iter().map(|update| (update.seq, update.whole, update.hosts.len())).collect()
    }

    #[test]
    fn changes_are_read_as_they_come_and_a_bad_one_is_a_gap() {
        let mut updates = Vec::new();
        let mut text = b"\n{\"seq\":5}\r\n{\"seq\":6,\"who".to_vec();
        assert_eq!(read_changes(&mut text, &mut updates), Ok(()));
        text.extend_from_slice(b"le\":true}\n\n");
        assert_eq!(read_changes(&mut text, &mut updates), Ok(()));
        assert_eq!(seen(&updates), [(5, false, 0), (6, true, 0)]);
        assert!(text.is_empty());
        assert!(read_changes(&mut b"{\"seq\":\n}".to_vec(), &mut updates).is_err());
        let mut endless = vec![b' '; LIST_LIMIT];
        endless.extend_from_slice(b"{\"seq");
        assert!(read_changes(&mut endless, &mut updates).is_err());
    }

    #[test]
    fn an_indented_list_is_read_whatever_pieces_it_comes_in() {
        let hosts: Vec<_> = (0..40)
            .map(|nr| serde_json::json!({"host": format!("s-{nr}"), "note": "a } in text\n"}))
            .collect();
        let one = serde_json::json!({"seq": 7, "whole": true, "hosts": hosts});
        let two = serde_json::json!({"seq": 8, "whole": false, "hosts": []});
        let pretty = |value| serde_json::to_string_pretty(value).expect("it can be written");
        let all = format!("{}\n\n{}\n", pretty(&one), pretty(&two));
        for size in [1, 2, 7, 64, 1_000, all.len()] {
            let (mut text, mut updates) = (Vec::new(), Vec::new());
            for piece in all.as_bytes().chunks(size) {
                text.extend_from_slice(piece);
                assert_eq!(read_changes(&mut text, &mut updates), Ok(()), "in pieces of {size}");
            }
            assert_eq!(seen(&updates), [(7, true, 40), (8, false, 0)], "in pieces of {size}");
            assert!(text.is_empty(), "in pieces of {size}");
        }
    }
}
