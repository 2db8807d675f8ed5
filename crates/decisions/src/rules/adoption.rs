//! Requests transferred between two processes of this dispatcher, with their attempts.

use super::*;
use crate::settings_update::effect_after_update;

impl Dispatcher {
    /// Takes over a transferred request with its attempts. Attempts in flight go on. The more restrictive of the
    /// effects at the two processes decides whether the request may be repeated. If the request was safe to repeat at
    /// the other process and may have run there, no worker has recorded that, so it is repeated only if it is still
    /// safe.
    pub(super) fn adopt_request(&mut self, now: Micros, id: RequestId, transferred: TransferredRequest) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let may_have_run = transferred.attempts.iter().any(|attempt| attempt.state != AttemptState::NeverRan);
        let ran_unrecorded = may_have_run && transferred.effect == Effect::Safe;
        request.effect = effect_after_update(transferred.effect, request.effect, ran_unrecorded);
        for attempt in transferred.attempts {
            self.adopt_attempt(now, id, attempt);
        }
        if self.requests.get(&id).is_some_and(|request| !request.has_outstanding()) {
            // The request is held again, or answered if its attempts leave no other choice.
            self.retry_or_answer(now, id, Ending::TimedOut);
        }
    }

    /// Removes a request that has been transferred to another process. That process counts the lanes of its attempts
    /// from now on.
    pub(super) fn on_request_transferred(&mut self, now: Micros, id: RequestId) {
        self.unhold(id);
        let attempts = self.requests.remove(&id).map(|request| request.attempts).unwrap_or_default();
        for index in attempts.into_iter().map(|attempt| attempt.worker) {
            self.workers[index].own.retain(|own| own.request != id);
            self.send_load(now, index, None);
        }
    }

    /// Returns the most restrictive effect that a repeat of this request has had since the request arrived, or `None`
    /// if the request is not open.
    pub fn effect(&self, id: RequestId) -> Option<Effect> {
        self.requests.get(&id).map(|request| request.effect)
    }

    /// Adds an attempt of the other process to a transferred request.
    fn adopt_attempt(&mut self, now: Micros, id: RequestId, attempt_record: PriorAttempt) {
        let PriorAttempt { worker, sent, state } = attempt_record;
        let known = self.worker_index.get(&worker).copied();
        let index = known.unwrap_or_else(|| self.add_unlisted_worker(worker));
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.len() as u32;
        request.attempts.push(Attempt { worker: index, sent, state });
        if known.is_none() && state != AttemptState::NeverRan && request.effect != Effect::Safe {
            // The zone and cell of the worker are unknown, so it is also unknown which workers would drop a repeat.
            request.effect = Effect::Unsafe;
        }
        if state != AttemptState::InFlight {
            return;
        }
        let (size, slots) = (request.size, request.slots);
        let end = sent + self.run_time(index, size, now);
        // The start time of the job is unknown, so its run time is no measure of its size.
        let own = OwnAttempt { request: id, attempt, slots, sent, start: sent, end, ..OwnAttempt::default() };
        self.workers[index].own.push(own);
        self.workers[index].peers.retain(|peer| peer.from != self.settings.rank);
        self.send_load(now, index, None);
    }

    /// Adds a worker that is not in the worker list, so that it may bring a result. Nothing new is sent to it.
    fn add_unlisted_worker(&mut self, id: WorkerId) -> usize {
        let index = self.workers.len();
        self.workers.push(Worker { id, status: WorkerStatus::Gone, ..Worker::default() });
        self.worker_index.insert(id, index);
        index
    }
}
