//! Tests of the idle limit of connections to workers.

use super::*;

#[test]
fn idle_limit_is_lowered_when_idle_connections_break_and_raised_after_a_time_without_breaks() {
    const SECOND: Micros = 1_000 * MILLI;
    let mut limit = IdleLimit::new(4 * SECOND);
    // One break in twenty requests does not lower the limit.
    for nr in 0..400 {
        if nr % 20 == 0 { limit.record_break(SECOND, SECOND) } else { limit.record_success(SECOND) }
    }
    // Nor do breaks of connections that were idle for less than the smallest limit.
    (0..100).for_each(|_| limit.record_break(SECOND, MIN_IDLE_LIMIT - 1));
    assert_eq!(limit.current(SECOND), 4 * SECOND);
    // Half of the idle connections break.
    for _ in 0..6 {
        limit.record_break(SECOND, SECOND);
        limit.record_success(SECOND);
    }
    assert_eq!(limit.current(SECOND), SECOND / 2);
    (0..100).for_each(|_| limit.record_break(SECOND, MIN_IDLE_LIMIT));
    assert_eq!(limit.current(SECOND), MIN_IDLE_LIMIT);
    assert_eq!(limit.current(2 * SECOND + RECOVERY_INTERVAL), 2 * MIN_IDLE_LIMIT);
}
