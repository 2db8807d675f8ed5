//! The hold queue: jobs that wait in this dispatcher, and when they are sent.

use super::*;

impl Dispatcher {
    /// Takes a new or transferred request, and sends or holds it. Requests of an unknown class or with a known id are
    /// ignored.
    pub(super) fn on_arrival(&mut self, now: Micros, arrival: Arrival) {
        let class = arrival.class.0;
        if class >= self.settings.classes.len() || self.requests.contains_key(&arrival.request) {
            return;
        }
        let over_share = self.exceeds_tenant_share(now, arrival.tenant);
        let spec = &self.settings.classes[class];
        let size = self.knowledge.classes[class].estimate(arrival.hint, spec.aim as f64);
        let slots = arrival.slots.clamp(1, 1024) as usize;
        self.knowledge.max_slots = self.knowledge.max_slots.max(slots);
        // A retry of a client belongs to its first try, whose aim has been running since then.
        let arrived = arrival.transferred.as_ref().map_or(now, |transferred| transferred.arrived.min(now));
        let origin =
            if arrival.retry { arrival.expires.saturating_sub(spec.deadline).min(arrived) } else { arrived };
        let lower_bound_factor = self.knowledge.classes[class].lower_bound_factor();
        let aim = origin + spec.aim + (spec.stretch.max(0.0) * size * lower_bound_factor) as Micros;
        let deadline = aim.min(arrival.expires);
        let queue_key = if over_share { arrival.expires } else { deadline };
        let work = size * slots as f64;
        let worth = spec.worth * if over_share { self.settings.over_share_worth } else { 1.0 };
        let worth_per_work = if self.settings.worth_by_work { worth } else { worth / work };
        self.knowledge.work_rate.add(now, work);
        let map = &mut self.size_maps[spec.kind.map_or(0, |kind| kind.0 + 1)];
        self.size_maps_stale |= map.sizes.add(work, MIN_SIZES_PER_RANGE * 2);
        let Arrival { hint, expires, skill, .. } = arrival;
        let attributes =
            Request { class, effect: spec.effect, skill, slots, hint, size, expires, ..Request::default() };
        let request =
            Request { deadline, queue_key, over_share, worth_per_work, lower_bound_factor, ..attributes };
        self.requests.insert(arrival.request, request);
        if let Some(transferred) = arrival.transferred {
            return self.adopt_request(now, arrival.request, transferred);
        }
        self.sample_offset = self.sample_offset.wrapping_add(1);
        self.hold(arrival.request);
        let mut wake = Micros::MAX;
        let sent = self.release_job(now, arrival.request, &mut wake);
        self.schedule_hold_queue(now, wake);
        if self.requests.contains_key(&arrival.request) {
            self.probe_for_job(now, arrival.request, !sent);
        }
    }

    /// Sends held jobs to a worker of which a lane may have become free, in order of their deadlines.
    pub(super) fn offer_freed_lane(&mut self, now: Micros, index: usize) {
        let candidates: Vec<RequestId> =
            self.hold_queue.held.iter().take(MAX_BLOCKED_JOBS_PER_PASS).map(|&(_, id)| id).collect();
        let mut lane_ends = Vec::new();
        for id in candidates {
            let fits = self.is_usable(index, now, &self.requests[&id])
                && self.demand_test(index, now, id, &mut lane_ends).is_some_and(|(start, _)| start <= now);
            if fits {
                self.unhold(id);
                self.send_attempt(now, id, index);
            }
        }
    }

    /// Puts a request into the hold queue unless it is there or complete.
    pub(super) fn hold(&mut self, id: RequestId) {
        let neither_held_nor_done = |request: &&mut Request| !request.held && !request.done;
        let Some(request) = self.requests.get_mut(&id).filter(neither_held_nor_done) else { return };
        request.held = true;
        self.hold_queue.held.insert((request.queue_key, id));
        self.hold_queue.expiries.insert((request.expires, id));
    }

    /// Removes a request from the hold queue and from the plan of its worker.
    pub(super) fn unhold(&mut self, id: RequestId) {
        self.set_planned_worker(id, None);
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.held) else { return };
        request.held = false;
        self.hold_queue.held.remove(&(request.queue_key, id));
        self.hold_queue.expiries.remove(&(request.expires, id));
    }

    /// Limits the deadlines of all open requests to the end of the process. Held jobs are sent or rejected by then, in
    /// the new order.
    pub(super) fn on_shutdown_at(&mut self, now: Micros, end: Micros) {
        let later = |entry: &(&RequestId, &Request)| !entry.1.done && entry.1.expires > end;
        let mut later: Vec<RequestId> = self.requests.iter().filter(later).map(|(&id, _)| id).collect();
        later.sort_unstable();
        for id in later {
            let held = self.requests.get(&id).is_some_and(|request| request.held);
            self.unhold(id);
            if let Some(request) = self.requests.get_mut(&id) {
                request.expires = end;
                request.deadline = request.deadline.min(end);
                request.queue_key = request.queue_key.min(end);
            }
            if held {
                self.hold(id);
            }
        }
        self.process_hold_queue(now);
    }

    /// Sets or clears the worker for whose lanes a held job is planned.
    pub(super) fn set_planned_worker(&mut self, id: RequestId, index: Option<usize>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.planned == index {
            return;
        }
        if let Some(previous) = request.planned {
            self.workers[previous].planned.retain(|&(_, planned)| planned != id);
        }
        request.planned = index;
        if let Some(index) = index {
            let planned = &mut self.workers[index].planned;
            let position = planned.partition_point(|&other| other < (request.queue_key, id));
            planned.insert(position, (request.queue_key, id));
        }
    }

    /// Processes the held jobs in order of their deadlines. Sends those that can start now, plans those that can wait,
    /// moves those that have missed their aim to their later deadline, and rejects those that cannot be answered in
    /// time.
    pub(crate) fn process_hold_queue(&mut self, now: Micros) {
        let soon = now + 2 * self.settings.tick;
        while let Some(&(_, id)) = self.hold_queue.expiries.first().filter(|first| first.0 <= soon) {
            self.finish(now, id, Rejection::Expired);
        }
        self.move_unstarted_jobs(now);
        let (mut wake, mut blocked, mut from) = (Micros::MAX, 0, (0, RequestId(0)));
        while blocked < MAX_BLOCKED_JOBS_PER_PASS {
            let Some(&(queue_key, id)) = self.hold_queue.held.range(from..).next() else { break };
            from = (queue_key, RequestId(id.0.wrapping_add(1)));
            blocked += usize::from(!self.release_job(now, id, &mut wake));
        }
        self.schedule_hold_queue(now, wake);
    }

    /// Cancels attempts that wait at a worker although their start was due, if the job may run twice and another
    /// worker has a free lane. The last try of a job is kept for failures.
    fn move_unstarted_jobs(&mut self, now: Micros) {
        while let Some((due, id)) = self.hold_queue.unstarted.pop_first() {
            if due > now {
                self.hold_queue.unstarted.insert((due, id));
                return self.schedule_wake(now, due);
            }
            let open = self.requests.get(&id).filter(|request| !request.done);
            let Some(last_attempt) = open.and_then(|request| request.attempts.len().checked_sub(1)) else {
                continue;
            };
            let own = self
                .find_own_attempt(id, last_attempt as u32)
                .filter(|_| last_attempt + 2 < self.settings.limits.max_attempts as usize);
            let overdue = |own: &OwnAttempt| own.awaits_start && now >= own.sent + START_NOTICE_TIMEOUT;
            let Some((index, _)) =
                own.filter(|&(index, position)| overdue(&self.workers[index].own[position]))
            else {
                continue;
            };
            // A new connection has a cost. A dispatcher that receives loads from others moves a job only if the job
            // would be late at its present worker.
            let job = &self.requests[&id];
            let urgent = now + 2 * START_NOTICE_TIMEOUT + self.run_time(index, job.size, now) >= job.deadline;
            let starts_now_elsewhere = |(other, start, _)| start <= now && other != index;
            if (urgent || !self.settings.limits.peers)
                && self.choose_worker(now, id).is_some_and(starts_now_elsewhere)
            {
                self.assume_other_lanes_busy(now, index);
                self.actions.push(Action::Cancel { request: id, attempt: last_attempt as u32 });
            } else {
                self.hold_queue.unstarted.insert((now + START_NOTICE_TIMEOUT, id));
            }
        }
    }

    /// Sets the timer for the next pass to `wake`, or to one tick before the first client of a held job gives up if
    /// that is earlier.
    pub(super) fn schedule_hold_queue(&mut self, now: Micros, wake: Micros) {
        if let Some(&(expires, _)) = self.hold_queue.expiries.first() {
            self.schedule_wake(now, wake.min(expires.saturating_sub(self.settings.tick)));
        }
    }

    /// Sets the timer for the next pass over the hold queue to `wake` unless it is set to an earlier time.
    pub(super) fn schedule_wake(&mut self, now: Micros, wake: Micros) {
        let wake = wake.max(now + 1);
        if self.hold_queue.wake.is_none_or(|set| wake < set) {
            self.hold_queue.wake = Some(wake);
            self.actions.push(Action::SetTimer { timer: HOLD_QUEUE_TIMER, after: wake - now });
        }
    }

    /// Sends, plans, defers or rejects one held job, and lowers `wake` to the time of its next examination. Returns
    /// whether the job has left the queue.
    pub(super) fn release_job(&mut self, now: Micros, id: RequestId, wake: &mut Micros) -> bool {
        if self.size_maps_stale {
            self.rebuild_size_maps();
        }
        match self.choose_worker(now, id) {
            Some((index, start, _)) if start <= now => {
                self.unhold(id);
                if !self.send_attempt(now, id, index) {
                    self.finish(now, id, Rejection::NoCapacity);
                }
                return true;
            }
            Some((index, start, _)) => {
                self.set_planned_worker(id, Some(index));
                *wake = (*wake).min(start.clamp(now + RECHECK_INTERVAL, now + 4 * RECHECK_INTERVAL));
            }
            None => {
                self.set_planned_worker(id, None);
                let request = &self.requests[&id];
                let late_worth = self.settings.classes[request.class].late_worth;
                if !request.late && late_worth > 0.0 {
                    self.unhold(id);
                    let Some(request) = self.requests.get_mut(&id) else { return true };
                    (request.late, request.deadline, request.queue_key) =
                        (true, request.expires, request.expires);
                    self.hold(id);
                } else if !request.late || now + request.size as Micros > request.expires {
                    let reason = if self.worker_list.stale(now) {
                        Rejection::StaleList
                    } else {
                        Rejection::NoCapacity
                    };
                    self.finish(now, id, reason);
                    return true;
                }
                *wake = (*wake).min(now + 2 * RECHECK_INTERVAL);
            }
        }
        false
    }
}
