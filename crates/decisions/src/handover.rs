//! Handover of learned knowledge to the successor process. This file converts the knowledge and makes no decisions.

use crate::api::{Action, Micros};
use crate::rules::Dispatcher;
use crate::state::{Knowledge, PeerLoad, SizeMap, TokenBucket, Worker};
use calicolb_knowledge::classes::ClassModel;
use serde::Deserialize;

impl Dispatcher {
    /// Returns the learned knowledge, for the successor process.
    pub fn knowledge(&self) -> serde_json::Value {
        serde_json::json!([self.workers, self.size_maps, self.knowledge])
    }

    /// Returns knowledge with its classes and tenants moved to new indices. `classes` and `tenants` have an entry for
    /// each new index, which holds the old index, or `None` for a new class or tenant. Knowledge that cannot be parsed
    /// is returned unchanged; the receiver rejects it later.
    pub fn remap_knowledge(
        mut knowledge: serde_json::Value,
        classes: &[Option<usize>],
        tenants: &[Option<usize>],
        now: Micros,
    ) -> serde_json::Value {
        let Some(know) = knowledge.get_mut(2) else { return knowledge };
        let parsed = (Vec::deserialize(&know["classes"]), Vec::deserialize(&know["buckets"]));
        let (Ok(models), Ok(buckets)): (Result<Vec<ClassModel>, _>, Result<Vec<TokenBucket>, _>) = parsed
        else {
            return knowledge;
        };
        let models = classes.iter().map(|old| models.get((*old)?).cloned());
        know["classes"] = models.map(|model| serde_json::json!(model.unwrap_or_default())).collect();
        let buckets = tenants.iter().map(|old| buckets.get((*old)?));
        know["buckets"] =
            buckets.map(|bucket| serde_json::json!(bucket.unwrap_or(&TokenBucket::new(now)))).collect();
        knowledge
    }

    /// Converts the times in another process's knowledge to this process's clock. `behind` is how far the other clock
    /// is behind this one, in microseconds; it is negative if the other clock is ahead. The start times of workers come
    /// from the workers' own clocks and stay. Knowledge that cannot be parsed is returned unchanged; the receiver
    /// rejects it later.
    pub fn shift_knowledge(mut knowledge: serde_json::Value, behind: i64) -> serde_json::Value {
        let parsed = (Vec::deserialize(&knowledge[0]), Knowledge::deserialize(&knowledge[2]));
        let (Ok(mut workers), Ok(mut know)): (Result<Vec<Worker>, _>, Result<Knowledge, _>) = parsed else {
            return knowledge;
        };
        workers.iter_mut().for_each(|worker| worker.shift(behind));
        know.shift(behind);
        (knowledge[0], knowledge[2]) = (serde_json::json!(workers), serde_json::json!(know));
        knowledge
    }

    /// Takes over the knowledge of another process. Knowledge that cannot be parsed or that was learned under settings
    /// of another shape is ignored, with a log line.
    pub(crate) fn on_knowledge_received(&mut self, received: serde_json::Value) {
        let fits = |(workers, maps, know): &(Vec<Worker>, Vec<SizeMap>, Knowledge)| {
            let covered = workers.iter().all(|worker| know.covers(worker));
            covered && know.has_same_shape(&self.knowledge) && maps.len() == self.size_maps.len()
        };
        match serde_json::from_value(received).ok().filter(fits) {
            Some((workers, maps, know)) => {
                self.worker_index = workers.iter().enumerate().map(|(at, worker)| (worker.id, at)).collect();
                (self.workers, self.size_maps, self.knowledge) = (workers, maps, know);
                let ranks = self.knowledge.zones_by_rank.len().max(self.company.size() as usize);
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
