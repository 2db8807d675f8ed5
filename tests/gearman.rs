//! End-to-end tests of the Gearman port with clients and workers on real sockets, as scripts for the `scenario` module.

#[allow(dead_code, reason = "each test program uses some of the script steps")]
mod scenario;

use scenario::run_with_operator_file;

#[test]
fn grabbed_job_forwards_status_data_warning_and_result() {
    run_with_operator_file(
        0,
        "",
        r#"
        send w1 CAN_DO look
        send w1 GRAB_JOB
        expect w1 NO_JOB
        send w1 PRE_SLEEP
        send w1 ECHO_REQ | there
        expect w1 ECHO_RES | there
        send g1 SUBMIT_JOB look u1 | the load\0with a zero
        expect g1 JOB_CREATED $job
        expect w1 NOOP
        send g1 GET_STATUS $job
        expect g1 STATUS_RES $job 1 0 0 0
        send w1 GRAB_JOB_UNIQ
        expect w1 JOB_ASSIGN_UNIQ $job look u1 | the load\0with a zero
        send w1 WORK_STATUS $job 2 | 5
        expect g1 WORK_STATUS $job 2 | 5
        send g1 GET_STATUS $job
        expect g1 STATUS_RES $job 1 1 2 5
        send g1 GET_STATUS_UNIQUE u1
        expect g1 STATUS_RES_UNIQUE u1 1 1 2 5 1
        send w1 WORK_DATA $job | a part
        expect g1 WORK_DATA $job | a part
        send w1 WORK_WARNING $job | a worry
        expect g1 WORK_WARNING $job | a worry
        send w1 WORK_COMPLETE $job | r1
        expect g1 WORK_COMPLETE $job | r1
        send g1 GET_STATUS $job
        expect g1 STATUS_RES $job 0 0 0 0
        send w1 WORK_COMPLETE $job | again
        expect w1 ERROR JOB_NOT_FOUND *
        "#,
    );
}

#[test]
fn non_idempotent_job_fails_when_its_worker_disconnects() {
    run_with_operator_file(
        0,
        "",
        r#"
        ready w1 book
        send g1 OPTION_REQ exceptions
        expect g1 OPTION_RES exceptions
        send g1 SUBMIT_JOB book ~ | first
        expect g1 JOB_CREATED $job
        pull w1 JOB_ASSIGN $job book | first
        ready w2 book
        close w1
        expect g1 WORK_EXCEPTION $job *
        expect g1 WORK_FAIL $job
        send g1 SUBMIT_JOB book ~ | second
        expect g1 JOB_CREATED $next
        pull w2 JOB_ASSIGN $next book | second
        "#,
    );
}

#[test]
fn job_of_woken_worker_that_never_grabs_it_goes_to_another() {
    // w1 leaves between NOOP and JOB_ASSIGN, and w2 sends no GRAB_JOB: neither ran the job, so that even a job that
    // must not run twice is sent to w3.
    run_with_operator_file(
        0,
        "",
        r#"
        ready w1 book
        send g1 SUBMIT_JOB book ~ | body
        expect g1 JOB_CREATED $job
        expect w1 NOOP
        ready w2 book
        close w1
        expect w2 NOOP
        send w3 CAN_DO book
        send w3 PRE_SLEEP
        pull w3 JOB_ASSIGN $again book | body
        send w3 WORK_COMPLETE $again | r1
        expect g1 WORK_COMPLETE $job | r1
        send w2 GRAB_JOB
        expect w2 NO_JOB
        "#,
    );
}

#[test]
fn safe_job_is_resent_after_timeout_and_late_result_is_ignored() {
    run_with_operator_file(
        0,
        "",
        r#"
        send w1 CAN_DO_TIMEOUT look | 1
        send w1 PRE_SLEEP
        send w1 ECHO_REQ | there
        expect w1 ECHO_RES | there
        send g1 SUBMIT_JOB look ~ | body
        expect g1 JOB_CREATED $job
        pull w1 JOB_ASSIGN $job look | body
        send w2 CAN_DO look
        send w2 PRE_SLEEP
        pull w2 JOB_ASSIGN $again look | body
        send w1 WORK_COMPLETE $job | late
        send w1 WORK_COMPLETE $again | forged
        expect w1 ERROR JOB_NOT_FOUND *
        send w2 WORK_COMPLETE $again | r1
        expect g1 WORK_COMPLETE $job | r1
        "#,
    );
}

#[test]
fn failed_non_idempotent_job_is_not_sent_again() {
    run_with_operator_file(
        0,
        "",
        r#"
        ready w1 book
        send g1 OPTION_REQ exceptions
        expect g1 OPTION_RES exceptions
        send g1 SUBMIT_JOB book ~ | body
        expect g1 JOB_CREATED $job
        pull w1 JOB_ASSIGN $job book | body
        send w1 WORK_EXCEPTION $job | out of paper
        send w1 WORK_FAIL $job
        expect g1 WORK_EXCEPTION $job | out of paper
        expect g1 WORK_FAIL $job
        send w1 GRAB_JOB
        expect w1 NO_JOB
        "#,
    );
}

#[test]
fn lane_stays_occupied_after_client_leaves_until_job_ends() {
    run_with_operator_file(
        0,
        "",
        r#"
        ready w1 look
        send g1 SUBMIT_JOB look ~ | first
        expect g1 JOB_CREATED $first
        pull w1 JOB_ASSIGN $first look | first
        close g1
        expect program attempt ended
        send g2 SUBMIT_JOB look ~ | second
        expect g2 ERROR BUSY *
        send w1 GRAB_JOB
        expect w1 NO_JOB
        send w1 WORK_COMPLETE $first | unheard
        send w1 PRE_SLEEP
        send w1 ECHO_REQ | done
        expect w1 ECHO_RES | done
        send g2 SUBMIT_JOB look ~ | third
        expect g2 JOB_CREATED $third
        pull w1 JOB_ASSIGN $third look | third
        "#,
    );
}

#[test]
fn background_job_survives_its_client_and_its_status_is_kept_for_recent_jobs() {
    run_with_operator_file(
        0,
        "",
        r#"
        ready w1 look
        send g1 SUBMIT_JOB_BG look ~ | one
        expect g1 JOB_CREATED $one
        close g1
        pull w1 JOB_ASSIGN $one look | one
        send w1 WORK_STATUS $one 1 | 4
        send w1 ECHO_REQ | sync
        expect w1 ECHO_RES | sync
        send g2 GET_STATUS $one
        expect g2 STATUS_RES $one 1 1 1 4
        send w1 WORK_COMPLETE $one | unheard
        send w1 GRAB_JOB
        expect w1 NO_JOB
        send g2 GET_STATUS $one
        expect g2 STATUS_RES $one 1 0 1 1
        send w1 PRE_SLEEP
        send w1 ECHO_REQ | sync
        expect w1 ECHO_RES | sync
        send g2 SUBMIT_JOB_HIGH_BG look ~ | two
        expect g2 JOB_CREATED $two
        expect w1 NOOP
        send w1 GRAB_JOB_ALL
        expect w1 JOB_ASSIGN_ALL $two look ~ ~ | two
        send w1 WORK_COMPLETE $two | unheard
        send w1 GRAB_JOB
        expect w1 NO_JOB
        send w1 PRE_SLEEP
        send w1 ECHO_REQ | sync
        expect w1 ECHO_RES | sync
        send g2 SUBMIT_JOB_LOW_BG look ~ | three
        expect g2 JOB_CREATED $three
        pull w1 JOB_ASSIGN $three look | three
        send w1 WORK_COMPLETE $three | unheard
        send w1 GRAB_JOB
        expect w1 NO_JOB
        send g2 GET_STATUS $three
        expect g2 STATUS_RES $three 1 0 1 1
        send g2 GET_STATUS $one
        expect g2 STATUS_RES $one 0 0 0 0
        "#,
    );
}

#[test]
fn submissions_with_same_function_and_unique_id_share_one_run() {
    run_with_operator_file(
        0,
        "",
        r#"
        ready w1 book
        send g1 SUBMIT_JOB book same | body
        expect g1 JOB_CREATED $job
        send g2 SUBMIT_JOB book same | other words
        expect g2 JOB_CREATED $job
        send g3 SUBMIT_JOB book - | body
        expect g3 JOB_CREATED $other
        send g4 SUBMIT_JOB book - | body
        expect g4 JOB_CREATED $other
        expect w1 NOOP
        send w1 GRAB_JOB_UNIQ
        expect w1 JOB_ASSIGN_UNIQ $job book same | body
        send w1 WORK_COMPLETE $job | r1
        expect g1 WORK_COMPLETE $job | r1
        expect g2 WORK_COMPLETE $job | r1
        send w1 GRAB_JOB
        expect w1 JOB_ASSIGN $other book | body
        send w1 WORK_COMPLETE $other | r2
        expect g3 WORK_COMPLETE $other | r2
        expect g4 WORK_COMPLETE $other | r2
        send w1 GRAB_JOB
        expect w1 NO_JOB
        "#,
    );
}

#[test]
fn worker_that_withdrew_abilities_gets_no_new_jobs() {
    run_with_operator_file(
        0,
        "",
        r#"
        send w1 CAN_DO look
        send w1 CAN_DO book
        send w1 PRE_SLEEP
        send w1 CANT_DO book
        send w1 ECHO_REQ | there
        expect w1 ECHO_RES | there
        send g1 SUBMIT_JOB book ~ | body
        expect g1 ERROR BUSY *
        send g1 SUBMIT_JOB look ~ | body
        expect g1 JOB_CREATED $job
        expect w1 NOOP
        ready w2 look
        send w1 RESET_ABILITIES
        send w1 GRAB_JOB
        expect w1 NO_JOB
        pull w2 JOB_ASSIGN $again look | body
        send w2 WORK_COMPLETE $again | r1
        expect g1 WORK_COMPLETE $job | r1
        "#,
    );
}

#[test]
fn newly_connected_worker_is_cold() {
    // With a start capacity of 0.01 for one hour, a cold worker may be sent no job.
    run_with_operator_file(
        0,
        r#"workers cold="1h" start-capacity=0.01 fall-multiple=1.0 fall-window="10ms""#,
        r#"
        send w1 SET_CLIENT_ID w
        ready w1 look
        send g1 SUBMIT_JOB look ~ | body
        expect g1 ERROR BUSY *
        "#,
    );
}

#[test]
fn gearman_and_http_jobs_run_on_workers_of_the_other_protocol() {
    run_with_operator_file(
        1,
        "",
        r#"
        send g1 SUBMIT_JOB book u1 | from gearman
        expect g1 JOB_CREATED $job
        expect h1 POST /book Request-Id:* Request-Class:book Request-Function:book | from gearman
        ready w1 book
        send c1 POST /book Request-Id:a2 Request-Timeout:9 | from http
        expect w1 NOOP
        send w1 GRAB_JOB_UNIQ
        expect w1 JOB_ASSIGN_UNIQ $other book a2 | from http
        send w1 WORK_DATA $other | one,
        send w1 WORK_DATA $other | two,
        send w1 WORK_COMPLETE $other | three
        expect c1 200 | one,two,three
        close h1
        expect g1 WORK_FAIL $job
        "#,
    );
}

#[test]
fn jobs_go_only_to_workers_with_the_function_and_protocol() {
    run_with_operator_file(
        1,
        r#"
        function "look" class="look"
        function "glance" class="look" low="book2"
        class "book2" aim="1s" give-up="9s" effect="safe"
        "#,
        r#"
        ready w1 look
        send g1 SUBMIT_JOB glance ~ | body
        expect g1 ERROR BUSY *
        send g1 SUBMIT_JOB_LOW look ~ | body
        expect g1 JOB_CREATED *
        expect w1 NOOP
        send c1 POST /look Request-Id:a1 Request-Timeout:9 | from http
        expect h1 POST /look Request-Id:a1
        "#,
    );
}

#[test]
fn invalid_packets_get_errors_and_leave_other_connections_unaffected() {
    run_with_operator_file(
        0,
        "",
        r#"
        ready w1 look
        send g1 raw \0RES\0\0\0\x07\0\0\0\0
        expect g1 ERROR BAD_PACKET *
        wait g1
        send g2 raw \0REQ\0\0\0\x07\xff\xff\xff\xff
        expect g2 ERROR BAD_PACKET *
        wait g2
        send g3 raw \0REQ\0\0\0\x63\0\0\0\x02ab
        expect g3 ERROR BAD_PACKET *
        send g3 SUBMIT_JOB look ~
        expect g3 ERROR BAD_PACKET *
        send g3 GRAB_JOB | more than nothing
        expect g3 ERROR BAD_PACKET *
        send g3 SUBMIT_JOB never ~ | body
        expect g3 ERROR UNKNOWN_FUNCTION *
        send g3 SUBMIT_JOB_EPOCH look ~ 7 | body
        expect g3 ERROR NOT_SUPPORTED *
        send g3 SUBMIT_REDUCE_JOB look ~ join | body
        expect g3 ERROR NOT_SUPPORTED *
        send g3 JOB_ASSIGN H:1 look | body
        expect g3 ERROR UNEXPECTED_PACKET *
        send g3 OPTION_REQ speed
        expect g3 ERROR UNKNOWN_OPTION *
        send g3 WORK_COMPLETE H:nobody:1 | mine
        expect g3 ERROR JOB_NOT_FOUND *
        send g3 CAN_DO_TIMEOUT look | soon
        expect g3 ERROR BAD_TIMEOUT *
        send g3 SET_CLIENT_ID | \x07
        expect g3 ERROR BAD_CLIENT_ID *
        send g3 SUBMIT_JOB look ~ | #66000
        expect g3 ERROR TOO_LARGE *
        send g4 raw \0REQ\0\0\0\x07\0\0\0\x09lo
        expect g4 ERROR TOO_SLOW *
        wait g4
        send g5 text never heard of
        expect g5 text ERR UNKNOWN_COMMAND unknown server command
        send g5 raw a line without an end
        expect g5 ERROR TOO_SLOW *
        wait g5
        send g6 raw \0
        send g6 raw REQ\0\0
        send g6 raw \0\x10\0\0\0\x02h
        send g6 raw i
        expect g6 ECHO_RES hi
        send g7 SUBMIT_JOB look ~ | body
        expect g7 JOB_CREATED $job
        pull w1 JOB_ASSIGN $job look | body
        "#,
    );
}

#[test]
fn text_protocol_reports_and_changes_state() {
    run_with_operator_file(
        0,
        "",
        r#"
        send w1 SET_CLIENT_ID shelf
        ready w1 look
        send g1 SUBMIT_JOB look u7 | body
        expect g1 JOB_CREATED $job
        pull w1 JOB_ASSIGN $job look | body
        send o1 raw INFO\n
        expect o1 scheduler.gearman.connections=2
        expect o1 scheduler.gearman.workers=1
        expect o1 scheduler.gearman.jobs=1
        send g2 text status
        expect g2 text look\t1\t1\t1
        expect g2 text book\t0\t0\t0
        expect g2 text .
        send g2 text version
        expect g2 text OK 0.1.0
        send g2 text show jobs
        expect g2 text $job\t0\t0\t0
        send g2 text show unique jobs
        expect g2 text u7
        send g2 text maxqueue look 1
        expect g2 text OK
        send g2 SUBMIT_JOB look ~ | one more
        expect g2 ERROR QUEUE_FULL *
        send g2 text cancel job $job
        expect g2 text OK
        expect g1 WORK_FAIL $job
        send g2 text cancel job $job
        expect g2 text ERR UNKNOWN_JOB no such job is open
        send g2 text shutdown graceful
        expect g2 text OK
        wait program
        "#,
    );
}

#[test]
fn admin_changes_are_refused_unless_operator_file_allows_them() {
    run_with_operator_file(
        0,
        r#"gearman listen="127.0.0.1:0""#,
        r#"
        send g1 text shutdown
        expect g1 text ERR NOT_ALLOWED the operator file does not let this port change anything
        send g1 text maxqueue look 1
        expect g1 text ERR NOT_ALLOWED the operator file does not let this port change anything
        send g1 ECHO_REQ | still there
        expect g1 ECHO_RES | still there
        "#,
    );
}

#[test]
fn drain_answers_accepted_jobs_and_refuses_new_ones() {
    run_with_operator_file(
        0,
        "",
        r#"
        ready w1 look
        send g1 SUBMIT_JOB look ~ | body
        expect g1 JOB_CREATED $job
        pull w1 JOB_ASSIGN $job look | body
        send g2 ECHO_REQ | there
        expect g2 ECHO_RES | there
        send o1 raw LAMEDUCK\n
        expect o1 done
        wait g2
        send g1 SUBMIT_JOB look ~ | late
        expect g1 ERROR DRAINING *
        send program TERM
        send w1 WORK_COMPLETE $job | r1
        expect g1 WORK_COMPLETE $job | r1
        wait program
        "#,
    );
}

#[test]
fn pipelined_packets_are_answered_in_order_without_blocking_others() {
    run_with_operator_file(
        0,
        "",
        r#"
        ready w1 look
        send g1 times 900 ECHO_REQ | a
        send g2 times 300 SUBMIT_JOB never ~ | b
        send g3 SUBMIT_JOB look ~ | body
        expect g3 JOB_CREATED $job
        pull w1 JOB_ASSIGN $job look | body
        send w1 WORK_COMPLETE $job | r1
        expect g3 WORK_COMPLETE $job | r1
        expect g1 times 900 ECHO_RES | a
        expect g2 times 300 ERROR UNKNOWN_FUNCTION *
        "#,
    );
}

#[test]
fn submission_is_answered_before_later_packets() {
    run_with_operator_file(
        0,
        "",
        r#"
        send g1 raw \0REQ\0\0\0\x07\0\0\0\x06look\0\0\0REQ\0\0\0\x10\0\0\0\x01e
        expect g1 ERROR BUSY *
        expect g1 ECHO_RES e
        "#,
    );
}

#[test]
fn client_that_does_not_read_is_closed_and_its_jobs_abandoned() {
    run_with_operator_file(
        0,
        "",
        r#"
        ready w1 look
        send g1 SUBMIT_JOB look ~ | body
        expect g1 JOB_CREATED $job
        pull w1 JOB_ASSIGN $job look | body
        send w1 times 400 WORK_DATA $job | #60000
        expect program closing a Gearman connection that does not read
        send w1 WORK_COMPLETE $job | unheard
        send w1 GRAB_JOB
        expect w1 NO_JOB
        "#,
    );
}

// Guards against review case 8: a keyed job that came over Gearman reaches HTTP workers without the key by which they drop a
// repeat, and runs twice after a reset.
#[test]
fn keyed_job_of_a_gearman_client_carries_its_key_to_http_workers() {
    let operator = r#"
        class "move" aim="900ms" stretch=2.0 give-up="20s" effect="keyed" remembered="40s"
        function "move" class="move" takes-http=#true on-http=#true
        function "look" class="look" takes-http=#true on-http=#true
        "#;
    run_with_operator_file(
        1,
        operator,
        r#"
        send g1 SUBMIT_JOB move ~ | x
        expect g1 JOB_CREATED *
        expect h1 POST /move Idempotency-Key:*
        "#,
    );
}

// Guards the same the other way round: the key of a keyed HTTP job is its unique id at a Gearman worker.
#[test]
fn keyed_job_of_an_http_client_has_its_key_as_unique_id_at_gearman_workers() {
    let operator = r#"
        class "move" aim="900ms" stretch=2.0 give-up="20s" effect="keyed" remembered="40s"
        function "move" class="move" takes-http=#true on-http=#true
        "#;
    run_with_operator_file(
        0,
        operator,
        r#"
        ready w1 move
        send c1 POST /move Request-Id:a1 Idempotency-Key:k1 Request-Timeout:9 | x
        expect w1 NOOP
        send w1 GRAB_JOB_UNIQ
        expect w1 JOB_ASSIGN_UNIQ * move k1 | x
        "#,
    );
}
