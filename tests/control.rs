//! Five control machines and schedulers of two regions, as processes, with faults between them. Each test ends with the
//! assertions of [`Regions::check`]: no acknowledged version is lost, only decided versions were in force, and no request
//! was lost. A failure prints the command that repeats the run.

#[allow(dead_code, reason = "each test program uses only a part of this module")]
mod regions;

use regions::http::{Watch, call};
use regions::{IN_FORCE_TIMEOUT, MACHINES, Regions, Setup, WAIT_TIMEOUT, quota_change};
use rustix::net::{AddressFamily, SocketType, connect, socket, sockopt};
use serde_json::json;
use std::sync::atomic::Ordering;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Free places for tests that run at the same time. At most three run, since with more processes the tests would measure the
/// load of the machine.
static FREE_TEST_SLOTS: (Mutex<usize>, Condvar) = (Mutex::new(3), Condvar::new());

/// A place for a running test, given back on drop.
struct TestSlot;

impl TestSlot {
    fn take() -> TestSlot {
        let mut free = FREE_TEST_SLOTS.0.lock().unwrap_or_else(PoisonError::into_inner);
        while *free == 0 {
            free = FREE_TEST_SLOTS.1.wait(free).unwrap_or_else(PoisonError::into_inner);
        }
        *free -= 1;
        TestSlot
    }
}

impl Drop for TestSlot {
    fn drop(&mut self) {
        *FREE_TEST_SLOTS.0.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        FREE_TEST_SLOTS.1.notify_one();
    }
}

/// A number from an environment variable, or `default`.
fn number_from_env(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The machine with the next id; id 1 follows the last.
fn next_machine(id: usize) -> usize {
    id % MACHINES + 1
}

#[test]
fn changes_come_into_force_everywhere_after_the_leader_is_killed() {
    let _slot = TestSlot::take();
    let mut regions = Regions::start("changes_come_into_force_everywhere_after_the_leader_is_killed", [2, 1]);
    for value in 10..14 {
        regions.change(1, value);
        regions.wait_in_force("a change");
    }
    let leader = regions.leader();
    let running = next_machine(leader);
    regions.kill(leader);
    for value in 20..24 {
        regions.change(running, value);
        regions.wait_in_force("a change after the leader was killed");
    }
    regions.boot(leader);
    regions.change(leader, 30);
    regions.wait_in_force("a change at the restarted machine");
    regions.check();
}

#[test]
fn changes_succeed_with_two_of_five_machines_down_and_fail_with_three() {
    let _slot = TestSlot::take();
    let mut regions =
        Regions::start("changes_succeed_with_two_of_five_machines_down_and_fail_with_three", [2, 1]);
    let leader = regions.leader();
    let (second, third) = (next_machine(leader), next_machine(next_machine(leader)));
    let fourth = next_machine(third);
    regions.kill(leader);
    regions.kill(second);
    regions.change(fourth, 10);
    regions.wait_in_force("a change with three of five machines");
    regions.kill(third);
    regions.wait("the minority reports that it has no majority", WAIT_TIMEOUT, || {
        regions.state(fourth).is_some_and(|state| state["majority"] == json!(false))
    });
    let (status, head, answer) = regions.request_change(fourth, &quota_change(11));
    assert_eq!(status, 503, "{head} {answer}");
    assert!(head.to_ascii_lowercase().contains("retry-after:"), "{head}");
    assert!(answer["why"].as_str().is_some_and(|why| why.contains("majority")), "{answer}");
    regions.boot(third);
    regions.change(fourth, 12);
    regions.wait_in_force("a change with three of five machines again");
    regions.boot(leader);
    regions.boot(second);
    for id in [leader, second] {
        regions.wait("a restarted machine has the last decided version", Duration::from_secs(4), || {
            regions.state(id).is_some_and(|state| state["seq"].as_u64() >= Some(regions.last_accepted().0))
        });
    }
    regions.check();
}

#[test]
fn separated_regions_have_the_same_version_soon_after_they_are_joined() {
    let _slot = TestSlot::take();
    let mut regions =
        Regions::start("separated_regions_have_the_same_version_soon_after_they_are_joined", [2, 2]);
    regions.change(5, 10);
    regions.wait_in_force("a change before the fault");
    regions.set_partitioned(true);
    let partitioned_since = Instant::now();
    // The region with three of five machines keeps deciding.
    regions.change(1, 11);
    regions.wait_in_force_at(&[0, 1], "a change in the region with a majority");
    // The other region decides nothing, and its schedulers report that they are behind.
    for id in [4, 5] {
        regions.wait("a machine of the minority reports no majority", WAIT_TIMEOUT, || {
            regions.state(id).is_some_and(|state| state["majority"] == json!(false))
        });
        assert_eq!(regions.request_change(id, &quota_change(99)).0, 503);
    }
    for rank in [2, 3] {
        regions.wait("a scheduler of the minority reports that it is behind", WAIT_TIMEOUT, || {
            regions.metric(rank, "control.behind").as_deref() == Some("1")
        });
        assert!(
            regions.first_in_force(rank, regions.last_accepted().0).is_none(),
            "scheduler {rank} has a version of the other region in force"
        );
    }
    assert!(regions.state(4).is_some_and(|state| state["seq"].as_u64() < Some(regions.last_accepted().0)));
    regions.change(1, 12);
    // The environment variable CONTROL_APART_S sets the duration of the partition in seconds.
    let span = Duration::from_secs(number_from_env("CONTROL_APART_S", 4) as u64);
    regions.wait("the duration of the partition has passed", WAIT_TIMEOUT + span, || {
        partitioned_since.elapsed() > span
    });
    // The schedulers watch the machines of their own region by now; without a majority there, they still count as behind.
    regions.wait("the schedulers of the minority watch its machines", WAIT_TIMEOUT, || {
        let watched = [4, 5].map(|id| regions.learners(id)).concat();
        ["n2", "n3"].iter().all(|name| watched.contains(&(*name).to_owned()))
    });
    for rank in [2, 3] {
        assert_eq!(regions.metric(rank, "control.behind").as_deref(), Some("1"), "scheduler {rank}");
    }
    regions.set_partitioned(false);
    regions.wait_in_force("the regions are joined");
    for id in [4, 5] {
        regions.wait("the machines of the minority have a majority again", IN_FORCE_TIMEOUT, || {
            regions.state(id).is_some_and(|state| state["majority"] == json!(true))
        });
    }
    for rank in 0..4 {
        regions.wait("a scheduler reports that it is not behind", IN_FORCE_TIMEOUT, || {
            regions.metric(rank, "control.behind").as_deref() == Some("0")
        });
    }
    regions.change(4, 13);
    regions.wait_in_force("a change in the region that had no majority");
    regions.check();
}

#[test]
fn invalid_change_is_rejected_with_its_key_and_changes_nothing() {
    let _slot = TestSlot::take();
    let mut regions = Regions::start("invalid_change_is_rejected_with_its_key_and_changes_nothing", [1, 1]);
    regions.change(1, 10);
    regions.wait_in_force("a change before the fault");
    let before = regions.last_accepted();
    regions.wait_for_majority(2);
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
        let (status, _, answer) = regions.request_change(2, &body);
        assert_eq!(status, 400, "{body}: {answer}");
        assert!(answer["key"].as_str().is_some_and(|text| text.starts_with(key)), "{body}: {answer}");
        assert!(answer["why"].as_str().is_some_and(|why| !why.is_empty()), "{body}: {answer}");
    }
    let state = regions.state(2).expect("control machine 2 reports no state");
    assert_eq!(state["seq"].as_u64(), Some(before.0), "{state}");
    regions.change(3, 11);
    regions.wait_in_force("a change after the fault");
    assert_eq!(regions.last_accepted().0, before.0 + 1);
    regions.check();
}

#[test]
fn decided_versions_survive_a_restart_of_all_machines() {
    let _slot = TestSlot::take();
    let mut regions = Regions::start("decided_versions_survive_a_restart_of_all_machines", [1, 1]);
    for value in 10..13 {
        regions.change(1, value);
    }
    regions.wait_in_force("changes before the restart");
    (1..=MACHINES).for_each(|id| regions.kill(id));
    // The schedulers keep the version in force and report that they are behind.
    for rank in 0..2 {
        regions.wait("a scheduler reports that it is behind", WAIT_TIMEOUT, || {
            regions.metric(rank, "control.behind").as_deref() == Some("1")
        });
        assert_eq!(regions::in_force(regions.schedulers[rank].management), Some(regions.last_accepted()));
    }
    let since = Instant::now();
    regions.wait("the machines have been down for four seconds", WAIT_TIMEOUT, || {
        since.elapsed() > Duration::from_secs(4)
    });
    (1..=MACHINES).for_each(|id| regions.boot(id));
    regions.wait("the schedulers watch the machines again", Duration::from_secs(3), || {
        let watching = (1..=MACHINES).flat_map(|id| regions.learners(id)).collect::<Vec<_>>();
        ["n0", "n1"].iter().all(|name| watching.contains(&(*name).to_owned()))
    });
    regions.change(2, 20);
    regions.wait_in_force("a change after the restart of all machines");
    regions.check();
}

#[test]
fn changes_succeed_while_the_leader_is_stopped_for_five_seconds() {
    let _slot = TestSlot::take();
    // A scheduler has to notice the stopped machine by the missing lines of its watch, since the silence timeout of 60 s is
    // too long for this test.
    let setup = Setup { silence: Duration::from_secs(60), ..Setup::new([2, 1]) };
    let mut regions =
        Regions::with_setup("changes_succeed_while_the_leader_is_stopped_for_five_seconds", setup);
    let leader = regions.leader();
    // The machine that scheduler 0 watches is stopped as well if it is not the leader.
    let mut watched = None;
    regions.wait("scheduler 0 reports its version in force to a machine", WAIT_TIMEOUT, || {
        watched = (1..=MACHINES).find(|id| regions.learners(*id).contains(&"n0".to_owned()));
        watched.is_some()
    });
    let stopped: std::collections::BTreeSet<usize> = [Some(leader), watched].into_iter().flatten().collect();
    let running = (1..=MACHINES).find(|id| !stopped.contains(id)).unwrap_or(1);
    let since = Instant::now();
    stopped.iter().for_each(|id| regions.machines[id - 1].signal("STOP"));
    regions.change(running, 10);
    regions.wait_in_force("a change while the leader is stopped");
    regions.wait("the machines have been stopped for five seconds", WAIT_TIMEOUT, || {
        since.elapsed() > Duration::from_secs(5)
    });
    stopped.iter().for_each(|id| regions.machines[id - 1].signal("CONT"));
    regions.change(running, 11);
    regions.wait_in_force("a change after the machines continue");
    regions.check();
}

#[test]
fn leader_that_can_send_but_not_receive_is_replaced() {
    let _slot = TestSlot::take();
    let mut regions = Regions::start("leader_that_can_send_but_not_receive_is_replaced", [1, 1]);
    let leader = regions.leader();
    for ((from, to), relay) in regions.machine_relays() {
        if *to == leader {
            relay.forward().blocked.store(true, Ordering::Relaxed);
        } else if *from == leader {
            relay.backward().blocked.store(true, Ordering::Relaxed);
        }
    }
    regions.change(next_machine(leader), 10);
    regions.wait_in_force("a change while the leader receives nothing");
    regions.machine_relays().for_each(|(_, relay)| relay.set_blocked(false));
    regions.change(leader, 11);
    regions.wait_in_force("a change at the former leader");
    regions.check();
}

#[test]
fn changes_come_into_force_in_time_with_loss_and_delay_on_all_connections() {
    let _slot = TestSlot::take();
    let mut regions =
        Regions::start("changes_come_into_force_in_time_with_loss_and_delay_on_all_connections", [1, 1]);
    let relays: Vec<_> = regions
        .machine_relays()
        .map(|(_, relay)| relay)
        .chain(regions.learner_relays().map(|(_, relay)| relay))
        .collect();
    for relay in relays {
        for direction in [relay.forward(), relay.backward()] {
            direction.delay_us.store(2_000, Ordering::Relaxed);
            direction.breaks_per_million.store(10_000, Ordering::Relaxed);
            direction.stalls_per_million.store(20_000, Ordering::Relaxed);
        }
    }
    for value in 10..20 {
        let id = regions.random.usize(1..=MACHINES);
        regions.change(id, value);
        regions.wait_in_force("a change with loss");
    }
    regions.check();
}

#[test]
fn machine_rejects_invalid_requests_and_exits_cleanly_on_sigterm() {
    let _slot = TestSlot::take();
    let mut regions = Regions::start("machine_rejects_invalid_requests_and_exits_cleanly_on_sigterm", [1, 0]);
    let at = regions.machines[0].address.expect("control machine 1 does not run");
    let status = |method: &str, target: &str, body: &[u8]| {
        call(at, method, target, "", body)
            .map(|(status, ..)| status)
            .expect("control machine 1 does not answer")
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
    // A client that does not complete its request gets status 408 and is disconnected.
    let since = Instant::now();
    let mut slow = std::net::TcpStream::connect(at).expect("control machine 1 accepts no connection");
    slow.set_read_timeout(Some(Duration::from_secs(6))).expect("the read timeout could not be set");
    let mut answer = String::new();
    std::io::Write::write_all(&mut slow, b"GET /control/st").expect("the request could not be written");
    std::io::Read::read_to_string(&mut slow, &mut answer).expect("the connection was not closed cleanly");
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(since.elapsed() > Duration::from_secs(2) && since.elapsed() < Duration::from_secs(5));
    regions.machines[0].signal("TERM");
    assert!(regions.machines[0].wait_for_exit(), "control machine 1 exits with an error on SIGTERM");
    regions.kill(1);
    regions.change(2, 10);
    regions.wait_in_force("a change without machine 1");
    regions.boot(1);
    regions.check();
}

#[test]
fn all_changes_of_a_version_come_into_force_at_once() {
    let _slot = TestSlot::take();
    let regions = Regions::start("all_changes_of_a_version_come_into_force_at_once", [1, 1]);
    let known = |rank: usize, class: &str, nr: usize| {
        let headers = format!("Request-Id: {rank}-{class}-{nr}\r\nRequest-Timeout: 9\r\n");
        let answer = call(regions.schedulers[rank].address, "POST", &format!("/{class}"), &headers, b"");
        match answer.map(|answer| answer.0) {
            Ok(200) => true,
            Ok(404) => false,
            other => regions.fail(&format!("a job of class {class} is answered with {other:?}")),
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
        // Jobs of both classes go to each scheduler all the time: a scheduler that knows the first class has to know the
        // second as well.
        let results = std::thread::scope(|scope| {
            let threads = (0..2).map(|rank| {
                let (known, one, other, regions) = (&known, &one, &other, &regions);
                scope.spawn(move || {
                    let since = Instant::now();
                    for nr in 0.. {
                        let (first, second) = if nr % 2 == 0 { (one, other) } else { (other, one) };
                        if known(rank, first, 2 * nr) {
                            return (rank, known(rank, second, 2 * nr + 1));
                        }
                        if since.elapsed() > WAIT_TIMEOUT {
                            regions.fail("a new class is still unknown at scheduler {rank}");
                        }
                    }
                    (rank, false)
                })
            });
            let threads: Vec<_> = threads.collect();
            regions.wait_for_majority(1 + version % MACHINES);
            let (status, _, answer) = regions.request_change(1 + version % MACHINES, &json!({ "set": set }));
            assert_eq!(status, 200, "{answer}");
            threads
                .into_iter()
                .map(|thread| thread.join().expect("a client thread panicked"))
                .collect::<Vec<_>>()
        });
        if let Some((rank, _)) = results.iter().find(|(_, complete)| !complete) {
            regions.fail(&format!("scheduler {rank} had only one of the two new classes in force"));
        }
    }
    regions.check();
}

#[test]
fn learners_beyond_a_machines_limit_use_another_machine() {
    let _slot = TestSlot::take();
    let setup = Setup { learners: 3, ..Setup::new([4, 3]) };
    let mut regions = Regions::with_setup("learners_beyond_a_machines_limit_use_another_machine", setup);
    // The test itself watches each machine as well, so that 10 of the 15 places are left for 7 schedulers.
    regions.change(1, 10);
    regions.wait_in_force("a change");
    let learner_counts =
        |regions: &Regions| (1..=MACHINES).map(|id| regions.learners(id).len()).collect::<Vec<_>>();
    regions.wait("each scheduler reports its version in force to a machine", WAIT_TIMEOUT, || {
        learner_counts(&regions).iter().sum::<usize>() == 7
    });
    assert!(learner_counts(&regions).iter().all(|count| *count <= 2), "{:?}", learner_counts(&regions));
    let at = regions.machines[0].address.expect("control machine 1 does not run");
    let watches = (0..4).map(|nr| {
        let target = format!("/control/versions?watch=1&from=0&digest=&name=stranger-{nr}");
        Watch::open(at, &target).expect("control machine 1 does not answer")
    });
    let watches: Vec<Watch> = watches.collect();
    assert!(
        watches.iter().any(|watch| watch.status == 503),
        "{:?}",
        watches.iter().map(|watch| watch.status).collect::<Vec<_>>()
    );
    drop(watches);
    // Learners of a machine that is down watch other machines.
    regions.kill(2);
    regions.change(1, 11);
    regions.wait_in_force("a change without one machine");
    regions.boot(2);
    regions.check();
}

#[test]
fn machine_that_restarts_with_an_empty_store_loses_no_decided_version() {
    let _slot = TestSlot::take();
    let mut regions =
        Regions::start("machine_that_restarts_with_an_empty_store_loses_no_decided_version", [1, 1]);
    regions.change(1, 10);
    regions.wait_in_force("a change before the fault");
    let last = regions.last_accepted().0;
    for id in 1..=MACHINES {
        regions.wait("all machines have the decided version", WAIT_TIMEOUT, || {
            regions.state(id).is_some_and(|state| state["seq"].as_u64() == Some(last))
        });
    }
    regions.kill(3);
    std::fs::remove_dir_all(regions.store(3)).expect("the store of control machine 3 could not be removed");
    regions.change(1, 11);
    regions.boot(3);
    for value in 12..15 {
        regions.change(1, value);
        regions.wait_in_force("a change beside the machine with an empty store");
    }
    regions.kill(3);
    regions.check();
}

#[test]
fn two_learners_with_the_same_name_both_receive_changes() {
    let _slot = TestSlot::take();
    let mut regions = Regions::start("two_learners_with_the_same_name_both_receive_changes", [1, 0]);
    let at = regions.machines[0].address.expect("control machine 1 does not run");
    let target = "/control/versions?watch=1&from=0&digest=&name=calicolb";
    let mut watches = [Watch::open(at, target), Watch::open(at, target)]
        .map(|watch| watch.expect("a watch could not be opened"));
    regions.change(1, 4_711);
    for watch in &mut watches {
        let mut received = String::new();
        while !received.contains("4711") {
            received += &watch
                .lines()
                .unwrap_or_else(|error| regions.fail(&format!("a watch ended: {error}")))
                .join("");
        }
    }
    regions.check();
}

#[test]
fn learner_that_does_not_read_is_disconnected() {
    let _slot = TestSlot::take();
    let mut regions = Regions::start("learner_that_does_not_read_is_disconnected", [1, 0]);
    regions.wait_for_majority(1);
    let at = regions.machines[0].address.expect("control machine 1 does not run");
    // A small receive buffer makes the connection fill early, as a distant learner's does.
    let idle =
        socket(AddressFamily::INET, SocketType::STREAM, None).expect("the socket could not be created");
    sockopt::set_socket_recv_buffer_size(&idle, 4_096).expect("the receive buffer could not be set");
    connect(&idle, &at).expect("control machine 1 accepts no connection");
    let mut idle = std::net::TcpStream::from(idle);
    let call = "GET /control/versions?watch=1&from=0&digest=&name=lazy HTTP/1.1\r\nHost: t\r\n\r\n";
    std::io::Write::write_all(&mut idle, call.as_bytes()).expect("the request could not be written");
    // A few large changes fill the system's buffers for the connection.
    for letter in ["a", "b", "c", "d"] {
        let set = json!({"set": {"notes": letter.repeat(120_000)}});
        regions.wait("a large change is accepted", WAIT_TIMEOUT, || regions.request_change(1, &set).0 == 200);
    }
    regions.wait("the learner is disconnected", WAIT_TIMEOUT, || {
        regions.machines[0].log().contains("a learner did not read its watch")
    });
    regions.wait("the large value is removed", WAIT_TIMEOUT, || {
        regions.request_change(1, &json!({"unset": ["notes"]})).0 == 200
    });
    regions.change(1, 10);
    regions.wait_in_force("a change after the fault");
    regions.check();
}

/// Measures the cost of changes. The environment variables CONTROL_SCHEDULERS (5), CONTROL_CHANGES (6) and CONTROL_IDLE_S (1)
/// set the size of the run; the full run has 30 schedulers and 60 changes. CONTROL_OUT names a file for the figures.
#[test]
fn cost_of_changes_with_the_leader_killed_halfway_is_within_limits() {
    let _slot = TestSlot::take();
    let number = |name: &str, default: usize| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (count, changes, idle) =
        (number("CONTROL_SCHEDULERS", 5), number("CONTROL_CHANGES", 6), number("CONTROL_IDLE_S", 1));
    let name = "cost_of_changes_with_the_leader_killed_halfway_is_within_limits";
    let pause = Duration::from_millis(500);
    let schedulers = [count - count / 3, count / 3];
    let setup = Setup { pause, poll_versions: false, ..Setup { schedulers, ..Setup::new([0, 0]) } };
    let mut regions = Regions::with_setup(name, setup);
    let figures = regions.measure(changes, Duration::from_secs(idle as u64));
    println!("{figures:#}");
    assert_eq!(figures["behind"], json!(0));
    assert!(figures["in_force_max_ms"].as_f64().is_some_and(|ms| ms <= 5_000.0), "{figures:#}");
    assert!(
        figures["learner_bytes_per_s_worst"].as_u64().is_some_and(|bytes| bytes <= 24_000),
        "{figures:#}"
    );
    if let Ok(file) = std::env::var("CONTROL_OUT") {
        std::fs::write(file, format!("{figures:#}\n")).expect("the figures could not be written");
    }
    regions.check();
}
