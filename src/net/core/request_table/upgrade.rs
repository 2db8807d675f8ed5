//! Upgrade of a scheduler: state that one process hands over to the other, and the names of requests that are open at
//! the other process.

use super::*;

impl<P: Clone> RequestTable<P> {
    /// Hands over to a successor: returns what the decision module has learned, as JSON text. From now on the successor
    /// sends peer messages for both processes.
    ///
    /// # Errors
    /// Returns the error of the serializer; the successor then begins without what was learned.
    pub fn hand_over(&mut self, now: Micros) -> serde_json::Result<String> {
        self.events.push_back(Event::SuccessorActive(true));
        self.dispatcher.knowledge_text(now)
    }

    /// Reports that the successor process has ended.
    pub fn successor_gone(&mut self) {
        self.events.push_back(Event::SuccessorActive(false));
    }

    /// Imports what the decision module of the predecessor process had learned, as JSON text.
    pub fn import_knowledge(&mut self, knowledge: String) {
        self.events.push_back(Event::KnowledgeReceived(knowledge));
    }

    /// Returns true if a request of this name is open here.
    pub fn has_request(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// Returns the names of all open requests, and starts to record changes for [`RequestTable::take_name_changes`].
    pub fn track_open_names(&mut self) -> Vec<String> {
        self.name_changes.get_or_insert_default();
        self.by_name.keys().cloned().collect()
    }

    /// Returns the names that were opened (`true`) or closed (`false`) since the last call.
    pub fn take_name_changes(&mut self) -> Vec<(String, bool)> {
        self.name_changes.as_mut().map(mem::take).unwrap_or_default()
    }

    /// The names of ended requests that may have run, for the other process.
    pub fn ended_names(&self) -> Vec<EndedName> {
        self.ended_names.export()
    }

    /// Remembers names of ended requests of the other process that may have run.
    pub fn import_ended_names(&mut self, now: Micros, names: Vec<EndedName>) {
        self.ended_names.import(now, names);
    }

    /// Records that a request of this name was opened or closed at the other process. It is not known whether a request
    /// that was closed has run, so it counts as one that may have.
    pub fn set_open_elsewhere(&mut self, now: Micros, name: String, open: bool) {
        if !open {
            if self.open_elsewhere.remove(&name) {
                let ended = EndedRequest { name: &name, number: None, running_attempts: 0 };
                self.ended_names.remember(now, &ended);
            }
        } else if self.open_elsewhere.len() < MAX_OPEN_ELSEWHERE {
            self.open_elsewhere.insert(name);
        }
    }

    /// Returns true if there is another process of this scheduler.
    pub fn has_other_process(&self) -> bool {
        self.name_changes.is_some()
    }

    /// Returns true if a request of this name is open at the other process.
    pub fn is_open_elsewhere(&self, name: &str) -> bool {
        self.open_elsewhere.contains(name)
    }

    /// Returns true if requests are open at the other process.
    pub fn any_open_elsewhere(&self) -> bool {
        !self.open_elsewhere.is_empty()
    }

    /// Reports that no other process of this scheduler is left.
    pub fn other_process_gone(&mut self, now: Micros) {
        for name in mem::take(&mut self.open_elsewhere) {
            let ended = EndedRequest { name: &name, number: None, running_attempts: 1 };
            self.ended_names.remember(now, &ended);
        }
        self.name_changes = None;
    }

    /// Sets the maximum number of open requests.
    pub fn set_max_open(&mut self, max_open: usize) {
        self.max_open = max_open;
    }
}
