//! Calls to discovery, and what it writes on its watches.

use super::*;

impl World {
    pub(super) fn watch(&mut self, process: u32, want: bool) {
        self.calls += 1;
        let call = self.calls;
        let told = &mut self.processes[process as usize];
        let (rank, zone, from) = (told.rank, told.zone, told.seq);
        told.watches(self.now, want.then_some(call));
        let there = self.discovery.zone;
        // One that gets no connection waits until its clock has enough.
        if want && self.links.both(zone, there) {
            let bytes = encode::watch_call(from).len();
            self.ledger.message(self.now, rank, Function::List, bytes);
            let delay = 2 * self.links.delay(zone, there) + self.links.delay(there, zone);
            self.lay(self.now + delay, Happening::CallAt { process, call, from });
        }
    }

    pub(super) fn call_at(&mut self, process: u32, call: u64, from: u64) {
        self.ledger.discovery(self.now, encode::watch_call(from).len());
        match self.discovery.call(self.now, from) {
            Some(at) => self.lay(at, Happening::Called { process, call, from }),
            None => {
                let bytes = encode::response(503, "Service Unavailable", &[], b"").len();
                self.ledger.account.extra.calls_refused += 1;
                self.ledger.discovery(self.now, bytes);
                let (rank, zone) =
                    (self.processes[process as usize].rank, self.processes[process as usize].zone);
                self.ledger.message(self.now, rank, Function::List, bytes);
                let at = self.now + self.links.delay(self.discovery.zone, zone);
                self.lay(at, Happening::Refused { process, call });
            }
        }
    }

    pub(super) fn called(&mut self, process: u32, call: u64, from: u64) {
        if !self.processes[process as usize].alive || self.processes[process as usize].watch != Some(call) {
            return;
        }
        let update = self.discovery.answer(from);
        self.discovery.open(process, call, self.now);
        let bytes = encode::WATCH_HEAD.len() + update.bytes;
        self.bring(process, call, Some(update), bytes);
        self.lay(self.now + BEAT, Happening::Beat { process, call });
    }

    /// Discovery writes something on a watch.
    pub(super) fn bring(&mut self, process: u32, call: u64, update: Option<Rc<Update>>, bytes: usize) {
        let zone = self.processes[process as usize].zone;
        let open = self.links.both(self.discovery.zone, zone) && self.processes[process as usize].alive;
        let delay = self.links.delay(self.discovery.zone, zone);
        // What is written to nobody brings the watch to an end.
        if let Some(at) = self.discovery.write_on(process, self.now, delay, open) {
            self.ledger.discovery(self.now, bytes);
            self.lay(at, Happening::Watched { process, call, update, bytes });
        }
    }

    pub(super) fn beat(&mut self, process: u32, call: u64) {
        let Some(last) = self.discovery.wrote(process, call) else { return };
        if self.now >= last + BEAT {
            self.bring(process, call, None, encode::chunk("").len());
            self.lay(self.now + BEAT, Happening::Beat { process, call });
        } else {
            self.lay(last + BEAT, Happening::Beat { process, call });
        }
    }
}
