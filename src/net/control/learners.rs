//! The learners as a control machine knows them: their watches, and the version that each has in force.

use calicolb::api::Micros;
use calicolb_consensus::Digest;
use std::collections::BTreeMap;

/// The time in microseconds after which the version of a learner without a watch is forgotten. The time counts from the end of
/// the last watch or from the last report, whichever is later.
const RETENTION: Micros = 10_000_000;

/// An open watch: a learner's connection on which it receives new versions.
pub struct Watch {
    /// The learner's name.
    pub name: String,
    /// The number of the last version that was sent.
    pub seq: u64,
    /// The digest of that version.
    pub digest: Option<Digest>,
}

/// The version that a learner reported.
struct ReportedVersion {
    seq: u64,
    /// The time of the report or of the end of the learner's watch, whichever is later.
    updated: Micros,
}

/// The watches of a control machine and the versions that learners reported.
pub struct Learners {
    /// The open watches, by the token of their connection.
    watches: BTreeMap<usize, Watch>,
    /// The reported versions, by the name of the learner.
    in_force: BTreeMap<String, ReportedVersion>,
    /// The largest number of names in `in_force`.
    max_names: usize,
}

impl Learners {
    /// Creates an empty record that keeps the versions of at most `max_names` learners.
    pub fn new(max_names: usize) -> Self {
        Learners { watches: BTreeMap::new(), in_force: BTreeMap::new(), max_names }
    }

    /// Records a new watch. After a learner has reconnected, its old watch can still be open, so several watches may have the
    /// same name.
    pub fn add_watch(&mut self, token: usize, watch: Watch) {
        self.watches.insert(token, watch);
    }

    /// The tokens of all watches.
    pub fn watch_tokens(&self) -> Vec<usize> {
        self.watches.keys().copied().collect()
    }

    /// Returns the watch on a connection; `None` if the connection is not a watch.
    pub fn watch_mut(&mut self, token: usize) -> Option<&mut Watch> {
        self.watches.get_mut(&token)
    }

    /// Removes the watch of a closed connection. Does nothing if the connection was not a watch.
    pub fn remove_watch(&mut self, now: Micros, token: usize) {
        if let Some(watch) = self.watches.remove(&token)
            && let Some(reported) = self.in_force.get_mut(&watch.name)
        {
            reported.updated = now;
        }
    }

    /// Records the version that a learner has in force. If there are too many names, the one updated longest ago is removed.
    pub fn record_version(&mut self, now: Micros, name: String, seq: u64) {
        if !self.in_force.contains_key(&name) && self.in_force.len() >= self.max_names {
            let oldest = self
                .in_force
                .iter()
                .min_by_key(|(_, reported)| reported.updated)
                .map(|(name, _)| name.clone());
            oldest.and_then(|name| self.in_force.remove(&name));
        }
        self.in_force.insert(name, ReportedVersion { seq, updated: now });
    }

    /// Removes the versions of learners that have no watch here and were not updated for [`RETENTION`].
    pub fn remove_expired(&mut self, now: Micros) {
        let has_watch = |name: &str| self.watches.values().any(|watch| watch.name == name);
        self.in_force.retain(|name, reported| reported.updated + RETENTION > now || has_watch(name));
    }

    /// The name of each learner with the number of the version that it has in force.
    pub fn in_force(&self) -> BTreeMap<String, u64> {
        self.in_force.iter().map(|(name, reported)| (name.clone(), reported.seq)).collect()
    }
}
