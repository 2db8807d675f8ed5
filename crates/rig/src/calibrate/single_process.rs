//! Measures one process of the program at the size of the default plan: its memory, and the processor time for each
//! kind of control message. The relay's addresses stand for the other schedulers, and the harness sends their
//! messages.

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

/// Size of the fleet and durations of the measurement.
#[derive(Clone, Debug)]
pub struct MeasurementPlan {
    plan: Plan,
    idle: Duration,
    span: Duration,
}

impl MeasurementPlan {
    /// Plans the measurement of a process in a fleet of this size. The idle process is watched for `idle`, and the
    /// messages of each kind are spread over `span`, which should be long enough that a kernel clock tick is small
    /// beside their cost.
    pub fn of(plan: &Plan, idle: Duration, span: Duration) -> MeasurementPlan {
        MeasurementPlan { plan: plan.clone(), idle, span }
    }
}

/// Memory of a process, in KiB.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Memory {
    /// Resident memory.
    pub resident_kib: u64,
    /// Peak resident memory.
    pub resident_peak_kib: u64,
}

impl Memory {
    fn of(usage: Usage) -> Memory {
        Memory { resident_kib: usage.resident_kib, resident_peak_kib: usage.resident_peak_kib }
    }
}

/// Processor time of a process for messages of one kind, less its idle use.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// Number of messages.
    pub messages: u64,
    /// Mean size of a message, in bytes.
    pub bytes: f64,
    /// Processor time for each message by the threads' own clock, in microseconds.
    pub cpu_us: f64,
    /// Processor time for each message by user and system time in kernel ticks, in microseconds.
    pub cpu_us_by_ticks: f64,
    /// System time for each message, part of `cpu_us_by_ticks`.
    pub system_us_by_ticks: f64,
}

/// Result of the measurement.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProcessCosts {
    /// Lines of the list.
    pub workers: u32,
    /// Schedulers of the fleet.
    pub schedulers: u32,
    /// Tenants.
    pub tenants: u32,
    /// Memory of the idle process.
    pub idle: Memory,
    /// Processor time of the idle process by the threads' clock, in milliseconds a second.
    pub idle_cpu_ms_per_s: f64,
    /// Processor time of the idle process in kernel ticks, in milliseconds a second.
    pub idle_cpu_ms_per_s_by_ticks: f64,
    /// Memory of the idle process with one tenant.
    pub idle_one_tenant: Memory,
    /// Memory of the idle process with one worker, one tenant and one other scheduler.
    pub idle_one_worker: Memory,
    /// Traffic of the watch at the start, in both directions.
    pub start_watch: Traffic,
    /// Hello messages that the starting process sends.
    #[serde(rename = "start_greeting")]
    pub start_hello: Traffic,
    /// Answers to the hello, one from each other scheduler.
    #[serde(rename = "start_greeting_answers")]
    pub start_hello_answers: Traffic,
    /// Processor time of a start up to the watch, in milliseconds.
    pub start_cpu_ms: f64,
    /// Cost of a changed line of the list.
    pub list_change: Cost,
    /// Cost of a full list.
    #[serde(rename = "whole_list")]
    pub full_list: Cost,
    /// Cost of a single load message of another scheduler about a worker of the list.
    #[serde(rename = "talk_heard")]
    pub load_received: Cost,
    /// Cost of load messages that arrive [`BURST_SIZE`] at a time and so share the cost of a wake-up.
    #[serde(rename = "talk_heard_in_bursts")]
    pub loads_received_in_bursts: Cost,
    /// Cost of a fault report.
    #[serde(rename = "trouble_heard")]
    pub fault_report_received: Cost,
    /// Cost of a hello that asks for an answer.
    #[serde(rename = "greeting_heard")]
    pub hello_received: Cost,
    /// Cost of a probe of a worker on a new connection, with many probes at the same time.
    pub probe: Cost,
    /// Memory after all measurements.
    pub after: Memory,
}

struct Setup {
    harness: Harness,
    processes: Vec<Process>,
    /// Traffic up to the end of the start.
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
    // The other schedulers answer the hello of the process.
    let zones = plan.zones.max(1) as usize;
    for rank in 1..plan.schedulers as usize {
        harness.send_as(rank, 0, &[1, (rank % zones) as u8, 0]);
    }
    harness.run_until(Instant::now() + Duration::from_secs(1))?;
    let start = harness.counts().clone();
    Ok(Setup { harness, processes, start })
}

impl Setup {
    /// Watches the idle process for `span`; returns its processor time in milliseconds a second, by the threads' clock
    /// and in ticks.
    fn idle_cpu(&mut self, span: Duration) -> Result<(f64, f64), String> {
        let (before, started) = (self.processes[0].usage(), Instant::now());
        self.harness.run_until(started + span)?;
        let (after, elapsed_s) = (self.processes[0].usage(), started.elapsed().as_secs_f64());
        Ok(((after.on_cpu_ms - before.on_cpu_ms) / elapsed_s, (after.cpu_ms - before.cpu_ms) / elapsed_s))
    }

    /// Sends messages evenly over the measurement's span, in bursts of `burst`, and returns the cost of each. `send`
    /// sends the message with the given index.
    fn cost(
        &mut self,
        measurement: &MeasurementPlan,
        idle: (f64, f64),
        (flow, burst): (Flow, u32),
        mut send: impl FnMut(&mut Harness, u32),
    ) -> Result<Cost, String> {
        let counted_before = self.harness.counts().of(flow);
        let (before, started) = (self.processes[0].usage(), Instant::now());
        for index in 0..MESSAGES_PER_KIND {
            self.harness
                .run_until(started + measurement.span * (index - index % burst) / MESSAGES_PER_KIND)?;
            send(&mut self.harness, index);
        }
        // Lets messages in flight be processed.
        self.harness.run_until(Instant::now() + Duration::from_millis(300))?;
        let (after, elapsed_s) = (self.processes[0].usage(), started.elapsed().as_secs_f64());
        let counted_after = self.harness.counts().of(flow);
        let (messages, bytes) =
            (counted_after.messages - counted_before.messages, counted_after.bytes - counted_before.bytes);
        let per_message = |ms: f64, idle: f64| (ms - idle * elapsed_s) * 1e3 / messages.max(1) as f64;
        Ok(Cost {
            messages,
            bytes: bytes as f64 / messages.max(1) as f64,
            cpu_us: per_message(after.on_cpu_ms - before.on_cpu_ms, idle.0),
            cpu_us_by_ticks: per_message(after.cpu_ms - before.cpu_ms, idle.1),
            system_us_by_ticks: per_message(after.system_ms - before.system_ms, 0.0),
        })
    }
}

/// Measures the cost of a probe with its connection. A single process that gets reports only by probes probes every
/// worker as it starts; the same start without probes is subtracted.
fn probe_cost(program: &Path, plan: &Plan) -> Result<Cost, String> {
    let single = Plan { schedulers: 1, ..plan.clone() };
    let measure_start = |source: &str| -> Result<(Usage, Traffic), String> {
        let mut settings = scenario::settings(&single);
        settings["report"]["how"] = source.into();
        let setup = setup(program, &single, &settings)?;
        Ok((setup.processes[0].usage(), setup.harness.counts().of(Flow::ProbesRequested)))
    };
    let ((with_probes, probed), (without_probes, _)) = (measure_start("probe")?, measure_start("answers")?);
    let per_message = |cpu_ms: f64| cpu_ms * 1e3 / probed.messages.max(1) as f64;
    Ok(Cost {
        messages: probed.messages,
        bytes: probed.bytes as f64 / probed.messages.max(1) as f64,
        cpu_us: per_message(with_probes.on_cpu_ms - without_probes.on_cpu_ms),
        cpu_us_by_ticks: per_message(with_probes.cpu_ms - without_probes.cpu_ms),
        system_us_by_ticks: per_message(with_probes.system_ms - without_probes.system_ms),
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
        // Each line in turn is taken out of service, and in the next round put back.
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
