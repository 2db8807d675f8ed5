//! Small simulated fleets. The tests check counts, not measured times. The seed in a failure message reproduces the failure.

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

fn traffic_of(summary: &Summary, function: &str) -> Traffic {
    summary.traffic[function]
}

fn answered(summary: &Summary) -> u64 {
    summary.served + summary.refused + summary.extra.failed + summary.lost
}

#[test]
fn same_plan_gives_the_same_counts_to_the_byte() {
    for incident in [Incident::None, Incident::Zone, Incident::Restarts] {
        let text = |seed| {
            let summary = simulate(&small(incident, seed));
            format!(
                "{:?} {}",
                summary.extra,
                serde_json::to_string(&summary.deterministic_counts())
                    .expect("the summary is serialized to JSON")
            )
        };
        assert_eq!(text(SEED), text(SEED), "{incident:?}, seed {SEED}");
        assert_ne!(text(SEED), text(SEED + 1), "{incident:?}: another seed gives other counts");
    }
}

#[test]
fn fleet_without_an_incident_serves_all_requests_with_bounded_control_messages() {
    for seed in [SEED, 1, 2] {
        let summary = simulate(&small(Incident::None, seed));
        assert!((190..300).contains(&summary.jobs), "seed {seed}: {} requests", summary.jobs);
        assert_eq!(summary.served, summary.jobs, "seed {seed}");
        assert_eq!((summary.refused, summary.lost, summary.doubled), (0, 0, 0), "seed {seed}");
        // By Little's law 4.93 tasks run on each worker.
        assert!((200..400).contains(&summary.running_peak), "seed {seed}: {}", summary.running_peak);
        // The send and the end of a job are sent to each other member of the cohort, at most seven, and are received there.
        let talk = traffic_of(&summary, "talk").messages as f64 / summary.jobs as f64;
        assert!((4.0..28.5).contains(&talk), "seed {seed}: {talk} load messages per job");
        // A keepalive every 2 s to each scheduler, and nothing else.
        let watch = traffic_of(&summary, "watch");
        assert!((295..=305).contains(&watch.messages), "seed {seed}: {watch:?}");
        for quiet in ["list", "greetings", "troubles", "config"] {
            assert_eq!(traffic_of(&summary, quiet), Traffic::default(), "seed {seed}: {quiet}");
        }
        // At most eight probe messages per job: four workers are probed if the own share has no room, and they respond.
        let probes = traffic_of(&summary, "probes").messages as f64 / summary.jobs as f64;
        assert!(probes < 8.0, "seed {seed}: {probes} probe messages per job");
    }
}

/// Exponent of the growth of the messages of the whole fleet with the number of schedulers, by least squares on logarithms.
fn exponent(summaries: &[Summary], function: &str) -> f64 {
    let point = |summary: &Summary| {
        (f64::from(summary.schedulers).ln(), (traffic_of(summary, function).messages as f64).max(1.0).ln())
    };
    let points: Vec<(f64, f64)> = summaries.iter().map(point).collect();
    let mean =
        |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / points.len() as f64;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let covariance: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    covariance / points.iter().map(|point| (point.0 - x).powi(2)).sum::<f64>()
}

#[test]
fn messages_grow_with_the_number_of_schedulers_within_their_bounds() {
    // The number of requests is the same at each size, and there are two workers per scheduler. Loads are sent within cohorts,
    // whose size depends on the workers per scheduler. Each scheduler has one watch. A scheduler that starts sends a hello to
    // all others, and all answer. A scheduler that notices a fault reports it to all. A scheduler that sends fewer jobs knows
    // less about the workers and probes more.
    let bounds = [
        (Incident::None, vec![("talk", 0.2), ("probes", 1.05), ("watch", 1.05)]),
        (Incident::Restarts, vec![("greetings", 1.3), ("list", 0.3)]),
        (Incident::AllRestart, vec![("greetings", 2.1), ("list", 1.3), ("troubles", 1.5)]),
    ];
    // Sizes at which each zone has complete cohorts of four.
    let sizes = [24, 48, 96];
    for (incident, functions) in bounds {
        let summaries = sizes.map(|schedulers| {
            let load = Plan {
                measured_seconds: 12,
                warm_up_seconds: 12,
                running_tasks: Some(120.0),
                ..small(incident, SEED)
            };
            simulate(&Plan { schedulers, workers: 2 * schedulers, ..load })
        });
        for (function, bound) in functions {
            let slope = exponent(&summaries, function);
            println!("{incident:?}, {function}: exponent {slope:.2} at {sizes:?} schedulers, bound {bound}");
            assert!(
                slope <= bound,
                "{incident:?}, {function}, seed {SEED}: exponent {slope:.2} over {bound}"
            );
        }
    }
}

#[test]
fn requests_are_lost_only_with_their_scheduler_and_none_is_doubled_in_any_incident() {
    let kills = [Incident::Zone, Incident::AllRestart];
    let others = [Incident::Worker, Incident::Restarts, Incident::Rack, Incident::Regions];
    for incident in kills.into_iter().chain(others) {
        for seed in [SEED, 1] {
            let summary = simulate(&small(incident, seed));
            let context = format!("{incident:?}, seed {seed}");
            assert_eq!(answered(&summary), summary.jobs, "{context}: each request has one final answer");
            assert_eq!(summary.lost, summary.extra.lost_with_scheduler, "{context}");
            assert_eq!(summary.lost > 0, kills.contains(&incident), "{context}: {} lost", summary.lost);
            assert_eq!(summary.doubled, 0, "{context}");
            assert_eq!(summary.extra.messages_through_cuts, 0, "{context}");
            if incident == Incident::Restarts {
                // Requests in flight when a process ends continue at its successor.
                assert!(
                    summary.served * 100 >= summary.jobs * 99,
                    "{context}: {} of {}",
                    summary.served,
                    summary.jobs
                );
            }
            assert!(summary.served * 2 > summary.jobs, "{context}: {} of {}", summary.served, summary.jobs);
        }
    }
}

#[test]
fn lost_task_is_not_repeated_if_a_repeat_is_not_safe() {
    // The tasks run longer than the drain time of a worker, so they end with the worker.
    let summary = simulate(&Plan {
        running_tasks: Some(300.0),
        requests_per_s: 3.0,
        ..small(Incident::Restarts, SEED)
    });
    assert!(summary.extra.tasks_lost > 10, "seed {SEED}: {}", summary.extra.tasks_lost);
    assert!(summary.extra.failed > 0, "seed {SEED}: no task that must not run twice has failed");
    assert_eq!((summary.doubled, summary.lost), (0, 0), "seed {SEED}");
}

#[test]
fn recorded_bytes_match_the_encoded_messages() {
    let summary = simulate(&small(Incident::AllRestart, SEED));
    let (greetings, troubles) = (traffic_of(&summary, "greetings"), traffic_of(&summary, "troubles"));
    assert!(greetings.messages > 0 && troubles.messages > 0);
    assert_eq!(greetings.bytes, 3 * greetings.messages);
    assert_eq!(troubles.bytes, 6 * troubles.messages);
    let calm = simulate(&small(Incident::None, SEED));
    let watch = traffic_of(&calm, "watch");
    assert_eq!(watch.bytes, watch.messages * encode::chunk("").len() as u64);
    // A load message has 8 bytes, one more if a job has just ended, and two more if a worker is cold.
    let talk = traffic_of(&calm, "talk");
    assert!((8 * talk.messages..9 * talk.messages).contains(&talk.bytes), "{talk:?}");
    let probes = traffic_of(&calm, "probes");
    let (request, min, max) = (
        encode::probe_request().len(),
        encode::probe_response(0, 0, 0).len(),
        encode::probe_response(99, 99, 99).len(),
    );
    let pairs = probes.messages / 2;
    let bounds = pairs * (request + min) as u64..=(pairs + 1) * (request + max) as u64;
    assert!(pairs > 0 && bounds.contains(&probes.bytes), "{probes:?}");
}

#[test]
fn messages_are_encoded_in_the_format_of_the_protocol() {
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
fn cut_link_delivers_nothing() {
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
    // A cut of one direction.
    links.cut_path(0, 1, 2, true);
    assert!(!links.is_open(1, 2) && links.is_open(2, 1) && !links.is_open_both_ways(1, 2));
    // In a fleet the region without discovery gets no list updates while it is cut off.
    let (calm, cut) = (simulate(&small(Incident::None, SEED)), simulate(&small(Incident::Regions, SEED)));
    assert_eq!(cut.extra.messages_through_cuts, 0);
    assert!(traffic_of(&cut, "watch").messages < traffic_of(&calm, "watch").messages * 9 / 10);
    assert!(traffic_of(&cut, "list").messages > 0);
}

#[test]
fn one_scheduler_enforces_a_quota_exactly_and_thirty_schedulers_exceed_it() {
    let single =
        simulate(&Plan { schedulers: 1, workers: 20, accelerators: 0, ..small(Incident::None, SEED) });
    // A bucket of a few tokens is sometimes empty even with a demand of 0.8 of the quota.
    assert!((0.9..1.0).contains(&single.quota_in_share_ratio), "{}", single.quota_in_share_ratio);
    assert!((0.9..1.1).contains(&single.quota_over_ratio), "{}", single.quota_over_ratio);
    // With thirty schedulers each has a part of the quota and its own bucket.
    let fleet = simulate(&small(Incident::None, SEED));
    assert!(fleet.quota_over_ratio > single.quota_over_ratio, "{}", fleet.quota_over_ratio);
}

#[test]
fn summary_has_exactly_the_specified_fields() {
    let fields = "schedulers workers tenants jobs started running_peak served late refused lost doubled \
        urgent_start_p999_ms control_cpu_ms_per_s_mean control_cpu_ms_per_s_worst control_bytes_per_s_mean \
        control_bytes_per_s_worst control_datagrams_per_s_worst state_bytes_per_scheduler \
        discovery_bytes_per_s_worst quota_in_share_ratio quota_over_ratio recovered_ms peak_rss_mb wall_s traffic";
    let mut expected: Vec<&str> = fields.split_whitespace().collect();
    expected.sort_unstable();
    let summary = simulate(&small(Incident::None, SEED));
    let value = serde_json::to_value(&summary).expect("the summary is serialized to JSON");
    let mut actual: Vec<&str> =
        value.as_object().expect("the summary is a JSON object").keys().map(String::as_str).collect();
    actual.sort_unstable();
    assert_eq!(actual, expected);
    // Values measured on this machine are in the summary and are cleared in the deterministic counts.
    assert!(summary.wall_s > 0.0 && summary.peak_rss_mb > 1.0 && summary.control_cpu_ms_per_s_worst > 0.0);
    let counts = summary.deterministic_counts();
    assert_eq!((counts.wall_s, counts.peak_rss_mb, counts.control_cpu_ms_per_s_mean), (0.0, 0.0, 0.0));
    assert!(summary.state_bytes_per_scheduler > 1_000 && summary.control_bytes_per_s_worst > 0);
}
