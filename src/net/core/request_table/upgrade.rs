//! Two processes of one scheduler: what one hands over to the other, and the names that are open at the other.

use super::*;

impl<P: Clone> RequestTable<P> {
    /// Another process takes over: gives what the module has learned. From now on that one speaks for both.
    pub fn hand_over(&mut self) -> serde_json::Value {
        self.events.push_back(Event::SuccessorActive(true));
        self.dispatcher.knowledge()
    }

    /// The process that had taken over has gone.
    pub fn successor_gone(&mut self) {
        self.events.push_back(Event::SuccessorActive(false));
    }

    /// What the module of the process before this one had learned.
    pub fn import_knowledge(&mut self, knowledge: serde_json::Value) {
        self.events.push_back(Event::KnowledgeReceived(knowledge));
    }

    /// A request of this name is open here.
    pub fn has_request(&self, name: &str) -> bool {
        self.names.contains_key(name)
    }

    /// The names of the requests that are open; from now on, who asks is told of each change.
    pub fn track_open_names(&mut self) -> Vec<String> {
        self.turnover.get_or_insert_default();
        self.names.keys().cloned().collect()
    }

    /// Names that were opened and closed since the last time.
    pub fn take_name_changes(&mut self) -> Vec<(String, bool)> {
        self.turnover.as_mut().map(mem::take).unwrap_or_default()
    }

    /// A request of this name is open at the other process, or no longer.
    pub fn set_open_elsewhere(&mut self, name: String, open: bool) {
        if !open {
            self.elsewhere.remove(&name);
        } else if self.elsewhere.len() < ELSEWHERE {
            self.elsewhere.insert(name);
        }
    }

    /// Requests are open at the other process.
    pub fn any_open_elsewhere(&self) -> bool {
        !self.elsewhere.is_empty()
    }

    /// There is no other process any more.
    pub fn other_process_gone(&mut self) {
        self.elsewhere.clear();
        self.turnover = None;
    }

    /// So many requests may be open from now on.
    pub fn set_max_open(&mut self, most_open: usize) {
        self.most_open = most_open;
    }
}
