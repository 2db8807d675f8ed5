//! Measures the cost of settings changes: the time until they are in force, and processor time, memory and bytes of
//! machines and schedulers.

use super::{MACHINES, Regions};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Shortest interval between two changes.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Resources that a process has used: processor time in microseconds, current and peak resident memory in KiB.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceUse {
    cpu_us: u64,
    rss_kib: u64,
    peak_kib: u64,
}

/// Resource use of several processes by process id.
type ProcessUses = Vec<(u32, ResourceUse)>;

/// Reads the resource use of a process from `/proc`.
fn resource_use(process: u32) -> ResourceUse {
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default();
    let cpu = read("schedstat").split(' ').next().and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let status = read("status");
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    };
    ResourceUse { cpu_us: cpu / 1_000, rss_kib: field("VmRSS:"), peak_kib: field("VmHWM:") }
}

/// Mean and maximum processor time of processes since `before`, in milliseconds per second of `span`.
fn cpu_rate(before: &[(u32, ResourceUse)], span: Duration) -> (f64, f64) {
    let each: Vec<f64> = before
        .iter()
        .map(|(process, before)| {
            (resource_use(*process).cpu_us.saturating_sub(before.cpu_us)) as f64 / 1e3 / span.as_secs_f64()
        })
        .collect();
    (each.iter().sum::<f64>() / each.len().max(1) as f64, each.iter().copied().fold(0.0, f64::max))
}

/// Rounds to two decimal places.
fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

impl Regions {
    /// Resource use of the running machines and of the schedulers.
    fn process_uses(&self) -> (ProcessUses, ProcessUses) {
        let of = |process: u32| (process, resource_use(process));
        let machines = self.machines.iter().filter_map(|machine| machine.process_id()).map(of).collect();
        (machines, self.schedulers.iter().map(|scheduler| of(scheduler.process_id())).collect())
    }

    /// Bytes in both directions between each scheduler and the machines, by rank.
    fn learner_bytes(&self) -> BTreeMap<usize, u64> {
        let mut bytes = BTreeMap::new();
        for ((rank, _), relay) in self.learner_relays() {
            let both = relay.forward().bytes.load(Ordering::Relaxed)
                + relay.backward().bytes.load(Ordering::Relaxed);
            *bytes.entry(*rank).or_insert(0) += both;
        }
        bytes
    }

    /// Measures an idle span, then a series of changes during which the leader is killed halfway.
    pub fn measure(&mut self, changes: usize, idle: Duration) -> Value {
        let count = self.schedulers.len();
        let (machines, schedulers) = self.process_uses();
        let (since, before) = (Instant::now(), self.learner_bytes());
        // The sleep is the measured span; it does not wait for a condition.
        thread::sleep(idle);
        let span = since.elapsed();
        let idle_bytes: u64 = self.learner_bytes().values().sum::<u64>() - before.values().sum::<u64>();
        let (machine_idle, scheduler_idle) = (cpu_rate(&machines, span), cpu_rate(&schedulers, span));

        let (machines, schedulers) = self.process_uses();
        let (since, before) = (Instant::now(), self.learner_bytes());
        let killed = self.leader();
        let mut accepted: Vec<(u64, Instant)> = Vec::new();
        let (mut worst, mut mark) = (0_u64, (Instant::now(), self.learner_bytes()));
        for nr in 0..changes {
            if nr == changes / 2 {
                self.kill(killed);
            }
            let id = 1 + nr % MACHINES;
            let id = if id == killed { 1 + id % MACHINES } else { id };
            let value = u32::try_from(1_000 + nr).unwrap_or(0);
            let at = self.change(id, value);
            accepted.push((self.last_accepted().0, at));
            while at.elapsed() < MIN_CHANGE_INTERVAL {
                thread::sleep(Duration::from_millis(5));
                if mark.0.elapsed() >= Duration::from_secs(1) {
                    let now = self.learner_bytes();
                    let max_bytes =
                        now.iter().map(|(rank, bytes)| bytes - mark.1.get(rank).unwrap_or(&0)).max();
                    worst = worst.max(max_bytes.unwrap_or(0));
                    mark = (Instant::now(), now);
                }
            }
        }
        self.wait_in_force("the last change");
        let span = since.elapsed();
        let bytes: u64 = self.learner_bytes().values().sum::<u64>() - before.values().sum::<u64>();
        let (machine_busy, scheduler_busy) = (
            cpu_rate(
                &machines
                    .iter()
                    .copied()
                    .filter(|(process, _)| self.is_running(*process))
                    .collect::<Vec<_>>(),
                span,
            ),
            cpu_rate(&schedulers, span),
        );
        let mut delays: Vec<f64> = Vec::new();
        for (seq, at) in &accepted {
            for rank in 0..count {
                let seen = self.first_in_force(rank, *seq).unwrap_or_else(|| {
                    self.fail(&format!("version {seq} is not in force at scheduler {rank}"))
                });
                delays.push(seen.saturating_duration_since(*at).as_secs_f64() * 1e3);
            }
        }
        delays.sort_by(f64::total_cmp);
        let quantile =
            |share: f64| delays.get(((delays.len() as f64 - 1.0) * share) as usize).copied().unwrap_or(0.0);
        let behind = (0..count).filter(|rank| self.metric(*rank, "control.behind").as_deref() != Some("0"));
        let behind = behind.count();
        self.boot(killed);
        let (machines, schedulers) = self.process_uses();
        let max_of = |uses: &[(u32, ResourceUse)], of: fn(&ResourceUse) -> u64| {
            uses.iter().map(|(_, one)| of(one)).max().unwrap_or(0)
        };
        json!({
            "schedulers": count, "machines": MACHINES, "changes": changes, "seed": self.seed,
            "killed": killed, "built": if cfg!(debug_assertions) { "debug" } else { "release" },
            "in_force_p50_ms": round(quantile(0.5)), "in_force_p99_ms": round(quantile(0.99)), "in_force_max_ms": round(quantile(1.0)),
            "behind": behind, "seconds_of_changes": round(span.as_secs_f64()),
            "learner_bytes_per_s_idle": round(idle_bytes as f64 / idle.as_secs_f64() / count as f64),
            "learner_bytes_per_s_changes": round(bytes as f64 / span.as_secs_f64() / count as f64),
            "learner_bytes_per_s_worst": worst,
            "scheduler_cpu_ms_per_s_idle": round(scheduler_idle.0), "scheduler_cpu_ms_per_s_idle_worst": round(scheduler_idle.1),
            "scheduler_cpu_ms_per_s_changes": round(scheduler_busy.0), "scheduler_cpu_ms_per_s_changes_worst": round(scheduler_busy.1),
            "machine_cpu_ms_per_s_idle": round(machine_idle.0), "machine_cpu_ms_per_s_idle_worst": round(machine_idle.1),
            "machine_cpu_ms_per_s_changes": round(machine_busy.0), "machine_cpu_ms_per_s_changes_worst": round(machine_busy.1),
            "scheduler_rss_kib": max_of(&schedulers, |one| one.rss_kib), "scheduler_peak_kib": max_of(&schedulers, |one| one.peak_kib),
            "machine_rss_kib": max_of(&machines, |one| one.rss_kib), "machine_peak_kib": max_of(&machines, |one| one.peak_kib),
        })
    }

    /// Returns whether the process is that of a running machine.
    fn is_running(&self, process: u32) -> bool {
        self.machines.iter().any(|machine| machine.process_id() == Some(process))
    }
}
