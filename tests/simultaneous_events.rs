//! Tests of events that arrive together in one iteration of the event loop: shutdown, a client's disconnect or a
//! truncated worker response, with another event. The program is stopped with SIGSTOP while both events are sent, so
//! that it reads them together.

#[allow(dead_code, reason = "each test program uses some of the script steps")]
mod scenario;

use scenario::{Setup, run_scenario, run_with_operator_file, run_with_passed_socket};

#[test]
fn request_is_answered_when_sigterm_comes_before_between_or_after_its_bytes() {
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
fn request_completed_long_after_sigterm_is_answered() {
    // c1 has sent half a request when idle connections are closed: it is not idle, and is closed after its answer.
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
fn request_on_a_closed_connection_is_not_sent_to_a_worker() {
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
fn clients_of_silent_workers_are_answered_after_sigterm() {
    // h2 has accepted its job and sends nothing more, h1 has not answered. Both clients are answered within their
    // timeout of 2 s.
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
fn held_jobs_of_disconnected_clients_are_not_sent_when_a_lane_frees() {
    let (mut requests, mut disconnects) = (String::new(), String::new());
    for number in 1..=80 {
        requests +=
            &format!("send c{number} POST /look Request-Id:b{number} Request-Timeout:900 Work-Hint:1000\n");
        disconnects += &format!("close c{number}\n");
    }
    // The result that frees the lane comes before or after the disconnects.
    let result = r#"send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}"#;
    for (first, last) in [(result, ""), ("", result)] {
        let settings = [("/settings/request_classes/0/aim_us", "900000000")];
        Setup { settings: &settings, ..Setup::default() }.run(&format!(
            r#"
            send c0 POST /look Request-Id:a1 Request-Timeout:900 Work-Hint:1000
            expect h1 POST /look Request-Id:a1
            send h1 202 Connection:close
            send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"started"}}
            expect n1 200
            {requests}
            info scheduler.in_flight=81
            send program STOP
            {first}
            {disconnects}
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
fn request_of_a_client_that_disconnects_between_attempts_is_not_resent() {
    // The worker refuses the job unstarted, or its connection closes, while the client disconnects. Both orders are
    // tested.
    for attempt_end in ["send h2 503 Not-Started:1", "close h2"] {
        for (first, last) in [(attempt_end, "close c1"), ("close c1", attempt_end)] {
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
fn job_of_a_disconnected_gearman_client_is_not_assigned_to_a_waking_worker() {
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
fn truncated_worker_response_ends_its_attempt_once() {
    // A non-idempotent request fails; a safe one is sent to another worker.
    for truncated in [
        r"HTTP/1.1 2",
        r"HTTP/1.1 202 X\r\nContent-Len",
        r"HTTP/1.1 202 X\r\nContent-Length: 9\r\n\r\nab",
        r"HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        r"HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    ] {
        for (class, outcome) in [("book", "expect c1 500"), ("look", "expect h1 POST /look Request-Id:a1")] {
            let settings = [("/settings/request_classes/0/aim_us", "15000000")];
            Setup { workers: 2, settings: &settings, ..Setup::default() }.run(&format!(
                r#"
                send c1 POST /{class} Request-Id:a1 Request-Timeout:20
                expect h2 POST /{class} Request-Id:a1
                send h2 raw {truncated}
                close h2
                {outcome}
                "#
            ));
        }
    }
}

#[test]
fn oversized_worker_response_ends_its_attempt() {
    for oversized in ["202 X-Much:#400000", "202 | #400000"] {
        run_scenario(
            1,
            &format!(
                r#"
                send c1 POST /book Request-Id:a1 Request-Timeout:9
                expect h1 POST /book Request-Id:a1
                send h1 {oversized}
                expect c1 500
                "#
            ),
        );
    }
}

#[test]
fn idle_connection_with_unexpected_bytes_is_not_reused_for_the_next_request() {
    let (half_line, request) =
        (r"send h1 raw HTTP/1.1 2", "send c1 POST /book Request-Id:a2 Request-Timeout:9");
    for (first, last) in [(half_line, request), (request, half_line)] {
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
fn second_response_closes_its_worker_connection() {
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
fn callback_for_a_disconnected_clients_job_is_accepted_and_ends_it() {
    let (result, close) =
        (r#"send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}"#, "close c1");
    for (first, last) in [(result, close), (close, result)] {
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
fn non_idempotent_request_fails_when_its_connection_closes_late() {
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

/// Steps for a job in flight at `h1` that the predecessor transfers to its successor after SIGTERM.
const TRANSFERRED: &str = r#"
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
fn transferred_job_ends_once_with_repeated_results_or_a_disconnect() {
    let result = r#"send n2 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}"#;
    // First the result twice; then the result before and after the client's disconnect.
    run_with_passed_socket(
        1,
        &format!(
            r#"
            {TRANSFERRED}
            send program STOP
            {result}
            {result}
            send program CONT
            expect n2 200
            expect n2 200
            expect c1 200 | r1
            info scheduler.in_flight=0
            "#
        ),
    );
    for (first, last) in [(result, "close c1"), ("close c1", result)] {
        run_with_passed_socket(
            1,
            &format!(
                r#"
                {TRANSFERRED}
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
fn successor_serves_after_its_predecessor_is_killed_during_the_handover() {
    // The predecessor is stopped before it can send the handover and then killed, or killed as soon as the successor
    // serves. The successor goes on with its own configuration.
    for stopped in [true, false] {
        let (stop, after) =
            if stopped { ("send predecessor STOP", "") } else { ("", "send predecessor KILL") };
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
                if stopped { "send predecessor KILL" } else { "" },
            ),
        );
    }
}
