//! Workers that have left the worker list: how long their entries are kept, and how the indices of the other workers stay
//! valid when entries are removed.
//!
//! In a rolling deploy each machine is replaced by one with a new id. If every entry were kept, the table of workers, each
//! pass over it and the handover to a successor would grow for the whole life of the process.

use crate::api::{Micros, WorkerStatus};
use crate::rules::Dispatcher;
use crate::state::Worker;

/// Time for which the entry of a departed worker is kept, in microseconds: a worker that the list drops by mistake and that
/// soon returns keeps its learned health and load.
pub const DEPARTED_RETENTION: Micros = 180_000_000;
/// Maximum number of departed workers that are kept only because they may return.
pub const MAX_DEPARTED_WORKERS: usize = 2_048;

impl Dispatcher {
    /// Removes departed workers, except those that are still needed and those that may soon return. The size maps, which
    /// refer to workers by index, must be rebuilt afterwards.
    pub(crate) fn forget_departed_workers(&mut self, now: Micros) {
        for worker in &mut self.workers {
            worker.track_departure(now);
        }
        let needed = self.needed_workers(now);
        let oldest_kept = self.oldest_kept_departure(now, &needed);
        let is_kept = |(worker, needed): (&Worker, &bool)| {
            *needed || worker.departed_at.is_none_or(|departed_at| departed_at > oldest_kept)
        };
        let kept: Vec<bool> = self.workers.iter().zip(&needed).map(is_kept).collect();
        if kept.contains(&false) {
            self.retain_workers(&kept);
        }
    }

    /// Returns for each worker whether it must be kept, listed or not: an attempt or a planned job refers to it, or work
    /// that was sent to it while it was cold counts if it returns.
    pub(crate) fn needed_workers(&self, now: Micros) -> Vec<bool> {
        let window_start = now.saturating_sub(self.settings.rules.fall_window);
        let mut needed: Vec<bool> =
            self.workers.iter().map(|worker| worker.has_cold_work_since(window_start)).collect();
        for request in self.requests.values() {
            for index in request.attempts.iter().map(|attempt| attempt.worker).chain(request.planned) {
                needed[index] = true;
            }
        }
        needed
    }

    /// Returns the time of departure up to which workers that are not needed are removed.
    fn oldest_kept_departure(&self, now: Micros, needed: &[bool]) -> Micros {
        let expired = now.saturating_sub(DEPARTED_RETENTION);
        let unneeded = self.workers.iter().zip(needed).filter(|(_, needed)| !**needed);
        let mut departures: Vec<Micros> = unneeded.filter_map(|(worker, _)| worker.departed_at).collect();
        if departures.len() <= MAX_DEPARTED_WORKERS {
            return expired;
        }
        departures.sort_unstable_by(|a, b| b.cmp(a));
        departures[MAX_DEPARTED_WORKERS].max(expired)
    }

    /// Removes the workers for which `kept` is false, and converts all indices of the others. No request may refer to a
    /// removed worker.
    fn retain_workers(&mut self, kept: &[bool]) {
        let mut next_index = 0;
        let new_indices: Vec<usize> = kept
            .iter()
            .map(|&kept| {
                let index = next_index;
                next_index += usize::from(kept);
                index
            })
            .collect();
        let mut keep = kept.iter();
        self.workers.retain(|_| keep.next().copied().unwrap_or(true));
        self.workers.shrink_to(2 * self.workers.len());
        self.index_workers();
        for request in self.requests.values_mut() {
            for attempt in &mut request.attempts {
                attempt.worker = new_indices[attempt.worker];
            }
            request.planned = request.planned.map(|index| new_indices[index]);
        }
    }

    /// Builds the index of the workers anew.
    pub(crate) fn index_workers(&mut self) {
        self.worker_index =
            self.workers.iter().enumerate().map(|(index, worker)| (worker.id, index)).collect();
    }
}

impl Worker {
    /// Records when the worker left the list, or that it is listed.
    fn track_departure(&mut self, now: Micros) {
        if self.status == WorkerStatus::Gone {
            self.departed_at.get_or_insert(now);
        } else {
            self.departed_at = None;
        }
    }

    /// Returns whether work was sent to the worker since `window_start` while it was cold, by this dispatcher or, as far as
    /// it is known, by others.
    fn has_cold_work_since(&self, window_start: Micros) -> bool {
        self.cold_sent.iter().any(|&(sent_at, _)| sent_at >= window_start)
            || self.peers.iter().any(|peer| peer.cold_work > 0.0 && peer.received_at >= window_start)
    }
}
