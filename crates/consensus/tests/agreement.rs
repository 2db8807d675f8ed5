//! Five voters without faults: all voters decide valid changes, and invalid or conflicting changes are rejected.

use calicolb_consensus::store::{MemoryDisk, MemoryStore};
use calicolb_consensus::{
    CatchUp, Change, Document, Learner, Outcome, ProposeError, Rules, TighteningDirection, UpdateOutcome,
    ValidationError, VersionInForce, VersionMessage, Voter, limits,
};
use serde_json::json;
use std::collections::BTreeSet;

const VOTER_IDS: [u64; 5] = [1, 2, 3, 4, 5];

struct Cluster {
    voters: Vec<Voter<MemoryStore>>,
}

fn accept_all(_: &Document) -> Result<(), ValidationError> {
    Ok(())
}

/// A check that accepts documents whose values sum up to at most 10.
fn sum_at_most_ten(whole: &Document) -> Result<(), ValidationError> {
    let sum: i64 = whole.values().filter_map(serde_json::Value::as_i64).sum();
    let last = whole.keys().last().cloned().unwrap_or_default();
    if sum > 10 {
        Err(ValidationError { key: last, reason: format!("the sum is {sum}, but the maximum is 10") })
    } else {
        Ok(())
    }
}

fn set(key: &str, value: i64) -> Change {
    Change { set: Document::from([(key.to_owned(), json!(value))]), unset: BTreeSet::new() }
}

impl Cluster {
    fn new() -> Cluster {
        let voter = |id| Voter::new(id, &VOTER_IDS, MemoryDisk::default().open().unwrap(), 7).unwrap();
        Cluster { voters: VOTER_IDS.into_iter().map(voter).collect() }
    }

    fn deliver(&mut self) {
        loop {
            let messages: Vec<_> = self
                .voters
                .iter_mut()
                .flat_map(|voter| {
                    voter.take_outgoing().into_iter().map(|message| (voter.id(), message)).collect::<Vec<_>>()
                })
                .collect();
            if messages.is_empty() {
                return;
            }
            for (from, (to, bytes)) in messages {
                self.voters[to as usize - 1].receive(from, &bytes);
            }
        }
    }

    fn tick(&mut self) {
        self.voters.iter_mut().for_each(Voter::tick);
        self.deliver();
    }

    fn with_majority() -> Cluster {
        let mut cluster = Cluster::new();
        let ticks = (0..100).take_while(|_| {
            cluster.tick();
            !cluster.voters.iter().all(Voter::has_majority)
        });
        assert!(ticks.count() < 60, "no majority within 60 ticks");
        cluster
    }
}

#[test]
fn a_change_is_decided_at_all_voters() {
    let mut cluster = Cluster::with_majority();
    for (i, index) in [0, 3, 1, 4, 2].into_iter().enumerate() {
        let ticket = cluster.voters[index].propose(set(&format!("k{i}"), 1), &accept_all).unwrap();
        cluster.deliver();
        let outcomes = cluster.voters[index].take_outcomes(&accept_all);
        let version = cluster.voters[index].decided_version().clone();
        assert_eq!(outcomes, [(ticket, Outcome::Decided { seq: i as u64 + 1, digest: version.digest })]);
        assert!(
            cluster.voters.iter().all(|voter| *voter.decided_version() == version),
            "all voters must have the decided version"
        );
    }
}

#[test]
fn an_invalid_change_is_rejected_with_key_and_reason() {
    let mut cluster = Cluster::with_majority();
    let error = cluster.voters[0].propose(set("big", 11), &sum_at_most_ten).unwrap_err();
    assert_eq!(
        error,
        ProposeError::Invalid(ValidationError {
            key: "big".into(),
            reason: "the sum is 11, but the maximum is 10".into()
        })
    );
    cluster.deliver();
    assert!(cluster.voters.iter().all(|voter| voter.decided_version().seq == 0));
}

#[test]
fn of_two_conflicting_changes_the_second_is_invalidated() {
    let mut cluster = Cluster::with_majority();
    let tickets = [0, 1]
        .map(|index| cluster.voters[index].propose(set(&format!("k{index}"), 6), &sum_at_most_ten).unwrap());
    let mut outcomes = Vec::new();
    for _ in 0..30 {
        cluster.tick();
        for (index, ticket) in tickets.iter().enumerate() {
            outcomes.extend(
                cluster.voters[index]
                    .take_outcomes(&sum_at_most_ten)
                    .into_iter()
                    .inspect(|(of, _)| assert_eq!(of, ticket)),
            );
        }
    }
    let decided =
        outcomes.iter().filter(|(_, outcome)| matches!(outcome, Outcome::Decided { seq: 1, .. })).count();
    let invalidated = outcomes
        .iter()
        .filter(|(_, outcome)| matches!(outcome, Outcome::Invalidated(fault) if fault.reason.starts_with("the sum is 12,")))
        .count();
    assert_eq!((outcomes.len(), decided, invalidated), (2, 1, 1));
    assert!(cluster.voters.iter().all(|voter| voter.decided_version().seq == 1
        && *voter.decided_version() == *cluster.voters[0].decided_version()));
}

#[test]
fn concurrent_changes_of_all_voters_are_all_decided() {
    let mut cluster = Cluster::with_majority();
    for index in 0..5 {
        for i in 0..10 {
            cluster.voters[index].propose(set(&format!("k{index}.{i}"), 0), &accept_all).unwrap();
        }
    }
    let mut outcomes = 0;
    for _ in 0..400 {
        cluster.tick();
        outcomes +=
            cluster.voters.iter_mut().map(|voter| voter.take_outcomes(&accept_all).len()).sum::<usize>();
        if outcomes == 50 {
            break;
        }
    }
    cluster.tick();
    assert_eq!(outcomes, 50);
    assert!(
        cluster
            .voters
            .iter()
            .all(|voter| voter.decided_version().seq == 50 && voter.decided_version().document.len() == 50)
    );
}

struct AcceptAllRules;

impl calicolb_consensus::Check for AcceptAllRules {
    fn check(&self, whole: &Document) -> Result<(), ValidationError> {
        accept_all(whole)
    }
}

impl Rules for AcceptAllRules {
    fn tightening_direction(&self, _: &str) -> TighteningDirection {
        TighteningDirection::Less
    }
}

#[test]
fn a_learner_catches_up_with_deltas_or_a_full_version() {
    let mut cluster = Cluster::with_majority();
    let mut learner = Learner::new(3_000_000, Box::new(AcceptAllRules));
    assert!(learner.is_behind(0));
    for i in 0..5 {
        cluster.voters[0].propose(set(&format!("k{i}"), i), &accept_all).unwrap();
        cluster.deliver();
        cluster.voters[0].take_outcomes(&accept_all);
    }
    let ask = learner.next_request(0).unwrap();
    match cluster.voters[1].changes_since(ask.seq, ask.digest) {
        CatchUp::FullVersion(version) => {
            assert_eq!(
                learner.receive(1, VersionMessage::Full { version, majority: true }),
                UpdateOutcome::InForce
            );
        }
        CatchUp::Deltas(deltas) => {
            for delta in deltas {
                assert_eq!(
                    learner.receive(1, VersionMessage::Delta { delta, majority: true }),
                    UpdateOutcome::InForce
                );
            }
        }
        other => panic!("{other:?}"),
    }
    let decided = cluster.voters[1].decided_version();
    let expected = VersionInForce {
        seq: 5,
        digest: decided.digest,
        document: decided.document.clone(),
        tightened_to: None,
    };
    assert_eq!(*learner.in_force(1), expected);
    assert!(!learner.is_behind(1));
    assert_eq!(cluster.voters[1].changes_since(5, decided.digest), CatchUp::UpToDate);
    assert_eq!(cluster.voters[1].changes_since(6, decided.digest), CatchUp::Ahead);
}

#[test]
fn proposals_are_limited_and_require_a_majority() {
    let mut alone = Voter::new(1, &VOTER_IDS, MemoryDisk::default().open().unwrap(), 7).unwrap();
    assert_eq!(alone.propose(set("k", 1), &accept_all), Err(ProposeError::NoMajority));
    let mut cluster = Cluster::with_majority();
    for _ in 0..limits::MAX_PROPOSALS {
        cluster.voters[2].propose(set("k", 1), &accept_all).unwrap();
    }
    assert_eq!(cluster.voters[2].propose(set("k", 1), &accept_all), Err(ProposeError::TooManyProposals));
}
