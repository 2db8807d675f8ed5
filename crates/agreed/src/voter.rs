//! One of the control machines that decide together.

use crate::bounds;
use crate::change::{Change, Delta, Version};
use crate::digest::Digest;
use crate::document::{Check, Document, Fault, within_bounds};
use crate::envelope::Envelope;
use crate::replica::{Entry, ProposalId, Replica, Snapshot};
use crate::shelf::{Shared, Shelf};
use crate::store::{Store, StoreError};
use crate::touch::{Own, Touch, Verdict};
use omnipaxos::messages::Message;
use omnipaxos::messages::sequence_paxos::PaxosMsg;
use omnipaxos::storage::SnapshotType;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Number of a voter, from 1.
pub type VoterId = u64;

/// Names a proposal to its proposer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Why a change isn't proposed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// The document with the change in it isn't usable.
    #[error("{0}")]
    Faulty(Fault),
    /// This voter isn't in touch with a majority.
    #[error("no majority")]
    NoMajority,
    /// As many proposals as a voter holds are on their way.
    #[error("too many proposals on their way")]
    TooMany,
    /// This voter's store failed; it takes part in nothing until it is started anew.
    #[error("the store failed")]
    Stopped,
}

/// What became of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Decided: it is this version.
    Agreed {
        /// Of the version.
        seq: u64,
        /// Of the version.
        digest: Digest,
    },
    /// Another change was decided before it, and on that one it isn't usable. Nothing changed.
    Void(Fault),
    /// Not decided in time. It may still be, when it had been sent.
    Unknown {
        /// Whether it had been sent; otherwise it surely is never decided.
        sent: bool,
    },
}

/// What a learner lacks.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Nothing.
    Level,
    /// These, in order.
    Deltas(Vec<Delta>),
    /// The whole: it is further behind than the deltas at hand, or on none of the versions they lead through.
    Whole(Version),
    /// The asker has a later version than this voter.
    Ahead,
}

/// Why a voter can't start.
#[derive(Debug, thiserror::Error)]
pub enum Start {
    /// Voters are 3 to [`bounds::VOTERS`], numbered from 1 to there without doubles, this one among them.
    #[error("voters are 3 to {} different numbers from 1, this one among them", bounds::VOTERS)]
    Voters,
    /// The store.
    #[error(transparent)]
    Store(#[from] StoreError),
}

struct Proposal {
    ticket: Ticket,
    change: Change,
    since: u64,
    /// The version it was sent on, and when last.
    sent: Option<(u64, u64)>,
}

/// One of the control machines. Every call that may write returns after the store did; messages that depend on it
/// are in [`Voter::outgoing`] only then.
pub struct Voter<S: Store> {
    id: VoterId,
    omni: OmniPaxos<Entry, Shared<S>>,
    shelf: Shared<S>,
    touch: Touch,
    start: u64,
    tick: u64,
    stopped: bool,
    replica: Replica,
    applied: usize,
    deltas: VecDeque<(Delta, usize)>,
    delta_bytes: usize,
    proposals: VecDeque<Proposal>,
    next_ticket: u64,
    settled: Vec<(Ticket, Outcome)>,
    outgoing: VecDeque<(VoterId, Vec<u8>)>,
    log_bound: usize,
}

impl<S: Store> Voter<S> {
    /// A voter with what its store holds. `seed` decides who is preferred when several could lead at once.
    ///
    /// # Errors
    /// When the numbers don't fit or the store fails.
    pub fn new(id: VoterId, voters: &[VoterId], store: S, seed: u64) -> Result<Voter<S>, Start> {
        let mut nodes = voters.to_vec();
        nodes.sort_unstable();
        nodes.dedup();
        let within = nodes.iter().all(|node| (1..=bounds::VOTERS as u64).contains(node));
        if nodes.len() != voters.len() || nodes.len() < 3 || !within || !nodes.contains(&id) {
            return Err(Start::Voters);
        }
        let shelf = Shared::new(Shelf::open(store)?);
        let start = shelf.lock().image.start;
        let peers: Vec<VoterId> = nodes.iter().copied().filter(|node| *node != id).collect();
        let cluster = ClusterConfig { configuration_id: 1, nodes, flexible_quorum: None };
        let server = ServerConfig {
            pid: id,
            election_tick_timeout: bounds::ROUND_TICKS,
            resend_message_tick_timeout: bounds::RESEND_TICKS,
            buffer_size: 64,
            leader_priority: u32::try_from((seed ^ id.wrapping_mul(0x9e37_79b9)) % 1_000).unwrap_or(0),
            ..ServerConfig::default()
        };
        let omni = cluster.build_for_server(server, shelf.clone()).map_err(|_| Start::Voters)?;
        let replica = shelf.lock().image.snapshot.clone();
        let applied = shelf.lock().image.compacted;
        let mut voter = Voter {
            id,
            omni,
            shelf,
            touch: Touch::new(start, peers.into_iter()),
            start,
            tick: 0,
            stopped: false,
            replica,
            applied,
            deltas: VecDeque::new(),
            delta_bytes: 0,
            proposals: VecDeque::new(),
            next_ticket: 1,
            settled: Vec::new(),
            outgoing: VecDeque::new(),
            log_bound: bounds::LOG,
        };
        voter.step(&[]);
        if voter.stopped { Err(Start::Store(StoreError::Refusing)) } else { Ok(voter) }
    }

    /// This voter's number.
    #[must_use]
    pub fn id(&self) -> VoterId {
        self.id
    }

    /// Folds the log into a snapshot whenever it has this many decided entries, 1 to [`bounds::LOG`].
    pub fn set_log_bound(&mut self, entries: usize) {
        self.log_bound = entries.clamp(1, bounds::LOG);
    }

    /// To be called at a steady pace, say every 100 ms. When the host was held up for longer, it tells the ticks that
    /// it missed by [`Voter::missed`] before it does anything else.
    pub fn tick(&mut self) {
        self.tick += 1;
        self.touch.pass(1);
        self.guarded(&[], OmniPaxos::tick);
        self.retry();
    }

    /// Ticks that the host missed: what was heard before counts as that much older.
    pub fn missed(&mut self, ticks: u64) {
        self.tick = self.tick.saturating_add(ticks);
        self.touch.pass(ticks);
    }

    /// Takes in a message of another voter. What isn't one is dropped.
    pub fn receive(&mut self, from: VoterId, bytes: &[u8]) {
        let Some(envelope) = Envelope::decode(bytes, from, self.id).filter(|_| !self.stopped) else { return };
        let verdict = self.touch.judge(from, &envelope);
        if verdict == Verdict::Drop {
            return;
        }
        let mut passing = Vec::new();
        if let Message::SequencePaxos(message) = &envelope.body {
            match &message.msg {
                PaxosMsg::ProposalForward(entries) if !self.takes_forwarded(entries) => return,
                PaxosMsg::AcceptSync(sync) => {
                    if sync.log_sync.sync_idx < self.omni.get_decided_idx() {
                        return;
                    }
                    if let Some(SnapshotType::Delta(Snapshot::Since(entries))) =
                        &sync.log_sync.decided_snapshot
                    {
                        passing.clone_from(entries);
                    }
                }
                _ => {}
            }
        }
        self.guarded(&passing, |omni| {
            omni.handle_incoming(envelope.body);
            if verdict == Verdict::TakeAndReconnect {
                omni.reconnected(from);
            }
        });
    }

    /// Messages to send, with their receivers. Each may get lost.
    pub fn outgoing(&mut self) -> Vec<(VoterId, Vec<u8>)> {
        self.outgoing.drain(..).collect()
    }

    /// Proposes a change. What becomes of it is told by [`Voter::settled`].
    ///
    /// # Errors
    /// Why not; nothing has changed then.
    pub fn propose(&mut self, change: Change, check: &dyn Check) -> Result<Ticket, Refused> {
        if self.stopped {
            return Err(Refused::Stopped);
        }
        if !self.has_majority() {
            return Err(Refused::NoMajority);
        }
        if self.proposals.len() >= bounds::PROPOSALS {
            return Err(Refused::TooMany);
        }
        whole(&change, &self.replica.version.document, check).map_err(Refused::Faulty)?;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.proposals.push_back(Proposal { ticket, change, since: self.tick, sent: None });
        self.send_next(check);
        Ok(ticket)
    }

    /// What became of proposals since the last call. To be called after each message and tick: it is here that a
    /// change that was overtaken by another is checked on the version that is there now, and sent again or void.
    pub fn settled(&mut self, check: &dyn Check) -> Vec<(Ticket, Outcome)> {
        self.send_next(check);
        std::mem::take(&mut self.settled)
    }

    /// The latest version that this voter knows to be decided.
    #[must_use]
    pub fn agreed(&self) -> &Version {
        &self.replica.version
    }

    /// Whether this voter is in touch with a majority and has all that its leader had when last heard. It turns
    /// false at most [`bounds::LAPSE_TICKS`] after the voter was cut off.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        if self.stopped {
            return false;
        }
        match self.omni.get_current_leader() {
            Some((leader, true)) if leader == self.id => self.touch.is_followed(self.id),
            Some((leader, true)) => self.touch.follows(leader, self.omni.get_decided_idx()),
            _ => false,
        }
    }

    /// Whom this voter follows, itself included.
    #[must_use]
    pub fn leader(&self) -> Option<VoterId> {
        self.omni.get_current_leader().map(|(leader, _)| leader)
    }

    /// Whether the store failed (or the log broke); such a voter is silent until it is started anew.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Bytes that the store takes up.
    #[must_use]
    pub fn store_bytes(&self) -> u64 {
        self.shelf.lock().bytes()
    }

    /// What a learner lacks that has this version.
    #[must_use]
    pub fn since(&self, seq: u64, digest: Digest) -> Answer {
        let version = &self.replica.version;
        if seq > version.seq {
            return Answer::Ahead;
        }
        if (seq, digest) == (version.seq, version.digest) {
            return Answer::Level;
        }
        let lacking = usize::try_from(version.seq - seq).unwrap_or(usize::MAX);
        let deltas = self.deltas.len().checked_sub(lacking).map(|first| self.deltas.iter().skip(first));
        let whole = crate::document::size(&version.document);
        match deltas {
            Some(deltas)
                if deltas.clone().next().is_some_and(|(delta, _)| delta.from_digest == digest)
                    && deltas.clone().map(|(_, bytes)| bytes).sum::<usize>() <= whole =>
            {
                Answer::Deltas(deltas.map(|(delta, _)| delta.clone()).collect())
            }
            _ => Answer::Whole(version.clone()),
        }
    }

    /// A leader takes a forwarded proposal only within the bounds.
    fn takes_forwarded(&self, entries: &[Entry]) -> bool {
        let leads = self.omni.get_current_leader() == Some((self.id, true));
        let bytes: usize = entries.iter().map(|entry| entry.change.bytes()).sum();
        leads && self.undecided() < bounds::UNDECIDED && bytes <= 2 * bounds::DOCUMENT_BYTES
    }

    fn undecided(&self) -> usize {
        self.omni.get_accepted_idx().saturating_sub(self.omni.get_decided_idx())
    }

    /// Lets the consensus crate act, then takes up what came of it. The crate panics on what it holds for impossible:
    /// a voter to which that happens is silent from then on.
    fn guarded(&mut self, passing: &[Entry], act: impl FnOnce(&mut OmniPaxos<Entry, Shared<S>>)) {
        if self.stopped {
            return;
        }
        if catch_unwind(AssertUnwindSafe(|| act(&mut self.omni))).is_err() {
            self.stop();
            return;
        }
        self.step(passing);
    }

    fn stop(&mut self) {
        self.stopped = true;
        self.outgoing.clear();
        let unknown = |p: Proposal| (p.ticket, Outcome::Unknown { sent: p.sent.is_some() });
        self.settled.extend(self.proposals.drain(..).map(unknown));
    }

    fn step(&mut self, passing: &[Entry]) {
        if self.shelf.lock().commit().is_err() {
            self.stop();
            return;
        }
        self.advance(passing);
        if self.shelf.lock().is_long(self.log_bound) {
            let folded = self.omni.snapshot(None, true).is_ok();
            if !folded || self.shelf.lock().commit().is_err() {
                self.stop();
                return;
            }
        }
        let mut messages = Vec::new();
        self.omni.take_outgoing_messages(&mut messages);
        let leader = self.omni.get_current_leader();
        let own = Own {
            decided: self.omni.get_decided_idx(),
            leader: leader.filter(|(_, accepts)| *accepts).map_or(0, |(leader, _)| leader),
            leads: leader == Some((self.id, true)) && self.touch.is_followed(self.id),
        };
        for message in messages {
            let wrapped = self.touch.wrap(message, own);
            if let Some((to, bytes)) = wrapped.and_then(|(to, envelope)| Some((to, envelope.encode()?))) {
                self.outgoing.push_back((to, bytes));
            }
        }
        while self.outgoing.len() > bounds::OUTGOING {
            self.outgoing.pop_front();
        }
    }

    /// Takes in what was decided.
    fn advance(&mut self, passing: &[Entry]) {
        let shelf = self.shelf.clone();
        let shelf = shelf.lock();
        let image = &shelf.image;
        if self.applied < image.compacted {
            // Skipped by a snapshot: the deltas go on only when the entries that led there were seen on the way.
            for entry in passing {
                self.take(entry);
            }
            if self.replica.version != image.snapshot.version {
                self.deltas.clear();
                self.delta_bytes = 0;
            }
            self.replica = image.snapshot.clone();
            self.applied = image.compacted;
        }
        let decided = image.decided.min(image.end());
        for entry in image.entries(self.applied, decided) {
            self.take(entry);
        }
        self.applied = self.applied.max(decided);
        drop(shelf);
        self.settle();
    }

    fn take(&mut self, entry: &Entry) {
        let Some(delta) = self.replica.take(entry) else { return };
        let bytes = delta.change.bytes();
        self.delta_bytes += bytes;
        self.deltas.push_back((delta, bytes));
        while self.deltas.len() > bounds::DELTAS || self.delta_bytes > bounds::DELTA_BYTES {
            let Some((_, bytes)) = self.deltas.pop_front() else { break };
            self.delta_bytes -= bytes;
        }
        self.settle();
    }

    fn proposal_id(&self, ticket: Ticket) -> ProposalId {
        ProposalId { voter: self.id, start: self.start, number: ticket.0 }
    }

    /// Tells the proposer when its proposal counted.
    fn settle(&mut self) {
        let Some(first) = self.proposals.front() else { return };
        if let Some(mark) = self.replica.made_by(self.proposal_id(first.ticket)) {
            self.settled.push((first.ticket, Outcome::Agreed { seq: mark.seq, digest: mark.digest }));
            self.proposals.pop_front();
        }
    }

    /// Sends the first proposal when it wasn't yet, or when it was overtaken and can't count any more.
    fn send_next(&mut self, check: &dyn Check) {
        while let Some(first) = self.proposals.front() {
            let here = self.replica.version.seq;
            if self.stopped || first.sent.is_some_and(|(base, _)| base == here) || !self.has_majority() {
                return;
            }
            if let Err(fault) = whole(&first.change, &self.replica.version.document, check) {
                self.settled.push((first.ticket, Outcome::Void(fault)));
                self.proposals.pop_front();
                continue;
            }
            self.send(here);
            return;
        }
    }

    /// Sends the first proposal, unless too many entries wait for a decision.
    fn send(&mut self, base: u64) {
        if self.undecided() >= bounds::UNDECIDED {
            return;
        }
        let (tick, start, voter) = (self.tick, self.start, self.id);
        let Some(first) = self.proposals.front_mut() else { return };
        first.sent = Some((base, tick));
        let id = ProposalId { voter, start, number: first.ticket.0 };
        let entry = Entry { id, base, change: first.change.clone() };
        self.guarded(&[], |omni| {
            // Refused only while the five are being changed, which isn't done.
            let _ = omni.append(entry);
        });
    }

    /// Sends again what may have got lost, and gives up what took too long.
    fn retry(&mut self) {
        while let Some(first) = self.proposals.front() {
            if self.tick - first.since < bounds::GIVE_UP_TICKS {
                break;
            }
            self.settled.push((first.ticket, Outcome::Unknown { sent: first.sent.is_some() }));
            self.proposals.pop_front();
        }
        let Some((base, at)) = self.proposals.front().and_then(|first| first.sent) else { return };
        if base == self.replica.version.seq && self.tick - at >= bounds::RETRY_TICKS && self.has_majority() {
            self.send(base);
        }
    }
}

fn whole(change: &Change, document: &Document, check: &dyn Check) -> Result<(), Fault> {
    let whole = change.on(document);
    within_bounds(&whole)?;
    check.check(&whole)
}
