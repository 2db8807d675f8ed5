//! Hypotheses about control functions whose cost might grow too fast in a large fleet, each with the measurements
//! that confirm it or rule it out.

use crate::counts::{MessageType, UDP_IP_HEADER_BYTES};
use crate::probe;
use crate::probe_jobs::arrival;
use crate::quota::{Spread, TenantFleet};
use crate::scenario::{self, FleetParameters, SECOND};
use crate::simulation::{Incident, simulate};
use calicolb_decisions::api::{Event, RequestId};

/// A hypothesis with its measurements and the verdict.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The hypothesis.
    pub hypothesis: &'static str,
    /// The measurements, one line of text each.
    pub results: Vec<String>,
    /// The threshold beyond which the hypothesis counts as confirmed, in words.
    pub threshold: &'static str,
    /// The measurements exceed the threshold.
    pub confirmed: bool,
}

/// Tests whether workers that have left the fleet are kept for ever. `resident` returns the resident memory of this
/// process in bytes.
pub fn departed_workers(base: &FleetParameters, seed: u64, resident: &dyn Fn() -> u64) -> Finding {
    let fleets = [1, 73, 365].map(|days| FleetParameters { days, ..*base });
    // All schedulers are kept until the last one is built. Memory freed by one would otherwise be reused by the next,
    // and the growth would not be visible.
    let grown = fleets.map(|fleet| {
        let before = resident();
        let scheduler = scenario::settled_scheduler(&fleet, seed);
        (scheduler, resident().saturating_sub(before))
    });
    let kib = |bytes: f64| bytes / 1024.0;
    let measured: Vec<_> = fleets
        .iter()
        .zip(&grown)
        .map(|(fleet, (scheduler, resident_growth))| {
            let knowledge = scheduler.knowledge_text(scenario::current_time(fleet)).unwrap_or_default();
            let knowledge_bytes = knowledge.len() as f64;
            (
                fleet.days,
                kib(knowledge_bytes),
                kib(probe::retained_heap(|| scenario::settled_scheduler(fleet, seed))),
                kib(*resident_growth as f64),
            )
        })
        .collect();
    let line = |&(days, knowledge, heap, resident_growth): &(u32, f64, f64, f64)| {
        format!(
            "day {days}: knowledge {knowledge:.0} KiB, heap {heap:.0} KiB, resident memory +{resident_growth:.0} KiB"
        )
    };
    Finding {
        hypothesis: "workers that have left the fleet are never removed from Dispatcher::workers",
        results: measured.iter().map(line).collect(),
        threshold: "the knowledge after 365 days is more than twice that of day 1",
        confirmed: measured[2].1 > 2.0 * measured[0].1,
    }
}

/// Tests whether dividing a tenant's quota by the number of schedulers refuses requests that are within the quota.
pub fn tenant_quota(seed: u64, scheduler_counts: &[u32]) -> Finding {
    const QUOTA: f64 = 13.0;
    let mut results = Vec::new();
    let mut worst = 1.0_f64;
    for &schedulers in scheduler_counts {
        let [even, harmonic] = [Spread::Even, Spread::Harmonic]
            .map(|spread| TenantFleet::new(schedulers, QUOTA).admitted_share(0.8, spread, seed));
        let double = TenantFleet::new(schedulers, QUOTA).admitted_share(2.0, Spread::Even, seed) * 2.0;
        let burst = TenantFleet::new(schedulers, QUOTA).admitted_burst();
        worst = worst.min(even).min(harmonic);
        results.push(format!(
            "{schedulers} schedulers, quota {QUOTA}/s: at 0.8 of the quota {even:.3} of the requests admitted (even), {harmonic:.3} \
             (1:1/2:1/3...); at 2.0 of the quota {double:.2} of the quota admitted; burst of {burst} requests"
        ));
    }
    Finding {
        hypothesis: "each of S schedulers enforces 1/S of a tenant's quota, with a token bucket of at least 3",
        results,
        threshold: "less than 0.95 of the requests admitted at 0.8 of the quota, for any number of schedulers",
        confirmed: worst < 0.95,
    }
}

/// Tests the cost of hello messages: a starting scheduler sends one to all others and each of them answers, which
/// makes the size maps stale.
pub fn hello_messages(base: &FleetParameters, seed: u64, cpu_times: bool) -> Finding {
    let others = f64::from(base.schedulers.max(2) - 1);
    let counts = simulate(base, seed, &[(1, Incident::Restart)]);
    let start_messages = counts.total(0, MessageType::Hello).messages as f64 / 2.0;
    let (at_one_scheduler, schedulers) = (counts.mass_restart(), f64::from(base.schedulers));
    let mut results = vec![
        format!(
            "start of one of {schedulers} schedulers: {start_messages:.0} datagrams ({:.2} per other scheduler)",
            start_messages / others
        ),
        format!(
            "start of all: {} datagrams and {} bytes at one scheduler, {:.0} datagrams in total ({:.2} S squared)",
            at_one_scheduler.messages,
            at_one_scheduler.bytes,
            at_one_scheduler.messages as f64 / 2.0 * schedulers,
            at_one_scheduler.messages as f64 / 2.0 / schedulers
        ),
    ];
    if cpu_times {
        let (known_us, changed_us) =
            (hello_and_job_us(base, seed, false), hello_and_job_us(base, seed, true));
        results.push(format!(
            "a hello and the next job: {known_us:.0} us if the zone of the sender is unchanged, {changed_us:.0} us if it \
             changes, since the size maps are then computed again"
        ));
    }
    Finding {
        hypothesis: "hello messages: 2 S for the start of one scheduler, S squared for the start of all; size maps become stale",
        results,
        threshold: "a start of all schedulers costs each of them 2 S datagrams or more",
        confirmed: at_one_scheduler.messages as f64 >= 2.0 * schedulers,
    }
}

/// Processor microseconds of a hello and of the job after it. The sender's zone is a new one if `zone_changes` is set, and
/// otherwise the known one.
fn hello_and_job_us(base: &FleetParameters, seed: u64, zone_changes: bool) -> f64 {
    let events = |number: u64| match number % 3 {
        1 => {
            let zone = if zone_changes { (number / 3 % 2) as u32 } else { 1 };
            Event::Peer { from: 1, body: scenario::encode_hello(zone, false) }
        }
        2 => Event::Arrival(arrival(scenario::current_time(base) + SECOND, number as u32, 0, None, 1.0)),
        _ => Event::RequestAbandoned(RequestId(number as u32 - 1)),
    };
    probe::event_cpu_us(base, seed, 3, true, events).map_or(0.0, |us| us * 3.0)
}

/// Tests the cost of sending fault reports to all schedulers. `budget` is the allowed number of bytes per second.
pub fn fault_reports(base: &FleetParameters, seed: u64, budget: f64) -> Finding {
    let mut peak = 0.0_f64;
    let mut describe = |incident: Incident, effect: &str| {
        let counts = simulate(base, seed, &[(5, incident)]);
        let (total, worst) =
            (counts.total(0, MessageType::FaultReport), counts.worst(0, MessageType::FaultReport));
        peak = peak.max(worst.bytes_with_headers());
        format!(
            "{} workers of {} schedulers {effect}: {} datagrams in total; worst second of one scheduler {} datagrams, {} \
             bytes, {:.0} with UDP and IP headers",
            base.workers.div_ceil(base.zones),
            base.schedulers,
            total.messages / 2,
            worst.messages,
            worst.bytes,
            worst.bytes_with_headers()
        )
    };
    let results = vec![
        describe(Incident::ZoneLost, "fail and all their connections are reset"),
        describe(Incident::ZoneSilent, "stop responding"),
    ];
    Finding {
        hypothesis: "fault reports are sent to all schedulers",
        results,
        threshold: "the worst second, with UDP and IP headers, exceeds the byte budget",
        confirmed: peak > budget,
    }
}

/// Tests the cost of full worker lists and of cohort assignments at several sizes. `budget` is the allowed bytes and
/// processor milliseconds per second.
pub fn worker_lists(base: &FleetParameters, seed: u64, budget: (f64, f64)) -> [Finding; 2] {
    let mut results = Vec::new();
    let mut over_budget = false;
    for workers in [base.workers, 2_000] {
        let fleet = FleetParameters { workers, ..*base };
        let (list, parsing) = (probe::full_list(&fleet, seed, true), probe::parse_list(&fleet, seed, true));
        let milliseconds = |us: Option<f64>| us.unwrap_or(0.0) / 1_000.0;
        let cpu_ms = milliseconds(list.cpu_us) + milliseconds(parsing.cpu_us);
        let bytes = list.bytes.unwrap_or(0.0);
        over_budget |= bytes > budget.0 || cpu_ms > budget.1;
        results.push(format!(
            "{workers} workers: {bytes:.0} bytes, {:.2} ms in the decision module and {:.2} ms to parse the text; \
             {} schedulers at once: {:.1} MB from discovery",
            milliseconds(list.cpu_us),
            milliseconds(parsing.cpu_us),
            fleet.schedulers,
            bytes * f64::from(fleet.schedulers) / 1e6
        ));
    }
    let full_lists = Finding {
        hypothesis: "a full list is read after each failed call, and on_members compares all members with all",
        results,
        threshold: "one list per second exceeds the budget of bytes or of processor time",
        confirmed: over_budget,
    };
    let mut results = Vec::new();
    let mut peak = 0.0_f64;
    for schedulers in [30, base.schedulers, 1_000] {
        let fleet = FleetParameters { schedulers, ..*base };
        let us = probe::assign_cohorts(&fleet, seed, true).cpu_us.unwrap_or(0.0);
        let zone_workers = f64::from(fleet.workers.div_ceil(fleet.zones));
        peak = peak.max(us * zone_workers / 1_000.0);
        results.push(format!(
            "{} workers, {schedulers} schedulers: {us:.0} us; loss of a zone, one change per worker in one second: {:.1} ms",
            fleet.workers,
            us * zone_workers / 1_000.0
        ));
    }
    let cohort_assignment = Finding {
        hypothesis: "each list change assigns all cohorts again",
        results,
        threshold: "the loss of a zone, one change per worker in one second, exceeds the budget of processor time",
        confirmed: peak > budget.1,
    };
    [full_lists, cohort_assignment]
}

/// Tests the number of load messages per job within cohorts.
pub fn load_messages(base: &FleetParameters, seed: u64, seconds: u64) -> Finding {
    let mut results = Vec::new();
    let mut peak = 0.0_f64;
    for schedulers in [30, base.schedulers, 1_000] {
        let fleet = FleetParameters { schedulers, ..*base };
        let counts = simulate(&fleet, seed, &[(seconds, Incident::None)]);
        let (jobs, total, worst) = (
            counts.jobs(0).max(1) as f64,
            counts.total(0, MessageType::Load),
            counts.worst(0, MessageType::Load),
        );
        let (datagrams, bytes) = (total.messages as f64 / 2.0 / jobs, total.bytes as f64 / 2.0 / jobs);
        peak = peak.max(datagrams);
        results.push(format!(
            "{schedulers} schedulers: {datagrams:.1} datagrams per job, {bytes:.0} bytes, {:.0} with UDP and IP \
             headers; worst second of one scheduler {} bytes",
            bytes + UDP_IP_HEADER_BYTES * datagrams,
            worst.bytes
        ));
    }
    Finding {
        hypothesis: "load messages within cohorts: 6 to 14 datagrams per job",
        results,
        threshold: "more than 6 datagrams per job for any number of schedulers",
        confirmed: peak > 6.0,
    }
}

/// Findings from reading the code, which have no measurements.
pub const NOT_MEASURED: [&str; 2] = [
    "SIGHUP applies changed addresses only, all other settings need a restart: found by reading the code, nothing to \
     measure in the decision module",
    "jobs that need several workers at once are not placed: found by reading the code, nothing to measure",
];
