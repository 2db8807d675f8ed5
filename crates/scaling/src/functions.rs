//! The control functions, what each costs by the event, and what that makes in a second of a scheduler.

use crate::counts::{Counts, HEADS, Sort};
use crate::play::{Incident, play};
use crate::probe::{self, Cost};
use crate::probe_jobs;
use crate::scene::Size;
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
    List,
    /// The reading of its text before that.
    ListText,
    /// A changed line.
    Watch,
    /// The dealing of cohorts and ranges, all anew.
    Dealing,
    /// Loads told within cohorts.
    Talk,
    /// Greetings round the start of one scheduler.
    GreetingsOne,
    /// Greetings where all start at once.
    GreetingsAll,
    /// News of troubles when a zone is lost.
    Troubles,
    /// Probes of workers.
    Probes,
    /// The timer of held jobs.
    Timers,
    /// Tenants' buckets, and the whole job that asks them.
    Buckets,
    /// Knowledge handed to a successor.
    Handover,
    /// Workers that have gone.
    Gone,
}

impl Function {
    /// All of them.
    pub const ALL: [Function; 13] = [
        Function::List,
        Function::ListText,
        Function::Watch,
        Function::Dealing,
        Function::Talk,
        Function::GreetingsOne,
        Function::GreetingsAll,
        Function::Troubles,
        Function::Probes,
        Function::Timers,
        Function::Buckets,
        Function::Handover,
        Function::Gone,
    ];

    /// Its name, as a word of a file name.
    pub fn name(self) -> &'static str {
        match self {
            Function::List => "list",
            Function::ListText => "list-text",
            Function::Watch => "watch",
            Function::Dealing => "dealing",
            Function::Talk => "talk",
            Function::GreetingsOne => "greetings-one",
            Function::GreetingsAll => "greetings-all",
            Function::Troubles => "troubles",
            Function::Probes => "probes",
            Function::Timers => "timers",
            Function::Buckets => "buckets",
            Function::Handover => "handover",
            Function::Gone => "gone",
        }
    }

    /// What its costs are given for.
    pub fn event(self) -> &'static str {
        match self {
            Function::List => "a whole list, after a call or a watch that broke",
            Function::ListText => "the text of a whole list read into lines; state: heap in passing",
            Function::Watch => "a line of the list that changes, dealing included",
            Function::Dealing => "a dealing of cohorts and ranges (part of watch and list)",
            Function::Talk => "a job, at all schedulers together, each datagram once",
            Function::GreetingsOne => "a start of one scheduler, at all together, each datagram once",
            Function::GreetingsAll => "a start of all schedulers at once, at one of them, in and out",
            Function::Troubles => {
                "a lost zone, in the two seconds after it: a scheduler in the mean, in and out"
            }
            Function::Probes => "a job: requests and answers",
            Function::Timers => "a second of a scheduler: timers of held jobs that come due",
            Function::Buckets => "a whole job in the module, as the bound of its bucket; state: all tenants'",
            Function::Handover => "knowledge written and read; state: heap in passing",
            Function::Gone => "knowledge that those gone take; state: heap of a scheduler with them",
        }
    }
}

/// What a scheduler spends in a second. `None`: not on this function's account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Bytes, in and out; those of datagrams with the heads of UDP and IP.
    pub bytes: Option<f64>,
    /// Processor time, in milliseconds.
    pub cpu_ms: Option<f64>,
}

/// A function at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measured {
    /// The function.
    pub function: Function,
    /// By the event.
    pub cost: Cost,
    /// In the mean second of an ordinary day.
    pub mean: Load,
    /// In the worst second.
    pub worst: Load,
}

/// What is measured, and how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Effort {
    /// Processor time too; counts alone are the same in every run.
    pub times: bool,
    /// Seconds of a calm fleet that are played.
    pub seconds: u64,
}

/// Jobs that reach a scheduler in its busiest second of a day, at Poisson times.
fn busiest(size: &Size) -> f64 {
    let mean = size.starts_per_s / f64::from(size.schedulers);
    Poisson::new(mean).map_or(mean, |jobs| jobs.inverse_cdf(1.0 - 1.0 / DAY_S) as f64)
}

/// The load of so many events a second.
fn load(cost: &Cost, per_s: f64) -> Load {
    Load { bytes: cost.bytes.map(|bytes| bytes * per_s), cpu_ms: cost.cpu_us.map(|us| us * per_s / 1_000.0) }
}

/// Phases of a play: nothing happens, ...
pub const CALM: usize = 0;
/// ... one scheduler starts anew, ...
pub const START: usize = 1;
/// ... a zone is lost. Before all of them, all schedulers start at once.
pub const LOST: usize = 2;

/// Plays a fleet through all phases, the calm one for so many seconds. A play knows no days of service: one serves all
/// of these.
pub fn phases(size: &Size, seed: u64, seconds: u64) -> Counts {
    play(size, seed, &[(seconds, Incident::None), (1, Incident::Restart), (STORM_S, Incident::ZoneLost)])
}

/// The load of so many events a second whose messages are datagrams: their heads count, as they do on a network.
fn datagrams(cost: &Cost, per_s: f64) -> Load {
    let heads = HEADS * cost.messages.unwrap_or(0.0);
    Load { bytes: cost.bytes.map(|bytes| (bytes + heads) * per_s), ..load(cost, per_s) }
}

/// Measures all functions at one size, with what was counted in its play.
pub fn measure(size: &Size, seed: u64, effort: Effort, counts: &Counts) -> Vec<Measured> {
    let Effort { times, seconds } = effort;
    let one = |function, cost, mean, worst| Measured { function, cost, mean, worst };
    let (none, a_day) = (Load::default(), 1.0 / DAY_S);
    let mut all = Vec::with_capacity(Function::ALL.len());

    for (function, probe) in
        [(Function::List, probe::list as probe::Probe), (Function::ListText, probe::list_text)]
    {
        let cost = probe(size, seed, times);
        // After a loss it is asked for again within half a second to one and a half.
        all.push(one(function, cost, load(&cost, a_day), load(&cost, 1.0)));
    }
    let cost = probe::watch(size, seed, times);
    let (changes, zone) =
        (f64::from(3 * size.replaced_a_day), f64::from(size.workers) / f64::from(size.zones));
    // A worker that is replaced drains, goes, and has a successor; in the worst second a zone goes, line by line.
    all.push(one(Function::Watch, cost, load(&cost, changes * a_day), load(&cost, zone)));
    let dealing = probe::dealing(size, seed, times);
    all.push(one(Function::Dealing, dealing, none, none));

    all.push(talk(size, seed, times, counts));
    let greeting = probe::greeting(size, seed, times).cpu_us;
    all.extend(greetings(size, counts, greeting, dealing.cpu_us));
    all.push(troubles(size, seed, times, counts));

    let jobs = counts.jobs(CALM).max(1) as f64;
    let per_s = size.starts_per_s / f64::from(size.schedulers);
    let (total, most) = (counts.total(CALM, Sort::Probes), counts.worst(CALM, Sort::Probes));
    let each = probe_jobs::probed(size, seed, times).cpu_us;
    let cost = Cost {
        messages: Some(total.messages as f64 / jobs),
        bytes: Some(total.bytes as f64 / jobs),
        cpu_us: each.map(|us| us * total.messages as f64 / 2.0 / jobs),
        state: None,
    };
    let worst =
        Load { bytes: Some(most.bytes as f64), cpu_ms: each.map(|us| us * most.messages as f64 / 2_000.0) };
    all.push(one(Function::Probes, cost, load(&cost, per_s), worst));

    let (total, most) = (counts.total(CALM, Sort::Timers), counts.worst(CALM, Sort::Timers));
    let each = probe_jobs::timer(size, seed, times).cpu_us;
    let a_second = total.messages as f64 / (f64::from(size.schedulers) * seconds as f64);
    let cost = Cost { messages: Some(a_second), cpu_us: each.map(|us| us * a_second), ..Cost::default() };
    let worst = Load { bytes: None, cpu_ms: each.map(|us| us * most.messages as f64 / 1_000.0) };
    all.push(one(Function::Timers, cost, load(&cost, 1.0), worst));

    let cost = probe_jobs::job(size, seed, times);
    all.push(one(Function::Buckets, cost, load(&cost, per_s), load(&cost, busiest(size))));
    let cost = probe::handover(size, seed, times);
    // Both processes are on one machine: what is handed over takes no network.
    let local = |load: Load| Load { bytes: None, ..load };
    all.push(one(Function::Handover, cost, local(load(&cost, a_day)), local(load(&cost, 1.0))));
    all.push(one(Function::Gone, probe::gone(size, seed, times), none, none));
    all
}

/// Of loads told. A job is told of twice by who has it, and each datagram is heard once.
fn talk(size: &Size, seed: u64, times: bool, counts: &Counts) -> Measured {
    let (jobs, total, most) =
        (counts.jobs(CALM).max(1) as f64, counts.total(CALM, Sort::Talk), counts.worst(CALM, Sort::Talk));
    let told = probe::load_told(size, seed, times).cpu_us;
    let heard = probe::load_heard(size, seed, times).cpu_us;
    // Every datagram is counted at both ends.
    let (datagrams, bytes) = (total.messages as f64 / 2.0 / jobs, total.bytes as f64 / 2.0 / jobs);
    let cpu_us = told.zip(heard).map(|(told, heard)| 2.0 * told + datagrams * heard);
    let cost = Cost { messages: Some(datagrams), bytes: Some(bytes), cpu_us, state: None };
    let per_s = size.starts_per_s / f64::from(size.schedulers);
    // A scheduler sends its part and hears as much.
    let both = Cost { messages: Some(2.0 * datagrams), bytes: Some(2.0 * bytes), ..cost };
    let mean = Load { bytes: self::datagrams(&both, per_s).bytes, ..load(&cost, per_s) };
    let worst = Load {
        bytes: Some(most.with_heads()),
        cpu_ms: told.zip(heard).map(|(told, heard)| (told + heard) * most.messages as f64 / 1_000.0),
    };
    Measured { function: Function::Talk, cost, mean, worst }
}

/// Of greetings: one start, and all at once, which marks the maps as stale: they are dealt anew with the next job.
fn greetings(size: &Size, counts: &Counts, each: Option<f64>, dealing: Option<f64>) -> [Measured; 2] {
    let (one, all) = (counts.total(START, Sort::Greetings), counts.mass_restart());
    let sent = one.messages as f64 / 2.0;
    let cost = Cost {
        messages: Some(sent),
        bytes: Some(one.bytes as f64 / 2.0),
        cpu_us: each.map(|us| us * sent),
        state: None,
    };
    // Every scheduler starts once a day, and hears of each other's start.
    let mean = datagrams(&cost, 1.0 / DAY_S);
    let worst = datagrams(&cost, 1.0 / f64::from(size.schedulers));
    let first = Measured { function: Function::GreetingsOne, cost, mean, worst };
    let cost = Cost {
        messages: Some(all.messages as f64),
        bytes: Some(all.bytes as f64),
        cpu_us: each.zip(dealing).map(|(us, dealing)| us * all.messages as f64 / 2.0 + dealing),
        state: None,
    };
    let function = Function::GreetingsAll;
    [first, Measured { function, cost, mean: Load::default(), worst: datagrams(&cost, 1.0) }]
}

/// Of a lost zone.
fn troubles(size: &Size, seed: u64, times: bool, counts: &Counts) -> Measured {
    let (all, most) = (counts.total(LOST, Sort::Troubles), counts.worst(LOST, Sort::Troubles));
    let each = probe::trouble(size, seed, times).cpu_us;
    let messages = all.messages as f64 / f64::from(size.schedulers);
    let cost = Cost {
        messages: Some(messages),
        bytes: Some(all.bytes as f64 / f64::from(size.schedulers)),
        cpu_us: each.map(|us| us * messages),
        state: None,
    };
    let cpu_ms = each.map(|us| us * most.messages as f64 / 1_000.0);
    let worst = Load { bytes: Some(most.with_heads()), cpu_ms };
    Measured { function: Function::Troubles, cost, mean: Load::default(), worst }
}
