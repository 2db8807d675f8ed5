//! A request on its way through, whatever protocol it came by and whichever it goes out by.

use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Header lines in their order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The value of the first header of this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

impl FromIterator<(String, String)> for Headers {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(lines: I) -> Self {
        Headers(lines.into_iter().collect())
    }
}

/// What a next hop gets of a request. Each protocol writes of it what it has words for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The name under which a next hop speaks of it: the client's, or one that was made for it.
    pub name: String,
    /// What a next hop must be able to do for it: an index into [`Skills`](crate::config::Skills).
    pub skill: u32,
    /// Path and query, as HTTP has it.
    pub target: String,
    /// Headers, as HTTP has them.
    pub headers: Headers,
    /// The body or workload, without framing.
    #[serde(with = "crate::net::core::base64_bytes")]
    pub body: Vec<u8>,
}

/// An envelope as the desk keeps it: every attempt sends the same one.
pub type Payload = Rc<Envelope>;
