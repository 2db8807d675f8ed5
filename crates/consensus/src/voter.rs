//! A voter: one of the control machines that agree on the configuration.

use crate::change::{Change, Version};
use crate::digest::Digest;
use crate::document::{Check, Document, ValidationError, check_change_limits, check_document_limits};
use crate::envelope::Envelope;
use crate::history::History;
use crate::limits;
use crate::log_storage::{LogStorage, SharedLogStorage};
use crate::outcome::{CatchUp, Outcome, ProposeError, StartError, Ticket, VoterId};
use crate::proposals::Proposals;
use crate::replica::{Entry, ProposalId, Snapshot};
use crate::sessions::{Sessions, Verdict, VoterStatus};
use crate::store::{Store, StoreError};
use omnipaxos::messages::Message;
use omnipaxos::messages::sequence_paxos::PaxosMsg;
use omnipaxos::storage::SnapshotType;
use omnipaxos::util::LogSync;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// A voter. Every method that may write returns only after the store has completed the writes.
/// [`Voter::take_outgoing`] returns a message that depends on a write only after this write.
pub struct Voter<S: Store> {
    id: VoterId,
    omni_paxos: OmniPaxos<Entry, SharedLogStorage<S>>,
    log_storage: SharedLogStorage<S>,
    sessions: Sessions,
    /// The number of starts of this voter, including the current one. It distinguishes the proposals of different starts.
    start: u64,
    tick: u64,
    /// True if the store failed or the consensus library panicked.
    stopped: bool,
    history: History,
    proposals: Proposals,
    /// Encoded messages for the host to send.
    outgoing: VecDeque<(VoterId, Vec<u8>)>,
    /// The number of decided entries at which the log is compacted.
    max_log_entries: usize,
    /// The tick at which this leader noticed that a peer has a higher ballot; `None` if no peer has one.
    higher_ballot_since: Option<u64>,
}

impl<S: Store> Voter<S> {
    /// Creates a voter with the content of its store. `seed` determines which voter is preferred if several could
    /// become the leader at once.
    ///
    /// # Errors
    /// If the voter numbers are invalid or the store fails.
    pub fn new(id: VoterId, voters: &[VoterId], store: S, seed: u64) -> Result<Voter<S>, StartError> {
        let mut nodes = voters.to_vec();
        nodes.sort_unstable();
        nodes.dedup();
        let ids_valid = nodes.iter().all(|node| (1..=limits::MAX_VOTERS as u64).contains(node));
        if nodes.len() != voters.len() || nodes.len() < 3 || !ids_valid || !nodes.contains(&id) {
            return Err(StartError::Voters);
        }
        let log_storage = SharedLogStorage::new(LogStorage::open(store)?);
        let start = log_storage.lock().state.start;
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
        let omni_paxos =
            cluster.build_for_server(server, log_storage.clone()).map_err(|_| StartError::Voters)?;
        let history = History::from_log(&log_storage.lock().state);
        let mut voter = Voter {
            id,
            omni_paxos,
            log_storage,
            sessions: Sessions::new(start, peers.into_iter()),
            start,
            tick: 0,
            stopped: false,
            history,
            proposals: Proposals::default(),
            outgoing: VecDeque::new(),
            max_log_entries: limits::MAX_DECIDED_LOG_ENTRIES,
            higher_ballot_since: None,
        };
        voter.process_results(&[]);
        if voter.stopped { Err(StartError::Store(StoreError::Failed)) } else { Ok(voter) }
    }

    /// The number of this voter.
    #[must_use]
    pub fn id(&self) -> VoterId {
        self.id
    }

    /// Sets the number of decided entries at which the log is compacted into a snapshot, clamped to 1 to
    /// [`limits::MAX_DECIDED_LOG_ENTRIES`].
    pub fn set_max_log_entries(&mut self, entries: usize) {
        self.max_log_entries = entries.clamp(1, limits::MAX_DECIDED_LOG_ENTRIES);
    }

    /// Advances the time by one tick. The host calls this at a steady interval, such as 100 ms. A host that was
    /// delayed for longer first reports the missed ticks by [`Voter::skip_ticks`].
    pub fn tick(&mut self) {
        self.tick += 1;
        self.sessions.advance_ticks(1);
        self.run_consensus(&[], OmniPaxos::tick);
        self.exceed_higher_ballot();
        self.proposals.expire(self.tick);
        let seq = self.decided_version().seq;
        if self.proposals.needs_resend(seq, self.tick) && self.has_majority() {
            self.send_first(seq);
        }
    }

    /// Records ticks that the host missed. The age of every message received before grows by `ticks`.
    pub fn skip_ticks(&mut self, ticks: u64) {
        self.tick = self.tick.saturating_add(ticks);
        self.sessions.advance_ticks(ticks);
    }

    /// Processes a message of another voter. Invalid messages are ignored.
    pub fn receive(&mut self, from: VoterId, bytes: &[u8]) {
        let Some(envelope) = Envelope::decode(bytes, from, self.id).filter(|_| !self.stopped) else { return };
        let verdict = self.sessions.classify(from, &envelope);
        if verdict == Verdict::Drop {
            return;
        }
        let mut message = envelope.message;
        let skipped_entries = match &mut message {
            Message::SequencePaxos(message) => match &mut message.msg {
                PaxosMsg::ProposalForward(entries) if !self.accepts_forwarded(entries) => return,
                PaxosMsg::AcceptSync(sync) if sync.log_sync.sync_idx < self.omni_paxos.get_decided_idx() => {
                    return;
                }
                PaxosMsg::AcceptSync(sync) => self.complete_snapshot(&mut sync.log_sync),
                PaxosMsg::Promise(promise) => {
                    if self.is_leader() {
                        // A leader that already accepts entries must not adopt a log from a late promise, since its
                        // own log may have advanced since.
                        promise.log_sync = None;
                    }
                    promise.log_sync.as_mut().map_or(Some(vec![]), |sync| self.complete_snapshot(sync))
                }
                _ => Some(vec![]),
            },
            Message::BLE(_) => Some(vec![]),
        };
        let Some(skipped_entries) = skipped_entries else { return };
        self.run_consensus(&skipped_entries, |omni_paxos| {
            omni_paxos.handle_incoming(message);
            if verdict == Verdict::AcceptAndReconnect {
                omni_paxos.reconnected(from);
            }
        });
    }

    /// Returns the messages to send, with their receivers. Each of them may be lost.
    pub fn take_outgoing(&mut self) -> Vec<(VoterId, Vec<u8>)> {
        self.outgoing.drain(..).collect()
    }

    /// Proposes a change. [`Voter::take_outcomes`] returns its outcome.
    ///
    /// # Errors
    /// The reason why the change was not accepted as a proposal. Nothing has changed then.
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
        validate_change(&change, &self.decided_version().document, check).map_err(ProposeError::Invalid)?;
        let ticket = self.proposals.push(change, self.tick);
        self.send_next(check);
        Ok(ticket)
    }

    /// Returns the outcomes of proposals since the last call. The host calls this after each message and each tick,
    /// because this call also handles a proposal that was not decided before another change: it validates the proposal
    /// against the new version and sends it again, or finishes it as invalidated.
    pub fn take_outcomes(&mut self, check: &dyn Check) -> Vec<(Ticket, Outcome)> {
        self.send_next(check);
        self.proposals.take_outcomes()
    }

    /// The latest version that this voter knows to be decided.
    #[must_use]
    pub fn decided_version(&self) -> &Version {
        self.history.version()
    }

    /// Returns whether this voter is in contact with a majority and has all entries that its leader had at the last
    /// contact. Becomes false at most [`limits::MAJORITY_LOSS_TICKS`] ticks after the voter was disconnected.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        if self.stopped {
            return false;
        }
        match self.omni_paxos.get_current_leader() {
            Some((leader, true)) if leader == self.id => self.sessions.has_follower_majority(self.id),
            Some((leader, true)) => {
                self.sessions.is_up_to_date_with(leader, self.omni_paxos.get_decided_idx())
            }
            _ => false,
        }
    }

    /// The number of the voter that this one follows, which may be its own number.
    #[must_use]
    pub fn leader(&self) -> Option<VoterId> {
        self.omni_paxos.get_current_leader().map(|(leader, _)| leader)
    }

    /// Returns whether the voter has stopped because its store failed or its log became inconsistent. A stopped voter
    /// sends nothing until it is restarted.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// The number of log entries that are not compacted into the snapshot.
    #[must_use]
    pub fn log_entries(&self) -> usize {
        self.log_storage.lock().state.log.len()
    }

    /// The size of the store in bytes.
    #[must_use]
    pub fn store_bytes(&self) -> u64 {
        self.log_storage.lock().store_bytes()
    }

    /// The changes that a learner with this version lacks.
    #[must_use]
    pub fn changes_since(&self, seq: u64, digest: Digest) -> CatchUp {
        self.history.changes_since(seq, digest)
    }

    /// Replaces a message's partial snapshot (only the entries after this voter's decided ones) with a complete one, and
    /// returns these entries. Returns `None` if the entries do not directly follow this voter's decided entries. The
    /// consensus library could merge the entries itself, but it would merge them with a snapshot of this voter's log
    /// up to the sender's decided index. That part of this voter's log may be shorter, or contain other entries.
    fn complete_snapshot(&self, sync: &mut LogSync<Entry>) -> Option<Vec<Entry>> {
        let Some(SnapshotType::Delta(Snapshot::Entries(entries))) = &mut sync.decided_snapshot else {
            return Some(vec![]);
        };
        let entries = std::mem::take(entries);
        if self.omni_paxos.get_decided_idx().checked_add(entries.len()) != Some(sync.sync_idx) {
            return None;
        }
        let mut replica = self.history.replica().clone();
        replica.apply_all(&entries);
        sync.decided_snapshot = Some(SnapshotType::Complete(Snapshot::Full(replica)));
        Some(entries)
    }

    /// Returns whether to accept a forwarded proposal: only as the leader, and only within the limits.
    fn accepts_forwarded(&self, entries: &[Entry]) -> bool {
        let bytes: usize = entries.iter().map(|entry| entry.change.size_bytes()).sum();
        self.is_leader()
            && self.undecided_entry_count() < limits::MAX_UNDECIDED_ENTRIES
            && bytes <= limits::MAX_CHANGE_BYTES
    }

    /// Starts a higher ballot if a peer has had a higher one for [`limits::HIGHER_BALLOT_DELAY_TICKS`]. Such a peer has
    /// promised its ballot to another voter. If that voter disappears before it has a majority, the peer waits for it
    /// forever, since the consensus library does not replace a leader that a majority follows.
    fn exceed_higher_ballot(&mut self) {
        let higher_ballot_known = !self.stopped
            && self.is_leader()
            && self.sessions.is_higher_ballot_known(self.id, self.omni_paxos.get_promise());
        if !higher_ballot_known {
            self.higher_ballot_since = None;
            return;
        }
        if self.tick - *self.higher_ballot_since.get_or_insert(self.tick) >= limits::HIGHER_BALLOT_DELAY_TICKS
        {
            self.higher_ballot_since = None;
            self.run_consensus(&[], OmniPaxos::try_become_leader);
        }
    }

    /// Returns whether this voter is the leader and ready to accept entries.
    fn is_leader(&self) -> bool {
        self.omni_paxos.get_current_leader() == Some((self.id, true))
    }

    /// The number of entries that are accepted but not decided.
    fn undecided_entry_count(&self) -> usize {
        self.omni_paxos.get_accepted_idx().saturating_sub(self.omni_paxos.get_decided_idx())
    }

    /// Runs the consensus library and processes its results. The library panics on states that it considers
    /// impossible. The voter stops after such a panic. `skipped_entries` are the entries of a message whose snapshot
    /// replaces them.
    fn run_consensus(
        &mut self,
        skipped_entries: &[Entry],
        action: impl FnOnce(&mut OmniPaxos<Entry, SharedLogStorage<S>>),
    ) {
        if self.stopped {
            return;
        }
        if catch_unwind(AssertUnwindSafe(|| action(&mut self.omni_paxos))).is_err() {
            self.stop();
            return;
        }
        self.process_results(skipped_entries);
    }

    /// Stops the voter until it is restarted. Pending proposals end with an unknown outcome.
    fn stop(&mut self) {
        self.stopped = true;
        self.outgoing.clear();
        self.proposals.abandon_all();
    }

    /// Commits the writes of the consensus library, applies decided entries, compacts the log if necessary, and
    /// queues the outgoing messages.
    fn process_results(&mut self, skipped_entries: &[Entry]) {
        if self.log_storage.lock().commit().is_err() {
            self.stop();
            return;
        }
        self.history.advance(&self.log_storage.lock().state, skipped_entries);
        let first = self.proposals.first().map(|first| self.proposal_id(first.ticket));
        if let Some(version) = first.and_then(|id| self.history.replica().version_made_by(id)) {
            self.proposals.finish_decided(version);
        }
        if self.log_storage.lock().needs_compaction(self.max_log_entries) {
            let compacted = self.omni_paxos.snapshot(None, true).is_ok();
            if !compacted || self.log_storage.lock().commit().is_err() {
                self.stop();
                return;
            }
        }
        let mut messages = Vec::new();
        self.omni_paxos.take_outgoing_messages(&mut messages);
        let leader = self.omni_paxos.get_current_leader();
        let status = VoterStatus {
            decided_index: self.omni_paxos.get_decided_idx(),
            leader: leader.filter(|(_, accepts)| *accepts).map_or(0, |(leader, _)| leader),
            has_majority: self.is_leader() && self.sessions.has_follower_majority(self.id),
        };
        for message in messages {
            let envelope = self.sessions.wrap(message, status);
            if let Some((to, bytes)) = envelope.and_then(|(to, envelope)| Some((to, envelope.encode()?))) {
                self.outgoing.push_back((to, bytes));
            }
        }
        while self.outgoing.len() > limits::MAX_OUTGOING_MESSAGES {
            self.outgoing.pop_front();
        }
    }

    /// The identifier of a proposal across all voters.
    fn proposal_id(&self, ticket: Ticket) -> ProposalId {
        ProposalId { voter: self.id, start: self.start, number: ticket.0 }
    }

    /// Sends the first proposal if it has not been sent for the current version, either because the proposal is new or
    /// because another change was decided first. A proposal that is invalid for the current version is finished, and the
    /// next one is tried.
    fn send_next(&mut self, check: &dyn Check) {
        while !self.stopped && self.has_majority() {
            let version = self.history.version();
            let Some(first) = self.proposals.first_unsent(version.seq) else { return };
            match validate_change(&first.change, &version.document, check) {
                Ok(()) => return self.send_first(version.seq),
                Err(error) => self.proposals.finish_first(Outcome::Invalidated(error)),
            }
        }
    }

    /// Sends the first proposal, unless there are too many undecided entries.
    fn send_first(&mut self, base: u64) {
        let Some(first) =
            self.proposals.first().filter(|_| self.undecided_entry_count() < limits::MAX_UNDECIDED_ENTRIES)
        else {
            return;
        };
        let entry = Entry { id: self.proposal_id(first.ticket), base, change: first.change.clone() };
        self.proposals.mark_sent(base, self.tick);
        self.run_consensus(&[], |omni_paxos| {
            // Rejected only during a change of the set of voters, which is never started.
            let _ = omni_paxos.append(entry);
        });
    }
}

/// Validates a change against the limits of this crate and against the program's check.
fn validate_change(change: &Change, document: &Document, check: &dyn Check) -> Result<(), ValidationError> {
    check_change_limits(change)?;
    let result = change.applied_to(document);
    check_document_limits(&result)?;
    check.check(&result)
}
