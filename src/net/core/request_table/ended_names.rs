//! Names of requests that have ended and may have run. A name that comes again, after its client has left for example or at
//! the other process of an upgrade, must not make a job run twice that must not, nor run beside its first attempt.
//!
//! Clients use a fresh name for each request, a retry included, so a name that comes again is a mistake of the client. It is
//! remembered for [`RETENTION`], and names are kept as digests, so that the table has a bound.

use calicolb::api::Micros;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{HashMap, VecDeque};

/// Time for which a name is remembered, in microseconds.
const RETENTION: Micros = 120_000_000;
/// Maximum number of names remembered; the oldest one is forgotten first.
const MAX_NAMES: usize = 16_384;
/// Digest of a name: the first half of its SHA-256, so that names do not collide by chance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct NameDigest(u64, u64);

impl NameDigest {
    fn of(name: &str) -> Self {
        let digest = Sha256::digest(name);
        let word = |at: usize| digest[at..at + 8].iter().fold(0, |word, &byte| word << 8 | u64::from(byte));
        NameDigest(word(0), word(8))
    }
}

/// What is known of an ended request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedState {
    /// No attempt runs any more.
    Over,
    /// An attempt may still be running at its worker.
    MayRun,
}

/// A remembered name, as it is passed to the other process of an upgrade: its digest, and whether an attempt may still be
/// running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedName(NameDigest, bool);

/// A request that has ended.
pub(super) struct EndedRequest<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its number, if it was a request of this process.
    pub number: Option<u32>,
    /// Number of attempts that may still be running at their workers.
    pub running_attempts: usize,
}

struct Entry {
    running_attempts: usize,
    ended_at: Micros,
    number: Option<u32>,
}

/// Names of ended requests that may have run.
#[derive(Default)]
pub(super) struct EndedNames {
    entries: HashMap<NameDigest, Entry>,
    /// The remembered names, oldest first.
    order: VecDeque<(NameDigest, Micros)>,
    /// Names of the requests that may still be running, by the number of the request.
    running: HashMap<u32, NameDigest>,
}

impl EndedNames {
    /// Remembers a request that ended now and may have run.
    pub fn remember(&mut self, now: Micros, request: &EndedRequest<'_>) {
        let EndedRequest { name, number, running_attempts } = *request;
        self.insert(NameDigest::of(name), Entry { running_attempts, ended_at: now, number });
    }

    /// Remembers names that the other process remembers.
    pub fn import(&mut self, now: Micros, names: Vec<EndedName>) {
        for EndedName(digest, may_run) in names {
            let entry = Entry { running_attempts: usize::from(may_run), ended_at: now, number: None };
            self.insert(digest, entry);
        }
    }

    /// The remembered names, oldest first, for the other process.
    pub fn export(&self) -> Vec<EndedName> {
        let name = |digest| Some(EndedName(digest, self.entries.get(&digest)?.running_attempts > 0));
        self.order.iter().filter_map(|&(digest, _)| name(digest)).collect()
    }

    fn insert(&mut self, digest: NameDigest, entry: Entry) {
        self.forget_old(entry.ended_at);
        self.order.push_back((digest, entry.ended_at));
        let number = entry.number.filter(|_| entry.running_attempts > 0);
        if let Some(Entry { number: Some(previous), .. }) = self.entries.insert(digest, entry) {
            self.running.remove(&previous);
        }
        if let Some(number) = number {
            self.running.insert(number, digest);
        }
    }

    /// Forgets the names whose time is over, and the oldest ones above the maximum.
    fn forget_old(&mut self, now: Micros) {
        while let Some(&(digest, ended_at)) = self.order.front() {
            if self.order.len() < MAX_NAMES && now < ended_at + RETENTION {
                return;
            }
            self.order.pop_front();
            // A name that has ended again since has a later entry in the order.
            if self.entries.get(&digest).is_some_and(|entry| entry.ended_at == ended_at)
                && let Some(Entry { number: Some(number), .. }) = self.entries.remove(&digest)
            {
                self.running.remove(&number);
            }
        }
    }

    /// Records that an attempt of the request of this number, which may have been running, is over.
    pub fn attempt_over(&mut self, number: u32) {
        let Some(digest) = self.running.get(&number) else { return };
        let Some(entry) = self.entries.get_mut(digest) else { return };
        entry.running_attempts = entry.running_attempts.saturating_sub(1);
        if entry.running_attempts == 0 {
            self.running.remove(&number);
        }
    }

    /// What is known of an ended request of this name; `None` if it is certain that none has run, or the time is over.
    pub fn state(&self, now: Micros, name: &str) -> Option<EndedState> {
        if self.entries.is_empty() {
            return None;
        }
        let entry = self.entries.get(&NameDigest::of(name))?;
        let state = if entry.running_attempts > 0 { EndedState::MayRun } else { EndedState::Over };
        (now < entry.ended_at + RETENTION).then_some(state)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(name: &str, number: u32, running_attempts: usize) -> EndedRequest<'_> {
        EndedRequest { name, number: Some(number), running_attempts }
    }

    #[test]
    fn names_are_forgotten_after_their_time_and_above_their_number() {
        let mut names = EndedNames::default();
        names.remember(1, &request("first", 1, 0));
        assert_eq!(names.state(RETENTION, "first"), Some(EndedState::Over));
        assert_eq!(names.state(RETENTION + 1, "first"), None);
        for number in 0..2 * MAX_NAMES as u32 {
            names.remember(2, &request(&format!("name-{number}"), number, 1));
            assert!(names.entries.len() <= MAX_NAMES && names.running.len() <= MAX_NAMES);
        }
        assert_eq!(names.state(2, "first"), None);
        assert_eq!(names.state(2, &format!("name-{}", 2 * MAX_NAMES - 1)), Some(EndedState::MayRun));
        names.remember(2 + RETENTION, &request("last", 1, 0));
        assert_eq!((names.entries.len(), names.order.len(), names.running.len()), (1, 1, 0));
    }

    #[test]
    fn name_that_ends_again_is_remembered_from_then_on() {
        let mut names = EndedNames::default();
        names.remember(1, &request("again", 1, 1));
        names.remember(RETENTION, &request("again", 2, 2));
        names.remember(RETENTION + 1, &request("other", 3, 0));
        assert_eq!(names.state(RETENTION + 2, "again"), Some(EndedState::MayRun));
        [1, 2].into_iter().for_each(|number| names.attempt_over(number));
        assert_eq!(
            names.state(RETENTION + 2, "again"),
            Some(EndedState::MayRun),
            "one of two attempts is over"
        );
        names.attempt_over(2);
        assert_eq!(names.state(RETENTION + 2, "again"), Some(EndedState::Over));
    }

    #[test]
    fn other_process_remembers_the_same_names() {
        let (mut names, mut other) = (EndedNames::default(), EndedNames::default());
        names.remember(1, &request("over", 1, 0));
        names.remember(2, &request("running", 2, 1));
        let text = serde_json::to_string(&names.export()).expect("the names can be serialized");
        other.import(50, serde_json::from_str(&text).expect("the names can be read"));
        let states = ["over", "running", "none"].map(|name| other.state(60, name));
        assert_eq!(states, [Some(EndedState::Over), Some(EndedState::MayRun), None]);
    }
}
