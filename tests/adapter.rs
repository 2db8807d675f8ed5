//! The adapter program `calicolb-drill` on hand-written batches of messages: its replies, and its errors on malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Settings of the test dispatcher as the JSON of the UP message.
const INFO: &str = concat!(
    r#"{"azs":["north","south"],"ceilings":{"cancelling":true,"connect_timeout_us":250000,"#,
    r#""max_retry_after_us":2000000,"may_duplicate":true,"most_tries":4,"peers":true,"probes":true,"#,
    r#""retry_after":true,"unheard_of":[1,2]},"counted_by":"work","extra":{"class_kind":[-1,0],"#,
    r#""class_priority":[0,1],"class_stretch":[2.0,2.0],"progress_us":1000000,"queue_order":"fifo","#,
    r#""report_x0":"free slots","report_x1":"free memory","tells_start":true},"kinds":["big"],"#,
    r#""n_instances":2,"orgs":[{"name":"acme","quota_rps":100.0,"share":1.0}],"rank":0,"#,
    r#""registry_mode":"automatic","report":{"fields":["utilization","x0"],"how":"answers"},"#,
    r#""request_classes":[{"aim_us":500000,"deadline_us":5000000,"effect":"read_like","name":"look","#,
    r#""worth":1.0},{"aim_us":500000,"deadline_us":5000000,"effect":"non_idempotent","name":"book","#,
    r#""worth":2.0}],"rules":{"answer_slack_us":10000,"cold_us":1000000,"drain_grace_us":500000,"#,
    r#""fall_multiple":3.0,"fall_us":1000000,"start_capacity":0.3},"tick_us":1000,"zone":"north"}"#
);

/// Runs the adapter on this input until it ends.
fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_calicolb-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter could not be started");
    // The write can fail because the adapter stops reading at a malformed line.
    let _ =
        child.stdin.take().expect("the adapter's standard input is not piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter could not be waited for")
}

/// A batch that starts dispatcher `d/0` with one worker.
fn start() -> String {
    format!(
        "TURN\tnow_us=1000000\nUP\tdispatcher=d/0\tinit_seed=5\tinfo={INFO}\n\
         MEMBERS\tdispatcher=d/0\tkind=warm_copy\trevision=1\trows_in=1\n\
         M\tworker=77\tdc=north\tsku=big\tpack=0\thealth=on\tpower_hint=1.5\tnews=1\nEND\n"
    )
}

/// Splits the output into the replies, each of which ends with NEXT.
fn replies(output: &Output) -> Vec<String> {
    let text = String::from_utf8(output.stdout.clone()).expect("the replies are not UTF-8");
    text.split_inclusive("NEXT\n").map(str::to_owned).collect()
}

#[test]
fn empty_batch_gets_an_empty_reply_and_end_of_input_is_no_error() {
    let output = run("TURN\tnow_us=5\nEND\n");
    assert_eq!(String::from_utf8_lossy(&output.stdout), "NEXT\n");
    assert!(output.status.success());
    assert!(output.stderr.is_empty());
}

#[test]
fn request_is_sent_to_a_worker_and_its_outcome_is_accepted() {
    let rest = "TURN\tnow_us=1100000\n\
         ARRIVAL\tdispatcher=d/0\ttxn=9\tsize_hint_us=12000\texpires_us=6100000\tname_key=k\tqos=book\tneeds=1\tteam=acme\tlater=x\n\
         END\nTURN\tnow_us=1110000\nHINT_UPDATE\tdispatcher=d/0\ttxn=9\tsend_no=0\tworker=77\ttopic=1\nEND\n\
         TURN\tnow_us=1130000\nOUTCOME\tdispatcher=d/0\ttxn=9\tsend_no=0\tworker=77\tstate_code=OK\tspent_us=30000\tended=1\tpressure=utilization:0.5,x0:3\n\
         LAPSED\tdispatcher=d/0\ttxn=9\nEXIT\tdispatcher=d/0\nEND\n";
    let output = run(&(start() + rest));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = replies(&output);
    assert_eq!(replies.len(), 4);
    let sent: Vec<&str> = replies[1].lines().filter(|line| line.starts_with("PASS_ON")).collect();
    assert_eq!(sent, ["PASS_ON\tdispatcher=d/0\ttxn=9\tworker=77"]);
    assert!(
        !replies[3].contains("PASS_ON") && !replies[3].contains("DECLINE") && !replies[3].contains("ERROR")
    );
}

#[test]
fn aborted_attempt_that_may_have_run_is_answered_with_an_error() {
    let rest = "TURN\tnow_us=1100000\nARRIVAL\tdispatcher=d/0\ttxn=9\texpires_us=6100000\tqos=book\nEND\n\
         TURN\tnow_us=1130000\nOUTCOME\tdispatcher=d/0\ttxn=9\tsend_no=0\tworker=77\tstate_code=ABORTED\tspent_us=30000\nEND\n";
    let output = run(&(start() + rest));
    assert!(replies(&output)[2].contains("ERROR\tdispatcher=d/0\ttxn=9\n"));
}

#[test]
fn restarted_dispatcher_ignores_requests_of_its_previous_run() {
    let rest = "TURN\tnow_us=1100000\nARRIVAL\tdispatcher=d/0\ttxn=9\texpires_us=6100000\tqos=look\nEND\n";
    let again = "TURN\tnow_us=2100000\nOUTCOME\tdispatcher=d/0\ttxn=9\tsend_no=0\tworker=77\tstate_code=ABORTED\tspent_us=3\nEND\n";
    let output = run(&(start() + rest + &start() + again));
    assert!(output.status.success());
    let last = replies(&output).pop().expect("the adapter sent no reply");
    assert!(!last.contains("txn=9"));
}

#[test]
fn malformed_input_ends_the_adapter_with_one_message_and_the_line_number() {
    let cases = [
        ("NONSENSE\tdispatcher=d/0\n", "unknown message 'NONSENSE'"),
        ("ARRIVAL\tdispatcher=d/0\ttxn=9\texpires_us=soon\tqos=look\n", "'soon'"),
        ("ARRIVAL\tdispatcher=d/0\ttxn=9\tqos=look\n", "missing"),
        ("ARRIVAL\tdispatcher=d/0\ttxn=9\texpires_us=9\tqos=other\n", "class 'other'"),
        ("ARRIVAL\tdispatcher=d/5\ttxn=9\texpires_us=9\tqos=look\n", "'d/5' is not running"),
        ("OUTCOME\tdispatcher=d/0\ttxn=9\tsend_no=0\tworker=1\tstate_code=GREAT\n", "'GREAT'"),
        ("HINT_UPDATE\tdispatcher=d/0\ttxn=9\tsend_no=0\tworker=1\ttopic=7\n", "topic"),
        ("PEER_DATA\tdispatcher=d/0\torigin_peer=1\tcontents=%%%\n", "base64"),
        ("LAPSED\tdispatcher=d/0\ttxn\n", "no '='"),
        ("MEMBERS\tdispatcher=d/0\tkind=total\trevision=2\trows_in=2\nEND\n", "expected a list entry, found"),
        ("MEMBERS\tdispatcher=d/0\tkind=odd\trevision=2\n", "unknown kind 'odd'"),
        ("UP\tdispatcher=d/1\tinit_seed=5\tinfo={\"azs\":7}\n", "info"),
        ("TURN\tnow_us=7\n", "TURN inside a batch"),
        ("", "ends inside a batch"),
    ];
    for (bad, message) in cases {
        let output = run(&format!("{}TURN\tnow_us=1100000\n{bad}", start()));
        let text = String::from_utf8(output.stderr.clone()).expect("the error output is not UTF-8");
        assert!(!output.status.success(), "{bad}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(message) && text.contains("line "), "input {bad}: error output {text}");
    }
}

#[test]
fn batch_without_turn_is_rejected() {
    let output = run("END\n");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("line 1"));
}

#[test]
fn reports_are_read_with_the_field_names_of_both_protocols() {
    let (_, names) = calicolb::wire::parse_settings(INFO).expect("the settings could not be parsed");
    let adapter_fields = [("utilization", 0.5), ("x0", 3.0), ("errors_per_s", 0.25)];
    let callback_fields = [("util", 0.5), ("x0", 3.0), ("eps", 0.25), ("unheard_of", 9.0)];
    let report = names.report(callback_fields.into_iter());
    assert_eq!(report, names.report(adapter_fields.into_iter()));
    assert_eq!(
        (report.utilization, report.free_slots, report.errors_per_s),
        (Some(0.5), Some(3.0), Some(0.25))
    );
}
