//! Tests of a process's exit: each open request gets its final answer before the earliest SIGKILL, or is transferred to the
//! successor with all its attempts.
//!
//! The tests guard against requests lost in a restart. `calicolb-rig scale --schedulers 30 --workers 60 --event restarts
//! --seed N` lost 1 to 229 of about 8,400 requests on each of the seeds 1 to 50. On seeds 1 to 6 all lost requests were
//! in the hold queue. A test of the simulated fleet also lost a request whose second attempt was in flight.
//!
//! The cause: a predecessor transferred only requests with exactly one attempt that a worker had accepted. All others
//! stayed with the predecessor until their own deadline, which may be long after the earliest SIGKILL. Here SIGKILL may
//! come 3.7 s after SIGTERM: the longest deadline of the classes is 20 s and counts as 3 s, and the margin is 0.7 s.
//! The simulation ends a process at the time of SIGKILL; the program waits for these requests until the real SIGKILL,
//! which then decides which of them are lost. Before the fix, the program logged for each case below that it left 0
//! requests to the successor.

#[allow(dead_code, reason = "each test program uses some of the script steps")]
mod scenario;

use scenario::{Setup, run_scenario, run_with_passed_socket};

/// An aim of 15 s: a job may wait for a lane for the whole of a test.
const LONG_AIM: (&str, &str) = ("/settings/request_classes/0/aim_us", "15000000");

/// Steps for a job that runs at `h1`, with a work hint of 10 s, and a job held in the queue behind it.
const RUNNING_AND_HELD: &str = r#"
    send c1 POST /look Request-Id:a1 Request-Timeout:20 Work-Hint:10000000
    expect h1 POST /look Request-Id:a1
    send h1 202 Connection:close
    send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"started"}
    expect n1 200
    send c2 POST /look Request-Id:a2 Request-Timeout:20 Work-Hint:1000
    info scheduler.in_flight=2
    "#;

/// Steps for a job whose second attempt is in flight: `h2` refused the first attempt unstarted, `h1` has accepted the
/// second.
const SECOND_ATTEMPT: &str = r#"
    send c1 POST /book Request-Id:a1 Request-Timeout:20
    expect h2 POST /book Request-Id:a1
    send h2 503 Not-Started:1
    expect h1 POST /book Request-Id:a1
    send h1 202 Connection:close
    send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"started"}
    expect n1 200
    "#;

/// Steps for a job that `h1` has accepted and started, without a result.
const ACCEPTED: &str = r#"
    send c1 POST /book Request-Id:a1 Request-Timeout:20
    expect h1 POST /book Request-Id:a1
    send h1 202 Connection:close
    send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"started"}
    expect n1 200
    "#;

/// Steps for the result of the job from `h1`, and the answer to its client.
const RESULT: &str = r#"
    send n2 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
    expect n2 200
    expect c1 200 | r1
    "#;

/// Runs a script with an aim of 15 s for the class `look`.
fn run_with_long_aim(workers: usize, pass_socket: bool, script: &str) {
    Setup { workers, pass_socket, settings: &[LONG_AIM], ..Setup::default() }.run(script);
}

// ---- SIGTERM without a successor ----------------------------------------------------------------------------------------

#[test]
fn held_and_running_safe_requests_are_refused_before_sigkill() {
    // The effect of the class `look` is safe, so both requests may be repeated: the program refuses them with 503, and their
    // clients may send them to another scheduler.
    run_with_long_aim(
        1,
        false,
        &format!(
            r#"
            {RUNNING_AND_HELD}
            mark
            send program TERM
            expect c2 503
            expect c1 503
            within 3700
            wait program
            "#
        ),
    );
}

#[test]
fn running_non_idempotent_requests_fail_before_sigkill() {
    for (workers, open_request) in [(1, ACCEPTED), (2, SECOND_ATTEMPT)] {
        run_scenario(
            workers,
            &format!(
                r#"
                {open_request}
                mark
                send program TERM
                expect c1 500
                within 3700
                wait program
                "#
            ),
        );
    }
}

#[test]
fn unaccepted_request_is_answered_before_sigkill() {
    for (class, status) in [("book", 500), ("look", 503)] {
        run_scenario(
            1,
            &format!(
                r#"
                send c1 POST /{class} Request-Id:a1 Request-Timeout:20
                expect h1 POST /{class} Request-Id:a1
                mark
                send program TERM
                expect c1 {status}
                within 3700
                "#
            ),
        );
    }
}

#[test]
fn repeated_signals_do_not_delay_the_final_answer() {
    run_scenario(
        1,
        &format!(
            r#"
            {ACCEPTED}
            mark
            send program TERM
            until 1000
            send program TERM
            until 2500
            send program HUP
            send program TERM
            expect c1 500
            within 3700
            "#
        ),
    );
}

#[test]
fn result_before_the_final_answer_time_is_served() {
    run_scenario(
        1,
        &format!(
            r#"
            {ACCEPTED}
            mark
            send program TERM
            until 3000
            {RESULT}
            within 3700
            "#
        ),
    );
}

#[test]
fn request_completed_after_the_final_answer_time_is_refused_at_once() {
    run_scenario(
        1,
        r#"
        send c1 GET /up
        expect c1 200
        send c1 raw POST /look HTTP/1.1\r\nRequest-Id: a1\r\nRequest-Timeout: 9\r\n
        mark
        send program TERM
        until 3550
        send c1 raw \r\n
        expect c1 503
        within 3700
        "#,
    );
}

// ---- SIGTERM with a successor -------------------------------------------------------------------------------------------

#[test]
fn held_job_is_transferred_to_the_successor() {
    run_with_long_aim(
        1,
        true,
        &format!(
            r#"
            {RUNNING_AND_HELD}
            start successor
            mark
            send predecessor TERM
            wait predecessor
            within 3700
            {RESULT}
            expect h1.2 POST /look Request-Id:a2
            send h1.2 202 Connection:close
            send n2 POST /_jobs/news | {{"id":"a2","from":"h1","state":"done","result":"r2"}}
            expect n2 200
            expect c2 200 | r2
            "#
        ),
    );
}

#[test]
fn request_with_second_attempt_is_transferred_to_the_successor() {
    run_with_passed_socket(
        2,
        &format!(
            r#"
            {SECOND_ATTEMPT}
            start successor
            mark
            send predecessor TERM
            wait predecessor
            within 3700
            {RESULT}
            info scheduler.in_flight=0
            "#
        ),
    );
}

#[test]
fn successor_started_after_sigterm_gets_the_open_requests() {
    run_with_passed_socket(
        1,
        &format!(
            r#"
            {ACCEPTED}
            mark
            send program TERM
            start successor
            wait predecessor
            within 3700
            {RESULT}
            "#
        ),
    );
}

#[test]
fn sigterm_to_both_processes_answers_before_sigkill() {
    run_with_passed_socket(
        2,
        &format!(
            r#"
            {SECOND_ATTEMPT}
            start successor
            mark
            send predecessor TERM
            send program TERM
            expect c1 500
            within 3700
            "#
        ),
    );
}

#[test]
fn held_and_running_requests_survive_two_upgrades() {
    run_with_long_aim(
        1,
        true,
        &format!(
            r#"
            {RUNNING_AND_HELD}
            start successor
            mark
            send predecessor TERM
            wait predecessor
            within 3700
            start successor
            mark
            send predecessor TERM
            wait predecessor
            within 3700
            {RESULT}
            expect h1.2 POST /look Request-Id:a2
            "#
        ),
    );
}

#[test]
fn successor_does_not_resend_to_a_worker_with_an_unconfirmed_cancel() {
    // `h1` does not start the job, so the job is sent to `h2` and cancelled at `h1`, which never confirms the cancel.
    // The attempt at `h2` is lost after the transfer. Another attempt at `h1` could run beside the first one there,
    // which may still be running, so the client gets 503.
    let settings = [LONG_AIM, ("/settings/ceilings/peers", "false")];
    Setup { workers: 2, pass_socket: true, settings: &settings, ..Setup::default() }.run(
        r#"
        send c1 POST /look Request-Id:a1 Request-Timeout:20 Work-Hint:1000
        expect h1 POST /look Request-Id:a1
        send h1 202 Connection:close
        expect h2 POST /look Request-Id:a1
        send h2 202 Connection:close
        send n1 POST /_jobs/news | {"id":"a1","from":"h2","state":"started"}
        expect n1 200
        expect h1.2 DELETE /jobs/a1
        start successor
        mark
        send predecessor TERM
        wait predecessor
        within 3700
        send n2 POST /_jobs/news | {"id":"a1","from":"h2","state":"lost"}
        expect n2 200
        expect c1 503
        none h1
        "#,
    );
}

#[test]
fn predecessor_keeps_a_request_whose_transfer_a_killed_successor_never_read() {
    // The successor is stopped, so that the transferred request is unread in the upgrade link when the successor is killed.
    run_with_passed_socket(
        1,
        &format!(
            r#"
            {ACCEPTED}
            start successor
            send program STOP
            mark
            send predecessor TERM
            until 3300
            send program KILL
            {RESULT}
            within 3700
            "#
        ),
    );
}

#[test]
fn transfers_continue_when_a_full_upgrade_link_drains() {
    // 40 held requests of 60 KB fill the upgrade link to a stopped successor.
    let mut held_requests = String::new();
    for number in 2..=41 {
        held_requests += &format!(
            "send c{number} POST /look Request-Id:b{number} Request-Timeout:20 Work-Hint:1000 | #60000\n"
        );
    }
    run_with_long_aim(
        1,
        true,
        &format!(
            r#"
            send c1 POST /look Request-Id:a1 Request-Timeout:20 Work-Hint:10000000
            expect h1 POST /look Request-Id:a1
            send h1 202 Connection:close
            send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"started"}}
            expect n1 200
            {held_requests}
            info scheduler.in_flight=41
            start successor
            send program STOP
            mark
            send predecessor TERM
            until 2000
            send program CONT
            wait predecessor
            within 3700
            info scheduler.in_flight=41
            "#
        ),
    );
}

#[test]
fn predecessor_answers_requests_of_classes_unknown_to_the_successor() {
    run_with_passed_socket(
        1,
        &format!(
            r#"
            {ACCEPTED}
            set /settings/request_classes/1/name "buy"
            send file d
            start successor
            mark
            send predecessor TERM
            expect c1 500
            after 3000
            within 3700
            wait predecessor
            "#
        ),
    );
}

#[test]
fn stricter_effect_of_both_configurations_applies_after_a_transfer() {
    // The class is non-idempotent in the predecessor's configuration and safe in the successor's, then the reverse.
    for (class, index, effect) in [("book", 1, "read_like"), ("look", 0, "non_idempotent")] {
        run_with_passed_socket(
            2,
            &format!(
                r#"
                send c1 POST /{class} Request-Id:a1 Request-Timeout:20
                expect h2 POST /{class} Request-Id:a1
                send h2 202 Connection:close
                send n1 POST /_jobs/news | {{"id":"a1","from":"h2","state":"started"}}
                expect n1 200
                set /settings/request_classes/{index}/effect "{effect}"
                send file d
                start successor
                mark
                send predecessor TERM
                wait predecessor
                within 3700
                send n2 POST /_jobs/news | {{"id":"a1","from":"h2","state":"lost"}}
                expect n2 200
                expect c1 500
                none h1
                "#
            ),
        );
    }
}

#[test]
fn transferred_request_keeps_its_deadline_when_the_wall_clock_steps() {
    for step in ["3600", "-3600"] {
        // Either the result comes after the transfer, or no result comes and the client's timeout of 6 s ends the request.
        for (outcome, min_ms, max_ms) in [(RESULT, 0, 5_500), ("expect c1 500", 5_000, 6_500)] {
            let open_request = ACCEPTED.replace("Request-Timeout:20", "Request-Timeout:6");
            run_with_passed_socket(
                1,
                &format!(
                    r#"
                    mark
                    {open_request}
                    start successor {step}
                    send predecessor TERM
                    wait predecessor
                    {outcome}
                    after {min_ms}
                    within {max_ms}
                    "#
                ),
            );
        }
    }
}

#[test]
fn worker_knowledge_keeps_its_age_when_the_wall_clock_steps() {
    // A worker that answered with an error is avoided for a few seconds. The stepped clock must not
    // prolong that time to an hour.
    for step in ["3600", "-3600"] {
        run_with_passed_socket(
            1,
            &format!(
                r#"
                send c1 POST /look Request-Id:a1 Request-Timeout:2
                expect h1 POST /look Request-Id:a1
                send h1 500
                expect c1 503
                start successor {step}
                send predecessor TERM
                mark
                until 4000
                send c2 POST /look Request-Id:a2 Request-Timeout:9
                expect h1.2 POST /look Request-Id:a2
                "#
            ),
        );
    }
}

#[test]
fn pipelined_request_behind_a_transferred_one_is_transferred_too() {
    // Both requests are in the same receive buffer of the predecessor.
    run_with_passed_socket(
        1,
        &format!(
            r#"
            send c1 raw POST /book HTTP/1.1\r\nRequest-Id: a1\r\nRequest-Timeout: 20\r\nContent-Length: 0\r\n\r\nPOST /look HTTP/1.1\r\nRequest-Id: a2\r\nRequest-Timeout: 20\r\nContent-Length: 0\r\n\r\n
            expect h1 POST /book Request-Id:a1
            send h1 202 Connection:close
            send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"started"}}
            expect n1 200
            start successor
            mark
            send predecessor TERM
            wait predecessor
            within 3700
            {RESULT}
            expect h1.2 POST /look Request-Id:a2
            "#
        ),
    );
}
