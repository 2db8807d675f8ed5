//! The recorder: counts of messages, task starts and answers by scheduler and second, and the summary made from them.

use crate::Micros;
use crate::plan::{Plan, SECOND, URGENT_CLASS};
use hdrhistogram::Histogram;
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Instant;

/// Width of the bins in which task starts are counted.
const START_BIN: Micros = 100_000;
/// Number of bins in the window (3 s) whose starts are compared with the usual starts.
const WINDOW_BINS: usize = 30;
/// Number of bins (10 s) before the incident from which the usual starts are computed.
const BASELINE_BINS: usize = 100;
/// A window with less than this fraction of the usual starts is part of the outage.
const OUTAGE_THRESHOLD: f64 = 0.85;
/// Starts have recovered in the first window after the outage that has at least this fraction of the usual starts.
const RECOVERY_THRESHOLD: f64 = 0.95;

/// Purpose of a control message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Function {
    /// Requests for the list or a watch of it, and whole lists.
    List,
    /// Messages on watches of the list: changes and keepalives.
    Watch,
    /// Loads of workers, sent to the schedulers of a cohort.
    PeerLoads,
    /// First messages of schedulers to others, and the answers.
    Hellos,
    /// Reports of faults of workers.
    FaultReports,
    /// Probe requests and responses.
    Probes,
    /// Watches at control machines, and reports of the version in force.
    Config,
}

/// The control functions by their names in [`Summary::traffic`], which are part of the serialized summary.
const FUNCTIONS: [(&str, Function); 7] = [
    ("list", Function::List),
    ("watch", Function::Watch),
    ("talk", Function::PeerLoads),
    ("greetings", Function::Hellos),
    ("troubles", Function::FaultReports),
    ("probes", Function::Probes),
    ("config", Function::Config),
];

/// Control messages of one function that the schedulers of the fleet sent or received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Number of messages: datagrams, requests, responses, and lines of a watch.
    pub messages: u64,
    /// Bytes of the messages, without the headers of UDP, TCP and IP.
    pub bytes: u64,
}

/// Counts that are not part of the serialized summary.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExtraCounts {
    /// Requests that were lost because their scheduler was killed or its machine vanished.
    pub lost_with_scheduler: u64,
    /// Requests that were answered with a failure.
    pub failed: u64,
    /// Attempts sent, including second and later ones of a request.
    pub attempts: u64,
    /// Tasks that ended with their worker, or whose end could not be delivered to the scheduler.
    pub tasks_lost: u64,
    /// Datagrams sent, and datagrams delivered.
    pub datagrams: (u64, u64),
    /// Messages that were delivered over a path while it was cut. Any number but 0 is a fault of the simulation.
    pub messages_through_cuts: u64,
    /// Watch requests that discovery refused because too many were waiting.
    pub refused_watch_calls: u64,
}

/// Outcome of the settings changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ConfigOutcome {
    /// Changes that the control machines agreed on.
    #[serde(skip)]
    pub changes_accepted: u64,
    /// 99th percentile of the time from the acceptance of a change until it is in force at a scheduler, in milliseconds.
    pub in_force_p99_ms: f64,
    /// Longest time from the acceptance of a change until it is in force at a scheduler, in milliseconds.
    pub in_force_max_ms: f64,
    /// Schedulers that at the end did not have the last version in force, or regarded themselves as behind.
    pub behind: u64,
    /// Versions that were in force at a scheduler without agreement, or that were agreed with two different contents.
    pub unagreed: u64,
    /// Changes that were reported as agreed and are unknown to the control machines at the end.
    pub lost_versions: u64,
}

/// Summary of a simulation.
///
/// All counts are of the measured time, the `Plan::measured_seconds` after the warm-up. A request belongs to the second in
/// which it came in.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Number of schedulers.
    pub schedulers: u32,
    /// Number of workers.
    pub workers: u32,
    /// Number of tenants.
    pub tenants: u32,
    /// Requests that came in.
    pub jobs: u64,
    /// Tasks that started at a worker.
    pub started: u64,
    /// Largest number of tasks that ran at the same time.
    pub running_peak: u64,
    /// Requests that were served.
    pub served: u64,
    /// Served requests that were answered after their aim.
    pub late: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that never got a final answer.
    pub lost: u64,
    /// Attempts that arrived at a worker although the rules allowed no further attempt.
    pub doubled: u64,
    /// 99.9th percentile of the time that urgent requests waited for their start, in milliseconds.
    pub urgent_start_p999_ms: f64,
    /// Processor time that the decision module spends on control events, mean of all schedulers, in milliseconds per second.
    pub control_cpu_ms_per_s_mean: f64,
    /// Processor time on control events, largest value of any scheduler in any second, in milliseconds.
    pub control_cpu_ms_per_s_worst: f64,
    /// Control bytes in and out, mean of all schedulers, per second.
    pub control_bytes_per_s_mean: f64,
    /// Control bytes in and out, largest value of any scheduler in any second.
    pub control_bytes_per_s_worst: u64,
    /// Datagrams in and out, largest value of any scheduler in any second.
    pub control_datagrams_per_s_worst: u64,
    /// Size of the knowledge that a scheduler would hand to a successor at the end, as JSON, mean of all, in bytes.
    pub state_bytes_per_scheduler: u64,
    /// Bytes in and out of discovery, largest value of any second.
    pub discovery_bytes_per_s_worst: u64,
    /// Fraction of the requests that counted as within the quota, for tenants with a demand of 0.8 of their quota.
    pub quota_in_share_ratio: f64,
    /// Number of requests that counted as within the quota, divided by the quota, for tenants with a demand of twice their
    /// quota.
    pub quota_over_ratio: f64,
    /// Time from the incident until task starts recovered, in milliseconds. `None` if there was no incident or no recovery.
    pub recovered_ms: Option<u64>,
    /// Peak resident memory of this process, in megabytes.
    pub peak_rss_mb: f64,
    /// Wall time of the simulation, in seconds.
    pub wall_s: f64,
    /// Control messages by function.
    pub traffic: BTreeMap<&'static str, Traffic>,
    /// Outcome of the settings changes, with [`crate::Incident::Config`].
    #[serde(flatten)]
    pub config: Option<ConfigOutcome>,
    /// Counts that are not serialized.
    #[serde(skip)]
    pub extra: ExtraCounts,
}

impl Summary {
    /// The summary without the values measured on this machine. It is the same for the same plan, to the byte.
    pub fn deterministic_counts(&self) -> Summary {
        Summary {
            control_cpu_ms_per_s_mean: 0.0,
            control_cpu_ms_per_s_worst: 0.0,
            peak_rss_mb: 0.0,
            wall_s: 0.0,
            ..self.clone()
        }
    }
}

/// Control messages and processor time of one scheduler in one second.
#[derive(Clone, Copy, Default)]
struct SecondUsage {
    bytes: u32,
    datagrams: u32,
    nanos: u32,
}

/// Records the counts of a simulation while it runs.
pub(crate) struct Recorder {
    begin: Micros,
    end: Micros,
    seconds: usize,
    /// By scheduler and second: index `rank * seconds + second`.
    usage: Vec<SecondUsage>,
    /// Bytes in and out of discovery, by second.
    discovery_bytes: Vec<u64>,
    traffic: [Traffic; FUNCTIONS.len()],
    /// Task starts, by bins of [`START_BIN`].
    starts_by_bin: Vec<u32>,
    /// Number of tasks that run now.
    running: u64,
    /// Delays from the arrival to the first start of urgent requests, in microseconds.
    urgent_start_delays: Histogram<u64>,
    started_at: Instant,
    /// Time that reading the thread clock itself takes, in nanoseconds.
    clock_overhead: u64,
    pub(crate) summary: Summary,
}

/// Processor time of this thread, in nanoseconds.
fn thread_nanos() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Processor time of this thread since `started`, in nanoseconds.
fn nanos_since(started: u64) -> u64 {
    thread_nanos().saturating_sub(started)
}

impl Recorder {
    pub(crate) fn new(plan: &Plan) -> Self {
        let (begin, end) = plan.measured_span();
        let seconds = plan.measured_seconds.max(1) as usize;
        let summary = Summary {
            schedulers: plan.schedulers,
            workers: plan.workers,
            tenants: plan.tenants,
            ..Summary::default()
        };
        Recorder {
            begin,
            end,
            seconds,
            usage: vec![SecondUsage::default(); seconds * plan.schedulers as usize],
            discovery_bytes: vec![0; seconds],
            traffic: Default::default(),
            starts_by_bin: vec![0; seconds * (SECOND / START_BIN) as usize],
            running: 0,
            // Three significant digits up to one hour, in microseconds. These bounds are valid for a histogram.
            urgent_start_delays: Histogram::new_with_bounds(1, 3_600 * SECOND, 3)
                .unwrap_or_else(|_| unreachable!()),
            started_at: Instant::now(),
            clock_overhead: (0..1_000).map(|_| nanos_since(thread_nanos())).min().unwrap_or(0),
            summary,
        }
    }

    /// True if `now` is in the measured time.
    pub(crate) fn is_measured(&self, now: Micros) -> bool {
        (self.begin..self.end).contains(&now)
    }

    fn measured_second(&self, now: Micros) -> Option<usize> {
        self.is_measured(now).then(|| ((now - self.begin) / SECOND) as usize)
    }

    /// Records a control message that a scheduler sent or received.
    pub(crate) fn record_message(&mut self, now: Micros, rank: u32, function: Function, bytes: usize) {
        let Some(second) = self.measured_second(now) else { return };
        let is_datagram = matches!(function, Function::PeerLoads | Function::Hellos | Function::FaultReports);
        let usage = &mut self.usage[rank as usize * self.seconds + second];
        usage.bytes += bytes as u32;
        usage.datagrams += u32::from(is_datagram);
        let traffic = &mut self.traffic[function as usize];
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    /// Records bytes that discovery sent or received.
    pub(crate) fn record_discovery_bytes(&mut self, now: Micros, bytes: usize) {
        if let Some(second) = self.measured_second(now) {
            self.discovery_bytes[second] += bytes as u64;
        }
    }

    /// Runs a control event of a scheduler and records the processor time.
    pub(crate) fn time_control_event<T>(&mut self, now: Micros, rank: u32, run: impl FnOnce() -> T) -> T {
        let Some(second) = self.measured_second(now) else { return run() };
        let started = thread_nanos();
        let result = run();
        let nanos = nanos_since(started).saturating_sub(self.clock_overhead);
        let usage = &mut self.usage[rank as usize * self.seconds + second];
        usage.nanos = usage.nanos.saturating_add(u32::try_from(nanos).unwrap_or(u32::MAX));
        result
    }

    /// Records the start of a task at a worker. `waited` is the time since its request came in, or `None` if a task of the
    /// request had started before.
    pub(crate) fn record_start(&mut self, now: Micros, class: usize, waited: Option<Micros>) {
        self.running += 1;
        if self.is_measured(now) {
            self.summary.started += 1;
            self.summary.running_peak = self.summary.running_peak.max(self.running);
            self.starts_by_bin[((now - self.begin) / START_BIN) as usize] += 1;
            if let Some(waited) = waited.filter(|_| class == URGENT_CLASS) {
                self.urgent_start_delays.saturating_record(waited);
            }
        }
    }

    /// Records the end of a task that had started.
    pub(crate) fn record_stop(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Time from the incident until task starts recovered, in milliseconds: the first window with
    /// [`RECOVERY_THRESHOLD`] of the usual starts after the last window with less than [`OUTAGE_THRESHOLD`] of them.
    fn recovery_time_ms(&self, incident_at: Micros) -> Option<u64> {
        let at = ((incident_at - self.begin) / START_BIN) as usize;
        let before: u32 = self.starts_by_bin[at.saturating_sub(BASELINE_BINS)..at].iter().sum();
        let usual = f64::from(before) / at.min(BASELINE_BINS) as f64 * WINDOW_BINS as f64;
        let sums: Vec<f64> = self.starts_by_bin[at..]
            .windows(WINDOW_BINS)
            .map(|window| f64::from(window.iter().sum::<u32>()))
            .collect();
        let Some(last_down) = sums.iter().rposition(|&sum| sum < OUTAGE_THRESHOLD * usual) else {
            return Some(0);
        };
        let recovery = sums[last_down..].iter().position(|&sum| sum >= RECOVERY_THRESHOLD * usual)?;
        Some((last_down + recovery) as u64 * START_BIN / 1_000)
    }

    /// Makes the summary at the end of the simulation.
    pub(crate) fn finish(
        mut self,
        incident_at: Option<Micros>,
        quota: QuotaRatios,
        state_bytes: u64,
        config: Option<ConfigOutcome>,
    ) -> Summary {
        let seconds = self.seconds as f64;
        let schedulers = f64::from(self.summary.schedulers);
        let (bytes, nanos): (u64, u64) = self
            .usage
            .iter()
            .fold((0, 0), |sum, usage| (sum.0 + u64::from(usage.bytes), sum.1 + u64::from(usage.nanos)));
        let worst = |of: fn(&SecondUsage) -> u32| u64::from(self.usage.iter().map(of).max().unwrap_or(0));
        let recovered_ms = incident_at.and_then(|at| self.recovery_time_ms(at));
        let traffic = FUNCTIONS.iter().map(|&(name, function)| (name, self.traffic[function as usize]));
        let summary = &mut self.summary;
        summary.urgent_start_p999_ms = self.urgent_start_delays.value_at_quantile(0.999) as f64 / 1e3;
        summary.control_cpu_ms_per_s_mean = nanos as f64 / 1e6 / seconds / schedulers;
        summary.control_cpu_ms_per_s_worst = worst(|usage| usage.nanos) as f64 / 1e6;
        summary.control_bytes_per_s_mean = bytes as f64 / seconds / schedulers;
        summary.control_bytes_per_s_worst = worst(|usage| usage.bytes);
        summary.control_datagrams_per_s_worst = worst(|usage| usage.datagrams);
        summary.state_bytes_per_scheduler = state_bytes;
        summary.discovery_bytes_per_s_worst = self.discovery_bytes.iter().copied().max().unwrap_or(0);
        summary.quota_in_share_ratio = quota.within_quota;
        summary.quota_over_ratio = quota.over_quota;
        summary.recovered_ms = recovered_ms;
        summary.peak_rss_mb = peak_rss_mb();
        summary.wall_s = self.started_at.elapsed().as_secs_f64();
        summary.traffic = traffic.collect();
        summary.config = config;
        self.summary
    }
}

/// Ratios of requests that counted as within their tenant's quota.
#[derive(Clone, Copy, Default)]
pub(crate) struct QuotaRatios {
    /// For tenants that stay within their quota: requests that counted as within it, divided by all requests.
    pub(crate) within_quota: f64,
    /// For tenants that exceed their quota: requests that counted as within it, divided by the quota.
    pub(crate) over_quota: f64,
}

/// Peak resident memory of this process in megabytes, or 0 if the system does not report it.
fn peak_rss_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}
