//! Five control machines and some learners on a simulated network with loss, delay, duplication, reordering, cuts in
//! one direction, partitions, pauses and restarts. Everything is derived from one seed.

use super::invariants::{InvariantChecker, Violation};
use super::subjects::{ConfigLearner, ControlMachine, Defect, TestLearner, TestVoter, VOTER_IDS};
use calicolb_consensus::store::MemoryDisk;
use calicolb_consensus::{
    CatchUp, Change, Digest, Document, Outcome, ProposeError, Ticket, VersionId, VersionMessage,
};
use fastrand::Rng;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The interval between two ticks of a control machine, in milliseconds.
pub const TICK_MS: u64 = 100;
/// The time without a message from a majority after which a learner is behind, in milliseconds.
pub const MAX_SILENCE_MS: u64 = 4_000;
/// The time without a new version after which a control machine sends its current version number to a watch, in
/// milliseconds.
const HEARTBEAT_MS: u64 = 1_000;
/// The time without a message after which a learner changes to another machine, in milliseconds.
const RECONNECT_TIMEOUT_MS: u64 = 1_500;
const LEARNER_COUNT: usize = 4;

/// A message in transit.
enum Packet {
    VoterMessage { from: u64, bytes: Vec<u8> },
    WatchRequest { learner: usize, version: VersionId },
    LearnerMessage { learner: usize, message: VersionMessage },
}

/// A learner's watch at a control machine, with the version that was last sent.
struct Watch {
    seq: u64,
    digest: Digest,
    last_sent_at: u64,
}

/// A control machine. `voter` is `None` while it does not run.
pub struct Node {
    pub voter: Option<Box<dyn ControlMachine>>,
    disk: MemoryDisk,
    pub paused_until: u64,
    watches: BTreeMap<usize, Watch>,
    starts: u64,
}

/// A learner with the number of the machine at which it watches. Times are in milliseconds.
struct LearnerNode {
    learner: Box<dyn ConfigLearner>,
    machine: u64,
    last_message_at: u64,
    connected_at: u64,
}

/// The quality of the network: the probabilities of loss and duplication, and the largest delay in milliseconds.
#[derive(Clone, Copy)]
pub struct NetworkConditions {
    pub loss: f64,
    pub duplication: f64,
    pub delay_ms: u64,
}

pub const RELIABLE_NETWORK: NetworkConditions =
    NetworkConditions { loss: 0.0, duplication: 0.0, delay_ms: 20 };

/// The state of a simulation. Times are in milliseconds.
pub struct Simulation {
    pub rng: Rng,
    defect: Defect,
    seed: u64,
    pub now: u64,
    pub conditions: NetworkConditions,
    /// Pairs of sender and receiver between which messages are dropped.
    pub cuts: BTreeSet<(u64, u64)>,
    pub nodes: BTreeMap<u64, Node>,
    learners: Vec<LearnerNode>,
    /// Messages in transit with their receivers (0 for all learners), by arrival time and number. The earliest message is
    /// the last entry.
    in_flight: BTreeMap<Reverse<(u64, u64)>, (u64, Packet)>,
    packet_count: u64,
    pub checker: InvariantChecker,
    /// The number of messages between voters, and their total size in bytes.
    pub traffic: (u64, u64),
    /// True if learners notice at once that a control machine was killed.
    pub kills_are_visible: bool,
}

impl Simulation {
    pub fn new(seed: u64, defect: Defect) -> Simulation {
        let nodes = VOTER_IDS.map(|id| {
            let disk = MemoryDisk::default();
            let voter = Some(TestVoter::start(id, &disk, seed, Defect::None));
            (id, Node { voter, disk, paused_until: 0, watches: BTreeMap::new(), starts: 1 })
        });
        let node = |i| LearnerNode {
            learner: TestLearner::start(MAX_SILENCE_MS * 1_000, defect),
            machine: i as u64 % 5 + 1,
            last_message_at: 0,
            connected_at: 0,
        };
        let mut simulation = Simulation {
            rng: Rng::with_seed(seed),
            defect,
            seed,
            now: 0,
            conditions: RELIABLE_NETWORK,
            cuts: BTreeSet::new(),
            nodes: BTreeMap::from(nodes),
            learners: (0..LEARNER_COUNT).map(node).collect(),
            in_flight: BTreeMap::new(),
            packet_count: 0,
            checker: InvariantChecker::new(LEARNER_COUNT),
            traffic: (0, 0),
            kills_are_visible: true,
        };
        for id in VOTER_IDS {
            simulation.start(id);
        }
        simulation
    }

    /// Starts or restarts a control machine with the content of its disk. Its watches are lost.
    pub fn start(&mut self, id: u64) {
        let node = self.nodes.get_mut(&id).unwrap();
        node.voter = None;
        node.voter = Some(TestVoter::start(id, &node.disk, self.seed, self.defect));
        node.starts += 1;
        node.watches.clear();
        node.paused_until = 0;
    }

    /// Kills a control machine. Up to 59 bytes that were not synced stay on its disk.
    pub fn kill(&mut self, id: u64) {
        let kept_bytes = self.rng.usize(..60);
        let node = self.nodes.get_mut(&id).unwrap();
        node.voter = None;
        node.disk.crash(kept_bytes);
        node.watches.clear();
    }

    pub fn is_up(&self, id: u64) -> bool {
        self.nodes[&id].voter.is_some()
    }

    pub fn up(&self) -> Vec<u64> {
        VOTER_IDS.into_iter().filter(|id| self.is_up(*id)).collect()
    }

    pub fn voter(&self, id: u64) -> Option<&dyn ControlMachine> {
        self.nodes[&id].voter.as_deref()
    }

    /// The leader that has a majority, if there is one.
    pub fn leader(&self) -> Option<u64> {
        self.up()
            .into_iter()
            .find(|id| self.voter(*id).is_some_and(|voter| voter.is_leader() && voter.has_majority()))
    }

    /// Cuts all connections between `side` and the other machines.
    pub fn partition(&mut self, side: &[u64]) {
        for a in side {
            for b in VOTER_IDS.iter().filter(|b| !side.contains(b)) {
                self.cuts.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    fn enqueue(&mut self, to: u64, packet: Packet) {
        self.packet_count += 1;
        let at = self.now + 1 + self.rng.u64(..=self.conditions.delay_ms);
        self.in_flight.insert(Reverse((at, self.packet_count)), (to, packet));
    }

    fn send(&mut self, from: u64, to: u64, bytes: &[u8]) {
        self.traffic = (self.traffic.0 + 1, self.traffic.1 + bytes.len() as u64);
        if self.cuts.contains(&(from, to)) || self.rng.f64() < self.conditions.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.conditions.duplication);
        for _ in 0..copies {
            self.enqueue(to, Packet::VoterMessage { from, bytes: bytes.to_vec() });
        }
    }

    fn send_to_learner(&mut self, learner: usize, message: VersionMessage) {
        if self.rng.f64() >= self.conditions.loss {
            let copies = 1 + usize::from(self.rng.f64() < self.conditions.duplication);
            for _ in 0..copies {
                self.enqueue(0, Packet::LearnerMessage { learner, message: message.clone() });
            }
        }
    }

    /// Handles the output of a control machine, as its host does after each message and tick.
    fn process_outputs(&mut self, id: u64) -> Result<(), Violation> {
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        let starts = node.starts;
        let Some(voter) = &mut node.voter else { return Ok(()) };
        let outcomes = voter.take_outcomes();
        let outgoing = voter.take_outgoing();
        let majority = voter.has_majority();
        let mut learner_messages = Vec::new();
        for (learner, watch) in &mut node.watches {
            match voter.changes_since(watch.seq, watch.digest) {
                CatchUp::Deltas(deltas) => {
                    for delta in deltas {
                        (watch.seq, watch.digest, watch.last_sent_at) = (delta.seq, delta.digest, now);
                        learner_messages.push((*learner, VersionMessage::Delta { delta, majority }));
                    }
                }
                CatchUp::FullVersion(version) => {
                    (watch.seq, watch.digest, watch.last_sent_at) = (version.seq, version.digest, now);
                    learner_messages.push((*learner, VersionMessage::Full { version, majority }));
                }
                CatchUp::UpToDate | CatchUp::Ahead => {}
            }
            if now - watch.last_sent_at >= HEARTBEAT_MS {
                watch.last_sent_at = now;
                learner_messages
                    .push((*learner, VersionMessage::Current { seq: voter.decided_version().seq, majority }));
            }
        }
        self.checker.check_voter(id, &**voter)?;
        for (ticket, outcome) in outcomes {
            self.checker.record_outcome((id, starts, ticket), outcome)?;
        }
        for (to, bytes) in outgoing {
            self.send(id, to, &bytes);
        }
        for (learner, message) in learner_messages {
            self.send_to_learner(learner, message);
        }
        Ok(())
    }

    /// Proposes a change at a control machine.
    pub fn propose(&mut self, id: u64, change: Change) -> Result<Ticket, ProposeError> {
        let node = self.nodes.get_mut(&id).unwrap();
        let voter = node.voter.as_mut().ok_or(ProposeError::NoMajority)?;
        let ticket = voter.propose(change)?;
        self.checker.record_proposal((id, node.starts, ticket));
        Ok(ticket)
    }

    pub fn outcome(&self, id: u64, ticket: Ticket) -> Option<Outcome> {
        self.checker.outcome((id, self.nodes[&id].starts, ticket))
    }

    /// A random change, which may be invalid.
    pub fn random_change(&mut self) -> Change {
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

    fn deliver(&mut self, to: u64, packet: Packet) -> Result<(), Violation> {
        if let Packet::LearnerMessage { learner, message } = packet {
            let node = &mut self.learners[learner];
            node.last_message_at = self.now;
            node.learner.receive(self.now * 1_000, message);
            return self.checker.check_learner(learner, &node.learner.in_force(self.now * 1_000));
        }
        let node = self.nodes.get_mut(&to).unwrap();
        if node.paused_until > self.now {
            // The packet is delivered after the pause: the clock is at the end of the pause while it is queued again.
            let remaining_pause = node.paused_until - self.now;
            self.now += remaining_pause;
            self.enqueue(to, packet);
            self.now -= remaining_pause;
            return Ok(());
        }
        let Some(voter) = &mut node.voter else { return Ok(()) };
        match packet {
            Packet::VoterMessage { from, bytes } => voter.receive(from, &bytes),
            Packet::WatchRequest { learner, version } => {
                // As if the last message had been sent a heartbeat interval ago, so that the machine answers at once.
                let watch = Watch {
                    seq: version.seq,
                    digest: version.digest,
                    last_sent_at: self.now.saturating_sub(HEARTBEAT_MS),
                };
                node.watches.insert(learner, watch);
            }
            Packet::LearnerMessage { .. } => {}
        }
        self.process_outputs(to)
    }

    /// Advances the simulation by a number of ticks.
    pub fn run(&mut self, ticks: u64) -> Result<(), Violation> {
        let end = self.now + ticks * TICK_MS;
        while self.now < end {
            while let Some(entry) = self.in_flight.last_entry().filter(|entry| entry.key().0.0 <= self.now) {
                let (to, packet) = entry.remove();
                self.deliver(to, packet)?;
            }
            // Each machine ticks at a different offset within the tick interval.
            let phase = self.now % TICK_MS;
            for id in VOTER_IDS.into_iter().filter(|id| phase == id * 17) {
                self.tick_machine(id)?;
            }
            if phase == 50 {
                self.poll_learners();
            }
            let next_message = self.in_flight.last_key_value().map_or(end, |(key, _)| key.0.0);
            let next_step = self.now + 1;
            self.now = next_step.max(next_message.min(self.next_event()));
        }
        Ok(())
    }

    /// The next time at which a machine ticks or the learners are polled, in milliseconds.
    fn next_event(&self) -> u64 {
        let phase = self.now % TICK_MS;
        let events = [17, 34, 50, 51, 68, 85, TICK_MS + 17];
        let next = events.into_iter().find(|event| *event > phase).unwrap_or(TICK_MS + 17);
        self.now - phase + next
    }

    fn tick_machine(&mut self, id: u64) -> Result<(), Violation> {
        let node = self.nodes.get_mut(&id).unwrap();
        if node.paused_until > self.now {
            return Ok(());
        }
        let paused = std::mem::take(&mut node.paused_until);
        if let Some(voter) = &mut node.voter {
            if paused > 0 {
                voter.skip_ticks(super::PAUSE_TICKS);
            }
            voter.tick();
        }
        self.process_outputs(id)
    }

    /// Polls each learner for a request. A learner changes to another machine if its own one is silent or its
    /// requests bring no new version.
    fn poll_learners(&mut self) {
        for learner in 0..self.learners.len() {
            let node = &mut self.learners[learner];
            let mut version = node.learner.next_request(self.now * 1_000);
            let silent = self.now - node.last_message_at.max(node.connected_at) > RECONNECT_TIMEOUT_MS;
            // If only the process was killed, the system ends its connections and refuses new ones. If the computer
            // failed, nothing ends the connections, and the learner notices only the silence.
            let refused = self.kills_are_visible && self.nodes[&node.machine].voter.is_none();
            if refused || silent || (version.is_some() && self.now - node.connected_at > RECONNECT_TIMEOUT_MS)
            {
                let previous = node.machine;
                (node.machine, node.connected_at) = (previous % 5 + 1, self.now);
                version = Some(node.learner.held_version());
                self.nodes.get_mut(&previous).unwrap().watches.remove(&learner);
            }
            let to = node.machine;
            if let Some(version) = version.filter(|_| self.rng.f64() >= self.conditions.loss) {
                self.enqueue(to, Packet::WatchRequest { learner, version });
            }
        }
    }

    /// Drops all messages in transit to a control machine.
    pub fn drop_packets_to(&mut self, id: u64) {
        self.in_flight.retain(|_, (to, _)| *to != id);
    }

    /// Returns whether all machines run with a majority and have the same version, and all learners have it in force.
    pub fn has_converged(&self) -> bool {
        let versions: Vec<_> =
            VOTER_IDS.iter().filter_map(|id| Some(self.voter(*id)?.decided_version())).collect();
        let same_version = versions.len() == 5 && versions.iter().all(|version| *version == versions[0]);
        let majority = VOTER_IDS.iter().all(|id| self.voter(*id).is_some_and(|voter| voter.has_majority()));
        same_version && majority && self.are_learners_at(versions[0].seq)
    }

    /// Returns whether all learners have this version or a later one completely in force.
    pub fn are_learners_at(&self, seq: u64) -> bool {
        let now = self.now * 1_000;
        self.learners.iter().all(|node| {
            let in_force = node.learner.in_force(now);
            in_force.seq >= seq && in_force.tightened_to.is_none() && !node.learner.is_behind(now)
        })
    }

    /// Runs until the condition holds. Returns the number of elapsed ticks, or `None` if the condition
    /// did not hold within `ticks`.
    pub fn run_until(
        &mut self,
        ticks: u64,
        condition: impl Fn(&Simulation) -> bool,
    ) -> Result<Option<u64>, Violation> {
        for elapsed_ticks in 0..ticks {
            if condition(self) {
                return Ok(Some(elapsed_ticks));
            }
            self.run(1)?;
        }
        Ok(None)
    }
}

/// A change that sets one key.
pub fn set(key: &str, value: i64) -> Change {
    Change { set: Document::from([(key.to_owned(), json!(value))]), unset: BTreeSet::new() }
}
