//! Five voters in a loop without faults: changes are agreed everywhere, faulty ones refused, late ones void.

use calicolb_consensus::store::{MemoryStore, Platter};
use calicolb_consensus::{
    Answer, Change, Document, Fault, InForce, Learner, Message, Outcome, Refused, Rules, Taken, Tighter,
    Voter, limits,
};
use serde_json::json;
use std::collections::BTreeSet;

const IDS: [u64; 5] = [1, 2, 3, 4, 5];

struct Five {
    voters: Vec<Voter<MemoryStore>>,
}

fn anything(_: &Document) -> Result<(), Fault> {
    Ok(())
}

/// All values together are at most 10.
fn at_most_ten(whole: &Document) -> Result<(), Fault> {
    let sum: i64 = whole.values().filter_map(serde_json::Value::as_i64).sum();
    let last = whole.keys().last().cloned().unwrap_or_default();
    if sum > 10 { Err(Fault { key: last, why: format!("{sum} in all, 10 at most") }) } else { Ok(()) }
}

fn set(key: &str, value: i64) -> Change {
    Change { set: Document::from([(key.to_owned(), json!(value))]), unset: BTreeSet::new() }
}

impl Five {
    fn new() -> Five {
        let voter = |id| Voter::new(id, &IDS, Platter::default().open().unwrap(), 7).unwrap();
        Five { voters: IDS.into_iter().map(voter).collect() }
    }

    fn deliver(&mut self) {
        loop {
            let messages: Vec<_> = self
                .voters
                .iter_mut()
                .flat_map(|v| v.outgoing().into_iter().map(|m| (v.id(), m)).collect::<Vec<_>>())
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
        let told = five.voters[at].settled(&anything);
        let version = five.voters[at].agreed().clone();
        assert_eq!(told, [(ticket, Outcome::Agreed { seq: i as u64 + 1, digest: version.digest })]);
        assert!(five.voters.iter().all(|voter| *voter.agreed() == version), "all level");
    }
}

#[test]
fn a_faulty_change_is_refused_with_key_and_reason() {
    let mut five = Five::ready();
    let refused = five.voters[0].propose(set("big", 11), &at_most_ten).unwrap_err();
    assert_eq!(refused, Refused::Faulty(Fault { key: "big".into(), why: "11 in all, 10 at most".into() }));
    five.deliver();
    assert!(five.voters.iter().all(|voter| voter.agreed().seq == 0));
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
                five.voters[at].settled(&at_most_ten).into_iter().inspect(|(of, _)| assert_eq!(of, ticket)),
            );
        }
    }
    let agreed = told.iter().filter(|(_, outcome)| matches!(outcome, Outcome::Agreed { seq: 1, .. })).count();
    let void = told
        .iter()
        .filter(|(_, outcome)| matches!(outcome, Outcome::Void(fault) if fault.why.starts_with("12 in all")))
        .count();
    assert_eq!((told.len(), agreed, void), (2, 1, 1));
    assert!(
        five.voters
            .iter()
            .all(|voter| voter.agreed().seq == 1 && *voter.agreed() == *five.voters[0].agreed())
    );
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
        told += five.voters.iter_mut().map(|voter| voter.settled(&anything).len()).sum::<usize>();
        if told == 50 {
            break;
        }
    }
    five.tick();
    assert_eq!(told, 50);
    assert!(five.voters.iter().all(|voter| voter.agreed().seq == 50 && voter.agreed().document.len() == 50));
}

struct Plain;

impl calicolb_consensus::Check for Plain {
    fn check(&self, whole: &Document) -> Result<(), Fault> {
        anything(whole)
    }
}

impl Rules for Plain {
    fn tighter(&self, _: &str) -> Tighter {
        Tighter::Less
    }
}

#[test]
fn a_learner_catches_up_and_hears_deltas() {
    let mut five = Five::ready();
    let mut learner = Learner::new(3_000_000, Box::new(Plain));
    assert!(learner.behind(0));
    for i in 0..5 {
        five.voters[0].propose(set(&format!("k{i}"), i), &anything).unwrap();
        five.deliver();
        five.voters[0].settled(&anything);
    }
    let ask = learner.wants(0).unwrap();
    match five.voters[1].since(ask.seq, ask.digest) {
        Answer::Whole(version) => {
            assert_eq!(learner.hear(1, Message::Whole { version, majority: true }), Taken::InForce);
        }
        Answer::Deltas(deltas) => {
            for delta in deltas {
                assert_eq!(learner.hear(1, Message::Delta { delta, majority: true }), Taken::InForce);
            }
        }
        other => panic!("{other:?}"),
    }
    let agreed = five.voters[1].agreed();
    let expected =
        InForce { seq: 5, digest: agreed.digest, document: agreed.document.clone(), tightened_to: None };
    assert_eq!(*learner.in_force(1), expected);
    assert!(!learner.behind(1));
    assert_eq!(five.voters[1].since(5, agreed.digest), Answer::Level);
    assert_eq!(five.voters[1].since(6, agreed.digest), Answer::Ahead);
}

#[test]
fn proposals_are_bounded_and_need_a_majority() {
    let mut alone = Voter::new(1, &IDS, Platter::default().open().unwrap(), 7).unwrap();
    assert_eq!(alone.propose(set("k", 1), &anything), Err(Refused::NoMajority));
    let mut five = Five::ready();
    for _ in 0..limits::MAX_PROPOSALS {
        five.voters[2].propose(set("k", 1), &anything).unwrap();
    }
    assert_eq!(five.voters[2].propose(set("k", 1), &anything), Err(Refused::TooMany));
}
