//! Handover of learned knowledge to the successor process. This file converts the knowledge and makes no decisions.

use crate::api::{Action, Micros, WorkerStatus};
use crate::rules::Dispatcher;
use crate::state::{Knowledge, PeerLoad, SizeMap, TokenBucket, Worker};

/// The learned knowledge in the form that a successor receives: workers, samples of job sizes, and the other figures.
type LearnedState = (Vec<Worker>, Vec<SizeMap>, Knowledge);

impl Dispatcher {
    /// Returns the learned knowledge, for the successor process, as JSON text: an array of the workers, the samples of job
    /// sizes and the other figures. It names the workers that are listed or otherwise needed. The text is written without
    /// an intermediate tree of JSON values, which would take more than ten times its memory.
    ///
    /// # Errors
    /// Returns the error of the serializer.
    pub fn knowledge_text(&self, now: Micros) -> serde_json::Result<String> {
        let needed = self.needed_workers(now);
        let is_kept = |(worker, needed): &(&Worker, bool)| *needed || worker.status != WorkerStatus::Gone;
        let workers: Vec<&Worker> =
            self.workers.iter().zip(needed).filter(is_kept).map(|(worker, _)| worker).collect();
        serde_json::to_string(&(workers, &self.size_maps, &self.knowledge))
    }

    /// Returns all learned knowledge as a tree of JSON values, for inspection.
    pub fn knowledge(&self) -> serde_json::Value {
        serde_json::json!([self.workers, self.size_maps, self.knowledge])
    }

    /// Returns knowledge with its classes and tenants moved to new indices. `classes` and `tenants` have an entry for
    /// each new index, which holds the old index, or `None` for a new class or tenant. Knowledge that cannot be parsed
    /// is returned unchanged; the receiver rejects it later.
    pub fn remap_knowledge(
        text: String,
        classes: &[Option<usize>],
        tenants: &[Option<usize>],
        now: Micros,
    ) -> String {
        let Ok((workers, maps, mut know)) = serde_json::from_str::<LearnedState>(&text) else { return text };
        if is_identity(classes, know.classes.len()) && is_identity(tenants, know.buckets.len()) {
            return text;
        }
        let models = classes.iter().map(|old| know.classes.get((*old)?).cloned());
        know.classes = models.map(Option::unwrap_or_default).collect();
        let buckets = tenants.iter().map(|old| know.buckets.get((*old)?).cloned());
        know.buckets = buckets.map(|bucket| bucket.unwrap_or_else(|| TokenBucket::new(now))).collect();
        serde_json::to_string(&(workers, maps, know)).unwrap_or(text)
    }

    /// Converts the times in another process's knowledge to this process's clock. `behind` is how far the other clock
    /// is behind this one, in microseconds; it is negative if the other clock is ahead. The start times of workers come
    /// from the workers' own clocks and stay. Knowledge that cannot be parsed is returned unchanged; the receiver
    /// rejects it later.
    pub fn shift_knowledge(text: String, behind: i64) -> String {
        let Ok((mut workers, maps, mut know)) = serde_json::from_str::<LearnedState>(&text) else {
            return text;
        };
        workers.iter_mut().for_each(|worker| worker.shift(behind));
        know.shift(behind);
        serde_json::to_string(&(workers, maps, know)).unwrap_or(text)
    }

    /// Takes over the knowledge of another process. Knowledge that cannot be parsed or that was learned under settings
    /// of another shape is ignored, with a log line.
    pub(crate) fn on_knowledge_received(&mut self, received: &str) {
        let fits = |(workers, maps, know): &LearnedState| {
            let covered = workers.iter().all(|worker| know.covers(worker));
            covered && know.has_same_shape(&self.knowledge) && maps.len() == self.size_maps.len()
        };
        match serde_json::from_str(received).ok().filter(fits) {
            Some((workers, maps, know)) => {
                (self.workers, self.size_maps, self.knowledge) = (workers, maps, know);
                self.index_workers();
                let ranks = self.knowledge.zones_by_rank.len().max(self.peer_set.size() as usize);
                self.knowledge.zones_by_rank.resize(ranks, None);
            }
            None => self.actions.push(Action::Log(
                "ignored the knowledge of the other process: it does not fit these settings".to_owned(),
            )),
        }
        // Without delay: changes of the list count as notified a few seconds after discovery has them.
        self.subscribe_to_list();
    }
}

/// Returns whether these old indices, by new index, leave a table of `count` entries as it is.
fn is_identity(old_indices: &[Option<usize>], count: usize) -> bool {
    old_indices.len() == count
        && old_indices.iter().enumerate().all(|(index, old_index)| *old_index == Some(index))
}

/// Converts a time to a clock that is `by` microseconds ahead of the clock that the time was taken from.
fn shift(at: &mut Micros, by: i64) {
    *at = at.saturating_add_signed(by);
}

impl Worker {
    /// Converts all times of the dispatcher's clock to a clock that is `by` microseconds ahead.
    fn shift(&mut self, by: i64) {
        self.cold_sent.iter_mut().for_each(|(at, _)| shift(at, by));
        self.peers.iter_mut().for_each(|peer| peer.shift(by));
        self.foreign.iter_mut().for_each(|(at, _)| shift(at, by));
        self.health.shift(by);
        shift(&mut self.probed_at, by);
        shift(&mut self.load_known_at, by);
    }
}

impl PeerLoad {
    /// Converts all times to a clock that is `by` microseconds ahead.
    fn shift(&mut self, by: i64) {
        [&mut self.soonest, &mut self.latest, &mut self.received_at].into_iter().for_each(|at| shift(at, by));
    }
}

impl Knowledge {
    /// Converts all times to a clock that is `by` microseconds ahead.
    fn shift(&mut self, by: i64) {
        self.buckets.iter_mut().for_each(|bucket| shift(&mut bucket.refilled_at, by));
        self.zone_failures.iter_mut().for_each(|(_, until)| shift(until, by));
        self.work_rate.shift(by);
    }
}
