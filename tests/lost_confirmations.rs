//! A worker has accepted a job, but its confirmation does not arrive. The scheduler then cannot know whether the job runs, and
//! where two attempts of a request may not be in progress at once, it sends the request again only when the worker has
//! answered the cancellation of the first attempt.

#[allow(dead_code, reason = "each test program uses some of the script steps")]
mod scenario;

use scenario::Setup;

/// Two attempts of a request may not be in progress at once, and no job is urgent within the tests.
const ONE_ATTEMPT_AT_ONCE: [(&str, &str); 4] = [
    ("/settings/ceilings/may_duplicate", "false"),
    ("/settings/ceilings/peers", "false"),
    ("/settings/request_classes/0/aim_us", "15000000"),
    ("/settings/request_classes/1/aim_us", "15000000"),
];

/// The class `look` may be repeated because each worker drops a repeat of the same key for 60 s.
const KEYED: [(&str, &str); 3] = [
    ("/settings/request_classes/0/effect", r#""idempotency_key""#),
    ("/settings/request_classes/0/group", r#""all""#),
    ("/settings/request_classes/0/memory_span_us", "60000000"),
];

/// Runs a script where two attempts of a request may not be in progress at once.
fn run(workers: usize, script: &str) {
    Setup { workers, settings: &ONE_ATTEMPT_AT_ONCE, ..Setup::default() }.run(script);
}

/// Script steps: a job is written to `h1`, which answers nothing. Its connection is closed after 0.5 s.
const UNCONFIRMED: &str = r#"
    mark
    send c1 POST /look Request-Id:a1 Request-Timeout:20
    expect h1 POST /look Request-Id:a1
    wait h1
    after 500
    "#;

// Guards against review case 3: a job whose confirmation was lost and whose start was reported was sent again while it ran.
#[test]
fn started_job_whose_confirmation_was_lost_is_not_sent_again() {
    let script = r#"
        mark
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        until 300
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"started"}
        expect n1 200
        until 1500
        none h1
        none h2
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r"}
        expect c1 200 | r
        "#;
    run(2, script);
}

// Guards against the same before the start: a close alone gave up a job that waited at its worker, and a second one was sent.
#[test]
fn waiting_job_whose_confirmation_was_lost_is_sent_again_once_its_worker_answers_the_cancellation() {
    let resent = r#"
        expect h1.2 DELETE /jobs/a1
        after 750
        none h2
        send h1.2 404
        expect h2 POST /look Request-Id:a1
        within 1250
        send h2 202
        send n1 POST /_jobs/news | {"id":"a1","from":"h2","state":"done","result":"r"}
        expect c1 200 | r
        "#;
    for effect in [[].as_slice(), &KEYED] {
        let settings = [ONE_ATTEMPT_AT_ONCE.as_slice(), effect].concat();
        Setup { workers: 2, settings: &settings, ..Setup::default() }.run(&[UNCONFIRMED, resent].concat());
    }
}

// Guards against a cancellation that was written being taken for one that arrived: without its answer no attempt is sent.
#[test]
fn job_is_not_sent_again_while_its_cancellation_is_unanswered() {
    let repeated_cancellations = r#"
        expect h1.2 DELETE /jobs/a1
        wait h1.2
        after 1250
        expect h1.3 DELETE /jobs/a1
        close h1.3
        expect h1.4 DELETE /jobs/a1
        none h2
        send h1.4 503
        expect h1.4 DELETE /jobs/a1
        none h1
        none h2
        send h1.4 404
        mark
        expect h1.4 DELETE /jobs/a1
        after 240
        none h2
        send h1.4 404
        expect h1.4 POST /look Request-Id:a1
        "#;
    run(2, &[UNCONFIRMED, repeated_cancellations].concat());
}

// Guards against an answer of a worker that was held up: it may have read the cancellation before the job, and run that.
#[test]
fn slow_answer_to_a_cancellation_is_followed_by_a_second_cancellation() {
    let slow_answer = r#"
        expect h1.2 DELETE /jobs/a1
        until 1000
        send h1.2 404
        expect h1.2 DELETE /jobs/a1
        after 1250
        none h2
        send h1.2 200
        expect h1.2 POST /look Request-Id:a1
        within 1750
        "#;
    run(2, &[UNCONFIRMED, slow_answer].concat());
}

// Guards the answer in time: a request whose cancellation is never answered is refused at its time, without a second attempt.
#[test]
fn request_is_answered_in_time_though_its_cancellation_is_never_answered() {
    let script = r#"
        mark
        send c1 POST /look Request-Id:a1 Request-Timeout:3
        expect h1 POST /look Request-Id:a1
        expect h1.2 DELETE /jobs/a1
        expect h1.3 DELETE /jobs/a1
        expect c1 503
        after 2900
        within 3050
        none h2
        "#;
    let short_aim = [ONE_ATTEMPT_AT_ONCE[0], ONE_ATTEMPT_AT_ONCE[1]];
    Setup { workers: 2, settings: &short_aim, ..Setup::default() }.run(script);
}

// Guards the true report: a result that comes while the cancellation is unanswered is the answer.
#[test]
fn result_that_arrives_during_an_unanswered_cancellation_is_the_answer() {
    let result = r#"
        expect h1.2 DELETE /jobs/a1
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r"}
        expect c1 200 | r
        "#;
    run(2, &[UNCONFIRMED, result].concat());
}

// Guards the late confirmation: one that arrives before the acceptance timeout counts, and nothing is closed or sent again.
#[test]
fn late_confirmation_is_accepted() {
    let script = r#"
        mark
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        until 400
        send h1 202
        until 1500
        none h1
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r"}
        expect c1 200 | r
        "#;
    run(1, script);
}

// Guards against a cancellation that is lost with its connection: the attempt stayed open until its time limit.
#[test]
fn cancellation_of_an_accepted_job_is_repeated_when_its_connection_breaks() {
    let script = r#"
        mark
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        send h1 202
        expect h1 DELETE /jobs/a1
        close h1
        expect h1.2 DELETE /jobs/a1
        none h2
        send h1.2 200
        expect h2 POST /look Request-Id:a1
        within 1000
        "#;
    run(2, script);
}

// Guards against a job that runs for nobody: its client has left, its confirmation is lost, and the close ends nothing.
#[test]
fn unconfirmed_job_of_a_client_that_has_left_is_cancelled_at_its_worker() {
    for may_duplicate in ["false", "true"] {
        let settings = [("/settings/ceilings/may_duplicate", may_duplicate)];
        Setup { settings: &settings, ..Setup::default() }.run(
            r#"
            send c1 POST /book Request-Id:a1 Request-Timeout:20
            expect h1 POST /book Request-Id:a1
            close c1
            wait h1
            expect h1.2 DELETE /jobs/a1
            send h1.2 200
            send c2 POST /book Request-Id:a1 Request-Timeout:20
            expect c2 409
            send c2 POST /book Request-Id:a2 Request-Timeout:20
            expect h1.2 POST /book Request-Id:a2
            "#,
        );
    }
}

// Guards the time to a second attempt: where two may be in progress at once, it waits for no cancellation.
#[test]
fn with_concurrent_attempts_an_unconfirmed_job_is_sent_elsewhere_at_once() {
    let settings =
        [("/settings/ceilings/peers", "false"), ("/settings/request_classes/0/aim_us", "15000000")];
    Setup { workers: 2, settings: &settings, ..Setup::default() }.run(
        r#"
        mark
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        expect h2 POST /look Request-Id:a1
        within 700
        expect h1.2 DELETE /jobs/a1
        "#,
    );
}

// Guards against a second attempt beside a job whose confirmation was lost as its connection broke.
#[test]
fn job_whose_connection_broke_is_sent_again_once_its_worker_answers_a_cancellation() {
    let script = r#"
        mark
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        close h1
        expect h1.2 DELETE /jobs/a1
        none h2
        close h1.2
        expect h1.3 DELETE /jobs/a1
        none h2
        send h1.3 404
        expect h2 POST /look Request-Id:a1
        within 1000
        "#;
    run(2, script);
}

// Guards the time to a second attempt: a worker that resets the connection and refuses a new one has died, with its job.
#[test]
fn job_of_a_worker_that_has_died_is_sent_again_at_once() {
    let script = r#"
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        send program STOP
        close h1
        close h1
        mark
        send program CONT
        expect h2 POST /look Request-Id:a1
        within 1000
        "#;
    run(2, script);
}

// Guards the true report: a job whose connection broke may end before its worker answers the cancellation.
#[test]
fn result_that_arrives_after_the_connection_broke_is_the_answer() {
    let script = r#"
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        close h1
        expect h1.2 DELETE /jobs/a1
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r"}
        expect c1 200 | r
        "#;
    run(2, script);
}

// Guards the answer in time: a job that must not run twice is answered at once when its connection breaks.
#[test]
fn job_that_must_not_run_twice_fails_at_once_when_its_connection_breaks() {
    let script = r#"
        mark
        send c1 POST /book Request-Id:a1 Request-Timeout:20
        expect h1 POST /book Request-Id:a1
        close h1
        expect c1 500
        within 500
        none h2
        "#;
    run(2, script);
}
