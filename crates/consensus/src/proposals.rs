//! The proposals of a voter: one on its way, the others wait for it.

use crate::change::Change;
use crate::limits;
use crate::outcome::{Outcome, Ticket};
use crate::replica::Mark;
use std::collections::VecDeque;

pub(crate) struct Proposal {
    pub(crate) ticket: Ticket,
    pub(crate) change: Change,
    /// The tick at which it was made.
    since: u64,
    /// The version it was sent on, and the tick at which it last was.
    sent: Option<(u64, u64)>,
}

#[derive(Default)]
pub(crate) struct Proposals {
    queue: VecDeque<Proposal>,
    made: u64,
    settled: Vec<(Ticket, Outcome)>,
}

impl Proposals {
    pub(crate) fn is_full(&self) -> bool {
        self.queue.len() >= limits::MAX_PROPOSALS
    }

    pub(crate) fn push(&mut self, change: Change, tick: u64) -> Ticket {
        self.made += 1;
        let ticket = Ticket(self.made);
        self.queue.push_back(Proposal { ticket, change, since: tick, sent: None });
        ticket
    }

    /// The one on its way, or next to be sent.
    pub(crate) fn first(&self) -> Option<&Proposal> {
        self.queue.front()
    }

    /// The first one, when it isn't on its way on this version: it wasn't sent, or it was on an earlier version and
    /// can't count any more.
    pub(crate) fn unsent(&self, seq: u64) -> Option<&Proposal> {
        self.queue.front().filter(|first| first.sent.is_none_or(|(base, _)| base != seq))
    }

    /// Whether the first one is on its way on this version for so long that it may have got lost.
    pub(crate) fn is_due_again(&self, seq: u64, tick: u64) -> bool {
        let sent = self.queue.front().and_then(|first| first.sent);
        sent.is_some_and(|(base, at)| base == seq && tick - at >= limits::PROPOSAL_RETRY_TICKS)
    }

    pub(crate) fn mark_sent(&mut self, seq: u64, tick: u64) {
        if let Some(first) = self.queue.front_mut() {
            first.sent = Some((seq, tick));
        }
    }

    /// Ends the first one.
    pub(crate) fn settle(&mut self, outcome: Outcome) {
        if let Some(first) = self.queue.pop_front() {
            self.settled.push((first.ticket, outcome));
        }
    }

    pub(crate) fn agree(&mut self, mark: Mark) {
        self.settle(Outcome::Decided { seq: mark.seq, digest: mark.digest });
    }

    /// Gives up what was made too long ago.
    pub(crate) fn give_up(&mut self, tick: u64) {
        while let Some(first) =
            self.queue.front().filter(|first| tick - first.since >= limits::PROPOSAL_TIMEOUT_TICKS)
        {
            let sent = first.sent.is_some();
            self.settle(Outcome::Unknown { sent });
        }
    }

    pub(crate) fn give_up_all(&mut self) {
        while let Some(first) = self.queue.front() {
            let sent = first.sent.is_some();
            self.settle(Outcome::Unknown { sent });
        }
    }

    pub(crate) fn take_settled(&mut self) -> Vec<(Ticket, Outcome)> {
        std::mem::take(&mut self.settled)
    }
}
