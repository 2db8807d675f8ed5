//! The control functions, what each costs by the event, and what that makes in a second of a scheduler.

use crate::counts::{HEADS, MessageCounts, MessageType};
use crate::probe::{self, Cost};
use crate::probe_jobs;
use crate::scenario::FleetParameters;
use crate::simulation::{Incident, simulate};
use serde::Serialize;
use statrs::distribution::{DiscreteCDF, Poisson};

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;
/// Seconds after an incident that are played.
const STORM_S: u64 = 2;

/// A control function.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Function {
    /// The whole list in the module.
    #[serde(rename = "list")]
    FullList,
    /// The reading of its text before that.
    #[serde(rename = "list-text")]
    ListParsing,
    /// A changed line.
    #[serde(rename = "watch")]
    ListChange,
    /// The dealing of cohorts and ranges, all anew.
    #[serde(rename = "dealing")]
    CohortAssignment,
    /// Loads told within cohorts.
    #[serde(rename = "talk")]
    LoadMessages,
    /// Greetings round the start of one scheduler.
    #[serde(rename = "greetings-one")]
    SingleStart,
    /// Greetings where all start at once.
    #[serde(rename = "greetings-all")]
    MassStart,
    /// News of troubles when a zone is lost.
    #[serde(rename = "troubles")]
    FaultReports,
    /// Probes of workers.
    Probes,
    /// The timer of held jobs.
    #[serde(rename = "timers")]
    HoldTimer,
    /// Tenants' buckets, and the whole job that asks them.
    #[serde(rename = "buckets")]
    TokenBuckets,
    /// Knowledge handed to a successor.
    Handover,
    /// Workers that have gone.
    #[serde(rename = "gone")]
    DepartedWorkers,
}

impl Function {
    /// All of them.
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

    /// Its name, as a word of a file name.
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

    /// What its costs are given for.
    pub fn event(self) -> &'static str {
        match self {
            Function::FullList => "a whole list, after a call or a watch that broke",
            Function::ListParsing => "the text of a whole list read into lines; state: heap in passing",
            Function::ListChange => "a line of the list that changes, dealing included",
            Function::CohortAssignment => "a dealing of cohorts and ranges (part of watch and list)",
            Function::LoadMessages => "a job, at all schedulers together, each datagram once",
            Function::SingleStart => "a start of one scheduler, at all together, each datagram once",
            Function::MassStart => "a start of all schedulers at once, at one of them, in and out",
            Function::FaultReports => {
                "a lost zone, in the two seconds after it: a scheduler in the mean, in and out"
            }
            Function::Probes => "a job: requests and answers",
            Function::HoldTimer => "a second of a scheduler: timers of held jobs that come due",
            Function::TokenBuckets => {
                "a whole job in the module, as the bound of its bucket; state: all tenants'"
            }
            Function::Handover => "knowledge written and read; state: heap in passing",
            Function::DepartedWorkers => {
                "knowledge that those gone take; state: heap of a scheduler with them"
            }
        }
    }
}

/// What a scheduler spends in a second. `None`: not on this function's account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUse {
    /// Bytes, in and out; those of datagrams with the heads of UDP and IP.
    pub bytes: Option<f64>,
    /// Processor time, in milliseconds.
    pub cpu_ms: Option<f64>,
}

/// A function at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measurement {
    /// The function.
    pub function: Function,
    /// By the event.
    pub cost: Cost,
    /// In the mean second of an ordinary day.
    pub mean: ResourceUse,
    /// In the worst second.
    pub worst: ResourceUse,
}

/// What is measured, and how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeasureOptions {
    /// Processor time too; counts alone are the same in every run.
    pub cpu_times: bool,
    /// Seconds of a calm fleet that are played.
    pub calm_seconds: u64,
}

/// Jobs that reach a scheduler in its busiest second of a day, at Poisson times.
fn busiest(size: &FleetParameters) -> f64 {
    let mean = size.starts_per_s / f64::from(size.schedulers);
    Poisson::new(mean).map_or(mean, |jobs| jobs.inverse_cdf(1.0 - 1.0 / DAY_S) as f64)
}

/// The load of so many events a second.
fn load(cost: &Cost, per_s: f64) -> ResourceUse {
    ResourceUse {
        bytes: cost.bytes.map(|bytes| bytes * per_s),
        cpu_ms: cost.cpu_us.map(|us| us * per_s / 1_000.0),
    }
}

/// Phases of a play: nothing happens, ...
pub const CALM: usize = 0;
/// ... one scheduler starts anew, ...
pub const START: usize = 1;
/// ... a zone is lost. Before all of them, all schedulers start at once.
pub const LOST: usize = 2;

/// Plays a fleet through all phases, the calm one for so many seconds. A play knows no days of service: one serves all
/// of these.
pub fn simulate_phases(size: &FleetParameters, seed: u64, seconds: u64) -> MessageCounts {
    simulate(size, seed, &[(seconds, Incident::None), (1, Incident::Restart), (STORM_S, Incident::ZoneLost)])
}

/// The load of so many events a second whose messages are datagrams: their heads count, as they do on a network.
fn datagrams(cost: &Cost, per_s: f64) -> ResourceUse {
    let heads = HEADS * cost.messages.unwrap_or(0.0);
    ResourceUse { bytes: cost.bytes.map(|bytes| (bytes + heads) * per_s), ..load(cost, per_s) }
}

/// Measures all functions at one size, with what was counted in its play.
pub fn measure(
    size: &FleetParameters,
    seed: u64,
    options: MeasureOptions,
    counts: &MessageCounts,
) -> Vec<Measurement> {
    let MeasureOptions { cpu_times, calm_seconds } = options;
    let one = |function, cost, mean, worst| Measurement { function, cost, mean, worst };
    let (none, a_day) = (ResourceUse::default(), 1.0 / DAY_S);
    let mut all = Vec::with_capacity(Function::ALL.len());

    for (function, probe) in
        [(Function::FullList, probe::full_list as probe::Probe), (Function::ListParsing, probe::parse_list)]
    {
        let cost = probe(size, seed, cpu_times);
        // After a loss it is asked for again within half a second to one and a half.
        all.push(one(function, cost, load(&cost, a_day), load(&cost, 1.0)));
    }
    let cost = probe::list_change(size, seed, cpu_times);
    let (changes, zone) =
        (f64::from(3 * size.replaced_per_day), f64::from(size.workers) / f64::from(size.zones));
    // A worker that is replaced drains, goes, and has a successor; in the worst second a zone goes, line by line.
    all.push(one(Function::ListChange, cost, load(&cost, changes * a_day), load(&cost, zone)));
    let dealing = probe::assign_cohorts(size, seed, cpu_times);
    all.push(one(Function::CohortAssignment, dealing, none, none));

    all.push(talk(size, seed, cpu_times, counts));
    let greeting = probe::receive_hello(size, seed, cpu_times).cpu_us;
    all.extend(greetings(size, counts, greeting, dealing.cpu_us));
    all.push(troubles(size, seed, cpu_times, counts));

    let jobs = counts.jobs(CALM).max(1) as f64;
    let per_s = size.starts_per_s / f64::from(size.schedulers);
    let (total, most) = (counts.total(CALM, MessageType::Probe), counts.worst(CALM, MessageType::Probe));
    let each = probe_jobs::load_report(size, seed, cpu_times).cpu_us;
    let cost = Cost {
        messages: Some(total.messages as f64 / jobs),
        bytes: Some(total.bytes as f64 / jobs),
        cpu_us: each.map(|us| us * total.messages as f64 / 2.0 / jobs),
        heap_bytes: None,
    };
    let worst = ResourceUse {
        bytes: Some(most.bytes as f64),
        cpu_ms: each.map(|us| us * most.messages as f64 / 2_000.0),
    };
    all.push(one(Function::Probes, cost, load(&cost, per_s), worst));

    let (total, most) = (counts.total(CALM, MessageType::Timer), counts.worst(CALM, MessageType::Timer));
    let each = probe_jobs::hold_timer(size, seed, cpu_times).cpu_us;
    let a_second = total.messages as f64 / (f64::from(size.schedulers) * calm_seconds as f64);
    let cost = Cost { messages: Some(a_second), cpu_us: each.map(|us| us * a_second), ..Cost::default() };
    let worst = ResourceUse { bytes: None, cpu_ms: each.map(|us| us * most.messages as f64 / 1_000.0) };
    all.push(one(Function::HoldTimer, cost, load(&cost, 1.0), worst));

    let cost = probe_jobs::complete_job(size, seed, cpu_times);
    all.push(one(Function::TokenBuckets, cost, load(&cost, per_s), load(&cost, busiest(size))));
    let cost = probe::handover(size, seed, cpu_times);
    // Both processes are on one machine: what is handed over takes no network.
    let local = |load: ResourceUse| ResourceUse { bytes: None, ..load };
    all.push(one(Function::Handover, cost, local(load(&cost, a_day)), local(load(&cost, 1.0))));
    all.push(one(Function::DepartedWorkers, probe::departed_workers(size, seed, cpu_times), none, none));
    all
}

/// Of loads told. A job is told of twice by who has it, and each datagram is heard once.
fn talk(size: &FleetParameters, seed: u64, cpu_times: bool, counts: &MessageCounts) -> Measurement {
    let (jobs, total, most) = (
        counts.jobs(CALM).max(1) as f64,
        counts.total(CALM, MessageType::Load),
        counts.worst(CALM, MessageType::Load),
    );
    let told = probe::send_load(size, seed, cpu_times).cpu_us;
    let heard = probe::receive_load(size, seed, cpu_times).cpu_us;
    // Every datagram is counted at both ends.
    let (datagrams, bytes) = (total.messages as f64 / 2.0 / jobs, total.bytes as f64 / 2.0 / jobs);
    let cpu_us = told.zip(heard).map(|(told, heard)| 2.0 * told + datagrams * heard);
    let cost = Cost { messages: Some(datagrams), bytes: Some(bytes), cpu_us, heap_bytes: None };
    let per_s = size.starts_per_s / f64::from(size.schedulers);
    // A scheduler sends its part and hears as much.
    let both = Cost { messages: Some(2.0 * datagrams), bytes: Some(2.0 * bytes), ..cost };
    let mean = ResourceUse { bytes: self::datagrams(&both, per_s).bytes, ..load(&cost, per_s) };
    let worst = ResourceUse {
        bytes: Some(most.with_heads()),
        cpu_ms: told.zip(heard).map(|(told, heard)| (told + heard) * most.messages as f64 / 1_000.0),
    };
    Measurement { function: Function::LoadMessages, cost, mean, worst }
}

/// Of greetings: one start, and all at once, which marks the maps as stale: they are dealt anew with the next job.
fn greetings(
    size: &FleetParameters,
    counts: &MessageCounts,
    each: Option<f64>,
    dealing: Option<f64>,
) -> [Measurement; 2] {
    let (one, all) = (counts.total(START, MessageType::Hello), counts.mass_restart());
    let sent = one.messages as f64 / 2.0;
    let cost = Cost {
        messages: Some(sent),
        bytes: Some(one.bytes as f64 / 2.0),
        cpu_us: each.map(|us| us * sent),
        heap_bytes: None,
    };
    // Every scheduler starts once a day, and hears of each other's start.
    let mean = datagrams(&cost, 1.0 / DAY_S);
    let worst = datagrams(&cost, 1.0 / f64::from(size.schedulers));
    let first = Measurement { function: Function::SingleStart, cost, mean, worst };
    let cost = Cost {
        messages: Some(all.messages as f64),
        bytes: Some(all.bytes as f64),
        cpu_us: each.zip(dealing).map(|(us, dealing)| us * all.messages as f64 / 2.0 + dealing),
        heap_bytes: None,
    };
    let function = Function::MassStart;
    [first, Measurement { function, cost, mean: ResourceUse::default(), worst: datagrams(&cost, 1.0) }]
}

/// Of a lost zone.
fn troubles(size: &FleetParameters, seed: u64, cpu_times: bool, counts: &MessageCounts) -> Measurement {
    let (all, most) =
        (counts.total(LOST, MessageType::FaultReport), counts.worst(LOST, MessageType::FaultReport));
    let each = probe::receive_fault_report(size, seed, cpu_times).cpu_us;
    let messages = all.messages as f64 / f64::from(size.schedulers);
    let cost = Cost {
        messages: Some(messages),
        bytes: Some(all.bytes as f64 / f64::from(size.schedulers)),
        cpu_us: each.map(|us| us * messages),
        heap_bytes: None,
    };
    let cpu_ms = each.map(|us| us * most.messages as f64 / 1_000.0);
    let worst = ResourceUse { bytes: Some(most.with_heads()), cpu_ms };
    Measurement { function: Function::FaultReports, cost, mean: ResourceUse::default(), worst }
}
