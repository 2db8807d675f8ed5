//! A learner holds a scheduler's copy of the agreed configuration: the version in force, and whether it may be
//! outdated.
//!
//! Every version that a control machine sends has been decided. A machine without a majority may send an old version,
//! however, and a learner without contact may have an old version in force. If a machine without a majority sends
//! a version, only its keys that tighten a limit come into force at once. All other keys wait until a machine with a
//! majority confirms that this version is the latest. A learner that receives nothing keeps its last version
//! in force and reports that it is behind.

use crate::change::{Delta, Version};
use crate::digest::Digest;
use crate::document::{Check, Document, ValidationError};
use crate::tighten::{TighteningDirection, apply_tightening};
use std::sync::Arc;

/// The shortest interval between two requests, in microseconds.
const MIN_REQUEST_INTERVAL_US: u64 = 250_000;
/// The longest interval between requests that brought no new version, in microseconds.
const MAX_REQUEST_INTERVAL_US: u64 = 4_000_000;

/// Validates documents, and knows for each key which direction tightens it. The program supplies the implementation.
pub trait Rules: Check {
    /// The direction in which a change of this key tightens.
    fn tightening_direction(&self, key: &str) -> TighteningDirection;
}

/// A message of a control machine to a learner.
#[derive(Debug, Clone, PartialEq)]
pub enum VersionMessage {
    /// A complete version.
    Full {
        /// The version.
        version: Version,
        /// True if the sending machine has a majority.
        majority: bool,
    },
    /// The change to the next version.
    Delta {
        /// The change.
        delta: Delta,
        /// True if the sending machine has a majority.
        majority: bool,
    },
    /// The number of the machine's current version, without its content.
    Current {
        /// The number of the version.
        seq: u64,
        /// True if the sending machine has a majority.
        majority: bool,
    },
}

/// The effect of a message on a learner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The message was outdated or contained nothing new.
    Unchanged,
    /// A version came into force completely.
    InForce,
    /// A new version is held, but only its tightening keys are in force.
    Tightened,
    /// Versions in between are missing or do not match. The learner must request them.
    Gap,
    /// The new version is invalid on this scheduler. The previous one stays in force.
    Invalid(ValidationError),
}

/// Identifies a version. A learner sends it to a control machine to request the changes since that version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionId {
    /// The number of the version.
    pub seq: u64,
    /// The digest of the version.
    pub digest: Digest,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionInForce {
    /// The number of the last version that came into force completely; 0 for none.
    pub seq: u64,
    /// The digest of that version.
    pub digest: Digest,
    /// The document in force: that of version `seq`, except for the keys tightened by a later version.
    pub document: Arc<Document>,
    /// The later version of which only the tightening keys are in force, if there is one.
    pub tightened_to: Option<u64>,
}

impl VersionInForce {
    /// A version that is completely in force.
    fn from_version(version: &Version) -> VersionInForce {
        let document = Arc::clone(&version.document);
        VersionInForce { seq: version.seq, digest: version.digest, document, tightened_to: None }
    }
}

/// The learner of one scheduler. All times are in microseconds of one monotonic clock.
pub struct Learner {
    /// The time without a message from a majority after which the learner is behind, in microseconds.
    max_silence_us: u64,
    rules: Box<dyn Rules + Send>,
    /// The latest version that was received completely, valid or not.
    held: Version,
    in_force: Arc<VersionInForce>,
    /// The number of the latest version that a delta, a full version or a control machine's version number announced.
    latest_known: u64,
    /// True if a delta was received that does not follow the held version.
    has_gap: bool,
    /// The time of the last message from a machine with a majority.
    majority_heard_at: Option<u64>,
    /// The time of the last request, and the minimum interval until the next one, in microseconds.
    last_request: Option<(u64, u64)>,
    /// The reason why the held version is not in force, if it is invalid.
    validation_error: Option<ValidationError>,
}

impl Learner {
    /// Creates a learner with version 0, the empty document. The learner is behind if it has received nothing from a
    /// control machine with a majority for `max_silence_us` microseconds.
    #[must_use]
    pub fn new(max_silence_us: u64, rules: Box<dyn Rules + Send>) -> Learner {
        Learner::with_version(max_silence_us, rules, Version::default())
    }

    /// Creates a learner with a version that was in force before.
    #[must_use]
    pub fn with_version(max_silence_us: u64, rules: Box<dyn Rules + Send>, version: Version) -> Learner {
        let in_force = Arc::new(VersionInForce::from_version(&version));
        let latest_known = version.seq;
        let (has_gap, majority_heard_at, last_request, validation_error) = (false, None, None, None);
        Learner {
            max_silence_us,
            rules,
            held: version,
            in_force,
            latest_known,
            has_gap,
            majority_heard_at,
            last_request,
            validation_error,
        }
    }

    /// Processes a message of a control machine.
    pub fn receive(&mut self, now: u64, message: VersionMessage) -> UpdateOutcome {
        let (VersionMessage::Full { majority, .. }
        | VersionMessage::Delta { majority, .. }
        | VersionMessage::Current { majority, .. }) = &message;
        let majority = *majority;
        if majority {
            self.majority_heard_at = Some(self.majority_heard_at.unwrap_or(0).max(now));
        }
        let outcome = match message {
            VersionMessage::Full { version, .. } => {
                if !version.digest_matches() {
                    return UpdateOutcome::Gap;
                }
                if version.seq > self.held.seq {
                    self.accept(version, majority)
                } else {
                    self.confirm(version.seq, Some(version.digest), majority)
                }
            }
            VersionMessage::Delta { delta, .. } => {
                self.latest_known = self.latest_known.max(delta.seq);
                if delta.seq <= self.held.seq {
                    self.confirm(delta.seq, Some(delta.digest), majority)
                } else {
                    match self.held.with_delta(&delta) {
                        Ok(version) => self.accept(version, majority),
                        Err(_) => {
                            self.has_gap = true;
                            UpdateOutcome::Gap
                        }
                    }
                }
            }
            VersionMessage::Current { seq, .. } => {
                self.latest_known = self.latest_known.max(seq);
                if seq > self.held.seq { UpdateOutcome::Gap } else { self.confirm(seq, None, majority) }
            }
        };
        if matches!(outcome, UpdateOutcome::InForce | UpdateOutcome::Tightened) {
            self.last_request = None;
        }
        outcome
    }

    /// The configuration in force.
    #[must_use]
    pub fn in_force(&self, _now: u64) -> Arc<VersionInForce> {
        Arc::clone(&self.in_force)
    }

    /// Returns whether a later version may be in force elsewhere: the learner has not recently received a message
    /// from a control machine with a majority, or the latest known version is not completely in force.
    #[must_use]
    pub fn is_behind(&self, now: u64) -> bool {
        self.is_silent(now) || !self.is_up_to_date()
    }

    /// Returns the version from which to request changes, if the learner is behind and the interval since the last
    /// request has passed. The interval doubles with each request until a version comes into force.
    pub fn next_request(&mut self, now: u64) -> Option<VersionId> {
        if !self.is_behind(now) {
            return None;
        }
        let interval = match self.last_request {
            Some((requested_at, interval)) if now < requested_at.saturating_add(interval) => return None,
            Some((_, interval)) => (interval * 2).min(MAX_REQUEST_INTERVAL_US),
            None => MIN_REQUEST_INTERVAL_US,
        };
        self.last_request = Some((now, interval));
        Some(self.held_version())
    }

    /// The version that the learner holds. Requests to a control machine are for the changes since this version.
    #[must_use]
    pub fn held_version(&self) -> VersionId {
        VersionId { seq: self.held.seq, digest: self.held.digest }
    }

    /// The reason why the held version is not in force, if it is invalid on this scheduler.
    #[must_use]
    pub fn validation_error(&self) -> Option<&ValidationError> {
        self.validation_error.as_ref()
    }

    /// Returns whether the last message from a machine with a majority is older than the maximum silence, or there was
    /// none.
    fn is_silent(&self, now: u64) -> bool {
        self.majority_heard_at.is_none_or(|heard_at| now.saturating_sub(heard_at) > self.max_silence_us)
    }

    /// Returns whether the latest known version is completely in force.
    fn is_up_to_date(&self) -> bool {
        let in_force = self.in_force.tightened_to.is_none() && self.in_force.seq == self.held.seq;
        in_force && !self.has_gap && self.latest_known <= self.held.seq
    }

    /// Stores a newer version as the held one, and brings it into force as far as possible.
    fn accept(&mut self, version: Version, majority: bool) -> UpdateOutcome {
        self.latest_known = self.latest_known.max(version.seq);
        self.held = version;
        self.has_gap = false;
        self.apply_held(majority)
    }

    /// Processes the number of a version that is not newer than the held one. If the sender has a majority and the
    /// number is that of the held version, the held version comes into force completely.
    fn confirm(&mut self, seq: u64, digest: Option<Digest>, majority: bool) -> UpdateOutcome {
        if seq < self.held.seq || !majority || self.is_up_to_date() {
            return UpdateOutcome::Unchanged;
        }
        if digest.is_some_and(|digest| digest != self.held.digest) {
            return UpdateOutcome::Unchanged;
        }
        if self.latest_known <= self.held.seq {
            self.has_gap = false;
        }
        self.apply_held(true)
    }

    /// Brings the held version into force: completely with a majority, otherwise only its tightening keys.
    fn apply_held(&mut self, majority: bool) -> UpdateOutcome {
        let next = if majority {
            VersionInForce::from_version(&self.held)
        } else {
            let rules = &self.rules;
            let document = apply_tightening(&self.in_force.document, &self.held.document, &|key| {
                rules.tightening_direction(key)
            });
            let document = Arc::new(document);
            VersionInForce {
                document,
                tightened_to: Some(self.held.seq),
                ..VersionInForce::clone(&self.in_force)
            }
        };
        self.validation_error = self.rules.check(&next.document).err();
        if let Some(error) = &self.validation_error {
            return UpdateOutcome::Invalid(error.clone());
        }
        self.in_force = Arc::new(next);
        if majority { UpdateOutcome::InForce } else { UpdateOutcome::Tightened }
    }
}
