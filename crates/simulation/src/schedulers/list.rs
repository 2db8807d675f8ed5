//! The list of workers of a process, and the lease of the list.

use super::*;

impl Process {
    /// Begins with a saved copy of the list. `confirmed` is the time at which discovery last confirmed it, if known.
    pub(crate) fn load_initial_list(&mut self, list: &Update, confirmed: Option<Micros>) {
        if let Some(at) = confirmed {
            self.list_lease.confirm(at);
        }
        self.list_version = list.seq;
        self.events.push_back(Event::Members(ListKind::Saved, list.members.clone()));
        self.update_list_timer();
    }

    /// Called when a watch request with number `call` is sent, or with `None` when the watch is closed.
    pub(crate) fn set_watch(&mut self, now: Micros, call: Option<u64>) {
        self.watch_call = call;
        if call.is_some() {
            self.list_lease.watch_requested(now)
        } else {
            self.list_lease.watch_closed(now)
        }
        self.update_list_timer();
    }

    /// Takes a message of the watch. A keepalive has no update.
    pub(crate) fn watch_message(&mut self, now: Micros, update: Option<&Update>) {
        self.list_lease.message_received(now);
        if let Some(update) = update.filter(|update| {
            update.seq >= self.list_version || now >= self.list_version_at + MISSED_CHANGE_DELAY
        }) {
            (self.list_version, self.list_version_at) = (update.seq, now);
            self.events.push_back(Event::Members(update.kind, update.members.clone()));
        }
        self.update_list_timer();
    }

    /// Called when the watch or the request for it was refused or has ended.
    pub(crate) fn watch_failed(&mut self, now: Micros) {
        self.watch_call = None;
        self.list_lease.watch_failed(now);
        self.update_list_timer();
        self.events.push_back(Event::Members(ListKind::Lost, Vec::new()));
    }

    pub(super) fn update_list_timer(&mut self) {
        // A deadline that is already set for an earlier time calls this again.
        if let Some(at) = self.list_lease.due()
            && self.list_timer_at.is_none_or(|set| at < set)
        {
            self.list_timer_at = Some(at);
            self.commands.push(Command::SetDeadline(at, Deadline::DiscoveryWatch));
        }
        let lease_end = self.list_lease.lease_end();
        if lease_end != self.lease_end {
            self.lease_end = lease_end;
            self.events.push_back(Event::ListLease(lease_end));
        }
    }
}
