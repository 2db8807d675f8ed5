//! Measures the cost of single events of each control function on the decision module. The events go to a scheduler
//! that knows a fleet of the given size.

use crate::cpu_clock;
use crate::scenario::{self, FleetParameters, ListEntry, ListMessage, MILLI, START_TIME};
use allocation_counter::measure;
use calicolb_decisions::api::*;
use calicolb_decisions::rules::Dispatcher;
use serde_json::Value;
use std::time::Duration;

/// Minimum processor time of a measurement series.
pub(crate) const MIN_SERIES_TIME: Duration = Duration::from_millis(4);

/// Cost of one event of a function for one scheduler; `None` if the function has no such cost or it is not measured
/// here.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Messages sent and received.
    pub messages: Option<f64>,
    /// Bytes of those messages.
    pub bytes: Option<f64>,
    /// Processor time in microseconds.
    pub cpu_us: Option<f64>,
    /// Heap memory in bytes: what remains allocated, or the peak for parsing a list and for a handover.
    pub heap_bytes: Option<f64>,
}

/// Measures the cost of an event. Processor time is measured only if `cpu_times` is set; counts are the same in every
/// run.
pub type Probe = fn(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost;

/// Processor microseconds of one event on a settled scheduler.
pub(crate) fn event_cpu_us(
    fleet: &FleetParameters,
    seed: u64,
    batch_size: usize,
    cpu_times: bool,
    mut events: impl FnMut(u64) -> Event,
) -> Option<f64> {
    if !cpu_times {
        return None;
    }
    let mut state = (scenario::settled_scheduler(fleet, seed), scenario::current_time(fleet));
    let (mut actions, mut number) = (Vec::new(), 0);
    let prepare = |_: &mut (Dispatcher, Micros)| {
        number += 1;
        events(number)
    };
    let work = |state: &mut (Dispatcher, Micros), event| {
        state.1 += MILLI;
        state.0.on_event(state.1, event, &mut actions);
        actions.clear();
    };
    Some(cpu_clock::micros_per_iteration(MIN_SERIES_TIME, batch_size, &mut state, prepare, work))
}

/// Heap bytes that `make` allocates and that its result still holds.
pub(crate) fn retained_heap<T>(make: impl FnOnce() -> T) -> f64 {
    let mut value = None;
    let allocations = measure(|| value = Some(make()));
    drop(value);
    allocations.bytes_current as f64
}

/// Bytes of a request to discovery and of its response with this body.
fn request_bytes(target: &str, body: &str) -> f64 {
    let request = format!("GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n");
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    (request.len() + head.len() + body.len()) as f64
}

/// The full worker list, requested after a failed call or a broken watch: the request, its response, and applying it
/// in the decision module.
pub fn full_list(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let members = scenario::members(fleet, seed);
    let bytes = request_bytes("/discovery/hosts", &scenario::list_json(&members, true));
    let without_list = retained_heap(|| Dispatcher::new(scenario::settings(fleet, 0), seed, START_TIME));
    let list_heap = retained_heap(|| scenario::settled_scheduler(fleet, seed)) - without_list;
    let full_list = |_| Event::Members(ListKind::Full, members.clone());
    let cpu_us = event_cpu_us(fleet, seed, 8, cpu_times, full_list);
    Cost { messages: Some(2.0), bytes: Some(bytes), cpu_us, heap_bytes: Some(list_heap) }
}

/// Parsing the text of the full worker list into JSON values and these into list entries, as the program does before
/// it passes the list to the decision module.
pub fn parse_list(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let text = scenario::list_json(&scenario::members(fleet, seed), true);
    let parse = |_: &mut (), text: &str| {
        let message: Option<ListMessage<Value>> = serde_json::from_str(text).ok();
        let hosts = message.map(|message| message.hosts).unwrap_or_default();
        let entries = hosts.into_iter().filter_map(|host| serde_json::from_value::<ListEntry>(host).ok());
        std::hint::black_box(entries.count());
    };
    let cpu_us = cpu_times
        .then(|| cpu_clock::micros_per_iteration(MIN_SERIES_TIME, 1, &mut (), |_| text.as_str(), parse));
    let peak_heap = measure(|| parse(&mut (), &text)).bytes_max as f64;
    Cost { cpu_us, heap_bytes: Some(peak_heap), ..Cost::default() }
}

/// One changed line of the worker list, received over the watch.
pub fn list_change(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let members = scenario::members(fleet, seed);
    let entry = |number: u64| {
        // A worker alternates between draining and in service.
        let status = if number.is_multiple_of(2) { WorkerStatus::On } else { WorkerStatus::Draining };
        Member { status, ..members[(number.div_ceil(2) % members.len() as u64) as usize].clone() }
    };
    let text = scenario::list_json(&[entry(1)], false) + "\n";
    let chunk_bytes = format!("{:x}\r\n{text}\r\n", text.len()).len() as f64;
    let change = |number| Event::Members(ListKind::Changes, vec![entry(number)]);
    let cpu_us = event_cpu_us(fleet, seed, 64, cpu_times, change);
    Cost { messages: Some(1.0), bytes: Some(chunk_bytes), cpu_us, heap_bytes: None }
}

/// Assigning all schedulers to cohorts and all workers to cohorts and size ranges.
pub fn assign_cohorts(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let empty_change = |_| Event::Members(ListKind::Changes, Vec::new());
    let cpu_us = event_cpu_us(fleet, seed, 64, cpu_times, empty_change);
    Cost { cpu_us, ..Cost::default() }
}

/// Receiving a hello message and answering it.
pub fn receive_hello(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let other_schedulers = u64::from(fleet.schedulers.max(2) - 1);
    let hello_event = |number: u64| {
        let rank = 1 + (number % other_schedulers) as u32;
        Event::Peer { from: rank, body: scenario::encode_hello(rank % fleet.zones, true) }
    };
    let cpu_us = event_cpu_us(fleet, seed, 1_000, cpu_times, hello_event);
    Cost { cpu_us, ..Cost::default() }
}

/// Receiving a fault report about a worker.
pub fn receive_fault_report(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let other_schedulers = u64::from(fleet.schedulers.max(2) - 1);
    let peer_event = |number: u64| {
        let worker = scenario::active_worker(fleet, seed, number);
        Event::Peer {
            from: 1 + (number % other_schedulers) as u32,
            body: scenario::encode_fault_report(worker, 2),
        }
    };
    let cpu_us = event_cpu_us(fleet, seed, 1_000, cpu_times, peer_event);
    Cost { cpu_us, ..Cost::default() }
}

/// Receiving a load message from another scheduler of the cohort.
pub fn receive_load(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let other_schedulers = u64::from(fleet.schedulers.max(2) - 1);
    let peer_event = |number: u64| {
        let worker = scenario::active_worker(fleet, seed, number / 2);
        let body = scenario::encode_load(worker, (number % 2) as u8, 40, 90);
        Event::Peer { from: 1 + (number / 2 % other_schedulers.min(7)) as u32, body }
    };
    let cpu_us = event_cpu_us(fleet, seed, 1_000, cpu_times, peer_event);
    Cost { cpu_us, ..Cost::default() }
}

/// Sending the scheduler's own load at one worker to its cohort.
pub fn send_load(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let all_loads_us = event_cpu_us(fleet, seed, 4, cpu_times, |_| Event::SuccessorActive(false));
    // Loads of workers that have left the fleet are sent as well.
    let loads_sent = f64::from(fleet.workers + fleet.days * fleet.replaced_per_day);
    Cost { cpu_us: all_loads_us.map(|us| us / loads_sent), ..Cost::default() }
}

/// Handover of knowledge to a successor: one process writes it and the other reads it, both on the same machine.
pub fn handover(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let mut dispatcher = scenario::settled_scheduler(fleet, seed);
    let now = scenario::current_time(fleet);
    let mut bytes = 0;
    let mut hand_over = |dispatcher: &mut Dispatcher, actions: &mut Vec<Action>| {
        let knowledge = dispatcher.knowledge_text(now).unwrap_or_default();
        bytes = knowledge.len();
        dispatcher.on_event(now, Event::KnowledgeReceived(knowledge), actions);
        actions.clear();
    };
    let mut actions = Vec::new();
    let peak_heap = measure(|| hand_over(&mut dispatcher, &mut actions)).bytes_max as f64;
    let cpu_us = cpu_times.then(|| {
        cpu_clock::micros_per_iteration(
            MIN_SERIES_TIME,
            1,
            &mut dispatcher,
            |_| (),
            |state, ()| hand_over(state, &mut actions),
        )
    });
    Cost { messages: Some(1.0), bytes: Some(bytes as f64), cpu_us, heap_bytes: Some(peak_heap) }
}

/// Workers that have left the fleet: their share of the knowledge handed over, and the heap of a scheduler that still
/// keeps them.
pub fn departed_workers(fleet: &FleetParameters, seed: u64, _cpu_times: bool) -> Cost {
    let new_fleet = FleetParameters { days: 0, ..*fleet };
    let knowledge_bytes = |fleet: &FleetParameters| {
        let scheduler = scenario::settled_scheduler(fleet, seed);
        let knowledge = scheduler.knowledge_text(scenario::current_time(fleet)).unwrap_or_default();
        knowledge.len() as f64
    };
    let bytes = knowledge_bytes(fleet) - knowledge_bytes(&new_fleet);
    Cost {
        bytes: Some(bytes),
        heap_bytes: Some(retained_heap(|| scenario::settled_scheduler(fleet, seed))),
        ..Cost::default()
    }
}
