//! Tests of the conversion between settings and documents, and of the validation of documents.

use super::*;
use crate::config::agreed::SharedSettingsCheck;
use crate::net::control::messages::{ChangeRequest, InForceReport};
use calicolb::api::{Effect, Settings};
use calicolb_consensus::Check;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::json;
use std::cell::Cell;

fn runner(seed: u8, cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

/// Settings in which every key is set.
fn full_settings() -> Value {
    json!({
        "azs": ["north", "south"], "kinds": ["big", "small"], "zone": "north", "n_instances": 2, "rank": 0,
        "ceilings": {"cancelling": true, "connect_timeout_us": 250_000, "max_retry_after_us": 2_000_000,
            "may_duplicate": true, "most_tries": 4, "peers": true, "probes": true, "retry_after": false,
            "conn_idle_us": 5_000_000, "max_open": 900},
        "costs": {"cross_zone": 0.01, "peer": 0.001, "probe": 0.002, "waste": 0.1},
        "counted_by": "work", "registry_mode": "subscribe", "tick_us": 1000, "weight_source": "none",
        "extra": {"class_kind": [-1, 1, 0], "class_priority": [3, 0, 1], "class_stretch": [2.0, 1.5, 0.0],
            "progress_us": 1_000_000, "queue_order": "fifo", "report_x0": "free slots", "tells_start": true},
        "over_share_worth": 0.3, "orgs": [{"name": "zeta", "quota_rps": 7.5, "share": 0.5},
            {"name": "acme"}, {"name": "a.b", "quota_rps": 1.0}],
        "report": {"fields": ["utilization", "x0"], "how": "answers"},
        "request_classes": [
            {"name": "look", "aim_us": 900_000, "deadline_us": 20_000_000, "effect": "read_like", "worth": 1.0},
            {"name": "book", "aim_us": 900_000, "deadline_us": 20_000_000, "effect": "non_idempotent"},
            {"name": "fit", "aim_us": 1, "deadline_us": 2, "effect": "idempotency_key", "group": "zone",
                "memory_span_us": 60_000_000, "aim_stretch": 0.25, "late_worth": 0.5}],
        "rules": {"answer_slack_us": 8000, "ask_every_us": 1000, "cold_us": 1_000_000, "drain_grace_us": 500_000,
            "fall_multiple": 3.0, "fall_us": 1_000_000, "start_capacity": 0.3}
    })
}

/// The classes and tenants of the settings by name, so that comparisons ignore their order.
fn by_name(update: &SettingsUpdate) -> (BTreeMap<String, String>, BTreeMap<String, String>) {
    let classes = update.names.classes().zip(&update.settings.classes);
    let tenants = update.names.tenants().zip(&update.settings.tenants);
    (
        classes.map(|(name, class)| (name.to_owned(), format!("{class:?}"))).collect(),
        tenants.map(|(name, tenant)| (name.to_owned(), format!("{tenant:?}"))).collect(),
    )
}

fn parse(settings: &Value) -> SettingsUpdate {
    platform::parse_settings(settings).unwrap_or_else(|error| panic!("{error}"))
}

/// Asserts that converting settings to a document and back gives equivalent settings and the same document.
fn assert_round_trip(settings: &Value) {
    let document = to_document(settings);
    let back = from_document(&document).unwrap_or_else(|error| panic!("{error}: {document:?}"));
    assert_eq!(to_document(&back), document);
    let (original, converted) = (parse(settings), parse(&back));
    assert_eq!(by_name(&original), by_name(&converted));
    assert_eq!(
        (original.worker_idle_timeout, original.max_open_requests),
        (converted.worker_idle_timeout, converted.max_open_requests)
    );
    let without_lists =
        |update: SettingsUpdate| Settings { classes: Vec::new(), tenants: Vec::new(), ..update.settings };
    assert_eq!(without_lists(original), without_lists(converted));
}

#[test]
fn settings_survive_conversion_to_a_document_and_back() {
    let document = to_document(&full_settings());
    for (key, value) in [
        ("request_classes.look.aim_us", json!(900_000)),
        ("request_classes.fit.late_worth", json!(0.5)),
        ("orgs.zeta.quota_rps", json!(7.5)),
        ("orgs.acme", json!({})),
        ("orgs.a.b.quota_rps", json!(1.0)),
        ("extra.class_kind.book", json!(1)),
        ("ceilings.most_tries", json!(4)),
        ("report.fields", json!(["utilization", "x0"])),
    ] {
        assert_eq!(document.get(key), Some(&value), "{key} of {document:?}");
    }
    assert_round_trip(&full_settings());
    // The smallest valid settings; then objects whose key contains a dot, an empty named list and objects nested deeper
    // than a key may have parts.
    assert_round_trip(&json!({"request_classes": [{"name": "a", "effect": "read_like"}]}));
    assert_round_trip(
        &json!({"request_classes": [{"name": "a", "effect": "read_like"}], "odd": {"x.y": 1, "z": {}},
        "orgs": [], "empty": {}, "deep": {"a": {"b": {"c": {"d": {"e": {"f": {"g": {"h": {"i": 1}}}}}}}}}}),
    );
}

#[test]
fn settings_with_any_number_and_order_of_entries_survive_conversion() {
    let class = (0..3_usize, 1..9_u64, -1..2_i64, 0..4_i64, 0.0..9.0_f64);
    let inputs = (
        proptest::collection::vec(class, 1..12),
        proptest::collection::vec((any::<bool>(), 0.0..99.0_f64), 0..30),
        any::<u64>(),
    );
    let checked = runner(11, 200).run(&inputs, |(classes, tenants, order)| {
        let effects = ["read_like", "idempotency_key", "non_idempotent"];
        // Names whose sorted order differs from the order of the list.
        let name = |index: usize| format!("{:x}.{index}", (index as u64 + 1).wrapping_mul(order | 1) >> 40);
        let extra = |field: fn(&(usize, u64, i64, i64, f64)) -> Value| classes.iter().map(field).collect::<Vec<_>>();
        let mut settings = full_settings();
        settings["request_classes"] = (0..).zip(&classes).map(|(index, class)| {
            json!({"name": name(index), "effect": effects[class.0], "aim_us": class.1, "deadline_us": class.1 * 2})
        }).collect();
        settings["orgs"] = (0..).zip(&tenants).map(|(index, (has_quota, quota))| {
            if *has_quota { json!({"name": name(index), "quota_rps": quota}) } else { json!({"name": name(index)}) }
        }).collect();
        settings["extra"]["class_kind"] = extra(|class| json!(class.2)).into();
        settings["extra"]["class_priority"] = extra(|class| json!(class.3)).into();
        settings["extra"]["class_stretch"] = extra(|class| json!(class.4)).into();
        assert_round_trip(&settings);
        Ok(())
    });
    checked.unwrap_or_else(|failure| panic!("seed 11: {failure}"));
}

/// One of several values that are invalid for most keys.
fn unexpected_value(index: usize) -> Value {
    let all = [
        json!(null),
        json!(true),
        json!(-1),
        json!(0),
        json!(u64::MAX),
        json!(1e308),
        json!(-0.5),
        json!(""),
        json!("read_like"),
        json!([]),
        json!([[1], {"name": 3}]),
        json!({}),
        json!({"a": {"b": 1}}),
        json!("\u{0}"),
    ];
    all[index % all.len()].clone()
}

#[test]
fn mangled_document_is_accepted_or_rejected_with_its_key() {
    let valid = to_document(&full_settings());
    let keys: Vec<String> = valid.keys().cloned().collect();
    let mutation = (any::<u8>(), 0..keys.len(), any::<usize>(), "[a-z._\u{0}-\u{ff}]{0,12}");
    let changes = proptest::collection::vec(mutation, 1..4);
    let (accepted, rejected) = (Cell::new(0), Cell::new(0));
    let checked = runner(12, 4_000).run(&changes, |changes| {
        let mut document = valid.clone();
        for (operation, at, value, text) in changes {
            let key = match operation % 6 {
                0 => keys[at].clone(),
                1 => format!("{}.{text}", keys[at]),
                2 => format!("{text}.{}", keys[at]),
                3 => keys[at].rsplit_once('.').map_or(text, |(group, _)| group.to_owned()),
                4 => text,
                _ => {
                    document.remove(&keys[at]);
                    continue;
                }
            };
            document.insert(key, unexpected_value(value));
        }
        match check(&document) {
            Ok(_) => accepted.set(accepted.get() + 1),
            Err(error) => {
                rejected.set(rejected.get() + 1);
                let names_a_key = !error.key.is_empty() || document.contains_key("");
                prop_assert!(names_a_key && !error.reason.is_empty(), "{:?} of {:?}", error, document);
            }
        }
        Ok(())
    });
    checked.unwrap_or_else(|failure| panic!("seed 12: {failure}"));
    let (accepted, rejected) = (accepted.get(), rejected.get());
    assert!(accepted > 100 && rejected > 1_000, "{accepted} accepted, {rejected} rejected");
}

#[test]
fn validation_error_names_the_invalid_key() {
    let assert_error = |key: &str, value: Value, expected_key: &str| {
        let mut document = to_document(&full_settings());
        document.insert(key.to_owned(), value);
        let error = check(&document).err().unwrap_or_else(|| panic!("{key} was accepted"));
        assert_eq!(error.key, expected_key, "{error}");
    };
    for key in ["request_classes.look.aim_us", "ceilings.most_tries", "orgs.zeta.quota_rps", "rules.cold_us"]
    {
        assert_error(key, json!("many"), key);
        assert_error(key, json!(-3), key);
    }
    assert_error("request_classes.look.effect", json!("odd"), "request_classes.look.effect");
    assert_error("request_classes.look.deadline_us", json!(u64::MAX), "request_classes.look.deadline_us");
    assert_error("request_classes.new.aim_us", json!(7), "request_classes.new.effect");
    assert_error("request_classes.look.name", json!("book"), "request_classes.look.name");
    assert_error("request_classes.look", json!(7), "request_classes.look");
    assert_error("request_classes", json!([]), "request_classes.book.aim_us");
    assert_error("ceilings", json!(7), "ceilings.cancelling");
    assert_error("ceilings.max_open", json!("50"), "ceilings.max_open");
    assert_error("extra.class_kind.lost", json!(1), "extra.class_kind.lost");
    assert_error("extra.class_kind.look", json!("big"), "extra.class_kind.look");
    assert_error("a..b", json!(1), "a..b");
    assert_error(&"a.".repeat(20), json!(1), &"a.".repeat(20));
    assert_error(&"a".repeat(300), json!(1), &"a".repeat(300));
    // A list in which a name occurs twice stays one value in the document, and validation rejects it.
    for (list, key) in [("request_classes", "request_classes.look"), ("orgs", "orgs.zeta")] {
        let mut duplicated = full_settings();
        let first = duplicated[list][0].clone();
        duplicated[list].as_array_mut().expect("the setting is not a list").push(first);
        let document = to_document(&duplicated);
        assert!(document.contains_key(list), "{document:?}");
        assert_eq!(
            platform::parse_settings(&duplicated).expect_err("a list with a duplicate name was accepted").key,
            key
        );
    }
    let empty = check(&Document::new()).expect_err("an empty document was accepted");
    assert_eq!(empty.key, "request_classes");
}

#[test]
fn diff_applied_to_the_old_document_gives_the_new_one() {
    let old = to_document(&full_settings());
    let mut new = old.clone();
    new.insert("orgs.acme.quota_rps".to_owned(), json!(3.0));
    new.insert("ceilings.most_tries".to_owned(), json!(2));
    new.remove("orgs.zeta.share");
    let Diff { set, unset } = diff(&old, &new);
    assert_eq!((set.len(), unset.len()), (2, 1));
    let mut patched = old.clone();
    patched.extend(set);
    patched.retain(|key, _| !unset.contains(key));
    assert_eq!(patched, new);
    assert_eq!(diff(&old, &old), Diff::default());
}

#[test]
fn removing_a_class_kind_leaves_the_class_without_kind() {
    let mut document = to_document(&full_settings());
    document.remove("extra.class_kind.book");
    let update = check(&document).expect("the document without the kind of class book was rejected");
    let kind = |name: &str| {
        let at = update.names.class(name).expect("the class is missing from the settings").0;
        update.settings.classes[at].kind.map(|kind| kind.0)
    };
    assert_eq!((kind("book"), kind("fit"), kind("look")), (None, Some(0), None));
    let keyed = update.settings.classes.iter().filter(|class| matches!(class.effect, Effect::Keyed { .. }));
    assert_eq!(keyed.count(), 1);
}

#[test]
fn tightening_direction_depends_on_the_key() {
    for (key, direction) in [
        ("orgs.acme.quota_rps", Direction::Less),
        ("orgs.a.b.quota_rps", Direction::Less),
        ("request_classes.look.deadline_us", Direction::Less),
        ("ceilings.most_tries", Direction::Less),
        ("ceilings.may_duplicate", Direction::Less),
        ("rules.cold_us", Direction::Greater),
        ("request_classes.look.effect", Direction::Unknown),
        ("request_classes.look.worth", Direction::Unknown),
        ("deadline_us", Direction::Unknown),
        ("orgs", Direction::Unknown),
        ("anything", Direction::Unknown),
    ] {
        assert_eq!(tightening_direction(key), direction, "{key}");
    }
}

/// A control machine sends these reasons in its error responses, so their texts must not change.
#[test]
fn rejections_that_a_control_machine_sends_have_fixed_texts() {
    let assert_reason = |key: &str, value: Value, reason: &str| {
        let mut document = to_document(&full_settings());
        document.insert(key.to_owned(), value);
        let error = check(&document).err().unwrap_or_else(|| panic!("{key} was accepted"));
        assert_eq!(error.reason, reason, "{key}");
    };
    assert_reason("orgs.zeta", json!(7), "names no field of something with a name");
    assert_reason("orgs..share", json!(1), "names no field of something with a name");
    assert_reason("orgs.", json!({}), "has no name in it");
    assert_reason("extra.class_kind.lost", json!(1), "is of a class that there is not");
    assert_reason("orgs", json!([]), "stands beside 'orgs', which is one value");
    assert_reason("a..b", json!(1), "is no key: it has an empty part, or more than 8");
    assert_reason(&"a".repeat(300), json!(1), "is longer than 256 bytes");
    assert_reason("ceilings.max_open", json!("50"), "is not a number from 0 on");
    let too_long = "is 315360000000001: 315360000000000 microseconds are the most";
    assert_reason("request_classes.look.aim_us", json!(315_360_000_000_001_u64), too_long);
    assert_reason("over_share_worth", json!(-0.5), "is -0.5: 0 is the least");
    assert_reason("request_classes.look.effect", json!("odd"), "is of no effect known: 'odd'");
    assert_reason("request_classes.look.group", json!("odd"), "is of no group known: 'odd'");
    let reason_of = |key: &str, value: Value| {
        let mut settings = full_settings();
        settings[key] = value;
        platform::parse_settings(&settings).err().map_or_else(String::new, |error| error.reason)
    };
    let unexpected =
        |name: &str| format!("cannot be read: invalid type: string \"x\", expected struct {name}");
    assert_eq!(reason_of("ceilings", json!("x")), unexpected("Ceilings"));
    assert_eq!(reason_of("costs", json!("x")), unexpected("Costs"));
    assert_eq!(reason_of("extra", json!("x")), unexpected("Particulars"));
    assert_eq!(reason_of("orgs", json!(["x"])), unexpected("Org"));
    assert_eq!(reason_of("orgs", json!([{"name": ""}])), "has one without a name");
    assert_eq!(reason_of("orgs", json!([{"name": "a"}, {"name": "a"}])), "is there twice");
    assert_eq!(reason_of("request_classes", json!([])), "is missing or empty");
    let root = platform::parse_settings(&json!("x")).err().map_or_else(String::new, |error| error.reason);
    assert_eq!(root, unexpected("Info"));
    let changed = SharedSettingsCheck.check(&to_document(&full_settings())).err().map(|error| error.reason);
    assert_eq!(changed.as_deref(), Some("is each scheduler's own, and is agreed for none"));
    let error = serde_json::from_str::<ChangeRequest>("7").expect_err("a number was accepted as a change");
    assert_eq!(error.to_string(), "invalid type: integer `7`, expected struct Wanted at line 1 column 1");
    let error = serde_json::from_str::<InForceReport>("7").expect_err("a number was accepted as a report");
    assert_eq!(error.to_string(), "invalid type: integer `7`, expected struct InForce at line 1 column 1");
}
