//! One process of the program, measured by itself at the letter's size: what it holds, and what each control message costs it.
//! The other schedulers are the relay's addresses; what they say is said for them.

use super::counts::{Counts, Flow, Traffic};
use super::discovery::Capacity;
use super::fleet::start;
use super::harness::{Change, Harness};
use super::process::{Process, Usage};
use super::scenario;
use calicolb::wire::worker_id;
use calicolb_simulation::Plan;
use serde::Serialize;
use std::path::Path;
use std::time::{Duration, Instant};

/// Datagrams of a burst.
pub const BURST: u32 = 50;

/// Messages of each kind that are sent to the process.
const MESSAGES: u32 = 2_000;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Direct {
    plan: Plan,
    idle: Duration,
    span: Duration,
}

impl Direct {
    /// A process of a fleet of this size. It is watched for `idle` while nothing happens, and the messages of each kind
    /// come over `span`: the kernel's steps are to be small beside what they cost.
    pub fn of(plan: &Plan, idle: Duration, span: Duration) -> Direct {
        Direct { plan: plan.clone(), idle, span }
    }
}

/// Memory of a process, in KiB.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Memory {
    /// Now.
    pub resident_kib: u64,
    /// At the most.
    pub resident_peak_kib: u64,
}

impl Memory {
    fn of(usage: Usage) -> Memory {
        Memory { resident_kib: usage.resident_kib, resident_peak_kib: usage.resident_peak_kib }
    }
}

/// Processor time of a process over a span, less what it uses idle.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// Messages that were sent to it.
    pub messages: u64,
    /// Bytes of one.
    pub bytes: f64,
    /// Microseconds of processor time for one, by the kernel's own clock of the threads.
    pub cpu_us: f64,
    /// The same by user and system time, in the kernel's steps.
    pub cpu_us_by_ticks: f64,
    /// Of that, system time.
    pub system_us_by_ticks: f64,
}

/// What was measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measured {
    /// Lines of the list, schedulers, tenants.
    pub workers: u32,
    /// See above.
    pub schedulers: u32,
    /// See above.
    pub tenants: u32,
    /// The idle process.
    pub idle: Memory,
    /// Its processor time, in milliseconds a second, by the threads' clock and in the kernel's steps.
    pub idle_cpu_ms_per_s: f64,
    /// See above.
    pub idle_cpu_ms_per_s_by_ticks: f64,
    /// The idle process with one tenant instead of all.
    pub idle_one_tenant: Memory,
    /// The idle process with a list of one worker, and one other scheduler.
    pub idle_one_worker: Memory,
    /// Bytes of a start, by what they are for: in and out of the scheduler that starts.
    pub start_watch: Traffic,
    /// See above.
    pub start_greeting: Traffic,
    /// Answers to the greeting, one from each other scheduler.
    pub start_greeting_answers: Traffic,
    /// Processor time of a start, up to the watch, in milliseconds.
    pub start_cpu_ms: f64,
    /// A line of the list changes.
    pub list_change: Cost,
    /// The whole list comes.
    pub whole_list: Cost,
    /// A load of another scheduler comes by itself, about a worker of the list.
    pub talk_heard: Cost,
    /// The same of loads that come [`BURST`] at a time: what waking up for each costs is shared.
    pub talk_heard_in_bursts: Cost,
    /// A trouble comes.
    pub trouble_heard: Cost,
    /// A greeting comes that asks to be answered.
    pub greeting_heard: Cost,
    /// The process probes a worker, on a new connection, many at once.
    pub probe: Cost,
    /// After all of this.
    pub after: Memory,
}

struct Scene {
    harness: Harness,
    processes: Vec<Process>,
    /// Counts of the start.
    start: Counts,
}

fn scene(program: &Path, sizes: &Plan, settings: &serde_json::Value) -> Result<Scene, String> {
    let outline = calicolb_simulation::workload(&Plan {
        measured_seconds: 0,
        warm_up_seconds: 0,
        running_tasks: Some(0.0),
        ..sizes.clone()
    });
    let (kinds, hosts) = scenario::workers(&outline, settings);
    let mut harness = Harness::new(
        kinds,
        hosts,
        scenario::worker_settings(settings),
        Capacity::default(),
        sizes.schedulers as usize,
    )?;
    let processes = start(program, &mut harness, settings, 0..1, sizes.seed)?;
    // The others answer its greeting.
    let zones = sizes.zones.max(1) as usize;
    for rank in 1..sizes.schedulers as usize {
        harness.send_as(rank, 0, &[1, (rank % zones) as u8, 0]);
    }
    harness.run_until(Instant::now() + Duration::from_secs(1))?;
    let start = harness.counts().clone();
    Ok(Scene { harness, processes, start })
}

impl Scene {
    /// Watches the process for so long while nothing happens; gives what it uses in a second, in milliseconds.
    fn idle(&mut self, span: Duration) -> Result<(f64, f64), String> {
        let (before, begun) = (self.processes[0].usage(), Instant::now());
        self.harness.run_until(begun + span)?;
        let (after, spent) = (self.processes[0].usage(), begun.elapsed().as_secs_f64());
        Ok(((after.on_cpu_ms - before.on_cpu_ms) / spent, (after.cpu_ms - before.cpu_ms) / spent))
    }

    /// Sends so many messages evenly over a span, the `nr`th by `send`, and gives what each costs.
    fn cost(
        &mut self,
        direct: &Direct,
        idle: (f64, f64),
        (flow, burst): (Flow, u32),
        mut send: impl FnMut(&mut Harness, u32),
    ) -> Result<Cost, String> {
        let counted = self.harness.counts().of(flow);
        let (before, begun) = (self.processes[0].usage(), Instant::now());
        for nr in 0..MESSAGES {
            self.harness.run_until(begun + direct.span * (nr - nr % burst) / MESSAGES)?;
            send(&mut self.harness, nr);
        }
        // What is still on its way is dealt with.
        self.harness.run_until(Instant::now() + Duration::from_millis(300))?;
        let (after, spent) = (self.processes[0].usage(), begun.elapsed().as_secs_f64());
        let sent = self.harness.counts().of(flow);
        let (messages, bytes) = (sent.messages - counted.messages, sent.bytes - counted.bytes);
        let each = |ms: f64, idle: f64| (ms - idle * spent) * 1e3 / messages.max(1) as f64;
        Ok(Cost {
            messages,
            bytes: bytes as f64 / messages.max(1) as f64,
            cpu_us: each(after.on_cpu_ms - before.on_cpu_ms, idle.0),
            cpu_us_by_ticks: each(after.cpu_ms - before.cpu_ms, idle.1),
            system_us_by_ticks: each(after.system_ms - before.system_ms, 0.0),
        })
    }
}

/// What a probe costs, with the connection that it needs: a process alone probes every worker as it starts, where reports
/// come by probes only.
fn probes(program: &Path, plan: &Plan) -> Result<Cost, String> {
    let alone = Plan { schedulers: 1, ..plan.clone() };
    let used = |how: &str| -> Result<(Usage, Traffic), String> {
        let mut settings = scenario::settings(&alone);
        settings["report"]["how"] = how.into();
        let scene = scene(program, &alone, &settings)?;
        Ok((scene.processes[0].usage(), scene.harness.counts().of(Flow::ProbesRequested)))
    };
    let ((with, probed), (without, _)) = (used("probe")?, used("answers")?);
    let each = |more: f64| more * 1e3 / probed.messages.max(1) as f64;
    Ok(Cost {
        messages: probed.messages,
        bytes: probed.bytes as f64 / probed.messages.max(1) as f64,
        cpu_us: each(with.on_cpu_ms - without.on_cpu_ms),
        cpu_us_by_ticks: each(with.cpu_ms - without.cpu_ms),
        system_us_by_ticks: each(with.system_ms - without.system_ms),
    })
}

/// Measures one process.
///
/// # Errors
///
/// The program does not start or serve.
pub fn measure(program: &Path, direct: &Direct) -> Result<Measured, String> {
    let sizes = &direct.plan;
    let quiet = |sizes: Plan| -> Result<Memory, String> {
        let mut scene = scene(program, &sizes, &scenario::settings(&sizes))?;
        scene.harness.run_until(Instant::now() + Duration::from_secs(2))?;
        Ok(Memory::of(scene.processes[0].usage()))
    };
    let idle_one_tenant = quiet(Plan { tenants: 1, ..sizes.clone() })?;
    let idle_one_worker =
        quiet(Plan { workers: 1, accelerators: 0, schedulers: 2, tenants: 1, ..sizes.clone() })?;
    let probe = probes(program, sizes)?;
    let mut scene = scene(program, sizes, &scenario::settings(sizes))?;
    let start_cpu_ms = scene.processes[0].usage().on_cpu_ms;
    let idle = scene.idle(direct.idle)?;
    let memory = Memory::of(scene.processes[0].usage());
    let count = sizes.workers as usize;
    let list_change = scene.cost(direct, idle, (Flow::WatchChanges, 1), |harness, nr| {
        // Each line in turn is taken out of service, and in the next round put back.
        let (round, station) = (nr as usize / count, nr as usize % count);
        let health = if round.is_multiple_of(2) { "terminating" } else { "in_service" };
        harness.change(Instant::now(), Change { station, health });
    })?;
    let whole_list = scene.cost(direct, idle, (Flow::WatchFullList, 1), |harness, _| harness.renew())?;
    let ids: Vec<[u8; 4]> =
        scene.harness.discovery().hosts().iter().map(|host| worker_id(&host.host).0.to_le_bytes()).collect();
    let others = sizes.schedulers.max(2) - 1;
    let from = |nr: u32| 1 + (nr % others) as usize;
    let id = |nr: u32| ids[nr as usize % ids.len()];
    let talk_heard = scene.cost(direct, idle, (Flow::LoadsPassed, 1), |harness, nr| {
        let [a, b, c, d] = id(nr);
        harness.send_as(from(nr), 0, &[1, 1, a, b, c, d, 8, 16]);
    })?;
    let talk_heard_in_bursts = scene.cost(direct, idle, (Flow::LoadsPassed, BURST), |harness, nr| {
        let [a, b, c, d] = id(nr);
        harness.send_as(from(nr), 0, &[1, 1, a, b, c, d, 8, 16]);
    })?;
    let trouble_heard = scene.cost(direct, idle, (Flow::FaultReportsPassed, 1), |harness, nr| {
        let [a, b, c, d] = id(nr);
        harness.send_as(from(nr), 0, &[1, a, b, c, d, (nr % 2) as u8]);
    })?;
    let greeting_heard = scene.cost(direct, idle, (Flow::HellosPassed, 1), |harness, nr| {
        harness.send_as(from(nr), 0, &[1, (from(nr) % sizes.zones.max(1) as usize) as u8, 1]);
    })?;
    Ok(Measured {
        workers: sizes.workers,
        schedulers: sizes.schedulers,
        tenants: sizes.tenants,
        idle: memory,
        idle_cpu_ms_per_s: idle.0,
        idle_cpu_ms_per_s_by_ticks: idle.1,
        idle_one_tenant,
        idle_one_worker,
        start_watch: scene.start.sum(&[Flow::WatchRequested, Flow::WatchOpened, Flow::WatchChanges]),
        start_greeting: scene.start.of(Flow::HellosSent),
        start_greeting_answers: scene.start.of(Flow::HellosPassed),
        start_cpu_ms,
        list_change,
        whole_list,
        talk_heard,
        talk_heard_in_bursts,
        trouble_heard,
        greeting_heard,
        probe,
        after: Memory::of(scene.processes[0].usage()),
    })
}
