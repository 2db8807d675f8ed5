//! What a voter does when its store fails, and that what was agreed is there after a restart of all.

mod support;

use calicolb_consensus::store::{FileStore, MemoryStore, StoreError};
use calicolb_consensus::{Outcome, ProposeError, StartError, Voter, limits};
use serde_json::{Value, json};
use support::{Five, IDS, anything, set};

#[test]
fn a_voter_whose_sync_fails_is_silent_until_it_is_started_anew() {
    let mut five = Five::ready();
    let leader = five.voters[&1].leader().unwrap();
    for id in [leader % 5 + 1, leader] {
        five.disks[&id].fail_syncs(true);
        let voter = five.voters.get_mut(&leader).unwrap();
        let ticket = voter.propose(set([("k".to_owned(), json!(id))]), &anything);
        five.deliver();
        let voter = five.voters.get_mut(&id).unwrap();
        assert!(voter.is_stopped() && !voter.has_majority());
        (0..100).for_each(|_| voter.tick());
        assert!(voter.take_outgoing().is_empty(), "it says something");
        assert_eq!(voter.propose(set([("k".to_owned(), json!(0))]), &anything), Err(ProposeError::Stopped));
        if id == leader {
            // Its own proposal: it can't know.
            let told = voter.take_outcomes(&anything);
            assert_eq!(told.last(), Some(&(ticket.unwrap(), Outcome::Unknown { sent: true })));
        }
        five.disks[&id].fail_syncs(false);
    }
    let others: Vec<u64> = IDS.into_iter().filter(|id| !five.voters[id].is_stopped()).collect();
    assert_eq!(others.len(), 3);
    five.until(|five| others.iter().all(|id| five.voters[id].has_majority()));
    let seq = five.change(others[0], set([("three".to_owned(), json!(1))]));
    for id in [leader % 5 + 1, leader] {
        five.voters.remove(&id);
        five.disks[&id].crash(0);
        five.start(id);
    }
    five.until(|five| five.voters.values().all(|v| v.has_majority() && v.decided_version().seq >= seq));
    let agreed = five.voters[&1].decided_version().clone();
    assert!(five.voters.values().all(|voter| *voter.decided_version() == agreed));
}

/// Ticks all, and hands what is for one of them to `hand` in place of the voter.
fn tick_but(five: &mut Five, one: u64, mut hand: impl FnMut(u64, Vec<u8>, &mut Voter<MemoryStore>)) {
    five.voters.values_mut().for_each(Voter::tick);
    for _ in 0..8 {
        let taken =
            five.voters.iter_mut().flat_map(|(id, v)| v.take_outgoing().into_iter().map(move |m| (*id, m)));
        let messages: Vec<_> = taken.collect();
        for (from, (to, bytes)) in messages {
            let voter = five.voters.get_mut(&to).unwrap();
            if to == one { hand(from, bytes, voter) } else { voter.receive(from, &bytes) }
        }
    }
}

#[test]
fn a_voter_that_lacks_what_its_leader_has_doesnt_claim_a_majority() {
    let mut five = Five::ready();
    let leader = five.voters[&1].leader().unwrap();
    let one = leader % 5 + 1;
    for further in [0, 1] {
        for _ in 0..limits::MAJORITY_LOSS_TICKS {
            tick_but(&mut five, one, |from, bytes, voter| {
                let mut envelope: Value = serde_json::from_slice(&bytes).unwrap();
                envelope["d"] = json!(envelope["d"].as_u64().unwrap() + further);
                voter.receive(from, envelope.to_string().as_bytes());
            });
        }
        assert_eq!(five.voters[&one].has_majority(), further == 0, "the leader is {further} further");
    }
}

#[test]
fn messages_from_before_a_restart_prove_no_majority() {
    // Whoever leads is told apart only by a run, and the second one is the same.
    let leader = Five::ready().voters[&1].leader().unwrap();
    let one = leader % 5 + 1;
    let mut five = Five::starting();
    let mut heard = Vec::new();
    for _ in 0..60 {
        tick_but(&mut five, one, |from, bytes, voter| {
            heard.push((from, bytes.clone()));
            voter.receive(from, &bytes);
        });
    }
    assert!(five.voters[&one].has_majority());
    five.voters.remove(&one);
    five.start(one);
    let voter = five.voters.get_mut(&one).unwrap();
    for _ in 0..60 {
        voter.tick();
        for (from, bytes) in &heard {
            voter.receive(*from, bytes);
            assert!(!voter.has_majority(), "an answer to the process before counts");
        }
    }
}

#[test]
fn a_leader_takes_a_late_promise_without_its_log() {
    let mut five = Five::ready();
    let leader = five.voters[&1].leader().unwrap();
    five.change(leader, set([("k".to_owned(), json!(1))]));
    let one = leader % 5 + 1;
    five.voters.remove(&one);
    five.start(one);
    let log = json!({"decided_snapshot": {"Delta": {"Since": []}}, "suffix": [], "sync_idx": 999, "stopsign": null});
    let mut promised = 0;
    for _ in 0..30 {
        tick_but(&mut five, leader, |from, bytes, voter| {
            let mut envelope: Value = serde_json::from_slice(&bytes).unwrap();
            if let Some(promise) = envelope.pointer_mut("/b/SequencePaxos/msg/Promise") {
                promise["log_sync"] = log.clone();
                promised += 1;
            }
            voter.receive(from, envelope.to_string().as_bytes());
        });
    }
    assert!(promised > 0, "no promise was seen");
    assert!(five.voters[&one].has_majority(), "left out, after {promised} promises");
    assert!(five.voters.values().all(|voter| voter.decided_version().seq == 1));
}

#[test]
fn a_voter_doesnt_start_on_a_damaged_store() {
    let mut five = Five::ready();
    five.change(1, set([("k".to_owned(), json!(1))]));
    five.voters.remove(&2);
    let mut bytes = five.disks[&2].bytes();
    let last = bytes.len() - 3;
    bytes[last] ^= 1;
    five.disks[&2].set_bytes(bytes.clone());
    assert!(matches!(five.disks[&2].open(), Err(StoreError::Corrupt { .. })));
    assert_eq!(five.disks[&2].bytes(), bytes, "untouched");
}

#[test]
fn voters_are_numbered_from_one_without_doubles() {
    let start = |id: u64, ids: &[u64]| {
        let store = calicolb_consensus::store::MemoryDisk::default().open().unwrap();
        Voter::new(id, ids, store, 1).map(drop)
    };
    for (id, ids) in [(1, &[1, 2][..]), (4, &[1, 2, 3]), (1, &[1, 1, 2]), (1, &[0, 1, 2]), (1, &[1, 2, 10])] {
        assert!(matches!(start(id, ids), Err(StartError::Voters)), "{id} of {ids:?}");
    }
    assert!(start(1, &[1, 2, 3]).is_ok());
}

#[test]
fn what_was_agreed_is_there_after_a_restart_of_all_from_files() {
    let folder = std::env::temp_dir().join(format!("agreed-restart-{}", std::process::id()));
    let start = || -> Vec<Voter<FileStore>> {
        let open = |id: u64| FileStore::open(&folder.join(id.to_string())).unwrap();
        IDS.into_iter().map(|id| Voter::new(id, &IDS, open(id), 7).unwrap()).collect()
    };
    let mut voters = start();
    let mut agreed = None;
    for round in 0..3 {
        let mut told = Vec::new();
        for _ in 0..100 {
            voters.iter_mut().for_each(Voter::tick);
            for _ in 0..8 {
                for at in 0..5 {
                    let from = voters[at].id();
                    for (to, bytes) in voters[at].take_outgoing() {
                        voters[to as usize - 1].receive(from, &bytes);
                    }
                }
            }
            if told.is_empty() {
                let _ = voters[round].propose(set([(format!("k{round}"), json!(round))]), &anything);
            }
            told.extend(voters[round].take_outcomes(&anything));
        }
        assert!(told.iter().any(|(_, outcome)| matches!(outcome, Outcome::Decided { .. })), "{told:?}");
        let version = voters[0].decided_version().clone();
        assert!(voters.iter().all(|voter| *voter.decided_version() == version));
        assert!(
            version.document.len() == round + 1 && agreed.as_ref().is_none_or(|before| version.seq > *before)
        );
        agreed = Some(version.seq);
        drop(voters);
        voters = start();
        assert!(voters.iter().all(|voter| *voter.decided_version() == version), "all of it is there at once");
    }
    drop(voters);
    std::fs::remove_dir_all(&folder).unwrap();
}
