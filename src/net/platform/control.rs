//! The agreed configuration, as a scheduler learns it: one watch at one of the control machines, and a call that tells
//! which version is in force. It only calls out. What counts of what is heard is [`calicolb_agreed::Learner`]'s to say; the
//! loop takes it up between two turns.

use crate::config::agreed::{SchedulerRules, with_local_settings};
use crate::config::document::{self, Document};
use crate::config::{Fault, LearnerConfig, SettingsUpdate};
use crate::log::log_line;
use crate::net::Ctx;
use crate::net::control::messages::{InForceReport, WatchLine};
use crate::net::core::buffer::Buffer;
use crate::net::core::deadlines::Due;
use crate::net::http::framing;
use crate::net::platform::call::{Call, Heard, Word, done, watched};
use calicolb::api::Micros;
use calicolb_agreed::{Change, Delta, InForce, Learner, Message, Taken, Version};
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

const MILLI: Micros = 1_000;
/// A machine says this often at least that there is nothing new, ...
const LINE: Micros = 1_500 * MILLI;
/// ... and a watch on which nothing came for longer than this is broken.
const SILENT: Micros = LINE * 5 / 2;
/// A connection and the first line on it, or an answer, are owed by then.
const OWED: Micros = 1_000 * MILLI;
/// The next machine is asked after this time at first, ...
const FIRST_WAIT: Micros = 50 * MILLI;
/// ... and after this at most, give or take a half: when regions come back, those that ask anew are spread over it.
const LONGEST_WAIT: Micros = 1_000 * MILLI;

/// See the head of this file.
pub struct Control {
    /// The machines, in the order in which this scheduler asks them.
    machines: Vec<SocketAddr>,
    at: usize,
    name: String,
    silence: Micros,
    learner: Learner,
    /// The keys that are this scheduler's own.
    own: Document,
    watch: Option<Call>,
    /// When the watch was asked for, when something came on it last, and when that was a majority's word.
    opened: Micros,
    heard: Option<Micros>,
    majority: Micros,
    /// The version that the machine watched has, as far as it told.
    seq: u64,
    /// When the next machine is asked.
    again: Option<Micros>,
    failed: u32,
    tell: Option<Call>,
    tell_by: Micros,
    /// The version that the machine watched was told to be in force.
    told: Option<u64>,
    random: fastrand::Rng,
    /// What the loop took up last, and what it was given last, whether it could be taken up or not.
    taken: Arc<InForce>,
    given: Arc<InForce>,
    /// It was logged that this scheduler is behind.
    behind: bool,
}

impl Control {
    /// Learns from these machines. Which is asked first is drawn from the name, and so is each that follows: those that
    /// a machine leaves behind are spread over all others.
    pub fn new(config: LearnerConfig, name: &str, seed: u64) -> Control {
        let machines = in_order(config.machines, name);
        // The settings of the own configuration are in force until a version is.
        let first = Version::new(0, config.initial_settings);
        let here = SchedulerRules { local_settings: config.local_settings.clone() };
        let learner = Learner::with(config.max_silence, Box::new(here), first);
        let taken = learner.in_force(0);
        Control {
            machines,
            at: 0,
            name: name.to_owned(),
            silence: config.max_silence,
            learner,
            own: config.local_settings,
            watch: None,
            opened: 0,
            heard: None,
            majority: 0,
            seq: 0,
            again: None,
            failed: 0,
            tell: None,
            tell_by: 0,
            told: None,
            random: fastrand::Rng::with_seed(seed ^ hash(name)),
            given: Arc::clone(&taken),
            taken,
            behind: true,
        }
    }

    /// Begins to learn.
    pub fn start(&mut self, ctx: &mut Ctx<'_>) {
        log_line!(
            "settings are agreed by {} control machines: {} is asked first",
            self.machines.len(),
            self.machines[0]
        );
        // It is no news that nothing was heard yet: that is logged once it has lasted.
        self.behind = false;
        self.majority = ctx.now;
        self.open(ctx);
        self.keep_time(ctx);
    }

    /// The machines are at these addresses from now on.
    pub fn move_to(&mut self, ctx: &mut Ctx<'_>, machines: Vec<SocketAddr>) {
        let here = self.machines[self.at];
        self.machines = in_order(machines, &self.name);
        match self.machines.iter().position(|at| *at == here) {
            Some(at) => self.at = at,
            None => {
                self.at = 0;
                self.lose(ctx, "it is no control machine any more");
            }
        }
        self.keep_time(ctx);
    }

    /// The connection is one of these.
    pub fn has(&self, token: usize) -> bool {
        [&self.watch, &self.tell].into_iter().flatten().any(|call| call.token == token)
    }

    fn call(&self, ctx: &mut Ctx<'_>, request: &[u8]) -> Option<Call> {
        let token = ctx.next_token();
        let made = TcpStream::connect(self.machines[self.at]).and_then(|mut stream| {
            let both = Interest::READABLE | Interest::WRITABLE;
            ctx.registry.register(&mut stream, Token(token), both)?;
            Ok(stream)
        });
        match made {
            Ok(stream) => {
                let mut buffer = Buffer::default();
                buffer.put(request);
                Some(Call { token, stream, buffer, open: false, text: Vec::new() })
            }
            Err(error) => {
                log_line!(debug: "calling a control machine: {error}");
                None
            }
        }
    }

    fn open(&mut self, ctx: &mut Ctx<'_>) {
        let held = self.learner.holds();
        let target =
            format!("/control/versions?watch=1&from={}&digest={}&name={}", held.seq, held.digest, self.name);
        (self.opened, self.heard, self.told, self.again) = (ctx.now, None, None, None);
        self.watch = self.call(ctx, &framing::write_request("GET", &target, &[("Host", "control")], b""));
        if self.watch.is_none() {
            self.wait(ctx);
        }
    }

    /// The next machine is asked after some time.
    fn wait(&mut self, ctx: &mut Ctx<'_>) {
        self.at = (self.at + 1) % self.machines.len();
        let wait = (FIRST_WAIT << self.failed.min(8)).min(LONGEST_WAIT);
        self.failed += 1;
        self.again = Some(ctx.now + wait / 2 + self.random.u64(0..=wait));
    }

    fn lose(&mut self, ctx: &mut Ctx<'_>, why: &str) {
        log_line!(debug: "control machine {}: {why}", self.machines[self.at]);
        for call in [self.watch.take(), self.tell.take()].into_iter().flatten() {
            hang_up(ctx, call);
        }
        self.wait(ctx);
    }

    /// Something can be read or written on one of these connections.
    pub fn ready(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        if let Some(mut call) = self.tell.take_if(|call| call.token == token) {
            match done(&mut call) {
                Ok(false) => self.tell = Some(call),
                Ok(true) => hang_up(ctx, call),
                Err(_) => {
                    // It is told again with the next line.
                    hang_up(ctx, call);
                    self.told = None;
                }
            }
        } else if let Some(mut call) = self.watch.take_if(|call| call.token == token) {
            let mut lines: Vec<WatchLine> = Vec::new();
            let Heard { word, end } = watched(&mut call, &mut lines);
            self.watch = Some(call);
            if word != Word::None {
                self.heard = Some(ctx.now);
                // An empty line says that there is nothing new, and is sent only with a majority. A part of a line that
                // is not whole yet says nothing.
                if word == Word::Whole && lines.is_empty() {
                    lines.push(WatchLine { seq: self.seq, majority: true, ..WatchLine::default() });
                }
            }
            let sound = lines.into_iter().try_for_each(|line| self.hear(ctx, line));
            match sound.and(end.map_or(Ok(()), Err)) {
                Ok(()) => self.say(ctx),
                Err(why) => self.lose(ctx, why),
            }
        }
        self.keep_time(ctx);
    }

    fn hear(&mut self, ctx: &mut Ctx<'_>, line: WatchLine) -> Result<(), &'static str> {
        self.failed = 0;
        self.seq = line.seq;
        let (seq, majority) = (line.seq, line.majority);
        if majority {
            self.majority = ctx.now;
        }
        let digest = |text: &str| text.parse().map_err(|_| "a digest is malformed");
        let message = if line.complete {
            let version = Version { seq, digest: digest(&line.digest)?, document: Arc::new(line.settings) };
            Message::Whole { version, majority }
        } else if line.base_digest.is_empty() {
            Message::Here { seq, majority }
        } else {
            let change = Change { set: line.set, unset: line.unset };
            let (from_digest, digest) = (digest(&line.base_digest)?, digest(&line.digest)?);
            Message::Delta { delta: Delta { seq, from_digest, digest, change }, majority }
        };
        match self.learner.hear(ctx.now, message) {
            Taken::Gap => Err("a change is missing in between"),
            Taken::Refused(fault) => {
                log_line!(warn: "version {seq} cannot be taken up: '{}' {}", fault.key, fault.why);
                Ok(())
            }
            Taken::Nothing | Taken::InForce | Taken::Tightened => Ok(()),
        }
    }

    /// What is to come into force, once.
    pub fn news(&mut self, now: Micros) -> Option<(Arc<InForce>, Result<SettingsUpdate, Fault>)> {
        let wanted = self.learner.in_force(now);
        if Arc::ptr_eq(&wanted, &self.given) {
            return None;
        }
        self.given = Arc::clone(&wanted);
        let checked = document::check(&with_local_settings(&wanted.document, &self.own));
        Some((wanted, checked))
    }

    /// What became of it.
    pub fn taken(&mut self, ctx: &mut Ctx<'_>, news: Arc<InForce>, outcome: Result<(), Fault>) {
        match (outcome, news.tightened_to) {
            (Ok(()), None) => log_line!(seq = news.seq, "version {} is in force", news.seq),
            (Ok(()), Some(seq)) => {
                log_line!(
                    seq,
                    "of version {seq} only what tightens is in force: it was heard of without a majority"
                );
            }
            (Err(fault), _) => {
                let seq = news.tightened_to.unwrap_or(news.seq);
                log_line!(warn: "version {seq} cannot be taken up: '{}' {}; version {} stays in force", fault.key, fault.why,
                    self.taken.seq);
                return;
            }
        }
        self.taken = news;
        self.say(ctx);
        self.keep_time(ctx);
    }

    /// Tells the machine which version is in force, unless it knows.
    fn say(&mut self, ctx: &mut Ctx<'_>) {
        let seq = self.taken.seq;
        if self.heard.is_none() || self.tell.is_some() || seq == 0 || self.told == Some(seq) {
            return;
        }
        let body = serde_json::to_vec(&InForceReport { name: self.name.clone(), seq }).unwrap_or_default();
        let extra = [("Host", "control"), ("Connection", "close")];
        let request = framing::write_request("POST", "/control/in-force", &extra, &body);
        self.tell = self.call(ctx, &request);
        self.tell_by = ctx.now + OWED;
        // Where it could not be told, the next line is the next occasion.
        self.told = self.tell.as_ref().map(|_| seq);
    }

    /// A time that was set has come.
    pub fn late(&mut self, ctx: &mut Ctx<'_>) {
        let now = ctx.now;
        if let Some(call) = self.tell.take_if(|_| self.tell_by <= now) {
            hang_up(ctx, call);
            self.told = None;
        }
        if self.watch.is_some() {
            if self.broken_at() <= now {
                self.lose(ctx, "nothing came for too long");
            } else if self.majority.max(self.opened) + self.silence <= now {
                self.lose(ctx, "it has no majority");
            }
        }
        if self.again.is_some_and(|again| again <= now) {
            self.open(ctx);
        }
        self.keep_time(ctx);
    }

    /// When the watch counts as broken unless something comes.
    fn broken_at(&self) -> Micros {
        self.heard.map_or(self.opened + OWED, |heard| heard + SILENT)
    }

    /// Sees to it that all of this is looked at again when it must be, and that it is logged once who falls behind.
    fn keep_time(&mut self, ctx: &mut Ctx<'_>) {
        let now = ctx.now;
        let behind = self.behind(now);
        // In the first moments nothing can have been heard.
        let settled = behind && now >= self.majority + self.silence || self.taken.seq > 0;
        if behind != self.behind && (settled || !behind) {
            self.behind = behind;
            if behind {
                log_line!(warn: "behind: no majority of the control machines was heard of late, or what they agreed cannot be \
                    taken up; version {} stays in force", self.taken.seq);
            } else {
                log_line!("level with the control machines at version {}", self.taken.seq);
            }
        }
        let mut at = self.again;
        let mut sooner = |due: Micros| at = Some(at.map_or(due, |at| at.min(due)));
        if self.watch.is_some() {
            sooner(self.broken_at());
            sooner(self.majority.max(self.opened) + self.silence);
        }
        if self.tell.is_some() {
            sooner(self.tell_by);
        }
        if !self.behind {
            sooner((self.majority + self.silence + MILLI).max(now + MILLI));
        }
        match at {
            Some(at) => ctx.deadlines.set(Due::Control, at),
            None => ctx.deadlines.clear(Due::Control),
        }
    }

    /// Something later than what is in force here may be in force elsewhere.
    fn behind(&self, now: Micros) -> bool {
        self.learner.behind(now) || *self.taken != *self.given
    }

    /// A version has come into force since the start: the settings of the own configuration count no more.
    pub fn leads(&self) -> bool {
        self.taken.seq > 0
    }

    /// What operators are shown.
    pub fn figures(&self, now: Micros) -> Vec<(&'static str, String)> {
        vec![
            ("control.seq", self.taken.seq.to_string()),
            ("control.digest", self.taken.digest.to_string()),
            ("control.behind", u8::from(self.behind(now)).to_string()),
            ("control.tightened_to", self.taken.tightened_to.unwrap_or(0).to_string()),
        ]
    }
}

fn hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// The machines in the order in which the scheduler of this name asks them.
fn in_order(mut machines: Vec<SocketAddr>, name: &str) -> Vec<SocketAddr> {
    machines.sort_unstable();
    machines.dedup();
    fastrand::Rng::with_seed(hash(name)).shuffle(&mut machines);
    machines
}

fn hang_up(ctx: &mut Ctx<'_>, mut call: Call) {
    let _ = ctx.registry.deregister(&mut call.stream);
}
