//! Attempts and final answers: every rule on sends, and what follows an end.

use super::*;
use calicolb_shutdown::{FinalAnswer, final_answer};

impl Dispatcher {
    /// What was decided of an attempt holds still. Asked right before its first byte: its connection may have come up
    /// after its client left, its worker began to drain, or an earlier attempt's repeats ceased to be dropped.
    pub fn may_begin(&self, now: Micros, id: RequestId, attempt: u32) -> bool {
        let (request, nr) = (self.requests.get(&id), attempt as usize);
        let at = request.and_then(|request| request.attempts.get(nr)).map(|own| own.worker);
        request.zip(at).is_some_and(|(request, at)| self.may_go(now, request, nr, at))
    }

    /// The rules on where the attempt of this number may go that hold up to its first byte.
    fn may_go(&self, now: Micros, request: &Request, attempt: usize, at: usize) -> bool {
        let worker = &self.workers[at];
        if request.done || attempt >= self.settings.limits.max_attempts as usize {
            return false;
        }
        // Rule 2, and nothing goes where an earlier attempt has not surely ended, copies allowed or not.
        let before = &request.attempts[..attempt];
        let twice = Request::may_run(before, at);
        let mut risky = before.iter().filter(|attempt| attempt.state != AttemptState::NeverRan);
        let harmless = match request.effect {
            Effect::Safe => true,
            Effect::Unsafe => risky.next().is_none(),
            // The group's memory runs from the first send; half of it is kept as margin for the journey.
            Effect::Keyed { group, span } => risky.all(|attempt| {
                let drops = worker.drops_repeats(group, &self.workers[attempt.worker]);
                drops && now < attempt.sent + span / 2
            }),
        };
        // Rule 3: nothing at all after being told, so the grace is never needed; nor by a list that is too old.
        harmless
            && !twice
            && !self.list.stale(now)
            && worker.status == WorkerStatus::On
            && !worker.refuses(request.skill)
    }

    /// Every rule on where a job may go now; that none of its attempts is out any more is asked when it goes.
    pub(super) fn may_send(&self, now: Micros, request: &Request, at: usize) -> bool {
        if !self.may_go(now, request, request.attempts.len(), at) {
            return false;
        }
        // Rule 4. What a cold worker was sent counts on in the process that took over.
        let work = request.size * request.slots as f64;
        self.warmth(at, now) >= 1.0 || (!self.succeeded && self.cold_allows(now, at, work) == Allowance::Yes)
    }

    /// Work sent to a worker in the last window of the fourth rule.
    pub(super) fn cold_sent(&self, now: Micros, at: usize) -> f64 {
        let since = now.saturating_sub(self.settings.rules.fall_window);
        self.workers[at].cold_sent.iter().filter(|(then, _)| *then >= since).map(|sent| sent.1).sum()
    }

    /// Whether this dispatcher may send a cold worker so much more work: as one of the cohort whose share holds it, as a
    /// warden drawn by its id and start, or in turn.
    pub(super) fn cold_allows(&self, now: Micros, at: usize, work: f64) -> Allowance {
        let (worker, rules) = (&self.workers[at], &self.settings.rules);
        let (power, window) = (self.lanes(at) as f64 * self.speed(at), rules.fall_window as f64);
        let budget = COLD_SHARE * rules.fall_multiple * self.warmth(at, now) * power * window;
        let usual = (self.know.work_rate.per_s() / SECOND as f64 * window).max(self.know.mean_run_time);
        let draw = mix(u64::from(worker.id.0), worker.started.unwrap_or(0));
        let (rank, sent) = (self.settings.rank, self.cold_sent(now, at));
        if !self.settings.limits.peers {
            let rota = ColdRotation::new(budget, usual, self.company.size(), self.settings.zones);
            let (near, turn) = (worker.zone == self.settings.zone, (draw, now / rules.fall_window.max(1)));
            return self.spent.count_allowance(rota.allows(near, turn, rank, sent, work));
        }
        let members = self.cohorts.get(worker.cohort).map_or(0, |cohort| cohort.1.len());
        let share = ColdBudget::new(budget, members, usual, self.company.size());
        let sender = Sender::of(worker.in_own_cohort, share.is_designated(draw, rank, self.company.size()));
        let fresh = |peer: &&PeerLoad| peer.received_at + rules.fall_window > now && peer.from != rank;
        let told = worker.peers.iter().filter(fresh).map(|peer| peer.cold_work).sum();
        self.spent.count_allowance(share.allows(sender, sent, told, work))
    }

    pub(super) fn send(&mut self, now: Micros, id: RequestId, at: usize) -> bool {
        let doubled = !self.settings.limits.concurrent_attempts && self.requests[&id].has_outstanding();
        if doubled || !self.may_send(now, &self.requests[&id], at) {
            return false;
        }
        let Request { size, slots, effect, .. } = self.requests[&id];
        let mut lanes = Vec::new();
        self.lane_ends(at, now, &mut lanes);
        lanes.sort_unstable();
        let start = lanes[slots.min(lanes.len()) - 1];
        let end = start + self.run_time(at, size, now);
        let cold = self.warmth(at, now) < 1.0;
        let attempt = self.requests[&id].attempts.len() as u32;
        let made = Attempt { worker: at, sent: now, state: AttemptState::Out };
        self.requests.entry(id).and_modify(|request| request.attempts.push(made));
        let worker = &mut self.workers[at];
        let (clean, awaits_start, progress) = (start <= now, self.settings.tells_start, None);
        let own = OwnAttempt {
            request: id,
            attempt,
            slots,
            sent: now,
            end,
            start,
            measures_size: clean,
            awaits_start,
            progress,
        };
        worker.own.push(own);
        if cold {
            worker.cold_sent.push_back((now, size * slots as f64));
            self.spent.cold_jobs += 1;
        }
        self.out.push(Action::Send { request: id, worker: worker.id, timeout: None });
        let repeats = effect != Effect::Unsafe;
        if repeats && self.settings.limits.cancel && self.settings.tells_start {
            self.queue.unstarted.insert((now + START_NEWS, id));
            self.wake_at(now, now + START_NEWS);
        }
        self.tell_peers(now, at, None);
        true
    }

    /// Every final answer of this dispatcher: a refusal where it is certain that nothing ran, else a failure.
    pub(crate) fn finish(&mut self, now: Micros, id: RequestId, why: Rejection) {
        self.unhold(id);
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.done) else { return };
        request.done = true;
        let why = self.rejections.count(why);
        let states = request.attempts.iter().map(|attempt| attempt.state);
        if final_answer(request.effect.repeatable(), states) == FinalAnswer::Refused {
            let limits = &self.settings.limits;
            let left = request.expires.saturating_sub(now);
            let pause = (self.know.mean_run_time / 4.0) as Micros;
            let come_back = limits.retry_advice.then_some(pause.min(limits.retry_advice_max).min(left / 4));
            self.out.push(Action::Refuse { request: id, retry_after: come_back, reason: why });
        } else {
            self.out.push(Action::Fail(id));
        }
        self.forget(id);
    }

    /// The client has left: what still runs for it is called off, it would be work for nobody.
    pub(super) fn on_lapsed(&mut self, id: RequestId) {
        self.call_off(id);
        self.close(id);
    }

    /// Calls off what is out for a request, where that is allowed.
    fn call_off(&mut self, id: RequestId) {
        let attempts = self.requests.get(&id).into_iter().flat_map(|request| (0..).zip(&request.attempts));
        let running = attempts.filter(|(_, at)| at.state == AttemptState::Out && self.settings.limits.cancel);
        self.out.extend(running.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
    }

    /// The process ends before any attempt has brought the result.
    pub(super) fn on_conclude(&mut self, now: Micros, id: RequestId) {
        if !self.requests.contains_key(&id) {
            return self.out.push(Action::Fail(id));
        }
        self.finish(now, id, Rejection::ShuttingDown);
        self.call_off(id);
    }

    /// The request is over without an answer of ours.
    pub(super) fn close(&mut self, id: RequestId) {
        self.unhold(id);
        self.requests.entry(id).and_modify(|request| request.done = true);
        self.forget(id);
    }

    /// A request's record goes once it is answered and its last attempt has ended.
    pub(super) fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|request| request.done && !request.has_outstanding()) {
            self.requests.remove(&id);
        }
    }

    pub(super) fn own(&self, id: RequestId, attempt: u32) -> Option<(usize, usize)> {
        let at = self.requests.get(&id)?.attempts.get(attempt as usize)?.worker;
        let nr = self.workers[at].own.iter().position(|own| own.request == id && own.attempt == attempt)?;
        Some((at, nr))
    }

    pub(super) fn on_started(&mut self, now: Micros, id: RequestId, attempt: u32) {
        let Some((at, nr)) = self.own(id, attempt) else { return };
        let size = self.requests[&id].size;
        let end = now + self.run_time(at, size, now);
        let own = &mut self.workers[at].own[nr];
        let (awaited, waited) = (own.awaits_start, now > own.sent + START_NEWS);
        (own.start, own.end, own.measures_size, own.awaits_start) = (now, end, true, false);
        if awaited && self.counts_starts() {
            self.count_start(now, at, waited);
        }
    }

    pub(super) fn on_note(&mut self, now: Micros, id: RequestId, attempt: u32, note: AttemptNote) {
        if note == AttemptNote::Over {
            self.requests.entry(id).and_modify(|request| request.mark_ended(attempt));
        }
        let Some((at, nr)) = self.own(id, attempt) else { return };
        match note {
            AttemptNote::Started => self.on_started(now, id, attempt),
            AttemptNote::Silent if self.workers[at].own[nr].awaits_start => {
                // The way there is dead, or the worker: nothing of a queue there shows in this. A job that may
                // run twice is tried elsewhere, any other can only be waited for.
                self.workers[at].own[nr].awaits_start = false;
                self.strike(now, at, 1);
                if self.requests[&id].effect == Effect::Safe && self.settings.limits.cancel {
                    self.out.push(Action::Cancel { request: id, attempt });
                }
            }
            AttemptNote::Progress(done) if done > 0.0 && done <= 1.0 => {
                let own = &mut self.workers[at].own[nr];
                // The pace between two notes, or from the start, where that is known, to the first.
                let pace = match own.progress {
                    Some((then, before)) if done > before => (done - before) / (now - then).max(1) as f64,
                    _ if own.measures_size => done / (now - own.start.min(now)).max(1) as f64,
                    _ => 1.0 / self.know.mean_run_time,
                };
                own.progress = Some((now, done));
                own.end = now + ((1.0 - done) / pace).min(3600.0 * SECOND as f64) as Micros;
            }
            AttemptNote::Silent | AttemptNote::Progress(_) | AttemptNote::Over => {}
        }
    }

    pub(super) fn on_outcome(&mut self, now: Micros, outcome: Outcome) {
        let Outcome { request: id, attempt, ending, elapsed, running, concluded, .. } = outcome;
        let Some((at, nr)) = self.own(id, attempt) else { return };
        let own = self.workers[at].own.swap_remove(nr);
        let mut speed = None;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts[attempt as usize].state = ending.state(running);
        request.done |= concluded;
        let (class, hint) = (request.class, request.hint);
        match ending {
            Ending::Ok => {
                let before = self.workers[at].health.strikes(now);
                self.workers[at].health.record_success(now);
                self.tell_trust(now, at, before);
                self.on_connection(now, at, true);
                self.step_lanes(at, own.slots, true);
                if own.measures_size {
                    let time = if own.start > own.sent { now.saturating_sub(own.start) } else { elapsed };
                    speed = self.learn(now, at, (class, hint), time);
                }
            }
            Ending::Full => {
                self.step_lanes(at, own.slots, false);
                let lanes = self.lanes(at) as f64;
                // Its waiting room is taken too, which is taken to hold half a lane's worth each.
                self.workers[at].foreign = Some((now, 1.5 * lanes));
                self.workers[at].load_known_at = now;
                self.on_zone_load(at, lanes);
            }
            Ending::Unreachable => {
                self.strike(now, at, 1);
                self.on_connection(now, at, false);
            }
            // One that answers with errors is soon free again, and would draw more jobs than the others.
            Ending::Error => self.strike(now, at, 2),
            Ending::Broken => self.strike(now, at, 1),
            Ending::TimedOut | Ending::Cancelled | Ending::NotSent | Ending::Unusable => {}
        }
        self.tell_peers(now, at, speed);
        self.after_attempt(now, id, ending);
        self.forget(id);
        self.offer(now, at);
    }

    /// An attempt has ended without the answer: try again where that is allowed and can help, else answer.
    pub(super) fn after_attempt(&mut self, now: Micros, id: RequestId, ending: Ending) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.done || request.held || request.has_outstanding() {
            return;
        }
        let risky = request.may_have_run();
        let once = request.effect == Effect::Unsafe && risky;
        let spent = request.attempts.len() >= self.settings.limits.max_attempts as usize;
        let over = now + 2 * self.settings.tick >= request.expires;
        let rejection = match ending {
            Ending::Unusable => Some(Rejection::Unusable),
            Ending::NotSent => Some(Rejection::SentTooLate),
            _ if once => Some(Rejection::NotRepeatable),
            _ if spent => Some(Rejection::AttemptsSpent),
            _ if over => Some(Rejection::Expired),
            _ => None,
        };
        if rejection == Some(Rejection::Unusable) {
            self.rejections.count(Rejection::Unusable);
            self.out.push(Action::Fail(id));
            self.close(id);
        } else if let Some(why) = rejection {
            self.finish(now, id, why);
        } else {
            self.hold(id);
            self.wake_at(now, now + self.settings.tick);
        }
    }
}
