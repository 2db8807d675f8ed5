//! Start of many processes at once, and a process whose descriptors are all in use.

#[allow(dead_code, reason = "each test program uses only a part of this module")]
mod scenario;

use scenario::{Setup, run_scenario};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn thirty_processes_that_start_at_once_are_ready_within_10_s_while_discovery_fails() {
    // Discovery is down (no listener), does not answer, or is overloaded and answers 503.
    for discovery in ["close d", "", "expect d GET /discovery/hosts?watch=1&from=41\nsend d 503"] {
        let since = Instant::now();
        thread::scope(|scope| {
            for pushed in (0..30).map(|nr| nr % 2 == 0) {
                let script = format!("{discovery}\nup c1");
                scope.spawn(move || Setup { pushed_list: pushed, ..Setup::default() }.run(&script));
            }
        });
        assert!(
            since.elapsed() < Duration::from_secs(10),
            "the start took {:?} with the discovery script '{discovery}'",
            since.elapsed()
        );
    }
}

#[test]
fn discovery_workers_and_new_clients_connect_while_idle_clients_hold_all_256_descriptors() {
    // The configuration and the system both allow 256 descriptors. Discovery ends the watch; a connection to a worker, its
    // callback and a new client each need a descriptor.
    let idle: String = (1..=250).map(|nr| format!("send c{nr} GET /up\nexpect c{nr} 200\n")).collect();
    Setup { max_descriptors: 256, ..Setup::default() }.run(&format!(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        {idle}
        close d
        send cx POST /book Request-Id:a1 Request-Timeout:20
        expect h1 POST /book Request-Id:a1
        send h1 202
        send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
        expect n1 200
        expect cx 200 | r1
        expect d.2 GET /discovery/hosts?watch=1&from=41
        ends c1
        "#
    ));
}

#[test]
fn oversized_slow_and_malformed_requests_do_not_delay_other_clients() {
    // The clients send an oversized head, an oversized body, bytes that are no HTTP, three requests at once, and a request
    // byte by byte; another client is served meanwhile.
    let trickle: String = "POST /look HT"
        .chars()
        .map(|byte| {
            format!("send c9 raw {}\n", if byte == ' ' { r"\x20".to_owned() } else { byte.to_string() })
        })
        .collect();
    run_scenario(
        1,
        &format!(
            r#"
            send c1 POST /look Request-Id:b1 Request-Timeout:9 X-Much:#200000
            send c2 POST /look Request-Id:b2 Request-Timeout:9 | #70000
            send c3 raw \x00\x01\xff\r\n\r\n
            send c4 raw GET /up HTTP/1.1\r\n\r\nGET /up HTTP/1.1\r\n\r\nGET /up HTTP/1.1\r\n\r\n
            {trickle}
            send c5 POST /book Request-Id:a1 Request-Timeout:9
            expect h1 POST /book Request-Id:a1
            send h1 202
            send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
            expect n1 200
            expect c5 200 | r1
            expect c1 431 Connection:close
            ends c1
            expect c2 413 Connection:close
            ends c2
            expect c3 400 Connection:close
            ends c3
            expect c4 200
            expect c4 200
            expect c4 200
            expect c9 408 Connection:close
            ends c9
            "#
        ),
    );
}
