//! Small hollow fleets: counts, not times. A failure is played again by the seed in its message.

use calicolb_simulation::{Incident, Links, Plan, Summary, Traffic, encode, simulate};

const SEED: u64 = 7;

fn small(incident: Incident, seed: u64) -> Plan {
    Plan {
        schedulers: 30,
        workers: 60,
        accelerators: 64,
        tenants: 24,
        requests_per_s: 12.0,
        measured_seconds: 20,
        warm_up_seconds: 20,
        incident,
        seed,
        ..Plan::default()
    }
}

fn of(account: &Summary, function: &str) -> Traffic {
    account.traffic[function]
}

fn answered(account: &Summary) -> u64 {
    account.served + account.refused + account.extra.failed + account.lost
}

#[test]
fn the_same_plan_gives_the_same_account_to_the_byte() {
    for event in [Incident::None, Incident::Zone, Incident::Restarts] {
        let text = |seed| {
            let account = simulate(&small(event, seed));
            format!(
                "{:?} {}",
                account.extra,
                serde_json::to_string(&account.deterministic_counts()).expect("it is written")
            )
        };
        assert_eq!(text(SEED), text(SEED), "{event:?}, seed {SEED}");
        assert_ne!(text(SEED), text(SEED + 1), "{event:?}: the seed says what is drawn");
    }
}

#[test]
fn a_calm_fleet_serves_all_and_control_keeps_to_its_counts() {
    for seed in [SEED, 1, 2] {
        let account = simulate(&small(Incident::None, seed));
        assert!((190..300).contains(&account.jobs), "seed {seed}: {} requests", account.jobs);
        assert_eq!(account.served, account.jobs, "seed {seed}");
        assert_eq!((account.refused, account.lost, account.doubled), (0, 0, 0), "seed {seed}");
        // Little's law: 4.93 tasks run on each worker.
        assert!((200..400).contains(&account.running_peak), "seed {seed}: {}", account.running_peak);
        // A send and an end are told to each other member of a cohort, which are at most seven, and that is received.
        let talk = of(&account, "talk").messages as f64 / account.jobs as f64;
        assert!((4.0..28.5).contains(&talk), "seed {seed}: {talk} loads a job");
        // An empty line every 2 s to each, and nothing else.
        let watch = of(&account, "watch");
        assert!((295..=305).contains(&watch.messages), "seed {seed}: {watch:?}");
        for quiet in ["list", "greetings", "troubles", "config"] {
            assert_eq!(of(&account, quiet), Traffic::default(), "seed {seed}: {quiet}");
        }
        // Eight probes a job at most: four others are asked where the own share has no room, and they answer.
        let probes = of(&account, "probes").messages as f64 / account.jobs as f64;
        assert!(probes < 8.0, "seed {seed}: {probes} probes a job");
    }
}

/// The exponent of messages of the whole fleet by schedulers, by least squares on logarithms.
fn exponent(accounts: &[Summary], function: &str) -> f64 {
    let point = |account: &Summary| {
        (f64::from(account.schedulers).ln(), (of(account, function).messages as f64).max(1.0).ln())
    };
    let points: Vec<(f64, f64)> = accounts.iter().map(point).collect();
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / points.len() as f64;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let over: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    over / points.iter().map(|point| (point.0 - x).powi(2)).sum::<f64>()
}

#[test]
fn messages_grow_with_the_schedulers_no_faster_than_their_bounds() {
    // The requests stay as many, and there are two workers to each scheduler. Loads are told within cohorts, whose size
    // hangs on the workers for each scheduler; each scheduler has one watch; one that starts greets all, and all answer;
    // whoever sees trouble tells all; who sends less knows less, and probes more.
    let bounds = [
        (Incident::None, vec![("talk", 0.2), ("probes", 1.05), ("watch", 1.05)]),
        (Incident::Restarts, vec![("greetings", 1.3), ("list", 0.3)]),
        (Incident::AllRestart, vec![("greetings", 2.1), ("list", 1.3), ("troubles", 1.5)]),
    ];
    // Whole cohorts of four in each zone.
    let sizes = [24, 48, 96];
    for (event, functions) in bounds {
        let accounts = sizes.map(|schedulers| {
            let load = Plan {
                measured_seconds: 12,
                warm_up_seconds: 12,
                running_tasks: Some(120.0),
                ..small(event, SEED)
            };
            simulate(&Plan { schedulers, workers: 2 * schedulers, ..load })
        });
        for (function, bound) in functions {
            let found = exponent(&accounts, function);
            println!("{event:?}, {function}: exponent {found:.2} at {sizes:?} schedulers, bound {bound}");
            assert!(found <= bound, "{event:?}, {function}, seed {SEED}: exponent {found:.2} over {bound}");
        }
    }
}

#[test]
fn whatever_goes_wrong_nothing_is_lost_but_with_its_scheduler_and_nothing_is_doubled() {
    let kills = [Incident::Zone, Incident::AllRestart];
    let others = [Incident::Worker, Incident::Restarts, Incident::Rack, Incident::Regions];
    for event in kills.into_iter().chain(others) {
        for seed in [SEED, 1] {
            let account = simulate(&small(event, seed));
            let told = format!("{event:?}, seed {seed}");
            assert_eq!(answered(&account), account.jobs, "{told}: each request has one end");
            assert_eq!(account.lost, account.extra.lost_with_scheduler, "{told}");
            assert_eq!(account.lost > 0, kills.contains(&event), "{told}: {} lost", account.lost);
            assert_eq!(account.doubled, 0, "{told}");
            assert_eq!(account.extra.messages_through_cuts, 0, "{told}");
            if event == Incident::Restarts {
                // What is out when a process ends goes on at the next.
                assert!(
                    account.served * 100 >= account.jobs * 99,
                    "{told}: {} of {}",
                    account.served,
                    account.jobs
                );
            }
            assert!(account.served * 2 > account.jobs, "{told}: {} of {}", account.served, account.jobs);
        }
    }
}

#[test]
fn a_task_that_ends_with_its_worker_is_not_repeated_where_that_does_harm() {
    // Tasks that are longer than a worker drains: they end with it.
    let account = simulate(&Plan {
        running_tasks: Some(300.0),
        requests_per_s: 3.0,
        ..small(Incident::Restarts, SEED)
    });
    assert!(account.extra.tasks_lost > 10, "seed {SEED}: {}", account.extra.tasks_lost);
    assert!(account.extra.failed > 0, "seed {SEED}: what must not run twice has failed");
    assert_eq!((account.doubled, account.lost), (0, 0), "seed {SEED}");
}

#[test]
fn bytes_are_those_of_what_is_encoded() {
    let account = simulate(&small(Incident::AllRestart, SEED));
    let (greetings, troubles) = (of(&account, "greetings"), of(&account, "troubles"));
    assert!(greetings.messages > 0 && troubles.messages > 0);
    assert_eq!(greetings.bytes, 3 * greetings.messages);
    assert_eq!(troubles.bytes, 6 * troubles.messages);
    let calm = simulate(&small(Incident::None, SEED));
    let watch = of(&calm, "watch");
    assert_eq!(watch.bytes, watch.messages * encode::chunk("").len() as u64);
    // A load has 8 bytes, and one more where a job has just ended; two more where a worker is cold.
    let talk = of(&calm, "talk");
    assert!((8 * talk.messages..9 * talk.messages).contains(&talk.bytes), "{talk:?}");
    let probes = of(&calm, "probes");
    let (call, least, most) = (
        encode::probe_request().len(),
        encode::probe_response(0, 0, 0).len(),
        encode::probe_response(99, 99, 99).len(),
    );
    let pairs = probes.messages / 2;
    let bounds = pairs * (call + least) as u64..=(pairs + 1) * (call + most) as u64;
    assert!(pairs > 0 && bounds.contains(&probes.bytes), "{probes:?}");
}

#[test]
fn messages_are_written_as_the_pages_have_them() {
    assert_eq!(
        encode::watch_request(41),
        b"GET /discovery/hosts?watch=1&from=41 HTTP/1.1\r\nHost: discovery\r\n\r\n"
    );
    assert_eq!(encode::list_request(), b"GET /discovery/hosts HTTP/1.1\r\nHost: discovery\r\n\r\n");
    assert_eq!(encode::probe_request(), b"GET /metrics/load HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
    assert_eq!(encode::chunk(""), b"1\r\n\n\r\n");
    assert_eq!(
        encode::http_request("POST", "/x", &[], b""),
        b"POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
    );
    let line = encode::WorkerLine {
        host: "s-5be2a07c".to_owned(),
        dial: "10.1.0.18:8443".to_owned(),
        site: "a".to_owned(),
        class: "m2".to_owned(),
        block: 3,
        health: "in_service",
        share: 1.0,
        born_ms: 0,
    };
    let text = encode::ListMessage { seq: 41, whole: true, hosts: &[line] }.text();
    assert_eq!(
        text,
        "{\"seq\":41,\"whole\":true,\"hosts\":[{\"host\":\"s-5be2a07c\",\"dial\":\"10.1.0.18:8443\",\
         \"site\":\"a\",\"class\":\"m2\",\"block\":3,\"health\":\"in_service\",\"share\":1.0,\"born_ms\":0}]}"
    );
    let chunk = encode::chunk(&text);
    assert!(
        chunk.starts_with(format!("{:x}\r\n", text.len() + 1).as_bytes()) && chunk.ends_with(b"}]}\n\r\n")
    );
}

#[test]
fn a_link_that_is_cut_delivers_nothing() {
    let mut links = Links::new(6, 2, SEED);
    assert_eq!((links.region(2), links.region(3)), (0, 1));
    links.cut_regions(0, true);
    assert!((0..1_000).all(|_| links.datagram_delay(0, 5).is_none() && links.datagram_delay(5, 0).is_none()));
    assert!(
        !links.is_open(0, 3) && !links.is_open_both_ways(3, 0) && links.is_open(0, 2) && links.is_open(4, 5)
    );
    assert!(links.crossed_cut(1_000_000, 0, 3) && !links.crossed_cut(1_000_000, 0, 2));
    links.cut_regions(2_000_000, false);
    assert!(links.is_open_both_ways(0, 5) && !links.crossed_cut(3_000_000, 0, 5));
    // One way only.
    links.cut_path(0, 1, 2, true);
    assert!(!links.is_open(1, 2) && links.is_open(2, 1) && !links.is_open_both_ways(1, 2));
    // In a fleet: the region without discovery hears nothing of the list while it is cut off.
    let (calm, cut) = (simulate(&small(Incident::None, SEED)), simulate(&small(Incident::Regions, SEED)));
    assert_eq!(cut.extra.messages_through_cuts, 0);
    assert!(of(&cut, "watch").messages < of(&calm, "watch").messages * 9 / 10);
    assert!(of(&cut, "list").messages > 0);
}

#[test]
fn one_scheduler_alone_keeps_a_tenant_to_its_quota_and_thirty_do_not() {
    let alone =
        simulate(&Plan { schedulers: 1, workers: 20, accelerators: 0, ..small(Incident::None, SEED) });
    // A bucket of a few tokens is sometimes empty also at 0.8 of the quota.
    assert!((0.9..1.0).contains(&alone.quota_in_share_ratio), "{}", alone.quota_in_share_ratio);
    assert!((0.9..1.1).contains(&alone.quota_over_ratio), "{}", alone.quota_over_ratio);
    // Thirty each have a part of the quota, and a bucket of their own.
    let thirty = simulate(&small(Incident::None, SEED));
    assert!(thirty.quota_over_ratio > alone.quota_over_ratio, "{}", thirty.quota_over_ratio);
}

#[test]
fn an_account_has_exactly_the_fields_that_are_asked_for() {
    let fields = "schedulers workers tenants jobs started running_peak served late refused lost doubled \
        urgent_start_p999_ms control_cpu_ms_per_s_mean control_cpu_ms_per_s_worst control_bytes_per_s_mean \
        control_bytes_per_s_worst control_datagrams_per_s_worst state_bytes_per_scheduler \
        discovery_bytes_per_s_worst quota_in_share_ratio quota_over_ratio recovered_ms peak_rss_mb wall_s traffic";
    let mut wanted: Vec<&str> = fields.split_whitespace().collect();
    wanted.sort_unstable();
    let account = simulate(&small(Incident::None, SEED));
    let value = serde_json::to_value(&account).expect("it is written");
    let mut told: Vec<&str> = value.as_object().expect("an object").keys().map(String::as_str).collect();
    told.sort_unstable();
    assert_eq!(told, wanted);
    // What is measured of this machine is there, and is not among the counts.
    assert!(account.wall_s > 0.0 && account.peak_rss_mb > 1.0 && account.control_cpu_ms_per_s_worst > 0.0);
    let counts = account.deterministic_counts();
    assert_eq!((counts.wall_s, counts.peak_rss_mb, counts.control_cpu_ms_per_s_mean), (0.0, 0.0, 0.0));
    assert!(account.state_bytes_per_scheduler > 1_000 && account.control_bytes_per_s_worst > 0);
}
