//! Tests of the worker list's lease, for lists pushed by the agent on the program's own machine and lists watched at a
//! shared discovery service: silent, closed and refused watches, and the requests that may be sent meanwhile. The drain
//! grace is 0.5 s: a scheduler may send to a draining worker for half a second after it was notified of the drain.

#[allow(dead_code, reason = "each test program uses some of the script steps")]
mod scenario;

use scenario::{Setup, run_with_pushed_list};

#[test]
fn list_pushed_at_start_is_used_though_indented_and_split_over_chunks() {
    run_with_pushed_list(
        1,
        false,
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk {\n  "seq": 42,\n  "whole": false,\n  "hosts": [\n
        send d chunk     {\n      "host": "h9", "dial": "nonsense"\n    },\n    {\n      "host": "h1", "dial": "127.0.0.1:9",\n
        send d chunk       "site": "north", "class": "big", "block": 0, "health": "terminating",\n      "share": 1.0,
        send d chunk  "born_ms": 0\n    }\n  ]\n}\n
        expect program a line of the list is dropped
        send c1 POST /look Request-Id:a1 Request-Timeout:900
        expect c1 503
        "#,
    );
}

#[test]
fn silent_watch_is_reopened_and_read_until_the_new_one_answers() {
    run_with_pushed_list(
        1,
        false,
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        expect d.2 GET /discovery/hosts?watch=1&from=41
        send d chunk {"seq":42,"whole":false,"hosts":[{"host":"h9","dial":"nonsense"}]}\n
        expect program a line of the list is dropped
        send d.2 watch
        send d.2 chunk \n
        wait d
        send c1 POST /look Request-Id:a1 Request-Timeout:900
        expect h1 POST /look Request-Id:a1
        "#,
    );
}

#[test]
fn watch_that_fails_repeatedly_is_reopened_each_time() {
    run_with_pushed_list(
        1,
        false,
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        close d
        expect d.2 GET /discovery/hosts?watch=1&from=41
        send d.2 503
        expect d.3 GET /discovery/hosts?watch=1&from=41
        send d.3 raw nonsense\r\n\r\n
        expect d.4 GET /discovery/hosts?watch=1&from=41
        send d.4 watch
        send d.4 chunk {"seq":42,"whole":false,"hosts":[]}\n
        close d.4
        expect d.5 GET /discovery/hosts?watch=1&from=42
        "#,
    );
}

#[test]
fn silent_agent_stops_new_sends_until_its_next_message() {
    // h1's drain and h2's failure fall into the silence. The scheduler cannot know which changes were announced, so it
    // sends no new request to any worker, and waits for the attempt in flight.
    run_with_pushed_list(
        2,
        false,
        r#"
        close h2
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        send c1 POST /book Request-Id:a1 Request-Timeout:900 Work-Hint:20000000
        expect h1 POST /book Request-Id:a1
        send h1 202
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"started"}
        expect n1 200
        expect d.2 GET /discovery/hosts?watch=1&from=41
        expect d.3 GET /discovery/hosts?watch=1&from=41
        expect d.4 GET /discovery/hosts?watch=1&from=41
        expect d.5 GET /discovery/hosts?watch=1&from=41
        expect d.6 GET /discovery/hosts?watch=1&from=41
        send c2 POST /look Request-Id:a2 Request-Timeout:900
        expect c2 503
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        send d.6 watch
        send d.6 chunk {"seq":43,"whole":false,"hosts":[{"host":"h2","dial":"127.0.0.1:9","site":"north","class":"big","health":"terminated"}]}\n
        send d.6 chunk {"seq":44,"whole":false,"hosts":[{"host":"h9","dial":"nonsense"}]}\n
        expect program a line of the list is dropped
        send c2 POST /look Request-Id:a3 Request-Timeout:900
        expect h1.2 POST /look Request-Id:a3
        "#,
    );
}

#[test]
fn list_older_than_the_configured_one_is_ignored() {
    run_with_pushed_list(
        1,
        false,
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk {"seq":40,"whole":true,"hosts":[]}\n
        expect program the list is older than the one that is known
        send c1 POST /look Request-Id:a1 Request-Timeout:900
        expect h1 POST /look Request-Id:a1
        expect d.2 GET /discovery/hosts?watch=1&from=41
        "#,
    );
}

#[test]
fn predecessor_and_successor_each_have_their_own_list_lease() {
    // The predecessor's watch gets messages and the successor's watch does not. The successor accepts the clients, and
    // must not send requests on a list whose lease has ended.
    run_with_pushed_list(
        1,
        true,
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk {"seq":42,"whole":false,"hosts":[]}\n
        send c1 POST /look Request-Id:a1 Request-Timeout:900
        expect h1 POST /look Request-Id:a1
        send h1 202
        start successor
        send o2 raw PING\n
        expect o2 done
        expect d.2 GET /discovery/hosts?watch=1&from=42
        expect d.3 GET /discovery/hosts?watch=1&from=42
        send d chunk \n
        send c2 POST /look Request-Id:a2 Request-Timeout:900
        expect c2 503
        send d.3 watch
        send d.3 chunk {"seq":43,"whole":false,"hosts":[{"host":"h9","dial":"nonsense"}]}\n
        expect program a line of the list is dropped
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        send c2 POST /look Request-Id:a3 Request-Timeout:900
        expect h1.2 POST /look Request-Id:a3
        "#,
    );
}

#[test]
fn reload_in_an_outage_extends_the_list_by_4_s_for_the_new_agent() {
    run_with_pushed_list(
        1,
        false,
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        expect d.2 GET /discovery/hosts?watch=1&from=41
        send file d2
        send program HUP
        expect d2 GET /discovery/hosts?watch=1&from=41
        send c1 POST /look Request-Id:a1 Request-Timeout:900
        expect h1 POST /look Request-Id:a1
        send h1 202
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 | r1
        expect d2.2 GET /discovery/hosts?watch=1&from=41
        expect d2.3 GET /discovery/hosts?watch=1&from=41
        expect d2.4 GET /discovery/hosts?watch=1&from=41
        expect d2.5 GET /discovery/hosts?watch=1&from=41
        expect d2.6 GET /discovery/hosts?watch=1&from=41
        send c1 POST /look Request-Id:a2 Request-Timeout:900
        expect c1 503
        send d2.6 watch
        send d2.6 chunk {"seq":50,"whole":false,"hosts":[{"host":"h9","dial":"nonsense"}]}\n
        expect program a line of the list is dropped
        send c1 POST /look Request-Id:a3 Request-Timeout:900
        expect h1.2 POST /look Request-Id:a3
        "#,
    );
}

#[test]
fn late_clients_after_sigterm_are_answered_or_disconnected() {
    // An idle client connection is closed. A client with an open request gets its answer with `Connection: close`, however
    // late the answer is.
    run_with_pushed_list(
        1,
        false,
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        send c1 POST /look Request-Id:a1 Request-Timeout:900
        expect h1 POST /look Request-Id:a1
        send h1 202
        send c2 GET /up
        expect c2 200
        send program TERM
        send c3 GET /up
        expect c3 503
        send c2 POST /look Request-Id:a2 Request-Timeout:900
        expect c2 503
        wait c2
        wait c3
        send n1 POST /_jobs/news | {"id":"a1","from":"h1","state":"done","result":"r1"}
        expect n1 200
        expect c1 200 Connection:close | r1
        wait c1
        wait program
        "#,
    );
}

/// Runs a script against a program that watches the list at a shared discovery service. The aim of the class `look` is
/// 15 s, so that a job may wait, and the drain grace is 0.5 s.
fn run_with_watched_list(script: &str) {
    let settings =
        [("/settings/request_classes/0/aim_us", "15000000"), ("/settings/rules/drain_grace_us", "500000")];
    Setup { settings: &settings, ..Setup::default() }.run(script);
}

/// Like [`run_with_watched_list`], but without probes: a connection to a worker then always carries a request, so that
/// `none h1` shows that no request was sent.
fn run_with_watched_list_without_probes(script: &str) {
    let settings = [
        ("/settings/request_classes/0/aim_us", "15000000"),
        ("/settings/rules/drain_grace_us", "500000"),
        ("/settings/ceilings/probes", "false"),
    ];
    Setup { settings: &settings, ..Setup::default() }.run(script);
}

#[test]
fn refused_watches_are_retried_soon_and_the_list_stays_valid() {
    // While discovery is unreachable no change counts as notified, so the lease continues. The program retries often enough
    // to reach discovery soon after its return: eight watches within 12.5 s.
    run_with_watched_list(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        close d
        mark
        expect d.2 GET /discovery/hosts?watch=1&from=41
        send d.2 503
        expect d.3 GET /discovery/hosts?watch=1&from=41
        close d.3
        expect d.4 GET /discovery/hosts?watch=1&from=41
        send d.4 503
        expect d.5 GET /discovery/hosts?watch=1&from=41
        close d.5
        expect d.6 GET /discovery/hosts?watch=1&from=41
        send d.6 503
        expect d.7 GET /discovery/hosts?watch=1&from=41
        send d.7 503
        expect d.8 GET /discovery/hosts?watch=1&from=41
        send d.8 503
        expect d.9 GET /discovery/hosts?watch=1&from=41
        within 12500
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        "#,
    );
}

#[test]
fn unanswered_watches_stop_sends_to_workers_that_may_drain() {
    // The watch falls silent, and the watches that replace it are never answered. A missed drain counts as notified 6 s
    // after the silence began, and the drain grace adds 0.5 s. After that the worker gets no request until discovery's
    // next message.
    run_with_watched_list(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        expect d.2 GET /discovery/hosts?watch=1&from=41
        wait d.2
        expect d.3 GET /discovery/hosts?watch=1&from=41
        wait d.3
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect c1 503
        expect d.4 GET /discovery/hosts?watch=1&from=41
        send d.4 watch
        send d.4 chunk {"seq":42,"whole":false,"hosts":[]}\n
        send d.4 chunk {"seq":43,"whole":false,"hosts":[{"host":"h9","dial":"nonsense"}]}\n
        expect program a line of the list is dropped
        send c1 POST /look Request-Id:a2 Request-Timeout:20
        expect h1 POST /look Request-Id:a2
        "#,
    );
}

#[test]
fn watch_closed_before_a_drain_is_reopened_within_2_s() {
    run_with_watched_list(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        close d
        mark
        expect d.2 GET /discovery/hosts?watch=1&from=41
        within 2000
        send d.2 watch
        send d.2 chunk {"seq":42,"whole":false,"hosts":[{"host":"h1","dial":"127.0.0.1:9","site":"north","class":"big","health":"terminating"}]}\n
        send d.2 chunk {"seq":43,"whole":false,"hosts":[{"host":"h9","dial":"nonsense"}]}\n
        expect program a line of the list is dropped
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect c1 503
        "#,
    );
}

/// A list change that drains `h1`, and a change with an invalid member, which the program logs.
const DRAIN: &str = r#"{"seq":42,"whole":false,"hosts":[{"host":"h1","dial":"127.0.0.1:9","site":"north","class":"big","health":"terminating"}]}\n{"seq":43,"whole":false,"hosts":[{"host":"h9","dial":"nonsense"}]}\n"#;

#[test]
fn drain_after_an_outage_takes_effect_with_the_first_answered_watch() {
    run_with_watched_list(&format!(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        close d
        expect d.2 GET /discovery/hosts?watch=1&from=41
        send d.2 503
        expect d.3 GET /discovery/hosts?watch=1&from=41
        close d.3
        mark
        expect d.4 GET /discovery/hosts?watch=1&from=41
        within 2500
        send d.4 watch
        send d.4 chunk {DRAIN}
        expect program a line of the list is dropped
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect c1 503
        none h1
        "#
    ));
}

#[test]
fn reload_in_an_outage_watches_the_new_discovery_at_once() {
    // The old discovery service refuses each watch; the new one announces a drain in its first message.
    run_with_watched_list(&format!(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d 503
        expect d.2 GET /discovery/hosts?watch=1&from=41
        send d.2 503
        send file d2
        send program HUP
        mark
        expect d2 GET /discovery/hosts?watch=1&from=41
        within 2500
        send d2 watch
        send d2 chunk {DRAIN}
        expect program a line of the list is dropped
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect c1 503
        none h1
        "#
    ));
}

#[test]
fn restarted_process_sends_nothing_before_its_list_is_confirmed() {
    // The configuration still names a worker that left while the process was down, and the first watch may be seconds
    // away, as in a fleet whose processes all start together. The worker's address is in use by another process, as
    // after the loss of a zone.
    let settings = [
        ("/settings/request_classes/0/aim_us", "15000000"),
        ("/settings/rules/drain_grace_us", "500000"),
        ("/settings/rules/ask_every_us", "8000000"),
        // Without probes, a connection to a worker always carries a request.
        ("/settings/ceilings/probes", "false"),
    ];
    Setup { workers: 2, settings: &settings, ..Setup::default() }.run(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        close h2
        restart program
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect c1 503
        none h1
        expect d.2 GET /discovery/hosts?watch=1&from=41
        send d.2 watch
        send d.2 chunk {"seq":42,"whole":false,"hosts":[{"host":"h1","dial":"127.0.0.1:9","site":"north","class":"big","health":"terminated"}]}\n{"seq":43,"whole":false,"hosts":[{"host":"h9","dial":"nonsense"}]}\n
        expect program a line of the list is dropped
        send c1 POST /look Request-Id:a2 Request-Timeout:20
        expect c1 503
        none h1
        "#,
    );
}

#[test]
fn incomplete_change_followed_by_empty_lines_does_not_confirm_the_list() {
    run_with_watched_list_without_probes(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        mark
        send d chunk {"seq":42,"whole":false,"hosts":[{"host":"h1","dial":"127.0.0.1:9","site":"north",
        until 1500
        send d chunk \n
        until 3000
        send d chunk \n
        until 4500
        send d chunk \n
        expect d.2 GET /discovery/hosts?watch=1&from=41
        within 9000
        until 7000
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect c1 503
        none h1
        "#,
    );
}

#[test]
fn repeated_reloads_do_not_extend_an_unconfirmed_list() {
    // The reloads switch between two discovery services, and neither of them answers.
    run_with_watched_list_without_probes(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        mark
        send file d2
        send program HUP
        until 2000
        send file d
        send program HUP
        until 4000
        send file d2
        send program HUP
        until 6000
        send file d
        send program HUP
        until 7500
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect c1 503
        none h1
        "#,
    );
}

#[test]
fn input_left_unread_while_the_process_was_stopped_does_not_confirm_the_list() {
    // The process is stopped for 4 s, longer than the silence timeout. An empty line arrives at the start of that time
    // and is read at its end.
    run_with_watched_list_without_probes(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        expect program discovery: the list is confirmed
        mark
        send program STOP
        send d chunk \n
        until 4000
        send program CONT
        expect program input that stayed unread past its deadline does not confirm the list
        expect d.2 GET /discovery/hosts?watch=1&from=41
        until 7000
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect c1 503
        none h1
        "#,
    );
}

/// Steps with which the scheduler of rank 1 answers the program's first eight questions about the list. Each answer
/// contains the digest of that scheduler's list and an age of 10 ms.
fn peer_answers(digest: u64) -> String {
    let digest_bytes = digest.to_le_bytes().map(|byte| byte.to_string()).join(",");
    (1..=8).map(|number| format!("send p 241,2,{number},0,{digest_bytes},10,0,0,0\n")).collect()
}

/// The digest of the initial list: the first eight bytes of the SHA-256 of its one line.
const INITIAL_LIST_DIGEST: u64 = 0xab15_4778_0329_aace;

#[test]
fn peer_with_the_same_list_confirms_it_when_discovery_is_silent() {
    let answers = peer_answers(INITIAL_LIST_DIGEST);
    run_with_watched_list_without_probes(&format!(
        r#"
        take d
        expect p 241,1,1,0
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect c1 503
        none h1
        {answers}
        expect program verdict=Confirmed
        send c1 POST /look Request-Id:a2 Request-Timeout:20
        expect h1 POST /look Request-Id:a2
        "#
    ));
}

#[test]
fn refused_watches_do_not_extend_the_lease_once_a_peer_has_a_newer_list() {
    let answers = peer_answers(!INITIAL_LIST_DIGEST);
    run_with_watched_list_without_probes(&format!(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        close d
        mark
        expect d.2 GET /discovery/hosts?watch=1&from=41
        send d.2 503
        expect d.3 GET /discovery/hosts?watch=1&from=41
        send d.3 503
        until 4600
        {answers}
        expect program verdict=Behind
        expect d.4 GET /discovery/hosts?watch=1&from=41
        send d.4 503
        expect d.5 GET /discovery/hosts?watch=1&from=41
        send d.5 503
        expect d.6 GET /discovery/hosts?watch=1&from=41
        send d.6 503
        expect d.7 GET /discovery/hosts?watch=1&from=41
        send d.7 503
        until 12500
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect c1 503
        none h1
        "#
    ));
}

/// Known failure. Without peer messages, discovery has returned and announces a drain, but refuses this one scheduler
/// repeatedly because too many callers connect. The scheduler goes on sending to the draining worker, although a change
/// counts as notified 6 s after discovery had it and was reachable.
///
/// A refusal for overload and a refusal in an outage are the same on the wire (a 503 after a wait).
/// `ListLease::watch_failed` takes each for an outage and postpones the end of the lease, and no peer message shows
/// otherwise. After 16 refusals, at least 8 s after discovery's last message where 6.5 s are allowed, the request is
/// still sent to `h1`.
#[test]
fn where_nobody_may_talk_calls_that_are_refused_give_the_list_no_more_time() {
    let settings = [
        ("/settings/request_classes/0/aim_us", "15000000"),
        ("/settings/rules/drain_grace_us", "500000"),
        ("/settings/ceilings/probes", "false"),
        ("/settings/ceilings/peers", "false"),
    ];
    Setup { settings: &settings, ..Setup::default() }.run(
        r#"
        expect d GET /discovery/hosts?watch=1&from=41
        send d watch
        send d chunk \n
        close d
        mark
        expect d.2 GET /discovery/hosts?watch=1&from=41
        send d.2 503
        expect d.3 GET /discovery/hosts?watch=1&from=41
        send d.3 503
        expect d.4 GET /discovery/hosts?watch=1&from=41
        send d.4 503
        expect d.5 GET /discovery/hosts?watch=1&from=41
        send d.5 503
        expect d.6 GET /discovery/hosts?watch=1&from=41
        send d.6 503
        expect d.7 GET /discovery/hosts?watch=1&from=41
        send d.7 503
        expect d.8 GET /discovery/hosts?watch=1&from=41
        send d.8 503
        expect d.9 GET /discovery/hosts?watch=1&from=41
        send d.9 503
        expect d.10 GET /discovery/hosts?watch=1&from=41
        send d.10 503
        expect d.11 GET /discovery/hosts?watch=1&from=41
        send d.11 503
        expect d.12 GET /discovery/hosts?watch=1&from=41
        send d.12 503
        expect d.13 GET /discovery/hosts?watch=1&from=41
        send d.13 503
        expect d.14 GET /discovery/hosts?watch=1&from=41
        send d.14 503
        expect d.15 GET /discovery/hosts?watch=1&from=41
        send d.15 503
        expect d.16 GET /discovery/hosts?watch=1&from=41
        send d.16 503
        expect d.17 GET /discovery/hosts?watch=1&from=41
        send d.17 503
        after 6700
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect c1 503
        none h1
        "#,
    );
}
