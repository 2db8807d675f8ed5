//! What happens at workers, and what they tell.

use super::*;

impl World {
    pub(super) fn attempt_at(&mut self, origin: Origin, nr: u32, job: u32) {
        let worker = &mut self.workers[nr as usize];
        let (zone, incarnation) = (worker.zone, worker.incarnation);
        let Origin { process, request, attempt } = origin;
        let id = AttemptId { request, number: attempt };
        let back = self.now + self.links.delay(zone, self.processes[process as usize].zone);
        match worker.life {
            Life::Vanished => return,
            Life::Ended => return self.lay(back, Happening::Fails { process, id }),
            Life::Up => {}
        }
        self.doubles(job, nr);
        let Job { slots, work, .. } = self.jobs[job as usize];
        self.tasks += 1;
        let worker = &mut self.workers[nr as usize];
        if !worker.take(self.now, self.tasks, Task { origin, job, slots, work, runs: None }) {
            let news = News::Over(Ending::Full, Some(worker.report(self.now)));
            return self.lay(back, Happening::News { process, id, from: nr, news });
        }
        let run = Run { number: self.tasks, worker: nr, at: self.now, ran: false, over: false };
        self.jobs[job as usize].runs.push(run);
        let worker = worker_id(&self.workers[nr as usize].name);
        self.lay(back, Happening::Taken { process, id, worker, incarnation });
        self.start_tasks(nr);
    }

    /// Counts an attempt that the rules did not allow: an earlier one has neither ended nor been given up, or may have run
    /// where that is not harmless.
    pub(super) fn doubles(&mut self, job: u32, nr: u32) {
        let job = &self.jobs[job as usize];
        let zone = self.workers[nr as usize].zone;
        let harmless = |run: &Run| match self.settings.classes[job.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => !run.ran,
            Effect::Keyed { group, span } => {
                let there = &self.workers[run.worker as usize];
                let drops = match group {
                    Group::All => true,
                    Group::Zone => there.zone == zone,
                    Group::Cell => there.cell == self.workers[nr as usize].cell,
                };
                !run.ran || (drops && self.now < run.at + span)
            }
        };
        let broken = job.runs.iter().any(|run| !run.over || !harmless(run));
        self.ledger.account.doubled += u64::from(broken && job.measured);
    }

    pub(super) fn start_tasks(&mut self, nr: u32) {
        let incarnation = self.workers[nr as usize].incarnation;
        for (task, end) in self.workers[nr as usize].start(self.now) {
            let Some(taken) = self.workers[nr as usize].tasks.get(&task) else { continue };
            let (job, origin) = (taken.job, taken.origin);
            let told = &mut self.jobs[job as usize];
            told.runs.iter_mut().filter(|run| run.number == task).for_each(|run| run.ran = true);
            let (class, waited) = (told.class, self.now - told.arrived);
            let first = !std::mem::replace(&mut told.started, true);
            self.ledger.started(self.now, class, first.then_some(waited));
            self.lay(end, Happening::Done { worker: nr, incarnation, task });
            if self.now + PROGRESS < end {
                self.lay(self.now + PROGRESS, Happening::Progress { worker: nr, incarnation, task });
            }
            self.tell(nr, origin, News::Started, 1);
        }
    }

    pub(super) fn done(&mut self, nr: u32, incarnation: u32, number: u64) {
        let worker = &mut self.workers[nr as usize];
        if worker.incarnation != incarnation {
            return;
        }
        let Some(task) = worker.remove(self.now, number) else { return };
        let report = worker.report(self.now);
        self.over(&task, number);
        self.tell(nr, task.origin, News::Over(Ending::Ok, Some(report)), 1);
        self.start_tasks(nr);
    }

    /// A task is over at its worker.
    pub(crate) fn over(&mut self, task: &Task, number: u64) {
        if task.runs.is_some() {
            self.ledger.stopped();
        }
        let runs = self.jobs[task.job as usize].runs.iter_mut();
        runs.filter(|run| run.number == number).for_each(|run| run.over = true);
    }

    pub(super) fn progress(&mut self, nr: u32, incarnation: u32, number: u64) {
        let worker = &self.workers[nr as usize];
        let task = worker.tasks.get(&number).filter(|_| worker.incarnation == incarnation);
        let Some((origin, (begun, end))) = task.and_then(|task| Some((task.origin, task.runs?))) else {
            return;
        };
        let share = (self.now - begun) as f64 / (end - begun) as f64;
        if self.now + PROGRESS < end {
            self.lay(self.now + PROGRESS, Happening::Progress { worker: nr, incarnation, task: number });
        }
        // Told once: the next one says more.
        self.tell(nr, origin, News::Progress(share), TOLD);
    }

    /// A worker tells a process something of a task, for the first time or again.
    pub(crate) fn tell(&mut self, nr: u32, origin: Origin, news: News, times: u32) {
        let worker = &self.workers[nr as usize];
        let process = &self.processes[origin.process as usize];
        let open = self.links.both(worker.zone, process.zone);
        let (from, to) = (worker.zone, process.zone);
        // Another process may listen there now.
        let listens = process.alive || self.alive(process.rank).is_some();
        if open && listens {
            let at = self.now + self.links.delay(from, to);
            let id = AttemptId { request: origin.request, number: origin.attempt };
            self.lay(at, Happening::News { process: origin.process, id, from: nr, news });
        } else if times < TOLD && worker.life != Life::Vanished {
            self.lay(self.now + AGAIN, Happening::Tell { worker: nr, origin, news, times: times + 1 });
        } else if let News::Over(..) = news {
            self.ledger.account.extra.tasks_lost += 1;
        }
    }

    pub(super) fn news(&mut self, mut process: u32, mut id: AttemptId, news: News) {
        // What a process left to the one that took over is told to that one.
        while let Some(&(successor, there)) = self.processes[process as usize].moved.get(&id) {
            (process, id) = (successor, there);
        }
        self.with(process, |process, now| match news {
            News::Started => process.note(id, AttemptNote::Started),
            News::Progress(share) => process.note(id, AttemptNote::Progress(share)),
            News::Over(ending, report) => process.over(now, id, ending, report),
        });
    }

    pub(super) fn give_up_at(&mut self, nr: u32, origin: Origin, answers: bool) {
        let worker = &mut self.workers[nr as usize];
        if worker.life != Life::Up {
            return;
        }
        let zone = worker.zone;
        if let Some((number, task)) =
            worker.find(origin).and_then(|at| Some((at, worker.remove(self.now, at)?)))
        {
            self.over(&task, number);
            self.start_tasks(nr);
        }
        if answers {
            let process = origin.process;
            let id = AttemptId { request: origin.request, number: origin.attempt };
            let at = self.now + self.links.delay(zone, self.processes[process as usize].zone);
            self.lay(at, Happening::Due { process, due: Due::CalledOff(id) });
        }
    }

    pub(super) fn probe(&mut self, process: u32, worker: WorkerId) {
        let Some(&nr) = self.by_id.get(&worker) else { return };
        let (rank, here) = (self.processes[process as usize].rank, self.processes[process as usize].zone);
        let (there, life) = (self.workers[nr as usize].zone, self.workers[nr as usize].life);
        if self.links.both(here, there) && life == Life::Up {
            self.ledger.message(self.now, rank, Function::Probes, encode::probe_call().len());
            let at = self.now + self.links.delay(here, there);
            self.lay(at, Happening::ProbeAt { process, worker: nr, sent: self.now });
        } else {
            let (sent, report, bytes) = (self.now, None, 0);
            self.lay(self.now + ARRIVES, Happening::Probed { process, worker, sent, report, bytes });
        }
    }

    pub(super) fn probe_at(&mut self, process: u32, nr: u32, sent: Micros) {
        let worker = &self.workers[nr as usize];
        let (report, id, zone) = (worker.report(self.now), worker_id(&worker.name), worker.zone);
        let (inflight, queue, free) = worker.load(self.now);
        let up = worker.life == Life::Up;
        let bytes = if up { encode::probe_answer(inflight, queue, free).len() } else { 0 };
        let at = self.now + self.links.delay(zone, self.processes[process as usize].zone);
        let report = Some(report).filter(|_| up);
        self.lay(at, Happening::Probed { process, worker: id, sent, report, bytes });
    }
}
