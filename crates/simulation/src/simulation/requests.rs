//! Requests between clients and schedulers.

use super::*;

impl Simulation {
    pub(super) fn generate_request_and_schedule_next(&mut self) {
        self.generate_request(false);
        let next = self.now + self.clients.next_gap();
        if next < self.plan.measured_span().1 {
            self.schedule(next, SimEvent::NextRequest);
        }
    }

    pub(super) fn generate_request(&mut self, under_way: bool) {
        let measured = self.recorder.is_measured(self.now);
        let job = self.clients.draw_request(self.now, measured, under_way);
        self.recorder.summary.jobs += u64::from(measured);
        let index = self.jobs.len() as u32;
        self.schedule(job.expires + LOST_AFTER, SimEvent::RequestOverdue { job: index });
        self.jobs.push(job);
        self.open_requests += 1;
        self.schedule(self.now + CLIENT_DELAY, SimEvent::RequestArrives { job: index });
    }

    pub(super) fn request_arrives(&mut self, index: u32) {
        let job = &mut self.jobs[index as usize];
        let (rank, expires) = (job.rank, job.expires);
        let live =
            self.serving_process[rank as usize].filter(|&process| self.processes[process as usize].alive);
        let Some(process) = live else {
            // The load balancer has not yet noticed that the scheduler is gone; the client tries another scheduler.
            job.rank = self.clients.random_below(self.plan.schedulers);
            if self.now + FAILOVER_DELAY < expires {
                return self.schedule(self.now + FAILOVER_DELAY, SimEvent::RequestArrives { job: index });
            }
            return self.finish_request(index, Some(Answer::Refused));
        };
        let arrival = self.jobs[index as usize].arrival();
        self.with_process(process, |process, now| process.add_request(now, index, arrival));
    }

    pub(super) fn request_overdue(&mut self, index: u32) {
        if self.jobs[index as usize].answered {
            return;
        }
        self.finish_request(index, None);
        let rank = self.jobs[index as usize].rank;
        if let Some(process) = self.live_process(rank) {
            self.with_process(process, |process, _| process.client_left(index));
        }
    }

    /// Records the final answer to a request, or `None` if the request is lost.
    pub(crate) fn finish_request(&mut self, index: u32, answer: Option<Answer>) {
        let job = &mut self.jobs[index as usize];
        if std::mem::replace(&mut job.answered, true) {
            return;
        }
        self.open_requests -= 1;
        if !job.measured {
            return;
        }
        let summary = &mut self.recorder.summary;
        match answer {
            Some(Answer::Served) => {
                summary.served += 1;
                let aim = CLASSES[job.class].aim_for(job.work);
                summary.late += u64::from(self.now > job.arrived + aim);
            }
            Some(Answer::Refused) => summary.refused += 1,
            Some(Answer::Failed) => summary.extra.failed += 1,
            None => summary.lost += 1,
        }
    }
}
