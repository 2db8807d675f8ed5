//! Requests that have been sent to the successor, and of which it has not said yet that it goes on with them. Until it has, or
//! has declined, they belong to neither process; if it dies before, they come back.

use crate::net::core::request_table::ClientId;
use crate::net::core::transfer::Transfer;
use serde::Deserialize;
use std::collections::{BTreeMap, HashSet};

/// Call-backs kept for a request whose owner is not known yet.
const CALL_BACKS: usize = 16;

/// One request that is on its way.
pub(super) struct Pending {
    pub(super) client: ClientId,
    pub(super) transfer: Transfer,
    /// Call-backs about it that came meanwhile. They were passed on too, but whether they were read is not known.
    pub(super) call_backs: Vec<String>,
}

/// See the head of this file.
#[derive(Default)]
pub(super) struct Transfers {
    pending: BTreeMap<String, Pending>,
    /// What the successor cannot go on with.
    declined: HashSet<String>,
}

/// As much of a call-back as tells whose it is.
#[derive(Deserialize)]
struct Subject {
    id: String,
}

impl Transfers {
    /// A request of this name has been sent.
    pub(super) fn sent(&mut self, name: String, client: ClientId, transfer: Transfer) {
        self.pending.insert(name, Pending { client, transfer, call_backs: Vec::new() });
    }

    /// A call-back has come that met no request here.
    pub(super) fn call_back(&mut self, body: &str) {
        if self.pending.is_empty() {
            return;
        }
        let subject = serde_json::from_str::<Subject>(body).ok();
        let pending = subject.and_then(|subject| self.pending.get_mut(&subject.id));
        if let Some(pending) = pending.filter(|pending| pending.call_backs.len() < CALL_BACKS) {
            pending.call_backs.push(body.to_owned());
        }
    }

    /// The successor goes on with the request of this name.
    pub(super) fn adopted(&mut self, name: &str) -> Option<Pending> {
        self.pending.remove(name)
    }

    /// The successor cannot go on with the request of this name.
    pub(super) fn declined(&mut self, name: &str) -> Option<Pending> {
        let pending = self.pending.remove(name)?;
        self.declined.insert(name.to_owned());
        Some(pending)
    }

    /// There is no successor any more: what it has not said to go on with, it never will.
    pub(super) fn take_back(&mut self) -> Vec<Pending> {
        self.declined.clear();
        std::mem::take(&mut self.pending).into_values().collect()
    }

    /// The successor may yet take a request of this name.
    pub(super) fn may_send(&self, name: &str) -> bool {
        !self.declined.contains(name)
    }

    /// Nothing is on its way.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
