//! Names of requests that have ended while a worker may still repeat its report on them.
//!
//! A client that sends a request again under the same name, after a refusal for example, gets a new entry in the table.
//! Repeated reports on the earlier request name the new one too.

use super::request::Attempt;
use std::collections::{HashMap, VecDeque};

/// Maximum number of names remembered; the oldest one is forgotten first.
const MAX_RECENT_NAMES: usize = 512;
/// Maximum number of attempts remembered for a name that is used again and again; the oldest one is forgotten first.
const MAX_ATTEMPTS_PER_NAME: usize = 16;

/// Attempts of recently ended requests whose workers may still report on them, by the name of the request.
#[derive(Default)]
pub(super) struct RecentNames {
    attempts: HashMap<String, Vec<Attempt>>,
    /// The remembered names, oldest first.
    order: VecDeque<String>,
}

impl RecentNames {
    /// Remembers an ended request, if a worker may still report on one of its attempts.
    pub(super) fn remember(&mut self, name: String, attempts: Vec<Attempt>) {
        let mut reportable: Vec<Attempt> = attempts.into_iter().filter(Attempt::may_report_again).collect();
        reportable.drain(..reportable.len().saturating_sub(MAX_ATTEMPTS_PER_NAME));
        if reportable.is_empty() {
            return;
        }
        if self.order.len() >= MAX_RECENT_NAMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
        if self.attempts.insert(name.clone(), reportable).is_none() {
            self.order.push_back(name);
        }
    }

    /// Removes a name that is in use again, and returns the attempts that its workers may still report on.
    pub(super) fn take(&mut self, name: &str) -> Vec<Attempt> {
        let Some(attempts) = self.attempts.remove(name) else { return Vec::new() };
        self.order.retain(|remembered| remembered != name);
        attempts
    }
}
