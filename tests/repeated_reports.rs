//! Workers repeat a callback until it is answered, and a callback names the request and the worker, but not the attempt.
//! A repeat that belongs to an earlier attempt must not end a later attempt at the same worker while that one runs.

#[allow(dead_code, reason = "each test program uses some of the script steps")]
mod scenario;

use scenario::Setup;

/// The aim of both classes is 15 s, so that a job which a worker has handed back is sent to the only worker again.
const LONG_AIMS: [(&str, &str); 2] =
    [("/settings/request_classes/0/aim_us", "15000000"), ("/settings/request_classes/1/aim_us", "15000000")];

/// Runs a script with one worker, which reports starts or does not.
fn run(tells_start: bool, script: &str) {
    let tells_start = if tells_start { "true" } else { "false" };
    let settings = [LONG_AIMS.as_slice(), &[("/settings/extra/tells_start", tells_start)]].concat();
    Setup { settings: &settings, ..Setup::default() }.run(script);
}

/// Script steps: the worker accepts a job of this class and hands it back, and is sent the job again.
fn handed_back_once(class: &str) -> String {
    format!(
        r#"
        send c1 POST /{class} Request-Id:a1 Request-Timeout:20
        expect h1 POST /{class} Request-Id:a1
        send h1 202
        send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"returned"}}
        expect n1 200
        expect h1 POST /{class} Request-Id:a1
        "#
    )
}

const REPEAT: &str = r#"
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"returned"}
        expect n1 200
        "#;

const RESULT: &str = r#"
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r"}
        expect c1 200 | r
        "#;

const STARTED: &str = r#"
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"started"}
        expect n1 200
        "#;

// Guards against review case 1: a repeated `returned` ended the attempt that ran, and the job was refused and ran twice.
#[test]
fn repeated_hand_back_does_not_end_a_running_job_that_must_not_run_twice() {
    let script = [&handed_back_once("book"), "send h1 202", STARTED, REPEAT, REPEAT, RESULT].concat();
    run(true, &script);
}

// Guards against the same repeat while the accepted job still waits at its worker, and has not been reported as started.
#[test]
fn repeated_hand_back_does_not_end_a_waiting_job_that_must_not_run_twice() {
    let script = [&handed_back_once("book"), "send h1 202", REPEAT, REPEAT, STARTED, RESULT].concat();
    run(true, &script);
}

// Guards against the same repeat where workers report no starts, so that no report shows that the job runs.
#[test]
fn repeated_hand_back_does_not_end_a_job_where_workers_report_no_starts() {
    run(false, &[&handed_back_once("book"), "send h1 202", REPEAT, REPEAT, RESULT].concat());
}

// Guards against the same repeat between the second sending of the job and its confirmation.
#[test]
fn repeated_hand_back_does_not_end_an_unconfirmed_job_that_must_not_run_twice() {
    run(true, &[&handed_back_once("book"), REPEAT, "send h1 202", RESULT].concat());
}

// Guards against a second attempt of a safe job at a worker where, after a repeated end report, the first one still runs.
#[test]
fn safe_job_is_resent_after_an_uncertain_end_only_when_its_worker_confirms_the_cancellation() {
    let repeats = r#"
        send h1 202
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"returned"}
        expect n1 200
        expect h1 DELETE /jobs/a1
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"returned"}
        expect n1 200
        mark
        until 700
        none h1
        "#;
    run(true, &[&handed_back_once("look"), repeats].concat());
}

// Guards the true report: a safe job that its worker hands back a second time is sent again, once it is certainly over.
#[test]
fn safe_job_that_is_handed_back_twice_is_served_by_a_later_attempt() {
    let second_hand_back = r#"
        send h1 202
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"returned"}
        expect n1 200
        expect h1 DELETE /jobs/a1
        send h1 404
        expect h1 POST /look Request-Id:a1
        send h1 202
        "#;
    run(true, &[&handed_back_once("look"), second_hand_back, RESULT].concat());
}

// Guards the true report: only the ending that was reported before may be a repeat; any other one counts at once.
#[test]
fn loss_that_is_reported_after_a_hand_back_counts_at_once() {
    let lost = r#"
        send h1 202
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"lost"}
        expect n1 200
        mark
        expect c1 500
        within 1000
        "#;
    run(true, &[&handed_back_once("book"), lost].concat());
}

// Guards the answer in time: a job that must not run twice is answered at its time where its worker handed it back again.
#[test]
fn unsafe_job_that_is_handed_back_twice_is_answered_at_its_time() {
    let second_hand_back = r#"
        send h1 202
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"returned"}
        expect n1 200
        expect c1 500
        within 6550
        "#;
    let settings = [("/settings/request_classes/1/aim_us", "2000000")];
    let first = handed_back_once("book").replace("Request-Timeout:20", "Request-Timeout:6");
    Setup { settings: &settings, ..Setup::default() }.run(&["mark", &first, second_hand_back].concat());
}
