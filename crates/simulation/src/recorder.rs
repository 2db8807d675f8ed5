//! The ledger: what was sent, started and answered, by scheduler and second, and the account that comes of it.

use crate::Micros;
use crate::plan::{Plan, SECOND, URGENT_CLASS};
use hdrhistogram::Histogram;
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Instant;

/// Starts are counted in steps of this.
const START_BIN: Micros = 100_000;
/// Starts are compared over windows of so many steps.
const WINDOW_BINS: usize = 30;
/// Starts before something goes wrong are those of so many steps.
const BASELINE_BINS: usize = 100;
/// Under this part of what was before, starts have broken down, ...
const OUTAGE_THRESHOLD: f64 = 0.85;
/// ... and from this part on they are back.
const RECOVERY_THRESHOLD: f64 = 0.95;

/// What a control message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Function {
    /// Calls for the list and whole lists.
    List,
    /// Watches: changes and empty lines.
    Watch,
    /// Loads told within a cohort.
    PeerLoads,
    Hellos,
    FaultReports,
    Probes,
    /// Watches at control machines, and what is in force told to them.
    Config,
}

const FUNCTIONS: [(&str, Function); 7] = [
    ("list", Function::List),
    ("watch", Function::Watch),
    ("talk", Function::PeerLoads),
    ("greetings", Function::Hellos),
    ("troubles", Function::FaultReports),
    ("probes", Function::Probes),
    ("config", Function::Config),
];

/// Control messages of one function over the whole fleet, those that schedulers sent and those that came to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Messages: datagrams, requests and answers, lines of a watch.
    pub messages: u64,
    /// Their bytes, without the headers of UDP, TCP and IP.
    pub bytes: u64,
}

/// What is counted beside the account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExtraCounts {
    /// Requests that ended with their scheduler: it was killed, or its machine went.
    pub lost_with_scheduler: u64,
    /// Requests that were answered as failed.
    pub failed: u64,
    /// Attempts sent, further ones of a request included.
    pub attempts: u64,
    /// Tasks that ended with their worker, or could not be told of.
    pub tasks_lost: u64,
    /// Datagrams sent, and those that arrived.
    pub datagrams: (u64, u64),
    /// Messages that came through a link while it was cut.
    pub messages_through_cuts: u64,
    /// Calls that discovery refused because too many waited.
    pub refused_watch_calls: u64,
}

/// What became of changes of configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ConfigOutcome {
    /// Changes that were agreed.
    #[serde(skip)]
    pub changes_accepted: u64,
    /// From a change being accepted to its being in force at a scheduler: 99 of 100 such times are shorter, in
    /// milliseconds.
    pub in_force_p99_ms: f64,
    /// The longest such time.
    pub in_force_max_ms: f64,
    /// Schedulers that at the end had not the last version in force, or did not know that they had.
    pub behind: u64,
    /// Versions in force somewhere that were not agreed, or were agreed in two forms.
    pub unagreed: u64,
    /// Changes that were told to be agreed, and are not among what the control machines remember at the end.
    pub lost_versions: u64,
}

/// What came of a play.
///
/// All counts are of the seconds that count, `Plan::seconds` after the warm-up; a request counts where it came in.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// How many schedulers.
    pub schedulers: u32,
    /// How many workers.
    pub workers: u32,
    /// How many tenants.
    pub tenants: u32,
    /// Requests that came in.
    pub jobs: u64,
    /// Tasks that started at a worker.
    pub started: u64,
    /// Most tasks that ran at the same time.
    pub running_peak: u64,
    /// Requests that were served.
    pub served: u64,
    /// Of these, those that were served after their aim.
    pub late: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that never got a final answer.
    pub lost: u64,
    /// Attempts that came to a worker though the rules allowed no second one.
    pub doubled: u64,
    /// 999 of 1,000 urgent requests that were started waited less than this for it, in milliseconds.
    pub urgent_start_p999_ms: f64,
    /// Processor time of the decision module on control, mean of all schedulers, in milliseconds a second.
    pub control_cpu_ms_per_s_mean: f64,
    /// The same of the scheduler worst off in its worst second.
    pub control_cpu_ms_per_s_worst: f64,
    /// Control bytes in and out, mean of all schedulers, a second.
    pub control_bytes_per_s_mean: f64,
    /// The same of the scheduler worst off in its worst second.
    pub control_bytes_per_s_worst: u64,
    /// Datagrams in and out of the scheduler worst off in its worst second.
    pub control_datagrams_per_s_worst: u64,
    /// What a scheduler knows at the end, as JSON for a process that takes over, mean of all, in bytes.
    pub state_bytes_per_scheduler: u64,
    /// Bytes in and out of discovery in its worst second.
    pub discovery_bytes_per_s_worst: u64,
    /// Requests of tenants that ask for 0.8 of their quota: the part that counted as within.
    pub quota_in_share_ratio: f64,
    /// Requests of tenants that ask for twice their quota: what counted as within, as a part of the quota.
    pub quota_over_ratio: f64,
    /// From what went wrong until starts were back, in milliseconds; `None`: nothing went wrong, or they are not back.
    pub recovered_ms: Option<u64>,
    /// The most memory that this process held, in megabytes.
    pub peak_rss_mb: f64,
    /// How long the play took.
    pub wall_s: f64,
    /// Control messages by function.
    pub traffic: BTreeMap<&'static str, Traffic>,
    /// What became of changes of configuration, where they were played.
    #[serde(flatten)]
    pub config: Option<ConfigOutcome>,
    /// Counts beside these.
    #[serde(skip)]
    pub extra: ExtraCounts,
}

impl Summary {
    /// The same without what is measured of this machine: alike for the same plan, to the byte.
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

/// What one scheduler spent on control in one second.
#[derive(Clone, Copy, Default)]
struct SecondUsage {
    bytes: u32,
    datagrams: u32,
    nanos: u32,
}

/// See the head of this file.
pub(crate) struct Recorder {
    begin: Micros,
    end: Micros,
    seconds: usize,
    /// By scheduler, then by second.
    usage: Vec<SecondUsage>,
    discovery_bytes: Vec<u64>,
    traffic: [Traffic; FUNCTIONS.len()],
    starts_by_bin: Vec<u32>,
    running: u64,
    urgent_start_delays: Histogram<u64>,
    started_at: Instant,
    /// What a look at the thread's clock itself takes.
    clock_overhead: u64,
    pub(crate) summary: Summary,
}

/// This thread's own processor time, in steps of a nanosecond.
fn thread_nanos() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

fn since(begun: u64) -> u64 {
    thread_nanos().saturating_sub(begun)
}

impl Recorder {
    pub(crate) fn new(plan: &Plan) -> Self {
        let (begin, end) = plan.measured_span();
        let seconds = plan.measured_seconds.max(1) as usize;
        let account = Summary {
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
            // Three digits up to an hour, in microseconds: the bounds are sound.
            urgent_start_delays: Histogram::new_with_bounds(1, 3_600 * SECOND, 3)
                .unwrap_or_else(|_| unreachable!()),
            started_at: Instant::now(),
            clock_overhead: (0..1_000).map(|_| since(thread_nanos())).min().unwrap_or(0),
            summary: account,
        }
    }

    /// This moment is among those that count.
    pub(crate) fn is_measured(&self, now: Micros) -> bool {
        (self.begin..self.end).contains(&now)
    }

    fn measured_second(&self, now: Micros) -> Option<usize> {
        self.is_measured(now).then(|| ((now - self.begin) / SECOND) as usize)
    }

    /// A control message was sent by a scheduler, or came to it.
    pub(crate) fn record_message(&mut self, now: Micros, rank: u32, function: Function, bytes: usize) {
        let Some(second) = self.measured_second(now) else { return };
        let datagram = matches!(function, Function::PeerLoads | Function::Hellos | Function::FaultReports);
        let bin = &mut self.usage[rank as usize * self.seconds + second];
        bin.bytes += bytes as u32;
        bin.datagrams += u32::from(datagram);
        let sum = &mut self.traffic[function as usize];
        sum.messages += 1;
        sum.bytes += bytes as u64;
    }

    /// Discovery sent or got so much.
    pub(crate) fn record_discovery_bytes(&mut self, now: Micros, bytes: usize) {
        if let Some(second) = self.measured_second(now) {
            self.discovery_bytes[second] += bytes as u64;
        }
    }

    /// Runs a control event of a scheduler and notes how long it took.
    pub(crate) fn time_control_event<T>(&mut self, now: Micros, rank: u32, run: impl FnOnce() -> T) -> T {
        let Some(second) = self.measured_second(now) else { return run() };
        let begun = thread_nanos();
        let done = run();
        let nanos = since(begun).saturating_sub(self.clock_overhead);
        let bin = &mut self.usage[rank as usize * self.seconds + second];
        bin.nanos = bin.nanos.saturating_add(u32::try_from(nanos).unwrap_or(u32::MAX));
        done
    }

    /// A task has started at a worker; `waited` since its request came in, unless one of it had started before.
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

    /// A task that had started is over.
    pub(crate) fn record_stop(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// From what went wrong until starts are back: the end of the last window in which they were broken down, up to the
    /// first one after it in which they are as before.
    fn recovery_time_ms(&self, wrong: Micros) -> Option<u64> {
        let at = ((wrong - self.begin) / START_BIN) as usize;
        let before: u32 = self.starts_by_bin[at.saturating_sub(BASELINE_BINS)..at].iter().sum();
        let usual = f64::from(before) / at.min(BASELINE_BINS) as f64 * WINDOW_BINS as f64;
        let sums: Vec<f64> = self.starts_by_bin[at..]
            .windows(WINDOW_BINS)
            .map(|window| f64::from(window.iter().sum::<u32>()))
            .collect();
        let Some(down) = sums.iter().rposition(|&sum| sum < OUTAGE_THRESHOLD * usual) else { return Some(0) };
        let back = sums[down..].iter().position(|&sum| sum >= RECOVERY_THRESHOLD * usual)?;
        Some((down + back) as u64 * START_BIN / 1_000)
    }

    /// The account, once all is over.
    pub(crate) fn finish(
        mut self,
        wrong: Option<Micros>,
        within: QuotaRatios,
        state_bytes: u64,
        agreed: Option<ConfigOutcome>,
    ) -> Summary {
        let seconds = self.seconds as f64;
        let schedulers = f64::from(self.summary.schedulers);
        let (bytes, nanos): (u64, u64) = self
            .usage
            .iter()
            .fold((0, 0), |sum, bin| (sum.0 + u64::from(bin.bytes), sum.1 + u64::from(bin.nanos)));
        let worst = |of: fn(&SecondUsage) -> u32| u64::from(self.usage.iter().map(of).max().unwrap_or(0));
        let recovered = wrong.and_then(|at| self.recovery_time_ms(at));
        let traffic = FUNCTIONS.iter().map(|&(name, function)| (name, self.traffic[function as usize]));
        let account = &mut self.summary;
        account.urgent_start_p999_ms = self.urgent_start_delays.value_at_quantile(0.999) as f64 / 1e3;
        account.control_cpu_ms_per_s_mean = nanos as f64 / 1e6 / seconds / schedulers;
        account.control_cpu_ms_per_s_worst = worst(|bin| bin.nanos) as f64 / 1e6;
        account.control_bytes_per_s_mean = bytes as f64 / seconds / schedulers;
        account.control_bytes_per_s_worst = worst(|bin| bin.bytes);
        account.control_datagrams_per_s_worst = worst(|bin| bin.datagrams);
        account.state_bytes_per_scheduler = state_bytes;
        account.discovery_bytes_per_s_worst = self.discovery_bytes.iter().copied().max().unwrap_or(0);
        account.quota_in_share_ratio = within.within_quota;
        account.quota_over_ratio = within.over_quota;
        account.recovered_ms = recovered;
        account.peak_rss_mb = peak_rss_mb();
        account.wall_s = self.started_at.elapsed().as_secs_f64();
        account.traffic = traffic.collect();
        account.config = agreed;
        self.summary
    }
}

/// What counted as within the tenants' shares.
#[derive(Clone, Copy, Default)]
pub(crate) struct QuotaRatios {
    pub(crate) within_quota: f64,
    pub(crate) over_quota: f64,
}

fn peak_rss_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}
