//! How long connections to workers rest.

use super::*;

#[test]
fn connections_rest_shorter_once_resting_is_what_breaks_them_and_longer_after_a_calm_time() {
    const SECOND: Micros = 1_000 * MILLI;
    let mut rest = Rest::new(4 * SECOND);
    // Now and then one breaks: that is not for resting.
    for nr in 0..400 {
        if nr % 20 == 0 { rest.broke(SECOND, SECOND) } else { rest.held(SECOND) }
    }
    // Nor is what breaks though it hardly rested.
    (0..100).for_each(|_| rest.broke(SECOND, BRIEF - 1));
    assert_eq!(rest.bound(SECOND), 4 * SECOND);
    // Half of those that rested break.
    for _ in 0..6 {
        rest.broke(SECOND, SECOND);
        rest.held(SECOND);
    }
    assert_eq!(rest.bound(SECOND), SECOND / 2);
    (0..100).for_each(|_| rest.broke(SECOND, BRIEF));
    assert_eq!(rest.bound(SECOND), BRIEF);
    assert_eq!(rest.bound(2 * SECOND + CALM), 2 * BRIEF);
}
