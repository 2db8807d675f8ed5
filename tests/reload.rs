//! Settings updates on SIGHUP while requests are open and connections are idle.

#[allow(dead_code, reason = "each test program uses only a part of this module")]
mod scenario;

use scenario::Setup;

/// Settings under which no job moves to another worker: workers do not report starts, and both classes have an aim of 15 s.
const LONG_AIM_SETTINGS: [(&str, &str); 3] = [
    ("/settings/extra/tells_start", "false"),
    ("/settings/request_classes/0/aim_us", "15000000"),
    ("/settings/request_classes/1/aim_us", "15000000"),
];

/// Runs a script with this number of workers and the settings [`LONG_AIM_SETTINGS`].
fn run_script(workers: usize, script: &str) {
    Setup { workers, settings: &LONG_AIM_SETTINGS, ..Setup::default() }.run(script);
}

/// Script lines that write the changed settings, send SIGHUP and wait until they are in force.
const UPDATE_SETTINGS: &str = "send file d\nsend program HUP\nexpect program new settings are in force";

#[test]
fn open_requests_and_idle_connections_survive_a_settings_update() {
    let script = format!(
        r#"
        send c1 POST /book Request-Id:a1 Request-Timeout:20 Work-Hint:100000
        expect h1 POST /book Request-Id:a1
        send h1 202
        send c2 POST /look Request-Id:a2 Request-Timeout:20 Work-Hint:100000 Request-Tenant:acme
        send c3 GET /up
        expect c3 200
        info scheduler.in_flight=2
        set /settings/orgs/0/quota_rps 3.0
        set /settings/ceilings/most_tries 2
        set /settings/ceilings/max_open 9000
        set /settings/request_classes/0/aim_us 14000000
        set /settings/request_classes/1/deadline_us 9000000
        {UPDATE_SETTINGS}
        send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
        expect n1 200
        expect c1 200 | r1
        expect h1 POST /look Request-Id:a2
        send h1 202
        send n1 POST /_jobs/news | {{"id":"a2","from":"h1","state":"done","result":"r2"}}
        expect n1 200
        expect c2 200 | r2
        send c3 GET /up
        expect c3 200
        send c1 POST /look Request-Id:a3 Request-Timeout:20 Work-Hint:100000
        expect h1 POST /look Request-Id:a3
        send h1 202
        send n1 POST /_jobs/news | {{"id":"a3","from":"h1","state":"done","result":"r3"}}
        expect n1 200
        expect c1 200 | r3
        info scheduler.settings.taken_up=1
        info scheduler.fleet.connections.opened=1
        send program HUP
        send program TERM
        wait program
        "#
    );
    run_script(1, &script);
}

#[test]
fn lower_attempt_limit_and_stricter_effect_apply_at_once_to_an_open_request() {
    for (change, expectation) in [
        ("", "expect h1 POST /look Request-Id:a1"),
        ("set /settings/ceilings/most_tries 2", "expect h1 POST /look Request-Id:a1"),
        ("set /settings/ceilings/most_tries 1", "expect c1 503"),
        (r#"set /settings/request_classes/0/effect "non_idempotent""#, "expect c1 500"),
        // A worker drops a keyed repeat only if it remembers the first attempt, and no worker had to remember the attempt
        // under the safe effect.
        (
            r#"set /settings/request_classes/0 {"name":"look","aim_us":9000000,"deadline_us":20000000,"effect":"idempotency_key","memory_span_us":60000000}"#,
            "expect c1 500",
        ),
    ] {
        let update = if change.is_empty() { "" } else { UPDATE_SETTINGS };
        let script = format!(
            r#"
            send c1 POST /look Request-Id:a1 Request-Timeout:20 Work-Hint:100000
            expect h2 POST /look Request-Id:a1
            {change}
            {update}
            close h2
            {expectation}
            "#
        );
        run_script(2, &script);
    }
}

#[test]
fn open_request_keeps_its_effect_when_the_class_becomes_less_strict() {
    let script = format!(
        r#"
        send c1 POST /book Request-Id:a1 Request-Timeout:20 Work-Hint:100000
        expect h2 POST /book Request-Id:a1
        set /settings/request_classes/1/effect "read_like"
        {UPDATE_SETTINGS}
        close h2
        expect c1 500
        send c1 POST /book Request-Id:a2 Request-Timeout:20 Work-Hint:100000
        expect h1 POST /book Request-Id:a2
        "#
    );
    run_script(2, &script);
}

#[test]
fn invalid_settings_file_is_rejected_completely_and_its_key_is_logged() {
    for (pointer, value, key) in [
        ("/settings/request_classes/0/effect", r#""odd""#, "settings.request_classes.look.effect"),
        ("/settings/request_classes/1/aim_us", r#""soon""#, "settings.request_classes.book.aim_us"),
        ("/settings/ceilings/max_open", "-1", "settings.ceilings.max_open"),
        ("/settings/orgs/0/quota_rps", "-1.0", "settings.orgs.acme.quota_rps"),
        // These values are valid but need a restart.
        ("/settings/n_instances", "9", "settings.n_instances"),
        ("/settings/azs", r#"["north","east"]"#, "settings.azs"),
        ("/settings/extra/tells_start", "true", "settings.extra.tells_start"),
    ] {
        let script = format!(
            r#"
            send c1 POST /look Request-Id:a1 Request-Timeout:20 Work-Hint:100000
            expect h2 POST /look Request-Id:a1
            set /settings/ceilings/most_tries 1
            set {pointer} {value}
            send file d
            send program HUP
            expect program '{key}'
            close h2
            expect h1 POST /look Request-Id:a1
            send h1 202
            send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
            expect n1 200
            expect c1 200 | r1
            info scheduler.settings.taken_up=0
            "#
        );
        run_script(2, &script);
    }
}

#[test]
fn classes_are_removed_added_and_restored_while_their_requests_are_open() {
    let look = r#"{"name":"look","aim_us":900000,"deadline_us":20000000,"effect":"read_like","worth":1.0}"#;
    let book =
        r#"{"name":"book","aim_us":900000,"deadline_us":20000000,"effect":"non_idempotent","worth":2.0}"#;
    let fit = r#"{"name":"fit","aim_us":900000,"deadline_us":20000000,"effect":"read_like","worth":1.0}"#;
    let script = format!(
        r#"
        send c1 POST /fit Request-Id:a0 Request-Timeout:20 Work-Hint:100000
        expect c1 404
        send c1 POST /look Request-Id:a1 Request-Timeout:20 Work-Hint:100000
        expect h1 POST /look Request-Id:a1
        send h1 202
        set /settings/request_classes [{fit},{book}]
        {UPDATE_SETTINGS}
        send c2 POST /look Request-Id:a2 Request-Timeout:20 Work-Hint:100000
        expect c2 404
        send c2 POST /fit Request-Id:a3 Request-Timeout:20 Work-Hint:100000
        send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
        expect n1 200
        expect c1 200 | r1
        expect h1 POST /fit Request-Id:a3
        send h1 202
        send n1 POST /_jobs/news | {{"id":"a3","from":"h1","state":"done","result":"r3"}}
        expect n1 200
        expect c2 200 | r3
        info scheduler.requests.look.served=1
        info scheduler.requests.fit.served=1
        set /settings/request_classes [{look},{fit},{book}]
        send file d
        send program HUP
        info scheduler.settings.taken_up=2
        send c2 POST /look Request-Id:a4 Request-Timeout:20 Work-Hint:100000
        expect h1 POST /look Request-Id:a4
        send h1 202
        send n1 POST /_jobs/news | {{"id":"a4","from":"h1","state":"done","result":"r4"}}
        expect n1 200
        expect c2 200 | r4
        info scheduler.requests.look.served=2
        info scheduler.requests.fit.served=1
        info scheduler.requests.book.served=0
        "#
    );
    run_script(1, &script);
}

#[test]
fn lower_limit_of_open_requests_applies_at_once_and_ends_no_open_request() {
    let script = format!(
        r#"
        send c1 POST /look Request-Id:a1 Request-Timeout:20 Work-Hint:100000
        expect h1 POST /look Request-Id:a1
        send h1 202
        set /settings/ceilings/max_open 1
        {UPDATE_SETTINGS}
        send c2 POST /look Request-Id:a2 Request-Timeout:20 Work-Hint:100000
        expect c2 503
        send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
        expect n1 200
        expect c1 200 | r1
        send c2 POST /look Request-Id:a3 Request-Timeout:20 Work-Hint:100000
        expect h1 POST /look Request-Id:a3
        "#
    );
    run_script(1, &script);
}

#[test]
fn idle_connection_is_not_reused_after_the_new_shorter_idle_timeout() {
    let script = |idle: &str, next: &str| {
        format!(
            r#"
            send c1 POST /look Request-Id:a1 Request-Timeout:20 Work-Hint:100000
            expect h1 POST /look Request-Id:a1
            send h1 202
            send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
            expect n1 200
            expect c1 200 | r1
            mark
            set /settings/ceilings/conn_idle_us {idle}
            {UPDATE_SETTINGS}
            until 400
            send c1 POST /look Request-Id:a2 Request-Timeout:20 Work-Hint:100000
            expect {next} POST /look Request-Id:a2
            "#
        )
    };
    run_script(1, &script("60000000", "h1"));
    run_script(1, &script("200000", "h1.2"));
}

#[test]
fn thousand_settings_updates_under_load_lose_no_request_and_bound_memory() {
    let classes = |aim: u64, extra_class: &str| {
        format!(
            r#"[{{"name":"look","aim_us":{aim},"deadline_us":20000000,"effect":"read_like","worth":1.0}},
            {{"name":"book","aim_us":900000,"deadline_us":20000000,"effect":"non_idempotent","worth":2.0}}{extra_class}]"#
        )
        .replace('\n', "")
    };
    let extra_class = r#",{"name":"fit","aim_us":900000,"deadline_us":20000000,"effect":"read_like"}"#;
    let mut script = String::new();
    for nr in 0..1_000 {
        if nr == 100 {
            script += "record_memory program\n";
        }
        let list = classes(14_000_000 + nr, if nr % 2 == 0 { extra_class } else { "" });
        let orgs = format!(r#"[{{"name":"acme","quota_rps":{nr}}},{{"name":"t{}","quota_rps":1}}]"#, nr % 50);
        let update_count = nr + 1;
        // Each request is open during five settings updates; its connections are idle between requests.
        if nr % 5 == 0 {
            script += &format!(
                r#"
                send c1 POST /look Request-Id:a{nr} Request-Timeout:20 Work-Hint:100000 Request-Tenant:acme
                expect h1 POST /look Request-Id:a{nr}
                send h1 202
                "#
            );
        }
        script += &format!(
            r#"
            set /settings/request_classes {list}
            set /settings/orgs {orgs}
            send file d
            send program HUP
            info scheduler.settings.taken_up={update_count}
            "#
        );
        if nr % 5 == 4 {
            let nr = nr - 4;
            script += &format!(
                r#"
                send n1 POST /_jobs/news | {{"id":"a{nr}","from":"h1","state":"done","result":"r{nr}"}}
                expect n1 200
                expect c1 200 | r{nr}
                "#
            );
        }
    }
    script += "send program TERM\nwait program\n";
    run_script(1, &script);
}

#[test]
fn successor_with_another_class_order_takes_over_learned_data() {
    let fit = r#"{"name":"fit","aim_us":900000,"deadline_us":20000000,"effect":"read_like","worth":1.0}"#;
    let book =
        r#"{"name":"book","aim_us":900000,"deadline_us":20000000,"effect":"non_idempotent","worth":2.0}"#;
    let script = format!(
        r#"
        set /settings/request_classes [{fit},{book}]
        {UPDATE_SETTINGS}
        send c1 POST /fit Request-Id:a1 Request-Timeout:20 Work-Hint:100000
        expect h1 POST /fit Request-Id:a1
        send h1 202
        start successor
        send n2 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
        expect n2 200
        expect c1 200 | r1
        send c2 POST /fit Request-Id:a2 Request-Timeout:20 Work-Hint:100000
        expect h1.2 POST /fit Request-Id:a2
        send h1.2 202
        send n2 POST /_jobs/news | {{"id":"a2","from":"h1","state":"done","result":"r2"}}
        expect n2 200
        expect c2 200 | r2
        never does not fit
        "#
    );
    Setup { workers: 1, pass_socket: true, settings: &LONG_AIM_SETTINGS, ..Setup::default() }.run(&script);
}
