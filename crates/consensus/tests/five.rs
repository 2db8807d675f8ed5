//! Five voters in a loop without faults: changes are agreed everywhere, faulty ones refused, late ones void.

use calicolb_consensus::store::{MemoryDisk, MemoryStore};
use calicolb_consensus::{
    CatchUp, Change, Document, Learner, Outcome, ProposeError, Rules, TighteningDirection, UpdateOutcome,
    ValidationError, VersionInForce, VersionMessage, Voter, limits,
};
use serde_json::json;
use std::collections::BTreeSet;

const IDS: [u64; 5] = [1, 2, 3, 4, 5];

struct Five {
    voters: Vec<Voter<MemoryStore>>,
}

fn anything(_: &Document) -> Result<(), ValidationError> {
    Ok(())
}

/// All values together are at most 10.
fn at_most_ten(whole: &Document) -> Result<(), ValidationError> {
    let sum: i64 = whole.values().filter_map(serde_json::Value::as_i64).sum();
    let last = whole.keys().last().cloned().unwrap_or_default();
    if sum > 10 {
        Err(ValidationError { key: last, reason: format!("{sum} in all, 10 at most") })
    } else {
        Ok(())
    }
}

fn set(key: &str, value: i64) -> Change {
    Change { set: Document::from([(key.to_owned(), json!(value))]), unset: BTreeSet::new() }
}

impl Five {
    fn new() -> Five {
        let voter = |id| Voter::new(id, &IDS, MemoryDisk::default().open().unwrap(), 7).unwrap();
        Five { voters: IDS.into_iter().map(voter).collect() }
    }

    fn deliver(&mut self) {
        loop {
            let messages: Vec<_> = self
                .voters
                .iter_mut()
                .flat_map(|v| v.take_outgoing().into_iter().map(|m| (v.id(), m)).collect::<Vec<_>>())
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

    fn ready() -> Five {
        let mut five = Five::new();
        let ticks = (0..100).take_while(|_| {
            five.tick();
            !five.voters.iter().all(Voter::has_majority)
        });
        assert!(ticks.count() < 60, "a majority within 60 ticks");
        five
    }
}

#[test]
fn a_change_is_agreed_by_all() {
    let mut five = Five::ready();
    for (i, at) in [0, 3, 1, 4, 2].into_iter().enumerate() {
        let ticket = five.voters[at].propose(set(&format!("k{i}"), 1), &anything).unwrap();
        five.deliver();
        let told = five.voters[at].take_outcomes(&anything);
        let version = five.voters[at].decided_version().clone();
        assert_eq!(told, [(ticket, Outcome::Decided { seq: i as u64 + 1, digest: version.digest })]);
        assert!(five.voters.iter().all(|voter| *voter.decided_version() == version), "all level");
    }
}

#[test]
fn a_faulty_change_is_refused_with_key_and_reason() {
    let mut five = Five::ready();
    let refused = five.voters[0].propose(set("big", 11), &at_most_ten).unwrap_err();
    assert_eq!(
        refused,
        ProposeError::Invalid(ValidationError { key: "big".into(), reason: "11 in all, 10 at most".into() })
    );
    five.deliver();
    assert!(five.voters.iter().all(|voter| voter.decided_version().seq == 0));
}

#[test]
fn of_two_changes_that_exclude_each_other_the_second_is_void() {
    let mut five = Five::ready();
    let tickets = [0, 1].map(|at| five.voters[at].propose(set(&format!("k{at}"), 6), &at_most_ten).unwrap());
    let mut told = Vec::new();
    for _ in 0..30 {
        five.tick();
        for (at, ticket) in tickets.iter().enumerate() {
            told.extend(
                five.voters[at]
                    .take_outcomes(&at_most_ten)
                    .into_iter()
                    .inspect(|(of, _)| assert_eq!(of, ticket)),
            );
        }
    }
    let agreed =
        told.iter().filter(|(_, outcome)| matches!(outcome, Outcome::Decided { seq: 1, .. })).count();
    let void = told
        .iter()
        .filter(|(_, outcome)| matches!(outcome, Outcome::Invalidated(fault) if fault.reason.starts_with("12 in all")))
        .count();
    assert_eq!((told.len(), agreed, void), (2, 1, 1));
    assert!(five.voters.iter().all(|voter| voter.decided_version().seq == 1
        && *voter.decided_version() == *five.voters[0].decided_version()));
}

#[test]
fn changes_of_all_five_at_once_are_all_agreed() {
    let mut five = Five::ready();
    for at in 0..5 {
        for i in 0..10 {
            five.voters[at].propose(set(&format!("k{at}.{i}"), 0), &anything).unwrap();
        }
    }
    let mut told = 0;
    for _ in 0..400 {
        five.tick();
        told += five.voters.iter_mut().map(|voter| voter.take_outcomes(&anything).len()).sum::<usize>();
        if told == 50 {
            break;
        }
    }
    five.tick();
    assert_eq!(told, 50);
    assert!(
        five.voters
            .iter()
            .all(|voter| voter.decided_version().seq == 50 && voter.decided_version().document.len() == 50)
    );
}

struct Plain;

impl calicolb_consensus::Check for Plain {
    fn check(&self, whole: &Document) -> Result<(), ValidationError> {
        anything(whole)
    }
}

impl Rules for Plain {
    fn tightening_direction(&self, _: &str) -> TighteningDirection {
        TighteningDirection::Less
    }
}

#[test]
fn a_learner_catches_up_and_hears_deltas() {
    let mut five = Five::ready();
    let mut learner = Learner::new(3_000_000, Box::new(Plain));
    assert!(learner.is_behind(0));
    for i in 0..5 {
        five.voters[0].propose(set(&format!("k{i}"), i), &anything).unwrap();
        five.deliver();
        five.voters[0].take_outcomes(&anything);
    }
    let ask = learner.next_request(0).unwrap();
    match five.voters[1].changes_since(ask.seq, ask.digest) {
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
    let agreed = five.voters[1].decided_version();
    let expected = VersionInForce {
        seq: 5,
        digest: agreed.digest,
        document: agreed.document.clone(),
        tightened_to: None,
    };
    assert_eq!(*learner.in_force(1), expected);
    assert!(!learner.is_behind(1));
    assert_eq!(five.voters[1].changes_since(5, agreed.digest), CatchUp::UpToDate);
    assert_eq!(five.voters[1].changes_since(6, agreed.digest), CatchUp::Ahead);
}

#[test]
fn proposals_are_bounded_and_need_a_majority() {
    let mut alone = Voter::new(1, &IDS, MemoryDisk::default().open().unwrap(), 7).unwrap();
    assert_eq!(alone.propose(set("k", 1), &anything), Err(ProposeError::NoMajority));
    let mut five = Five::ready();
    for _ in 0..limits::MAX_PROPOSALS {
        five.voters[2].propose(set("k", 1), &anything).unwrap();
    }
    assert_eq!(five.voters[2].propose(set("k", 1), &anything), Err(ProposeError::TooManyProposals));
}
