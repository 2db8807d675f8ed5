//! Builds a fleet of a given size as the decision module sees it: settings, worker lists, and the encoded messages.

use calicolb_decisions::api::{
    Action, Class, Effect, Event, KindIx, Limits, ListKind, Member, Micros, Prices, QueueOrder, ReportSource,
    RuleParameters, Settings, Tenant, WorkerId, WorkerStatus, ZoneIx,
};
use calicolb_decisions::rules::Dispatcher;
use calicolb_fleet::hash::mix;
use serde::{Deserialize, Serialize};

/// One millisecond of the decision module's clock.
pub const MILLI: Micros = 1_000;
/// One second of the decision module's clock.
pub const SECOND: Micros = 1_000_000;
/// One day of the decision module's clock.
pub const DAY: Micros = 24 * 3_600 * SECOND;
/// Time at which a fleet starts; not 0, since the decision module uses 0 for "never".
pub const START_TIME: Micros = 1_000_000 * SECOND;
/// Number of machine kinds.
const KINDS: usize = 2;
/// Jobs that a worker runs at the same time.
pub const LANES: u32 = 8;

/// Size and load of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct FleetParameters {
    /// Number of workers.
    pub workers: u32,
    /// Number of schedulers.
    pub schedulers: u32,
    /// Number of tenants with a quota.
    pub tenants: u32,
    /// Tasks started per second in the whole fleet.
    pub starts_per_s: f64,
    /// Days that a scheduler has been in service.
    pub days: u32,
    /// Number of zones.
    pub zones: u32,
    /// Mean number of running tasks per worker; the same at every size, so that all fleets are equally loaded.
    #[serde(rename = "running_a_worker")]
    pub tasks_per_worker: f64,
    /// Workers replaced per day, each by a worker with a new number.
    #[serde(rename = "replaced_a_day")]
    pub replaced_per_day: u32,
}

/// The fleet that the operators plan for: 690 workers, 240 tenants, 140 started tasks per second with 3,400 running,
/// 6 zones, 5 failures and 38 replacements per day. The 300 schedulers are those of the regular fleet test.
impl Default for FleetParameters {
    fn default() -> Self {
        FleetParameters {
            workers: 690,
            schedulers: 300,
            tenants: 240,
            starts_per_s: 140.0,
            days: 1,
            zones: 6,
            tasks_per_worker: 3_400.0 / 690.0,
            replaced_per_day: 43,
        }
    }
}

impl FleetParameters {
    /// Mean running time of a task in seconds, by Little's law.
    pub fn task_s(&self) -> f64 {
        f64::from(self.workers) * self.tasks_per_worker / self.starts_per_s
    }
}

/// Identifier of a worker, which looks like the hash of a name.
pub fn worker_id(seed: u64, number: u32) -> WorkerId {
    WorkerId(mix(seed, u64::from(number)) as u32)
}

/// List entry of a worker. Its replacement gets the same zone, kind and cell with another identifier.
pub fn member(fleet: &FleetParameters, seed: u64, number: u32) -> Member {
    let position = number % fleet.workers;
    Member {
        worker: worker_id(seed, number),
        zone: ZoneIx((position % fleet.zones) as usize),
        kind: KindIx((position / fleet.zones) as usize % KINDS),
        cell: position / 16,
        weight: 1.0,
        ..Member::default()
    }
}

/// Number of workers that have left the fleet.
fn departed_count(fleet: &FleetParameters) -> u32 {
    fleet.days * fleet.replaced_per_day
}

/// Identifier of one of the workers in service.
pub fn active_worker(fleet: &FleetParameters, seed: u64, number: u64) -> WorkerId {
    worker_id(seed, departed_count(fleet) + (number % u64::from(fleet.workers)) as u32)
}

/// The full worker list.
pub fn members(fleet: &FleetParameters, seed: u64) -> Vec<Member> {
    (0..fleet.workers).map(|number| member(fleet, seed, departed_count(fleet) + number)).collect()
}

/// Time at which a scheduler has completed its days of service.
pub fn current_time(fleet: &FleetParameters) -> Micros {
    START_TIME + u64::from(fleet.days + 1) * DAY
}

/// Settings of the scheduler with this rank.
pub fn settings(fleet: &FleetParameters, rank: u32) -> Settings {
    let class = |aim: Micros, effect: Effect| Class {
        aim,
        stretch: 1.0,
        deadline: 600 * SECOND,
        late_worth: 0.5,
        worth: 1.0,
        effect,
        kind: None,
        priority: 0,
        slots: 1,
    };
    let tenant = Tenant { quota_per_s: 13.0, share: 1.0 };
    Settings {
        rank,
        instances: fleet.schedulers,
        zone: ZoneIx((rank % fleet.zones) as usize),
        zones: fleet.zones as usize,
        kinds: KINDS,
        classes: vec![class(7_100 * MILLI, Effect::Safe), class(60 * SECOND, Effect::Unsafe)],
        tenants: vec![tenant; fleet.tenants as usize],
        over_share_worth: 0.2,
        worth_by_work: false,
        list_on_request: true,
        reports: ReportSource::Answers,
        reports_free_slots: true,
        reports_free_memory: false,
        tells_start: true,
        progress_every: 0,
        queue_order: QueueOrder::Fifo,
        weights: false,
        limits: Limits {
            max_attempts: 3,
            concurrent_attempts: false,
            cancel: true,
            probes: true,
            peers: true,
            retry_advice: true,
            retry_advice_max: SECOND,
            connect_timeout: SECOND,
        },
        rules: RuleParameters {
            answer_slack: 50 * MILLI,
            drain_grace: 500 * MILLI,
            cold: 2 * SECOND,
            start_capacity: 0.25,
            fall_multiple: 4.0,
            fall_window: SECOND,
            ask_every: 6 * SECOND,
        },
        prices: Prices::default(),
        tick: MILLI,
    }
}

/// An encoded hello message: version, zone, and a flag that requests an answer.
pub fn encode_hello(zone: u32, asks: bool) -> Vec<u8> {
    vec![1, zone as u8, u8::from(asks)]
}

/// An encoded fault report with a scheduler's strikes against a worker.
pub fn encode_fault_report(worker: WorkerId, strikes: u8) -> Vec<u8> {
    let [a, b, c, d] = worker.0.to_le_bytes();
    vec![1, a, b, c, d, strikes]
}

/// An encoded load message: `lanes` occupied lanes, which become free between `soonest` and `latest`, both in units
/// of 64 ms.
pub fn encode_load(worker: WorkerId, lanes: u8, soonest: u8, latest: u8) -> Vec<u8> {
    let [a, b, c, d] = worker.0.to_le_bytes();
    vec![1, lanes, a, b, c, d, soonest, latest]
}

/// The list changes caused by replacements, one list per day.
pub fn replacements(fleet: &FleetParameters, seed: u64) -> impl Iterator<Item = Vec<Member>> {
    (0..fleet.days).map(move |day| {
        let first = day * fleet.replaced_per_day;
        let removed = |number| Member { status: WorkerStatus::Gone, ..member(fleet, seed, number) };
        let removed_and_replacement = |number| [removed(number), member(fleet, seed, fleet.workers + number)];
        (first..first + fleet.replaced_per_day).flat_map(removed_and_replacement).collect()
    })
}

/// The scheduler of rank 0 after its days of service; it knows the worker list and the zones of all other schedulers.
/// The actions it requested so far are dropped.
pub fn settled_scheduler(fleet: &FleetParameters, seed: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings(fleet, 0), seed, START_TIME);
    let mut actions = Vec::<Action>::new();
    let initial = members(&FleetParameters { days: 0, ..*fleet }, seed);
    dispatcher.on_event(START_TIME, Event::Members(ListKind::Saved, initial), &mut actions);
    for rank in 1..fleet.schedulers {
        let body = encode_hello(rank % fleet.zones, false);
        dispatcher.on_event(START_TIME, Event::Peer { from: rank, body }, &mut actions);
    }
    dispatcher.on_event(START_TIME, Event::Members(ListKind::Changes, Vec::new()), &mut actions);
    for (day, changed) in (1..).zip(replacements(fleet, seed)) {
        dispatcher.on_event(START_TIME + day * DAY, Event::Members(ListKind::Changes, changed), &mut actions);
    }
    dispatcher
}

/// A line of the worker list in discovery's format.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListEntry {
    host: String,
    dial: String,
    site: String,
    class: String,
    block: u32,
    health: String,
    share: f64,
    born_ms: u64,
}

/// A full list or a list of changes in discovery's format.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListMessage<T> {
    seq: u64,
    #[serde(rename = "whole")]
    full: bool,
    /// The lines of the list.
    pub hosts: Vec<T>,
}

/// The JSON text of a list with these members.
pub fn list_json(members: &[Member], full: bool) -> String {
    let list_entry = |member: &Member| ListEntry {
        host: format!("s-{:08x}", member.worker.0),
        dial: format!("10.{}.{}.{}:8443", member.zone.0, member.cell / 8 % 256, member.worker.0 % 250 + 1),
        site: char::from(b'a' + member.zone.0 as u8 % 26).to_string(),
        class: format!("m{}", member.kind.0 + 1),
        block: member.cell,
        health: match member.status {
            WorkerStatus::On => "in_service",
            WorkerStatus::Draining => "terminating",
            WorkerStatus::Gone => "terminated",
        }
        .to_owned(),
        share: 1.0,
        born_ms: 1_796_000_000_000,
    };
    let message = ListMessage { seq: 41_000, full, hosts: members.iter().map(list_entry).collect() };
    serde_json::to_string(&message).unwrap_or_default()
}
