//! Settings that come into force while a dispatcher runs: taken up whole or not at all, with what was learned kept, and no
//! rule broken for what is open.

mod common;

use calicolb::api::*;
use calicolb::rules::Dispatcher;
use calicolb::settings_update::{MAX_RETIRED_CLASSES, MAX_RETIRED_TENANTS, merge};
use calicolb::wire::Names;
use common::ledger::{play, play_renewals, play_repeats, step, step_or_renewal};
use common::{Bench, MS, SECOND, T0, answers, class, member, sends, settings, variants};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::Value;

fn runner(seed: u8, cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

/// Puts other settings into force.
fn renew(bench: &mut Bench, change: impl Fn(&mut Settings)) -> Vec<Action> {
    let mut new = bench.dispatcher.settings().clone();
    change(&mut new);
    bench.tell(Event::Settings(Box::new(new)))
}

#[test]
fn whatever_changes_in_mid_stream_no_rule_on_sends_is_broken() {
    for (nr, settings) in variants().into_iter().enumerate() {
        let seed = nr as u8 + 31;
        let streams = proptest::collection::vec(step_or_renewal(), 50..400);
        let checked = runner(seed, 200).run(&streams, |steps| {
            let first = play_renewals(settings.clone(), 3, &steps);
            prop_assert_eq!(first, play_renewals(settings.clone(), 3, &steps));
            Ok(())
        });
        checked.unwrap_or_else(|failure| panic!("seed {seed}: {failure}"));
    }
}

#[test]
fn settings_that_are_in_force_already_change_nothing_at_all() {
    for (nr, settings) in variants().into_iter().enumerate() {
        let seed = nr as u8 + 41;
        let streams = proptest::collection::vec(step(), 50..200);
        let checked = runner(seed, 30).run(&streams, |steps| {
            prop_assert_eq!(play(settings.clone(), 3, &steps), play_repeats(settings.clone(), 3, &steps));
            Ok(())
        });
        checked.unwrap_or_else(|failure| panic!("seed {seed}: {failure}"));
    }
}

#[test]
fn what_cannot_change_is_refused_with_its_field_and_nothing_else_changes() {
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
        let done = renew(&mut bench, |new| {
            new.limits.max_attempts = 1;
            new.tenants[0].quota_per_s = 1.0;
            change(new);
        });
        let told = format!("'{field}'");
        assert!(matches!(&done[..], [Action::Log(line)] if line.contains(&told)), "{field}: {done:?}");
        assert_eq!(*bench.dispatcher.settings(), before, "{field}");
        assert_eq!(bench.dispatcher.knowledge(), known, "{field}");
    }
}

fn two_tenants(quota_per_s: f64) -> Settings {
    let tenant = Tenant { quota_per_s, share: 0.5 };
    Settings { tenants: vec![tenant.clone(), tenant], ..settings() }
}

fn tokens(bench: &Bench) -> Vec<f64> {
    let known = bench.dispatcher.knowledge();
    let buckets = known[2]["buckets"].as_array().expect("there are buckets");
    buckets.iter().filter_map(|bucket| bucket["tokens"].as_f64()).collect()
}

#[test]
fn buckets_keep_their_tokens_and_are_cut_to_the_new_bound() {
    let mut bench = Bench::with_workers(two_tenants(10.0), &[1]);
    assert_eq!(tokens(&bench), [3.0, 3.0]);
    // Two seconds at ten a second; then the rate is another.
    bench.at(2 * SECOND);
    renew(&mut bench, |new| new.tenants[0].quota_per_s = 100.0);
    assert_eq!(tokens(&bench), [23.0, 23.0], "what came by the old quota is there, and no more");
    bench.at(2 * SECOND + SECOND / 10);
    renew(&mut bench, |new| new.tenants[0].quota_per_s = 1.0);
    assert_eq!(tokens(&bench), [5.0, 24.0], "five seconds' worth of the new quota at most");
    // Nobody gains by changes to and fro.
    for nr in 0..100 {
        renew(&mut bench, |new| new.tenants[0].quota_per_s = if nr % 2 == 0 { 1e9 } else { 1.0 });
    }
    assert_eq!(tokens(&bench), [5.0, 24.0]);
    renew(&mut bench, |new| new.tenants.push(Tenant { quota_per_s: 50.0, share: 0.1 }));
    assert_eq!(tokens(&bench), [5.0, 24.0, 3.0]);
}

#[test]
fn what_was_learned_is_kept_and_a_new_class_begins_with_nothing() {
    let mut bench = Bench::with_workers(settings(), &[1, 2]);
    for id in 0..20 {
        bench.now += SECOND;
        let sent = sends(&bench.arrive(id, 0, 200 * MS));
        bench.now += 300 * MS;
        bench.outcome(id, 0, sent[0].1, Ending::Ok);
    }
    let before = bench.dispatcher.knowledge();
    renew(&mut bench, |new| {
        new.classes[0].aim = 700 * MS;
        new.classes.push(class(Effect::Safe));
    });
    let after = bench.dispatcher.knowledge();
    let classes = |known: &Value| known[2]["classes"].as_array().cloned().expect("there are classes");
    assert_eq!(classes(&after)[..2], classes(&before)[..]);
    assert_ne!(classes(&after)[0], classes(&after)[2]);
    assert_eq!(classes(&after)[1], classes(&after)[2], "like one of which nothing was seen");
    for part in ["kinds", "mean_time", "work", "cuts"] {
        assert_eq!(before[2][part], after[2][part], "{part}");
    }
    assert_eq!((&before[0], &before[1]), (&after[0], &after[1]), "workers, and sizes");
    assert_eq!(sends(&bench.arrive(99, 2, 200 * MS)).len(), 1, "the new class is served");
}

/// A request of this class that may have run once, and whose attempt has just broken.
fn broken(bench: &mut Bench, before_it_breaks: impl Fn(&mut Bench)) -> Vec<Action> {
    let sent = sends(&bench.arrive(1, 0, 200 * MS));
    before_it_breaks(bench);
    let mut done = bench.outcome(1, 0, sent[0].1, Ending::Broken);
    done.extend(bench.wait(SECOND));
    done
}

#[test]
fn an_open_request_that_may_have_run_is_not_sent_again_under_a_tighter_effect() {
    let keyed = Effect::Keyed { group: Group::All, span: 60 * SECOND };
    let with = |effect| {
        let mut settings = settings();
        settings.classes[0].effect = effect;
        Bench::with_workers(settings, &[1, 2])
    };
    assert_eq!(sends(&broken(&mut with(Effect::Safe), |_| {})).len(), 1, "it would be sent again");
    assert_eq!(sends(&broken(&mut with(keyed), |_| {})).len(), 1, "it would be sent again");
    for (before, after) in [(Effect::Safe, Effect::Unsafe), (Effect::Safe, keyed), (keyed, Effect::Unsafe)] {
        let done = broken(&mut with(before), |bench| drop(renew(bench, |new| new.classes[0].effect = after)));
        assert_eq!(sends(&done), [], "{before:?} became {after:?}");
        assert_eq!(answers(&done), [(1, false)], "nothing is promised: {before:?} became {after:?}");
        // Also where it was safe again before its attempt broke.
        let done = broken(&mut with(before), |bench| {
            renew(bench, |new| new.classes[0].effect = after);
            renew(bench, |new| new.classes[0].effect = before);
        });
        assert_eq!(sends(&done), [], "{before:?} became {after:?} and {before:?} again");
    }
}

#[test]
fn an_open_request_keeps_its_effect_where_the_new_one_is_wider_and_a_new_request_has_that() {
    let mut bench = Bench::with_workers(settings(), &[1, 2]);
    let sent = sends(&bench.arrive(1, 1, 200 * MS));
    renew(&mut bench, |new| new.classes[1].effect = Effect::Safe);
    let mut done = bench.outcome(1, 0, sent[0].1, Ending::Broken);
    done.extend(bench.wait(SECOND));
    assert_eq!((sends(&done), answers(&done)), (vec![], vec![(1, false)]));
    let sent = sends(&bench.arrive(2, 1, 200 * MS));
    let mut done = bench.outcome(2, 0, sent[0].1, Ending::Broken);
    done.extend(bench.wait(SECOND));
    assert_eq!(sends(&done).len(), 1);
}

#[test]
fn groups_that_cannot_be_compared_leave_no_repeat() {
    let keyed = |group| Effect::Keyed { group, span: 60 * SECOND };
    for (one, other, again) in [
        (Group::Zone, Group::Zone, 1),
        (Group::All, Group::Zone, 1),
        (Group::Zone, Group::All, 1),
        (Group::Zone, Group::Cell, 0),
        (Group::Cell, Group::Zone, 0),
    ] {
        let mut settings = settings();
        settings.classes[0].effect = keyed(one);
        // All of one zone and one cell.
        let mut bench = Bench::with_workers(settings, &[1, 3]);
        let done = broken(&mut bench, |bench| drop(renew(bench, |new| new.classes[0].effect = keyed(other))));
        assert_eq!(sends(&done).len(), again, "{one:?} became {other:?}");
    }
}

#[test]
fn fewer_tries_hold_at_once_for_held_jobs_and_for_attempts_that_have_not_begun() {
    let mut bench = Bench::with_workers(settings(), &[1, 2]);
    let sent = sends(&bench.arrive(1, 0, 200 * MS));
    let mut done = bench.outcome(1, 0, sent[0].1, Ending::Unreachable);
    done.extend(bench.wait(20 * MS));
    assert_eq!(sends(&done).len(), 1);
    assert!(bench.dispatcher.may_start_attempt(bench.now, RequestId(1), 1));
    renew(&mut bench, |new| new.limits.max_attempts = 1);
    assert!(!bench.dispatcher.may_start_attempt(bench.now, RequestId(1), 1), "it would be one too many");
    // A job that waits for its second try, which is no longer to be had, is answered there and then.
    let mut settings = settings();
    settings.classes[0].late_worth = 0.5;
    let mut bench = Bench::with_workers(settings, &[1]);
    let sent = sends(&bench.arrive(1, 0, 200 * MS));
    bench.outcome(1, 0, sent[0].1, Ending::Unreachable);
    assert_eq!(answers(&renew(&mut bench, |new| new.limits.max_attempts = 1)), [(1, true)]);
}

#[test]
fn a_worker_that_is_cold_only_by_new_figures_gets_nothing_for_one_window() {
    let started = |age: Micros| vec![Member { started: Some(T0 - age), ..member(1) }];
    let mut bench = Bench::new(settings());
    bench.members(ListKind::Saved, started(11 * SECOND));
    renew(&mut bench, |new| new.rules.cold = 60 * SECOND);
    assert_eq!(sends(&bench.arrive(1, 0, 50 * MS)), [], "what it was sent while it was warm is not known");
    bench.now += SECOND + MS;
    let mut done = bench.arrive(2, 0, 50 * MS);
    done.extend(bench.wait(200 * MS));
    assert!(!sends(&done).is_empty(), "after that it is like any cold worker");
    // One that stays warm is not concerned.
    let mut bench = Bench::new(settings());
    bench.members(ListKind::Saved, started(100 * SECOND));
    renew(&mut bench, |new| new.rules.cold = 60 * SECOND);
    assert_eq!(sends(&bench.arrive(1, 0, 50 * MS)).len(), 1);
}

#[test]
fn a_class_that_takes_another_kind_is_served_by_that_kind_at_once() {
    let mut bench = Bench::new(settings());
    let of = |id: u32, kind: usize| Member { kind: KindIx(kind), ..member(id) };
    bench.members(ListKind::Saved, vec![of(1, 0), of(2, 1)]);
    renew(&mut bench, |new| new.classes[0].kind = Some(KindIx(1)));
    assert_eq!(sends(&bench.arrive(1, 0, 50 * MS)), [(1, WorkerId(2))]);
    renew(&mut bench, |new| new.classes[0].kind = Some(KindIx(0)));
    assert_eq!(sends(&bench.arrive(2, 0, 50 * MS)), [(2, WorkerId(1))]);
}

/// Settings with these classes and tenants, each with its number as its worth or quota.
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
fn a_name_keeps_its_place_for_good() {
    let (settings, names) = named(&[("look", 1.0), ("book", 2.0)], &[("acme", 10.0), ("zeta", 20.0)]);
    let (new, told) = named(&[("fit", 3.0), ("book", 5.0)], &[("zeta", 7.0), ("beta", 1.0)]);
    let (settings, names) = merge((&settings, &names), (&new, &told)).expect("it fits");
    let worths = |settings: &Settings| settings.classes.iter().map(|class| class.worth).collect::<Vec<_>>();
    let quotas = |settings: &Settings| settings.tenants.iter().map(|of| of.quota_per_s).collect::<Vec<_>>();
    assert_eq!((worths(&settings), quotas(&settings)), (vec![1.0, 5.0, 3.0], vec![10.0, 7.0, 1.0]));
    assert_eq!((names.class("book"), names.class("fit")), (Ok(ClassIx(1)), Ok(ClassIx(2))));
    assert!(names.class("look").is_err() && names.tenant("acme").is_err(), "nothing new is meant by them");
    assert_eq!(names.classes().collect::<Vec<_>>(), ["look", "book", "fit"], "what was counted has its name");
    // What comes back has its old place, and the new settings.
    let (new, told) = named(&[("look", 9.0), ("book", 5.0)], &[("acme", 4.0)]);
    let (settings, names) = merge((&settings, &names), (&new, &told)).expect("it fits");
    assert_eq!((worths(&settings), quotas(&settings)), (vec![9.0, 5.0, 3.0], vec![4.0, 7.0, 1.0]));
    assert_eq!((names.class("look"), names.tenant("acme")), (Ok(ClassIx(0)), Ok(TenantIx(0))));
    assert!(names.class("fit").is_err() && names.tenant("zeta").is_err());
    // The order in which they are told does not count.
    let (new, told) = named(&[("book", 5.0), ("look", 9.0)], &[("acme", 4.0)]);
    let again = merge((&settings, &names), (&new, &told)).expect("it fits");
    assert_eq!(again, (settings, names));
}

#[test]
fn those_that_were_retired_are_bounded_and_the_fault_names_the_one_too_many() {
    for (classes, most, list) in
        [(true, MAX_RETIRED_CLASSES, "request_classes"), (false, MAX_RETIRED_TENANTS, "orgs")]
    {
        let (mut settings, mut names) = named(&[("look", 1.0)], &[]);
        let mut refused = None;
        for nr in 0..=most + 1 {
            let name = format!("n{nr}");
            let one = [(name.as_str(), 1.0)];
            let (new, told) = if classes { named(&one, &[]) } else { named(&[("look", 1.0)], &one) };
            match merge((&settings, &names), (&new, &told)) {
                Ok(merged) => (settings, names) = merged,
                Err(fault) => {
                    refused = Some((nr, fault));
                    break;
                }
            }
        }
        // The first class retires `look`, the first tenant nobody.
        let (nr, fault) = refused.unwrap_or_else(|| panic!("more than {most} of {list} are retired"));
        assert_eq!(nr, if classes { most } else { most + 1 });
        assert!(fault.key.starts_with(&format!("{list}.")) && fault.reason.contains("restart"), "{fault}");
        assert_eq!(settings.classes.len() + settings.tenants.len(), most + 1 + usize::from(!classes));
    }
}

#[test]
fn a_fault_of_what_cannot_change_names_the_key_of_the_settings() {
    let (old, names) = named(&[("look", 1.0)], &[]);
    let refused = |change: &dyn Fn(&mut Settings)| {
        let mut new = old.clone();
        change(&mut new);
        merge((&old, &names), (&new, &names)).expect_err("it cannot change").key
    };
    assert_eq!(refused(&|new| new.instances = 7), "n_instances");
    assert_eq!(refused(&|new| new.reports = ReportSource::NoReports), "report.how");
    assert_eq!(refused(&|new| new.limits.peers = true), "ceilings.peers");
    assert_eq!(refused(&|new| new.progress_every = 1), "extra.progress_us");
    let others = Names::new(vec!["look".to_owned()], vec![], vec!["y".to_owned()], vec!["k".to_owned()]);
    assert_eq!(merge((&old, &names), (&old, &others)).expect_err("other zones").key, "azs");
    let (twice, both) = named(&[("look", 1.0), ("look", 2.0)], &[]);
    assert_eq!(
        merge((&old, &names), (&twice, &both)).expect_err("merge accepts a name that is listed twice").key,
        "request_classes.look"
    );
}

#[test]
fn thousands_of_renewals_under_load_leave_nothing_behind() {
    let mut bench = Bench::with_workers(two_tenants(10.0), &[1, 2, 3, 4]);
    bench.members(ListKind::Changes, vec![Member { started: Some(T0 - 5 * SECOND), ..member(5) }]);
    let size = |bench: &Bench| bench.dispatcher.knowledge().to_string().len();
    let mut first = 0;
    for nr in 0..4_000_u32 {
        bench.now += 5 * MS;
        let sent = sends(&bench.arrive(nr, nr as usize % 2, 20 * MS));
        renew(&mut bench, |new| {
            new.tenants[0].quota_per_s = f64::from(nr % 7);
            new.classes[0].effect = [Effect::Safe, Effect::Unsafe][nr as usize % 2];
            new.rules.cold = (1 + u64::from(nr) % 100) * SECOND;
            new.rules.fall_window = SECOND + u64::from(nr % 2) * SECOND;
        });
        for (id, worker) in sent {
            bench.outcome(id, 0, worker, Ending::Ok);
        }
        if nr == 1_000 {
            first = size(&bench);
        }
    }
    let last = size(&bench);
    assert!(last < first * 2, "{first} bytes are known after a thousand renewals, {last} after four");
}

#[test]
fn what_was_learned_comes_to_the_places_that_classes_and_tenants_have_at_another_process() {
    let mut predecessor = Bench::with_workers(two_tenants(10.0), &[1, 2]);
    for id in 0..20 {
        predecessor.now += SECOND;
        let sent = sends(&predecessor.arrive(id, 0, 200 * MS));
        predecessor.now += 300 * MS;
        predecessor.outcome(id, 0, sent[0].1, Ending::Ok);
    }
    renew(&mut predecessor, |new| new.tenants[1].quota_per_s = 1.0);
    let known = predecessor.dispatcher.knowledge();
    // There the classes stand the other way round, with one between them, and one tenant has gone.
    let mut settings = two_tenants(10.0);
    settings.classes.push(class(Effect::Safe));
    let mut successor = Bench::with_workers(settings, &[1, 2]);
    let done = successor.tell(Event::KnowledgeReceived(known.clone()));
    assert!(matches!(&done[..], [Action::Log(line)] if line.contains("does not fit")), "{done:?}");
    let placed = Dispatcher::remap_knowledge(
        known.clone(),
        &[Some(1), None, Some(0)],
        &[Some(1), None],
        successor.now,
    );
    assert_eq!(successor.tell(Event::KnowledgeReceived(placed)), []);
    let taken = successor.dispatcher.knowledge();
    let class = |known: &Value, at: usize| known[2]["classes"][at].clone();
    assert_eq!((class(&taken, 0), class(&taken, 2)), (class(&known, 1), class(&known, 0)));
    assert_ne!(class(&taken, 2), class(&taken, 1), "nothing is known of the new one");
    assert_eq!(tokens(&successor), [5.0, 3.0]);
    // What is no knowledge stays what it is, and breaks nothing.
    for odd in [Value::Null, Value::from(7), serde_json::json!([[], [], {"classes": 7}])] {
        assert_eq!(Dispatcher::remap_knowledge(odd.clone(), &[Some(0)], &[], successor.now), odd);
    }
}
