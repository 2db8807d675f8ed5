//! End-to-end tests of the program on real sockets: each test starts the program and exchanges HTTP, management and peer
//! messages with it.

#[allow(dead_code, reason = "each test program uses some of the script steps")]
mod scenario;

use scenario::{run_scenario, run_with_max_descriptors, run_with_passed_socket};

#[test]
fn job_is_sent_to_worker_and_its_result_to_client() {
    run_scenario(
        1,
        r#"
        send c1 GET /up
        expect c1 200
        send c1 POST /look?obj=7f Request-Id:a1 Request-Class:look Tenant:acme Request-Timeout:9 X-Own:kept | the body
        expect h1 POST /look?obj=7f Request-Id:a1 Request-Timeout:* Request-Class:look X-Own:kept | the body
        send h1 202
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"started"}
        expect n1 200
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1","load":{"util":0.5,"x0":3,"eps":0}}
        expect n1 200
        expect c1 200 | r1
        send c1 POST /look?obj=7f Request-Id:a2 Request-Class:look Tenant:acme Request-Timeout:9 | more
        expect h1 POST /look?obj=7f Request-Id:a2 | more
        "#,
    );
}

#[test]
fn early_repeated_and_unmatched_callbacks_are_accepted() {
    run_scenario(
        1,
        r#"
        send c1 POST /book Request-Id:a1 Request-Timeout:9
        expect h1 POST /book Request-Id:a1
        send n1 POST /_jobs/news | {"id":"a1","from":"elsewhere","state":"done","result":"not mine"}
        expect n1 200
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        send n1 POST /_jobs/news | {"id":"never","from":"h1","state":"lost"}
        expect n1 200
        send n1 POST /_jobs/news | {"id":
        expect n1 400
        send h1 202
        send c1 POST /book Request-Id:a2 Request-Timeout:9
        expect h1 POST /book Request-Id:a2
        "#,
    );
}

#[test]
fn worker_connection_without_http_response_is_closed_after_result() {
    run_scenario(
        1,
        r#"
        send c1 POST /look Request-Id:a1 Request-Timeout:2
        expect h1 POST /look Request-Id:a1
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        wait h1
        "#,
    );
}

#[test]
fn non_idempotent_job_is_resent_only_if_it_never_started() {
    run_scenario(
        2,
        r#"
        close h2
        send c1 POST /book Request-Id:a1 Request-Timeout:900 Work-Hint:8000000
        expect h1 POST /book Request-Id:a1
        send h1 503 Not-Started:1
        expect h1 POST /book Request-Id:a1
        send h1 202
        close h1
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        send c1 POST /book Request-Id:a2 Request-Timeout:900 Work-Hint:8000000
        expect h1.2 POST /book Request-Id:a2
        close h1.2
        expect c1 500
        "#,
    );
}

#[test]
fn full_scheduler_refuses_at_once_with_retry_after() {
    run_scenario(
        1,
        r#"
        send c2 GET /up
        expect c2 200
        send c3 GET /up
        expect c3 200
        send c4 GET /up
        expect c4 200
        send c1 POST /look Request-Id:a1 Request-Timeout:900
        expect h1 POST /look Request-Id:a1
        send c2 POST /look Request-Id:a2 Request-Timeout:900
        send c3 POST /look Request-Id:a3 Request-Timeout:900
        send c4 POST /look Request-Id:a4 Request-Timeout:900
        expect c4 503 Retry-After:*
        "#,
    );
}

#[test]
fn attempt_past_its_deadline_is_cancelled_with_delete() {
    run_scenario(
        1,
        r#"
        send c1 POST /book Request-Id:a1 Request-Timeout:1.5
        expect h1 POST /book Request-Id:a1
        send h1 202
        expect c1 500
        expect h1 DELETE /jobs/a1
        send h1 200
        send c1 POST /book Request-Id:a2 Request-Timeout:9
        expect h1 POST /book Request-Id:a2
        "#,
    );
}

#[test]
fn malformed_requests_get_errors_and_leave_other_clients_unaffected() {
    run_scenario(
        1,
        r#"
        send c1 POST /look Request-Id:a1 Request-Timeout:9
        expect h1 POST /look Request-Id:a1
        send c2 raw GARBAGE\r\n\r\n
        expect c2 400
        wait c2
        send c3 POST /nowhere Request-Id:a2 Request-Timeout:9
        expect c3 404
        send c3 GET /look
        expect c3 405
        send c3 PUT /up
        expect c3 405
        send c3 POST /look Request-Timeout:9
        expect c3 400
        send c3 POST /look Request-Id:a/../b Request-Timeout:9
        expect c3 400
        send c3 POST /look Request-Id:a1 Request-Timeout:9
        expect c3 409
        send c3 POST /look Request-Id:a3 Request-Timeout:soon
        expect c3 400
        send c4 raw POST /look HTTP/1.1\r\nContent-Length: 65537\r\n\r\n
        expect c4 413
        wait c4
        send c5 GET /up Long:#17000
        expect c5 431
        wait c5
        send c6 raw POST /look HTTP/1.1\r\nContent-Le
        close c6
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        "#,
    );
}

#[test]
fn disconnected_and_idle_clients_free_capacity_for_new_requests() {
    let mut script = String::new();
    for number in 0..400 {
        script += &format!("send c{number} GET /up\nexpect c{number} 200\n");
    }
    script += r#"
        send cx POST /look Request-Id:a1 Request-Timeout:900
        expect h1 POST /look Request-Id:a1
        send h1 202
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"started"}
        expect n1 200
        close cx
        expect h1 DELETE /jobs/a1
        send h1 200
        send cy POST /look Request-Id:a2 Request-Timeout:900
        expect h1 POST /look Request-Id:a2
        wait c0
        "#;
    run_scenario(1, &script);
}

#[test]
fn list_watch_is_reopened_from_last_version_after_it_ends() {
    run_scenario(
        1,
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        send d chunk {"seq":42,"whole":false,"hosts":[{"host":"h9","dial":"nonsense"},{"host":"h1","dial":"127.0.0.1:9","si
        send d chunk te":"north","class":"big","block":0,"health":"terminated","share":1.0,"born_ms":0}]}\n
        expect program a line of the list is dropped
        send c1 POST /look Request-Id:a1 Request-Timeout:900
        expect c1 503
        close d
        expect program discovery
        expect d.2 GET /discovery/hosts?watch=1&from=42
        send d.2 503
        expect d.3 GET /discovery/hosts?watch=1&from=42
        "#,
    );
}

#[test]
fn peer_hello_is_answered_and_oversized_datagram_is_dropped() {
    run_scenario(
        1,
        r#"
        send p #257
        expect program too long
        send p 1,1,1
        expect p 1,0,0
        "#,
    );
}

#[test]
fn program_without_workers_reports_not_ready() {
    run_scenario(
        0,
        r#"
        send c1 GET /up
        expect c1 503
        expect d GET /discovery/hosts?watch=1&from=41
        "#,
    );
}

#[test]
fn sigterm_serves_open_and_early_requests_before_exit() {
    // After SIGTERM, existing connections and new clients are served for a while, because no successor may be running yet.
    run_scenario(
        1,
        r#"
        send c1 POST /book Request-Id:a1 Request-Timeout:20
        expect h1 POST /book Request-Id:a1
        send h1 202
        send c2 GET /up
        expect c2 200
        send program TERM
        expect program SIGTERM
        send c3 POST /look Request-Id:a2 Request-Timeout:20
        send c2 GET /up
        expect c2 503
        send c2 GET /up
        expect c2 503
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        expect h1 POST /look Request-Id:a2
        send h1 202
        wait c1
        wait c2
        send n2 POST /_jobs/news | {"id":"a2","from":"h1","state":"done","result":"r2"}
        expect n2 200
        expect c3 200 Connection:close | r2
        wait program
        "#,
    );
}

#[test]
fn exhausted_descriptors_do_not_block_clients_or_jobs() {
    let mut script = String::new();
    for number in 0..60 {
        script += &format!("send c{number} GET /up\nexpect c{number} 200\n");
    }
    script += r#"
        send cx POST /look Request-Id:a1 Request-Timeout:900
        expect h1 POST /look Request-Id:a1
        "#;
    run_with_max_descriptors(1, 40, &script);
}

#[test]
fn reload_moves_watch_to_new_discovery_and_keeps_open_requests() {
    run_scenario(
        1,
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk {"seq":42,"whole":false,"hosts":[]}\n
        send c1 POST /book Request-Id:a1 Request-Timeout:900
        expect h1 POST /book Request-Id:a1
        send h1 202
        send file raw {"settings":{}}
        send program HUP
        expect program 'settings.request_classes' is missing
        send file d2
        send program HUP
        expect d2 GET /discovery/hosts?watch=1&from=42
        send d chunk {"seq":43,"whole":false,"hosts":[{"host":"h9","dial":"nonsense"}]}\n
        expect program a line of the list is dropped
        send d2 watch
        send d2 chunk {"seq":44,"whole":false,"hosts":[]}\n
        wait d
        send program HUP
        expect program the address of discovery is
        close d2
        expect d2.2 GET /discovery/hosts?watch=1&from=44
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        send program HUP
        send program TERM
        wait program
        "#,
    );
}

#[test]
fn worker_answer_400_fails_the_request_and_does_not_exclude_the_worker() {
    run_scenario(
        2,
        r#"
        send c1 POST /look Request-Id:a1 Request-Timeout:900
        expect h2 POST /look Request-Id:a1
        send h2 400
        expect c1 500
        send c1 POST /look Request-Id:a2 Request-Timeout:900
        expect h2 POST /look Request-Id:a2
        "#,
    );
}

#[test]
fn slow_silent_and_oversized_requests_are_refused_or_closed() {
    run_scenario(
        1,
        r#"
        send c1 raw POST /look HT
        send c2 POST /look Request-Id:a1 Request-Timeout:9 | #60000000
        expect c2 413
        wait c2
        expect c1 408
        wait c1
        wait c3
        send c4 GET /up
        expect c4 200
        "#,
    );
}

#[test]
fn unaccepted_safe_job_is_sent_to_another_worker() {
    run_scenario(
        2,
        r#"
        send c1 POST /look Request-Id:a1 Request-Timeout:900 Work-Hint:8000000
        expect h2 POST /look Request-Id:a1
        wait h2
        expect h1 POST /look Request-Id:a1
        send h1 202
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        "#,
    );
}

#[test]
fn lameduck_disconnects_clients_and_rejoin_accepts_them_again() {
    // LAMEDUCK drains like SIGTERM but without exiting: clients are served for a while, then disconnected.
    run_scenario(
        1,
        r#"
        send c1 GET /up
        expect c1 200
        send c2 GET /up
        expect c2 200
        send o1 raw LAMEDUCK\n
        expect o1 done
        wait o1
        send c1 GET /up
        expect c1 503
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        send h1 202
        wait c2
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 Connection:close | r1
        wait c1
        send o2 raw REJOIN\n
        expect o2 done
        send c3 GET /up
        expect c3 200
        send c3 POST /look Request-Id:a2 Request-Timeout:20
        expect h1 POST /look Request-Id:a2
        "#,
    );
}

#[test]
fn management_port_answers_each_caller_and_closes_idle_connections() {
    let mut script =
        String::from("send o1 raw PI\nsend ox raw NONSENSE\\r\\n\nexpect ox error unknown call\nwait ox\n");
    // More silent connections than the management port allows: the oldest is closed to accept the newest.
    for number in 2..20 {
        script += &format!("send o{number} raw P\n");
    }
    script += &format!("send ob raw {}\n", "x".repeat(5000));
    script += r#"
        wait o1
        send oa raw PING\n
        expect oa done
        expect ob error unknown call
        expect o19 error no call came
        send program TERM
        expect program SIGTERM
        send oc raw REJOIN\n
        expect oc error the program is ending
        "#;
    run_scenario(1, &script);
}

#[test]
fn info_counts_served_refused_failed_requests_and_attempts() {
    run_scenario(
        1,
        r#"
        send c1 POST /look Request-Id:a1 Request-Timeout:9
        expect h1 POST /look Request-Id:a1
        send o1 raw INFO\n
        expect o1 scheduler.requests.look.served=0
        expect o1 scheduler.requests.look.attempts=1
        expect o1 scheduler.attempts=1
        expect o1 scheduler.in_flight=1
        expect o1 scheduler.stock_workers_known=1
        expect o1 scheduler.stock_workers_excluded=0
        expect o1 scheduler.fleet.cold.jobs=0
        expect o1 scheduler.fleet.connections.open=1
        expect o1 scheduler.fleet.connections.opened=1
        expect o1 scheduler.fleet.connections.reused=0
        expect o1 end
        wait o1
        send h1 202
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        close h1
        send c1 POST /book Request-Id:a2 Request-Timeout:9
        expect h1.2 POST /book Request-Id:a2
        close h1.2
        expect c1 500
        send c1 POST /look Request-Id:a3 Request-Timeout:9
        expect c1 503
        send o2 raw INFO\n
        expect o2 scheduler.requests.look.served=1
        expect o2 scheduler.requests.look.refused=1
        expect o2 scheduler.requests.look.failed=0
        expect o2 scheduler.requests.book.served=0
        expect o2 scheduler.requests.book.failed=1
        expect o2 scheduler.attempts=2
        expect o2 scheduler.in_flight=0
        expect o2 scheduler.stock_workers_excluded=1
        "#,
    );
}

#[test]
fn upgrade_to_successor_answers_requests_at_both_processes() {
    // The stale upgrade socket of an earlier process must not prevent the upgrade. Callbacks, repeated request ids and
    // `/up` may reach either process.
    run_with_passed_socket(
        1,
        r#"
        send o1 raw PING\n
        expect o1 done
        send c1 POST /book Request-Id:a1 Request-Timeout:20
        expect h1 POST /book Request-Id:a1
        send h1 202
        send c2 GET /up
        expect c2 200
        send n0 POST /_jobs/news | {"id":"a1","from":"h1","state":"started"}
        expect n0 200
        start successor
        send o2 raw PING\n
        expect o2 done
        wait c2
        send c3 GET /up
        expect c3 200
        send c3 POST /look Request-Id:a1 Request-Timeout:20
        expect c3 409
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 Connection:close | r1
        send c4 POST /book Request-Id:a2 Request-Timeout:20
        expect h1.2 POST /book Request-Id:a2
        send h1.2 202
        send n0 POST /_jobs/news | {"id":"a2","from":"h1","state":"done","result":"r2"}
        expect n0 200
        expect c4 200 | r2
        send predecessor TERM
        wait predecessor
        expect program the link to the Predecessor process is closed
        send c4 GET /up
        expect c4 200
        "#,
    );
}

#[test]
fn operator_drain_continues_at_successor_until_rejoin() {
    run_with_passed_socket(
        1,
        r#"
        send o1 raw LAMEDUCK\n
        expect o1 done
        start successor
        send o2 raw PING\n
        expect o2 done
        send c1 GET /up
        expect c1 503
        send o3 raw REJOIN\n
        expect o3 done
        send c2 GET /up
        expect c2 200
        "#,
    );
}

#[test]
fn predecessor_serves_clients_again_after_successor_is_killed() {
    run_with_passed_socket(
        1,
        r#"
        send c1 POST /book Request-Id:a1 Request-Timeout:20
        expect h1 POST /book Request-Id:a1
        send h1 202
        start successor
        send program KILL
        send c2 GET /up
        expect c2 200
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        start successor
        send c3 POST /look Request-Id:a2 Request-Timeout:20
        expect h1.2 POST /look Request-Id:a2
        "#,
    );
}

#[test]
fn successor_serves_though_stopped_predecessor_sends_no_handover() {
    run_with_passed_socket(
        2,
        r#"
        close h2
        send c1 POST /book Request-Id:a1 Request-Timeout:20
        expect h1 POST /book Request-Id:a1
        send h1 202
        send program STOP
        start successor
        send c2 GET /up
        expect c2 200
        send predecessor CONT
        expect program requests are open at the predecessor
        send c2 POST /look Request-Id:a1 Request-Timeout:20
        expect c2 409
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        "#,
    );
}

#[test]
fn request_that_outlives_predecessor_is_answered_by_successor() {
    // The job runs past the predecessor's exit: its client connection and its callbacks go on at the successor.
    run_with_passed_socket(
        1,
        r#"
        send c1 POST /book Request-Id:a1 Request-Timeout:20
        expect h1 POST /book Request-Id:a1
        send h1 202
        start successor
        send predecessor TERM
        wait predecessor
        expect program the link to the Predecessor process is closed
        send c2 POST /look Request-Id:a1 Request-Timeout:20
        expect c2 409
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        send c1 POST /look Request-Id:a2 Request-Timeout:20
        expect h1.2 POST /look Request-Id:a2
        "#,
    );
}

#[test]
fn ending_successor_forwards_callbacks_until_predecessor_is_done() {
    // Both processes get SIGTERM: the predecessor's callbacks arrive at the successor, which has no requests of its own.
    run_with_passed_socket(
        1,
        r#"
        send c1 POST /book Request-Id:a1 Request-Timeout:20
        expect h1 POST /book Request-Id:a1
        send h1 202
        start successor
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"started"}
        expect n1 200
        send c2 GET /up
        expect c2 200
        send predecessor TERM
        send program TERM
        wait c2
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        wait predecessor
        wait program
        "#,
    );
}
