//! The state that a process passes to its successor when it is replaced by an upgrade.

use super::upgrade::Message;
use crate::config::worker_list::ListUpdate;
use crate::log::log_line;
use crate::net::core::request_table::EndedName;
use calicolb::api::Micros;
use calicolb::wire::Names;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The state that a successor receives.
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// The list of workers and its version.
    #[serde(rename = "routes")]
    pub worker_list: ListUpdate,
    /// The predecessor's clock when this message was written, in microseconds. Older versions do not send it.
    #[serde(default)]
    pub clock: Option<Micros>,
    /// Time since discovery last confirmed that list, in microseconds; `None` if it never did, or if the
    /// predecessor is an older version that does not send it.
    #[serde(default)]
    pub confirmed_us_ago: Option<u64>,
    /// The state that the dispatcher has learned, as JSON text in the dispatcher's own format.
    #[serde(rename = "knowledge")]
    pub dispatcher_state: Box<RawValue>,
    /// The names behind the class and tenant indices in `dispatcher_state`. Older versions do not send them.
    #[serde(default)]
    pub names: Option<IndexedNames>,
    /// The names of the open requests.
    #[serde(rename = "open")]
    pub open_requests: Vec<String>,
    /// The names of ended requests that may have run. Older versions do not send them.
    #[serde(default, rename = "ended")]
    pub ended_requests: Vec<EndedName>,
    /// Clients are being drained on an operator's request.
    #[serde(rename = "drained")]
    pub draining: bool,
}

/// Names of classes and tenants in the order of their indices.
#[derive(Serialize, Deserialize)]
pub struct IndexedNames {
    /// Class names by index.
    pub classes: Vec<String>,
    /// Tenant names by index.
    pub tenants: Vec<String>,
}

impl IndexedNames {
    /// Collects the names of the settings in the order of their indices.
    pub fn new(names: &Names) -> Self {
        let to_owned = |name: &str| name.to_owned();
        IndexedNames {
            classes: names.classes().map(to_owned).collect(),
            tenants: names.tenants().map(to_owned).collect(),
        }
    }
}

impl Handover {
    /// Encodes the message as one line of at most `max_bytes` bytes. What does not fit is left out, because a successor that
    /// cannot read the message would serve beside this process without knowing its open requests: first the learned state,
    /// then the worker list. A successor learns the first anew, and discovery brings the second.
    ///
    /// # Errors
    /// Returns the error of the serializer.
    pub fn encode(self, max_bytes: usize) -> serde_json::Result<Vec<u8>> {
        let mut handover = Box::new(self);
        loop {
            let message = Message::Handover(handover);
            let mut line = serde_json::to_vec(&message)?;
            line.push(b'\n');
            let Message::Handover(returned) = message else { return Ok(line) };
            handover = returned;
            if line.len() <= max_bytes || !handover.leave_out_one_part() {
                return Ok(line);
            }
            log_line!(warn: bytes = line.len(), max_bytes, "the state for the successor is too large: a part is left out");
        }
    }

    /// Leaves out the part that a successor can replace most easily. Returns false if there is none.
    fn leave_out_one_part(&mut self) -> bool {
        if self.dispatcher_state.get() != RawValue::NULL.get() {
            self.dispatcher_state = RawValue::NULL.to_owned();
            true
        } else if !self.worker_list.hosts.is_empty() {
            self.worker_list.hosts.clear();
            true
        } else {
            false
        }
    }
}

#[cfg(test)]
mod tests;
