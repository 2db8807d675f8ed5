//! Serialized form of an open request that moves from one process of a scheduler to its successor during an upgrade.

use crate::net::core::envelope::Envelope;
use crate::net::core::request_table::{AttemptRecord, RequestHistory};
use calicolb::api::{AttemptState, Micros, WorkerId};
use serde::{Deserialize, Serialize};

/// An open request that moves to another process. Its client's connection is passed along with it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Transfer {
    /// The data of the request that a worker receives.
    pub envelope: Envelope,
    /// True if another request may follow on the client's connection.
    pub keep_alive: bool,
    /// Input that was read from the client's connection after the request and is not processed yet.
    #[serde(with = "crate::net::core::base64_bytes")]
    pub unread: Vec<u8>,
    /// Times and attempts of the request, by the sender's clock.
    pub history: RequestHistory,
    /// The sender's clock (Unix time in microseconds) at the time of sending; the times in `history` are by that clock.
    pub clock: Micros,
}

/// A transfer as older versions write it: a request with a single attempt that a worker has accepted. Times are Unix
/// time in microseconds.
#[derive(Serialize, Deserialize)]
pub struct LegacyTransfer {
    /// The data of the request that a worker receives.
    pub envelope: Envelope,
    /// True if another request may follow on the client's connection.
    pub keep_alive: bool,
    /// Number of the worker that accepted the attempt.
    #[serde(rename = "hop")]
    pub worker: u32,
    /// Time at which the attempt was sent.
    pub sent: Micros,
    /// Time at which the client stops waiting.
    pub expires: Micros,
}

/// A transfer in either of the two formats.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum AnyTransfer {
    /// The format that this version writes.
    Current(Transfer),
    /// The format of older versions, which is only read.
    Legacy(LegacyTransfer),
}

impl AnyTransfer {
    /// Converts the transfer to the clock of this process. The flag tells whether the sender waits for a reply.
    /// `ahead`: microseconds by which the sender's clock is ahead of this process's clock.
    pub fn received(self, ahead: i64) -> (Transfer, bool) {
        match self {
            AnyTransfer::Current(mut transfer) => {
                transfer.history = transfer.history.on_clock(-ahead);
                (transfer, true)
            }
            AnyTransfer::Legacy(legacy) => (legacy.into(), false),
        }
    }
}

#[cfg(test)]
mod tests;

impl From<LegacyTransfer> for Transfer {
    fn from(legacy: LegacyTransfer) -> Self {
        let LegacyTransfer { envelope, keep_alive, worker, sent, expires } = legacy;
        let attempt =
            AttemptRecord { worker: WorkerId(worker), sent, state: AttemptState::InFlight, ended_by: None };
        let history = RequestHistory { arrived: sent, expires, effect: None, attempts: vec![attempt] };
        Transfer { envelope, keep_alive, unread: Vec::new(), history, clock: 0 }
    }
}
