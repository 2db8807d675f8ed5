//! Attempts and final answers: the rules on sending, and the reaction to the end of an attempt.

use super::*;
use calicolb_shutdown::{FinalAnswer, final_answer};

impl Dispatcher {
    /// Returns true if an attempt may still start. The host asks right before it writes the first byte: the connection
    /// may have been established after the client left, the worker began to drain, or the workers ceased to drop
    /// repeats of an earlier attempt.
    pub fn may_start_attempt(&self, now: Micros, id: RequestId, attempt: u32) -> bool {
        let (request, position) = (self.requests.get(&id), attempt as usize);
        let index = request.and_then(|request| request.attempts.get(position)).map(|own| own.worker);
        request.zip(index).is_some_and(|(request, index)| self.attempt_allowed(now, request, position, index))
    }

    /// Returns true if the rules that hold until the first byte of an attempt allow the attempt of this number at this
    /// worker.
    fn attempt_allowed(&self, now: Micros, request: &Request, attempt: usize, index: usize) -> bool {
        let worker = &self.workers[index];
        if request.done || attempt >= self.settings.limits.max_attempts as usize {
            return false;
        }
        // Rule 2 forbids a repeat that could do harm. In addition nothing is sent to a worker at which an earlier
        // attempt may still run, even where copies are allowed.
        let earlier = &request.attempts[..attempt];
        let runs_there = Request::may_run(earlier, index);
        let mut may_have_run = earlier.iter().filter(|attempt| attempt.state != AttemptState::NeverRan);
        let repeat_harmless = match request.effect {
            Effect::Safe => true,
            Effect::Unsafe => may_have_run.next().is_none(),
            Effect::Keyed { group, span } => may_have_run.all(|attempt| {
                let drops_repeats = worker.drops_repeats(group, &self.workers[attempt.worker]);
                drops_repeats && is_remembered(now, attempt, span)
            }),
        };
        // Rule 3 forbids sends to a draining worker. Nothing is sent after the notification of the drain, so the grace
        // period that rule 3 allows is never used. Nothing is sent by an outdated worker list either.
        repeat_harmless
            && !runs_there
            && !self.worker_list.stale(now)
            && worker.status == WorkerStatus::On
            && !worker.lacks_skill(request.skill)
    }

    /// Returns true if a request whose attempts may all have run may be sent again, as far as its effect and the number
    /// of its attempts decide.
    pub fn may_repeat(&self, now: Micros, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id).filter(|request| !request.done) else { return false };
        let repeat_harmless = match request.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { span, .. } => {
                request.attempts.iter().all(|attempt| is_remembered(now, attempt, span))
            }
        };
        repeat_harmless && request.attempts.len() < self.settings.limits.max_attempts as usize
    }

    /// Returns true if all rules allow sending the job to this worker now. [`Self::send_attempt`] checks in addition
    /// whether an attempt of the request is in flight.
    pub(super) fn may_send(&self, now: Micros, request: &Request, index: usize) -> bool {
        if !self.attempt_allowed(now, request, request.attempts.len(), index) {
            return false;
        }
        // Rule 4 limits the work sent to a cold worker. The successor process goes on counting that work, so a process
        // with a successor sends nothing to cold workers.
        let work = request.size * request.slots as f64;
        self.capacity_fraction(index, now) >= 1.0
            || (!self.has_successor && self.cold_allowance(now, index, work) == Allowance::Yes)
    }

    /// Returns the work that this dispatcher sent to a cold worker within the last window (`fall_window`) of rule 4, in
    /// microseconds at speed 1.
    pub(super) fn cold_work_sent(&self, now: Micros, index: usize) -> f64 {
        let window_start = now.saturating_sub(self.settings.rules.fall_window);
        self.workers[index]
            .cold_sent
            .iter()
            .filter(|(sent_at, _)| *sent_at >= window_start)
            .map(|sent| sent.1)
            .sum()
    }

    /// Decides whether this dispatcher may send this amount of work, in microseconds at speed 1, to a cold worker. It
    /// may send as a member of the cohort whose share holds the worker, or as a designated sender chosen by the id and
    /// start time of the worker. Without messages between dispatchers the senders rotate.
    pub(super) fn cold_allowance(&self, now: Micros, index: usize, work: f64) -> Allowance {
        let (worker, rules) = (&self.workers[index], &self.settings.rules);
        let (capacity, window) =
            (self.lane_count(index) as f64 * self.speed(index), rules.fall_window as f64);
        let budget =
            COLD_BUDGET_SHARE * rules.fall_multiple * self.capacity_fraction(index, now) * capacity * window;
        let work_per_window =
            (self.knowledge.work_rate.per_s() / SECOND as f64 * window).max(self.knowledge.mean_run_time);
        let draw = mix(u64::from(worker.id.0), worker.started.unwrap_or(0));
        let (rank, sent) = (self.settings.rank, self.cold_work_sent(now, index));
        if !self.settings.limits.peers {
            let rotation =
                ColdRotation::new(budget, work_per_window, self.peer_set.size(), self.settings.zones);
            let (own_zone, draw_and_window) =
                (worker.zone == self.settings.zone, (draw, now / rules.fall_window.max(1)));
            return self.shared_spending.count_allowance(rotation.allows(
                own_zone,
                draw_and_window,
                rank,
                sent,
                work,
            ));
        }
        let members = self.cohorts.get(worker.cohort).map_or(0, |cohort| cohort.1.len());
        let cold_budget = ColdBudget::new(budget, members, work_per_window, self.peer_set.size());
        let sender =
            Sender::of(worker.in_own_share, cold_budget.is_designated(draw, rank, self.peer_set.size()));
        let recent = |peer: &&PeerLoad| peer.received_at + rules.fall_window > now && peer.from != rank;
        let sent_by_peers = worker.peers.iter().filter(recent).map(|peer| peer.cold_work).sum();
        self.shared_spending.count_allowance(cold_budget.allows(sender, sent, sent_by_peers, work))
    }

    /// Sends an attempt of a request to a worker. Returns `false` without sending if the rules forbid it.
    pub(super) fn send_attempt(&mut self, now: Micros, id: RequestId, index: usize) -> bool {
        let second_copy = !self.settings.limits.concurrent_attempts && self.requests[&id].has_outstanding();
        if second_copy || !self.may_send(now, &self.requests[&id], index) {
            return false;
        }
        let Request { size, slots, effect, .. } = self.requests[&id];
        let mut lanes = Vec::new();
        self.lane_end_times(index, now, &mut lanes);
        lanes.sort_unstable();
        let start = lanes[slots.min(lanes.len()) - 1];
        let end = start + self.run_time(index, size, now);
        let cold = self.capacity_fraction(index, now) < 1.0;
        let attempt = self.requests[&id].attempts.len() as u32;
        let new_attempt = Attempt { worker: index, sent: now, state: AttemptState::InFlight };
        self.requests.entry(id).and_modify(|request| request.attempts.push(new_attempt));
        let worker = &mut self.workers[index];
        let (measures_size, awaits_start, progress) = (start <= now, self.settings.tells_start, None);
        let own = OwnAttempt {
            request: id,
            attempt,
            slots,
            sent: now,
            end,
            start,
            measures_size,
            awaits_start,
            progress,
        };
        worker.own.push(own);
        if cold {
            worker.cold_sent.push_back((now, size * slots as f64));
            self.shared_spending.cold_jobs += 1;
        }
        self.actions.push(Action::Send { request: id, worker: worker.id, timeout: None });
        let repeats = effect != Effect::Unsafe;
        if repeats && self.settings.limits.cancel && self.settings.tells_start {
            self.hold_queue.unstarted.insert((now + START_NOTICE_TIMEOUT, id));
            self.schedule_wake(now, now + START_NOTICE_TIMEOUT);
        }
        self.send_load(now, index, None);
        true
    }

    /// Sends the final answer to a request without a result: a refusal if it is certain that nothing ran, or if a
    /// repeat is harmless, and a failure otherwise.
    pub(crate) fn finish(&mut self, now: Micros, id: RequestId, reason: Rejection) {
        self.unhold(id);
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.done) else { return };
        request.done = true;
        let reason = self.rejections.count(reason);
        let states = request.attempts.iter().map(|attempt| attempt.state);
        if final_answer(request.effect.repeatable(), states) == FinalAnswer::Refused {
            let limits = &self.settings.limits;
            let left = request.expires.saturating_sub(now);
            let pause = (self.knowledge.mean_run_time / 4.0) as Micros;
            let retry_after = limits.retry_advice.then_some(pause.min(limits.retry_advice_max).min(left / 4));
            self.actions.push(Action::Refuse { request: id, retry_after, reason });
        } else {
            self.actions.push(Action::Fail(id));
        }
        self.remove_if_complete(id);
    }

    /// Handles the departure of a client: cancels attempts in flight, whose results nobody would receive, and closes
    /// the request.
    pub(super) fn on_request_abandoned(&mut self, id: RequestId) {
        self.cancel_attempts(id);
        self.close(id);
    }

    /// Cancels the attempts in flight of a request, where cancelling is allowed.
    fn cancel_attempts(&mut self, id: RequestId) {
        let attempts = self.requests.get(&id).into_iter().flat_map(|request| (0..).zip(&request.attempts));
        let in_flight = attempts
            .filter(|(_, attempt)| attempt.state == AttemptState::InFlight && self.settings.limits.cancel);
        self.actions.extend(in_flight.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
    }

    /// Sends the final answer to a request that has no result when the process ends, and cancels its attempts.
    pub(super) fn on_finish_request(&mut self, now: Micros, id: RequestId) {
        if !self.requests.contains_key(&id) {
            return self.actions.push(Action::Fail(id));
        }
        self.finish(now, id, Rejection::ShuttingDown);
        self.cancel_attempts(id);
    }

    /// Completes a request without a final answer of this dispatcher.
    pub(super) fn close(&mut self, id: RequestId) {
        self.unhold(id);
        self.requests.entry(id).and_modify(|request| request.done = true);
        self.remove_if_complete(id);
    }

    /// Removes a request once it is answered and its last attempt has ended.
    pub(super) fn remove_if_complete(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|request| request.done && !request.has_outstanding()) {
            self.requests.remove(&id);
        }
    }

    /// Returns the index of the worker of an attempt and its position in the list of own attempts there.
    pub(super) fn find_own_attempt(&self, id: RequestId, attempt: u32) -> Option<(usize, usize)> {
        let index = self.requests.get(&id)?.attempts.get(attempt as usize)?.worker;
        let position =
            self.workers[index].own.iter().position(|own| own.request == id && own.attempt == attempt)?;
        Some((index, position))
    }

    /// Handles the start of an attempt at its worker and updates its expected end.
    pub(super) fn on_started(&mut self, now: Micros, id: RequestId, attempt: u32) {
        let Some((index, position)) = self.find_own_attempt(id, attempt) else { return };
        let size = self.requests[&id].size;
        let end = now + self.run_time(index, size, now);
        let own = &mut self.workers[index].own[position];
        let (start_awaited, job_waited) = (own.awaits_start, now > own.sent + START_NOTICE_TIMEOUT);
        (own.start, own.end, own.measures_size, own.awaits_start) = (now, end, true, false);
        if start_awaited && self.counts_lanes_by_starts() {
            self.record_start(now, index, job_waited);
        }
    }

    /// Handles a notice about an attempt.
    pub(super) fn on_note(&mut self, now: Micros, id: RequestId, attempt: u32, note: AttemptNote) {
        if note == AttemptNote::Over {
            self.requests.entry(id).and_modify(|request| request.mark_ended(attempt));
        }
        let Some((index, position)) = self.find_own_attempt(id, attempt) else { return };
        match note {
            AttemptNote::Started => self.on_started(now, id, attempt),
            AttemptNote::Silent if self.workers[index].own[position].awaits_start => {
                // The worker or the connection to it has failed; this is not a sign of a queue at the worker. A job
                // that may run twice is tried at another worker. For any other job the dispatcher can only wait.
                self.workers[index].own[position].awaits_start = false;
                self.record_fault(now, index, 1);
                if self.requests[&id].effect == Effect::Safe && self.settings.limits.cancel {
                    self.actions.push(Action::Cancel { request: id, attempt });
                }
            }
            AttemptNote::Progress(done) if done > 0.0 && done <= 1.0 => {
                let own = &mut self.workers[index].own[position];
                // The rate of progress is measured between two notices, or from the start to the first notice if the
                // start is known.
                let rate = match own.progress {
                    Some((noted_at, noted_done)) if done > noted_done => {
                        (done - noted_done) / (now - noted_at).max(1) as f64
                    }
                    _ if own.measures_size => done / (now - own.start.min(now)).max(1) as f64,
                    _ => 1.0 / self.knowledge.mean_run_time,
                };
                own.progress = Some((now, done));
                own.end = now + ((1.0 - done) / rate).min(3600.0 * SECOND as f64) as Micros;
            }
            AttemptNote::UnattributedEnd(ending) => self.on_unattributed_end(now, id, attempt, ending),
            AttemptNote::Silent | AttemptNote::Progress(_) | AttemptNote::Over => {}
        }
    }

    /// Handles a report of an end that may belong to an earlier attempt at the same worker. A job that may run twice is
    /// cancelled, so that it is certainly over before it is sent again. For any other job the dispatcher waits: if the
    /// job runs, its result is still to come, and no report can show that it never ran.
    fn on_unattributed_end(&mut self, now: Micros, id: RequestId, attempt: u32, ending: Ending) {
        let Some((index, _)) = self.find_own_attempt(id, attempt) else { return };
        if self.requests[&id].effect == Effect::Unsafe || !self.settings.limits.cancel {
            return;
        }
        if ending == Ending::Full {
            self.assume_other_lanes_busy(now, index);
        }
        self.actions.push(Action::Cancel { request: id, attempt });
    }

    /// Records that a worker has no free lane, because a job of this dispatcher does not start there.
    pub(super) fn assume_other_lanes_busy(&mut self, now: Micros, index: usize) {
        let running = self.workers[index].running();
        let others = self.lane_count(index).saturating_sub(running);
        self.workers[index].foreign = Some((now, others as f64));
    }

    /// Handles the end of an attempt: learns about the worker, and retries or answers the request.
    pub(super) fn on_outcome(&mut self, now: Micros, outcome: Outcome) {
        let Outcome { request: id, attempt, ending, elapsed, running, concluded, .. } = outcome;
        let Some((index, position)) = self.find_own_attempt(id, attempt) else { return };
        let own = self.workers[index].own.swap_remove(position);
        let mut ln_speed = None;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts[attempt as usize].state = ending.state(running);
        request.done |= concluded;
        let (class, hint) = (request.class, request.hint);
        match ending {
            Ending::Ok => {
                let strikes_before = self.workers[index].health.strikes(now);
                self.workers[index].health.record_success(now);
                self.send_fault_report(now, index, strikes_before);
                self.record_connection(now, index, true);
                self.adjust_lanes(index, own.slots, true);
                if own.measures_size {
                    let time = if own.start > own.sent { now.saturating_sub(own.start) } else { elapsed };
                    ln_speed = self.learn_run_time(now, index, (class, hint), time);
                }
            }
            Ending::Full => {
                self.adjust_lanes(index, own.slots, false);
                let lanes = self.lane_count(index) as f64;
                // All lanes of the worker and its own queue are full. The queue is assumed to hold half as many jobs as
                // there are lanes.
                self.workers[index].foreign = Some((now, 1.5 * lanes));
                self.workers[index].load_known_at = now;
                self.learn_zone_load(index, lanes);
            }
            Ending::Unreachable => {
                self.record_fault(now, index, 1);
                self.record_connection(now, index, false);
            }
            // A worker that answers with errors is soon free again and would attract more jobs than others, so an
            // error counts twice.
            Ending::Error => self.record_fault(now, index, 2),
            Ending::Broken => self.record_fault(now, index, 1),
            Ending::TimedOut | Ending::Cancelled | Ending::NotSent | Ending::Unusable => {}
        }
        self.send_load(now, index, ln_speed);
        self.retry_or_answer(now, id, ending);
        self.remove_if_complete(id);
        self.offer_freed_lane(now, index);
    }

    /// Retries a request whose attempt ended without an answer, where a retry is allowed and can help, and answers it
    /// otherwise.
    pub(super) fn retry_or_answer(&mut self, now: Micros, id: RequestId, ending: Ending) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.done || request.held || request.has_outstanding() {
            return;
        }
        let may_have_run = request.may_have_run();
        let not_repeatable = request.effect == Effect::Unsafe && may_have_run;
        let attempts_used_up = request.attempts.len() >= self.settings.limits.max_attempts as usize;
        let expired = now + 2 * self.settings.tick >= request.expires;
        let rejection = match ending {
            Ending::Unusable => Some(Rejection::Unusable),
            Ending::NotSent => Some(Rejection::SentTooLate),
            _ if not_repeatable => Some(Rejection::NotRepeatable),
            _ if attempts_used_up => Some(Rejection::AttemptsSpent),
            _ if expired => Some(Rejection::Expired),
            _ => None,
        };
        if rejection == Some(Rejection::Unusable) {
            self.rejections.count(Rejection::Unusable);
            self.actions.push(Action::Fail(id));
            self.close(id);
        } else if let Some(reason) = rejection {
            self.finish(now, id, reason);
        } else {
            self.hold(id);
            self.schedule_wake(now, now + self.settings.tick);
        }
    }
}

/// Returns whether the workers that drop repeats of an attempt still remember it. They do for `span` after it was sent, of
/// which only half is used; the other half is a margin for the time on the network.
fn is_remembered(now: Micros, attempt: &Attempt, span: Micros) -> bool {
    now < attempt.sent + span / 2
}
