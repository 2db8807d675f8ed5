//! Measures the processor time of the calling thread, which does not include the time of other threads and processes.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Largest relative error of one measurement.
const MAX_RELATIVE_ERROR: f64 = 0.01;
/// Number of series; the shortest one counts, since other load on the machine can only add to the time of a thread.
const SERIES_COUNT: usize = 7;

/// Processor time used by this thread.
pub fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let (seconds, nanos) =
        (u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0));
    Duration::new(seconds, nanos)
}

/// Smallest observed step of the clock, including the time of reading it.
pub fn granularity() -> Duration {
    let step = |_| {
        let before = thread_cpu_time();
        loop {
            let after = thread_cpu_time();
            if after > before {
                return after - before;
            }
        }
    };
    (0..64).map(step).min().unwrap_or(Duration::ZERO)
}

/// Processor microseconds of one iteration of `work` on `state`: the smallest result of [`SERIES_COUNT`] series. A series
/// lasts `min_time` or 100 clock steps, whichever is longer. `prepare` makes the inputs for `batch_size` iterations at a time;
/// its time is not counted.
pub fn micros_per_iteration<S, T>(
    min_time: Duration,
    batch_size: usize,
    state: &mut S,
    mut prepare: impl FnMut(&mut S) -> T,
    mut work: impl FnMut(&mut S, T),
) -> f64 {
    let series_time = min_time.max(granularity().div_f64(MAX_RELATIVE_ERROR));
    (0..SERIES_COUNT)
        .map(|_| {
            let (mut cpu_time, mut iterations) = (Duration::ZERO, 0_u32);
            while cpu_time < series_time {
                let inputs: Vec<T> = (0..batch_size.max(1)).map(|_| prepare(state)).collect();
                iterations += inputs.len() as u32;
                let before = thread_cpu_time();
                inputs.into_iter().for_each(|input| work(state, input));
                cpu_time += thread_cpu_time() - before;
            }
            cpu_time.as_secs_f64() * 1e6 / f64::from(iterations)
        })
        .fold(f64::INFINITY, f64::min)
}
