//! Freshness of a scheduler's worker list.
//!
//! A change in the discovery service counts as notified to a scheduler at a certain time, whether the scheduler
//! received it or not. From then on the scheduler has a grace period to stop sending to workers that drain or were
//! removed. The list is therefore held under a lease: each complete message of discovery renews the lease, and when the
//! lease ends, the list must not be used to send anything. This crate computes the end of the lease. It has no I/O and
//! no clock: the owner of the connections reports what happened and when, asks for the time of the next check
//! ([`ListLease::due`]) and for the action that is due then ([`ListLease::poll`]), and passes the end of the lease
//! ([`ListLease::lease_end`]) to the decision module.
//!
//! | state | begins | ends |
//! | --- | --- | --- |
//! | [`WatchState::Opening`] | with a call | with the first message of the answer, the end of the call, or [`AGENT_TIMEOUT`] or [`SERVICE_TIMEOUT`] |
//! | [`WatchState::Open`] | with a complete message of the watch: a change or an empty line | when there was none for [`SILENCE_TIMEOUT`], or the watch broke |
//! | [`WatchState::Closed`] | with the end or the silence of the watch or call | with the next call |
//!
//! A list that discovery has never confirmed to this process, such as the one stored in its configuration, may be of
//! any age: with a shared service, nothing may be sent by it. Only a complete message renews the lease. Bytes of an
//! incomplete change keep the watch open, but for no longer than [`MISSED_CHANGE_DELAY`].
//!
//! A missed change counts as notified [`MISSED_CHANGE_DELAY`] after the first time at which discovery had the change
//! and could be reached. If discovery refuses or ends a call, discovery could not be reached when the call was made, so
//! the delay starts again at that time. The silence of a watch or a call does not show that discovery could not be
//! reached, so after a silence the delay keeps running until a message arrives. The delay also keeps running if another
//! scheduler has reached discovery in the meantime ([`ListLease::discovery_reachable`]).
//!
//! With a *local agent* ([`ListSource::LocalAgent`]), an agent on the scheduler's own machine answers at once and at no
//! cost: the lease requests each call itself ([`WatchAction::Open`]) and repeats it until there is an answer. With a
//! *shared service* ([`ListSource::SharedService`]), one service serves the whole fleet and calls have a cost: the
//! decision module decides when to call, and the lease only reports that a watch or a call has fallen silent
//! ([`WatchAction::GiveUp`]).

pub mod witness;

/// A point in time on the caller's clock, or a duration, in microseconds.
pub type Micros = u64;

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Interval at which discovery sends an empty line on a watch while nothing changes.
pub const KEEPALIVE_INTERVAL: Micros = 2 * SECOND;
/// A watch is silent if nothing arrived for this time: one keepalive interval, and the delay that a busy machine may
/// add.
pub const SILENCE_TIMEOUT: Micros = KEEPALIVE_INTERVAL + 750 * MILLI;
/// Changes that a silent watch missed count as notified this long after the watch fell silent.
pub const MISSED_CHANGE_DELAY: Micros = 6 * SECOND;
/// Changes at the new address of discovery count as notified this long after the move.
pub const MOVE_DELAY: Micros = 4 * SECOND;
/// A call to a local agent is silent if there was no message for this time, since an agent answers at once.
pub const AGENT_TIMEOUT: Micros = SECOND;
/// A call to a shared service, which may have to queue there, is silent if there was no message for this time. The
/// service answers or refuses within 2 s, and a second call must be possible before changes that the first call missed
/// count as notified.
pub const SERVICE_TIMEOUT: Micros = 3 * SECOND;
/// Maximum delay of a scheduler between reading its clock and writing to a connection. The lease ends earlier by this
/// time.
pub const WRITE_DELAY_MARGIN: Micros = 150 * MILLI;
/// Minimum interval between two calls to a local agent.
pub const MIN_CALL_INTERVAL: Micros = 250 * MILLI;

/// Source of a scheduler's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// An agent on the scheduler's machine. Changes that the agent has received count as notified.
    LocalAgent,
    /// One service for the whole fleet, which the scheduler calls.
    SharedService,
    /// There is no discovery: the list never changes, and the lease has no end.
    Fixed,
}

/// State of the watch. The table in the crate documentation shows how the states follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchState {
    /// A call was made at this time and has brought no complete message yet.
    Opening(Micros),
    /// A watch is open, and its last complete message arrived at this time.
    Open(Micros),
    /// Since this time no watch is open and no call is outstanding.
    Closed(Micros),
}

/// An action that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Open a new watch. A watch that is still open is silent; it may be read until the new one has brought a message.
    Open,
    /// The watch or call is silent: end it, and notify the decision module.
    GiveUp,
}

/// Lease on the worker list. The crate documentation describes how it is renewed.
#[derive(Clone, Debug)]
pub struct ListLease {
    source: ListSource,
    /// Grace period: time after the notification of a change for which a scheduler may still act on the old list.
    grace: Micros,
    /// Start of the process.
    started: Micros,
    state: WatchState,
    /// Time of the last call.
    last_call: Option<Micros>,
    /// Time at which bytes, complete message or not, last arrived.
    last_bytes: Micros,
    /// Time at which the list was last known to be complete.
    confirmed: Option<Micros>,
    /// Time at which changes that may have been missed count as notified; `None`: at a time before the process started.
    notified_at: Option<Micros>,
    /// True if discovery may have been reachable since the list was confirmed. A refused call then does not extend the
    /// lease.
    maybe_reachable: bool,
    /// True if discovery has moved and no message has arrived from the new address yet. Confirmations of other
    /// schedulers may then refer to the old address.
    moved: bool,
}

impl ListLease {
    /// Creates the lease of a process that starts at `now`. `grace` is the time after the notification of a change for
    /// which a scheduler may still act on the old list.
    pub fn new(source: ListSource, grace: Micros, now: Micros) -> Self {
        // Changes that a local agent has received count as notified from the start of the process.
        let notified_at = (source == ListSource::LocalAgent).then_some(now);
        ListLease {
            source,
            grace,
            started: now,
            state: WatchState::Closed(now),
            last_call: None,
            last_bytes: now,
            confirmed: None,
            notified_at,
            maybe_reachable: true,
            moved: false,
        }
    }

    /// Changes the grace period, and returns whether it differs from the previous one.
    pub fn set_grace(&mut self, grace: Micros) -> bool {
        std::mem::replace(&mut self.grace, grace) != grace
    }

    /// Returns the source of the list.
    pub fn source(&self) -> ListSource {
        self.source
    }

    /// Returns the state of the watch.
    pub fn state(&self) -> WatchState {
        self.state
    }

    /// Returns the start time of the process.
    pub fn started(&self) -> Micros {
        self.started
    }

    /// Returns the time at which the list was last known to be complete; `None` if it never was in this process.
    pub fn confirmed(&self) -> Option<Micros> {
        self.confirmed
    }

    /// Records that a call for a watch is made.
    pub fn watch_requested(&mut self, now: Micros) {
        self.last_call = Some(now);
        self.state = WatchState::Opening(now);
    }

    /// Records a complete message of the watch, a change or an empty line, after which no part of a change is
    /// outstanding. The first message of a watch contains all changes that were missed, if there were any.
    pub fn message_received(&mut self, now: Micros) {
        self.state = WatchState::Open(now);
        self.last_bytes = now;
        self.moved = false;
        self.confirm(now);
    }

    /// Records bytes of an incomplete message: the watch is open, but the lease is not renewed.
    pub fn bytes_received(&mut self, now: Micros) {
        self.last_bytes = now;
    }

    /// Records that the list was complete at this time, as confirmed by a scheduler with the same list. Returns whether
    /// the confirmation counts: after a move of discovery it does not until the watch has brought a message.
    pub fn confirm(&mut self, at: Micros) -> bool {
        if self.moved {
            return false;
        }
        if self.confirmed.is_none_or(|confirmed| at >= confirmed) {
            self.confirmed = Some(at);
            self.maybe_reachable = false;
        }
        self.notified_at = self.notified_at.max(Some(at + MISSED_CHANGE_DELAY));
        true
    }

    /// Records that another scheduler could reach discovery at this time, after the list was last confirmed. Changes
    /// that discovery had by then count as notified after the usual delay, and refused calls no longer extend the
    /// lease.
    pub fn discovery_reachable(&mut self, at: Micros) {
        self.maybe_reachable = true;
        self.notified_at = self.notified_at.map(|notified_at| notified_at.min(at + MISSED_CHANGE_DELAY));
    }

    /// Records that discovery refused the call, or that it ended the call or the watch.
    pub fn watch_failed(&mut self, now: Micros) {
        if let (WatchState::Opening(called), ListSource::SharedService, Some(notified_at), false) =
            (self.state, self.source, self.notified_at, self.maybe_reachable)
        {
            self.notified_at = Some(notified_at.max(called + MISSED_CHANGE_DELAY));
        }
        self.state = WatchState::Closed(now);
    }

    /// Records that this scheduler ended the watch, or that it requested none, because none is wanted or the request
    /// failed.
    pub fn watch_closed(&mut self, now: Micros) {
        self.maybe_reachable = true;
        self.state = WatchState::Closed(now);
    }

    /// Records that discovery has moved to another address. Changes at the new address count as notified after
    /// [`MOVE_DELAY`]; the move does not postpone the time at which changes that were missed before count.
    pub fn discovery_moved(&mut self, now: Micros) {
        self.notified_at = self.notified_at.map(|notified_at| notified_at.min(now + MOVE_DELAY));
        self.moved = true;
        self.state = WatchState::Closed(now);
        self.last_call = None;
    }

    /// Returns the time at which [`ListLease::poll`] is to be called next, if nothing happens before.
    pub fn due(&self) -> Option<Micros> {
        match (self.state, self.source) {
            (_, ListSource::Fixed) | (WatchState::Closed(_), ListSource::SharedService) => None,
            (WatchState::Opening(since), ListSource::LocalAgent) => {
                Some(self.silent_at(since, AGENT_TIMEOUT))
            }
            (WatchState::Opening(since), ListSource::SharedService) => {
                Some(self.silent_at(since, SERVICE_TIMEOUT))
            }
            (WatchState::Open(last), _) => Some(self.silent_at(last, SILENCE_TIMEOUT)),
            (WatchState::Closed(since), ListSource::LocalAgent) => {
                // The minimum interval limits the calls if each watch ends at once.
                Some(self.last_call.map_or(since, |called| since.max(called + MIN_CALL_INTERVAL)))
            }
        }
    }

    /// Returns the time at which a watch counts as silent if its last complete message, or its call, was at `last`.
    /// Bytes of an incomplete message postpone this time by up to `timeout` after them, but to no later than
    /// [`MISSED_CHANGE_DELAY`], or `timeout` if that is longer, after `last`.
    fn silent_at(&self, last: Micros, timeout: Micros) -> Micros {
        let max = last + MISSED_CHANGE_DELAY.max(timeout);
        (self.last_bytes.max(last) + timeout).min(max)
    }

    /// Returns the action that is due at `now`, if any.
    pub fn poll(&mut self, now: Micros) -> Option<WatchAction> {
        if self.due().is_none_or(|due| due > now) {
            return None;
        }
        self.maybe_reachable = true;
        match self.source {
            ListSource::LocalAgent => Some(WatchAction::Open),
            ListSource::SharedService | ListSource::Fixed => {
                self.state = WatchState::Closed(now);
                Some(WatchAction::GiveUp)
            }
        }
    }

    /// Returns the end of the lease. From then on, changes that may have been missed count as notified for longer than
    /// the grace period, and the list must not be used. `None`: the lease has no end, since there is no discovery. The
    /// lease on a list that was never confirmed ends at the start of the process.
    pub fn lease_end(&self) -> Option<Micros> {
        let Some(notified_at) = self.notified_at else {
            return (self.source != ListSource::Fixed).then_some(self.started);
        };
        Some((notified_at + self.grace).saturating_sub(WRITE_DELAY_MARGIN))
    }
}
