//! Tests of the size of the state that a successor receives.

use super::*;

/// A handover with this much learned state and this many hosts on the worker list.
fn handover(learned_bytes: usize, hosts: usize) -> Handover {
    let learned = format!("\"{}\"", "x".repeat(learned_bytes));
    let host = || RawValue::from_string("{\"host\":\"s-1\"}".to_owned()).expect("the text is JSON");
    Handover {
        worker_list: ListUpdate { seq: 7, whole: true, hosts: (0..hosts).map(|_| host()).collect() },
        clock: Some(1),
        confirmed_us_ago: None,
        dispatcher_state: RawValue::from_string(learned).expect("the text is JSON"),
        names: None,
        open_requests: vec!["open-1".to_owned()],
        ended_requests: Vec::new(),
        draining: false,
    }
}

/// Encodes the handover within `max_bytes`, and returns what its successor reads, with the size of the message.
fn sent(handover: Handover, max_bytes: usize) -> (Handover, usize) {
    let line = handover.encode(max_bytes).expect("the handover can be encoded");
    assert_eq!(line.last(), Some(&b'\n'));
    match serde_json::from_slice(&line).expect("the line is a message") {
        Message::Handover(received) => (*received, line.len()),
        _ => panic!("the message is no handover"),
    }
}

// Guards against a handover that its successor refuses to read, after which both processes serve unknown to each other.
#[test]
fn handover_that_is_too_large_names_the_open_requests_without_the_learned_state() {
    let (whole, bytes) = sent(handover(1_000, 3), 4_096);
    assert_eq!((whole.dispatcher_state.get().len(), whole.worker_list.hosts.len()), (1_002, 3));
    let (reduced, _) = sent(handover(5_000, 3), 4_096);
    assert_eq!((reduced.dispatcher_state.get(), reduced.worker_list.hosts.len()), ("null", 3));
    let (least, least_bytes) = sent(handover(5_000, 1_000), 4_096);
    assert_eq!((least.dispatcher_state.get(), least.worker_list.hosts.len()), ("null", 0));
    assert!(bytes <= 4_096 && least_bytes <= 4_096, "{bytes} and {least_bytes} bytes");
    for received in [whole, reduced, least] {
        assert_eq!((received.open_requests, received.worker_list.seq), (vec!["open-1".to_owned()], 7));
    }
}
