//! Execution of the commands of schedulers, and the transport of attempts to workers.

use super::*;

/// Time after a cancellation that was not confirmed until the next one, in microseconds.
const CANCEL_RETRY_INTERVAL: Micros = 500_000;

impl Simulation {
    pub(super) fn execute(&mut self, process: u32, command: Command) {
        match command {
            Command::SendAnswer { job, answer } => self.finish_request(job, Some(answer)),
            Command::SetDeadline(at, deadline) => {
                self.schedule(at, SimEvent::DeadlineReached { process, deadline })
            }
            Command::SendAttempt { id, worker } => self.send_attempt(process, id, worker),
            Command::Cancel { id, worker, accepted } => {
                let Some(&index) = self.worker_numbers.get(&worker) else { return };
                let (from_zone, to_zone) =
                    (self.processes[process as usize].zone, self.workers[index as usize].zone);
                let origin = origin(process, id);
                if accepted {
                    return self.send_cancel(origin, index, 0);
                }
                // The connection is closed, and a cancellation follows when the close must have arrived.
                if self.links.is_open_both_ways(from_zone, to_zone) {
                    let at = self.now + self.links.delay(from_zone, to_zone);
                    self.schedule(at, SimEvent::CancelArrives { worker: index, origin, failures: None });
                }
                let send_at = self.now + MAX_TRANSIT_TIME;
                self.schedule(send_at, SimEvent::SendCancel { worker: index, origin, failures: 0 });
            }
            Command::SendProbe(worker) => self.send_probe(process, worker),
            Command::SendPeerMessage { to, body } => self.send_peer_message(process, to, body),
            Command::SetWatch(open) => self.set_watch(process, open),
            // A watch begins with the whole list if the changes since the known version are not available, so a fetch opens a
            // watch.
            Command::FetchList => self.set_watch(process, true),
        }
    }

    /// Sends a cancellation that the worker confirms. It is sent again as long as an attempt waits for the confirmation.
    pub(super) fn send_cancel(&mut self, origin: Origin, worker: u32, failures: u32) {
        let process = &self.processes[origin.process as usize];
        let id = AttemptId { request: origin.request, number: origin.attempt };
        if !process.alive || (failures > 0 && !process.awaits_cancel(id)) {
            return;
        }
        let (from_zone, to_zone) = (process.zone, self.workers[worker as usize].zone);
        if self.links.is_open_both_ways(from_zone, to_zone) {
            let at = self.now + self.links.delay(from_zone, to_zone);
            self.schedule(at, SimEvent::CancelArrives { worker, origin, failures: Some(failures) });
        } else {
            self.retry_cancel(origin, worker, failures);
        }
    }

    /// Sends a cancellation again that was not confirmed.
    pub(super) fn retry_cancel(&mut self, origin: Origin, worker: u32, failures: u32) {
        let at = self.now + CANCEL_RETRY_INTERVAL;
        self.schedule(at, SimEvent::SendCancel { worker, origin, failures: failures.saturating_add(1) });
    }

    pub(super) fn send_peer_message(&mut self, process: u32, to: Option<u32>, body: Vec<u8>) {
        let (rank, zone) = (self.processes[process as usize].rank, self.processes[process as usize].zone);
        let body = Rc::new(body);
        if to == Some(rank) {
            // A message to the own rank goes to the successor on the same machine.
            return self.schedule(self.now + 100, SimEvent::DatagramArrives { to: rank, from: rank, body });
        }
        self.recorder.record_message(self.now, rank, function(&body), body.len());
        let all_ranks = 0..self.plan.schedulers;
        let to = to.map_or(all_ranks, |to| to..to + 1);
        for to in to.filter(|&to| to != rank) {
            self.recorder.summary.extra.datagrams.0 += 1;
            if let Some(delay) = self.links.datagram_delay(zone, self.plan.zone_of(to)) {
                self.schedule(
                    self.now + delay,
                    SimEvent::DatagramArrives { to, from: rank, body: Rc::clone(&body) },
                );
            }
        }
    }

    pub(super) fn send_attempt(&mut self, process: u32, id: AttemptId, worker: WorkerId) {
        let Some(&index) = self.worker_numbers.get(&worker) else {
            return self.processes[process as usize].connection_failed(self.now, id);
        };
        let (from_zone, to_zone) = (self.processes[process as usize].zone, self.workers[index as usize].zone);
        let (state, incarnation) =
            (self.workers[index as usize].state, self.workers[index as usize].incarnation);
        let now = self.now;
        let idle = self.processes[process as usize].idle_connections.get_mut(&worker).and_then(|idle| {
            idle.retain(|&(since, connected_to)| now < since + MAX_IDLE_TIME && connected_to == incarnation);
            idle.pop()
        });
        if idle.is_some() {
            return self.write_attempt(process, id, index);
        }
        // Without an idle connection a new one is opened, which takes a round trip or fails after the timeout.
        let round_trip = self.links.delay(from_zone, to_zone) + self.links.delay(to_zone, from_zone);
        let reached = self.links.is_open_both_ways(from_zone, to_zone) && state != WorkerState::Vanished;
        match (reached, state) {
            (true, WorkerState::Up) => {
                self.schedule(now + round_trip, SimEvent::ConnectionUp { process, id, worker: index })
            }
            (true, _) => self.schedule(now + round_trip, SimEvent::ConnectionFailed { process, id }),
            (false, _) => self.schedule(now + MAX_TRANSIT_TIME, SimEvent::ConnectionFailed { process, id }),
        }
    }

    /// Writes an attempt on its connection.
    pub(super) fn write_attempt(&mut self, process: u32, id: AttemptId, worker: u32) {
        self.processes[process as usize].attempt_written(self.now, id);
        self.recorder.summary.extra.attempts += u64::from(self.recorder.is_measured(self.now));
        let (from_zone, to_zone) =
            (self.processes[process as usize].zone, self.workers[worker as usize].zone);
        if let Some(job) = self.processes[process as usize]
            .job_of_attempt(id)
            .filter(|_| self.links.is_open_both_ways(from_zone, to_zone))
        {
            let at = self.now + self.links.delay(from_zone, to_zone);
            self.schedule(at, SimEvent::AttemptArrives { origin: origin(process, id), worker, job });
        }
    }
}

/// The origin of an attempt of a process.
pub(super) fn origin(process: u32, id: AttemptId) -> Origin {
    Origin { process, request: id.request, attempt: id.number }
}

/// The function of a datagram. Each kind of datagram has a different length.
pub(super) fn function(body: &[u8]) -> Function {
    match body.len() {
        0..=3 => Function::Hellos,
        4..=6 => Function::FaultReports,
        _ => Function::PeerLoads,
    }
}
