//! Watch requests to discovery, and the messages on its watches.

use super::*;

impl Simulation {
    pub(super) fn set_watch(&mut self, process: u32, open: bool) {
        self.call_count += 1;
        let call = self.call_count;
        let target = &mut self.processes[process as usize];
        let (rank, zone, from) = (target.rank, target.zone, target.list_version);
        target.set_watch(self.now, open.then_some(call));
        let discovery_zone = self.discovery.zone;
        // Without a connection the scheduler waits until its list lease gives up the request.
        if open && self.links.is_open_both_ways(zone, discovery_zone) {
            let bytes = encode::watch_request(from).len();
            self.recorder.record_message(self.now, rank, Function::List, bytes);
            let delay = 2 * self.links.delay(zone, discovery_zone) + self.links.delay(discovery_zone, zone);
            self.schedule(self.now + delay, SimEvent::WatchCallArrives { process, call, from });
        }
    }

    pub(super) fn watch_call_arrives(&mut self, process: u32, call: u64, from: u64) {
        self.recorder.record_discovery_bytes(self.now, encode::watch_request(from).len());
        match self.discovery.schedule_call(self.now, from) {
            Some(at) => self.schedule(at, SimEvent::WatchCallAnswered { process, call, from }),
            None => {
                let bytes = encode::http_response(503, "Service Unavailable", &[], b"").len();
                self.recorder.summary.extra.refused_watch_calls += 1;
                self.recorder.record_discovery_bytes(self.now, bytes);
                let (rank, zone) =
                    (self.processes[process as usize].rank, self.processes[process as usize].zone);
                self.recorder.record_message(self.now, rank, Function::List, bytes);
                let at = self.now + self.links.delay(self.discovery.zone, zone);
                self.schedule(at, SimEvent::WatchCallRefused { process, call });
            }
        }
    }

    pub(super) fn watch_call_answered(&mut self, process: u32, call: u64, from: u64) {
        if !self.processes[process as usize].alive
            || self.processes[process as usize].watch_call != Some(call)
        {
            return;
        }
        let update = self.discovery.initial_update(from);
        self.discovery.open_watch(process, call, self.now);
        let bytes = encode::WATCH_HEAD.len() + update.bytes;
        self.write_to_watch(process, call, Some(update), bytes);
        self.schedule(self.now + WATCH_KEEPALIVE, SimEvent::KeepaliveDue { process, call });
    }

    /// Writes an update, or a keepalive if `update` is `None`, on a watch.
    pub(super) fn write_to_watch(
        &mut self,
        process: u32,
        call: u64,
        update: Option<Rc<Update>>,
        bytes: usize,
    ) {
        let zone = self.processes[process as usize].zone;
        let reachable =
            self.links.is_open_both_ways(self.discovery.zone, zone) && self.processes[process as usize].alive;
        let delay = self.links.delay(self.discovery.zone, zone);
        // A write to an unreachable process ends the watch.
        if let Some(at) = self.discovery.write_to_watch(process, self.now, delay, reachable) {
            self.recorder.record_discovery_bytes(self.now, bytes);
            self.schedule(at, SimEvent::WatchMessageArrives { process, call, update, bytes });
        }
    }

    pub(super) fn keepalive_due(&mut self, process: u32, call: u64) {
        let Some(last) = self.discovery.last_written(process, call) else { return };
        if self.now >= last + WATCH_KEEPALIVE {
            self.write_to_watch(process, call, None, encode::chunk("").len());
            self.schedule(self.now + WATCH_KEEPALIVE, SimEvent::KeepaliveDue { process, call });
        } else {
            self.schedule(last + WATCH_KEEPALIVE, SimEvent::KeepaliveDue { process, call });
        }
    }
}
