//! Tests of the processor-time clock.

use calicolb_scaling::cpu_clock::{granularity, micros_per_iteration, thread_cpu_time};
use std::thread;
use std::time::Duration;

/// Work that the compiler cannot remove.
fn work(rounds: u64) {
    std::hint::black_box(
        (0..rounds).fold(0_u64, |sum, number| std::hint::black_box(sum ^ number.wrapping_mul(number))),
    );
}

#[test]
fn sleeping_uses_no_processor_time_and_the_clock_step_is_small() {
    let before = thread_cpu_time();
    thread::sleep(Duration::from_millis(60));
    let slept_cpu_time = thread_cpu_time() - before;
    assert!(
        slept_cpu_time < Duration::from_millis(30),
        "processor time of a sleeping thread: {slept_cpu_time:?}"
    );
    let step = granularity();
    assert!(step > Duration::ZERO && step <= Duration::from_millis(10), "clock step: {step:?}");
}

#[test]
fn measured_time_is_proportional_to_the_work_and_excludes_preparation() {
    let min_time = Duration::from_millis(2);
    let us =
        |rounds: u64| micros_per_iteration(min_time, 4, &mut (), |()| work(400_000), |(), ()| work(rounds));
    // The two measurements alternate and the smallest of each counts, because other load on the machine would
    // otherwise slow only one of them.
    let (mut once, mut twice) = (f64::INFINITY, f64::INFINITY);
    for _ in 0..5 {
        (once, twice) = (once.min(us(40_000)), twice.min(us(80_000)));
    }
    let ratio = twice / once;
    assert!((1.6..2.5).contains(&ratio), "ratio of the times for 80,000 and 40,000 rounds: {ratio}");
}
