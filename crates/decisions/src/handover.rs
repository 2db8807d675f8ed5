//! The handing over of what was learned to the process that takes over: it is carried, nothing of it is decided.

use crate::api::Action;
use crate::rules::Dispatcher;
use crate::state::{Knowledge, SizeMap, Worker};

impl Dispatcher {
    /// What was learned, for the process that takes over.
    pub fn knowledge(&self) -> serde_json::Value {
        serde_json::json!([self.workers, self.maps, self.know])
    }

    pub(crate) fn on_handed(&mut self, handed: serde_json::Value) {
        let fits = |(workers, maps, know): &(Vec<Worker>, Vec<SizeMap>, Knowledge)| {
            let covered = workers.iter().all(|worker| know.covers(worker));
            covered && know.like(&self.know) && maps.len() == self.maps.len()
        };
        match serde_json::from_value(handed).ok().filter(fits) {
            Some((workers, maps, know)) => {
                self.index = workers.iter().enumerate().map(|(at, worker)| (worker.id, at)).collect();
                (self.workers, self.maps, self.know) = (workers, maps, know);
                let ranks = self.know.zones.len().max(self.company.size() as usize);
                self.know.zones.resize(ranks, None);
            }
            None => self.out.push(Action::Log("what another process handed on does not fit".to_owned())),
        }
        self.ask_list(); // at once: whatever the list has to tell will soon count as told
    }
}
