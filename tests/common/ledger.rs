//! A ledger of its own that checks what the module does in a random legal stream of events against the rules on sends,
//! also where settings change in mid-stream. It models no service: what happens to an attempt is drawn at random.

use super::{MS, SECOND, T0};
use calicolb::api::*;
use calicolb::rules::Dispatcher;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const WORKERS: u32 = 6;

/// From this number of a step on settings change or attempts begin.
const RENEWALS: u8 = 21;

/// One step of a stream: what happens, and which of those that it could happen to.
#[derive(Clone, Debug)]
pub struct Step {
    what: u8,
    pick: u32,
    size: u64,
}

/// Steps while the settings stay as they are.
pub fn step() -> impl Strategy<Value = Step> {
    (0..RENEWALS, any::<u32>(), 1..3_000_u64).prop_map(|(what, pick, size)| Step { what, pick, size })
}

/// Steps among which settings change, and attempts begin some time after they were decided.
pub fn step_or_renewal() -> impl Strategy<Value = Step> {
    (0..RENEWALS + 8, any::<u32>(), 1..3_000_u64).prop_map(|(what, pick, size)| Step { what, pick, size })
}

#[derive(Default)]
struct Job {
    class: usize,
    expires: Micros,
    answered: bool,
    /// What a repeat would do, by each of the settings that were in force since it came.
    effects: Vec<Effect>,
    /// Nobody had to remember what of it may have run: it was safe then, and is no longer.
    forgotten: bool,
    /// Worker, time of sending, ending.
    attempts: Vec<(u32, Micros, Option<Ending>)>,
    /// Attempts that have ended, and may still be running at their workers.
    running: BTreeSet<usize>,
    /// Attempts whose first byte has not been written.
    unbegun: Vec<usize>,
}

impl Job {
    /// What of it may have run or be running, apart from an attempt.
    fn risky(&self, but: usize) -> impl Iterator<Item = &(u32, Micros, Option<Ending>)> {
        let each = self.attempts.iter().enumerate();
        each.filter(move |(nr, of)| *nr != but && !of.2.is_some_and(Ending::never_ran)).map(|(_, of)| of)
    }

    /// That every attempt before this one has surely ended at this worker, copies allowed or not.
    fn check_ended(&self, id: u32, nr: usize, worker: u32) {
        let each = self.attempts.iter().enumerate().take(nr);
        let mut there = each.filter(|(_, of)| of.0 == worker);
        let ended = there.all(|(nr, of)| of.2.is_some() && !self.running.contains(&nr));
        assert!(ended, "{id} may still run at {worker}");
    }

    /// That an attempt may go to this worker now, by all that was said of a repeat since the request came.
    fn check_repeat(&self, id: u32, nr: usize, worker: u32, now: Micros) {
        assert!(!self.forgotten || self.risky(nr).next().is_none(), "{id} ran where nobody remembers it");
        for effect in &self.effects {
            match *effect {
                Effect::Safe => {}
                Effect::Unsafe => assert_eq!(self.risky(nr).count(), 0, "{id} may have run already"),
                Effect::Keyed { group, span } => {
                    for (before, sent, _) in self.risky(nr) {
                        assert!(now <= sent + span, "{id} is forgotten by now");
                        // Zone and cell of a test worker both follow its number.
                        assert!(group == Group::All || before % 2 == worker % 2, "{id} left its group");
                    }
                }
            }
        }
    }
}

struct Ledger {
    settings: Settings,
    /// Settings may change, and attempts begin some time after they were decided.
    renews: bool,
    now: Micros,
    jobs: BTreeMap<u32, Job>,
    off_since: HashMap<u32, Micros>,
    started: HashMap<u32, Micros>,
    timers: Vec<(Micros, TimerId)>,
    next: u32,
}

impl Ledger {
    fn new(settings: Settings, renews: bool) -> Self {
        Ledger {
            settings,
            renews,
            now: T0,
            jobs: BTreeMap::new(),
            off_since: HashMap::new(),
            started: HashMap::new(),
            timers: Vec::new(),
            next: 1,
        }
    }

    fn member(&self, id: u32, standing: WorkerStatus) -> Member {
        Member {
            status: standing,
            started: self.started.get(&id).copied(),
            zone: ZoneIx(id as usize % 2),
            ..super::member(id)
        }
    }

    /// Turns a step into an event that is legal now.
    fn event(&mut self, step: &Step) -> Option<Event> {
        let out = |job: &Job| job.attempts.iter().position(|attempt| attempt.2.is_none());
        match step.what {
            0..=6 => {
                let id = self.next;
                self.next += 1;
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
                    self.jobs.iter().filter(|(_, job)| out(job).is_some()).map(|(&id, _)| id).collect();
                let id = *open.get(step.pick as usize % open.len().max(1))?;
                let job = self.jobs.get_mut(&id)?;
                let attempt = out(job)?;
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
                let unbegun = self.renews && job.unbegun.contains(&attempt);
                let ending = if unbegun { Ending::Unreachable } else { ending };
                let (worker, sent, _) = job.attempts[attempt];
                job.attempts[attempt].2 = Some(ending);
                job.unbegun.retain(|&nr| nr != attempt);
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
                let standing = [WorkerStatus::Draining, WorkerStatus::Gone][step.size as usize % 2];
                self.off_since.entry(id).or_insert(self.now);
                Some(Event::Members(ListKind::Changes, vec![self.member(id, standing)]))
            }
            16 => {
                let id = 1 + step.pick % WORKERS;
                self.off_since.remove(&id);
                if step.size.is_multiple_of(2) {
                    self.started.insert(id, self.now);
                }
                Some(Event::Members(ListKind::Changes, vec![self.member(id, WorkerStatus::On)]))
            }
            17 => {
                // A whole list that leaves one worker out.
                let id = 1 + step.pick % WORKERS;
                self.off_since.clear();
                self.off_since.insert(id, self.now);
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
                // A worker says of an attempt that had ended here that it is over there too.
                let (&id, job) = self.jobs.iter_mut().find(|(_, job)| !job.running.is_empty())?;
                let attempt = job.running.pop_first()? as u32;
                Some(Event::Note { request: RequestId(id), attempt, note: AttemptNote::Over })
            }
            RENEWALS..=25 if self.renews => Some(Event::Settings(Box::new(self.renewed(step)))),
            _ => {
                self.now += step.size * MS / 4;
                None
            }
        }
    }

    /// Other settings: one thing, or in one of four steps several, are other than before.
    fn renewed(&self, step: &Step) -> Settings {
        let mut new = self.settings.clone();
        let mut draw = fastrand::Rng::with_seed(u64::from(step.pick) << 12 | step.size);
        for _ in 0..if step.size.is_multiple_of(4) { 5 } else { 1 } {
            let at = draw.usize(0..new.classes.len());
            match draw.u8(0..9) {
                0..=3 => {
                    let (group, span) = (Group::Zone, draw.u64(1..4) * SECOND / 2);
                    new.classes[at].effect = [
                        Effect::Safe,
                        Effect::Unsafe,
                        Effect::Keyed { group, span },
                        Effect::Keyed { group: Group::All, span },
                    ][draw.usize(0..4)];
                }
                4 => new.limits.max_attempts = draw.u32(1..6),
                5 => new.limits.concurrent_attempts = draw.bool(),
                6 => new.limits.cancel = draw.bool(),
                7 => (new.classes[at].late_worth, new.classes[at].worth) = (draw.f64(), draw.f64() * 3.0),
                _ if new.classes.len() < 6 => new.classes.push(new.classes[at].clone()),
                _ => new.rules.cold = draw.u64(1..20) * SECOND,
            }
        }
        new
    }

    /// Books settings that have just come into force.
    fn renew(&mut self, new: Settings) {
        for job in self.jobs.values_mut().filter(|job| !job.answered) {
            let (before, now) = (self.settings.classes[job.class].effect, new.classes[job.class].effect);
            job.forgotten |=
                before == Effect::Safe && now != Effect::Safe && job.risky(usize::MAX).next().is_some();
            job.effects.push(now);
            job.effects.dedup();
        }
        self.settings = new;
    }

    /// Lets an attempt that was decided some time ago begin, if the module still wants it to. Gives what becomes of it
    /// else.
    fn begin(&mut self, step: &Step, dispatcher: &Dispatcher) -> Option<Event> {
        let waiting: Vec<u32> =
            self.jobs.iter().filter(|(_, job)| !job.unbegun.is_empty()).map(|(&id, _)| id).collect();
        let id = *waiting.get(step.pick as usize % waiting.len().max(1))?;
        let job = self.jobs.get_mut(&id)?;
        let nr = job.unbegun.remove(step.size as usize % job.unbegun.len());
        let (worker, sent, _) = job.attempts[nr];
        if !job.answered && dispatcher.may_start_attempt(self.now, RequestId(id), nr as u32) {
            job.check_repeat(id, nr, worker, self.now);
            job.check_ended(id, nr, worker);
            assert!(nr < self.settings.limits.max_attempts as usize, "attempt {nr} of {id} is one too many");
            let out = |(other, of): (usize, &(u32, Micros, Option<Ending>))| other != nr && of.2.is_none();
            let alone = !job.attempts.iter().enumerate().any(out);
            assert!(self.settings.limits.concurrent_attempts || alone, "second copy of {id}");
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

    /// Checks the actions that answer an event, and books them.
    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { request, worker, .. } => self.check_send(request.0, worker.0),
                Action::Refuse { request, .. } => {
                    let job = self.jobs.get_mut(&request.0).expect("a known request");
                    assert!(!job.answered, "second answer for {request:?}");
                    job.answered = true;
                    let clear = job.attempts.iter().all(|attempt| attempt.2.is_some_and(Ending::never_ran));
                    let harmless =
                        |of: &Effect| matches!(of, Effect::Safe | Effect::Keyed { group: Group::All, .. });
                    let harmless = !job.forgotten && job.effects.iter().all(harmless);
                    assert!(clear || harmless, "refused {request:?}, which may have run");
                }
                Action::Fail(request) => {
                    let job = self.jobs.get_mut(&request.0).expect("a known request");
                    assert!(!job.answered, "second answer for {request:?}");
                    job.answered = true;
                }
                Action::SetTimer { timer, after } => self.timers.push((self.now + after, timer)),
                _ => {}
            }
        }
    }

    fn check_send(&mut self, id: u32, worker: u32) {
        let (now, settings) = (self.now, &self.settings);
        if let Some(since) = self.off_since.get(&worker) {
            assert!(now <= since + settings.rules.drain_grace, "sent to {worker}, told off at {since}");
        }
        let job = self.jobs.get_mut(&id).expect("a known request");
        assert!(!job.answered, "sent {id} after its answer");
        assert!(job.attempts.len() < settings.limits.max_attempts as usize, "too many attempts of {id}");
        job.check_repeat(id, usize::MAX, worker, now);
        job.check_ended(id, usize::MAX, worker);
        if !settings.limits.concurrent_attempts {
            assert!(job.attempts.iter().all(|attempt| attempt.2.is_some()), "second copy of {id}");
        }
        job.unbegun.push(job.attempts.len());
        job.attempts.push((worker, now, None));
    }

    /// What must hold whenever the clock has moved on.
    fn check_answers(&self) {
        for (id, job) in &self.jobs {
            let out = job.attempts.iter().any(|attempt| attempt.2.is_none());
            let due = job.expires + self.settings.rules.answer_slack;
            assert!(job.answered || out || self.now <= due, "{id} held past its client's patience");
        }
    }
}

/// Plays a stream in which settings stay as they are; gives all that the module did.
pub fn play(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    play_through(settings, seed, steps, Renewals::None)
}

/// The same, where the settings come again after each step as they are.
pub fn play_repeats(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    play_through(settings, seed, steps, Renewals::Repeats)
}

/// Plays a stream in which settings may change; gives all that the module did.
pub fn play_renewals(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    play_through(settings, seed, steps, Renewals::Changes)
}

/// What settings come while a stream is played.
#[derive(Clone, Copy, PartialEq)]
enum Renewals {
    None,
    /// Those that are in force.
    Repeats,
    /// Others.
    Changes,
}

fn play_through(settings: Settings, seed: u64, steps: &[Step], renewals: Renewals) -> Vec<Action> {
    let renews = renewals == Renewals::Changes;
    let mut ledger = Ledger::new(settings.clone(), renews);
    let mut dispatcher = Dispatcher::new(settings, seed, T0);
    let mut all = Vec::new();
    let members: Vec<Member> = (1..=WORKERS).map(|id| ledger.member(id, WorkerStatus::On)).collect();
    let mut tell = |ledger: &mut Ledger, dispatcher: &mut Dispatcher, event: Event| {
        let mut actions = Vec::new();
        if let Event::Settings(new) = &event {
            ledger.renew((**new).clone());
        }
        dispatcher.on_event(ledger.now, event, &mut actions);
        ledger.check(&actions);
        all.extend(actions);
    };
    tell(&mut ledger, &mut dispatcher, Event::Members(ListKind::Saved, members));
    for step in steps {
        if renewals == Renewals::Repeats {
            let same = Box::new(ledger.settings.clone());
            tell(&mut ledger, &mut dispatcher, Event::Settings(same));
        }
        if renews && step.what > RENEWALS + 4 {
            if let Some(event) = ledger.begin(step, &dispatcher) {
                tell(&mut ledger, &mut dispatcher, event);
            }
            continue;
        }
        if let Some(event) = ledger.event(step) {
            tell(&mut ledger, &mut dispatcher, event);
            continue;
        }
        // The clock has moved: what fell due on the way comes in order, at its time.
        let until = ledger.now;
        ledger.timers.sort_by_key(|&(at, timer)| (at, timer.0));
        while ledger.timers.first().is_some_and(|&(at, _)| at <= until) {
            let (at, timer) = ledger.timers.remove(0);
            ledger.now = at;
            tell(&mut ledger, &mut dispatcher, Event::Timer(timer));
            ledger.timers.sort_by_key(|&(at, timer)| (at, timer.0));
        }
        ledger.now = until;
        ledger.check_answers();
    }
    all
}
