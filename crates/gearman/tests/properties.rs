//! Properties of the packet codec for arbitrary bytes, and of the worker table for arbitrary orders of events.

use calicolb_gearman::packet::{PacketType, Parsed, Sender, encode, parse};
use calicolb_gearman::worker_table::{LostAttempt, OfferOutcome, WorkerTable};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::HashSet;

const SIZE_LIMIT: usize = 4096;

fn packet_type() -> impl Strategy<Value = PacketType> {
    (0..PacketType::ALL.len()).prop_map(|index| PacketType::ALL[index])
}

/// A packet with as many arguments as its type has: names without a NUL, and a last argument of arbitrary bytes.
fn packet() -> impl Strategy<Value = (PacketType, Vec<Vec<u8>>)> {
    packet_type().prop_flat_map(|packet_type| {
        let names = vec(vec(1_u8..=255, 0..20), packet_type.argument_count().saturating_sub(1));
        let last = vec(any::<u8>(), 0..200);
        (names, last).prop_map(move |(mut arguments, last)| {
            if packet_type.argument_count() > 0 {
                arguments.push(last);
            }
            (packet_type, arguments)
        })
    })
}

/// Parses all packets of a stream that is received in chunks of these lengths.
fn parse_chunked(stream: &[u8], chunk_lengths: &[usize]) -> Vec<(PacketType, Vec<u8>)> {
    let (mut buffer, mut offset, mut packets) = (Vec::new(), 0, Vec::new());
    let mut lengths = chunk_lengths.iter().copied().cycle();
    while offset < stream.len() {
        let next = (offset + lengths.next().unwrap_or(1)).min(stream.len());
        buffer.extend_from_slice(&stream[offset..next]);
        offset = next;
        loop {
            match parse(&buffer, Sender::Peer, SIZE_LIMIT).expect("an encoded packet was not parsed") {
                Parsed::Complete(packet, length) => {
                    packets.push((packet.packet_type, packet.arguments::<1>()[0].to_vec()));
                    buffer.drain(..length);
                }
                Parsed::Incomplete => break,
                Parsed::Invalid(error, _) => panic!("an encoded packet was parsed as malformed: {error}"),
            }
        }
    }
    assert!(buffer.is_empty());
    packets
}

proptest! {
    #[test]
    fn any_split_of_a_stream_into_chunks_gives_the_same_packets(
        packets in vec(packet(), 1..20),
        chunk_lengths in vec(1_usize..64, 1..10),
    ) {
        let bytes = |(packet_type, arguments): &(PacketType, Vec<Vec<u8>>)| {
            encode(Sender::Peer, *packet_type, &arguments.iter().map(Vec::as_slice).collect::<Vec<_>>())
        };
        let stream: Vec<u8> = packets.iter().flat_map(bytes).collect();
        let unsplit = parse_chunked(&stream, &[stream.len()]);
        prop_assert_eq!(unsplit.len(), packets.len());
        prop_assert!(unsplit.iter().zip(&packets).all(|(found, sent)| found.0 == sent.0));
        prop_assert_eq!(&parse_chunked(&stream, &chunk_lengths), &unsplit);
        prop_assert_eq!(&parse_chunked(&stream, &[1]), &unsplit);
    }

    #[test]
    fn arbitrary_bytes_are_parsed_without_panic(bytes in vec(any::<u8>(), 0..200), size in 0_u32..64) {
        let _ = parse(&bytes, Sender::Peer, SIZE_LIMIT);
        let framed = [&b"\0REQ"[..], &[0, 0, 0, bytes.len() as u8 % 45], &size.to_be_bytes(), &bytes].concat();
        if let Ok(Parsed::Complete(_, length) | Parsed::Invalid(_, length)) = parse(&framed, Sender::Peer, SIZE_LIMIT) {
            prop_assert!(length <= framed.len());
        }
    }

    /// In any order of worker events, an attempt is at one connection at most, and none is lost: each attempt was returned
    /// by the table, was finished, or is still offered or assigned.
    #[test]
    fn no_attempt_is_assigned_twice_or_lost(steps in vec((0_u8..8, 0_usize..4), 1..120)) {
        let mut table: WorkerTable<u32> = WorkerTable::default();
        let (mut next, mut outstanding, mut assigned) = (0_u32, HashSet::new(), HashSet::new());
        for (step, connection) in steps {
            match step {
                0 => drop(table.add_function(connection, "look", 0)),
                1 => drop(table.sleep(connection, 1)),
                2 => {
                    if table.grab_job(connection, PacketType::GrabJob, 1) == Ok(true)
                        && let Some((_, assignment, _)) = table.assign(connection)
                    {
                        prop_assert!(outstanding.contains(&assignment.attempt));
                        prop_assert!(assigned.insert(assignment.attempt), "assigned twice");
                    }
                }
                3 | 4 => {
                    let worker = (0..4).find(|&number| table.free_lanes(number) > 0);
                    let handle = format!("H:{next}");
                    if let Some(number) = worker && table.offer(number, next, &["look"], &handle) != OfferOutcome::Full {
                        outstanding.insert(next);
                    }
                    next += 1;
                }
                5 => {
                    if let Some(attempt) = table.running_attempt(connection) {
                        prop_assert!(outstanding.remove(&attempt));
                    }
                    table.finish_job(connection);
                }
                6 => {
                    if let Some(attempt) = table.expire_offer(connection) {
                        prop_assert!(outstanding.remove(&attempt) && !assigned.contains(&attempt));
                    }
                }
                _ => match table.remove_connection(connection) {
                    Some(LostAttempt::Offered(attempt)) => {
                        prop_assert!(outstanding.remove(&attempt) && !assigned.contains(&attempt));
                    }
                    Some(LostAttempt::Assigned(attempt)) => prop_assert!(outstanding.remove(&attempt) && assigned.contains(&attempt)),
                    None => {}
                },
            }
        }
        // Each outstanding attempt can be cancelled once, because one connection holds it.
        for attempt in outstanding {
            prop_assert!(table.cancel(attempt).is_some());
            prop_assert!(table.cancel(attempt).is_none());
        }
    }
}
