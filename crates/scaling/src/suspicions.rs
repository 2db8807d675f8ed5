//! What was suspected of the module at the size ahead: each with the figures that confirm it or rule it out.

use crate::counts::{HEADS, Sort};
use crate::play::{Incident, play};
use crate::probe;
use crate::probe_jobs::arrival;
use crate::quota::{Spread, Tenancy};
use crate::scene::{self, SECOND, Size};
use calicolb_decisions::api::{Event, RequestId};

/// One suspicion, with what was found.
#[derive(Clone, Debug)]
pub struct Finding {
    /// What was suspected.
    pub suspected: &'static str,
    /// What was measured.
    pub figures: Vec<String>,
    /// The line beyond which it counts as confirmed, in words.
    pub line: &'static str,
    /// Beyond that line.
    pub confirmed: bool,
}

/// Workers that have gone are kept for ever. `resident` gives the memory that this process has, in bytes.
pub fn gone(base: &Size, seed: u64, resident: &dyn Fn() -> u64) -> Finding {
    let sizes = [1, 73, 365].map(|days| Size { days, ..*base });
    // All are kept until the last is there: memory that is given back would be taken anew by the next.
    let held = sizes.map(|size| {
        let before = resident();
        let held = scene::settled(&size, seed);
        (held, resident().saturating_sub(before))
    });
    let kib = |bytes: f64| bytes / 1024.0;
    let seen: Vec<_> = sizes
        .iter()
        .zip(&held)
        .map(|(size, (held, grown))| {
            let text = held.knowledge().to_string().len() as f64;
            (size.days, kib(text), kib(probe::kept(|| scene::settled(size, seed))), kib(*grown as f64))
        })
        .collect();
    let line = |&(days, text, heap, grown): &(u32, f64, f64, f64)| {
        format!("day {days}: knowledge {text:.0} KiB, heap {heap:.0} KiB, resident memory +{grown:.0} KiB")
    };
    Finding {
        suspected: "workers that have gone stay in Dispatcher::workers for ever",
        figures: seen.iter().map(line).collect(),
        line: "knowledge after 365 days over twice that of day 1",
        confirmed: seen[2].1 > 2.0 * seen[0].1,
    }
}

/// A tenant's quota is cut into as many parts as there are schedulers.
pub fn quota(seed: u64, fleets: &[u32]) -> Finding {
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
        suspected: "a tenant's quota is cut into 1/S for each scheduler, with a bucket of 3 at least",
        figures,
        line: "less than 0.95 counted within at 0.8 of the quota, anywhere",
        confirmed: worst < 0.95,
    }
}

/// Who starts tells all, and each answers; maps marked as stale.
pub fn greetings(base: &Size, seed: u64, times: bool) -> Finding {
    let others = f64::from(base.schedulers.max(2) - 1);
    let counts = play(base, seed, &[(1, Incident::Restart)]);
    let one = counts.total(0, Sort::Greetings).messages as f64 / 2.0;
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
    if times {
        let (known, moved) = (stale_us(base, seed, false), stale_us(base, seed, true));
        figures.push(format!(
            "a greeting and the next job: {known:.0} us where its zone was known, {moved:.0} us where it is another: \
             the maps are then dealt anew"
        ));
    }
    Finding {
        suspected: "greetings: 2 S for a start, S squared for a start of all; maps marked as stale",
        figures,
        line: "a start of all costs each scheduler 2 S datagrams or more",
        confirmed: at_one.messages as f64 >= 2.0 * schedulers,
    }
}

/// Processor microseconds of a greeting, from another zone than before or from the same, and of the job after it.
fn stale_us(base: &Size, seed: u64, moved: bool) -> f64 {
    let events = |nr: u64| match nr % 3 {
        1 => {
            let zone = if moved { (nr / 3 % 2) as u32 } else { 1 };
            Event::Peer { from: 1, body: scene::greeting(zone, false) }
        }
        2 => Event::Arrival(arrival(scene::today(base) + SECOND, nr as u32, 0, None, 1.0)),
        _ => Event::RequestAbandoned(RequestId(nr as u32 - 1)),
    };
    probe::event_us(base, seed, 3, true, events).map_or(0.0, |us| us * 3.0)
}

/// Troubles are told to all.
pub fn troubles(base: &Size, seed: u64, budget: f64) -> Finding {
    let mut most = 0.0_f64;
    let mut of = |incident: Incident, how: &str| {
        let counts = play(base, seed, &[(5, incident)]);
        let (all, worst) = (counts.total(0, Sort::Troubles), counts.worst(0, Sort::Troubles));
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
        suspected: "troubles are told to all",
        figures,
        line: "the worst second, with heads, beyond the budget of bytes",
        confirmed: most > budget,
    }
}

/// The whole list, and the dealing, at several sizes.
pub fn lists(base: &Size, seed: u64, budget: (f64, f64)) -> [Finding; 2] {
    let mut figures = Vec::new();
    let mut over = false;
    for workers in [base.workers, 2_000] {
        let size = Size { workers, ..*base };
        let (list, text) = (probe::list(&size, seed, true), probe::list_text(&size, seed, true));
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
        suspected: "a whole list after each broken call; on_members compares all with all",
        figures,
        line: "one list in a second beyond the budget of bytes or of processor time",
        confirmed: over,
    };
    let mut figures = Vec::new();
    let mut most = 0.0_f64;
    for schedulers in [30, base.schedulers, 1_000] {
        let size = Size { schedulers, ..*base };
        let us = probe::dealing(&size, seed, true).cpu_us.unwrap_or(0.0);
        let zone = f64::from(size.workers.div_ceil(size.zones));
        most = most.max(us * zone / 1_000.0);
        figures.push(format!(
            "{} workers, {schedulers} schedulers: {us:.0} us; a lost zone line by line in one second: {:.1} ms",
            size.workers,
            us * zone / 1_000.0
        ));
    }
    let dealing = Finding {
        suspected: "each list change deals all cohorts anew",
        figures,
        line: "a lost zone, line by line in one second, beyond the budget of processor time",
        confirmed: most > budget.1,
    };
    [whole, dealing]
}

/// Loads told within cohorts, by the job.
pub fn talk(base: &Size, seed: u64, seconds: u64) -> Finding {
    let mut figures = Vec::new();
    let mut most = 0.0_f64;
    for schedulers in [30, base.schedulers, 1_000] {
        let size = Size { schedulers, ..*base };
        let counts = play(&size, seed, &[(seconds, Incident::None)]);
        let (jobs, all, worst) =
            (counts.jobs(0).max(1) as f64, counts.total(0, Sort::Talk), counts.worst(0, Sort::Talk));
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
        suspected: "cohort talk: 6 to 14 datagrams a job",
        figures,
        line: "over 6 datagrams a job anywhere",
        confirmed: most > 6.0,
    }
}

/// What was said of these by reading only has no row of processor time.
pub const BY_READING: [&str; 2] = [
    "SIGHUP takes up addresses only, everything else needs a restart: by reading, nothing to measure in the module",
    "gangs: nothing places one over several workers: by reading, nothing to measure",
];
