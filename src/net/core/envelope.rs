//! The protocol-independent form of a request, in which it is forwarded to a worker.

use crate::net::core::memory::{MemoryAccount, MemoryCharge, MemoryUse};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Memory that a header takes beside its name and value, in bytes: two strings and what the allocator adds to each.
pub const HEADER_OVERHEAD: usize = 112;

/// Header lines in the order in which they were received.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The value of the first header of this name, compared without case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// All headers as (name, value), in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

impl Headers {
    /// Memory that the headers take, in bytes.
    pub fn memory(&self) -> usize {
        self.iter().map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD).sum()
    }
}

impl FromIterator<(String, String)> for Headers {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(lines: I) -> Self {
        Headers(lines.into_iter().collect())
    }
}

/// Data of a request that a worker receives. Each protocol sends the fields that it can express.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Request name that the worker uses in its callbacks: the client's name for it, or a generated one.
    pub name: String,
    /// Skill that a worker needs to run the request: an index into [`Skills`](crate::config::Skills).
    pub skill: u32,
    /// Path and query, as in an HTTP request line.
    pub target: String,
    /// HTTP headers.
    pub headers: Headers,
    /// The body or workload, without framing.
    #[serde(with = "crate::net::core::base64_bytes")]
    pub body: Vec<u8>,
    /// Charge for the memory of the envelope.
    #[serde(skip)]
    pub charge: MemoryCharge,
}

impl Envelope {
    /// Memory that the envelope takes, in bytes.
    pub fn memory(&self) -> usize {
        self.body.capacity() + self.headers.memory() + self.target.len() + self.name.len()
    }

    /// Charges the memory of the envelope to an account.
    pub fn charge_to(&mut self, account: &MemoryAccount) {
        self.charge = account.charge(MemoryUse::Payload);
        self.charge.set(self.memory());
    }
}

/// An envelope that all attempts of a request share.
pub type Payload = Rc<Envelope>;
