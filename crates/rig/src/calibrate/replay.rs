//! A plan of the hollow fleet, played by real processes of the program, and what was measured of them.

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

/// So long after a start everything that belongs to it is over: the module spreads its first call over four seconds.
const RESTART_SPAN: Duration = Duration::from_secs(7);
/// What is still on its way at an end has come by this time.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// What came of a play by real processes. Counts of messages, processor time and starts are those of the seconds that
/// count; a request counts where it came in.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReplayResult {
    /// Processes of the program.
    pub processes: u32,
    /// Workers.
    pub workers: u32,
    /// Tenants.
    pub tenants: u32,
    /// Seconds that count.
    pub seconds: f64,
    /// Requests.
    pub jobs: u64,
    /// Jobs that workers started.
    pub started: u64,
    /// Most jobs that ran at once, before the seconds that count too.
    pub running_peak: usize,
    /// Requests that were answered with a worker's result.
    pub served: u64,
    /// Of these, those that were answered after their aim.
    pub late: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that were answered as failed.
    pub failed: u64,
    /// Requests, whether they count or not, that got no answer, or one that no worker made.
    pub lost: u64,
    /// Over the whole play: attempts that came to a worker at which the first one still was.
    pub doubled: u64,
    /// Over the whole play: attempts that came while another one of the request was at another worker.
    pub overlapping: u64,
    /// Attempts that reached workers, were turned away, and were given up.
    pub attempts: u64,
    /// See above.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// See above.
    #[serde(rename = "given_up")]
    pub cancelled: u64,
    /// Memory of a process at the end, and at its most, in KiB.
    pub resident_kib: Spread,
    /// See above.
    pub resident_peak_kib: Spread,
    /// Processor time of a process in milliseconds a second, by user and system time (steps of the kernel's clock) and by
    /// the threads' own clock. Everything is in it: clients, workers, control.
    pub cpu_ms_per_s: Spread,
    /// See above.
    pub on_cpu_ms_per_s: Spread,
    /// Processor time of all processes for a job, by the threads' own clock, in microseconds.
    pub cpu_us_per_job: f64,
    /// Control messages by function, as the hollow fleet counts them: in and out of all schedulers.
    pub traffic: BTreeMap<&'static str, Traffic>,
    /// All messages by flow.
    pub counts: Counts,
    /// Over the whole play: the longest datagram, in bytes, and those that fit no shape.
    pub datagram_longest: usize,
    /// See above.
    pub datagrams_unknown: u64,
    /// Over the whole play: datagrams that the kernel dropped at the relay's or a scheduler's socket.
    pub datagrams_dropped: u64,
    /// Over the whole play: call-callback_queues that nobody took.
    #[serde(rename = "news_dropped")]
    pub callbacks_dropped: u64,
    /// Over the whole play: calls that discovery turned away.
    #[serde(rename = "calls_turned_away")]
    pub calls_rejected: u64,
    /// What one start adds in a fleet that is at rest, where a process was killed and started anew.
    pub restart: Option<Restart>,
}

/// What one start costs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Restart {
    /// Control messages by function, less what the fleet exchanges at rest in the same time.
    pub traffic: BTreeMap<&'static str, Traffic>,
    /// Of these, the bytes of the process that starts: its watch and its greeting to all, without the answers to that.
    pub bytes: u64,
    /// Its memory when it watches the list, in KiB.
    pub resident_kib: u64,
    /// Its processor time up to then, in milliseconds.
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

/// Plays the plan by processes of this program. It takes the plan's warm-up and seconds, and as long after these as the
/// last requests run; and where `anew` is set, some seconds more, in which one process is started anew.
///
/// # Errors
///
/// The program does not start or serve, or a socket cannot be had.
pub fn replay(program: &Path, plan: &Plan, with_restart: bool) -> Result<ReplayResult, String> {
    let outline = calicolb_simulation::workload(plan);
    let settings = scenario::settings(plan);
    let (specs, hosts) = scenario::workers(&outline, &settings);
    let ranks = plan.schedulers as usize;
    let mut harness =
        Harness::new(specs, hosts, scenario::worker_settings(&settings), Capacity::default(), ranks)?;
    let mut processes = start(program, &mut harness, &settings, 0..ranks, plan.seed)?;
    let (jobs, counting) = scenario::submissions(&outline, &settings);
    let aims: Vec<Duration> = jobs.iter().map(|job| job.aim).collect();
    let last_timeout = jobs.iter().map(|job| job.offset + job.client_timeout).max().unwrap_or_default();
    let begun = Instant::now();
    harness.submit(begun, jobs);
    let micros = Duration::from_micros;
    harness.run_until(begun + micros(outline.measured_span.0))?;
    let (before, from) = (snapshot(&harness, &processes), Instant::now());
    harness.run_until(begun + micros(outline.measured_span.1))?;
    let (after, spent) = (snapshot(&harness, &processes), from.elapsed().as_secs_f64());
    // Until the last answer: none is later than its client's patience and some slack.
    let time_left =
        (begun + last_timeout + Duration::from_secs(10)).saturating_duration_since(Instant::now());
    harness.run_while(time_left, |harness| harness.outcomes().iter().any(Option::is_none))?;
    for process in &mut processes {
        process.poll_log()?;
    }
    let mut real = ReplayResult {
        processes: plan.schedulers,
        workers: plan.workers,
        tenants: plan.tenants,
        seconds: spent,
        ..ReplayResult::default()
    };
    real.count_outcomes(harness.outcomes(), &counting, &aims);
    real.record_usage(&before, &after, spent);
    let totals = harness.worker_pool().counters();
    (real.doubled, real.overlapping, real.running_peak) =
        (totals.doubled, totals.overlapping, totals.running_peak);
    if with_restart {
        real.restart = Some(restart(program, &mut harness, &settings, &mut processes, plan.seed)?);
    }
    let counts = harness.counts();
    real.datagram_longest = counts.datagram_longest;
    real.datagrams_unknown = counts.of(Flow::UnknownSent).messages;
    let (each, to_all) = harness.relay().addresses().map_err(|error| error.to_string())?;
    let scheduler_addresses = processes.iter().filter_map(|process| process.peers);
    let ports: Vec<u16> =
        each.into_iter().chain([to_all]).chain(scheduler_addresses).map(|at: SocketAddr| at.port()).collect();
    real.datagrams_dropped = datagrams_dropped(&ports);
    real.callbacks_dropped = harness.callbacks_dropped;
    real.calls_rejected = harness.discovery().rejected;
    Ok(real)
}

impl ReplayResult {
    fn count_outcomes(&mut self, outcomes: &[Option<Outcome>], counting: &[bool], aims: &[Duration]) {
        for (index, outcome) in outcomes.iter().enumerate() {
            let kind = outcome.map_or(AnswerKind::NoAnswer, |outcome| outcome.kind);
            self.lost += u64::from(kind == AnswerKind::NoAnswer);
            if !counting[index] {
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

    fn record_usage(&mut self, before: &Snapshot, after: &Snapshot, spent: f64) {
        let pairs = || before.usages.iter().zip(&after.usages);
        let (then, now) = (&before.counters, &after.counters);
        self.started = now.started - then.started;
        self.attempts = now.attempts - then.attempts;
        self.rejected = now.rejected - then.rejected;
        self.cancelled = now.cancelled - then.cancelled;
        self.resident_kib = Spread::of(after.usages.iter().map(|usage| usage.resident_kib as f64));
        self.resident_peak_kib = Spread::of(after.usages.iter().map(|usage| usage.resident_peak_kib as f64));
        self.cpu_ms_per_s = Spread::of(pairs().map(|(then, now)| (now.cpu_ms - then.cpu_ms) / spent));
        self.on_cpu_ms_per_s =
            Spread::of(pairs().map(|(then, now)| (now.on_cpu_ms - then.on_cpu_ms) / spent));
        let cpu: f64 = pairs().map(|(then, now)| now.on_cpu_ms - then.on_cpu_ms).sum();
        self.cpu_us_per_job = cpu * 1e3 / self.jobs.max(1) as f64;
        self.counts = after.counts.since(&before.counts);
        self.traffic = self.counts.by_function();
    }
}

/// Kills the last process and starts it anew; what that adds to what the fleet exchanges at rest.
fn restart(
    program: &Path,
    harness: &mut Harness,
    settings: &serde_json::Value,
    processes: &mut Vec<Process>,
    seed: u64,
) -> Result<Restart, String> {
    let rank = processes.len() - 1;
    harness.run_until(Instant::now() + SETTLE_TIME)?;
    let begun = harness.counts().clone();
    harness.run_until(Instant::now() + RESTART_SPAN)?;
    let at_rest = harness.counts().since(&begun).by_function();
    drop(processes.pop());
    harness.set_address(rank, None, None);
    harness.run_until(Instant::now() + SETTLE_TIME)?;
    let (before, from) = (harness.counts().clone(), Instant::now());
    let restarted = start(program, harness, settings, rank..rank + 1, seed ^ 1)?;
    let used = usages(&restarted);
    processes.extend(restarted);
    harness.run_until(from + RESTART_SPAN)?;
    let counts = harness.counts().since(&before);
    let mut traffic = counts.by_function();
    for (name, sum) in &mut traffic {
        let idle = at_rest.get(name).copied().unwrap_or_default();
        sum.messages = sum.messages.saturating_sub(idle.messages);
        sum.bytes = sum.bytes.saturating_sub(idle.bytes);
    }
    // Its greeting goes out once; each of the others answers, and hears the greeting: that is their traffic, not its own.
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
