//! Tasks at workers, and the updates that workers send about them.

use super::*;

impl Simulation {
    pub(super) fn attempt_arrives(&mut self, origin: Origin, index: u32, job: u32) {
        let worker = &mut self.workers[index as usize];
        let (zone, incarnation) = (worker.zone, worker.incarnation);
        let Origin { process, request, attempt } = origin;
        let id = AttemptId { request, number: attempt };
        let reply_at = self.now + self.links.delay(zone, self.processes[process as usize].zone);
        match worker.state {
            WorkerState::Vanished => return,
            WorkerState::Stopped => {
                return self.schedule(reply_at, SimEvent::ConnectionFailed { process, id });
            }
            WorkerState::Up => {}
        }
        self.count_forbidden_attempt(job, index);
        let Job { slots, work, .. } = self.jobs[job as usize];
        self.task_count += 1;
        let worker = &mut self.workers[index as usize];
        if !worker.accept(self.now, self.task_count, Task { origin, job, slots, work, run_span: None }) {
            let update = TaskUpdate::Ended(Ending::Full, Some(worker.load_report(self.now)));
            return self.schedule(reply_at, SimEvent::TaskUpdateArrives { process, id, from: index, update });
        }
        let record = TaskRecord {
            task: self.task_count,
            worker: index,
            accepted_at: self.now,
            has_started: false,
            has_ended: false,
        };
        self.jobs[job as usize].task_records.push(record);
        let worker = worker_id(&self.workers[index as usize].name);
        self.schedule(reply_at, SimEvent::AttemptAccepted { process, id, worker, incarnation });
        self.start_tasks(index);
    }

    /// Counts an attempt that the rules forbid: an earlier attempt of the request is still at a worker, or it has run and a repeat
    /// is not safe.
    pub(super) fn count_forbidden_attempt(&mut self, job: u32, index: u32) {
        let job = &self.jobs[job as usize];
        let zone = self.workers[index as usize].zone;
        let repeat_is_safe = |record: &TaskRecord| match self.settings.classes[job.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => !record.has_started,
            Effect::Keyed { group, span } => {
                let other = &self.workers[record.worker as usize];
                let deduplicates = match group {
                    Group::All => true,
                    Group::Zone => other.zone == zone,
                    Group::Cell => other.cell == self.workers[index as usize].cell,
                };
                !record.has_started || (deduplicates && self.now < record.accepted_at + span)
            }
        };
        let forbidden = job.task_records.iter().any(|record| !record.has_ended || !repeat_is_safe(record));
        self.recorder.summary.doubled += u64::from(forbidden && job.measured);
    }

    pub(super) fn start_tasks(&mut self, index: u32) {
        let incarnation = self.workers[index as usize].incarnation;
        for (task, end) in self.workers[index as usize].start_tasks(self.now) {
            let Some(accepted) = self.workers[index as usize].tasks.get(&task) else { continue };
            let (job_index, origin) = (accepted.job, accepted.origin);
            let job = &mut self.jobs[job_index as usize];
            job.task_records
                .iter_mut()
                .filter(|record| record.task == task)
                .for_each(|record| record.has_started = true);
            let (class, waited) = (job.class, self.now - job.arrived);
            let first = !std::mem::replace(&mut job.started, true);
            self.recorder.record_start(self.now, class, first.then_some(waited));
            self.schedule(end, SimEvent::TaskDone { worker: index, incarnation, task });
            if self.now + PROGRESS_INTERVAL < end {
                self.schedule(
                    self.now + PROGRESS_INTERVAL,
                    SimEvent::TaskProgress { worker: index, incarnation, task },
                );
            }
            self.send_task_update(index, origin, TaskUpdate::Started, 1);
        }
    }

    pub(super) fn task_done(&mut self, index: u32, incarnation: u32, number: u64) {
        let worker = &mut self.workers[index as usize];
        if worker.incarnation != incarnation {
            return;
        }
        let Some(task) = worker.remove_task(self.now, number) else { return };
        let report = worker.load_report(self.now);
        self.task_ended(&task, number);
        self.send_task_update(index, task.origin, TaskUpdate::Ended(Ending::Ok, Some(report)), 1);
        self.start_tasks(index);
    }

    /// Records that a task has ended at its worker.
    pub(crate) fn task_ended(&mut self, task: &Task, number: u64) {
        if task.run_span.is_some() {
            self.recorder.record_stop();
        }
        let records = self.jobs[task.job as usize].task_records.iter_mut();
        records.filter(|record| record.task == number).for_each(|record| record.has_ended = true);
    }

    pub(super) fn task_progress(&mut self, index: u32, incarnation: u32, number: u64) {
        let worker = &self.workers[index as usize];
        let task = worker.tasks.get(&number).filter(|_| worker.incarnation == incarnation);
        let Some((origin, (started, end))) = task.and_then(|task| Some((task.origin, task.run_span?))) else {
            return;
        };
        let share = (self.now - started) as f64 / (end - started) as f64;
        if self.now + PROGRESS_INTERVAL < end {
            self.schedule(
                self.now + PROGRESS_INTERVAL,
                SimEvent::TaskProgress { worker: index, incarnation, task: number },
            );
        }
        // A progress update is sent only once, since the next one replaces it.
        self.send_task_update(index, origin, TaskUpdate::Progress(share), MAX_UPDATE_SENDS);
    }

    /// Sends an update on a task to the scheduler, for the first time or again. `sends` counts the sends.
    pub(crate) fn send_task_update(&mut self, index: u32, origin: Origin, update: TaskUpdate, sends: u32) {
        let worker = &self.workers[index as usize];
        let process = &self.processes[origin.process as usize];
        let open = self.links.is_open_both_ways(worker.zone, process.zone);
        let (from, to) = (worker.zone, process.zone);
        // The successor of a process receives its updates.
        let listens = process.alive || self.live_process(process.rank).is_some();
        if open && listens {
            let at = self.now + self.links.delay(from, to);
            let id = AttemptId { request: origin.request, number: origin.attempt };
            self.schedule(
                at,
                SimEvent::TaskUpdateArrives { process: origin.process, id, from: index, update },
            );
        } else if sends < MAX_UPDATE_SENDS && worker.state != WorkerState::Vanished {
            self.schedule(
                self.now + UPDATE_RETRY_INTERVAL,
                SimEvent::SendTaskUpdate { worker: index, origin, update, sends: sends + 1 },
            );
        } else if let TaskUpdate::Ended(..) = update {
            self.recorder.summary.extra.tasks_lost += 1;
        }
    }

    pub(super) fn task_update_arrives(&mut self, mut process: u32, mut id: AttemptId, update: TaskUpdate) {
        // An update on a transferred attempt goes to the successor.
        while let Some(&(successor, successor_id)) =
            self.processes[process as usize].transferred_attempts.get(&id)
        {
            (process, id) = (successor, successor_id);
        }
        self.with_process(process, |process, now| match update {
            TaskUpdate::Started => process.attempt_note(id, AttemptNote::Started),
            TaskUpdate::Progress(share) => process.attempt_note(id, AttemptNote::Progress(share)),
            TaskUpdate::Ended(ending, report) => process.attempt_ended(now, id, ending, report),
        });
    }

    /// `failures`: number of cancellations of the attempt that were not confirmed; `None` if this is the end of its
    /// connection, which is not confirmed.
    pub(super) fn cancel_arrives(&mut self, index: u32, origin: Origin, failures: Option<u32>) {
        let worker = &mut self.workers[index as usize];
        if worker.state != WorkerState::Up {
            if let Some(failures) = failures {
                self.retry_cancel(origin, index, failures);
            }
            return;
        }
        let zone = worker.zone;
        if let Some((number, task)) =
            worker.find_task(origin).and_then(|at| Some((at, worker.remove_task(self.now, at)?)))
        {
            self.task_ended(&task, number);
            self.start_tasks(index);
        }
        if failures.is_some() {
            let process = origin.process;
            let id = AttemptId { request: origin.request, number: origin.attempt };
            let at = self.now + self.links.delay(zone, self.processes[process as usize].zone);
            self.schedule(at, SimEvent::DeadlineReached { process, deadline: Deadline::CancelConfirmed(id) });
        }
    }

    pub(super) fn send_probe(&mut self, process: u32, worker: WorkerId) {
        let Some(&index) = self.worker_numbers.get(&worker) else { return };
        let (rank, from_zone) =
            (self.processes[process as usize].rank, self.processes[process as usize].zone);
        let (to_zone, state) = (self.workers[index as usize].zone, self.workers[index as usize].state);
        if self.links.is_open_both_ways(from_zone, to_zone) && state == WorkerState::Up {
            self.recorder.record_message(self.now, rank, Function::Probes, encode::probe_request().len());
            let at = self.now + self.links.delay(from_zone, to_zone);
            self.schedule(at, SimEvent::ProbeArrives { process, worker: index, sent: self.now });
        } else {
            let (sent, report, bytes) = (self.now, None, 0);
            self.schedule(
                self.now + MAX_TRANSIT_TIME,
                SimEvent::ProbeFinished { process, worker, sent, report, bytes },
            );
        }
    }

    pub(super) fn probe_arrives(&mut self, process: u32, index: u32, sent: Micros) {
        let worker = &self.workers[index as usize];
        let (report, id, zone) = (worker.load_report(self.now), worker_id(&worker.name), worker.zone);
        let (inflight, queue, free) = worker.reported_load(self.now);
        let up = worker.state == WorkerState::Up;
        let bytes = if up { encode::probe_response(inflight, queue, free).len() } else { 0 };
        let at = self.now + self.links.delay(zone, self.processes[process as usize].zone);
        let report = Some(report).filter(|_| up);
        self.schedule(at, SimEvent::ProbeFinished { process, worker: id, sent, report, bytes });
    }
}
