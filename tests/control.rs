//! Five control machines and schedulers of two regions, as processes, with faults between them. Each test ends with the
//! claims of [`Regions::check`]: no version that was acknowledged is lost, none was in force that was not agreed, and no
//! request was lost meanwhile. A failure tells the line that plays it again.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod regions;

use regions::http::{Watch, call};
use regions::{LIMIT, MACHINES, Regions, Setup, WITHIN, both};
use rustix::net::{AddressFamily, SocketType, connect, socket, sockopt};
use serde_json::json;
use std::sync::atomic::Ordering;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Tests that play at once: with many processes they would measure the machine.
static PLACES: (Mutex<usize>, Condvar) = (Mutex::new(3), Condvar::new());

/// A place among them.
struct Place;

impl Place {
    fn take() -> Place {
        let mut free = PLACES.0.lock().unwrap_or_else(PoisonError::into_inner);
        while *free == 0 {
            free = PLACES.1.wait(free).unwrap_or_else(PoisonError::into_inner);
        }
        *free -= 1;
        Place
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *PLACES.0.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        PLACES.1.notify_one();
    }
}

/// A figure that the environment may set.
fn told(name: &str, or: usize) -> usize {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or)
}

/// Another machine than this one.
fn other(than: usize) -> usize {
    than % MACHINES + 1
}

#[test]
fn changes_are_in_force_everywhere_while_the_leader_is_killed() {
    let _place = Place::take();
    let mut regions = Regions::start("changes_are_in_force_everywhere_while_the_leader_is_killed", [2, 1]);
    for value in 10..14 {
        regions.change(1, value);
        regions.level("a change");
    }
    let leader = regions.leader();
    let asked = other(leader);
    regions.kill(leader);
    for value in 20..24 {
        regions.change(asked, value);
        regions.level("a change after the leader was killed");
    }
    regions.boot(leader);
    regions.change(leader, 30);
    regions.level("a change at the machine that is back");
    regions.check();
}

#[test]
fn with_two_of_five_killed_changes_go_on_and_with_three_none_is_taken() {
    let _place = Place::take();
    let mut regions =
        Regions::start("with_two_of_five_killed_changes_go_on_and_with_three_none_is_taken", [2, 1]);
    let leader = regions.leader();
    let (second, third) = (other(leader), other(other(leader)));
    let left = other(third);
    regions.kill(leader);
    regions.kill(second);
    regions.change(left, 10);
    regions.level("a change with three of five");
    regions.kill(third);
    regions.wait("the minority knows that it is one", LIMIT, || {
        regions.state(left).is_some_and(|state| state["majority"] == json!(false))
    });
    let (status, head, told) = regions.ask(left, &both(11));
    assert_eq!(status, 503, "{head} {told}");
    assert!(head.to_ascii_lowercase().contains("retry-after:"), "{head}");
    assert!(told["why"].as_str().is_some_and(|why| why.contains("majority")), "{told}");
    regions.boot(third);
    regions.change(left, 12);
    regions.level("a change with three of five again");
    regions.boot(leader);
    regions.boot(second);
    for id in [leader, second] {
        regions.wait("a machine that is back has what was agreed", Duration::from_secs(4), || {
            regions.state(id).is_some_and(|state| state["seq"].as_u64() >= Some(regions.last().0))
        });
    }
    regions.check();
}

#[test]
fn regions_that_lose_each_other_are_level_soon_after_their_return() {
    let _place = Place::take();
    let mut regions =
        Regions::start("regions_that_lose_each_other_are_level_soon_after_their_return", [2, 2]);
    regions.change(5, 10);
    regions.level("a change before");
    regions.part(true);
    let apart = Instant::now();
    // The side with three of five goes on.
    regions.change(1, 11);
    regions.level_at(&[0, 1], "a change at the side with a majority");
    // The other side decides nothing, and its schedulers know that they are behind.
    for id in [4, 5] {
        regions.wait("the minority says so", LIMIT, || {
            regions.state(id).is_some_and(|state| state["majority"] == json!(false))
        });
        assert_eq!(regions.ask(id, &both(99)).0, 503);
    }
    for rank in [2, 3] {
        regions.wait("a scheduler there knows that it is behind", LIMIT, || {
            regions.figure(rank, "control.behind").as_deref() == Some("1")
        });
        assert!(regions.seen_at(rank, regions.last().0).is_none(), "it heard of what it cannot have heard");
    }
    assert!(regions.state(4).is_some_and(|state| state["seq"].as_u64() < Some(regions.last().0)));
    regions.change(1, 12);
    // Longer where the environment says so: CONTROL_APART_S.
    let span = Duration::from_secs(told("CONTROL_APART_S", 4) as u64);
    regions.wait("they are apart for some time", LIMIT + span, || apart.elapsed() > span);
    // They have found the machines of their side meanwhile, and hearing these makes none of them level.
    regions.wait("the schedulers there watch the machines there", LIMIT, || {
        let watched = [4, 5].map(|id| regions.learners(id)).concat();
        ["n2", "n3"].iter().all(|name| watched.contains(&(*name).to_owned()))
    });
    for rank in [2, 3] {
        assert_eq!(regions.figure(rank, "control.behind").as_deref(), Some("1"), "scheduler {rank}");
    }
    regions.part(false);
    regions.level("the return");
    for id in [4, 5] {
        regions.wait("the machines there have a majority again", WITHIN, || {
            regions.state(id).is_some_and(|state| state["majority"] == json!(true))
        });
    }
    for rank in 0..4 {
        regions.wait("a scheduler knows that it is level", WITHIN, || {
            regions.figure(rank, "control.behind").as_deref() == Some("0")
        });
    }
    regions.change(4, 13);
    regions.level("a change at the side that was apart");
    regions.check();
}

#[test]
fn a_faulty_version_in_mid_stream_changes_nothing() {
    let _place = Place::take();
    let mut regions = Regions::start("a_faulty_version_in_mid_stream_changes_nothing", [1, 1]);
    regions.change(1, 10);
    regions.level("a change before");
    let before = regions.last();
    regions.with_majority(2);
    for (body, key) in [
        (
            json!({"set": {"orgs.acme.quota_rps": 77, "request_classes.look.effect": "odd"}}),
            "request_classes.look",
        ),
        (json!({"set": {"orgs.acme.quota_rps": 77, "rules.fall_multiple": -1}}), "rules.fall_multiple"),
        (json!({"set": {"orgs.acme.quota_rps": 77, "rank": 3}}), "rank"),
        (
            json!({"set": {"orgs.acme.quota_rps": 77}, "unset": ["request_classes.look.effect"]}),
            "request_classes",
        ),
    ] {
        let (status, _, told) = regions.ask(2, &body);
        assert_eq!(status, 400, "{body}: {told}");
        assert!(told["key"].as_str().is_some_and(|told| told.starts_with(key)), "{body}: {told}");
        assert!(told["why"].as_str().is_some_and(|why| !why.is_empty()), "{body}: {told}");
    }
    let state = regions.state(2).expect("it answers");
    assert_eq!(state["seq"].as_u64(), Some(before.0), "{state}");
    regions.change(3, 11);
    regions.level("a change after");
    assert_eq!(regions.last().0, before.0 + 1);
    regions.check();
}

#[test]
fn what_was_agreed_outlives_a_restart_of_all_machines() {
    let _place = Place::take();
    let mut regions = Regions::start("what_was_agreed_outlives_a_restart_of_all_machines", [1, 1]);
    for value in 10..13 {
        regions.change(1, value);
    }
    regions.level("changes before");
    (1..=MACHINES).for_each(|id| regions.kill(id));
    // Schedulers go on by what is in force, and say that they are behind.
    for rank in 0..2 {
        regions.wait("a scheduler knows that it is behind", LIMIT, || {
            regions.figure(rank, "control.behind").as_deref() == Some("1")
        });
        assert_eq!(regions::in_force(regions.schedulers[rank].door), Some(regions.last()));
    }
    let since = Instant::now();
    regions.wait("they are down for some time", LIMIT, || since.elapsed() > Duration::from_secs(4));
    (1..=MACHINES).for_each(|id| regions.boot(id));
    regions.wait("the schedulers watch again", Duration::from_secs(3), || {
        let watching = (1..=MACHINES).flat_map(|id| regions.learners(id)).collect::<Vec<_>>();
        ["n0", "n1"].iter().all(|name| watching.contains(&(*name).to_owned()))
    });
    regions.change(2, 20);
    regions.level("a change after all were restarted");
    regions.check();
}

#[test]
fn a_machine_that_stands_still_for_five_seconds_holds_nothing_up() {
    let _place = Place::take();
    // It is the missing lines of the watch that tell, long before a scheduler counts itself as behind.
    let setup = Setup { silence: Duration::from_secs(60), ..Setup::new([2, 1]) };
    let mut regions = Regions::of("a_machine_that_stands_still_for_five_seconds_holds_nothing_up", setup);
    let leader = regions.leader();
    // The machine that a scheduler watches stands still as well, where that is another one.
    let mut watched = None;
    regions.wait("a scheduler tells a machine what it has in force", LIMIT, || {
        watched = (1..=MACHINES).find(|id| regions.learners(*id).contains(&"n0".to_owned()));
        watched.is_some()
    });
    let still: std::collections::BTreeSet<usize> = [Some(leader), watched].into_iter().flatten().collect();
    let asked = (1..=MACHINES).find(|id| !still.contains(id)).unwrap_or(1);
    let since = Instant::now();
    still.iter().for_each(|id| regions.machines[id - 1].signal("STOP"));
    regions.change(asked, 10);
    regions.level("a change while the leader stands still");
    regions.wait("they stand still for five seconds", LIMIT, || since.elapsed() > Duration::from_secs(5));
    still.iter().for_each(|id| regions.machines[id - 1].signal("CONT"));
    regions.change(asked, 11);
    regions.level("a change after they go on");
    regions.check();
}

#[test]
fn a_leader_that_is_heard_and_hears_nothing_is_replaced() {
    let _place = Place::take();
    let mut regions = Regions::start("a_leader_that_is_heard_and_hears_nothing_is_replaced", [1, 1]);
    let leader = regions.leader();
    for ((from, to), relay) in regions.ways() {
        if *to == leader {
            relay.there().cut.store(true, Ordering::Relaxed);
        } else if *from == leader {
            relay.back().cut.store(true, Ordering::Relaxed);
        }
    }
    regions.change(other(leader), 10);
    regions.level("a change while one way to the leader is cut");
    regions.ways().for_each(|(_, relay)| relay.cut(false));
    regions.change(leader, 11);
    regions.level("a change at the leader that was");
    regions.check();
}

#[test]
fn loss_and_delay_on_every_way_hold_nothing_up_for_long() {
    let _place = Place::take();
    let mut regions = Regions::start("loss_and_delay_on_every_way_hold_nothing_up_for_long", [1, 1]);
    let ways: Vec<_> =
        regions.ways().map(|(_, relay)| relay).chain(regions.learning().map(|(_, relay)| relay)).collect();
    for relay in ways {
        for way in [relay.there(), relay.back()] {
            way.delay_us.store(2_000, Ordering::Relaxed);
            way.breaks.store(10_000, Ordering::Relaxed);
            way.stalls.store(20_000, Ordering::Relaxed);
        }
    }
    for value in 10..20 {
        let id = regions.random.usize(1..=MACHINES);
        regions.change(id, value);
        regions.level("a change with loss");
    }
    regions.check();
}

#[test]
fn a_machine_ends_in_order_and_turns_away_what_it_cannot_take() {
    let _place = Place::take();
    let mut regions = Regions::start("a_machine_ends_in_order_and_turns_away_what_it_cannot_take", [1, 0]);
    let at = regions.machines[0].at.expect("it runs");
    let status = |method: &str, target: &str, body: &[u8]| {
        call(at, method, target, "", body).map(|(status, ..)| status).expect("it answers")
    };
    assert_eq!(status("GET", "/control/nothing", b""), 404);
    assert_eq!(status("GET", "/control/changes", b""), 405);
    assert_eq!(status("POST", "/control/changes", b"{"), 400);
    assert_eq!(status("POST", "/control/changes", br#"{"sets":{}}"#), 400);
    assert_eq!(status("POST", "/control/changes", &vec![b' '; 300 * 1024]), 413);
    assert_eq!(status("POST", "/control/talk?from=1", b"not from itself"), 400);
    assert_eq!(status("POST", "/control/talk?from=2", b"nothing that can be read"), 204);
    assert_eq!(status("POST", "/control/in-force", br#"{"name":"a b","seq":1}"#), 400);
    assert_eq!(status("GET", "/control/versions?watch=1&name=", b""), 400);
    // Who does not send the whole of a request is told so, and let go.
    let since = Instant::now();
    let mut slow = std::net::TcpStream::connect(at).expect("it takes connections");
    slow.set_read_timeout(Some(Duration::from_secs(6))).expect("a limit can be set");
    let mut told = String::new();
    std::io::Write::write_all(&mut slow, b"GET /control/st").expect("it is written");
    std::io::Read::read_to_string(&mut slow, &mut told).expect("it ends in order");
    assert!(told.starts_with("HTTP/1.1 408"), "{told}");
    assert!(since.elapsed() > Duration::from_secs(2) && since.elapsed() < Duration::from_secs(5));
    regions.machines[0].signal("TERM");
    assert!(regions.machines[0].ended(), "it does not end in order");
    regions.kill(1);
    regions.change(2, 10);
    regions.level("a change without it");
    regions.boot(1);
    regions.check();
}

#[test]
fn a_version_is_in_force_whole_or_not_at_all() {
    let _place = Place::take();
    let regions = Regions::start("a_version_is_in_force_whole_or_not_at_all", [1, 1]);
    let known = |rank: usize, class: &str, nr: usize| {
        let headers = format!("Request-Id: {rank}-{class}-{nr}\r\nRequest-Timeout: 9\r\n");
        let told = call(regions.schedulers[rank].at, "POST", &format!("/{class}"), &headers, b"");
        match told.map(|told| told.0) {
            Ok(200) => true,
            Ok(404) => false,
            other => regions.fail(&format!("a job of {class} is answered {other:?}")),
        }
    };
    for version in 0..4 {
        let (one, other) = (format!("a{version}"), format!("z{version}"));
        let class = |name: &str, field: &str| format!("request_classes.{name}.{field}");
        let mut set = serde_json::Map::new();
        for name in [&one, &other] {
            set.insert(class(name, "aim_us"), json!(900_000));
            set.insert(class(name, "deadline_us"), json!(9_000_000));
            set.insert(class(name, "effect"), json!("read_like"));
        }
        // Each scheduler is asked for both all the while: who knows the first knows the other a moment later.
        let halves = std::thread::scope(|scope| {
            let looks = (0..2).map(|rank| {
                let (known, one, other, regions) = (&known, &one, &other, &regions);
                scope.spawn(move || {
                    let since = Instant::now();
                    for nr in 0.. {
                        let (first, second) = if nr % 2 == 0 { (one, other) } else { (other, one) };
                        if known(rank, first, 2 * nr) {
                            return (rank, known(rank, second, 2 * nr + 1));
                        }
                        if since.elapsed() > LIMIT {
                            regions.fail("a class that was added is not known");
                        }
                    }
                    (rank, false)
                })
            });
            let looks: Vec<_> = looks.collect();
            regions.with_majority(1 + version % MACHINES);
            let (status, _, told) = regions.ask(1 + version % MACHINES, &json!({ "set": set }));
            assert_eq!(status, 200, "{told}");
            looks.into_iter().map(|look| look.join().expect("a look ends")).collect::<Vec<_>>()
        });
        if let Some((rank, _)) = halves.iter().find(|(_, whole)| !whole) {
            regions.fail(&format!("half a version was in force at scheduler {rank}"));
        }
    }
    regions.check();
}

#[test]
fn more_learners_than_a_machine_takes_go_to_another() {
    let _place = Place::take();
    let setup = Setup { learners: 3, ..Setup::new([4, 3]) };
    let mut regions = Regions::of("more_learners_than_a_machine_takes_go_to_another", setup);
    // Each machine has a witness of the test's beside the schedulers: 10 places are left for 7 schedulers.
    regions.change(1, 10);
    regions.level("a change");
    let all = |regions: &Regions| (1..=MACHINES).map(|id| regions.learners(id).len()).collect::<Vec<_>>();
    regions.wait("each scheduler tells a machine what it has in force", LIMIT, || {
        all(&regions).iter().sum::<usize>() == 7
    });
    assert!(all(&regions).iter().all(|count| *count <= 2), "{:?}", all(&regions));
    let at = regions.machines[0].at.expect("it runs");
    let full = (0..4).map(|nr| {
        let target = format!("/control/versions?watch=1&from=0&digest=&name=stranger-{nr}");
        Watch::open(at, &target).expect("it answers")
    });
    let full: Vec<Watch> = full.collect();
    assert!(
        full.iter().any(|watch| watch.status == 503),
        "{:?}",
        full.iter().map(|watch| watch.status).collect::<Vec<_>>()
    );
    drop(full);
    // Those of a machine that is gone find places at the others.
    regions.kill(2);
    regions.change(1, 11);
    regions.level("a change without one machine");
    regions.boot(2);
    regions.check();
}

#[test]
fn a_machine_that_comes_back_with_an_empty_store_takes_nothing_back() {
    let _place = Place::take();
    let mut regions =
        Regions::start("a_machine_that_comes_back_with_an_empty_store_takes_nothing_back", [1, 1]);
    regions.change(1, 10);
    regions.level("a change before");
    let last = regions.last().0;
    for id in 1..=MACHINES {
        regions.wait("all have what was agreed", LIMIT, || {
            regions.state(id).is_some_and(|state| state["seq"].as_u64() == Some(last))
        });
    }
    regions.kill(3);
    std::fs::remove_dir_all(regions.store(3)).expect("its store is removed");
    regions.change(1, 11);
    regions.boot(3);
    for value in 12..15 {
        regions.change(1, value);
        regions.level("a change beside the machine with an empty store");
    }
    regions.kill(3);
    regions.check();
}

#[test]
fn two_learners_of_one_name_are_both_told() {
    let _place = Place::take();
    let mut regions = Regions::start("two_learners_of_one_name_are_both_told", [1, 0]);
    let at = regions.machines[0].at.expect("it runs");
    let target = "/control/versions?watch=1&from=0&digest=&name=calicolb";
    let mut watches =
        [Watch::open(at, target), Watch::open(at, target)].map(|watch| watch.expect("it opens"));
    regions.change(1, 4_711);
    for watch in &mut watches {
        let mut told = String::new();
        while !told.contains("4711") {
            told += &watch
                .lines()
                .unwrap_or_else(|error| regions.fail(&format!("a watch ended: {error}")))
                .join("");
        }
    }
    regions.check();
}

#[test]
fn a_learner_that_takes_nothing_is_let_go() {
    let _place = Place::take();
    let mut regions = Regions::start("a_learner_that_takes_nothing_is_let_go", [1, 0]);
    regions.with_majority(1);
    let at = regions.machines[0].at.expect("it runs");
    // Little is held for it at its own side, as for one far away.
    let lazy = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket is made");
    sockopt::set_socket_recv_buffer_size(&lazy, 4_096).expect("its buffer is small");
    connect(&lazy, &at).expect("it takes connections");
    let mut lazy = std::net::TcpStream::from(lazy);
    let call = "GET /control/versions?watch=1&from=0&digest=&name=lazy HTTP/1.1\r\nHost: t\r\n\r\n";
    std::io::Write::write_all(&mut lazy, call.as_bytes()).expect("it is written");
    // A few large changes fill what the system holds for it.
    for letter in ["a", "b", "c", "d"] {
        let set = json!({"set": {"notes": letter.repeat(120_000)}});
        regions.wait("a large change is agreed", LIMIT, || regions.ask(1, &set).0 == 200);
    }
    regions.wait("it is let go", LIMIT, || {
        regions.machines[0].log().contains("a learner did not read its watch")
    });
    regions.wait("the notes are gone", LIMIT, || regions.ask(1, &json!({"unset": ["notes"]})).0 == 200);
    regions.change(1, 10);
    regions.level("a change after");
    regions.check();
}

/// What 60 changes cost at 30 schedulers, or fewer of both where the environment does not say so: CONTROL_SCHEDULERS,
/// CONTROL_CHANGES, CONTROL_IDLE_S. CONTROL_OUT names a file for the figures.
#[test]
fn figures_of_changes_with_the_leader_killed_in_the_middle() {
    let _place = Place::take();
    let told =
        |name: &str, or: usize| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or);
    let (count, changes, idle) =
        (told("CONTROL_SCHEDULERS", 5), told("CONTROL_CHANGES", 6), told("CONTROL_IDLE_S", 1));
    let name = "figures_of_changes_with_the_leader_killed_in_the_middle";
    let pause = Duration::from_millis(500);
    let schedulers = [count - count / 3, count / 3];
    let setup = Setup { pause, looks: false, ..Setup { schedulers, ..Setup::new([0, 0]) } };
    let mut regions = Regions::of(name, setup);
    let figures = regions.measure(changes, Duration::from_secs(idle as u64));
    println!("{figures:#}");
    assert_eq!(figures["behind"], json!(0));
    assert!(figures["in_force_max_ms"].as_f64().is_some_and(|ms| ms <= 5_000.0), "{figures:#}");
    assert!(
        figures["learner_bytes_per_s_worst"].as_u64().is_some_and(|bytes| bytes <= 24_000),
        "{figures:#}"
    );
    if let Ok(file) = std::env::var("CONTROL_OUT") {
        std::fs::write(file, format!("{figures:#}\n")).expect("the figures are written");
    }
    regions.check();
}
