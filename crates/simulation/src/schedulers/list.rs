//! The list of workers as a process holds it, and its clock.

use super::*;

impl Process {
    /// Begins with this copy of the list. `confirmed`: when discovery confirmed it last, if that is known.
    pub(crate) fn warm(&mut self, list: &Update, confirmed: Option<Micros>) {
        if let Some(at) = confirmed {
            self.clock.confirm(at);
        }
        self.seq = list.seq;
        self.events.push_back(Event::Members(ListKind::Saved, list.members.clone()));
        self.keep_time();
    }

    /// A call for a watch goes out, or the watch is ended.
    pub(crate) fn watches(&mut self, now: Micros, call: Option<u64>) {
        self.watch = call;
        if call.is_some() {
            self.clock.watch_requested(now)
        } else {
            self.clock.watch_closed(now)
        }
        self.keep_time();
    }

    /// The watch has brought something, an empty line perhaps.
    pub(crate) fn heard(&mut self, now: Micros, update: Option<&Update>) {
        self.clock.message_received(now);
        if let Some(update) =
            update.filter(|update| update.seq >= self.seq || now >= self.seq_at + MISSED_CHANGE_DELAY)
        {
            (self.seq, self.seq_at) = (update.seq, now);
            self.events.push_back(Event::Members(update.kind, update.members.clone()));
        }
        self.keep_time();
    }

    /// The watch, or the call for it, was refused or ended.
    pub(crate) fn unwatched(&mut self, now: Micros) {
        self.watch = None;
        self.clock.watch_failed(now);
        self.keep_time();
        self.events.push_back(Event::Members(ListKind::Lost, Vec::new()));
    }

    pub(super) fn keep_time(&mut self) {
        // One that is set for earlier looks again when it comes.
        if let Some(at) = self.clock.due()
            && self.armed.is_none_or(|set| at < set)
        {
            self.armed = Some(at);
            self.work.push(Work::Due(at, Due::Watch));
        }
        let until = self.clock.lease_end();
        if until != self.until {
            self.until = until;
            self.events.push_back(Event::ListLease(until));
        }
    }
}
