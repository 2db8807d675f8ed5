//! Clients that send at full speed must not keep the program from its other work: each connection gets a turn of bounded
//! size, and an iteration of the event loop gives turns for a bounded time.

#[allow(dead_code, reason = "each test program uses some of the script steps")]
mod scenario;

use scenario::Setup;

/// Descriptors for hundreds of clients.
const SETTINGS: [(&str, &str); 1] = [("/limits/sockets", "1024")];

/// Lets `count` clients send this message at full speed. Meanwhile a job is served, another one whose worker is silent is
/// answered at its time and half a second, and an operator's call is answered.
fn serves_during_flood(count: usize, message: &str) {
    Setup { workers: 1, settings: &SETTINGS, ..Setup::default() }.run(&format!(
        r#"
        flood {count} {message}
        mark
        until 500
        mark
        send c1 POST /look Request-Id:a1 Request-Timeout:2
        expect h1 POST /look Request-Id:a1
        send h1 202
        send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
        expect n1 200
        expect c1 200 | r1
        within 2550
        mark
        send c2 POST /book Request-Id:a2 Request-Timeout:2
        expect c2 500
        within 2550
        mark
        info scheduler.stock_workers_known=1
        within 1000
        "#
    ));
}

// Guards against review case 2: requests that are answered at once kept one call reading as long as a client sent.
#[test]
fn requests_of_an_unknown_class_at_full_speed_do_not_delay_other_work() {
    serves_during_flood(24, "POST /x Note:#330");
}

// Guards against the same with a request that is answered with 200.
#[test]
fn readiness_checks_at_full_speed_do_not_delay_other_work() {
    serves_during_flood(24, "GET /up Note:#340");
}

// Guards against the same with callbacks that match no request.
#[test]
fn callbacks_without_a_request_at_full_speed_do_not_delay_other_work() {
    serves_during_flood(24, r#"POST /_jobs/news | {"id":"none","from":"h1","state":"returned"}"#);
}

// Guards against iterations whose length grows with the number of connections that always have input.
#[test]
fn requests_of_200_clients_at_full_speed_do_not_delay_other_work() {
    serves_during_flood(200, "POST /x Note:#330");
}

// Guards against input that is left unprocessed, or an exit that waits for ever, when SIGTERM comes during a flood.
#[test]
fn process_drains_and_exits_during_a_flood() {
    Setup { workers: 1, settings: &SETTINGS, ..Setup::default() }.run(
        r#"
        flood 24 POST /x Note:#330
        mark
        until 300
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        send h1 202
        mark
        send program TERM
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect c1 200 | r1
        wait program
        within 4000
        "#,
    );
}

// Guards against review case 7: clients whose input never ends hold all connections, and neither other clients nor reports of
// workers get one.
#[test]
fn clients_that_hold_all_connections_by_unsound_requests_do_not_shut_out_others() {
    for message in ["POST /x Note:#330", "GET /up Note:#340"] {
        Setup { workers: 1, settings: &[("/limits/sockets", "256")], ..Setup::default() }.run(&format!(
            r#"
            send c1 POST /look Request-Id:a1 Request-Timeout:9
            expect h1 POST /look Request-Id:a1
            send h1 202
            send n1 POST /_jobs/news | {{"id":"a1","from":"h1","state":"done","result":"r1"}}
            expect n1 200
            expect c1 200 | r1
            flood 200 {message}
            mark
            until 500
            mark
            send c1 POST /look Request-Id:a2 Request-Timeout:5
            expect h1 POST /look Request-Id:a2
            send h1 202
            send n2 POST /_jobs/news | {{"id":"a2","from":"h1","state":"done","result":"r2"}}
            expect n2 200
            expect c1 200 | r2
            send c2 POST /look Request-Id:a3 Request-Timeout:5
            expect h1 POST /look Request-Id:a3
            send h1 202
            send n1 POST /_jobs/news | {{"id":"a3","from":"h1","state":"done","result":"r3"}}
            expect n1 200
            expect c2 200 | r3
            within 5000
            "#
        ));
    }
}
