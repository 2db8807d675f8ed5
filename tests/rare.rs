//! Events that cross: what comes between two lines of the program. The crossing is forced, by holding the program still
//! while bytes, ends and signals are laid in place, or by stand-ins that stop where they are told to.

#[allow(dead_code, reason = "each test program uses a part of the language")]
mod scenario;

use scenario::Setup;

#[test]
fn where_two_at_once_are_barred_the_next_attempt_waits_as_long_as_the_settings_network_may_take() {
    // The worker says nothing: after 2 s it counts as silent, its connection is ended, and that may take 1 s to get there.
    let settings = [
        ("/settings/ceilings/may_duplicate", "false"),
        ("/settings/ceilings/connect_timeout_us", "1000000"),
        ("/settings/request_classes/0/aim_us", "15000000"),
    ];
    Setup { settings: &settings, ..Setup::default() }.play(
        r#"
        mark
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        wait h1
        expect h1.2 POST /look Request-Id:a1
        after 3000
        "#,
    );
}
