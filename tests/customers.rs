//! The program under settings of several customers: what a class means comes from its effect, and how far an attempt may
//! be repeated from the figures, whatever its name or place.

#[allow(dead_code, reason = "each test program uses a part of the language")]
mod scenario;

use scenario::Setup;

/// One customer: whether lists are pushed, and what differs from the usual configuration, in which the first class is
/// `look`, the second `book`.
type Customer = (bool, &'static [(&'static str, &'static str)]);

/// The usual one; one whose effects are swapped, lists pushed, nothing but two attempts allowed; one with keyed classes, no
/// talk, no reports, three attempts and one at a time.
const CUSTOMERS: [Customer; 3] = [
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

fn run_scenario(workers: usize, (pushed_list, settings): Customer, script: &str) {
    let aims = [
        ("/settings/request_classes/0/aim_us", "15000000"),
        ("/settings/request_classes/1/aim_us", "15000000"),
    ];
    let settings: Vec<_> = settings.iter().copied().chain(aims).collect();
    // What an agent holds counts from the start: it says that there is nothing new.
    let told = "expect d GET /discovery/hosts?watch=1&from=41\nsend d watch\nsend d chunk \\n\n";
    let script = format!("{}{script}", if pushed_list { told } else { "" });
    Setup { workers, pushed_list, settings: &settings, ..Setup::default() }.run(&script);
}

/// The worker that gets a first job, and the other one: which it is hangs on whether schedulers talk.
fn workers((_, settings): Customer) -> (&'static str, &'static str) {
    if settings.contains(&("/settings/ceilings/peers", "false")) { ("h1", "h2") } else { ("h2", "h1") }
}

/// An attempt of this class that may have run and then broke: what comes next.
fn broken(customer: Customer, class: &str, again: bool) {
    let (first, other) = workers(customer);
    let next = if again {
        format!("expect {other} POST /{class} Request-Id:a1")
    } else {
        "expect c1 500".to_owned()
    };
    run_scenario(
        2,
        customer,
        &format!(
            r#"
            send c1 POST /{class} Request-Id:a1 Request-Timeout:20
            expect {first} POST /{class} Request-Id:a1
            close {first}
            {next}
            "#
        ),
    );
}

#[test]
fn an_attempt_that_may_have_run_is_repeated_as_far_as_the_class_s_effect_lets_it_be() {
    let [usual, swapped, keyed] = CUSTOMERS;
    broken(usual, "look", true);
    broken(usual, "book", false);
    broken(swapped, "look", false);
    broken(swapped, "book", true);
    // Every worker remembers it for a minute: one that comes again is dropped there.
    broken(keyed, "look", true);
    // A thousandth of a second is over before the break is seen: it may not come again, nor be called harmless.
    broken(keyed, "book", false);
}

#[test]
fn a_keyed_attempt_is_repeated_before_its_window_ends_and_not_after_it() {
    // The same break, held back by a program that stands still; half of the window is left for the journey.
    let spans = [("20000000", "expect h2 POST /look Request-Id:a1"), ("1000000", "expect c1 503")];
    for (span, next) in spans {
        let mut settings = CUSTOMERS[2].1.to_vec();
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
            {next}
            "#
        ));
    }
}

#[test]
fn no_request_has_more_attempts_than_its_customer_allows() {
    // Each is handed back unstarted, which never holds another attempt back.
    for (customer, most, class) in
        [(CUSTOMERS[0], 4, "look"), (CUSTOMERS[1], 2, "book"), (CUSTOMERS[2], 3, "look")]
    {
        let back: String = (1..=most)
            .map(|nr| {
                format!("expect h1.{nr} POST /{class} Request-Id:a1\nsend h1.{nr} 503 Not-Started:1 Connection:close\n")
            })
            .collect();
        let script = format!("send c1 POST /{class} Request-Id:a1 Request-Timeout:20\n{back}expect c1 503");
        run_scenario(1, customer, &script);
    }
}

#[test]
fn a_short_deadline_is_kept_by_each_customer() {
    for (customer, class) in [(CUSTOMERS[0], "book"), (CUSTOMERS[1], "look"), (CUSTOMERS[2], "book")] {
        let (first, _) = workers(customer);
        run_scenario(
            2,
            customer,
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
fn a_class_that_no_settings_name_is_unknown_to_each_customer() {
    for customer in CUSTOMERS {
        run_scenario(
            2,
            customer,
            r#"
            send c1 POST /stock-check Request-Id:a1 Request-Timeout:9
            expect c1 404
            "#,
        );
    }
}
