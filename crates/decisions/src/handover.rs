//! The handing over of what was learned to the process that takes over: it is carried, nothing of it is decided.

use crate::api::{Action, Micros};
use crate::rules::Dispatcher;
use crate::state::{Knowledge, PeerLoad, SizeMap, TokenBucket, Worker};
use calicolb_knowledge::classes::ClassModel;
use serde::Deserialize;

impl Dispatcher {
    /// What was learned, for the process that takes over.
    pub fn knowledge(&self) -> serde_json::Value {
        serde_json::json!([self.workers, self.maps, self.know])
    }

    /// What was learned, with classes and tenants at other places: for each place where it was before, if anywhere. What
    /// cannot be read stays as it is, and will not fit.
    pub fn remap_knowledge(
        mut knowledge: serde_json::Value,
        classes: &[Option<usize>],
        tenants: &[Option<usize>],
        now: Micros,
    ) -> serde_json::Value {
        let Some(know) = knowledge.get_mut(2) else { return knowledge };
        let read = (Vec::deserialize(&know["classes"]), Vec::deserialize(&know["buckets"]));
        let (Ok(known), Ok(buckets)): (Result<Vec<ClassModel>, _>, Result<Vec<TokenBucket>, _>) = read else {
            return knowledge;
        };
        let known = classes.iter().map(|from| known.get((*from)?).cloned());
        know["classes"] = known.map(|class| serde_json::json!(class.unwrap_or_default())).collect();
        let buckets = tenants.iter().map(|from| buckets.get((*from)?));
        know["buckets"] = buckets.map(|of| serde_json::json!(of.unwrap_or(&TokenBucket::new(now)))).collect();
        knowledge
    }

    /// What was learned by a process whose clock is so far behind this one's (microseconds; negative: ahead). When workers
    /// started is told by their own clocks, and stays. What cannot be read stays as it is, and will not fit.
    pub fn shift_knowledge(mut knowledge: serde_json::Value, behind: i64) -> serde_json::Value {
        let read = (Vec::deserialize(&knowledge[0]), Knowledge::deserialize(&knowledge[2]));
        let (Ok(mut workers), Ok(mut know)): (Result<Vec<Worker>, _>, Result<Knowledge, _>) = read else {
            return knowledge;
        };
        workers.iter_mut().for_each(|worker| worker.shift(behind));
        know.shift(behind);
        (knowledge[0], knowledge[2]) = (serde_json::json!(workers), serde_json::json!(know));
        knowledge
    }

    pub(crate) fn on_knowledge_received(&mut self, handed: serde_json::Value) {
        let fits = |(workers, maps, know): &(Vec<Worker>, Vec<SizeMap>, Knowledge)| {
            let covered = workers.iter().all(|worker| know.covers(worker));
            covered && know.has_same_shape(&self.know) && maps.len() == self.maps.len()
        };
        match serde_json::from_value(handed).ok().filter(fits) {
            Some((workers, maps, know)) => {
                self.index = workers.iter().enumerate().map(|(at, worker)| (worker.id, at)).collect();
                (self.workers, self.maps, self.know) = (workers, maps, know);
                let ranks = self.know.zones_by_rank.len().max(self.company.size() as usize);
                self.know.zones_by_rank.resize(ranks, None);
            }
            None => self.out.push(Action::Log("what another process handed on does not fit".to_owned())),
        }
        self.ask_list(); // at once: whatever the list has to tell will soon count as told
    }
}

/// Moves a time to a clock that is so far ahead.
fn shift(at: &mut Micros, by: i64) {
    *at = at.saturating_add_signed(by);
}

impl Worker {
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
    fn shift(&mut self, by: i64) {
        [&mut self.soonest, &mut self.latest, &mut self.received_at].into_iter().for_each(|at| shift(at, by));
    }
}

impl Knowledge {
    fn shift(&mut self, by: i64) {
        self.buckets.iter_mut().for_each(|bucket| shift(&mut bucket.refilled_at, by));
        self.zone_failures.iter_mut().for_each(|(_, until)| shift(until, by));
        self.work_rate.shift(by);
    }
}
