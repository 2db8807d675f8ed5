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
pub const BURST_SIZE: u32 = 50;

/// Messages of each kind that are sent to the process.
const MESSAGES_PER_KIND: u32 = 2_000;

/// What is measured.
#[derive(Clone, Debug)]
pub struct MeasurementPlan {
    plan: Plan,
    idle: Duration,
    span: Duration,
}

impl MeasurementPlan {
    /// A process of a fleet of this size. It is watched for `idle` while nothing happens, and the messages of each kind
    /// come over `span`: the kernel's steps are to be small beside what they cost.
    pub fn of(plan: &Plan, idle: Duration, span: Duration) -> MeasurementPlan {
        MeasurementPlan { plan: plan.clone(), idle, span }
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
pub struct ProcessCosts {
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
    #[serde(rename = "start_greeting")]
    pub start_hello: Traffic,
    /// Answers to the greeting, one from each other scheduler.
    #[serde(rename = "start_greeting_answers")]
    pub start_hello_answers: Traffic,
    /// Processor time of a start, up to the watch, in milliseconds.
    pub start_cpu_ms: f64,
    /// A line of the list changes.
    pub list_change: Cost,
    /// The whole list comes.
    #[serde(rename = "whole_list")]
    pub full_list: Cost,
    /// A load of another scheduler comes by itself, about a worker of the list.
    #[serde(rename = "talk_heard")]
    pub load_received: Cost,
    /// The same of loads that come [`BURST_SIZE`] at a time: what waking up for each costs is shared.
    #[serde(rename = "talk_heard_in_bursts")]
    pub loads_received_in_bursts: Cost,
    /// A trouble comes.
    #[serde(rename = "trouble_heard")]
    pub fault_report_received: Cost,
    /// A greeting comes that asks to be answered.
    #[serde(rename = "greeting_heard")]
    pub hello_received: Cost,
    /// The process probes a worker, on a new connection, many at once.
    pub probe: Cost,
    /// After all of this.
    pub after: Memory,
}

struct Setup {
    harness: Harness,
    processes: Vec<Process>,
    /// Counts of the start.
    start: Counts,
}

fn setup(program: &Path, plan: &Plan, settings: &serde_json::Value) -> Result<Setup, String> {
    let outline = calicolb_simulation::workload(&Plan {
        measured_seconds: 0,
        warm_up_seconds: 0,
        running_tasks: Some(0.0),
        ..plan.clone()
    });
    let (specs, hosts) = scenario::workers(&outline, settings);
    let mut harness = Harness::new(
        specs,
        hosts,
        scenario::worker_settings(settings),
        Capacity::default(),
        plan.schedulers as usize,
    )?;
    let processes = start(program, &mut harness, settings, 0..1, plan.seed)?;
    // The others answer its greeting.
    let zones = plan.zones.max(1) as usize;
    for rank in 1..plan.schedulers as usize {
        harness.send_as(rank, 0, &[1, (rank % zones) as u8, 0]);
    }
    harness.run_until(Instant::now() + Duration::from_secs(1))?;
    let start = harness.counts().clone();
    Ok(Setup { harness, processes, start })
}

impl Setup {
    /// Watches the process for so long while nothing happens; gives what it uses in a second, in milliseconds.
    fn idle_cpu(&mut self, span: Duration) -> Result<(f64, f64), String> {
        let (before, begun) = (self.processes[0].usage(), Instant::now());
        self.harness.run_until(begun + span)?;
        let (after, spent) = (self.processes[0].usage(), begun.elapsed().as_secs_f64());
        Ok(((after.on_cpu_ms - before.on_cpu_ms) / spent, (after.cpu_ms - before.cpu_ms) / spent))
    }

    /// Sends so many messages evenly over a span, the `nr`th by `send`, and gives what each costs.
    fn cost(
        &mut self,
        measurement: &MeasurementPlan,
        idle: (f64, f64),
        (flow, burst): (Flow, u32),
        mut send: impl FnMut(&mut Harness, u32),
    ) -> Result<Cost, String> {
        let counted_before = self.harness.counts().of(flow);
        let (before, begun) = (self.processes[0].usage(), Instant::now());
        for index in 0..MESSAGES_PER_KIND {
            self.harness.run_until(begun + measurement.span * (index - index % burst) / MESSAGES_PER_KIND)?;
            send(&mut self.harness, index);
        }
        // What is still on its way is dealt with.
        self.harness.run_until(Instant::now() + Duration::from_millis(300))?;
        let (after, spent) = (self.processes[0].usage(), begun.elapsed().as_secs_f64());
        let counted_after = self.harness.counts().of(flow);
        let (messages, bytes) =
            (counted_after.messages - counted_before.messages, counted_after.bytes - counted_before.bytes);
        let per_message = |ms: f64, idle: f64| (ms - idle * spent) * 1e3 / messages.max(1) as f64;
        Ok(Cost {
            messages,
            bytes: bytes as f64 / messages.max(1) as f64,
            cpu_us: per_message(after.on_cpu_ms - before.on_cpu_ms, idle.0),
            cpu_us_by_ticks: per_message(after.cpu_ms - before.cpu_ms, idle.1),
            system_us_by_ticks: per_message(after.system_ms - before.system_ms, 0.0),
        })
    }
}

/// What a probe costs, with the connection that it needs: a process alone probes every worker as it starts, where reports
/// come by probes only.
fn probe_cost(program: &Path, plan: &Plan) -> Result<Cost, String> {
    let single = Plan { schedulers: 1, ..plan.clone() };
    let measure_start = |source: &str| -> Result<(Usage, Traffic), String> {
        let mut settings = scenario::settings(&single);
        settings["report"]["how"] = source.into();
        let setup = setup(program, &single, &settings)?;
        Ok((setup.processes[0].usage(), setup.harness.counts().of(Flow::ProbesRequested)))
    };
    let ((with, probed), (without, _)) = (measure_start("probe")?, measure_start("answers")?);
    let per_message = |cpu_ms: f64| cpu_ms * 1e3 / probed.messages.max(1) as f64;
    Ok(Cost {
        messages: probed.messages,
        bytes: probed.bytes as f64 / probed.messages.max(1) as f64,
        cpu_us: per_message(with.on_cpu_ms - without.on_cpu_ms),
        cpu_us_by_ticks: per_message(with.cpu_ms - without.cpu_ms),
        system_us_by_ticks: per_message(with.system_ms - without.system_ms),
    })
}

/// Measures one process.
///
/// # Errors
///
/// The program does not start or serve.
pub fn measure(program: &Path, measurement: &MeasurementPlan) -> Result<ProcessCosts, String> {
    let plan = &measurement.plan;
    let idle_memory = |plan: Plan| -> Result<Memory, String> {
        let mut setup = setup(program, &plan, &scenario::settings(&plan))?;
        setup.harness.run_until(Instant::now() + Duration::from_secs(2))?;
        Ok(Memory::of(setup.processes[0].usage()))
    };
    let idle_one_tenant = idle_memory(Plan { tenants: 1, ..plan.clone() })?;
    let idle_one_worker =
        idle_memory(Plan { workers: 1, accelerators: 0, schedulers: 2, tenants: 1, ..plan.clone() })?;
    let probe = probe_cost(program, plan)?;
    let mut setup = setup(program, plan, &scenario::settings(plan))?;
    let start_cpu_ms = setup.processes[0].usage().on_cpu_ms;
    let idle = setup.idle_cpu(measurement.idle)?;
    let memory = Memory::of(setup.processes[0].usage());
    let count = plan.workers as usize;
    let list_change = setup.cost(measurement, idle, (Flow::WatchChanges, 1), |harness, index| {
        // Each line in turn is taken out of service, and in the next round put callbacks.
        let (round, worker) = (index as usize / count, index as usize % count);
        let health = if round.is_multiple_of(2) { "terminating" } else { "in_service" };
        harness.schedule_change(Instant::now(), Change { worker, health });
    })?;
    let full_list =
        setup.cost(measurement, idle, (Flow::WatchFullList, 1), |harness, _| harness.send_full_list())?;
    let ids: Vec<[u8; 4]> =
        setup.harness.discovery().hosts().iter().map(|host| worker_id(&host.host).0.to_le_bytes()).collect();
    let other_schedulers = plan.schedulers.max(2) - 1;
    let sender = |index: u32| 1 + (index % other_schedulers) as usize;
    let worker_bytes = |index: u32| ids[index as usize % ids.len()];
    let load_received = setup.cost(measurement, idle, (Flow::LoadsPassed, 1), |harness, index| {
        let [a, b, c, d] = worker_bytes(index);
        harness.send_as(sender(index), 0, &[1, 1, a, b, c, d, 8, 16]);
    })?;
    let loads_received_in_bursts =
        setup.cost(measurement, idle, (Flow::LoadsPassed, BURST_SIZE), |harness, index| {
            let [a, b, c, d] = worker_bytes(index);
            harness.send_as(sender(index), 0, &[1, 1, a, b, c, d, 8, 16]);
        })?;
    let fault_report_received =
        setup.cost(measurement, idle, (Flow::FaultReportsPassed, 1), |harness, index| {
            let [a, b, c, d] = worker_bytes(index);
            harness.send_as(sender(index), 0, &[1, a, b, c, d, (index % 2) as u8]);
        })?;
    let hello_received = setup.cost(measurement, idle, (Flow::HellosPassed, 1), |harness, index| {
        harness.send_as(sender(index), 0, &[1, (sender(index) % plan.zones.max(1) as usize) as u8, 1]);
    })?;
    Ok(ProcessCosts {
        workers: plan.workers,
        schedulers: plan.schedulers,
        tenants: plan.tenants,
        idle: memory,
        idle_cpu_ms_per_s: idle.0,
        idle_cpu_ms_per_s_by_ticks: idle.1,
        idle_one_tenant,
        idle_one_worker,
        start_watch: setup.start.sum(&[Flow::WatchRequested, Flow::WatchOpened, Flow::WatchChanges]),
        start_hello: setup.start.of(Flow::HellosSent),
        start_hello_answers: setup.start.of(Flow::HellosPassed),
        start_cpu_ms,
        list_change,
        full_list,
        load_received,
        loads_received_in_bursts,
        fault_report_received,
        hello_received,
        probe,
        after: Memory::of(setup.processes[0].usage()),
    })
}
