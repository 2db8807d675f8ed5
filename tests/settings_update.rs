//! Settings updates while a dispatcher runs: an update applies completely or not at all, learned data is kept, and no rule is
//! broken for open requests.

mod common;

use calicolb::api::*;
use calicolb::rules::Dispatcher;
use calicolb::settings_update::{MAX_RETIRED_CLASSES, MAX_RETIRED_TENANTS, merge};
use calicolb::wire::Names;
use common::rule_checker::{
    run_stream, run_stream_with_repeated_settings, run_stream_with_updates, step, step_or_settings_update,
};
use common::{Bench, MS, SECOND, T0, answers, class, member, sends, settings, variants};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::Value;

fn runner(seed: u8, cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

/// Updates the settings in force with `change` and returns the dispatcher's actions.
fn update_settings(bench: &mut Bench, change: impl Fn(&mut Settings)) -> Vec<Action> {
    let mut new = bench.dispatcher.settings().clone();
    change(&mut new);
    bench.tell(Event::Settings(Box::new(new)))
}

#[test]
fn settings_updates_in_mid_stream_break_no_rule_on_sends() {
    for (nr, settings) in variants().into_iter().enumerate() {
        let seed = nr as u8 + 31;
        let streams = proptest::collection::vec(step_or_settings_update(), 50..400);
        let checked = runner(seed, 200).run(&streams, |steps| {
            let first = run_stream_with_updates(settings.clone(), 3, &steps);
            prop_assert_eq!(first, run_stream_with_updates(settings.clone(), 3, &steps));
            Ok(())
        });
        checked.unwrap_or_else(|failure| panic!("seed {seed}: {failure}"));
    }
}

#[test]
fn repeating_the_settings_in_force_changes_no_action() {
    for (nr, settings) in variants().into_iter().enumerate() {
        let seed = nr as u8 + 41;
        let streams = proptest::collection::vec(step(), 50..200);
        let checked = runner(seed, 30).run(&streams, |steps| {
            prop_assert_eq!(
                run_stream(settings.clone(), 3, &steps),
                run_stream_with_repeated_settings(settings.clone(), 3, &steps)
            );
            Ok(())
        });
        checked.unwrap_or_else(|failure| panic!("seed {seed}: {failure}"));
    }
}

#[test]
fn update_of_a_fixed_field_is_rejected_completely_and_names_the_field() {
    type Change = fn(&mut Settings);
    let changes: [(&str, Change); 16] = [
        ("rank", |new| new.rank = 3),
        ("instances", |new| new.instances = 9),
        ("zone", |new| new.zone = ZoneIx(1)),
        ("zones", |new| new.zones = 3),
        ("kinds", |new| new.kinds = 1),
        ("worth_by_work", |new| new.worth_by_work = !new.worth_by_work),
        ("list_on_request", |new| new.list_on_request = true),
        ("reports", |new| new.reports = ReportSource::NoReports),
        ("reports_free_slots", |new| new.reports_free_slots = false),
        ("tells_start", |new| new.tells_start = true),
        ("weights", |new| new.weights = true),
        ("limits.peers", |new| new.limits.peers = true),
        ("tick", |new| new.tick = 7),
        ("classes", |new| new.classes.truncate(1)),
        ("classes", |new| new.classes[0].kind = Some(KindIx(2))),
        ("tenants", |new| new.tenants.truncate(1)),
    ];
    for (field, change) in changes {
        let mut bench = Bench::with_workers(two_tenants(10.0), &[1, 2]);
        bench.arrive(1, 0, 300 * MS);
        let (before, known) = (bench.dispatcher.settings().clone(), bench.dispatcher.knowledge());
        let actions = update_settings(&mut bench, |new| {
            new.limits.max_attempts = 1;
            new.tenants[0].quota_per_s = 1.0;
            change(new);
        });
        let quoted = format!("'{field}'");
        assert!(
            matches!(&actions[..], [Action::Log(line)] if line.contains(&quoted)),
            "{field}: {actions:?}"
        );
        assert_eq!(*bench.dispatcher.settings(), before, "{field}");
        assert_eq!(bench.dispatcher.knowledge(), known, "{field}");
    }
}

/// Settings with two tenants of this quota and a share of 0.5 each.
fn two_tenants(quota_per_s: f64) -> Settings {
    let tenant = Tenant { quota_per_s, share: 0.5 };
    Settings { tenants: vec![tenant.clone(), tenant], ..settings() }
}

/// Tokens in each tenant's bucket, in the order of tenants.
fn tokens(bench: &Bench) -> Vec<f64> {
    let known = bench.dispatcher.knowledge();
    let buckets = known[2]["buckets"].as_array().expect("the knowledge has no list of buckets");
    buckets.iter().filter_map(|bucket| bucket["tokens"].as_f64()).collect()
}

#[test]
fn buckets_keep_their_tokens_up_to_the_new_limit() {
    let mut bench = Bench::with_workers(two_tenants(10.0), &[1]);
    assert_eq!(tokens(&bench), [3.0, 3.0]);
    // 2 s at 10 tokens per second come before the rate changes.
    bench.at(2 * SECOND);
    update_settings(&mut bench, |new| new.tenants[0].quota_per_s = 100.0);
    assert_eq!(tokens(&bench), [23.0, 23.0], "the buckets hold the tokens earned under the old quota");
    bench.at(2 * SECOND + SECOND / 10);
    update_settings(&mut bench, |new| new.tenants[0].quota_per_s = 1.0);
    assert_eq!(tokens(&bench), [5.0, 24.0], "the first bucket is limited to five seconds of the new quota");
    // Repeated changes of the quota at one time add no tokens.
    for nr in 0..100 {
        update_settings(&mut bench, |new| new.tenants[0].quota_per_s = if nr % 2 == 0 { 1e9 } else { 1.0 });
    }
    assert_eq!(tokens(&bench), [5.0, 24.0]);
    update_settings(&mut bench, |new| new.tenants.push(Tenant { quota_per_s: 50.0, share: 0.1 }));
    assert_eq!(tokens(&bench), [5.0, 24.0, 3.0]);
}

#[test]
fn update_keeps_learned_data_and_starts_a_new_class_without_any() {
    let mut bench = Bench::with_workers(settings(), &[1, 2]);
    for id in 0..20 {
        bench.now += SECOND;
        let sent = sends(&bench.arrive(id, 0, 200 * MS));
        bench.now += 300 * MS;
        bench.outcome(id, 0, sent[0].1, Ending::Ok);
    }
    let before = bench.dispatcher.knowledge();
    update_settings(&mut bench, |new| {
        new.classes[0].aim = 700 * MS;
        new.classes.push(class(Effect::Safe));
    });
    let after = bench.dispatcher.knowledge();
    let classes = |known: &Value| {
        known[2]["classes"].as_array().cloned().expect("the knowledge has no list of classes")
    };
    assert_eq!(classes(&after)[..2], classes(&before)[..]);
    assert_ne!(classes(&after)[0], classes(&after)[2]);
    assert_eq!(classes(&after)[1], classes(&after)[2], "the new class equals a class without requests");
    for section in ["kinds", "mean_time", "work", "cuts"] {
        assert_eq!(before[2][section], after[2][section], "{section}");
    }
    assert_eq!((&before[0], &before[1]), (&after[0], &after[1]), "the data about workers and sizes is kept");
    assert_eq!(sends(&bench.arrive(99, 2, 200 * MS)).len(), 1, "a request of the new class is sent");
}

/// Sends a request of class 0, calls `before_break`, breaks the attempt's connection, and waits 1 s. Returns the actions since
/// the break.
fn break_attempt(bench: &mut Bench, before_break: impl Fn(&mut Bench)) -> Vec<Action> {
    let sent = sends(&bench.arrive(1, 0, 200 * MS));
    before_break(bench);
    let mut actions = bench.outcome(1, 0, sent[0].1, Ending::Broken);
    actions.extend(bench.wait(SECOND));
    actions
}

#[test]
fn open_request_that_may_have_run_is_not_repeated_under_a_stricter_effect() {
    let keyed = Effect::Keyed { group: Group::All, span: 60 * SECOND };
    let bench_with = |effect| {
        let mut settings = settings();
        settings.classes[0].effect = effect;
        Bench::with_workers(settings, &[1, 2])
    };
    assert_eq!(
        sends(&break_attempt(&mut bench_with(Effect::Safe), |_| {})).len(),
        1,
        "a broken attempt is repeated without a settings update"
    );
    assert_eq!(
        sends(&break_attempt(&mut bench_with(keyed), |_| {})).len(),
        1,
        "a broken attempt is repeated without a settings update"
    );
    for (before, after) in [(Effect::Safe, Effect::Unsafe), (Effect::Safe, keyed), (keyed, Effect::Unsafe)] {
        let actions = break_attempt(&mut bench_with(before), |bench| {
            drop(update_settings(bench, |new| new.classes[0].effect = after))
        });
        assert_eq!(sends(&actions), [], "{before:?} became {after:?}");
        assert_eq!(answers(&actions), [(1, false)], "the answer is no refusal: {before:?} became {after:?}");
        // A second update restores the first effect before the attempt breaks.
        let actions = break_attempt(&mut bench_with(before), |bench| {
            update_settings(bench, |new| new.classes[0].effect = after);
            update_settings(bench, |new| new.classes[0].effect = before);
        });
        assert_eq!(sends(&actions), [], "{before:?} became {after:?} and {before:?} again");
    }
}

#[test]
fn open_request_keeps_its_effect_and_a_new_request_gets_the_less_strict_one() {
    let mut bench = Bench::with_workers(settings(), &[1, 2]);
    let sent = sends(&bench.arrive(1, 1, 200 * MS));
    update_settings(&mut bench, |new| new.classes[1].effect = Effect::Safe);
    let mut actions = bench.outcome(1, 0, sent[0].1, Ending::Broken);
    actions.extend(bench.wait(SECOND));
    assert_eq!((sends(&actions), answers(&actions)), (vec![], vec![(1, false)]));
    let sent = sends(&bench.arrive(2, 1, 200 * MS));
    let mut actions = bench.outcome(2, 0, sent[0].1, Ending::Broken);
    actions.extend(bench.wait(SECOND));
    assert_eq!(sends(&actions).len(), 1);
}

#[test]
fn change_between_incomparable_groups_allows_no_repeat() {
    let keyed = |group| Effect::Keyed { group, span: 60 * SECOND };
    for (before, after, repeats) in [
        (Group::Zone, Group::Zone, 1),
        (Group::All, Group::Zone, 1),
        (Group::Zone, Group::All, 1),
        (Group::Zone, Group::Cell, 0),
        (Group::Cell, Group::Zone, 0),
    ] {
        let mut settings = settings();
        settings.classes[0].effect = keyed(before);
        // Both workers are in the same zone and the same cell.
        let mut bench = Bench::with_workers(settings, &[1, 3]);
        let actions = break_attempt(&mut bench, |bench| {
            drop(update_settings(bench, |new| new.classes[0].effect = keyed(after)))
        });
        assert_eq!(sends(&actions).len(), repeats, "{before:?} became {after:?}");
    }
}

#[test]
fn lower_attempt_limit_applies_at_once_to_held_jobs_and_unstarted_attempts() {
    let mut bench = Bench::with_workers(settings(), &[1, 2]);
    let sent = sends(&bench.arrive(1, 0, 200 * MS));
    let mut actions = bench.outcome(1, 0, sent[0].1, Ending::Unreachable);
    actions.extend(bench.wait(20 * MS));
    assert_eq!(sends(&actions).len(), 1);
    assert!(bench.dispatcher.may_start_attempt(bench.now, RequestId(1), 1));
    update_settings(&mut bench, |new| new.limits.max_attempts = 1);
    assert!(
        !bench.dispatcher.may_start_attempt(bench.now, RequestId(1), 1),
        "the second attempt exceeds the new limit"
    );
    // A held job that waits for its second attempt, which the new limit forbids, is answered at once.
    let mut settings = settings();
    settings.classes[0].late_worth = 0.5;
    let mut bench = Bench::with_workers(settings, &[1]);
    let sent = sends(&bench.arrive(1, 0, 200 * MS));
    bench.outcome(1, 0, sent[0].1, Ending::Unreachable);
    assert_eq!(answers(&update_settings(&mut bench, |new| new.limits.max_attempts = 1)), [(1, true)]);
}

#[test]
fn worker_that_becomes_cold_by_an_update_gets_no_job_for_one_window() {
    let started = |age: Micros| vec![Member { started: Some(T0 - age), ..member(1) }];
    let mut bench = Bench::new(settings());
    bench.members(ListKind::Saved, started(11 * SECOND));
    update_settings(&mut bench, |new| new.rules.cold = 60 * SECOND);
    assert_eq!(
        sends(&bench.arrive(1, 0, 50 * MS)),
        [],
        "the work sent to the worker before the update was not counted"
    );
    bench.now += SECOND + MS;
    let mut actions = bench.arrive(2, 0, 50 * MS);
    actions.extend(bench.wait(200 * MS));
    assert!(!sends(&actions).is_empty(), "after one window the worker gets jobs as any cold worker");
    // A worker that stays warm under the new settings gets jobs at once.
    let mut bench = Bench::new(settings());
    bench.members(ListKind::Saved, started(100 * SECOND));
    update_settings(&mut bench, |new| new.rules.cold = 60 * SECOND);
    assert_eq!(sends(&bench.arrive(1, 0, 50 * MS)).len(), 1);
}

#[test]
fn class_that_changes_its_kind_is_sent_to_the_new_kind_at_once() {
    let mut bench = Bench::new(settings());
    let member_of_kind = |id: u32, kind: usize| Member { kind: KindIx(kind), ..member(id) };
    bench.members(ListKind::Saved, vec![member_of_kind(1, 0), member_of_kind(2, 1)]);
    update_settings(&mut bench, |new| new.classes[0].kind = Some(KindIx(1)));
    assert_eq!(sends(&bench.arrive(1, 0, 50 * MS)), [(1, WorkerId(2))]);
    update_settings(&mut bench, |new| new.classes[0].kind = Some(KindIx(0)));
    assert_eq!(sends(&bench.arrive(2, 0, 50 * MS)), [(2, WorkerId(1))]);
}

/// Settings with these class names and worths and these tenant names and quotas per second.
fn named(classes: &[(&str, f64)], tenants: &[(&str, f64)]) -> (Settings, Names) {
    let texts = |list: &[(&str, f64)]| list.iter().map(|(name, _)| (*name).to_owned()).collect::<Vec<_>>();
    let each = classes.iter().map(|&(_, worth)| Class { worth, ..class(Effect::Safe) });
    let settings = Settings {
        classes: each.collect(),
        tenants: tenants.iter().map(|&(_, quota)| Tenant { quota_per_s: quota, share: 0.0 }).collect(),
        ..settings()
    };
    (settings, Names::new(texts(classes), texts(tenants), vec!["z".to_owned()], vec!["k".to_owned()]))
}

#[test]
fn class_and_tenant_names_keep_their_index_across_updates() {
    let (settings, names) = named(&[("look", 1.0), ("book", 2.0)], &[("acme", 10.0), ("zeta", 20.0)]);
    let (new, new_names) = named(&[("fit", 3.0), ("book", 5.0)], &[("zeta", 7.0), ("beta", 1.0)]);
    let (settings, names) =
        merge((&settings, &names), (&new, &new_names)).expect("the settings cannot be merged");
    let worths = |settings: &Settings| settings.classes.iter().map(|class| class.worth).collect::<Vec<_>>();
    let quotas = |settings: &Settings| settings.tenants.iter().map(|of| of.quota_per_s).collect::<Vec<_>>();
    assert_eq!((worths(&settings), quotas(&settings)), (vec![1.0, 5.0, 3.0], vec![10.0, 7.0, 1.0]));
    assert_eq!((names.class("book"), names.class("fit")), (Ok(ClassIx(1)), Ok(ClassIx(2))));
    assert!(
        names.class("look").is_err() && names.tenant("acme").is_err(),
        "requests cannot use a retired class or tenant"
    );
    assert_eq!(
        names.classes().collect::<Vec<_>>(),
        ["look", "book", "fit"],
        "a retired class keeps its name for its counters"
    );
    // A class or tenant that returns has its old index and the new settings.
    let (new, new_names) = named(&[("look", 9.0), ("book", 5.0)], &[("acme", 4.0)]);
    let (settings, names) =
        merge((&settings, &names), (&new, &new_names)).expect("the settings cannot be merged");
    assert_eq!((worths(&settings), quotas(&settings)), (vec![9.0, 5.0, 3.0], vec![4.0, 7.0, 1.0]));
    assert_eq!((names.class("look"), names.tenant("acme")), (Ok(ClassIx(0)), Ok(TenantIx(0))));
    assert!(names.class("fit").is_err() && names.tenant("zeta").is_err());
    // The order of names in an update has no effect.
    let (new, new_names) = named(&[("book", 5.0), ("look", 9.0)], &[("acme", 4.0)]);
    let again = merge((&settings, &names), (&new, &new_names)).expect("the settings cannot be merged");
    assert_eq!(again, (settings, names));
}

#[test]
fn number_of_retired_names_is_limited_and_the_error_names_the_excess_name() {
    for (classes, limit, list) in
        [(true, MAX_RETIRED_CLASSES, "request_classes"), (false, MAX_RETIRED_TENANTS, "orgs")]
    {
        let (mut settings, mut names) = named(&[("look", 1.0)], &[]);
        let mut rejection = None;
        for nr in 0..=limit + 1 {
            let name = format!("n{nr}");
            let one = [(name.as_str(), 1.0)];
            let (new, new_names) = if classes { named(&one, &[]) } else { named(&[("look", 1.0)], &one) };
            match merge((&settings, &names), (&new, &new_names)) {
                Ok(merged) => (settings, names) = merged,
                Err(error) => {
                    rejection = Some((nr, error));
                    break;
                }
            }
        }
        // The first new class retires `look`; the first new tenant retires no tenant.
        let (nr, error) = rejection.unwrap_or_else(|| panic!("more than {limit} of {list} are retired"));
        assert_eq!(nr, if classes { limit } else { limit + 1 });
        assert!(error.key.starts_with(&format!("{list}.")) && error.reason.contains("restart"), "{error}");
        assert_eq!(settings.classes.len() + settings.tenants.len(), limit + 1 + usize::from(!classes));
    }
}

#[test]
fn error_about_a_fixed_setting_names_its_key() {
    let (old, names) = named(&[("look", 1.0)], &[]);
    let rejected_key = |change: &dyn Fn(&mut Settings)| {
        let mut new = old.clone();
        change(&mut new);
        merge((&old, &names), (&new, &names)).expect_err("merge accepts the change of a fixed setting").key
    };
    assert_eq!(rejected_key(&|new| new.instances = 7), "n_instances");
    assert_eq!(rejected_key(&|new| new.reports = ReportSource::NoReports), "report.how");
    assert_eq!(rejected_key(&|new| new.limits.peers = true), "ceilings.peers");
    assert_eq!(rejected_key(&|new| new.progress_every = 1), "extra.progress_us");
    let other_zones = Names::new(vec!["look".to_owned()], vec![], vec!["y".to_owned()], vec!["k".to_owned()]);
    assert_eq!(
        merge((&old, &names), (&old, &other_zones)).expect_err("merge accepts other zones").key,
        "azs"
    );
    let (duplicate, duplicate_names) = named(&[("look", 1.0), ("look", 2.0)], &[]);
    assert_eq!(
        merge((&old, &names), (&duplicate, &duplicate_names))
            .expect_err("merge accepts a name that is listed twice")
            .key,
        "request_classes.look"
    );
}

#[test]
fn thousands_of_updates_under_load_do_not_grow_the_learned_data() {
    let mut bench = Bench::with_workers(two_tenants(10.0), &[1, 2, 3, 4]);
    bench.members(ListKind::Changes, vec![Member { started: Some(T0 - 5 * SECOND), ..member(5) }]);
    let size = |bench: &Bench| bench.dispatcher.knowledge().to_string().len();
    let mut size_after_1000 = 0;
    for nr in 0..4_000_u32 {
        bench.now += 5 * MS;
        let sent = sends(&bench.arrive(nr, nr as usize % 2, 20 * MS));
        update_settings(&mut bench, |new| {
            new.tenants[0].quota_per_s = f64::from(nr % 7);
            new.classes[0].effect = [Effect::Safe, Effect::Unsafe][nr as usize % 2];
            new.rules.cold = (1 + u64::from(nr) % 100) * SECOND;
            new.rules.fall_window = SECOND + u64::from(nr % 2) * SECOND;
        });
        for (id, worker) in sent {
            bench.outcome(id, 0, worker, Ending::Ok);
        }
        if nr == 1_000 {
            size_after_1000 = size(&bench);
        }
    }
    let final_size = size(&bench);
    assert!(
        final_size < size_after_1000 * 2,
        "the learned data has {size_after_1000} bytes after 1000 updates and {final_size} bytes after 4000"
    );
}

#[test]
fn successor_with_other_class_and_tenant_indices_takes_remapped_knowledge() {
    let mut predecessor = Bench::with_workers(two_tenants(10.0), &[1, 2]);
    for id in 0..20 {
        predecessor.now += SECOND;
        let sent = sends(&predecessor.arrive(id, 0, 200 * MS));
        predecessor.now += 300 * MS;
        predecessor.outcome(id, 0, sent[0].1, Ending::Ok);
    }
    update_settings(&mut predecessor, |new| new.tenants[1].quota_per_s = 1.0);
    let known = predecessor.dispatcher.knowledge();
    // The successor has the two classes in reverse order with a new class between them, and has lost one tenant.
    let mut settings = two_tenants(10.0);
    settings.classes.push(class(Effect::Safe));
    let mut successor = Bench::with_workers(settings, &[1, 2]);
    let actions = successor.tell(Event::KnowledgeReceived(known.to_string()));
    assert!(matches!(&actions[..], [Action::Log(line)] if line.contains("does not fit")), "{actions:?}");
    let remapped = Dispatcher::remap_knowledge(
        known.to_string(),
        &[Some(1), None, Some(0)],
        &[Some(1), None],
        successor.now,
    );
    assert_eq!(successor.tell(Event::KnowledgeReceived(remapped)), []);
    let received = successor.dispatcher.knowledge();
    let class = |known: &Value, at: usize| known[2]["classes"][at].clone();
    assert_eq!((class(&received, 0), class(&received, 2)), (class(&known, 1), class(&known, 0)));
    assert_ne!(class(&received, 2), class(&received, 1), "the new class has no learned data");
    assert_eq!(tokens(&successor), [5.0, 3.0]);
    // A value that is not knowledge of a dispatcher is returned unchanged.
    for value in [Value::Null, Value::from(7), serde_json::json!([[], [], {"classes": 7}])] {
        let text = value.to_string();
        assert_eq!(Dispatcher::remap_knowledge(text.clone(), &[Some(0)], &[], successor.now), text);
    }
}
