//! The clock of processor time.

use calicolb_scaling::cpu_clock::{granularity, micros_per_iteration, thread_cpu_time};
use std::thread;
use std::time::Duration;

/// Work that no compiler takes away.
fn work(rounds: u64) {
    std::hint::black_box((0..rounds).fold(0_u64, |sum, nr| std::hint::black_box(sum ^ nr.wrapping_mul(nr))));
}

#[test]
fn rest_costs_nothing_and_work_does() {
    let before = thread_cpu_time();
    thread::sleep(Duration::from_millis(60));
    let rested = thread_cpu_time() - before;
    assert!(rested < Duration::from_millis(30), "{rested:?}");
    let step = granularity();
    assert!(step > Duration::ZERO && step <= Duration::from_millis(10), "{step:?}");
}

#[test]
fn twice_the_work_costs_twice_and_what_is_prepared_is_not_counted() {
    let least = Duration::from_millis(2);
    let us = |rounds: u64| micros_per_iteration(least, 4, &mut (), |()| work(400_000), |(), ()| work(rounds));
    // In turns, the least of each: what else is on the machine slows one of two that are measured one after the other.
    let (mut once, mut twice) = (f64::INFINITY, f64::INFINITY);
    for _ in 0..5 {
        (once, twice) = (once.min(us(40_000)), twice.min(us(80_000)));
    }
    let ratio = twice / once;
    assert!((1.6..2.5).contains(&ratio), "{ratio}");
}
