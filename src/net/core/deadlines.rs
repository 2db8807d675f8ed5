//! All that is due at some time, in one sorted structure.

use calicolb::api::Micros;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Due {
    /// A timer of the decision module: its number, and which setting of it.
    Timer(u64, u64),
    /// The time of an attempt is up: request and attempt.
    Attempt(u32, u32),
    /// An attempt that is unwanted should have been taken by now: request and attempt.
    Unwanted(u32, u32),
    /// By now the end of the connection of an attempt that was given up has come to its next hop: request and attempt.
    CalledOff(u32, u32),
    /// A time that a protocol set for one of its connections or listeners.
    Conn(usize, Alarm),
    /// Datagrams are left from the last turn.
    Peers,
    /// The one-off call to discovery has waited too long.
    Fetch,
    /// Nothing has come on the watch for too long.
    Watch,
    /// The list grows too old to be acted on.
    Stale,
    /// Other schedulers are asked how fresh their lists are.
    Witness,
    /// The program counts as ready by now, whether the list is confirmed or not.
    Ready,
    /// An operator's call has been open for too long.
    Call(usize),
    /// The operators' door is tried again after descriptors ran out.
    Door,
    /// The process before this one has not handed over in time.
    Predecessor,
    /// The address for datagrams was taken, and is tried again.
    PeersAgain,
    /// After SIGTERM: what is owed to the requests that are open is looked at again.
    OpenRequests,
    /// The agreed configuration: something on its way from a control machine is owed, or another call is to be made.
    Control,
    /// What a control machine keeps time by.
    Tick,
    /// Learners are told that there is nothing new.
    Heartbeat,
    /// The connection to the control machine of this number is tried again.
    Link(u64),
    /// In a drain: clients have been told elsewhere to go by now.
    Farewell,
}

/// What a protocol set a time for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Alarm {
    /// Something is owed on the connection, and has not come.
    Late,
    /// The connection has rested long enough.
    Rested,
    /// There is more to read than was one turn's share.
    More,
    /// What was offered on the connection has not been taken up.
    Owed,
    /// Accepting goes on, after a turn's share of it, or after descriptors ran out.
    Accept,
}

/// Deadlines by time. One that is set again moves; one that is cleared is gone, so the set stays as small as
/// what it speaks of.
#[derive(Default)]
pub struct Deadlines {
    sorted: BTreeSet<(Micros, Due)>,
    at: HashMap<Due, Micros>,
}

impl Deadlines {
    /// Sets or moves a deadline.
    pub fn set(&mut self, due: Due, at: Micros) {
        if let Some(before) = self.at.insert(due, at) {
            self.sorted.remove(&(before, due));
        }
        self.sorted.insert((at, due));
    }

    /// Forgets a deadline.
    pub fn clear(&mut self, due: Due) {
        if let Some(before) = self.at.remove(&due) {
            self.sorted.remove(&(before, due));
        }
    }

    /// A deadline of this kind is set.
    pub fn has(&self, due: Due) -> bool {
        self.at.contains_key(&due)
    }

    /// Takes the earliest deadline that has come.
    pub fn next_due(&mut self, now: Micros) -> Option<Due> {
        let &(at, due) = self.sorted.first()?;
        if at > now {
            return None;
        }
        self.clear(due);
        Some(due)
    }

    /// How long the poll may sleep.
    pub fn timeout(&self, now: Micros) -> Option<Duration> {
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
        deadlines.set(Due::Conn(1, Alarm::Late), 50);
        deadlines.set(Due::Conn(2, Alarm::Accept), 20);
        deadlines.set(Due::Conn(1, Alarm::Late), 10);
        deadlines.set(Due::Fetch, 5);
        deadlines.clear(Due::Fetch);
        assert_eq!(deadlines.timeout(4), Some(Duration::from_micros(6)));
        assert_eq!(deadlines.next_due(9), None);
        assert_eq!(deadlines.next_due(60), Some(Due::Conn(1, Alarm::Late)));
        assert_eq!(deadlines.next_due(60), Some(Due::Conn(2, Alarm::Accept)));
        assert_eq!(deadlines.next_due(60), None);
        assert_eq!(deadlines.timeout(60), None);
    }
}
