//! A learner receives any messages in any order from current and outdated control machines. The version in force must
//! always be a decided one or its defined tightening, it must never return to an older one, and the learner must
//! converge when messages arrive again. The cases are the same in every run.

use calicolb_consensus::{
    Change, Check, Delta, Document, Learner, Rules, TighteningDirection, UpdateOutcome, ValidationError,
    Version, VersionId, VersionInForce, VersionMessage, apply_tightening,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use serde_json::{Value, json};
use std::sync::Arc;

const MAX_SILENCE_US: u64 = 3_000_000;

struct TestRules;

impl Check for TestRules {
    fn check(&self, _: &Document) -> Result<(), ValidationError> {
        Ok(())
    }
}

impl Rules for TestRules {
    fn tightening_direction(&self, key: &str) -> TighteningDirection {
        match key.as_bytes()[0] {
            b'l' => TighteningDirection::Less,
            b'g' => TighteningDirection::Greater,
            _ => TighteningDirection::Unknown,
        }
    }
}

/// The versions starting with 0, and the deltas between them.
#[derive(Debug, Clone)]
struct Chain {
    versions: Vec<Version>,
    deltas: Vec<Delta>,
}

fn build_chain(changes: Vec<Change>) -> Chain {
    let mut chain = Chain { versions: vec![Version::default()], deltas: Vec::new() };
    for change in changes {
        let from = chain.versions.last().unwrap();
        let next = Version::new(from.seq + 1, change.applied_to(&from.document));
        chain.deltas.push(Delta { seq: next.seq, from_digest: from.digest, digest: next.digest, change });
        chain.versions.push(next);
    }
    chain
}

/// A message of a control machine: the index of the version, the form, and whether the machine has a majority.
#[derive(Debug, Clone)]
struct ReceivedMessage {
    index: prop::sample::Index,
    form: u8,
    majority: bool,
}

fn message(chain: &Chain, received: &ReceivedMessage) -> VersionMessage {
    let index = received.index.index(chain.versions.len());
    let majority = received.majority;
    match received.form {
        0 => VersionMessage::Full { version: chain.versions[index].clone(), majority },
        1 if index > 0 => VersionMessage::Delta { delta: chain.deltas[index - 1].clone(), majority },
        _ => VersionMessage::Current { seq: index as u64, majority },
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Defect {
    None,
    WidensImmediately,
    TreatsAllAsMajority,
    IgnoresTightening,
    AcceptsAnyDelta,
    Regresses,
    NeverBehind,
    IgnoresFullVersions,
}

/// A learner that may have a defect.
struct TestLearner {
    learner: Learner,
    /// A learner without a defect that receives the same messages.
    reference: Learner,
    defect: Defect,
    overridden_version: Option<Arc<VersionInForce>>,
}

impl TestLearner {
    fn new(defect: Defect) -> TestLearner {
        let [learner, reference] = [0, 1].map(|_| Learner::new(MAX_SILENCE_US, Box::new(TestRules)));
        TestLearner { learner, reference, defect, overridden_version: None }
    }

    fn receive(&mut self, now: u64, mut message: VersionMessage) {
        self.reference.receive(now, message.clone());
        let (VersionMessage::Full { majority, .. }
        | VersionMessage::Delta { majority, .. }
        | VersionMessage::Current { majority, .. }) = &mut message;
        match self.defect {
            Defect::WidensImmediately | Defect::TreatsAllAsMajority => *majority = true,
            Defect::IgnoresTightening if !*majority => return,
            _ => {}
        }
        match (&message, self.defect) {
            (VersionMessage::Delta { delta, majority: true }, Defect::AcceptsAnyDelta) => {
                let in_force = self.in_force(now);
                if delta.seq > in_force.seq {
                    let document = Arc::new(delta.change.applied_to(&in_force.document));
                    let (seq, digest) = (delta.seq, delta.digest);
                    self.overridden_version =
                        Some(Arc::new(VersionInForce { seq, digest, document, tightened_to: None }));
                }
            }
            (VersionMessage::Full { version, majority: true }, Defect::Regresses)
                if version.seq < self.in_force(now).seq =>
            {
                let Version { seq, digest, document } = version.clone();
                self.overridden_version =
                    Some(Arc::new(VersionInForce { seq, digest, document, tightened_to: None }));
            }
            (VersionMessage::Full { .. }, Defect::IgnoresFullVersions) => return,
            _ => {}
        }
        self.learner.receive(now, message);
    }

    fn in_force(&self, now: u64) -> Arc<VersionInForce> {
        self.overridden_version.clone().unwrap_or_else(|| self.learner.in_force(now))
    }

    fn is_behind(&self, now: u64) -> bool {
        match self.defect {
            Defect::NeverBehind => false,
            Defect::WidensImmediately => self.reference.is_behind(now),
            _ => self.learner.is_behind(now),
        }
    }
}

/// Returns whether each value is that of the base version, or a tighter one from a version in between.
fn is_valid_tightening(chain: &Chain, now: &VersionInForce, tightened_to: u64) -> bool {
    let base = &chain.versions[now.seq as usize].document;
    let between = &chain.versions[now.seq as usize..=tightened_to as usize];
    let number = |value: &Value| value.as_i64().unwrap_or(0);
    base.keys().eq(now.document.keys())
        && now.document.iter().all(|(key, value)| {
            let tighter = match TestRules.tightening_direction(key) {
                TighteningDirection::Less => number(value) < number(&base[key]),
                TighteningDirection::Greater => number(value) > number(&base[key]),
                TighteningDirection::Unknown => false,
            };
            *value == base[key]
                || (tighter && between.iter().any(|version| version.document.get(key) == Some(value)))
        })
}

fn check_messages(chain: &Chain, messages: &[ReceivedMessage], defect: Defect) -> Result<(), TestCaseError> {
    let mut learner = TestLearner::new(defect);
    let (mut now, mut last_majority) = (0, None);
    for received in messages {
        now += 50_000;
        let previous = learner.in_force(now);
        let message = message(chain, received);
        learner.receive(now, message.clone());
        let current = learner.in_force(now);
        if received.majority {
            last_majority = Some(now);
        }
        let decided = &chain.versions[current.seq as usize];
        prop_assert_eq!(current.digest, decided.digest, "a version in force was never decided");
        match current.tightened_to {
            None => {
                prop_assert_eq!(
                    &current.document,
                    &decided.document,
                    "the document is not that of its version"
                )
            }
            Some(tightened_to) => prop_assert!(
                is_valid_tightening(chain, &current, tightened_to),
                "the document is neither decided nor tightened"
            ),
        }
        prop_assert!(current.seq >= previous.seq, "the version number decreased");
        prop_assert!(
            received.majority || current.seq == previous.seq,
            "a machine without a majority caused a widening"
        );
        if let VersionMessage::Full { version, majority: false } = &message
            && version.seq > previous.tightened_to.unwrap_or(previous.seq)
            && version.seq > current.seq
        {
            let expected = apply_tightening(&previous.document, &version.document, &|key| {
                TestRules.tightening_direction(key)
            });
            prop_assert!(*current.document == expected, "tightening keys did not come into force at once");
        }
        prop_assert!(
            last_majority.is_some() || learner.is_behind(now),
            "up to date without a message from a majority"
        );
    }
    let after_silence = last_majority.unwrap_or(0) + MAX_SILENCE_US + 1;
    prop_assert!(learner.is_behind(after_silence.max(now)), "not behind after the maximum silence");
    // Messages arrive again: either the deltas since the held version, or the complete version.
    let last = chain.versions.last().unwrap();
    let VersionId { seq, .. } = learner.learner.held_version();
    if messages.len().is_multiple_of(2) {
        for delta in &chain.deltas[seq as usize..] {
            learner.receive(now, VersionMessage::Delta { delta: delta.clone(), majority: true });
        }
    } else {
        learner.receive(now, VersionMessage::Full { version: last.clone(), majority: true });
    }
    learner.receive(now, VersionMessage::Current { seq: last.seq, majority: true });
    let current = learner.in_force(now);
    let expected = VersionInForce {
        seq: last.seq,
        digest: last.digest,
        document: last.document.clone(),
        tightened_to: None,
    };
    prop_assert_eq!(&*current, &expected, "not converged at the end");
    prop_assert!(!learner.is_behind(now), "behind at the end although up to date");
    Ok(())
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let key = prop::sample::select(vec!["l0", "l1", "l2", "g0", "g1", "u0", "u1"]);
    let change =
        (prop::collection::btree_map(key.clone(), 0..9_i64, 0..4), prop::collection::btree_set(key, 0..2));
    let change = change.prop_map(|(set, unset)| Change {
        set: set.into_iter().map(|(key, value)| (key.to_owned(), json!(value))).collect(),
        unset: unset.into_iter().map(str::to_owned).collect(),
    });
    prop::collection::vec(change, 1..12)
}

fn received_messages() -> impl Strategy<Value = Vec<ReceivedMessage>> {
    let message = (any::<prop::sample::Index>(), 0..3_u8, any::<bool>());
    prop::collection::vec(
        message.prop_map(|(index, form, majority)| ReceivedMessage { index, form, majority }),
        0..40,
    )
}

type Case = (Vec<Change>, Vec<ReceivedMessage>);

fn run_cases(defect: Defect) -> Result<(), TestError<Case>> {
    let config = Config { cases: 600, failure_persistence: None, max_shrink_iters: 200, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner.run(&(changes(), received_messages()), |(changes, received)| {
        check_messages(&build_chain(changes), &received, defect)
    })
}

#[test]
fn any_sequence_of_messages_leaves_only_agreed_or_tightened_versions_in_force() {
    if let Err(error) = run_cases(Defect::None) {
        panic!("{error}");
    }
}

#[test]
fn defective_learners_are_caught() {
    let defects = [
        (Defect::WidensImmediately, "a machine without a majority caused a widening"),
        (Defect::IgnoresTightening, "tightening keys did not come into force at once"),
        (Defect::AcceptsAnyDelta, "the document is not that of its version"),
        (Defect::Regresses, "the version number decreased"),
        (Defect::TreatsAllAsMajority, "up to date without a message from a majority"),
        (Defect::NeverBehind, "not behind after the maximum silence"),
        (Defect::IgnoresFullVersions, "not converged at the end"),
    ];
    for (defect, claim) in defects {
        let error = run_cases(defect).expect_err(&format!("{defect:?} is not detected")).to_string();
        assert!(error.contains(claim), "{defect:?} is detected by another assertion: {error}");
    }
}

fn set_key(key: &str, value: i64) -> Change {
    Change { set: Document::from([(key.to_owned(), json!(value))]), ..Change::default() }
}

#[test]
fn tightening_applies_at_once_and_widening_waits_for_a_majority() {
    let chain = build_chain(vec![
        Change {
            set: Document::from([("l".into(), json!(5)), ("g".into(), json!(5)), ("u".into(), json!(5))]),
            ..Change::default()
        },
        Change {
            set: Document::from([("l".into(), json!(3)), ("g".into(), json!(3)), ("u".into(), json!(3))]),
            ..Change::default()
        },
        set_key("l", 9),
    ]);
    let mut learner = Learner::new(MAX_SILENCE_US, Box::new(TestRules));
    let version = |index: usize| chain.versions[index].clone();
    assert_eq!(
        learner.receive(0, VersionMessage::Full { version: version(1), majority: true }),
        UpdateOutcome::InForce
    );
    assert_eq!(
        learner.receive(1, VersionMessage::Full { version: version(2), majority: false }),
        UpdateOutcome::Tightened
    );
    let expected = Document::from([("g".into(), json!(5)), ("l".into(), json!(3)), ("u".into(), json!(5))]);
    assert_eq!((&*learner.in_force(1).document, learner.in_force(1).tightened_to), (&expected, Some(2)));
    // A tightened key stays tightened although a later version, also sent without a majority, widens it.
    learner.receive(2, VersionMessage::Delta { delta: chain.deltas[2].clone(), majority: false });
    assert_eq!(*learner.in_force(2).document, expected);
    assert!(learner.is_behind(2));
    assert_eq!(
        learner.receive(3, VersionMessage::Current { seq: 3, majority: true }),
        UpdateOutcome::InForce
    );
    assert_eq!(learner.in_force(3).document, chain.versions[3].document);
    assert!(!learner.is_behind(3));
}

#[test]
fn an_invalid_version_does_not_come_into_force() {
    struct RejectsThirteen;
    impl Check for RejectsThirteen {
        fn check(&self, whole: &Document) -> Result<(), ValidationError> {
            let invalid_entry = whole.iter().find(|(_, value)| **value == 13);
            invalid_entry.map_or(Ok(()), |(key, _)| {
                Err(ValidationError { key: key.clone(), reason: "the value must not be 13".into() })
            })
        }
    }
    impl Rules for RejectsThirteen {
        fn tightening_direction(&self, _: &str) -> TighteningDirection {
            TighteningDirection::Less
        }
    }
    let chain = build_chain(vec![set_key("a", 1), set_key("a", 13), set_key("a", 2)]);
    let mut learner = Learner::new(MAX_SILENCE_US, Box::new(RejectsThirteen));
    let receive = |learner: &mut Learner, index: usize| {
        learner.receive(
            index as u64,
            VersionMessage::Delta { delta: chain.deltas[index].clone(), majority: true },
        )
    };
    assert_eq!(receive(&mut learner, 0), UpdateOutcome::InForce);
    let expected_error = ValidationError { key: "a".into(), reason: "the value must not be 13".into() };
    assert_eq!(receive(&mut learner, 1), UpdateOutcome::Invalid(expected_error.clone()));
    assert_eq!(
        (learner.in_force(1).seq, learner.validation_error(), learner.is_behind(1)),
        (1, Some(&expected_error), true)
    );
    assert_eq!(receive(&mut learner, 2), UpdateOutcome::InForce);
    assert_eq!((learner.in_force(2).seq, learner.validation_error(), learner.is_behind(2)), (3, None, false));
}

#[test]
fn a_gap_is_requested_with_increasing_intervals() {
    let chain = build_chain(vec![set_key("a", 1), set_key("a", 2), set_key("a", 3)]);
    let mut learner = Learner::new(MAX_SILENCE_US, Box::new(TestRules));
    learner.receive(0, VersionMessage::Delta { delta: chain.deltas[0].clone(), majority: true });
    assert_eq!(learner.next_request(0), None, "an up-to-date learner requests changes");
    assert_eq!(
        learner.receive(1, VersionMessage::Delta { delta: chain.deltas[2].clone(), majority: true }),
        UpdateOutcome::Gap
    );
    let expected_request = VersionId { seq: 1, digest: chain.versions[1].digest };
    let times: Vec<u64> = (1..20_000_000)
        .step_by(10_000)
        .filter(|now| learner.next_request(*now) == Some(expected_request))
        .collect();
    let intervals: Vec<u64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(intervals[..5], [250_000, 500_000, 1_000_000, 2_000_000, 4_000_000]);
    assert!(intervals[5..].iter().all(|pause| *pause == 4_000_000));
}
