//! Tests of rare races between events. Each order is forced: the program is stopped with SIGSTOP while bytes, closes
//! and signals are sent, or a stand-in worker or discovery service stops at a given point.

#[allow(dead_code, reason = "each test program uses some of the script steps")]
mod scenario;

use scenario::Setup;

#[test]
fn without_concurrent_attempts_a_resend_waits_for_the_cancel_to_arrive() {
    // The worker confirms nothing. After 2 s it counts as silent and its connection is closed, and the close may take 1 s (the
    // connect timeout) to reach the worker. A cancellation may follow only then, since the worker could answer an earlier one
    // before it has read the attempt; and the next attempt may start only when the cancellation is answered.
    let settings = [
        ("/settings/ceilings/may_duplicate", "false"),
        ("/settings/ceilings/connect_timeout_us", "1000000"),
        ("/settings/request_classes/0/aim_us", "15000000"),
    ];
    Setup { settings: &settings, ..Setup::default() }.run(
        r#"
        mark
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        wait h1
        expect h1.2 DELETE /jobs/a1
        after 3000
        until 3100
        none h1
        send h1.2 200
        expect h1.2 POST /look Request-Id:a1
        "#,
    );
}

/// A connect timeout of 20 s, and an aim of 15 s for the class `look`.
const SLOW_CONNECT: [(&str, &str); 2] = [
    ("/settings/ceilings/connect_timeout_us", "20000000"),
    ("/settings/request_classes/0/aim_us", "15000000"),
];

#[test]
fn connection_established_as_its_client_disconnects_is_closed_unwritten() {
    // The program is stopped, so that a single iteration of its event loop handles both the established connection and the
    // client's disconnect.
    for class in ["look", "book"] {
        Setup { settings: &SLOW_CONNECT, ..Setup::default() }.run(&format!(
            r#"
            fill_backlog h1
            send c1 POST /{class} Request-Id:a1 Request-Timeout:20
            info scheduler.in_flight=1
            send program STOP
            free_backlog h1
            take h1
            close c1
            send program CONT
            wait h1
            send c2 POST /{class} Request-Id:a2 Request-Timeout:20
            expect h1.2 POST /{class} Request-Id:a2
            "#
        ));
    }
}

#[test]
fn connection_established_as_its_worker_drains_is_closed_unwritten() {
    for (pushed_list, health) in [(true, "terminating"), (false, "terminating"), (true, "terminated")] {
        Setup { pushed_list, settings: &SLOW_CONNECT, ..Setup::default() }.run(&format!(
            r#"
            expect d GET /discovery/hosts?watch=1&from=41
            send d watch
            send d chunk \n
            fill_backlog h1
            send c1 POST /book Request-Id:a1 Request-Timeout:20
            info scheduler.in_flight=1
            send program STOP
            free_backlog h1
            take h1
            send d chunk {{"seq":42,"whole":false,"hosts":[{{"host":"h1","dial":"127.0.0.1:9","site":"north","class":"big","health":"{health}"}}]}}\n
            send program CONT
            wait h1
            expect c1 503
            "#
        ));
    }
}

#[test]
fn connection_established_after_the_connect_timeout_is_closed_unwritten() {
    // The attempt counts as never sent, so that a non-idempotent job is refused with 503, which allows a repeat.
    let settings = [
        ("/settings/ceilings/connect_timeout_us", "3000000"),
        ("/settings/request_classes/1/aim_us", "15000000"),
    ];
    Setup { settings: &settings, ..Setup::default() }.run(
        r#"
        fill_backlog h1
        mark
        send c1 POST /book Request-Id:a1 Request-Timeout:20
        info scheduler.in_flight=1
        send program STOP
        free_backlog h1
        take h1
        until 4000
        send program CONT
        wait h1
        expect c1 503
        "#,
    );
}

#[test]
fn discovery_is_called_though_clients_at_rest_hold_all_descriptors() {
    // Clients connect while discovery is down. When discovery returns, the program must call it and learn of the drain. The
    // system allows the program 40 descriptors, and the configuration assumes 256.
    let per_client =
        |line: &str| (1..=60).map(|number| line.replace('#', &number.to_string())).collect::<String>();
    let (requests, answers) = (per_client("send c# GET /up\n"), per_client("expect c# 200\n"));
    let script = format!(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        expect program discovery: the list is confirmed
        send program STOP
        {requests}
        send d chunk \n
        send program CONT
        {answers}
        mark
        until 200
        close d
        mark
        expect program discovery: the
        send c59 POST /look Request-Id:a8 Request-Timeout:900
        expect h2 POST /look Request-Id:a8
        send c60 POST /look Request-Id:a9 Request-Timeout:900
        expect h1 POST /look Request-Id:a9
        expect d.2 GET /discovery/hosts?watch=1&from=41
        info scheduler.fleet.list_calls=2
        send d.2 watch
        send d.2 chunk {{"seq":42,"whole":false,"hosts":[{{"host":"h1","dial":"127.0.0.1:9","site":"north","class":"big","health":"terminating"}}]}}\n
        send d.2 chunk {{"seq":43,"whole":false,"hosts":[{{"host":"h9","dial":"nonsense"}}]}}\n
        expect program a line of the list is dropped
        send cx POST /look Request-Id:a1 Request-Timeout:900
        expect cx 503
        "#
    );
    Setup { workers: 2, max_descriptors: 40, ..Setup::default() }.run(&script);
}
