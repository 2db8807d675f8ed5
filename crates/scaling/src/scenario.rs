//! A fleet of a given size, as the decision module is told of it: settings, lists, and their text on the wire.

use calicolb_decisions::api::{
    Action, Class, Effect, Event, KindIx, Limits, ListKind, Member, Micros, Prices, QueueOrder, ReportSource,
    RuleParameters, Settings, Tenant, WorkerId, WorkerStatus, ZoneIx,
};
use calicolb_decisions::rules::Dispatcher;
use calicolb_fleet::hash::mix;
use serde::{Deserialize, Serialize};

/// A millisecond on the module's clock.
pub const MILLI: Micros = 1_000;
/// A second on the module's clock.
pub const SECOND: Micros = 1_000_000;
/// A day on the module's clock.
pub const DAY: Micros = 24 * 3_600 * SECOND;
/// When a fleet begins: any time but 0, which the module takes for 'never'.
pub const START_TIME: Micros = 1_000_000 * SECOND;
/// Kinds of machine.
const KINDS: usize = 2;
/// Jobs that a worker runs at once.
pub const LANES: u32 = 8;

/// How large a fleet is, and how busy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct FleetParameters {
    /// Workers.
    pub workers: u32,
    /// Schedulers.
    pub schedulers: u32,
    /// Tenants with a quota.
    pub tenants: u32,
    /// Tasks that are started in a second, over the whole fleet.
    pub starts_per_s: f64,
    /// Days of service that a scheduler has behind it.
    pub days: u32,
    /// Zones.
    pub zones: u32,
    /// Tasks that run on a worker, in the mean: the same at every size, so that all fleets are equally full.
    #[serde(rename = "running_a_worker")]
    pub tasks_per_worker: f64,
    /// Workers replaced a day, each by one with a new number.
    #[serde(rename = "replaced_a_day")]
    pub replaced_per_day: u32,
}

/// The size of the operators' letter on scale: 690 workers, 240 tenants, 140 starts a second with 3,400 running, 6 zones, 5 failures and 38
/// replacements a day; 300 schedulers, as in the standing test.
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
    /// Mean time that a task runs, in seconds (Little's law).
    pub fn task_s(&self) -> f64 {
        f64::from(self.workers) * self.tasks_per_worker / self.starts_per_s
    }
}

/// The number of a worker, as if drawn by its name.
pub fn worker_id(seed: u64, nr: u32) -> WorkerId {
    WorkerId(mix(seed, u64::from(nr)) as u32)
}

/// The line of a worker in the list. Its successor has the same place under a number of its own.
pub fn member(size: &FleetParameters, seed: u64, nr: u32) -> Member {
    let place = nr % size.workers;
    Member {
        worker: worker_id(seed, nr),
        zone: ZoneIx((place % size.zones) as usize),
        kind: KindIx((place / size.zones) as usize % KINDS),
        cell: place / 16,
        weight: 1.0,
        ..Member::default()
    }
}

/// How many workers have gone.
fn departed_count(size: &FleetParameters) -> u32 {
    size.days * size.replaced_per_day
}

/// The number of one of the workers in service.
pub fn active_worker(size: &FleetParameters, seed: u64, nr: u64) -> WorkerId {
    worker_id(seed, departed_count(size) + (nr % u64::from(size.workers)) as u32)
}

/// The whole list.
pub fn members(size: &FleetParameters, seed: u64) -> Vec<Member> {
    (0..size.workers).map(|nr| member(size, seed, departed_count(size) + nr)).collect()
}

/// The time at which a scheduler has its days of service behind it.
pub fn current_time(size: &FleetParameters) -> Micros {
    START_TIME + u64::from(size.days + 1) * DAY
}

/// What a scheduler of this rank is told when it starts.
pub fn settings(size: &FleetParameters, rank: u32) -> Settings {
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
        instances: size.schedulers,
        zone: ZoneIx((rank % size.zones) as usize),
        zones: size.zones as usize,
        kinds: KINDS,
        classes: vec![class(7_100 * MILLI, Effect::Safe), class(60 * SECOND, Effect::Unsafe)],
        tenants: vec![tenant; size.tenants as usize],
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

/// A greeting, as it is on the wire (see the module's table of messages).
pub fn encode_hello(zone: u32, asks: bool) -> Vec<u8> {
    vec![1, zone as u8, u8::from(asks)]
}

/// A scheduler's strikes against a worker, as they are on the wire.
pub fn encode_fault_report(worker: WorkerId, strikes: u8) -> Vec<u8> {
    let [a, b, c, d] = worker.0.to_le_bytes();
    vec![1, a, b, c, d, strikes]
}

/// A load of so many lanes for so many units of 64 ms, as it is on the wire.
pub fn encode_load(worker: WorkerId, lanes: u8, soonest: u8, latest: u8) -> Vec<u8> {
    let [a, b, c, d] = worker.0.to_le_bytes();
    vec![1, lanes, a, b, c, d, soonest, latest]
}

/// The lists of the replacements: each day one list of changes.
pub fn replacements(size: &FleetParameters, seed: u64) -> impl Iterator<Item = Vec<Member>> {
    (0..size.days).map(move |day| {
        let first = day * size.replaced_per_day;
        let gone = |nr| Member { status: WorkerStatus::Gone, ..member(size, seed, nr) };
        let pair = |nr| [gone(nr), member(size, seed, size.workers + nr)];
        (first..first + size.replaced_per_day).flat_map(pair).collect()
    })
}

/// A scheduler of rank 0 with its days of service behind it, which knows the list and where all the others stand; what
/// it asked for meanwhile is dropped.
pub fn settled_scheduler(size: &FleetParameters, seed: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings(size, 0), seed, START_TIME);
    let mut out = Vec::<Action>::new();
    let first = members(&FleetParameters { days: 0, ..*size }, seed);
    dispatcher.on_event(START_TIME, Event::Members(ListKind::Saved, first), &mut out);
    for rank in 1..size.schedulers {
        let body = encode_hello(rank % size.zones, false);
        dispatcher.on_event(START_TIME, Event::Peer { from: rank, body }, &mut out);
    }
    dispatcher.on_event(START_TIME, Event::Members(ListKind::Changes, Vec::new()), &mut out);
    for (day, changed) in (1..).zip(replacements(size, seed)) {
        dispatcher.on_event(START_TIME + day * DAY, Event::Members(ListKind::Changes, changed), &mut out);
    }
    dispatcher
}

/// A line of the list, as discovery writes it.
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

/// A version of the list or the changes since another, as discovery writes it.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListMessage<T> {
    seq: u64,
    whole: bool,
    /// Its lines.
    pub hosts: Vec<T>,
}

/// The text of these lines of the list.
pub fn list_json(members: &[Member], whole: bool) -> String {
    let line = |member: &Member| ListEntry {
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
    let update = ListMessage { seq: 41_000, whole, hosts: members.iter().map(line).collect() };
    serde_json::to_string(&update).unwrap_or_default()
}
