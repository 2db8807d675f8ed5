//! Sorted set of all pending deadlines of the event loop.

use calicolb::api::Micros;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// The action that a deadline triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Deadline {
    /// A timer of the decision module expires: its number, and a sequence number that distinguishes repeated settings
    /// of one timer.
    DispatcherTimer(u64, u64),
    /// The time limit of an attempt is reached: request number and attempt number.
    AttemptTimeout(u32, u32),
    /// A worker should have confirmed by now that it accepted the job of an attempt that is to be cancelled: request
    /// number and attempt number.
    CancelUnaccepted(u32, u32),
    /// The cancellation of an attempt is to be sent, or sent again: request number and attempt number.
    CancelDue(u32, u32),
    /// A timer that a protocol set for the connection or listener with this token.
    Connection(usize, ConnectionTimer),
    /// Datagrams of other schedulers remain from the last iteration of the event loop.
    ReceivePeers,
    /// The single call to discovery has had no answer for too long.
    DiscoveryFetch,
    /// Nothing has arrived on the discovery watch for too long.
    DiscoveryWatch,
    /// The worker list becomes too old to be used.
    ListExpiry,
    /// Other schedulers are to be asked how fresh their worker lists are.
    PeerListCheck,
    /// The process counts as ready from now on, even if the worker list is not confirmed.
    Readiness,
    /// A management call (its connection token) has been open for too long.
    ManagementCall(usize),
    /// Accepting management connections is retried after file descriptors ran out.
    ManagementAccept,
    /// The predecessor process has not handed over in time.
    PredecessorHandover,
    /// Binding the datagram socket for other schedulers is retried, because the address was in use.
    PeerSocketRetry,
    /// After SIGTERM: the open requests are checked again for transfer or a final answer.
    OpenRequestsCheck,
    /// The client of the control machines has to act: a message from a control machine is overdue, or the next call is
    /// due.
    ControlClient,
    /// Periodic timer of a control machine.
    ControlTick,
    /// Learners are told that there is no change.
    Heartbeat,
    /// The connection to the control machine of this number is retried.
    ControlLinkRetry(u64),
    /// During a drain: clients have had enough time to move to other schedulers, and their connections are closed.
    DrainClients,
}

/// Purpose of a timer that a protocol sets for one of its connections or listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConnectionTimer {
    /// Expected data has not arrived on the connection in time.
    Timeout,
    /// The connection has been idle for its time limit.
    Idle,
    /// An offer made on the connection has not been accepted in time.
    OfferTimeout,
    /// Accepting connections continues, after the share of one iteration or after file descriptors ran out.
    Accept,
}

/// Pending deadlines, sorted by time. Each [`Deadline`] is pending at most once: setting it again moves it, and
/// clearing it removes it, so the size of the set is bounded by the number of objects that deadlines are set for.
#[derive(Default)]
pub struct Deadlines {
    sorted: BTreeSet<(Micros, Deadline)>,
    times: HashMap<Deadline, Micros>,
}

impl Deadlines {
    /// Sets a deadline, or moves it if it is pending.
    pub fn set(&mut self, deadline: Deadline, at: Micros) {
        if let Some(before) = self.times.insert(deadline, at) {
            self.sorted.remove(&(before, deadline));
        }
        self.sorted.insert((at, deadline));
    }

    /// Moves a pending deadline to an earlier time.
    pub fn advance(&mut self, deadline: Deadline, at: Micros) {
        if self.times.get(&deadline).is_some_and(|&pending| pending > at) {
            self.set(deadline, at);
        }
    }

    /// Number of pending deadlines.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Removes a deadline, if it is pending.
    pub fn clear(&mut self, deadline: Deadline) {
        if let Some(before) = self.times.remove(&deadline) {
            self.sorted.remove(&(before, deadline));
        }
    }

    /// Returns true if this deadline is pending.
    pub fn has(&self, deadline: Deadline) -> bool {
        self.times.contains_key(&deadline)
    }

    /// Removes and returns the earliest deadline whose time is `now` or before.
    pub fn next_due(&mut self, now: Micros) -> Option<Deadline> {
        let &(at, deadline) = self.sorted.first()?;
        if at > now {
            return None;
        }
        self.clear(deadline);
        Some(deadline)
    }

    /// Longest time that the poll may block: until the earliest deadline, or without limit (`None`) if none is pending.
    pub fn poll_timeout(&self, now: Micros) -> Option<Duration> {
        let &(at, _) = self.sorted.first()?;
        Some(Duration::from_micros(at.saturating_sub(now)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deadlines_are_due_in_order_and_can_be_moved_and_cleared() {
        let mut deadlines = Deadlines::default();
        deadlines.set(Deadline::Connection(1, ConnectionTimer::Timeout), 50);
        deadlines.set(Deadline::Connection(2, ConnectionTimer::Accept), 20);
        deadlines.set(Deadline::Connection(1, ConnectionTimer::Timeout), 10);
        deadlines.set(Deadline::DiscoveryFetch, 5);
        deadlines.clear(Deadline::DiscoveryFetch);
        assert_eq!(deadlines.poll_timeout(4), Some(Duration::from_micros(6)));
        assert_eq!(deadlines.next_due(9), None);
        assert_eq!(deadlines.next_due(60), Some(Deadline::Connection(1, ConnectionTimer::Timeout)));
        assert_eq!(deadlines.next_due(60), Some(Deadline::Connection(2, ConnectionTimer::Accept)));
        assert_eq!(deadlines.next_due(60), None);
        assert_eq!(deadlines.poll_timeout(60), None);
    }
}
