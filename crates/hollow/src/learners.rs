//! How a scheduler learns the agreed configuration: one watch at one of the control machines, and a call that tells which
//! version is in force. By the rules of the program's own learner; what counts of what is heard is
//! [`calicolb_consensus::Learner`]'s to say.

use crate::Micros;
use crate::agreed::{self, Lines, Shared};
use crate::encode::ControlLine;
use crate::plan::{MILLI, SECOND};
use calicolb::api::Settings;
use calicolb::settings_update;
use calicolb::wire::Names;
use calicolb_consensus::{
    Change, Delta, Digest, Learner, UpdateOutcome, Version, VersionInForce, VersionMessage,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;

/// A watch on which nothing came for longer than this is broken.
const SILENT: Micros = 5 * SECOND;
/// A connection and the first line on it, or an answer, are owed by then.
const OWED: Micros = SECOND;
/// The next machine is asked after this time at first, and after this at most.
const FIRST_WAIT: Micros = 50 * MILLI;
const LONGEST_WAIT: Micros = SECOND;
/// Without a word of a majority for so long a learner knows that it is behind.
const SILENCE: Micros = 5 * SECOND;

/// What a learner wants done.
pub(crate) enum Ask {
    /// A watch at this machine, from this version on, by the call of this number.
    Watch { machine: u32, call: u64, from: (u64, Digest) },
    /// Its watch there is ended.
    End { machine: u32, call: u64 },
    /// This machine is told that this version is in force.
    Tell { machine: u32, seq: u64 },
    /// It is looked at again at this time.
    Due(Micros),
    /// These settings come into force.
    TakeUp(Box<Settings>, Arc<VersionInForce>),
}

/// See the head of this file.
pub(crate) struct Study {
    machines: Vec<u32>,
    at: usize,
    learner: Learner,
    settings: Settings,
    names: Names,
    calls: u64,
    watch: Option<u64>,
    opened: Micros,
    heard: Option<Micros>,
    majority: Micros,
    seq: u64,
    again: Option<Micros>,
    failed: u32,
    tell: Option<Micros>,
    told: Option<u64>,
    rng: StdRng,
    given: Arc<VersionInForce>,
    armed: Option<Micros>,
    /// When what was written on its watch last arrives.
    arrives: Micros,
    asks: Vec<Ask>,
}

impl Study {
    /// A learner whose own settings are these, with their names, until a version is in force.
    pub(crate) fn new(settings: Settings, names: Names, first: Version, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut machines: Vec<u32> = (0..agreed::MACHINES).collect();
        machines.shuffle(&mut rng);
        let learner = Learner::with_version(SILENCE, Box::new(Shared), first);
        Study {
            machines,
            at: 0,
            given: learner.in_force(0),
            learner,
            settings,
            names,
            calls: 0,
            watch: None,
            opened: 0,
            heard: None,
            majority: 0,
            seq: 0,
            again: None,
            failed: 0,
            tell: None,
            told: None,
            rng,
            armed: None,
            arrives: 0,
            asks: Vec::new(),
        }
    }

    /// What is to be done.
    pub(crate) fn asks(&mut self) -> Vec<Ask> {
        std::mem::take(&mut self.asks)
    }

    /// The machine that it is at.
    pub(crate) fn machine(&self) -> u32 {
        self.machines[self.at]
    }

    /// Something later than what is in force here may be in force elsewhere.
    pub(crate) fn behind(&self, now: Micros) -> bool {
        self.learner.is_behind(now)
    }

    /// When something arrives that would alone do so at this time: after all that was written before.
    pub(crate) fn arrives(&mut self, at: Micros) -> Micros {
        self.arrives = self.arrives.max(at);
        self.arrives
    }

    /// Begins to learn.
    pub(crate) fn start(&mut self, now: Micros) {
        self.majority = now;
        self.open(now);
        self.keep_time(now);
    }

    fn open(&mut self, now: Micros) {
        let held = self.learner.held_version();
        self.calls += 1;
        (self.opened, self.heard, self.told, self.again) = (now, None, None, None);
        self.watch = Some(self.calls);
        let from = (held.seq, held.digest);
        self.asks.push(Ask::Watch { machine: self.machine(), call: self.calls, from });
    }

    fn lose(&mut self, now: Micros) {
        if let Some(call) = self.watch.take() {
            self.asks.push(Ask::End { machine: self.machine(), call });
        }
        self.tell = None;
        self.at = (self.at + 1) % self.machines.len();
        let wait = (FIRST_WAIT << self.failed.min(8)).min(LONGEST_WAIT);
        self.failed += 1;
        self.again = Some(now + wait / 2 + self.rng.random_range(0..=wait));
    }

    /// The watch of this call has broken, or was not to be had.
    pub(crate) fn broke(&mut self, now: Micros, call: u64) {
        if self.watch == Some(call) {
            self.lose(now);
            self.keep_time(now);
        }
    }

    /// The machine has heard which version is in force.
    pub(crate) fn told(&mut self, now: Micros) {
        self.tell = None;
        self.keep_time(now);
    }

    /// Something has come on the watch.
    pub(crate) fn hear(&mut self, now: Micros, call: u64, lines: &Lines) {
        if self.watch != Some(call) {
            return;
        }
        self.heard = Some(now);
        let sound = if lines.lines.is_empty() {
            // That there is nothing new is said only with a majority.
            self.line(now, &ControlLine { seq: self.seq, majority: true, ..ControlLine::default() })
        } else {
            lines.lines.iter().all(|line| self.line(now, line))
        };
        let in_force = self.learner.in_force(now);
        if !Arc::ptr_eq(&in_force, &self.given) {
            self.given = Arc::clone(&in_force);
            self.take_up(in_force);
        }
        if sound {
            self.say(now)
        } else {
            self.lose(now)
        }
        self.keep_time(now);
    }

    fn line(&mut self, now: Micros, line: &ControlLine) -> bool {
        self.failed = 0;
        self.seq = line.seq;
        let (seq, majority) = (line.seq, line.majority);
        if majority {
            self.majority = now;
        }
        let digest = |text: &str| text.parse::<Digest>().ok();
        let message = if line.whole {
            let Some(digest) = digest(&line.digest) else { return false };
            let version = Version { seq, digest, document: Arc::new(line.settings.clone()) };
            VersionMessage::Full { version, majority }
        } else if line.from.is_empty() {
            VersionMessage::Current { seq, majority }
        } else {
            let Some((from_digest, digest)) = digest(&line.from).zip(digest(&line.digest)) else {
                return false;
            };
            let change = Change { set: line.set.clone(), unset: line.unset.clone() };
            VersionMessage::Delta { delta: Delta { seq, from_digest, digest, change }, majority }
        };
        self.learner.receive(now, message) != UpdateOutcome::Gap
    }

    /// What is in force is read, and goes to the module; names keep their places.
    fn take_up(&mut self, in_force: Arc<VersionInForce>) {
        let Ok((new, names)) = agreed::settings(&in_force.document) else { return };
        let (rank, instances, zone) = (self.settings.rank, self.settings.instances, self.settings.zone);
        let new = Settings { rank, instances, zone, ..new };
        if let Ok((settings, names)) = settings_update::merge((&self.settings, &self.names), (&new, &names)) {
            (self.settings, self.names) = (settings.clone(), names);
            self.asks.push(Ask::TakeUp(Box::new(settings), in_force));
        }
    }

    /// Tells the machine which version is in force, unless it knows.
    fn say(&mut self, now: Micros) {
        let seq = self.given.seq;
        if self.watch.is_some() && self.tell.is_none() && seq > 0 && self.told != Some(seq) {
            self.asks.push(Ask::Tell { machine: self.machine(), seq });
            self.tell = Some(now + OWED);
            self.told = Some(seq);
        }
    }

    /// A time that was set has come.
    pub(crate) fn due(&mut self, now: Micros) {
        if self.armed.is_some_and(|at| at > now) {
            return;
        }
        self.armed = None;
        if self.tell.take_if(|by| *by <= now).is_some() {
            self.told = None;
        }
        let silent = self.majority.max(self.opened) + SILENCE <= now;
        if self.watch.is_some() && (self.broken_at() <= now || silent) {
            self.lose(now);
        }
        if self.again.is_some_and(|again| again <= now) {
            self.open(now);
        }
        self.keep_time(now);
    }

    fn broken_at(&self) -> Micros {
        self.heard.map_or(self.opened + OWED, |heard| heard + SILENT)
    }

    fn keep_time(&mut self, now: Micros) {
        let watch = self.watch.map(|_| self.broken_at().min(self.majority.max(self.opened) + SILENCE));
        let next = [self.again, self.tell, watch].into_iter().flatten().min();
        if let Some(at) = next.map(|at| at.max(now + 1))
            && self.armed.is_none_or(|set| at < set)
        {
            self.armed = Some(at);
            self.asks.push(Ask::Due(at));
        }
    }
}
