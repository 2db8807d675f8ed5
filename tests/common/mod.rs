//! Settings, events and a dispatcher with a test clock for the tests of the decision module.
#![allow(dead_code)]

pub mod rule_checker;

use calicolb::api::*;
use calicolb::rules::Dispatcher;

/// One millisecond in microseconds.
pub const MS: Micros = 1_000;
/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;
/// Start of the test clock; an arbitrary value other than 0.
pub const T0: Micros = 500 * SECOND;

/// A class with this effect, an aim of 500 ms and a deadline of 10 s.
pub fn class(effect: Effect) -> Class {
    Class {
        aim: 500 * MS,
        stretch: 2.0,
        deadline: 10 * SECOND,
        late_worth: 0.0,
        worth: 1.0,
        effect,
        kind: None,
        priority: 0,
        slots: 1,
    }
}

/// Settings of one dispatcher in zone 0, with two zones, two kinds, no tenants and first-in, first-out queue order. Class 0
/// is safe, class 1 unsafe.
pub fn settings() -> Settings {
    Settings {
        rank: 0,
        instances: 1,
        zone: ZoneIx(0),
        zones: 2,
        kinds: 2,
        classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
        tenants: Vec::new(),
        over_share_worth: 0.1,
        worth_by_work: true,
        list_on_request: false,
        reports: ReportSource::Answers,
        reports_free_slots: true,
        reports_free_memory: false,
        tells_start: false,
        progress_every: 0,
        queue_order: QueueOrder::Fifo,
        weights: false,
        limits: Limits {
            max_attempts: 4,
            concurrent_attempts: true,
            cancel: true,
            probes: false,
            peers: false,
            retry_advice: true,
            retry_advice_max: 2 * SECOND,
            connect_timeout: 250 * MS,
        },
        rules: RuleParameters {
            answer_slack: 10 * MS,
            drain_grace: 500 * MS,
            cold: 10 * SECOND,
            start_capacity: 0.2,
            fall_multiple: 3.0,
            fall_window: SECOND,
            ask_every: 10 * SECOND,
        },
        prices: Prices::default(),
        tick: MS,
    }
}

/// Settings that differ in all values on which the rules depend: the default, keyed effects, a late worth with single
/// attempts, and peers.
pub fn variants() -> Vec<Settings> {
    let mut keyed = settings();
    for (class, group) in keyed.classes.iter_mut().zip([Group::Zone, Group::All]) {
        class.effect = Effect::Keyed { group, span: 2 * SECOND };
        class.late_worth = 0.5;
    }
    let mut late = settings();
    late.classes.iter_mut().for_each(|class| class.late_worth = 0.3);
    late.limits.concurrent_attempts = false;
    late.tells_start = true;
    let mut peers = settings();
    peers.limits.peers = true;
    peers.instances = 12;
    peers.limits.max_attempts = 2;
    peers.classes[0].effect = Effect::Keyed { group: Group::Cell, span: SECOND };
    vec![settings(), keyed, late, peers]
}

/// A list entry for a worker in zone 0 that is in service, with cell `id % 2`.
pub fn member(id: u32) -> Member {
    Member {
        worker: WorkerId(id),
        zone: ZoneIx(0),
        kind: KindIx(0),
        cell: id % 2,
        status: WorkerStatus::On,
        weight: 1.0,
        ..Member::default()
    }
}

/// A request without a tenant that arrives at `now`, expires after 10 s and has `work` as its hint.
pub fn arrival(id: u32, class: usize, now: Micros, work: Micros) -> Arrival {
    Arrival {
        request: RequestId(id),
        class: ClassIx(class),
        tenant: None,
        hint: Some(work as f64),
        expires: now + 10 * SECOND,
        slots: 1,
        memory: 0.0,
        key: None,
        retry: false,
        ..Arrival::default()
    }
}

/// A dispatcher under test, with its clock.
pub struct Bench {
    /// Dispatcher under test.
    pub dispatcher: Dispatcher,
    /// Current time of the test clock.
    pub now: Micros,
}

impl Bench {
    /// Starts a dispatcher without workers at [`T0`].
    pub fn new(settings: Settings) -> Self {
        Bench { dispatcher: Dispatcher::new(settings, 7, T0), now: T0 }
    }

    /// Starts a dispatcher whose saved list contains these workers.
    pub fn with_workers(settings: Settings, ids: &[u32]) -> Self {
        let mut bench = Bench::new(settings);
        bench.members(ListKind::Saved, ids.iter().map(|&id| member(id)).collect());
        bench
    }

    /// Sets the clock to this time after [`T0`].
    pub fn at(&mut self, after: Micros) -> &mut Self {
        self.now = T0 + after;
        self
    }

    /// Sends an event to the dispatcher and returns its actions.
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.on_event(self.now, event, &mut actions);
        actions
    }

    /// Sends a list of workers to the dispatcher.
    pub fn members(&mut self, kind: ListKind, members: Vec<Member>) -> Vec<Action> {
        self.tell(Event::Members(kind, members))
    }

    /// Sends the arrival of a request with this class and estimated work to the dispatcher.
    pub fn arrive(&mut self, id: u32, class: usize, work: Micros) -> Vec<Action> {
        self.tell(Event::Arrival(arrival(id, class, self.now, work)))
    }

    /// Reports the outcome of an attempt without a load report; the request is answered if it ended with [`Ending::Ok`].
    pub fn outcome(&mut self, id: u32, attempt: u32, worker: WorkerId, ending: Ending) -> Vec<Action> {
        let concluded = ending == Ending::Ok;
        self.report(id, attempt, worker, ending, concluded, None)
    }

    /// Reports the outcome of an attempt after 100 ms, with the worker's number of free slots if given.
    pub fn report(
        &mut self,
        id: u32,
        attempt: u32,
        worker: WorkerId,
        ending: Ending,
        concluded: bool,
        free_slots: Option<f64>,
    ) -> Vec<Action> {
        let report = free_slots.map(|free| Report { free_slots: Some(free), ..Report::default() });
        let (request, elapsed) = (RequestId(id), 100 * MS);
        // A broken or timed-out attempt may still run; a cancelled one has ended at its worker.
        let running = matches!(ending, Ending::Broken | Ending::TimedOut);
        let outcome = Outcome { request, attempt, worker, ending, elapsed, running, concluded, report };
        self.tell(Event::Outcome(outcome))
    }

    /// Advances the clock by `span` in steps of 10 ms and fires timers 1 and 2 after each step.
    pub fn wait(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += 10 * MS;
            for timer in [1, 2] {
                self.dispatcher.on_event(self.now, Event::Timer(TimerId(timer)), &mut actions);
            }
        }
        actions
    }
}

/// Request and worker of each attempt that the actions send.
pub fn sends(actions: &[Action]) -> Vec<(u32, WorkerId)> {
    let pick = |action: &Action| match action {
        Action::Send { request, worker, .. } => Some((request.0, *worker)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// Request of each final answer among the actions, and whether the answer is a refusal.
pub fn answers(actions: &[Action]) -> Vec<(u32, bool)> {
    let pick = |action: &Action| match action {
        Action::Refuse { request, .. } => Some((request.0, true)),
        Action::Fail(request) => Some((request.0, false)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}
