//! Each bound, at the bound; and what isn't a message.

mod support;

use calicolb_consensus::{
    CatchUp, Change, Digest, Document, Outcome, ProposeError, Ticket, Version, Voter, document_size, limits,
};
use fastrand::Rng;
use serde_json::{Value, json};
use support::{Five, anything, set};

fn nested(depth: usize) -> Value {
    (0..depth).fold(json!(1), |inner, _| json!([inner]))
}

/// A document of exactly so many bytes.
fn of_bytes(bytes: usize) -> Document {
    let mut document: Document =
        (0..100).map(|i| (format!("k{i}"), json!("x".repeat(bytes / 101)))).collect();
    document.insert("last".into(), json!(""));
    let lacking = bytes - document_size(&document);
    document.insert("last".into(), json!("x".repeat(lacking)));
    assert_eq!(document_size(&document), bytes);
    document
}

#[test]
fn a_document_has_its_bounds() {
    let mut five = Five::ready();
    let keys = |count: usize| set((0..count).map(|i| (format!("k{i}"), json!(i))));
    assert_eq!(
        five.refusal(keys(limits::MAX_KEYS + 1)).reason,
        "the document has 4097 keys, but the maximum is 4096"
    );
    five.change(1, keys(limits::MAX_KEYS));
    assert_eq!(
        five.refusal(set([("one.more".into(), json!(1))])).reason,
        "the document has 4097 keys, but the maximum is 4096"
    );
    let all = Change {
        unset: five.voters[&1].decided_version().document.keys().cloned().collect(),
        ..Change::default()
    };
    five.change(2, all);
    let key = |bytes| set([("k".repeat(bytes), json!(1))]);
    assert_eq!(
        five.refusal(key(limits::MAX_KEY_BYTES + 1)).reason,
        "a key must have 1 to 256 bytes, but has 257"
    );
    assert_eq!(five.refusal(key(0)).reason, "a key must have 1 to 256 bytes, but has 0");
    five.change(3, key(limits::MAX_KEY_BYTES));
    assert_eq!(
        five.refusal(set([("n".into(), nested(limits::MAX_NESTING_DEPTH + 1))])).reason,
        "the value is nested more than 16 levels deep"
    );
    five.change(4, set([("n".into(), nested(limits::MAX_NESTING_DEPTH))]));
    let long = Change { unset: ["k".repeat(limits::MAX_KEY_BYTES + 1)].into(), ..Change::default() };
    assert_eq!(five.refusal(long).reason, "a key must have at most 256 bytes, but has 257");
    let many = (0..3_000).map(|i| format!("{i:0>200}")).collect();
    let many = five.refusal(Change { unset: many, ..Change::default() });
    assert!(many.reason.ends_with("but the maximum is 524288"), "{many}");
    let agreed = five.voters[&1].decided_version().clone();
    assert!(five.voters.values().all(|voter| *voter.decided_version() == agreed));
}

#[test]
fn the_largest_document_goes_round_and_comes_back_from_a_snapshot() {
    let mut five = Five::ready();
    let too_large = of_bytes(limits::MAX_DOCUMENT_BYTES + 1);
    assert_eq!(
        five.refusal(Change { set: too_large, ..Change::default() }).reason,
        "the document has 262145 bytes, but the maximum is 262144"
    );
    five.voters.values_mut().for_each(|voter| voter.set_max_log_entries(1));
    five.voters.remove(&5);
    five.change(1, Change { set: of_bytes(limits::MAX_DOCUMENT_BYTES), ..Change::default() });
    five.start(5);
    five.until(|five| five.voters[&5].decided_version().seq == 1 && five.voters[&5].has_majority());
    assert_eq!(five.voters[&5].decided_version(), five.voters[&1].decided_version());
    assert!(five.largest <= 2 * limits::MAX_DOCUMENT_BYTES, "{} bytes", five.largest);
}

#[test]
fn the_log_is_folded_at_its_bound_and_a_voter_that_was_away_for_longer_catches_up() {
    let mut five = Five::ready();
    five.voters.values_mut().for_each(|voter| voter.set_max_log_entries(8));
    five.voters.remove(&5);
    let mut longest = 0;
    for i in 0..100 {
        five.change(1 + i % 4, set([(format!("k{}", i % 10), json!(i))]));
        longest = five.voters.values().map(Voter::log_entries).max().unwrap().max(longest);
    }
    assert!((7..=9).contains(&longest), "{longest} entries");
    five.start(5);
    five.until(|five| five.voters[&5].decided_version().seq == 100 && five.voters[&5].has_majority());
    assert_eq!(five.voters[&5].decided_version(), five.voters[&1].decided_version());
}

#[test]
fn the_log_and_the_deltas_have_their_bounds() {
    let mut five = Five::ready();
    let changes = limits::MAX_DELTAS + 4;
    let mut digests = vec![Version::default().digest];
    let mut longest = 0;
    for i in 0..changes {
        five.change(1, set([(format!("k{}", i % 8), json!(i))]));
        digests.push(five.voters[&1].decided_version().digest);
        longest = longest.max(five.voters[&1].log_entries());
    }
    assert!(longest <= limits::MAX_DECIDED_LOG_ENTRIES + 1, "{longest} entries");
    assert!(five.voters[&1].log_entries() < 10, "folded at its bound");
    let voter = &five.voters[&1];
    let ask = |seq: usize| voter.changes_since(seq as u64, digests[seq]);
    // Deltas go as long as they are fewer bytes than the whole.
    assert!(matches!(ask(changes - 1), CatchUp::Deltas(deltas) if deltas.len() == 1));
    assert!(matches!(ask(0), CatchUp::FullVersion(_)));
    assert!(matches!(
        voter.changes_since(changes as u64 - 1, Digest::of(&Document::new())),
        CatchUp::FullVersion(_)
    ));
    assert!(voter.store_bytes() < 8 * 1024 * 1024, "{} bytes", voter.store_bytes());
}

#[test]
fn messages_that_nobody_fetches_and_proposals_that_nobody_decides_are_bounded() {
    let mut five = Five::ready();
    let mut one = five.voters.remove(&1).unwrap();
    let mut tickets = Vec::new();
    while let Ok(ticket) = one.propose(set([("k".into(), json!(1))]), &anything) {
        tickets.push(ticket);
    }
    assert_eq!(tickets.len(), limits::MAX_PROPOSALS);
    let mut told: Vec<(Ticket, Outcome)> = Vec::new();
    for _ in 0..2_000 {
        one.tick();
        told.extend(one.take_outcomes(&anything));
    }
    assert!(!one.has_majority());
    let expected: Vec<_> =
        tickets.iter().map(|t| (*t, Outcome::Unknown { sent: *t == tickets[0] })).collect();
    assert_eq!(told, expected, "the first was sent, the others surely not");
    assert!(one.take_outgoing().len() <= limits::MAX_OUTGOING_MESSAGES);
    assert_eq!(one.propose(Change::default(), &anything), Err(ProposeError::NoMajority));
}

#[test]
fn a_leader_takes_no_more_than_so_many_undecided_entries() {
    let mut five = Five::ready();
    let leader = five.voters[&1].leader().unwrap();
    let from = if leader == 1 { 2 } else { 1 };
    five.voters.get_mut(&from).unwrap().propose(set([("k".into(), json!(1))]), &anything).unwrap();
    let sent = five.voters.get_mut(&from).unwrap().take_outgoing();
    let forward = sent.iter().find(|(_, bytes)| String::from_utf8_lossy(bytes).contains("ProposalForward"));
    let mut envelope: Value = serde_json::from_slice(&forward.unwrap().1).unwrap();
    let first = envelope["c"].as_u64().unwrap();
    let leads = five.voters.get_mut(&leader).unwrap();
    let before = leads.log_entries();
    for i in 0..200 {
        envelope["c"] = json!(first + i);
        leads.receive(from, envelope.to_string().as_bytes());
    }
    assert_eq!(leads.log_entries() - before, limits::MAX_UNDECIDED_ENTRIES);
}

#[test]
fn what_isnt_a_message_is_dropped() {
    let mut five = Five::ready();
    let before = five.voters[&1].decided_version().clone();
    let voter = five.voters.get_mut(&1).unwrap();
    let mut large = vec![b' '; limits::MAX_MESSAGE_BYTES];
    large.push(b'{');
    for bytes in [&b""[..], b"{}", b"null", b"[1,2]", &large] {
        voter.receive(2, bytes);
    }
    voter.receive(9, b"{}");
    assert!(!voter.is_stopped() && *voter.decided_version() == before);
}

/// Messages with a few bytes changed: voters go on, and what they agree on stays sound. The seed is fixed.
#[test]
fn changed_messages_dont_stop_a_voter() {
    let mut rng = Rng::with_seed(11);
    let mut five = Five::ready();
    for i in 0..150_u64 {
        let id = 1 + i % 5;
        let _ =
            five.voters.get_mut(&id).unwrap().propose(set([(format!("k{}", i % 7), json!(i))]), &anything);
        five.voters.values_mut().for_each(Voter::tick);
        for _ in 0..6 {
            let taken = five
                .voters
                .iter_mut()
                .flat_map(|(id, v)| v.take_outgoing().into_iter().map(move |m| (*id, m)));
            let messages: Vec<_> = taken.collect();
            for (from, (to, mut bytes)) in messages {
                if rng.u8(..5) == 0 {
                    for _ in 0..rng.usize(1..4) {
                        let at = rng.usize(..bytes.len());
                        bytes[at] = if rng.bool() { b'0' + rng.u8(..10) } else { rng.u8(..) };
                    }
                }
                five.voters.get_mut(&to).unwrap().receive(from, &bytes);
            }
        }
        five.voters.values_mut().for_each(|voter| drop(voter.take_outcomes(&anything)));
        let stopped: Vec<_> =
            five.voters.values().filter(|voter| voter.is_stopped()).map(Voter::id).collect();
        assert!(stopped.is_empty(), "{stopped:?} stopped in round {i}");
        assert!(five.voters.values().all(|voter| voter.decided_version().digest_matches()));
    }
}
