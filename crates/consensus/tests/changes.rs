//! Tests of changes, deltas and digests.

use calicolb_consensus::{Change, Delta, DeltaError, Digest, Document, ParseDigestError, Version};
use serde_json::{Value, json};

fn document(entries: &[(&str, Value)]) -> Document {
    entries.iter().map(|(key, value)| ((*key).to_owned(), value.clone())).collect()
}

#[test]
fn a_delta_applies_only_to_its_base_version_and_checks_the_result() {
    let from = Version::new(4, document(&[("a", json!(1)), ("b", json!(2))]));
    let change = Change { set: document(&[("a", json!(3))]), unset: ["b".to_owned()].into() };
    let to = Version::new(5, document(&[("a", json!(3))]));
    let delta = Delta { seq: 5, from_digest: from.digest, digest: to.digest, change };
    assert_eq!(from.with_delta(&delta), Ok(to.clone()));
    assert_eq!(from.with_delta(&Delta { seq: 6, ..delta.clone() }), Err(DeltaError::WrongBase));
    assert_eq!(
        from.with_delta(&Delta { from_digest: to.digest, ..delta.clone() }),
        Err(DeltaError::WrongBase)
    );
    assert_eq!(
        from.with_delta(&Delta { digest: from.digest, ..delta.clone() }),
        Err(DeltaError::WrongDigest)
    );
    assert_eq!(to.with_delta(&delta), Err(DeltaError::WrongBase));
}

#[test]
fn a_key_that_is_both_set_and_unset_is_set() {
    let change = Change { set: document(&[("a", json!(1))]), unset: ["a".to_owned()].into() };
    assert_eq!(change.applied_to(&document(&[("a", json!(0))])), document(&[("a", json!(1))]));
}

#[test]
fn a_digest_is_computed_from_the_canonical_form() {
    // The SHA-256 digests of {} and of {"a":1}.
    let empty = "44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a";
    let one = "015abd7f5cc57a2dd94b7590f04ad8084273905ee33ec5cebeae62276a97f862";
    assert_eq!(Digest::of(&Document::new()).to_string(), empty);
    assert_eq!(Digest::of(&document(&[("a", json!(1))])).to_string(), one);
    assert_eq!(one.parse(), Ok(Digest::of(&document(&[("a", json!(1))]))));
    let texts = [r#"{"x":{"a":1,"b":[2,{"c":3,"d":4}]}}"#, r#"{ "x": {"b":[2,{"d":4,"c":3}], "a":1} }"#];
    let [first, second] = texts.map(|text| Digest::of(&serde_json::from_str(text).unwrap()));
    assert_eq!(first, second, "the digest depends on the order of nested keys");
    for text in ["", "44", &"g".repeat(64), &format!("{empty}0"), &empty.replace('4', "é")] {
        assert_eq!(text.parse::<Digest>(), Err(ParseDigestError), "{text}");
    }
}

#[test]
fn a_document_is_unchanged_by_serialization() {
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..20_000 {
        let number = f64::from_bits(rng.u64(..));
        let value = if number.is_finite() { json!(number) } else { json!(rng.i64(..)) };
        let version = Version::new(1, document(&[("a", value)]));
        let text = serde_json::to_string(&version).unwrap();
        let back: Version = serde_json::from_str(&text).unwrap();
        assert!(back == version && back.digest_matches(), "{text}");
    }
}
