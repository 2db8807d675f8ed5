//! Changes, versions and the deltas between them.

use crate::digest::Digest;
use crate::document::{Document, size};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What to set and what to remove: all of it or nothing.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Keys with their new values.
    #[serde(default)]
    pub set: Document,
    /// Keys to remove; one that is in `set` too is set.
    #[serde(default)]
    pub unset: BTreeSet<String>,
}

impl Change {
    /// The document with this change in it.
    #[must_use]
    pub fn on(&self, document: &Document) -> Document {
        let mut whole = document.clone();
        self.apply(&mut whole);
        whole
    }

    pub(crate) fn apply(&self, document: &mut Document) {
        for key in &self.unset {
            document.remove(key);
        }
        document.extend(self.set.iter().map(|(key, value)| (key.clone(), value.clone())));
    }

    /// Bytes, about, as a message or the log holds it.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size(&self.set) + self.unset.iter().map(|key| key.len() + 3).sum::<usize>()
    }
}

/// A decided version of the document. Version 0 is the empty document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// How many changes led here.
    pub seq: u64,
    /// Of the document.
    pub digest: Digest,
    /// The whole of it.
    pub document: Arc<Document>,
}

/// A delta that doesn't lead from the version at hand to the one it names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Mismatch {
    /// It starts elsewhere.
    #[error("the delta starts from another version")]
    Start,
    /// What comes out isn't what it says.
    #[error("the delta gives a document with another digest")]
    End,
}

impl Version {
    /// Of this document under this number.
    #[must_use]
    pub fn new(seq: u64, document: Document) -> Version {
        Version { seq, digest: Digest::of(&document), document: Arc::new(document) }
    }

    /// Whether the digest is the document's.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        Digest::of(&self.document) == self.digest
    }

    /// The version that a delta leads to: the whole of it, or none.
    ///
    /// # Errors
    /// When the delta starts from another version or its digest isn't that of what comes out.
    pub fn with(&self, delta: &Delta) -> Result<Version, Mismatch> {
        if delta.from_digest != self.digest || Some(delta.seq) != self.seq.checked_add(1) {
            return Err(Mismatch::Start);
        }
        let next = Version::new(delta.seq, delta.change.on(&self.document));
        if next.digest == delta.digest { Ok(next) } else { Err(Mismatch::End) }
    }
}

impl Default for Version {
    fn default() -> Version {
        Version::new(0, Document::new())
    }
}

/// From one version to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Of the version it leads to.
    pub seq: u64,
    /// Of the version it starts from.
    pub from_digest: Digest,
    /// Of the version it leads to.
    pub digest: Digest,
    /// What changes.
    pub change: Change,
}
