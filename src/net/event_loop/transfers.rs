//! Requests that were sent to the successor and that it has neither accepted nor declined. Until then neither process
//! works on them. If the successor ends before it replies, the requests return to this process.

use crate::net::core::request_table::ClientId;
use crate::net::core::transfer::Transfer;
use serde::Deserialize;
use std::collections::{BTreeMap, HashSet};

/// Maximum number of callbacks kept for a request that is being transferred.
const MAX_CALLBACKS: usize = 16;

/// A request that is being transferred.
pub(super) struct PendingTransfer {
    /// Client that sent the request.
    pub(super) client: ClientId,
    /// The data that was sent to the successor.
    pub(super) transfer: Transfer,
    /// Callbacks about the request that arrived during the transfer. They were passed on to the successor too, but the
    /// successor may not have read them.
    pub(super) callbacks: Vec<String>,
}

/// The requests that are being transferred, by name.
#[derive(Default)]
pub(super) struct PendingTransfers {
    pending: BTreeMap<String, PendingTransfer>,
    /// Names of requests that the successor declined.
    declined: HashSet<String>,
}

/// The field of a callback that identifies its request.
#[derive(Deserialize)]
struct CallbackSubject {
    id: String,
}

impl PendingTransfers {
    /// Records that a request was sent to the successor.
    pub(super) fn insert(&mut self, name: String, client: ClientId, transfer: Transfer) {
        self.pending.insert(name, PendingTransfer { client, transfer, callbacks: Vec::new() });
    }

    /// Keeps a callback that matched no request here, if it is about a request that is being transferred.
    pub(super) fn record_callback(&mut self, body: &str) {
        if self.pending.is_empty() {
            return;
        }
        let subject = serde_json::from_str::<CallbackSubject>(body).ok();
        let pending = subject.and_then(|subject| self.pending.get_mut(&subject.id));
        if let Some(pending) = pending.filter(|pending| pending.callbacks.len() < MAX_CALLBACKS) {
            pending.callbacks.push(body.to_owned());
        }
    }

    /// Removes a request that the successor accepted.
    pub(super) fn remove(&mut self, name: &str) -> Option<PendingTransfer> {
        self.pending.remove(name)
    }

    /// Removes a request that the successor declined, and records that it must not be sent again.
    pub(super) fn decline(&mut self, name: &str) -> Option<PendingTransfer> {
        let pending = self.pending.remove(name)?;
        self.declined.insert(name.to_owned());
        Some(pending)
    }

    /// Removes all requests, because the successor has ended and will not reply. Declined requests may be sent to
    /// another successor.
    pub(super) fn take_all(&mut self) -> Vec<PendingTransfer> {
        self.declined.clear();
        std::mem::take(&mut self.pending).into_values().collect()
    }

    /// Returns true if the successor has not declined the request of this name.
    pub(super) fn may_send(&self, name: &str) -> bool {
        !self.declined.contains(name)
    }

    /// Returns true if no request is being transferred.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
