//! A voter stops when its store fails, and decided versions survive a restart of all voters.

mod support;

use calicolb_consensus::store::{FileStore, MemoryStore, StoreError};
use calicolb_consensus::{Outcome, ProposeError, StartError, Voter, limits};
use serde_json::{Value, json};
use support::{Cluster, VOTER_IDS, accept_all, set};

#[test]
fn a_voter_whose_sync_fails_sends_nothing_until_it_is_restarted() {
    let mut cluster = Cluster::with_majority();
    let leader = cluster.voters[&1].leader().unwrap();
    for id in [leader % 5 + 1, leader] {
        cluster.disks[&id].fail_syncs(true);
        let voter = cluster.voters.get_mut(&leader).unwrap();
        let ticket = voter.propose(set([("k".to_owned(), json!(id))]), &accept_all);
        cluster.deliver();
        let voter = cluster.voters.get_mut(&id).unwrap();
        assert!(voter.is_stopped() && !voter.has_majority());
        (0..100).for_each(|_| voter.tick());
        assert!(voter.take_outgoing().is_empty(), "a stopped voter sends messages");
        assert_eq!(voter.propose(set([("k".to_owned(), json!(0))]), &accept_all), Err(ProposeError::Stopped));
        if id == leader {
            // The leader cannot know whether its own proposal will be decided.
            let outcomes = voter.take_outcomes(&accept_all);
            assert_eq!(outcomes.last(), Some(&(ticket.unwrap(), Outcome::Unknown { sent: true })));
        }
        cluster.disks[&id].fail_syncs(false);
    }
    let others: Vec<u64> = VOTER_IDS.into_iter().filter(|id| !cluster.voters[id].is_stopped()).collect();
    assert_eq!(others.len(), 3);
    cluster.run_until(|cluster| others.iter().all(|id| cluster.voters[id].has_majority()));
    let seq = cluster.change(others[0], set([("three".to_owned(), json!(1))]));
    for id in [leader % 5 + 1, leader] {
        cluster.voters.remove(&id);
        cluster.disks[&id].crash(0);
        cluster.start(id);
    }
    cluster.run_until(|cluster| {
        cluster.voters.values().all(|voter| voter.has_majority() && voter.decided_version().seq >= seq)
    });
    let decided = cluster.voters[&1].decided_version().clone();
    assert!(cluster.voters.values().all(|voter| *voter.decided_version() == decided));
}

/// Ticks all voters. Messages to the voter `target` are passed to `intercept` instead of the voter.
fn tick_intercepting(
    cluster: &mut Cluster,
    target: u64,
    mut intercept: impl FnMut(u64, Vec<u8>, &mut Voter<MemoryStore>),
) {
    cluster.voters.values_mut().for_each(Voter::tick);
    for _ in 0..8 {
        let outgoing = cluster
            .voters
            .iter_mut()
            .flat_map(|(id, voter)| voter.take_outgoing().into_iter().map(move |message| (*id, message)));
        let messages: Vec<_> = outgoing.collect();
        for (from, (to, bytes)) in messages {
            let voter = cluster.voters.get_mut(&to).unwrap();
            if to == target { intercept(from, bytes, voter) } else { voter.receive(from, &bytes) }
        }
    }
}

#[test]
fn a_voter_that_lacks_decided_entries_of_its_leader_claims_no_majority() {
    let mut cluster = Cluster::with_majority();
    let leader = cluster.voters[&1].leader().unwrap();
    let target = leader % 5 + 1;
    for extra_entries in [0, 1] {
        for _ in 0..limits::MAJORITY_LOSS_TICKS {
            tick_intercepting(&mut cluster, target, |from, bytes, voter| {
                let mut envelope: Value = serde_json::from_slice(&bytes).unwrap();
                envelope["d"] = json!(envelope["d"].as_u64().unwrap() + extra_entries);
                voter.receive(from, envelope.to_string().as_bytes());
            });
        }
        assert_eq!(
            cluster.voters[&target].has_majority(),
            extra_entries == 0,
            "the leader reports {extra_entries} more decided entries"
        );
    }
}

#[test]
fn messages_from_before_a_restart_prove_no_majority() {
    // The leader is known only after a run. A second run with the same seed has the same leader.
    let leader = Cluster::with_majority().voters[&1].leader().unwrap();
    let target = leader % 5 + 1;
    let mut cluster = Cluster::start_all();
    let mut recorded = Vec::new();
    for _ in 0..60 {
        tick_intercepting(&mut cluster, target, |from, bytes, voter| {
            recorded.push((from, bytes.clone()));
            voter.receive(from, &bytes);
        });
    }
    assert!(cluster.voters[&target].has_majority());
    cluster.voters.remove(&target);
    cluster.start(target);
    let voter = cluster.voters.get_mut(&target).unwrap();
    for _ in 0..60 {
        voter.tick();
        for (from, bytes) in &recorded {
            voter.receive(*from, bytes);
            assert!(!voter.has_majority(), "a reply to the previous process counts as contact");
        }
    }
}

#[test]
fn a_leader_ignores_the_log_in_a_late_promise() {
    let mut cluster = Cluster::with_majority();
    let leader = cluster.voters[&1].leader().unwrap();
    cluster.change(leader, set([("k".to_owned(), json!(1))]));
    let target = leader % 5 + 1;
    cluster.voters.remove(&target);
    cluster.start(target);
    let log = json!({"decided_snapshot": {"Delta": {"Since": []}}, "suffix": [], "sync_idx": 999, "stopsign": null});
    let mut promise_count = 0;
    for _ in 0..30 {
        tick_intercepting(&mut cluster, leader, |from, bytes, voter| {
            let mut envelope: Value = serde_json::from_slice(&bytes).unwrap();
            if let Some(promise) = envelope.pointer_mut("/b/SequencePaxos/msg/Promise") {
                promise["log_sync"] = log.clone();
                promise_count += 1;
            }
            voter.receive(from, envelope.to_string().as_bytes());
        });
    }
    assert!(promise_count > 0, "no promise was sent");
    assert!(
        cluster.voters[&target].has_majority(),
        "the restarted voter has no majority after {promise_count} promises"
    );
    assert!(cluster.voters.values().all(|voter| voter.decided_version().seq == 1));
}

#[test]
fn a_voter_does_not_start_on_a_damaged_store() {
    let mut cluster = Cluster::with_majority();
    cluster.change(1, set([("k".to_owned(), json!(1))]));
    cluster.voters.remove(&2);
    let mut bytes = cluster.disks[&2].bytes();
    let last = bytes.len() - 3;
    bytes[last] ^= 1;
    cluster.disks[&2].set_bytes(bytes.clone());
    assert!(matches!(cluster.disks[&2].open(), Err(StoreError::Corrupt { .. })));
    assert_eq!(cluster.disks[&2].bytes(), bytes, "the damaged store was modified");
}

#[test]
fn voter_numbers_must_be_distinct_and_in_range() {
    let start = |id: u64, ids: &[u64]| {
        let store = calicolb_consensus::store::MemoryDisk::default().open().unwrap();
        Voter::new(id, ids, store, 1).map(drop)
    };
    for (id, ids) in [(1, &[1, 2][..]), (4, &[1, 2, 3]), (1, &[1, 1, 2]), (1, &[0, 1, 2]), (1, &[1, 2, 10])] {
        assert!(matches!(start(id, ids), Err(StartError::Voters)), "voter {id} of {ids:?} was started");
    }
    assert!(start(1, &[1, 2, 3]).is_ok());
}

#[test]
fn decided_versions_survive_a_restart_of_all_voters_from_files() {
    let directory = std::env::temp_dir().join(format!("consensus-restart-{}", std::process::id()));
    let start = || -> Vec<Voter<FileStore>> {
        let open = |id: u64| FileStore::open(&directory.join(id.to_string())).unwrap();
        VOTER_IDS.into_iter().map(|id| Voter::new(id, &VOTER_IDS, open(id), 7).unwrap()).collect()
    };
    let mut voters = start();
    let mut decided = None;
    for round in 0..3 {
        let mut outcomes = Vec::new();
        for _ in 0..100 {
            voters.iter_mut().for_each(Voter::tick);
            for _ in 0..8 {
                for index in 0..5 {
                    let from = voters[index].id();
                    for (to, bytes) in voters[index].take_outgoing() {
                        voters[to as usize - 1].receive(from, &bytes);
                    }
                }
            }
            if outcomes.is_empty() {
                let _ = voters[round].propose(set([(format!("k{round}"), json!(round))]), &accept_all);
            }
            outcomes.extend(voters[round].take_outcomes(&accept_all));
        }
        assert!(
            outcomes.iter().any(|(_, outcome)| matches!(outcome, Outcome::Decided { .. })),
            "{outcomes:?}"
        );
        let version = voters[0].decided_version().clone();
        assert!(voters.iter().all(|voter| *voter.decided_version() == version));
        assert!(
            version.document.len() == round + 1
                && decided.as_ref().is_none_or(|before| version.seq > *before)
        );
        decided = Some(version.seq);
        drop(voters);
        voters = start();
        assert!(
            voters.iter().all(|voter| *voter.decided_version() == version),
            "the version must be known directly after the restart"
        );
    }
    drop(voters);
    std::fs::remove_dir_all(&directory).unwrap();
}
