//! The queue of a voter's proposals. Only the first one is sent; the others wait until it is finished.

use crate::change::Change;
use crate::limits;
use crate::outcome::{Outcome, Ticket};
use crate::replica::VersionMark;
use std::collections::VecDeque;

/// A proposed change that is not finished.
pub(crate) struct Proposal {
    pub(crate) ticket: Ticket,
    pub(crate) change: Change,
    /// The tick at which the proposal was created.
    created_at: u64,
    /// The number of the version on which the proposal was last sent, and the tick at which it was sent; `None` before.
    sent: Option<(u64, u64)>,
}

/// The unfinished proposals, and the outcomes that the host has not fetched yet.
#[derive(Default)]
pub(crate) struct Proposals {
    queue: VecDeque<Proposal>,
    last_number: u64,
    outcomes: Vec<(Ticket, Outcome)>,
}

impl Proposals {
    /// Returns whether the maximum number of proposals is pending.
    pub(crate) fn is_full(&self) -> bool {
        self.queue.len() >= limits::MAX_PROPOSALS
    }

    /// Appends a proposal.
    pub(crate) fn push(&mut self, change: Change, tick: u64) -> Ticket {
        self.last_number += 1;
        let ticket = Ticket(self.last_number);
        self.queue.push_back(Proposal { ticket, change, created_at: tick, sent: None });
        ticket
    }

    /// The proposal that has been sent or will be sent next.
    pub(crate) fn first(&self) -> Option<&Proposal> {
        self.queue.front()
    }

    /// The first proposal, unless it has been sent on version `seq`. A proposal that was sent on an earlier version
    /// is void and must be sent again.
    pub(crate) fn first_unsent(&self, seq: u64) -> Option<&Proposal> {
        self.queue.front().filter(|first| first.sent.is_none_or(|(base, _)| base != seq))
    }

    /// Returns whether the first proposal was sent on version `seq` at least [`limits::PROPOSAL_RETRY_TICKS`] ago, so
    /// that it may have been lost.
    pub(crate) fn needs_resend(&self, seq: u64, tick: u64) -> bool {
        let sent = self.queue.front().and_then(|first| first.sent);
        sent.is_some_and(|(base, sent_at)| base == seq && tick - sent_at >= limits::PROPOSAL_RETRY_TICKS)
    }

    /// Records that the first proposal was sent on version `seq`.
    pub(crate) fn mark_sent(&mut self, seq: u64, tick: u64) {
        if let Some(first) = self.queue.front_mut() {
            first.sent = Some((seq, tick));
        }
    }

    /// Removes the first proposal and records its outcome.
    pub(crate) fn finish_first(&mut self, outcome: Outcome) {
        if let Some(first) = self.queue.pop_front() {
            self.outcomes.push((first.ticket, outcome));
        }
    }

    /// Finishes the first proposal as decided.
    pub(crate) fn finish_decided(&mut self, version: VersionMark) {
        self.finish_first(Outcome::Decided { seq: version.seq, digest: version.digest });
    }

    /// Finishes proposals that are older than [`limits::PROPOSAL_TIMEOUT_TICKS`] with an unknown outcome.
    pub(crate) fn expire(&mut self, tick: u64) {
        while let Some(first) =
            self.queue.front().filter(|first| tick - first.created_at >= limits::PROPOSAL_TIMEOUT_TICKS)
        {
            let sent = first.sent.is_some();
            self.finish_first(Outcome::Unknown { sent });
        }
    }

    /// Finishes all proposals with an unknown outcome.
    pub(crate) fn abandon_all(&mut self) {
        while let Some(first) = self.queue.front() {
            let sent = first.sent.is_some();
            self.finish_first(Outcome::Unknown { sent });
        }
    }

    /// Returns the outcomes since the last call.
    pub(crate) fn take_outcomes(&mut self) -> Vec<(Ticket, Outcome)> {
        std::mem::take(&mut self.outcomes)
    }
}
