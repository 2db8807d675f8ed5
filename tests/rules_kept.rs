//! Random legal streams of events, checked against the four rules by a ledger of its own.
//!
//! The ledger models no service: what happens to an attempt is drawn at random.

mod common;

use calicolb::api::*;
use calicolb::rules::Dispatcher;
use common::{MS, SECOND, T0, settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet, HashMap};

const WORKERS: u32 = 6;

/// One step of a stream: what happens, and which of those that it could happen to.
#[derive(Clone, Debug)]
struct Step {
    what: u8,
    pick: u32,
    size: u64,
}

fn step() -> impl Strategy<Value = Step> {
    (0..21_u8, any::<u32>(), 1..3_000_u64).prop_map(|(what, pick, size)| Step { what, pick, size })
}

#[derive(Default)]
struct Job {
    class: usize,
    expires: Micros,
    answered: bool,
    /// Worker, time of sending, ending.
    attempts: Vec<(u32, Micros, Option<Ending>)>,
    /// Attempts that have ended, and may still be running at their workers.
    running: BTreeSet<usize>,
}

struct Ledger {
    settings: Settings,
    now: Micros,
    jobs: BTreeMap<u32, Job>,
    off_since: HashMap<u32, Micros>,
    started: HashMap<u32, Micros>,
    timers: Vec<(Micros, TimerId)>,
    next: u32,
}

impl Ledger {
    fn new(settings: Settings) -> Self {
        Ledger {
            settings,
            now: T0,
            jobs: BTreeMap::new(),
            off_since: HashMap::new(),
            started: HashMap::new(),
            timers: Vec::new(),
            next: 1,
        }
    }

    fn member(&self, id: u32, standing: Standing) -> Member {
        Member {
            standing,
            started: self.started.get(&id).copied(),
            zone: ZoneIx(id as usize % 2),
            ..common::member(id)
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
                let mut arrival = common::arrival(id, class, self.now, step.size * MS);
                arrival.expires = self.now + (200 + u64::from(step.pick % 5_000)) * MS;
                arrival.slots = 1 + step.pick % 2;
                self.jobs.insert(id, Job { class, expires: arrival.expires, ..Job::default() });
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
                let (worker, sent, _) = job.attempts[attempt];
                job.attempts[attempt].2 = Some(ending);
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
                let standing = [Standing::Draining, Standing::Gone][step.size as usize % 2];
                self.off_since.entry(id).or_insert(self.now);
                Some(Event::Members(ListKind::Changes, vec![self.member(id, standing)]))
            }
            16 => {
                let id = 1 + step.pick % WORKERS;
                self.off_since.remove(&id);
                if step.size.is_multiple_of(2) {
                    self.started.insert(id, self.now);
                }
                Some(Event::Members(ListKind::Changes, vec![self.member(id, Standing::On)]))
            }
            17 => {
                // A whole list that leaves one worker out.
                let id = 1 + step.pick % WORKERS;
                self.off_since.clear();
                self.off_since.insert(id, self.now);
                let listed = (1..=WORKERS).filter(|&other| other != id);
                Some(Event::Members(ListKind::Full, listed.map(|id| self.member(id, Standing::On)).collect()))
            }
            18 => {
                let id = *self.jobs.iter().find(|(_, job)| !job.answered)?.0;
                self.jobs.get_mut(&id)?.answered = true;
                Some(Event::Lapsed(RequestId(id)))
            }
            19 => {
                // A worker says of an attempt that had ended here that it is over there too.
                let (&id, job) = self.jobs.iter_mut().find(|(_, job)| !job.running.is_empty())?;
                let attempt = job.running.pop_first()? as u32;
                Some(Event::Note { request: RequestId(id), attempt, note: Note::Over })
            }
            _ => {
                self.now += step.size * MS / 4;
                None
            }
        }
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
                    match self.settings.classes[job.class].effect {
                        Effect::Safe | Effect::Keyed { group: Group::All, .. } => {}
                        _ => assert!(clear, "refused {request:?}, which may have run"),
                    }
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
        assert!(job.attempts.len() < settings.limits.tries as usize, "too many attempts of {id}");
        let risky = || job.attempts.iter().filter(|attempt| !attempt.2.is_some_and(Ending::never_ran));
        match settings.classes[job.class].effect {
            Effect::Safe => {}
            Effect::Unsafe => assert_eq!(risky().count(), 0, "{id} may have run already"),
            Effect::Keyed { group, span } => {
                for (before, sent, _) in risky() {
                    assert!(now <= sent + span, "{id} is forgotten by now");
                    // Zone and cell of a test worker both follow its number.
                    assert!(group == Group::All || before % 2 == worker % 2, "{id} left its group");
                }
            }
        }
        // Copies allowed or not.
        let there = |nr: &usize| job.attempts[*nr].0 == worker;
        let ended = |nr: &usize| job.attempts[*nr].2.is_some() && !job.running.contains(nr);
        assert!((0..job.attempts.len()).filter(there).all(|nr| ended(&nr)), "{id} may still run at {worker}");
        if !settings.limits.copies {
            assert!(job.attempts.iter().all(|attempt| attempt.2.is_some()), "second copy of {id}");
        }
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

fn play(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    let mut ledger = Ledger::new(settings.clone());
    let mut dispatcher = Dispatcher::new(settings, seed, T0);
    let mut all = Vec::new();
    let members: Vec<Member> = (1..=WORKERS).map(|id| ledger.member(id, Standing::On)).collect();
    let mut tell = |ledger: &mut Ledger, event: Event| {
        let mut actions = Vec::new();
        dispatcher.on_event(ledger.now, event, &mut actions);
        ledger.check(&actions);
        all.extend(actions);
    };
    tell(&mut ledger, Event::Members(ListKind::Saved, members));
    for step in steps {
        if let Some(event) = ledger.event(step) {
            tell(&mut ledger, event);
            continue;
        }
        // The clock has moved: what fell due on the way comes in order, at its time.
        let until = ledger.now;
        ledger.timers.sort_by_key(|&(at, timer)| (at, timer.0));
        while ledger.timers.first().is_some_and(|&(at, _)| at <= until) {
            let (at, timer) = ledger.timers.remove(0);
            ledger.now = at;
            tell(&mut ledger, Event::Timer(timer));
            ledger.timers.sort_by_key(|&(at, timer)| (at, timer.0));
        }
        ledger.now = until;
        ledger.check_answers();
    }
    all
}

fn variants() -> Vec<Settings> {
    let mut keyed = settings();
    for (class, group) in keyed.classes.iter_mut().zip([Group::Zone, Group::All]) {
        class.effect = Effect::Keyed { group, span: 2 * SECOND };
        class.late_worth = 0.5;
    }
    let mut late = settings();
    late.classes.iter_mut().for_each(|class| class.late_worth = 0.3);
    late.limits.copies = false;
    late.tells_start = true;
    let mut peers = settings();
    peers.limits.peers = true;
    peers.instances = 12;
    peers.limits.tries = 2;
    peers.classes[0].effect = Effect::Keyed { group: Group::Cell, span: SECOND };
    vec![settings(), keyed, late, peers]
}

#[test]
fn random_streams_break_no_rule_and_repeat_exactly() {
    for (nr, settings) in variants().into_iter().enumerate() {
        let config = Config { cases: 150, failure_persistence: None, ..Config::default() };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[nr as u8 + 1; 32]);
        let mut runner = TestRunner::new_with_rng(config, rng);
        let streams = proptest::collection::vec(step(), 50..400);
        let checked = runner.run(&streams, |steps| {
            let first = play(settings.clone(), 3, &steps);
            prop_assert_eq!(first, play(settings.clone(), 3, &steps));
            Ok(())
        });
        checked.unwrap_or_else(|failure| panic!("settings {nr}: {failure}"));
    }
}
