//! A request on its way from one process of a scheduler to the next, as it is written between them.

use crate::net::core::envelope::Envelope;
use crate::net::core::request_table::{AttemptRecord, RequestHistory};
use calicolb::api::{AttemptState, Micros, WorkerId};
use serde::{Deserialize, Serialize};

/// A request that goes on at another process, with the connection of its client, which comes along.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Transfer {
    pub envelope: Envelope,
    /// Another request may follow on its connection.
    pub keep_alive: bool,
    /// What came in on its connection behind it, and is not dealt with.
    #[serde(with = "crate::net::core::base64_bytes")]
    pub unread: Vec<u8>,
    pub history: RequestHistory,
    /// The sender's clock as it was sent. The times above are by that clock.
    pub clock: Micros,
}

/// A transfer as older versions write it: one attempt that a worker has taken, by Unix time.
#[derive(Serialize, Deserialize)]
pub struct LegacyTransfer {
    pub envelope: Envelope,
    pub keep_alive: bool,
    #[serde(rename = "hop")]
    pub worker: u32,
    pub sent: Micros,
    pub expires: Micros,
}

/// Either form.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum AnyTransfer {
    Current(Transfer),
    Legacy(LegacyTransfer),
}

impl AnyTransfer {
    /// The transfer by the clock of this process, and whether its sender waits for an answer. `ahead`: by how much the
    /// sender's clock is ahead.
    pub fn received(self, ahead: i64) -> (Transfer, bool) {
        match self {
            AnyTransfer::Current(mut transfer) => {
                transfer.history = transfer.history.on_clock(-ahead);
                (transfer, true)
            }
            AnyTransfer::Legacy(taken) => (taken.into(), false),
        }
    }
}

#[cfg(test)]
mod tests;

impl From<LegacyTransfer> for Transfer {
    fn from(taken: LegacyTransfer) -> Self {
        let LegacyTransfer { envelope, keep_alive, worker: hop, sent, expires } = taken;
        let attempt = AttemptRecord { worker: WorkerId(hop), sent, state: AttemptState::InFlight, ended_by: None };
        let history = RequestHistory { arrived: sent, expires, effect: None, attempts: vec![attempt] };
        Transfer { envelope, keep_alive, unread: Vec::new(), history, clock: 0 }
    }
}
