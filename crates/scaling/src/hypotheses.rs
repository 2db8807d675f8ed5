//! What was hypothesis of the module at the size ahead: each with the figures that confirm it or rule it out.

use crate::counts::{HEADS, MessageType};
use crate::probe;
use crate::probe_jobs::arrival;
use crate::quota::{Spread, Tenancy};
use crate::scenario::{self, FleetParameters, SECOND};
use crate::simulation::{Incident, simulate};
use calicolb_decisions::api::{Event, RequestId};

/// One suspicion, with what was found.
#[derive(Clone, Debug)]
pub struct Finding {
    /// What was hypothesis.
    pub hypothesis: &'static str,
    /// What was measured.
    pub results: Vec<String>,
    /// The line beyond which it counts as confirmed, in words.
    pub threshold: &'static str,
    /// Beyond that line.
    pub confirmed: bool,
}

/// Workers that have gone are kept for ever. `resident` gives the memory that this process has, in bytes.
pub fn departed_workers(base: &FleetParameters, seed: u64, resident: &dyn Fn() -> u64) -> Finding {
    let sizes = [1, 73, 365].map(|days| FleetParameters { days, ..*base });
    // All are kept until the last is there: memory that is given back would be taken anew by the next.
    let held = sizes.map(|size| {
        let before = resident();
        let held = scenario::settled_scheduler(&size, seed);
        (held, resident().saturating_sub(before))
    });
    let kib = |bytes: f64| bytes / 1024.0;
    let seen: Vec<_> = sizes
        .iter()
        .zip(&held)
        .map(|(size, (held, grown))| {
            let text = held.knowledge().to_string().len() as f64;
            (
                size.days,
                kib(text),
                kib(probe::retained_heap(|| scenario::settled_scheduler(size, seed))),
                kib(*grown as f64),
            )
        })
        .collect();
    let line = |&(days, text, heap, grown): &(u32, f64, f64, f64)| {
        format!("day {days}: knowledge {text:.0} KiB, heap {heap:.0} KiB, resident memory +{grown:.0} KiB")
    };
    Finding {
        hypothesis: "workers that have gone stay in Dispatcher::workers for ever",
        results: seen.iter().map(line).collect(),
        threshold: "knowledge after 365 days over twice that of day 1",
        confirmed: seen[2].1 > 2.0 * seen[0].1,
    }
}

/// A tenant's quota is cut into as many parts as there are schedulers.
pub fn tenant_quota(seed: u64, fleets: &[u32]) -> Finding {
    const QUOTA: f64 = 13.0;
    let mut figures = Vec::new();
    let mut worst = 1.0_f64;
    for &schedulers in fleets {
        let [even, harmonic] = [Spread::Even, Spread::Harmonic]
            .map(|spread| Tenancy::new(schedulers, QUOTA).within(0.8, spread, seed));
        let double = Tenancy::new(schedulers, QUOTA).within(2.0, Spread::Even, seed) * 2.0;
        let burst = Tenancy::new(schedulers, QUOTA).burst();
        worst = worst.min(even).min(harmonic);
        figures.push(format!(
            "{schedulers} schedulers, quota {QUOTA}/s: at 0.8 of it {even:.3} counted within (even), {harmonic:.3} \
             (1:1/2:1/3...); at 2.0 of it {double:.2} of the quota; burst {burst} requests at once"
        ));
    }
    Finding {
        hypothesis: "a tenant's quota is cut into 1/S for each scheduler, with a bucket of 3 at least",
        results: figures,
        threshold: "less than 0.95 counted within at 0.8 of the quota, anywhere",
        confirmed: worst < 0.95,
    }
}

/// Who starts tells all, and each answers; maps marked as stale.
pub fn hello_messages(base: &FleetParameters, seed: u64, cpu_times: bool) -> Finding {
    let others = f64::from(base.schedulers.max(2) - 1);
    let counts = simulate(base, seed, &[(1, Incident::Restart)]);
    let one = counts.total(0, MessageType::Hello).messages as f64 / 2.0;
    let (at_one, schedulers) = (counts.mass_restart(), f64::from(base.schedulers));
    let mut figures = vec![
        format!(
            "one start at {schedulers} schedulers: {one:.0} datagrams ({:.2} for each other)",
            one / others
        ),
        format!(
            "start of all: {} datagrams and {} bytes at one, {:.0} datagrams in all ({:.2} S squared)",
            at_one.messages,
            at_one.bytes,
            at_one.messages as f64 / 2.0 * schedulers,
            at_one.messages as f64 / 2.0 / schedulers
        ),
    ];
    if cpu_times {
        let (known, moved) = (hello_and_job_us(base, seed, false), hello_and_job_us(base, seed, true));
        figures.push(format!(
            "a greeting and the next job: {known:.0} us where its zone was known, {moved:.0} us where it is another: \
             the maps are then dealt anew"
        ));
    }
    Finding {
        hypothesis: "greetings: 2 S for a start, S squared for a start of all; maps marked as stale",
        results: figures,
        threshold: "a start of all costs each scheduler 2 S datagrams or more",
        confirmed: at_one.messages as f64 >= 2.0 * schedulers,
    }
}

/// Processor microseconds of a greeting, from another zone than before or from the same, and of the job after it.
fn hello_and_job_us(base: &FleetParameters, seed: u64, moved: bool) -> f64 {
    let events = |nr: u64| match nr % 3 {
        1 => {
            let zone = if moved { (nr / 3 % 2) as u32 } else { 1 };
            Event::Peer { from: 1, body: scenario::encode_hello(zone, false) }
        }
        2 => Event::Arrival(arrival(scenario::current_time(base) + SECOND, nr as u32, 0, None, 1.0)),
        _ => Event::RequestAbandoned(RequestId(nr as u32 - 1)),
    };
    probe::event_cpu_us(base, seed, 3, true, events).map_or(0.0, |us| us * 3.0)
}

/// Troubles are told to all.
pub fn fault_reports(base: &FleetParameters, seed: u64, budget: f64) -> Finding {
    let mut most = 0.0_f64;
    let mut of = |incident: Incident, how: &str| {
        let counts = simulate(base, seed, &[(5, incident)]);
        let (all, worst) =
            (counts.total(0, MessageType::FaultReport), counts.worst(0, MessageType::FaultReport));
        most = most.max(worst.with_heads());
        format!(
            "{} workers of {} schedulers {how}: {} datagrams in all; worst second of one scheduler {} datagrams, {} \
             bytes, {:.0} with the heads of UDP and IP",
            base.workers.div_ceil(base.zones),
            base.schedulers,
            all.messages / 2,
            worst.messages,
            worst.bytes,
            worst.with_heads()
        )
    };
    let figures = vec![
        of(Incident::ZoneLost, "die and reset every connection"),
        of(Incident::ZoneSilent, "fall silent"),
    ];
    Finding {
        hypothesis: "troubles are told to all",
        results: figures,
        threshold: "the worst second, with heads, beyond the budget of bytes",
        confirmed: most > budget,
    }
}

/// The whole list, and the dealing, at several sizes.
pub fn worker_lists(base: &FleetParameters, seed: u64, budget: (f64, f64)) -> [Finding; 2] {
    let mut figures = Vec::new();
    let mut over = false;
    for workers in [base.workers, 2_000] {
        let size = FleetParameters { workers, ..*base };
        let (list, text) = (probe::full_list(&size, seed, true), probe::parse_list(&size, seed, true));
        let ms = |us: Option<f64>| us.unwrap_or(0.0) / 1_000.0;
        let spent = ms(list.cpu_us) + ms(text.cpu_us);
        let bytes = list.bytes.unwrap_or(0.0);
        over |= bytes > budget.0 || spent > budget.1;
        figures.push(format!(
            "{workers} workers: {bytes:.0} bytes, {:.2} ms in the module and {:.2} ms to read the text; \
             {} schedulers at once: {:.1} MB from discovery",
            ms(list.cpu_us),
            ms(text.cpu_us),
            size.schedulers,
            bytes * f64::from(size.schedulers) / 1e6
        ));
    }
    let whole = Finding {
        hypothesis: "a whole list after each broken call; on_members compares all with all",
        results: figures,
        threshold: "one list in a second beyond the budget of bytes or of processor time",
        confirmed: over,
    };
    let mut figures = Vec::new();
    let mut most = 0.0_f64;
    for schedulers in [30, base.schedulers, 1_000] {
        let size = FleetParameters { schedulers, ..*base };
        let us = probe::assign_cohorts(&size, seed, true).cpu_us.unwrap_or(0.0);
        let zone = f64::from(size.workers.div_ceil(size.zones));
        most = most.max(us * zone / 1_000.0);
        figures.push(format!(
            "{} workers, {schedulers} schedulers: {us:.0} us; a lost zone line by line in one second: {:.1} ms",
            size.workers,
            us * zone / 1_000.0
        ));
    }
    let dealing = Finding {
        hypothesis: "each list change deals all cohorts anew",
        results: figures,
        threshold: "a lost zone, line by line in one second, beyond the budget of processor time",
        confirmed: most > budget.1,
    };
    [whole, dealing]
}

/// Loads told within cohorts, by the job.
pub fn load_messages(base: &FleetParameters, seed: u64, seconds: u64) -> Finding {
    let mut figures = Vec::new();
    let mut most = 0.0_f64;
    for schedulers in [30, base.schedulers, 1_000] {
        let size = FleetParameters { schedulers, ..*base };
        let counts = simulate(&size, seed, &[(seconds, Incident::None)]);
        let (jobs, all, worst) = (
            counts.jobs(0).max(1) as f64,
            counts.total(0, MessageType::Load),
            counts.worst(0, MessageType::Load),
        );
        let (datagrams, bytes) = (all.messages as f64 / 2.0 / jobs, all.bytes as f64 / 2.0 / jobs);
        most = most.max(datagrams);
        figures.push(format!(
            "{schedulers} schedulers: {datagrams:.1} datagrams a job, {bytes:.0} bytes, {:.0} with the heads of UDP \
             and IP; worst second of one scheduler {} bytes",
            bytes + HEADS * datagrams,
            worst.bytes
        ));
    }
    Finding {
        hypothesis: "cohort talk: 6 to 14 datagrams a job",
        results: figures,
        threshold: "over 6 datagrams a job anywhere",
        confirmed: most > 6.0,
    }
}

/// What was said of these by reading only has no row of processor time.
pub const NOT_MEASURED: [&str; 2] = [
    "SIGHUP takes up addresses only, everything else needs a restart: by reading, nothing to measure in the module",
    "gangs: nothing places one over several workers: by reading, nothing to measure",
];
