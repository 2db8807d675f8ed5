//! Replays a plan of the hollow fleet with real processes of the program and measures them.

use super::counts::{Counts, Flow, Traffic};
use super::discovery::Capacity;
use super::fleet::{Spread, start, usages};
use super::harness::Harness;
use super::process::{Process, Usage, datagrams_dropped};
use super::scenario;
use super::submitters::{AnswerKind, Outcome};
use super::worker_pool::WorkerCounters;
use calicolb_simulation::Plan;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time after which the traffic of a start is over; a scheduler spreads its first calls over four seconds.
const RESTART_SPAN: Duration = Duration::from_secs(7);
/// Time for messages in flight to arrive.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Measurements of a replay by real processes. Message counts, processor time and starts are those of the measured
/// span; a request counts if it arrives in that span.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReplayResult {
    /// Processes of the program.
    pub processes: u32,
    /// Workers.
    pub workers: u32,
    /// Tenants.
    pub tenants: u32,
    /// Length of the measured span, in seconds.
    pub seconds: f64,
    /// Requests.
    pub jobs: u64,
    /// Jobs that workers started.
    pub started: u64,
    /// Largest number of jobs that ran at the same time, warm-up included.
    pub running_peak: usize,
    /// Requests answered with a worker's result.
    pub served: u64,
    /// Served requests that were answered after their soft deadline.
    pub late: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests answered with a failure.
    pub failed: u64,
    /// Requests of the whole run without an answer, or with a result that no worker made.
    pub lost: u64,
    /// Attempts of the whole run that arrived at a worker where an earlier attempt of the same request was still open.
    pub doubled: u64,
    /// Attempts of the whole run that arrived while an attempt of the same request was open at another worker.
    pub overlapping: u64,
    /// Attempts that reached workers.
    pub attempts: u64,
    /// Attempts that workers rejected.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// Attempts that were cancelled.
    #[serde(rename = "given_up")]
    pub cancelled: u64,
    /// Resident memory of a process at the end, in KiB.
    pub resident_kib: Spread,
    /// Peak resident memory of a process, in KiB.
    pub resident_peak_kib: Spread,
    /// Processor time of a process in milliseconds a second, by user and system time in kernel ticks. It includes the
    /// work for clients, workers and control.
    pub cpu_ms_per_s: Spread,
    /// Processor time of a process in milliseconds a second, by the threads' own clock.
    pub on_cpu_ms_per_s: Spread,
    /// Processor time of all processes for each job, by the threads' own clock, in microseconds.
    pub cpu_us_per_job: f64,
    /// Control messages by function as the hollow fleet counts them, in and out of all schedulers.
    pub traffic: BTreeMap<&'static str, Traffic>,
    /// All messages by flow.
    pub counts: Counts,
    /// Size of the longest datagram of the whole run, in bytes.
    pub datagram_longest: usize,
    /// Datagrams of the whole run that have no known shape.
    pub datagrams_unknown: u64,
    /// Datagrams of the whole run that the kernel dropped at a socket of the relay or of a scheduler.
    pub datagrams_dropped: u64,
    /// Callbacks of the whole run that no scheduler accepted.
    #[serde(rename = "news_dropped")]
    pub callbacks_dropped: u64,
    /// Requests of the whole run that discovery rejected.
    #[serde(rename = "calls_turned_away")]
    pub calls_rejected: u64,
    /// Cost of one start, measured by restarting one process of an otherwise idle fleet; `None` if this was not
    /// measured.
    pub restart: Option<Restart>,
}

/// Cost of one start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Restart {
    /// Control messages by function, less those of the idle fleet in the same time.
    pub traffic: BTreeMap<&'static str, Traffic>,
    /// Bytes of the starting process itself: its watch and its hello to all, without the answers to the hello.
    pub bytes: u64,
    /// Its resident memory once it watches the list, in KiB.
    pub resident_kib: u64,
    /// Its processor time up to that moment, in milliseconds.
    pub on_cpu_ms: f64,
}

struct Snapshot {
    counts: Counts,
    usages: Vec<Usage>,
    counters: WorkerCounters,
}

fn snapshot(harness: &Harness, processes: &[Process]) -> Snapshot {
    Snapshot {
        counts: harness.counts().clone(),
        usages: usages(processes),
        counters: harness.worker_pool().counters(),
    }
}

/// Replays the plan with processes of this program. It lasts for the plan's warm-up and measured span and until the
/// last request has ended; with `with_restart`, also for the restart of one process.
///
/// # Errors
///
/// The program does not start or serve, or a socket cannot be opened.
pub fn replay(program: &Path, plan: &Plan, with_restart: bool) -> Result<ReplayResult, String> {
    let outline = calicolb_simulation::workload(plan);
    let settings = scenario::settings(plan);
    let (specs, hosts) = scenario::workers(&outline, &settings);
    let ranks = plan.schedulers as usize;
    let mut harness =
        Harness::new(specs, hosts, scenario::worker_settings(&settings), Capacity::default(), ranks)?;
    let mut processes = start(program, &mut harness, &settings, 0..ranks, plan.seed)?;
    let (jobs, is_measured) = scenario::submissions(&outline, &settings);
    let aims: Vec<Duration> = jobs.iter().map(|job| job.aim).collect();
    let last_timeout = jobs.iter().map(|job| job.offset + job.client_timeout).max().unwrap_or_default();
    let started = Instant::now();
    harness.submit(started, jobs);
    let micros = Duration::from_micros;
    harness.run_until(started + micros(outline.measured_span.0))?;
    let (before, span_start) = (snapshot(&harness, &processes), Instant::now());
    harness.run_until(started + micros(outline.measured_span.1))?;
    let (after, elapsed_s) = (snapshot(&harness, &processes), span_start.elapsed().as_secs_f64());
    // Waits for the last answer, at most 10 s beyond the last client timeout.
    let time_left =
        (started + last_timeout + Duration::from_secs(10)).saturating_duration_since(Instant::now());
    harness.run_while(time_left, |harness| harness.outcomes().iter().any(Option::is_none))?;
    for process in &mut processes {
        process.poll_log()?;
    }
    let mut real = ReplayResult {
        processes: plan.schedulers,
        workers: plan.workers,
        tenants: plan.tenants,
        seconds: elapsed_s,
        ..ReplayResult::default()
    };
    real.count_outcomes(harness.outcomes(), &is_measured, &aims);
    real.record_usage(&before, &after, elapsed_s);
    let totals = harness.worker_pool().counters();
    (real.doubled, real.overlapping, real.running_peak) =
        (totals.doubled, totals.overlapping, totals.running_peak);
    if with_restart {
        real.restart = Some(restart(program, &mut harness, &settings, &mut processes, plan.seed)?);
    }
    let counts = harness.counts();
    real.datagram_longest = counts.datagram_longest;
    real.datagrams_unknown = counts.of(Flow::UnknownSent).messages;
    let (by_rank, broadcast) = harness.relay().addresses().map_err(|error| error.to_string())?;
    let scheduler_addresses = processes.iter().filter_map(|process| process.peers);
    let ports: Vec<u16> = by_rank
        .into_iter()
        .chain([broadcast])
        .chain(scheduler_addresses)
        .map(|at: SocketAddr| at.port())
        .collect();
    real.datagrams_dropped = datagrams_dropped(&ports);
    real.callbacks_dropped = harness.callbacks_dropped;
    real.calls_rejected = harness.discovery().rejected;
    Ok(real)
}

impl ReplayResult {
    fn count_outcomes(&mut self, outcomes: &[Option<Outcome>], is_measured: &[bool], aims: &[Duration]) {
        for (index, outcome) in outcomes.iter().enumerate() {
            let kind = outcome.map_or(AnswerKind::NoAnswer, |outcome| outcome.kind);
            self.lost += u64::from(kind == AnswerKind::NoAnswer);
            if !is_measured[index] {
                continue;
            }
            self.jobs += 1;
            self.served += u64::from(kind == AnswerKind::Served);
            self.refused += u64::from(kind == AnswerKind::Refused);
            self.failed += u64::from(kind == AnswerKind::Failed);
            let late =
                outcome.is_some_and(|outcome| kind == AnswerKind::Served && outcome.latency > aims[index]);
            self.late += u64::from(late);
        }
    }

    fn record_usage(&mut self, before: &Snapshot, after: &Snapshot, elapsed_s: f64) {
        let pairs = || before.usages.iter().zip(&after.usages);
        let (then, now) = (&before.counters, &after.counters);
        self.started = now.started - then.started;
        self.attempts = now.attempts - then.attempts;
        self.rejected = now.rejected - then.rejected;
        self.cancelled = now.cancelled - then.cancelled;
        self.resident_kib = Spread::of(after.usages.iter().map(|usage| usage.resident_kib as f64));
        self.resident_peak_kib = Spread::of(after.usages.iter().map(|usage| usage.resident_peak_kib as f64));
        self.cpu_ms_per_s = Spread::of(pairs().map(|(then, now)| (now.cpu_ms - then.cpu_ms) / elapsed_s));
        self.on_cpu_ms_per_s =
            Spread::of(pairs().map(|(then, now)| (now.on_cpu_ms - then.on_cpu_ms) / elapsed_s));
        let cpu: f64 = pairs().map(|(then, now)| now.on_cpu_ms - then.on_cpu_ms).sum();
        self.cpu_us_per_job = cpu * 1e3 / self.jobs.max(1) as f64;
        self.counts = after.counts.since(&before.counts);
        self.traffic = self.counts.by_function();
    }
}

/// Restarts the last process and measures the traffic beyond that of the idle fleet.
fn restart(
    program: &Path,
    harness: &mut Harness,
    settings: &serde_json::Value,
    processes: &mut Vec<Process>,
    seed: u64,
) -> Result<Restart, String> {
    let rank = processes.len() - 1;
    harness.run_until(Instant::now() + SETTLE_TIME)?;
    let counts_before = harness.counts().clone();
    harness.run_until(Instant::now() + RESTART_SPAN)?;
    let at_rest = harness.counts().since(&counts_before).by_function();
    drop(processes.pop());
    harness.set_address(rank, None, None);
    harness.run_until(Instant::now() + SETTLE_TIME)?;
    let (before, restart_time) = (harness.counts().clone(), Instant::now());
    let restarted = start(program, harness, settings, rank..rank + 1, seed ^ 1)?;
    let used = usages(&restarted);
    processes.extend(restarted);
    harness.run_until(restart_time + RESTART_SPAN)?;
    let counts = harness.counts().since(&before);
    let mut traffic = counts.by_function();
    for (name, sum) in &mut traffic {
        let idle = at_rest.get(name).copied().unwrap_or_default();
        sum.messages = sum.messages.saturating_sub(idle.messages);
        sum.bytes = sum.bytes.saturating_sub(idle.bytes);
    }
    // The starting process sends its hello once. The forwarded hellos and the answers are traffic of the other
    // schedulers and are left out.
    let own_flows = [
        Flow::WatchRequested,
        Flow::WatchOpened,
        Flow::WatchFullList,
        Flow::ListRequested,
        Flow::ListAnswered,
    ];
    let bytes = counts.sum(&own_flows).bytes + counts.of(Flow::HellosSent).bytes;
    let used = used.first().copied().unwrap_or_default();
    Ok(Restart { traffic, bytes, resident_kib: used.resident_kib, on_cpu_ms: used.on_cpu_ms })
}
