//! The processor time of the calling thread, whatever else the machine does meanwhile.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// What one reading may be off by, as a part of the whole.
const PRECISION: f64 = 0.01;
/// Samples of which the least counts: whoever else is on the machine can only add to what a thread needs.
const SAMPLES: usize = 7;

/// Processor time that this thread has used.
pub fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let (seconds, nanos) =
        (u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0));
    Duration::new(seconds, nanos)
}

/// The smallest step that the clock was seen to make, its own reading included.
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

/// Processor microseconds that one round of the work on `state` takes: the least of [`SAMPLES`] series, each so long that
/// the clock's step is a hundredth of it at most, and `least` at least. What a round needs is laid by `prepare`, whose
/// time is not counted, for `lot` rounds at a time.
pub fn micros_per_iteration<S, T>(
    least: Duration,
    lot: usize,
    state: &mut S,
    mut prepare: impl FnMut(&mut S) -> T,
    mut work: impl FnMut(&mut S, T),
) -> f64 {
    let enough = least.max(granularity().div_f64(PRECISION));
    (0..SAMPLES)
        .map(|_| {
            let (mut spent, mut rounds) = (Duration::ZERO, 0_u32);
            while spent < enough {
                let inputs: Vec<T> = (0..lot.max(1)).map(|_| prepare(state)).collect();
                rounds += inputs.len() as u32;
                let before = thread_cpu_time();
                inputs.into_iter().for_each(|input| work(state, input));
                spent += thread_cpu_time() - before;
            }
            spent.as_secs_f64() * 1e6 / f64::from(rounds)
        })
        .fold(f64::INFINITY, f64::min)
}
