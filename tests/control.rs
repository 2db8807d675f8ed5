//! Five control machines and schedulers of two regions, as processes, with faults between them. Each test ends with the
//! claims of [`Regions::check`]: no version that was acknowledged is lost, none was in force that was not agreed, and no
//! request was lost meanwhile. A failure tells the line that plays it again.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod regions;

use regions::http::call;
use regions::{LIMIT, MACHINES, Regions, WITHIN, both};
use serde_json::json;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// One at a time: many processes at once would measure the machine.
static ONE: std::sync::Mutex<()> = std::sync::Mutex::new(());

fn alone() -> std::sync::MutexGuard<'static, ()> {
    ONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Another machine than this one.
fn other(than: usize) -> usize {
    than % MACHINES + 1
}

#[test]
fn changes_are_in_force_everywhere_while_the_leader_is_killed() {
    let _alone = alone();
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
    let _alone = alone();
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
    regions.check();
}

#[test]
fn regions_that_lose_each_other_are_level_soon_after_their_return() {
    let _alone = alone();
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
    regions.wait("they are apart for some time", LIMIT, || apart.elapsed() > Duration::from_secs(4));
    regions.part(false);
    regions.level("the return");
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
    let _alone = alone();
    let mut regions = Regions::start("a_faulty_version_in_mid_stream_changes_nothing", [1, 1]);
    regions.change(1, 10);
    regions.level("a change before");
    let before = regions.last();
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
    let _alone = alone();
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
    (1..=MACHINES).for_each(|id| regions.boot(id));
    regions.change(2, 20);
    regions.level("a change after all were restarted");
    regions.check();
}

#[test]
fn a_machine_that_stands_still_for_five_seconds_holds_nothing_up() {
    let _alone = alone();
    let mut regions = Regions::start("a_machine_that_stands_still_for_five_seconds_holds_nothing_up", [2, 1]);
    let leader = regions.leader();
    let since = Instant::now();
    regions.machines[leader - 1].signal("STOP");
    regions.change(other(leader), 10);
    regions.level("a change while the leader stands still");
    regions.wait("it stands still for five seconds", LIMIT, || since.elapsed() > Duration::from_secs(5));
    regions.machines[leader - 1].signal("CONT");
    regions.change(other(leader), 11);
    regions.level("a change after it goes on");
    regions.check();
}

#[test]
fn a_leader_that_is_heard_and_hears_nothing_is_replaced() {
    let _alone = alone();
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
    let _alone = alone();
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
    let _alone = alone();
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
