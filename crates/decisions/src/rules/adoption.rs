//! Requests that another process of this dispatcher hands on, with all that it has done for them.

use super::*;
use crate::settings_update::effect_after_update;

impl Dispatcher {
    /// Takes on a request with its attempts. What is out goes on, and nothing is repeated beyond its effect.
    pub(super) fn adopt(&mut self, now: Micros, id: RequestId, handed: TransferredRequest) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let may_have_run = handed.attempts.iter().any(|past| past.state != AttemptState::NeverRan);
        let ran_unnoted = may_have_run && handed.effect == Effect::Safe;
        request.effect = effect_after_update(handed.effect, request.effect, ran_unnoted);
        for past in handed.attempts {
            self.adopt_attempt(now, id, past);
        }
        if self.requests.get(&id).is_some_and(|request| !request.has_outstanding()) {
            // Held anew, or answered where its attempts leave no other choice.
            self.after_attempt(now, id, Ending::TimedOut);
        }
    }

    /// A request goes on at another process: its lanes are that one's to count.
    pub(super) fn on_moved_away(&mut self, now: Micros, id: RequestId) {
        self.unhold(id);
        let attempts = self.requests.remove(&id).map(|request| request.attempts).unwrap_or_default();
        for at in attempts.into_iter().map(|attempt| attempt.worker) {
            self.workers[at].own.retain(|own| own.request != id);
            self.tell_peers(now, at, None);
        }
    }

    /// What a repeat of this request would do, by the tightest word on that since it came; `None`: it is not open.
    pub fn effect(&self, id: RequestId) -> Option<Effect> {
        self.requests.get(&id).map(|request| request.effect)
    }

    fn adopt_attempt(&mut self, now: Micros, id: RequestId, past: PriorAttempt) {
        let PriorAttempt { worker, sent, state } = past;
        let known = self.index.get(&worker).copied();
        let at = known.unwrap_or_else(|| self.add_unlisted(worker));
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.len() as u32;
        request.attempts.push(Attempt { worker: at, sent, state });
        if known.is_none() && state != AttemptState::NeverRan && request.effect != Effect::Safe {
            // Its zone and cell are not known, so nor is who would drop a repeat.
            request.effect = Effect::Unsafe;
        }
        if state != AttemptState::Out {
            return;
        }
        let (size, slots) = (request.size, request.slots);
        let end = sent + self.run_time(at, size, now);
        // When it started is not known, so its time tells nothing of its size.
        let own = OwnAttempt { request: id, attempt, slots, sent, start: sent, end, ..OwnAttempt::default() };
        self.workers[at].own.push(own);
        self.workers[at].peers.retain(|peer| peer.from != self.settings.rank);
        self.tell_peers(now, at, None);
    }

    /// A worker that is on no list here: it may bring a result, and gets nothing new.
    fn add_unlisted(&mut self, id: WorkerId) -> usize {
        let at = self.workers.len();
        self.workers.push(Worker { id, status: WorkerStatus::Gone, ..Worker::default() });
        self.index.insert(id, at);
        at
    }
}
