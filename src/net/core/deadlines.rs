//! All that is due at some time, in one sorted structure.

use calicolb::api::Micros;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Deadline {
    /// A timer of the decision module: its number, and which setting of it.
    DispatcherTimer(u64, u64),
    /// The time of an attempt is up: request and attempt.
    AttemptTimeout(u32, u32),
    /// An attempt that is unwanted should have been taken by now: request and attempt.
    CancelUnaccepted(u32, u32),
    /// By now the end of the connection of an attempt that was given up has come to its next hop: request and attempt.
    CancelDelivered(u32, u32),
    /// A time that a protocol set for one of its connections or listeners.
    Connection(usize, ConnectionTimer),
    /// Datagrams are left from the last turn.
    ReceivePeers,
    /// The one-off call to discovery has waited too long.
    DiscoveryFetch,
    /// Nothing has come on the watch for too long.
    DiscoveryWatch,
    /// The list grows too old to be acted on.
    ListExpiry,
    /// Other schedulers are asked how fresh their lists are.
    PeerListCheck,
    /// The program counts as ready by now, whether the list is confirmed or not.
    Readiness,
    /// An operator's call has been open for too long.
    ManagementCall(usize),
    /// The operators' door is tried again after descriptors ran out.
    ManagementAccept,
    /// The process before this one has not handed over in time.
    PredecessorHandover,
    /// The address for datagrams was taken, and is tried again.
    PeerSocketRetry,
    /// After SIGTERM: what is owed to the requests that are open is looked at again.
    OpenRequestsCheck,
    /// The agreed configuration: something on its way from a control machine is owed, or another call is to be made.
    ControlClient,
    /// What a control machine keeps time by.
    ControlTick,
    /// Learners are told that there is nothing new.
    Heartbeat,
    /// The connection to the control machine of this number is tried again.
    ControlLinkRetry(u64),
    /// In a drain: clients have been told elsewhere to go by now.
    DrainClients,
}

/// What a protocol set a time for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConnectionTimer {
    /// Something is owed on the connection, and has not come.
    Timeout,
    /// The connection has rested long enough.
    Idle,
    /// There is more to read than was one turn's share.
    ContinueRead,
    /// What was offered on the connection has not been taken up.
    OfferTimeout,
    /// Accepting goes on, after a turn's share of it, or after descriptors ran out.
    Accept,
}

/// Deadlines by time. One that is set again moves; one that is cleared is gone, so the set stays as small as
/// what it speaks of.
#[derive(Default)]
pub struct Deadlines {
    sorted: BTreeSet<(Micros, Deadline)>,
    at: HashMap<Deadline, Micros>,
}

impl Deadlines {
    /// Sets or moves a deadline.
    pub fn set(&mut self, due: Deadline, at: Micros) {
        if let Some(before) = self.at.insert(due, at) {
            self.sorted.remove(&(before, due));
        }
        self.sorted.insert((at, due));
    }

    /// Forgets a deadline.
    pub fn clear(&mut self, due: Deadline) {
        if let Some(before) = self.at.remove(&due) {
            self.sorted.remove(&(before, due));
        }
    }

    /// A deadline of this kind is set.
    pub fn has(&self, due: Deadline) -> bool {
        self.at.contains_key(&due)
    }

    /// Takes the earliest deadline that has come.
    pub fn next_due(&mut self, now: Micros) -> Option<Deadline> {
        let &(at, due) = self.sorted.first()?;
        if at > now {
            return None;
        }
        self.clear(due);
        Some(due)
    }

    /// How long the poll may sleep.
    pub fn poll_timeout(&self, now: Micros) -> Option<Duration> {
        let &(at, _) = self.sorted.first()?;
        Some(Duration::from_micros(at.saturating_sub(now)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deadlines_come_in_order_move_and_go() {
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
