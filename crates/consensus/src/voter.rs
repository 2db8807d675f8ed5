//! One of the control machines that decide together.

use crate::change::{Change, Version};
use crate::digest::Digest;
use crate::document::{Check, Document, ValidationError, change_within_bounds, within_bounds};
use crate::envelope::Envelope;
use crate::history::History;
use crate::limits;
use crate::log_storage::{LogStorage, Shared};
use crate::outcome::{CatchUp, Outcome, ProposeError, StartError, Ticket, VoterId};
use crate::proposals::Proposals;
use crate::replica::{Entry, ProposalId, Snapshot};
use crate::sessions::{Own, Sessions, Verdict};
use crate::store::{Store, StoreError};
use omnipaxos::messages::Message;
use omnipaxos::messages::sequence_paxos::PaxosMsg;
use omnipaxos::storage::SnapshotType;
use omnipaxos::util::LogSync;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// One of the control machines. Every call that may write returns after the store did; messages that depend on it
/// are in [`Voter::take_outgoing`] only then.
pub struct Voter<S: Store> {
    id: VoterId,
    omni: OmniPaxos<Entry, Shared<S>>,
    log_storage: Shared<S>,
    sessions: Sessions,
    start: u64,
    tick: u64,
    stopped: bool,
    history: History,
    proposals: Proposals,
    outgoing: VecDeque<(VoterId, Vec<u8>)>,
    log_bound: usize,
    surpassed_since: Option<u64>,
}

impl<S: Store> Voter<S> {
    /// A voter with what its store holds. `seed` decides who is preferred when several could lead at once.
    ///
    /// # Errors
    /// When the numbers don't fit or the store fails.
    pub fn new(id: VoterId, voters: &[VoterId], store: S, seed: u64) -> Result<Voter<S>, StartError> {
        let mut nodes = voters.to_vec();
        nodes.sort_unstable();
        nodes.dedup();
        let within = nodes.iter().all(|node| (1..=limits::MAX_VOTERS as u64).contains(node));
        if nodes.len() != voters.len() || nodes.len() < 3 || !within || !nodes.contains(&id) {
            return Err(StartError::Voters);
        }
        let log_storage = Shared::new(LogStorage::open(store)?);
        let start = log_storage.lock().image.start;
        let peers: Vec<VoterId> = nodes.iter().copied().filter(|node| *node != id).collect();
        let cluster = ClusterConfig { configuration_id: 1, nodes, flexible_quorum: None };
        let server = ServerConfig {
            pid: id,
            election_tick_timeout: limits::HEARTBEAT_ROUND_TICKS,
            resend_message_tick_timeout: limits::ELECTION_RESEND_TICKS,
            buffer_size: 64,
            leader_priority: u32::try_from((seed ^ id.wrapping_mul(0x9e37_79b9)) % 1_000).unwrap_or(0),
            ..ServerConfig::default()
        };
        let omni = cluster.build_for_server(server, log_storage.clone()).map_err(|_| StartError::Voters)?;
        let history = History::of(&log_storage.lock().image);
        let mut voter = Voter {
            id,
            omni,
            log_storage,
            sessions: Sessions::new(start, peers.into_iter()),
            start,
            tick: 0,
            stopped: false,
            history,
            proposals: Proposals::default(),
            outgoing: VecDeque::new(),
            log_bound: limits::MAX_DECIDED_LOG_ENTRIES,
            surpassed_since: None,
        };
        voter.step(&[]);
        if voter.stopped { Err(StartError::Store(StoreError::Refusing)) } else { Ok(voter) }
    }

    /// This voter's number.
    #[must_use]
    pub fn id(&self) -> VoterId {
        self.id
    }

    /// Folds the log into a snapshot whenever it has this many decided entries, 1 to [`limits::MAX_DECIDED_LOG_ENTRIES`].
    pub fn set_max_log_entries(&mut self, entries: usize) {
        self.log_bound = entries.clamp(1, limits::MAX_DECIDED_LOG_ENTRIES);
    }

    /// To be called at a steady pace, say every 100 ms. When the host was held up for longer, it tells the ticks that
    /// it missed by [`Voter::skip_ticks`] before it does anything else.
    pub fn tick(&mut self) {
        self.tick += 1;
        self.sessions.pass(1);
        self.guarded(&[], OmniPaxos::tick);
        self.pass_promises();
        self.proposals.give_up(self.tick);
        let seq = self.decided_version().seq;
        if self.proposals.is_due_again(seq, self.tick) && self.has_majority() {
            self.send(seq);
        }
    }

    /// Ticks that the host missed: what was heard before counts as that much older.
    pub fn skip_ticks(&mut self, ticks: u64) {
        self.tick = self.tick.saturating_add(ticks);
        self.sessions.pass(ticks);
    }

    /// Takes in a message of another voter. What isn't one is dropped.
    pub fn receive(&mut self, from: VoterId, bytes: &[u8]) {
        let Some(envelope) = Envelope::decode(bytes, from, self.id).filter(|_| !self.stopped) else { return };
        let verdict = self.sessions.judge(from, &envelope);
        if verdict == Verdict::Drop {
            return;
        }
        let mut body = envelope.body;
        let passing = match &mut body {
            Message::SequencePaxos(message) => match &mut message.msg {
                PaxosMsg::ProposalForward(entries) if !self.takes_forwarded(entries) => return,
                PaxosMsg::AcceptSync(sync) if sync.log_sync.sync_idx < self.omni.get_decided_idx() => return,
                PaxosMsg::AcceptSync(sync) => self.complete(&mut sync.log_sync),
                PaxosMsg::Promise(promise) => {
                    if self.leads() {
                        // A leader that accepts takes no log from a late promise; it may have moved on since.
                        promise.log_sync = None;
                    }
                    promise.log_sync.as_mut().map_or(Some(vec![]), |sync| self.complete(sync))
                }
                _ => Some(vec![]),
            },
            Message::BLE(_) => Some(vec![]),
        };
        let Some(passing) = passing else { return };
        self.guarded(&passing, |omni| {
            omni.handle_incoming(body);
            if verdict == Verdict::TakeAndReconnect {
                omni.reconnected(from);
            }
        });
    }

    /// Messages to send, with their receivers. Each may get lost.
    pub fn take_outgoing(&mut self) -> Vec<(VoterId, Vec<u8>)> {
        self.outgoing.drain(..).collect()
    }

    /// Proposes a change. What becomes of it is told by [`Voter::take_outcomes`].
    ///
    /// # Errors
    /// Why not; nothing has changed then.
    pub fn propose(&mut self, change: Change, check: &dyn Check) -> Result<Ticket, ProposeError> {
        if self.stopped {
            return Err(ProposeError::Stopped);
        }
        if !self.has_majority() {
            return Err(ProposeError::NoMajority);
        }
        if self.proposals.is_full() {
            return Err(ProposeError::TooManyProposals);
        }
        usable(&change, &self.decided_version().document, check).map_err(ProposeError::Invalid)?;
        let ticket = self.proposals.push(change, self.tick);
        self.send_next(check);
        Ok(ticket)
    }

    /// What became of proposals since the last call. To be called after each message and tick: it is here that a
    /// change that was overtaken by another is checked on the version that is there now, and sent again or void.
    pub fn take_outcomes(&mut self, check: &dyn Check) -> Vec<(Ticket, Outcome)> {
        self.send_next(check);
        self.proposals.take_settled()
    }

    /// The latest version that this voter knows to be decided.
    #[must_use]
    pub fn decided_version(&self) -> &Version {
        self.history.version()
    }

    /// Whether this voter is in touch with a majority and has all that its leader had when last heard. It turns
    /// false at most [`limits::MAJORITY_LOSS_TICKS`] after the voter was cut off.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        if self.stopped {
            return false;
        }
        match self.omni.get_current_leader() {
            Some((leader, true)) if leader == self.id => self.sessions.is_followed(self.id),
            Some((leader, true)) => self.sessions.follows(leader, self.omni.get_decided_idx()),
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

    /// Entries of the log that aren't folded into its snapshot.
    #[must_use]
    pub fn log_entries(&self) -> usize {
        self.log_storage.lock().image.log.len()
    }

    /// Bytes that the store takes up.
    #[must_use]
    pub fn store_bytes(&self) -> u64 {
        self.log_storage.lock().bytes()
    }

    /// What a learner lacks that has this version.
    #[must_use]
    pub fn changes_since(&self, seq: u64, digest: Digest) -> CatchUp {
        self.history.changes_since(seq, digest)
    }

    /// Makes the snapshot of a message whole when it holds only the entries since this voter's decided ones, and
    /// returns these; none when they don't follow them. The consensus crate would merge them itself, but onto a
    /// snapshot of its log up to the other's decided index, of which this voter may have less, or other entries.
    fn complete(&self, sync: &mut LogSync<Entry>) -> Option<Vec<Entry>> {
        let Some(SnapshotType::Delta(Snapshot::Since(entries))) = &mut sync.decided_snapshot else {
            return Some(vec![]);
        };
        let entries = std::mem::take(entries);
        if self.omni.get_decided_idx().checked_add(entries.len()) != Some(sync.sync_idx) {
            return None;
        }
        let mut replica = self.history.replica().clone();
        replica.take_all(&entries);
        sync.decided_snapshot = Some(SnapshotType::Complete(Snapshot::Whole(replica)));
        Some(entries)
    }

    /// A leader takes a forwarded proposal only within the bounds.
    fn takes_forwarded(&self, entries: &[Entry]) -> bool {
        let bytes: usize = entries.iter().map(|entry| entry.change.bytes()).sum();
        self.leads() && self.undecided() < limits::MAX_UNDECIDED_ENTRIES && bytes <= limits::MAX_CHANGE_BYTES
    }

    /// A voter that promised more than this leader's ballot, to one that went away before a majority did, waits for
    /// that one for ever: the consensus crate changes no leader that a majority follows. So the leader, when it sees
    /// such a voter for long enough, leads on by a higher ballot.
    fn pass_promises(&mut self) {
        let surpassed =
            !self.stopped && self.leads() && self.sessions.is_surpassed(self.id, self.omni.get_promise());
        if !surpassed {
            self.surpassed_since = None;
            return;
        }
        if self.tick - *self.surpassed_since.get_or_insert(self.tick) >= limits::HIGHER_BALLOT_DELAY_TICKS {
            self.surpassed_since = None;
            self.guarded(&[], OmniPaxos::try_become_leader);
        }
    }

    /// Whether this voter leads and has got so far as to accept entries.
    fn leads(&self) -> bool {
        self.omni.get_current_leader() == Some((self.id, true))
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
        self.proposals.give_up_all();
    }

    fn step(&mut self, passing: &[Entry]) {
        if self.log_storage.lock().commit().is_err() {
            self.stop();
            return;
        }
        self.history.advance(&self.log_storage.lock().image, passing);
        let first = self.proposals.first().map(|first| self.proposal_id(first.ticket));
        if let Some(mark) = first.and_then(|id| self.history.replica().made_by(id)) {
            self.proposals.agree(mark);
        }
        if self.log_storage.lock().is_long(self.log_bound) {
            let folded = self.omni.snapshot(None, true).is_ok();
            if !folded || self.log_storage.lock().commit().is_err() {
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
            leads: self.leads() && self.sessions.is_followed(self.id),
        };
        for message in messages {
            let wrapped = self.sessions.wrap(message, own);
            if let Some((to, bytes)) = wrapped.and_then(|(to, envelope)| Some((to, envelope.encode()?))) {
                self.outgoing.push_back((to, bytes));
            }
        }
        while self.outgoing.len() > limits::MAX_OUTGOING_MESSAGES {
            self.outgoing.pop_front();
        }
    }

    fn proposal_id(&self, ticket: Ticket) -> ProposalId {
        ProposalId { voter: self.id, start: self.start, number: ticket.0 }
    }

    /// Sends the first proposal when it wasn't yet, or when it was overtaken and can't count any more.
    fn send_next(&mut self, check: &dyn Check) {
        while !self.stopped && self.has_majority() {
            let version = self.history.version();
            let Some(first) = self.proposals.unsent(version.seq) else { return };
            match usable(&first.change, &version.document, check) {
                Ok(()) => return self.send(version.seq),
                Err(fault) => self.proposals.settle(Outcome::Invalidated(fault)),
            }
        }
    }

    /// Sends the first proposal, unless too many entries wait for a decision.
    fn send(&mut self, base: u64) {
        let Some(first) = self.proposals.first().filter(|_| self.undecided() < limits::MAX_UNDECIDED_ENTRIES)
        else {
            return;
        };
        let entry = Entry { id: self.proposal_id(first.ticket), base, change: first.change.clone() };
        self.proposals.mark_sent(base, self.tick);
        self.guarded(&[], |omni| {
            // Refused only while the five are being changed, which isn't done.
            let _ = omni.append(entry);
        });
    }
}

fn usable(change: &Change, document: &Document, check: &dyn Check) -> Result<(), ValidationError> {
    change_within_bounds(change)?;
    let whole = change.on(document);
    within_bounds(&whole)?;
    check.check(&whole)
}
