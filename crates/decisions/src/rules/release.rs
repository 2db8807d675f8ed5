//! The hold queue: jobs that wait here, and when they leave.

use super::*;

impl Dispatcher {
    pub(super) fn on_arrival(&mut self, now: Micros, arrival: Arrival) {
        let class = arrival.class.0;
        if class >= self.settings.classes.len() || self.requests.contains_key(&arrival.request) {
            return;
        }
        let over = self.over_share(now, arrival.tenant);
        let spec = &self.settings.classes[class];
        let size = self.know.classes[class].estimate(arrival.hint, spec.aim as f64);
        let slots = arrival.slots.clamp(1, 1024) as usize;
        self.know.max_slots = self.know.max_slots.max(slots);
        // A client's retry belongs to its first try, whose aim has been running since.
        let came = arrival.transferred.as_ref().map_or(now, |handed| handed.arrived.min(now));
        let origin =
            if arrival.retry { arrival.expires.saturating_sub(spec.deadline).min(came) } else { came };
        let doubt = self.know.classes[class].lower_bound_factor();
        let aim = origin + spec.aim + (spec.stretch.max(0.0) * size * doubt) as Micros;
        let deadline = aim.min(arrival.expires);
        let order = if over { arrival.expires } else { deadline };
        let work = size * slots as f64;
        let worth = spec.worth * if over { self.settings.over_share_worth } else { 1.0 };
        let value = if self.settings.worth_by_work { worth } else { worth / work };
        self.know.work_rate.add(now, work);
        let map = &mut self.maps[spec.kind.map_or(0, |kind| kind.0 + 1)];
        self.maps_stale |= map.sizes.add(work, RANGE_SIZES * 2);
        let Arrival { hint, expires, skill, .. } = arrival;
        let told =
            Request { class, effect: spec.effect, skill, slots, hint, size, expires, ..Request::default() };
        let request = Request {
            deadline,
            queue_key: order,
            over_share: over,
            worth_per_work: value,
            lower_bound_factor: doubt,
            ..told
        };
        self.requests.insert(arrival.request, request);
        if let Some(handed) = arrival.transferred {
            return self.adopt(now, arrival.request, handed);
        }
        self.spill_from = self.spill_from.wrapping_add(1);
        self.hold(arrival.request);
        let mut wake = Micros::MAX;
        let sent = self.release(now, arrival.request, &mut wake);
        self.wake_for_held(now, wake);
        if self.requests.contains_key(&arrival.request) {
            self.probe_for(now, arrival.request, !sent);
        }
    }

    /// A lane of this worker may have come free: the held jobs are tried there, earliest deadline first.
    pub(super) fn offer(&mut self, now: Micros, at: usize) {
        let first: Vec<RequestId> = self.queue.held.iter().take(LOOK).map(|&(_, id)| id).collect();
        let mut scratch = Vec::new();
        for id in first {
            let fits = self.usable(at, now, &self.requests[&id])
                && self.demand(at, now, id, &mut scratch).is_some_and(|(start, _)| start <= now);
            if fits {
                self.unhold(id);
                self.send(now, id, at);
            }
        }
    }

    pub(super) fn hold(&mut self, id: RequestId) {
        let free = |request: &&mut Request| !request.held && !request.done;
        let Some(request) = self.requests.get_mut(&id).filter(free) else { return };
        request.held = true;
        self.queue.held.insert((request.queue_key, id));
        self.queue.expiries.insert((request.expires, id));
    }

    pub(super) fn unhold(&mut self, id: RequestId) {
        self.plan(id, None);
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.held) else { return };
        request.held = false;
        self.queue.held.remove(&(request.queue_key, id));
        self.queue.expiries.remove(&(request.expires, id));
    }

    /// Nobody is answered after this time: held jobs are sent or turned away by it, and go on in its order.
    pub(super) fn on_ends(&mut self, now: Micros, ends: Micros) {
        let later = |of: &(&RequestId, &Request)| !of.1.done && of.1.expires > ends;
        let mut later: Vec<RequestId> = self.requests.iter().filter(later).map(|(&id, _)| id).collect();
        later.sort_unstable();
        for id in later {
            let held = self.requests.get(&id).is_some_and(|request| request.held);
            self.unhold(id);
            if let Some(request) = self.requests.get_mut(&id) {
                request.expires = ends;
                request.deadline = request.deadline.min(ends);
                request.queue_key = request.queue_key.min(ends);
            }
            if held {
                self.hold(id);
            }
        }
        self.pump(now);
    }

    pub(super) fn plan(&mut self, id: RequestId, at: Option<usize>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.planned == at {
            return;
        }
        if let Some(before) = request.planned {
            self.workers[before].planned.retain(|&(_, planned)| planned != id);
        }
        request.planned = at;
        if let Some(at) = at {
            let planned = &mut self.workers[at].planned;
            let place = planned.partition_point(|&other| other < (request.queue_key, id));
            planned.insert(place, (request.queue_key, id));
        }
    }

    /// Goes through the held jobs, earliest deadline first: sends what can start, plans what can wait,
    /// turns to the later deadline what has missed its aim, and drops what is hopeless.
    pub(crate) fn pump(&mut self, now: Micros) {
        let soon = now + 2 * self.settings.tick;
        while let Some(&(_, id)) = self.queue.expiries.first().filter(|first| first.0 <= soon) {
            self.finish(now, id, Rejection::Expired);
        }
        self.move_on(now);
        let (mut wake, mut misses, mut from) = (Micros::MAX, 0, (0, RequestId(0)));
        while misses < LOOK {
            let Some(&(order, id)) = self.queue.held.range(from..).next() else { break };
            from = (order, RequestId(id.0.wrapping_add(1)));
            misses += usize::from(!self.release(now, id, &mut wake));
        }
        self.wake_for_held(now, wake);
    }

    /// Jobs that wait at a worker though their start was due go to one that has a lane free, if there is one and they may
    /// run twice; the last try is kept for what may go wrong.
    fn move_on(&mut self, now: Micros) {
        while let Some((due, id)) = self.queue.unstarted.pop_first() {
            if due > now {
                self.queue.unstarted.insert((due, id));
                return self.wake_at(now, due);
            }
            let open = self.requests.get(&id).filter(|request| !request.done);
            let Some(last) = open.and_then(|request| request.attempts.len().checked_sub(1)) else { continue };
            let own =
                self.own(id, last as u32).filter(|_| last + 2 < self.settings.limits.max_attempts as usize);
            let waits = |of: &OwnAttempt| of.awaits_start && now >= of.sent + START_NEWS;
            let Some((at, _)) = own.filter(|&(at, nr)| waits(&self.workers[at].own[nr])) else { continue };
            // A new connection has its price: who hears of loads moves a job only if it would be late where it is.
            let job = &self.requests[&id];
            let urgent = now + 2 * START_NEWS + self.run_time(at, job.size, now) >= job.deadline;
            let better = |(there, start, _)| start <= now && there != at;
            if (urgent || !self.settings.limits.peers) && self.choose(now, id).is_some_and(better) {
                let running = self.workers[at].running();
                self.workers[at].foreign = Some((now, self.lanes(at).saturating_sub(running) as f64));
                self.out.push(Action::Cancel { request: id, attempt: last as u32 });
            } else {
                self.queue.unstarted.insert((now + START_NEWS, id));
            }
        }
    }

    /// Wakes at this time, or before the first client of a held job leaves.
    pub(super) fn wake_for_held(&mut self, now: Micros, wake: Micros) {
        if let Some(&(expires, _)) = self.queue.expiries.first() {
            self.wake_at(now, wake.min(expires.saturating_sub(self.settings.tick)));
        }
    }

    pub(super) fn wake_at(&mut self, now: Micros, at: Micros) {
        let at = at.max(now + 1);
        if self.queue.wake.is_none_or(|set| at < set) {
            self.queue.wake = Some(at);
            self.out.push(Action::SetTimer { timer: TIMER_PUMP, after: at - now });
        }
    }

    /// Deals with one held job; tells whether it has left the queue.
    pub(super) fn release(&mut self, now: Micros, id: RequestId, wake: &mut Micros) -> bool {
        if self.maps_stale {
            self.rebuild_maps();
        }
        match self.choose(now, id) {
            Some((at, start, _)) if start <= now => {
                self.unhold(id);
                if !self.send(now, id, at) {
                    self.finish(now, id, Rejection::NoCapacity);
                }
                return true;
            }
            Some((at, start, _)) => {
                self.plan(id, Some(at));
                *wake = (*wake).min(start.clamp(now + RECHECK, now + 4 * RECHECK));
            }
            None => {
                self.plan(id, None);
                let request = &self.requests[&id];
                let late_worth = self.settings.classes[request.class].late_worth;
                if !request.late && late_worth > 0.0 {
                    self.unhold(id);
                    let Some(request) = self.requests.get_mut(&id) else { return true };
                    (request.late, request.deadline, request.queue_key) =
                        (true, request.expires, request.expires);
                    self.hold(id);
                } else if !request.late || now + request.size as Micros > request.expires {
                    let why = if self.list.stale(now) { Rejection::StaleList } else { Rejection::NoCapacity };
                    self.finish(now, id, why);
                    return true;
                }
                *wake = (*wake).min(now + 2 * RECHECK);
            }
        }
        false
    }
}
