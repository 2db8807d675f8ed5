//! What changes cost: time until they are in force, and processor time, memory and bytes of each role.

use super::{MACHINES, Regions};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Between two changes, at least.
const PACE: Duration = Duration::from_millis(250);

/// What the system says of a process: processor time in microseconds, and resident memory in KiB, now and at most.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    cpu_us: u64,
    rss_kib: u64,
    peak_kib: u64,
}

/// Those of several processes.
type Uses = Vec<(u32, Use)>;

fn use_of(process: u32) -> Use {
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default();
    let cpu = read("schedstat").split(' ').next().and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let status = read("status");
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    };
    Use { cpu_us: cpu / 1_000, rss_kib: field("VmRSS:"), peak_kib: field("VmHWM:") }
}

/// Mean and most of the processor time that processes took over a span, in milliseconds a second.
fn cpu(before: &[(u32, Use)], span: Duration) -> (f64, f64) {
    let each: Vec<f64> = before
        .iter()
        .map(|(process, before)| {
            (use_of(*process).cpu_us.saturating_sub(before.cpu_us)) as f64 / 1e3 / span.as_secs_f64()
        })
        .collect();
    (each.iter().sum::<f64>() / each.len().max(1) as f64, each.iter().copied().fold(0.0, f64::max))
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

impl Regions {
    fn uses(&self) -> (Uses, Uses) {
        let of = |process: u32| (process, use_of(process));
        let machines = self.machines.iter().filter_map(|machine| machine.process()).map(of).collect();
        (machines, self.schedulers.iter().map(|scheduler| of(scheduler.process())).collect())
    }

    /// Bytes that went to each scheduler and came from it.
    fn learned(&self) -> BTreeMap<usize, u64> {
        let mut bytes = BTreeMap::new();
        for ((rank, _), relay) in self.learning() {
            let both =
                relay.there().bytes.load(Ordering::Relaxed) + relay.back().bytes.load(Ordering::Relaxed);
            *bytes.entry(*rank).or_insert(0) += both;
        }
        bytes
    }

    /// Rests for so long, then makes so many changes, in the middle of which the leader is killed.
    pub fn measure(&mut self, changes: usize, idle: Duration) -> Value {
        let count = self.schedulers.len();
        let (machines, schedulers) = self.uses();
        let (since, before) = (Instant::now(), self.learned());
        // What is measured is a span: nothing is waited for.
        thread::sleep(idle);
        let span = since.elapsed();
        let idle_bytes: u64 = self.learned().values().sum::<u64>() - before.values().sum::<u64>();
        let (machine_idle, scheduler_idle) = (cpu(&machines, span), cpu(&schedulers, span));

        let (machines, schedulers) = self.uses();
        let (since, before) = (Instant::now(), self.learned());
        let killed = self.leader();
        let mut accepted: Vec<(u64, Instant)> = Vec::new();
        let (mut worst, mut mark) = (0_u64, (Instant::now(), self.learned()));
        for nr in 0..changes {
            if nr == changes / 2 {
                self.kill(killed);
            }
            let id = 1 + nr % MACHINES;
            let id = if id == killed { 1 + id % MACHINES } else { id };
            let value = u32::try_from(1_000 + nr).unwrap_or(0);
            let at = self.change(id, value);
            accepted.push((self.last().0, at));
            while at.elapsed() < PACE {
                thread::sleep(Duration::from_millis(5));
                if mark.0.elapsed() >= Duration::from_secs(1) {
                    let now = self.learned();
                    let most = now.iter().map(|(rank, bytes)| bytes - mark.1.get(rank).unwrap_or(&0)).max();
                    worst = worst.max(most.unwrap_or(0));
                    mark = (Instant::now(), now);
                }
            }
        }
        self.level("the last change");
        let span = since.elapsed();
        let bytes: u64 = self.learned().values().sum::<u64>() - before.values().sum::<u64>();
        let (machine_busy, scheduler_busy) = (
            cpu(
                &machines.iter().copied().filter(|(process, _)| self.runs(*process)).collect::<Vec<_>>(),
                span,
            ),
            cpu(&schedulers, span),
        );
        let mut delays: Vec<f64> = Vec::new();
        for (seq, at) in &accepted {
            for rank in 0..count {
                let seen = self.seen_at(rank, *seq).unwrap_or_else(|| self.fail("a version is not in force"));
                delays.push(seen.saturating_duration_since(*at).as_secs_f64() * 1e3);
            }
        }
        delays.sort_by(f64::total_cmp);
        let at =
            |share: f64| delays.get(((delays.len() as f64 - 1.0) * share) as usize).copied().unwrap_or(0.0);
        let behind = (0..count).filter(|rank| self.figure(*rank, "control.behind").as_deref() != Some("0"));
        let behind = behind.count();
        self.boot(killed);
        let (machines, schedulers) = self.uses();
        let most =
            |uses: &[(u32, Use)], of: fn(&Use) -> u64| uses.iter().map(|(_, one)| of(one)).max().unwrap_or(0);
        json!({
            "schedulers": count, "machines": MACHINES, "changes": changes, "seed": self.seed,
            "killed": killed, "built": if cfg!(debug_assertions) { "debug" } else { "release" },
            "in_force_p50_ms": round(at(0.5)), "in_force_p99_ms": round(at(0.99)), "in_force_max_ms": round(at(1.0)),
            "behind": behind, "seconds_of_changes": round(span.as_secs_f64()),
            "learner_bytes_per_s_idle": round(idle_bytes as f64 / idle.as_secs_f64() / count as f64),
            "learner_bytes_per_s_changes": round(bytes as f64 / span.as_secs_f64() / count as f64),
            "learner_bytes_per_s_worst": worst,
            "scheduler_cpu_ms_per_s_idle": round(scheduler_idle.0), "scheduler_cpu_ms_per_s_idle_worst": round(scheduler_idle.1),
            "scheduler_cpu_ms_per_s_changes": round(scheduler_busy.0), "scheduler_cpu_ms_per_s_changes_worst": round(scheduler_busy.1),
            "machine_cpu_ms_per_s_idle": round(machine_idle.0), "machine_cpu_ms_per_s_idle_worst": round(machine_idle.1),
            "machine_cpu_ms_per_s_changes": round(machine_busy.0), "machine_cpu_ms_per_s_changes_worst": round(machine_busy.1),
            "scheduler_rss_kib": most(&schedulers, |one| one.rss_kib), "scheduler_peak_kib": most(&schedulers, |one| one.peak_kib),
            "machine_rss_kib": most(&machines, |one| one.rss_kib), "machine_peak_kib": most(&machines, |one| one.peak_kib),
        })
    }

    fn runs(&self, process: u32) -> bool {
        self.machines.iter().any(|machine| machine.process() == Some(process))
    }
}
