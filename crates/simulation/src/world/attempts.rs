//! What schedulers want, and the attempts between them and workers.

use super::*;

impl World {
    pub(super) fn carry_out(&mut self, process: u32, work: Work) {
        match work {
            Work::Answer { job, answer } => self.answered(job, Some(answer)),
            Work::Due(at, due) => self.lay(at, Happening::Due { process, due }),
            Work::Send { id, worker } => self.send(process, id, worker),
            Work::GiveUp { id, worker, taken } => {
                let Some(&nr) = self.by_id.get(&worker) else { return };
                let (here, there) = (self.processes[process as usize].zone, self.workers[nr as usize].zone);
                let origin = origin(process, id);
                if self.links.both(here, there) {
                    let at = self.now + self.links.delay(here, there);
                    self.lay(at, Happening::GiveUpAt { worker: nr, origin, answers: taken });
                }
                if !taken {
                    self.lay(self.now + ARRIVES, Happening::Due { process, due: Due::CalledOff(id) });
                }
            }
            Work::Probe(worker) => self.probe(process, worker),
            Work::Tell { to, body } => self.say(process, to, body),
            Work::Watch(want) => self.watch(process, want),
            // The module asks for a watch only; a whole list is what a watch begins with where changes are not enough.
            Work::FetchList => self.watch(process, true),
        }
    }

    pub(super) fn say(&mut self, process: u32, to: Option<u32>, body: Vec<u8>) {
        let (rank, zone) = (self.processes[process as usize].rank, self.processes[process as usize].zone);
        let body = Rc::new(body);
        if to == Some(rank) {
            // To the process that took over, on the same machine.
            return self.lay(self.now + 100, Happening::Datagram { to: rank, from: rank, body });
        }
        self.ledger.message(self.now, rank, function(&body), body.len());
        let all = 0..self.plan.schedulers;
        let to = to.map_or(all, |to| to..to + 1);
        for to in to.filter(|&to| to != rank) {
            self.ledger.account.extra.datagrams.0 += 1;
            if let Some(delay) = self.links.datagram(zone, self.plan.zone_of(to)) {
                self.lay(self.now + delay, Happening::Datagram { to, from: rank, body: Rc::clone(&body) });
            }
        }
    }

    pub(super) fn send(&mut self, process: u32, id: AttemptId, worker: WorkerId) {
        let Some(&nr) = self.by_id.get(&worker) else {
            return self.processes[process as usize].broke(self.now, id);
        };
        let (here, there) = (self.processes[process as usize].zone, self.workers[nr as usize].zone);
        let (life, incarnation) = (self.workers[nr as usize].life, self.workers[nr as usize].incarnation);
        let now = self.now;
        let idle = self.processes[process as usize].idle.get_mut(&worker).and_then(|idle| {
            idle.retain(|&(since, whose)| now < since + REST && whose == incarnation);
            idle.pop()
        });
        if idle.is_some() {
            return self.write(process, id, nr);
        }
        // A connection has to be made: there and back, or nothing comes back.
        let round = self.links.delay(here, there) + self.links.delay(there, here);
        let reached = self.links.both(here, there) && life != Life::Vanished;
        match (reached, life) {
            (true, Life::Up) => self.lay(now + round, Happening::Up { process, id, worker: nr }),
            (true, _) => self.lay(now + round, Happening::Fails { process, id }),
            (false, _) => self.lay(now + ARRIVES, Happening::Fails { process, id }),
        }
    }

    /// The last byte of an attempt is written.
    pub(super) fn write(&mut self, process: u32, id: AttemptId, worker: u32) {
        self.processes[process as usize].written(self.now, id);
        self.ledger.account.extra.attempts += u64::from(self.ledger.counts(self.now));
        let (here, there) = (self.processes[process as usize].zone, self.workers[worker as usize].zone);
        if let Some(job) = self.processes[process as usize].job(id).filter(|_| self.links.both(here, there)) {
            let at = self.now + self.links.delay(here, there);
            self.lay(at, Happening::AttemptAt { origin: origin(process, id), worker, job });
        }
    }
}

pub(super) fn origin(process: u32, id: AttemptId) -> Origin {
    Origin { process, request: id.request, attempt: id.number }
}

/// What a datagram is for, by its length: they are all of different ones.
pub(super) fn function(body: &[u8]) -> Function {
    match body.len() {
        0..=3 => Function::Greetings,
        4..=6 => Function::Troubles,
        _ => Function::Talk,
    }
}
