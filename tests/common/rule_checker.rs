//! Feeds random legal streams of events to a dispatcher and checks its actions against the rules on sends, also where
//! settings change in mid-stream. The checker keeps its own record of requests and attempts and models no service: how an
//! attempt ends is drawn at random.

use super::{MS, SECOND, T0};
use calicolb::api::*;
use calicolb::rules::Dispatcher;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const WORKERS: u32 = 6;

/// Lowest value of [`Step::selector`] for settings updates. Five values select settings updates, and the next three select
/// starts of pending attempts.
const FIRST_UPDATE_SELECTOR: u8 = 21;

/// One step of a stream: the kind of event and the item that it concerns.
#[derive(Clone, Debug)]
pub struct Step {
    /// Selects the kind of event.
    selector: u8,
    /// Selects one of the requests, classes or workers that the event can concern.
    pick: u32,
    /// Drawn number (1 to 2999) that sets the work of a request, the advance of the clock and other details.
    size: u64,
}

/// Generates steps that leave the settings unchanged.
pub fn step() -> impl Strategy<Value = Step> {
    (0..FIRST_UPDATE_SELECTOR, any::<u32>(), 1..3_000_u64).prop_map(|(selector, pick, size)| Step {
        selector,
        pick,
        size,
    })
}

/// Generates steps that also change settings and start attempts some time after the dispatcher decided on them.
pub fn step_or_settings_update() -> impl Strategy<Value = Step> {
    (0..FIRST_UPDATE_SELECTOR + 8, any::<u32>(), 1..3_000_u64).prop_map(|(selector, pick, size)| Step {
        selector,
        pick,
        size,
    })
}

#[derive(Default)]
struct Job {
    class: usize,
    expires: Micros,
    answered: bool,
    /// Effect of the request's class under each of the settings in force since the arrival.
    effects: Vec<Effect>,
    /// True if an attempt may have run while the class was safe, and the class became unsafe or keyed later. No worker had to
    /// remember such an attempt.
    unremembered: bool,
    /// Worker, time of sending and ending of each attempt.
    attempts: Vec<(u32, Micros, Option<Ending>)>,
    /// Attempts that have ended at the dispatcher and may still be running at their workers.
    running: BTreeSet<usize>,
    /// Attempts whose first byte has not been written yet.
    pending: Vec<usize>,
}

impl Job {
    /// Attempts that may have run or may be running, except for the attempt number `excluded`.
    fn possibly_run(&self, excluded: usize) -> impl Iterator<Item = &(u32, Micros, Option<Ending>)> {
        let each = self.attempts.iter().enumerate();
        each.filter(move |(nr, of)| *nr != excluded && !of.2.is_some_and(Ending::never_ran)).map(|(_, of)| of)
    }

    /// Asserts that every attempt at this worker before attempt `nr` has certainly ended, whether concurrent attempts are
    /// allowed or not.
    fn check_ended(&self, id: u32, nr: usize, worker: u32) {
        let each = self.attempts.iter().enumerate().take(nr);
        let mut at_worker = each.filter(|(_, of)| of.0 == worker);
        let ended = at_worker.all(|(nr, of)| of.2.is_some() && !self.running.contains(&nr));
        assert!(ended, "an earlier attempt of request {id} may still run at worker {worker}");
    }

    /// Asserts that an attempt may go to this worker now under every effect in force since the request arrived.
    fn check_repeat(&self, id: u32, nr: usize, worker: u32, now: Micros) {
        assert!(
            !self.unremembered || self.possibly_run(nr).next().is_none(),
            "request {id} may have run where no worker had to remember it"
        );
        for effect in &self.effects {
            match *effect {
                Effect::Safe => {}
                Effect::Unsafe => assert_eq!(
                    self.possibly_run(nr).count(),
                    0,
                    "request {id} may have run already and is unsafe to repeat"
                ),
                Effect::Keyed { group, span } => {
                    for (before, sent, _) in self.possibly_run(nr) {
                        assert!(now <= sent + span, "the idempotency key of request {id} has expired");
                        // Zone and cell of a test worker are both its number modulo 2.
                        assert!(
                            group == Group::All || before % 2 == worker % 2,
                            "request {id} was repeated outside of its group"
                        );
                    }
                }
            }
        }
    }
}

/// Generates legal events for a dispatcher, records its actions, and checks them against the rules on sends.
struct RuleChecker {
    settings: Settings,
    /// True if settings may change and attempts start some time after the dispatcher decided on them.
    updates_settings: bool,
    now: Micros,
    jobs: BTreeMap<u32, Job>,
    off_list_since: HashMap<u32, Micros>,
    worker_started: HashMap<u32, Micros>,
    timers: Vec<(Micros, TimerId)>,
    next_request: u32,
}

impl RuleChecker {
    fn new(settings: Settings, updates_settings: bool) -> Self {
        RuleChecker {
            settings,
            updates_settings,
            now: T0,
            jobs: BTreeMap::new(),
            off_list_since: HashMap::new(),
            worker_started: HashMap::new(),
            timers: Vec::new(),
            next_request: 1,
        }
    }

    fn member(&self, id: u32, status: WorkerStatus) -> Member {
        Member {
            status,
            started: self.worker_started.get(&id).copied(),
            zone: ZoneIx(id as usize % 2),
            ..super::member(id)
        }
    }

    /// Turns a step into an event that is legal now. Returns `None` if the step advances the clock or no event fits.
    fn event(&mut self, step: &Step) -> Option<Event> {
        let in_flight = |job: &Job| job.attempts.iter().position(|attempt| attempt.2.is_none());
        match step.selector {
            0..=6 => {
                let id = self.next_request;
                self.next_request += 1;
                let class = step.pick as usize % self.settings.classes.len();
                let mut arrival = super::arrival(id, class, self.now, step.size * MS);
                arrival.expires = self.now + (200 + u64::from(step.pick % 5_000)) * MS;
                arrival.slots = 1 + step.pick % 2;
                let effects = vec![self.settings.classes[class].effect];
                self.jobs.insert(id, Job { class, expires: arrival.expires, effects, ..Job::default() });
                Some(Event::Arrival(arrival))
            }
            7..=14 => {
                let open: Vec<u32> =
                    self.jobs.iter().filter(|(_, job)| in_flight(job).is_some()).map(|(&id, _)| id).collect();
                let id = *open.get(step.pick as usize % open.len().max(1))?;
                let job = self.jobs.get_mut(&id)?;
                let attempt = in_flight(job)?;
                let endings = [
                    Ending::Ok,
                    Ending::Ok,
                    Ending::Error,
                    Ending::Full,
                    Ending::Unreachable,
                    Ending::Broken,
                ];
                let ending =
                    if self.now >= job.expires { Ending::TimedOut } else { endings[step.size as usize % 6] };
                let pending = self.updates_settings && job.pending.contains(&attempt);
                let ending = if pending { Ending::Unreachable } else { ending };
                let (worker, sent, _) = job.attempts[attempt];
                job.attempts[attempt].2 = Some(ending);
                job.pending.retain(|&nr| nr != attempt);
                job.answered |= ending == Ending::Ok;
                let running = ending == Ending::Broken || ending == Ending::TimedOut;
                if running {
                    job.running.insert(attempt);
                }
                let report = step
                    .size
                    .is_multiple_of(3)
                    .then(|| Report { free_slots: Some((step.size % 5) as f64), ..Report::default() });
                Some(Event::Outcome(Outcome {
                    request: RequestId(id),
                    attempt: attempt as u32,
                    worker: WorkerId(worker),
                    ending,
                    elapsed: self.now - sent,
                    running,
                    concluded: job.answered,
                    report,
                }))
            }
            15 => {
                let id = 1 + step.pick % WORKERS;
                let status = [WorkerStatus::Draining, WorkerStatus::Gone][step.size as usize % 2];
                self.off_list_since.entry(id).or_insert(self.now);
                Some(Event::Members(ListKind::Changes, vec![self.member(id, status)]))
            }
            16 => {
                let id = 1 + step.pick % WORKERS;
                self.off_list_since.remove(&id);
                if step.size.is_multiple_of(2) {
                    self.worker_started.insert(id, self.now);
                }
                Some(Event::Members(ListKind::Changes, vec![self.member(id, WorkerStatus::On)]))
            }
            17 => {
                // A full list without one worker.
                let id = 1 + step.pick % WORKERS;
                self.off_list_since.clear();
                self.off_list_since.insert(id, self.now);
                let listed = (1..=WORKERS).filter(|&other| other != id);
                Some(Event::Members(
                    ListKind::Full,
                    listed.map(|id| self.member(id, WorkerStatus::On)).collect(),
                ))
            }
            18 => {
                let id = *self.jobs.iter().find(|(_, job)| !job.answered)?.0;
                self.jobs.get_mut(&id)?.answered = true;
                Some(Event::RequestAbandoned(RequestId(id)))
            }
            20 => {
                // A worker reports the end of an attempt that has already ended at the dispatcher.
                let (&id, job) = self.jobs.iter_mut().find(|(_, job)| !job.running.is_empty())?;
                let attempt = job.running.pop_first()? as u32;
                Some(Event::Note { request: RequestId(id), attempt, note: AttemptNote::Over })
            }
            FIRST_UPDATE_SELECTOR..=25 if self.updates_settings => {
                Some(Event::Settings(Box::new(self.changed_settings(step))))
            }
            _ => {
                self.now += step.size * MS / 4;
                None
            }
        }
    }

    /// Draws changed settings: one change, or five changes in every fourth step.
    fn changed_settings(&self, step: &Step) -> Settings {
        let mut new = self.settings.clone();
        let mut random = fastrand::Rng::with_seed(u64::from(step.pick) << 12 | step.size);
        for _ in 0..if step.size.is_multiple_of(4) { 5 } else { 1 } {
            let class = random.usize(0..new.classes.len());
            match random.u8(0..9) {
                0..=3 => {
                    let (group, span) = (Group::Zone, random.u64(1..4) * SECOND / 2);
                    new.classes[class].effect = [
                        Effect::Safe,
                        Effect::Unsafe,
                        Effect::Keyed { group, span },
                        Effect::Keyed { group: Group::All, span },
                    ][random.usize(0..4)];
                }
                4 => new.limits.max_attempts = random.u32(1..6),
                5 => new.limits.concurrent_attempts = random.bool(),
                6 => new.limits.cancel = random.bool(),
                7 => {
                    (new.classes[class].late_worth, new.classes[class].worth) =
                        (random.f64(), random.f64() * 3.0)
                }
                _ if new.classes.len() < 6 => new.classes.push(new.classes[class].clone()),
                _ => new.rules.cold = random.u64(1..20) * SECOND,
            }
        }
        new
    }

    /// Records settings that have just come into force.
    fn record_settings(&mut self, new: Settings) {
        for job in self.jobs.values_mut().filter(|job| !job.answered) {
            let (before, now) = (self.settings.classes[job.class].effect, new.classes[job.class].effect);
            job.unremembered |= before == Effect::Safe
                && now != Effect::Safe
                && job.possibly_run(usize::MAX).next().is_some();
            job.effects.push(now);
            job.effects.dedup();
        }
        self.settings = new;
    }

    /// Starts a pending attempt if the dispatcher still allows it. Returns the attempt's outcome if it is not started.
    fn start_pending(&mut self, step: &Step, dispatcher: &Dispatcher) -> Option<Event> {
        let waiting: Vec<u32> =
            self.jobs.iter().filter(|(_, job)| !job.pending.is_empty()).map(|(&id, _)| id).collect();
        let id = *waiting.get(step.pick as usize % waiting.len().max(1))?;
        let job = self.jobs.get_mut(&id)?;
        let nr = job.pending.remove(step.size as usize % job.pending.len());
        let (worker, sent, _) = job.attempts[nr];
        if !job.answered && dispatcher.may_start_attempt(self.now, RequestId(id), nr as u32) {
            job.check_repeat(id, nr, worker, self.now);
            job.check_ended(id, nr, worker);
            assert!(
                nr < self.settings.limits.max_attempts as usize,
                "attempt {nr} of request {id} exceeds the maximum number of attempts"
            );
            let in_flight =
                |(other, of): (usize, &(u32, Micros, Option<Ending>))| other != nr && of.2.is_none();
            let alone = !job.attempts.iter().enumerate().any(in_flight);
            assert!(
                self.settings.limits.concurrent_attempts || alone,
                "request {id} has two concurrent attempts"
            );
            return None;
        }
        let ending = if job.answered { Ending::NotSent } else { Ending::Unreachable };
        job.attempts[nr].2 = Some(ending);
        Some(Event::Outcome(Outcome {
            request: RequestId(id),
            attempt: nr as u32,
            worker: WorkerId(worker),
            ending,
            elapsed: self.now - sent,
            running: false,
            concluded: job.answered,
            report: None,
        }))
    }

    /// Checks and records the actions that the dispatcher returned for an event.
    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { request, worker, .. } => self.check_send(request.0, worker.0),
                Action::Refuse { request, .. } => {
                    let job = self
                        .jobs
                        .get_mut(&request.0)
                        .expect("the dispatcher names a request that has not arrived");
                    assert!(!job.answered, "{request:?} is answered twice");
                    job.answered = true;
                    let never_ran =
                        job.attempts.iter().all(|attempt| attempt.2.is_some_and(Ending::never_ran));
                    let repeatable =
                        |of: &Effect| matches!(of, Effect::Safe | Effect::Keyed { group: Group::All, .. });
                    let repeat_allowed = !job.unremembered && job.effects.iter().all(repeatable);
                    assert!(never_ran || repeat_allowed, "{request:?} is refused although it may have run");
                }
                Action::Fail(request) => {
                    let job = self
                        .jobs
                        .get_mut(&request.0)
                        .expect("the dispatcher names a request that has not arrived");
                    assert!(!job.answered, "{request:?} is answered twice");
                    job.answered = true;
                }
                Action::SetTimer { timer, after } => self.timers.push((self.now + after, timer)),
                _ => {}
            }
        }
    }

    fn check_send(&mut self, id: u32, worker: u32) {
        let (now, settings) = (self.now, &self.settings);
        if let Some(since) = self.off_list_since.get(&worker) {
            assert!(
                now <= since + settings.rules.drain_grace,
                "worker {worker} gets an attempt after its drain grace; it left the list at {since} us"
            );
        }
        let job = self.jobs.get_mut(&id).expect("the dispatcher names a request that has not arrived");
        assert!(!job.answered, "request {id} is sent after its answer");
        assert!(
            job.attempts.len() < settings.limits.max_attempts as usize,
            "request {id} exceeds the maximum number of attempts"
        );
        job.check_repeat(id, usize::MAX, worker, now);
        job.check_ended(id, usize::MAX, worker);
        if !settings.limits.concurrent_attempts {
            assert!(
                job.attempts.iter().all(|attempt| attempt.2.is_some()),
                "request {id} has two concurrent attempts"
            );
        }
        job.pending.push(job.attempts.len());
        job.attempts.push((worker, now, None));
    }

    /// Asserts that no unanswered request without an attempt in flight has exceeded its client timeout.
    fn check_held_requests(&self) {
        for (id, job) in &self.jobs {
            let in_flight = job.attempts.iter().any(|attempt| attempt.2.is_none());
            let answer_by = job.expires + self.settings.rules.answer_slack;
            assert!(
                job.answered || in_flight || self.now <= answer_by,
                "request {id} is held past its client timeout"
            );
        }
    }
}

/// Runs a stream with unchanged settings and returns all actions of the dispatcher.
pub fn run_stream(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    run_steps(settings, seed, steps, SettingsUpdates::None)
}

/// Runs a stream that repeats the current settings before each step and returns all actions of the dispatcher.
pub fn run_stream_with_repeated_settings(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    run_steps(settings, seed, steps, SettingsUpdates::Repeats)
}

/// Runs a stream in which settings may change and returns all actions of the dispatcher.
pub fn run_stream_with_updates(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    run_steps(settings, seed, steps, SettingsUpdates::Changes)
}

/// Settings updates during a stream.
#[derive(Clone, Copy, PartialEq)]
enum SettingsUpdates {
    None,
    /// The settings in force are sent again before each step.
    Repeats,
    /// Changed settings are sent.
    Changes,
}

fn run_steps(settings: Settings, seed: u64, steps: &[Step], updates: SettingsUpdates) -> Vec<Action> {
    let updates_settings = updates == SettingsUpdates::Changes;
    let mut checker = RuleChecker::new(settings.clone(), updates_settings);
    let mut dispatcher = Dispatcher::new(settings, seed, T0);
    let mut all_actions = Vec::new();
    let members: Vec<Member> = (1..=WORKERS).map(|id| checker.member(id, WorkerStatus::On)).collect();
    let mut send_event = |checker: &mut RuleChecker, dispatcher: &mut Dispatcher, event: Event| {
        let mut actions = Vec::new();
        if let Event::Settings(new) = &event {
            checker.record_settings((**new).clone());
        }
        dispatcher.on_event(checker.now, event, &mut actions);
        checker.check(&actions);
        all_actions.extend(actions);
    };
    send_event(&mut checker, &mut dispatcher, Event::Members(ListKind::Saved, members));
    for step in steps {
        if updates == SettingsUpdates::Repeats {
            let same = Box::new(checker.settings.clone());
            send_event(&mut checker, &mut dispatcher, Event::Settings(same));
        }
        if updates_settings && step.selector > FIRST_UPDATE_SELECTOR + 4 {
            if let Some(event) = checker.start_pending(step, &dispatcher) {
                send_event(&mut checker, &mut dispatcher, event);
            }
            continue;
        }
        if let Some(event) = checker.event(step) {
            send_event(&mut checker, &mut dispatcher, event);
            continue;
        }
        // The clock has advanced: the timers that have expired fire in order, each at its time.
        let target_time = checker.now;
        checker.timers.sort_by_key(|&(at, timer)| (at, timer.0));
        while checker.timers.first().is_some_and(|&(at, _)| at <= target_time) {
            let (at, timer) = checker.timers.remove(0);
            checker.now = at;
            send_event(&mut checker, &mut dispatcher, Event::Timer(timer));
            checker.timers.sort_by_key(|&(at, timer)| (at, timer.0));
        }
        checker.now = target_time;
        checker.check_held_requests();
    }
    all_actions
}
