//! Single costs of each control function, measured on the decision module as it is: one event at a time, given to a
//! scheduler that knows a fleet of some size.

use crate::cpu_clock;
use crate::scenario::{self, FleetParameters, ListEntry, ListMessage, MILLI, START_TIME};
use allocation_counter::measure;
use calicolb_decisions::api::*;
use calicolb_decisions::rules::Dispatcher;
use serde_json::Value;
use std::time::Duration;

/// Processor time that a series takes at least.
pub(crate) const MIN_SERIES_TIME: Duration = Duration::from_millis(4);

/// What one event of a function costs one scheduler. `None`: not of this function, or not measured here.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Messages, in and out.
    pub messages: Option<f64>,
    /// Their bytes.
    pub bytes: Option<f64>,
    /// Processor time, in microseconds.
    pub cpu_us: Option<f64>,
    /// Bytes on the heap that it keeps.
    pub heap_bytes: Option<f64>,
}

/// A probe measures processor time too, where `times` says so: counts alone are the same in every run.
pub type Probe = fn(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost;

/// Processor microseconds of one event on a settled scheduler.
pub(crate) fn event_cpu_us(
    size: &FleetParameters,
    seed: u64,
    lot: usize,
    cpu_times: bool,
    mut events: impl FnMut(u64) -> Event,
) -> Option<f64> {
    if !cpu_times {
        return None;
    }
    let mut held = (scenario::settled_scheduler(size, seed), scenario::current_time(size));
    let (mut out, mut nr) = (Vec::new(), 0);
    let prepare = |_: &mut (Dispatcher, Micros)| {
        nr += 1;
        events(nr)
    };
    let work = |held: &mut (Dispatcher, Micros), event| {
        held.1 += MILLI;
        held.0.on_event(held.1, event, &mut out);
        out.clear();
    };
    Some(cpu_clock::micros_per_iteration(MIN_SERIES_TIME, lot, &mut held, prepare, work))
}

/// Bytes on the heap that the making of this takes and keeps.
pub(crate) fn retained_heap<T>(make: impl FnOnce() -> T) -> f64 {
    let mut made = None;
    let info = measure(|| made = Some(make()));
    drop(made);
    info.bytes_current as f64
}

/// Bytes of a call to discovery and of its answer with this body.
fn call_bytes(target: &str, body: &str) -> f64 {
    let call = format!("GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n");
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    (call.len() + head.len() + body.len()) as f64
}

/// The whole list, after a call or a watch that broke: a call, its answer, and what the module makes of it.
pub fn full_list(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let all = scenario::members(size, seed);
    let bytes = call_bytes("/discovery/hosts", &scenario::list_json(&all, true));
    let alone = retained_heap(|| Dispatcher::new(scenario::settings(size, 0), seed, START_TIME));
    let state = retained_heap(|| scenario::settled_scheduler(size, seed)) - alone;
    let whole = |_| Event::Members(ListKind::Full, all.clone());
    let cpu_us = event_cpu_us(size, seed, 8, cpu_times, whole);
    Cost { messages: Some(2.0), bytes: Some(bytes), cpu_us, heap_bytes: Some(state) }
}

/// The reading of the whole list's text, into values and from these into lines, as the program does before the module
/// hears of it.
pub fn parse_list(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let text = scenario::list_json(&scenario::members(size, seed), true);
    let read = |_: &mut (), text: &str| {
        let update: Option<ListMessage<Value>> = serde_json::from_str(text).ok();
        let hosts = update.map(|update| update.hosts).unwrap_or_default();
        let lines = hosts.into_iter().filter_map(|host| serde_json::from_value::<ListEntry>(host).ok());
        std::hint::black_box(lines.count());
    };
    let cpu_us = cpu_times
        .then(|| cpu_clock::micros_per_iteration(MIN_SERIES_TIME, 1, &mut (), |_| text.as_str(), read));
    let transient = measure(|| read(&mut (), &text)).bytes_max as f64;
    Cost { cpu_us, heap_bytes: Some(transient), ..Cost::default() }
}

/// One line of the list that changes, by the watch.
pub fn list_change(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let all = scenario::members(size, seed);
    let line = |nr: u64| {
        // One drains, and is in service again.
        let standing = if nr.is_multiple_of(2) { WorkerStatus::On } else { WorkerStatus::Draining };
        Member { status: standing, ..all[(nr.div_ceil(2) % all.len() as u64) as usize].clone() }
    };
    let text = scenario::list_json(&[line(1)], false) + "\n";
    let chunk = format!("{:x}\r\n{text}\r\n", text.len()).len() as f64;
    let change = |nr| Event::Members(ListKind::Changes, vec![line(nr)]);
    let cpu_us = event_cpu_us(size, seed, 64, cpu_times, change);
    Cost { messages: Some(1.0), bytes: Some(chunk), cpu_us, heap_bytes: None }
}

/// The dealing of schedulers into cohorts and of workers to cohorts and ranges, all anew.
pub fn assign_cohorts(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let nothing = |_| Event::Members(ListKind::Changes, Vec::new());
    let cpu_us = event_cpu_us(size, seed, 64, cpu_times, nothing);
    Cost { cpu_us, ..Cost::default() }
}

/// A greeting heard, and answered.
pub fn receive_hello(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let others = u64::from(size.schedulers.max(2) - 1);
    let greets = |nr: u64| {
        let rank = 1 + (nr % others) as u32;
        Event::Peer { from: rank, body: scenario::encode_hello(rank % size.zones, true) }
    };
    let cpu_us = event_cpu_us(size, seed, 1_000, cpu_times, greets);
    Cost { cpu_us, ..Cost::default() }
}

/// News of a worker's trouble, heard.
pub fn receive_fault_report(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let others = u64::from(size.schedulers.max(2) - 1);
    let tells = |nr: u64| {
        let worker = scenario::active_worker(size, seed, nr);
        Event::Peer { from: 1 + (nr % others) as u32, body: scenario::encode_fault_report(worker, 2) }
    };
    let cpu_us = event_cpu_us(size, seed, 1_000, cpu_times, tells);
    Cost { cpu_us, ..Cost::default() }
}

/// A load heard from another of the cohort.
pub fn receive_load(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let others = u64::from(size.schedulers.max(2) - 1);
    let tells = |nr: u64| {
        let worker = scenario::active_worker(size, seed, nr / 2);
        let body = scenario::encode_load(worker, (nr % 2) as u8, 40, 90);
        Event::Peer { from: 1 + (nr / 2 % others.min(7)) as u32, body }
    };
    let cpu_us = event_cpu_us(size, seed, 1_000, cpu_times, tells);
    Cost { cpu_us, ..Cost::default() }
}

/// The own load at one worker told to its cohort.
pub fn send_load(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let all = event_cpu_us(size, seed, 4, cpu_times, |_| Event::SuccessorActive(false));
    // Those that have gone are told of as well.
    let told = f64::from(size.workers + size.days * size.replaced_per_day);
    Cost { cpu_us: all.map(|all| all / told), ..Cost::default() }
}

/// What knowledge a successor is handed: written by one process and read by the other, both on this machine.
pub fn handover(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let mut dispatcher = scenario::settled_scheduler(size, seed);
    let now = scenario::current_time(size);
    let mut bytes = 0;
    let mut over = |dispatcher: &mut Dispatcher, out: &mut Vec<Action>| {
        let text = serde_json::to_vec(&dispatcher.knowledge()).unwrap_or_default();
        bytes = text.len();
        let handed = serde_json::from_slice(&text).unwrap_or_default();
        dispatcher.on_event(now, Event::KnowledgeReceived(handed), out);
        out.clear();
    };
    let mut out = Vec::new();
    let transient = measure(|| over(&mut dispatcher, &mut out)).bytes_max as f64;
    let cpu_us = cpu_times.then(|| {
        cpu_clock::micros_per_iteration(
            MIN_SERIES_TIME,
            1,
            &mut dispatcher,
            |_| (),
            |held, ()| over(held, &mut out),
        )
    });
    Cost { messages: Some(1.0), bytes: Some(bytes as f64), cpu_us, heap_bytes: Some(transient) }
}

/// The workers that have gone: what they take of the knowledge handed over, and the heap of a scheduler with them.
pub fn departed_workers(size: &FleetParameters, seed: u64, _cpu_times: bool) -> Cost {
    let none = FleetParameters { days: 0, ..*size };
    let text =
        |size: &FleetParameters| scenario::settled_scheduler(size, seed).knowledge().to_string().len() as f64;
    let bytes = text(size) - text(&none);
    Cost {
        bytes: Some(bytes),
        heap_bytes: Some(retained_heap(|| scenario::settled_scheduler(size, seed))),
        ..Cost::default()
    }
}
