//! Requests on their way between clients and schedulers.

use super::*;

impl World {
    pub(super) fn arrive_and_go_on(&mut self) {
        self.arrive(false);
        let next = self.now + self.clients.gap();
        if next < self.plan.span().1 {
            self.lay(next, Happening::Arrive);
        }
    }

    pub(super) fn arrive(&mut self, under_way: bool) {
        let counts = self.ledger.counts(self.now);
        let job = self.clients.draw(self.now, counts, under_way);
        self.ledger.account.jobs += u64::from(counts);
        let nr = self.jobs.len() as u32;
        self.lay(job.expires + OVERDUE, Happening::Overdue { job: nr });
        self.jobs.push(job);
        self.open += 1;
        self.lay(self.now + CLIENT, Happening::Request { job: nr });
    }

    pub(super) fn request(&mut self, nr: u32) {
        let job = &mut self.jobs[nr as usize];
        let (rank, expires) = (job.rank, job.expires);
        let serving = self.serving[rank as usize].filter(|&process| self.processes[process as usize].alive);
        let Some(process) = serving else {
            // The front has not seen yet that it has gone, and the client turns to another.
            job.rank = self.clients.below(self.plan.schedulers);
            if self.now + FRONT < expires {
                return self.lay(self.now + FRONT, Happening::Request { job: nr });
            }
            return self.answered(nr, Some(Answer::Refused));
        };
        let arrival = self.jobs[nr as usize].arrival();
        self.with(process, |process, now| process.arrive(now, nr, arrival));
    }

    pub(super) fn overdue(&mut self, nr: u32) {
        if self.jobs[nr as usize].answered {
            return;
        }
        self.answered(nr, None);
        let rank = self.jobs[nr as usize].rank;
        if let Some(process) = self.alive(rank) {
            self.with(process, |process, _| process.leave(nr));
        }
    }

    /// A request has its final answer, or will never have one.
    pub(crate) fn answered(&mut self, nr: u32, answer: Option<Answer>) {
        let job = &mut self.jobs[nr as usize];
        if std::mem::replace(&mut job.answered, true) {
            return;
        }
        self.open -= 1;
        if !job.measured {
            return;
        }
        let account = &mut self.ledger.account;
        match answer {
            Some(Answer::Served) => {
                account.served += 1;
                let aim = CLASSES[job.class].aim_for(job.work);
                account.late += u64::from(self.now > job.arrived + aim);
            }
            Some(Answer::Refused) => account.refused += 1,
            Some(Answer::Failed) => account.extra.failed += 1,
            None => account.lost += 1,
        }
    }
}
