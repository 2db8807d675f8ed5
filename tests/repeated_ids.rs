//! An id that comes again after its request has ended: a job that must not run twice does not, at either process of an upgrade,
//! and the client is answered at once.

#[allow(dead_code, reason = "each test program uses some of the script steps")]
mod scenario;

use scenario::{run_scenario, run_with_passed_socket};

/// A job that must not run twice is taken by its worker, and its client leaves.
const TAKEN_AND_LEFT: &str = "
    send c1 POST /book Request-Id:a1 Request-Timeout:9
    expect h1 POST /book Request-Id:a1
    send h1 202
    send n1 POST /_jobs/news | {\"id\":\"a1\",\"from\":\"h1\",\"state\":\"started\"}
    expect n1 200
    close c1
    ";

// Guards picture (c): an id ran twice when it came again after its client had left.
#[test]
fn id_whose_client_left_does_not_run_again() {
    run_scenario(
        1,
        &format!(
            r#"
            {TAKEN_AND_LEFT}
            expect h1 DELETE /jobs/a1
            send h1 200
            send c2 POST /book Request-Id:a1 Request-Timeout:9
            expect c2 409
            send c2 POST /look Request-Id:a2 Request-Timeout:9
            expect h1 POST /look Request-Id:a2
            "#
        ),
    );
}

// Guards against the same where the first request was served.
#[test]
fn id_that_was_served_runs_again_only_if_its_class_allows_it() {
    for (class, runs_again) in [("book", false), ("look", true)] {
        let served = format!(
            r#"
            expect h1 POST /{class} Request-Id:a1
            send h1 202
            send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r"}}
            expect n1 200
            expect c1 200 | r
            "#
        );
        let request = format!("send c1 POST /{class} Request-Id:a1 Request-Timeout:9");
        let again = if runs_again { served.as_str() } else { "expect c1 409" };
        run_scenario(1, &format!("{request}\n{served}\n{request}\n{again}"));
    }
}

// Guards picture (c): an id ran twice when it came again at the other process of an upgrade.
#[test]
fn id_does_not_run_again_at_the_other_process_of_an_upgrade() {
    run_with_passed_socket(
        1,
        &format!(
            r#"
            {TAKEN_AND_LEFT}
            expect h1 DELETE /jobs/a1
            send h1 200
            send c3 POST /book Request-Id:a3 Request-Timeout:20
            expect h1 POST /book Request-Id:a3
            send h1 202
            start successor
            send c2 POST /book Request-Id:a1 Request-Timeout:9
            expect c2 409
            send c2 POST /book Request-Id:a3 Request-Timeout:9
            expect c2 409
            send n2 POST /_jobs/news | {{"id":"a3","from":"h1","state":"done","result":"r3"}}
            expect n2 200
            expect c3 200 | r3
            send predecessor TERM
            wait predecessor
            send c2 POST /book Request-Id:a1 Request-Timeout:9
            expect c2 409
            send c2 POST /book Request-Id:a3 Request-Timeout:9
            expect c2 409
            "#
        ),
    );
}

// Guards picture (c): a client closed its connection with much still unread, and its requests were sent on afterwards.
#[test]
fn requests_behind_the_first_one_are_not_sent_after_their_client_has_closed() {
    let behind: String = (0..120)
        .map(|number| {
            format!(r"POST /look HTTP/1.1\r\nRequest-Id: b{number}\r\nRequest-Timeout: 9\r\nContent-Length: 2000\r\n\r\n{}", "x".repeat(2_000))
        })
        .collect();
    run_scenario(
        1,
        &format!(
            r#"
            send c1 POST /look Request-Id:a1 Request-Timeout:9
            expect h1 POST /look Request-Id:a1
            send h1 202
            send c1 raw {behind}
            close c1
            expect h1 DELETE /jobs/a1
            send h1 200
            mark
            until 1000
            send c2 POST /look Request-Id:a2 Request-Timeout:9
            expect h1 POST /look Request-Id:a2
            none h1
            "#
        ),
    );
}
