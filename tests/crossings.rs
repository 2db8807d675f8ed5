//! Shutdown, clients that leave and workers that spoil their answers, each with the other event in the same poll: the
//! program is held still while both are laid in place.

#[allow(dead_code, reason = "each test program uses a part of the language")]
mod scenario;

use scenario::{Setup, run_scenario, run_with_operator_file, run_with_passed_socket};

#[test]
fn a_request_is_answered_whether_sigterm_comes_before_between_or_after_its_bytes() {
    let (first, rest) =
        (r"send c1 raw POST /book HTTP/1.1\r\nRequest-Id: a1\r\n", r"send c1 raw Request-Timeout: 9\r\n\r\n");
    let term = "send program TERM";
    for order in [[term, first, rest], [first, term, rest], [first, rest, term]] {
        run_scenario(
            1,
            &format!(
                r#"
                send c1 GET /up
                expect c1 200
                send program STOP
                {}
                {}
                {}
                send program CONT
                expect h1 POST /book Request-Id:a1
                send h1 202
                send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
                expect n1 200
                expect c1 200 | r1
                wait program
                "#,
                order[0], order[1], order[2]
            ),
        );
    }
}

#[test]
fn the_last_byte_of_a_request_may_come_long_after_sigterm() {
    // Half of it is there when connections at rest are ended: this one is not at rest, and its answer is its last.
    run_scenario(
        1,
        r#"
        send c2 GET /up
        expect c2 200
        send c1 raw POST /book HTTP/1.1\r\nRequest-Id: a1\r\n
        send program TERM
        ends c2
        send c1 raw Request-Timeout: 1\r\n\r\n
        expect h1 POST /book Request-Id:a1
        send h1 202
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 Connection:close | r1
        ends c1
        wait program
        "#,
    );
}

#[test]
fn what_comes_after_the_end_of_a_connection_is_not_sent_on() {
    run_scenario(
        1,
        r#"
        send c1 GET /up
        expect c1 200
        send program TERM
        ends c1
        send c1 POST /look Request-Id:a1 Request-Timeout:9
        wait program
        none h1
        "#,
    );
}

#[test]
fn workers_that_hang_at_sigterm_leave_nobody_without_an_answer() {
    // One has taken its job and goes silent, one has said nothing. Both clients hear of it in their time.
    run_scenario(
        2,
        r#"
        send c1 POST /book Request-Id:a1 Request-Timeout:2
        expect h2 POST /book Request-Id:a1
        send h2 202
        send c2 POST /book Request-Id:a2 Request-Timeout:2
        expect h1 POST /book Request-Id:a2
        send program TERM
        expect c1 500
        expect c2 500
        wait program
        "#,
    );
}

#[test]
fn of_eighty_clients_that_leave_as_a_lane_comes_free_none_is_served() {
    let (mut come, mut go) = (String::new(), String::new());
    for nr in 1..=80 {
        come += &format!("send c{nr} POST /look Request-Id:b{nr} Request-Timeout:900 Work-Hint:1000\n");
        go += &format!("close c{nr}\n");
    }
    // The lane's end comes first, or last.
    let news = r#"send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}"#;
    for (first, last) in [(news, ""), ("", news)] {
        let settings = [("/settings/request_classes/0/aim_us", "900000000")];
        Setup { settings: &settings, ..Setup::default() }.run(&format!(
            r#"
            send c0 POST /look Request-Id:a1 Request-Timeout:900 Work-Hint:1000
            expect h1 POST /look Request-Id:a1
            send h1 202 Connection:close
            send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"started"}}
            expect n1 200
            {come}
            info scheduler.in_flight=81
            send program STOP
            {first}
            {go}
            {last}
            send program CONT
            expect n1 200
            expect c0 200 | r1
            info scheduler.in_flight=0
            send c81 POST /look Request-Id:a2 Request-Timeout:900
            expect h1.2 POST /look Request-Id:a2
            "#
        ));
    }
}

#[test]
fn a_client_that_leaves_between_two_attempts_is_not_served() {
    // The worker hands the job back, or the connection breaks, in the moment in which its client goes; either comes first.
    for back in ["send h2 503 Not-Started:1", "close h2"] {
        for (first, last) in [(back, "close c1"), ("close c1", back)] {
            let settings = [("/settings/request_classes/0/aim_us", "15000000")];
            Setup { workers: 2, settings: &settings, ..Setup::default() }.run(&format!(
                r#"
                send c1 POST /look Request-Id:a1 Request-Timeout:20
                expect h2 POST /look Request-Id:a1
                send program STOP
                {first}
                {last}
                send program CONT
                info scheduler.in_flight=0
                send c2 POST /look Request-Id:a2 Request-Timeout:20
                expect h1 POST /look Request-Id:a2
                "#
            ));
        }
    }
}

#[test]
fn a_gearman_client_that_leaves_as_a_worker_wakes_is_not_served() {
    run_with_operator_file(
        0,
        "",
        r#"
        ready w1 book
        send g1 SUBMIT_JOB book ~ | first
        expect g1 JOB_CREATED $job
        expect w1 NOOP
        send program STOP
        close g1
        send w1 GRAB_JOB
        send program CONT
        expect w1 NO_JOB
        "#,
    );
}

#[test]
fn an_answer_that_breaks_off_anywhere_ends_its_attempt_once_and_its_connection() {
    // What must not run twice fails; what may is tried again.
    for spoilt in [
        r"HTTP/1.1 2",
        r"HTTP/1.1 202 X\r\nContent-Len",
        r"HTTP/1.1 202 X\r\nContent-Length: 9\r\n\r\nab",
        r"HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        r"HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    ] {
        for (class, then) in [("book", "expect c1 500"), ("look", "expect h1 POST /look Request-Id:a1")] {
            let settings = [("/settings/request_classes/0/aim_us", "15000000")];
            Setup { workers: 2, settings: &settings, ..Setup::default() }.run(&format!(
                r#"
                send c1 POST /{class} Request-Id:a1 Request-Timeout:20
                expect h2 POST /{class} Request-Id:a1
                send h2 raw {spoilt}
                close h2
                {then}
                "#
            ));
        }
    }
}

#[test]
fn an_answer_without_end_is_bounded_in_size_and_ends_its_attempt() {
    for endless in ["202 X-Much:#400000", "202 | #400000"] {
        run_scenario(
            1,
            &format!(
                r#"
                send c1 POST /book Request-Id:a1 Request-Timeout:9
                expect h1 POST /book Request-Id:a1
                send h1 {endless}
                expect c1 500
                "#
            ),
        );
    }
}

#[test]
fn half_a_line_on_a_resting_connection_is_seen_before_the_next_request_whichever_comes_first() {
    let (line, request) = (r"send h1 raw HTTP/1.1 2", "send c1 POST /book Request-Id:a2 Request-Timeout:9");
    for (first, last) in [(line, request), (request, line)] {
        run_scenario(
            1,
            &format!(
                r#"
                send c1 POST /book Request-Id:a1 Request-Timeout:9
                expect h1 POST /book Request-Id:a1
                send h1 202
                send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
                expect n1 200
                expect c1 200 | r1
                send program STOP
                {first}
                {last}
                send program CONT
                expect h1.2 POST /book Request-Id:a2
                "#
            ),
        );
    }
}

#[test]
fn a_second_answer_ends_the_connection_that_it_came_on() {
    run_scenario(
        1,
        r#"
        send c1 POST /book Request-Id:a1 Request-Timeout:9
        expect h1 POST /book Request-Id:a1
        send h1 raw HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n
        wait h1
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        send c1 POST /book Request-Id:a2 Request-Timeout:9
        expect h1.2 POST /book Request-Id:a2
        "#,
    );
}

#[test]
fn news_of_a_job_whose_client_has_gone_is_taken_and_serves_nobody() {
    let (news, close) =
        (r#"send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}"#, "close c1");
    for (first, last) in [(news, close), (close, news)] {
        run_scenario(
            1,
            &format!(
                r#"
                send c1 POST /book Request-Id:a1 Request-Timeout:9
                expect h1 POST /book Request-Id:a1
                send h1 202
                send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"started"}}
                expect n1 200
                send program STOP
                {first}
                {last}
                send program CONT
                expect n1 200
                info scheduler.in_flight=0
                send c2 POST /book Request-Id:a2 Request-Timeout:9
                expect h1 POST /book Request-Id:a2
                "#
            ),
        );
    }
}

#[test]
fn a_reset_long_after_a_request_was_written_may_have_let_it_run() {
    run_scenario(
        1,
        r#"
        send c1 POST /book Request-Id:a1 Request-Timeout:9
        expect h1 POST /book Request-Id:a1
        mark
        until 2000
        close h1
        expect c1 500
        none h1
        "#,
    );
}

/// A job that is out at `h1`, and a successor that takes over: the predecessor is told to end and has bequeathed the job.
const BEQUEATHED: &str = r#"
    send c1 POST /book Request-Id:a1 Request-Timeout:20
    expect h1 POST /book Request-Id:a1
    send h1 202
    send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"started"}
    expect n1 200
    start successor
    send predecessor TERM
    wait predecessor
    "#;

#[test]
fn a_job_that_was_handed_over_ends_once_whatever_comes_in_the_same_moment() {
    let done = r#"send n2 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}"#;
    // Its result, twice; its client's end before or behind it.
    run_with_passed_socket(
        1,
        &format!(
            r#"
            {BEQUEATHED}
            send program STOP
            {done}
            {done}
            send program CONT
            expect n2 200
            expect n2 200
            expect c1 200 | r1
            info scheduler.in_flight=0
            "#
        ),
    );
    for (first, last) in [(done, "close c1"), ("close c1", done)] {
        run_with_passed_socket(
            1,
            &format!(
                r#"
                {BEQUEATHED}
                send program STOP
                {first}
                {last}
                send program CONT
                expect n2 200
                info scheduler.in_flight=0
                send c2 GET /up
                expect c2 200
                "#
            ),
        );
    }
}

#[test]
fn a_predecessor_that_is_killed_between_its_messages_leaves_a_successor_that_serves() {
    // Held still before it can hand over, and killed: the successor begins with its own configuration.
    for held in [true, false] {
        let (stop, after) = if held { ("send predecessor STOP", "") } else { ("", "send predecessor KILL") };
        run_with_passed_socket(
            2,
            &format!(
                r#"
                send c1 POST /book Request-Id:a1 Request-Timeout:20
                expect h2 POST /book Request-Id:a1
                send h2 202
                {}
                start successor
                {after}
                {}
                send c2 POST /look Request-Id:a2 Request-Timeout:20
                expect h1 POST /look Request-Id:a2
                send h1 202
                send n2 POST /_jobs/news | {{"id":"a2","from":"h1","state":"done","result":"r2"}}
                expect n2 200
                expect c2 200 | r2
                "#,
                stop.replace("predecessor", "program"),
                if held { "send predecessor KILL" } else { "" },
            ),
        );
    }
}
