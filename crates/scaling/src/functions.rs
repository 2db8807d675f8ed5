//! The control functions of a scheduler, the cost of one event of each, and the resulting load on a scheduler per
//! second.

use crate::counts::{MessageCounts, MessageType, UDP_IP_HEADER_BYTES};
use crate::probe::{self, Cost};
use crate::probe_jobs;
use crate::scenario::FleetParameters;
use crate::simulation::{Incident, simulate};
use serde::Serialize;
use statrs::distribution::{DiscreteCDF, Poisson};

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;
/// Simulated seconds after the loss of a zone.
const INCIDENT_S: u64 = 2;

/// A control function of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Function {
    /// Applying the full worker list in the decision module.
    #[serde(rename = "list")]
    FullList,
    /// Parsing the text of the full worker list.
    #[serde(rename = "list-text")]
    ListParsing,
    /// Applying one changed line of the worker list.
    #[serde(rename = "watch")]
    ListChange,
    /// Assigning all schedulers and workers to cohorts and size ranges.
    #[serde(rename = "dealing")]
    CohortAssignment,
    /// Exchanging worker loads within cohorts.
    #[serde(rename = "talk")]
    LoadMessages,
    /// Hello messages caused by the start of one scheduler.
    #[serde(rename = "greetings-one")]
    SingleStart,
    /// Hello messages when all schedulers start at once.
    #[serde(rename = "greetings-all")]
    MassStart,
    /// Fault reports after the loss of a zone.
    #[serde(rename = "troubles")]
    FaultReports,
    /// Probes of workers.
    Probes,
    /// The timer of the hold queue.
    #[serde(rename = "timers")]
    HoldTimer,
    /// Token buckets of tenants, measured with a complete job.
    #[serde(rename = "buckets")]
    TokenBuckets,
    /// Handover of knowledge to a successor.
    Handover,
    /// Knowledge about workers that have left the fleet.
    #[serde(rename = "gone")]
    DepartedWorkers,
}

impl Function {
    /// All control functions.
    pub const ALL: [Function; 13] = [
        Function::FullList,
        Function::ListParsing,
        Function::ListChange,
        Function::CohortAssignment,
        Function::LoadMessages,
        Function::SingleStart,
        Function::MassStart,
        Function::FaultReports,
        Function::Probes,
        Function::HoldTimer,
        Function::TokenBuckets,
        Function::Handover,
        Function::DepartedWorkers,
    ];

    /// Name of the function, used in tables and file names.
    pub fn name(self) -> &'static str {
        match self {
            Function::FullList => "list",
            Function::ListParsing => "list-text",
            Function::ListChange => "watch",
            Function::CohortAssignment => "dealing",
            Function::LoadMessages => "talk",
            Function::SingleStart => "greetings-one",
            Function::MassStart => "greetings-all",
            Function::FaultReports => "troubles",
            Function::Probes => "probes",
            Function::HoldTimer => "timers",
            Function::TokenBuckets => "buckets",
            Function::Handover => "handover",
            Function::DepartedWorkers => "gone",
        }
    }

    /// The event that the costs are given for.
    pub fn event(self) -> &'static str {
        match self {
            Function::FullList => "a full list, requested after a failed call or a broken watch",
            Function::ListParsing => "parsing the text of a full list; state: peak heap",
            Function::ListChange => "a changed line of the list, including the assignment of cohorts",
            Function::CohortAssignment => "an assignment of cohorts and size ranges (part of watch and list)",
            Function::LoadMessages => "a job, over all schedulers, each datagram counted once",
            Function::SingleStart => {
                "a start of one scheduler, over all schedulers, each datagram counted once"
            }
            Function::MassStart => "a start of all schedulers at once, at one of them, sent and received",
            Function::FaultReports => {
                "the two seconds after the loss of a zone, mean of a scheduler, sent and received"
            }
            Function::Probes => "a job, probe requests and answers",
            Function::HoldTimer => "a second of a scheduler, expired timers of the hold queue",
            Function::TokenBuckets => {
                "a complete job in the decision module, an upper bound of its token bucket; state: all tenants"
            }
            Function::Handover => "knowledge written and read; state: peak heap",
            Function::DepartedWorkers => {
                "knowledge about departed workers; state: heap of a scheduler with them"
            }
        }
    }
}

/// Resources that one scheduler uses in one second; `None` if the function does not use the resource.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUse {
    /// Bytes sent and received; for datagrams including the UDP and IP headers.
    pub bytes: Option<f64>,
    /// Processor time in milliseconds.
    pub cpu_ms: Option<f64>,
}

/// Measured cost of one function in one fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measurement {
    /// The control function.
    pub function: Function,
    /// Cost of one event.
    pub cost: Cost,
    /// Resources used per second, averaged over a day without incidents.
    pub mean: ResourceUse,
    /// Resources used in the worst second.
    pub worst: ResourceUse,
}

/// Scope of a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeasureOptions {
    /// Also measures processor time. Without it only counts are taken, which are the same in every run.
    pub cpu_times: bool,
    /// Simulated seconds without incidents.
    pub calm_seconds: u64,
}

/// Jobs that reach a scheduler in its busiest second of a day, with Poisson arrivals.
fn jobs_in_busiest_second(fleet: &FleetParameters) -> f64 {
    let mean = fleet.starts_per_s / f64::from(fleet.schedulers);
    Poisson::new(mean).map_or(mean, |jobs| jobs.inverse_cdf(1.0 - 1.0 / DAY_S) as f64)
}

/// Resources used by `per_s` events per second.
fn resource_use(cost: &Cost, per_s: f64) -> ResourceUse {
    ResourceUse {
        bytes: cost.bytes.map(|bytes| bytes * per_s),
        cpu_ms: cost.cpu_us.map(|us| us * per_s / 1_000.0),
    }
}

/// Index of the simulated phase without incidents.
pub const CALM_PHASE: usize = 0;
/// Index of the phase in which one scheduler restarts.
pub const RESTART_PHASE: usize = 1;
/// Index of the phase in which a zone is lost. All schedulers start at once before the first phase.
pub const ZONE_LOSS_PHASE: usize = 2;

/// Simulates a fleet through all phases; the calm phase lasts `calm_seconds` seconds. The days of service do not affect a
/// simulation, so one simulation serves all of them.
pub fn simulate_phases(fleet: &FleetParameters, seed: u64, calm_seconds: u64) -> MessageCounts {
    simulate(
        fleet,
        seed,
        &[(calm_seconds, Incident::None), (1, Incident::Restart), (INCIDENT_S, Incident::ZoneLost)],
    )
}

/// Resources used by `per_s` events per second whose messages are datagrams; the UDP and IP headers are included, as
/// they take network capacity.
fn datagram_use(cost: &Cost, per_s: f64) -> ResourceUse {
    let header_bytes = UDP_IP_HEADER_BYTES * cost.messages.unwrap_or(0.0);
    ResourceUse { bytes: cost.bytes.map(|bytes| (bytes + header_bytes) * per_s), ..resource_use(cost, per_s) }
}

/// Measures all functions in one fleet; `counts` are the message counts of its simulation.
pub fn measure(
    fleet: &FleetParameters,
    seed: u64,
    options: MeasureOptions,
    counts: &MessageCounts,
) -> Vec<Measurement> {
    let MeasureOptions { cpu_times, calm_seconds } = options;
    let measurement = |function, cost, mean, worst| Measurement { function, cost, mean, worst };
    let (unused, per_day) = (ResourceUse::default(), 1.0 / DAY_S);
    let mut measurements = Vec::with_capacity(Function::ALL.len());

    for (function, probe) in
        [(Function::FullList, probe::full_list as probe::Probe), (Function::ListParsing, probe::parse_list)]
    {
        let cost = probe(fleet, seed, cpu_times);
        // The list is requested again 0.5 to 1.5 s after the connection is lost.
        measurements.push(measurement(
            function,
            cost,
            resource_use(&cost, per_day),
            resource_use(&cost, 1.0),
        ));
    }
    let cost = probe::list_change(fleet, seed, cpu_times);
    let (changes, zone) =
        (f64::from(3 * fleet.replaced_per_day), f64::from(fleet.workers) / f64::from(fleet.zones));
    // A replaced worker causes three changes: it drains, it leaves, and its replacement joins. In the worst second a
    // zone is lost, with one change per worker.
    measurements.push(measurement(
        Function::ListChange,
        cost,
        resource_use(&cost, changes * per_day),
        resource_use(&cost, zone),
    ));
    let cohort_assignment = probe::assign_cohorts(fleet, seed, cpu_times);
    measurements.push(measurement(Function::CohortAssignment, cohort_assignment, unused, unused));

    measurements.push(load_messages(fleet, seed, cpu_times, counts));
    let hello_us = probe::receive_hello(fleet, seed, cpu_times).cpu_us;
    measurements.extend(hello_messages(fleet, counts, hello_us, cohort_assignment.cpu_us));
    measurements.push(fault_reports(fleet, seed, cpu_times, counts));

    let jobs = counts.jobs(CALM_PHASE).max(1) as f64;
    let per_s = fleet.starts_per_s / f64::from(fleet.schedulers);
    let (total, peak) =
        (counts.total(CALM_PHASE, MessageType::Probe), counts.worst(CALM_PHASE, MessageType::Probe));
    let cpu_us_each = probe_jobs::load_report(fleet, seed, cpu_times).cpu_us;
    let cost = Cost {
        messages: Some(total.messages as f64 / jobs),
        bytes: Some(total.bytes as f64 / jobs),
        cpu_us: cpu_us_each.map(|us| us * total.messages as f64 / 2.0 / jobs),
        heap_bytes: None,
    };
    let worst = ResourceUse {
        bytes: Some(peak.bytes as f64),
        cpu_ms: cpu_us_each.map(|us| us * peak.messages as f64 / 2_000.0),
    };
    measurements.push(measurement(Function::Probes, cost, resource_use(&cost, per_s), worst));

    let (total, peak) =
        (counts.total(CALM_PHASE, MessageType::Timer), counts.worst(CALM_PHASE, MessageType::Timer));
    let cpu_us_each = probe_jobs::hold_timer(fleet, seed, cpu_times).cpu_us;
    let timers_per_s = total.messages as f64 / (f64::from(fleet.schedulers) * calm_seconds as f64);
    let cost = Cost {
        messages: Some(timers_per_s),
        cpu_us: cpu_us_each.map(|us| us * timers_per_s),
        ..Cost::default()
    };
    let worst =
        ResourceUse { bytes: None, cpu_ms: cpu_us_each.map(|us| us * peak.messages as f64 / 1_000.0) };
    measurements.push(measurement(Function::HoldTimer, cost, resource_use(&cost, 1.0), worst));

    let cost = probe_jobs::complete_job(fleet, seed, cpu_times);
    measurements.push(measurement(
        Function::TokenBuckets,
        cost,
        resource_use(&cost, per_s),
        resource_use(&cost, jobs_in_busiest_second(fleet)),
    ));
    let cost = probe::handover(fleet, seed, cpu_times);
    // Both processes run on one machine, so a handover uses no network.
    let local = |network: ResourceUse| ResourceUse { bytes: None, ..network };
    measurements.push(measurement(
        Function::Handover,
        cost,
        local(resource_use(&cost, per_day)),
        local(resource_use(&cost, 1.0)),
    ));
    measurements.push(measurement(
        Function::DepartedWorkers,
        probe::departed_workers(fleet, seed, cpu_times),
        unused,
        unused,
    ));
    measurements
}

/// Cost of load messages. The scheduler of a job sends its load twice, and each datagram is received once.
fn load_messages(fleet: &FleetParameters, seed: u64, cpu_times: bool, counts: &MessageCounts) -> Measurement {
    let (jobs, total, peak) = (
        counts.jobs(CALM_PHASE).max(1) as f64,
        counts.total(CALM_PHASE, MessageType::Load),
        counts.worst(CALM_PHASE, MessageType::Load),
    );
    let send_us = probe::send_load(fleet, seed, cpu_times).cpu_us;
    let receive_us = probe::receive_load(fleet, seed, cpu_times).cpu_us;
    // Every datagram is counted at its sender and at its receiver.
    let (datagrams, bytes) = (total.messages as f64 / 2.0 / jobs, total.bytes as f64 / 2.0 / jobs);
    let cpu_us = send_us.zip(receive_us).map(|(send_us, receive_us)| 2.0 * send_us + datagrams * receive_us);
    let cost = Cost { messages: Some(datagrams), bytes: Some(bytes), cpu_us, heap_bytes: None };
    let per_s = fleet.starts_per_s / f64::from(fleet.schedulers);
    // In the mean, a scheduler receives as many datagrams as it sends.
    let both = Cost { messages: Some(2.0 * datagrams), bytes: Some(2.0 * bytes), ..cost };
    let mean = ResourceUse { bytes: datagram_use(&both, per_s).bytes, ..resource_use(&cost, per_s) };
    let worst = ResourceUse {
        bytes: Some(peak.bytes_with_headers()),
        cpu_ms: send_us
            .zip(receive_us)
            .map(|(send_us, receive_us)| (send_us + receive_us) * peak.messages as f64 / 1_000.0),
    };
    Measurement { function: Function::LoadMessages, cost, mean, worst }
}

/// Cost of hello messages after one start and after a start of all schedulers. The latter makes the size maps stale,
/// and they are computed again with the next job.
fn hello_messages(
    fleet: &FleetParameters,
    counts: &MessageCounts,
    cpu_us_each: Option<f64>,
    cohort_assignment: Option<f64>,
) -> [Measurement; 2] {
    let (one, all) = (counts.total(RESTART_PHASE, MessageType::Hello), counts.mass_restart());
    let messages_sent = one.messages as f64 / 2.0;
    let cost = Cost {
        messages: Some(messages_sent),
        bytes: Some(one.bytes as f64 / 2.0),
        cpu_us: cpu_us_each.map(|us| us * messages_sent),
        heap_bytes: None,
    };
    // Every scheduler starts once a day and receives the hello of every other scheduler that starts.
    let mean = datagram_use(&cost, 1.0 / DAY_S);
    let worst = datagram_use(&cost, 1.0 / f64::from(fleet.schedulers));
    let single_start = Measurement { function: Function::SingleStart, cost, mean, worst };
    let cost = Cost {
        messages: Some(all.messages as f64),
        bytes: Some(all.bytes as f64),
        cpu_us: cpu_us_each
            .zip(cohort_assignment)
            .map(|(us, cohort_assignment)| us * all.messages as f64 / 2.0 + cohort_assignment),
        heap_bytes: None,
    };
    let function = Function::MassStart;
    [
        single_start,
        Measurement { function, cost, mean: ResourceUse::default(), worst: datagram_use(&cost, 1.0) },
    ]
}

/// Cost of fault reports after the loss of a zone.
fn fault_reports(fleet: &FleetParameters, seed: u64, cpu_times: bool, counts: &MessageCounts) -> Measurement {
    let (all, peak) = (
        counts.total(ZONE_LOSS_PHASE, MessageType::FaultReport),
        counts.worst(ZONE_LOSS_PHASE, MessageType::FaultReport),
    );
    let cpu_us_each = probe::receive_fault_report(fleet, seed, cpu_times).cpu_us;
    let messages = all.messages as f64 / f64::from(fleet.schedulers);
    let cost = Cost {
        messages: Some(messages),
        bytes: Some(all.bytes as f64 / f64::from(fleet.schedulers)),
        cpu_us: cpu_us_each.map(|us| us * messages),
        heap_bytes: None,
    };
    let cpu_ms = cpu_us_each.map(|us| us * peak.messages as f64 / 1_000.0);
    let worst = ResourceUse { bytes: Some(peak.bytes_with_headers()), cpu_ms };
    Measurement { function: Function::FaultReports, cost, mean: ResourceUse::default(), worst }
}
