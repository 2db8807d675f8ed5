//! How fresh a scheduler's list of stock workers is.
//!
//! What discovery has to tell counts as told at some time, whether it arrived or not; from then on a scheduler has a
//! grace to stop sending to what drains or has gone. The list is therefore held like a lease: each whole word of discovery
//! renews it, and when it runs out nothing may be sent by it. This crate is the one place that knows when that is. It has
//! no I/O and no clock: whoever holds the connections says what happened and when, asks when to look again
//! ([`ListLease::due`]) and what to do then ([`ListLease::poll`]), and tells the decision module until when the list may
//! be acted on ([`ListLease::lease_end`]).
//!
//! | state | begins | ends |
//! | --- | --- | --- |
//! | [`WatchState::Opening`] | with a call | with the first word of its answer, its end, or [`AGENT_TIMEOUT`] |
//! | [`WatchState::Open`] | with a whole word of the watch: a change or an empty line | when none came for [`SILENCE_TIMEOUT`], or it broke |
//! | [`WatchState::Closed`] | with the end, or the silence, of what was open | with the next call |
//!
//! A list that discovery has never confirmed to this process, such as the one saved in its configuration, may be of any
//! age: where the list is asked for, nothing may be sent by it. Only a whole word renews the lease; bytes of a change that
//! is not complete keep the watch open for [`MISSED_CHANGE_DELAY`] at most.
//!
//! What was missed counts as told [`MISSED_CHANGE_DELAY`] after discovery had it and could be reached. A call that it refuses or ends tells
//! that it could not be reached when the call was made, so that the time runs anew from there; silence, of a watch or of a
//! call, tells nothing of the kind, and after it the time runs on until a word comes. The same holds once another scheduler
//! has reached discovery meanwhile ([`ListLease::discovery_reachable`]).
//!
//! Where the list is *pushed*, an agent on the scheduler's own machine answers at once and at no cost: the clock itself
//! asks for each call ([`Act::Open`]), again and again while nobody answers. Where it is *asked for*, one service serves
//! the whole fleet and calls have a price: when to ask is the decision module's, and the clock only tells that a watch
//! or a call has fallen silent ([`WatchAction::GiveUp`]). See `docs/freshness.md`.

pub mod witness;

/// A time on the caller's clock, or a span, in microseconds.
pub type Micros = u64;

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// While nothing changes a watch brings an empty line at this interval.
pub const KEEPALIVE_INTERVAL: Micros = 2 * SECOND;
/// A watch that brought nothing for this long is silent: one beat, and what a busy machine may add to it.
pub const SILENCE_TIMEOUT: Micros = KEEPALIVE_INTERVAL + 750 * MILLI;
/// What a silent watch misses counts as told so long after it fell silent.
pub const MISSED_CHANGE_DELAY: Micros = 6 * SECOND;
/// After a move of discovery, what is to be had there counts as told so long after the move.
pub const MOVE_DELAY: Micros = 4 * SECOND;
/// An agent answers at once: a call that brought no word for this long meets one that is silent.
pub const AGENT_TIMEOUT: Micros = SECOND;
/// A call that waits its turn at a service that is asked has this long: such a service answers, or refuses, within 2 s, and
/// a second call has to fit in before what the first one missed counts.
pub const SERVICE_TIMEOUT: Micros = 3 * SECOND;
/// A scheduler may be held up for so long between reading its clock and writing: the lease ends earlier by as much.
pub const WRITE_DELAY_MARGIN: Micros = 150 * MILLI;
/// Calls to an agent follow each other at this distance at the soonest.
pub const MIN_CALL_INTERVAL: Micros = 250 * MILLI;

/// How a scheduler comes by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// An agent on its own machine holds what it was sent, and counts as having told it.
    LocalAgent,
    /// One service for the fleet is asked.
    SharedService,
    /// There is no discovery: nobody has anything to tell, and the list holds without a limit.
    Fixed,
}

/// See the head of this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchState {
    /// A call is out, since this time, and has brought no word yet.
    Opening(Micros),
    /// A watch is open; its last whole word came at this time.
    Open(Micros),
    /// No watch is open, and no call is out, since this time.
    Closed(Micros),
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Begin a watch. One that is open is silent; it may be read on until the new one has brought a word.
    Open,
    /// What is open, or was called, is silent: it is to be ended, and the decision module to be told.
    GiveUp,
}

/// See the head of this crate.
#[derive(Clone, Debug)]
pub struct ListLease {
    mode: ListSource,
    grace: Micros,
    started: Micros,
    state: WatchState,
    /// The time of the last call.
    called: Option<Micros>,
    /// When bytes last came that were no whole word yet.
    received: Micros,
    /// When the list was last known to be complete.
    confirmed: Option<Micros>,
    /// By this time what may have been missed counts as told; `None`: at any time before the process began.
    told: Option<Micros>,
    /// Since the list was confirmed discovery may have been reachable: a refused call proves nothing of that time.
    silent: bool,
    /// Discovery is to be had elsewhere, and has not spoken from there yet: what others heard may be of the old place.
    moved: bool,
}

impl ListLease {
    /// The clock of a process that starts now. `grace`: how long after it was told of a change a scheduler may go on
    /// as before.
    pub fn new(mode: ListSource, grace: Micros, now: Micros) -> Self {
        // What an agent holds counts as told from the first moment of a process.
        let told = (mode == ListSource::LocalAgent).then_some(now);
        ListLease {
            mode,
            grace,
            started: now,
            state: WatchState::Closed(now),
            called: None,
            received: now,
            confirmed: None,
            told,
            silent: true,
            moved: false,
        }
    }

    /// Another grace is in force; tells whether it differs.
    pub fn set_grace(&mut self, grace: Micros) -> bool {
        std::mem::replace(&mut self.grace, grace) != grace
    }

    /// How the list is come by.
    pub fn source(&self) -> ListSource {
        self.mode
    }

    /// What is known of the watch.
    pub fn state(&self) -> WatchState {
        self.state
    }

    /// When the process of this clock began.
    pub fn started(&self) -> Micros {
        self.started
    }

    /// When the list was last known to be complete; `None`: never in this process.
    pub fn confirmed(&self) -> Option<Micros> {
        self.confirmed
    }

    /// A call for a watch goes out.
    pub fn watch_requested(&mut self, now: Micros) {
        self.called = Some(now);
        self.state = WatchState::Opening(now);
    }

    /// The watch has brought a whole word, a change or an empty line, and nothing of a change is outstanding. Its first
    /// word brings all that was missed, or tells that there was nothing.
    pub fn message_received(&mut self, now: Micros) {
        self.state = WatchState::Open(now);
        self.received = now;
        self.moved = false;
        self.confirm(now);
    }

    /// The watch has brought bytes that are not whole yet: it is open, and the list is no fresher.
    pub fn bytes_received(&mut self, now: Micros) {
        self.received = now;
    }

    /// The list was complete at this time, as somebody knows who has the same list; tells whether that counts. After a move
    /// of discovery it does not before the next own word.
    pub fn confirm(&mut self, at: Micros) -> bool {
        if self.moved {
            return false;
        }
        if self.confirmed.is_none_or(|confirmed| at >= confirmed) {
            self.confirmed = Some(at);
            self.silent = false;
        }
        self.told = self.told.max(Some(at + MISSED_CHANGE_DELAY));
        true
    }

    /// Discovery could be reached by somebody at this time, after the list was last confirmed: what it had by then counts
    /// in its time, and calls that are refused prove nothing any more.
    pub fn discovery_reachable(&mut self, at: Micros) {
        self.silent = true;
        self.told = self.told.map(|told| told.min(at + MISSED_CHANGE_DELAY));
    }

    /// The call or the watch has been refused or ended from outside.
    pub fn watch_failed(&mut self, now: Micros) {
        if let (WatchState::Opening(called), ListSource::SharedService, Some(told), false) =
            (self.state, self.mode, self.told, self.silent)
        {
            self.told = Some(told.max(called + MISSED_CHANGE_DELAY));
        }
        self.state = WatchState::Closed(now);
    }

    /// The watch was ended here, is not wanted, or could not be asked for.
    pub fn watch_closed(&mut self, now: Micros) {
        self.silent = true;
        self.state = WatchState::Closed(now);
    }

    /// Discovery is to be had elsewhere from now on. What is there counts soon; what was missed before, no later for it.
    pub fn discovery_moved(&mut self, now: Micros) {
        self.told = self.told.map(|told| told.min(now + MOVE_DELAY));
        self.moved = true;
        self.state = WatchState::Closed(now);
        self.called = None;
    }

    /// When [`ListLease::poll`] is to be asked next, if nothing happens before.
    pub fn due(&self) -> Option<Micros> {
        match (self.state, self.mode) {
            (_, ListSource::Fixed) | (WatchState::Closed(_), ListSource::SharedService) => None,
            (WatchState::Opening(since), ListSource::LocalAgent) => {
                Some(self.silence_after(since, AGENT_TIMEOUT))
            }
            (WatchState::Opening(since), ListSource::SharedService) => {
                Some(self.silence_after(since, SERVICE_TIMEOUT))
            }
            (WatchState::Open(heard), _) => Some(self.silence_after(heard, SILENCE_TIMEOUT)),
            (WatchState::Closed(since), ListSource::LocalAgent) => {
                // One that ends at once, again and again, is called at a pace.
                Some(self.called.map_or(since, |called| since.max(called + MIN_CALL_INTERVAL)))
            }
        }
    }

    /// When a watch counts as silent whose last whole word, or whose call, was at this time: bytes that are no whole word
    /// put it off, but not for ever.
    fn silence_after(&self, word: Micros, patience: Micros) -> Micros {
        let most = word + MISSED_CHANGE_DELAY.max(patience);
        (self.received.max(word) + patience).min(most)
    }

    /// What is to be done now.
    pub fn poll(&mut self, now: Micros) -> Option<WatchAction> {
        if self.due().is_none_or(|due| due > now) {
            return None;
        }
        self.silent = true;
        match self.mode {
            ListSource::LocalAgent => Some(WatchAction::Open),
            ListSource::SharedService | ListSource::Fixed => {
                self.state = WatchState::Closed(now);
                Some(WatchAction::GiveUp)
            }
        }
    }

    /// Until when the list may be acted on: from then on, what was not heard counts as told for longer than the grace.
    /// `None`: without a limit, as there is no discovery. A list that was never confirmed may not be acted on at all.
    pub fn lease_end(&self) -> Option<Micros> {
        let Some(told) = self.told else {
            return (self.mode != ListSource::Fixed).then_some(self.started);
        };
        Some((told + self.grace).saturating_sub(WRITE_DELAY_MARGIN))
    }
}
