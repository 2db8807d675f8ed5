//! Lists that are pushed: the watch at the agent on the program's own machine, its silence, its end, and what may be sent
//! meanwhile. In these settings a scheduler may go on for half a second after it was told of a drain.

#[allow(dead_code, reason = "each test program uses a part of the language")]
mod scenario;

use scenario::{Setup, run_with_pushed_list};

#[test]
fn a_list_pushed_before_the_start_counts_and_may_come_indented_in_pieces() {
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
fn a_watch_that_stays_silent_is_begun_anew_and_read_until_the_new_one_speaks() {
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
fn a_watch_that_ends_at_once_again_and_again_is_begun_again() {
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
fn while_the_agent_is_silent_for_long_nothing_new_is_sent_and_its_return_counts_at_once() {
    // The drain of h1 and the death of h2 fall into the silence: what was told is unknown, so nobody gets anything new,
    // and what is out is waited for.
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
fn a_list_older_than_the_configurations_brings_nothing_back() {
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
fn of_two_processes_of_an_upgrade_each_keeps_the_time_of_its_own_watch() {
    // The predecessor hears its agent; the successor, which takes what comes, does not: it sends nothing on an old list.
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
fn a_new_configuration_in_an_outage_gives_the_new_agent_4_s() {
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
fn a_client_that_sends_long_after_sigterm_is_served_or_its_connection_has_ended() {
    // One at rest is parted with; one with a job in work is told so with its answer, however late that is.
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

/// A list that is asked for, where the class's aim leaves a job time to wait, and half a second is left after a drain.
fn play_asked(script: &str) {
    let settings =
        [("/settings/request_classes/0/aim_us", "15000000"), ("/settings/rules/drain_grace_us", "500000")];
    Setup { settings: &settings, ..Setup::default() }.run(script);
}

/// The same, where workers are not probed: whoever connects to one has a request for it.
fn play_asked_without_probes(script: &str) {
    let settings = [
        ("/settings/request_classes/0/aim_us", "15000000"),
        ("/settings/rules/drain_grace_us", "500000"),
        ("/settings/ceilings/probes", "false"),
    ];
    Setup { settings: &settings, ..Setup::default() }.run(script);
}

#[test]
fn calls_that_are_refused_again_and_again_follow_each_other_soon_and_the_list_stays_in_force() {
    // Nothing counts as told while discovery cannot be reached; and at its return it is called at once.
    play_asked(
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
fn after_a_silent_watch_and_silent_calls_nothing_is_sent_to_who_may_have_begun_to_drain() {
    // The watch falls silent, and what takes its place is never answered: a drain that was missed counts 6 s after the
    // silence began, and these settings give half a second more. The worker gets nothing, the next word opens all again.
    play_asked(
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
fn a_watch_that_is_reset_before_a_drain_is_begun_anew_and_the_drain_heard_in_time() {
    play_asked(
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

/// A change of the list that lets `h1` drain, and one that is noticed in the log.
const DRAIN: &str = r#"{"seq":42,"whole":false,"hosts":[{"host":"h1","dial":"127.0.0.1:9","site":"north","class":"big","health":"terminating"}]}\n{"seq":43,"whole":false,"hosts":[{"host":"h9","dial":"nonsense"}]}\n"#;

#[test]
fn a_drain_in_the_first_second_after_an_outage_is_heard_with_the_first_call_that_is_answered() {
    play_asked(&format!(
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
fn a_new_configuration_in_an_outage_moves_the_calls_at_once_and_what_is_there_is_heard() {
    // The old discovery refuses; the new one has a drain from its first moment.
    play_asked(&format!(
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
fn a_restarted_process_sends_nothing_to_a_worker_that_left_while_it_was_away() {
    // Its configuration still names the worker, and its first call to discovery may be seconds away, as in a fleet that
    // starts at once. The worker's address is in use again, as after the loss of a zone.
    let settings = [
        ("/settings/request_classes/0/aim_us", "15000000"),
        ("/settings/rules/drain_grace_us", "500000"),
        ("/settings/rules/ask_every_us", "8000000"),
        // Whoever connects to a worker then has a request for it.
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
fn a_change_that_breaks_off_confirms_nothing_however_many_empty_lines_follow() {
    play_asked_without_probes(
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
fn new_configurations_in_a_row_do_not_keep_an_old_list_in_force() {
    // Each names another discovery, and none of them says a word.
    play_asked_without_probes(
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
fn what_lay_unread_while_the_process_stood_still_confirms_nothing() {
    // It stands still for longer than a silence. An empty line that came at the beginning of that is read at its end.
    play_asked_without_probes(
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

/// What another scheduler says of its list, as the answer to each of the first questions: the digest, and an age of 10 ms.
fn answers(digest: u64) -> String {
    let digest = digest.to_le_bytes().map(|byte| byte.to_string()).join(",");
    (1..=8).map(|number| format!("send p 241,2,{number},0,{digest},10,0,0,0\n")).collect()
}

/// The digest of the list that these scenarios begin with: the first eight bytes of the SHA-256 of its one line.
const SAME_LIST: u64 = 0xab15_4778_0329_aace;

#[test]
fn a_process_whose_call_is_not_answered_goes_by_a_scheduler_that_has_the_same_list() {
    let answers = answers(SAME_LIST);
    play_asked_without_probes(&format!(
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
fn refused_calls_give_no_more_time_once_another_scheduler_got_through() {
    let answers = answers(!SAME_LIST);
    play_asked_without_probes(&format!(
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

/// What happens: where schedulers may not talk, discovery is back and has a drain, and refuses this one scheduler again and
/// again as one caller too many. It goes on sending to the worker that drains, where a change counts as told 6 s after
/// discovery had it and could be reached. Why: a refusal of a crowd and one of an outage look alike on the wire (a 503 after a
/// wait), `ListLease::watch_failed` takes each for an outage and moves the end of the lease on, and nobody is there to say otherwise.
/// The figure: after 16 refusals, 8 s or more after the last word with 6.5 s allowed, the request is still sent to `h1`.
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
