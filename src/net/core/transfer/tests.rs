//! Tests for both formats of a transfer on the upgrade link.

use super::*;
use crate::net::core::envelope::Headers;
use crate::net::core::memory::MemoryCharge;

const SECOND: Micros = 1_000_000;

fn envelope() -> Envelope {
    let headers: Headers = [("Request-Id".to_owned(), "a1".to_owned())].into_iter().collect();
    let body = (0..=255).collect();
    Envelope {
        name: "a1".to_owned(),
        skill: 0,
        target: "/look".to_owned(),
        headers,
        body,
        charge: MemoryCharge::default(),
    }
}

#[test]
fn a_transfer_is_read_back_with_its_times_on_the_receivers_clock() {
    let sent =
        AttemptRecord { worker: WorkerId(7), sent: 50 * SECOND, state: AttemptState::MayRun, ended_by: None };
    let history = RequestHistory {
        arrived: 49 * SECOND,
        expires: 60 * SECOND,
        effect: Some(calicolb::api::Effect::Unsafe),
        attempts: vec![sent],
    };
    let unread = b"POST".to_vec();
    let transfer = Transfer { envelope: envelope(), keep_alive: true, unread, history, clock: 55 * SECOND };
    let line =
        serde_json::to_string(&AnyTransfer::Current(transfer.clone())).expect("serialize the transfer");
    let read: AnyTransfer = serde_json::from_str(&line).expect("parse the transfer");
    // The sender's clock is 40 s ahead.
    let (received, wants_reply) = read.received(40 * SECOND.cast_signed());
    assert!(wants_reply && received.keep_alive);
    assert_eq!((received.envelope.body, received.unread), (transfer.envelope.body, transfer.unread));
    let expected = RequestHistory {
        arrived: 9 * SECOND,
        expires: 20 * SECOND,
        attempts: vec![AttemptRecord { sent: 10 * SECOND, ..sent }],
        ..transfer.history
    };
    assert_eq!(received.history, expected);
}

#[test]
fn a_transfer_of_an_older_version_is_read_as_one_open_attempt() {
    let line = r#"{"envelope":{"name":"a1","skill":0,"target":"/look","headers":[["Request-Id","a1"]],"body":[104,105]},
        "keep_alive":true,"hop":7,"sent":50,"expires":60}"#;
    let read: AnyTransfer = serde_json::from_str(line).expect("parse the transfer of an older version");
    let (received, wants_reply) = read.received(0);
    assert!(!wants_reply, "a sender of an older version must not get a reply");
    assert_eq!(received.envelope.body, b"hi");
    let attempt =
        AttemptRecord { worker: WorkerId(7), sent: 50, state: AttemptState::InFlight, ended_by: None };
    assert_eq!(
        received.history,
        RequestHistory { arrived: 50, expires: 60, effect: None, attempts: vec![attempt] }
    );
}
