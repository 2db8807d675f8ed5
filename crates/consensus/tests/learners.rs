//! Whatever reaches a learner, in whatever order, from fresh and stale control machines: what it has in force was
//! agreed, or is the stated tightening of it; it never goes back; it ends level once messages flow. The cases are the
//! same in every run.

use calicolb_consensus::{
    Change, Check, Delta, Document, Learner, Rules, TighteningDirection, UpdateOutcome, ValidationError,
    Version, VersionId, VersionInForce, VersionMessage, apply_tightening,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use serde_json::{Value, json};
use std::sync::Arc;

const SILENCE_US: u64 = 3_000_000;

struct Limits;

impl Check for Limits {
    fn check(&self, _: &Document) -> Result<(), ValidationError> {
        Ok(())
    }
}

impl Rules for Limits {
    fn tightening_direction(&self, key: &str) -> TighteningDirection {
        match key.as_bytes()[0] {
            b'l' => TighteningDirection::Less,
            b'g' => TighteningDirection::Greater,
            _ => TighteningDirection::Unknown,
        }
    }
}

/// Versions from 0 on, and the deltas between them.
#[derive(Debug, Clone)]
struct Chain {
    versions: Vec<Version>,
    deltas: Vec<Delta>,
}

fn chain(changes: Vec<Change>) -> Chain {
    let mut chain = Chain { versions: vec![Version::default()], deltas: Vec::new() };
    for change in changes {
        let from = chain.versions.last().unwrap();
        let next = Version::new(from.seq + 1, change.applied_to(&from.document));
        chain.deltas.push(Delta { seq: next.seq, from_digest: from.digest, digest: next.digest, change });
        chain.versions.push(next);
    }
    chain
}

/// What a control machine told: which version, in which form, and whether it had a majority.
#[derive(Debug, Clone)]
struct Told {
    at: prop::sample::Index,
    form: u8,
    majority: bool,
}

fn message(chain: &Chain, told: &Told) -> VersionMessage {
    let at = told.at.index(chain.versions.len());
    let majority = told.majority;
    match told.form {
        0 => VersionMessage::Full { version: chain.versions[at].clone(), majority },
        1 if at > 0 => VersionMessage::Delta { delta: chain.deltas[at - 1].clone(), majority },
        _ => VersionMessage::Current { seq: at as u64, majority },
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Defect {
    None,
    WidensAtOnce,
    TrustsAll,
    IgnoresTightening,
    AnyDelta,
    GoesBack,
    NeverBehind,
    NeverTakesWhole,
}

/// A learner, or one with a defect.
struct Subject {
    learner: Learner,
    /// Hears the same, and has no defect.
    sound: Learner,
    defect: Defect,
    force: Option<Arc<VersionInForce>>,
}

impl Subject {
    fn new(defect: Defect) -> Subject {
        let [learner, sound] = [0, 1].map(|_| Learner::new(SILENCE_US, Box::new(Limits)));
        Subject { learner, sound, defect, force: None }
    }

    fn receive(&mut self, now: u64, mut message: VersionMessage) {
        self.sound.receive(now, message.clone());
        let (VersionMessage::Full { majority, .. }
        | VersionMessage::Delta { majority, .. }
        | VersionMessage::Current { majority, .. }) = &mut message;
        match self.defect {
            Defect::WidensAtOnce | Defect::TrustsAll => *majority = true,
            Defect::IgnoresTightening if !*majority => return,
            _ => {}
        }
        match (&message, self.defect) {
            (VersionMessage::Delta { delta, majority: true }, Defect::AnyDelta) => {
                let in_force = self.in_force(now);
                if delta.seq > in_force.seq {
                    let document = Arc::new(delta.change.applied_to(&in_force.document));
                    let (seq, digest) = (delta.seq, delta.digest);
                    self.force = Some(Arc::new(VersionInForce { seq, digest, document, tightened_to: None }));
                }
            }
            (VersionMessage::Full { version, majority: true }, Defect::GoesBack)
                if version.seq < self.in_force(now).seq =>
            {
                let Version { seq, digest, document } = version.clone();
                self.force = Some(Arc::new(VersionInForce { seq, digest, document, tightened_to: None }));
            }
            (VersionMessage::Full { .. }, Defect::NeverTakesWhole) => return,
            _ => {}
        }
        self.learner.receive(now, message);
    }

    fn in_force(&self, now: u64) -> Arc<VersionInForce> {
        self.force.clone().unwrap_or_else(|| self.learner.in_force(now))
    }

    fn is_behind(&self, now: u64) -> bool {
        match self.defect {
            Defect::NeverBehind => false,
            Defect::WidensAtOnce => self.sound.is_behind(now),
            _ => self.learner.is_behind(now),
        }
    }
}

/// Each value was in force in the version below or is a tighter one of a version in between.
fn is_tightened(chain: &Chain, now: &VersionInForce, to: u64) -> bool {
    let base = &chain.versions[now.seq as usize].document;
    let between = &chain.versions[now.seq as usize..=to as usize];
    let number = |value: &Value| value.as_i64().unwrap_or(0);
    base.keys().eq(now.document.keys())
        && now.document.iter().all(|(key, value)| {
            let tighter = match Limits.tightening_direction(key) {
                TighteningDirection::Less => number(value) < number(&base[key]),
                TighteningDirection::Greater => number(value) > number(&base[key]),
                TighteningDirection::Unknown => false,
            };
            *value == base[key] || (tighter && between.iter().any(|v| v.document.get(key) == Some(value)))
        })
}

fn tell(chain: &Chain, tolds: &[Told], defect: Defect) -> Result<(), TestCaseError> {
    let mut subject = Subject::new(defect);
    let (mut now, mut heard) = (0, None);
    for told in tolds {
        now += 50_000;
        let before = subject.in_force(now);
        let message = message(chain, told);
        subject.receive(now, message.clone());
        let after = subject.in_force(now);
        if told.majority {
            heard = Some(now);
        }
        let agreed = &chain.versions[after.seq as usize];
        prop_assert_eq!(after.digest, agreed.digest, "a version that was never agreed");
        match after.tightened_to {
            None => prop_assert_eq!(&after.document, &agreed.document, "not the whole of its version"),
            Some(to) => prop_assert!(is_tightened(chain, &after, to), "neither agreed nor tightened"),
        }
        prop_assert!(after.seq >= before.seq, "went back");
        prop_assert!(told.majority || after.seq == before.seq, "widened by a machine without a majority");
        if let VersionMessage::Full { version, majority: false } = &message
            && version.seq > before.tightened_to.unwrap_or(before.seq)
            && version.seq > after.seq
        {
            let least = apply_tightening(&before.document, &version.document, &|key| {
                Limits.tightening_direction(key)
            });
            prop_assert!(*after.document == least, "what tightens didn't count at once");
        }
        prop_assert!(heard.is_some() || subject.is_behind(now), "level without a majority");
    }
    let silent = heard.unwrap_or(0) + SILENCE_US + 1;
    prop_assert!(subject.is_behind(silent.max(now)), "not behind in silence");
    // Messages flow again: the changes since what it holds, or the whole.
    let last = chain.versions.last().unwrap();
    let VersionId { seq, .. } = subject.learner.held_version();
    if tolds.len().is_multiple_of(2) {
        for delta in &chain.deltas[seq as usize..] {
            subject.receive(now, VersionMessage::Delta { delta: delta.clone(), majority: true });
        }
    } else {
        subject.receive(now, VersionMessage::Full { version: last.clone(), majority: true });
    }
    subject.receive(now, VersionMessage::Current { seq: last.seq, majority: true });
    let after = subject.in_force(now);
    let expected = VersionInForce {
        seq: last.seq,
        digest: last.digest,
        document: last.document.clone(),
        tightened_to: None,
    };
    prop_assert_eq!(&*after, &expected, "not level at the end");
    prop_assert!(!subject.is_behind(now), "behind at the end");
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

fn told() -> impl Strategy<Value = Vec<Told>> {
    let one = (any::<prop::sample::Index>(), 0..3_u8, any::<bool>());
    prop::collection::vec(one.prop_map(|(at, form, majority)| Told { at, form, majority }), 0..40)
}

type Case = (Vec<Change>, Vec<Told>);

fn play(defect: Defect) -> Result<(), TestError<Case>> {
    let config = Config { cases: 600, failure_persistence: None, max_shrink_iters: 200, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner.run(&(changes(), told()), |(changes, told)| tell(&chain(changes), &told, defect))
}

#[test]
fn whatever_it_hears_a_learner_keeps_to_what_was_agreed() {
    if let Err(error) = play(Defect::None) {
        panic!("{error}");
    }
}

#[test]
fn learners_with_defects_are_caught() {
    let defects = [
        (Defect::WidensAtOnce, "widened by a machine without a majority"),
        (Defect::IgnoresTightening, "what tightens didn't count at once"),
        (Defect::AnyDelta, "not the whole of its version"),
        (Defect::GoesBack, "went back"),
        (Defect::TrustsAll, "level without a majority"),
        (Defect::NeverBehind, "not behind in silence"),
        (Defect::NeverTakesWhole, "not level at the end"),
    ];
    for (defect, claim) in defects {
        let error = play(defect).expect_err(&format!("{defect:?} isn't caught")).to_string();
        assert!(error.contains(claim), "{defect:?} is caught, but by: {error}");
    }
}

fn one(key: &str, value: i64) -> Change {
    Change { set: Document::from([(key.to_owned(), json!(value))]), ..Change::default() }
}

#[test]
fn tightening_counts_at_once_and_widening_waits() {
    let chain = chain(vec![
        Change {
            set: Document::from([("l".into(), json!(5)), ("g".into(), json!(5)), ("u".into(), json!(5))]),
            ..Change::default()
        },
        Change {
            set: Document::from([("l".into(), json!(3)), ("g".into(), json!(3)), ("u".into(), json!(3))]),
            ..Change::default()
        },
        one("l", 9),
    ]);
    let mut learner = Learner::new(SILENCE_US, Box::new(Limits));
    let version = |at: usize| chain.versions[at].clone();
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
    // A tightened key stays so although the next version, no less old, widens it.
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
fn a_version_that_isnt_usable_here_doesnt_come_into_force() {
    struct NoThirteen;
    impl Check for NoThirteen {
        fn check(&self, whole: &Document) -> Result<(), ValidationError> {
            let faulty = whole.iter().find(|(_, value)| **value == 13);
            faulty.map_or(Ok(()), |(key, _)| Err(ValidationError { key: key.clone(), reason: "13".into() }))
        }
    }
    impl Rules for NoThirteen {
        fn tightening_direction(&self, _: &str) -> TighteningDirection {
            TighteningDirection::Less
        }
    }
    let chain = chain(vec![one("a", 1), one("a", 13), one("a", 2)]);
    let mut learner = Learner::new(SILENCE_US, Box::new(NoThirteen));
    let receive = |learner: &mut Learner, at: usize| {
        learner.receive(at as u64, VersionMessage::Delta { delta: chain.deltas[at].clone(), majority: true })
    };
    assert_eq!(receive(&mut learner, 0), UpdateOutcome::InForce);
    let fault = ValidationError { key: "a".into(), reason: "13".into() };
    assert_eq!(receive(&mut learner, 1), UpdateOutcome::Invalid(fault.clone()));
    assert_eq!(
        (learner.in_force(1).seq, learner.validation_error(), learner.is_behind(1)),
        (1, Some(&fault), true)
    );
    assert_eq!(receive(&mut learner, 2), UpdateOutcome::InForce);
    assert_eq!((learner.in_force(2).seq, learner.validation_error(), learner.is_behind(2)), (3, None, false));
}

#[test]
fn a_gap_is_asked_for_and_questions_are_paced() {
    let chain = chain(vec![one("a", 1), one("a", 2), one("a", 3)]);
    let mut learner = Learner::new(SILENCE_US, Box::new(Limits));
    learner.receive(0, VersionMessage::Delta { delta: chain.deltas[0].clone(), majority: true });
    assert_eq!(learner.next_request(0), None, "level");
    assert_eq!(
        learner.receive(1, VersionMessage::Delta { delta: chain.deltas[2].clone(), majority: true }),
        UpdateOutcome::Gap
    );
    let ask = VersionId { seq: 1, digest: chain.versions[1].digest };
    let times: Vec<u64> =
        (1..20_000_000).step_by(10_000).filter(|now| learner.next_request(*now) == Some(ask)).collect();
    let pauses: Vec<u64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses[..5], [250_000, 500_000, 1_000_000, 2_000_000, 4_000_000]);
    assert!(pauses[5..].iter().all(|pause| *pause == 4_000_000));
}
