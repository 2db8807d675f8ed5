//! Each limit is enforced exactly, and invalid messages are ignored.

mod support;

use calicolb_consensus::{
    CatchUp, Change, Digest, Document, Outcome, ProposeError, Ticket, Version, Voter, document_size, limits,
};
use fastrand::Rng;
use serde_json::{Value, json};
use support::{Cluster, accept_all, set};

fn nested(depth: usize) -> Value {
    (0..depth).fold(json!(1), |inner, _| json!([inner]))
}

/// A document of exactly `bytes` bytes.
fn document_of_size(bytes: usize) -> Document {
    let mut document: Document =
        (0..100).map(|i| (format!("k{i}"), json!("x".repeat(bytes / 101)))).collect();
    document.insert("last".into(), json!(""));
    let lacking = bytes - document_size(&document);
    document.insert("last".into(), json!("x".repeat(lacking)));
    assert_eq!(document_size(&document), bytes);
    document
}

#[test]
fn documents_and_changes_beyond_the_limits_are_rejected() {
    let mut cluster = Cluster::with_majority();
    let keys = |count: usize| set((0..count).map(|i| (format!("k{i}"), json!(i))));
    assert_eq!(cluster.expect_invalid(keys(limits::MAX_KEYS + 1)).reason, "4097 keys, 4096 at most");
    cluster.change(1, keys(limits::MAX_KEYS));
    assert_eq!(
        cluster.expect_invalid(set([("one.more".into(), json!(1))])).reason,
        "4097 keys, 4096 at most"
    );
    let all = Change {
        unset: cluster.voters[&1].decided_version().document.keys().cloned().collect(),
        ..Change::default()
    };
    cluster.change(2, all);
    let key = |bytes| set([("k".repeat(bytes), json!(1))]);
    assert_eq!(
        cluster.expect_invalid(key(limits::MAX_KEY_BYTES + 1)).reason,
        "a key has 1 to 256 bytes, not 257"
    );
    assert_eq!(cluster.expect_invalid(key(0)).reason, "a key has 1 to 256 bytes, not 0");
    cluster.change(3, key(limits::MAX_KEY_BYTES));
    assert_eq!(
        cluster.expect_invalid(set([("n".into(), nested(limits::MAX_NESTING_DEPTH + 1))])).reason,
        "nested more than 16 deep"
    );
    cluster.change(4, set([("n".into(), nested(limits::MAX_NESTING_DEPTH))]));
    let long = Change { unset: ["k".repeat(limits::MAX_KEY_BYTES + 1)].into(), ..Change::default() };
    assert_eq!(cluster.expect_invalid(long).reason, "a key has 256 bytes at most, not 257");
    let many = (0..3_000).map(|i| format!("{i:0>200}")).collect();
    let many = cluster.expect_invalid(Change { unset: many, ..Change::default() });
    assert!(many.reason.starts_with("a change of "), "{many}");
    assert!(many.reason.ends_with(" bytes, 524288 at most"), "{many}");
    let decided = cluster.voters[&1].decided_version().clone();
    assert!(cluster.voters.values().all(|voter| *voter.decided_version() == decided));
}

#[test]
fn the_largest_document_reaches_a_restarted_voter_in_a_snapshot() {
    let mut cluster = Cluster::with_majority();
    let too_large = document_of_size(limits::MAX_DOCUMENT_BYTES + 1);
    assert_eq!(
        cluster.expect_invalid(Change { set: too_large, ..Change::default() }).reason,
        "262145 bytes, 262144 at most"
    );
    cluster.voters.values_mut().for_each(|voter| voter.set_max_log_entries(1));
    cluster.voters.remove(&5);
    cluster.change(1, Change { set: document_of_size(limits::MAX_DOCUMENT_BYTES), ..Change::default() });
    cluster.start(5);
    cluster.run_until(|cluster| {
        cluster.voters[&5].decided_version().seq == 1 && cluster.voters[&5].has_majority()
    });
    assert_eq!(cluster.voters[&5].decided_version(), cluster.voters[&1].decided_version());
    assert!(cluster.largest_message <= 2 * limits::MAX_DOCUMENT_BYTES, "{} bytes", cluster.largest_message);
}

#[test]
fn the_log_is_compacted_at_its_limit_and_a_voter_that_missed_more_catches_up() {
    let mut cluster = Cluster::with_majority();
    cluster.voters.values_mut().for_each(|voter| voter.set_max_log_entries(8));
    cluster.voters.remove(&5);
    let mut max_length = 0;
    for i in 0..100 {
        cluster.change(1 + i % 4, set([(format!("k{}", i % 10), json!(i))]));
        max_length = cluster.voters.values().map(Voter::log_entries).max().unwrap().max(max_length);
    }
    assert!((7..=9).contains(&max_length), "{max_length} entries in the log");
    cluster.start(5);
    cluster.run_until(|cluster| {
        cluster.voters[&5].decided_version().seq == 100 && cluster.voters[&5].has_majority()
    });
    assert_eq!(cluster.voters[&5].decided_version(), cluster.voters[&1].decided_version());
}

#[test]
fn the_log_and_the_deltas_stay_within_their_limits() {
    let mut cluster = Cluster::with_majority();
    let changes = limits::MAX_DELTAS + 4;
    let mut digests = vec![Version::default().digest];
    let mut max_length = 0;
    for i in 0..changes {
        cluster.change(1, set([(format!("k{}", i % 8), json!(i))]));
        digests.push(cluster.voters[&1].decided_version().digest);
        max_length = max_length.max(cluster.voters[&1].log_entries());
    }
    assert!(max_length <= limits::MAX_DECIDED_LOG_ENTRIES + 1, "{max_length} entries in the log");
    assert!(cluster.voters[&1].log_entries() < 10, "the log was not compacted at its limit");
    let voter = &cluster.voters[&1];
    let catch_up = |seq: usize| voter.changes_since(seq as u64, digests[seq]);
    // Deltas are returned only while they are smaller than the complete document.
    assert!(matches!(catch_up(changes - 1), CatchUp::Deltas(deltas) if deltas.len() == 1));
    assert!(matches!(catch_up(0), CatchUp::FullVersion(_)));
    assert!(matches!(
        voter.changes_since(changes as u64 - 1, Digest::of(&Document::new())),
        CatchUp::FullVersion(_)
    ));
    assert!(voter.store_bytes() < 8 * 1024 * 1024, "{} bytes", voter.store_bytes());
}

#[test]
fn unfetched_messages_and_undecided_proposals_are_limited() {
    let mut cluster = Cluster::with_majority();
    let mut target = cluster.voters.remove(&1).unwrap();
    let mut tickets = Vec::new();
    while let Ok(ticket) = target.propose(set([("k".into(), json!(1))]), &accept_all) {
        tickets.push(ticket);
    }
    assert_eq!(tickets.len(), limits::MAX_PROPOSALS);
    let mut outcomes: Vec<(Ticket, Outcome)> = Vec::new();
    for _ in 0..2_000 {
        target.tick();
        outcomes.extend(target.take_outcomes(&accept_all));
    }
    assert!(!target.has_majority());
    let expected: Vec<_> =
        tickets.iter().map(|ticket| (*ticket, Outcome::Unknown { sent: *ticket == tickets[0] })).collect();
    assert_eq!(outcomes, expected, "only the first proposal was sent");
    assert!(target.take_outgoing().len() <= limits::MAX_OUTGOING_MESSAGES);
    assert_eq!(target.propose(Change::default(), &accept_all), Err(ProposeError::NoMajority));
}

#[test]
fn a_leader_accepts_undecided_entries_only_up_to_the_limit() {
    let mut cluster = Cluster::with_majority();
    let leader = cluster.voters[&1].leader().unwrap();
    let from = if leader == 1 { 2 } else { 1 };
    cluster.voters.get_mut(&from).unwrap().propose(set([("k".into(), json!(1))]), &accept_all).unwrap();
    let sent = cluster.voters.get_mut(&from).unwrap().take_outgoing();
    let forward = sent.iter().find(|(_, bytes)| String::from_utf8_lossy(bytes).contains("ProposalForward"));
    let mut envelope: Value = serde_json::from_slice(&forward.unwrap().1).unwrap();
    let first = envelope["c"].as_u64().unwrap();
    let leader_voter = cluster.voters.get_mut(&leader).unwrap();
    let before = leader_voter.log_entries();
    for i in 0..200 {
        envelope["c"] = json!(first + i);
        leader_voter.receive(from, envelope.to_string().as_bytes());
    }
    assert_eq!(leader_voter.log_entries() - before, limits::MAX_UNDECIDED_ENTRIES);
}

#[test]
fn invalid_messages_are_dropped() {
    let mut cluster = Cluster::with_majority();
    let before = cluster.voters[&1].decided_version().clone();
    let voter = cluster.voters.get_mut(&1).unwrap();
    let mut large = vec![b' '; limits::MAX_MESSAGE_BYTES];
    large.push(b'{');
    for bytes in [&b""[..], b"{}", b"null", b"[1,2]", &large] {
        voter.receive(2, bytes);
    }
    voter.receive(9, b"{}");
    assert!(!voter.is_stopped() && *voter.decided_version() == before);
}

/// Messages with a few changed bytes do not stop a voter, and each decided document still matches its digest. The
/// seed is fixed.
#[test]
fn corrupted_messages_do_not_stop_a_voter() {
    let mut rng = Rng::with_seed(11);
    let mut cluster = Cluster::with_majority();
    for i in 0..150_u64 {
        let id = 1 + i % 5;
        let _ = cluster
            .voters
            .get_mut(&id)
            .unwrap()
            .propose(set([(format!("k{}", i % 7), json!(i))]), &accept_all);
        cluster.voters.values_mut().for_each(Voter::tick);
        for _ in 0..6 {
            let outgoing = cluster
                .voters
                .iter_mut()
                .flat_map(|(id, voter)| voter.take_outgoing().into_iter().map(move |message| (*id, message)));
            let messages: Vec<_> = outgoing.collect();
            for (from, (to, mut bytes)) in messages {
                if rng.u8(..5) == 0 {
                    for _ in 0..rng.usize(1..4) {
                        let position = rng.usize(..bytes.len());
                        bytes[position] = if rng.bool() { b'0' + rng.u8(..10) } else { rng.u8(..) };
                    }
                }
                cluster.voters.get_mut(&to).unwrap().receive(from, &bytes);
            }
        }
        cluster.voters.values_mut().for_each(|voter| drop(voter.take_outcomes(&accept_all)));
        let stopped: Vec<_> =
            cluster.voters.values().filter(|voter| voter.is_stopped()).map(Voter::id).collect();
        assert!(stopped.is_empty(), "voters {stopped:?} stopped in round {i}");
        assert!(cluster.voters.values().all(|voter| voter.decided_version().digest_matches()));
    }
}
