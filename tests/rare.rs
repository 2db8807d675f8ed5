//! Events that cross: what comes between two lines of the program. The crossing is forced, by holding the program still
//! while bytes, ends and signals are laid in place, or by stand-ins that stop where they are told to.

#[allow(dead_code, reason = "each test program uses a part of the language")]
mod scenario;

use scenario::Setup;

#[test]
fn where_two_at_once_are_barred_the_next_attempt_waits_as_long_as_the_settings_network_may_take() {
    // The worker says nothing: after 2 s it counts as silent, its connection is ended, and that may take 1 s to get there.
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
        expect h1.2 POST /look Request-Id:a1
        after 3000
        "#,
    );
}

/// Connections to workers may take 20 s, and there is time for it.
const LATE: [(&str, &str); 2] = [
    ("/settings/ceilings/connect_timeout_us", "20000000"),
    ("/settings/request_classes/0/aim_us", "15000000"),
];

#[test]
fn a_connection_that_comes_up_as_its_client_leaves_is_not_written_to() {
    // Held still, the program finds in one poll that the connection is up, and then that the client has gone.
    for effect in ["look", "book"] {
        Setup { settings: &LATE, ..Setup::default() }.run(&format!(
            r#"
            fill_backlog h1
            send c1 POST /{effect} Request-Id:a1 Request-Timeout:20
            info scheduler.in_flight=1
            send program STOP
            free_backlog h1
            take h1
            close c1
            send program CONT
            wait h1
            send c2 POST /{effect} Request-Id:a2 Request-Timeout:20
            expect h1.2 POST /{effect} Request-Id:a2
            "#
        ));
    }
}

#[test]
fn a_connection_that_comes_up_as_its_worker_begins_to_drain_is_not_written_to() {
    for (pushed, told) in [(true, "terminating"), (false, "terminating"), (true, "terminated")] {
        Setup { pushed_list: pushed, settings: &LATE, ..Setup::default() }.run(&format!(
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
            send d chunk {{"seq":42,"whole":false,"hosts":[{{"host":"h1","dial":"127.0.0.1:9","site":"north","class":"big","health":"{told}"}}]}}\n
            send program CONT
            wait h1
            expect c1 503
            "#
        ));
    }
}

#[test]
fn a_connection_that_comes_up_later_than_the_settings_allow_is_not_written_to() {
    // It counts as never made, so that a job which must not run twice is refused as harmless to try again.
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
    // They come while it is down; at its return the drain that it has must be heard. The program has 40 descriptors, and its
    // configuration knows nothing of that.
    let each = |line: &str| (1..=60).map(|nr| line.replace('#', &nr.to_string())).collect::<String>();
    let (come, served) = (each("send c# GET /up\n"), each("expect c# 200\n"));
    let script = format!(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        expect program discovery: the list is confirmed
        send program STOP
        {come}
        send d chunk \n
        send program CONT
        {served}
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
