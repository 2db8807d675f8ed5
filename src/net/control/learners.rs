//! What a control machine knows of the learners: their watches, and which version each has in force.

use calicolb::api::Micros;
use calicolb_agreed::Digest;
use std::collections::BTreeMap;

/// What was told by a learner that no longer watches here is forgotten after this time.
const FORGET: Micros = 10_000_000;

/// A watch.
pub struct Watch {
    /// Whose it is.
    pub name: String,
    /// The version that it was told last.
    pub seq: u64,
    /// Its digest.
    pub digest: Option<Digest>,
}

struct Known {
    seq: u64,
    at: Micros,
}

/// See the head of this file.
pub struct Learners {
    watches: BTreeMap<usize, Watch>,
    in_force: BTreeMap<String, Known>,
    /// Names that are kept at most.
    most: usize,
}

impl Learners {
    /// Nobody yet; so many names are kept at most.
    pub fn new(most: usize) -> Self {
        Learners { watches: BTreeMap::new(), in_force: BTreeMap::new(), most }
    }

    /// A watch has begun. Of one name there may be several for a while: one that came back, and its old connection.
    pub fn begin(&mut self, token: usize, watch: Watch) {
        self.watches.insert(token, watch);
    }

    /// The connections that are watches.
    pub fn tokens(&self) -> Vec<usize> {
        self.watches.keys().copied().collect()
    }

    /// The watch on a connection.
    pub fn watch(&mut self, token: usize) -> Option<&mut Watch> {
        self.watches.get_mut(&token)
    }

    /// A connection has gone.
    pub fn end(&mut self, now: Micros, token: usize) {
        if let Some(watch) = self.watches.remove(&token)
            && let Some(known) = self.in_force.get_mut(&watch.name)
        {
            known.at = now;
        }
    }

    /// A learner tells which version it has in force. Of more than are kept the one heard of longest ago goes.
    pub fn told(&mut self, now: Micros, name: String, seq: u64) {
        if !self.in_force.contains_key(&name) && self.in_force.len() >= self.most {
            let oldest = self.in_force.iter().min_by_key(|(_, known)| known.at).map(|(name, _)| name.clone());
            oldest.and_then(|name| self.in_force.remove(&name));
        }
        self.in_force.insert(name, Known { seq, at: now });
    }

    /// Forgets those that no longer watch here.
    pub fn forget(&mut self, now: Micros) {
        let watching = |name: &str| self.watches.values().any(|watch| watch.name == name);
        self.in_force.retain(|name, known| known.at + FORGET > now || watching(name));
    }

    /// Each learner with the version that it has in force.
    pub fn in_force(&self) -> BTreeMap<String, u64> {
        self.in_force.iter().map(|(name, known)| (name.clone(), known.seq)).collect()
    }
}
