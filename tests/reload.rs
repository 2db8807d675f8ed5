//! Settings that come into force on SIGHUP, while requests are open and connections rest.

#[allow(dead_code, reason = "each test program uses a part of the language")]
mod scenario;

use scenario::Setup;

/// Workers do not tell when a job starts, so that none is moved for that, and there is time for every job.
const PATIENT: [(&str, &str); 3] = [
    ("/settings/extra/tells_start", "false"),
    ("/settings/request_classes/0/aim_us", "15000000"),
    ("/settings/request_classes/1/aim_us", "15000000"),
];

fn play(hops: usize, script: &str) {
    Setup { workers: hops, settings: &PATIENT, ..Setup::default() }.run(script);
}

/// What brings other settings into force.
const RENEW: &str = "send file d\nsend program HUP\nexpect program new settings are in force";

#[test]
fn open_requests_and_resting_connections_live_through_other_settings() {
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
        {RENEW}
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
    play(1, &script);
}

#[test]
fn fewer_tries_and_a_tighter_effect_hold_at_once_for_a_request_that_is_open() {
    for (change, end) in [
        ("", "expect h1 POST /look Request-Id:a1"),
        ("set /settings/ceilings/most_tries 2", "expect h1 POST /look Request-Id:a1"),
        ("set /settings/ceilings/most_tries 1", "expect c1 503"),
        (r#"set /settings/request_classes/0/effect "non_idempotent""#, "expect c1 500"),
        // A keyed repeat is dropped by who remembers the first, and nobody had to remember that.
        (
            r#"set /settings/request_classes/0 {"name":"look","aim_us":9000000,"deadline_us":20000000,"effect":"idempotency_key","memory_span_us":60000000}"#,
            "expect c1 500",
        ),
    ] {
        let renew = if change.is_empty() { "" } else { RENEW };
        let script = format!(
            r#"
            send c1 POST /look Request-Id:a1 Request-Timeout:20 Work-Hint:100000
            expect h2 POST /look Request-Id:a1
            {change}
            {renew}
            close h2
            {end}
            "#
        );
        play(2, &script);
    }
}

#[test]
fn an_open_request_does_not_go_on_by_a_wider_effect() {
    let script = format!(
        r#"
        send c1 POST /book Request-Id:a1 Request-Timeout:20 Work-Hint:100000
        expect h2 POST /book Request-Id:a1
        set /settings/request_classes/1/effect "read_like"
        {RENEW}
        close h2
        expect c1 500
        send c1 POST /book Request-Id:a2 Request-Timeout:20 Work-Hint:100000
        expect h1 POST /book Request-Id:a2
        "#
    );
    play(2, &script);
}

#[test]
fn a_faulty_file_is_told_by_its_key_and_nothing_of_it_is_in_force() {
    for (pointer, value, key) in [
        ("/settings/request_classes/0/effect", r#""odd""#, "settings.request_classes.look.effect"),
        ("/settings/request_classes/1/aim_us", r#""soon""#, "settings.request_classes.book.aim_us"),
        ("/settings/ceilings/max_open", "-1", "settings.ceilings.max_open"),
        ("/settings/orgs/0/quota_rps", "-1.0", "settings.orgs.acme.quota_rps"),
        // These are sound, and need a restart.
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
        play(2, &script);
    }
}

#[test]
fn classes_come_and_go_and_come_back_while_their_requests_are_open() {
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
        {RENEW}
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
    play(1, &script);
}

#[test]
fn the_most_that_may_be_open_holds_at_once_and_ends_nothing() {
    let script = format!(
        r#"
        send c1 POST /look Request-Id:a1 Request-Timeout:20 Work-Hint:100000
        expect h1 POST /look Request-Id:a1
        send h1 202
        set /settings/ceilings/max_open 1
        {RENEW}
        send c2 POST /look Request-Id:a2 Request-Timeout:20 Work-Hint:100000
        expect c2 503
        send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
        expect n1 200
        expect c1 200 | r1
        send c2 POST /look Request-Id:a3 Request-Timeout:20 Work-Hint:100000
        expect h1 POST /look Request-Id:a3
        "#
    );
    play(1, &script);
}

#[test]
fn connections_that_workers_now_end_sooner_are_not_used_after_that() {
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
            {RENEW}
            until 400
            send c1 POST /look Request-Id:a2 Request-Timeout:20 Work-Hint:100000
            expect {next} POST /look Request-Id:a2
            "#
        )
    };
    play(1, &script("60000000", "h1"));
    play(1, &script("200000", "h1.2"));
}

#[test]
fn a_thousand_renewals_under_load_drop_nothing_and_leave_memory_bounded() {
    let classes = |aim: u64, more: &str| {
        format!(
            r#"[{{"name":"look","aim_us":{aim},"deadline_us":20000000,"effect":"read_like","worth":1.0}},
            {{"name":"book","aim_us":900000,"deadline_us":20000000,"effect":"non_idempotent","worth":2.0}}{more}]"#
        )
        .replace('\n', "")
    };
    let more = r#",{"name":"fit","aim_us":900000,"deadline_us":20000000,"effect":"read_like"}"#;
    let mut script = String::new();
    for nr in 0..1_000 {
        if nr == 100 {
            script += "record_memory program\n";
        }
        let list = classes(14_000_000 + nr, if nr % 2 == 0 { more } else { "" });
        let orgs = format!(r#"[{{"name":"acme","quota_rps":{nr}}},{{"name":"t{}","quota_rps":1}}]"#, nr % 50);
        let done = nr + 1;
        // Each request is open while five renewals come, and its connections rest in between.
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
            info scheduler.settings.taken_up={done}
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
    play(1, &script);
}

#[test]
fn an_heir_whose_file_has_classes_in_another_order_takes_on_what_was_learned() {
    let fit = r#"{"name":"fit","aim_us":900000,"deadline_us":20000000,"effect":"read_like","worth":1.0}"#;
    let book =
        r#"{"name":"book","aim_us":900000,"deadline_us":20000000,"effect":"non_idempotent","worth":2.0}"#;
    let script = format!(
        r#"
        set /settings/request_classes [{fit},{book}]
        {RENEW}
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
    Setup { workers: 1, pass_socket: true, settings: &PATIENT, ..Setup::default() }.run(&script);
}
