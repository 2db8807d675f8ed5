//! The document and the settings that it stands for.

use super::*;
use calicolb::api::{Effect, Settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::json;
use std::cell::Cell;

fn runner(seed: u8, cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

/// A site's settings with all that they may have.
fn site() -> Value {
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

/// The settings' classes and tenants by name: their order does not count.
fn by_name(renewal: &SettingsUpdate) -> (BTreeMap<String, String>, BTreeMap<String, String>) {
    let classes = renewal.names.classes().zip(&renewal.settings.classes);
    let tenants = renewal.names.tenants().zip(&renewal.settings.tenants);
    (
        classes.map(|(name, class)| (name.to_owned(), format!("{class:?}"))).collect(),
        tenants.map(|(name, tenant)| (name.to_owned(), format!("{tenant:?}"))).collect(),
    )
}

fn settings_update(settings: &Value) -> SettingsUpdate {
    platform::parse_settings(settings).unwrap_or_else(|fault| panic!("{fault}"))
}

/// That the document of these settings stands for the same settings, and is the document of those.
fn there_and_back(settings: &Value) {
    let document = to_document(settings);
    let back = from_document(&document).unwrap_or_else(|fault| panic!("{fault}: {document:?}"));
    assert_eq!(to_document(&back), document);
    let (here, there) = (settings_update(settings), settings_update(&back));
    assert_eq!(by_name(&here), by_name(&there));
    assert_eq!(
        (here.worker_idle_timeout, here.max_open_requests),
        (there.worker_idle_timeout, there.max_open_requests)
    );
    let bare =
        |renewal: SettingsUpdate| Settings { classes: Vec::new(), tenants: Vec::new(), ..renewal.settings };
    assert_eq!(bare(here), bare(there));
}

#[test]
fn a_document_stands_for_the_settings_that_it_was_made_of() {
    let document = to_document(&site());
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
    there_and_back(&site());
    // The shortest that can be used; an object that has a key with a dot; what is not a list of named things.
    there_and_back(&json!({"request_classes": [{"name": "a", "effect": "read_like"}]}));
    there_and_back(
        &json!({"request_classes": [{"name": "a", "effect": "read_like"}], "odd": {"x.y": 1, "z": {}},
        "orgs": [], "empty": {}, "deep": {"a": {"b": {"c": {"d": {"e": {"f": {"g": {"h": {"i": 1}}}}}}}}}}),
    );
}

#[test]
fn settings_of_any_size_and_order_come_back_the_same() {
    let class = (0..3_usize, 1..9_u64, -1..2_i64, 0..4_i64, 0.0..9.0_f64);
    let sites = (
        proptest::collection::vec(class, 1..12),
        proptest::collection::vec((any::<bool>(), 0.0..99.0_f64), 0..30),
        any::<u64>(),
    );
    let checked = runner(11, 200).run(&sites, |(classes, tenants, order)| {
        let effects = ["read_like", "idempotency_key", "non_idempotent"];
        // Names in an order that is not theirs.
        let name = |nr: usize| format!("{:x}.{nr}", (nr as u64 + 1).wrapping_mul(order | 1) >> 40);
        let extra = |field: fn(&(usize, u64, i64, i64, f64)) -> Value| classes.iter().map(field).collect::<Vec<_>>();
        let mut site = site();
        site["request_classes"] = (0..).zip(&classes).map(|(nr, class)| {
            json!({"name": name(nr), "effect": effects[class.0], "aim_us": class.1, "deadline_us": class.1 * 2})
        }).collect();
        site["orgs"] = (0..).zip(&tenants).map(|(nr, (told, quota))| {
            if *told { json!({"name": name(nr), "quota_rps": quota}) } else { json!({"name": name(nr)}) }
        }).collect();
        site["extra"]["class_kind"] = extra(|class| json!(class.2)).into();
        site["extra"]["class_priority"] = extra(|class| json!(class.3)).into();
        site["extra"]["class_stretch"] = extra(|class| json!(class.4)).into();
        there_and_back(&site);
        Ok(())
    });
    checked.unwrap_or_else(|failure| panic!("seed 11: {failure}"));
}

/// Values that may stand at a key by mistake.
fn oddity(nr: usize) -> Value {
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
    all[nr % all.len()].clone()
}

#[test]
fn whatever_is_done_to_a_document_it_is_taken_whole_or_a_key_is_named() {
    let sound = to_document(&site());
    let keys: Vec<String> = sound.keys().cloned().collect();
    let mangled = (any::<u8>(), 0..keys.len(), any::<usize>(), "[a-z._\u{0}-\u{ff}]{0,12}");
    let changes = proptest::collection::vec(mangled, 1..4);
    let (taken, faulty) = (Cell::new(0), Cell::new(0));
    let checked = runner(12, 4_000).run(&changes, |changes| {
        let mut document = sound.clone();
        for (what, at, value, text) in changes {
            let key = match what % 6 {
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
            document.insert(key, oddity(value));
        }
        match check(&document) {
            Ok(_) => taken.set(taken.get() + 1),
            Err(fault) => {
                faulty.set(faulty.get() + 1);
                let named = !fault.key.is_empty() || document.contains_key("");
                prop_assert!(named && !fault.why.is_empty(), "{:?} of {:?}", fault, document);
            }
        }
        Ok(())
    });
    checked.unwrap_or_else(|failure| panic!("seed 12: {failure}"));
    let (taken, faulty) = (taken.get(), faulty.get());
    assert!(taken > 100 && faulty > 1_000, "{taken} were taken, {faulty} refused");
}

#[test]
fn a_fault_names_its_key() {
    let wrong = |key: &str, value: Value, told: &str| {
        let mut document = to_document(&site());
        document.insert(key.to_owned(), value);
        let fault = check(&document).err().unwrap_or_else(|| panic!("{key} was taken"));
        assert_eq!(fault.key, told, "{fault}");
    };
    for key in ["request_classes.look.aim_us", "ceilings.most_tries", "orgs.zeta.quota_rps", "rules.cold_us"]
    {
        wrong(key, json!("many"), key);
        wrong(key, json!(-3), key);
    }
    wrong("request_classes.look.effect", json!("odd"), "request_classes.look.effect");
    wrong("request_classes.look.deadline_us", json!(u64::MAX), "request_classes.look.deadline_us");
    wrong("request_classes.new.aim_us", json!(7), "request_classes.new.effect");
    wrong("request_classes.look.name", json!("book"), "request_classes.look.name");
    wrong("request_classes.look", json!(7), "request_classes.look");
    wrong("request_classes", json!([]), "request_classes.book.aim_us");
    wrong("ceilings", json!(7), "ceilings.cancelling");
    wrong("ceilings.max_open", json!("50"), "ceilings.max_open");
    wrong("extra.class_kind.lost", json!(1), "extra.class_kind.lost");
    wrong("extra.class_kind.look", json!("big"), "extra.class_kind.look");
    wrong("a..b", json!(1), "a..b");
    wrong(&"a.".repeat(20), json!(1), &"a.".repeat(20));
    wrong(&"a".repeat(300), json!(1), &"a".repeat(300));
    // A list whose names do not tell its things apart stays one value, and is at fault.
    for (list, key) in [("request_classes", "request_classes.look"), ("orgs", "orgs.zeta")] {
        let mut twice = site();
        let first = twice[list][0].clone();
        twice[list].as_array_mut().expect("it is a list").push(first);
        let document = to_document(&twice);
        assert!(document.contains_key(list), "{document:?}");
        assert_eq!(platform::parse_settings(&twice).expect_err("it is there twice").key, key);
    }
    let empty = check(&Document::new()).expect_err("nothing can be used");
    assert_eq!(empty.key, "request_classes");
}

#[test]
fn a_difference_makes_the_one_document_the_other() {
    let old = to_document(&site());
    let mut new = old.clone();
    new.insert("orgs.acme.quota_rps".to_owned(), json!(3.0));
    new.insert("ceilings.most_tries".to_owned(), json!(2));
    new.remove("orgs.zeta.share");
    let Diff { set, unset } = diff(&old, &new);
    assert_eq!((set.len(), unset.len()), (2, 1));
    let mut made = old.clone();
    made.extend(set);
    made.retain(|key, _| !unset.contains(key));
    assert_eq!(made, new);
    assert_eq!(diff(&old, &old), Diff::default());
}

#[test]
fn a_class_that_loses_its_kind_has_none() {
    let mut document = to_document(&site());
    document.remove("extra.class_kind.book");
    let renewal = check(&document).expect("it is sound");
    let kind = |name: &str| {
        let at = renewal.names.class(name).expect("it is there").0;
        renewal.settings.classes[at].kind.map(|kind| kind.0)
    };
    assert_eq!((kind("book"), kind("fit"), kind("look")), (None, Some(0), None));
    let keyed = renewal.settings.classes.iter().filter(|class| matches!(class.effect, Effect::Keyed { .. }));
    assert_eq!(keyed.count(), 1);
}

#[test]
fn what_tightens_is_told_by_the_key() {
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
        assert_eq!(tighter(key), direction, "{key}");
    }
}
