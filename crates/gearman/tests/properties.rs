//! What holds for any bytes and any order.

use calicolb_gearman::fleet::{Fleet, Lost, Offered};
use calicolb_gearman::packet::{PacketType, Parsed, Sender, encode, parse};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::HashSet;

const LIMIT: usize = 4096;

fn kind() -> impl Strategy<Value = PacketType> {
    (0..PacketType::ALL.len()).prop_map(|nr| PacketType::ALL[nr])
}

/// A packet with as many arguments as its kind has: names without a zero, and a last one that may hold anything.
fn packet() -> impl Strategy<Value = (PacketType, Vec<Vec<u8>>)> {
    kind().prop_flat_map(|kind| {
        let names = vec(vec(1_u8..=255, 0..20), kind.argument_count().saturating_sub(1));
        let last = vec(any::<u8>(), 0..200);
        (names, last).prop_map(move |(mut fields, last)| {
            if kind.argument_count() > 0 {
                fields.push(last);
            }
            (kind, fields)
        })
    })
}

/// Reads all packets of a stream that comes in parts of these lengths.
fn heard(stream: &[u8], parts: &[usize]) -> Vec<(PacketType, Vec<u8>)> {
    let (mut held, mut at, mut heard) = (Vec::new(), 0, Vec::new());
    let mut lengths = parts.iter().copied().cycle();
    while at < stream.len() {
        let next = (at + lengths.next().unwrap_or(1)).min(stream.len());
        held.extend_from_slice(&stream[at..next]);
        at = next;
        loop {
            match parse(&held, Sender::Peer, LIMIT).expect("the stream is sound") {
                Parsed::Complete(packet, length) => {
                    heard.push((packet.packet_type, packet.arguments::<1>()[0].to_vec()));
                    held.drain(..length);
                }
                Parsed::Incomplete => break,
                Parsed::Invalid(fault, _) => panic!("{fault}"),
            }
        }
    }
    assert!(held.is_empty());
    heard
}

proptest! {
    #[test]
    fn any_split_of_any_stream_reads_the_same(
        packets in vec(packet(), 1..20),
        parts in vec(1_usize..64, 1..10),
    ) {
        let bytes = |(kind, fields): &(PacketType, Vec<Vec<u8>>)| {
            encode(Sender::Peer, *kind, &fields.iter().map(Vec::as_slice).collect::<Vec<_>>())
        };
        let stream: Vec<u8> = packets.iter().flat_map(bytes).collect();
        let whole = heard(&stream, &[stream.len()]);
        prop_assert_eq!(whole.len(), packets.len());
        prop_assert!(whole.iter().zip(&packets).all(|(found, sent)| found.0 == sent.0));
        prop_assert_eq!(&heard(&stream, &parts), &whole);
        prop_assert_eq!(&heard(&stream, &[1]), &whole);
    }

    #[test]
    fn any_bytes_are_read_without_panic(bytes in vec(any::<u8>(), 0..200), size in 0_u32..64) {
        let _ = parse(&bytes, Sender::Peer, LIMIT);
        let framed = [&b"\0REQ"[..], &[0, 0, 0, bytes.len() as u8 % 45], &size.to_be_bytes(), &bytes].concat();
        if let Ok(Parsed::Complete(_, length) | Parsed::Invalid(_, length)) = parse(&framed, Sender::Peer, LIMIT) {
            prop_assert!(length <= framed.len());
        }
    }

    /// Whatever workers do in whatever order, an attempt is at one connection at most, and none is lost: it was given
    /// back, was reported done, or is still out.
    #[test]
    fn no_attempt_is_dealt_twice_or_lost(steps in vec((0_u8..8, 0_usize..4), 1..120)) {
        let mut fleet: Fleet<u32> = Fleet::default();
        let (mut next, mut out, mut assigned) = (0_u32, HashSet::new(), HashSet::new());
        for (step, conn) in steps {
            match step {
                0 => drop(fleet.can_do(conn, "look", 0)),
                1 => drop(fleet.sleep(conn, 1)),
                2 => {
                    if fleet.ask(conn, PacketType::GrabJob, 1) == Ok(true)
                        && let Some((_, given, _)) = fleet.assign(conn)
                    {
                        prop_assert!(out.contains(&given.attempt));
                        prop_assert!(assigned.insert(given.attempt), "assigned twice");
                    }
                }
                3 | 4 => {
                    let found = (0..4).find(|&nr| fleet.free(nr) > 0);
                    let handle = format!("H:{next}");
                    if let Some(nr) = found && fleet.offer(nr, next, &["look"], &handle) != Offered::Full {
                        out.insert(next);
                    }
                    next += 1;
                }
                5 => {
                    if let Some(attempt) = fleet.running(conn) {
                        prop_assert!(out.remove(&attempt));
                    }
                    fleet.done(conn);
                }
                6 => {
                    if let Some(attempt) = fleet.expire(conn) {
                        prop_assert!(out.remove(&attempt) && !assigned.contains(&attempt));
                    }
                }
                _ => match fleet.close(conn) {
                    Some(Lost::Offered(attempt)) => {
                        prop_assert!(out.remove(&attempt) && !assigned.contains(&attempt));
                    }
                    Some(Lost::Assigned(attempt)) => prop_assert!(out.remove(&attempt) && assigned.contains(&attempt)),
                    None => {}
                },
            }
        }
        // What is still out can be given up, each at one connection.
        for attempt in out {
            prop_assert!(fleet.give_up(attempt).is_some());
            prop_assert!(fleet.give_up(attempt).is_none());
        }
    }
}
