//! What schedulers want, and the attempts between them and workers.

use super::*;

impl Simulation {
    pub(super) fn execute(&mut self, process: u32, work: Command) {
        match work {
            Command::SendAnswer { job, answer } => self.finish_request(job, Some(answer)),
            Command::SetDeadline(at, due) => {
                self.schedule(at, SimEvent::DeadlineReached { process, deadline: due })
            }
            Command::SendAttempt { id, worker } => self.send_attempt(process, id, worker),
            Command::Cancel { id, worker, accepted: taken } => {
                let Some(&index) = self.worker_numbers.get(&worker) else { return };
                let (here, there) =
                    (self.processes[process as usize].zone, self.workers[index as usize].zone);
                let origin = origin(process, id);
                if self.links.is_open_both_ways(here, there) {
                    let at = self.now + self.links.delay(here, there);
                    self.schedule(at, SimEvent::CancelArrives { worker: index, origin, acknowledges: taken });
                }
                if !taken {
                    self.schedule(
                        self.now + MAX_TRANSIT_TIME,
                        SimEvent::DeadlineReached { process, deadline: Deadline::CancelDelivered(id) },
                    );
                }
            }
            Command::SendProbe(worker) => self.send_probe(process, worker),
            Command::SendPeerMessage { to, body } => self.send_peer_message(process, to, body),
            Command::SetWatch(want) => self.set_watch(process, want),
            // The module asks for a watch only; a whole list is what a watch begins with where changes are not enough.
            Command::FetchList => self.set_watch(process, true),
        }
    }

    pub(super) fn send_peer_message(&mut self, process: u32, to: Option<u32>, body: Vec<u8>) {
        let (rank, zone) = (self.processes[process as usize].rank, self.processes[process as usize].zone);
        let body = Rc::new(body);
        if to == Some(rank) {
            // To the process that took over, on the same machine.
            return self.schedule(self.now + 100, SimEvent::DatagramArrives { to: rank, from: rank, body });
        }
        self.recorder.record_message(self.now, rank, function(&body), body.len());
        let all = 0..self.plan.schedulers;
        let to = to.map_or(all, |to| to..to + 1);
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
        let (here, there) = (self.processes[process as usize].zone, self.workers[index as usize].zone);
        let (life, incarnation) =
            (self.workers[index as usize].state, self.workers[index as usize].incarnation);
        let now = self.now;
        let idle = self.processes[process as usize].idle_connections.get_mut(&worker).and_then(|idle| {
            idle.retain(|&(since, whose)| now < since + MAX_IDLE_TIME && whose == incarnation);
            idle.pop()
        });
        if idle.is_some() {
            return self.write_attempt(process, id, index);
        }
        // A connection has to be made: there and back, or nothing comes back.
        let round = self.links.delay(here, there) + self.links.delay(there, here);
        let reached = self.links.is_open_both_ways(here, there) && life != WorkerState::Vanished;
        match (reached, life) {
            (true, WorkerState::Up) => {
                self.schedule(now + round, SimEvent::ConnectionUp { process, id, worker: index })
            }
            (true, _) => self.schedule(now + round, SimEvent::ConnectionFailed { process, id }),
            (false, _) => self.schedule(now + MAX_TRANSIT_TIME, SimEvent::ConnectionFailed { process, id }),
        }
    }

    /// The last byte of an attempt is written.
    pub(super) fn write_attempt(&mut self, process: u32, id: AttemptId, worker: u32) {
        self.processes[process as usize].attempt_written(self.now, id);
        self.recorder.summary.extra.attempts += u64::from(self.recorder.is_measured(self.now));
        let (here, there) = (self.processes[process as usize].zone, self.workers[worker as usize].zone);
        if let Some(job) = self.processes[process as usize]
            .job_of_attempt(id)
            .filter(|_| self.links.is_open_both_ways(here, there))
        {
            let at = self.now + self.links.delay(here, there);
            self.schedule(at, SimEvent::AttemptArrives { origin: origin(process, id), worker, job });
        }
    }
}

pub(super) fn origin(process: u32, id: AttemptId) -> Origin {
    Origin { process, request: id.request, attempt: id.number }
}

/// What a datagram is for, by its length: they are all of different ones.
pub(super) fn function(body: &[u8]) -> Function {
    match body.len() {
        0..=3 => Function::Hellos,
        4..=6 => Function::FaultReports,
        _ => Function::PeerLoads,
    }
}
