//! Changes to a document, numbered versions, and the deltas between versions.

use crate::digest::Digest;
use crate::document::{Document, document_size};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Keys to set and keys to remove. A change is applied completely or not at all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Keys with their new values.
    #[serde(default)]
    pub set: Document,
    /// Keys to remove. A key that is also in `set` is set.
    #[serde(default)]
    pub unset: BTreeSet<String>,
}

impl Change {
    /// Returns a copy of the document with this change applied.
    #[must_use]
    pub fn applied_to(&self, document: &Document) -> Document {
        let mut result = document.clone();
        self.apply(&mut result);
        result
    }

    /// Applies this change to a document in place.
    pub(crate) fn apply(&self, document: &mut Document) {
        for key in &self.unset {
            document.remove(key);
        }
        document.extend(self.set.iter().map(|(key, value)| (key.clone(), value.clone())));
    }

    /// The approximate size of this change in a message or in the log, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        document_size(&self.set) + self.unset.iter().map(|key| key.len() + 3).sum::<usize>()
    }
}

/// A decided version of the document. Version 0 is the empty document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// The number of the version: the number of changes that led to it.
    pub seq: u64,
    /// The digest of the document.
    pub digest: Digest,
    /// The complete document.
    pub document: Arc<Document>,
}

/// A delta cannot be applied to a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta starts from a different version.
    #[error("the delta starts from a different version")]
    WrongBase,
    /// The resulting document does not have the digest that the delta states.
    #[error("the delta results in a document with a different digest")]
    WrongDigest,
}

impl Version {
    /// Creates the version with number `seq` of this document, and computes the digest.
    #[must_use]
    pub fn new(seq: u64, document: Document) -> Version {
        Version { seq, digest: Digest::of(&document), document: Arc::new(document) }
    }

    /// Returns whether the stored digest is that of the document.
    #[must_use]
    pub fn digest_matches(&self) -> bool {
        Digest::of(&self.document) == self.digest
    }

    /// Returns the version that results from applying a delta.
    ///
    /// # Errors
    /// If the delta starts from a different version, or the resulting document has a different digest than the delta
    /// states.
    pub fn with_delta(&self, delta: &Delta) -> Result<Version, DeltaError> {
        if delta.from_digest != self.digest || Some(delta.seq) != self.seq.checked_add(1) {
            return Err(DeltaError::WrongBase);
        }
        let next = Version::new(delta.seq, delta.change.applied_to(&self.document));
        if next.digest == delta.digest { Ok(next) } else { Err(DeltaError::WrongDigest) }
    }
}

impl Default for Version {
    fn default() -> Version {
        Version::new(0, Document::new())
    }
}

/// The change from one version to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The number of the resulting version.
    pub seq: u64,
    /// The digest of the version that the change applies to.
    pub from_digest: Digest,
    /// The digest of the resulting version.
    pub digest: Digest,
    /// The change.
    pub change: Change,
}
