//! Five control machines and some learners on a simulated network: loss, delay, doubling, reordering, cuts in one
//! direction, partitions, pauses, restarts. All comes from one seed.

use super::claims::{Broken, Ledger};
use super::parts::{Control, Defect, Ear, Hearing, IDS, Part};
use calicolb_consensus::store::MemoryDisk;
use calicolb_consensus::{
    CatchUp, Change, Digest, Document, Outcome, ProposeError, Ticket, VersionId, VersionMessage,
};
use fastrand::Rng;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds between two ticks of a control machine.
pub const TICK_MS: u64 = 100;
/// A learner that has heard nothing from a majority for so long knows that it is behind.
pub const SILENCE_MS: u64 = 4_000;
/// A control machine says that it is there when it had nothing else to say for so long.
const HERE_MS: u64 = 1_000;
/// A learner whose machine was silent for so long goes to another.
const QUIET_MS: u64 = 1_500;
const LEARNERS: usize = 4;

enum Parcel {
    Talk { from: u64, bytes: Vec<u8> },
    Ask { learner: usize, ask: VersionId },
    Tell { learner: usize, message: VersionMessage },
}

struct Watch {
    seq: u64,
    digest: Digest,
    told_at: u64,
}

pub struct Node {
    pub part: Option<Box<dyn Control>>,
    disk: MemoryDisk,
    pub paused_until: u64,
    watches: BTreeMap<usize, Watch>,
    starts: u64,
}

struct Seat {
    ear: Box<dyn Hearing>,
    at: u64,
    heard_at: u64,
    came_at: u64,
}

/// How bad the network is.
#[derive(Clone, Copy)]
pub struct Weather {
    pub loss: f64,
    pub doubled: f64,
    pub delay_ms: u64,
}

pub const CALM: Weather = Weather { loss: 0.0, doubled: 0.0, delay_ms: 20 };

pub struct World {
    pub rng: Rng,
    defect: Defect,
    seed: u64,
    pub now: u64,
    pub weather: Weather,
    pub cuts: BTreeSet<(u64, u64)>,
    pub nodes: BTreeMap<u64, Node>,
    seats: Vec<Seat>,
    posted: BTreeMap<Reverse<(u64, u64)>, (u64, Parcel)>,
    parcels: u64,
    pub ledger: Ledger,
    pub talk: (u64, u64),
    /// Whether learners see at once that a control machine was killed.
    pub refuses: bool,
}

impl World {
    pub fn new(seed: u64, defect: Defect) -> World {
        let nodes = IDS.map(|id| {
            let disk = MemoryDisk::default();
            let part = Some(Part::start(id, &disk, seed, Defect::None));
            (id, Node { part, disk, paused_until: 0, watches: BTreeMap::new(), starts: 1 })
        });
        let seat = |i| Seat {
            ear: Ear::listen(SILENCE_MS * 1_000, defect),
            at: i as u64 % 5 + 1,
            heard_at: 0,
            came_at: 0,
        };
        let mut world = World {
            rng: Rng::with_seed(seed),
            defect,
            seed,
            now: 0,
            weather: CALM,
            cuts: BTreeSet::new(),
            nodes: BTreeMap::from(nodes),
            seats: (0..LEARNERS).map(seat).collect(),
            posted: BTreeMap::new(),
            parcels: 0,
            ledger: Ledger::new(LEARNERS),
            talk: (0, 0),
            refuses: true,
        };
        for id in IDS {
            world.start(id);
        }
        world
    }

    pub fn start(&mut self, id: u64) {
        let node = self.nodes.get_mut(&id).unwrap();
        node.part = None;
        node.part = Some(Part::start(id, &node.disk, self.seed, self.defect));
        node.starts += 1;
        node.watches.clear();
        node.paused_until = 0;
    }

    /// Kills a control machine; some bytes that weren't synced may be there afterwards.
    pub fn kill(&mut self, id: u64) {
        let kept = self.rng.usize(..60);
        let node = self.nodes.get_mut(&id).unwrap();
        node.part = None;
        node.disk.crash(kept);
        node.watches.clear();
    }

    pub fn is_up(&self, id: u64) -> bool {
        self.nodes[&id].part.is_some()
    }

    pub fn up(&self) -> Vec<u64> {
        IDS.into_iter().filter(|id| self.is_up(*id)).collect()
    }

    pub fn part(&self, id: u64) -> Option<&dyn Control> {
        self.nodes[&id].part.as_deref()
    }

    /// Who leads and has a majority.
    pub fn leader(&self) -> Option<u64> {
        self.up()
            .into_iter()
            .find(|id| self.part(*id).is_some_and(|part| part.leads() && part.has_majority()))
    }

    /// Cuts every way between the two sides.
    pub fn part_sides(&mut self, side: &[u64]) {
        for a in side {
            for b in IDS.iter().filter(|b| !side.contains(b)) {
                self.cuts.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    fn post(&mut self, to: u64, parcel: Parcel) {
        self.parcels += 1;
        let at = self.now + 1 + self.rng.u64(..=self.weather.delay_ms);
        self.posted.insert(Reverse((at, self.parcels)), (to, parcel));
    }

    fn send(&mut self, from: u64, to: u64, bytes: &[u8]) {
        self.talk = (self.talk.0 + 1, self.talk.1 + bytes.len() as u64);
        if self.cuts.contains(&(from, to)) || self.rng.f64() < self.weather.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.weather.doubled);
        for _ in 0..copies {
            self.post(to, Parcel::Talk { from, bytes: bytes.to_vec() });
        }
    }

    fn tell(&mut self, learner: usize, message: VersionMessage) {
        if self.rng.f64() >= self.weather.loss {
            let copies = 1 + usize::from(self.rng.f64() < self.weather.doubled);
            for _ in 0..copies {
                self.post(0, Parcel::Tell { learner, message: message.clone() });
            }
        }
    }

    /// What a control machine's host does after each message and tick.
    fn serve(&mut self, id: u64) -> Result<(), Broken> {
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        let starts = node.starts;
        let Some(part) = &mut node.part else { return Ok(()) };
        let settled = part.take_outcomes();
        let outgoing = part.take_outgoing();
        let majority = part.has_majority();
        let mut telling = Vec::new();
        for (learner, watch) in &mut node.watches {
            match part.changes_since(watch.seq, watch.digest) {
                CatchUp::Deltas(deltas) => {
                    for delta in deltas {
                        (watch.seq, watch.digest, watch.told_at) = (delta.seq, delta.digest, now);
                        telling.push((*learner, VersionMessage::Delta { delta, majority }));
                    }
                }
                CatchUp::FullVersion(version) => {
                    (watch.seq, watch.digest, watch.told_at) = (version.seq, version.digest, now);
                    telling.push((*learner, VersionMessage::Full { version, majority }));
                }
                CatchUp::UpToDate | CatchUp::Ahead => {}
            }
            if now - watch.told_at >= HERE_MS {
                watch.told_at = now;
                telling
                    .push((*learner, VersionMessage::Current { seq: part.decided_version().seq, majority }));
            }
        }
        self.ledger.see_voter(id, &**part)?;
        for (ticket, outcome) in settled {
            self.ledger.settle((id, starts, ticket), outcome)?;
        }
        for (to, bytes) in outgoing {
            self.send(id, to, &bytes);
        }
        for (learner, message) in telling {
            self.tell(learner, message);
        }
        Ok(())
    }

    /// Proposes a change at a control machine.
    pub fn propose(&mut self, id: u64, change: Change) -> Result<Ticket, ProposeError> {
        let node = self.nodes.get_mut(&id).unwrap();
        let part = node.part.as_mut().ok_or(ProposeError::NoMajority)?;
        let ticket = part.propose(change)?;
        self.ledger.proposed((id, node.starts, ticket));
        Ok(ticket)
    }

    pub fn outcome(&self, id: u64, ticket: Ticket) -> Option<Outcome> {
        self.ledger.outcome((id, self.nodes[&id].starts, ticket))
    }

    /// A change at random, sometimes one that nobody may accept.
    pub fn any_change(&mut self) -> Change {
        let mut change = Change::default();
        for _ in 0..self.rng.usize(1..=3) {
            let key = if self.rng.bool() {
                format!("q{}", self.rng.u8(..4))
            } else {
                format!("k{}", self.rng.u8(..6))
            };
            if self.rng.u8(..8) == 0 {
                change.unset.insert(key);
            } else {
                change.set.insert(key, json!(self.rng.u8(..16)));
            }
        }
        change
    }

    fn deliver(&mut self, to: u64, parcel: Parcel) -> Result<(), Broken> {
        if let Parcel::Tell { learner, message } = parcel {
            let seat = &mut self.seats[learner];
            seat.heard_at = self.now;
            seat.ear.receive(self.now * 1_000, message);
            return self.ledger.see_learner(learner, &seat.ear.in_force(self.now * 1_000));
        }
        let node = self.nodes.get_mut(&to).unwrap();
        if node.paused_until > self.now {
            let later = node.paused_until - self.now;
            self.now += later;
            self.post(to, parcel);
            self.now -= later;
            return Ok(());
        }
        let Some(part) = &mut node.part else { return Ok(()) };
        match parcel {
            Parcel::Talk { from, bytes } => part.receive(from, &bytes),
            Parcel::Ask { learner, ask } => {
                let watch =
                    Watch { seq: ask.seq, digest: ask.digest, told_at: self.now.saturating_sub(HERE_MS) };
                node.watches.insert(learner, watch);
            }
            Parcel::Tell { .. } => {}
        }
        self.serve(to)
    }

    /// Goes on for some ticks.
    pub fn run(&mut self, ticks: u64) -> Result<(), Broken> {
        let end = self.now + ticks * TICK_MS;
        while self.now < end {
            while let Some(entry) = self.posted.last_entry().filter(|entry| entry.key().0.0 <= self.now) {
                let (to, parcel) = entry.remove();
                self.deliver(to, parcel)?;
            }
            // Each machine ticks at its own moment of each period.
            let phase = self.now % TICK_MS;
            for id in IDS.into_iter().filter(|id| phase == id * 17) {
                self.beat(id)?;
            }
            if phase == 50 {
                self.ask();
            }
            let next_message = self.posted.last_key_value().map_or(end, |(key, _)| key.0.0);
            let next_step = self.now + 1;
            self.now = next_step.max(next_message.min(self.next_beat()));
        }
        Ok(())
    }

    /// The next moment at which something happens by itself.
    fn next_beat(&self) -> u64 {
        let phase = self.now % TICK_MS;
        let beats = [17, 34, 50, 51, 68, 85, TICK_MS + 17];
        let next = beats.into_iter().find(|beat| *beat > phase).unwrap_or(TICK_MS + 17);
        self.now - phase + next
    }

    fn beat(&mut self, id: u64) -> Result<(), Broken> {
        let node = self.nodes.get_mut(&id).unwrap();
        if node.paused_until > self.now {
            return Ok(());
        }
        let paused = std::mem::take(&mut node.paused_until);
        if let Some(part) = &mut node.part {
            if paused > 0 {
                part.skip_ticks(super::PAUSE_TICKS);
            }
            part.tick();
        }
        self.serve(id)
    }

    /// Each learner asks when it wants something, and goes to another machine when its own is silent or brings
    /// nothing.
    fn ask(&mut self) {
        for learner in 0..self.seats.len() {
            let seat = &mut self.seats[learner];
            let mut ask = seat.ear.next_request(self.now * 1_000);
            let silent = self.now - seat.heard_at.max(seat.came_at) > QUIET_MS;
            // A process that was killed ends its connections, and the next one is refused; a machine is silent.
            let refused = self.refuses && self.nodes[&seat.at].part.is_none();
            if refused || silent || (ask.is_some() && self.now - seat.came_at > QUIET_MS) {
                let at = seat.at;
                (seat.at, seat.came_at) = (at % 5 + 1, self.now);
                ask = Some(seat.ear.held_version());
                self.nodes.get_mut(&at).unwrap().watches.remove(&learner);
            }
            let to = seat.at;
            if let Some(ask) = ask.filter(|_| self.rng.f64() >= self.weather.loss) {
                self.post(to, Parcel::Ask { learner, ask });
            }
        }
    }

    /// Loses all that is on its way to a control machine.
    pub fn lose(&mut self, id: u64) {
        self.posted.retain(|_, (to, _)| *to != id);
    }

    /// Whether all are up and level, learners too, and every proposal was settled.
    pub fn is_level(&self) -> bool {
        let versions: Vec<_> = IDS.iter().filter_map(|id| Some(self.part(*id)?.decided_version())).collect();
        let voters = versions.len() == 5 && versions.iter().all(|version| *version == versions[0]);
        let majority = IDS.iter().all(|id| self.part(*id).is_some_and(|part| part.has_majority()));
        voters && majority && self.are_learners_at(versions[0].seq)
    }

    /// Whether all learners have this version or a later one wholly in force.
    pub fn are_learners_at(&self, seq: u64) -> bool {
        let now = self.now * 1_000;
        self.seats.iter().all(|seat| {
            let in_force = seat.ear.in_force(now);
            in_force.seq >= seq && in_force.tightened_to.is_none() && !seat.ear.is_behind(now)
        })
    }

    /// Runs until something holds.
    pub fn run_until(
        &mut self,
        ticks: u64,
        condition: impl Fn(&World) -> bool,
    ) -> Result<Option<u64>, Broken> {
        for passed in 0..ticks {
            if condition(self) {
                return Ok(Some(passed));
            }
            self.run(1)?;
        }
        Ok(None)
    }
}

/// One key with a value.
pub fn set(key: &str, value: i64) -> Change {
    Change { set: Document::from([(key.to_owned(), json!(value))]), unset: BTreeSet::new() }
}
