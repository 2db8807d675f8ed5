//! Tests of the program under several sets of settings. A class's meaning must come from its effect, and the limits on
//! repeated attempts from the settings' numbers; a class's name or position must not matter.

#[allow(dead_code, reason = "each test program uses some of the script steps")]
mod scenario;

use scenario::Setup;

/// A set of settings: whether the list is pushed, and the changes to the default configuration (JSON pointer and JSON
/// value), in which the first class is `look` and the second `book`.
type SettingsVariant = (bool, &'static [(&'static str, &'static str)]);

/// The default settings; settings with swapped effects, a pushed list, no probes, no cancelling, no notes of starts and
/// at most two attempts; settings with keyed classes, no peer messages, no load reports and at most three attempts, one
/// at a time.
const VARIANTS: [SettingsVariant; 3] = [
    (false, &[]),
    (
        true,
        &[
            ("/settings/request_classes/0/effect", r#""non_idempotent""#),
            ("/settings/request_classes/1/effect", r#""read_like""#),
            ("/settings/request_classes/0/deadline_us", "400000"),
            ("/settings/request_classes/1/deadline_us", "25000000"),
            ("/settings/ceilings/most_tries", "2"),
            ("/settings/ceilings/probes", "false"),
            ("/settings/ceilings/cancelling", "false"),
            ("/settings/extra/tells_start", "false"),
        ],
    ),
    (
        false,
        &[
            ("/settings/request_classes/0/effect", r#""idempotency_key""#),
            ("/settings/request_classes/0/group", r#""all""#),
            ("/settings/request_classes/0/memory_span_us", "60000000"),
            ("/settings/request_classes/1/effect", r#""idempotency_key""#),
            ("/settings/request_classes/1/group", r#""zone""#),
            ("/settings/request_classes/1/memory_span_us", "1000"),
            ("/settings/ceilings/most_tries", "3"),
            ("/settings/ceilings/may_duplicate", "false"),
            ("/settings/ceilings/peers", "false"),
            ("/settings/report", r#"{"fields":[],"how":"none"}"#),
        ],
    ),
];

/// Runs a script under a set of settings, with an aim of 15 s for both classes.
fn run_scenario(workers: usize, (pushed_list, settings): SettingsVariant, script: &str) {
    let aims = [
        ("/settings/request_classes/0/aim_us", "15000000"),
        ("/settings/request_classes/1/aim_us", "15000000"),
    ];
    let settings: Vec<_> = settings.iter().copied().chain(aims).collect();
    // The agent opens the watch and sends an empty line, which confirms the initial list.
    let confirm_list = "expect d GET /discovery/hosts?watch=1&from=41\nsend d watch\nsend d chunk \\n\n";
    let script = format!("{}{script}", if pushed_list { confirm_list } else { "" });
    Setup { workers, pushed_list, settings: &settings, ..Setup::default() }.run(&script);
}

/// The worker that gets the first job, and the other worker. The order depends on peer messages being enabled.
fn worker_order((_, settings): SettingsVariant) -> (&'static str, &'static str) {
    if settings.contains(&("/settings/ceilings/peers", "false")) { ("h1", "h2") } else { ("h2", "h1") }
}

/// Closes the connection of an attempt that may have run, and expects a resend to the other worker or a failure.
fn check_broken_attempt(variant: SettingsVariant, class: &str, resent: bool) {
    let (first, other) = worker_order(variant);
    // Where two attempts may not be in progress at once, the worker first confirms that the job does not run.
    let confirmation = if variant.1.contains(&("/settings/ceilings/may_duplicate", "false")) {
        format!("expect {first}.2 DELETE /jobs/a1\nnone {other}\nsend {first}.2 404\n")
    } else {
        String::new()
    };
    let outcome = if resent {
        format!("{confirmation}expect {other} POST /{class} Request-Id:a1")
    } else {
        "expect c1 500".to_owned()
    };
    run_scenario(
        2,
        variant,
        &format!(
            r#"
            send c1 POST /{class} Request-Id:a1 Request-Timeout:20
            expect {first} POST /{class} Request-Id:a1
            close {first}
            {outcome}
            "#
        ),
    );
}

#[test]
fn attempt_that_may_have_run_is_repeated_only_if_the_effect_allows_it() {
    let [default, swapped, keyed] = VARIANTS;
    check_broken_attempt(default, "look", true);
    check_broken_attempt(default, "book", false);
    check_broken_attempt(swapped, "look", false);
    check_broken_attempt(swapped, "book", true);
    // All workers remember the key for 60 s and drop a repeated attempt.
    check_broken_attempt(keyed, "look", true);
    // The memory span of 1 ms is over before the closed connection is noticed: the request is neither resent nor
    // reported as safe to repeat.
    check_broken_attempt(keyed, "book", false);
}

#[test]
fn keyed_attempt_is_repeated_only_within_its_memory_span() {
    // The program is stopped for 1 s, so that it notices the closed connection late. Half of the memory span is
    // reserved for the network delay of the repeat.
    let repeated = "expect h1.2 DELETE /jobs/a1\nnone h2\nsend h1.2 404\nexpect h2 POST /look Request-Id:a1";
    let spans = [("20000000", repeated), ("1000000", "expect c1 503")];
    for (span, outcome) in spans {
        let mut settings = VARIANTS[2].1.to_vec();
        settings.push(("/settings/request_classes/0/memory_span_us", span));
        settings.push(("/settings/request_classes/0/aim_us", "15000000"));
        Setup { workers: 2, settings: &settings, ..Setup::default() }.run(&format!(
            r#"
            send c1 POST /look Request-Id:a1 Request-Timeout:20
            expect h1 POST /look Request-Id:a1
            mark
            send program STOP
            close h1
            until 1001
            send program CONT
            {outcome}
            "#
        ));
    }
}

#[test]
fn request_has_at_most_the_configured_number_of_attempts() {
    // The worker refuses each attempt unstarted, so that effects never prevent another attempt.
    for (variant, max_attempts, class) in
        [(VARIANTS[0], 4, "look"), (VARIANTS[1], 2, "book"), (VARIANTS[2], 3, "look")]
    {
        let refusals: String = (1..=max_attempts)
            .map(|number| {
                format!("expect h1.{number} POST /{class} Request-Id:a1\nsend h1.{number} 503 Not-Started:1 Connection:close\n")
            })
            .collect();
        let script =
            format!("send c1 POST /{class} Request-Id:a1 Request-Timeout:20\n{refusals}expect c1 503");
        run_scenario(1, variant, &script);
    }
}

#[test]
fn short_client_timeouts_are_kept_under_each_variant() {
    for (variant, class) in [(VARIANTS[0], "book"), (VARIANTS[1], "look"), (VARIANTS[2], "book")] {
        let (first, _) = worker_order(variant);
        run_scenario(
            2,
            variant,
            &format!(
                r#"
                send c1 POST /{class} Request-Id:a1 Request-Timeout:0.4 Work-Hint:1000
                expect {first} POST /{class} Request-Id:a1
                send {first} 202
                expect c1 500
                send c1 POST /{class} Request-Id:a2 Request-Timeout:0
                expect c1 503
                "#
            ),
        );
    }
}

#[test]
fn unconfigured_class_is_not_found_under_each_variant() {
    for variant in VARIANTS {
        run_scenario(
            2,
            variant,
            r#"
            send c1 POST /stock-check Request-Id:a1 Request-Timeout:9
            expect c1 404
            "#,
        );
    }
}
